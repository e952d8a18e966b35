#include "daemon/prompt_parts.h"

#include "coordination/request_attributes.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace briarhead {

namespace {

std::vector<std::string> messagesOf(const nlohmann::json &messages)
{
    std::vector<std::string> parts;
    const std::size_t count = std::min(messages.empty() ? 0 : messages.size() - 1, maxPromptParts);
    for (std::size_t i = 0; i < count; ++i) {
        parts.push_back(messages[i].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    return parts;
}

std::vector<std::string> blocksOf(const std::string &prompt)
{
    std::vector<std::string> parts;
    // A block that ends the prompt belongs to the request itself, also where it is a whole one.
    for (std::size_t at = 0; at + promptBlockBytes < prompt.size() && parts.size() < maxPromptParts;
         at += promptBlockBytes) {
        parts.push_back(prompt.substr(at, promptBlockBytes));
    }
    return parts;
}

}

std::vector<std::string> promptPartsOf(const nlohmann::json &body)
{
    const auto messages = body.find("messages");
    if (messages != body.end() && messages->is_array()) {
        return messagesOf(*messages);
    }
    const auto prompt = body.find("prompt");
    if (prompt != body.end() && prompt->is_string()) {
        return blocksOf(prompt->get_ref<const std::string &>());
    }
    return {};
}

}
