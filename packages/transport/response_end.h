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
    Connection, ///< the body ends with its connection
};

/// The name used in logs.
std::string_view nameOf(body_framing value);

/// The framing that the head of a response announces. `noBody`: it responds to a HEAD request.
body_framing framingOf(const http_head &head, bool noBody);

}
