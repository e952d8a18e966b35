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

int tryingNow(millis silence, int daemons)
{
    const observed_owner owner{"n0", now - silence};
    const std::vector<std::string> all = names(daemons);
    const replacement_order order = replacementOrderOf("i-1", owner.node, all, all);
    int trying = 0;
    for (const std::string &node : all) {
        trying += mayReplace(owner, order, node, now) ? 1 : 0;
    }
    return trying;
}

}

// A machine is cut off with a server's record. Its users would wait for places that nobody grants until the
// cut heals; if all others claimed the server at once, hundreds of calls would reach the store.
TEST(PeerHearing, ASilentHolderIsReplacedByOneAfterTheOther)
{
    for (const int daemons : {3, 200, 1'200}) {
        EXPECT_EQ(tryingNow(ownerTimeout - millis{1}, daemons), 0);
        EXPECT_EQ(tryingNow(ownerTimeout, daemons), 1);
        EXPECT_LE(tryingNow({60'000}, daemons), static_cast<int>(maxReplacers));
    }
}

// The machine itself is cut off. It would take the servers of everybody else, who all look silent to it.
TEST(PeerHearing, WhoHearsFewReplacesNobody)
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

// A server's failure domain has no other daemon. Its users would go on waiting, were only daemons of that
// domain asked to replace the holder.
TEST(PeerHearing, WithoutOthersNearbyDaemonsOfOtherDomainsDo)
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
