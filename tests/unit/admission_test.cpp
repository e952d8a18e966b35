#include "coordination/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace briarhead {

namespace {

constexpr std::array ranks{priority::Urgent, priority::High, priority::Normal, priority::Low};

/// A server with a full batch of 10 and 1 s per request, so one place becomes free every 100 ms. Its queue
/// holds 100.
admission_view fullServer(std::uint32_t waiting)
{
    admission_view queue{.inFlight = 10, .batchLimit = 10, .waitingAhead = waiting, .waitingLimit = 100};
    queue.meanServiceMs = 1'000;
    queue.resident = true;
    return queue;
}

admission_view randomQueue()
{
    const auto upTo = [](std::uint32_t limit) {
        return *rc::gen::inRange(0U, limit);
    };
    admission_view queue = fullServer(upTo(120));
    queue.inFlight = upTo(40);
    queue.waitingLimit = upTo(120);
    queue.meanServiceMs = upTo(3'000);
    queue.resident = upTo(2) == 0;
    queue.loadsAhead = upTo(10);
    queue.loadMs = upTo(1'000);
    queue.callerWaiting = upTo(60);
    queue.callersWaiting = upTo(10);
    return queue;
}

}

RC_GTEST_PROP(Admission, AdmittedRequestsMeetTheirDeadlineAndRefusedOnesGetARetryTime, ())
{
    const auto queue = randomQueue();
    const millis deadline{*rc::gen::inRange(0, 20'000)};
    bool higherPriorityRefused = false;
    for (const priority rank : ranks) {
        const auto decision = admit(queue, rank, deadline);
        RC_ASSERT_FALSE((higherPriorityRefused && decision.admitted));
        higherPriorityRefused = !decision.admitted;
        if (decision.admitted) {
            RC_ASSERT(decision.expectedWait.count + queue.meanServiceMs <= deadline.count + 1);
        } else {
            RC_ASSERT(decision.retryAfter >= millis{50});
            RC_ASSERT(
                (decision.why == error_kind::Overloaded || decision.why == error_kind::DeadlineTooShort));
        }
    }
}

TEST(Admission, ARequestThatWouldMissItsDeadlineIsRefusedAtOnce)
{
    EXPECT_TRUE(admit(fullServer(9), priority::Normal, {2'000}).admitted);
    const auto late = admit(fullServer(19), priority::Normal, {2'000});
    EXPECT_EQ(late.why, error_kind::DeadlineTooShort);
    EXPECT_EQ(late.retryAfter, millis{1'000}) << "ten places have to become free first";
    admission_view cold{
        .batchLimit = 10, .waitingLimit = 100, .meanServiceMs = 1'000, .loadsAhead = 2, .loadMs = 400};
    EXPECT_EQ(admit(cold, priority::Normal, {3'000}).expectedWait, millis{1'200});
    EXPECT_EQ(admit(cold, priority::Normal, {2'100}).why, error_kind::DeadlineTooShort);
}

TEST(Admission, LowPrioritiesAreRefusedFirstAndToldHowLongTheQueueTakesToDrain)
{
    const auto admittedAt = [](std::uint32_t waiting, priority rank) {
        return admit(fullServer(waiting), rank, {60'000}).admitted;
    };
    constexpr std::array places{100U, 95U, 80U, 50U};
    for (std::size_t i = 0; i < ranks.size(); ++i) {
        EXPECT_TRUE(admittedAt(places[i] - 1, ranks[i]));
        EXPECT_FALSE(admittedAt(places[i], ranks[i]));
    }
    EXPECT_EQ(admit(fullServer(79), priority::Low, {60'000}).retryAfter, millis{3'000})
        << "30 places at 100 ms";
}

TEST(Admission, ABusyCallerCantTakeTheWholeQueue)
{
    auto queue = fullServer(60);
    queue.callersWaiting = 4;
    queue.callerWaiting = 25;
    EXPECT_EQ(admit(queue, priority::Urgent, {60'000}).why, error_kind::Overloaded);
    queue.callerWaiting = 24;
    EXPECT_TRUE(admit(queue, priority::Urgent, {60'000}).admitted);
    queue = fullServer(40);
    queue.callersWaiting = 4;
    queue.callerWaiting = 40;
    EXPECT_TRUE(admit(queue, priority::Urgent, {60'000}).admitted)
        << "the queue is less than half full, so no share applies";
}

TEST(CallerLimit, ARateAllowsABurstOfOneSecondAndThenOneRequestAtATime)
{
    caller_limit limit;
    const rule_config rule{.perSecond = 4};
    for (int i = 0; i < 4; ++i) {
        EXPECT_FALSE(acquireCallerLimit(limit, rule, {1'000}));
    }
    EXPECT_EQ(acquireCallerLimit(limit, rule, {1'000}), millis{250});
    EXPECT_FALSE(acquireCallerLimit(limit, rule, {1'250}));
}

TEST(CallerLimit, ReleasedPlacesInFlightCanBeUsedAgain)
{
    caller_limit limit;
    const rule_config rule{.inFlight = 2};
    EXPECT_FALSE(acquireCallerLimit(limit, rule, {0}));
    EXPECT_FALSE(acquireCallerLimit(limit, rule, {0}));
    releaseCallerLimit(limit, {400});
    EXPECT_FALSE(acquireCallerLimit(limit, rule, {400}));
    EXPECT_EQ(acquireCallerLimit(limit, rule, {400}), millis{200}) << "two in flight, each for 400 ms";
}

}
