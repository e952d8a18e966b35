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

/// A hint's weight falls to 1/e within this time; after a few of them only first-hand counts are left.
constexpr double hintDecayMs = 2'000;
/// The prefix's server is taken unless it is fuller than the other one by more than this part of a batch:
/// a cached prompt head saves less than a full batch costs.
constexpr double prefixMargin = 0.15;
/// Fills closer than this count as equal, and the failure domain decides.
constexpr double nearTie = 0.05;
/// Up to which fill a server is preferred for being fuller, at a stall weight of 0. Below 1, so that the
/// requests which other entries send in the same moment still find room.
constexpr double packTarget = 0.85;
/// How much worse a part of a batch above the target is than one below it.
constexpr double overTargetCost = 4;
/// At this fill a batch has no place left.
constexpr double fullFill = 1;
/// From this fill on, a request may go to a server that has yet to load the adapter. Above fullFill, since a
/// short queue passes sooner than a load does.
constexpr double overflowFill = 1.25;

struct router
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

bool fit(const router &at, std::size_t i)
{
    const server_view &server = at.servers[i];
    return !server.leaving && !server.open && server.baseModel == at.query.baseModel
        && !contains(at.query.tried, server.name);
}

std::size_t randomBelow(std::mt19937_64 &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

template <class accept>
indices firstByAdapter(const router &at, std::size_t count, const accept &accepts)
{
    return rendezvousTop(
        at.query.adapter.adapter, at.servers.size(), count,
        [&at](std::size_t i) -> std::string_view {
            return at.servers[i].name;
        },
        accepts);
}

indices fitServers(const router &at)
{
    indices all;
    for (std::size_t i = 0; i < at.servers.size(); ++i) {
        if (fit(at, i)) {
            all.push_back(i);
        }
    }
    return all;
}

indices fitReplicas(const router &at)
{
    indices replicas;
    if (at.query.replicas.empty()) {
        return replicas;
    }
    for (std::size_t i = 0; i < at.servers.size(); ++i) {
        if (contains(at.query.replicas, at.servers[i].name) && fit(at, i)) {
            replicas.push_back(i);
        }
    }
    return replicas;
}

/// The replicas, or the adapter's first server; with one more that has room when all of them overflow.
indices candidates(const router &at)
{
    indices chosen = fitReplicas(at);
    if (chosen.empty()) {
        chosen = firstByAdapter(at, 1, [&at](std::size_t i) {
            return fit(at, i);
        });
    }
    const auto fill = [&at](std::size_t i) {
        return expectedFill(at.servers[i]);
    };
    if (std::all_of(chosen.begin(), chosen.end(), [&](std::size_t i) {
            return fill(i) >= overflowFill;
        })) {
        // None of the chosen ones has room, so a server that has can't be one of them.
        const auto next = firstByAdapter(at, 1, [&](std::size_t i) {
            return fit(at, i) && fill(i) < fullFill;
        });
        chosen.insert(chosen.end(), next.begin(), next.end());
    }
    return chosen;
}

/// The distance from the fill the weight aims for: batches are filled up to it one server after the other,
/// and spread evenly above it. A stall weight of 1 aims for empty servers, 0 for nearly full ones.
double costOf(double fill, double stallWeight)
{
    const double target = packTarget * (1 - std::clamp(stallWeight, 0.0, 1.0));
    return fill <= target ? target - fill : (fill - target) * overTargetCost;
}

std::size_t betterByLoad(const router &at, std::size_t a, std::size_t b)
{
    const double fillA = expectedFill(at.servers[a]);
    const double fillB = expectedFill(at.servers[b]);
    if (std::abs(fillA - fillB) >= nearTie) {
        return costOf(fillA, at.stallWeight) < costOf(fillB, at.stallWeight) ? a : b;
    }
    const bool nearA = at.servers[a].failureDomain == at.query.failureDomain;
    const bool nearB = at.servers[b].failureDomain == at.query.failureDomain;
    if (nearA != nearB) {
        return nearA ? a : b;
    }
    return randomBelow(at.random, 2) == 0 ? a : b;
}

std::size_t firstByPrefix(const router &at, const indices &among)
{
    const auto best = rendezvousTop(
        std::to_string(at.query.prefix), among.size(), 1,
        [&](std::size_t i) -> std::string_view {
            return at.servers[among[i]].name;
        },
        [](std::size_t) {
            return true;
        });
    return best.front();
}

/// Power of two choices: random pairs don't run after one least-filled server as all entries would do on
/// the same late hints.
std::size_t chooseOfTwo(const router &at, const indices &among)
{
    if (among.size() == 1) {
        return among.front();
    }
    const bool byPrefix = at.query.prefix != 0;
    const std::size_t first = byPrefix ? firstByPrefix(at, among) : randomBelow(at.random, among.size());
    const std::size_t step = 1 + randomBelow(at.random, among.size() - 1);
    const std::size_t a = among[first];
    const std::size_t b = among[(first + step) % among.size()];
    if (byPrefix) {
        const double fillA = expectedFill(at.servers[a]);
        const double fillB = expectedFill(at.servers[b]);
        if (fillA < fullFill && fillA <= fillB + prefixMargin) {
            return a;
        }
    }
    return betterByLoad(at, a, b);
}

std::optional<std::size_t> leastLoaded(const router &at)
{
    indices all = fitServers(at);
    // Shuffled first, so that entries with the same view don't all take the first of equals.
    std::shuffle(all.begin(), all.end(), at.random);
    const auto best = std::min_element(all.begin(), all.end(), [&at](std::size_t a, std::size_t b) {
        return expectedFill(at.servers[a]) < expectedFill(at.servers[b]);
    });
    return best == all.end() ? std::nullopt : std::optional(*best);
}

std::optional<std::size_t> anyOf(const router &at)
{
    const indices all = fitServers(at);
    return all.empty() ? std::nullopt : std::optional(all[randomBelow(at.random, all.size())]);
}

std::optional<std::size_t> firstOf(const indices &order)
{
    return order.empty() ? std::nullopt : std::optional(order.front());
}

std::optional<std::size_t> choose(const router &at, routing_kind kind)
{
    switch (kind) {
    case routing_kind::Random:
        return anyOf(at);
    case routing_kind::LeastLoaded:
        return leastLoaded(at);
    case routing_kind::RendezvousLru:
        return firstOf(firstByAdapter(at, 1, [&at](std::size_t i) {
            return fit(at, i);
        }));
    case routing_kind::Briarhead:
        break;
    }
    const indices among = candidates(at);
    return among.empty() ? std::nullopt : std::optional(chooseOfTwo(at, among));
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
    // What the hint counted fades, with this entry's own share in it; what is first-hand stays. Requests sent
    // after the hint are in no hint yet: without them a burst would all run to the server that was empty.
    const double expected = weight * (hinted + server.sentSinceHint) + (1 - weight) * firstHand;
    return std::max(expected, firstHand) / std::max(server.batchLimit, 1U);
}

std::optional<std::string> chooseServer(const route_query &query, std::span<const server_view> servers,
    double stallWeight, routing_kind kind, std::mt19937_64 &random)
{
    const auto chosen = choose(router{query, servers, stallWeight, random}, kind);
    return chosen ? std::optional(servers[*chosen].name) : std::nullopt;
}

}
