#include "coordination/rendezvous.h"
#include "coordination/request_attributes.h"
#include "platform/platform_records.h"
#include "protocol/codec.h"
#include "serving/crash_store.h"
#include "serving/fake_store.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

using http_testing::freePort;
using http_testing::raw_socket;

const std::string fingerprint(attributeDigits, 'a');
const request_attributes content{{fingerprint, contentRank}};
constexpr probe_delays shortProbeDelays{millis{400}, millis{800}};

/// The crash counting of one daemon, connected to a shared store and to the other daemons.
struct test_daemon
{
    node_settings settings;
    bus messages;
    fake_store_client client;
    decision_log log;
    store_task store;
    std::unique_ptr<fleet_port> port;
    crash_task crashes;
    int blockedNotifications = 0;

    test_daemon(fake_store &shared, const std::string &node)
        : settings(settingsOf(node))
        , messages(shared.events)
        , client(shared)
        , log(-1, node)
        , store(shared.events, messages, client, platform::recordCodec(), settings, 1, log)
        , crashes(shared.events, messages, crashLinks(store, port, settings, log), shortProbeDelays)
    {
        error why;
        port = fleet_port::open(
            shared.events, settings.peers,
            [this](const fleet_datagram &datagram, const peer_address &) {
                if (const auto *report = std::get_if<crash_report>(&datagram.body)) {
                    crashes.onReport({*report, contentRank});
                } else if (const auto *ranked = std::get_if<ranked_crash_report>(&datagram.body)) {
                    crashes.onReport(*ranked);
                }
            },
            why);
        subscribeToStore(messages, store, crashes);
        messages.on<attribute_blocked>([this](const attribute_blocked &) {
            ++blockedNotifications;
        });
    }
    static node_settings settingsOf(const std::string &node)
    {
        node_settings settings;
        settings.node = node;
        settings.failureDomain = node;
        settings.peers = {http_testing::loopback, freePort()};
        return settings;
    }
};

class crash_task_test : public http_testing::http_fixture
{
protected:
    fake_store m_store{m_loop};
    std::vector<std::unique_ptr<test_daemon>> m_daemons;
    std::map<std::string, std::unique_ptr<raw_socket>> m_listeners; ///< of servers that are up
    std::map<std::string, std::uint16_t> m_portNumbers;

    void SetUp() override
    {
        for (const char *server : {"s1", "s2", "s3", "s4"}) {
            m_listeners[server] = raw_socket::listening(m_portNumbers[server]);
            listServer(server, "ready");
        }
        for (const char *node : {"n1", "n2", "n3", "n4"}) {
            m_daemons.push_back(std::make_unique<test_daemon>(m_store, node));
        }
        ASSERT_TRUE(allDaemons([](const test_daemon &daemon) {
            return daemon.store.view().daemons.size() == 4 && daemon.store.view().servers.size() == 4;
        }));
    }
    void listServer(const std::string &server, const std::string &state)
    {
        m_store.put("servers/" + server,
            R"({"service":"s","address":"127.0.0.1:)" + std::to_string(m_portNumbers[server])
                + R"(","zone":"z","slots":4,"state":")" + state + "\"}");
    }
    bool allDaemons(const std::function<bool(const test_daemon &)> &isTrue)
    {
        return runUntil([&] {
            return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const auto &daemon) {
                return isTrue(*daemon);
            });
        });
    }
    static bool hasTwoStoredCrashes(const test_daemon &daemon)
    {
        const auto stored = daemon.store.view().crashes.find(fingerprint);
        return stored != daemon.store.view().crashes.end() && stored->second.record.servers.size() == 2;
    }
    static bool blocks(const test_daemon &daemon)
    {
        return daemon.crashes.isBlocked(content);
    }
    /// A daemon loses a response of the server; with `serverCrashes`, because the server has crashed.
    void loseResponse(std::size_t index, const std::string &server, bool serverCrashes)
    {
        test_daemon &daemon = *m_daemons[index];
        if (serverCrashes) {
            m_listeners.erase(server);
        }
        const auto listed = daemon.store.view().servers.find(server);
        if (listed != daemon.store.view().servers.end() && !listed->second.draining) {
            daemon.crashes.onResponseBroken(content, targetOf(listed->second));
        }
    }
    void blockEverywhere()
    {
        loseResponse(0, "s1", true);
        loseResponse(1, "s2", true);
        loseResponse(2, "s3", true);
        ASSERT_TRUE(allDaemons(blocks));
    }
    crash_record stored() const
    {
        error why;
        const auto found = m_store.items.find("briarhead/crash/" + fingerprint);
        return found == m_store.items.end()
            ? crash_record{}
            : decodeCrashRecord(found->second.value, why).value_or(crash_record{});
    }
};

}

// Three daemons see one crash each under the same request, which is not enough for any of them alone.
// Together they must block it everywhere and notify the tasks that are waiting to send it.
TEST_F(crash_task_test, CrashesSeenByDifferentDaemonsAddUp)
{
    blockEverywhere();
    EXPECT_TRUE(allDaemons([](const test_daemon &daemon) {
        return daemon.blockedNotifications == 1;
    }));
    EXPECT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
}

// Responses are lost on the way, or a server resets connections, but the servers stay up. However often this
// happens, requests must not be blocked for it.
TEST_F(crash_task_test, AResponseLostByAServerThatIsUpIsNotCounted)
{
    for (const char *server : {"s1", "s2", "s3", "s4"}) {
        loseResponse(0, server, false);
    }
    runRounds(300);
    EXPECT_FALSE(m_daemons[0]->crashes.isBlocked(content));
    EXPECT_EQ(m_daemons[0]->crashes.counters().serverCrashes, 0U);
}

// A server that announced that it was leaving ends as planned, and a long response breaks off. The request
// did not cause that.
TEST_F(crash_task_test, TheEndOfALeavingServerIsNotCounted)
{
    listServer("s1", "draining");
    ASSERT_TRUE(allDaemons([](const test_daemon &daemon) {
        return daemon.store.view().servers.at("s1").draining;
    }));
    loseResponse(0, "s1", true);
    runRounds(300);
    EXPECT_EQ(m_daemons[0]->crashes.counters().serverCrashes, 0U);
}

// A host fails together with its server and no longer responds, or the caller disconnects before its request
// crashes the server. No closed port shows the crash, but the removal of the server's record from the store
// does.
TEST_F(crash_task_test, AServerRemovedFromTheStoreAfterAnAbandonedSendIsCounted)
{
    for (const char *server : {"s1", "s2", "s3"}) {
        m_daemons[0]->crashes.onSendAbandoned(
            content, targetOf(m_daemons[0]->store.view().servers.at(server)));
        m_store.remove(std::string("servers/") + server);
    }
    EXPECT_TRUE(allDaemons(blocks));
}

// The third response breaks off, and for a moment it is unknown whether its server has crashed. Meanwhile the
// daemon must not send the request to a fourth server.
TEST_F(crash_task_test, ARequestIsNotRepeatedWhileACrashIsUncertain)
{
    loseResponse(0, "s1", true);
    loseResponse(1, "s2", true);
    ASSERT_TRUE(allDaemons(hasTwoStoredCrashes));
    EXPECT_FALSE(m_daemons[2]->crashes.mayBecomeBlocked(content));
    loseResponse(2, "s3", false);
    EXPECT_TRUE(m_daemons[2]->crashes.mayBecomeBlocked(content));
    EXPECT_TRUE(runUntil([this] {
        return !m_daemons[2]->crashes.mayBecomeBlocked(content);
    })) << "the server is up";
}

// Two servers crash under a harmless request by chance, then another one completes it. All daemons must start
// counting from zero again.
TEST_F(crash_task_test, ACompleteResponseAnywhereClearsTheRequest)
{
    loseResponse(0, "s1", true);
    loseResponse(1, "s2", true);
    ASSERT_TRUE(allDaemons(hasTwoStoredCrashes));
    m_daemons[3]->crashes.onServerSurvived(content);
    EXPECT_TRUE(allDaemons([](const test_daemon &daemon) {
        return daemon.store.view().crashes.empty();
    }));
    loseResponse(2, "s3", true);
    runRounds(300);
    EXPECT_FALSE(blocks(*m_daemons[2]));
}

// A request that crashed one server is completed by another, and later crashes two more. The report of that
// is lost on its way to the daemon that had cleared the request. This daemon must follow the store and must
// not remove the record.
TEST_F(crash_task_test, CrashesAfterARequestWasClearedAreCounted)
{
    loseResponse(0, "s1", true);
    ASSERT_TRUE(runUntil([this] {
        return m_daemons[0]->crashes.crashedIncarnations(fingerprint).size() == 1;
    }));
    m_daemons[0]->crashes.onServerSurvived(content);
    m_store.put("briarhead/crash/" + fingerprint, encode(crash_record{{"s2", "s3"}, 0}));
    EXPECT_TRUE(runUntil([this] {
        return m_daemons[0]->crashes.crashedIncarnations(fingerprint).size() == 2;
    }));
    runRounds(2'500);
    EXPECT_EQ(stored().servers.size(), 2U);
}

// The store is unavailable when the third server crashes. The daemons must notify each other, and store the
// record when the store is back.
TEST_F(crash_task_test, DaemonsNotifyEachOtherWhileTheStoreIsUnavailable)
{
    loseResponse(0, "s1", true);
    loseResponse(1, "s2", true);
    ASSERT_TRUE(allDaemons(hasTwoStoredCrashes));
    for (const auto &daemon : m_daemons) {
        daemon->client.fault = store_fault::RefusesCalls;
    }
    loseResponse(2, "s3", true);
    EXPECT_TRUE(allDaemons(blocks));
    EXPECT_EQ(stored().servers.size(), 2U);
    for (const auto &daemon : m_daemons) {
        daemon->client.fault = store_fault::None;
    }
    EXPECT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
}

// Only two daemons know of a crash, and one of them dies before the next crash. The count must not be lost.
TEST_F(crash_task_test, TheDeathOfAHomeLosesNoCount)
{
    loseResponse(0, "s1", true);
    const auto knows = [](const test_daemon &daemon) {
        return !daemon.crashes.crashedIncarnations(fingerprint).empty();
    };
    ASSERT_TRUE(runUntil([&] {
        return std::count_if(m_daemons.begin(), m_daemons.end(), [&](const auto &daemon) {
            return knows(*daemon);
        }) >= 2;
    }));
    std::vector<std::string> nodes{"n1", "n2", "n3", "n4"};
    const std::string home = rendezvousFirst(fingerprint, nodes);
    std::erase_if(m_daemons, [&home](const auto &daemon) {
        return daemon->settings.node == home;
    });
    for (std::size_t i = 0; i < 2; ++i) {
        loseResponse(i, i == 0 ? "s2" : "s3", true);
    }
    EXPECT_TRUE(allDaemons(blocks));
}

// When its delay is over, a blocked request may be sent to one server by one daemon, however many daemons
// receive it at that moment. It crashes that server too, and after the second probe no more are sent.
TEST_F(crash_task_test, ABlockedRequestIsProbedByOneDaemonAtATimeAndAtMostTwice)
{
    blockEverywhere();
    int granted = 0;
    int decided = 0;
    const auto requests = m_loop.timer({20}, {20}, [&] {
        for (const auto &daemon : m_daemons) {
            daemon->crashes.requestProbe(content, [&](bool isGranted) {
                granted += isGranted ? 1 : 0;
                ++decided;
            });
        }
    });
    runRounds(200);
    EXPECT_EQ(granted, 0) << "the probe delay isn't over";
    EXPECT_TRUE(runUntil([&] {
        return granted == 2;
    }));
    runRounds(1'500);
    EXPECT_EQ(granted, 2);
    EXPECT_GT(decided, 100);
    EXPECT_EQ(stored().probeCount, 2U);
    EXPECT_EQ(m_daemons[0]->crashes.blockedRetryAfter(content), crashRetention);
}

// An operator removes the record, so the request must be accepted again.
TEST_F(crash_task_test, RemovingTheRecordClearsTheRequest)
{
    blockEverywhere();
    ASSERT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
    ASSERT_TRUE(allDaemons([](const test_daemon &daemon) {
        return daemon.store.view().crashes.count(fingerprint) == 1;
    }));
    m_store.remove("briarhead/crash/" + fingerprint);
    EXPECT_TRUE(allDaemons([](const test_daemon &daemon) {
        return !blocks(daemon);
    }));
}

// A daemon that starts later must know the blocked request from its first read of the store, before it
// accepts callers.
TEST_F(crash_task_test, ADaemonThatStartsLaterReadsTheRecordFromTheStore)
{
    blockEverywhere();
    ASSERT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
    m_daemons.push_back(std::make_unique<test_daemon>(m_store, "n5"));
    EXPECT_TRUE(allDaemons(blocks));
}

// Another program writes invalid bytes under one of these keys, and a datagram arrives with an invalid
// fingerprint.
TEST_F(crash_task_test, InvalidRecordsAndReportsAreIgnored)
{
    m_store.put("briarhead/crash/" + fingerprint, "no record");
    m_daemons[0]->crashes.onReport({{"short", {"s1", "s2", "s3"}}, contentRank});
    blockEverywhere();
    EXPECT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
    EXPECT_FALSE(m_daemons[0]->crashes.isBlocked({{"short", contentRank}}));
}

// No two of the requests under which servers crash are alike, and each crash is seen by another daemon. What
// blocks them is the one part that all have in common; other requests with the same first part are not
// blocked.
TEST_F(crash_task_test, CrashesOfUnlikeRequestsAddUpForTheirCommonPart)
{
    const auto requestWith = [](const std::string &own, const std::string &part) {
        return attributesOf({{}, "POST", "h", "/", own}, "s", {"first", part});
    };
    for (std::size_t i = 0; i < 3; ++i) {
        test_daemon &daemon = *m_daemons[i];
        const std::string server = "s" + std::to_string(i + 1);
        m_listeners.erase(server);
        daemon.crashes.onResponseBroken(
            requestWith("own" + std::to_string(i), "bad"), targetOf(daemon.store.view().servers.at(server)));
    }
    EXPECT_TRUE(allDaemons([&](const test_daemon &daemon) {
        return daemon.crashes.isBlocked(requestWith("new", "bad"));
    }));
    for (const auto &daemon : m_daemons) {
        EXPECT_FALSE(daemon->crashes.isBlocked(requestWith("new", "good")));
        EXPECT_EQ(daemon->blockedNotifications, 2) << "the first part and the second";
    }
    int granted = 0;
    int number = 0;
    const auto requests = m_loop.timer({20}, {20}, [&] {
        for (const auto &daemon : m_daemons) {
            daemon->crashes.requestProbe(requestWith(std::to_string(++number), "bad"), [&](bool isGranted) {
                granted += isGranted ? 1 : 0;
            });
        }
    });
    EXPECT_TRUE(runUntil([&] {
        return granted == 2;
    }));
    runRounds(1'500);
    EXPECT_EQ(granted, 2) << "probes of all daemons for all requests with the part";
}

// The first part of all requests was at two crashes. Before the third, a daemon that saw none of them gets a
// complete response to one of its own requests with that part: it must be counted from zero everywhere, and
// not stay in the store.
TEST_F(crash_task_test, ACompleteResponseToAnotherRequestClearsTheCommonPart)
{
    const auto requestOf = [](const std::string &own) {
        return attributesOf({{}, "POST", "h", "/", own}, "s", {"first"});
    };
    const std::string part = requestOf("").back().key;
    for (std::size_t i = 0; i < 2; ++i) {
        const std::string server = "s" + std::to_string(i + 1);
        m_listeners.erase(server);
        m_daemons[i]->crashes.onResponseBroken(
            requestOf(std::to_string(i)), targetOf(m_daemons[i]->store.view().servers.at(server)));
    }
    ASSERT_TRUE(allDaemons([&](const test_daemon &daemon) {
        return daemon.crashes.crashedIncarnations(part).size() == 2;
    }));
    m_daemons[3]->crashes.onServerSurvived(requestOf("sound"));
    EXPECT_TRUE(allDaemons([&](const test_daemon &daemon) {
        return daemon.crashes.crashedIncarnations(part).empty();
    }));
    EXPECT_TRUE(runUntil([&] {
        return m_store.items.count("briarhead/crash/" + part) == 0;
    }));
    m_listeners.erase("s3");
    m_daemons[2]->crashes.onResponseBroken(
        requestOf("2"), targetOf(m_daemons[2]->store.view().servers.at("s3")));
    runRounds(1'500); // includes a repetition of the reports
    EXPECT_TRUE(allDaemons([&](const test_daemon &daemon) {
        return daemon.crashes.crashedIncarnations(part).size() <= 1;
    }));
}

// A daemon starts and reads the store before the record is written, because the store refuses writes. The
// daemons that count must tell it.
TEST_F(crash_task_test, ADaemonThatStartsWhileNothingIsStoredIsToldByTheOthers)
{
    for (const auto &daemon : m_daemons) {
        daemon->client.fault = store_fault::RefusesChanges;
    }
    blockEverywhere();
    m_daemons.push_back(std::make_unique<test_daemon>(m_store, "n5"));
    EXPECT_TRUE(allDaemons(blocks));
    EXPECT_TRUE(stored().servers.empty());
}

}
