#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace briarhead {

/// The queue of one server, as its owner knows it when a request asks for admission.
struct admission_view
{
    std::uint32_t inFlight = 0; ///< requests running in the batch
    std::uint32_t batchLimit = 1;
    std::uint32_t waitingAhead = 0; ///< queued requests of the same or a higher priority
    std::uint32_t waiting =
        0; ///< queued requests of all priorities; waitingAhead counts instead if it is larger
    std::uint32_t waitingLimit = 0; ///< capacity of the queue; 0: nothing may queue
    double meanServiceMs = 0; ///< of a request in the batch
    bool resident = false; ///< the request's adapter is loaded
    std::uint32_t loadsAhead = 0; ///< loads known to start before the one that the request needs
    double loadMs = 0; ///< mean time of one load
    double slotFreeInMs = 0; ///< earliest time at which an adapter slot can be freed; 0: any time
    std::uint32_t callerWaiting = 0; ///< this caller's requests in the queue
    std::uint32_t callersWaiting = 1; ///< callers with requests in the queue, including this one
};

/// Whether a request is admitted; if it isn't, when a retry can succeed.
struct admission_decision
{
    bool admitted = false;
    error_kind why = error_kind::None; ///< Overloaded or DeadlineTooShort
    millis expectedWait; ///< until the request would start
    millis retryAfter; ///< set if it is refused
};

/// Admits a request only if it can start and finish before its deadline, judged by the current queue.
/// As the queue fills, low priorities are refused before high ones, and a caller that holds more than its
/// fair share of a half full queue is refused before the others.
admission_decision admit(const admission_view &queue, priority rank, millis deadlineLeft);

/// State of a rule's limits (requests per second and in flight) for one caller on one entry.
struct caller_limit
{
    std::uint32_t inFlight = 0;
    double tokens = 0;
    millis filledAt; ///< when the token bucket was last filled
    bool isNew = true; ///< the bucket has not been filled yet
    double meanHeldMs = 0; ///< mean time that a request stays in flight
};

/// Takes a token and an in-flight place for one request and returns nothing. If the caller is over its limit,
/// takes nothing and returns the time until there is room. The place is held until releaseCallerLimit().
std::optional<millis> acquireCallerLimit(caller_limit &limit, const rule_config &rule, millis now);
/// Releases the in-flight place of a request that acquireCallerLimit() let through, after it was held for
/// `held`.
void releaseCallerLimit(caller_limit &limit, millis held);

}
