#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/http_wire.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// What a caller may send and how long it may take.
struct front_limits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    millis headTimeout{3'000}; ///< from a request's first byte to the end of its head
    millis idleTimeout{15'000}; ///< without a byte, between requests and within a body
};

/// A caller's request, whole.
struct front_request
{
    http_head head;
    std::string body;
};

/// The answer to one request. Either respond() once, or begin(), write() any number of times, end().
/// When the last holder drops it without a whole answer, the connection is broken off.
class front_reply
{
public:
    virtual ~front_reply() = default;
    virtual void respond(int status, const std::vector<http_field> &fields, std::string_view body) = 0;
    /// Begins an answer of unknown length.
    virtual void begin(int status, const std::vector<http_field> &fields) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Breaks the connection off, so that the caller sees that the answer is not whole.
    virtual void abort() = 0;
    /// Called once if the caller closes its connection before the answer is whole.
    virtual void onDisconnect(std::function<void()> call) = 0;
    /// Bytes written and not yet taken by the socket.
    virtual std::size_t pendingBytes() const = 0;
};

/// HTTP towards callers, on the loop. It keeps what libmicrohttpd would change or hide: the target as sent,
/// the time limit on a head, a caller that closes while its request is being worked on.
class front_server
{
public:
    using handler = std::function<void(front_request request, std::shared_ptr<front_reply> reply)>;

    /// Port 0 takes a free one.
    static std::unique_ptr<front_server> listen(
        loop &eventLoop, const std::string &ip, std::uint16_t port, handler onRequest, error &why);
    virtual ~front_server() = default;
    virtual std::uint16_t port() const = 0;
    /// In force for heads that begin after the call.
    virtual void setLimits(const front_limits &limits) = 0;
    /// From now on each answer closes its connection, and idle connections are closed after `idle`.
    virtual void closeAfterResponses(millis idle) = 0;
    /// While set, each answer closes its connection: its caller is to come back to another daemon.
    virtual void setCloseAfterResponse(bool closing) = 0;
    /// Takes no further connections; those that wait to be taken are taken first.
    virtual void stopListening() = 0;
    /// Requests that are being worked on.
    virtual std::size_t activeRequests() const = 0;
    virtual std::size_t connections() const = 0;
};

}
