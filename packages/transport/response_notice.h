#pragma once

#include "state/clock.h"
#include "transport/http_client.h"

#include <optional>
#include <string_view>

namespace briarhead {

/// What a response announces about the server that sent it, apart from the request's own result.
struct response_notice
{
    bool leaving = false; ///< the server will leave the fleet
    millis pause; ///< for which the server wants no more requests from this process; 0: none announced
};

/// Parses a non-negative decimal number, with blanks around it allowed; nothing if `text` has any other form.
std::optional<double> parseDecimal(std::string_view text);
/// Parses a header's number of seconds, which may have a fraction. Rounded up to whole milliseconds, and at
/// most `maxValue`; nothing if `text` is not a non-negative decimal number.
std::optional<millis> parseSeconds(std::string_view text, millis maxValue);

/// Reads the notice in the response of an engine or a plain service: `leaving` from "X-Leaving: 1", and
/// `pause` from Retry-After with status 503.
response_notice readResponseNotice(const http_result &response);

}
