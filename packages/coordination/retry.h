#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "state/outcome.h"

#include <cstdint>

namespace briarhead {

/// Retries and hedges may be at most this share of successes, so that a retry storm dies out.
constexpr double retryRatio = 0.1;
constexpr double maxSavedRetries = 10;

/// A retry budget: each success earns retryRatio, each retry costs one.
struct retry_budget
{
    double tokens = maxSavedRetries;
};

void countSuccess(retry_budget &budget);
bool spendRetry(retry_budget &budget);

/// What to do after an attempt ended.
enum class retry_decision : std::uint8_t
{
    Stop, ///< tell the caller
    RetryOtherServer, ///< another server
    RetryNamedOwner, ///< the owner named in the answer
};

/// One ended attempt.
struct attempt_result
{
    outcome result = outcome::Unknown;
    error_kind why = error_kind::None;
    bool idempotent = true;
    bool responseStarted = false; ///< part of the answer already went out
    std::uint32_t attempts = 1;
    millis deadlineLeft;
};

constexpr std::uint32_t maxAttempts = 3;

/// A request whose outcome is unknown is sent again only if it is idempotent and no byte of an answer
/// went out; one that certainly did not run may be sent again whatever its kind. A redirect to the
/// owner costs no budget.
retry_decision decideRetry(const attempt_result &end, retry_budget &budget);

/// A circuit breaker per server: opens after minBreakerFailures in a row, lets one probe through after a
/// pause that doubles up to maxBreakerPauseMs.
struct breaker
{
    std::uint32_t failures = 0;
    std::uint32_t consecutiveOpens = 0; ///< times in a row
    millis openUntil;
    bool probing = false;
};

constexpr std::uint32_t minBreakerFailures = 3;
constexpr std::int64_t minBreakerPauseMs = 500;
constexpr std::int64_t maxBreakerPauseMs = 8'000;

/// Whether the breaker keeps requests away at `now`; takes no probe, for views that routing reads.
bool breakerOpen(const breaker &state, millis now);
/// Whether a request may be sent now; called once per send, since it may hand out the one probe.
bool breakerAllows(breaker &state, millis now);
void breakerSuccess(breaker &state);
void breakerFailure(breaker &state, millis now);

}
