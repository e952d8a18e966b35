#include "platform/platform_records.h"
#include "protocol/codec.h"
#include "serving/fake_store.h"
#include "serving/store_task.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace briarhead {

namespace {

constexpr millis patience{15'000};

/// One daemon's store task, on a loop that all of a test share.
struct follower
{
    bus messages;
    fake_store_client client;
    decision_log log;
    store_task task;

    follower(fake_store &store, const std::string &node, const std::string &domain, bool bootstrap = false)
        : messages(store.events)
        , client(store)
        , log(-1, node)
        , task(store.events, messages, client, platform::recordCodec(), settingsOf(node, domain, bootstrap),
              1, log)
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

class store_task_test : public testing::Test
{
protected:
    /// Runs the loop until a condition holds; false if it never does.
    bool until(const std::function<bool()> &holds, millis atMost = patience)
    {
        const millis end = bootNow() + atMost;
        bool held = false;
        const auto check = events.timer({5}, {5}, [&] {
            held = holds();
            if (held || bootNow() >= end) {
                events.stop();
            }
        });
        events.run();
        return held;
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

}

TEST_F(store_task_test, ReadsWhatIsThereAndFollowsWhatChanges)
{
    putConfig(3);
    putServer("i-1");
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.version() == 3 && one.task.view().servers.size() == 1
            && one.task.view().daemons.size() == 1;
    }));
    putConfig(4);
    putServer("i-1", "draining");
    store.put("op/version/m.a1", R"({"model":"m","adapter":"a1","version":9})");
    EXPECT_TRUE(until([&] {
        return one.version() == 4 && one.task.view().servers.at("i-1").draining
            && one.task.view().versions.count("m/a1") == 1;
    }));
}

// A server crashes and starts again under its id. Users' requests would go by what the earlier start held; an
// entry of that start that comes late tells nothing of the new one.
TEST_F(store_task_test, AServerThatStartsAgainUnderItsIdIsAnotherOne)
{
    const auto put = [this](std::int64_t born, int slots) {
        store.put("servers/i-1",
            R"({"service":"s","address":"127.0.0.1:9","zone":"z","state":"ready","slots":)"
                + std::to_string(slots) + R"(,"born":)" + std::to_string(born) + '}');
    };
    put(1'000, 4);
    follower one(store, "n1", "z");
    std::vector<std::string> gone;
    one.messages.on<view_changed>([&](const view_changed &change) {
        gone.insert(gone.end(), change.removedServers.begin(), change.removedServers.end());
    });
    ASSERT_TRUE(until([&] {
        return one.task.view().servers.count("i-1") == 1;
    }));
    put(2'000, 5);
    ASSERT_TRUE(until([&] {
        return one.task.view().servers.at("i-1").born == 2'000;
    }));
    EXPECT_EQ(gone, std::vector<std::string>{"i-1"});
    put(1'000, 6);
    putConfig(9);
    ASSERT_TRUE(until([&] {
        return one.version() == 9;
    }));
    EXPECT_EQ(one.task.view().servers.at("i-1").slots, 5);
    EXPECT_EQ(gone.size(), 1U);
}

// Another writer's bytes stand where servers, versions and briarhead's own records are looked for. Nothing is
// used of them, the rest holds, and a server whose orderer's record can't be read is claimed all the same:
// its users would find no adapter loaded ever again.
TEST_F(store_task_test, RecordsOfAnotherWriterHarmNothing)
{
    const std::string bytes("\xff\x01garbage\x00", 10);
    putServer("i-1");
    for (const char *key :
        {"servers/x", "op/version/m.a", "briarhead/daemon/x", "briarhead/orderer/i-1", "briarhead/else"}) {
        store.put(key, bytes);
    }
    store.put(
        "servers/y", R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"asleep"})");
    putConfig(3);
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.version() == 3 && one.task.view().daemons.size() == 1;
    }));
    EXPECT_EQ(one.task.view().servers.size(), 1U);
    EXPECT_TRUE(one.task.view().versions.empty());
    one.task.claimServer("i-1");
    EXPECT_TRUE(until([&] {
        return one.task.ownsServer("i-1");
    }));
    store.put("servers/i-1", bytes);
    EXPECT_TRUE(until([&] {
        return one.task.view().servers.empty();
    }));
}

// The store's history is dropped while a server leaves. A user would be sent to the server that is gone: the
// event of its leaving never comes, so the reading that follows must show it.
TEST_F(store_task_test, LosesNoLeavingServerInAHistoryThatIsGone)
{
    putServer("i-1");
    putServer("i-2");
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.task.view().servers.size() == 2;
    }));
    store.remove("servers/i-1");
    putServer("i-2", "draining");
    store.compact();
    EXPECT_TRUE(until([&] {
        return one.task.view().servers.count("i-1") == 0 && one.task.view().servers.at("i-2").draining;
    }));
}

// A version that is in force never goes back, also where a store that was restored tells of an older one: a
// user would be answered by a route that an operator has moved.
TEST_F(store_task_test, NeverGoesBackToAnOlderConfiguration)
{
    putConfig(7);
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.version() == 7;
    }));
    putConfig(6);
    putServer("i-1");
    ASSERT_TRUE(until([&] {
        return one.task.view().servers.count("i-1") == 1;
    }));
    EXPECT_EQ(one.version(), 7U);
}

// The store was away, and the servers' entries lapsed meanwhile. A user would be refused by everything at
// once for two seconds after its return; the servers write their entries again, so they stay in use until
// then.
TEST_F(store_task_test, KeepsServersWhoseEntriesLapsedDuringAnOutage)
{
    putServer("i-1");
    putServer("i-2");
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.task.view().servers.size() == 2;
    }));
    one.client.fault = store_fault::Unresponsive;
    ASSERT_TRUE(until([&] {
        return !one.task.view().reachable;
    }));
    store.remove("servers/i-1");
    store.remove("servers/i-2");
    one.client.fault = store_fault::None;
    const auto seen = store.lists;
    ASSERT_TRUE(until([&] {
        return one.task.view().reachable && store.lists > seen;
    }));
    until(
        [] {
            return false;
        },
        {50});
    EXPECT_EQ(one.task.view().servers.size(), 2U);
    putServer("i-1");
    EXPECT_TRUE(until([&] {
        return one.task.view().servers.size() == 1;
    })) << "the one that does not come back is gone";
    EXPECT_EQ(one.task.view().servers.count("i-1"), 1U);
}

// Two daemons claim the same server. A user would see a server that is filled twice: the store takes one
// claim.
TEST_F(store_task_test, OnlyOneDaemonGetsAServersOrders)
{
    follower one(store, "n1", "z");
    follower two(store, "n2", "z");
    ASSERT_TRUE(until([&] {
        return one.task.view().daemons.size() == 2 && two.task.view().daemons.size() == 2;
    }));
    one.task.claimServer("i-1");
    two.task.claimServer("i-1");
    ASSERT_TRUE(until([&] {
        return one.task.view().serverOwners.count("i-1") == 1
            && two.task.view().serverOwners.count("i-1") == 1;
    }));
    const ownership_entry seen = one.task.view().serverOwners.at("i-1");
    EXPECT_EQ(seen.record.node, two.task.view().serverOwners.at("i-1").record.node);
    EXPECT_EQ(seen.revision, two.task.view().serverOwners.at("i-1").revision);
    EXPECT_EQ(store.items.count("briarhead/orderer/i-1"), 1U);
}

// A claim is carried out and its answer lost. A user would see a server without anybody who loads adapters
// there: each daemon thinks that another one has it.
TEST_F(store_task_test, AClaimWithoutAnAnswerIsFoundByTheWatch)
{
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.task.view().daemons.size() == 1;
    }));
    one.client.fault = store_fault::LosesWriteResponses;
    one.task.claimServer("i-1");
    EXPECT_TRUE(until([&] {
        const auto &orderers = one.task.view().serverOwners;
        return orderers.count("i-1") == 1 && orderers.at("i-1").record.node == "n1";
    }));
}

TEST_F(store_task_test, ADeadDaemonsRecordsGoWithItsLease)
{
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.task.view().daemons.size() == 1;
    }));
    one.task.claimServer("i-1");
    ASSERT_TRUE(until([&] {
        return one.task.view().serverOwners.count("i-1") == 1;
    }));
    store.expire(1);
    EXPECT_TRUE(until([&] {
        return one.task.view().serverOwners.count("i-1") == 0 && one.task.view().daemons.count("n1") == 1;
    })) << "it registers again, and claims anew under another token";
}

namespace {

/// Daemons of one failure domain that tell each other news, over calls that a test can break.
struct news_fleet
{
    std::map<std::string, std::unique_ptr<follower>> members;
    bool fetchHangs = false;
    bool datagramsLost = false;
    std::size_t itemsSent = 0; ///< with news, to each that got them

    void add(fake_store &store, const std::string &node, bool bootstrap = false)
    {
        auto made = std::make_unique<follower>(store, node, "z", bootstrap);
        made->task.setPeerCalls({[this, node](const std::vector<std::string> &nodes, const store_news &news) {
                                     itemsSent += news.items.size() * nodes.size();
                                     for (const std::string &to : nodes) {
                                         if (!datagramsLost && members.count(to) != 0) {
                                             members.at(to)->task.onStoreUpdate(node, news);
                                         }
                                     }
                                 },
            [this](const std::string &from, std::int64_t after,
                const std::function<void(std::optional<store_news>)> &done) {
                if (!fetchHangs) {
                    done(members.at(from)->task.updatesAfter(after));
                }
            }});
        members.emplace(node, std::move(made));
    }
    bool allHave(std::uint64_t version) const
    {
        return std::all_of(members.begin(), members.end(), [version](const auto &each) {
            return each.second->version() == version;
        });
    }
};

}

// The whole system starts, and servers write their heartbeats. A daemon that reads the store before the
// others have registered takes itself for a reader; the platform would be asked several times a second by
// each.
TEST_F(store_task_test, AtTheFirstStartOnlyTheReadersFollowTheStore)
{
    putConfig(1);
    int beats = 0;
    const auto heartbeat = events.timer({50}, {50}, [this, &beats] {
        store.put("servers/i-1",
            R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready","seq":)"
                + std::to_string(++beats) + '}');
    });
    news_fleet fleet;
    for (int i = 0; i < 16; ++i) {
        fleet.add(store, "n" + std::to_string(i), true);
    }
    until(
        [] {
            return false;
        },
        {4'000});
    EXPECT_TRUE(fleet.allHave(1));
    EXPECT_LE(store.watches, 20U) << "two readers, a watch every 500 ms each from 500 ms on";
}

// Each call to the store is paid for. With every daemon following it, the calls grew with the fleet and took
// a third of what it earned; two a failure domain follow it and tell the rest.
TEST_F(store_task_test, TwoDaemonsAFailureDomainFollowTheStoreForAll)
{
    putConfig(1);
    news_fleet fleet;
    for (int i = 0; i < 8; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(until([&] {
        return fleet.allHave(1) && fleet.members.at("n0")->task.view().daemons.size() == 8;
    }));
    until(
        [] {
            return false;
        },
        {3'000});
    const auto before = store.watches;
    until(
        [] {
            return false;
        },
        {2'200});
    EXPECT_LE(store.watches - before, 8U) << "two readers, a watch every 1.1 s each";
    putConfig(2);
    EXPECT_TRUE(until(
        [&] {
            return fleet.allHave(2);
        },
        {2'000}));
}

// Servers write their entries at every heartbeat, thousands in a large fleet, mostly without anything new in
// them. Passed on to all daemons they would fill the readers' links, and a configuration would come late.
// What does change, a server that leaves, is passed on.
TEST_F(store_task_test, HeartbeatsWithNothingNewAreNotPassedOn)
{
    putConfig(1);
    putServer("s-1");
    news_fleet fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(until([&] {
        return fleet.allHave(1) && fleet.members.at("n0")->task.view().daemons.size() == 4;
    }));
    until(
        [] {
            return false;
        },
        {2'500});
    const std::size_t before = fleet.itemsSent;
    for (int i = 0; i < 5; ++i) {
        putServer("s-1");
        until(
            [] {
                return false;
            },
            {300});
    }
    EXPECT_EQ(fleet.itemsSent, before);
    putServer("s-1", "draining");
    EXPECT_TRUE(until([&] {
        return std::all_of(fleet.members.begin(), fleet.members.end(), [](const auto &member) {
            return member.second->task.view().servers.at("s-1").draining;
        });
    }));
}

// A reader goes on speaking, but what it has can't be fetched: the connection to it went silent. A user of
// the listening daemon would be served by an old configuration for seconds, since the reader's signs kept
// that daemon from following the store itself.
TEST_F(store_task_test, NewsThatCantBeFetchedDontCountAsHeard)
{
    putConfig(1);
    news_fleet fleet;
    for (int i = 0; i < 5; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(until([&] {
        return fleet.allHave(1) && fleet.members.at("n0")->task.view().daemons.size() == 5;
    }));
    until(
        [] {
            return false;
        },
        {2'500});
    fleet.fetchHangs = true;
    const std::string filler(200'000, 'x');
    store.put("op/config", R"({"version":2,"routes":[],"services":[],"filler":")" + filler + "\"}");
    EXPECT_TRUE(until(
        [&] {
            return fleet.allHave(2);
        },
        {5'000}));
}

// Configurations come in quick succession, each some tens of kilobytes. Sent on one by one they fill a
// reader's link of 10 Mbit/s, and a user of the daemons behind it is answered by a route that is seconds old:
// only the last one is passed on.
TEST_F(store_task_test, OfConfigurationsInQuickSuccessionOnlyTheLastIsPassedOn)
{
    putConfig(1);
    follower one(store, "n1", "z");
    ASSERT_TRUE(until([&] {
        return one.version() == 1
            && one.task.view().daemons.count("n1") == 1; // its own record is a change too
    }));
    const std::int64_t before = store.revision;
    for (std::uint64_t version = 2; version < 30; ++version) {
        putConfig(version);
    }
    ASSERT_TRUE(until([&] {
        return one.version() == 29;
    }));
    const store_news news = one.task.updatesAfter(before);
    EXPECT_EQ(news.items.size(), 1U);
    EXPECT_EQ(news.items.back().revision, store.revision);
}

// All news of a failure domain are lost. Its daemons follow the store themselves.
TEST_F(store_task_test, WithoutNewsADaemonFollowsTheStoreItself)
{
    putConfig(1);
    news_fleet fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(until([&] {
        return fleet.allHave(1);
    }));
    until(
        [] {
            return false;
        },
        {3'000}); // by then the other two only listen
    fleet.datagramsLost = true;
    putConfig(2);
    EXPECT_TRUE(until(
        [&] {
            return fleet.allHave(2);
        },
        {5'000}));
}

}
