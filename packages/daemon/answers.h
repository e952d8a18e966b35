#pragma once

#include "state/outcome.h"
#include "transport/http_server.h"

#include <string>
#include <string_view>

namespace briarhead {

/// The HTTP status a verdict is told with.
int statusOf(const request_result &end);

/// The error body in the shape that common clients parse:
/// {"error": {"message", "type", "code", "outcome", "retry_after_ms"}}.
std::string errorBody(const request_result &end);

/// Headers of an error answer; Retry-After in whole seconds, rounded up, and Retry-After-Ms beside it.
header_list errorHeaders(const request_result &end);

/// Answers a request with an error.
void respondError(http_reply &reply, const request_result &end);

/// One JSON completion assembled from the engine's server-sent events; empty if they can't be read.
std::string assembleCompletion(std::string_view events, bool chat, const std::string &model);

/// The number of token chunks in a piece of server-sent events.
std::uint32_t countTokens(std::string_view events);

}
