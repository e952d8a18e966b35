#include "transport/backend_pool.h"
#include "transport/engine_client.h"
#include "transport/front_server.h"
#include "transport/peer_socket.h"
#include "unit/http_fixture.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <limits>
#include <ostream>
#include <set>
#include <string>
#include <vector>

// How long a silent peer is tolerated on each kind of connection, as the options of its socket say, whoever
// has set them.
namespace briarhead {

namespace {

/// A sound server may be silent for a second or so.
constexpr int minToleratedMs = 1'500;
/// A server or engine that is gone is to be noticed within this time.
constexpr int maxServerDetectionMs = 5'000;
constexpr int maxEngineDetectionMs = 20'000;
constexpr int never = std::numeric_limits<int>::max();
constexpr int msPerSecond = 1'000;
constexpr int maxFd = 512;

struct tcp_timeouts
{
    int userTimeoutMs = 0; ///< 0: not set
    bool probes = false; ///< keep-alive probes are sent
    int idleMs = 0; ///< until the first probe
    int intervalMs = 0; ///< between probes
    int count = 0; ///< unanswered probes until the connection ends, unless the user timeout is set
};

int optionOf(int fd, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    return getsockopt(fd, level, name, &value, &size) == 0 ? value : 0;
}

tcp_timeouts timeoutsOf(int fd)
{
    return {optionOf(fd, IPPROTO_TCP, TCP_USER_TIMEOUT), optionOf(fd, SOL_SOCKET, SO_KEEPALIVE) != 0,
        optionOf(fd, IPPROTO_TCP, TCP_KEEPIDLE) * msPerSecond,
        optionOf(fd, IPPROTO_TCP, TCP_KEEPINTVL) * msPerSecond, optionOf(fd, IPPROTO_TCP, TCP_KEEPCNT)};
}

/// From the last byte until an idle connection to a silent peer ends. As on Linux, a user timeout decides in
/// place of the count; it is looked at when a probe is due and another is unanswered.
int detectionMs(const tcp_timeouts &timeouts)
{
    if (!timeouts.probes) {
        return never;
    }
    if (timeouts.userTimeoutMs == 0) {
        return timeouts.idleMs + timeouts.intervalMs * timeouts.count;
    }
    int at = timeouts.idleMs + timeouts.intervalMs;
    while (at < timeouts.userTimeoutMs) {
        at += timeouts.intervalMs;
    }
    return at;
}

/// How long a peer may be silent, at the worst moment, without losing the connection.
int toleratedMs(const tcp_timeouts &timeouts)
{
    const int idle = timeouts.probes ? detectionMs(timeouts) - timeouts.idleMs : never;
    return timeouts.userTimeoutMs == 0 ? idle : std::min(idle, timeouts.userTimeoutMs);
}

std::ostream &operator<<(std::ostream &out, const tcp_timeouts &timeouts)
{
    return out << "user timeout " << timeouts.userTimeoutMs << " ms, probes " << timeouts.probes << " after "
               << timeouts.idleMs << " ms, each " << timeouts.intervalMs << " ms, " << timeouts.count;
}

/// The connected TCP sockets of this process.
std::set<int> connectedSockets()
{
    std::set<int> found;
    for (int fd = 0; fd < maxFd; ++fd) {
        sockaddr_storage peer{};
        socklen_t size = sizeof(peer);
        if (getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && peer.ss_family == AF_INET) {
            found.insert(fd);
        }
    }
    return found;
}

class socket_timeouts_test : public http_testing::http_fixture
{
protected:
    std::set<int> m_before = connectedSockets();

    /// The timeouts of the sockets connected since the last call.
    std::vector<tcp_timeouts> newTimeouts()
    {
        std::vector<tcp_timeouts> timeouts;
        for (const int fd : connectedSockets()) {
            if (m_before.insert(fd).second) {
                timeouts.push_back(timeoutsOf(fd));
            }
        }
        return timeouts;
    }
};

}

/// Guards against connections to servers that end because of a second of silence, and against dead ones that
/// are kept.
TEST_F(socket_timeouts_test, ConnectionsToServersOutliveASecondOfSilence)
{
    std::uint16_t port = 0;
    const auto server = http_testing::raw_socket::listening(port);
    backend_pool pool(m_loop);
    send_handlers handlers{[](const http_head &) {
                               return true;
                           },
        [](const std::string &) {}, [](const response_end &, const error &) {}};
    const auto id = pool.start({http_testing::loopback, port}, "GET / HTTP/1.1\r\n\r\n", false, handlers);
    ASSERT_TRUE(runUntil([&] {
        return !pool.isConnecting(id);
    }));
    const auto timeouts = newTimeouts();
    ASSERT_EQ(timeouts.size(), 1U);
    EXPECT_GE(toleratedMs(timeouts[0]), minToleratedMs) << testing::PrintToString(timeouts[0]);
    EXPECT_LE(detectionMs(timeouts[0]), maxServerDetectionMs) << testing::PrintToString(timeouts[0]);
    EXPECT_LE(timeouts[0].userTimeoutMs, maxServerDetectionMs);
}

/// Guards against a run on an engine that is gone and whose end is noticed only at the run's own deadline.
TEST_F(socket_timeouts_test, EngineThatIsGoneIsNoticedBeforeALongDeadline)
{
    std::uint16_t port = 0;
    const auto engine = http_testing::raw_socket::listening(port);
    engine_client client(m_client, "http://127.0.0.1:" + std::to_string(port));
    engine_run run;
    run.path = "/v1/completions";
    run.body = "{}";
    run.deadline = {120'000};
    client.run(run, {}, {}, [](const engine_run_end &) {});
    std::vector<tcp_timeouts> timeouts;
    ASSERT_TRUE(runUntil([&] {
        timeouts = newTimeouts();
        return !timeouts.empty();
    }));
    runRounds(50);
    EXPECT_GE(toleratedMs(timeouts[0]), minToleratedMs) << testing::PrintToString(timeouts[0]);
    EXPECT_LE(detectionMs(timeouts[0]), maxEngineDetectionMs) << testing::PrintToString(timeouts[0]);
}

/// Guards against a library that sets a timeout of its own, or one of ours, which ends connections to
/// callers, peers and the store after a second of silence.
TEST_F(socket_timeouts_test, ConnectionsToCallersPeersAndTheStoreOutliveASecondOfSilence)
{
    listen();
    const auto caller = http_testing::raw_socket::connectTo(m_server->port()); // libmicrohttpd
    caller->send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this] {
        return !m_requests.empty();
    }));
    http_call call; // libcurl
    call.url = url("/watch");
    call.timeout = {};
    m_client.start(call, [](const http_result &) {});
    ASSERT_TRUE(runUntil([this] {
        return m_requests.size() == 2;
    }));
    error why;
    const auto front = front_server::listen(
        m_loop, http_testing::loopback, 0, [](const front_request &, const std::shared_ptr<front_reply> &) {},
        why);
    const auto frontCaller = http_testing::raw_socket::connectTo(front->port());
    ASSERT_TRUE(runUntil([&front] {
        return front->connections() == 1;
    }));
    const auto peer = startConnect({http_testing::loopback, front->port()}, why);
    ASSERT_TRUE(peer);
    runRounds(50);
    const auto timeouts = newTimeouts();
    EXPECT_GE(timeouts.size(), 7U) << "both ends of each connection";
    for (const tcp_timeouts &each : timeouts) {
        EXPECT_GE(toleratedMs(each), minToleratedMs) << testing::PrintToString(each);
    }
}

}
