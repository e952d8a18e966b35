#pragma once

#include "transport/http_wire.h"

#include <cstdint>
#include <string_view>

namespace briarhead {

/// How the body of a response is delimited (RFC 9112, 6.3).
enum class body_framing : std::uint8_t
{
    None, ///< the response has no body
    Length,
    Chunked,
    Connection, ///< the body ends with its connection, which doesn't prove that it is whole
};

constexpr body_framing lastOf(body_framing)
{
    return body_framing::Connection;
}

/// The name used in logs.
std::string_view nameOf(body_framing value);

/// The framing that the head of a response announces. `noBody`: it responds to a HEAD request.
body_framing framingOf(const http_head &head, bool noBody);

/// How the connection that carried a response ended. An orderly close doesn't tell how its server ended: the
/// kernel closes the connections of a crashed process in order unless it had bytes left to read.
enum class connection_end : std::uint8_t
{
    Open, ///< not before the end of the response
    Orderly,
    Reset, ///< or any other error
    Timeout, ///< given up by this daemon
};

constexpr connection_end lastOf(connection_end)
{
    return connection_end::Timeout;
}

std::string_view nameOf(connection_end value);

/// All that is known about how a response ended.
struct response_end
{
    bool sent = true; ///< false: certain that no byte of the request was sent
    body_framing framing = body_framing::None; ///< None as well before the head has arrived
    bool framingComplete = false; ///< the length, the last chunk, or the head of a response without a body
    connection_end connection = connection_end::Open;
    bool insideEvent = false; ///< the body is a stream of events, and the last one is incomplete
    bool endPromised = false; ///< the caller has been promised a length or a last chunk
};

/// How sending one request to a backend server ended.
enum class send_result : std::uint8_t
{
    Complete, ///< the response is proven to be whole
    NotSent, ///< certain that no byte of the request was sent
    Broken, ///< bytes were sent, but the response is missing, truncated or not HTTP
    /// The response ended with its connection, in order: it may be whole or cut off. A caller may get it only
    /// without a length or chunks, so that it knows no more than this daemon.
    Unknown,
};

/// The one place that decides whether a response is whole.
send_result resultOf(const response_end &end);

/// The end of a request of which no byte was sent.
response_end unsentEnd();
/// The end of a response that was given up or broke off, whatever its framing.
response_end brokenEnd(connection_end connection);

}
