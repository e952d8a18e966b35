#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/loop.h"
#include "transport/response_end.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// One HTTP request and how to make it.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< lines of the form "Name: value"
    std::string body;
    millis timeout{10'000}; ///< of the whole call; 0: no limit (for a watch)
    millis connectTimeout{1'000};
    /// TCP_USER_TIMEOUT of the connection; 0: the system's default. If set, it decides when keep-alive probes
    /// give up, whatever their count.
    millis userTimeout;
    /// Limit on the body that is collected; a longer one fails the call. Not for calls with an onData.
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    bool freshConnection =
        false; ///< uses a new connection, so that libcurl cannot resend the request silently
};

/// The result of a call. `sent` is false only if it is certain that no byte of the request was sent.
struct http_result
{
    int status = 0; ///< 0: no status line arrived
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body; ///< empty if the call has an onData
    response_end end; ///< what is known about how the response ended
    bool complete = false; ///< the response is proven to be whole, see resultOf()
    bool sent = false;
    error why; ///< set if not `complete`
};

/// Whether the response is whole, or ended with its connection in order. That is enough where a status or a
/// JSON object is expected, since an object that was cut off doesn't parse.
inline bool endedInOrder(const http_result &result)
{
    return result.complete || resultOf(result.end) == send_result::Unknown;
}

/// Limit on the heads of one call's responses, interim ones included.
constexpr std::size_t maxHeadBytesPerCall = 64 * 1024;
/// Limit on the bodies that a client is collecting at the same time. The call whose body exceeds it fails.
constexpr std::size_t maxCollectedBytes = 24 * 1024 * 1024;

/// HTTP client for engines, services and the platform: libcurl's multi interface on the event loop.
class http_client
{
public:
    explicit http_client(loop &eventLoop);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    using call_id = std::uint64_t;
    using on_done = std::function<void(const http_result &)>;
    /// Receives body bytes as they arrive; status and headers of the result are set by then.
    using on_data = std::function<void(const http_result &sofar, std::string_view bytes)>;

    /// Starts a call. Unless it is cancelled, onDone is called exactly once, never from inside start().
    call_id start(const http_call &call, on_done onDone, on_data onData = {});

    /// Cancels a call; its callbacks are not called any more.
    void cancel(call_id id);

    /// Sets a function that is called with each socket when it is created (open = true) and again before it
    /// is closed (open = false). The order path registers its sockets with the fence this way (see
    /// transport/fence.h). It is called from within libcurl and must not start or cancel calls.
    void onSocket(std::function<void(int fd, bool open)> call);

    /// Whether connections are kept for reuse (the default) or closed after each call.
    void keepAlive(bool keep);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
