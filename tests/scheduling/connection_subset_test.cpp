#include "scheduling/connection_subset.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace briarhead {

namespace {

constexpr millis start{50'000};

/// Members in four failure domains. Names are kept in a deque, since members refer to them.
struct subset_fleet
{
    std::deque<std::string> names;
    std::vector<subset_member> daemons;
    std::vector<subset_member> servers;

    subset_member member(const std::string &name, std::size_t domain)
    {
        static constexpr std::array<std::string_view, 4> domains{"z0", "z1", "z2", "z3"};
        return {names.emplace_back(name), domains[domain % domains.size()]};
    }
    void add(std::size_t daemonCount, std::size_t serverCount, unsigned seed = 0)
    {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            daemons.push_back(member("d" + std::to_string(seed) + "-" + std::to_string(i), i));
        }
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers.push_back(member("p" + std::to_string(seed) + "-" + std::to_string(i), i));
        }
    }
    /// The first two servers of each daemon, by name.
    std::map<std::string_view, std::vector<std::string_view>> subsets() const
    {
        std::map<std::string_view, std::vector<std::string_view>> result;
        for (const subset_member &daemon : daemons) {
            auto order = connectionOrder(daemon, daemons, servers);
            order.resize(std::min(order.size(), minSubsetSize));
            for (const std::size_t i : order) {
                result[daemon.name].push_back(servers[i].name);
            }
        }
        return result;
    }
};

/// Of one position in the daemons' orders: the most daemons that a server has, over the mean.
double worstOverMean(const std::map<std::string_view, std::vector<std::string_view>> &subsets,
    std::size_t servers, std::size_t position)
{
    std::map<std::string_view, double> counts;
    double worst = 0;
    for (const auto &[daemon, subset] : subsets) {
        worst = std::max(worst, ++counts[subset.at(position)]);
    }
    return worst * static_cast<double>(servers) / static_cast<double>(subsets.size());
}

/// Daemons whose first or second server differs, of those that are in both.
std::size_t changedOf(const std::map<std::string_view, std::vector<std::string_view>> &before,
    const std::map<std::string_view, std::vector<std::string_view>> &after)
{
    return static_cast<std::size_t>(std::count_if(before.begin(), before.end(), [&after](const auto &each) {
        const auto found = after.find(each.first);
        return found != after.end() && found->second != each.second;
    }));
}

}

// A subset by hash alone gives the most popular server half as many daemons again as the mean.
TEST(ConnectionSubset, DaemonsAreBalancedOverServersAtEachFleetSize)
{
    for (const std::size_t daemons : {70U, 300U, 1'200U}) {
        for (const std::size_t servers : {4U, 12U, 16U}) {
            for (unsigned seed = 0; seed < (daemons > 1'000 ? 1 : 3); ++seed) {
                subset_fleet fleet;
                fleet.add(daemons, servers, seed);
                const auto subsets = fleet.subsets();
                for (const std::size_t position : {0U, 1U}) {
                    EXPECT_LE(worstOverMean(subsets, servers, position), 1.3)
                        << daemons << " daemons, " << servers << " servers, position " << position;
                }
            }
        }
    }
}

// The balance must not be bought by sending most requests to other failure domains.
TEST(ConnectionSubset, MostDaemonsUseAServerOfTheirOwnFailureDomain)
{
    for (const std::size_t daemons : {70U, 300U, 1'200U}) {
        subset_fleet fleet;
        fleet.add(daemons, 4);
        for (const subset_member &daemon : fleet.daemons) {
            const auto order = connectionOrder(daemon, fleet.daemons, fleet.servers);
            EXPECT_EQ(fleet.servers[order.front()].failureDomain, daemon.failureDomain);
        }
    }
}

// All servers in one failure domain: its daemons must not take them all.
TEST(ConnectionSubset, ServersOfOneDomainAreBalancedOverAllDomains)
{
    subset_fleet fleet;
    fleet.add(70, 0);
    for (int i = 0; i < 4; ++i) {
        fleet.servers.push_back(fleet.member("p" + std::to_string(i), i < 3 ? 0 : 1));
    }
    const auto subsets = fleet.subsets();
    EXPECT_LE(worstOverMean(subsets, 4, 0), 1.3);
    EXPECT_LE(worstOverMean(subsets, 4, 1), 1.3);
}

// A release restarts daemons and servers one after the other. If each moved many daemons to other servers,
// it would close as many connections as the subset saves. The bounds exceed the worst of 12,000 random cases:
// 1.8 daemons for each server (1.2 daemons on average) when a daemon goes, and 3.8 times a server's share of
// the daemons plus one when a server goes, of which two shares, one for each position, have to move.
RC_GTEST_PROP(ConnectionSubset, FewDaemonsMoveWhenOneMemberComesOrGoes, ())
{
    subset_fleet fleet;
    const auto daemons = *rc::gen::inRange<std::size_t>(20, 140);
    const auto servers = *rc::gen::inRange<std::size_t>(3, 13);
    fleet.add(daemons, servers, *rc::gen::inRange<unsigned>(0, 10'000));
    const auto before = fleet.subsets();
    const auto out = *rc::gen::inRange<std::size_t>(0, daemons);
    subset_fleet fewerDaemons{{}, fleet.daemons, fleet.servers};
    fewerDaemons.daemons.erase(fewerDaemons.daemons.begin() + static_cast<std::ptrdiff_t>(out));
    const std::size_t byDaemon = changedOf(before, fewerDaemons.subsets());
    subset_fleet fewerServers{{}, fleet.daemons, fleet.servers};
    fewerServers.servers.erase(fewerServers.servers.begin()
        + static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, servers)));
    const std::size_t byServer = changedOf(before, fewerServers.subsets());
    RC_ASSERT(byDaemon <= 2 * servers + 2);
    RC_ASSERT(byServer * servers <= 5 * (daemons + servers));
}

TEST(ConnectionSubset, UnregisteredDaemonHasAnOrderToo)
{
    subset_fleet fleet;
    fleet.add(20, 6);
    const auto order = connectionOrder(fleet.member("new", 0), fleet.daemons, fleet.servers);
    EXPECT_EQ(order.size(), 6U);
    EXPECT_EQ(std::set<std::size_t>(order.begin(), order.end()).size(), 6U);
}

// Daemons learn of others at different times. Each then computes its subset from a different view.
RC_GTEST_PROP(ConnectionSubset, StaysBalancedWhileDaemonsHaveDifferentViews, ())
{
    subset_fleet fleet;
    fleet.add(
        *rc::gen::elementOf(std::vector<std::size_t>{70, 120}), 4, *rc::gen::inRange<unsigned>(0, 10'000));
    for (subset_member &server : fleet.servers) {
        server.failureDomain = "z0"; // the domains don't balance them
    }
    std::map<std::string_view, std::vector<std::string_view>> subsets;
    for (const subset_member &daemon : fleet.daemons) {
        std::vector<subset_member> view = fleet.daemons;
        for (int i = 0; i < 3; ++i) {
            view.erase(
                view.begin() + static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, view.size())));
        }
        for (const std::size_t i : connectionOrder(daemon, view, fleet.servers)) {
            subsets[daemon.name].push_back(fleet.servers[i].name);
        }
    }
    RC_ASSERT(worstOverMean(subsets, 4, 0) <= 1.3);
}

// A daemon with many requests uses every connection before it expires, and one with few none of them.
TEST(ConnectionSubset, WidthFollowsTheRateOfRequests)
{
    EXPECT_EQ(subsetWidth(1.1, millis{1'600}, 4), 2U);
    EXPECT_EQ(subsetWidth(1.1, millis{4'000}, 4), 2U);
    EXPECT_EQ(subsetWidth(6, millis{1'600}, 4), 3U);
    EXPECT_EQ(subsetWidth(30, millis{1'600}, 4), 4U);
    EXPECT_EQ(subsetWidth(-1, millis{1'600}, 4), 4U) << "rate unknown";
    EXPECT_EQ(subsetWidth(1.1, millis{}, 4), 4U) << "keep time unknown";
    EXPECT_EQ(subsetWidth(0.1, millis{1'600}, 2), 2U);
    EXPECT_EQ(subsetWidth(0.1, millis{1'600}, 1), 1U);
}

TEST(ConnectionSubset, RateIsKnownAfterSomeRequestsAndFollowsChanges)
{
    request_rate rate;
    millis now = start;
    for (int i = 0; i < 7; ++i) {
        countRequest(rate, now);
        now = now + millis{500};
    }
    EXPECT_LT(requestsPerSecond(rate, now), 0);
    for (int i = 0; i < 30; ++i) {
        countRequest(rate, now);
        now = now + millis{500};
    }
    EXPECT_NEAR(requestsPerSecond(rate, now), 2, 0.3);
    EXPECT_LT(requestsPerSecond(rate, now + millis{60'000}), 0.2);
}

// A server of the subset crashes or is full: the next ones take its place at once, without a new membership.
TEST(ConnectionSubset, FailedAndFullServersAreReplacedAtOnce)
{
    std::vector<subset_server> order(5);
    EXPECT_EQ(widenedSubset(order, 2, 100), 2U);
    order[0].usable = false;
    EXPECT_EQ(widenedSubset(order, 2, 100), 3U);
    order[1].waitMs = 50;
    EXPECT_EQ(widenedSubset(order, 2, 100), 4U);
    EXPECT_EQ(widenedSubset(order, 2, 1'000), 3U) << "such a wait matters little to this request";
    for (auto &server : order) {
        server.usable = false;
    }
    EXPECT_EQ(widenedSubset(order, 2, 100), 5U);
}

}
