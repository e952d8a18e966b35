#include "soak/fleet_fixture.h"
#include "unit/crowd.h"

// Guards against a daemon that takes more connections than it can serve while the load balancer hands most
// new ones to it: its callers waited until they gave up, though other daemons had room.
namespace briarhead::soak {

namespace {

using http_testing::attempt_counts;
using http_testing::processor_quota;

constexpr millis crowdLasts{8'000};
constexpr millis bindsFrom{1'000}; ///< of the crowd's time
constexpr millis patience{1'000};
constexpr double servedShare = 0.9; ///< of what is read; the rule asks for three quarters
constexpr double servedElsewhere = 0.95;
/// What the hot daemon may run of each period. Its requests arrive so fast that it can't serve a third.
constexpr std::chrono::microseconds runs{4'000};
constexpr std::chrono::microseconds period{100'000};
constexpr std::size_t bodyBytes = 64 * 1024;
constexpr millis hotPause{2};
constexpr millis elsewherePause{40};

class hot_daemon_test : public fleet_fixture
{
protected:
    backend_pool m_callers{m_loop};
    attempt_counts m_hot;
    attempt_counts m_elsewhere;
    std::vector<std::shared_ptr<void>> m_traffic; ///< ends before the callers' pool
    bool m_counts = false;
    attempt_counts m_ignored;

    void TearDown() override
    {
        m_traffic.clear();
        fleet_fixture::TearDown();
    }
    std::string request()
    {
        return "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: id" + std::to_string(++m_lastId)
            + "\r\nX-Briarhead-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: "
            + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
    }
    void sendElsewhere()
    {
        const daemon_process &daemon = m_daemons[1 + static_cast<std::size_t>(m_lastId) % 2];
        http_testing::sendOnNewConnection(
            m_loop, m_callers, daemon.frontPort, request(), patience, m_counts ? m_elsewhere : m_ignored, {});
    }
    void sendHot()
    {
        http_testing::sendOnNewConnection(m_loop, m_callers, m_daemons[0].frontPort, request(), patience,
            m_counts ? m_hot : m_ignored, [this] {
                sendElsewhere();
            });
    }
};

}

TEST_F(hot_daemon_test, ServesWhatItReadsAndClosesTheRestUnread)
{
    const processor_quota quota(m_daemons[0].pid, runs, period);
    m_traffic.push_back(m_loop.timer(elsewherePause, elsewherePause, [this] {
        sendElsewhere();
    }));
    runFor({1'000});
    m_traffic.push_back(m_loop.timer(hotPause, hotPause, [this] {
        sendHot();
    }));
    runFor(bindsFrom);
    m_counts = true;
    runFor(crowdLasts);
    m_counts = false;
    m_traffic.clear();
    runFor(patience);
    const auto describe = [](const attempt_counts &counts) {
        return std::to_string(counts.served) + " served, " + std::to_string(counts.refused) + " refused, "
            + std::to_string(counts.late) + " late, " + std::to_string(counts.unread) + " unread";
    };
    const std::string seen = "hot: " + describe(m_hot) + "; elsewhere: " + describe(m_elsewhere);
    EXPECT_GE(static_cast<double>(m_hot.served), servedShare * static_cast<double>(m_hot.read())) << seen;
    EXPECT_GE(static_cast<double>(m_elsewhere.served),
        servedElsewhere * static_cast<double>(m_elsewhere.read() + m_elsewhere.unread))
        << seen;
    EXPECT_GT(m_hot.served, 50U) << "it goes on with a share: " << seen;
    EXPECT_GT(m_hot.unread, 0U) << "more came than it could serve: " << seen;
    EXPECT_TRUE(isReady(m_daemons[0]));
    EXPECT_EQ(m_store.items.count("briarhead/daemon/n0"), 1U) << "it keeps its lease";
    EXPECT_EQ(logOf(m_daemons[0]).find("lease.lost"), std::string::npos);
}

}
