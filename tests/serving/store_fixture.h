#pragma once

#include "platform/platform_records.h"
#include "protocol/codec.h"
#include "serving/adapter_version_task.h"
#include "serving/fake_store.h"
#include "serving/store_task.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace briarhead {

constexpr millis storeTestTimeout{15'000};

/// One daemon's store task, on the event loop that the test's daemons share.
struct test_daemon
{
    std::string node;
    bus messages;
    fake_store_client client;
    decision_log log;
    store_task task;
    adapter_version_task versions;

    test_daemon(fake_store &store, std::string name, const std::string &domain, bool bootstrap = false,
        store_fault fault = store_fault::None)
        : node(std::move(name))
        , messages(store.events)
        , client(store, fault)
        , log(-1, node)
        , task(store.events, messages, client, platform::recordCodec(), settingsOf(node, domain, bootstrap),
              1, log)
        , versions(store.events, messages, task, settingsOf(node, domain, bootstrap))
    {
    }
    static node_settings settingsOf(const std::string &node, const std::string &domain, bool bootstrap)
    {
        node_settings settings;
        settings.node = node;
        settings.failureDomain = domain;
        settings.bootstrap = bootstrap;
        settings.peers = {"127.0.0.1", 1};
        return settings;
    }
    std::uint64_t version() const
    {
        return task.view().config ? task.view().config->version : 0;
    }
};

/// Daemons' store tasks on one event loop, with a store that the test writes to.
class store_fixture : public testing::Test
{
protected:
    /// Runs the loop until the condition holds; false if it does not within `timeout`.
    bool runUntil(const std::function<bool()> &condition, millis timeout = storeTestTimeout)
    {
        const millis end = bootNow() + timeout;
        bool fulfilled = false;
        const auto check = events.timer({5}, {5}, [&] {
            fulfilled = condition();
            if (fulfilled || bootNow() >= end) {
                events.stop();
            }
        });
        events.run();
        return fulfilled;
    }
    void putConfig(std::uint64_t version)
    {
        store.put("op/config", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})");
    }
    void putServer(const std::string &id, const std::string &state = "ready")
    {
        store.put("servers/" + id,
            R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":")" + state + "\"}");
    }

    loop events;
    fake_store store{events};
};

/// Daemons of one failure domain that exchange store updates over calls that a test can break.
struct test_fleet
{
    std::map<std::string, std::unique_ptr<test_daemon>> members;
    bool fetchTimesOut = false;
    bool updatesLost = false;
    std::size_t itemsSent = 0; ///< in updates, counted for each recipient

    void add(fake_store &store, const std::string &node, bool bootstrap = false)
    {
        auto member = std::make_unique<test_daemon>(store, node, "z", bootstrap);
        member->task.setPeerCalls(
            {[this, node](const std::vector<std::string> &nodes, const store_update &update) {
                 itemsSent += update.items.size() * nodes.size();
                 for (const std::string &to : nodes) {
                     if (!updatesLost && members.count(to) != 0) {
                         members.at(to)->task.onStoreUpdate(node, update);
                     }
                 }
             },
                [this](const std::string &from, std::int64_t after,
                    const std::function<void(std::optional<store_update>)> &done) {
                    if (!fetchTimesOut) {
                        done(members.at(from)->task.updatesAfter(after));
                    }
                }});
        members.emplace(node, std::move(member));
    }
    bool allHave(std::uint64_t version) const
    {
        return std::all_of(members.begin(), members.end(), [version](const auto &each) {
            return each.second->version() == version;
        });
    }
};

}
