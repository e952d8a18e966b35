#pragma once

#include "state/clock.h"

#include <algorithm>
#include <cmath>

// Moving averages of the demand for an account's limit, and what less urgent requests leave to the most
// urgent ones.
namespace briarhead {

/// Units per second that were requested recently.
struct demand_average
{
    double rate = 0; ///< as of `updatedAt`
    millis updatedAt;
    double meanCost = 0; ///< units per request
};

/// Demand is averaged over about this many requests, within the bounds below. Many requests make it react
/// within a second when clients move to another daemon; with few requests, a random gap is not mistaken for
/// the end of demand.
constexpr double demandWindowRequests = 8;
constexpr double minDemandWindowMs = 500;
constexpr double maxDemandWindowMs = 4'000;
/// After this many mean intervals without a request, the callers are assumed to have left. At random, one
/// interval in 1,100 is as long.
constexpr double idleAfterGaps = 7;
constexpr double newestCostWeight = 0.1; ///< weight of the latest request in the mean cost

inline double demandWindowMs(const demand_average &demand)
{
    constexpr double msPerSecond = 1'000;
    const double windowMs = demand.rate > 0
        ? demandWindowRequests * demand.meanCost * msPerSecond / demand.rate
        : maxDemandWindowMs;
    return std::clamp(windowMs, minDemandWindowMs, maxDemandWindowMs);
}

inline double currentDemand(const demand_average &demand, millis now)
{
    constexpr double msPerSecond = 1'000;
    const auto age = static_cast<double>((now - demand.updatedAt).count);
    if (age * demand.rate > idleAfterGaps * demand.meanCost * msPerSecond) {
        return 0;
    }
    return demand.rate * std::exp(-age / demandWindowMs(demand));
}

inline void recordDemand(demand_average &demand, double cost, millis now)
{
    constexpr double msPerSecond = 1'000;
    demand.meanCost =
        demand.meanCost == 0 ? cost : demand.meanCost + newestCostWeight * (cost - demand.meanCost);
    const double windowMs = demandWindowMs(demand);
    demand.rate = currentDemand(demand, now) + cost * msPerSecond / windowMs;
    demand.updatedAt = now;
}

/// Less urgent requests leave in a bucket what the most urgent ones are predicted to need for this long, and
/// at least one request. A second is how soon the others have to get what the urgent ones no longer use.
constexpr double urgentReserveSeconds = 1;
/// Fraction of a bucket's depth that the reserve may take, so that it never closes the bucket.
constexpr double maxReserveOfDepth = 0.5;
/// Fraction of a limit that less urgent requests may use whatever the urgent demand is, so that no rank is
/// shut out. At half of this rate a caller of the smallest limits (4,200 units per second) that repeats its
/// request within 15 s finds units for it; under the heaviest urgent demand of the tests they get half or
/// more.
constexpr double minLessUrgentShare = 0.05;

/// Units that less urgent requests leave in a bucket of that depth, filled at `fillRate` units per second. It
/// holds units back once, not continuously: beyond it, all that flows in is free for any request, so the
/// limit is used as fully as without it.
inline double urgentReserve(const demand_average &urgent, double fillRate, double depth, millis now)
{
    const double demand = currentDemand(urgent, now);
    if (demand <= 0) {
        return 0;
    }
    const double predicted = std::min(demand, fillRate) * urgentReserveSeconds;
    return std::min(std::max(predicted, urgent.meanCost), maxReserveOfDepth * depth);
}

}
