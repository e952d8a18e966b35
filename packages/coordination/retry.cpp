#include "coordination/retry.h"

#include <algorithm>

namespace briarhead {

namespace {

/// Whether another server may succeed with a request that did not run.
bool mayHelpElsewhere(error_kind why)
{
    switch (why) {
    case error_kind::Overloaded:
    case error_kind::DeadlineTooShort:
    case error_kind::NotReady:
    case error_kind::NoServer:
    case error_kind::LoadFailed:
    case error_kind::StaleFencing:
    case error_kind::Timeout:
    case error_kind::ConnectionLost:
        return true;
    default:
        return false;
    }
}

millis breakerPause(std::uint32_t consecutiveOpens)
{
    std::int64_t pauseMs = minBreakerPauseMs;
    for (std::uint32_t i = 1; i < consecutiveOpens && pauseMs < maxBreakerPauseMs; ++i) {
        pauseMs *= 2;
    }
    return {std::min(pauseMs, maxBreakerPauseMs)};
}

void openBreaker(breaker &state, millis now)
{
    ++state.consecutiveOpens;
    state.openUntil = now + breakerPause(state.consecutiveOpens);
    state.probing = false;
}

}

void countSuccess(retry_budget &budget)
{
    budget.tokens = std::min(budget.tokens + retryRatio, maxSavedRetries);
}

bool spendRetry(retry_budget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

retry_decision decideRetry(const attempt_result &attempt, retry_budget &budget)
{
    if (attempt.result == outcome::Done || attempt.responseStarted || attempt.attempts >= maxAttempts
        || attempt.deadlineLeft <= millis{0}) {
        return retry_decision::Stop;
    }
    // Once any byte may have reached an engine, only idempotent requests may be retried. Otherwise a user
    // might, for example, place the same order twice.
    if (attempt.result == outcome::Unknown && !attempt.idempotent) {
        return retry_decision::Stop;
    }
    if (attempt.result == outcome::NotRun) {
        if (attempt.why == error_kind::NotOwner) {
            return retry_decision::RetryNamedOwner;
        }
        if (!mayHelpElsewhere(attempt.why)) {
            return retry_decision::Stop;
        }
    }
    return spendRetry(budget) ? retry_decision::RetryOtherServer : retry_decision::Stop;
}

bool breakerOpen(const breaker &state, millis now)
{
    return state.consecutiveOpens > 0 && now < state.openUntil;
}

bool breakerAllows(breaker &state, millis now)
{
    if (state.consecutiveOpens == 0) {
        return true;
    }
    if (breakerOpen(state, now)) {
        return false;
    }
    // The pause restarts here, so that another probe follows even if the end of this one is never reported
    // (because its caller disconnected). Otherwise the breaker would stay open forever.
    state.probing = true;
    state.openUntil = now + breakerPause(state.consecutiveOpens);
    return true;
}

void breakerSuccess(breaker &state)
{
    state = breaker{};
}

void breakerFailure(breaker &state, millis now)
{
    if (state.consecutiveOpens > 0) {
        // Requests sent before it opened may still fail; only the failure of a probe lengthens the pause.
        if (state.probing) {
            openBreaker(state, now);
        }
        return;
    }
    if (++state.failures >= minBreakerFailures) {
        openBreaker(state, now);
    }
}

}
