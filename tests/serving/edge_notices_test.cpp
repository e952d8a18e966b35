#include "serving/other_daemon.h"
#include "serving/server_notice_task.h"

#include <algorithm>

namespace briarhead {

namespace {

using behavior = backend_standin::behavior;

/// A daemon whose servers announce that they are leaving or ask for a pause.
class edge_notice_test : public edge_test
{
protected:
    void startWithAdapter(const std::string &adapter)
    {
        m_initialAdapters = {{"m-1", {adapter}}, {"m-2", {adapter}}};
        start();
    }
    void drainSecond(std::vector<std::unique_ptr<backend_standin>> &servers)
    {
        m_store.put("servers/" + servers[1]->id, servers[1]->entry("draining"));
        runRounds(800); // until the store's update has arrived
    }
    static void shed(backend_standin &server, const std::string &pause)
    {
        server.currentBehavior = behavior::Sheds;
        server.pauseText = pause;
    }
    static std::size_t callsTo(const backend_standin &server)
    {
        return server.arrivals.size() + server.orders.size();
    }
    std::string retryAfterOf(const std::string &response)
    {
        const std::size_t start = response.find("Retry-After: ");
        return start == std::string::npos
            ? ""
            : response.substr(start + 13, response.find('\r', start) - start - 13);
    }
};

}

// Regression: a server's leaving notice was overridden by the store, which still listed it as ready or listed
// it again after its entry had expired.
TEST_F(edge_notice_test, LeavingServerStaysClosedWhateverTheStoreLists)
{
    start();
    drainSecond(m_plain);
    m_plain[0]->leaving = true;
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "200");
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "503");
    m_store.put("servers/p-1", m_plain[0]->entry());
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "503");
    m_store.remove("servers/p-1");
    runRounds(100);
    m_store.put("servers/p-1", m_plain[0]->entry());
    runRounds(100);
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "503");
    EXPECT_EQ(m_plain[0]->ran.size(), 1U);
}

// Regression: a server that had restarted under the same id stayed closed because of its previous
// incarnation's notice.
TEST_F(edge_notice_test, NewIncarnationOfALeavingServerIsOpen)
{
    start();
    drainSecond(m_plain);
    m_plain[0]->leaving = true;
    responseTo("/safe/x");
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "503");
    m_plain[0]->leaving = false;
    m_plain[0]->startedAtMs = 5;
    m_store.put("servers/p-1", m_plain[0]->entry());
    runRounds(300);
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "200");
}

// Regression: a server's owner kept sending report requests and orders during the pause.
TEST_F(edge_notice_test, PausedServerReceivesNoReportRequestsOrOrders)
{
    startWithAdapter("a1");
    for (const auto &server : m_models) {
        shed(*server, "2");
    }
    responseTo("/gen/x", "a1");
    ASSERT_TRUE(runUntil([&] {
        return std::all_of(m_models.begin(), m_models.end(), [](const auto &server) {
            return !server->sentNotices.empty();
        });
    })) << "both servers were tried";
    runRounds(100);
    const std::size_t before = callsTo(*m_models[0]) + callsTo(*m_models[1]);
    const millis end = bootNow() + millis{1'000};
    while (bootNow() < end) {
        EXPECT_EQ(statusOf(responseTo("/gen/x", "a7")), "503") << "not resident, and must not be loaded now";
        runRounds(20);
    }
    EXPECT_EQ(callsTo(*m_models[0]) + callsTo(*m_models[1]), before);
}

// Regression: a pause was forgotten when the server's entry in the store expired.
TEST_F(edge_notice_test, PauseStaysInEffectWhenTheEntryExpiresAndReturns)
{
    start();
    drainSecond(m_plain);
    shed(*m_plain[0], "2");
    responseTo("/safe/x");
    m_store.remove("servers/p-1");
    runRounds(50);
    m_store.put("servers/p-1", m_plain[0]->entry());
    runRounds(50);
    const std::size_t before = m_plain[0]->arrivals.size();
    const std::string refused = responseTo("/safe/x");
    EXPECT_EQ(statusOf(refused), "503");
    EXPECT_GT(std::stod(retryAfterOf(refused)), 1.0);
    EXPECT_LT(std::stod(retryAfterOf(refused)), 3.0);
    EXPECT_EQ(m_plain[0]->arrivals.size(), before);
}

// Regression: idempotent requests were retried on servers that had asked for a pause.
TEST_F(edge_notice_test, PausedServersAreNotRetried)
{
    start();
    shed(*m_plain[0], "5");
    shed(*m_plain[1], "5");
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "503");
    const std::size_t reached = m_plain[0]->arrivals.size() + m_plain[1]->arrivals.size();
    EXPECT_LE(reached, 2U);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(statusOf(responseTo("/safe/x")), "503");
    }
    EXPECT_LE(m_plain[0]->arrivals.size(), 1U);
    EXPECT_LE(m_plain[1]->arrivals.size(), 1U);
}

// Regression: an owner granted slots to a daemon that the server had asked for a pause.
TEST_F(edge_notice_test, OwnerRefusesSlotsToAPausedDaemonUntilThePauseEnds)
{
    startWithAdapter("a1");
    other_daemon paused(m_store, m_loop, m_settings.peers, "n2", "m-9");
    other_daemon unpaused(m_store, m_loop, m_settings.peers, "n3", "m-8");
    runRounds(300);
    paused.send(server_notice{"m-1", "m-1", false, 1'500, false});
    runRounds(20);
    paused.sendSlotRequestAs("x", "m-1");
    unpaused.sendSlotRequestAs("y", "m-1");
    ASSERT_TRUE(runUntil([&] {
        return paused.responsesReceived > 0 && unpaused.lastResponse.decision == slot_decision::Granted;
    }));
    EXPECT_EQ(paused.lastResponse.decision, slot_decision::Refused);
    EXPECT_EQ(paused.lastResponse.why, refusal::Paused);
    EXPECT_GT(paused.lastResponse.retryAfterMs, 1'000);
    EXPECT_LE(paused.lastResponse.retryAfterMs, 1'500);
    ASSERT_TRUE(runUntil([&] {
        paused.sendSlotRequestAs("z", "m-1");
        return paused.lastResponse.decision == slot_decision::Granted;
    })) << "the pause expires";
}

// Regression: an owner granted a queued slot request after the server had asked that daemon for a pause.
TEST_F(edge_notice_test, QueuedSlotRequestIsRefusedOnceItsDaemonIsPaused)
{
    startWithAdapter("a1");
    other_daemon entry(m_store, m_loop, m_settings.peers, "n2", "m-9");
    runRounds(300);
    for (int i = 0; i < 4; ++i) { // occupies all slots
        entry.sendSlotRequestAs("running" + std::to_string(i), "m-1");
    }
    ASSERT_TRUE(runUntil([&] {
        return entry.responsesReceived >= 4;
    }));
    entry.sendSlotRequestAs("waits", "m-1");
    ASSERT_TRUE(runUntil([&] {
        return entry.lastResponse.decision == slot_decision::Queued;
    }));
    entry.send(server_notice{"m-1", "m-1", false, 5'000, false});
    ASSERT_TRUE(runUntil([&] {
        return entry.lastResponse.decision == slot_decision::Refused;
    }));
    EXPECT_EQ(entry.lastResponse.id, "waits");
    EXPECT_EQ(entry.lastResponse.why, refusal::Paused);
}

// Regression: a daemon that held or waited for a slot sent the request although the server had announced
// meanwhile that it was leaving.
TEST_F(edge_notice_test, GrantedSlotIsNotUsedAfterALeavingNotice)
{
    startWithAdapter("a1");
    other_daemon owner(m_store, m_loop, m_settings.peers, "n2", "m-2");
    owner.setResident("m0/a1");
    runRounds(300);
    m_store.put("servers/m-1", m_models[0]->entry("draining"));
    for (int i = 0; i < 4; ++i) {
        owner.sendHeartbeat();
        runRounds(100);
    }
    const auto caller = sendRequest("/gen/x", "a1");
    ASSERT_TRUE(runUntil([&] {
        return !owner.slotRequests.empty();
    }));
    owner.send(server_notice{"m-2", "m-2", true, 0, false});
    slot_response granted;
    granted.id = owner.slotRequests.front().id;
    granted.server = "m-2";
    granted.decision = slot_decision::Granted;
    owner.send(granted);
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(received);
    }));
    EXPECT_EQ(statusOf(received), "503") << received;
    EXPECT_EQ(m_models[1]->ran.size(), 0U);
    EXPECT_FALSE(owner.slotEvents.empty()) << "its slot is released";
}

// Regression: daemons that had received no response from a leaving server kept sending to it.
TEST_F(edge_notice_test, LeavingNoticesAreSentToAllDaemonsAndAppliedFromAny)
{
    start();
    other_daemon other(m_store, m_loop, m_settings.peers, "n2", "m-9");
    runRounds(200);
    m_plain[0]->leaving = true;
    m_plain[1]->leaving = true;
    for (int i = 0; i < 10 && m_plain[0]->sentNotices.size() + m_plain[1]->sentNotices.size() < 2; ++i) {
        responseTo("/safe/x");
    }
    const auto wasNotified = [&other](const std::string &server) {
        return std::any_of(other.notices.begin(), other.notices.end(), [&](const server_notice &notice) {
            return notice.leaving && notice.incarnation == server;
        });
    };
    EXPECT_TRUE(runUntil([&] {
        return wasNotified("p-1") && wasNotified("p-2");
    }));
    other.send(server_notice{"m-1", "m-1", true, 0, false});
    other.send(server_notice{"m-2", "m-2", true, 0, false});
    runRounds(50);
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a1")), "503");
    EXPECT_EQ(requestsRunOn(m_models), 0U);
}

// Regression: an owner refused slots on a leaving server without sending the notice, so that the entry asked
// again for each request.
TEST_F(edge_notice_test, OwnerSendsLeavingNoticeWithARefusal)
{
    start();
    other_daemon entry(m_store, m_loop, m_settings.peers, "n2", "m-9");
    runRounds(300);
    entry.send(server_notice{"m-1", "m-1", true, 0, false});
    runRounds(50);
    entry.sendSlotRequestAs("x", "m-1");
    ASSERT_TRUE(runUntil([&] {
        return entry.responsesReceived > 0 && !entry.notices.empty();
    }));
    EXPECT_EQ(entry.lastResponse.why, refusal::ServerLeaving);
    EXPECT_TRUE(entry.notices.back().leaving);
}

// Regression: notices in responses to report requests and orders were ignored.
TEST_F(edge_notice_test, NoticesInReportResponsesAreApplied)
{
    startWithAdapter("a1");
    m_models[0]->leaving = true;
    m_models[0]->holdsModel = false;
    ++m_models[0]->startedAtMs; // makes its owner request a report
    m_store.put("servers/m-1", m_models[0]->entry());
    ASSERT_TRUE(runUntil([&] {
        return !m_models[0]->sentNotices.empty();
    }));
    runRounds(50);
    m_store.put("servers/m-2", m_models[1]->entry("draining"));
    runRounds(800); // until the store's update has arrived
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a1")), "503");
    EXPECT_EQ(requestsRunOn(m_models), 0U);
}

}
