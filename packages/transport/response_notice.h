#pragma once

#include "state/clock.h"
#include "transport/http_client.h"

#include <optional>
#include <string_view>

namespace briarhead {

/// What an answer says of the server that gave it, besides what it answers.
struct response_notice
{
    bool leaving = false;
    millis pause; ///< for which the server wants nothing more from here; 0: not said
};

/// A decimal number that isn't negative, and nothing behind it; else nothing.
std::optional<double> parseDecimal(std::string_view text);
/// Seconds as header fields give them, fractions too, rounded up to whole milliseconds; at most `most`.
std::optional<millis> parseSeconds(std::string_view text, millis most);

/// Of an answer of an engine or a plain server of briarheadd: X-Leaving is 1 where it leaves, and Retry-After
/// with 503 the pause that it asks for.
response_notice readResponseNotice(const http_result &answer);

}
