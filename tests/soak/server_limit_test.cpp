#include "soak/callers_fixture.h"

namespace briarhead::soak {

namespace {

class server_limit_test : public callers_fixture
{
protected:
    /// `excused`: a daemon whose sends don't count.
    void expectWithinLimits(const std::string &excused = "-")
    {
        for (const backend_standin *server : serversOfKind()) {
            EXPECT_EQ(server->findLimitViolation(excused).value_or(""), "") << server->id;
        }
    }
    /// What all servers of the kind that name a limit ran in their latest spells.
    std::size_t ranWithinLimits(millis since)
    {
        std::size_t ran = 0;
        for (const backend_standin *server : serversOfKind()) {
            ran += static_cast<std::size_t>(
                std::count_if(server->ranAt.begin(), server->ranAt.end(), [since](millis at) {
                    return at >= since;
                }));
        }
        return ran;
    }
};

class changing_limit_test : public server_limit_test
{
};

}

// Each daemon sent as if a server had named no limit: the limit of all was exceeded by any of them.
TEST_P(server_limit_test, OfAFewServersHoldsForAllDaemonsTogether)
{
    sendEvery({40});
    runFor({1'000});
    const auto servers = serversOfKind();
    servers[0]->setLimit(1);
    servers[1]->setLimit(2.5);
    runFor(limitReactionTime + limitWindow + millis{2'000});
    expectWithinLimits();
    EXPECT_GE(m_served, (m_served + m_refused) * 9 / 10) << "others take what these may not";
    EXPECT_EQ(m_failed, 0U);
}

// With limits at every server most callers can't be served. They must hear so at once, and the limits must be
// used; limits are smaller than one request a daemon.
TEST_P(server_limit_test, OfAllServersIsUsedAndTheRestIsRefusedAtOnce)
{
    for (backend_standin *server : serversOfKind()) {
        server->setLimit(0.8);
    }
    sendEvery({60});
    runFor(limitReactionTime);
    const millis from = bootNow();
    m_refused = 0;
    m_longestRefusal = {};
    runFor({8'000});
    expectWithinLimits();
    const double allowed = 0.8 * 5 * 8;
    EXPECT_GE(static_cast<double>(ranWithinLimits(from)), 0.8 * allowed);
    EXPECT_GT(m_refused, 100U);
    EXPECT_LE(m_longestRefusal, millis{1'500}) << "nothing is held until its time is over";
    EXPECT_EQ(m_failed, 0U);
}

// A limit went on holding after the server had stopped naming it, or a risen one was not used.
TEST_P(changing_limit_test, ThatRisesFallsAndEndsIsFollowed)
{
    for (backend_standin *server : serversOfKind()) {
        server->setLimit(1);
    }
    sendEvery({60});
    runFor(limitReactionTime);
    for (backend_standin *server : serversOfKind()) {
        server->setLimit(6);
    }
    runFor({2'500});
    const millis risen = bootNow();
    runFor({3'000});
    EXPECT_GE(ranWithinLimits(risen), 6U * 5U * 3U * 7U / 10U);
    for (backend_standin *server : serversOfKind()) {
        server->setLimit(0.5);
    }
    runFor(limitReactionTime + limitWindow + millis{500});
    expectWithinLimits();
    for (backend_standin *server : serversOfKind()) {
        server->setLimit({});
    }
    runFor({3'000});
    const std::size_t refused = m_refused;
    const std::size_t served = m_served;
    runFor({2'000});
    EXPECT_LE(m_refused - refused, 5U) << "after its end all is served as before";
    EXPECT_GE(m_served - served, 80U);
    expectWithinLimits();
}

// The daemon that keeps the limits dies, another stands still for longer than it takes to replace it, and the
// last is told to end: a successor knew of no limit, or granted beside the one before.
TEST_P(changing_limit_test, HoldsWhileTheDaemonsThatKeepItDieStandStillAndEnd)
{
    for (backend_standin *server : serversOfKind()) {
        server->setLimit(1.2);
    }
    sendEvery({60});
    runFor({2'000});
    stop(m_daemons[0]);
    runFor({3'000});
    start(m_daemons[0], BRIARHEAD_EDGE);
    runFor({3'000});
    signal(m_daemons[1], SIGSTOP);
    runFor({4'000});
    signal(m_daemons[1], SIGCONT);
    runFor({3'000});
    signal(m_daemons[2], SIGTERM);
    runFor({6'000});
    expectWithinLimits(m_daemons[1].name);
    EXPECT_GE(m_served, 60U);
}

INSTANTIATE_TEST_SUITE_P(Kinds, server_limit_test, testing::ValuesIn(kinds), nameOfKind);
// One of each kind of service: these take long.
INSTANTIATE_TEST_SUITE_P(Kinds, changing_limit_test, testing::Values(kinds[0], kinds[1]), nameOfKind);

}
