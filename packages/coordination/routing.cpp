#include "coordination/routing.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace briarhead {

namespace {

constexpr std::array<std::string_view, 4> routingNames{
    "briarhead", "random", "least_loaded", "rendezvous_lru"};
static_assert(routingNames.size() == static_cast<std::size_t>(routing_kind::RendezvousLru) + 1);

/// The time in which a hint's weight falls to 1/e. After several times as long, only this entry's own counts
/// matter.
constexpr double hintDecayMs = 2'000;
/// The prefix's server is chosen unless it is fuller than the other candidate by more than this fraction of a
/// batch: a cached prompt prefix saves less than a full batch costs.
constexpr double prefixMargin = 0.15;
/// Fills that differ by less than this count as equal, and the failure domain decides.
constexpr double maxTieDifference = 0.05;
/// With a stall weight of 0, servers are filled up to this level one after the other. Below 1, to leave room
/// for the requests that other entries send at the same moment.
constexpr double maxTargetFill = 0.85;
/// The cost of a difference above the target fill, relative to the same difference below it.
constexpr double overTargetWeight = 4;
/// At this fill a batch has no free place.
constexpr double fullFill = 1;
/// From this fill on, a request may go to a server that does not hold the adapter yet. Above fullFill,
/// because a short queue is faster than a load.
constexpr double overflowFill = 1.25;

struct routing_context
{
    const route_query &query;
    std::span<const server_view> servers;
    double stallWeight;
    std::mt19937_64 &random;
};

using indices = std::vector<std::size_t>;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isEligible(const routing_context &context, std::size_t i)
{
    const server_view &server = context.servers[i];
    return !server.leaving && !server.unavailable && server.baseModel == context.query.baseModel
        && !contains(context.query.tried, server.name);
}

std::size_t randomBelow(std::mt19937_64 &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

template <class accept>
indices firstByAdapter(const routing_context &context, std::size_t count, const accept &accepts)
{
    return rendezvousTop(
        context.query.adapter.adapter, context.servers.size(), count,
        [&context](std::size_t i) -> std::string_view {
            return context.servers[i].name;
        },
        accepts);
}

indices eligibleServers(const routing_context &context)
{
    indices all;
    for (std::size_t i = 0; i < context.servers.size(); ++i) {
        if (isEligible(context, i)) {
            all.push_back(i);
        }
    }
    return all;
}

indices eligibleReplicas(const routing_context &context)
{
    indices replicas;
    if (context.query.replicas.empty()) {
        return replicas;
    }
    for (std::size_t i = 0; i < context.servers.size(); ++i) {
        if (contains(context.query.replicas, context.servers[i].name) && isEligible(context, i)) {
            replicas.push_back(i);
        }
    }
    return replicas;
}

/// The replicas, or the adapter's first server; if all of them overflow, also a further server that has room.
indices candidates(const routing_context &context)
{
    indices chosen = eligibleReplicas(context);
    if (chosen.empty()) {
        chosen = firstByAdapter(context, 1, [&context](std::size_t i) {
            return isEligible(context, i);
        });
    }
    const auto fill = [&context](std::size_t i) {
        return expectedFill(context.servers[i]);
    };
    if (std::all_of(chosen.begin(), chosen.end(), [&](std::size_t i) {
            return fill(i) >= overflowFill;
        })) {
        // None of the chosen servers has room, so the next one that has room is not among them.
        const auto next = firstByAdapter(context, 1, [&](std::size_t i) {
            return isEligible(context, i) && fill(i) < fullFill;
        });
        chosen.insert(chosen.end(), next.begin(), next.end());
    }
    return chosen;
}

/// The cost of a fill: its weighted distance from the target fill. Servers are filled up to the target one
/// after the other, and evenly above it. A stall weight of 1 targets empty servers, 0 nearly full ones.
double fillCost(double fill, double stallWeight)
{
    const double target = maxTargetFill * (1 - std::clamp(stallWeight, 0.0, 1.0));
    return fill <= target ? target - fill : (fill - target) * overTargetWeight;
}

std::size_t betterByFill(const routing_context &context, std::size_t a, std::size_t b)
{
    const double fillA = expectedFill(context.servers[a]);
    const double fillB = expectedFill(context.servers[b]);
    if (std::abs(fillA - fillB) >= maxTieDifference) {
        return fillCost(fillA, context.stallWeight) < fillCost(fillB, context.stallWeight) ? a : b;
    }
    const bool nearA = context.servers[a].failureDomain == context.query.failureDomain;
    const bool nearB = context.servers[b].failureDomain == context.query.failureDomain;
    if (nearA != nearB) {
        return nearA ? a : b;
    }
    return randomBelow(context.random, 2) == 0 ? a : b;
}

std::size_t firstByPrefix(const routing_context &context, const indices &candidateIndices)
{
    const auto best = rendezvousTop(
        std::to_string(context.query.prefix), candidateIndices.size(), 1,
        [&](std::size_t i) -> std::string_view {
            return context.servers[candidateIndices[i]].name;
        },
        [](std::size_t) {
            return true;
        });
    return best.front();
}

/// The power of two choices: with random pairs, entries that share the same outdated hints don't all choose
/// the same least loaded server.
std::size_t chooseOfTwo(const routing_context &context, const indices &candidateIndices)
{
    if (candidateIndices.size() == 1) {
        return candidateIndices.front();
    }
    const bool byPrefix = context.query.prefix != 0;
    const std::size_t first = byPrefix ? firstByPrefix(context, candidateIndices)
                                       : randomBelow(context.random, candidateIndices.size());
    const std::size_t step = 1 + randomBelow(context.random, candidateIndices.size() - 1);
    const std::size_t a = candidateIndices[first];
    const std::size_t b = candidateIndices[(first + step) % candidateIndices.size()];
    if (byPrefix) {
        const double fillA = expectedFill(context.servers[a]);
        const double fillB = expectedFill(context.servers[b]);
        if (fillA < fullFill && fillA <= fillB + prefixMargin) {
            return a;
        }
    }
    return betterByFill(context, a, b);
}

std::optional<std::size_t> leastLoaded(const routing_context &context)
{
    indices all = eligibleServers(context);
    // Shuffled first, so that entries with the same view don't all choose the first of several equal servers.
    std::shuffle(all.begin(), all.end(), context.random);
    const auto best = std::min_element(all.begin(), all.end(), [&context](std::size_t a, std::size_t b) {
        return expectedFill(context.servers[a]) < expectedFill(context.servers[b]);
    });
    return best == all.end() ? std::nullopt : std::optional(*best);
}

std::optional<std::size_t> randomServer(const routing_context &context)
{
    const indices all = eligibleServers(context);
    return all.empty() ? std::nullopt : std::optional(all[randomBelow(context.random, all.size())]);
}

std::optional<std::size_t> frontOf(const indices &order)
{
    return order.empty() ? std::nullopt : std::optional(order.front());
}

std::optional<std::size_t> choose(const routing_context &context, routing_kind kind)
{
    switch (kind) {
    case routing_kind::Random:
        return randomServer(context);
    case routing_kind::LeastLoaded:
        return leastLoaded(context);
    case routing_kind::RendezvousLru:
        return frontOf(firstByAdapter(context, 1, [&context](std::size_t i) {
            return isEligible(context, i);
        }));
    case routing_kind::Briarhead:
        break;
    }
    const indices candidateIndices = candidates(context);
    return candidateIndices.empty() ? std::nullopt : std::optional(chooseOfTwo(context, candidateIndices));
}

}

std::string_view nameOf(routing_kind value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < routingNames.size() ? routingNames[index] : routingNames.front();
}

std::optional<routing_kind> routingKindOf(std::string_view name)
{
    for (std::size_t i = 0; i < routingNames.size(); ++i) {
        if (routingNames[i] == name) {
            return static_cast<routing_kind>(i);
        }
    }
    return std::nullopt;
}

double expectedFill(const server_view &server)
{
    const double firstHand = server.sentHere;
    const double hinted = static_cast<double>(server.hintedInFlight) + server.hintedWaiting;
    const double weight =
        std::exp(-static_cast<double>(std::max(server.hintAge.count, std::int64_t{0})) / hintDecayMs);
    // The hinted load, which includes this entry's own requests, fades; the first-hand count stays. Requests
    // sent after the hint are not part of it, so they are added: otherwise a whole burst would go to the
    // server that was empty.
    const double expected = weight * (hinted + server.sentSinceHint) + (1 - weight) * firstHand;
    return std::max(expected, firstHand) / std::max(server.batchLimit, 1U);
}

std::optional<std::string> chooseServer(const route_query &query, std::span<const server_view> servers,
    double stallWeight, routing_kind kind, std::mt19937_64 &random)
{
    const auto chosen = choose(routing_context{query, servers, stallWeight, random}, kind);
    return chosen ? std::optional(servers[*chosen].name) : std::nullopt;
}

}
