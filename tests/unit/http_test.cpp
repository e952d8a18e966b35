#include "transport/http_client.h"
#include "transport/http_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <set>

namespace briarhead {
namespace {

/// Long enough for a loaded machine; a test that reaches it has failed.
constexpr millis patience{20'000};
constexpr std::size_t bodyLimit = 100'000;
constexpr auto loopback = "127.0.0.1";

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, loopback, &address.sin_addr);
    return address;
}

/// A plain TCP socket, for what no HTTP client would send.
class raw_socket
{
public:
    explicit raw_socket(int fd)
        : m_fd(fd)
    {
    }
    ~raw_socket()
    {
        hangUp();
    }
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    static std::unique_ptr<raw_socket> connectTo(std::uint16_t port)
    {
        auto made = std::make_unique<raw_socket>(socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = loopbackAddress(port);
        EXPECT_EQ(connect(made->m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
        return made;
    }
    /// A listening socket on a free port; `port` tells which.
    static std::unique_ptr<raw_socket> listening(std::uint16_t &port)
    {
        auto made = std::make_unique<raw_socket>(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        sockaddr_in address = loopbackAddress(0);
        socklen_t length = sizeof(address);
        EXPECT_EQ(bind(made->m_fd, reinterpret_cast<const sockaddr *>(&address), length), 0);
        EXPECT_EQ(listen(made->m_fd, 16), 0);
        EXPECT_EQ(getsockname(made->m_fd, reinterpret_cast<sockaddr *>(&address), &length), 0);
        port = ntohs(address.sin_port);
        return made;
    }

    int fd() const
    {
        return m_fd;
    }
    void send(std::string_view bytes) const
    {
        EXPECT_EQ(::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    /// What has arrived so far is appended; false once the peer closed.
    bool receive(std::string &into) const
    {
        std::array<char, 4096> buffer{};
        for (;;) {
            const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count <= 0) {
                return count < 0 && errno == EAGAIN;
            }
            into.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    void hangUp()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
        m_fd = -1;
    }
    /// Closes with a reset in place of an orderly end.
    void reset()
    {
        const linger hard{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        hangUp();
    }

private:
    int m_fd;
};

class http : public testing::Test
{
protected:
    loop m_loop;
    http_client m_client{m_loop};
    std::unique_ptr<http_server> m_server;
    std::vector<std::shared_ptr<http_reply>> m_replies;
    std::vector<http_request> m_requests;

    /// A server that keeps each request and its reply for the test.
    void listen()
    {
        listen([this](http_request request, std::shared_ptr<http_reply> reply) {
            m_requests.push_back(std::move(request));
            m_replies.push_back(std::move(reply));
        });
    }
    void listen(http_server::handler onRequest)
    {
        error why;
        m_server = http_server::listen(m_loop, loopback, 0, bodyLimit, std::move(onRequest), why);
        ASSERT_TRUE(m_server) << message(why);
        ASSERT_NE(m_server->port(), 0);
    }

    std::string url(const std::string &path) const
    {
        return "http://127.0.0.1:" + std::to_string(m_server->port()) + path;
    }

    /// Runs the loop until the condition holds; false after the bound.
    bool runUntil(const std::function<bool()> &condition)
    {
        const millis end = bootNow() + patience;
        bool held = condition();
        const auto check = m_loop.timer({1}, {1}, [&] {
            held = condition();
            if (held || bootNow() > end) {
                m_loop.stop();
            }
        });
        if (!held) {
            m_loop.run();
        }
        return held;
    }
    /// Lets the loop go through a number of rounds, for "nothing happens" checks.
    void runRounds(int rounds)
    {
        int left = rounds;
        const auto count = m_loop.timer({1}, {1}, [&] {
            if (--left == 0) {
                m_loop.stop();
            }
        });
        m_loop.run();
    }

    http_result get(const std::string &target)
    {
        http_call call;
        call.url = target;
        return fetch(call);
    }
    http_result fetch(const http_call &call)
    {
        std::optional<http_result> result;
        m_client.start(call, [&](const http_result &done) {
            result = done;
        });
        EXPECT_FALSE(result) << "told inside start()";
        EXPECT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        return result.value_or(http_result{});
    }
};

TEST_F(http, respondCarriesRequestAndAnswerWhole)
{
    listen([this](http_request request, std::shared_ptr<http_reply> reply) {
        reply->respond(201, {{"X-Answer", "yes"}, {"Content-Type", "text/plain"}}, "got " + request.body);
        m_requests.push_back(std::move(request));
    });
    http_call call;
    call.method = "PUT";
    call.url = url("/a%20b?x=1&y=&z");
    call.headers = {"X-Caller: dispatch", "Content-Type: application/json"};
    call.body = std::string("body\0with zero", 14);
    const http_result result = fetch(call);
    EXPECT_EQ(result.status, 201);
    EXPECT_TRUE(result.complete);
    EXPECT_TRUE(result.sent);
    EXPECT_EQ(result.why.kind, error_kind::None);
    EXPECT_EQ(result.body, "got " + call.body);
    EXPECT_EQ(result.headers.at("x-answer"), "yes");
    ASSERT_EQ(m_requests.size(), 1U);
    const http_request &request = m_requests[0];
    EXPECT_EQ(request.method, "PUT");
    EXPECT_EQ(request.path, "/a b");
    EXPECT_EQ(request.query, (std::map<std::string, std::string>{{"x", "1"}, {"y", ""}, {"z", ""}}));
    EXPECT_EQ(request.headers.at("x-caller"), "dispatch");
    EXPECT_EQ(request.headers.at("content-type"), "application/json");
    EXPECT_FALSE(request.headers.contains("expect"));
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, respondLaterToManyOutOfOrder)
{
    listen();
    std::map<std::string, std::string> answers;
    constexpr int calls = 50;
    for (int i = 0; i < calls; ++i) {
        http_call call;
        call.url = url("/" + std::to_string(i));
        m_client.start(call, [&answers, path = "/" + std::to_string(i)](const http_result &done) {
            answers[path] = done.complete ? done.body : "incomplete";
        });
    }
    ASSERT_TRUE(runUntil([&] {
        return m_requests.size() == calls;
    }));
    EXPECT_EQ(m_server->busy(), static_cast<std::size_t>(calls));
    for (std::size_t i = m_requests.size(); i-- > 0;) {
        m_replies[i]->respond(200, {}, "for " + m_requests[i].path);
    }
    ASSERT_TRUE(runUntil([&] {
        return answers.size() == calls;
    }));
    for (const auto &[path, body] : answers) {
        EXPECT_EQ(body, "for " + path);
    }
}

TEST_F(http, streamArrivesPieceByPiece)
{
    listen();
    http_call call;
    call.url = url("/stream");
    std::string got;
    int statusAtData = 0;
    std::string typeAtData;
    std::optional<http_result> result;
    m_client.start(
        call,
        [&](const http_result &done) {
            result = done;
        },
        [&](const http_result &sofar, std::string_view bytes) {
            statusAtData = sofar.status;
            typeAtData = sofar.headers.at("content-type");
            got += bytes;
        });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {{"Content-Type", "text/event-stream"}});
    std::string expected;
    for (int i = 0; i < 20; ++i) {
        const std::string piece = "token " + std::to_string(i) + '\n';
        expected += piece;
        m_replies[0]->write(piece);
        // The piece is with the caller before the next one is made.
        ASSERT_TRUE(runUntil([&] {
            return got == expected;
        })) << got;
    }
    EXPECT_EQ(statusAtData, 200);
    EXPECT_EQ(typeAtData, "text/event-stream");
    EXPECT_FALSE(result);
    EXPECT_EQ(m_replies[0]->pending(), 0U);
    m_replies[0]->end();
    ASSERT_TRUE(runUntil([&] {
        return result.has_value();
    }));
    EXPECT_TRUE(result->complete);
    EXPECT_TRUE(result->body.empty());
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, headersOfAStreamArriveBeforeItsFirstByte)
{
    // A caller that waits for the first token should know by the status line that its request was
    // accepted. The kernel would hold the header back if it were told that more follows.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {});
    std::string got;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(got);
        return got.find("\r\n\r\n") != std::string::npos;
    }));
    EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << got;
}

TEST_F(http, largeStreamIsWholeAndInOrder)
{
    listen();
    http_call call;
    call.url = url("/large");
    std::optional<http_result> result;
    m_client.start(call, [&](const http_result &done) {
        result = done;
    });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {});
    std::string expected;
    for (int i = 0; i < 300'000; ++i) {
        expected += std::to_string(i) + ',';
    }
    for (std::size_t at = 0; at < expected.size(); at += 7'777) {
        m_replies[0]->write(std::string_view(expected).substr(at, 7'777));
    }
    EXPECT_GT(m_replies[0]->pending(), 0U);
    m_replies[0]->end();
    ASSERT_TRUE(runUntil([&] {
        return result.has_value();
    }));
    EXPECT_TRUE(result->complete);
    EXPECT_TRUE(result->body == expected);
}

TEST_F(http, abortedStreamIsSeenAsIncomplete)
{
    // A backend server dies in the middle of a plan. The caller has half of it on the screen; if the
    // stream ended in the regular way, it would load trolleys by that half.
    listen();
    http_call call;
    call.url = url("/");
    std::optional<http_result> result;
    m_client.start(call, [&](const http_result &done) {
        result = done;
    });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {});
    m_replies[0]->write("half of the pl");
    ASSERT_TRUE(runUntil([&] {
        return m_replies[0]->pending() == 0;
    }));
    m_replies[0]->abort();
    ASSERT_TRUE(runUntil([&] {
        return result.has_value();
    }));
    EXPECT_FALSE(result->complete);
    EXPECT_EQ(result->status, 200);
    EXPECT_TRUE(result->sent);
    EXPECT_EQ(result->why.kind, error_kind::ConnectionLost);
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, abortBeforeAnyAnswerBreaksTheConnectionOff)
{
    listen([](http_request, std::shared_ptr<http_reply> reply) {
        reply->abort();
    });
    const http_result result = get(url("/"));
    EXPECT_EQ(result.status, 0);
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.sent);
}

TEST_F(http, abortReachesACallerThatDoesNotRead)
{
    // The caller stopped reading and the socket is full. Aborting must still free the connection, or a
    // drain would wait for it.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {});
    m_replies[0]->write(std::string(50'000'000, 'x'));
    runRounds(20);
    EXPECT_GT(m_replies[0]->pending(), 0U);
    m_replies[0]->abort();
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, droppedReplyBreaksTheConnectionOff)
{
    // A task forgets a request, by a fault of its own. The caller must not wait for ever, and a drain
    // must not wait for an answer that nobody can give.
    listen([](http_request, std::shared_ptr<http_reply>) {});
    EXPECT_FALSE(get(url("/")).complete);
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, callerGoingAwayWhileItWaitsIsTold)
{
    // A lecturer closes the page while the summary is still queued. libmicrohttpd does not look at
    // suspended connections; without a watch of its own the engine would work for nobody.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    int closed = 0;
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    runRounds(5);
    EXPECT_EQ(closed, 0);
    caller->hangUp();
    EXPECT_TRUE(runUntil([&] {
        return closed == 1;
    }));
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
    m_replies[0]->respond(200, {}, "too late");
    runRounds(5);
    EXPECT_EQ(closed, 1);
}

TEST_F(http, callerResettingInTheMiddleOfAStreamIsTold)
{
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    int closed = 0;
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    m_replies[0]->begin(200, {});
    m_replies[0]->write("first");
    std::string got;
    ASSERT_TRUE(runUntil([&] {
        caller->receive(got);
        return got.find("first") != std::string::npos;
    }));
    caller->reset();
    EXPECT_TRUE(runUntil([&] {
        return closed == 1;
    }));
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, callerGoneBeforeOnClosedWasSetIsTold)
{
    // The caller hangs up directly after sending. The end of the connection is seen before the task
    // has asked to be told of it.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    caller->hangUp();
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    runRounds(10);
    int closed = 0;
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    EXPECT_EQ(closed, 0);
    EXPECT_TRUE(runUntil([&] {
        return closed == 1;
    }));
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, closedIsNotToldAfterAWholeAnswer)
{
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    int closed = 0;
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    m_replies[0]->respond(200, {}, "whole");
    std::string got;
    ASSERT_TRUE(runUntil([&] {
        caller->receive(got);
        return got.ends_with("whole");
    }));
    caller->hangUp();
    runRounds(20);
    EXPECT_EQ(closed, 0);
}

TEST_F(http, bytesOfANextRequestDoNotEndTheCurrentOne)
{
    // Two requests in one segment: the second waits in the socket while the first is answered. Reading
    // it as the caller's end, or waking for it again and again, would both be wrong.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    int closed = 0;
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    caller->send("GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
    runRounds(10);
    EXPECT_EQ(closed, 0);
    EXPECT_EQ(m_replies.size(), 1U);
    m_replies[0]->respond(200, {}, "one.");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 2;
    }));
    m_replies[1]->respond(200, {}, "two.");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 3;
    }));
    m_replies[2]->respond(200, {}, "three.");
    std::string got;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(got);
        return got.ends_with("three.");
    }));
    EXPECT_LT(got.find("one."), got.find("two."));
    EXPECT_EQ(m_requests[2].path, "/3");
}

TEST_F(http, callerThatClosesOnlyItsSendingSideGetsItsAnswer)
{
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    shutdown(caller->fd(), SHUT_WR);
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    runRounds(10);
    m_replies[0]->respond(200, {}, "answer");
    std::string got;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(got);
        return got.ends_with("answer");
    }));
}

TEST_F(http, oversizedBodyIsDroppedAndMarked)
{
    listen([this](http_request request, std::shared_ptr<http_reply> reply) {
        reply->respond(request.tooLarge ? 413 : 200, {}, "");
        m_requests.push_back(std::move(request));
    });
    http_call call;
    call.method = "POST";
    call.url = url("/");
    call.body = std::string(bodyLimit, 'x');
    EXPECT_EQ(fetch(call).status, 200);
    call.body += 'x';
    EXPECT_EQ(fetch(call).status, 413);
    call.body = std::string(bodyLimit * 20, 'x');
    EXPECT_EQ(fetch(call).status, 413);
    ASSERT_EQ(m_requests.size(), 3U);
    EXPECT_EQ(m_requests[0].body.size(), bodyLimit);
    EXPECT_TRUE(m_requests[1].body.empty());
    EXPECT_TRUE(m_requests[2].body.empty());
}

TEST_F(http, malformedRequestsDoNotHarmTheServer)
{
    listen([](http_request, std::shared_ptr<http_reply> reply) {
        reply->respond(200, {}, "ok");
    });
    const std::vector<std::string> attempts{
        "nonsense\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        std::string("\0\x01\xff\xfe\r\n\r\n", 8),
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(200'000, 'h') + "\r\n\r\n",
        "\r\n\r\n\r\n\r\n",
    };
    for (const std::string &attempt : attempts) {
        auto caller = raw_socket::connectTo(m_server->port());
        static_cast<void>(::send(caller->fd(), attempt.data(), attempt.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        runRounds(5);
        caller->reset();
        runRounds(2);
        EXPECT_EQ(get(url("/")).body, "ok");
    }
    // Cut off at every byte of a good request.
    const std::string good = "POST /p?q=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t length = 0; length < good.size(); ++length) {
        auto caller = raw_socket::connectTo(m_server->port());
        caller->send(std::string_view(good).substr(0, length));
        runRounds(1);
        caller->hangUp();
    }
    EXPECT_EQ(get(url("/")).body, "ok");
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, stopListeningFinishesWhatCameInAndTakesNoMore)
{
    // A graceful shutdown: a request in progress, and one that the kernel has taken but the server
    // has not seen, are both answered. A later connection is refused.
    listen();
    std::vector<http_result> results;
    http_call call;
    call.url = url("/early");
    m_client.start(call, [&](const http_result &done) {
        results.push_back(done);
    });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    auto queued = raw_socket::connectTo(m_server->port());
    queued->send("GET /queued HTTP/1.1\r\nHost: x\r\n\r\n");
    m_server->stopListening();
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 2;
    }));
    m_replies[0]->respond(200, {}, "early");
    m_replies[1]->respond(200, {}, "queued");
    std::string got;
    EXPECT_TRUE(runUntil([&] {
        const bool open = queued->receive(got);
        return !open && got.ends_with("queued");
    }));
    ASSERT_TRUE(runUntil([&] {
        return results.size() == 1;
    }));
    EXPECT_EQ(results[0].body, "early");
    EXPECT_EQ(results[0].headers.at("connection"), "close");
    const http_result late = get(url("/late"));
    EXPECT_FALSE(late.sent);
    EXPECT_EQ(late.status, 0);
}

TEST_F(http, serverMayGoWhileRequestsAreInProgress)
{
    listen();
    std::vector<http_result> results;
    for (const char *path : {"/waiting", "/streaming", "/full"}) {
        http_call call;
        call.url = url(path);
        m_client.start(call, [&](const http_result &done) {
            results.push_back(done);
        });
    }
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 3;
    }));
    m_replies[1]->begin(200, {});
    m_replies[1]->write("some");
    m_replies[2]->begin(200, {});
    m_replies[2]->write(std::string(1'000'000, 'x'));
    int closed = 0;
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    runRounds(5);
    m_server.reset();
    // The handles outlive the server and do nothing.
    m_replies[0]->respond(200, {}, "late");
    m_replies[1]->write("late");
    m_replies[1]->end();
    m_replies[2]->abort();
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    m_replies.clear();
    ASSERT_TRUE(runUntil([&] {
        return results.size() == 3;
    }));
    for (const http_result &result : results) {
        EXPECT_FALSE(result.complete);
    }
    EXPECT_EQ(closed, 0);
}

TEST_F(http, handlerMayDestroyTheServer)
{
    bool ran = false;
    listen([this, &ran](http_request, std::shared_ptr<http_reply>) {
        m_server.reset();
        ran = true;
    });
    EXPECT_FALSE(get(url("/")).complete);
    EXPECT_TRUE(ran);
}

TEST_F(http, addressInUseIsToldAsAnError)
{
    listen();
    error why;
    EXPECT_FALSE(http_server::listen(m_loop, loopback, m_server->port(), bodyLimit, {}, why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
    EXPECT_FALSE(why.detail.empty());
    EXPECT_FALSE(http_server::listen(m_loop, "not an address", 0, bodyLimit, {}, why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
}

TEST_F(http, restartOnTheSamePortIsPossible)
{
    listen([](http_request, std::shared_ptr<http_reply> reply) {
        reply->respond(200, {}, "first");
    });
    EXPECT_EQ(get(url("/")).body, "first");
    const std::uint16_t port = m_server->port();
    m_server.reset();
    error why;
    m_server = http_server::listen(
        m_loop, loopback, port, bodyLimit,
        [](http_request, std::shared_ptr<http_reply> reply) {
            reply->respond(200, {}, "second");
        },
        why);
    ASSERT_TRUE(m_server) << message(why);
    EXPECT_EQ(get(url("/")).body, "second");
}

TEST_F(http, refusedConnectionIsNotSent)
{
    // A caller may only be told "not run" when no byte of its request can have reached an engine.
    std::uint16_t port = 0;
    raw_socket::listening(port).reset();
    const http_result result = get("http://127.0.0.1:" + std::to_string(port) + "/");
    EXPECT_FALSE(result.sent);
    EXPECT_FALSE(result.complete);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.why.kind, error_kind::ConnectionLost);
    EXPECT_FALSE(result.why.detail.empty());
}

TEST_F(http, requestReadByAPeerThatThenDiesIsSent)
{
    // The peer takes the request and dies without an answer: it may have run.
    std::uint16_t port = 0;
    auto listener = raw_socket::listening(port);
    std::unique_ptr<raw_socket> peer;
    std::optional<http_result> result;
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    call.body = "order";
    call.freshConnection = true;
    m_client.start(call, [&](const http_result &done) {
        result = done;
    });
    std::string got;
    ASSERT_TRUE(runUntil([&] {
        if (!peer) {
            const int fd = accept(listener->fd(), nullptr, nullptr);
            peer = fd < 0 ? nullptr : std::make_unique<raw_socket>(fd);
        }
        return peer && peer->receive(got) && got.ends_with("order");
    }));
    EXPECT_EQ(got.find("Expect"), std::string::npos);
    peer->reset();
    ASSERT_TRUE(runUntil([&] {
        return result.has_value();
    }));
    EXPECT_TRUE(result->sent);
    EXPECT_FALSE(result->complete);
    EXPECT_EQ(result->status, 0);
}

TEST_F(http, connectionThatIsNeverAcceptedTimesOut)
{
    listen();
    http_call call;
    call.url = url("/");
    call.timeout = {30};
    const http_result result = fetch(call);
    EXPECT_EQ(result.why.kind, error_kind::Timeout);
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.sent);
}

TEST_F(http, badCallsFailWithoutBeingSent)
{
    listen();
    http_call call;
    call.url = url("/");
    call.headers = {"X-Name: a\r\nX-Smuggled: b"};
    http_result result = fetch(call);
    EXPECT_EQ(result.why.kind, error_kind::BadRequest);
    EXPECT_FALSE(result.sent);
    result = get("http://127.0.0.1:99999/");
    EXPECT_FALSE(result.sent);
    EXPECT_EQ(result.why.kind, error_kind::BadRequest);
    result = get("file:///etc/hostname");
    EXPECT_FALSE(result.sent);
    EXPECT_EQ(result.why.kind, error_kind::BadRequest);
    runRounds(5);
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(http, keptConnectionIsReusedAndFreshOnesAreNot)
{
    listen([](http_request, std::shared_ptr<http_reply> reply) {
        reply->respond(200, {}, "ok");
    });
    int opened = 0;
    std::set<int> open;
    m_client.onSocket([&](int fd, bool isOpen) {
        if (isOpen) {
            ++opened;
            EXPECT_TRUE(open.insert(fd).second);
        } else {
            EXPECT_EQ(open.erase(fd), 1U);
        }
    });
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(get(url("/")).body, "ok");
    }
    EXPECT_EQ(opened, 1);
    EXPECT_EQ(open.size(), 1U);
    http_call fresh;
    fresh.url = url("/");
    fresh.freshConnection = true;
    EXPECT_EQ(fetch(fresh).body, "ok");
    EXPECT_EQ(fetch(fresh).body, "ok");
    EXPECT_EQ(opened, 3);
    EXPECT_EQ(open.size(), 1U);
    m_client.keepAlive(false);
    EXPECT_EQ(get(url("/")).body, "ok");
    EXPECT_TRUE(open.empty());
}

/// Serves one answer with keep-alive on the first connection, then closes it when the next request has
/// come in on it; counts the requests that arrive over all connections.
struct dying_peer
{
    std::uint16_t port = 0; // first, as opening the listener sets it
    std::unique_ptr<raw_socket> listener;
    std::vector<std::unique_ptr<raw_socket>> peers;
    std::vector<std::string> got;

    dying_peer()
        : listener(raw_socket::listening(port))
    {
    }
    static std::size_t countOf(const std::string &text, std::string_view part)
    {
        std::size_t count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
            ++count;
        }
        return count;
    }
    std::size_t orders() const
    {
        std::size_t count = 0;
        for (const std::string &text : got) {
            count += countOf(text, "POST /orders");
        }
        return count;
    }
    void step()
    {
        const int fd = accept(listener->fd(), nullptr, nullptr);
        if (fd >= 0) {
            peers.push_back(std::make_unique<raw_socket>(fd));
            got.emplace_back();
        }
        for (std::size_t i = 0; i < peers.size(); ++i) {
            if (!peers[i]) {
                continue;
            }
            const std::size_t before = got[i].size();
            const bool open = peers[i]->receive(got[i]);
            if (got[i].size() > before && got[i].ends_with("order")) {
                peers[i]->reset();
                peers[i].reset();
            } else if (got[i].size() > before && got[i].ends_with("\r\n\r\n")) {
                peers[i]->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            } else if (!open) {
                peers[i].reset();
            }
        }
    }
};

TEST_F(http, nonIdempotentRequestIsNeverResentOnItsOwn)
{
    // A kitchen would cook an order twice: the client reuses a kept connection, the service reads the
    // order, begins it and dies without an answer. libcurl takes that for a connection that was dead
    // before, and silently sends the order again on a new one. A fresh connection rules that out.
    dying_peer service;
    const std::string base = "http://127.0.0.1:" + std::to_string(service.port);
    const auto serve = m_loop.timer({1}, {1}, [&] {
        service.step();
    });
    EXPECT_EQ(get(base + "/warm-up").body, "ok");
    http_call call;
    call.method = "POST";
    call.url = base + "/orders";
    call.body = "order";
    call.freshConnection = true;
    const http_result result = fetch(call);
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.sent);
    runRounds(20);
    EXPECT_EQ(service.orders(), 1U);
}

TEST_F(http, cancelledCallIsNotTold)
{
    listen();
    http_call call;
    call.url = url("/");
    int told = 0;
    const auto id = m_client.start(call, [&](const http_result &) {
        ++told;
    });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    int closed = 0;
    m_replies[0]->onClosed([&] {
        ++closed;
    });
    m_client.cancel(id);
    m_client.cancel(id);
    // Cancelling closes the connection, so the server learns that nobody waits any more.
    EXPECT_TRUE(runUntil([&] {
        return closed == 1;
    }));
    EXPECT_EQ(told, 0);
}

TEST_F(http, cancelFromOwnDataCallbackAndOfOthers)
{
    listen([](http_request, std::shared_ptr<http_reply> reply) {
        reply->begin(200, {});
        reply->write("bytes");
        reply->end();
    });
    int data = 0;
    int done = 0;
    std::vector<http_client::call_id> ids;
    http_call call;
    call.url = url("/");
    const auto cancelAll = [&](const http_result &, std::string_view) {
        ++data;
        for (const auto id : ids) {
            m_client.cancel(id);
        }
    };
    for (int i = 0; i < 3; ++i) {
        ids.push_back(m_client.start(
            call,
            [&](const http_result &) {
                ++done;
            },
            cancelAll));
    }
    ASSERT_TRUE(runUntil([&] {
        return data > 0;
    }));
    runRounds(20);
    EXPECT_EQ(data, 1);
    EXPECT_EQ(done, 0);
    EXPECT_TRUE(runUntil([&] {
        return m_server->busy() == 0;
    }));
}

TEST_F(http, startFromDoneCallbackAndDestroyInside)
{
    listen([](http_request, std::shared_ptr<http_reply> reply) {
        reply->respond(200, {}, "ok");
    });
    auto client = std::make_unique<http_client>(m_loop);
    http_call call;
    call.url = url("/");
    bool second = false;
    client->start(call, [&](const http_result &) {
        client->start(call, [&](const http_result &) {
            client.reset();
            second = true;
        });
    });
    EXPECT_TRUE(runUntil([&] {
        return second;
    }));
}

TEST_F(http, destroyingTheClientWithCallsRunningIsSilent)
{
    listen();
    auto client = std::make_unique<http_client>(m_loop);
    int told = 0;
    http_call call;
    call.url = url("/");
    client->start(call, [&](const http_result &) {
        ++told;
    });
    client->start(call, [&](const http_result &) {
        ++told;
    });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 2;
    }));
    call.url = "http://127.0.0.1:1/\n";
    client->start(call, [&](const http_result &) {
        ++told;
    });
    client.reset();
    runRounds(10);
    EXPECT_EQ(told, 0);
}

TEST_F(http, userTimeoutIsSetOnTheSocket)
{
    listen([](http_request, std::shared_ptr<http_reply> reply) {
        reply->respond(200, {}, "ok");
    });
    unsigned int seen = 0;
    m_client.onSocket([&](int fd, bool isOpen) {
        socklen_t length = sizeof(seen);
        if (isOpen) {
            getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &seen, &length);
        }
    });
    http_call call;
    call.url = url("/");
    call.userTimeout = {1234};
    EXPECT_EQ(fetch(call).body, "ok");
    EXPECT_EQ(seen, 1234U);
}

TEST_F(http, headAndDeleteAndInterimAnswers)
{
    listen([](http_request request, std::shared_ptr<http_reply> reply) {
        reply->respond(200, {{"X-Method", request.method}}, request.method == "HEAD" ? "" : request.body);
    });
    http_call call;
    call.url = url("/");
    for (const char *method : {"HEAD", "DELETE", "POST", "PATCH"}) {
        call.method = method;
        const http_result result = fetch(call);
        EXPECT_TRUE(result.complete) << method;
        EXPECT_EQ(result.headers.at("x-method"), method);
    }
}

}
}
