#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// One HTTP call to make.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value" lines
    std::string body;
    millis timeout{10'000}; ///< whole call; 0 is no limit (a watch)
    millis connectTimeout{1'000};
    millis userTimeout; ///< TCP_USER_TIMEOUT of the connection; 0 leaves the system's default
    bool freshConnection = false; ///< never sends on a kept connection (so that no silent resend can happen)
};

/// How a call ended. `sent` is false only when it is certain that no byte of the request left.
struct http_result
{
    int status = 0; ///< 0 when no status line arrived
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body; ///< empty when onData took the bytes
    bool complete = false; ///< the whole answer arrived
    bool sent = false;
    error why;
};

/// HTTP towards engines, services and the platform, by libcurl multi on the loop.
class http_client
{
public:
    explicit http_client(loop &eventLoop);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    using call_id = std::uint64_t;
    using on_done = std::function<void(const http_result &)>;
    /// Body bytes as they arrive; status and headers in the result are already set.
    using on_data = std::function<void(const http_result &sofar, std::string_view bytes)>;

    /// Starts a call. Exactly one onDone follows, never from inside start().
    call_id start(const http_call &call, on_done onDone, on_data onData = {});

    /// Ends a call; its callbacks are not called any more.
    void cancel(call_id id);

    /// Calls a function with each connected socket as it opens, and again (open = false) as it closes.
    /// The order path registers its sockets here for the fence (see transport/fence.h). It is called from
    /// within libcurl, before connecting and before closing, and must not start or cancel calls.
    void onSocket(std::function<void(int fd, bool open)> call);

    /// A share of connections kept per host (0 closes each after use).
    void keepAlive(bool keep);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
