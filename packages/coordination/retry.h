#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "state/outcome.h"

#include <cstdint>

namespace briarhead {

/// Retries and hedges may be at most this fraction of successes, so that a retry storm dies out.
constexpr double retryRatio = 0.1;
constexpr double maxSavedRetries = 10;

/// A retry budget: each success earns retryRatio tokens, up to maxSavedRetries, and each retry costs one.
struct retry_budget
{
    double tokens = maxSavedRetries;
};

void countSuccess(retry_budget &budget);
/// Takes a token for a retry; false: there is none.
bool spendRetry(retry_budget &budget);

/// What to do after an attempt has ended.
enum class retry_decision : std::uint8_t
{
    Stop, ///< respond to the caller
    RetryOtherServer,
    RetryNamedOwner, ///< send the request to the owner named in the response
};

/// The result of one attempt.
struct attempt_result
{
    outcome result = outcome::Unknown;
    error_kind why = error_kind::None;
    bool idempotent = true;
    bool responseStarted = false; ///< the caller has received part of the response
    std::uint32_t attempts = 1; ///< so far, including this one
    millis deadlineLeft;
};

constexpr std::uint32_t maxAttempts = 3;

/// A request whose outcome is unknown is retried only if it is idempotent and no byte of a response has been
/// sent to the caller. A request that did not run may be retried whether it is idempotent or not. A redirect
/// to the owner costs no budget.
retry_decision decideRetry(const attempt_result &attempt, retry_budget &budget);

/// A circuit breaker for one server. It opens after minBreakerFailures failures in a row and lets one probe
/// through after a pause, which starts at minBreakerPauseMs and doubles up to maxBreakerPauseMs.
struct breaker
{
    std::uint32_t failures = 0;
    std::uint32_t consecutiveOpens = 0; ///< 0: closed
    millis openUntil;
    bool probing = false; ///< a probe was let through and has not ended
};

constexpr std::uint32_t minBreakerFailures = 3;
constexpr std::int64_t minBreakerPauseMs = 500;
constexpr std::int64_t maxBreakerPauseMs = 8'000;

/// Whether the breaker blocks requests at `now`. Unlike breakerAllows() it uses up no probe, so routing may
/// call it at any time.
bool breakerOpen(const breaker &state, millis now);
/// Whether a request may be sent now. To be called once per send, since it may use up the one probe.
bool breakerAllows(breaker &state, millis now);
void breakerSuccess(breaker &state);
void breakerFailure(breaker &state, millis now);

}
