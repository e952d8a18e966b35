#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// The rendezvous (highest random weight) score of a node for a key, by xxhash. Each daemon computes the same
/// order from the same members without communication, and a change of one member moves only its own keys.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// The node names by descending score for the key; at most `count` (0: all).
std::vector<std::string> rendezvousOrder(
    std::string_view key, const std::vector<std::string> &nodes, std::size_t count);

/// The first of rendezvousOrder, or an empty string if there are no nodes.
std::string rendezvousFirst(std::string_view key, const std::vector<std::string> &nodes);

namespace detail {

/// Hash of the key; the seed of its nodes' scores, so that the key is hashed only once.
std::uint64_t keySeed(std::string_view key);
std::uint64_t nodeScore(std::uint64_t seed, std::string_view node);

struct ranked_node
{
    std::uint64_t score = 0;
    std::string_view name;
    std::size_t index = 0;
};

/// By descending score, then by name.
bool ranksBefore(const ranked_node &a, const ranked_node &b);

}

/// The indices of the first `count` nodes, in rendezvous order, out of those that `accepts(index)` holds for.
/// Names are read in place by `nameAt(index)` and only `count` nodes are stored, so that it is cheap enough
/// to run per request over thousands of servers.
template <class name_at, class accepts_at>
std::vector<std::size_t> rendezvousTop(std::string_view key, std::size_t size, std::size_t count,
    const name_at &nameAt, const accepts_at &accepts)
{
    if (count == 0) {
        return {};
    }
    const std::uint64_t seed = detail::keySeed(key);
    std::vector<detail::ranked_node> top; // a heap whose front is the lowest-ranked node in it
    top.reserve(std::min(count, size));
    for (std::size_t i = 0; i < size; ++i) {
        if (!accepts(i)) {
            continue;
        }
        const std::string_view name = nameAt(i);
        const detail::ranked_node node{detail::nodeScore(seed, name), name, i};
        if (top.size() == count) {
            if (!detail::ranksBefore(node, top.front())) {
                continue;
            }
            std::pop_heap(top.begin(), top.end(), detail::ranksBefore);
            top.pop_back();
        }
        top.push_back(node);
        std::push_heap(top.begin(), top.end(), detail::ranksBefore);
    }
    std::sort_heap(top.begin(), top.end(), detail::ranksBefore);
    std::vector<std::size_t> indices;
    indices.reserve(top.size());
    for (const auto &node : top) {
        indices.push_back(node.index);
    }
    return indices;
}

}
