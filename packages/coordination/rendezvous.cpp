#include "coordination/rendezvous.h"

#include <xxhash.h>

namespace briarhead {

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    return detail::nodeScore(detail::keySeed(key), node);
}

std::vector<std::string> rendezvousOrder(
    std::string_view key, const std::vector<std::string> &nodes, std::size_t count)
{
    const auto top = rendezvousTop(
        key, nodes.size(), count == 0 ? nodes.size() : count,
        [&nodes](std::size_t i) -> std::string_view {
            return nodes[i];
        },
        [](std::size_t) {
            return true;
        });
    std::vector<std::string> order;
    order.reserve(top.size());
    for (const std::size_t i : top) {
        order.push_back(nodes[i]);
    }
    return order;
}

std::string rendezvousFirst(std::string_view key, const std::vector<std::string> &nodes)
{
    auto order = rendezvousOrder(key, nodes, 1);
    return order.empty() ? std::string() : std::move(order.front());
}

namespace detail {

std::uint64_t keySeed(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

std::uint64_t nodeScore(std::uint64_t seed, std::string_view node)
{
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

bool ranksBefore(const ranked_node &a, const ranked_node &b)
{
    // Equal scores are ordered by name, so that the order doesn't depend on that of the input list.
    return a.score != b.score ? a.score > b.score : a.name < b.name;
}

}

}
