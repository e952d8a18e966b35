#include "coordination/crash_history.h"
#include "coordination/request_attributes.h"
#include "protocol/codec.h"
#include "scheduling/connection_subset.h"
#include "scheduling/heartbeat_groups.h"
#include "scheduling/observed_server.h"
#include "serving/other_daemon.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <variant>

namespace briarhead {

namespace {

using http_testing::freePort;
using http_testing::raw_socket;
using behavior = backend_standin::behavior;

}

TEST_F(edge_test, PlainRequestIsServedWithTheServersSignature)
{
    start();
    const std::string response = responseTo("/once/x");
    EXPECT_EQ(statusOf(response), "200") << response;
    EXPECT_NE(response.find("X-Briarhead-Server-Stamp: by-p-"), std::string::npos);
    EXPECT_EQ(statusOf(responseTo("/nowhere/x")), "404");
}

TEST_F(edge_test, ModelRequestWaitsForItsAdapterAndStreamsItsEvents)
{
    start();
    const std::string response = responseTo("/gen/x", "a7");
    EXPECT_EQ(statusOf(response), "200") << response;
    EXPECT_NE(response.find("id: 4"), std::string::npos);
    EXPECT_TRUE(response.ends_with("0\r\n\r\n"));
    EXPECT_EQ(requestsRunOn(m_models), 1U);
}

// A daemon with few requests for many plain servers opens a connection for nearly each request if it spreads
// them over all servers. The first requests, before its rate is known, go to any server.
TEST_F(edge_test, PlainRequestsKeepToFewOfManyServers)
{
    start();
    while (m_plain.size() < 24) {
        m_plain.push_back(
            std::make_unique<backend_standin>(m_loop, "p-" + std::to_string(m_plain.size() + 1), "app"));
        m_store.put("servers/" + m_plain.back()->id, m_plain.back()->entry());
    }
    for (int i = 0; i < 30; ++i) {
        EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
        runRounds(60);
    }
    const auto reached = std::count_if(m_plain.begin(), m_plain.end(), [](const auto &server) {
        return !server->ran.empty();
    });
    EXPECT_LE(reached, static_cast<std::ptrdiff_t>(minRequestsForRate) + 2);
    // The server that the requests keep to is removed: another one takes its place.
    const auto busiest = std::max_element(m_plain.begin(), m_plain.end(), [](const auto &a, const auto &b) {
        return a->ran.size() < b->ran.size();
    });
    EXPECT_GT((*busiest)->ran.size(), 15U);
    m_store.remove("servers/" + (*busiest)->id);
    runRounds(20);
    const std::size_t before = (*busiest)->ran.size();
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
    }
    EXPECT_EQ((*busiest)->ran.size(), before);
}

// Other daemons learn of the requests in flight at plain servers, and that they have ended.
TEST_F(edge_test, LoadHeartbeatsReportRequestsAtPlainServers)
{
    start();
    other_daemon other(m_store, m_loop, m_settings.peers, "n2", "m-2");
    other.send(features_notice{});
    setBehavior(m_plain, behavior::Silent);
    const auto caller = sendRequest("/once/x");
    EXPECT_TRUE(runUntil([&] {
        return other.plainLoads.size() == 1 && other.plainLoads[0].inFlight == 1;
    }));
    const auto &busy = m_plain[0]->ran.empty() ? m_plain[1] : m_plain[0];
    ASSERT_EQ(other.plainLoads.size(), 1U);
    EXPECT_EQ(other.plainLoads[0].server, busy->id);
    other.plainLoads.clear();
    busy->respondToHeld("done");
    runRounds(400);
    EXPECT_TRUE(other.plainLoads.empty());
}

// Guards against a release during which daemons of the build before drop the heartbeats of the new one: they
// get the datagram that they know, and only a daemon that has shown that it understands it gets the other.
TEST_F(edge_test, DaemonsOfOlderBuildsGetHeartbeatsThatTheyUnderstand)
{
    start();
    other_daemon other(m_store, m_loop, m_settings.peers, "n2", "m-2");
    setBehavior(m_plain, behavior::Silent);
    const auto caller = sendRequest("/once/x"); // so that there are loads to report
    EXPECT_TRUE(runUntil([&] {
        return other.heartbeatsReceived >= 3;
    }));
    EXPECT_EQ(other.extendedHeartbeatsReceived, 0);
    other.send(features_notice{});
    EXPECT_TRUE(runUntil([&] {
        return other.extendedHeartbeatsReceived >= 3;
    }));
}

// If the response is lost, sending the request again could execute it twice, and a refusal would claim that
// it was not executed.
TEST_F(edge_test, NonIdempotentRequestFailsWithoutRetryWhenItsResponseIsLost)
{
    start();
    setBehavior(m_plain, behavior::Resets);
    EXPECT_EQ(statusOf(responseTo("/once/x")), "502");
    EXPECT_EQ(requestsRunOn(m_plain), 1U);
}

TEST_F(edge_test, IdempotentRequestIsRetriedOnAnotherServerAfterAFailure)
{
    start();
    m_plain[0]->currentBehavior = behavior::Fails;
    m_plain[1]->currentBehavior = behavior::Resets;
    for (int i = 0; i < 6; ++i) {
        responseTo("/safe/x");
    }
    EXPECT_GT(m_plain[0]->ran.size(), 0U);
    EXPECT_GT(m_plain[1]->ran.size(), 0U);
    setBehavior(m_plain, behavior::Fails);
    const std::string response = responseTo("/safe/x");
    EXPECT_EQ(statusOf(response), "500") << "the server's own failure response, with its signature";
    EXPECT_NE(response.find("X-Briarhead-Server-Stamp"), std::string::npos);
}

// One of two servers responds "busy" to everything. Requests that may be sent to one server only would be
// refused half of the time, so after a few such responses all go to the other server.
TEST_F(edge_test, BusyServerIsAvoided)
{
    start();
    m_plain[0]->currentBehavior = behavior::Busy;
    for (int i = 0; i < 24; ++i) {
        EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
    }
    EXPECT_LE(m_plain[0]->rejected, 4U);
    EXPECT_EQ(requestsRunOn(m_plain), 24U);
}

// Requests in flight on a slow server count as its load, so that further requests go to the other server.
TEST_F(edge_test, SlowServersResponsesAreDeliveredAndNewRequestsGoElsewhere)
{
    start();
    m_plain[0]->currentBehavior = behavior::Slow;
    std::vector<std::unique_ptr<raw_socket>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(sendRequest("/once/x", ""));
        runRounds(30);
    }
    EXPECT_LE(m_plain[0]->ran.size(), 2U);
    for (const auto &caller : callers) {
        std::string received;
        EXPECT_TRUE(runUntil([&] {
            return !caller->receive(received);
        }));
        EXPECT_EQ(statusOf(received), "200") << received;
        EXPECT_NE(received.find("served by p-"), std::string::npos);
    }
    EXPECT_EQ(requestsRunOn(m_plain), 4U);
}

TEST_F(edge_test, MetricsCountRequestsByKindOutcomeAndReasonOfRefusal)
{
    start();
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a1")), "200");
    setBehavior(m_plain, behavior::Sheds);
    EXPECT_EQ(statusOf(responseTo("/once/x")), "503");
    EXPECT_EQ(statusOf(responseTo("/nowhere/x")), "404");
    const auto scrape = raw_socket::connectTo(m_settings.metrics.port);
    scrape->send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::string text;
    EXPECT_TRUE(runUntil([&] {
        return !scrape->receive(text);
    }));
    for (const char *line : {"briarhead_requests_total{kind=\"stream\",outcome=\"served\"} 1\n",
             "briarhead_requests_total{kind=\"once\",outcome=\"refused\"} 1\n",
             "briarhead_requests_total{kind=\"unrouted\",outcome=\"failed\"} 1\n",
             "briarhead_requests_refused_total{why=\"the server did not take it\"} 1\n",
             "briarhead_event_gap_ms", "briarhead_loop_lag_ms", "briarhead_loads_total 1\n",
             "briarhead_peak_memory_bytes", "briarhead_config_version 1\n",
             "briarhead_log_lines_dropped_total"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << '\n' << text;
    }
}

// A server returns the complete and signed response to a different request, for instance of another caller.
TEST_F(edge_test, ResponseWithAnotherRequestIdIsNotForwarded)
{
    start();
    setBehavior(m_plain, behavior::UsesWrongRequestId);
    for (const char *path : {"/once/x", "/safe/x"}) {
        const std::string response = responseTo(path);
        EXPECT_NE(statusOf(response).front(), '2') << response;
        EXPECT_EQ(response.find("another's"), std::string::npos) << response;
    }
}

// The fleet grows until it is split into two heartbeat groups, and heartbeats about a server in the other
// group stop. If its owner were considered dead, the server would be overloaded by requests without slots.
TEST_F(edge_test, ServerMovedToAnotherHeartbeatGroupReceivesNothingWithoutASlot)
{
    constexpr std::size_t cells = 2;
    const std::string other = heartbeatGroupOf("m-1", cells) != heartbeatGroupOf("n1", cells) ? "m-1" : "m-2";
    ASSERT_NE(heartbeatGroupOf(other, cells), heartbeatGroupOf("n1", cells));
    m_initialAdapters[other] = {"a1"};
    m_store.put("briarhead/orderer/" + other, encode(ownership_record{"n2", 1}));
    start();
    server_heartbeat heartbeat;
    heartbeat.server = other;
    heartbeat.fence = 1'000'000;
    heartbeat.modelLoaded = true;
    heartbeat.adapters = {{adapterHash("m0/a1"), false}};
    error why;
    const auto port = fleet_port::open(
        m_loop, {http_testing::loopback, freePort()}, [](const fleet_datagram &, const peer_address &) {},
        why);
    ASSERT_TRUE(port) << message(why);
    port->send(m_settings.peers, {"n2", 1, fleet_heartbeat{false, {heartbeat}}});
    runRounds(50);
    for (int i = 0; i < 40; ++i) {
        const std::string node = "further-" + std::to_string(i);
        m_store.put("briarhead/daemon/" + node, encode(daemon_record{node, "127.0.0.1", 9, "z", 1}));
    }
    runRounds(2'500); // much longer than heartbeatFreshFor
    responseTo("/gen/x", "a1");
    for (const auto &server : m_models) {
        EXPECT_TRUE(server->id != other || server->ran.empty());
    }
}

// A daemon that is cut off from the store only loses its lease and record, but still has callers. It could
// not serve them if the other daemons stopped sending it heartbeats and slot responses.
TEST_F(edge_test, DaemonWithExpiredRecordStillReceivesHeartbeatsAndSlotResponses)
{
    start();
    other_daemon disconnected(m_store, m_loop, m_settings.peers, "n2", "m-2");
    runRounds(800);
    m_store.remove("briarhead/daemon/n2");
    runRounds(1'500); // until the daemon has seen the removal
    disconnected.heartbeatsReceived = 0;
    disconnected.sendSlotRequest("m-1");
    EXPECT_TRUE(runUntil([&] {
        return disconnected.heartbeatsReceived >= 3 && disconnected.responsesReceived >= 1;
    }));
}

// An owner is cut off from the other daemons, but keeps its lease in the store. Requests for slots on its
// server would remain unanswered until a daemon that receives the other heartbeats replaces it.
TEST_F(edge_test, UnresponsiveOwnerIsReplaced)
{
    start();
    other_daemon unresponsive(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon responsive(m_store, m_loop, m_settings.peers, "n3", "m-2");
    unresponsive.sendHeartbeat();
    const auto ownerOf = [this](const std::string &server) {
        error why;
        const auto record = decodeOwnershipRecord(m_store.items.at("briarhead/orderer/" + server).value, why);
        return record ? record->node : std::string();
    };
    EXPECT_TRUE(runUntil([&] {
        responsive.sendHeartbeat();
        return ownerOf("m-1") == "n1";
    }));
    EXPECT_EQ(ownerOf("m-2"), "n3");
}

// This daemon is cut off from the others. Model requests would wait for slots in vain, so they are refused
// with a short Retry-After and the readiness check fails. Plain requests need no slot and are served.
TEST_F(edge_test, IsolatedDaemonIsNotReadyAndRefusesModelRequestsAtOnce)
{
    start();
    other_daemon first(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon second(m_store, m_loop, m_settings.peers, "n3", "m-2");
    first.sendHeartbeat();
    second.sendHeartbeat();
    runRounds(1'400);
    EXPECT_EQ(readiness(), "503");
    const millis before = bootNow();
    const std::string response = responseTo("/gen/x", "a1");
    EXPECT_EQ(statusOf(response), "503");
    EXPECT_NE(response.find("Retry-After: 0.05"), std::string::npos) << response;
    EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
    EXPECT_LT((bootNow() - before).count, 400);
    EXPECT_EQ(statusOf(responseTo("/safe/x")), "200");
    first.sendHeartbeat();
    second.sendHeartbeat();
    runRounds(300);
    first.sendHeartbeat();
    EXPECT_EQ(readiness(), "200");
}

// One server runs the request and loses the response, the other one rejects it. A refusal would wrongly claim
// that the request did not run.
TEST_F(edge_test, RequestThatMayHaveRunFailsInsteadOfBeingRefused)
{
    start();
    m_plain[0]->currentBehavior = behavior::Resets;
    m_plain[1]->currentBehavior = behavior::Sheds;
    for (int i = 0; i < 4; ++i) {
        const std::size_t before = requestsRunOn(m_plain);
        const std::string response = responseTo("/safe/x");
        EXPECT_EQ(statusOf(response), requestsRunOn(m_plain) > before ? "502" : "503");
    }
    EXPECT_GT(requestsRunOn(m_plain), 0U);
}

TEST_F(edge_test, RequestRejectedByAllServersIsRefusedAtOnceWithRetryAfter)
{
    start();
    setBehavior(m_plain, behavior::Sheds);
    const millis before = bootNow();
    const std::string response = responseTo("/once/x");
    EXPECT_EQ(statusOf(response), "503");
    EXPECT_NE(response.find("Retry-After: 0."), std::string::npos);
    EXPECT_LT((bootNow() - before).count, 2'000) << "long before its deadline of 4 s";
    EXPECT_EQ(requestsRunOn(m_plain), 0U);
}

// An unsigned response may not come from the server at all.
TEST_F(edge_test, UnsignedResponseIsNotForwarded)
{
    start();
    setBehavior(m_plain, behavior::Unsigned);
    const std::string response = responseTo("/once/x");
    EXPECT_EQ(statusOf(response), "502");
    EXPECT_EQ(response.find("not signed"), std::string::npos);
}

// A server cuts a stream off in the middle of an event. Another server continues behind the last complete
// event, so that the caller receives each event once.
TEST_F(edge_test, ResumableStreamContinuesOnAnotherServer)
{
    m_initialAdapters["m-1"] = {"a1"};
    start();
    m_models[0]->currentBehavior = behavior::CutsStream;
    const std::string received = responseTo("/resume/x", "a1");
    for (const char *event : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
        EXPECT_NE(received.find(event), std::string::npos) << event;
        EXPECT_EQ(received.find(event), received.rfind(event)) << event;
    }
    EXPECT_EQ(received.find("id: 99"), std::string::npos);
    EXPECT_TRUE(received.ends_with("0\r\n\r\n"));
    EXPECT_EQ(requestsRunOn(m_models), 2U);
}

// Regression: the owner of the second server wasn't notified of a resumed stream's first event. It considered
// the prompt unread, and the next prompt had to wait for the end of the stream.
TEST_F(edge_test, PromptOfAResumedStreamCountsAsReadOnTheNewServer)
{
    m_initialAdapters["m-1"] = {"a1"};
    m_promptTokens = 2'000; // two of them are more than is admitted at once
    start();
    m_models[0]->currentBehavior = behavior::CutsStream;
    m_models[1]->currentBehavior = behavior::HoldsStream;
    const auto caller = sendRequest("/resume/x", "a1");
    std::string received;
    ASSERT_TRUE(runUntil([&] {
        caller->receive(received);
        return received.find("id: 4\n") != std::string::npos;
    })) << received;
    m_store.put("servers/m-1", m_models[0]->entry("draining"));
    runRounds(50);
    m_models[1]->currentBehavior = behavior::Serves;
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a1")), "200");
    EXPECT_EQ(m_models[1]->ran.size(), 2U);
}

// The caller must notice that the response is incomplete.
TEST_F(edge_test, NonResumableStreamEndsWithoutFinalChunkWhenCutOff)
{
    m_initialAdapters["m-1"] = {"a1"};
    start();
    setBehavior(m_models, behavior::CutsStream);
    const std::string received = responseTo("/gen/x", "a1");
    EXPECT_NE(received.find("id: 2\n"), std::string::npos);
    EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(requestsRunOn(m_models), 1U);
}

// Otherwise the server would continue for nobody and occupy a slot that other requests wait for.
TEST_F(edge_test, RequestIsCancelledOnItsServerWhenTheCallerDisconnects)
{
    start();
    setBehavior(m_plain, behavior::Silent);
    auto caller = sendRequest("/once/x");
    ASSERT_TRUE(runUntil([&] {
        return requestsRunOn(m_plain) == 1;
    }));
    caller->hangUp();
    EXPECT_TRUE(runUntil([&] {
        return m_plain[0]->callersGone + m_plain[1]->callersGone == 1;
    }));
}

TEST_F(edge_test, UnresponsiveServerGives504AtTheRoutesTimeout)
{
    m_timeoutMs = 600;
    start();
    setBehavior(m_plain, behavior::Silent);
    const millis before = bootNow();
    EXPECT_EQ(statusOf(responseTo("/once/x")), "504");
    EXPECT_GE((bootNow() - before).count, 590);
}

// Requests carry the adapter version that the store has announced, so that a server which still has an older
// one rejects them.
TEST_F(edge_test, AnnouncedAdapterVersionIsSentToTheServer)
{
    start();
    m_store.put("op/version/m0.a1", R"({"model":"m0","adapter":"a1","version":5})");
    runRounds(500);
    responseTo("/gen/x", "a1");
    ASSERT_EQ(requestsRunOn(m_models), 1U);
    const auto &ran = m_models[0]->ran.empty() ? m_models[1]->ran : m_models[0]->ran;
    const std::string *version = findField(ran[0].head, "x-briarhead-expect-version");
    ASSERT_NE(version, nullptr);
    EXPECT_EQ(*version, "5");
}

// All adapter slots are used by running streams. No adapter in use is evicted for the new request.
TEST_F(edge_test, RequestWithoutAnAdapterSlotIsRefusedAtOnceWithRetryAfter)
{
    m_adapterSlots = 1;
    start();
    setBehavior(m_models, behavior::Silent);
    const auto first = sendRequest("/gen/x", "a1");
    const auto second = sendRequest("/gen/x", "a2");
    ASSERT_TRUE(runUntil([&] {
        return requestsRunOn(m_models) == 2;
    }));
    const millis before = bootNow();
    const std::string response = responseTo("/gen/x", "a3");
    EXPECT_EQ(statusOf(response), "503") << response;
    EXPECT_NE(response.find("Retry-After"), std::string::npos);
    EXPECT_LT((bootNow() - before).count, 1'000);
    for (const auto &server : m_models) {
        for (const auto &order : server->orders) {
            EXPECT_EQ(order.at("opcode"), "load");
        }
    }
}

// After the daemon has lost the store, another daemon may claim its servers once its lease has expired. If
// servers don't check fencing tokens, it must not send orders after that. Resident adapters are still served.
TEST_F(edge_test, WithoutValidLeaseNoOrdersGoToServersThatDoNotCheckFencingTokens)
{
    m_settings.serversCheckFencingTokens = false;
    start();
    runRounds(2'600); // a new daemon waits for the lease of a possible earlier owner to expire
    ASSERT_EQ(statusOf(responseTo("/gen/x", "a1")), "200");
    m_client.fault = store_fault::Unresponsive;
    runRounds(2'600);
    const auto orders = [this] {
        return m_models[0]->orders.size() + m_models[1]->orders.size();
    };
    const std::size_t before = orders();
    EXPECT_NE(statusOf(responseTo("/gen/x", "a2")), "200");
    EXPECT_EQ(orders(), before);
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a1")), "200");
    m_client.fault = store_fault::None;
    std::string status;
    for (int tries = 0; status != "200" && tries < 80; ++tries) {
        status = statusOf(responseTo("/gen/x", "a2"));
        runRounds(100);
    }
    EXPECT_EQ(status, "200");
}

// After a disconnection the daemon's lease has expired, another daemon has claimed its servers, and it is
// granted a new lease before it has read the store. If it took the new lease as a confirmation of its old
// records, two daemons would send orders to the same servers.
TEST_F(edge_test, NewLeaseDoesNotConfirmOwnershipUnderTheOldOne)
{
    m_settings.serversCheckFencingTokens = false;
    start();
    runRounds(2'600);
    ASSERT_EQ(statusOf(responseTo("/gen/x", "a1")), "200");
    m_client.fault = store_fault::Unresponsive;
    runRounds(50);
    m_store.expire(m_store.lastLease);
    for (const auto &server : m_models) {
        m_store.put("briarhead/orderer/" + server->id, encode(ownership_record{"n2", 1, 1'000}));
    }
    runRounds(2'500);
    const auto orders = [this] {
        return m_models[0]->orders.size() + m_models[1]->orders.size();
    };
    const std::size_t before = orders();
    const auto caller = sendRequest("/gen/x", "a2");
    m_client.fault = store_fault::LeasesOnly;
    runRounds(2'000);
    EXPECT_EQ(orders(), before);
}

// Both model servers restart under the same ids, with nothing resident and their sequences at 0. The daemon
// must not assume that adapters are still resident there.
TEST_F(edge_test, AdaptersAreLoadedAgainAfterAServerRestartsUnderItsId)
{
    start();
    for (const char *adapter : {"a1", "a2", "a3"}) {
        ASSERT_EQ(statusOf(responseTo("/gen/x", adapter)), "200");
    }
    for (const auto &server : m_models) {
        server->startedAtMs = 5'000;
        server->adapters.clear();
        server->sequence = 0;
        server->fence = 0;
        m_store.put("servers/" + server->id, server->entry());
    }
    runRounds(1'200); // the pause between two watches, and a report request
    for (const char *adapter : {"a1", "a2", "a3"}) {
        EXPECT_EQ(statusOf(responseTo("/gen/x", adapter)), "200");
    }
}

// Servers that check fencing tokens reject orders of outdated owners themselves.
TEST_F(edge_test, WithoutTheStoreOrdersContinueIfServersCheckFencingTokens)
{
    start();
    m_client.fault = store_fault::Unresponsive;
    runRounds(2'600);
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a2")), "200");
}

// A new server uses the address of an earlier one. It rejects requests that name the earlier one.
TEST_F(edge_test, ServerWithReusedAddressRunsNoRequestsForTheEarlierServer)
{
    start();
    for (const auto &server : m_plain) {
        server->id += "-successor";
    }
    EXPECT_EQ(statusOf(responseTo("/once/x")), "503");
    EXPECT_EQ(requestsRunOn(m_plain), 0U);
}

// While a request waits for a slot, another daemon reports the third server crash caused by the same request.
// It is refused at once instead of at its deadline.
TEST_F(edge_test, WaitingRequestIsRefusedOnceItIsKnownToCrashServers)
{
    start();
    other_daemon first(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon second(m_store, m_loop, m_settings.peers, "n3", "m-2");
    const auto heartbeats = m_loop.timer({100}, {100}, [&] {
        first.sendHeartbeat();
        second.sendHeartbeat();
    });
    runRounds(300);
    const auto caller = sendRequest("/gen/x", "a1"); // neither owner responds
    runRounds(60);
    const crash_report report{fingerprintOf({{}, "POST", "h", "/gen/x", "hi"}), {"s1", "s2", "s3"}};
    first.send(report);
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(received);
    }));
    EXPECT_EQ(statusOf(received), "503") << received;
    EXPECT_NE(received.find("servers ended under this request"), std::string::npos) << received;
    const std::size_t at = received.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << received;
    const double wait = std::stod(received.substr(at + std::strlen("Retry-After: ")));
    EXPECT_GT(wait, 5) << "until the next probe, not the short wait of transient causes";
    EXPECT_LE(wait, static_cast<double>(probeDelays[0].count) / 1'000);
    EXPECT_EQ(requestsRunOn(m_models), 0U);
}

// Guards against a slot request of an older build whose names no order can carry.
TEST_F(edge_test, SlotRequestWithANameThatIsNoUtf8IsRefused)
{
    start();
    other_daemon other(m_store, m_loop, m_settings.peers, "n2", "m-2");
    runRounds(300);
    other.model = "caf\xe9";
    ASSERT_TRUE(runUntil([&] {
        other.sendSlotRequest("m-1");
        return other.lastResponse.decision == slot_decision::Refused;
    }));
    EXPECT_EQ(other.lastResponse.why, refusal::ModelNotLoaded);
    EXPECT_TRUE(m_models[0]->orders.empty());
}

// Regression: with one plain server down and the other one overloaded, the 503 of the last server tried was
// forwarded to the caller without Retry-After.
TEST_F(edge_test, RefusalHasRetryAfterWhenTheLastServerTriedIsOverloaded)
{
    start();
    m_plain[0].reset();
    m_plain[1]->currentBehavior = behavior::Sheds;
    for (int i = 0; i < 8; ++i) {
        const std::string received = responseTo("/once/x");
        EXPECT_EQ(statusOf(received), "503");
        EXPECT_NE(received.find("Retry-After: "), std::string::npos) << received;
    }
}

// While a base model loads, which takes seconds, each report request costs CPU time on both sides. Their
// number must depend on the duration of the load and not on the network latency.
TEST_F(edge_test, ReportsAreRequestedOnlyAFewTimesPerSecondDuringALoad)
{
    start();
    for (const int loadMs : {700, 3'900}) {
        backend_standin &server = *m_models[0];
        server.holdsModel = false;
        server.adapters.clear();
        server.modelLoadTime = millis{loadMs};
        ++server.startedAtMs; // simulates a restart with nothing resident
        ++server.sequence;
        m_store.put("servers/" + server.id, server.entry());
        const std::size_t before = server.reportRequests;
        runUntil([&] {
            return server.holdsModel;
        });
        EXPECT_TRUE(server.holdsModel);
        EXPECT_LE(server.reportRequests - before, static_cast<std::size_t>(loadMs) / 250 + 8) << loadMs;
    }
}

// Regression: if the daemon's ownership record was renewed under another fencing token while an order was in
// flight, the response was ignored and no further order was ever sent to that server.
TEST_F(edge_test, OrderInFlightDuringAChangeOfFencingTokenBlocksNoLaterOrders)
{
    start();
    for (const auto &server : m_models) {
        server->orderTime = {120};
    }
    const auto caller = sendRequest("/gen/x", "a7");
    ASSERT_TRUE(runUntil([this] {
        return !m_models[0]->orders.empty() || !m_models[1]->orders.empty();
    }));
    const std::string key = "briarhead/orderer/" + m_models[m_models[0]->orders.empty() ? 1 : 0]->id;
    m_store.put(key, m_store.items.at(key).value);
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(received);
    }));
    EXPECT_EQ(statusOf(received), "200") << received;
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a8")), "200");
}

}
