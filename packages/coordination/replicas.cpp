#include "coordination/replicas.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace briarhead {

namespace {

/// The fast rate is above the slow one by this factor when an adapter's popularity rises.
constexpr double riseFactor = 1.5;
/// The part of a batch that one adapter plans to fill per replica, at a stall weight of 0 and of 1.
constexpr double packedFill = 0.8;
constexpr double spreadFill = 0.3;
/// A replica is given up only when the others would stay below this part of the planned fill; without
/// the gap a load at the border would add and drop a replica, and load it again, every few seconds.
constexpr double fallMargin = 0.75;

double plannedFill(double stallWeight)
{
    return packedFill + (spreadFill - packedFill) * std::clamp(stallWeight, 0.0, 1.0);
}

std::uint32_t replicasFor(double busyPlaces, double placesEach, std::uint32_t limit)
{
    const double wanted = std::ceil(busyPlaces / placesEach);
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
    const arrival_rate &rate, double meanServiceMs, std::uint32_t now, const replica_policy &policy)
{
    const std::uint32_t limit = std::max(policy.maxReplicas, 1U);
    const double placesEach = plannedFill(policy.stallWeight) * std::max(policy.batchLimit, 1U);
    const double serviceSeconds = std::max(meanServiceMs, 0.0) / 1000.0;

    // Little's law: requests in progress = arrivals per second times the seconds each one stays. On a rise
    // the fast rate counts at once; otherwise the slow one, which a short burst doesn't move.
    const bool rising = rate.fast > rate.slow * riseFactor;
    const double arrivals = rising ? rate.fast : rate.slow;
    const std::uint32_t wanted = replicasFor(arrivals * serviceSeconds, placesEach, limit);
    if (wanted >= now || now <= 1) {
        return wanted;
    }
    if (now > limit) {
        return limit;
    }
    const double busiest = std::max(rate.fast, rate.slow) * serviceSeconds;
    const std::uint32_t safe = replicasFor(busiest, placesEach * fallMargin, limit);
    return safe < now ? now - 1 : now;
}

std::vector<std::string> chooseReplicaServers(
    std::string_view adapter, std::span<const replica_candidate> sites, std::uint32_t count)
{
    const auto order = rendezvousTop(
        adapter, sites.size(), sites.size(),
        [sites](std::size_t i) -> std::string_view {
            return sites[i].server;
        },
        [sites](std::size_t i) {
            return !sites[i].leaving;
        });

    std::map<std::string_view, std::uint32_t> usedDomains;
    std::vector<bool> taken(sites.size(), false);
    std::vector<std::string> chosen;
    while (chosen.size() < std::min<std::size_t>(count, order.size())) {
        std::size_t best = sites.size();
        for (const std::size_t i : order) {
            if (!taken[i]
                && (best == sites.size()
                    || usedDomains[sites[i].failureDomain] < usedDomains[sites[best].failureDomain])) {
                best = i;
            }
        }
        taken[best] = true;
        ++usedDomains[sites[best].failureDomain];
        chosen.push_back(sites[best].server);
    }
    return chosen;
}

}
