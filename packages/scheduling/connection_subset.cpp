#include "scheduling/connection_subset.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;
/// Daemons choose in the order of their scores for this key, which is the same at all daemons.
constexpr std::string_view daemonOrderKey = "connection-subset";

/// Whether the server is in the daemon's failure domain, which comes first, and its rendezvous score.
using preference = std::pair<bool, std::uint64_t>;

preference preferenceOf(const subset_member &daemon, std::uint64_t seed, const subset_member &server)
{
    return {daemon.failureDomain == server.failureDomain, detail::nodeScore(seed, server.name)};
}

std::size_t maxDaemonsPerServer(std::size_t daemons, std::size_t servers)
{
    const double mean = static_cast<double>(daemons) / static_cast<double>(servers);
    return static_cast<std::size_t>(std::max(std::ceil(mean), std::floor(maxAssignmentRatio * mean)));
}

/// The server that a daemon prefers of those with room, other than `taken`. Without any, the one with the
/// fewest daemons.
std::size_t assignServer(const subset_member &daemon, const std::vector<subset_member> &servers,
    const std::vector<std::size_t> &counts, std::size_t maxCount, const std::vector<std::size_t> &taken)
{
    const std::uint64_t seed = detail::keySeed(daemon.name);
    std::size_t best = servers.size();
    preference bestPreference;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (std::find(taken.begin(), taken.end(), i) != taken.end()) {
            continue;
        }
        const bool hasRoom = counts[i] < maxCount;
        const bool bestHasRoom = best < servers.size() && counts[best] < maxCount;
        const bool worse = best < servers.size()
            && (bestHasRoom != hasRoom ? bestHasRoom : !hasRoom && counts[best] < counts[i]);
        if (worse) {
            continue;
        }
        const preference own = preferenceOf(daemon, seed, servers[i]);
        const bool better = best == servers.size() || bestHasRoom != hasRoom
            || (!hasRoom && counts[i] < counts[best]) || own > bestPreference;
        if (better) {
            best = i;
            bestPreference = own;
        }
    }
    return best;
}

}

std::vector<std::size_t> connectionOrder(const subset_member &daemon,
    const std::vector<subset_member> &daemons, const std::vector<subset_member> &servers)
{
    std::vector<subset_member> members = daemons;
    const bool known = std::any_of(daemons.begin(), daemons.end(), [&daemon](const subset_member &each) {
        return each.name == daemon.name;
    });
    if (!known) {
        members.push_back(daemon);
    }
    const auto byScore = rendezvousTop(
        daemonOrderKey, members.size(), members.size(),
        [&members](std::size_t i) {
            return members[i].name;
        },
        [](std::size_t) {
            return true;
        });
    const std::size_t positions = std::min(minSubsetSize, servers.size());
    const std::size_t maxCount = servers.empty() ? 0 : maxDaemonsPerServer(members.size(), servers.size());
    std::vector<std::vector<std::size_t>> counts(positions, std::vector<std::size_t>(servers.size()));
    std::vector<std::size_t> order;
    for (const std::size_t member : byScore) {
        order.clear();
        for (std::size_t position = 0; position < positions; ++position) {
            const std::size_t server =
                assignServer(members[member], servers, counts[position], maxCount, order);
            ++counts[position][server];
            order.push_back(server);
        }
        if (members[member].name == daemon.name) {
            break; // the daemons after it have no effect on it
        }
    }
    const std::uint64_t seed = detail::keySeed(daemon.name);
    std::vector<std::pair<preference, std::size_t>> others;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (std::find(order.begin(), order.end(), i) == order.end()) {
            others.emplace_back(preferenceOf(daemon, seed, servers[i]), i);
        }
    }
    const std::size_t count = std::min(others.size(), maxOrderedServers - order.size());
    std::partial_sort(
        others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count), others.end(), std::greater<>());
    for (std::size_t i = 0; i < count; ++i) {
        order.push_back(others[i].second);
    }
    return order;
}

namespace {

double decayed(const request_rate &rate, millis now)
{
    return rate.recent
        * std::exp(-static_cast<double>((now - rate.updatedAt).count)
            / static_cast<double>(requestRateWindow.count));
}

}

void countRequest(request_rate &rate, millis now)
{
    rate.firstAt = rate.total == 0 ? now : rate.firstAt;
    rate.recent = decayed(rate, now) + 1;
    rate.updatedAt = now;
    ++rate.total;
}

double requestsPerSecond(const request_rate &rate, millis now)
{
    if (rate.total < minRequestsForRate) {
        return -1;
    }
    const double window = static_cast<double>(requestRateWindow.count);
    const double age = std::max(static_cast<double>((now - rate.firstAt).count), 1.0);
    return decayed(rate, now) * msPerSecond / (window * -std::expm1(-age / window));
}

std::size_t subsetWidth(double requestsPerSecond, millis keepTime, std::size_t servers)
{
    if (requestsPerSecond < 0 || keepTime.count <= 0 || servers <= minSubsetSize) {
        return servers;
    }
    const double uses = requestsPerSecond * static_cast<double>(keepTime.count) / msPerSecond;
    const double width = std::min(uses / minUsesPerKeepTime, static_cast<double>(servers));
    return std::max(static_cast<std::size_t>(width), minSubsetSize);
}

std::size_t widenedSubset(const std::vector<subset_server> &order, std::size_t width, double targetMs)
{
    std::size_t usable = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (usable == width) {
            return i;
        }
        usable += order[i].usable && order[i].waitMs <= maxSubsetWaitShare * targetMs ? 1 : 0;
    }
    return order.size();
}

}
