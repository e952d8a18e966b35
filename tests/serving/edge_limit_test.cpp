#include "serving/other_daemon.h"
#include "serving/server_limit.h"

#include <algorithm>

namespace briarhead {

namespace {

class edge_limit_test : public edge_test
{
protected:
    /// Leaves p-1 as the one plain server and m-1 as the one model server.
    void keepOneOfEach()
    {
        m_store.put("servers/p-2", m_plain[1]->entry("draining"));
        m_store.put("servers/m-2", m_models[1]->entry("draining"));
        runRounds(300);
    }
    void sendMany(const std::string &path, millis span)
    {
        const millis end = bootNow() + span;
        while (bootNow() < end) {
            m_callers.push_back(ask(path));
            runRounds(20);
        }
    }
    std::vector<std::unique_ptr<http_testing::raw_socket>> m_callers;
};

}

// A daemon that had lost the store granted a server's whole limit beside its successor.
TEST_F(edge_limit_test, AHolderWhoseLeaseMayHaveEndedGrantsLessThanHalf)
{
    start();
    keepOneOfEach();
    m_plain[0]->nameLimit(20);
    sendMany("/safe/x", {2'000});
    ASSERT_EQ(m_store.items.count("briarhead/orderer/p-1"), 1U);
    m_client.fault = store_fault::RefusesCalls;
    runRounds(3'000);
    const std::size_t before = m_plain[0]->ran.size();
    const millis from = bootNow();
    sendMany("/safe/x", {3'000});
    const double rate = static_cast<double>(m_plain[0]->ran.size() - before) * 1'000
        / static_cast<double>((bootNow() - from).count);
    EXPECT_LT(rate, 20 * unprovenShare + 2) << "two saved turns, and what is on its way";
}

// A daemon that had been replaced granted on until its view of the store told it.
TEST_F(edge_limit_test, WhoHearsOfItsSuccessorGrantsNothing)
{
    start();
    other_daemon successor(m_store, m_loop, m_settings.peers, "n2", "m-2");
    runRounds(500);
    m_models[0]->nameLimit(50);
    answerTo("/gen/x", "a1");
    runRounds(500);
    successor.ask("m-1");
    ASSERT_TRUE(runUntil([&] {
        return successor.lastAnswer.verdict == place_verdict::Granted;
    }));
    EXPECT_EQ(successor.lastAnswer.limitMilli, 50'000);
    m_client.fault = store_fault::Unresponsive; // its own claim of the record must not answer for it
    successor.lastAnswer = {};
    ASSERT_TRUE(runUntil([&] {
        successor.beatAsSuccessor("m-1");
        successor.askAs("y", "m-1");
        return successor.lastAnswer.verdict == place_verdict::Refused;
    }));
    EXPECT_EQ(successor.lastAnswer.why, refusal::Limited);
}

// A new holder didn't know of a limit that the daemons that asked it had been told of; and an answer's word
// of a limit reached nobody but the daemon that sent the request.
TEST_F(edge_limit_test, AHolderIsToldByAsksAndAfterAnswers)
{
    start();
    other_daemon holder(m_store, m_loop, m_settings.peers, "n2", "p-1");
    keepOneOfEach();
    m_plain[0]->nameLimit(4);
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "200"); // it has no limit yet, as far as anybody knows
    ASSERT_TRUE(runUntil([&] {
        return !holder.notesHeard.empty();
    }));
    EXPECT_EQ(holder.notesHeard.front().limitMilli, 4'000);
    m_callers.push_back(ask("/safe/x"));
    ASSERT_TRUE(runUntil([&] {
        return !holder.asksHeard.empty();
    }));
    EXPECT_EQ(holder.asksHeard.front().server, "p-1");
    EXPECT_EQ(holder.asksHeard.front().limitMilli, 4'000);
    EXPECT_EQ(m_plain[0]->ran.size(), 1U);
}

// A daemon that had not heard of a limit by an answer of its own sent as before.
TEST_F(edge_limit_test, BeatsTellOfLimits)
{
    start();
    other_daemon other(m_store, m_loop, m_settings.peers, "n2", "p-1");
    keepOneOfEach();
    m_models[0]->nameLimit(4);
    answerTo("/gen/x", "a1");
    ASSERT_TRUE(runUntil([&] {
        return !other.limitsHeard.empty();
    }));
    EXPECT_EQ(other.limitsHeard.front().server, "m-1");
    EXPECT_EQ(other.limitsHeard.front().limitMilli, 4'000);
    other.limits = {{"p-1", 3'000, 0}};
    other.beat();
    runRounds(50);
    m_callers.push_back(ask("/safe/x"));
    ASSERT_TRUE(runUntil([&] {
        return !other.asksHeard.empty();
    }));
    EXPECT_EQ(m_plain[0]->ran.size(), 0U);
}

// The orderer of a server that names a limit is dead, and requests for what it holds went there without a
// place, from each daemon as many as it had callers.
TEST_F(edge_limit_test, WithoutItsOrdererALimitedServerGetsNothing)
{
    m_settings.serversCheckTokens = false;
    m_heldAtStart["m-1"] = {"a1"};
    start();
    other_daemon silent(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon heard(m_store, m_loop, m_settings.peers, "n3", "m-2");
    runRounds(300);
    silent.setResident("m0/a1");
    const auto withLimit = [&](std::vector<limit_beat> limits) {
        silent.limits = std::move(limits);
        silent.beat();
        const millis stale = bootNow() + beatFresh + millis{200};
        while (bootNow() < stale) {
            heard.beat();
            runRounds(100);
        }
        answerTo("/gen/x", "a1");
        return m_models[0]->ran.size();
    };
    EXPECT_EQ(withLimit({{"m-1", 4'000, 0}}), 0U);
    EXPECT_EQ(withLimit({{"m-1", -1, 0}}), 1U) << "without a limit what it holds is still served";
}

// Questions for a server's report went on four times a second while its weights loaded, whatever limit it
// named.
TEST_F(edge_limit_test, ReportsTakeTurnsToo)
{
    start();
    backend_standin &server = *m_models[0];
    server.nameLimit(1);
    server.holdsModel = false;
    server.adapters.clear();
    server.modelLoadTime = millis{4'500};
    ++server.born; // it starts again, and holds nothing
    ++server.sequence;
    m_store.put("servers/" + server.id, server.entry());
    const std::size_t before = server.reports;
    ASSERT_TRUE(runUntil([&] {
        return server.holdsModel;
    }));
    EXPECT_LE(server.reports - before, 4'500U / 1'000U + 4U);
}

}
