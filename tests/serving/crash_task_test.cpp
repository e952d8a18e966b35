#include "coordination/rendezvous.h"
#include "coordination/request_fingerprint.h"
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

const std::string fingerprint(fingerprintDigits, 'a');
constexpr trial_waits shortWaits{millis{400}, millis{800}};

/// What counts ends in one daemon, with its ways to the store and to the others.
struct counting_daemon
{
    node_settings settings;
    bus messages;
    fake_store_client client;
    decision_log log;
    store_task store;
    std::unique_ptr<fleet_port> port;
    crash_task crashes;
    int blockedTold = 0;

    counting_daemon(fake_store &shared, const std::string &node)
        : settings(settingsOf(node))
        , messages(shared.events)
        , client(shared)
        , log(-1, node)
        , store(shared.events, messages, client, platform::recordCodec(), settings, 1, log)
        , crashes(shared.events, messages, crashLinks(store, port, settings, log), shortWaits)
    {
        error why;
        port = fleet_port::open(
            shared.events, settings.peers,
            [this](const fleet_datagram &datagram, const peer_address &) {
                if (const auto *news = std::get_if<crash_news>(&datagram.body)) {
                    crashes.hear(*news);
                }
            },
            why);
        subscribeToStore(messages, store, crashes);
        messages.on<request_blocked>([this](const request_blocked &) {
            ++blockedTold;
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
    std::vector<std::unique_ptr<counting_daemon>> m_daemons;
    std::map<std::string, std::unique_ptr<raw_socket>> m_ports; ///< of servers that live
    std::map<std::string, std::uint16_t> m_numbers;

    void SetUp() override
    {
        for (const char *server : {"s1", "s2", "s3", "s4"}) {
            m_ports[server] = raw_socket::listening(m_numbers[server]);
            list(server, "ready");
        }
        for (const char *node : {"n1", "n2", "n3", "n4"}) {
            m_daemons.push_back(std::make_unique<counting_daemon>(m_store, node));
        }
        ASSERT_TRUE(allDaemons([](const counting_daemon &one) {
            return one.store.view().daemons.size() == 4 && one.store.view().servers.size() == 4;
        }));
    }
    void list(const std::string &server, const std::string &state)
    {
        m_store.put("servers/" + server,
            R"({"service":"s","address":"127.0.0.1:)" + std::to_string(m_numbers[server])
                + R"(","zone":"z","slots":4,"state":")" + state + "\"}");
    }
    bool allDaemons(const std::function<bool(const counting_daemon &)> &holds)
    {
        return runUntil([&] {
            return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const auto &one) {
                return holds(*one);
            });
        });
    }
    static bool knowsTwo(const counting_daemon &one)
    {
        const auto stored = one.store.view().crashes.find(fingerprint);
        return stored != one.store.view().crashes.end() && stored->second.record.servers.size() == 2;
    }
    static bool blocks(const counting_daemon &one)
    {
        return one.crashes.isBlocked(fingerprint);
    }
    /// A daemon loses an answer of the server; `ends`: since the server has ended.
    void loseAnswer(std::size_t daemon, const std::string &server, bool ends)
    {
        counting_daemon &one = *m_daemons[daemon];
        if (ends) {
            m_ports.erase(server);
        }
        const auto listed = one.store.view().servers.find(server);
        if (listed != one.store.view().servers.end() && !listed->second.draining) {
            one.crashes.onBroken(fingerprint, targetOf(listed->second));
        }
    }
    void blockEverywhere()
    {
        loseAnswer(0, "s1", true);
        loseAnswer(1, "s2", true);
        loseAnswer(2, "s3", true);
        ASSERT_TRUE(allDaemons(blocks));
    }
    crash_record stored() const
    {
        error why;
        const auto found = m_store.items.find("briarhead/crash/" + fingerprint);
        return found == m_store.items.end() ? crash_record{}
                                            : decodeCrash(found->second.value, why).value_or(crash_record{});
    }
};

}

// Three daemons see one end each of one request. Alone none of them knows enough; together they stop it
// everywhere, and whoever waits for a server with it is told.
TEST_F(crash_task_test, EndsThatSeveralDaemonsSawAddUp)
{
    blockEverywhere();
    EXPECT_TRUE(allDaemons([](const counting_daemon &one) {
        return one.blockedTold == 1;
    }));
    EXPECT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
}

// Answers are lost on their way, or a server resets connections, and lives on. Users' requests must not be
// blocked for it, however often.
TEST_F(crash_task_test, AnAnswerLostByAServerThatLivesCountsForNothing)
{
    for (const char *server : {"s1", "s2", "s3", "s4"}) {
        loseAnswer(0, server, false);
    }
    runRounds(300);
    EXPECT_FALSE(m_daemons[0]->crashes.isBlocked(fingerprint));
    EXPECT_EQ(m_daemons[0]->crashes.counters().ends, 0U);
}

// A server that had said that it leaves ends, as planned, with a long answer. That is not the request's
// doing.
TEST_F(crash_task_test, ALeavingServersEndCountsForNothing)
{
    list("s1", "draining");
    ASSERT_TRUE(allDaemons([](const counting_daemon &one) {
        return one.store.view().servers.at("s1").draining;
    }));
    loseAnswer(0, "s1", true);
    runRounds(300);
    EXPECT_EQ(m_daemons[0]->crashes.counters().ends, 0U);
}

// A host is gone with its server and answers nothing, or the caller leaves before its request ends the
// server: no closed port tells. The server's entry in the store goes, and that tells.
TEST_F(crash_task_test, AServerThatVanishesFromTheStoreAfterASendWasGivenUpCounts)
{
    for (const char *server : {"s1", "s2", "s3"}) {
        m_daemons[0]->crashes.onGivenUp(fingerprint, targetOf(m_daemons[0]->store.view().servers.at(server)));
        m_store.remove(std::string("servers/") + server);
    }
    EXPECT_TRUE(allDaemons(blocks));
}

// The third send breaks off, and whether its server has ended isn't known for a moment. The daemon must not
// send it to a fourth one meanwhile.
TEST_F(crash_task_test, WhileAnEndIsUncertainTheRequestIsNotRepeated)
{
    loseAnswer(0, "s1", true);
    loseAnswer(1, "s2", true);
    ASSERT_TRUE(allDaemons(knowsTwo));
    EXPECT_FALSE(m_daemons[2]->crashes.mayBeFatal(fingerprint));
    loseAnswer(2, "s3", false);
    EXPECT_TRUE(m_daemons[2]->crashes.mayBeFatal(fingerprint));
    EXPECT_TRUE(runUntil([this] {
        return !m_daemons[2]->crashes.mayBeFatal(fingerprint);
    })) << "the server lives";
}

// Two servers have ended under a request by chance, then one answers it. It is an honest one, and all daemons
// count from none again.
TEST_F(crash_task_test, AWholeAnswerAnywhereClearsTheRequest)
{
    loseAnswer(0, "s1", true);
    loseAnswer(1, "s2", true);
    ASSERT_TRUE(allDaemons(knowsTwo));
    m_daemons[3]->crashes.onAnswered(fingerprint);
    EXPECT_TRUE(allDaemons([](const counting_daemon &one) {
        return one.store.view().crashes.empty();
    }));
    loseAnswer(2, "s3", true);
    runRounds(300);
    EXPECT_FALSE(blocks(*m_daemons[2]));
}

// A request that ended one server was answered later, and after a change of the servers it ends two. Word of
// that is lost on its way to the daemon that had cleared it, which must then believe the store and leave the
// record.
TEST_F(crash_task_test, ARequestThatWasClearedIsCountedAnew)
{
    loseAnswer(0, "s1", true);
    ASSERT_TRUE(runUntil([this] {
        return m_daemons[0]->crashes.counted(fingerprint).size() == 1;
    }));
    m_daemons[0]->crashes.onAnswered(fingerprint);
    m_store.put("briarhead/crash/" + fingerprint, encode(crash_record{{"s2", "s3"}, 0}));
    EXPECT_TRUE(runUntil([this] {
        return m_daemons[0]->crashes.counted(fingerprint).size() == 2;
    }));
    runRounds(2'500);
    EXPECT_EQ(stored().servers.size(), 2U);
}

// The store is away when the third server ends. The daemons hear it from each other, and the store has it
// once it is back.
TEST_F(crash_task_test, WithoutTheStoreTheDaemonsTellEachOther)
{
    loseAnswer(0, "s1", true);
    loseAnswer(1, "s2", true);
    ASSERT_TRUE(allDaemons(knowsTwo));
    for (const auto &one : m_daemons) {
        one->client.fault = store_fault::RefusesCalls;
    }
    loseAnswer(2, "s3", true);
    EXPECT_TRUE(allDaemons(blocks));
    EXPECT_EQ(stored().servers.size(), 2U);
    for (const auto &one : m_daemons) {
        one->client.fault = store_fault::None;
    }
    EXPECT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
}

// One end is known to two daemons alone. One of them dies before the next, and nothing is lost.
TEST_F(crash_task_test, TheDeathOfADaemonThatCountsLosesNothing)
{
    loseAnswer(0, "s1", true);
    const auto knows = [](const counting_daemon &one) {
        return !one.crashes.counted(fingerprint).empty();
    };
    ASSERT_TRUE(runUntil([&] {
        return std::count_if(m_daemons.begin(), m_daemons.end(), [&](const auto &one) {
            return knows(*one);
        }) >= 2;
    }));
    std::vector<std::string> nodes{"n1", "n2", "n3", "n4"};
    const std::string home = rendezvousFirst(fingerprint, nodes);
    std::erase_if(m_daemons, [&home](const auto &one) {
        return one->settings.node == home;
    });
    for (std::size_t i = 0; i < 2; ++i) {
        loseAnswer(i, i == 0 ? "s2" : "s3", true);
    }
    EXPECT_TRUE(allDaemons(blocks));
}

// After its wait a blocked request is sent to one server by one daemon, however many are asked for it at that
// moment. It ends that server too, and after the second time it is left alone.
TEST_F(crash_task_test, ABlockedRequestIsTriedByOneDaemonAtATimeAndTwiceAtMost)
{
    blockEverywhere();
    int granted = 0;
    int answered = 0;
    const auto asks = m_loop.timer({20}, {20}, [&] {
        for (const auto &one : m_daemons) {
            one->crashes.askTrial(fingerprint, [&](bool isGranted) {
                granted += isGranted ? 1 : 0;
                ++answered;
            });
        }
    });
    runRounds(200);
    EXPECT_EQ(granted, 0) << "its wait isn't over";
    EXPECT_TRUE(runUntil([&] {
        return granted == 2;
    }));
    runRounds(1'500);
    EXPECT_EQ(granted, 2);
    EXPECT_GT(answered, 100);
    EXPECT_EQ(stored().trials, 2U);
    EXPECT_EQ(m_daemons[0]->crashes.comeBackAfter(fingerprint), crashMemory);
}

// An operator knows better and removes the record: the request is taken again.
TEST_F(crash_task_test, ARemovedRecordClearsTheRequest)
{
    blockEverywhere();
    ASSERT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
    ASSERT_TRUE(allDaemons([](const counting_daemon &one) {
        return one.store.view().crashes.count(fingerprint) == 1;
    }));
    m_store.remove("briarhead/crash/" + fingerprint);
    EXPECT_TRUE(allDaemons([](const counting_daemon &one) {
        return !blocks(one);
    }));
}

// A daemon that starts afterwards knows it with its first reading, before it takes callers.
TEST_F(crash_task_test, ADaemonThatStartsLaterReadsItInTheStore)
{
    blockEverywhere();
    ASSERT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
    m_daemons.push_back(std::make_unique<counting_daemon>(m_store, "n5"));
    EXPECT_TRUE(allDaemons(blocks));
}

// Some other writer's bytes under one of these keys, and a datagram with a fingerprint that is none.
TEST_F(crash_task_test, WhatIsNoRecordHarmsNothing)
{
    m_store.put("briarhead/crash/" + fingerprint, "no record");
    m_daemons[0]->crashes.hear({"short", {"s1", "s2", "s3"}});
    blockEverywhere();
    EXPECT_TRUE(runUntil([this] {
        return stored().servers.size() == 3;
    }));
    EXPECT_FALSE(m_daemons[0]->crashes.isBlocked("short"));
}

}
