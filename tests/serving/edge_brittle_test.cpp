#include "serving/edge_fleet_fixture.h"

#include <string>
#include <vector>

// Servers that announce that they crash if they have to reject too many requests.
namespace briarhead {

namespace {

constexpr int maxRejections = 3; ///< per second
/// Four requests at once on each of two servers take this long: 80 requests/s.
constexpr millis serverTime{100};
constexpr millis noticeTime{3'000};
constexpr millis measured{4'000};
/// Twice what the servers bear.
constexpr int requestsPerRound = 4;
constexpr int roundMs = 25;
/// Of what the servers bear in `measured`.
constexpr int minServed = 160;

}

struct brittle_case
{
    const char *path = "";
    bool model = false;
};

std::ostream &operator<<(std::ostream &out, const brittle_case &each)
{
    return out << each.path;
}

class brittle_test : public edge_fleet_test, public testing::WithParamInterface<brittle_case>
{
protected:
    std::vector<std::unique_ptr<http_testing::raw_socket>> m_callers;
    std::vector<std::string> m_received;

    /// Sends requests to all daemons in turn.
    void overload(millis span)
    {
        const std::string adapter = GetParam().model ? "a1" : "";
        const millis end = bootNow() + span;
        while (bootNow() < end) {
            for (int i = 0; i < requestsPerRound; ++i) {
                const std::size_t daemon = m_callers.size() % (m_peers.size() + 1);
                const std::uint16_t front = m_settings.front.port;
                if (daemon > 0) {
                    m_settings.front.port = m_peers[daemon - 1]->settings.front.port;
                }
                m_callers.push_back(sendRequest(GetParam().path, adapter));
                m_settings.front.port = front;
            }
            runRounds(roundMs);
        }
    }
    int servedSoFar()
    {
        m_received.resize(m_callers.size());
        int served = 0;
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            m_callers[i]->receive(m_received[i]);
            served += m_received[i].starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        return served;
    }
    int crashes() const
    {
        int sum = 0;
        for (const auto *servers : {&m_models, &m_plain}) {
            for (const auto &server : *servers) {
                sum += server->brittleCrashes;
            }
        }
        return sum;
    }
};

/// Guards against servers that crash because the daemons together have too many requests rejected.
TEST_P(brittle_test, AllDaemonsTogetherStayBelowTheRejectionsThatServersBear)
{
    start();
    setServerTime(serverTime);
    startPeer("n2", "z");
    startPeer("n3", "y");
    for (const auto *servers : {&m_models, &m_plain}) {
        for (const auto &server : *servers) {
            server->setBrittle(maxRejections);
        }
    }
    overload(noticeTime);
    const int before = servedSoFar();
    overload(measured);
    EXPECT_EQ(crashes(), 0);
    EXPECT_GE(servedSoFar() - before, minServed);
}

INSTANTIATE_TEST_SUITE_P(EachKind, brittle_test,
    testing::Values(brittle_case{"/once/x", false}, brittle_case{"/safe/x", false},
        brittle_case{"/gen/x", true}, brittle_case{"/resume/x", true}),
    [](const testing::TestParamInfo<brittle_case> &each) {
        std::string name = each.param.path;
        std::erase(name, '/');
        return name;
    });

}
