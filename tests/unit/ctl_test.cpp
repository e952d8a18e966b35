#include "ctl/command.h"
#include "ctl/table.h"
#include "state/key_hash.h"
#include "transport/http_server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdlib>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace briarhead {
namespace {

using nlohmann::json;

constexpr std::size_t maxBodyBytes = 1 << 20;
constexpr millis stopPollInterval{2};
const std::string patchText = R"({"base":3,"set":{"policy":{"max_replicas":2}}})";

/// A daemon that sends the same response to every admin request, or resets the connection. It runs on its own
/// thread because the command under test blocks.
class fake_daemon
{
public:
    fake_daemon(int status, json page, bool abortConnection = false)
    {
        std::promise<std::uint16_t> port;
        auto ready = port.get_future();
        m_thread = std::thread([this, status, page = std::move(page), abortConnection, &port] {
            loop eventLoop;
            error why;
            const auto onRequest = [&](http_request request, const std::shared_ptr<http_reply> &reply) {
                const std::scoped_lock lock(m_mutex);
                m_requests.push_back(std::move(request));
                if (abortConnection) {
                    reply->abort();
                } else {
                    reply->respond(status, {}, page.dump());
                }
            };
            const auto server = http_server::listen(eventLoop, "127.0.0.1", 0, maxBodyBytes, onRequest, why);
            port.set_value(server ? server->port() : 0);
            const auto timer = eventLoop.timer(stopPollInterval, stopPollInterval, [&] {
                if (m_stop) {
                    eventLoop.stop();
                }
            });
            eventLoop.run();
        });
        m_port = ready.get();
    }
    ~fake_daemon()
    {
        m_stop = true;
        m_thread.join();
    }
    fake_daemon(const fake_daemon &) = delete;
    fake_daemon &operator=(const fake_daemon &) = delete;

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_port);
    }
    http_request lastRequest()
    {
        const std::scoped_lock lock(m_mutex);
        return m_requests.empty() ? http_request{} : m_requests.back();
    }

private:
    std::atomic<bool> m_stop = false;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    std::vector<http_request> m_requests;
    std::thread m_thread;
};

/// Exit code and output of a command line.
struct command_result
{
    int code = 0;
    std::string out;
    std::string err;
};

command_result runWith(const std::vector<std::string> &arguments, const std::string &input = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    auto *const oldIn = std::cin.rdbuf(in.rdbuf());
    auto *const oldOut = std::cout.rdbuf(out.rdbuf());
    auto *const oldErr = std::cerr.rdbuf(err.rdbuf());
    const int code = runCommand(docopt::docopt_parse(commandUsage, arguments));
    std::cin.rdbuf(oldIn);
    std::cout.rdbuf(oldOut);
    std::cerr.rdbuf(oldErr);
    return {code, out.str(), err.str()};
}

class ctl_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ::setenv("BRIARHEAD_OPERATOR_KEY", "operator", 1);
    }
    void TearDown() override
    {
        ::unsetenv("BRIARHEAD_OPERATOR_KEY");
    }

    static command_result submitPatchTo(const std::string &url)
    {
        return runWith({"patch", "-", "--by=ivana", "--daemon=" + url}, patchText);
    }
    static json errorBody(const char *code, const char *text)
    {
        return {{"error", {{"code", code}, {"message", text}}}};
    }
};

}

TEST_F(ctl_test, PatchIsSentWithIdAuthorAndOperatorKey)
{
    fake_daemon daemon(200, {{"version", 4}});
    const auto result = submitPatchTo(daemon.url());
    EXPECT_EQ(result.code, 0);
    EXPECT_EQ(result.out, "Version 4 is accepted.\n");
    const auto request = daemon.lastRequest();
    EXPECT_EQ(request.path, "/admin/patch");
    EXPECT_EQ(request.headers.at("authorization"), "Bearer operator");
    const auto body = json::parse(request.body);
    EXPECT_EQ(body["by"], "ivana");
    EXPECT_FALSE(body["id"].get<std::string>().empty());
    EXPECT_EQ(body["base"], 3);
}

TEST_F(ctl_test, DryRunPrintsTheChanges)
{
    fake_daemon daemon(200, {{"dry_run", true}, {"changes", {"~ policy/max_replicas 4 -> 2"}}});
    const auto result = runWith({"patch", "-", "--dry-run", "--daemon=" + daemon.url()}, patchText);
    EXPECT_EQ(result.out, "~ policy/max_replicas 4 -> 2\n");
    EXPECT_EQ(daemon.lastRequest().query.at("dry_run"), "1");
}

TEST_F(ctl_test, ErrorStatusDeterminesTheExitCode)
{
    const struct
    {
        int status;
        const char *code;
        int exit;
    } cases[]{{409, "stale_patch", 2}, {400, "bad_patch", 2}, {401, "unauthorised", 2},
        {503, "service_down", 4}, {504, "connection_lost", 3}};
    for (const auto &testCase : cases) {
        fake_daemon daemon(testCase.status, errorBody(testCase.code, "what to do about it"));
        const auto result = submitPatchTo(daemon.url());
        EXPECT_EQ(result.code, testCase.exit) << testCase.code;
        EXPECT_NE(result.err.find("what to do about it"), std::string::npos);
    }
}

/// The daemon crashes after it received the patch and before it responded. The patch may have been applied,
/// so the command must report an unknown outcome and print the patch id for a retry.
TEST_F(ctl_test, LostResponseGivesUnknownOutcomeAndPrintsThePatchId)
{
    fake_daemon daemon(200, {}, true);
    const auto result = submitPatchTo(daemon.url());
    EXPECT_EQ(result.code, 3);
    const auto id = json::parse(daemon.lastRequest().body)["id"].get<std::string>();
    EXPECT_NE(result.err.find(id), std::string::npos) << result.err;
}

TEST_F(ctl_test, UnreachableDaemonGivesExitCodeUnreachable)
{
    std::string url;
    {
        const fake_daemon stopped(200, {});
        url = stopped.url();
    }
    const auto result = submitPatchTo(url);
    EXPECT_EQ(result.code, 4);
    EXPECT_NE(result.err.find("--daemon or BRIARHEAD_DAEMON"), std::string::npos);
}

TEST_F(ctl_test, InvalidArgumentsInputOrMissingKeyAreUsageErrors)
{
    EXPECT_EQ(runWith({"patch", "/nonexistent.json"}).code, 1);
    EXPECT_EQ(runWith({"patch", "-"}, "{\"base\":").code, 1);
    ::unsetenv("BRIARHEAD_OPERATOR_KEY");
    const auto result = runWith({"history"});
    EXPECT_EQ(result.code, 1);
    EXPECT_NE(result.err.find("--key-file"), std::string::npos);
    EXPECT_THROW(docopt::docopt_parse(commandUsage, {"drain", "planet", "x"}), std::runtime_error);
}

TEST_F(ctl_test, InstancesArePrintedAsTableOrAsJson)
{
    const json page{{"instances",
        {{{"name", "zg-2"}, {"failure_domain", "zg-dubrava"}, {"state", "alive"}, {"config_version", 7},
             {"owned", 3}},
            {{"name", "zg-1"}, {"failure_domain", "vz-centar"}, {"state", "leaving"}, {"config_version", 6},
                {"owned", 0}}}}};
    fake_daemon daemon(200, page);
    EXPECT_EQ(runWith({"instances", "--daemon=" + daemon.url()}).out,
        "NAME  FAILURE DOMAIN  STATE    VERSION  OWNS\n"
        "zg-1  vz-centar       leaving  6        0\n"
        "zg-2  zg-dubrava      alive    7        3\n");
    const auto asJson = runWith({"instances", "--json", "--daemon=" + daemon.url()});
    EXPECT_EQ(json::parse(asJson.out), page);
}

TEST_F(ctl_test, DrainSendsServerOrInstanceAndUndo)
{
    fake_daemon daemon(200, json::object());
    EXPECT_EQ(runWith({"drain", "server", "e1", "--undo", "--daemon=" + daemon.url()}).code, 0);
    EXPECT_EQ(json::parse(daemon.lastRequest().body), json({{"server", "e1"}, {"undo", true}}));
    EXPECT_EQ(runWith({"drain", "instance", "zg-1", "--daemon=" + daemon.url()}).code, 0);
    EXPECT_EQ(json::parse(daemon.lastRequest().body), json({{"instance", "zg-1"}, {"undo", false}}));
}

TEST_F(ctl_test, ShowPrintsASectionOrAnEntry)
{
    fake_daemon daemon(200, {{"version", 4}, {"policy", {{"max_replicas", 2}}}});
    EXPECT_EQ(runWith({"show", "policy", "max_replicas", "--daemon=" + daemon.url()}).out, "2\n");
    EXPECT_EQ(runWith({"show", "polisy", "--daemon=" + daemon.url()}).code, 2);
}

TEST_F(ctl_test, HashKeyPrintsTheHashOfAKeyWithoutTheNewline)
{
    const auto result = runWith({"hash-key"}, "demo\n");
    EXPECT_EQ(result.out, keyHash("demo") + '\n');
    EXPECT_EQ(runWith({"hash-key"}, "\n").code, 1);
}

}
