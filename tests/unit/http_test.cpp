#include "http_fixture.h"

#include <map>
#include <utility>

namespace briarhead {
namespace {

using namespace http_testing;

class http : public http_fixture
{
};

TEST_F(http, respondCarriesRequestAndAnswerWhole)
{
    listen([this](http_request request, const std::shared_ptr<http_reply> &reply) {
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
        return m_server->activeRequests() == 0;
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
    EXPECT_EQ(m_server->activeRequests(), static_cast<std::size_t>(calls));
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
    EXPECT_EQ(m_replies[0]->pendingBytes(), 0U);
    m_replies[0]->end();
    ASSERT_TRUE(runUntil([&] {
        return result.has_value();
    }));
    EXPECT_TRUE(result->complete);
    EXPECT_TRUE(result->body.empty());
    EXPECT_TRUE(runUntil([&] {
        return m_server->activeRequests() == 0;
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
    EXPECT_GT(m_replies[0]->pendingBytes(), 0U);
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
        return m_replies[0]->pendingBytes() == 0;
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
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http, abortBeforeAnyAnswerBreaksTheConnectionOff)
{
    // The outcome of a request cannot be had. An empty but regular answer would look like a result; the
    // caller must see a connection that broke.
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
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
    // More than the socket buffers of both sides can hold.
    const std::string piece(1'000'000, 'x');
    for (int i = 0; i < 50; ++i) {
        m_replies[0]->write(piece);
    }
    // Full is when nothing was taken for a while; the kernel grows its buffers meanwhile.
    std::size_t before = 0;
    do {
        before = m_replies[0]->pendingBytes();
        runRounds(50);
    } while (m_replies[0]->pendingBytes() != before);
    ASSERT_GT(before, 0U);
    m_replies[0]->abort();
    EXPECT_TRUE(runUntil([&] {
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http, droppedReplyBreaksTheConnectionOff)
{
    // A task forgets a request, by a fault of its own. The caller must not wait for ever, and a drain
    // must not wait for an answer that nobody can give.
    listen([](const http_request &, const std::shared_ptr<http_reply> &) {});
    EXPECT_FALSE(get(url("/")).complete);
    EXPECT_TRUE(runUntil([&] {
        return m_server->activeRequests() == 0;
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
        return m_server->activeRequests() == 0;
    }));
    m_replies[0]->respond(200, {}, "too late");
    runRounds(5);
    EXPECT_EQ(closed, 1);
}

TEST_F(http, callerResettingInTheMiddleOfAStreamIsTold)
{
    // An apron loader's tablet loses its network in the middle of a streamed plan. The engine would go on
    // with it until the end if the reset were not told.
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
        return m_server->activeRequests() == 0;
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
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http, closedIsNotToldAfterAWholeAnswer)
{
    // A caller closes its connection after reading its answer. Told as lost, the finished request would
    // count as cancelled.
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
    // A script sends its request, shuts its sending side down and reads. The end of its bytes alone does not
    // mean that it went away.
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
    // A lecturer pastes a whole book. Kept in memory, a few such requests would end a small instance; cut
    // off while sending, the caller would see a reset in place of the reason.
    listen([this](http_request request, const std::shared_ptr<http_reply> &reply) {
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
    // Scanners and broken clients send all kinds of bytes and vanish. None of it may reach the handler as a
    // request, leave a connection busy for ever or end the process.
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
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
        return m_server->activeRequests() == 0;
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
    // A process ends with requests in all states. libmicrohttpd ends it with a panic when suspended
    // connections are left, and replies that are held elsewhere must not touch the freed server.
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
    // An operator's "quit" reaches a handler that tears the server down. It runs inside the server's own
    // loop over new requests, which must not go on with freed memory.
    bool ran = false;
    listen([this, &ran](const http_request &, const std::shared_ptr<http_reply> &) {
        m_server.reset();
        ran = true;
    });
    EXPECT_FALSE(get(url("/")).complete);
    EXPECT_TRUE(ran);
}

TEST_F(http, addressInUseIsToldAsAnError)
{
    // A second process is started on the same port. It must say so and end, and not serve nothing.
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
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
        reply->respond(200, {}, "first");
    });
    EXPECT_EQ(get(url("/")).body, "first");
    const std::uint16_t port = m_server->port();
    m_server.reset();
    error why;
    m_server = http_server::listen(
        m_loop, loopback, port, bodyLimit,
        [](const http_request &, const std::shared_ptr<http_reply> &reply) {
            reply->respond(200, {}, "second");
        },
        why);
    ASSERT_TRUE(m_server) << message(why);
    EXPECT_EQ(get(url("/")).body, "second");
}

}
}
