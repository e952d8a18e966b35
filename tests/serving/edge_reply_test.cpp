#include "serving/edge_fleet_fixture.h"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <random>
#include <string>
#include <vector>

// What a caller gets where one server's response breaks off after part of it has gone out: no bytes of
// another server behind it, but for the events that continue a stream.
namespace briarhead {

namespace {

using reply_ptr = std::shared_ptr<front_reply>;

constexpr int streamEvents = 4;
/// More than the daemon holds back.
constexpr std::size_t largeBytes = 400'000;

/// How a stand-in ends a response that it has begun.
enum class ending_kind : std::uint8_t
{
    Whole,
    Reset,
    Closed, ///< in order, before its end
    Silence, ///< sends nothing more
};

/// A response as its caller received it.
struct received_reply
{
    std::string text;
    bool wasReset = false;

    bool hasField(const std::string &line) const
    {
        return text.substr(0, text.find("\r\n\r\n")).find("\r\n" + line) != std::string::npos;
    }
    std::string rest() const
    {
        const std::size_t end = text.find("\r\n\r\n");
        return end == std::string::npos ? "" : text.substr(end + 4);
    }
    bool isChunked() const
    {
        return hasField("Transfer-Encoding: chunked");
    }
    std::string body() const
    {
        std::string left = rest();
        if (!isChunked()) {
            return left;
        }
        std::string out;
        for (std::size_t line = left.find("\r\n"); line != std::string::npos; line = left.find("\r\n")) {
            const std::size_t size = std::stoul(left, nullptr, 16);
            if (size == 0) {
                break;
            }
            out += left.substr(line + 2, size);
            left.erase(0, line + 2 + size + 2);
        }
        return out;
    }
    /// Whether a caller takes it for a complete success.
    bool looksComplete() const
    {
        if (!text.starts_with("HTTP/1.1 200")) {
            return false;
        }
        if (isChunked()) {
            return text.ends_with("0\r\n\r\n");
        }
        const std::size_t length = text.find("Content-Length: ");
        return length == std::string::npos ? !wasReset
                                           : rest().size() == std::stoul(text.substr(length + 16));
    }
};

std::string eventText(const std::string &server, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + server + "\n\n";
}

class edge_reply_test : public edge_fleet_test
{
protected:
    std::map<std::string, std::string> m_wholeBodies; ///< of plain responses that servers ended, by server

    /// Begins a signed response of the server.
    void begin(const std::string &server, const std::string &id, const reply_ptr &reply,
        const std::string &type, body_framing framing, std::size_t length = 0)
    {
        std::vector<http_field> fields{{"X-Briarhead-Request-Id", id},
            {"X-Briarhead-Server-Stamp", "by-" + server}, {"Content-Type", type}};
        if (framing == body_framing::Length) {
            fields.push_back({"Content-Length", std::to_string(length)});
        }
        reply->begin(200, fields, framing);
    }
    static void finish(
        const reply_ptr &reply, ending_kind ending, body_framing framing, std::vector<reply_ptr> &silent)
    {
        switch (ending) {
        case ending_kind::Whole:
            reply->end();
            return;
        case ending_kind::Reset:
            reply->reset();
            return;
        case ending_kind::Closed:
            framing == body_framing::Connection ? reply->end() : reply->abort();
            return;
        case ending_kind::Silence:
            silent.push_back(reply);
            return;
        }
    }
    /// Sends bytes that are no events, in the place of a stream, and ends them before they are whole.
    void spoil(const std::string &server, const std::string &id, const reply_ptr &reply, std::size_t bytes,
        body_framing framing, ending_kind ending)
    {
        begin(server, id, reply, "application/octet-stream", framing, 2 * bytes);
        reply->write(std::string(bytes, '#'));
        finishLater(reply, ending, framing);
    }
    void stream(const std::string &server, const std::string &id, const reply_ptr &reply, int from, int to,
        body_framing framing, ending_kind ending, const std::string &rest = "")
    {
        begin(server, id, reply, "text/event-stream", framing, largeBytes);
        for (int i = from; i <= to; ++i) {
            reply->write(eventText(server, i));
        }
        reply->write(rest);
        finishLater(reply, ending, framing);
    }
    /// Ends the response once its bytes have been received, so that a reset takes none with it.
    void finishLater(const reply_ptr &reply, ending_kind ending, body_framing framing)
    {
        m_timers.push_back(m_loop.timer({40}, {}, [this, reply, ending, framing] {
            finish(reply, ending, framing, m_silent);
        }));
    }
    /// The server that gets the request first calls `first`, each other one `second`.
    void answerWith(
        const std::function<void(const std::string &, const std::string &, const reply_ptr &)> &first,
        const std::function<void(const std::string &, const std::string &, int, const reply_ptr &)> &second)
    {
        for (auto *servers : {&m_models, &m_plain}) {
            for (const auto &each : *servers) {
                each->onRun = [this, first, second, server = each->id](
                                  const std::string &id, int from, const reply_ptr &reply) {
                    if (m_runs[id]++ == 0) {
                        first(server, id, reply);
                    } else {
                        second(server, id, from, reply);
                    }
                };
            }
        }
    }
    void continueStream(const std::string &server, const std::string &id, int from, const reply_ptr &reply)
    {
        stream(server, id, reply, from, streamEvents, body_framing::Chunked, ending_kind::Whole);
    }
    auto continuing()
    {
        return [this](const std::string &server, const std::string &id, int from, const reply_ptr &reply) {
            continueStream(server, id, from, reply);
        };
    }
    received_reply replyTo(const std::string &path, const std::string &adapter)
    {
        const auto caller = sendRequest(path, adapter);
        received_reply received;
        EXPECT_TRUE(runUntil([&] {
            const bool open = caller->receive(received.text);
            received.wasReset = !open && errno == ECONNRESET;
            return !open;
        }));
        return received;
    }
    /// What looks complete is the whole body of the server whose stamp it bears, or a whole stream.
    void expectNotMixed(const received_reply &received)
    {
        if (!received.looksComplete()) {
            return;
        }
        const std::string body = received.body();
        const bool isServers = std::any_of(m_wholeBodies.begin(), m_wholeBodies.end(), [&](const auto &each) {
            std::string stamp = "X-Briarhead-Server-Stamp: by-";
            stamp.append(each.first).append("\r\n");
            return received.hasField(stamp) && body == each.second;
        });
        EXPECT_TRUE(isServers || isWholeStream(body))
            << received.text.substr(0, 400) << "\n... " << received.text.size() << " bytes";
        EXPECT_LE(metric(m_settings, "replies_mixed_total"), 0) << "the guard isn't needed here";
    }
    static bool isWholeStream(const std::string &body)
    {
        std::string left = body;
        if (const std::size_t comment = left.find(": comment\n\n"); comment != std::string::npos) {
            left.erase(comment, std::string(": comment\n\n").size()); // carries nothing
        }
        for (int i = 1; i <= streamEvents; ++i) {
            const std::string begin = "id: " + std::to_string(i) + "\ndata: m-";
            if (!left.starts_with(begin) || left.find("\n\n") != begin.size() + 1) {
                return false;
            }
            left.erase(0, begin.size() + 3);
        }
        return left.empty();
    }

    std::vector<reply_ptr> m_silent;
    std::vector<std::shared_ptr<void>> m_timers;
    std::map<std::string, int> m_runs; ///< by request
};

struct spoiled_case
{
    const char *name;
    body_framing framing;
    ending_kind ending;
};

std::ostream &operator<<(std::ostream &out, const spoiled_case &each)
{
    return out << each.name;
}

class spoiled_reply_test : public edge_reply_test, public testing::WithParamInterface<spoiled_case>
{
};

}

/// Guards against another server's events behind bytes that a server sent in the place of a stream.
TEST_P(spoiled_reply_test, LargeResponseThatBreaksOffIsNotContinuedByAnotherServer)
{
    start();
    answerWith(
        [this](const std::string &server, const std::string &id, const reply_ptr &reply) {
            spoil(server, id, reply, largeBytes, GetParam().framing, GetParam().ending);
        },
        continuing());
    for (const char *path : {"/resume/x", "/gen/x", "/safe/x"}) {
        const received_reply received = replyTo(path, std::string(path) == "/safe/x" ? "" : "a1");
        EXPECT_TRUE(received.text.starts_with("HTTP/1.1 200")) << received.text.substr(0, 200);
        EXPECT_EQ(received.text.find("id: 1"), std::string::npos) << path;
        if (GetParam().framing != body_framing::Connection || GetParam().ending != ending_kind::Closed) {
            EXPECT_FALSE(received.looksComplete()) << path;
        }
    }
}

/// A response of which nothing went out is still replaced by another server's.
TEST_P(spoiled_reply_test, SmallResponseThatBreaksOffIsReplaced)
{
    start();
    answerWith(
        [this](const std::string &server, const std::string &id, const reply_ptr &reply) {
            spoil(server, id, reply, 10'000, GetParam().framing, GetParam().ending);
        },
        continuing());
    const received_reply received = replyTo("/resume/x", "a1");
    if (GetParam().framing == body_framing::Connection && GetParam().ending == ending_kind::Closed) {
        EXPECT_EQ(received.body(), std::string(10'000, '#')) << "nobody can tell that it isn't whole";
        EXPECT_FALSE(received.isChunked());
        return;
    }
    EXPECT_TRUE(received.looksComplete());
    EXPECT_TRUE(isWholeStream(received.body())) << received.text.substr(0, 400);
}

INSTANTIATE_TEST_SUITE_P(Ends, spoiled_reply_test,
    testing::Values(spoiled_case{"chunked_reset", body_framing::Chunked, ending_kind::Reset},
        spoiled_case{"chunked_closed", body_framing::Chunked, ending_kind::Closed},
        spoiled_case{"chunked_silence", body_framing::Chunked, ending_kind::Silence},
        spoiled_case{"length_reset", body_framing::Length, ending_kind::Reset},
        spoiled_case{"length_silence", body_framing::Length, ending_kind::Silence},
        spoiled_case{"connection_reset", body_framing::Connection, ending_kind::Reset},
        spoiled_case{"connection_closed", body_framing::Connection, ending_kind::Closed}),
    [](const testing::TestParamInfo<spoiled_case> &each) {
        return std::string(each.param.name);
    });

/// Guards against a second server behind a large response whose server turns out to have crashed.
TEST_F(edge_reply_test, LargeResponseOfACrashedServerIsNotContinued)
{
    start();
    answerWith(
        [this](const std::string &server, const std::string &id, const reply_ptr &reply) {
            begin(server, id, reply, "application/octet-stream", body_framing::Connection);
            reply->write(std::string(largeBytes, '#'));
            m_timers.push_back(m_loop.timer({40}, {}, [this, server, reply] {
                m_links.at(server)->setFault(link_fault::RefusesNew);
                reply->end();
            }));
        },
        continuing());
    const received_reply received = replyTo("/resume/x", "a1");
    EXPECT_EQ(received.text.find("id: 1"), std::string::npos);
    EXPECT_FALSE(received.looksComplete());
}

/// The same where the responses come through a peer.
TEST_F(edge_reply_test, LargeRelayedResponseThatBreaksOffIsNotContinued)
{
    start();
    startPeer("n2", "z");
    setCut(m_links, link_fault::Hangs);
    const auto warmUp = replyTo("/safe/x", "");
    EXPECT_TRUE(warmUp.text.starts_with("HTTP/1.1 200")) << warmUp.text;
    answerWith(
        [this](const std::string &server, const std::string &id, const reply_ptr &reply) {
            spoil(server, id, reply, largeBytes, body_framing::Chunked, ending_kind::Reset);
        },
        continuing());
    const received_reply received = replyTo("/resume/x", "a1");
    EXPECT_TRUE(received.text.starts_with("HTTP/1.1 200")) << received.text.substr(0, 200);
    EXPECT_EQ(received.text.find("id: 1"), std::string::npos);
    EXPECT_FALSE(received.looksComplete());
}

/// Guards against a response of another kind behind the events of a stream.
TEST_F(edge_reply_test, StreamIsContinuedByEventsAlone)
{
    start();
    const auto beginStream = [this](
                                 const std::string &server, const std::string &id, const reply_ptr &reply) {
        stream(server, id, reply, 1, 2, body_framing::Chunked, ending_kind::Reset, "id: 3\ndata: hal");
    };
    using answer = std::function<void(const std::string &, const std::string &, int, const reply_ptr &)>;
    const auto plain = [this](std::size_t bytes, body_framing framing) {
        return [this, bytes, framing](
                   const std::string &server, const std::string &id, int, const reply_ptr &reply) {
            begin(server, id, reply, "application/octet-stream", framing, bytes);
            reply->write(std::string(bytes, '#'));
            reply->end();
        };
    };
    const answer failure = [](const std::string &server, const std::string &id, int, const reply_ptr &reply) {
        reply->respond(
            500, {{"X-Briarhead-Request-Id", id}, {"X-Briarhead-Server-Stamp", "by-" + server}}, "broken");
    };
    const answer unsignedResponse = [](const std::string &, const std::string &id, int,
                                        const reply_ptr &reply) {
        reply->respond(200, {{"X-Briarhead-Request-Id", id}, {"Content-Type", "text/event-stream"}},
            eventText("x", 3) + eventText("x", 4));
    };
    const answer unframed = [this](const std::string &server, const std::string &id, int from,
                                const reply_ptr &reply) {
        stream(server, id, reply, from, streamEvents, body_framing::Connection, ending_kind::Closed);
    };
    const answer garbage = [this](const std::string &server, const std::string &id, int,
                               const reply_ptr &reply) {
        stream(server, id, reply, 1, 0, body_framing::Chunked, ending_kind::Whole, std::string(2'000, '#'));
    };
    for (const answer &second :
        {answer(plain(100, body_framing::Length)), answer(plain(100, body_framing::Chunked)),
            answer(plain(100, body_framing::Connection)), answer(plain(largeBytes, body_framing::Chunked)),
            answer(plain(largeBytes, body_framing::Connection)), failure, unsignedResponse, unframed, garbage,
            answer(continuing())}) {
        answerWith(beginStream, second);
        const received_reply received = replyTo("/resume/x", "a1");
        EXPECT_TRUE(received.body().starts_with(received.body().substr(0, 10) + "data: m-")
            || received.body().starts_with("id: 1\ndata: m-"))
            << received.text.substr(0, 300);
        EXPECT_EQ(received.body().find('#'), std::string::npos);
        EXPECT_EQ(received.body().find("hal"), std::string::npos);
        EXPECT_EQ(received.body().find("data: x"), std::string::npos);
        expectNotMixed(received);
    }
}

/// Guards against bytes that are no events, in the middle of a stream, and a second server behind them.
TEST_F(edge_reply_test, StreamThatTurnsIntoOtherBytesIsContinuedAfterItsLastEventOrNotAtAll)
{
    start();
    for (const std::string &rest : {std::string(5'000, '#'), "#\n" + std::string(5'000, '#'),
             std::string("#\n\n#"), std::string(1'200'000, '#'), std::string(": comment\n\n#")}) {
        for (const ending_kind ending : {ending_kind::Reset, ending_kind::Closed}) {
            answerWith(
                [this, rest, ending](
                    const std::string &server, const std::string &id, const reply_ptr &reply) {
                    stream(server, id, reply, 1, 2, body_framing::Chunked, ending, rest);
                },
                continuing());
            expectNotMixed(replyTo("/resume/x", "a1"));
        }
    }
}

/// A HEAD request has no body that could be mixed.
TEST_F(edge_reply_test, ResponseToAHeadRequestHasNoBody)
{
    start();
    answerWith(
        [this](const std::string &server, const std::string &id, const reply_ptr &reply) {
            begin(server, id, reply, "application/octet-stream", body_framing::Length, largeBytes);
            reply->reset();
        },
        continuing());
    auto caller = http_testing::raw_socket::connectTo(m_settings.front.port);
    caller->send("HEAD /resume/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: head1\r\nX-Briarhead-Model: "
                 "m0/a1\r\nX-Briarhead-Token-Count: 50,50\r\nConnection: close\r\n\r\n");
    received_reply received;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(received.text);
    }));
    EXPECT_EQ(received.rest(), "");
}

/// Guards against mixed responses whatever two servers send: random kinds, sizes, cuts and ends.
TEST_F(edge_reply_test, WhatLooksCompleteIsOneServersResponseWhateverServersSend)
{
    m_timeoutMs = 1'500;
    start();
    std::mt19937 random(7);
    const auto draw = [&random](int count) {
        return static_cast<int>(random() % static_cast<unsigned>(count));
    };
    const auto answer = [&](const std::string &server, const std::string &id, int from,
                            const reply_ptr &reply) {
        const body_framing framing = std::array{body_framing::Chunked, body_framing::Connection,
            body_framing::Length}[static_cast<std::size_t>(draw(3))];
        // A cut response without framing looks whole unless it is reset.
        const ending_kind cut =
            framing == body_framing::Connection || draw(2) == 0 ? ending_kind::Reset : ending_kind::Closed;
        if (draw(5) == 0) {
            reply->respond(
                500, {{"X-Briarhead-Request-Id", id}, {"X-Briarhead-Server-Stamp", "by-" + server}}, "no");
        } else if (draw(2) == 0) {
            const bool whole = draw(2) == 0 && framing != body_framing::Connection;
            const std::size_t size = draw(2) == 0 ? largeBytes : 1'000;
            m_wholeBodies[server] = std::string(size, '#');
            begin(server, id, reply, "application/octet-stream", framing, size);
            reply->write(std::string(whole ? size : size - 1, '#'));
            finishLater(reply, whole ? ending_kind::Whole : cut, framing);
        } else {
            const bool whole = draw(2) == 0 && framing == body_framing::Chunked;
            const std::string rest = std::array<std::string, 3>{
                "", "id: 9\ndata: ha", std::string(3'000, '#')}[static_cast<std::size_t>(draw(3))];
            stream(server, id, reply, from, whole ? streamEvents : from + draw(streamEvents - from + 1) - 1,
                framing, whole ? ending_kind::Whole : cut, whole ? "" : rest);
        }
    };
    answerWith(
        [&](const std::string &server, const std::string &id, const reply_ptr &reply) {
            answer(server, id, 1, reply);
        },
        answer);
    constexpr int requests = 150;
    for (int i = 0; i < requests && !HasFailure(); ++i) {
        expectNotMixed(replyTo("/resume/x", "a1"));
    }
}

}
