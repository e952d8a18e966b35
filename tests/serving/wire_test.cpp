#include "serving/decision_log.h"
#include "transport/backend_pool.h"
#include "transport/front_server.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <fcntl.h>
#include <sys/resource.h>

#include <filesystem>
#include <limits>

namespace briarhead {

namespace {

using http_testing::raw_socket;

class wire_test : public http_testing::http_fixture
{
protected:
    std::unique_ptr<front_server> m_front;
    std::vector<front_request> m_requests;
    std::vector<std::shared_ptr<front_reply>> m_replies;
    std::string m_seen;

    void serve(const front_limits &limits = {})
    {
        error why;
        m_front = front_server::listen(
            m_loop, http_testing::loopback, 0,
            [this](front_request request, std::shared_ptr<front_reply> reply) {
                m_requests.push_back(std::move(request));
                m_replies.push_back(std::move(reply));
            },
            why);
        ASSERT_TRUE(m_front) << message(why);
        m_front->setLimits(limits);
    }
    /// Sends bytes and returns what was received until it contains `expected` or the connection closes.
    std::string exchange(const std::string &bytes, const std::string &expected)
    {
        const auto caller = raw_socket::connectTo(m_front->port());
        caller->send(bytes);
        std::string seen;
        EXPECT_TRUE(runUntil([&] {
            const bool open = caller->receive(seen);
            return seen.find(expected) != std::string::npos || !open;
        }));
        return seen;
    }
    std::unique_ptr<raw_socket> connectAndSend()
    {
        auto caller = raw_socket::connectTo(m_front->port());
        caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        return caller;
    }
    /// Answers all requests that have arrived until the caller has its answer.
    bool isAnswered(const raw_socket &caller)
    {
        std::string seen;
        return runUntil([&] {
            for (const auto &reply : m_replies) {
                reply->respond(200, {}, "ok");
            }
            const bool open = caller.receive(seen);
            return !open || seen.ends_with("ok");
        }) && seen.ends_with("ok");
    }
    static double processorSeconds()
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        const auto seconds = [](const timeval &each) {
            return static_cast<double>(each.tv_sec) + static_cast<double>(each.tv_usec) / 1e6;
        };
        return seconds(usage.ru_utime) + seconds(usage.ru_stime);
    }
};

/// Limits the process to the descriptors that are open.
class descriptor_limit
{
public:
    descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        int highest = 0;
        for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            highest = std::max(highest, std::stoi(entry.path().filename()));
        }
        rlimit limited = m_before;
        limited.rlim_cur = static_cast<rlim_t>(highest) + 1;
        setrlimit(RLIMIT_NOFILE, &limited);
        for (int fd = dup(0); fd >= 0; fd = dup(0)) {
            m_fillers.push_back(fd);
        }
    }
    ~descriptor_limit()
    {
        setrlimit(RLIMIT_NOFILE, &m_before);
        for (const int fd : m_fillers) {
            close(fd);
        }
    }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit m_before{};
    std::vector<int> m_fillers;
};

const std::string head = "POST /a%20b/?q=%2F HTTP/1.1\r\nHost: h\r\n";

}

TEST_F(wire_test, RequestIsPassedOnAsItWasSent)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send(head + "X-Odd:  v\r\nContent-Length: 3\r\n\r\nabc");
    ASSERT_TRUE(runUntil([&] {
        return m_requests.size() == 1;
    }));
    EXPECT_EQ(m_requests[0].head.target, "/a%20b/?q=%2F") << "neither decoded nor normalised";
    EXPECT_EQ(m_requests[0].body, "abc");
    m_replies[0]->respond(200, {{"X-A", "b"}}, "done");
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(seen);
        return seen.ends_with("done");
    }));
    EXPECT_NE(seen.find("Content-Length: 4\r\n"), std::string::npos);
}

// Request smuggling: a body hides a second request behind lengths that two parsers read differently. Another
// caller could then receive the response to the hidden request.
TEST_F(wire_test, AmbiguousLengthsAreRejectedAndNothingIsPassedOn)
{
    serve();
    const std::string hidden = "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const std::string fields : {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
             "Content-Length: 5\r\nContent-Length: 60\r\n", "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding: identity\r\n", "Content-Length: -1\r\n", "Content-Length: 5, 6\r\n",
             "Host: other\r\nContent-Length: 0\r\n"}) {
        std::string bytes = head;
        bytes.append(fields).append("\r\n").append(hidden);
        const std::string seen = exchange(bytes, "HTTP/1.1 400");
        EXPECT_EQ(seen.substr(0, 12), "HTTP/1.1 400") << fields;
        EXPECT_NE(seen.find("Connection: close"), std::string::npos) << fields;
    }
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(wire_test, TooLargeHeadOrBodyGetsItsStatus)
{
    front_limits limits;
    limits.maxHeadBytes = 2'000;
    limits.maxBodyBytes = 1'000;
    serve(limits);
    EXPECT_EQ(
        exchange(head + "X: " + std::string(3'000, 'x') + "\r\n\r\n", "431").substr(0, 12), "HTTP/1.1 431");
    EXPECT_EQ(exchange(head + "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'x'), "413").substr(0, 12),
        "HTTP/1.1 413");
    EXPECT_TRUE(m_requests.empty());
}

// A caller that sends its head slowly must not hold a connection forever.
TEST_F(wire_test, SlowHeadTimesOut)
{
    front_limits limits;
    limits.headTimeout = {150};
    serve(limits);
    EXPECT_EQ(exchange("POST / HTTP/1.1\r\nHo", "408").substr(0, 12), "HTTP/1.1 408");
}

TEST_F(wire_test, PipelinedRequestsAreHandledOneAtATime)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_requests.size() == 1;
    }));
    runRounds(20);
    EXPECT_EQ(m_requests.size(), 1U) << "the second request waits for the first response";
    m_replies[0]->respond(200, {}, "one");
    ASSERT_TRUE(runUntil([&] {
        return m_requests.size() == 2;
    }));
    EXPECT_EQ(m_requests[1].head.target, "/2");
}

// A caller disconnects during its request. Otherwise the backend server would go on generating for nobody.
TEST_F(wire_test, CallerDisconnectIsReportedDuringItsRequest)
{
    serve();
    auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    bool disconnected = false;
    m_replies[0]->onDisconnect([&] {
        disconnected = true;
    });
    caller->hangUp();
    EXPECT_TRUE(runUntil([&] {
        return disconnected;
    }));
}

TEST_F(wire_test, AbortedStreamHasNoFinalChunk)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {}, body_framing::Chunked);
    m_replies[0]->write("data: 1\n\n");
    m_replies[0]->abort();
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(seen);
    }));
    EXPECT_NE(seen.find("data: 1"), std::string::npos);
    EXPECT_EQ(seen.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(wire_test, StoppingServerClosesAfterItsLastResponse)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_front->closeAfterResponses({200});
    m_front->stopListening();
    m_replies[0]->respond(200, {}, "x");
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(seen);
    }));
    EXPECT_NE(seen.find("Connection: close"), std::string::npos);
}

namespace {

/// A backend server that sends the bytes that a test chooses on each connection.
class pool_test : public http_testing::http_fixture
{
protected:
    struct accepted_connection
    {
        std::unique_ptr<raw_socket> socket;
        std::string received;
    };
    std::uint16_t m_port = 0;
    std::unique_ptr<raw_socket> m_listener = raw_socket::listening(m_port);
    std::vector<std::unique_ptr<accepted_connection>> m_connections;
    backend_pool m_pool{m_loop};

    void acceptAndReceive()
    {
        for (;;) {
            const int fd = accept4(m_listener->fd(), nullptr, nullptr, SOCK_NONBLOCK);
            if (fd < 0) {
                break;
            }
            m_connections.push_back(std::make_unique<accepted_connection>());
            m_connections.back()->socket = std::make_unique<raw_socket>(fd);
        }
        for (const auto &connection : m_connections) {
            if (connection->socket->fd() >= 0) {
                connection->socket->receive(connection->received);
            }
        }
    }
    struct send_outcome
    {
        bool done = false;
        send_result how = send_result::NotSent;
        int status = 0;
        std::string body;
    };
    std::shared_ptr<send_outcome> send(const std::string &id)
    {
        auto outcome = std::make_shared<send_outcome>();
        send_handlers calls;
        calls.onHead = [outcome, id](const http_head &response) {
            const std::string *echoed = findField(response, "x-id");
            if (echoed != nullptr && *echoed != id) {
                return false;
            }
            outcome->status = response.status;
            return true;
        };
        calls.onBody = [outcome](const std::string &bytes) {
            outcome->body += bytes;
        };
        calls.onEnd = [outcome](const response_end &end, const error &) {
            outcome->done = true;
            outcome->how = resultOf(end);
        };
        m_pool.start({http_testing::loopback, m_port},
            "POST /" + id + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", false, std::move(calls));
        return outcome;
    }
    bool runUntilReceived(std::size_t connection, const std::string &id)
    {
        return runUntil([&] {
            acceptAndReceive();
            return m_connections.size() > connection
                && m_connections[connection]->received.find("POST /" + id + " ") != std::string::npos;
        });
    }
    void respond(std::size_t connection, const std::string &bytes)
    {
        m_connections[connection]->socket->send(bytes);
    }
    bool runUntilDone(const send_outcome &outcome)
    {
        return runUntil([&] {
            acceptAndReceive();
            return outcome.done;
        });
    }
};

std::string completeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id
        + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

TEST_F(pool_test, ConnectionIsReusedAfterACompleteResponse)
{
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0, completeResponse("a", "one"));
    ASSERT_TRUE(runUntilDone(*first));
    EXPECT_EQ(first->how, send_result::Complete);
    EXPECT_EQ(first->body, "one");
    const auto second = send("b");
    ASSERT_TRUE(runUntilReceived(0, "b"));
    respond(0, completeResponse("b", "two"));
    ASSERT_TRUE(runUntilDone(*second));
    EXPECT_EQ(second->body, "two");
    EXPECT_EQ(m_connections.size(), 1U);
}

// A caller of the pool that prefers open connections would be sent to one that is closed, in use or expired.
TEST_F(pool_test, OnlyAnIdleConnectionIsReportedAsReusable)
{
    const peer_address server{http_testing::loopback, m_port};
    EXPECT_FALSE(m_pool.reusableFor(server));
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    EXPECT_FALSE(m_pool.reusableFor(server));
    respond(0, completeResponse("a", "one")); // announces a timeout of 5 s
    ASSERT_TRUE(runUntilDone(*first));
    EXPECT_EQ(m_pool.keepTime(server).count, 4'000);
    ASSERT_TRUE(m_pool.reusableFor(server));
    EXPECT_LE(m_pool.reusableFor(server)->count, 4'000);
    m_connections[0]->socket->hangUp();
    runRounds(30);
    EXPECT_FALSE(m_pool.reusableFor(server));
    m_pool.forget(server);
    EXPECT_EQ(m_pool.keepTime(server).count, 0);
}

// Half of a timeout of 2 s was unused with a fixed margin of 1 s, so that a daemon with one request a second
// opened a connection for each third one.
TEST_F(pool_test, ConnectionsAreKeptForMostOfAShortTimeout)
{
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0, "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(runUntilDone(*first));
    EXPECT_EQ(m_pool.keepTime({http_testing::loopback, m_port}).count, 1'600);
}

// A server sends a second response after the first. The next request on that connection would receive it.
TEST_F(pool_test, BytesAfterAResponseCloseTheConnection)
{
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0, completeResponse("a", "one") + completeResponse("a", "again"));
    ASSERT_TRUE(runUntilDone(*first));
    EXPECT_EQ(first->body, "one");
    const auto second = send("b");
    EXPECT_TRUE(runUntilReceived(1, "b"));
}

// As above, but the second response arrives when the next request's is expected. It is recognised by its id.
TEST_F(pool_test, LateResponseToAnotherRequestIsSkipped)
{
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0, completeResponse("a", "one"));
    ASSERT_TRUE(runUntilDone(*first));
    const auto second = send("b");
    ASSERT_TRUE(runUntilReceived(0, "b"));
    respond(0, completeResponse("a", "again") + completeResponse("b", "two"));
    ASSERT_TRUE(runUntilDone(*second));
    EXPECT_EQ(second->how, send_result::Complete);
    EXPECT_EQ(second->body, "two");
    const auto third = send("c");
    EXPECT_TRUE(runUntilReceived(1, "c")) << "a connection that was out of step is not reused";
}

TEST_F(pool_test, StrayBytesOnAnIdleConnectionCloseIt)
{
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0, completeResponse("a", "one"));
    ASSERT_TRUE(runUntilDone(*first));
    respond(0, completeResponse("a", "again"));
    runRounds(30);
    const auto second = send("b");
    EXPECT_TRUE(runUntilReceived(1, "b"));
}

// A response without a length ends with its connection. An orderly close doesn't prove that it is complete,
// and if the connection is reset, it is incomplete, although its bytes so far look complete.
TEST_F(pool_test, ResponseWithoutLengthIsNeverCompleteAndBrokenByAReset)
{
    const std::string open = "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nsome";
    const auto closed = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0, open);
    m_connections[0]->socket->hangUp();
    ASSERT_TRUE(runUntilDone(*closed));
    EXPECT_EQ(closed->how, send_result::Unknown);
    const auto reset = send("a");
    ASSERT_TRUE(runUntilReceived(1, "a"));
    respond(1, open);
    runRounds(20);
    m_connections[1]->socket->reset();
    ASSERT_TRUE(runUntilDone(*reset));
    EXPECT_EQ(reset->how, send_result::Broken);
}

TEST_F(pool_test, TruncatedResponseIsBroken)
{
    for (const std::string bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", "HTTP/1.1 200 O",
             "rubbish\r\n\r\n"}) {
        const auto outcome = send("a");
        const std::size_t at = m_connections.size();
        ASSERT_TRUE(runUntilReceived(at, "a"));
        respond(at, bytes);
        m_connections[at]->socket->hangUp();
        ASSERT_TRUE(runUntilDone(*outcome));
        EXPECT_EQ(outcome->how, send_result::Broken) << bytes;
    }
}

// A reused connection turns out to be dead. The request may have been executed, so the pool must not send it
// again.
TEST_F(pool_test, RequestOnADeadConnectionIsNotSentAgain)
{
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0, completeResponse("a", "one"));
    ASSERT_TRUE(runUntilDone(*first));
    const auto second = send("b");
    ASSERT_TRUE(runUntilReceived(0, "b"));
    m_connections[0]->socket->reset();
    ASSERT_TRUE(runUntilDone(*second));
    EXPECT_EQ(second->how, send_result::Broken);
    runRounds(50);
    acceptAndReceive();
    EXPECT_EQ(m_connections.size(), 1U);
}

// A server rejects a long request before its end and keeps reading from the connection. The next request on
// it would be read as the rest of the body.
TEST_F(pool_test, ResponseBeforeTheEndOfTheBodyClosesTheConnection)
{
    auto outcome = std::make_shared<send_outcome>();
    send_handlers calls;
    calls.onHead = [outcome](const http_head &response) {
        outcome->status = response.status;
        return true;
    };
    calls.onBody = [](const std::string &) {};
    calls.onEnd = [outcome](const response_end &end, const error &) {
        outcome->done = true;
        outcome->how = resultOf(end);
    };
    constexpr std::size_t bodyBytes = 64 * 1024 * 1024; // more than the socket buffers hold
    m_pool.start({http_testing::loopback, m_port},
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
            + std::string(bodyBytes, 'x'),
        false, std::move(calls));
    ASSERT_TRUE(runUntil([&] {
        const int fd = accept4(m_listener->fd(), nullptr, nullptr, SOCK_NONBLOCK);
        if (fd >= 0) {
            m_connections.push_back(std::make_unique<accepted_connection>());
            m_connections.back()->socket = std::make_unique<raw_socket>(fd);
        }
        return !m_connections.empty();
    }));
    respond(0, completeResponse("a", "too long"));
    ASSERT_TRUE(runUntil([&] {
        return outcome->done;
    }));
    EXPECT_EQ(outcome->how, send_result::Complete);
    EXPECT_EQ(outcome->status, 200);
    const auto next = send("b");
    ASSERT_TRUE(runUntilReceived(1, "b"));
    respond(1, completeResponse("b", "two"));
    ASSERT_TRUE(runUntilDone(*next));
    EXPECT_EQ(next->body, "two");
}

TEST_F(pool_test, SendToAClosedPortIsUnsent)
{
    m_listener->hangUp();
    const auto outcome = send("a");
    ASSERT_TRUE(runUntilDone(*outcome));
    EXPECT_EQ(outcome->how, send_result::NotSent);
}

TEST_F(pool_test, CancelledSendClosesItsConnection)
{
    send_handlers calls;
    calls.onHead = [](const http_head &) {
        return true;
    };
    calls.onBody = [](const std::string &) {};
    calls.onEnd = [](const response_end &, const error &) {
        FAIL() << "a cancelled send must not call back";
    };
    const auto id =
        m_pool.start({http_testing::loopback, m_port}, "POST /a HTTP/1.1\r\nHost: h\r\n\r\n", false, calls);
    ASSERT_TRUE(runUntilReceived(0, "a"));
    m_pool.cancel(id);
    EXPECT_TRUE(runUntil([&] {
        return !m_connections[0]->socket->receive(m_connections[0]->received);
    }));
}

// All descriptors are in use while connections wait in the listen queue. The loop must not spin meanwhile,
// and must take them once there are descriptors again.
TEST_F(wire_test, DoesNotSpinWhileDescriptorsAreExhausted)
{
    serve();
    std::vector<std::unique_ptr<raw_socket>> callers;
    callers.reserve(3);
    for (int i = 0; i < 3; ++i) {
        callers.push_back(connectAndSend());
    }
    {
        const descriptor_limit limit;
        const double before = processorSeconds();
        const millis began = bootNow();
        runRounds(500);
        const double elapsed = static_cast<double>((bootNow() - began).count) / 1'000;
        EXPECT_LT(processorSeconds() - before, elapsed / 4);
        EXPECT_EQ(m_requests.size(), 0U);
    }
    for (const auto &caller : callers) {
        EXPECT_TRUE(isAnswered(*caller));
    }
}

// Callers open connections and send nothing. At the limit they must give way to callers with requests, while
// connections that have carried requests stay open.
TEST_F(wire_test, UnusedConnectionsGiveWayAtTheLimit)
{
    serve();
    m_front->setMaxConnections(4);
    const auto kept = connectAndSend();
    ASSERT_TRUE(isAnswered(*kept));
    std::vector<std::unique_ptr<raw_socket>> silent;
    silent.reserve(3);
    for (int i = 0; i < 3; ++i) {
        silent.push_back(raw_socket::connectTo(m_front->port()));
    }
    const auto tooEarly = connectAndSend();
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !tooEarly->receive(seen);
    })) << "the silent ones are new and may still send";
    EXPECT_EQ(seen, "");
    runRounds(1'100);
    const auto later = connectAndSend();
    EXPECT_TRUE(isAnswered(*later));
    kept->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(isAnswered(*kept));
    EXPECT_EQ(m_front->closedUnread(), 2U);
}

TEST_F(wire_test, AConnectionThatIsNotAdmittedIsClosedUnread)
{
    serve();
    bool admits = false;
    m_front->setAdmission([&admits] {
        return admits;
    });
    const auto refused = connectAndSend();
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !refused->receive(seen);
    }));
    EXPECT_EQ(seen, "");
    EXPECT_EQ(m_requests.size(), 0U);
    admits = true;
    EXPECT_TRUE(isAnswered(*connectAndSend()));
}

// The log's reader stops reading. The daemon must not block on it, and counts the dropped lines.
TEST(DecisionLog, NeverBlocksOnItsReader)
{
    int ends[2] = {};
    ASSERT_EQ(pipe(ends), 0);
    decision_log log(ends[1], "n1");
    for (int i = 0; i < 20'000; ++i) {
        log.important("test.line").add("text", std::string(500, 'x')).add("number", i);
    }
    EXPECT_GT(log.dropped(), 0U);
    close(ends[0]);
    close(ends[1]);
}

TEST(DecisionLog, KeepsImportantLinesAndReportsDroppedOnes)
{
    int ends[2] = {};
    ASSERT_EQ(pipe(ends), 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    decision_log log(ends[1], "n1");
    for (int i = 0; i < 1'000; ++i) {
        log.ordinary("ordinary.line");
    }
    log.important("important.line").add("why", "quote \" and \x01 control");
    std::string text(256 * 1024, '\0');
    std::string all;
    for (ssize_t got = 0; (got = read(ends[0], text.data(), text.size())) > 0;) {
        all.append(text.data(), static_cast<std::size_t>(got));
    }
    EXPECT_NE(all.find("important.line"), std::string::npos);
    EXPECT_NE(all.find("\"lines_dropped\":"), std::string::npos);
    EXPECT_NE(all.find("\\u0001"), std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

// Guards against a number that is longer than the buffer it is formatted in, whose line then has other
// memory.
TEST(DecisionLog, WritesNumbersOfAnySizeWhole)
{
    int ends[2] = {};
    ASSERT_EQ(pipe(ends), 0);
    decision_log log(ends[1], "n1");
    log.important("test.line")
        .add("large", 1e60)
        .add("small", -1e300)
        .add("none", std::numeric_limits<double>::quiet_NaN())
        .add("last", 1.5);
    std::string text(64 * 1024, '\0');
    const ssize_t count = read(ends[0], text.data(), text.size());
    ASSERT_GT(count, 0);
    text.resize(static_cast<std::size_t>(count));
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    ASSERT_FALSE(parsed.is_discarded()) << text;
    EXPECT_EQ(parsed["large"], 1e60);
    EXPECT_EQ(parsed["small"], -1e300);
    EXPECT_TRUE(parsed["none"].is_null());
    EXPECT_EQ(parsed["last"], 1.5);
    close(ends[0]);
    close(ends[1]);
}

// Guards against a time-out whose milliseconds overflow, and a connection that is kept for good.
TEST_F(pool_test, HugeTimeoutOfAServerIsBounded)
{
    const auto first = send("a");
    ASSERT_TRUE(runUntilReceived(0, "a"));
    respond(0,
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=9223372036854775807\r\n"
        "Content-Length: 0\r\n\r\n");
    ASSERT_TRUE(runUntilDone(*first));
    const millis kept = m_pool.keepTime({http_testing::loopback, m_port});
    EXPECT_GT(kept, millis{0});
    EXPECT_LE(kept, millis{24LL * 3'600 * 1'000});
}

}
