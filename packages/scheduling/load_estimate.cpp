#include "scheduling/load_estimate.h"

#include <algorithm>

namespace briarhead {

namespace {

double inMs(millis span)
{
    return static_cast<double>(span.count);
}

bool isSlow(const load_estimate &estimate, millis duration)
{
    return inMs(duration) > slowLoadRatio * estimate.fastestMs;
}

/// The capacity that explains why loads took this long with this many in progress.
double capacityFrom(const load_estimate &estimate, millis duration, double concurrentLoads)
{
    return std::max(concurrentLoads * estimate.fastestMs / inMs(duration), minLoadCapacity);
}

}

void recordLoad(load_estimate &estimate, millis duration, double concurrentLoads, millis now)
{
    if (inMs(duration) < cachedLoadRatio * estimate.fastestMs) {
        return; // came from the server's memory
    }
    estimate.fastestMs = std::min(inMs(duration), estimate.fastestMs);
    if (!isSlow(estimate, duration)) {
        if (concurrentLoads > estimate.capacity) {
            estimate.capacity = concurrentLoads;
            estimate.updatedAt = now;
        }
        return;
    }
    if (concurrentLoads >= minConcurrentLoads) {
        estimate.capacity +=
            ownSampleWeight * (capacityFrom(estimate, duration, concurrentLoads) - estimate.capacity);
        estimate.updatedAt = now;
    }
}

void recordLoadInProgress(load_estimate &estimate, millis elapsed, double concurrentLoads, millis now)
{
    if (concurrentLoads < minConcurrentLoads || !isSlow(estimate, elapsed)) {
        return;
    }
    const double upperBound = capacityFrom(estimate, elapsed, concurrentLoads);
    if (upperBound < estimate.capacity) {
        estimate.capacity = upperBound;
        estimate.updatedAt = now;
    }
}

void applyPeerEstimate(load_estimate &estimate, double capacity)
{
    if (capacity > 0) {
        estimate.capacity += peerSampleWeight * (capacity - estimate.capacity);
    }
}

double estimateToShare(const load_estimate &estimate, millis now)
{
    const bool isRecent = estimate.updatedAt.count != 0 && now - estimate.updatedAt < estimateLifetime;
    return isRecent ? estimate.capacity : 0;
}

double expectedLoadMs(const load_estimate &estimate)
{
    return estimate.fastestMs * std::max((estimate.concurrentLoads + 1) / estimate.capacity, 1.0);
}

}
