#include "soak/callers_fixture.h"

namespace briarhead::soak {

namespace {

std::string senderOf(const std::string &id, millis)
{
    return id.substr(0, id.find('.'));
}

/// Servers say of themselves that they leave, or want nothing for a while.
class server_words_test : public callers_fixture
{
protected:
    static constexpr millis newsTime{1'000}; ///< in which daemons tell each other

    void expectWordsKept()
    {
        for (const backend_standin *server : serversOfKind()) {
            EXPECT_EQ(findSendAfterLeaving(server->sentNotices, server->arrivals, senderOf).value_or(""), "")
                << server->id;
            EXPECT_EQ(findSendInPause(server->sentNotices, server->arrivals, senderOf).value_or(""), "")
                << server->id;
        }
    }
    static std::size_t arrivedSince(const backend_standin &server, millis since)
    {
        return static_cast<std::size_t>(
            std::count_if(server.arrivals.begin(), server.arrivals.end(), [since](const auto &each) {
                return each.at >= since && !each.id.empty();
            }));
    }
    void shed(backend_standin &server, const std::string &pause)
    {
        server.currentBehavior = backend_standin::behavior::Sheds;
        server.pauseText = pause;
    }
};

}

// A server that said in its answers that it leaves got requests for as long as the store didn't say so.
TEST_P(server_words_test, ALeavingServerGetsNothingMoreWhileTheStoreIsAway)
{
    sendEvery({40});
    runFor({1'000});
    m_storeServer.client.fault = store_fault::Unresponsive;
    runFor({300});
    backend_standin &server = *serversOfKind()[0];
    server.leaving = true;
    runFor({4'000});
    expectWordsKept();
    ASSERT_FALSE(server.sentNotices.empty());
    EXPECT_EQ(arrivedSince(server, server.sentNotices.front().at + newsTime), 0U)
        << "daemons that got no such answer are told by those that did";
    EXPECT_GE(m_served, (m_served + m_refused) * 9 / 10) << "the others take what this one may not";
    EXPECT_EQ(m_failed, 0U);
}

// The same while the store answers, and still lists the server as ready.
TEST_P(server_words_test, ALeavingServerGetsNothingMoreThoughTheStoreListsItAsReady)
{
    sendEvery({40});
    runFor({1'000});
    backend_standin &server = *serversOfKind()[0];
    server.leaving = true;
    runFor({1'500});
    m_store.put("servers/" + server.id, server.entry());
    runFor({2'500});
    expectWordsKept();
    ASSERT_FALSE(server.sentNotices.empty());
    EXPECT_EQ(arrivedSince(server, server.sentNotices.front().at + newsTime), 0U);
    EXPECT_EQ(m_failed, 0U);
}

// A server that turned requests away and asked for a pause got more from the same daemons at once.
TEST_P(server_words_test, AServerThatAsksForAPauseIsSpared)
{
    sendEvery({40});
    runFor({1'000});
    backend_standin &server = *serversOfKind()[0];
    shed(server, "2.5");
    runFor({6'000});
    expectWordsKept();
    EXPECT_GE(m_served, (m_served + m_refused) * 9 / 10) << "the others take what this one may not";
    EXPECT_EQ(m_failed, 0U);
    server.currentBehavior = backend_standin::behavior::Serves;
    runFor({2'600});
    for (backend_standin *other : serversOfKind()) {
        if (other != &server) {
            shed(*other, "30");
        }
    }
    runFor({500});
    const std::size_t before = server.ran.size();
    runFor({1'000});
    EXPECT_GE(server.ran.size() - before, 40U) << "a pause ends by itself";
    expectWordsKept();
}

// The same where the other servers are slow, and one that turns requests away looks the less loaded.
TEST_P(server_words_test, APauseHoldsThoughOtherServersAreSlow)
{
    sendEvery({60});
    runFor({500});
    const auto servers = serversOfKind();
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (i < 3) {
            shed(*servers[i], "2.5");
        } else {
            servers[i]->currentBehavior = backend_standin::behavior::Slow;
        }
    }
    runFor({6'000});
    expectWordsKept();
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_FALSE(servers[i]->sentNotices.empty()) << "it is asked again once its pause is over";
    }
    EXPECT_EQ(m_failed, 0U);
}

// With every server in a pause callers waited for their own end, or were told a time that was not true, or
// all the same one.
TEST_P(server_words_test, WhereAllServersPauseCallersHearTheTrueTimeAtOnce)
{
    for (backend_standin *server : serversOfKind()) {
        shed(*server, "3");
    }
    sendEvery({30});
    runFor({1'000});
    m_longestRefusal = {};
    m_comeBacks.clear();
    runFor({1'000});
    expectWordsKept();
    millis paused; // the first of the pauses ends then
    for (const backend_standin *server : serversOfKind()) {
        ASSERT_FALSE(server->sentNotices.empty());
        const millis end = server->sentNotices.front().at + server->sentNotices.front().pause;
        paused = paused == millis{} ? end : std::min(paused, end);
    }
    EXPECT_LE(m_longestRefusal, millis{400});
    ASSERT_GE(m_comeBacks.size(), 50U);
    const auto earliest = [](const auto &a, const auto &b) {
        return a.second < b.second;
    };
    const auto ends = std::minmax_element(m_comeBacks.begin(), m_comeBacks.end(), earliest);
    EXPECT_GE(ends.first->second, paused - millis{50}) << "before it nothing can be served";
    EXPECT_LE(ends.second->second, paused + millis{5'000});
    EXPECT_GE(ends.second->second - ends.first->second, millis{500}) << "not all at the same moment";
    EXPECT_EQ(m_failed, 0U);
}

// With every server leaving callers were sent there, or waited.
TEST_P(server_words_test, WhereAllServersLeaveCallersAreRefusedAtOnce)
{
    sendEvery({30});
    runFor({500});
    for (backend_standin *server : serversOfKind()) {
        server->leaving = true;
    }
    runFor({2'500});
    m_longestRefusal = {};
    m_refused = 0;
    runFor({1'000});
    expectWordsKept();
    EXPECT_GE(m_refused, 50U);
    EXPECT_LE(m_longestRefusal, millis{400});
    EXPECT_EQ(m_failed, 0U);
}

INSTANTIATE_TEST_SUITE_P(Kinds, server_words_test, testing::ValuesIn(kinds), nameOfKind);

}
