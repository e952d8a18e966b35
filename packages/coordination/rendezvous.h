#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// The rendezvous (highest random weight) score of a node for a key, by xxhash. Each daemon computes
/// the same order from the same members, with no message, and a change of one member moves only its keys.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// The names ordered by falling score for the key; at most `count` (0: all).
std::vector<std::string> rendezvousOrder(
    std::string_view key, const std::vector<std::string> &nodes, std::size_t count);

/// The first of rendezvousOrder, or an empty text where there is no node.
std::string rendezvousFirst(std::string_view key, const std::vector<std::string> &nodes);

}
