#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/http_wire.h"
#include "transport/loop.h"
#include "transport/response_end.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// Limits on the size and duration of callers' requests.
struct front_limits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    millis headTimeout{3'000}; ///< from a request's first byte to the end of its head
    millis idleTimeout{15'000}; ///< without receiving a byte, between requests and within a body
};

/// Unsent bytes of a response at which no more of it should be received from where it comes from.
constexpr std::size_t maxUnsentResponseBytes = 256 * 1024;

/// A caller's complete request.
struct front_request
{
    http_head head;
    std::string body;
};

/// Sends the response to one request: either respond() once, or begin(), any number of write(), end().
/// If the last reference is dropped before the response is complete, the connection is closed.
class front_reply
{
public:
    virtual ~front_reply() = default;
    virtual void respond(int status, const std::vector<http_field> &fields, std::string_view body) = 0;
    /// Begins a response. With body_framing::Length, `fields` has the Content-Length. A response to an
    /// HTTP/1.0 caller that is not framed by length ends with its connection.
    virtual void begin(int status, const std::vector<http_field> &fields, body_framing framing) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Sets when the response is of no more use. Until then the caller may read it as slowly as it likes;
    /// from then on a caller that does not take further bytes is disconnected.
    virtual void setDeadline(millis at) = 0;
    /// Closes the connection, so that the caller can tell that the response is incomplete. It is reset where
    /// an orderly close would end the response.
    virtual void abort() = 0;
    /// The same with a reset. Bytes that the caller has not received may be lost.
    virtual void reset() = 0;
    /// Sets a function that is called once if the connection is lost before the response is complete.
    virtual void onDisconnect(std::function<void()> call) = 0;
    /// Bytes written but not yet accepted by the socket.
    virtual std::size_t pendingBytes() const = 0;
    /// Sets a function that is called each time the socket has accepted all bytes after it had not.
    virtual void onDrained(std::function<void()> call) = 0;
};

/// HTTP server for callers, on the event loop. Unlike libmicrohttpd it keeps the request target as sent,
/// limits the time for a request's head, and detects a caller that disconnects while its request is handled.
class front_server
{
public:
    using handler = std::function<void(front_request request, std::shared_ptr<front_reply> reply)>;

    /// Listens on an IP address; port 0 selects a free port. Returns null and sets `why` on failure.
    static std::unique_ptr<front_server> listen(
        loop &eventLoop, const std::string &ip, std::uint16_t port, handler onRequest, error &why);
    virtual ~front_server() = default;
    virtual std::uint16_t port() const = 0;
    /// Size limits apply to requests that begin after the call, timeouts at once.
    virtual void setLimits(const front_limits &limits) = 0;
    /// From now on each response closes its connection, and idle connections are closed after `idle`.
    virtual void closeAfterResponses(millis idle) = 0;
    /// While set, each response closes its connection, so that the caller reconnects to another daemon.
    virtual void setCloseAfterResponse(bool closing) = 0;
    /// Sets a function that decides on each new connection. One that is not admitted is closed unread.
    virtual void setAdmission(std::function<bool()> admit) = 0;
    /// Limits the number of open connections. A new one beyond it takes the place of one that has not sent
    /// anything yet, or is closed unread.
    virtual void setMaxConnections(std::size_t count) = 0;
    /// Accepts the connections in the listen queue, then closes the listening socket.
    virtual void stopListening() = 0;
    /// Connections with a request in progress: being received, handled or responded to. A response is in
    /// progress until the caller has acknowledged all of it.
    virtual std::size_t activeRequests() const = 0;
    virtual std::size_t connections() const = 0;
    /// Connections closed unread since the start, and those closed because they had not sent anything.
    virtual std::uint64_t closedUnread() const = 0;
};

}
