#include "coordination/retry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

RC_GTEST_PROP(Retry, ARequestThatMayRunTwiceOrHasEndedIsNotSentAgain, (bool idempotent, bool responseStarted))
{
    const attempt_result attempt{
        .result = *rc::gen::element(outcome::Done, outcome::NotRun, outcome::Unknown),
        .why = static_cast<error_kind>(*rc::gen::inRange(0, static_cast<int>(error_kind::Internal) + 1)),
        .idempotent = idempotent,
        .responseStarted = responseStarted,
        .attempts = *rc::gen::inRange(1U, 6U),
        .deadlineLeft = {*rc::gen::inRange(-10, 10)}};
    retry_budget budget;
    const auto decision = decideRetry(attempt, budget);
    const bool mayRunTwice = attempt.result == outcome::Unknown && !idempotent;
    if (mayRunTwice || responseStarted || attempt.result == outcome::Done || attempt.attempts >= maxAttempts
        || attempt.deadlineLeft <= millis{0}) {
        RC_ASSERT(decision == retry_decision::Stop);
        RC_ASSERT(budget.tokens == maxSavedRetries);
    }
    const bool redirected = attempt.result == outcome::NotRun && attempt.why == error_kind::NotOwner;
    RC_ASSERT(
        (decision == retry_decision::Stop || (decision == retry_decision::RetryNamedOwner) == redirected));
}

TEST(Retry, ARetryStormDiesOut)
{
    // All servers fail at once. Without a budget, each request would be sent three times, and the load that
    // keeps the servers failing would triple.
    retry_budget budget;
    const attempt_result refused{
        .result = outcome::NotRun, .why = error_kind::Overloaded, .deadlineLeft = {1'000}};
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        retries += decideRetry(refused, budget) == retry_decision::RetryOtherServer ? 1 : 0;
    }
    EXPECT_EQ(retries, static_cast<int>(maxSavedRetries));
    for (int i = 0; i < 11; ++i) {
        countSuccess(budget);
    }
    EXPECT_EQ(decideRetry(refused, budget), retry_decision::RetryOtherServer);
    EXPECT_EQ(decideRetry(refused, budget), retry_decision::Stop);
}

TEST(Retry, ARedirectCostsNoBudgetAndACallersOwnErrorIsNotRetried)
{
    retry_budget empty{.tokens = 0};
    attempt_result attempt{
        .result = outcome::NotRun, .why = error_kind::NotOwner, .idempotent = false, .deadlineLeft = {1'000}};
    EXPECT_EQ(decideRetry(attempt, empty), retry_decision::RetryNamedOwner);
    retry_budget full;
    attempt.why = error_kind::Forbidden;
    EXPECT_EQ(decideRetry(attempt, full), retry_decision::Stop);
}

TEST(Breaker, OpensAfterFailuresAndLetsOneProbeThrough)
{
    breaker state;
    for (std::uint32_t i = 0; i < minBreakerFailures; ++i) {
        EXPECT_TRUE(breakerAllows(state, {0}));
        breakerFailure(state, {0});
    }
    EXPECT_TRUE(breakerOpen(state, {minBreakerPauseMs - 1}));
    breakerFailure(state, {100});
    EXPECT_FALSE(breakerOpen(state, {minBreakerPauseMs}))
        << "a straggler's failure doesn't lengthen the pause";
    EXPECT_TRUE(breakerAllows(state, {minBreakerPauseMs}));
    EXPECT_FALSE(breakerAllows(state, {minBreakerPauseMs}));
    breakerFailure(state, {minBreakerPauseMs});
    EXPECT_TRUE(breakerOpen(state, {minBreakerPauseMs + 2 * minBreakerPauseMs - 1}));
    EXPECT_TRUE(breakerAllows(state, {minBreakerPauseMs + 2 * minBreakerPauseMs}));
    breakerSuccess(state);
    EXPECT_TRUE(breakerAllows(state, {minBreakerPauseMs + 2 * minBreakerPauseMs}));
}

TEST(Breaker, AnotherProbeFollowsIfTheEndOfOneIsNeverReported)
{
    // The caller of the probe disconnects, so nobody reports its end. The server must still get requests
    // later.
    breaker state;
    for (std::uint32_t i = 0; i < minBreakerFailures; ++i) {
        breakerFailure(state, {0});
    }
    ASSERT_TRUE(breakerAllows(state, {minBreakerPauseMs}));
    EXPECT_TRUE(breakerAllows(state, {minBreakerPauseMs + maxBreakerPauseMs}));
}

}
