#include "soak/fleet_fixture.h"

#include <algorithm>
#include <cerrno>

namespace briarhead::soak {

namespace {

constexpr int streamEvents = 4; ///< of a stand-in's stream

/// A response as its caller received it.
struct caller_response
{
    std::string text;
    bool wasReset = false; ///< the connection ended with a reset, not with an orderly close

    std::string head() const
    {
        return text.substr(0, text.find("\r\n\r\n"));
    }
    bool hasField(const std::string &line) const
    {
        return head().find("\r\n" + line) != std::string::npos;
    }
    bool isSuccess() const
    {
        return text.starts_with("HTTP/1.1 200");
    }
    /// The body without its chunk headers, as far as it was received.
    std::string body() const
    {
        const std::size_t end = text.find("\r\n\r\n");
        std::string rest = end == std::string::npos ? "" : text.substr(end + 4);
        if (!hasField("Transfer-Encoding: chunked")) {
            return rest;
        }
        std::string out;
        while (!rest.empty()) {
            const std::size_t lineEnd = rest.find("\r\n");
            const std::size_t size = lineEnd == std::string::npos ? 0 : std::stoul(rest, nullptr, 16);
            if (size == 0) {
                break;
            }
            out += rest.substr(lineEnd + 2, size);
            rest.erase(0, lineEnd + 2 + size + 2);
        }
        return out;
    }
    /// Whether its framing says that it is complete.
    bool isFramedAsComplete() const
    {
        if (hasField("Transfer-Encoding: chunked")) {
            return text.ends_with("0\r\n\r\n");
        }
        return hasField("Content-Length: " + std::to_string(body().size()) + "\r\n")
            || text.find("\r\nContent-Length: " + std::to_string(body().size()) + "\r\n")
            != std::string::npos;
    }
    /// Whether it has neither length nor chunks, and its connection was closed in order.
    bool endsWithConnection() const
    {
        return isSuccess() && !wasReset && head().find("\r\nContent-Length:") == std::string::npos
            && !hasField("Transfer-Encoding: chunked");
    }
};

/// Receives what has arrived. Returns false once the connection has ended.
bool receive(const raw_socket &caller, caller_response &response)
{
    char buffer[4096];
    for (;;) {
        const ssize_t count = recv(caller.fd(), buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count > 0) {
            response.text.append(buffer, static_cast<std::size_t>(count));
            continue;
        }
        response.wasReset = count < 0 && errno != EAGAIN;
        return count < 0 && errno == EAGAIN;
    }
}

std::size_t countEvents(const std::string &body)
{
    std::size_t count = 0;
    for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1)) {
        ++count;
    }
    return count;
}

struct ending_case
{
    const char *path;
    body_framing framing;
    bool resets;
};

std::ostream &operator<<(std::ostream &out, const ending_case &each)
{
    return out << each.path << ' ' << nameOf(each.framing) << (each.resets ? " reset" : " closed");
}

/// Servers frame their responses in one way and cut them.
class response_end_fixture : public fleet_fixture
{
protected:
    std::string m_httpVersion = "1.1";
    std::shared_ptr<std::set<std::string>> m_cutRequests = std::make_shared<std::set<std::string>>();

    void setEnding(const response_ending &ending)
    {
        for (const auto &[id, server] : m_servers) {
            server->ending = ending;
            server->cutRequests = m_cutRequests;
        }
    }
    bool isStream(const std::string &path) const
    {
        return path == "/gen/" || path == "/resume/";
    }
    void send(raw_socket &caller, const std::string &path)
    {
        const std::string id = "e" + std::to_string(++m_lastId);
        caller.send("POST " + path + "x HTTP/" + m_httpVersion + "\r\nHost: h\r\nX-Briarhead-Request-Id: "
            + id + "\r\nX-Briarhead-Deadline-Ms: 4000\r\nContent-Length: 0\r\nConnection: close\r\n"
            + (isStream(path) ? "X-Briarhead-Model: m0/a1\r\nX-Briarhead-Token-Count: 50,50\r\n" : "")
            + "\r\n");
    }
    caller_response responseTo(const std::string &path)
    {
        const auto caller = raw_socket::connectTo(m_daemons[m_lastId % m_daemons.size()].frontPort);
        send(*caller, path);
        caller_response response;
        EXPECT_TRUE(runUntil([&] {
            return !receive(*caller, response);
        }));
        return response;
    }
    std::size_t bodySize(const std::string &path) const
    {
        // The longest id and body of a stand-in; cuts beyond the end of a shorter one leave it whole.
        return isStream(path) ? streamEvents * std::string("id: 1\ndata: llm.10\n\n").size()
                              : std::string("served by app.10").size();
    }
    bool isWhole(const std::string &path, const std::string &body) const
    {
        return isStream(path) ? countEvents(body) == streamEvents && body.ends_with("\n\n")
                              : body.starts_with("served by app.") && isdigit(body.back()) != 0;
    }
    std::size_t mostRuns() const
    {
        std::map<std::string, std::size_t> runs;
        std::size_t most = 0;
        for (const auto &[id, server] : m_servers) {
            for (const front_request &request : server->ran) {
                most = std::max(most, ++runs[*findField(request.head, "X-Briarhead-Request-Id")]);
            }
        }
        return most;
    }
    std::vector<backend_standin *> modelServers()
    {
        std::vector<backend_standin *> out;
        for (const auto &[id, server] : m_servers) {
            if (id.starts_with("llm")) {
                out.push_back(server.get());
            }
        }
        return out;
    }
    /// Sends a request for a stream, and lets its server crash after two events. All others serve.
    caller_response responseOfACrashedServer(const std::string &path, const response_ending &ending)
    {
        setEnding(ending);
        for (backend_standin *server : modelServers()) {
            server->currentBehavior = backend_standin::behavior::HoldsStream;
        }
        const auto caller = raw_socket::connectTo(m_daemons[0].frontPort);
        send(*caller, path);
        caller_response response;
        EXPECT_TRUE(runUntil([&] {
            receive(*caller, response);
            return countEvents(response.text) == 2;
        }));
        for (backend_standin *server : modelServers()) {
            server->currentBehavior = backend_standin::behavior::Serves;
        }
        for (backend_standin *server : modelServers()) {
            if (!server->ran.empty()) {
                server->crash();
                m_servers.erase(server->id);
                break;
            }
        }
        EXPECT_TRUE(runUntil([&] {
            return !receive(*caller, response);
        }));
        return response;
    }
};

class response_end_test : public response_end_fixture, public testing::WithParamInterface<ending_case>
{
};

using crashed_server_test = response_end_fixture;
using resumed_stream_test = response_end_fixture;

}

/// Guards against streams that a crash cuts between two events, where nothing is left of an event.
TEST_F(crashed_server_test, ResumableStreamGoesOnThoughTheConnectionWasClosedInOrder)
{
    const caller_response response =
        responseOfACrashedServer("/resume/", {body_framing::Connection, {}, false});
    EXPECT_TRUE(isWhole("/resume/", response.body())) << response.text;
    EXPECT_TRUE(response.endsWithConnection()) << response.text;
}

/// Guards against a last chunk for a resumed stream whose second server announces no end.
TEST_F(crashed_server_test, StreamThatBeganInChunksEndsInChunksOrIsCutOff)
{
    setEnding({body_framing::Chunked, {}, false});
    for (backend_standin *server : modelServers()) {
        server->currentBehavior = backend_standin::behavior::HoldsStream;
    }
    const auto caller = raw_socket::connectTo(m_daemons[0].frontPort);
    send(*caller, "/resume/");
    caller_response response;
    ASSERT_TRUE(runUntil([&] {
        receive(*caller, response);
        return countEvents(response.text) == 2;
    }));
    setEnding({body_framing::Connection, {}, false});
    for (backend_standin *server : modelServers()) {
        server->currentBehavior = backend_standin::behavior::Serves;
        server->closeHeldStreams();
    }
    ASSERT_TRUE(runUntil([&] {
        return !receive(*caller, response);
    }));
    EXPECT_TRUE(response.isFramedAsComplete()) << "a chunked response that its server ends is whole";
    response = responseOfACrashedServer("/resume/", {body_framing::Chunked, {}, false});
    EXPECT_EQ(response.isFramedAsComplete(), isWhole("/resume/", response.body())) << response.text;
}

/// Guards against an orderly end where the server is known to have crashed.
TEST_F(crashed_server_test, StreamThatCannotGoOnIsReset)
{
    const caller_response response = responseOfACrashedServer("/gen/", {body_framing::Connection, {}, false});
    EXPECT_TRUE(response.wasReset) << response.text;
    EXPECT_FALSE(response.isFramedAsComplete()) << response.text;
}

/// Guards against streams that are cut off although another server could go on with them.
TEST_F(resumed_stream_test, GoesOnAfterACutInsideAnEventOrAReset)
{
    const struct
    {
        response_ending ending;
        std::size_t first;
    } cases[] = {{{body_framing::Connection, {}, true}, 0}, {{body_framing::Connection, {}, false}, 5},
        {{body_framing::Chunked, {}, false}, 0}, {{body_framing::Length, {}, true}, 7}};
    for (const auto &each : cases) {
        for (std::size_t cut = each.first; cut < bodySize("/resume/"); cut += 19) {
            response_ending ending = each.ending;
            ending.cutAt = cut;
            setEnding(ending);
            const caller_response response = responseTo("/resume/");
            EXPECT_TRUE(isWhole("/resume/", response.body())) << "cut at " << cut << ": " << response.text;
        }
    }
}

/// Guards against a stream that starts again from its first event, since no event names a place to go on.
TEST_F(resumed_stream_test, StreamWithoutIdsIsNotResumed)
{
    for (backend_standin *server : modelServers()) {
        server->numbersEvents = false;
    }
    setEnding({body_framing::Chunked, 15, true});
    const caller_response response = responseTo("/resume/");
    EXPECT_FALSE(response.isFramedAsComplete()) << response.text;
    EXPECT_EQ(response.body().find("data: "), response.body().rfind("data: ")) << response.text;
}

/// Guards against cut responses that reach their caller framed as complete, and against half events.
TEST_P(response_end_test, ResponseCutAtAnyByteIsNotFramedAsComplete)
{
    const std::string path = GetParam().path;
    const bool once = path == "/once/" || path == "/gen/";
    for (std::size_t cut = 0; cut < bodySize(path); ++cut) {
        setEnding({GetParam().framing, cut, GetParam().resets});
        const caller_response response = responseTo(path);
        const std::string body = response.body();
        if (response.isSuccess() && response.isFramedAsComplete()) {
            EXPECT_TRUE(isWhole(path, body)) << "cut at " << cut << ": " << response.text;
        }
        if (response.isSuccess() && isStream(path)) {
            EXPECT_TRUE(body.empty() || body.ends_with("\n\n")) << "cut at " << cut << ": " << response.text;
        }
        if (response.endsWithConnection() && GetParam().framing != body_framing::Connection) {
            EXPECT_TRUE(isWhole(path, body)) << "cut at " << cut << ": " << response.text;
        }
        if (response.endsWithConnection() && GetParam().resets) {
            EXPECT_TRUE(isWhole(path, body)) << "cut at " << cut << ": " << response.text;
        }
    }
    if (once) {
        EXPECT_EQ(mostRuns(), 1U);
    }
}

/// Guards against aborted streams that look complete to HTTP/1.0 callers, which have no last chunk.
TEST_P(response_end_test, Http10CallerSeesAResetWhereAResponseIsCutOff)
{
    const std::string path = GetParam().path;
    m_httpVersion = "1.0";
    for (std::size_t cut = 1; cut < bodySize(path); cut += 5) {
        setEnding({GetParam().framing, cut, GetParam().resets});
        const caller_response response = responseTo(path);
        const bool known = GetParam().framing != body_framing::Connection || GetParam().resets
            || (isStream(path) && !response.body().ends_with("\n\n"));
        if (known && response.isSuccess() && !response.wasReset) {
            EXPECT_TRUE(isWhole(path, response.body())) << "cut at " << cut << ": " << response.text;
        }
    }
}

/// Guards against whole responses that are refused or broken off because their end proves nothing.
TEST_P(response_end_test, WholeResponsesAreServed)
{
    setEnding({GetParam().framing, {}, false});
    for (int i = 0; i < 12; ++i) {
        const caller_response response = responseTo(GetParam().path);
        EXPECT_TRUE(response.isSuccess() && !response.wasReset && isWhole(GetParam().path, response.body()))
            << response.text;
        EXPECT_TRUE(response.isFramedAsComplete() || response.endsWithConnection()) << response.text;
        EXPECT_EQ(response.endsWithConnection(), GetParam().framing == body_framing::Connection)
            << "a caller is told what this daemon knows: " << response.text;
    }
}

INSTANTIATE_TEST_SUITE_P(Ends, response_end_test,
    testing::Values(ending_case{"/gen/", body_framing::Connection, false},
        ending_case{"/gen/", body_framing::Connection, true},
        ending_case{"/gen/", body_framing::Chunked, false}, ending_case{"/gen/", body_framing::Length, true},
        ending_case{"/resume/", body_framing::Connection, false},
        ending_case{"/resume/", body_framing::Connection, true},
        ending_case{"/resume/", body_framing::Chunked, true},
        ending_case{"/once/", body_framing::Connection, false},
        ending_case{"/once/", body_framing::Connection, true},
        ending_case{"/once/", body_framing::Length, false},
        ending_case{"/safe/", body_framing::Connection, false},
        ending_case{"/safe/", body_framing::Connection, true},
        ending_case{"/safe/", body_framing::Chunked, false}),
    [](const testing::TestParamInfo<ending_case> &each) {
        std::string name = each.param.path;
        std::erase(name, '/');
        return name + '_' + std::string(nameOf(each.param.framing))
            + (each.param.resets ? "_reset" : "_closed");
    });

}
