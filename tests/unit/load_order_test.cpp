#include "coordination/load_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr double loadMs = 400;

load_demand need(std::uint32_t waiting, priority best, std::int64_t deadlineMs)
{
    return {.adapter = {"a", 1}, .waiting = waiting, .bestPriority = best, .earliestDeadline = {deadlineMs}};
}

load_budget::request ask(std::uint64_t ticket, double urgency, millis at)
{
    return {"owner", ticket, urgency, at};
}

}

TEST(LoadOrder, WaitingBeforePrefetchThenPriorityThenSlackPenaltyAndCount)
{
    const auto urgency = [](const load_demand &of) {
        return loadUrgency(of, {0}, loadMs);
    };
    load_demand prefetch;
    prefetch.rate = 1'000;
    const auto low = need(1, priority::Low, 60'000);
    EXPECT_GT(urgency(low), urgency(prefetch));
    auto crowdedLow = need(500, priority::Low, 500);
    crowdedLow.penalty = 1e6;
    const auto normal = need(1, priority::Normal, 60'000);
    EXPECT_GT(urgency(normal), urgency(crowdedLow));
    EXPECT_GT(urgency(need(1, priority::Normal, 2'000)), urgency(normal)) << "less slack";
    EXPECT_LT(urgency(need(1, priority::Normal, 300)), urgency(normal)) << "too late for the load to help";
    EXPECT_GT(urgency(need(9, priority::Normal, 60'000)), urgency(normal)) << "more waiting";
    auto costly = normal;
    costly.penalty = 5;
    EXPECT_GT(urgency(costly), urgency(normal));
}

TEST(LoadOrder, TheMostUrgentIsNextAndTheOldestOfEquals)
{
    std::vector<load_demand> needs{
        {}, need(1, priority::Normal, 9'000), need(1, priority::High, 9'000), need(1, priority::High, 9'000)};
    needs[2].oldestArrival = {20};
    needs[3].oldestArrival = {10};
    EXPECT_EQ(nextLoad(needs, {0}, loadMs), 3U);
    EXPECT_FALSE(nextLoad(std::span(needs).first(1), {0}, loadMs)) << "nobody waits and nothing rises";
}

RC_GTEST_PROP(LoadOrder, TheBudgetNeverExceedsConcurrencyOrRate, ())
{
    const auto concurrency = *rc::gen::inRange(1U, 5U);
    const auto perSecond = *rc::gen::inRange(1, 10);
    load_budget budget;
    std::vector<millis> starts;
    millis now{1'000};
    std::uint64_t ticket = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000))) {
        now = now + millis{step};
        requestLoad(budget, ask(++ticket, step % 7, now));
        if (step % 3 == 0 && !budget.running.empty()) {
            releaseLoad(budget, "owner", budget.running.front().ticket);
        }
        const auto grants = grantLoads(budget, perSecond, concurrency, now);
        starts.insert(starts.end(), grants.size(), now);
        RC_ASSERT(budget.running.size() <= concurrency);
    }
    for (std::size_t first = 0; first < starts.size(); ++first) {
        for (std::size_t last = first; last < starts.size(); ++last) {
            const double seconds = static_cast<double>((starts[last] - starts[first]).count) / 1000.0;
            RC_ASSERT(static_cast<double>(last - first + 1) <= 1 + perSecond * seconds + 1e-6);
        }
    }
}

TEST(LoadOrder, ADeadOwnersGrantIsTakenBackAndALivingOnesIsNot)
{
    // An owner dies while it holds the only grant: without the timeout no adapter would be loaded anywhere
    // again. A base model loads for longer than the timeout, so an owner that asks on keeps its grant.
    load_budget budget;
    requestLoad(budget, ask(1, 1, {0}));
    ASSERT_EQ(grantLoads(budget, 3, 1, {0}).size(), 1U);
    requestLoad(budget, ask(1, 1, {9'000}));
    const auto repeated = grantLoads(budget, 3, 1, {9'000});
    ASSERT_EQ(repeated.size(), 1U) << "its first grant may have been lost";
    EXPECT_EQ(repeated[0].ticket, 1U);
    requestLoad(budget, ask(2, 1, {18'000}));
    EXPECT_TRUE(grantLoads(budget, 3, 1, {18'000}).empty());
    requestLoad(budget, ask(2, 1, {19'001}));
    const auto next = grantLoads(budget, 3, 1, {19'001});
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].ticket, 2U);
}

TEST(LoadOrder, WithoutABrokerEachOwnerKeepsToItsShare)
{
    EXPECT_FALSE(mayLoadWithoutBroker(3, 6, {1'999}));
    EXPECT_TRUE(mayLoadWithoutBroker(3, 6, {2'000}));
    EXPECT_FALSE(mayLoadWithoutBroker(0, 1, {1'000'000}));
}

RC_GTEST_PROP(LoadOrder, TheBackoffGrowsWithJitterUpToItsLimit, ())
{
    const auto failures = *rc::gen::inRange(1U, 2'000U);
    RC_ASSERT(loadBackoffMs(failures, 0) * 2 == loadBackoffMs(failures, 1));
    RC_ASSERT(loadBackoffMs(failures, 1) <= loadBackoffMs(failures + 1, 1));
    RC_ASSERT(loadBackoffMs(failures, 1) <= 30'000);
}

}
