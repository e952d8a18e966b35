#include "coordination/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace briarhead {

namespace {

/// Coming back sooner than this would cost more than it brings.
constexpr double minRetryAfterMs = 50;
/// The share of queue places from which a priority is shed, in the order of `priority`.
constexpr std::array<double, 4> shedShare{1.0, 0.95, 0.8, 0.5};
static_assert(shedShare.size() == static_cast<std::size_t>(priority::Low) + 1);
/// From this share of queue places on, a caller is held to its fair share of them.
constexpr double fairnessFrom = 0.5;

/// How far the queue has to drain before the request would be accepted, or nothing when it is now.
using excess = std::optional<double>;

std::uint32_t freePlaces(const admission_view &queue)
{
    return queue.batchLimit > queue.inFlight ? queue.batchLimit - queue.inFlight : 0;
}

std::uint32_t totalWaiting(const admission_view &queue)
{
    return std::max(queue.waiting, queue.waitingAhead);
}

/// Time in which one place of a full batch comes free.
double msPerPlace(const admission_view &queue)
{
    return queue.meanServiceMs / std::max(queue.batchLimit, 1U);
}

double loadWaitMs(const admission_view &queue)
{
    return queue.resident ? 0 : queue.slotFreeInMs + (queue.loadsAhead + 1.0) * queue.loadMs;
}

/// Waiting for a place and waiting for the adapter overlap, so the longer one counts.
double expectedWaitMs(const admission_view &queue)
{
    const std::uint32_t free = freePlaces(queue);
    const double places = queue.waitingAhead < free ? 0 : queue.waitingAhead - free + 1.0;
    return std::max(places * msPerPlace(queue), loadWaitMs(queue));
}

bool canStartNow(const admission_view &queue)
{
    return queue.resident && queue.waitingAhead < freePlaces(queue);
}

/// Guards against an overload in which all priorities time out together: the last places of the queue are
/// kept for the better ones, and lower ones learn at once that they were not run.
excess overPriorityShare(const admission_view &queue, priority rank)
{
    const double accepted = queue.waitingLimit * shedShare[static_cast<std::size_t>(rank)];
    const double waiting = totalWaiting(queue);
    return waiting + 1 <= accepted ? excess() : waiting + 1 - accepted;
}

/// Guards against one busy caller that fills the queue, so that the others' requests are refused.
excess overFairShare(const admission_view &queue)
{
    const double from = queue.waitingLimit * fairnessFrom;
    const double waiting = totalWaiting(queue);
    if (waiting <= from) {
        return std::nullopt;
    }
    const double share = std::max(1.0, std::floor(queue.waitingLimit / std::max(queue.callersWaiting, 1U)));
    if (queue.callerWaiting < share) {
        return std::nullopt;
    }
    // Accepted again when the queue is half full or when the caller's own requests are within its share.
    // Its own are spread through the queue, so each of them takes as long as a turn of all callers.
    const double ownTurns = (queue.callerWaiting + 1 - share) * std::max(queue.callersWaiting, 1U);
    return std::min(waiting - from, ownTurns);
}

millis roundedUp(double ms)
{
    return {static_cast<std::int64_t>(std::ceil(ms))};
}

admission_decision refuse(error_kind why, double waitMs, double retryMs)
{
    return {false, why, roundedUp(waitMs), roundedUp(std::max(retryMs, minRetryAfterMs))};
}

}

admission_decision admit(const admission_view &queue, priority rank, millis deadlineLeft)
{
    const double waitMs = expectedWaitMs(queue);
    // A deadline shorter than the service alone is never met; then the drained queue is the best hint.
    const double lateMs = waitMs + queue.meanServiceMs - static_cast<double>(deadlineLeft.count);
    if (lateMs > 0 || deadlineLeft <= millis{0}) {
        return refuse(error_kind::DeadlineTooShort, waitMs, std::min(lateMs, waitMs));
    }
    if (!canStartNow(queue)) {
        const excess shed = overPriorityShare(queue, rank);
        const excess unfair = overFairShare(queue);
        if (shed || unfair) {
            const double drainMs = std::max(shed.value_or(0), unfair.value_or(0)) * msPerPlace(queue);
            // Requests that wait for loads leave the queue no sooner than the load under way ends.
            return refuse(
                error_kind::Overloaded, waitMs, queue.resident ? drainMs : std::max(drainMs, queue.loadMs));
        }
    }
    return {true, error_kind::None, roundedUp(waitMs), millis{0}};
}

std::optional<millis> acquireCallerLimit(caller_limit &limit, const rule_config &rule, millis now)
{
    const double burst = std::max<double>(rule.perSecond, 1);
    if (limit.isNew) {
        limit = {.inFlight = limit.inFlight, .tokens = burst, .filledAt = now, .isNew = false};
    }
    if (now > limit.filledAt) {
        const double seconds = static_cast<double>((now - limit.filledAt).count) / 1000.0;
        limit.tokens = std::min(limit.tokens + seconds * rule.perSecond, burst);
        limit.filledAt = now;
    }
    if (rule.inFlight > 0 && limit.inFlight >= rule.inFlight) {
        return roundedUp(std::max(limit.meanHeldMs / limit.inFlight, minRetryAfterMs));
    }
    if (rule.perSecond > 0) {
        if (limit.tokens < 1) {
            return roundedUp(std::max((1 - limit.tokens) * 1000.0 / rule.perSecond, 1.0));
        }
        limit.tokens -= 1;
    }
    ++limit.inFlight;
    return std::nullopt;
}

void releaseCallerLimit(caller_limit &limit, millis held)
{
    if (limit.inFlight > 0) {
        --limit.inFlight;
    }
    constexpr double newestShare = 0.1;
    const double heldMs = static_cast<double>(held.count);
    limit.meanHeldMs =
        limit.meanHeldMs == 0 ? heldMs : limit.meanHeldMs + newestShare * (heldMs - limit.meanHeldMs);
}

}
