#pragma once

#include "protocol/crash_messages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

// What a request has in common with other requests: its content, which is the same in each attempt, and the
// parts of its prompt, which otherwise different requests share. Each of these attributes is identified by a
// hash that is the same on every daemon.
namespace briarhead {

/// The parts of a request that stay the same, byte for byte, when a caller repeats it. Ids, deadlines and
/// attempt numbers are left out because they differ for each attempt.
struct request_content
{
    std::string_view caller; ///< its account; empty where callers have none
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// Number of prompt parts that are considered, from the first one on.
constexpr std::size_t maxPromptParts = 32;

/// A 128-bit hash in hexadecimal digits. At 41,000 requests per second, a collision is expected only after
/// far longer than the lifetime of any fleet.
std::string fingerprintOf(const request_content &content);
/// The key of a prompt part at a service. The same part at another service is another attribute, since that
/// service's servers run other software. It is the same for all callers, routes and positions in a prompt.
std::string promptPartKey(std::string_view service, std::string_view part);
/// All attributes of a request. `parts` has the parts of its prompt that other requests may share, in order.
request_attributes attributesOf(
    const request_content &content, std::string_view service, const std::vector<std::string> &parts);
/// Whether any of the attributes has this key.
bool hasAttribute(const request_attributes &attributes, std::string_view key);
/// The key of the request's content.
const std::string &contentKeyOf(const request_attributes &attributes);

}
