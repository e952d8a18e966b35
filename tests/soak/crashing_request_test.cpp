#include "coordination/crash_history.h"
#include "soak/crashing_fixture.h"

// What users saw: a server ended about once a second, and with each the answers of all its callers. One
// caller sent the same bytes again and again, each attempt under a new id and at whatever daemon came next. A
// server that began to run them crashed, and the next attempt went to the next server, for as long as servers
// were left. Cause: a daemon that lost a server in the middle of an answer put it down to the server alone;
// nothing that it learned of the request outlived the attempt, or reached another daemon. What pointed there:
// at each end one stream had its head and no event yet, always of the same route, adapter and length, and no
// daemon had repeated it. What proves it: the ends stop once its like is refused.
namespace briarhead::soak {

namespace {

using http_testing::raw_socket;

/// A request may have ended so many servers before it must be known for it.
constexpr std::size_t endsAllowed = 3;
const std::string fatalBody = "fatal";

struct kind_of_request
{
    const char *name;
    const char *path;
    bool model;
};

std::ostream &operator<<(std::ostream &out, const kind_of_request &kind)
{
    return out << kind.path;
}

class crashing_request_test : public crashing_fixture, public testing::WithParamInterface<kind_of_request>
{
protected:
    std::string m_fatalBody = fatalBody; ///< empty once the servers bear it

    void prepareServer(backend_standin &server, const std::string &service) override
    {
        server.fatalBody = m_fatalBody;
        crashUnderFatalRequests(server, service);
    }
    void restartDaemons()
    {
        for (daemon_process &daemon : m_daemons) {
            stop(daemon);
        }
        startDaemons();
    }
    /// The whole answer, as far as it came.
    std::string answerTo(const daemon_process &daemon, const std::string &body)
    {
        const auto caller = raw_socket::connectTo(daemon.frontPort);
        std::string text = std::string("POST ") + GetParam().path
            + "x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: id" + std::to_string(++m_lastId)
            + "\r\nX-Briarhead-Deadline-Ms: 4000\r\n";
        text += GetParam().model ? "X-Briarhead-Model: m0/a1\r\nX-Briarhead-Token-Count: 500,50\r\n" : "";
        caller->send(
            text + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        std::string seen;
        EXPECT_TRUE(runUntil([&] {
            return !caller->receive(seen);
        })) << logOf(daemon);
        return seen;
    }
    void crashServers(std::size_t count)
    {
        const millis end = bootNow() + http_testing::testTimeout;
        for (std::size_t i = 0; m_crashes < count && bootNow() < end; ++i) {
            answerTo(m_daemons[i % m_daemons.size()], fatalBody);
        }
        ASSERT_GE(m_crashes, count);
    }
    /// Two attempts at each daemon; all are to be refused for good.
    void expectRefused()
    {
        for (std::size_t i = 0; i < 2 * m_daemons.size(); ++i) {
            const daemon_process &daemon = m_daemons[i % m_daemons.size()];
            const std::string answer = answerTo(daemon, fatalBody);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << daemon.name << ": " << answer;
            EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
        }
    }
};

}

TEST_P(crashing_request_test, ReachesHardlyAServerOnceThreeHaveEndedUnderIt)
{
    crashServers(endsAllowed);
    runFor(contact);
    const std::size_t before = m_crashes;
    expectRefused();
    EXPECT_LE(m_crashes - before, sendsAllowed);
    for (const daemon_process &daemon : m_daemons) {
        EXPECT_TRUE(answerTo(daemon, "another").starts_with("HTTP/1.1 200")) << logOf(daemon);
    }
}

// The same while all daemons are killed at once and start anew: they keep nothing themselves.
TEST_P(crashing_request_test, IsStillKnownAfterAllDaemonsHaveBeenKilled)
{
    crashServers(endsAllowed);
    runFor(contact);
    const std::size_t before = m_crashes;
    restartDaemons();
    expectRefused();
    EXPECT_LE(m_crashes - before, sendsAllowed);
}

// Three servers ended for a reason of their own while each ran what many callers ask for, or the servers were
// mended. Callers must not be refused for long: one attempt is let through, and its answer clears the
// request.
TEST_P(crashing_request_test, IsServedAgainOnceServersBearIt)
{
    crashServers(endsAllowed);
    m_fatalBody.clear();
    for (const auto &[id, server] : m_servers) {
        server->fatalBody.clear();
    }
    const millis end = bootNow() + probeDelays[0] + http_testing::testTimeout;
    std::size_t served = 0;
    while (served < m_daemons.size() && bootNow() < end) {
        runRounds(100);
        const bool isServed = answerTo(m_daemons[served], fatalBody).starts_with("HTTP/1.1 200");
        served += isServed ? 1 : 0;
    }
    EXPECT_EQ(served, m_daemons.size()) << logOf(m_daemons[served % m_daemons.size()]);
}

INSTANTIATE_TEST_SUITE_P(Kinds, crashing_request_test,
    testing::Values(kind_of_request{"Stream", "/gen/", true},
        kind_of_request{"ResumableStream", "/resume/", true}, kind_of_request{"Idempotent", "/safe/", false},
        kind_of_request{"NonIdempotent", "/once/", false}),
    [](const testing::TestParamInfo<kind_of_request> &each) {
        return each.param.name;
    });

}
