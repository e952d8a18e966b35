#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace briarhead {

/// The state of a server's queue as its owner knows it when a request asks for admission.
struct admission_view
{
    std::uint32_t inFlight = 0;
    std::uint32_t batchLimit = 1;
    std::uint32_t waitingAhead = 0; ///< of the same or better priority
    std::uint32_t waiting = 0; ///< of all priorities; waitingAhead counts when it is more
    std::uint32_t waitingLimit = 0; ///< queue places, 0: none
    double meanServiceMs = 0; ///< of a request in the batch
    bool resident = false;
    std::uint32_t loadsAhead = 0; ///< loads that go before the one it needs, in the whole store as known
    double loadMs = 0; ///< of one load
    double slotFreeInMs = 0; ///< until a slot for it can come free at the earliest; 0: any time
    std::uint32_t callerWaiting = 0; ///< this caller's requests in this queue
    std::uint32_t callersWaiting = 1; ///< callers with requests in this queue, this one included
};

/// Admitted, or refused at once with the time after which coming back helps.
struct admission_decision
{
    bool admitted = false;
    error_kind why = error_kind::None; ///< Overloaded or DeadlineTooShort
    millis expectedWait;
    millis retryAfter;
};

/// Admits a request only if it can start in time; the expected wait comes from the queue's real state.
/// A caller with more than its share of a nearly full queue is refused first, and low priorities are
/// shed before high ones as the queue fills.
admission_decision admit(const admission_view &queue, priority rank, millis deadlineLeft);

/// A rule's per-second and in-flight limits for one caller on one entry.
struct caller_limit
{
    std::uint32_t inFlight = 0;
    double tokens = 0;
    millis filledAt;
    bool isNew = true;
    double meanHeldMs = 0; ///< time a request stays in flight
};

/// Takes one request's worth (a token, and a place in flight until releaseCallerLimit) and returns nothing,
/// or says how long until one is free.
std::optional<millis> acquireCallerLimit(caller_limit &limit, const rule_config &rule, millis now);
/// A request that acquireCallerLimit let through has ended after `held`.
void releaseCallerLimit(caller_limit &limit, millis held);

}
