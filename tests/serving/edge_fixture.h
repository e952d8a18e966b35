#pragma once

#include "platform/platform_records.h"
#include "platform/platform_requests.h"
#include "serving/backend_standin.h"
#include "serving/edge_daemon.h"
#include "serving/fake_store.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>

namespace briarhead {

inline std::string statusOf(const std::string &response)
{
    return response.substr(9, 3);
}

/// One daemon in this process, two model servers and two plain ones, and a store in memory.
class edge_test : public http_testing::http_fixture
{
protected:
    fake_store m_store{m_loop};
    fake_store_client m_client{m_store};
    metadata_store *m_ownStore = &m_client; ///< the store as the daemon sees it
    decision_log m_log{-1, "n1"};
    node_settings m_settings;
    edge_dependencies m_dependencies;
    std::vector<std::unique_ptr<backend_standin>> m_models;
    std::vector<std::unique_ptr<backend_standin>> m_plain;
    std::unique_ptr<edge_daemon> m_daemon;
    std::function<void()> m_beforeDaemon; ///< called by start() once the servers are there
    int m_timeoutMs = 4'000;
    int m_adapterSlots = 2;
    int m_promptTokens = 500;
    int m_lastId = 0;
    std::map<std::string, std::set<std::string>> m_initialAdapters; ///< resident adapters, by model server
    nlohmann::json m_accounts; ///< client accounts of the configuration; null if it has none
    std::string m_key; ///< API key that callers send; empty if they send none
    std::vector<http_field> m_fields; ///< additional header fields that callers send

    void start()
    {
        for (const char *id : {"m-1", "m-2"}) {
            m_models.push_back(std::make_unique<backend_standin>(m_loop, id, "llm"));
            m_models.back()->adapters = m_initialAdapters[id];
            m_store.put("servers/" + m_models.back()->id, m_models.back()->entry());
        }
        for (const char *id : {"p-1", "p-2"}) {
            m_plain.push_back(std::make_unique<backend_standin>(m_loop, id, "app"));
            m_store.put("servers/" + m_plain.back()->id, m_plain.back()->entry());
        }
        putConfig(1);
        m_settings.node = "n1";
        m_settings.failureDomain = "z";
        m_settings.front = {http_testing::loopback, http_testing::freePort()};
        m_settings.ready = {http_testing::loopback, http_testing::freePort()};
        m_settings.peers = {http_testing::loopback, http_testing::freePort()};
        m_settings.metrics = {http_testing::loopback, http_testing::freePort()};
        m_dependencies = {m_ownStore, platform::recordCodec(), platform::requestCodec(),
            [this](error &) {
                return std::optional<node_settings>(m_settings);
            },
            {}};
        if (m_beforeDaemon) {
            m_beforeDaemon();
        }
        error why;
        m_daemon = edge_daemon::start(m_loop, m_settings, m_dependencies, m_log, why);
        ASSERT_TRUE(m_daemon) << message(why);
        ASSERT_TRUE(runUntil([this] {
            return m_store.items.count("briarhead/orderer/m-1") == 1
                && m_store.items.count("briarhead/orderer/m-2") == 1;
        }));
        runRounds(500); // for the first heartbeat, and for reports of running requests from other entries
    }
    void putConfig(int version)
    {
        const auto route = [this](const char *prefix, const char *kind, const char *service, bool resumable) {
            return nlohmann::json{{"name", prefix}, {"host", "h"}, {"prefix", prefix}, {"routeType", kind},
                {"timeoutMs", m_timeoutMs}, {"targetLatencyMs", 1'000}, {"maxAttempts", 2},
                {"service", service}, {"resumable", resumable}};
        };
        const nlohmann::json engine{{"slots", 4}, {"kvTokens", 10'000}, {"weightsMb", 1'000},
            {"adapterSlots", m_adapterSlots}, {"loadsPerS", 5},
            {"models", {{{"name", "m0"}, {"weightsMb", 900}, {"loadS", 0.1}, {"adapterMb", 1}}}}};
        nlohmann::json config{{"version", version},
            {"routes",
                {route("/once/", "non_idempotent", "app", false), route("/safe/", "idempotent", "app", false),
                    route("/gen/", "streaming", "llm", false), route("/resume/", "streaming", "llm", true),
                    route("/open/", "idempotent", "app", false)}},
            {"services", {{{"name", "llm"}, {"engine", engine}}, {{"name", "app"}}}}};
        config["routes"].back()["allowAnonymous"] = true;
        if (!m_accounts.is_null()) {
            config["tenants"] = m_accounts;
        }
        m_store.put("op/config", config.dump());
    }
    std::unique_ptr<http_testing::raw_socket> sendRequest(
        const std::string &path, const std::string &adapter = "")
    {
        auto caller = http_testing::raw_socket::connectTo(m_settings.front.port);
        std::string text = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: id"
            + std::to_string(++m_lastId) + "\r\nX-Briarhead-Deadline-Ms: 4000\r\n";
        if (!m_key.empty()) {
            text += "X-Briarhead-Credential: " + m_key + "\r\n";
        }
        for (const http_field &field : m_fields) {
            text += field.name + ": " + field.value + "\r\n";
        }
        if (!adapter.empty()) {
            text += "X-Briarhead-Model: m0/" + adapter
                + "\r\nX-Briarhead-Token-Count: " + std::to_string(m_promptTokens) + ",50\r\n";
        }
        caller->send(text + "Connection: close\r\nContent-Length: 2\r\n\r\nhi");
        return caller;
    }
    std::string responseTo(const std::string &path, const std::string &adapter = "")
    {
        const auto caller = sendRequest(path, adapter);
        std::string received;
        EXPECT_TRUE(runUntil([&] {
            return !caller->receive(received);
        }));
        return received;
    }
    std::string readiness()
    {
        const auto balancer = http_testing::raw_socket::connectTo(m_settings.ready.port);
        balancer->send("GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        std::string received;
        EXPECT_TRUE(runUntil([&] {
            return !balancer->receive(received);
        }));
        return received.substr(9, 3);
    }
    std::size_t requestsRunOn(const std::vector<std::unique_ptr<backend_standin>> &servers) const
    {
        std::size_t sum = 0;
        for (const auto &server : servers) {
            sum += server->ran.size();
        }
        return sum;
    }
    void setBehavior(std::vector<std::unique_ptr<backend_standin>> &servers, backend_standin::behavior value)
    {
        for (const auto &server : servers) {
            server->currentBehavior = value;
        }
    }
};

}
