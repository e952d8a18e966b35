#include "serving/peer_liveness.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

constexpr millis now{100'000};

std::vector<std::string> names(int count)
{
    std::vector<std::string> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        nodes.push_back("n" + std::to_string(i));
    }
    return nodes;
}

/// The number of daemons that may replace an owner which has been silent for this long.
int replacersAfter(millis silence, int daemons)
{
    const observed_owner owner{"n0", now - silence};
    const std::vector<std::string> all = names(daemons);
    const replacement_order order = replacementOrderOf("i-1", owner.node, all, all);
    int replacing = 0;
    for (const std::string &node : all) {
        replacing += mayReplace(owner, order, node, now) ? 1 : 0;
    }
    return replacing;
}

}

// If all daemons tried to replace an unresponsive owner at once, the store would receive hundreds of calls.
TEST(PeerLiveness, CandidatesReplaceAnUnresponsiveOwnerOneAfterTheOther)
{
    for (const int daemons : {3, 200, 1'200}) {
        EXPECT_EQ(replacersAfter(ownerTimeout - millis{1}, daemons), 0);
        EXPECT_EQ(replacersAfter(ownerTimeout, daemons), 1);
        EXPECT_LE(replacersAfter({60'000}, daemons), static_cast<int>(maxReplacers));
    }
}

// To a daemon that is cut off itself, all owners look unresponsive, and it would claim all their servers.
TEST(PeerLiveness, DaemonWithoutHeartbeatsFromMostOwnersReplacesNone)
{
    observed_owners owners;
    for (int i = 0; i < 10; ++i) {
        owners["i-" + std::to_string(i)] = {"n" + std::to_string(i), now - millis{i < 4 ? 100 : 3'000}};
    }
    EXPECT_FALSE(seesMostOwners(owners, now));
    owners["i-4"].heartbeatAt = now;
    EXPECT_TRUE(seesMostOwners(owners, now));
    EXPECT_FALSE(seesMostOwners({}, now));
}

// If only daemons of the server's failure domain could replace the owner, an only daemon there would never be
// replaced.
TEST(PeerLiveness, DaemonsOfOtherDomainsReplaceTheOnlyDaemonOfADomain)
{
    const std::vector<std::string> all = names(4);
    const replacement_order order = replacementOrderOf("i-1", "n0", {"n0"}, all);
    EXPECT_TRUE(order.crossDomain);
    ASSERT_EQ(order.nodes.size(), 3U);
    const observed_owner owner{"n0", now - ownerTimeout};
    EXPECT_FALSE(mayReplace(owner, order, order.nodes.front(), now));
    EXPECT_TRUE(mayReplace(owner, order, order.nodes.front(), now + crossDomainExtraTimeout));
    EXPECT_FALSE(mayReplace(owner, order, "n0", now + millis{60'000}));
}

}
