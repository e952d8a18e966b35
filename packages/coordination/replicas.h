#pragma once

#include "state/clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace briarhead {

/// Arrival rates of one adapter, as its primary owner sees them: two exponentially weighted averages. A fast
/// rate above the slow one means that the adapter's popularity is rising.
struct arrival_rate
{
    double fast = 0; ///< per second, time constant arrivalFastMs
    double slow = 0; ///< per second, time constant arrivalSlowMs
    millis last; ///< time of the last update
};

constexpr std::int64_t arrivalFastMs = 2'000;
constexpr std::int64_t arrivalSlowMs = 60'000;

/// Adds `count` arrivals at `now`.
void countArrivals(arrival_rate &rate, double count, millis now);
/// The rates decayed to `now`.
arrival_rate decayed(const arrival_rate &rate, millis now);

/// A server that may hold a replica of an adapter.
struct replica_candidate
{
    std::string server;
    std::string failureDomain;
    bool leaving = false;
};

/// The configuration of the number of replicas.
struct replica_policy
{
    std::uint32_t maxReplicas = 4;
    double stallWeight = 0.5; ///< 1 favours more replicas with emptier batches, 0 fewer with fuller ones
    std::uint32_t batchLimit = 32;
};

/// The number of replicas that an adapter should have, from its arrivals and the mean time that a request
/// occupies a place in a batch. Compared with the `current` number it rises at once, and falls by one at a
/// time with hysteresis.
std::uint32_t wantedReplicas(
    const arrival_rate &rate, double meanServiceMs, std::uint32_t current, const replica_policy &policy);

/// The servers for `count` replicas of an adapter: its first server in rendezvous order, then the next ones
/// in that order, with failure domains that hold fewer replicas first. Leaving servers are skipped.
std::vector<std::string> chooseReplicaServers(
    std::string_view adapter, std::span<const replica_candidate> candidates, std::uint32_t count);

}
