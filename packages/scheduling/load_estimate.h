#pragma once

#include "state/clock.h"

// Estimates how long it takes to load an adapter from the weight store, which all servers share. Up to some
// number of concurrent loads, the store's capacity, each takes the same time; beyond, the time grows in
// proportion. The capacity isn't configured, so each server owner estimates it from its own loads, from the
// estimates in other owners' heartbeats, and from the number of concurrent loads.
namespace briarhead {

/// Initial estimate of an adapter load without concurrent loads, on the fast side.
constexpr double initialLoadMs = 250;
/// Initial estimate of the capacity. Starting too low costs almost nothing: four times as many loads are
/// allowed at the same time, and each round of fast loads raises the estimate to their number.
constexpr double initialLoadCapacity = 16;
constexpr double minLoadCapacity = 4;
/// With fewer concurrent loads, a slow load has another cause, such as a slow server or a lost response.
constexpr double minConcurrentLoads = 8;
/// A load that takes longer than this multiple of the fastest was slowed down by concurrent loads.
constexpr double slowLoadRatio = 1.3;
/// A load that takes less than this fraction of the fastest came from the server's own memory.
constexpr double cachedLoadRatio = 0.5;
/// Weights in the moving average, of one slow load and of one peer's estimate.
constexpr double ownSampleWeight = 0.3;
constexpr double peerSampleWeight = 0.1;
/// How long an estimate is shared with other owners after it was updated.
constexpr millis estimateLifetime{2'000};

/// What an owner knows about the speed of the weight store.
struct load_estimate
{
    double fastestMs = initialLoadMs; ///< fastest load from the weight store so far
    double capacity = initialLoadCapacity; ///< concurrent loads that all run at full speed
    double concurrentLoads = 0; ///< loads in progress over all servers, as last counted
    millis updatedAt; ///< when a load ordered by this daemon last changed `capacity`
};

/// Records a finished load. `concurrentLoads`: mean number of loads in progress meanwhile.
void recordLoad(load_estimate &estimate, millis duration, double concurrentLoads, millis now);
/// Records a load in progress, which will take at least `elapsed`. Lets the estimate fall before slow loads
/// have finished.
void recordLoadInProgress(load_estimate &estimate, millis elapsed, double concurrentLoads, millis now);
/// Applies the capacity that another owner shares; 0 means that it has no recent estimate.
void applyPeerEstimate(load_estimate &estimate, double capacity);
/// The capacity to share with other owners, or 0 if the estimate isn't recent.
double estimateToShare(const load_estimate &estimate, millis now);
/// The expected duration, in ms, of a load that starts now.
double expectedLoadMs(const load_estimate &estimate);

}
