#include "coordination/rendezvous.h"
#include "protocol/codec.h"
#include "scheduling/server_paths.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

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

namespace {

/// Requests that a daemon has in flight at letter 1's size: 34 a second, half a second each.
constexpr int requestsInFlight = 17;
constexpr std::size_t failureDomains = 8;

/// The most requests that one peer relays, if the first `cut` daemons of a failure domain are cut off and
/// have all their requests relayed. Each of them knows its own requests only.
int mostRelayedByOnePeer(std::size_t daemons, std::size_t cut)
{
    const std::size_t perDomain = daemons / failureDomains;
    std::vector<int> relayed(daemons);
    for (std::size_t self = 0; self < cut; ++self) {
        std::vector<relay_candidate> candidates(daemons);
        for (std::size_t peer = 0; peer < daemons; ++peer) {
            candidates[peer].sameDomain = peer < perDomain;
            candidates[peer].excluded = peer < cut;
        }
        for (int i = 0; i < requestsInFlight; ++i) {
            for (std::size_t peer = 0; peer < daemons; ++peer) {
                candidates[peer].tieBreak =
                    rendezvousScore(std::to_string(self) + '/' + std::to_string(i), std::to_string(peer));
            }
            const std::size_t chosen = chooseRelay(candidates).value();
            ++candidates[chosen].inFlight;
            ++relayed[chosen];
        }
    }
    return *std::max_element(relayed.begin(), relayed.end());
}

}

/// Guards against peers that have to refuse the requests of cut off daemons, in fleets of each size.
TEST(ServerPaths, NoPeerRelaysMoreThanItMayWhileAFailureDomainIsCut)
{
    for (const std::size_t daemons : {80U, 300U, 1'200U}) {
        const std::size_t perDomain = daemons / failureDomains;
        for (const std::size_t cut : {std::size_t{1}, perDomain / 2, perDomain - 1, perDomain}) {
            const int most = mostRelayedByOnePeer(daemons, cut);
            std::printf(
                "%zu daemons, %zu of a domain of %zu cut off: one peer relays up to %d of %d requests\n",
                daemons, cut, perDomain, most, static_cast<int>(cut) * requestsInFlight);
            EXPECT_LE(most, static_cast<int>(maxRelayed)) << daemons << " daemons, " << cut << " cut off";
        }
    }
}

/// Guards against relayed requests that cost more bytes than the request itself and a little.
TEST(ServerPaths, RelayAddsFewBytesToARequest)
{
    const std::string request(1'000, 'x');
    const relay_request relayed{
        "9c41d07be2a35f68", "i-7f3a91c2", "i-7f3a91c2@1776964554472", true, false, 5'000, request};
    const std::size_t added = encode(relayed).size() - request.size();
    relay_head head{200, "OK", {}};
    std::size_t fields = 0;
    for (const char *name : {"X-Request-Id", "Content-Type", "Transfer-Encoding"}) {
        head.fields.emplace_back(name, "text/event-stream");
        fields += std::string(name).size() + std::string("text/event-stream").size();
    }
    const std::size_t addedToHead = frame(head).size() - fields;
    const std::size_t addedToPart = frame(relay_body{request}).size() - request.size();
    const std::size_t end = frame(relay_end{true, ""}).size();
    std::printf("bytes that a relay adds: request %zu, head %zu, part %zu, end %zu\n", added, addedToHead,
        addedToPart, end);
    EXPECT_LE(added, 128U);
    EXPECT_LE(addedToHead, 64U);
    EXPECT_LE(addedToPart, 16U);
    EXPECT_LE(end, 16U);
}

}
