#include "http_fixture.h"

#include <map>
#include <utility>

namespace briarhead {
namespace {

using namespace http_testing;

class http : public http_fixture
{
};

TEST_F(http, requestAndResponseArriveUnchanged)
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

TEST_F(http, deferredResponsesInAnyOrderReachTheirCallers)
{
    listen();
    std::map<std::string, std::string> responses;
    constexpr int callCount = 50;
    for (int i = 0; i < callCount; ++i) {
        http_call call;
        call.url = url("/" + std::to_string(i));
        m_client.start(call, [&responses, path = "/" + std::to_string(i)](const http_result &finished) {
            responses[path] = finished.complete ? finished.body : "incomplete";
        });
    }
    ASSERT_TRUE(runUntil([&] {
        return m_requests.size() == callCount;
    }));
    EXPECT_EQ(m_server->activeRequests(), static_cast<std::size_t>(callCount));
    for (std::size_t i = m_requests.size(); i-- > 0;) {
        m_replies[i]->respond(200, {}, "for " + m_requests[i].path);
    }
    ASSERT_TRUE(runUntil([&] {
        return responses.size() == callCount;
    }));
    for (const auto &[path, body] : responses) {
        EXPECT_EQ(body, "for " + path);
    }
}

TEST_F(http, eachStreamedPieceArrivesBeforeTheNextIsWritten)
{
    listen();
    http_call call;
    call.url = url("/stream");
    std::string received;
    int statusAtData = 0;
    std::string typeAtData;
    std::optional<http_result> result;
    m_client.start(
        call,
        [&](const http_result &finished) {
            result = finished;
        },
        [&](const http_result &partial, std::string_view bytes) {
            statusAtData = partial.status;
            typeAtData = partial.headers.at("content-type");
            received += bytes;
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
        ASSERT_TRUE(runUntil([&] {
            return received == expected;
        })) << received;
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

TEST_F(http, streamHeadIsSentBeforeTheFirstBodyByte)
{
    // A caller waiting for the first token must see from the status line that its request was accepted. The
    // kernel would delay the head if it were sent with MSG_MORE.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {});
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(received);
        return received.find("\r\n\r\n") != std::string::npos;
    }));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
}

TEST_F(http, largeStreamArrivesCompleteAndInOrder)
{
    listen();
    http_call call;
    call.url = url("/large");
    std::optional<http_result> result;
    m_client.start(call, [&](const http_result &finished) {
        result = finished;
    });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {});
    std::string expected;
    for (int i = 0; i < 300'000; ++i) {
        expected += std::to_string(i) + ',';
    }
    for (std::size_t offset = 0; offset < expected.size(); offset += 7'777) {
        m_replies[0]->write(std::string_view(expected).substr(offset, 7'777));
    }
    EXPECT_GT(m_replies[0]->pendingBytes(), 0U);
    m_replies[0]->end();
    ASSERT_TRUE(runUntil([&] {
        return result.has_value();
    }));
    EXPECT_TRUE(result->complete);
    EXPECT_TRUE(result->body == expected);
}

TEST_F(http, abortedStreamIsIncompleteForTheCaller)
{
    // A backend server fails in the middle of a response. If the stream ended regularly, the caller would
    // take the partial response for a complete one.
    listen();
    http_call call;
    call.url = url("/");
    std::optional<http_result> result;
    m_client.start(call, [&](const http_result &finished) {
        result = finished;
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

TEST_F(http, abortBeforeAnyResponseClosesTheConnection)
{
    // The outcome of a request is unknown. An empty but regular response would look like a result, so the
    // caller must see a lost connection.
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
        reply->abort();
    });
    const http_result result = get(url("/"));
    EXPECT_EQ(result.status, 0);
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.sent);
}

TEST_F(http, abortFreesTheConnectionOfACallerThatDoesNotRead)
{
    // The caller stopped reading and the send buffer is full. abort() must still free the connection;
    // otherwise, a drain would wait for it.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    m_replies[0]->begin(200, {});
    // 50 MB, more than the socket buffers of both sides can hold.
    const std::string piece(1'000'000, 'x');
    for (int i = 0; i < 50; ++i) {
        m_replies[0]->write(piece);
    }
    // The buffers are full once nothing is accepted during 50 rounds; the kernel grows them until then.
    std::size_t previousBytes = 0;
    do {
        previousBytes = m_replies[0]->pendingBytes();
        runRounds(50);
    } while (m_replies[0]->pendingBytes() != previousBytes);
    ASSERT_GT(previousBytes, 0U);
    m_replies[0]->abort();
    EXPECT_TRUE(runUntil([&] {
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http, droppingTheReplyClosesTheConnection)
{
    // A task drops a request because of a bug. Neither the caller nor a drain may wait for a response that
    // can no longer be sent.
    listen([](const http_request &, const std::shared_ptr<http_reply> &) {});
    EXPECT_FALSE(get(url("/")).complete);
    EXPECT_TRUE(runUntil([&] {
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http, onClosedIsCalledWhenTheCallerDisconnectsBeforeTheResponse)
{
    // A caller disconnects while its request is queued. libmicrohttpd doesn't watch suspended connections;
    // without the separate epoll set, the engine would process an abandoned request.
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

TEST_F(http, onClosedIsCalledWhenTheCallerResetsDuringAStream)
{
    // A caller's connection is reset in the middle of a streamed response. If the reset were not reported,
    // the engine would generate the response to the end.
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
    std::string received;
    ASSERT_TRUE(runUntil([&] {
        caller->receive(received);
        return received.find("first") != std::string::npos;
    }));
    caller->reset();
    EXPECT_TRUE(runUntil([&] {
        return closed == 1;
    }));
    EXPECT_TRUE(runUntil([&] {
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http, onClosedIsCalledWhenTheCallerDisconnectedBeforeItWasSet)
{
    // The caller disconnects directly after sending, and the server detects it before the handler sets
    // onClosed.
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

TEST_F(http, onClosedIsNotCalledAfterACompleteResponse)
{
    // A caller closes its connection after reading the response. If onClosed were called, the completed
    // request would count as cancelled.
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
    std::string received;
    ASSERT_TRUE(runUntil([&] {
        caller->receive(received);
        return received.ends_with("whole");
    }));
    caller->hangUp();
    runRounds(20);
    EXPECT_EQ(closed, 0);
}

TEST_F(http, pipelinedRequestsDoNotEndTheCurrentOne)
{
    // Two requests arrive in one segment, and the second stays in the socket until the first has its
    // response. It must not be taken for a disconnect.
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
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(received);
        return received.ends_with("three.");
    }));
    EXPECT_LT(received.find("one."), received.find("two."));
    EXPECT_EQ(m_requests[2].path, "/3");
}

TEST_F(http, callerThatClosesOnlyItsSendingSideGetsItsResponse)
{
    // A caller sends its request, shuts down its sending side and reads. The end of its input alone doesn't
    // mean that it disconnected.
    listen();
    auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    shutdown(caller->fd(), SHUT_WR);
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 1;
    }));
    runRounds(10);
    m_replies[0]->respond(200, {}, "answer");
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        caller->receive(received);
        return received.ends_with("answer");
    }));
}

TEST_F(http, oversizedBodyIsDiscardedAndMarkedTooLarge)
{
    // If oversized bodies were kept in memory, a few of them could exhaust a small instance. If the
    // connection were closed while the caller is sending, it would see a reset instead of the status 413.
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

TEST_F(http, malformedRequestsLeaveTheServerWorking)
{
    // Scanners and faulty clients send arbitrary bytes and disconnect. These must not reach the handler as a
    // request, leave a connection with a request in progress or end the process.
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
        reply->respond(200, {}, "ok");
    });
    const std::vector<std::string> malformedInputs{
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
    for (const std::string &input : malformedInputs) {
        auto caller = raw_socket::connectTo(m_server->port());
        static_cast<void>(::send(caller->fd(), input.data(), input.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        runRounds(5);
        caller->reset();
        runRounds(2);
        EXPECT_EQ(get(url("/")).body, "ok");
    }
    // Valid requests, truncated at every byte.
    const std::string validRequest = "POST /p?q=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t length = 0; length < validRequest.size(); ++length) {
        auto caller = raw_socket::connectTo(m_server->port());
        caller->send(std::string_view(validRequest).substr(0, length));
        runRounds(1);
        caller->hangUp();
    }
    EXPECT_EQ(get(url("/")).body, "ok");
    EXPECT_TRUE(runUntil([&] {
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http, stopListeningServesAcceptedRequestsAndRefusesNewConnections)
{
    // In a graceful shutdown, a request in progress and one on a connection still in the listen queue are
    // both served. A later connection is refused.
    listen();
    std::vector<http_result> results;
    http_call call;
    call.url = url("/early");
    m_client.start(call, [&](const http_result &finished) {
        results.push_back(finished);
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
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        const bool connected = queued->receive(received);
        return !connected && received.ends_with("queued");
    }));
    ASSERT_TRUE(runUntil([&] {
        return results.size() == 1;
    }));
    EXPECT_EQ(results[0].body, "early");
    EXPECT_EQ(results[0].headers.at("connection"), "close");
    const http_result lateResult = get(url("/late"));
    EXPECT_FALSE(lateResult.sent);
    EXPECT_EQ(lateResult.status, 0);
}

TEST_F(http, serverCanBeDestroyedWithRequestsInProgress)
{
    // The server is destroyed with requests in all states. libmicrohttpd aborts the process if suspended
    // connections are left, and replies held elsewhere must not access the destroyed server.
    listen();
    std::vector<http_result> results;
    for (const char *path : {"/waiting", "/streaming", "/full"}) {
        http_call call;
        call.url = url(path);
        m_client.start(call, [&](const http_result &finished) {
            results.push_back(finished);
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
    // The replies outlive the server and have no effect.
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

TEST_F(http, handlerCanDestroyTheServer)
{
    // A handler destroys the server, for example on an operator's request to quit. It is called from the
    // server's loop over new requests, which must not access freed memory afterwards.
    bool handlerRan = false;
    listen([this, &handlerRan](const http_request &, const std::shared_ptr<http_reply> &) {
        m_server.reset();
        handlerRan = true;
    });
    EXPECT_FALSE(get(url("/")).complete);
    EXPECT_TRUE(handlerRan);
}

TEST_F(http, listenFailsOnAnAddressInUseOrInvalid)
{
    // A second process started on the same port must report the error instead of running without a listener.
    listen();
    error why;
    EXPECT_FALSE(http_server::listen(m_loop, loopback, m_server->port(), bodyLimit, {}, why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
    EXPECT_FALSE(why.detail.empty());
    EXPECT_FALSE(http_server::listen(m_loop, "not an address", 0, bodyLimit, {}, why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
}

TEST_F(http, serverCanBeRestartedOnTheSamePort)
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

// A daemon that can't serve further requests must close their connections before it has read them, so that
// callers may retry at once, whatever kind of request it is.
TEST_F(http, aConnectionThatIsNotAdmittedIsClosedUnread)
{
    listen();
    bool admits = false;
    m_server->setAdmission([&admits] {
        return admits;
    });
    const http_result refused = get(url("/"));
    EXPECT_EQ(refused.status, 0);
    EXPECT_TRUE(m_requests.empty());
    admits = true;
    const auto caller = raw_socket::connectTo(m_server->port());
    caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(runUntil([this] {
        return m_requests.size() == 1;
    }));
}

}
}
