#pragma once

#include "state/clock.h"

// How long an adapter takes from the weight store, which all servers share: alone some hundred ms, and longer
// in proportion once more are on their way than it delivers at once. Nobody tells how many these are, so each
// orderer learns it from its own loads, from the beats of the others, and from how many are on their way.
namespace briarhead {

/// Of an adapter that comes from the weight store alone, in ms: the quickest seen at the first deployments.
constexpr double initialLoadMs = 250;
/// Before anything was seen so many are taken to be delivered at once. Too low a start costs next to nothing:
/// four times as many are let on their way, and each round of quick loads raises it to as many.
constexpr double initialLoadCapacity = 16;
constexpr double minLoadCapacity = 4;
/// With fewer on their way a slow load has another cause: a slow server, an answer that was lost.
constexpr double minConcurrentLoads = 8;
/// A load this much slower than the quickest was slowed down by the others.
constexpr double slowLoadRatio = 1.3;
/// A load that takes less than this share of the quickest came from the server's own memory.
constexpr double cachedLoadRatio = 0.5;
/// Weight of one slow load, and of one that another orderer tells of.
constexpr double ownSampleWeight = 0.3;
constexpr double peerSampleWeight = 0.1;
/// What was learned is passed on for so long.
constexpr millis estimateLifetime{2'000};

struct load_estimate
{
    double fastestMs = initialLoadMs;
    double capacity = initialLoadCapacity; ///< adapters that come at full speed together
    double concurrentLoads = 0; ///< adapters on their way over all servers, as last counted
    millis updatedAt; ///< when a load of this daemon's said something of `atOnce`
};

/// A load took so long; `crowd` is the mean number on their way meanwhile.
void recordLoad(load_estimate &estimate, millis duration, double concurrentLoads, millis now);
/// A load that is still on its way: it will take longer than it has so far.
void recordLoadInProgress(load_estimate &estimate, millis elapsed, double concurrentLoads, millis now);
/// Another orderer's `atOnce`; 0: it has nothing to tell.
void applyPeerEstimate(load_estimate &estimate, double capacity);
/// What to pass on, or 0.
double estimateToShare(const load_estimate &estimate, millis now);
/// What a load would take that begins now.
double expectedLoadMs(const load_estimate &estimate);

}
