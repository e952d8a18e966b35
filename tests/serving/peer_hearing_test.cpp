#include "serving/peer_hearing.h"

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
    const heard_holder holder{"n0", now - silence};
    const std::vector<std::string> all = names(daemons);
    const replacers order = replacersOf("i-1", holder.node, all, all);
    int trying = 0;
    for (const std::string &node : all) {
        trying += mayReplace(holder, order, node, now) ? 1 : 0;
    }
    return trying;
}

}

// A machine is cut off with a server's record. Its users would wait for places that nobody grants until the
// cut heals; if all others claimed the server at once, hundreds of calls would reach the store.
TEST(PeerHearing, ASilentHolderIsReplacedByOneAfterTheOther)
{
    for (const int daemons : {3, 200, 1'200}) {
        EXPECT_EQ(tryingNow(silentAfter - millis{1}, daemons), 0);
        EXPECT_EQ(tryingNow(silentAfter, daemons), 1);
        EXPECT_LE(tryingNow({60'000}, daemons), static_cast<int>(replacersMost));
    }
}

// The machine itself is cut off. It would take the servers of everybody else, who all look silent to it.
TEST(PeerHearing, WhoHearsFewReplacesNobody)
{
    heard_holders heard;
    for (int i = 0; i < 10; ++i) {
        heard["i-" + std::to_string(i)] = {"n" + std::to_string(i), now - millis{i < 4 ? 100 : 3'000}};
    }
    EXPECT_FALSE(hearsMost(heard, now));
    heard["i-4"].at = now;
    EXPECT_TRUE(hearsMost(heard, now));
    EXPECT_FALSE(hearsMost({}, now));
}

// A server's failure domain has no other daemon. Its users would go on waiting, were only daemons of that
// domain asked to replace the holder.
TEST(PeerHearing, WithoutOthersNearbyDaemonsOfOtherDomainsDo)
{
    const std::vector<std::string> all = names(4);
    const replacers order = replacersOf("i-1", "n0", {"n0"}, all);
    EXPECT_TRUE(order.farther);
    ASSERT_EQ(order.nodes.size(), 3U);
    const heard_holder holder{"n0", now - silentAfter};
    EXPECT_FALSE(mayReplace(holder, order, order.nodes.front(), now));
    EXPECT_TRUE(mayReplace(holder, order, order.nodes.front(), now + silentFarther));
    EXPECT_FALSE(mayReplace(holder, order, "n0", now + millis{60'000}));
}

}
