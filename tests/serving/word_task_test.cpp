#include "coordination/rendezvous.h"
#include "platform/platform_records.h"
#include "protocol/codec.h"
#include "serving/fake_store.h"
#include "serving/word_task.h"
#include "unit/http_fixture.h"

#include <algorithm>

namespace briarhead {

namespace {

/// One daemon's word_task among many daemons that the store lists; what it sends them goes to a socket that
/// nobody reads.
class word_task_test : public http_testing::http_fixture, public testing::WithParamInterface<int>
{
protected:
    fake_store m_store{m_loop};
    fake_store_client m_client{m_store};
    decision_log m_log{-1, "n0"};
    node_settings m_settings;
    bus m_bus{m_loop};
    std::unique_ptr<store_task> m_reader;
    std::unique_ptr<word_task> m_words;
    std::unique_ptr<fleet_port> m_port;
    std::unique_ptr<fleet_port> m_others;

    void SetUp() override
    {
        error why;
        const auto ignore = [](const fleet_datagram &, const peer_address &) {};
        m_settings.node = "n0";
        m_settings.peers = {http_testing::loopback, http_testing::freePort()};
        const peer_address others{http_testing::loopback, http_testing::freePort()};
        m_port = fleet_port::open(m_loop, m_settings.peers, ignore, why);
        m_others = fleet_port::open(m_loop, others, ignore, why);
        for (int i = 1; i < GetParam(); ++i) {
            const std::string node = "n" + std::to_string(i);
            m_store.put(
                "briarhead/daemon/" + node, encode(daemon_record{node, others.ip, others.port, "z", 1}));
        }
        m_reader = std::make_unique<store_task>(
            m_loop, m_bus, m_client, platform::recordCodec(), m_settings, 1, m_log);
        m_words = std::make_unique<word_task>(m_loop, m_bus, *m_reader, m_settings, m_log);
        m_words->setPort(*m_port);
        ASSERT_TRUE(runUntil([this] {
            return m_reader->view().daemons.size() == static_cast<std::size_t>(GetParam());
        }));
    }
    std::uint64_t sentFor(const std::function<void()> &what)
    {
        const std::uint64_t before = m_port->counters().sent;
        what();
        runRounds(2'000);
        return m_port->counters().sent - before;
    }
    /// The first server for which this daemon is a home, or is none.
    std::string serverWith(bool home) const
    {
        for (int i = 0;; ++i) {
            std::string server = "s" + std::to_string(i);
            const auto homes = rendezvousOrder(server, nodesOf(m_reader->view().daemons), wordHomes);
            if ((std::find(homes.begin(), homes.end(), "n0") != homes.end()) == home) {
                return server;
            }
        }
    }
};

answer_meta leavingAnswer()
{
    answer_meta meta;
    meta.signedByServer = true;
    meta.leaving = true;
    return meta;
}

}

// Each daemon told all others of each leaving server: news that grow with the square of the fleet.
TEST_P(word_task_test, WhoHearsTellsTwoAndTheseTellAll)
{
    const auto daemons = static_cast<std::uint64_t>(GetParam());
    const std::string others = serverWith(false);
    const std::uint64_t told = sentFor([&] {
        for (int i = 0; i < 50; ++i) {
            m_words->hear("id", others, others, leavingAnswer());
        }
    });
    EXPECT_EQ(told, 6U) << "three times to two homes, however many answers say so";
    const std::string own = serverWith(true);
    const std::uint64_t spread = sentFor([&] {
        for (int i = 0; i < 50; ++i) {
            m_words->hear("n1", server_notice{own, own, true, 0, true});
        }
    });
    EXPECT_EQ(spread, 2 * (daemons - 1)) << "a home tells all, twice";
    EXPECT_EQ(sentFor([&] {
        m_words->hear("n1", server_notice{"t", "t", true, 0, false});
    }),
        0U)
        << "who is told tells nobody";
}

// A pause is of one daemon: told to others but the holder of the server's record it would grow with the
// fleet.
TEST_P(word_task_test, APauseIsToldToNobodyButTheHolder)
{
    answer_meta meta;
    meta.notRun = true;
    meta.pause = {1'000};
    EXPECT_EQ(sentFor([&] {
        m_words->hear("id", "s", "s", meta);
    }),
        0U);
}

TEST_P(word_task_test, ANewsDatagramIsSmall)
{
    const fleet_datagram datagram{
        "edge-hakata-hall-1", 1, server_notice{"i-7247f870b2", "i-7247f870b2@1777340786061", true, 0, true}};
    EXPECT_LE(encode(datagram).size(), 120U);
}

INSTANTIATE_TEST_SUITE_P(Daemons, word_task_test, testing::Values(200, 1'200));

}
