#pragma once

#include "serving/notice_check.h"
#include "transport/front_server.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

/// Stands in for a backend server of the platform: runs requests, carries orders out, tells of itself. What a
/// test wants of it is set in the fields.
class backend_standin
{
public:
    backend_standin(loop &eventLoop, std::string serverId, std::string service);

    /// Its entry in the store.
    std::string entry(const std::string &state = "ready") const;
    void respondWithStream(
        const std::shared_ptr<front_reply> &reply, const std::string &requestId, int from, int to);

    /// Names a limit in its answers from now on, or none.
    void setLimit(std::optional<double> perSecond);
    /// Whether it got more than its limits allow, all daemons taken together; in words. Requests whose ids
    /// begin as `excused` don't count.
    std::optional<std::string> overLimit(const std::string &excused = "-") const;

    /// Answers the requests that were held while Silent.
    void respondToHeld(const std::string &body);

    enum class mood : std::uint8_t
    {
        Serves,
        Sheds, ///< 503, not run
        Busy, ///< 429, not run, for requests; its other answers are well
        Slow, ///< answers after `slowness`
        Fails, ///< 500, run
        Unsigned, ///< 200 without the server's signature
        AnswersAnother, ///< runs it, and its answer has another request's id and body
        Resets, ///< runs it and closes the connection without an answer
        Silent, ///< runs it and never answers
        CutsStream, ///< closes the connection after the second event
        HoldsStream, ///< sends two events and goes on for ever
    };
    mood now = mood::Serves;
    std::string id;
    std::int64_t startedAtMs = 0; ///< told where it isn't 0
    std::set<std::string> adapters; ///< held
    bool holdsModel = true;
    millis modelLoadTime; ///< a load of the base model is under way for so long
    std::size_t reports = 0; ///< asked for
    std::int64_t sequence = 0;
    std::uint64_t fence = 0;
    std::vector<front_request> ran;
    std::vector<millis> ranAt; ///< when each of those began
    std::vector<nlohmann::json> orders;
    std::vector<received_request> arrivals; ///< requests and reports asked for, also those turned away
    std::vector<limit_period> limits; ///< that it named
    std::string limitText; ///< named in answers; empty: none
    bool leaving = false; ///< says so in its answers
    std::string pauseText; ///< asked for in answers that turn a request away with 503; empty: none
    std::vector<sent_notice> sentNotices; ///< that it leaves, or a pause
    std::size_t callersGone = 0; ///< callers that went away
    std::size_t rejected = 0; ///< requests that it did not take, Busy or Sheds
    millis slowness{700};
    millis orderTime; ///< from an order, which is carried out at once, to its answer
    std::uint16_t port = 0;
    std::uint16_t advertised = 0; ///< in its entry, where daemons reach it by another port
    std::size_t maxAdapters = 0; ///< held at a time
    std::string fatalBody; ///< a request with this body ends the server once it runs; empty: none does
    /// Told of such a run, by the request's id, a moment after it began; whoever set it ends the stand-in.
    std::function<void(const std::string &requestId)> onFatal;

private:
    void onRequest(const front_request &request, const std::shared_ptr<front_reply> &reply);
    void onOrder(const front_request &request, const std::shared_ptr<front_reply> &reply);
    int applyOrder(const nlohmann::json &order);
    std::vector<http_field> withNotices(std::vector<http_field> fields, const std::string &requestId = "");
    void reject(const std::string &requestId, front_reply &reply);
    void run(const front_request &request, const std::shared_ptr<front_reply> &reply);
    void runFatalRequest(
        const std::string &requestId, const std::shared_ptr<front_reply> &reply, bool stream);
    /// A stream from `firstEvent` on; 0: a plain answer.
    void respond(const std::shared_ptr<front_reply> &reply, const std::string &requestId, int firstEvent);

    loop &m_loop;
    std::optional<millis> m_modelLoadedAt; ///< a load of the base model ends then
    std::string m_service;
    std::unique_ptr<front_server> m_server;
    std::vector<std::pair<std::string, std::shared_ptr<front_reply>>> m_held; ///< by request id
    std::vector<std::shared_ptr<void>> m_timers;
};

}
