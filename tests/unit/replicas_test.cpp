#include "coordination/rendezvous.h"
#include "coordination/replicas.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace briarhead {

namespace {

constexpr double serviceMs = 1'000;
const replica_policy middle{.maxReplicas = 8, .stallWeight = 0.5, .batchLimit = 32};

/// Adds `perSecond` arrivals for `seconds`, evenly, counted every 100 ms.
void addArrivals(arrival_rate &rate, double perSecond, int seconds, millis &now)
{
    for (int i = 0; i < seconds * 10; ++i) {
        now = now + millis{100};
        countArrivals(rate, perSecond / 10, now);
    }
}

}

TEST(Replicas, RatesConvergeToTheArrivalsAndFade)
{
    arrival_rate rate;
    millis now;
    addArrivals(rate, 20, 300, now);
    EXPECT_NEAR(rate.fast, 20, 1);
    EXPECT_NEAR(rate.slow, 20, 1);
    EXPECT_LT(decayed(rate, now + millis{20'000}).fast, 0.01);
}

TEST(Replicas, ARiseOfPopularityAddsReplicasWithinSeconds)
{
    // An adapter that was cold becomes hot. With the slow average alone, its callers would wait in the queue
    // of a single server for about a minute.
    arrival_rate rate;
    millis now;
    addArrivals(rate, 0.1, 300, now);
    EXPECT_EQ(wantedReplicas(rate, serviceMs, 1, middle), 1U);
    addArrivals(rate, 100, 4, now);
    EXPECT_GE(wantedReplicas(rate, serviceMs, 1, middle), 5U);
}

TEST(Replicas, AHigherStallWeightGivesMoreReplicas)
{
    const arrival_rate rate{60, 60, {}};
    replica_policy policy = middle;
    policy.stallWeight = 0;
    const auto packed = wantedReplicas(rate, serviceMs, 0, policy);
    policy.stallWeight = 1;
    EXPECT_GT(wantedReplicas(rate, serviceMs, 0, policy), packed);
}

TEST(Replicas, ALoadNearTheThresholdDoesNotAddAndRemoveAReplicaRepeatedly)
{
    const double threshold = 2 * 0.55 * middle.batchLimit; // the load that two replicas are planned for
    const arrival_rate above{threshold + 1, threshold + 1, {}};
    const arrival_rate below{threshold - 1, threshold - 1, {}};
    EXPECT_EQ(wantedReplicas(above, serviceMs, 2, middle), 3U);
    EXPECT_EQ(wantedReplicas(below, serviceMs, 3, middle), 3U);
    EXPECT_EQ(wantedReplicas(below, serviceMs, 2, middle), 2U);
    EXPECT_EQ(wantedReplicas({threshold / 2, threshold / 2, {}}, serviceMs, 3, middle), 2U);
}

RC_GTEST_PROP(Replicas, TheNumberStaysWithinBoundsFallsOneAtATimeAndConverges, ())
{
    const arrival_rate rate{*rc::gen::inRange(0, 2'000) / 10.0, *rc::gen::inRange(0, 2'000) / 10.0, {}};
    const auto now = *rc::gen::inRange(1U, 9U);
    auto wanted = wantedReplicas(rate, serviceMs, now, middle);
    RC_ASSERT(wanted >= 1U);
    RC_ASSERT(wanted <= middle.maxReplicas);
    RC_ASSERT(wanted + 1 >= now);
    for (std::uint32_t i = 0; i < middle.maxReplicas; ++i) {
        wanted = wantedReplicas(rate, serviceMs, wanted, middle);
    }
    RC_ASSERT(wantedReplicas(rate, serviceMs, wanted, middle) == wanted);
}

RC_GTEST_PROP(
    Replicas, TheFirstServerComesFirstAndEachDomainIsUsedBeforeAnyTwice, (const std::string &adapter))
{
    std::vector<replica_candidate> sites;
    std::vector<std::string> staying;
    std::set<std::string> domains;
    for (int i = 0; i < 12; ++i) {
        sites.push_back({"s" + std::to_string(i), "d" + std::to_string(i % 3), *rc::gen::inRange(0, 4) == 0});
        if (!sites.back().leaving) {
            staying.push_back(sites.back().server);
            domains.insert(sites.back().failureDomain);
        }
    }
    const auto count = *rc::gen::inRange(1U, 5U);
    const auto chosen = chooseReplicaServers(adapter, sites, count);
    RC_ASSERT(chosen.size() == std::min<std::size_t>(count, staying.size()));
    RC_ASSERT(rendezvousFirst(adapter, staying) == (chosen.empty() ? "" : chosen.front()));
    std::set<std::string> used;
    for (const auto &name : chosen) {
        const auto &site = sites[std::stoul(name.substr(1))];
        RC_ASSERT(!site.leaving);
        RC_ASSERT((used.insert(site.failureDomain).second || used.size() == domains.size()));
    }
}

}
