#include "scheduling/server_paths.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr std::size_t servers = 12;

/// A failed connection attempt at `now`, and what peers find a moment later.
void fail(server_paths &paths, const std::string &server, bool peersReachIt, millis now)
{
    recordConnectFailed(paths, server, now);
    recordReach(paths, server, peersReachIt, servers, now + millis{10});
}

}

/// Guards against requests relayed to servers that are down.
TEST(ServerPaths, ServerThatNoPeerReachesIsNotCut)
{
    server_paths paths;
    for (const char *server : {"a", "b", "c"}) {
        fail(paths, server, false, {1'000});
        EXPECT_FALSE(isCut(paths, server));
        EXPECT_EQ(routeTo(paths, server), send_route::Direct);
    }
    EXPECT_FALSE(paths.cutOff);
    EXPECT_FALSE(needsReachCheck(paths, "a", {1'500})) << "peers have just been asked";
    EXPECT_TRUE(needsReachCheck(paths, "a", {1'010 + unreachedFor.count}));
}

/// Guards against a daemon that takes two cut links for the loss of all while it reaches other servers.
TEST(ServerPaths, DaemonThatReachesSomeServerIsNotCutOff)
{
    server_paths paths;
    fail(paths, "a", true, {1'000});
    recordConnected(paths, "c", {1'100});
    fail(paths, "b", true, {1'200});
    EXPECT_FALSE(paths.cutOff);
    EXPECT_TRUE(isCut(paths, "a"));
    recordConnected(paths, "c", {1'300});
    EXPECT_EQ(routeTo(paths, "c"), send_route::Direct);
    EXPECT_EQ(routeTo(paths, "b"), send_route::Relayed);
}

/// Guards against the loss of further requests on kept connections once a first link is cut.
TEST(ServerPaths, AllRequestsAreRelayedAfterAFirstCutUntilAConnectionSucceeds)
{
    server_paths paths;
    fail(paths, "a", true, {1'000});
    EXPECT_FALSE(paths.cutOff);
    EXPECT_EQ(routeTo(paths, "b"), send_route::Relayed);
    EXPECT_FALSE(recordConnected(paths, "b", {1'100}));
    EXPECT_EQ(routeTo(paths, "b"), send_route::Direct);
}

TEST(ServerPaths, OnlyServerThatIsCutMeansCutOff)
{
    server_paths paths;
    recordConnectFailed(paths, "a", {1'000});
    EXPECT_TRUE(recordReach(paths, "a", true, 1, {1'010}));
    EXPECT_TRUE(recordConnected(paths, "a", {2'000}));
    EXPECT_FALSE(paths.cutOff);
}

/// Guards against a daemon that stays cut off after it has reached a server.
RC_GTEST_PROP(ServerPaths, SuccessfulConnectionEndsTheCut, ())
{
    server_paths paths;
    millis now{1'000};
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3 * static_cast<int>(servers)));
    for (const int step : steps) {
        now = now + millis{50};
        const std::string server = std::to_string(step / 3);
        if (step % 3 == 0) {
            recordConnected(paths, server, now);
            RC_ASSERT(!paths.cutOff);
            RC_ASSERT(routeTo(paths, server) == send_route::Direct);
        } else {
            fail(paths, server, step % 3 == 1, now);
            RC_ASSERT(!paths.cutOff || routeTo(paths, server) == send_route::Relayed);
        }
    }
}

/// Guards against relays that all daemons of a cut domain send through one peer.
RC_GTEST_PROP(ServerPaths, RelaysAreSpreadAndStayInTheDomainWhereHalfOfItIsLeft, ())
{
    const int local = *rc::gen::inRange(0, 8);
    const int remote = *rc::gen::inRange(0, 8);
    std::vector<relay_candidate> candidates;
    candidates.reserve(static_cast<std::size_t>(local) + static_cast<std::size_t>(remote));
    for (int i = 0; i < local + remote; ++i) {
        candidates.push_back(
            {i < local, *rc::gen::arbitrary<bool>(), 0, *rc::gen::arbitrary<std::uint64_t>()});
    }
    const auto isUsable = [&](std::size_t i) {
        return !candidates[i].excluded;
    };
    int usable = 0;
    int usableLocal = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        usable += isUsable(i) ? 1 : 0;
        usableLocal += isUsable(i) && candidates[i].sameDomain ? 1 : 0;
    }
    const bool staysLocal = usableLocal > 0 && usableLocal * 2 >= local;
    const int shared = staysLocal ? usableLocal : usable;
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i) {
        const auto chosen = chooseRelay(candidates);
        RC_ASSERT(chosen.has_value() == (usable > 0));
        if (!chosen) {
            return;
        }
        RC_ASSERT(isUsable(*chosen));
        RC_ASSERT(!staysLocal || candidates[*chosen].sameDomain);
        ++candidates[*chosen].inFlight;
    }
    for (const relay_candidate &each : candidates) {
        RC_ASSERT(each.inFlight <= (requests + shared - 1) / shared);
    }
}

}
