#include "serving/decision_log.h"
#include "transport/backend_pool.h"
#include "transport/front_server.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fcntl.h>

namespace briarhead {

namespace {

using http_testing::raw_socket;

class wire_test : public http_testing::http_fixture
{
protected:
    std::unique_ptr<front_server> m_front;
    std::vector<front_request> m_taken;
    std::vector<std::shared_ptr<front_reply>> m_open;
    std::string m_seen;

    void serve(const front_limits &limits = {})
    {
        error why;
        m_front = front_server::listen(
            m_loop, http_testing::loopback, 0,
            [this](front_request request, std::shared_ptr<front_reply> reply) {
                m_taken.push_back(std::move(request));
                m_open.push_back(std::move(reply));
            },
            why);
        ASSERT_TRUE(m_front) << message(why);
        m_front->setLimits(limits);
    }
    /// Sends bytes and waits until the caller has seen `expected` or its connection ends.
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
};

const std::string head = "POST /a%20b/?q=%2F HTTP/1.1\r\nHost: h\r\n";

}

TEST_F(wire_test, ARequestIsTakenAsItWasSent)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send(head + "X-Odd:  v\r\nContent-Length: 3\r\n\r\nabc");
    ASSERT_TRUE(runUntil([&] {
        return m_taken.size() == 1;
    }));
    EXPECT_EQ(m_taken[0].head.target, "/a%20b/?q=%2F") << "neither decoded nor normalised";
    EXPECT_EQ(m_taken[0].body, "abc");
    m_open[0]->respond(200, {{"X-A", "b"}}, "done");
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(seen);
        return seen.ends_with("done");
    }));
    EXPECT_NE(seen.find("Content-Length: 4\r\n"), std::string::npos);
}

// A caller hides a second request in the body of its first, by lengths that two readers understand
// differently. A user would be answered with what someone else asked for.
TEST_F(wire_test, SmuggledLengthsAreRefusedAndNothingIsPassedOn)
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
    EXPECT_TRUE(m_taken.empty());
}

TEST_F(wire_test, LimitsOnHeadAndBodyAnswerWithTheirStatus)
{
    front_limits limits;
    limits.maxHeadBytes = 2'000;
    limits.maxBodyBytes = 1'000;
    serve(limits);
    EXPECT_EQ(
        exchange(head + "X: " + std::string(3'000, 'x') + "\r\n\r\n", "431").substr(0, 12), "HTTP/1.1 431");
    EXPECT_EQ(exchange(head + "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'x'), "413").substr(0, 12),
        "HTTP/1.1 413");
    EXPECT_TRUE(m_taken.empty());
}

// A caller sends its head a byte at a time and holds a connection for ever.
TEST_F(wire_test, ASlowHeadIsEnded)
{
    front_limits limits;
    limits.headTimeout = {150};
    serve(limits);
    EXPECT_EQ(exchange("POST / HTTP/1.1\r\nHo", "408").substr(0, 12), "HTTP/1.1 408");
}

TEST_F(wire_test, RequestsOnOneConnectionAreAnsweredInTurn)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_taken.size() == 1;
    }));
    runRounds(20);
    EXPECT_EQ(m_taken.size(), 1U) << "the second waits for the first answer";
    m_open[0]->respond(200, {}, "one");
    ASSERT_TRUE(runUntil([&] {
        return m_taken.size() == 2;
    }));
    EXPECT_EQ(m_taken[1].head.target, "/2");
}

// A caller leaves while its request is worked on. The server behind would go on for nobody.
TEST_F(wire_test, ACallerThatLeavesIsNoticedWhileItsRequestIsWorkedOn)
{
    serve();
    auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_open.size() == 1;
    }));
    bool gone = false;
    m_open[0]->onDisconnect([&] {
        gone = true;
    });
    caller->hangUp();
    EXPECT_TRUE(runUntil([&] {
        return gone;
    }));
}

TEST_F(wire_test, AStreamThatIsBrokenOffLooksBrokenOff)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_open.size() == 1;
    }));
    m_open[0]->begin(200, {});
    m_open[0]->write("data: 1\n\n");
    m_open[0]->abort();
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(seen);
    }));
    EXPECT_NE(seen.find("data: 1"), std::string::npos);
    EXPECT_EQ(seen.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(wire_test, AfterItsLastAnswerAnEndingServerClosesAndTakesNoMore)
{
    serve();
    const auto caller = raw_socket::connectTo(m_front->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_open.size() == 1;
    }));
    m_front->closeAfterResponses({200});
    m_front->stopListening();
    m_open[0]->respond(200, {}, "x");
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(seen);
    }));
    EXPECT_NE(seen.find("Connection: close"), std::string::npos);
}

namespace {

/// A backend server that answers each connection's requests with the bytes a test chose, and counts them.
class pool_test : public http_testing::http_fixture
{
protected:
    struct accepted
    {
        std::unique_ptr<raw_socket> socket;
        std::string in;
    };
    std::uint16_t m_port = 0;
    std::unique_ptr<raw_socket> m_listener = raw_socket::listening(m_port);
    std::vector<std::unique_ptr<accepted>> m_connections;
    backend_pool m_pool{m_loop};

    void takeConnections()
    {
        for (;;) {
            const int fd = accept4(m_listener->fd(), nullptr, nullptr, SOCK_NONBLOCK);
            if (fd < 0) {
                break;
            }
            m_connections.push_back(std::make_unique<accepted>());
            m_connections.back()->socket = std::make_unique<raw_socket>(fd);
        }
        for (const auto &one : m_connections) {
            if (one->socket->fd() >= 0) {
                one->socket->receive(one->in);
            }
        }
    }
    struct outcome_seen
    {
        bool done = false;
        send_end how = send_end::Unsent;
        int status = 0;
        std::string body;
    };
    std::shared_ptr<outcome_seen> send(const std::string &id)
    {
        auto seen = std::make_shared<outcome_seen>();
        send_handlers calls;
        calls.onHead = [seen, id](const http_head &answer) {
            const std::string *echoed = findField(answer, "x-id");
            if (echoed != nullptr && *echoed != id) {
                return false;
            }
            seen->status = answer.status;
            return true;
        };
        calls.onBody = [seen](const std::string &bytes) {
            seen->body += bytes;
        };
        calls.onEnd = [seen](send_end how, const error &) {
            seen->done = true;
            seen->how = how;
        };
        m_pool.start({http_testing::loopback, m_port},
            "POST /" + id + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", false, std::move(calls));
        return seen;
    }
    bool arrived(std::size_t connection, const std::string &id)
    {
        return runUntil([&] {
            takeConnections();
            return m_connections.size() > connection
                && m_connections[connection]->in.find("POST /" + id + " ") != std::string::npos;
        });
    }
    void answer(std::size_t connection, const std::string &bytes)
    {
        m_connections[connection]->socket->send(bytes);
    }
    bool ends(const outcome_seen &seen)
    {
        return runUntil([&] {
            takeConnections();
            return seen.done;
        });
    }
};

std::string whole(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id
        + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

TEST_F(pool_test, AConnectionIsKeptAfterAWholeAnswer)
{
    const auto first = send("a");
    ASSERT_TRUE(arrived(0, "a"));
    answer(0, whole("a", "one"));
    ASSERT_TRUE(ends(*first));
    EXPECT_EQ(first->how, send_end::Whole);
    EXPECT_EQ(first->body, "one");
    const auto second = send("b");
    ASSERT_TRUE(arrived(0, "b"));
    answer(0, whole("b", "two"));
    ASSERT_TRUE(ends(*second));
    EXPECT_EQ(second->body, "two");
    EXPECT_EQ(m_connections.size(), 1U);
}

// A server sends a second answer behind the first. The next user on that connection would get the first one's
// answer.
TEST_F(pool_test, BytesBehindAnAnswerEndTheConnection)
{
    const auto first = send("a");
    ASSERT_TRUE(arrived(0, "a"));
    answer(0, whole("a", "one") + whole("a", "again"));
    ASSERT_TRUE(ends(*first));
    EXPECT_EQ(first->body, "one");
    const auto second = send("b");
    EXPECT_TRUE(arrived(1, "b"));
}

// The same, but the second answer comes late: just where the next one is expected. Its id tells.
TEST_F(pool_test, ALateAnswerToAnotherRequestIsDroppedAndTheOwnOneTaken)
{
    const auto first = send("a");
    ASSERT_TRUE(arrived(0, "a"));
    answer(0, whole("a", "one"));
    ASSERT_TRUE(ends(*first));
    const auto second = send("b");
    ASSERT_TRUE(arrived(0, "b"));
    answer(0, whole("a", "again") + whole("b", "two"));
    ASSERT_TRUE(ends(*second));
    EXPECT_EQ(second->how, send_end::Whole);
    EXPECT_EQ(second->body, "two");
    const auto third = send("c");
    EXPECT_TRUE(arrived(1, "c")) << "a connection that was out of step once isn't used again";
}

TEST_F(pool_test, StrayBytesOnAnIdleConnectionEndIt)
{
    const auto first = send("a");
    ASSERT_TRUE(arrived(0, "a"));
    answer(0, whole("a", "one"));
    ASSERT_TRUE(ends(*first));
    answer(0, whole("a", "again"));
    runRounds(30);
    const auto second = send("b");
    EXPECT_TRUE(arrived(1, "b"));
}

// An answer without a length ends with its connection. One that is reset on the way is not whole, though its
// bytes so far look like it.
TEST_F(pool_test, AnAnswerWithoutALengthIsWholeOnlyAtAnOrderlyEnd)
{
    const std::string open = "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nsome";
    const auto orderly = send("a");
    ASSERT_TRUE(arrived(0, "a"));
    answer(0, open);
    m_connections[0]->socket->hangUp();
    ASSERT_TRUE(ends(*orderly));
    EXPECT_EQ(orderly->how, send_end::Whole);
    const auto cut = send("a");
    ASSERT_TRUE(arrived(1, "a"));
    answer(1, open);
    runRounds(20);
    m_connections[1]->socket->reset();
    ASSERT_TRUE(ends(*cut));
    EXPECT_EQ(cut->how, send_end::Broken);
}

TEST_F(pool_test, AnAnswerThatEndsEarlyIsBroken)
{
    for (const std::string bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", "HTTP/1.1 200 O",
             "rubbish\r\n\r\n"}) {
        const auto seen = send("a");
        const std::size_t at = m_connections.size();
        ASSERT_TRUE(arrived(at, "a"));
        answer(at, bytes);
        m_connections[at]->socket->hangUp();
        ASSERT_TRUE(ends(*seen));
        EXPECT_EQ(seen->how, send_end::Broken) << bytes;
    }
}

// A kept connection is dead when it is used. What may run only once must not be sent a second time behind
// anyone's back.
TEST_F(pool_test, NothingIsSentTwice)
{
    const auto first = send("a");
    ASSERT_TRUE(arrived(0, "a"));
    answer(0, whole("a", "one"));
    ASSERT_TRUE(ends(*first));
    const auto second = send("b");
    ASSERT_TRUE(arrived(0, "b"));
    m_connections[0]->socket->reset();
    ASSERT_TRUE(ends(*second));
    EXPECT_EQ(second->how, send_end::Broken);
    runRounds(50);
    takeConnections();
    EXPECT_EQ(m_connections.size(), 1U);
}

// A server rejects a long request before it is in, and goes on reading on that connection. The next user's
// request would be taken for the rest of the body.
TEST_F(pool_test, AnAnswerBeforeTheBodyIsInEndsTheConnection)
{
    auto seen = std::make_shared<outcome_seen>();
    send_handlers calls;
    calls.onHead = [seen](const http_head &answer) {
        seen->status = answer.status;
        return true;
    };
    calls.onBody = [](const std::string &) {};
    calls.onEnd = [seen](send_end how, const error &) {
        seen->done = true;
        seen->how = how;
    };
    constexpr std::size_t bodyBytes = 64 * 1024 * 1024; // more than the sockets' buffers take
    m_pool.start({http_testing::loopback, m_port},
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
            + std::string(bodyBytes, 'x'),
        false, std::move(calls));
    ASSERT_TRUE(runUntil([&] {
        const int fd = accept4(m_listener->fd(), nullptr, nullptr, SOCK_NONBLOCK);
        if (fd >= 0) {
            m_connections.push_back(std::make_unique<accepted>());
            m_connections.back()->socket = std::make_unique<raw_socket>(fd);
        }
        return !m_connections.empty();
    }));
    answer(0, whole("a", "too long"));
    ASSERT_TRUE(runUntil([&] {
        return seen->done;
    }));
    EXPECT_EQ(seen->how, send_end::Whole);
    EXPECT_EQ(seen->status, 200);
    const auto next = send("b");
    ASSERT_TRUE(arrived(1, "b"));
    answer(1, whole("b", "two"));
    ASSERT_TRUE(ends(*next));
    EXPECT_EQ(next->body, "two");
}

TEST_F(pool_test, AServerThatIsNotThereGotNothing)
{
    m_listener->hangUp();
    const auto seen = send("a");
    ASSERT_TRUE(ends(*seen));
    EXPECT_EQ(seen->how, send_end::Unsent);
}

TEST_F(pool_test, ACancelledSendClosesItsConnection)
{
    send_handlers calls;
    calls.onHead = [](const http_head &) {
        return true;
    };
    calls.onBody = [](const std::string &) {};
    calls.onEnd = [](send_end, const error &) {
        FAIL() << "a cancelled send tells nothing";
    };
    const auto id =
        m_pool.start({http_testing::loopback, m_port}, "POST /a HTTP/1.1\r\nHost: h\r\n\r\n", false, calls);
    ASSERT_TRUE(arrived(0, "a"));
    m_pool.cancel(id);
    EXPECT_TRUE(runUntil([&] {
        return !m_connections[0]->socket->receive(m_connections[0]->in);
    }));
}

// The reader of the log stops. The daemon must not wait for it, and what is lost is counted.
TEST(DecisionLog, NeverWaitsForItsReader)
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

TEST(DecisionLog, LeavesRoomForWhatMattersAndSaysWhatWasDropped)
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

}
