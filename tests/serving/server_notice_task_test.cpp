#include "coordination/rendezvous.h"
#include "platform/platform_records.h"
#include "protocol/codec.h"
#include "serving/fake_store.h"
#include "serving/server_notice_task.h"
#include "unit/http_fixture.h"

#include <algorithm>

namespace briarhead {

namespace {

/// The server_notice_task of one daemon in a fleet of GetParam() daemons. Datagrams to the others go to a
/// socket that is not read.
class server_notice_task_test : public http_testing::http_fixture, public testing::WithParamInterface<int>
{
protected:
    fake_store m_store{m_loop};
    fake_store_client m_client{m_store};
    decision_log m_log{-1, "n0"};
    node_settings m_settings;
    bus m_bus{m_loop};
    std::unique_ptr<store_task> m_storeTask;
    std::unique_ptr<server_notice_task> m_task;
    std::unique_ptr<fleet_port> m_port;
    std::unique_ptr<fleet_port> m_peerPort;

    void SetUp() override
    {
        error why;
        const auto ignore = [](const fleet_datagram &, const peer_address &) {};
        m_settings.node = "n0";
        m_settings.peers = {http_testing::loopback, http_testing::freePort()};
        const peer_address remote{http_testing::loopback, http_testing::freePort()};
        m_port = fleet_port::open(m_loop, m_settings.peers, ignore, why);
        m_peerPort = fleet_port::open(m_loop, remote, ignore, why);
        for (int i = 1; i < GetParam(); ++i) {
            const std::string node = "n" + std::to_string(i);
            m_store.put(
                "briarhead/daemon/" + node, encode(daemon_record{node, remote.ip, remote.port, "z", 1}));
        }
        m_storeTask = std::make_unique<store_task>(
            m_loop, m_bus, m_client, platform::recordCodec(), m_settings, 1, m_log);
        m_task = std::make_unique<server_notice_task>(m_loop, m_bus, *m_storeTask, m_settings, m_log);
        m_task->setPort(*m_port);
        ASSERT_TRUE(runUntil([this] {
            return m_storeTask->view().daemons.size() == static_cast<std::size_t>(GetParam());
        }));
    }
    std::uint64_t datagramsSentBy(const std::function<void()> &action)
    {
        const std::uint64_t before = m_port->counters().sent;
        action();
        runRounds(2'000);
        return m_port->counters().sent - before;
    }
    /// The first server for which this daemon is a relay of notices, or for which it is not.
    std::string serverRelayedHere(bool isRelay) const
    {
        for (int i = 0;; ++i) {
            std::string server = "s" + std::to_string(i);
            const auto relays = rendezvousOrder(server, nodesOf(m_storeTask->view().daemons), noticeRelays);
            if ((std::find(relays.begin(), relays.end(), "n0") != relays.end()) == isRelay) {
                return server;
            }
        }
    }
};

response_meta leavingResponse()
{
    response_meta meta;
    meta.signedByServer = true;
    meta.leaving = true;
    return meta;
}

}

// Regression: each daemon notified all others of each leaving server, so that the number of notices grew with
// the square of the fleet.
TEST_P(server_notice_task_test, LeavingNoticeGoesToTwoRelaysThatNotifyAllDaemons)
{
    const auto daemons = static_cast<std::uint64_t>(GetParam());
    const std::string relayedElsewhere = serverRelayedHere(false);
    const std::uint64_t direct = datagramsSentBy([&] {
        for (int i = 0; i < 50; ++i) {
            m_task->onResponse("id", relayedElsewhere, relayedElsewhere, leavingResponse());
        }
    });
    EXPECT_EQ(direct, 6U) << "three times to two relays, however many responses announce it";
    const std::string relayedHere = serverRelayedHere(true);
    const std::uint64_t relayed = datagramsSentBy([&] {
        for (int i = 0; i < 50; ++i) {
            m_task->onNotice("n1", server_notice{relayedHere, relayedHere, true, 0, true});
        }
    });
    EXPECT_EQ(relayed, 2 * (daemons - 1)) << "a relay notifies all, twice";
    EXPECT_EQ(datagramsSentBy([&] {
        m_task->onNotice("n1", server_notice{"t", "t", true, 0, false});
    }),
        0U)
        << "a notice from a relay is not sent on";
}

// A pause concerns one daemon only. Notifying others than the server's owner would cause traffic that grows
// with the fleet.
TEST_P(server_notice_task_test, PauseIsNotSentToOtherDaemons)
{
    response_meta meta;
    meta.notExecuted = true;
    meta.pause = {1'000};
    EXPECT_EQ(datagramsSentBy([&] {
        m_task->onResponse("id", "s", "s", meta);
    }),
        0U);
}

TEST_P(server_notice_task_test, NoticeDatagramIsSmall)
{
    const fleet_datagram datagram{
        "edge-hakata-hall-1", 1, server_notice{"i-7247f870b2", "i-7247f870b2@1777340786061", true, 0, true}};
    EXPECT_LE(encode(datagram).size(), 120U);
}

INSTANTIATE_TEST_SUITE_P(Daemons, server_notice_task_test, testing::Values(200, 1'200));

}
