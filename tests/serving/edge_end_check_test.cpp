#include "coordination/request_attributes.h"
#include "serving/edge_fleet_fixture.h"
#include "serving/other_daemon.h"

#include <algorithm>
#include <memory>
#include <string>

// What happens to a request while the daemon checks whether a crash cut its response off: the response has no
// framing, so its end proves nothing until a connection attempt has shown that the server's process lives.
namespace briarhead {

namespace {

using behavior = backend_standin::behavior;

/// Timer ticks of 1 ms. The check begins 10 ms after the end of the response, and takes 350 ms where no
/// connection is established.
constexpr int checkHasBegun = 60;
constexpr const char *requestId = "id1";

class edge_end_check_test : public edge_fleet_test
{
protected:
    std::unique_ptr<other_daemon> m_owner; ///< of p-1
    std::unique_ptr<http_testing::raw_socket> m_caller;
    std::string m_received;
    millis m_sentAt; ///< when the caller sent the request

    backend_standin &server()
    {
        return *m_plain[1];
    }
    void setState(backend_standin &each, const std::string &state)
    {
        m_store.put("servers/" + each.id, each.entry(state));
        runRounds(300);
    }
    /// Sends a request that is refused a permit for p-1 and then runs on p-2. p-3 could run it too.
    void sendRefusedAtFirst(const std::string &path)
    {
        start();
        m_plain.push_back(std::make_unique<backend_standin>(m_loop, "p-3", "app"));
        m_owner = std::make_unique<other_daemon>(m_store, m_loop, m_settings.peers, "n2", "p-1");
        m_owner->send(features_notice{});
        setState(server(), "draining");
        m_owner->limits = {{"p-1", 3'000, 0}};
        m_owner->sendHeartbeat();
        runRounds(20);
        server().currentBehavior = behavior::Silent;
        m_sentAt = bootNow();
        m_caller = sendRequest(path);
        ASSERT_TRUE(runUntil([this] {
            return !m_owner->slotRequests.empty();
        }));
        m_store.put("servers/p-2", server().entry());
        for (int i = 0; i < 5; ++i) { // the request waits until the daemon has learned of p-2
            m_owner->send(slot_response{requestId, "p-1", slot_decision::Queued});
            runRounds(100);
        }
        m_owner->send(
            slot_response{requestId, "p-1", slot_decision::Refused, refusal::Limited, 0, 1'000, 3'000});
        ASSERT_TRUE(runUntil([this] {
            return server().ran.size() == 1;
        }));
        setState(*m_plain[2], "ready");
    }
    /// Lets p-2 respond without framing, so that the check of its process begins and stays open.
    void beginCheck()
    {
        m_links.at("p-2")->setFault(link_fault::HangsNew);
        server().ending = response_ending{body_framing::Connection, {}, false};
        server().currentBehavior = behavior::Serves;
        server().respondToHeld("");
        runRounds(checkHasBegun);
        m_links.at("p-2")->setFault(link_fault::None); // the attempt under way stays open
        ASSERT_TRUE(m_caller->receive(m_received));
        EXPECT_EQ(m_received, "");
    }
    void awaitEnd()
    {
        EXPECT_TRUE(runUntil([this] {
            return !m_caller->receive(m_received);
        }));
        runRounds(300); // for a second run that begins late
    }
    /// The request ran once, and its caller isn't told that it didn't or that its response is whole.
    void expectTruth()
    {
        EXPECT_EQ(runsById()[requestId], 1);
        for (const char *promise : {"429", "503", "408", "421"}) {
            EXPECT_FALSE(m_received.starts_with(std::string("HTTP/1.1 ") + promise)) << m_received;
        }
        if (m_received.starts_with("HTTP/1.1 200")) {
            EXPECT_EQ(m_received.find("Content-Length"), std::string::npos) << m_received;
            EXPECT_EQ(m_received.find("Transfer-Encoding"), std::string::npos) << m_received;
        }
        EXPECT_LE(metric(m_settings, "sends_forbidden_total"), 0);
        EXPECT_LE(metric(m_settings, "stage_changes_forbidden_total"), 0);
    }
};

struct interference
{
    const char *name;
    void (*begin)(edge_end_check_test &test, other_daemon &owner, fake_store &store, backend_standin &server);
};

std::ostream &operator<<(std::ostream &out, const interference &each)
{
    return out << each.name;
}

class interference_test : public edge_end_check_test, public testing::WithParamInterface<interference>
{
};

slot_response responseOfKind(slot_decision decision)
{
    slot_response response{requestId, "p-2", decision};
    response.why = decision == slot_decision::Refused ? refusal::Limited : refusal::None;
    return response;
}

constexpr interference interferences[] = {
    {"ServerLeaves",
        [](auto &, other_daemon &owner, fake_store &, backend_standin &) {
            owner.send(server_notice{"p-2", "p-2", true});
        }},
    {"ServerPauses",
        [](auto &, other_daemon &owner, fake_store &, backend_standin &) {
            owner.send(server_notice{"p-2", "p-2", false, 2'000});
        }},
    {"LateGrant",
        [](auto &, other_daemon &owner, fake_store &, backend_standin &) {
            owner.send(responseOfKind(slot_decision::Granted));
            owner.send(responseOfKind(slot_decision::Granted));
        }},
    {"LateRefusal",
        [](auto &, other_daemon &owner, fake_store &, backend_standin &) {
            owner.send(responseOfKind(slot_decision::Refused));
        }},
    {"LateQueueing",
        [](auto &, other_daemon &owner, fake_store &, backend_standin &) {
            owner.send(responseOfKind(slot_decision::Queued));
        }},
    {"Block",
        [](auto &, other_daemon &owner, fake_store &, backend_standin &) {
            owner.send(crash_report{fingerprintOf({{}, "POST", "h", "/once/x", "hi"}), {"s1", "s2", "s3"}});
        }},
    {"Removal",
        [](auto &, auto &, fake_store &store, backend_standin &) {
            store.remove("servers/p-2");
        }},
    {"Restart",
        [](auto &, auto &, fake_store &store, backend_standin &server) {
            server.startedAtMs = 5;
            store.put("servers/p-2", server.entry());
        }},
    {"DrainingInTheStore",
        [](auto &, auto &, fake_store &store, backend_standin &server) {
            store.put("servers/p-2", server.entry("draining"));
        }},
};

}

/// Guards against a request that runs on a second server, or is said not to have run, because of an event
/// that concerns only requests that wait for a server.
TEST_P(interference_test, RequestWhoseResponseIsCheckedIsLeftAlone)
{
    sendRefusedAtFirst("/once/x");
    beginCheck();
    GetParam().begin(*this, *m_owner, m_store, server());
    awaitEnd();
    expectTruth();
    EXPECT_TRUE(m_received.starts_with("HTTP/1.1 200")) << m_received;
    EXPECT_NE(m_received.find("served by p-2"), std::string::npos) << m_received;
}

INSTANTIATE_TEST_SUITE_P(During, interference_test, testing::ValuesIn(interferences),
    [](const testing::TestParamInfo<interference> &each) {
        return std::string(each.param.name);
    });

/// Guards against a refusal at the deadline, which promises that the request has not run.
TEST_F(edge_end_check_test, DeadlineDuringTheCheckIsNotReportedAsNotRun)
{
    m_timeoutMs = 2'500;
    sendRefusedAtFirst("/once/x");
    while (bootNow() < m_sentAt + millis{m_timeoutMs} - millis{200}) {
        runRounds(5);
    }
    beginCheck();
    awaitEnd();
    expectTruth();
    EXPECT_TRUE(m_received.starts_with("HTTP/1.1 504") || m_received.starts_with("HTTP/1.1 200"))
        << m_received;
}

/// Guards against a key that is withdrawn while a response is checked, and routes that change.
TEST_F(edge_end_check_test, ChangedConfigurationLeavesTheRequestAlone)
{
    sendRefusedAtFirst("/once/x");
    beginCheck();
    m_accounts = {{{"name", "a"}, {"keys", {"k"}}, {"tokensPerS", 10}}};
    putConfig(2);
    awaitEnd();
    expectTruth();
    EXPECT_TRUE(m_received.starts_with("HTTP/1.1 200")) << m_received;
}

/// Guards against a request that counts as running at its server for ever after its caller has left.
TEST_F(edge_end_check_test, CallerThatLeavesDuringTheCheckEndsTheMeasuredTime)
{
    sendRefusedAtFirst("/once/x");
    ASSERT_TRUE(runUntil([this] {
        return !m_owner->plainLoads.empty();
    }));
    beginCheck();
    m_caller->hangUp();
    runRounds(600);
    m_owner->plainLoads.clear();
    runRounds(600);
    EXPECT_TRUE(m_owner->plainLoads.empty());
    EXPECT_EQ(runsById()[requestId], 1);
}

/// Guards against a crash that goes uncounted because the caller left before its server was checked.
TEST_F(edge_end_check_test, CrashIsCountedThoughTheCallerLeavesDuringTheCheck)
{
    start();
    setState(*m_plain[0], "draining");
    server().currentBehavior = behavior::Silent;
    server().ending = response_ending{body_framing::Connection, {}, false};
    constexpr int tries = 20; // the caller may leave a moment too early, before the response has ended
    for (int i = 0; i < tries && metric(m_settings, "server_ends_total") == 0; ++i) {
        m_links.at("p-2")->setFault(link_fault::None);
        const std::size_t before = server().ran.size();
        m_caller = sendRequest("/once/x");
        ASSERT_TRUE(runUntil([&] {
            return server().ran.size() > before;
        }));
        server().respondToHeld("");
        m_links.at("p-2")->setFault(link_fault::RefusesNew);
        runRounds(3);
        m_caller->hangUp();
        runRounds(500);
    }
    EXPECT_EQ(metric(m_settings, "server_ends_total"), 1);
}

/// Guards against a new owner that counts a slot as free whose request may still be running.
TEST_F(edge_end_check_test, NewOwnerLearnsOfARequestWhoseResponseIsChecked)
{
    start();
    const auto owner = std::make_unique<other_daemon>(m_store, m_loop, m_settings.peers, "n2", "p-1");
    setBehavior(m_models, behavior::HoldsStream);
    for (const auto &model : m_models) {
        model->ending = response_ending{body_framing::Connection, {}, false};
    }
    m_caller = sendRequest("/gen/x", "a1");
    ASSERT_TRUE(runUntil([this] {
        m_caller->receive(m_received);
        return m_received.find("id: 2") != std::string::npos;
    }));
    backend_standin &used = *m_models[m_models[0]->ran.empty() ? 1 : 0];
    m_links.at(used.id)->setFault(link_fault::HangsNew);
    used.closeHeldStreams();
    runRounds(checkHasBegun);
    owner->sendHeartbeatAsSuccessor(used.id);
    ASSERT_TRUE(runUntil([&] {
        return !m_caller->receive(m_received);
    }));
    ASSERT_EQ(owner->running.size(), 1U);
    EXPECT_EQ(owner->running.front().id, requestId);
}

/// Guards against a relayed request that is sent again when the relaying peer dies during the check.
TEST_F(edge_end_check_test, RelayingPeerThatDiesDuringTheCheckLeavesTheRequestAlone)
{
    start();
    startPeer("n2", "z");
    startPeer("n3", "z");
    setCut(m_links, link_fault::Hangs);
    setBehavior(m_plain, behavior::Silent);
    for (const auto &each : m_plain) {
        each->ending = response_ending{body_framing::Connection, {}, false};
    }
    m_caller = sendRequest("/once/x");
    ASSERT_TRUE(runUntil([this] {
        return requestsRunOn(m_plain) == 1;
    }));
    for (const auto &each : m_plain) {
        each->respondToHeld("");
    }
    runRounds(checkHasBegun);
    m_peers.clear();
    awaitEnd();
    expectTruth();
}

/// Guards against an unproven response that is sent with a length where no other server is left.
TEST_F(edge_end_check_test, UnprovenResponseIsNotGivenALengthWhereNoServerIsLeft)
{
    sendRefusedAtFirst("/once/x");
    setState(*m_plain[2], "draining");
    beginCheck();
    m_owner->send(server_notice{"p-2", "p-2", true});
    awaitEnd();
    expectTruth();
}

}
