#include "ctl/story.h"
#include "protocol/codec.h"
#include "serving/backend_standin.h"
#include "serving/fault_proxy.h"
#include "serving/slow_caller.h"
#include "serving/store_standin.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

namespace briarhead {

namespace {

using http_testing::freePort;
using http_testing::raw_socket;
using behavior = backend_standin::behavior;

/// Runs the real program as a separate process, with the store and the servers in this one.
class edge_process_test : public http_testing::http_fixture
{
protected:
    fake_store m_store{m_loop};
    store_standin m_storeServer{m_store};
    backend_standin m_model{m_loop, "m-1", "llm"};
    backend_standin m_plain{m_loop, "p-1", "app"};
    std::filesystem::path m_folder;
    std::uint16_t m_front = 0;
    std::uint16_t m_ready = 0;
    pid_t m_pid = 0;
    int m_lastId = 0;
    bool m_isReady = false;

    void SetUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "briarhead-edge-XXXXXX").string();
        ASSERT_NE(mkdtemp(name.data()), nullptr);
        m_folder = name;
        m_front = freePort();
        m_ready = freePort();
        writeSettings(8);
        m_store.put("servers/m-1", m_model.entry());
        m_store.put("servers/p-1", m_plain.entry());
        m_store.put("op/config",
            R"({"version":1,"routes":[
              {"name":"g","host":"h","prefix":"/gen/","routeType":"streaming","timeoutMs":8000,"targetLatencyMs":1000,
               "maxAttempts":1,"service":"llm"},
              {"name":"p","host":"h","prefix":"/once/","routeType":"non_idempotent","timeoutMs":4000,"maxAttempts":1,
               "service":"app"}],
              "services":[{"name":"llm","engine":{"slots":4,"kvTokens":10000,"weightsMb":1000,"adapterSlots":2,
               "loadsPerS":5,"models":[{"name":"m0","weightsMb":900,"loadS":0.1,"adapterMb":1}]}},{"name":"app"}]})");
    }
    void TearDown() override
    {
        if (m_pid != 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
        std::filesystem::remove_all(m_folder);
    }
    void writeSettings(int graceS)
    {
        const std::uint16_t peers = freePort();
        std::ofstream settings(m_folder / "node.conf");
        settings << "node=n1\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:" << m_front
                 << "\nlisten.ready=127.0.0.1:" << m_ready << "\ninternalPorts=" << peers << ',' << peers + 1
                 << "\nplatform.address=127.0.0.1:" << m_storeServer.port() << "\nbounds.graceS=" << graceS
                 << "\nmetricsPort=" << freePort() << '\n';
    }
    void startProcess()
    {
        const std::string settings = "--settings=" + (m_folder / "node.conf").string();
        const std::string log = (m_folder / "log").string();
        posix_spawn_file_actions_t files{};
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(
            &files, STDOUT_FILENO, log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        std::string program = BRIARHEAD_EDGE;
        std::string argument = settings;
        char *arguments[] = {program.data(), argument.data(), nullptr};
        ASSERT_EQ(posix_spawn(&m_pid, program.c_str(), &files, nullptr, arguments, environ), 0);
        posix_spawn_file_actions_destroy(&files);
        const millis end = bootNow() + http_testing::testTimeout;
        while (!m_isReady && bootNow() < end) {
            m_isReady = ready();
            runRounds(20);
        }
        ASSERT_TRUE(m_isReady) << logText();
    }
    /// Whether the process reports that it is ready. Doesn't wait.
    bool ready()
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        raw_socket probe(fd);
        const sockaddr_in address = http_testing::loopbackAddress(m_ready);
        (void)connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        std::string received;
        for (int i = 0; i < 50 && received.find("\r\n\r\n") == std::string::npos; ++i) {
            runRounds(1);
            if (i == 1) {
                const std::string request = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n";
                (void)::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
            }
            probe.receive(received);
        }
        return received.starts_with("HTTP/1.1 200");
    }
    std::unique_ptr<raw_socket> sendRequest(const std::string &path, bool model)
    {
        auto caller = raw_socket::connectTo(m_front);
        std::string text = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: id"
            + std::to_string(++m_lastId) + "\r\nX-Briarhead-Deadline-Ms: 7000\r\n";
        text += model ? "X-Briarhead-Model: m0/a1\r\nX-Briarhead-Token-Count: 500,50\r\n" : "";
        caller->send(text + "Connection: close\r\nContent-Length: 2\r\n\r\nhi");
        return caller;
    }
    std::string readResponse(raw_socket &caller)
    {
        std::string received;
        EXPECT_TRUE(runUntil([&] {
            return !caller.receive(received);
        })) << logText();
        return received;
    }
    ownership_record ownershipRecord() const
    {
        error why;
        const auto found = m_store.items.find("briarhead/orderer/m-1");
        return found == m_store.items.end()
            ? ownership_record{}
            : decodeOwnershipRecord(found->second.value, why).value_or(ownership_record{});
    }
    std::string logText() const
    {
        std::ifstream file(m_folder / "log");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }
    int exitStatus()
    {
        int status = -1;
        EXPECT_TRUE(runUntil([&] {
            return waitpid(m_pid, &status, WNOHANG) == m_pid;
        }));
        m_pid = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
};

}

TEST_F(edge_process_test, TerminatedProcessCompletesItsRequestsAndReleasesItsServers)
{
    startProcess();
    ASSERT_EQ(ownershipRecord().node, "n1");
    m_plain.currentBehavior = behavior::Silent;
    const auto caller = sendRequest("/once/x", false);
    ASSERT_TRUE(runUntil([&] {
        return m_plain.ran.size() == 1;
    }));
    kill(m_pid, SIGTERM);
    EXPECT_TRUE(runUntil([&] {
        return m_store.items.count("briarhead/daemon/n1") == 0;
    })) << logText();
    EXPECT_EQ(ownershipRecord().node, "") << "released, for another daemon to claim";
    EXPECT_FALSE(ready());
    m_plain.respondToHeld("late but whole");
    const std::string response = readResponse(*caller);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
    EXPECT_TRUE(response.ends_with("late but whole"));
    EXPECT_EQ(exitStatus(), 0) << logText();
}

// Guards against a process that exits while it checks whether a response is whole: its caller would lose it.
TEST_F(edge_process_test, TerminatedProcessCompletesTheCheckOfAResponsesEnd)
{
    fault_proxy link(m_loop, m_plain.port);
    m_plain.advertisedPort = link.port();
    m_store.put("servers/p-1", m_plain.entry());
    startProcess();
    m_plain.currentBehavior = behavior::Silent;
    m_plain.ending = response_ending{body_framing::Connection, {}, false};
    const auto caller = sendRequest("/once/x", false);
    ASSERT_TRUE(runUntil([&] {
        return m_plain.ran.size() == 1;
    }));
    kill(m_pid, SIGTERM);
    ASSERT_TRUE(runUntil([&] {
        return m_store.items.count("briarhead/daemon/n1") == 0;
    })) << logText();
    link.setFault(link_fault::HangsNew);
    m_plain.respondToHeld("");
    const std::string response = readResponse(*caller);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
    EXPECT_TRUE(response.ends_with("served by p-1")) << response;
    EXPECT_EQ(exitStatus(), 0) << logText();
    EXPECT_EQ(m_plain.ran.size(), 1U);
}

// Guards against a process that stops and cuts the responses that callers are still reading.
TEST_F(edge_process_test, TerminatedProcessDeliversResponsesToCallersThatReadSlowly)
{
    startProcess();
    m_plain.currentBehavior = behavior::Silent;
    const std::string body = numberedBody(400'000);
    std::vector<std::unique_ptr<slow_caller>> callers;
    for (const char *fields : {"", "Connection: close\r\n"}) {
        const std::string request = "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: slow"
            + std::to_string(++m_lastId) + "\r\nX-Briarhead-Deadline-Ms: 15000\r\nContent-Length: 0\r\n"
            + fields + "\r\n";
        callers.push_back(std::make_unique<slow_caller>(m_front, request, reading_pace{.pause = {2'500}}));
    }
    ASSERT_TRUE(runUntil([&] {
        return m_plain.ran.size() == callers.size();
    }));
    kill(m_pid, SIGTERM);
    runRounds(200);
    m_plain.respondToHeld(body);
    ASSERT_TRUE(runUntil([&] {
        return std::count_if(callers.begin(), callers.end(), [](const auto &caller) {
            return caller->read();
        }) == static_cast<std::ptrdiff_t>(callers.size());
    })) << logText();
    for (const auto &caller : callers) {
        EXPECT_TRUE(caller->body() == body) << caller->body().substr(0, 100) << logText();
    }
    EXPECT_EQ(exitStatus(), 0) << logText();
}

// Guards against requests that are passed on late in the grace and cut at its end, whatever its length.
TEST_F(edge_process_test, RequestsLateInTheGraceAreAnsweredOrRefusedAsNotRun)
{
    constexpr int graceS = 3;
    writeSettings(graceS);
    startProcess();
    m_plain.currentBehavior = behavior::Slow;
    m_plain.responseDelay = {1'200};
    kill(m_pid, SIGTERM);
    struct late_call
    {
        std::string id;
        std::unique_ptr<raw_socket> caller;
        std::string received;
        bool ended = false;
    };
    std::vector<late_call> calls;
    const auto readAll = [&calls] {
        std::size_t ended = 0;
        for (late_call &each : calls) {
            each.ended = each.ended || !each.caller->receive(each.received);
            ended += each.ended ? 1U : 0U;
        }
        return ended == calls.size();
    };
    while (waitpid(m_pid, nullptr, WNOHANG) == 0) {
        auto caller = std::make_unique<raw_socket>(socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = http_testing::loopbackAddress(m_front);
        if (connect(caller->fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            const std::string id = "late" + std::to_string(calls.size());
            const std::string request = "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + id
                + "\r\nX-Briarhead-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
            if (::send(caller->fd(), request.data(), request.size(), MSG_NOSIGNAL) > 0) {
                calls.push_back({id, std::move(caller), "", false});
            }
        }
        runRounds(40);
        readAll();
    }
    m_pid = 0;
    EXPECT_TRUE(runUntil(readAll));
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const late_call &each : calls) {
        const bool ran = std::any_of(m_plain.ran.begin(), m_plain.ran.end(), [&each](const auto &request) {
            const std::string *id = findField(request.head, "x-briarhead-request-id");
            return id != nullptr && *id == each.id;
        });
        if (ran) {
            EXPECT_TRUE(each.received.starts_with("HTTP/1.1 200")) << each.id << ": " << each.received;
        } else if (!each.received.empty()) { // else it was not read before the end
            EXPECT_TRUE(each.received.starts_with("HTTP/1.1 503")) << each.id << ": " << each.received;
        }
        served += ran ? 1 : 0;
        refused += each.received.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    EXPECT_GT(served, 0U);
    EXPECT_GT(refused, 0U);
}

// Guards against requests that end with a closed connection where the process can still say so.
TEST_F(edge_process_test, OpenRequestsGetTheirFinalResponseBeforeTheExit)
{
    writeSettings(3);
    startProcess();
    m_plain.currentBehavior = behavior::Silent;
    const auto caller = sendRequest("/once/x", false);
    ASSERT_TRUE(runUntil([&] {
        return m_plain.ran.size() == 1;
    }));
    kill(m_pid, SIGTERM);
    const std::string response = readResponse(*caller);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response << logText();
    EXPECT_EQ(exitStatus(), 1);
}

// Guards against a long stream that is cut because its caller pauses: the server has to wait instead.
TEST_F(edge_process_test, LongStreamIsPausedWhileItsCallerDoesNotRead)
{
    constexpr int events = 1'500;
    const std::string data(2'000, 'd');
    startProcess();
    m_model.onRun = [&](const std::string &requestId, int, const std::shared_ptr<front_reply> &reply) {
        m_model.respondWithStream(reply, requestId, 1, 0); // the head
        const auto next = std::make_shared<int>(1);
        const std::weak_ptr<front_reply> weak = reply;
        const auto writeMore = [next, weak, data] {
            const auto locked = weak.lock();
            while (locked && *next <= events && locked->pendingBytes() < maxUnsentResponseBytes) {
                locked->write("id: " + std::to_string((*next)++) + "\ndata: " + data + "\n\n");
            }
            if (locked && *next > events) {
                locked->end();
            }
        };
        reply->onDrained([writeMore, reply] {
            writeMore();
        });
        writeMore();
    };
    const std::string request = "POST /gen/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: long\r\n"
                                "X-Briarhead-Deadline-Ms: 7000\r\nX-Briarhead-Model: m0/a1\r\n"
                                "X-Briarhead-Token-Count: 500,50\r\nContent-Length: 0\r\n\r\n";
    slow_caller caller(m_front, request, {.windowBytes = 65'536, .pause = {1'500}});
    ASSERT_TRUE(runUntil([&] {
        return caller.read();
    })) << logText();
    const std::string body = caller.body();
    EXPECT_GT(body.size(), events * data.size()) << body.substr(0, 100) << logText();
    EXPECT_NE(body.find("id: " + std::to_string(events) + "\n"), std::string::npos);
}

// After a kill the store still has the process's ownership records. The restarted process must not have to
// wait for their lease to expire.
TEST_F(edge_process_test, RestartedProcessTakesItsServersAtOnceWithAHigherFencingToken)
{
    startProcess();
    const auto first = sendRequest("/gen/x", true);
    EXPECT_NE(readResponse(*first).find("id: 4"), std::string::npos);
    const std::uint64_t before = m_model.fence;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_model.adapters.clear();
    m_isReady = false;
    startProcess();
    const auto second = sendRequest("/gen/x", true);
    EXPECT_NE(readResponse(*second).find("id: 4"), std::string::npos) << logText();
    EXPECT_GT(m_model.fence, before);
}

// From the log alone, an operator can find out which server cut off the stream with a given request id.
TEST_F(edge_process_test, LogExplainsWhyAStreamWasCutOff)
{
    startProcess();
    m_model.currentBehavior = behavior::CutsStream;
    const auto caller = sendRequest("/gen/x", true);
    EXPECT_EQ(readResponse(*caller).find("0\r\n\r\n"), std::string::npos);
    const std::string story = storyText(tellStory(logText(), "id1"));
    for (const char *expected : {"request.accepted", "request.routed", "request.sent", "request.broken",
             "\"server\":\"m-1\"", "\"last_event\":\"2\"", "request.ended", "cut_off"}) {
        EXPECT_NE(story.find(expected), std::string::npos) << expected << '\n' << story;
    }
    EXPECT_EQ(story.find("missing:"), std::string::npos) << story;
}

// The log has the reason and the Retry-After time that the caller received.
TEST_F(edge_process_test, LogExplainsWhyARequestWasRefused)
{
    startProcess();
    m_plain.currentBehavior = behavior::Sheds;
    EXPECT_TRUE(readResponse(*sendRequest("/once/x", false)).starts_with("HTTP/1.1 503"));
    const std::string story = storyText(tellStory(logText(), "id1"));
    EXPECT_NE(story.find("the server did not take it"), std::string::npos) << story;
    EXPECT_NE(story.find("come_back_ms"), std::string::npos) << story;
}

// The log shows when a new adapter version became known, and which version was requested from the server.
TEST_F(edge_process_test, LogShowsWhichAdapterVersionWasRequested)
{
    startProcess();
    m_store.put("op/version/m0.a1", R"({"model":"m0","adapter":"a1","version":5})");
    ASSERT_TRUE(runUntil([&] {
        return logText().find("version.named") != std::string::npos;
    }));
    readResponse(*sendRequest("/gen/x", true));
    const std::string story = storyText(tellStory(logText(), "id1"));
    EXPECT_NE(story.find("version.named"), std::string::npos) << story;
    EXPECT_NE(story.find("\"adapter_version\":5"), std::string::npos) << story;
}

}
