#pragma once

#include <string>
#include <string_view>

namespace briarhead {

/// Returns the BLAKE2b-256 hash of a caller's or operator's key as lower-case hex. Keys are long random
/// strings, so neither a salt nor key stretching is needed, and hashing one key per request stays cheap.
std::string keyHash(std::string_view key);

}
