#include "daemon/answers.h"

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

namespace {

/// One choice of a completion while its chunks come in.
struct choice_parts
{
    std::string text;
    std::string finish = "stop";
};

/// Adds a chunk's choices to the parts by their index.
void addChoices(const nlohmann::json &chunk, bool chat, std::map<int, choice_parts> &parts)
{
    const auto found = chunk.find("choices");
    if (found == chunk.end() || !found->is_array()) {
        return;
    }
    const char *field = chat ? "content" : "text";
    for (const auto &choice : *found) {
        choice_parts &part = parts[choice.value("index", 0)];
        if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
            part.finish = choice["finish_reason"];
        }
        const auto &from = chat && choice.contains("delta") ? choice["delta"] : choice;
        if (from.contains(field) && from[field].is_string()) {
            part.text += from[field].get<std::string>();
        }
    }
}

nlohmann::json choicesOf(const std::map<int, choice_parts> &parts, bool chat)
{
    auto choices = nlohmann::json::array();
    for (const auto &[index, part] : parts) {
        nlohmann::json choice{{"index", index}, {"finish_reason", part.finish}};
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
    nlohmann::json first;
    nlohmann::json usage;
    std::map<int, choice_parts> parts;
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
        first = first.is_null() ? chunk : first;
        if (chunk.contains("usage") && chunk["usage"].is_object()) {
            usage = chunk["usage"];
        }
        addChoices(chunk, chat, parts);
    });
    if (!readable || first.is_null()) {
        return {};
    }
    nlohmann::json whole{{"id", first.value("id", "")},
        {"object", chat ? "chat.completion" : "text_completion"}, {"created", first.value("created", 0)},
        {"model", model}, {"choices", choicesOf(parts, chat)}};
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
