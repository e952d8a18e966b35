#include "serving/slow_caller.h"
#include "transport/front_server.h"

#include <random>

namespace briarhead {

namespace {

constexpr millis requestDeadline{14'000};

/// What is drawn for one caller.
struct drawn_call
{
    body_framing framing = body_framing::Length;
    std::size_t bodyBytes = 0;
    bool closes = false; ///< the caller asks for the connection's end
    bool isHttp10 = false;
    millis responseDelay;
    reading_pace pace;
};

std::ostream &operator<<(std::ostream &out, const drawn_call &call)
{
    return out << nameOf(call.framing) << ", " << call.bodyBytes << " bytes, window of "
               << call.pace.windowBytes << ", pause of " << call.pace.pause.count << " ms, after "
               << call.responseDelay.count << " ms" << (call.closes ? ", closes" : "")
               << (call.isHttp10 ? ", HTTP/1.0" : "");
}

drawn_call drawCall(std::mt19937 &random, millis longestPause)
{
    const auto below = [&](int limit) {
        return static_cast<int>(random() % static_cast<unsigned>(limit));
    };
    constexpr std::array framings{body_framing::Length, body_framing::Chunked, body_framing::Connection};
    drawn_call call;
    call.framing = framings[static_cast<std::size_t>(below(3))];
    call.bodyBytes = static_cast<std::size_t>(below(3) == 0 ? below(2'000) : 50'000 + below(850'000));
    call.closes = below(2) == 0;
    call.isHttp10 = below(5) == 0;
    call.responseDelay = {below(1'200)};
    call.pace.windowBytes = 4'096 << below(4);
    call.pace.pause = {below(static_cast<int>(longestPause.count))};
    return call;
}

std::string requestText(std::size_t number, const drawn_call &call)
{
    return "GET /" + std::to_string(number) + (call.isHttp10 ? " HTTP/1.0" : " HTTP/1.1") + "\r\nHost: h\r\n"
        + (call.closes ? "Connection: close\r\n" : "") + "\r\n";
}

/// A server whose callers read slowly.
class slow_caller_test : public http_testing::http_fixture
{
protected:
    std::unique_ptr<front_server> m_front;
    std::vector<drawn_call> m_calls;
    std::vector<std::unique_ptr<slow_caller>> m_callers;
    std::vector<std::shared_ptr<void>> m_timers;

    void serve()
    {
        error why;
        m_front = front_server::listen(
            m_loop, http_testing::loopback, 0,
            [this](const front_request &request, std::shared_ptr<front_reply> reply) {
                reply->setDeadline(bootNow() + requestDeadline);
                const drawn_call &call = m_calls[std::stoul(request.head.target.substr(1))];
                m_timers.push_back(m_loop.timer(call.responseDelay, {}, [call, reply = std::move(reply)] {
                    respond(call, *reply);
                }));
            },
            why);
        ASSERT_TRUE(m_front) << message(why);
    }
    static void respond(const drawn_call &call, front_reply &reply)
    {
        const std::string body = numberedBody(call.bodyBytes);
        if (call.framing == body_framing::Length) {
            reply.respond(200, {}, body);
            return;
        }
        reply.begin(200, {}, call.framing);
        constexpr std::size_t blockBytes = 60'000;
        for (std::size_t at = 0; at < body.size(); at += blockBytes) {
            reply.write(std::string_view(body).substr(at, blockBytes));
        }
        reply.end();
    }
    void start(const drawn_call &call)
    {
        m_calls.push_back(call);
        m_callers.push_back(
            std::make_unique<slow_caller>(m_front->port(), requestText(m_calls.size() - 1, call), call.pace));
    }
    bool readAll()
    {
        return runUntil([&] {
            std::size_t ended = 0;
            for (const auto &caller : m_callers) {
                ended += caller->read() ? 1U : 0U;
            }
            return ended == m_callers.size();
        });
    }
};

}

// Guards against responses that are cut while their callers still read them: any size, framing, receive
// window and pause shorter than the deadline, with the server told to stop at any moment.
TEST_F(slow_caller_test, ResponseIsWholeHoweverSlowlyItIsReadBeforeItsDeadline)
{
    constexpr int calls = 120;
    serve();
    std::mt19937 random(72);
    for (int i = 0; i < calls; ++i) {
        start(drawCall(random, {4'000}));
    }
    const auto stop = m_loop.timer({600}, {}, [this] {
        m_front->closeAfterResponses({1'500});
        m_front->stopListening();
    });
    ASSERT_TRUE(readAll());
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        const std::string body = m_callers[i]->body();
        EXPECT_TRUE(body == numberedBody(m_calls[i].bodyBytes)) << m_calls[i] << ": " << body.substr(0, 40);
    }
    EXPECT_TRUE(runUntil([&] {
        return m_front->connections() == 0;
    })) << "callers that have their responses keep a server that stops";
}

// Guards against a limit on unacknowledged bytes that ends callers whose deadline is later.
TEST_F(slow_caller_test, ResponseIsWholeAfterAPauseOfNearlyItsDeadline)
{
    serve();
    for (const body_framing framing :
        {body_framing::Length, body_framing::Chunked, body_framing::Connection}) {
        drawn_call call;
        call.framing = framing;
        call.bodyBytes = 600'000;
        call.closes = framing == body_framing::Chunked;
        call.pace.pause = {10'000};
        start(call);
    }
    ASSERT_TRUE(readAll());
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        const std::string body = m_callers[i]->body();
        EXPECT_TRUE(body == numberedBody(m_calls[i].bodyBytes)) << m_calls[i] << ": " << body.substr(0, 40);
    }
}

// Guards against callers that never read and keep their connections, and the process, for good.
TEST_F(slow_caller_test, CallerThatNeverReadsIsDisconnectedAfterTheDeadline)
{
    constexpr millis shortDeadline{800};
    std::vector<std::shared_ptr<front_reply>> replies;
    error why;
    m_front = front_server::listen(
        m_loop, http_testing::loopback, 0,
        [&](const front_request &request, const std::shared_ptr<front_reply> &reply) {
            reply->setDeadline(bootNow() + shortDeadline);
            respond(m_calls[std::stoul(request.head.target.substr(1))], *reply);
        },
        why);
    ASSERT_TRUE(m_front) << message(why);
    for (const body_framing framing :
        {body_framing::Length, body_framing::Chunked, body_framing::Connection}) {
        for (const bool closes : {false, true}) {
            drawn_call call;
            call.framing = framing;
            call.bodyBytes = 900'000;
            call.closes = closes;
            start(call);
        }
    }
    ASSERT_TRUE(runUntil([&] {
        return m_front->connections() == m_calls.size();
    }));
    EXPECT_TRUE(runUntil([&] {
        return m_front->connections() == 0;
    }));
    for (auto &caller : m_callers) {
        ASSERT_TRUE(runUntil([&] {
            return caller->read();
        }));
        EXPECT_TRUE(caller->body().starts_with("closed") || caller->body().starts_with("reset"))
            << "a response that was cut must not look complete";
    }
}

// Guards against a caller that stops sending, which many do after their last request, and loses its response.
TEST_F(slow_caller_test, RestOfAResponseReachesACallerThatClosedItsSendingSide)
{
    serve();
    drawn_call call;
    call.framing = body_framing::Chunked;
    call.bodyBytes = 600'000;
    call.closes = true;
    call.pace.pause = {1'500};
    start(call);
    ASSERT_TRUE(runUntil([&] {
        m_callers[0]->read();
        return !m_callers[0]->text().empty();
    }));
    shutdown(m_callers[0]->fd(), SHUT_WR);
    ASSERT_TRUE(readAll());
    EXPECT_EQ(m_callers[0]->body(), numberedBody(call.bodyBytes));
}

// Guards against the same in the server of the other daemon, which ends once it has no request any more.
TEST_F(slow_caller_test, ResponseOfTheLibrarysServerIsWholeThoughTheServerEnds)
{
    constexpr std::size_t bodyBytes = 600'000;
    listen([](const http_request &request, const std::shared_ptr<http_reply> &reply) {
        const std::string body = numberedBody(bodyBytes);
        if (request.path == "/0") {
            reply->respond(200, {}, body);
            return;
        }
        request.path == "/1" ? reply->begin(200, {}) : reply->beginUnframed(200, {});
        reply->write(body);
        reply->end();
    });
    for (std::size_t i = 0; i < 6; ++i) {
        drawn_call call;
        call.bodyBytes = bodyBytes;
        call.closes = i >= 3;
        call.pace.pause = {2'500};
        m_calls.push_back(call);
        m_callers.push_back(
            std::make_unique<slow_caller>(m_server->port(), requestText(i % 3, call), call.pace));
    }
    bool stopped = false;
    ASSERT_TRUE(runUntil([&] {
        std::size_t ended = 0;
        std::size_t begun = 0;
        for (const auto &caller : m_callers) {
            ended += caller->read() ? 1U : 0U;
            begun += caller->text().empty() ? 0U : 1U;
        }
        if (begun == m_callers.size() && !std::exchange(stopped, true)) {
            m_server->stopListening();
        }
        if (stopped && m_server && m_server->activeRequests() == 0) {
            m_server.reset();
        }
        return ended == m_callers.size() && !m_server;
    }));
    for (const auto &caller : m_callers) {
        const std::string body = caller->body();
        EXPECT_TRUE(body == numberedBody(bodyBytes)) << body.substr(0, 40);
    }
}

}
