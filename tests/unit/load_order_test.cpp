#include "coordination/load_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr double loadMs = 400;

load_demand makeDemand(std::uint32_t waiting, priority best, std::int64_t deadlineMs)
{
    return {.adapter = {"a", 1}, .waiting = waiting, .bestPriority = best, .earliestDeadline = {deadlineMs}};
}

load_budget::request makeRequest(std::uint64_t ticket, double urgency, millis at)
{
    return {"owner", ticket, urgency, at};
}

}

TEST(LoadOrder, WaitingComesBeforePrefetchThenPriorityThenSlackPenaltyAndCount)
{
    const auto urgency = [](const load_demand &demand) {
        return loadUrgency(demand, {0}, loadMs);
    };
    load_demand prefetch;
    prefetch.rate = 1'000;
    const auto low = makeDemand(1, priority::Low, 60'000);
    EXPECT_GT(urgency(low), urgency(prefetch));
    auto urgentLow = makeDemand(500, priority::Low, 500);
    urgentLow.penalty = 1e6;
    const auto normal = makeDemand(1, priority::Normal, 60'000);
    EXPECT_GT(urgency(normal), urgency(urgentLow));
    EXPECT_GT(urgency(makeDemand(1, priority::Normal, 2'000)), urgency(normal)) << "less slack";
    EXPECT_LT(urgency(makeDemand(1, priority::Normal, 300)), urgency(normal))
        << "too late for the load to help";
    EXPECT_GT(urgency(makeDemand(9, priority::Normal, 60'000)), urgency(normal)) << "more waiting";
    auto costly = normal;
    costly.penalty = 5;
    EXPECT_GT(urgency(costly), urgency(normal));
}

TEST(LoadOrder, TheMostUrgentLoadIsNextAndAmongEqualsTheOldest)
{
    std::vector<load_demand> demands{{}, makeDemand(1, priority::Normal, 9'000),
        makeDemand(1, priority::High, 9'000), makeDemand(1, priority::High, 9'000)};
    demands[2].oldestArrival = {20};
    demands[3].oldestArrival = {10};
    EXPECT_EQ(nextLoad(demands, {0}, loadMs), 3U);
    EXPECT_FALSE(nextLoad(std::span(demands).first(1), {0}, loadMs))
        << "no request waits and nothing has arrivals";
}

RC_GTEST_PROP(LoadOrder, TheBudgetNeverExceedsItsConcurrencyOrRate, ())
{
    const auto concurrency = *rc::gen::inRange(1U, 5U);
    const auto perSecond = *rc::gen::inRange(1, 10);
    load_budget budget;
    std::vector<millis> starts;
    millis now{1'000};
    std::uint64_t ticket = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000))) {
        now = now + millis{step};
        requestLoad(budget, makeRequest(++ticket, step % 7, now));
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

TEST(LoadOrder, TheGrantOfADeadOwnerExpiresAndThatOfALiveOwnerDoesNot)
{
    // An owner dies while it holds the only grant: without a timeout, no adapter could be loaded anywhere
    // again. A base model takes longer to load than the timeout, so an owner that keeps requesting keeps its
    // grant.
    load_budget budget;
    requestLoad(budget, makeRequest(1, 1, {0}));
    ASSERT_EQ(grantLoads(budget, 3, 1, {0}).size(), 1U);
    requestLoad(budget, makeRequest(1, 1, {9'000}));
    const auto repeated = grantLoads(budget, 3, 1, {9'000});
    ASSERT_EQ(repeated.size(), 1U) << "its first grant may have been lost";
    EXPECT_EQ(repeated[0].ticket, 1U);
    requestLoad(budget, makeRequest(2, 1, {18'000}));
    EXPECT_TRUE(grantLoads(budget, 3, 1, {18'000}).empty());
    requestLoad(budget, makeRequest(2, 1, {19'001}));
    const auto next = grantLoads(budget, 3, 1, {19'001});
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].ticket, 2U);
}

TEST(LoadOrder, WithoutABrokerEachOwnerKeepsToItsShareOfTheRate)
{
    EXPECT_FALSE(mayLoadWithoutBroker(3, 6, {1'999}));
    EXPECT_TRUE(mayLoadWithoutBroker(3, 6, {2'000}));
    EXPECT_FALSE(mayLoadWithoutBroker(0, 1, {1'000'000}));
}

RC_GTEST_PROP(LoadOrder, TheBackoffGrowsWithJitterUpToItsMaximum, ())
{
    const auto failures = *rc::gen::inRange(1U, 2'000U);
    RC_ASSERT(loadBackoffMs(failures, 0) * 2 == loadBackoffMs(failures, 1));
    RC_ASSERT(loadBackoffMs(failures, 1) <= loadBackoffMs(failures + 1, 1));
    RC_ASSERT(loadBackoffMs(failures, 1) <= 30'000);
}

}
