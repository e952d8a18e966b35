#pragma once

#include "state/outcome.h"
#include "transport/http_server.h"

#include <string>
#include <string_view>

namespace briarhead {

/// The HTTP status code for a failed request.
int statusOf(const request_result &end);

/// The error body, in the format that common clients parse:
/// {"error": {"message", "type", "code", "outcome", "retry_after_ms"}}.
std::string errorBody(const request_result &end);

/// The headers of an error response. Retry-After is in seconds, rounded up; Retry-After-Ms is exact.
header_list errorHeaders(const request_result &end);

/// Responds to a request with an error.
void respondError(http_reply &reply, const request_result &end);

/// Assembles one JSON completion from the engine's server-sent events. Returns an empty string if an event
/// can't be parsed or there is none.
std::string assembleCompletion(std::string_view events, bool chat, const std::string &model);

/// The number of token chunks in a sequence of server-sent events.
std::uint32_t countTokens(std::string_view events);

}
