#include "coordination/replicas.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace briarhead {

namespace {

/// An adapter's popularity is rising when its fast rate exceeds the slow one by this factor.
constexpr double riseFactor = 1.5;
/// The fraction of a batch that an adapter is planned to fill per replica, at a stall weight of 0 and of 1.
constexpr double maxPlannedFill = 0.8;
constexpr double minPlannedFill = 0.3;
/// A replica is removed only if the others would stay below this fraction of the planned fill. Without the
/// gap, a load near the threshold would add and remove a replica, and load it again, every few seconds.
constexpr double removalMargin = 0.75;

double plannedFill(double stallWeight)
{
    return maxPlannedFill + (minPlannedFill - maxPlannedFill) * std::clamp(stallWeight, 0.0, 1.0);
}

std::uint32_t replicasFor(double busyPlaces, double placesPerReplica, std::uint32_t limit)
{
    const double wanted = std::ceil(busyPlaces / placesPerReplica);
    return static_cast<std::uint32_t>(std::clamp(wanted, 1.0, static_cast<double>(limit)));
}

double decayOver(double value, millis span, std::int64_t constantMs)
{
    return value * std::exp(-static_cast<double>(span.count) / static_cast<double>(constantMs));
}

}

arrival_rate decayed(const arrival_rate &rate, millis now)
{
    if (now <= rate.last) {
        return rate;
    }
    const millis span = now - rate.last;
    return {decayOver(rate.fast, span, arrivalFastMs), decayOver(rate.slow, span, arrivalSlowMs), now};
}

void countArrivals(arrival_rate &rate, double count, millis now)
{
    rate = decayed(rate, now);
    rate.fast += count * 1000.0 / static_cast<double>(arrivalFastMs);
    rate.slow += count * 1000.0 / static_cast<double>(arrivalSlowMs);
}

std::uint32_t wantedReplicas(
    const arrival_rate &rate, double meanServiceMs, std::uint32_t current, const replica_policy &policy)
{
    const std::uint32_t limit = std::max(policy.maxReplicas, 1U);
    const double placesPerReplica = plannedFill(policy.stallWeight) * std::max(policy.batchLimit, 1U);
    const double serviceSeconds = std::max(meanServiceMs, 0.0) / 1000.0;

    // Little's law: requests in progress = arrivals per second times the seconds each one stays. A rise
    // counts at once through the fast rate; otherwise the slow rate is used, which a short burst hardly
    // changes.
    const bool rising = rate.fast > rate.slow * riseFactor;
    const double arrivals = rising ? rate.fast : rate.slow;
    const std::uint32_t wanted = replicasFor(arrivals * serviceSeconds, placesPerReplica, limit);
    if (wanted >= current || current <= 1) {
        return wanted;
    }
    if (current > limit) {
        return limit;
    }
    const double busyPlaces = std::max(rate.fast, rate.slow) * serviceSeconds;
    const std::uint32_t enough = replicasFor(busyPlaces, placesPerReplica * removalMargin, limit);
    return enough < current ? current - 1 : current;
}

std::vector<std::string> chooseReplicaServers(
    std::string_view adapter, std::span<const replica_candidate> candidates, std::uint32_t count)
{
    const auto order = rendezvousTop(
        adapter, candidates.size(), candidates.size(),
        [candidates](std::size_t i) -> std::string_view {
            return candidates[i].server;
        },
        [candidates](std::size_t i) {
            return !candidates[i].leaving;
        });

    std::map<std::string_view, std::uint32_t> usedDomains;
    std::vector<bool> used(candidates.size(), false);
    std::vector<std::string> chosen;
    while (chosen.size() < std::min<std::size_t>(count, order.size())) {
        std::size_t best = candidates.size();
        for (const std::size_t i : order) {
            if (!used[i]
                && (best == candidates.size()
                    || usedDomains[candidates[i].failureDomain]
                        < usedDomains[candidates[best].failureDomain])) {
                best = i;
            }
        }
        used[best] = true;
        ++usedDomains[candidates[best].failureDomain];
        chosen.push_back(candidates[best].server);
    }
    return chosen;
}

}
