#include "coordination/crash_book.h"
#include "coordination/request_fingerprint.h"
#include "protocol/codec.h"
#include "serving/beat_cells.h"
#include "serving/heard_server.h"
#include "serving/other_daemon.h"

#include <gtest/gtest.h>

#include <cstring>
#include <variant>

namespace briarhead {

namespace {

using http_testing::freePort;
using http_testing::raw_socket;
using mood = backend_standin::mood;

}

TEST_F(edge_test, APlainRequestIsServedWithTheServersSignature)
{
    start();
    const std::string answer = answerTo("/once/x");
    EXPECT_EQ(statusOf(answer), "200") << answer;
    EXPECT_NE(answer.find("X-Briarhead-Server-Stamp: by-p-"), std::string::npos);
    EXPECT_EQ(statusOf(answerTo("/nowhere/x")), "404");
}

TEST_F(edge_test, ARequestWaitsForItsAdapterAndStreamsItsEvents)
{
    start();
    const std::string answer = answerTo("/gen/x", "a7");
    EXPECT_EQ(statusOf(answer), "200") << answer;
    EXPECT_NE(answer.find("id: 4"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
    EXPECT_EQ(ranOn(m_models), 1U);
}

// A server runs a request that may run once, and its answer is lost. A user would have their order placed
// twice if it were sent again, or be told that it wasn't placed.
TEST_F(edge_test, WhatMayRunOnceIsNeverSentTwiceNorCalledNotRun)
{
    start();
    setAll(m_plain, mood::Resets);
    EXPECT_EQ(statusOf(answerTo("/once/x")), "502");
    EXPECT_EQ(ranOn(m_plain), 1U);
}

TEST_F(edge_test, AnIdempotentRequestGoesToAnotherServerAfterAFailure)
{
    start();
    m_plain[0]->now = mood::Fails;
    m_plain[1]->now = mood::Resets;
    for (int i = 0; i < 6; ++i) {
        answerTo("/safe/x");
    }
    EXPECT_GT(m_plain[0]->ran.size(), 0U);
    EXPECT_GT(m_plain[1]->ran.size(), 0U);
    setAll(m_plain, mood::Fails);
    const std::string failed = answerTo("/safe/x");
    EXPECT_EQ(statusOf(failed), "500") << "the server's own failure, with its signature";
    EXPECT_NE(failed.find("X-Briarhead-Server-Stamp"), std::string::npos);
}

// A server says for a while that it is busy, though its health is good. A user of what may go to one server
// only would be sent away half of the time: after a few such answers the other server gets the requests.
TEST_F(edge_test, ABusyServerIsLeftAlone)
{
    start();
    m_plain[0]->now = mood::Busy;
    for (int i = 0; i < 24; ++i) {
        EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
    }
    EXPECT_LE(m_plain[0]->turnedAway, 4U);
    EXPECT_EQ(ranOn(m_plain), 24U);
}

// A server has become slow. What it has answered is delivered, also late, and what waits there counts as its
// load, so that a user's next request goes elsewhere.
TEST_F(edge_test, ASlowServersAnswersAreDeliveredAndOthersGetTheRest)
{
    start();
    m_plain[0]->now = mood::Slow;
    std::vector<std::unique_ptr<raw_socket>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(ask("/once/x", ""));
        runRounds(30);
    }
    EXPECT_LE(m_plain[0]->ran.size(), 2U);
    for (const auto &caller : callers) {
        std::string seen;
        EXPECT_TRUE(runUntil([&] {
            return !caller->receive(seen);
        }));
        EXPECT_EQ(statusOf(seen), "200") << seen;
        EXPECT_NE(seen.find("served by p-"), std::string::npos);
    }
    EXPECT_EQ(ranOn(m_plain), 4U);
}

// Users complain that they are sent away. The metrics alone say how many, of which kind and why, and that the
// streams that were served did not stutter.
TEST_F(edge_test, TheMetricsTellWhyRequestsAreRefused)
{
    start();
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a1")), "200");
    setAll(m_plain, mood::Sheds);
    EXPECT_EQ(statusOf(answerTo("/once/x")), "503");
    EXPECT_EQ(statusOf(answerTo("/nowhere/x")), "404");
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

// A server hands out the answer of an earlier request, signed and whole. A user would get another's answer.
TEST_F(edge_test, AnAnswerWithAnothersIdReachesNobody)
{
    start();
    setAll(m_plain, mood::AnswersAnother);
    for (const char *path : {"/once/x", "/safe/x"}) {
        const std::string answer = answerTo(path);
        EXPECT_NE(statusOf(answer).front(), '2') << answer;
        EXPECT_EQ(answer.find("another's"), std::string::npos) << answer;
    }
}

// Machines are added until the fleet falls into two cells, and the beats of a server that another daemon
// orders end for this one. Taken for a server without an orderer it would get requests without a place: more
// than it bears.
TEST_F(edge_test, AServerOfAnotherCellGetsNothingWithoutAPlace)
{
    constexpr std::size_t cells = 2;
    const std::string other = cellOf("m-1", cells) != cellOf("n1", cells) ? "m-1" : "m-2";
    ASSERT_NE(cellOf(other, cells), cellOf("n1", cells));
    m_heldAtStart[other] = {"a1"};
    m_store.put("briarhead/orderer/" + other, encode(orderer_record{"n2", 1}));
    start();
    server_beat beat;
    beat.server = other;
    beat.fence = 1'000'000;
    beat.held = true;
    beat.adapters = {{adapterHash("m0/a1"), false}};
    error why;
    const auto port = fleet_port::open(
        m_loop, {http_testing::loopback, freePort()}, [](const fleet_datagram &, const peer_address &) {},
        why);
    ASSERT_TRUE(port) << message(why);
    port->send(m_settings.peers, {"n2", 1, fleet_beat{false, {beat}}});
    runRounds(50);
    for (int i = 0; i < 40; ++i) {
        const std::string node = "further-" + std::to_string(i);
        m_store.put("briarhead/daemon/" + node, encode(daemon_record{node, "127.0.0.1", 9, "z", 1}));
    }
    runRounds(2'500); // far beyond the time after which a beat is stale
    answerTo("/gen/x", "a1");
    for (const auto &server : m_models) {
        EXPECT_TRUE(server->id != other || server->ran.empty());
    }
}

// A daemon is cut off from the store, not from the others: its lease ends and its record goes. Its users
// would be served nothing, since nobody told it of servers any more or answered what it asked.
TEST_F(edge_test, ADaemonWhoseRecordLapsedIsToldAndAnswered)
{
    start();
    other_daemon cut(m_store, m_loop, m_settings.peers, "n2", "m-2");
    runRounds(800);
    m_store.remove("briarhead/daemon/n2");
    runRounds(1'500); // until this is known
    cut.beatsHeard = 0;
    cut.ask("m-1");
    EXPECT_TRUE(runUntil([&] {
        return cut.beatsHeard >= 3 && cut.answersHeard >= 1;
    }));
}

// A machine is cut off from the others with the record of a server, while its lease in the store lives on.
// Its users elsewhere would wait for places that nobody grants; a daemon that hears the others takes the
// server.
TEST_F(edge_test, ASilentHolderIsReplaced)
{
    start();
    other_daemon silent(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon heard(m_store, m_loop, m_settings.peers, "n3", "m-2");
    silent.beat();
    const auto holderOf = [this](const std::string &server) {
        error why;
        const auto record = decodeOrderer(m_store.items.at("briarhead/orderer/" + server).value, why);
        return record ? record->node : std::string();
    };
    EXPECT_TRUE(runUntil([&] {
        heard.beat();
        return holderOf("m-1") == "n1";
    }));
    EXPECT_EQ(holderOf("m-2"), "n3");
}

// The machine itself is cut off from the others. Its users would wait for places until they are given up: the
// balancer is told to send them elsewhere, and those who come are sent there at once. Plain requests need no
// place and are served.
TEST_F(edge_test, WhoHearsNobodySendsItsCallersElsewhere)
{
    start();
    other_daemon first(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon second(m_store, m_loop, m_settings.peers, "n3", "m-2");
    first.beat();
    second.beat();
    runRounds(1'400);
    EXPECT_EQ(readiness(), "503");
    const millis before = bootNow();
    const std::string answer = answerTo("/gen/x", "a1");
    EXPECT_EQ(statusOf(answer), "503");
    EXPECT_NE(answer.find("Retry-After: 0.05"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_LT((bootNow() - before).count, 400);
    EXPECT_EQ(statusOf(answerTo("/safe/x")), "200");
    first.beat();
    second.beat();
    runRounds(300);
    first.beat();
    EXPECT_EQ(readiness(), "200");
}

// One server runs a request and loses its answer, the others are gone. "Not run" would be a lie.
TEST_F(edge_test, AfterASendThatMayHaveRunNothingIsCalledNotRun)
{
    start();
    m_plain[0]->now = mood::Resets;
    m_plain[1]->now = mood::Sheds;
    for (int i = 0; i < 4; ++i) {
        const std::size_t before = ranOn(m_plain);
        const std::string answer = answerTo("/safe/x");
        EXPECT_EQ(statusOf(answer), ranOn(m_plain) > before ? "502" : "503");
    }
    EXPECT_GT(ranOn(m_plain), 0U);
}

// A server says that it did not run a request. The user is told so at once, with when to come back, and not
// kept waiting.
TEST_F(edge_test, WhatNoServerTookIsRefusedAtOnce)
{
    start();
    setAll(m_plain, mood::Sheds);
    const millis before = bootNow();
    const std::string answer = answerTo("/once/x");
    EXPECT_EQ(statusOf(answer), "503");
    EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
    EXPECT_LT((bootNow() - before).count, 2'000) << "long before its deadline of 4 s";
    EXPECT_EQ(ranOn(m_plain), 0U);
}

// A server answers without its signature. A user would take bytes for an answer that no server vouches for.
TEST_F(edge_test, AnAnswerWithoutASignatureIsNoSuccess)
{
    start();
    setAll(m_plain, mood::Unsigned);
    const std::string answer = answerTo("/once/x");
    EXPECT_EQ(statusOf(answer), "502");
    EXPECT_EQ(answer.find("not signed"), std::string::npos);
}

// A server breaks off a stream in the middle of an event. Where the stream may be resumed, the user's goes on
// at another server right behind the last whole event; each event comes once.
TEST_F(edge_test, AResumableStreamGoesOnAtAnotherServer)
{
    m_heldAtStart["m-1"] = {"a1"};
    start();
    m_models[0]->now = mood::CutsStream;
    const std::string seen = answerTo("/resume/x", "a1");
    for (const char *event : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
        EXPECT_NE(seen.find(event), std::string::npos) << event;
        EXPECT_EQ(seen.find(event), seen.rfind(event)) << event;
    }
    EXPECT_EQ(seen.find("id: 99"), std::string::npos);
    EXPECT_TRUE(seen.ends_with("0\r\n\r\n"));
    EXPECT_EQ(ranOn(m_models), 2U);
}

// A stream goes on at a second server, and runs there for long. Its prompt has been read, but the daemon that
// lets prompts in there was not told: the next user's prompt would wait for the end of the stream.
TEST_F(edge_test, AResumedStreamsPromptCountsAsReadAtItsNewServer)
{
    m_heldAtStart["m-1"] = {"a1"};
    m_promptTokens = 2'000; // two of them are more than is let in at once
    start();
    m_models[0]->now = mood::CutsStream;
    m_models[1]->now = mood::HoldsStream;
    const auto caller = ask("/resume/x", "a1");
    std::string seen;
    ASSERT_TRUE(runUntil([&] {
        caller->receive(seen);
        return seen.find("id: 4\n") != std::string::npos;
    })) << seen;
    m_store.put("servers/m-1", m_models[0]->entry("draining"));
    runRounds(50);
    m_models[1]->now = mood::Serves;
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a1")), "200");
    EXPECT_EQ(m_models[1]->ran.size(), 2U);
}

// The same where it may not be resumed: the user must see that the answer is not whole.
TEST_F(edge_test, AnotherStreamEndsVisiblyCutOff)
{
    m_heldAtStart["m-1"] = {"a1"};
    start();
    setAll(m_models, mood::CutsStream);
    const std::string seen = answerTo("/gen/x", "a1");
    EXPECT_NE(seen.find("id: 2\n"), std::string::npos);
    EXPECT_EQ(seen.find("0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(ranOn(m_models), 1U);
}

// A user leaves; the server would go on for nobody and hold a slot that others wait for.
TEST_F(edge_test, WhenTheCallerLeavesItsServerStopsWorking)
{
    start();
    setAll(m_plain, mood::Silent);
    auto caller = ask("/once/x");
    ASSERT_TRUE(runUntil([&] {
        return ranOn(m_plain) == 1;
    }));
    caller->hangUp();
    EXPECT_TRUE(runUntil([&] {
        return m_plain[0]->left + m_plain[1]->left == 1;
    }));
}

// A server falls silent. The answer comes at the route's time limit, not later, and doesn't promise that
// nothing ran.
TEST_F(edge_test, ASilentServerIsAnsweredForAtTheRoutesTimeout)
{
    m_timeoutMs = 600;
    start();
    setAll(m_plain, mood::Silent);
    const millis before = bootNow();
    EXPECT_EQ(statusOf(answerTo("/once/x")), "504");
    EXPECT_GE((bootNow() - before).count, 590);
}

// A new version of an adapter is named. From then on a user's request carries it, so that a server which
// still has the old one refuses instead of answering with it.
TEST_F(edge_test, ANamedVersionIsAskedForByName)
{
    start();
    m_store.put("op/version/m0.a1", R"({"model":"m0","adapter":"a1","version":5})");
    runRounds(500);
    answerTo("/gen/x", "a1");
    ASSERT_EQ(ranOn(m_models), 1U);
    const auto &ran = m_models[0]->ran.empty() ? m_models[1]->ran : m_models[0]->ran;
    const std::string *version = findField(ran[0].head, "x-briarhead-expect-version");
    ASSERT_NE(version, nullptr);
    EXPECT_EQ(*version, "5");
}

// Every place of every server is used by a stream that still runs. A user of another adapter is refused at
// once with when to come back, and no adapter in use is thrown out for it.
TEST_F(edge_test, WithoutAPlaceForItsAdapterARequestIsRefusedAtOnce)
{
    m_places = 1;
    start();
    setAll(m_models, mood::Silent);
    const auto first = ask("/gen/x", "a1");
    const auto second = ask("/gen/x", "a2");
    ASSERT_TRUE(runUntil([&] {
        return ranOn(m_models) == 2;
    }));
    const millis before = bootNow();
    const std::string answer = answerTo("/gen/x", "a3");
    EXPECT_EQ(statusOf(answer), "503") << answer;
    EXPECT_NE(answer.find("Retry-After"), std::string::npos);
    EXPECT_LT((bootNow() - before).count, 1'000);
    for (const auto &server : m_models) {
        for (const auto &order : server->orders) {
            EXPECT_EQ(order.at("opcode"), "load");
        }
    }
}

// The daemon loses the store, and another may claim its servers once its lease has ended. On servers that
// check no tokens it gives no order past that; what they hold is served all the same.
TEST_F(edge_test, WithoutAProvedLeaseNothingIsOrderedOnServersThatCheckNoTokens)
{
    m_settings.serversCheckTokens = false;
    start();
    runRounds(2'600); // a new daemon waits for the lease of one that it may not have seen
    ASSERT_EQ(statusOf(answerTo("/gen/x", "a1")), "200");
    m_client.fault = store_fault::Unresponsive;
    runRounds(2'600);
    const auto orders = [this] {
        return m_models[0]->orders.size() + m_models[1]->orders.size();
    };
    const std::size_t before = orders();
    EXPECT_NE(statusOf(answerTo("/gen/x", "a2")), "200");
    EXPECT_EQ(orders(), before);
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a1")), "200");
    m_client.fault = store_fault::None;
    std::string last;
    for (int tries = 0; last != "200" && tries < 80; ++tries) {
        last = statusOf(answerTo("/gen/x", "a2"));
        runRounds(100);
    }
    EXPECT_EQ(last, "200");
}

// A daemon comes back from a cut: its lease has ended, another daemon has claimed its servers, and it is
// granted a new lease before it has read the store. The new lease proves nothing of records that went with
// the old one; two daemons would order the same servers.
TEST_F(edge_test, ANewLeaseProvesNoRecordsOfTheOldOne)
{
    m_settings.serversCheckTokens = false;
    start();
    runRounds(2'600);
    ASSERT_EQ(statusOf(answerTo("/gen/x", "a1")), "200");
    m_client.fault = store_fault::Unresponsive;
    runRounds(50);
    m_store.expire(m_store.lastLease);
    for (const auto &server : m_models) {
        m_store.put("briarhead/orderer/" + server->id, encode(orderer_record{"n2", 1, 1'000}));
    }
    runRounds(2'500);
    const auto orders = [this] {
        return m_models[0]->orders.size() + m_models[1]->orders.size();
    };
    const std::size_t before = orders();
    const auto caller = ask("/gen/x", "a2");
    m_client.fault = store_fault::LeasesOnly;
    runRounds(2'000);
    EXPECT_EQ(orders(), before);
}

// Both model servers start again under their ids: empty, and with their counts at 0. A user whose adapter was
// there is served once it has been loaded anew, and not refused by a server that is believed to hold it.
TEST_F(edge_test, AServerThatStartsAgainUnderItsIdIsOrderedAnew)
{
    start();
    for (const char *adapter : {"a1", "a2", "a3"}) {
        ASSERT_EQ(statusOf(answerTo("/gen/x", adapter)), "200");
    }
    for (const auto &server : m_models) {
        server->born = 5'000;
        server->adapters.clear();
        server->sequence = 0;
        server->fence = 0;
        m_store.put("servers/" + server->id, server->entry());
    }
    runRounds(1'200); // the pause between two watches, and a report
    for (const char *adapter : {"a1", "a2", "a3"}) {
        EXPECT_EQ(statusOf(answerTo("/gen/x", adapter)), "200");
    }
}

// The same where servers check tokens: they are their own guard, and users of other adapters are served on.
TEST_F(edge_test, WithoutTheStoreOrdersGoOnWhereServersCheckTokens)
{
    start();
    m_client.fault = store_fault::Unresponsive;
    runRounds(2'600);
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a2")), "200");
}

// A server's address is taken over by another one. It refuses what names the server before, and nothing runs
// there.
TEST_F(edge_test, AServerWithAReusedAddressRunsNothingOfAnothers)
{
    start();
    for (const auto &server : m_plain) {
        server->id += "-successor";
    }
    EXPECT_EQ(statusOf(answerTo("/once/x")), "503");
    EXPECT_EQ(ranOn(m_plain), 0U);
}

// A request waits for a place while, elsewhere, the third server ends under its like. It is refused at once
// and not held towards its deadline; that it has not run is true.
TEST_F(edge_test, ARequestThatWaitsIsRefusedOnceServersAreKnownToHaveEndedUnderIt)
{
    start();
    other_daemon first(m_store, m_loop, m_settings.peers, "n2", "m-1");
    other_daemon second(m_store, m_loop, m_settings.peers, "n3", "m-2");
    const auto beats = m_loop.timer({100}, {100}, [&] {
        first.beat();
        second.beat();
    });
    runRounds(300);
    const auto caller = ask("/gen/x", "a1"); // neither of them answers
    runRounds(60);
    const crash_news news{fingerprintOf({{}, "POST", "h", "/gen/x", "hi"}), {"s1", "s2", "s3"}};
    first.tell(news);
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(seen);
    }));
    EXPECT_EQ(statusOf(seen), "503") << seen;
    EXPECT_NE(seen.find("servers ended under this request"), std::string::npos) << seen;
    const std::size_t at = seen.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << seen;
    const double wait = std::stod(seen.substr(at + std::strlen("Retry-After: ")));
    EXPECT_GT(wait, 5) << "until it is tried again, not until something else passes";
    EXPECT_LE(wait, static_cast<double>(trialWaits[0].count) / 1'000);
    EXPECT_EQ(ranOn(m_models), 0U);
}

// One plain server has just ended, and the other one is full. The caller got that one's 503 as it was,
// without when to come back: all servers had been tried, and the answer of the last one was passed on though
// it had run nothing.
TEST_F(edge_test, WhenTheLastServerIsFullTheCallerIsToldWhenToComeBack)
{
    start();
    m_plain[0].reset();
    m_plain[1]->now = mood::Sheds;
    for (int i = 0; i < 8; ++i) {
        const std::string seen = answerTo("/once/x");
        EXPECT_EQ(statusOf(seen), "503");
        EXPECT_NE(seen.find("Retry-After: "), std::string::npos) << seen;
    }
}

// A load of the base model takes seconds. Asking its server all the while whether it is done costs processor
// time on both sides, and health checks have a price: the number of reports goes by the load's length, not by
// the speed of the net.
TEST_F(edge_test, ALoadIsAskedAfterAFewTimesASecondHoweverLongItTakes)
{
    start();
    for (const int loadMs : {700, 3'900}) {
        backend_standin &server = *m_models[0];
        server.holdsModel = false;
        server.adapters.clear();
        server.modelLoadTime = millis{loadMs};
        ++server.born; // it starts again, and holds nothing
        ++server.sequence;
        m_store.put("servers/" + server.id, server.entry());
        const std::size_t before = server.reports;
        runUntil([&] {
            return server.holdsModel;
        });
        EXPECT_TRUE(server.holdsModel);
        EXPECT_LE(server.reports - before, static_cast<std::size_t>(loadMs) / 250 + 8) << loadMs;
    }
}

// An order was on its way when this daemon took the record anew, under another token: its answer was passed
// over, and nothing was ordered there any more.
TEST_F(edge_test, AnOrderOnItsWayWhenTheRecordIsTakenAnewHoldsUpNoOther)
{
    start();
    for (const auto &server : m_models) {
        server->orderTime = {120};
    }
    const auto caller = ask("/gen/x", "a7");
    ASSERT_TRUE(runUntil([this] {
        return !m_models[0]->orders.empty() || !m_models[1]->orders.empty();
    }));
    const std::string key = "briarhead/orderer/" + m_models[m_models[0]->orders.empty() ? 1 : 0]->id;
    m_store.put(key, m_store.items.at(key).value);
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(seen);
    }));
    EXPECT_EQ(statusOf(seen), "200") << seen;
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a8")), "200");
}

}
