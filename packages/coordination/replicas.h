#pragma once

#include "state/clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace briarhead {

/// Arrivals of one adapter as its primary owner sees them: two exponentially weighted rates. A fast one
/// above a slow one is a rise.
struct arrival_rate
{
    double fast = 0; ///< per second, time constant arrivalFastMs
    double slow = 0; ///< per second, time constant arrivalSlowMs
    millis last;
};

constexpr std::int64_t arrivalFastMs = 2'000;
constexpr std::int64_t arrivalSlowMs = 60'000;

/// Counts `count` arrivals at `now`.
void countArrivals(arrival_rate &rate, double count, millis now);
/// The rates decayed to `now`.
arrival_rate decayed(const arrival_rate &rate, millis now);

/// One candidate server for a replica.
struct replica_candidate
{
    std::string server;
    std::string failureDomain;
    bool leaving = false;
};

struct replica_policy
{
    std::uint32_t maxReplicas = 4;
    double stallWeight = 0.5;
    std::uint32_t batchLimit = 32;
};

/// How many replicas an adapter wants, from its arrivals and the mean time a request occupies a batch
/// place. Rises at once and falls one at a time with hysteresis, given what it has now.
std::uint32_t wantedReplicas(
    const arrival_rate &rate, double meanServiceMs, std::uint32_t now, const replica_policy &policy);

/// The servers to spread over: rendezvous order on the adapter, the first one first, then those in
/// failure domains not yet used before others.
std::vector<std::string> chooseReplicaServers(
    std::string_view adapter, std::span<const replica_candidate> sites, std::uint32_t count);

}
