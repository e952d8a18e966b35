#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/http_wire.h"
#include "transport/loop.h"
#include "transport/peer_link.h"
#include "transport/response_end.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace briarhead {

/// Callbacks of one request, none of them called from inside start().
struct send_handlers
{
    /// Receives the head of a response. Returns false if the response belongs to another request: it is then
    /// discarded, and the pool waits for the next one.
    std::function<bool(const http_head &)> onHead;
    /// Receives the next bytes of the response's body.
    std::function<void(std::string bytes)> onBody;
    /// Receives how the response ended; the error says why it is not known to be complete.
    std::function<void(const response_end &, const error &)> onEnd;
};

/// Counts since the start of the process, for the metrics.
struct pool_counters
{
    std::uint64_t opened = 0; ///< connections opened
    std::uint64_t reused = 0; ///< requests sent on a kept connection
    std::uint64_t connectFailures = 0; ///< refused, reset or not established in time
    std::uint64_t stray = 0; ///< connections closed because of bytes that belong to no response
};

/// HTTP/1.1 connections to backend servers. Each carries one request at a time. It is kept for reuse only if
/// its request was sent completely and its response arrived completely with no bytes after it. No request is
/// ever sent twice. Of what is not a response's body, only a bounded number of bytes is received.
class backend_pool
{
public:
    explicit backend_pool(loop &eventLoop);
    ~backend_pool();
    backend_pool(const backend_pool &) = delete;
    backend_pool &operator=(const backend_pool &) = delete;

    using send_id = std::uint64_t;
    /// Sends `bytes`, one complete request. `noBody`: the response has no body (HEAD). onEnd is called
    /// exactly once unless the request is cancelled or aborted.
    send_id start(const peer_address &to, std::string bytes, bool noBody, send_handlers handlers);
    /// Cancels a request by closing its connection, so that the server stops working on it. No callback
    /// follows.
    void cancel(send_id id);
    /// Cancels a request by resetting its connection: bytes that have not reached the server yet never will.
    void abort(send_id id);
    /// Closes the kept connections to an address whose server was removed or restarted.
    void forget(const peer_address &to);
    /// How long the kept connection that the next request to `to` would use may still be reused, or nothing
    /// if none is open. Makes no system call.
    std::optional<millis> reusableFor(const peer_address &to) const;
    /// How long connections to `to` are kept idle, according to its latest response; 0 if unknown.
    millis keepTime(const peer_address &to) const;
    /// Stops or resumes receiving the response, so that a server sends no faster than its bytes are used.
    void setReceiving(send_id id, bool receiving);
    /// Whether a request's connection is still being established: nothing of it has been sent.
    bool isConnecting(send_id id) const;
    /// Called after each attempt to open a connection with whether it succeeded, before the request's onEnd.
    /// Attempts that fail for lack of local resources are not reported.
    using connect_observer = std::function<void(const peer_address &to, bool connected)>;
    void setConnectObserver(connect_observer observer);
    const pool_counters &counters() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
