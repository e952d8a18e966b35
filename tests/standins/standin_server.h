#pragma once

#include "transport/http_server.h"
#include "transport/loop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhead {

/// What the stand-ins share: a server on loopback with a table of routes, the faults that any server can
/// have, and a record of what happened, kept apart from what any daemon believes. By HTTP:
///   POST /standin/faults    {"hang": bool, "hold": PATH, "stall_ms": n, "down": bool, "down_ms": n,
///                           "lose_answers": n, "words": {FIELD: VALUE}, ...}
///   GET  /standin/record?since=INDEX
///   GET  /standin/summary
/// "hang" holds requests and serves them once it is cleared, "hold" does so with those to one path ("" ends
/// it), so that they arrive after requests sent later; "stall_ms" serves each one that much late, all also
/// when the caller has given up by then; "lose_answers" carries out the next n POSTs and breaks their
/// connections off instead of answering; "words" are header fields of all answers from then on; "down" breaks
/// every connection off before anything is done.
class standin_server
{
public:
    using json = nlohmann::json;

    standin_server(loop &eventLoop, std::string name);
    virtual ~standin_server();
    standin_server(const standin_server &) = delete;
    standin_server &operator=(const standin_server &) = delete;

    /// Listens on 127.0.0.1; port 0 takes a free one.
    bool listen(std::uint16_t port, error &why);
    std::uint16_t port() const;
    std::string url() const;
    const std::string &name() const;

    /// Entries of one kind, oldest first. Each has "index", "kind" and "at_ms" (CLOCK_BOOTTIME).
    std::vector<json> recorded(std::string_view kind) const;
    /// Requests that "hang" or "hold" keep back now.
    std::size_t held() const;
    /// Counts for a run's end.
    virtual json summary() const;
    /// Switches faults; keys left out stay as they are. Throws json::exception on a wrong type.
    virtual void setFaults(const json &faults);

protected:
    using reply_ptr = std::shared_ptr<http_reply>;
    using handler = std::function<void(const http_request &, const reply_ptr &)>;

    /// Serves a path, or all paths that begin with it when it ends in '*'.
    void route(const std::string &method, const std::string &path, handler call);
    void note(std::string_view kind, json entry);
    /// Calls once after a delay, unless this object is gone by then.
    void later(millis delay, std::function<void()> call);
    loop &eventLoop();

    /// Answers in JSON, with the fields that "words" names.
    void answer(const reply_ptr &reply, int status, const json &body, const header_list &more = {}) const;
    const header_list &words() const;
    static std::string headerOf(const http_request &request, const std::string &name);
    static std::uint64_t numberOf(const std::string &text, std::uint64_t otherwise = 0);

private:
    void onRequest(http_request request, reply_ptr reply);
    void dispatch(const http_request &request, const reply_ptr &reply);
    bool holds(const http_request &request) const;
    const handler *find(const std::string &method, const std::string &path) const;
    json recordSince(const http_request &request) const;

    loop &m_loop;
    std::string m_name;
    std::unique_ptr<http_server> m_server;
    std::map<std::string, handler, std::less<>> m_routes; ///< by "METHOD path"
    std::vector<json> m_record;
    std::vector<std::pair<http_request, reply_ptr>> m_held;
    bool m_hang = false;
    std::string m_holdPath;
    bool m_down = false;
    millis m_stall;
    std::uint32_t m_loseAnswers = 0;
    header_list m_words;
    std::map<std::uint64_t, std::shared_ptr<void>> m_timers;
    std::uint64_t m_lastTimer = 0;
};

}
