#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace briarhead {

/// What a caller sends again, byte for byte, when it repeats a request: ids, deadlines and attempt numbers
/// are new each time and are left out.
struct request_content
{
    std::string_view caller; ///< its account; empty where callers have none
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

constexpr std::size_t fingerprintDigits = 32;

/// Hexadecimal digits of a 128-bit hash: the same for each attempt at a request, on every daemon. At
/// 41,000 requests a second two different ones share it once in far more than the age of any fleet.
std::string fingerprintOf(const request_content &content);

}
