#include "scheduling/server_limit.h"
#include "serving/other_daemon.h"

#include <algorithm>

namespace briarhead {

namespace {

class edge_limit_test : public edge_test
{
protected:
    /// Leaves p-1 as the only plain server and m-1 as the only model server.
    void drainSecondOfEach()
    {
        m_store.put("servers/p-2", m_plain[1]->entry("draining"));
        m_store.put("servers/m-2", m_models[1]->entry("draining"));
        runRounds(300);
    }
    void sendMany(const std::string &path, millis span)
    {
        const millis end = bootNow() + span;
        while (bootNow() < end) {
            m_callers.push_back(sendRequest(path));
            runRounds(20);
        }
    }
    std::vector<std::unique_ptr<http_testing::raw_socket>> m_callers;
};

}

// Regression: an owner that had lost the store granted the whole limit of a server while its successor did so
// too.
TEST_F(edge_limit_test, OwnerWithoutConfirmedLeaseGrantsLessThanHalfOfTheLimit)
{
    start();
    drainSecondOfEach();
    m_plain[0]->setLimit(20);
    sendMany("/safe/x", {2'000});
    ASSERT_EQ(m_store.items.count("briarhead/orderer/p-1"), 1U);
    m_client.fault = store_fault::RefusesCalls;
    runRounds(3'000);
    const std::size_t before = m_plain[0]->ran.size();
    const millis from = bootNow();
    sendMany("/safe/x", {3'000});
    const double rate = static_cast<double>(m_plain[0]->ran.size() - before) * 1'000
        / static_cast<double>((bootNow() - from).count);
    EXPECT_LT(rate, 20 * unconfirmedShare + 2) << "two saved permits, and requests in flight";
}

// Regression: an owner that had been replaced kept granting permits until it learned of it from the store.
TEST_F(edge_limit_test, OwnerGrantsNothingAfterAHeartbeatOfItsSuccessor)
{
    start();
    other_daemon successor(m_store, m_loop, m_settings.peers, "n2", "m-2");
    runRounds(500);
    m_models[0]->setLimit(50);
    responseTo("/gen/x", "a1");
    runRounds(500);
    successor.sendSlotRequest("m-1");
    ASSERT_TRUE(runUntil([&] {
        return successor.lastResponse.decision == slot_decision::Granted;
    }));
    EXPECT_EQ(successor.lastResponse.limitMilli, 50'000);
    m_client.fault = store_fault::Unresponsive; // keeps this daemon from claiming the server again
    successor.lastResponse = {};
    ASSERT_TRUE(runUntil([&] {
        successor.sendHeartbeatAsSuccessor("m-1");
        successor.sendSlotRequestAs("y", "m-1");
        return successor.lastResponse.decision == slot_decision::Refused;
    }));
    EXPECT_EQ(successor.lastResponse.why, refusal::Limited);
}

// Regression: a limit announced in a response was known only to the daemon that had sent the request, and a
// new owner didn't learn the limits that other daemons knew.
TEST_F(edge_limit_test, OwnerLearnsLimitsFromPermitRequestsAndReports)
{
    start();
    other_daemon owner(m_store, m_loop, m_settings.peers, "n2", "p-1");
    drainSecondOfEach();
    m_plain[0]->setLimit(4);
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "200"); // no daemon knows the limit yet
    ASSERT_TRUE(runUntil([&] {
        return !owner.limitReports.empty();
    }));
    EXPECT_EQ(owner.limitReports.front().limitMilli, 4'000);
    m_callers.push_back(sendRequest("/safe/x"));
    ASSERT_TRUE(runUntil([&] {
        return !owner.slotRequests.empty();
    }));
    EXPECT_EQ(owner.slotRequests.front().server, "p-1");
    EXPECT_EQ(owner.slotRequests.front().limitMilli, 4'000);
    EXPECT_EQ(m_plain[0]->ran.size(), 1U);
}

// Regression: a daemon that had not received a response with the limit itself kept sending without permits.
TEST_F(edge_limit_test, LimitsAreSharedByHeartbeats)
{
    start();
    other_daemon other(m_store, m_loop, m_settings.peers, "n2", "p-1");
    drainSecondOfEach();
    m_models[0]->setLimit(4);
    responseTo("/gen/x", "a1");
    ASSERT_TRUE(runUntil([&] {
        return !other.limitsReceived.empty();
    }));
    EXPECT_EQ(other.limitsReceived.front().server, "m-1");
    EXPECT_EQ(other.limitsReceived.front().limitMilli, 4'000);
    other.limits = {{"p-1", 3'000, 0}};
    other.sendHeartbeat();
    runRounds(50);
    m_callers.push_back(sendRequest("/safe/x"));
    ASSERT_TRUE(runUntil([&] {
        return !other.slotRequests.empty();
    }));
    EXPECT_EQ(m_plain[0]->ran.size(), 0U);
}

// Regression: after the owner of a server with a limit had died, every daemon sent requests for resident
// adapters there without permits.
TEST_F(edge_limit_test, LimitedModelServerReceivesNothingWithoutALiveOwner)
{
    m_settings.serversCheckFencingTokens = false;
    m_initialAdapters["m-1"] = {"a1"};
    start();
    other_daemon deadOwner(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon liveOwner(m_store, m_loop, m_settings.peers, "n3", "m-2");
    runRounds(300);
    deadOwner.setResident("m0/a1");
    const auto withLimit = [&](std::vector<limit_heartbeat> limits) {
        deadOwner.limits = std::move(limits);
        deadOwner.sendHeartbeat();
        const millis staleAt = bootNow() + heartbeatFreshFor + millis{200};
        while (bootNow() < staleAt) {
            liveOwner.sendHeartbeat();
            runRounds(100);
        }
        responseTo("/gen/x", "a1");
        return m_models[0]->ran.size();
    };
    EXPECT_EQ(withLimit({{"m-1", 4'000, 0}}), 0U);
    EXPECT_EQ(withLimit({{"m-1", -1, 0}}), 1U) << "without a limit, resident adapters are still served";
}

// Regression: while a server loaded its weights, report requests were sent four times a second regardless of
// its limit.
TEST_F(edge_limit_test, ReportRequestsNeedPermitsToo)
{
    start();
    backend_standin &server = *m_models[0];
    server.setLimit(1);
    server.holdsModel = false;
    server.adapters.clear();
    server.modelLoadTime = millis{4'500};
    ++server.startedAtMs; // simulates a restart with nothing resident
    ++server.sequence;
    m_store.put("servers/" + server.id, server.entry());
    const std::size_t before = server.reportRequests;
    ASSERT_TRUE(runUntil([&] {
        return server.holdsModel;
    }));
    EXPECT_LE(server.reportRequests - before, 4'500U / 1'000U + 4U);
}

}
