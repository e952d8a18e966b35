#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace briarhead {

/// Length of the blocks that a plain prompt is divided into, from its start.
constexpr std::size_t promptBlockBytes = 512;

/// The parts of a model request's prompt that other requests may share, in order and at most maxPromptParts:
/// each message of a chat but the last, or each block of a plain prompt but the last. `body` is the parsed
/// body of a completion request. Empty for a prompt of another form: lists of prompts or of tokens.
std::vector<std::string> promptPartsOf(const nlohmann::json &body);

}
