#include "daemon/responses.h"

#include <nlohmann/json.hpp>

#include <map>

namespace briarhead {

int statusOf(const request_result &end)
{
    switch (end.why.kind) {
    case error_kind::BadRequest:
        return 400;
    case error_kind::Unauthorised:
        return 401;
    case error_kind::Forbidden:
        return 403;
    case error_kind::UnknownVersion:
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

std::string errorBody(const request_result &end)
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

header_list errorHeaders(const request_result &end)
{
    header_list headers{
        {"Content-Type", "application/json"}, {"X-Briarhead-Outcome", std::string(nameOf(end.result))}};
    if (end.retryAfter.count > 0) {
        headers.emplace_back("Retry-After", std::to_string((end.retryAfter.count + 999) / 1000));
        headers.emplace_back("Retry-After-Ms", std::to_string(end.retryAfter.count));
    }
    return headers;
}

void respondError(http_reply &reply, const request_result &end)
{
    reply.respond(statusOf(end), errorHeaders(end), errorBody(end));
}

namespace {

/// Calls `onData` with the text of each "data:" line.
template <class callback>
void forEachEvent(std::string_view events, callback onData)
{
    constexpr std::string_view prefix = "data: ";
    while (!events.empty()) {
        const auto lineEnd = events.find('\n');
        const std::string_view line = events.substr(0, lineEnd);
        if (line.substr(0, prefix.size()) == prefix) {
            onData(line.substr(prefix.size()));
        }
        events = lineEnd == std::string_view::npos ? std::string_view{} : events.substr(lineEnd + 1);
    }
}

}

namespace {

/// One choice of a completion, assembled from chunks.
struct partial_choice
{
    std::string text;
    std::string finishReason = "stop";
};

/// Appends a chunk's choices to `parts`, by index.
void addChoices(const nlohmann::json &chunk, bool chat, std::map<int, partial_choice> &parts)
{
    const auto found = chunk.find("choices");
    if (found == chunk.end() || !found->is_array()) {
        return;
    }
    const char *field = chat ? "content" : "text";
    for (const auto &choice : *found) {
        partial_choice &part = parts[choice.value("index", 0)];
        if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
            part.finishReason = choice["finish_reason"];
        }
        const auto &source = chat && choice.contains("delta") ? choice["delta"] : choice;
        if (source.contains(field) && source[field].is_string()) {
            part.text += source[field].get<std::string>();
        }
    }
}

nlohmann::json choicesOf(const std::map<int, partial_choice> &parts, bool chat)
{
    auto choices = nlohmann::json::array();
    for (const auto &[index, part] : parts) {
        nlohmann::json choice{{"index", index}, {"finish_reason", part.finishReason}};
        if (chat) {
            choice["message"] = {{"role", "assistant"}, {"content", part.text}};
        } else {
            choice["text"] = part.text;
        }
        choices.push_back(std::move(choice));
    }
    return choices;
}

}

std::string assembleCompletion(std::string_view events, bool chat, const std::string &model)
{
    nlohmann::json firstChunk;
    nlohmann::json usage;
    std::map<int, partial_choice> parts;
    bool readable = true;
    forEachEvent(events, [&](std::string_view data) {
        if (data.substr(0, 6) == "[DONE]") {
            return;
        }
        const auto chunk = nlohmann::json::parse(data, nullptr, false);
        if (!chunk.is_object()) {
            readable = false;
            return;
        }
        firstChunk = firstChunk.is_null() ? chunk : firstChunk;
        if (chunk.contains("usage") && chunk["usage"].is_object()) {
            usage = chunk["usage"];
        }
        addChoices(chunk, chat, parts);
    });
    if (!readable || firstChunk.is_null()) {
        return {};
    }
    nlohmann::json completion{{"id", firstChunk.value("id", "")},
        {"object", chat ? "chat.completion" : "text_completion"}, {"created", firstChunk.value("created", 0)},
        {"model", model}, {"choices", choicesOf(parts, chat)}};
    if (!usage.is_null()) {
        completion["usage"] = usage;
    }
    return completion.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::uint32_t countTokens(std::string_view events)
{
    std::uint32_t count = 0;
    for (auto position = events.find("data: {"); position != std::string_view::npos;
         position = events.find("data: {", position + 1)) {
        ++count;
    }
    return count;
}

}
