#include "serving/store_fixture.h"

namespace briarhead {

using store_task_test = store_fixture;

TEST_F(store_task_test, ReadsTheStoreAndFollowsItsChanges)
{
    putConfig(3);
    putServer("i-1");
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.version() == 3 && daemon.task.view().servers.size() == 1
            && daemon.task.view().daemons.size() == 1;
    }));
    putConfig(4);
    putServer("i-1", "draining");
    store.put("op/version/m.a1", R"({"model":"m","adapter":"a1","version":9})");
    EXPECT_TRUE(runUntil([&] {
        return daemon.version() == 4 && daemon.task.view().servers.at("i-1").draining
            && daemon.task.view().versions.count("m/a1") == 1;
    }));
}

// A server crashes and restarts under the same id: what its earlier incarnation held is gone, and late
// entries of that incarnation must not overwrite the new one's.
TEST_F(store_task_test, RestartedServerIsReportedAsRemovedAndLateEntriesAreIgnored)
{
    const auto put = [this](std::int64_t startedAtMs, int slots) {
        store.put("servers/i-1",
            R"({"service":"s","address":"127.0.0.1:9","zone":"z","state":"ready","slots":)"
                + std::to_string(slots) + R"(,"born":)" + std::to_string(startedAtMs) + '}');
    };
    put(1'000, 4);
    test_daemon daemon(store, "n1", "z");
    std::vector<std::string> removed;
    daemon.messages.on<view_changed>([&](const view_changed &change) {
        removed.insert(removed.end(), change.removedServers.begin(), change.removedServers.end());
    });
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().servers.count("i-1") == 1;
    }));
    put(2'000, 5);
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().servers.at("i-1").startedAtMs == 2'000;
    }));
    EXPECT_EQ(removed, std::vector<std::string>{"i-1"});
    put(1'000, 6);
    putConfig(9);
    ASSERT_TRUE(runUntil([&] {
        return daemon.version() == 9;
    }));
    EXPECT_EQ(daemon.task.view().servers.at("i-1").slots, 5);
    EXPECT_EQ(removed.size(), 1U);
}

// Unreadable values of another writer stand under the keys of servers, versions and briarhead's own records.
// They are ignored, other records stay in use, and a server whose owner record is unreadable can still be
// claimed: otherwise no adapter would ever be loaded there again.
TEST_F(store_task_test, IgnoresUnreadableRecords)
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
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.version() == 3 && daemon.task.view().daemons.size() == 1;
    }));
    EXPECT_EQ(daemon.task.view().servers.size(), 1U);
    EXPECT_TRUE(daemon.task.view().versions.empty());
    daemon.task.claimServer("i-1");
    EXPECT_TRUE(runUntil([&] {
        return daemon.task.ownsServer("i-1");
    }));
    store.put("servers/i-1", bytes);
    EXPECT_TRUE(runUntil([&] {
        return daemon.task.view().servers.empty();
    }));
}

// The store compacts its history while a server leaves. The event of its removal never arrives, so the read
// that follows must show it; otherwise requests would still be sent there.
TEST_F(store_task_test, ReadsAgainAfterTheHistoryWasCompacted)
{
    putServer("i-1");
    putServer("i-2");
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().servers.size() == 2;
    }));
    store.remove("servers/i-1");
    putServer("i-2", "draining");
    store.compact();
    EXPECT_TRUE(runUntil([&] {
        return daemon.task.view().servers.count("i-1") == 0 && daemon.task.view().servers.at("i-2").draining;
    }));
}

// A restored store has an older configuration than the one in force. Going back to it would route requests as
// before an operator's change.
TEST_F(store_task_test, NeverGoesBackToAnOlderConfiguration)
{
    putConfig(7);
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.version() == 7;
    }));
    putConfig(6);
    putServer("i-1");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().servers.count("i-1") == 1;
    }));
    EXPECT_EQ(daemon.version(), 7U);
}

// All server entries expire during a store outage, and the servers rewrite them within 2 s of its end.
// Without keeping the servers until then, all requests would be refused meanwhile.
TEST_F(store_task_test, KeepsServersWhoseEntriesExpiredDuringAnOutage)
{
    putServer("i-1");
    putServer("i-2");
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().servers.size() == 2;
    }));
    daemon.client.fault = store_fault::Unresponsive;
    ASSERT_TRUE(runUntil([&] {
        return !daemon.task.view().reachable;
    }));
    store.remove("servers/i-1");
    store.remove("servers/i-2");
    daemon.client.fault = store_fault::None;
    const auto readsBefore = store.lists;
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().reachable && store.lists > readsBefore;
    }));
    runUntil(
        [] {
            return false;
        },
        {50});
    EXPECT_EQ(daemon.task.view().servers.size(), 2U);
    putServer("i-1");
    EXPECT_TRUE(runUntil([&] {
        return daemon.task.view().servers.size() == 1;
    })) << "the server whose entry is not rewritten is removed";
    EXPECT_EQ(daemon.task.view().servers.count("i-1"), 1U);
}

// Two daemons claim the same server. If both owned it, both would fill its slots; the store accepts one
// claim.
TEST_F(store_task_test, OnlyOneOfTwoClaimsOfAServerSucceeds)
{
    test_daemon daemon(store, "n1", "z");
    test_daemon otherDaemon(store, "n2", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().daemons.size() == 2 && otherDaemon.task.view().daemons.size() == 2;
    }));
    daemon.task.claimServer("i-1");
    otherDaemon.task.claimServer("i-1");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().serverOwners.count("i-1") == 1
            && otherDaemon.task.view().serverOwners.count("i-1") == 1;
    }));
    const ownership_entry claimed = daemon.task.view().serverOwners.at("i-1");
    EXPECT_EQ(claimed.record.node, otherDaemon.task.view().serverOwners.at("i-1").record.node);
    EXPECT_EQ(claimed.revision, otherDaemon.task.view().serverOwners.at("i-1").revision);
    EXPECT_EQ(store.items.count("briarhead/orderer/i-1"), 1U);
}

// The store executes a claim but its response is lost. If the claimant did not learn of it, nobody would load
// adapters on the server, as every other daemon sees an owner.
TEST_F(store_task_test, UnansweredClaimIsFoundByTheWatch)
{
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().daemons.size() == 1;
    }));
    daemon.client.fault = store_fault::LosesWriteResponses;
    daemon.task.claimServer("i-1");
    EXPECT_TRUE(runUntil([&] {
        const auto &owners = daemon.task.view().serverOwners;
        return owners.count("i-1") == 1 && owners.at("i-1").record.node == "n1";
    }));
}

TEST_F(store_task_test, RecordsAreRemovedWithTheLeaseAndTheDaemonRegistersAgain)
{
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().daemons.size() == 1;
    }));
    daemon.task.claimServer("i-1");
    ASSERT_TRUE(runUntil([&] {
        return daemon.task.view().serverOwners.count("i-1") == 1;
    }));
    store.expire(1);
    EXPECT_TRUE(runUntil([&] {
        return daemon.task.view().serverOwners.count("i-1") == 0
            && daemon.task.view().daemons.count("n1") == 1;
    })) << "the daemon registers again under a new lease";
}

// A cold start of all daemons, while servers write their heartbeats. A daemon that read the store before the
// others have registered would act as a reader, and each of them would call the store several times a second.
TEST_F(store_task_test, InAColdStartOnlyTheReadersWatchTheStore)
{
    putConfig(1);
    int heartbeats = 0;
    const auto heartbeat = events.timer({50}, {50}, [this, &heartbeats] {
        store.put("servers/i-1",
            R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready","seq":)"
                + std::to_string(++heartbeats) + '}');
    });
    test_fleet fleet;
    for (int i = 0; i < 16; ++i) {
        fleet.add(store, "n" + std::to_string(i), true);
    }
    runUntil(
        [] {
            return false;
        },
        {4'000});
    EXPECT_TRUE(fleet.allHave(1));
    EXPECT_LE(store.watches, 20U) << "two readers, a watch every 500 ms each from 500 ms on";
}

// Every call to the store is charged. With every daemon watching it, the calls grew with the fleet and took a
// third of its earnings; so two daemons per failure domain watch it and send updates to the others.
TEST_F(store_task_test, TwoDaemonsPerFailureDomainWatchTheStoreForAll)
{
    putConfig(1);
    test_fleet fleet;
    for (int i = 0; i < 8; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(runUntil([&] {
        return fleet.allHave(1) && fleet.members.at("n0")->task.view().daemons.size() == 8;
    }));
    runUntil(
        [] {
            return false;
        },
        {3'000});
    const auto before = store.watches;
    runUntil(
        [] {
            return false;
        },
        {2'200});
    EXPECT_LE(store.watches - before, 8U) << "two readers, a watch every 1.1 s each";
    putConfig(2);
    EXPECT_TRUE(runUntil(
        [&] {
            return fleet.allHave(2);
        },
        {2'000}));
}

// The servers of a large fleet write their entries at every heartbeat, mostly unchanged. Forwarding these
// writes to all daemons would fill the readers' links and delay configurations. Real changes, such as a
// leaving server, are forwarded.
TEST_F(store_task_test, UnchangedServerEntriesAreNotForwarded)
{
    putConfig(1);
    putServer("s-1");
    test_fleet fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(runUntil([&] {
        return fleet.allHave(1) && fleet.members.at("n0")->task.view().daemons.size() == 4;
    }));
    runUntil(
        [] {
            return false;
        },
        {2'500});
    const std::size_t before = fleet.itemsSent;
    for (int i = 0; i < 5; ++i) {
        putServer("s-1");
        runUntil(
            [] {
                return false;
            },
            {300});
    }
    EXPECT_EQ(fleet.itemsSent, before);
    putServer("s-1", "draining");
    EXPECT_TRUE(runUntil([&] {
        return std::all_of(fleet.members.begin(), fleet.members.end(), [](const auto &member) {
            return member.second->task.view().servers.at("s-1").draining;
        });
    }));
}

// A reader announces updates that cannot be fetched from it because its connection hangs. If the
// announcements counted as updates, the other daemons would not watch the store themselves, and would use an
// old configuration for seconds.
TEST_F(store_task_test, UpdatesThatCannotBeFetchedDoNotCountAsFresh)
{
    putConfig(1);
    test_fleet fleet;
    for (int i = 0; i < 5; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(runUntil([&] {
        return fleet.allHave(1) && fleet.members.at("n0")->task.view().daemons.size() == 5;
    }));
    runUntil(
        [] {
            return false;
        },
        {2'500});
    fleet.fetchTimesOut = true;
    const std::string filler(200'000, 'x');
    store.put("op/config", R"({"version":2,"routes":[],"services":[],"filler":")" + filler + "\"}");
    EXPECT_TRUE(runUntil(
        [&] {
            return fleet.allHave(2);
        },
        {5'000}));
}

// Several configurations of some tens of kilobytes are written in quick succession. Forwarding each would
// fill a reader's 10 Mbit/s link, and other daemons would use configurations that are seconds old.
TEST_F(store_task_test, OnlyTheLastOfSeveralQuickConfigurationsIsForwarded)
{
    putConfig(1);
    test_daemon daemon(store, "n1", "z");
    ASSERT_TRUE(runUntil([&] {
        return daemon.version() == 1
            && daemon.task.view().daemons.count("n1") == 1; // its own record is a change too
    }));
    const std::int64_t before = store.revision;
    for (std::uint64_t version = 2; version < 30; ++version) {
        putConfig(version);
    }
    ASSERT_TRUE(runUntil([&] {
        return daemon.version() == 29;
    }));
    const store_update update = daemon.task.updatesAfter(before);
    EXPECT_EQ(update.items.size(), 1U);
    EXPECT_EQ(update.items.back().revision, store.revision);
}

// All updates within a failure domain are lost, so its daemons watch the store themselves.
TEST_F(store_task_test, WithoutUpdatesADaemonWatchesTheStoreItself)
{
    putConfig(1);
    test_fleet fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(runUntil([&] {
        return fleet.allHave(1);
    }));
    runUntil(
        [] {
            return false;
        },
        {3'000}); // by then the other two rely on the readers
    fleet.updatesLost = true;
    putConfig(2);
    EXPECT_TRUE(runUntil(
        [&] {
            return fleet.allHave(2);
        },
        {5'000}));
}

}
