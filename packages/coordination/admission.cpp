#include "coordination/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace briarhead {

namespace {

/// A caller that returns sooner than this costs more than the earlier start is worth.
constexpr double minRetryAfterMs = 50;
/// The fraction of the queue's capacity from which requests are refused, by priority in the order of
/// `priority`.
constexpr std::array<double, 4> shedShare{1.0, 0.95, 0.8, 0.5};
static_assert(shedShare.size() == static_cast<std::size_t>(priority::Low) + 1);
/// A caller is held to its fair share of the queue once the queue is filled to this fraction.
constexpr double fairnessFrom = 0.5;

/// How many requests have to leave the queue before the request would be accepted; nothing: it is accepted
/// now.
using excess = std::optional<double>;

std::uint32_t freePlaces(const admission_view &queue)
{
    return queue.batchLimit > queue.inFlight ? queue.batchLimit - queue.inFlight : 0;
}

std::uint32_t totalWaiting(const admission_view &queue)
{
    return std::max(queue.waiting, queue.waitingAhead);
}

/// Mean time between two requests that leave a full batch.
double msPerPlace(const admission_view &queue)
{
    return queue.meanServiceMs / std::max(queue.batchLimit, 1U);
}

double loadWaitMs(const admission_view &queue)
{
    return queue.resident ? 0 : queue.slotFreeInMs + (queue.loadsAhead + 1.0) * queue.loadMs;
}

/// Waiting for a place in the batch and waiting for the adapter overlap, so only the longer wait counts.
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

/// Reserves the end of the queue for the higher priorities, so that under overload not all priorities time
/// out together. Requests of lower priority are refused at once.
excess overPriorityShare(const admission_view &queue, priority rank)
{
    const double accepted = queue.waitingLimit * shedShare[static_cast<std::size_t>(rank)];
    const double waiting = totalWaiting(queue);
    return waiting + 1 <= accepted ? excess() : waiting + 1 - accepted;
}

/// Prevents one busy caller from filling the queue, which would refuse the other callers' requests.
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
    // The caller is accepted again when the queue is half full or when its own requests are within its share.
    // Its requests are spread through the queue, so each of them takes as long as one request of every
    // caller.
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
    // A deadline shorter than the service time alone can never be met; the best hint then is when the queue
    // is empty.
    const double lateMs = waitMs + queue.meanServiceMs - static_cast<double>(deadlineLeft.count);
    if (lateMs > 0 || deadlineLeft <= millis{0}) {
        return refuse(error_kind::DeadlineTooShort, waitMs, std::min(lateMs, waitMs));
    }
    if (!canStartNow(queue)) {
        const excess shed = overPriorityShare(queue, rank);
        const excess unfair = overFairShare(queue);
        if (shed || unfair) {
            const double drainMs = std::max(shed.value_or(0), unfair.value_or(0)) * msPerPlace(queue);
            // Requests that wait for loads don't leave the queue before the current load ends.
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
