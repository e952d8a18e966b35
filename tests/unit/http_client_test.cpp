#include "http_fixture.h"
#include "serving/endless_server.h"

#include <netinet/tcp.h>

#include <set>

namespace briarhead {
namespace {

using namespace http_testing;

class http_calls : public http_fixture
{
};

TEST_F(http_calls, refusedConnectionLeavesTheRequestUnsent)
{
    // A request may only be reported as not run if no byte of it can have reached an engine.
    std::uint16_t port = 0;
    raw_socket::listening(port).reset();
    const http_result result = get("http://127.0.0.1:" + std::to_string(port) + "/");
    EXPECT_FALSE(result.sent);
    EXPECT_FALSE(result.complete);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.why.kind, error_kind::ConnectionLost);
    EXPECT_FALSE(result.why.detail.empty());
}

TEST_F(http_calls, requestReadByAPeerThatThenClosesCountsAsSent)
{
    // The peer reads the request and closes without a response, so the request may have run.
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

TEST_F(http_calls, callWithoutAResponseTimesOutAsSent)
{
    // An engine reads a request and hangs. The call ends at its timeout, and since the request was sent it
    // may have run.
    listen();
    http_call call;
    call.url = url("/");
    call.timeout = {30};
    const http_result result = fetch(call);
    EXPECT_EQ(result.why.kind, error_kind::Timeout);
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.sent);
}

TEST_F(http_calls, invalidCallsFailWithoutBeingSent)
{
    // A header value chosen by a caller contains a line break. If sent, it would become a second header, or a
    // second request on a kept connection.
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

TEST_F(http_calls, connectionsAreReusedUnlessFreshOrNotKept)
{
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
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

/// Responds to requests without a body and keeps the connection. Closes the connection without a response
/// when an order has arrived on it. Counts the orders over all connections.
struct order_dropping_server
{
    std::uint16_t port = 0; // declared first, because opening the listener sets it
    std::unique_ptr<raw_socket> listener;
    std::vector<std::unique_ptr<raw_socket>> peers;
    std::vector<std::string> got;

    order_dropping_server()
        : listener(raw_socket::listening(port))
    {
    }
    static std::size_t countOf(const std::string &text, std::string_view part)
    {
        std::size_t count = 0;
        for (std::size_t position = text.find(part); position != std::string::npos;
             position = text.find(part, position + 1)) {
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

TEST_F(http_calls, requestOnAFreshConnectionIsNeverResent)
{
    // The client reuses a kept connection; the service reads the order, begins it and closes without a
    // response. libcurl assumes that the connection was already dead and silently resends the order on a new
    // one, so it would be executed twice. With freshConnection it does not.
    order_dropping_server service;
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

TEST_F(http_calls, cancelledCallCallsNothingAndClosesItsConnection)
{
    // A caller disconnects and its task is destroyed. A callback into that task would access freed memory,
    // and the server would continue to work on the request if the connection stayed open.
    listen();
    http_call call;
    call.url = url("/");
    int doneCalls = 0;
    const auto id = m_client.start(call, [&](const http_result &) {
        ++doneCalls;
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
    // Cancelling closes the connection, which shows the server that the request was abandoned.
    EXPECT_TRUE(runUntil([&] {
        return closed == 1;
    }));
    EXPECT_EQ(doneCalls, 0);
}

TEST_F(http_calls, dataCallbackMayCancelItsOwnAndOtherCalls)
{
    // One response makes several calls unnecessary. libcurl forbids removing a call from within its
    // callbacks, so this fails if onData is called from there.
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
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
        return m_server->activeRequests() == 0;
    }));
}

TEST_F(http_calls, doneCallbackMayStartACallOrDestroyTheClient)
{
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
        reply->respond(200, {}, "ok");
    });
    auto client = std::make_unique<http_client>(m_loop);
    http_call call;
    call.url = url("/");
    bool secondDone = false;
    client->start(call, [&](const http_result &) {
        client->start(call, [&](const http_result &) {
            client.reset();
            secondDone = true;
        });
    });
    EXPECT_TRUE(runUntil([&] {
        return secondDone;
    }));
}

TEST_F(http_calls, destroyingTheClientDuringCallsCallsNothing)
{
    // A task is destroyed while its calls run and the failure of another call is queued for delivery.
    listen();
    auto client = std::make_unique<http_client>(m_loop);
    int doneCalls = 0;
    http_call call;
    call.url = url("/");
    client->start(call, [&](const http_result &) {
        ++doneCalls;
    });
    client->start(call, [&](const http_result &) {
        ++doneCalls;
    });
    ASSERT_TRUE(runUntil([&] {
        return m_replies.size() == 2;
    }));
    call.url = "http://127.0.0.1:1/\n";
    client->start(call, [&](const http_result &) {
        ++doneCalls;
    });
    client.reset();
    runRounds(10);
    EXPECT_EQ(doneCalls, 0);
}

TEST_F(http_calls, userTimeoutIsSetOnTheSocket)
{
    listen([](const http_request &, const std::shared_ptr<http_reply> &reply) {
        reply->respond(200, {}, "ok");
    });
    unsigned int timeoutMs = 0;
    m_client.onSocket([&](int fd, bool isOpen) {
        socklen_t length = sizeof(timeoutMs);
        if (isOpen) {
            getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, &length);
        }
    });
    http_call call;
    call.url = url("/");
    call.userTimeout = {1234};
    EXPECT_EQ(fetch(call).body, "ok");
    EXPECT_EQ(timeoutMs, 1234U);
}

TEST_F(http_calls, methodsWithAndWithoutABodyAreSent)
{
    listen([](const http_request &request, const std::shared_ptr<http_reply> &reply) {
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

// A response whose head or body never ends must fail the call at its limit, and not be collected until the
// call's timeout.
TEST_F(http_calls, endlessResponsesAreCutOff)
{
    for (const auto &[begin, repeated] : {std::pair("HTTP/1.1 200 OK\r\n\r\n", "0123456789"),
             std::pair("HTTP/1.1 200 OK\r\n", "X-A: 0123456789\r\n"),
             std::pair("", "HTTP/1.1 100 Continue\r\n\r\n")}) {
        endless_server server(m_loop, begin, repeated);
        std::optional<http_result> result;
        http_call call;
        call.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
        call.timeout = testTimeout;
        call.maxBodyBytes = 1024 * 1024;
        m_client.start(call, [&](const http_result &done) {
            result = done;
        });
        ASSERT_TRUE(runUntil([&] {
            return result && server.closed == 1;
        })) << begin;
        EXPECT_FALSE(result->complete);
        EXPECT_EQ(result->why.kind, error_kind::ConnectionLost);
        EXPECT_NE(result->why.detail.find("too long"), std::string::npos) << result->why.detail;
        EXPECT_TRUE(result->body.empty());
    }
}

// Many calls at once must not collect more than the client's limit together.
TEST_F(http_calls, endlessBodiesOfManyCallsAreCutOffTogether)
{
    endless_server server(m_loop, "HTTP/1.1 200 OK\r\n\r\n", "0123456789");
    std::size_t failed = 0;
    for (int i = 0; i < 10; ++i) {
        http_call call;
        call.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
        m_client.start(call, [&](const http_result &done) {
            failed += done.complete ? 0 : 1;
        });
    }
    EXPECT_TRUE(runUntil([&] {
        return failed == 10 && server.closed == 10;
    }));
    EXPECT_LT(server.sentBytes, 10 * http_call{}.maxBodyBytes);
}

}
}
