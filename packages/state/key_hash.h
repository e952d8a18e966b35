#pragma once

#include <string>
#include <string_view>

namespace briarhead {

/// Hex BLAKE2b-256 of a caller's or operator's key. Keys are long random strings, so no salt or
/// stretching is needed, and one look-up per request stays cheap.
std::string keyHash(std::string_view key);

}
