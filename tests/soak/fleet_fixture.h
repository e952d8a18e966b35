#pragma once

#include "serving/backend_standin.h"
#include "serving/store_standin.h"
#include "soak/daemon_process.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace briarhead::soak {

using http_testing::raw_socket;

/// Three daemons as processes, their store, and five servers of each kind.
class fleet_fixture : public http_testing::http_fixture
{
protected:
    fake_store m_store{m_loop};
    store_standin m_storeServer{m_store};
    std::map<std::string, std::unique_ptr<backend_standin>> m_servers; ///< by id
    std::vector<daemon_process> m_daemons;
    std::vector<std::shared_ptr<void>> m_timers;
    std::filesystem::path m_folder;
    int m_starts = 0;
    int m_lastId = 0;

    virtual void prepareServer(backend_standin &, const std::string &)
    {
    }
    void SetUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "briarhead-fleet-XXXXXX").string();
        ASSERT_NE(mkdtemp(name.data()), nullptr);
        m_folder = name;
        putConfig();
        for (int i = 0; i < 5; ++i) {
            startServer("llm");
            startServer("app");
        }
        for (const char *node : {"n0", "n1", "n2"}) {
            m_daemons.push_back(makeDaemon(node, node, m_storeServer.port(), m_folder));
        }
        startDaemons();
    }
    void TearDown() override
    {
        for (daemon_process &daemon : m_daemons) {
            stop(daemon);
        }
        std::filesystem::remove_all(m_folder);
    }
    void putConfig()
    {
        const auto route = [](const char *prefix, const char *kind, const char *service, bool resumable) {
            return nlohmann::json{{"name", prefix}, {"host", "h"}, {"prefix", prefix}, {"routeType", kind},
                {"timeoutMs", 4'000}, {"targetLatencyMs", 1'000}, {"maxAttempts", 2}, {"service", service},
                {"resumable", resumable}};
        };
        const nlohmann::json engine{{"slots", 4}, {"kvTokens", 10'000}, {"weightsMb", 1'000},
            {"adapterSlots", 2}, {"loadsPerS", 50},
            {"models", {{{"name", "m0"}, {"weightsMb", 900}, {"loadS", 0.1}, {"adapterMb", 1}}}}};
        m_store.put("op/config",
            nlohmann::json{{"version", 1},
                {"routes",
                    {route("/once/", "non_idempotent", "app", false),
                        route("/safe/", "idempotent", "app", false),
                        route("/gen/", "streaming", "llm", false),
                        route("/resume/", "streaming", "llm", true)}},
                {"services", {{{"name", "llm"}, {"engine", engine}}, {{"name", "app"}}}}}
                .dump());
    }
    void startServer(const std::string &service)
    {
        const std::string id = service + '.' + std::to_string(++m_starts);
        auto server = std::make_unique<backend_standin>(m_loop, id, service);
        server->adapters = {"a1"};
        prepareServer(*server, service);
        m_store.put("servers/" + id, server->entry());
        m_servers[id] = std::move(server);
    }
    void after(millis span, std::function<void()> call)
    {
        m_timers.push_back(m_loop.timer(span, {}, std::move(call)));
    }
    void runFor(millis span)
    {
        bool over = false;
        after(span, [&over] {
            over = true;
        });
        EXPECT_TRUE(runUntil([&over] {
            return over;
        }));
    }
    void startDaemons()
    {
        for (daemon_process &daemon : m_daemons) {
            start(daemon, BRIARHEAD_EDGE);
        }
        for (const daemon_process &daemon : m_daemons) {
            const millis end = bootNow() + http_testing::testTimeout;
            bool ready = false;
            while (!ready && bootNow() < end) {
                runRounds(20);
                ready = isReady(daemon);
            }
            ASSERT_TRUE(ready) << logOf(daemon);
        }
    }
    bool isReady(const daemon_process &daemon)
    {
        const raw_socket probe(socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = http_testing::loopbackAddress(daemon.readyPort);
        if (connect(probe.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            return false;
        }
        probe.send("GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        std::string seen;
        EXPECT_TRUE(runUntil([&] {
            return !probe.receive(seen);
        }));
        return seen.starts_with("HTTP/1.1 200");
    }
    /// Waits until killed daemons run again.
    void awaitRestart(std::size_t totalStarts)
    {
        const millis end = bootNow() + http_testing::testTimeout;
        const auto starts = [this] {
            std::size_t sum = 0;
            for (const daemon_process &daemon : m_daemons) {
                sum += daemon.starts;
            }
            return sum;
        };
        while (starts() < totalStarts && bootNow() < end) {
            for (daemon_process &daemon : m_daemons) {
                follow(daemon, BRIARHEAD_EDGE, {14'000});
            }
            runRounds(20);
        }
        for (const daemon_process &daemon : m_daemons) {
            while (!isReady(daemon) && bootNow() < end) {
                runRounds(20);
            }
        }
        EXPECT_LT(bootNow(), end);
    }
    static std::string logOf(const daemon_process &daemon)
    {
        std::ostringstream text;
        text << std::ifstream(daemon.log).rdbuf();
        return text.str();
    }
};

}
