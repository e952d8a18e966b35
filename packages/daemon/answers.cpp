#include "daemon/answers.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace briarhead {

int statusOf(const verdict &end)
{
    switch (end.why.kind) {
    case error_kind::BadRequest:
        return 400;
    case error_kind::Unauthorised:
        return 401;
    case error_kind::Forbidden:
        return 403;
    case error_kind::UnknownAdapter:
    case error_kind::UnknownService:
        return 404;
    case error_kind::KeyInProgress:
    case error_kind::KeyUnknown:
        return 409;
    case error_kind::TooLarge:
        return 413;
    case error_kind::Overloaded:
        return 429;
    case error_kind::Internal:
        return 500;
    default:
        break;
    }
    if (end.result == outcome::Unknown) {
        return end.why.kind == error_kind::Timeout ? 504 : 502;
    }
    return 503;
}

std::string errorBody(const verdict &end)
{
    const error_text &text = textOf(end.why.kind);
    const int status = statusOf(end);
    nlohmann::json body;
    body["error"] = {{"message", message(end.why)},
        {"type", status < 500 ? "invalid_request_error" : "server_error"}, {"code", text.code},
        {"outcome", nameOf(end.result)}};
    if (end.retryAfter.count > 0) {
        body["error"]["retry_after_ms"] = end.retryAfter.count;
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

header_list errorHeaders(const verdict &end)
{
    header_list headers{
        {"Content-Type", "application/json"}, {"X-Briarhead-Outcome", std::string(nameOf(end.result))}};
    if (end.retryAfter.count > 0) {
        headers.emplace_back("Retry-After", std::to_string((end.retryAfter.count + 999) / 1000));
        headers.emplace_back("Retry-After-Ms", std::to_string(end.retryAfter.count));
    }
    return headers;
}

void respondError(http_reply &reply, const verdict &end)
{
    reply.respond(statusOf(end), errorHeaders(end), errorBody(end));
}

namespace {

/// Calls back with the text of each "data:" line.
template <class callback>
void eachEvent(std::string_view events, callback call)
{
    constexpr std::string_view prefix = "data: ";
    while (!events.empty()) {
        const auto lineEnd = events.find('\n');
        const std::string_view line = events.substr(0, lineEnd);
        if (line.substr(0, prefix.size()) == prefix) {
            call(line.substr(prefix.size()));
        }
        events = lineEnd == std::string_view::npos ? std::string_view{} : events.substr(lineEnd + 1);
    }
}

}

std::string assembleCompletion(std::string_view events, bool chat, const std::string &model)
{
    std::string text;
    std::string finish = "stop";
    nlohmann::json first;
    nlohmann::json usage;
    bool readable = true;
    eachEvent(events, [&](std::string_view data) {
        if (data.substr(0, 6) == "[DONE]") {
            return;
        }
        const auto chunk = nlohmann::json::parse(data, nullptr, false);
        if (!chunk.is_object()) {
            readable = false;
            return;
        }
        if (first.is_null()) {
            first = chunk;
        }
        if (chunk.contains("usage") && chunk["usage"].is_object()) {
            usage = chunk["usage"];
        }
        if (!chunk.contains("choices") || !chunk["choices"].is_array() || chunk["choices"].empty()) {
            return;
        }
        const auto &choice = chunk["choices"][0];
        if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
            finish = choice["finish_reason"];
        }
        const auto &from = chat && choice.contains("delta") ? choice["delta"] : choice;
        const char *field = chat ? "content" : "text";
        if (from.contains(field) && from[field].is_string()) {
            text += from[field].get<std::string>();
        }
    });
    if (!readable || first.is_null()) {
        return {};
    }
    nlohmann::json choice{{"index", 0}, {"finish_reason", finish}};
    if (chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    nlohmann::json whole{{"id", first.value("id", "")},
        {"object", chat ? "chat.completion" : "text_completion"}, {"created", first.value("created", 0)},
        {"model", model}, {"choices", nlohmann::json::array({choice})}};
    if (!usage.is_null()) {
        whole["usage"] = usage;
    }
    return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::uint32_t countTokens(std::string_view events)
{
    std::uint32_t count = 0;
    for (auto at = events.find("data: {"); at != std::string_view::npos;
         at = events.find("data: {", at + 1)) {
        ++count;
    }
    return count;
}

}
