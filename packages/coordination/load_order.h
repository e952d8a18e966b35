#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/outcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarhead {

/// The demand for loading one adapter.
struct load_demand
{
    adapter_ref adapter;
    std::uint32_t waiting = 0; ///< requests that wait for the adapter
    priority bestPriority = priority::Normal; ///< of the waiting requests
    millis earliestDeadline; ///< point in time; of the waiting requests
    millis oldestArrival;
    double penalty = 0; ///< sum of the penalties for the latency targets that the waiting requests would miss
    double rate = 0; ///< arrivals per second, for prefetching
};

/// The urgency of a load; the highest goes first. Waiting requests come before prefetching, then a better
/// priority; within a priority, less slack between a load of `loadMs` and the deadline, a higher penalty and
/// more waiting requests count.
double loadUrgency(const load_demand &demand, millis now, double loadMs);

/// The index of the load to start next, or nothing.
std::optional<std::size_t> nextLoad(std::span<const load_demand> demands, millis now, double loadMs);

/// The weight store's load budget, as its broker keeps it: the most urgent load starts first, at most
/// `concurrency` run at a time and `perSecond` start per second. A grant that is not released expires after
/// grantTimeoutMs, so a dead owner costs some rate but can't stop all loads.
struct load_budget
{
    /// An owner's request to start a load.
    struct request
    {
        std::string owner;
        std::uint64_t ticket = 0;
        double urgency = 0;
        millis requestedAt; ///< last time; expires after requestTimeoutMs
    };
    /// A load that may run.
    struct grant
    {
        std::string owner;
        std::uint64_t ticket = 0;
        millis confirmedAt; ///< when it was granted or last requested again
        bool resend = false; ///< the owner may not have received it, so it is sent again at no cost
    };
    std::vector<request> waiting;
    std::vector<grant> running;
    double tokens = 1; ///< loads that may start now; refilled at `perSecond`
    millis filledAt;
};

constexpr std::int64_t grantTimeoutMs = 10'000;
constexpr std::int64_t requestTimeoutMs = 3'000;

/// Records a request. A request with a ticket that is already granted confirms the grant: an owner that keeps
/// requesting while it loads keeps its grant past grantTimeoutMs. It may receive the same grant again and
/// ignores it.
void requestLoad(load_budget &budget, const load_budget::request &request);
void releaseLoad(load_budget &budget, const std::string &owner, std::uint64_t ticket);
/// Moves the requests that may start now to `running` and returns the grants to send.
std::vector<load_budget::grant> grantLoads(
    load_budget &budget, double perSecond, std::uint32_t concurrency, millis now);

/// Whether an owner without a response from a broker may start a load `sinceLast` after its last such load:
/// each of the `liveOwners` uses an equal share of the rate.
bool mayLoadWithoutBroker(double perSecond, std::uint32_t liveOwners, millis sinceLast);

/// The back-off in milliseconds after `failures` failed loads in a row, with jitter from `random01` (0 to 1).
std::int64_t loadBackoffMs(std::uint32_t failures, double random01);

}
