#include "serving/other_daemon.h"
#include "serving/word_task.h"

#include <algorithm>

namespace briarhead {

namespace {

using mood = backend_standin::mood;

/// A daemon whose servers say of themselves that they leave, or want nothing for a while.
class edge_words_test : public edge_test
{
protected:
    void startHolding(const std::string &adapter)
    {
        m_heldAtStart = {{"m-1", {adapter}}, {"m-2", {adapter}}};
        start();
    }
    void keepOnlyFirst(std::vector<std::unique_ptr<backend_standin>> &servers)
    {
        m_store.put("servers/" + servers[1]->id, servers[1]->entry("draining"));
        runRounds(800); // until the store's news are here
    }
    static void shed(backend_standin &server, const std::string &pause)
    {
        server.now = mood::Sheds;
        server.pauseText = pause;
    }
    static std::size_t callsOf(const backend_standin &server)
    {
        return server.arrivals.size() + server.orders.size();
    }
    std::string comeBackOf(const std::string &answer)
    {
        const std::size_t at = answer.find("Retry-After: ");
        return at == std::string::npos ? "" : answer.substr(at + 13, answer.find('\r', at) - at - 13);
    }
};

}

// Its own word that a server leaves was overruled by the store, which still listed it as ready, or listed it
// again after a lapse.
TEST_F(edge_words_test, LeavingOutlivesTheStoresListing)
{
    start();
    keepOnlyFirst(m_plain);
    m_plain[0]->leaving = true;
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "200");
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "503");
    m_store.put("servers/p-1", m_plain[0]->entry());
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "503");
    m_store.remove("servers/p-1");
    runRounds(100);
    m_store.put("servers/p-1", m_plain[0]->entry());
    runRounds(100);
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "503");
    EXPECT_EQ(m_plain[0]->ran.size(), 1U);
}

// A server that started again under its id stayed closed for what its earlier start had said.
TEST_F(edge_words_test, ANewStartIsOpenWhateverTheOneBeforeSaid)
{
    start();
    keepOnlyFirst(m_plain);
    m_plain[0]->leaving = true;
    answerTo("/safe/x");
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "503");
    m_plain[0]->leaving = false;
    m_plain[0]->born = 5;
    m_store.put("servers/p-1", m_plain[0]->entry());
    runRounds(300);
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "200");
}

// Reports and orders of a server's orderer went on while it wanted nothing from that daemon.
TEST_F(edge_words_test, InAPauseAServerGetsNeitherReportsNorOrders)
{
    startHolding("a1");
    for (const auto &server : m_models) {
        shed(*server, "2");
    }
    answerTo("/gen/x", "a1");
    ASSERT_TRUE(runUntil([&] {
        return std::all_of(m_models.begin(), m_models.end(), [](const auto &server) {
            return !server->said.empty();
        });
    })) << "it was sent to both in turn";
    runRounds(100);
    const std::size_t before = callsOf(*m_models[0]) + callsOf(*m_models[1]);
    const millis end = bootNow() + millis{1'000};
    while (bootNow() < end) {
        EXPECT_EQ(statusOf(answerTo("/gen/x", "a7")), "503") << "not there, and not to be loaded now";
        runRounds(20);
    }
    EXPECT_EQ(callsOf(*m_models[0]) + callsOf(*m_models[1]), before);
}

// A pause was forgotten when the server's entry lapsed, and a leaving server's last start was taken for news.
TEST_F(edge_words_test, APauseHoldsThroughALapseOfTheEntry)
{
    start();
    keepOnlyFirst(m_plain);
    shed(*m_plain[0], "2");
    answerTo("/safe/x");
    m_store.remove("servers/p-1");
    runRounds(50);
    m_store.put("servers/p-1", m_plain[0]->entry());
    runRounds(50);
    const std::size_t before = m_plain[0]->arrivals.size();
    const std::string refused = answerTo("/safe/x");
    EXPECT_EQ(statusOf(refused), "503");
    EXPECT_GT(std::stod(comeBackOf(refused)), 1.0);
    EXPECT_LT(std::stod(comeBackOf(refused)), 3.0);
    EXPECT_EQ(m_plain[0]->arrivals.size(), before);
}

// A server that is closed was tried again for what may be repeated.
TEST_F(edge_words_test, ARepeatGoesToAServerThatIsOpen)
{
    start();
    shed(*m_plain[0], "5");
    shed(*m_plain[1], "5");
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "503");
    const std::size_t reached = m_plain[0]->arrivals.size() + m_plain[1]->arrivals.size();
    EXPECT_LE(reached, 2U);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(statusOf(answerTo("/safe/x")), "503");
    }
    EXPECT_LE(m_plain[0]->arrivals.size(), 1U);
    EXPECT_LE(m_plain[1]->arrivals.size(), 1U);
}

// Places went to a daemon that a server wanted nothing from.
TEST_F(edge_words_test, AnOrdererGrantsNoPlaceToADaemonThatIsToPause)
{
    startHolding("a1");
    other_daemon paused(m_store, m_loop, m_settings.peers, "n2", "m-9");
    other_daemon free(m_store, m_loop, m_settings.peers, "n3", "m-8");
    runRounds(300);
    paused.tell(server_notice{"m-1", "m-1", false, 1'500, false});
    runRounds(20);
    paused.askAs("x", "m-1");
    free.askAs("y", "m-1");
    ASSERT_TRUE(runUntil([&] {
        return paused.answersHeard > 0 && free.lastAnswer.decision == slot_decision::Granted;
    }));
    EXPECT_EQ(paused.lastAnswer.decision, slot_decision::Refused);
    EXPECT_EQ(paused.lastAnswer.why, refusal::Paused);
    EXPECT_GT(paused.lastAnswer.retryAfterMs, 1'000);
    EXPECT_LE(paused.lastAnswer.retryAfterMs, 1'500);
    ASSERT_TRUE(runUntil([&] {
        paused.askAs("z", "m-1");
        return paused.lastAnswer.decision == slot_decision::Granted;
    })) << "a pause ends by itself";
}

// What waited at an orderer was granted to a daemon after the server had asked that daemon for a pause.
TEST_F(edge_words_test, WhatWaitsForAPlaceIsRefusedOnceItsDaemonIsToPause)
{
    startHolding("a1");
    other_daemon entry(m_store, m_loop, m_settings.peers, "n2", "m-9");
    runRounds(300);
    for (int i = 0; i < 4; ++i) { // all places are taken
        entry.askAs("running" + std::to_string(i), "m-1");
    }
    ASSERT_TRUE(runUntil([&] {
        return entry.answersHeard >= 4;
    }));
    entry.askAs("waits", "m-1");
    ASSERT_TRUE(runUntil([&] {
        return entry.lastAnswer.decision == slot_decision::Queued;
    }));
    entry.tell(server_notice{"m-1", "m-1", false, 5'000, false});
    ASSERT_TRUE(runUntil([&] {
        return entry.lastAnswer.decision == slot_decision::Refused;
    }));
    EXPECT_EQ(entry.lastAnswer.id, "waits");
    EXPECT_EQ(entry.lastAnswer.why, refusal::Paused);
}

// A daemon that had a place, or waited for one, sent there though the server had said meanwhile that it
// leaves.
TEST_F(edge_words_test, NeitherAGrantNorAWaitOutlivesTheWord)
{
    startHolding("a1");
    other_daemon orderer(m_store, m_loop, m_settings.peers, "n2", "m-2");
    orderer.setResident("m0/a1");
    runRounds(300);
    m_store.put("servers/m-1", m_models[0]->entry("draining"));
    for (int i = 0; i < 4; ++i) {
        orderer.beat();
        runRounds(100);
    }
    const auto caller = ask("/gen/x", "a1");
    ASSERT_TRUE(runUntil([&] {
        return !orderer.asksHeard.empty();
    }));
    orderer.tell(server_notice{"m-2", "m-2", true, 0, false});
    slot_response granted;
    granted.id = orderer.asksHeard.front().id;
    granted.server = "m-2";
    granted.decision = slot_decision::Granted;
    orderer.tell(granted);
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(seen);
    }));
    EXPECT_EQ(statusOf(seen), "503") << seen;
    EXPECT_EQ(m_models[1]->ran.size(), 0U);
    EXPECT_FALSE(orderer.placeNotesHeard.empty()) << "its place is given back";
}

// Daemons that had no answer of a leaving server went on sending there.
TEST_F(edge_words_test, ALeavingServerIsToldToAllAndHeardFromAny)
{
    start();
    other_daemon other(m_store, m_loop, m_settings.peers, "n2", "m-9");
    runRounds(200);
    m_plain[0]->leaving = true;
    m_plain[1]->leaving = true;
    for (int i = 0; i < 10 && m_plain[0]->said.size() + m_plain[1]->said.size() < 2; ++i) {
        answerTo("/safe/x");
    }
    const auto knows = [&other](const std::string &server) {
        return std::any_of(other.wordsHeard.begin(), other.wordsHeard.end(), [&](const server_notice &news) {
            return news.leaving && news.incarnation == server;
        });
    };
    EXPECT_TRUE(runUntil([&] {
        return knows("p-1") && knows("p-2");
    }));
    other.tell(server_notice{"m-1", "m-1", true, 0, false});
    other.tell(server_notice{"m-2", "m-2", true, 0, false});
    runRounds(50);
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a1")), "503");
    EXPECT_EQ(ranOn(m_models), 0U);
}

// An orderer refused what was meant for a leaving server without a word why, so that each request asked it
// anew.
TEST_F(edge_words_test, AnOrdererTellsWhoAsksThatTheServerLeaves)
{
    start();
    other_daemon first(m_store, m_loop, m_settings.peers, "n2", "m-9");
    runRounds(300);
    first.tell(server_notice{"m-1", "m-1", true, 0, false});
    runRounds(50);
    first.askAs("x", "m-1");
    ASSERT_TRUE(runUntil([&] {
        return first.answersHeard > 0 && !first.wordsHeard.empty();
    }));
    EXPECT_EQ(first.lastAnswer.why, refusal::ServerLeaving);
    EXPECT_TRUE(first.wordsHeard.back().leaving);
}

// A server's word that it leaves came in the answer to a question of its orderer's own, and was not read.
TEST_F(edge_words_test, ReportsAndAnswersToOrdersAreReadToo)
{
    startHolding("a1");
    m_models[0]->leaving = true;
    m_models[0]->holdsModel = false;
    ++m_models[0]->born; // its orderer asks for a report
    m_store.put("servers/m-1", m_models[0]->entry());
    ASSERT_TRUE(runUntil([&] {
        return !m_models[0]->said.empty();
    }));
    runRounds(50);
    m_store.put("servers/m-2", m_models[1]->entry("draining"));
    runRounds(800); // until the store's news are here
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a1")), "503");
    EXPECT_EQ(ranOn(m_models), 0U);
}

}
