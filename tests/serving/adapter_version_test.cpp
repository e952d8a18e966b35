#include "coordination/rendezvous.h"
#include "serving/store_fixture.h"
#include "serving/store_keys.h"

#include <random>

namespace briarhead {

namespace {

const std::string itemKey = "op/version/m.a1";
const std::string adapter = "m/a1";
/// Between the declaration of a version and its record.
constexpr millis recordTime{300};

std::string declarationOf(std::int64_t version)
{
    return R"({"model":"m","adapter":"a1","version":)" + std::to_string(version) + '}';
}

std::int64_t newestAt(const test_daemon &daemon)
{
    return newestVersionOf(daemon.task.view().versions, adapter);
}

class adapter_version_test : public store_fixture
{
protected:
    void declare(std::int64_t version)
    {
        store.put(itemKey, declarationOf(version));
    }
    std::unique_ptr<test_daemon> startDaemon(const std::string &node, const std::string &domain = "z")
    {
        auto daemon = std::make_unique<test_daemon>(store, node, domain);
        EXPECT_TRUE(runUntil([&daemon] {
            return daemon->task.view().firstReadAt.count != 0
                && daemon->task.view().daemons.count(daemon->node) != 0;
        }));
        return daemon;
    }
    void runFor(millis span)
    {
        runUntil(
            [] {
                return false;
            },
            span);
    }
    void awaitVersion(const test_daemon &daemon, std::int64_t version)
    {
        EXPECT_TRUE(runUntil([&] {
            return newestAt(daemon) >= version;
        }));
    }
    /// Ends the daemon as a kill does. The object stays, since the loop may hold messages for it, but nothing
    /// reaches it any more.
    void kill(std::unique_ptr<test_daemon> &daemon)
    {
        daemon->client.fault = store_fault::Unresponsive;
        m_ended.push_back(std::move(daemon));
    }

private:
    std::vector<std::unique_ptr<test_daemon>> m_ended;
};

}

/// Guards against a daemon that goes by an older version because it started after a late write.
TEST_F(adapter_version_test, DaemonThatStartsKnowsAVersionThatALateWriteReplaced)
{
    declare(1);
    const auto running = startDaemon("n1");
    declare(3);
    awaitVersion(*running, 3);
    declare(2);
    runFor(recordTime);
    const auto started = startDaemon("n2");
    EXPECT_EQ(newestAt(*started), 3);
    EXPECT_EQ(newestAt(*running), 3);
}

/// Guards against a version that is forgotten because no daemon outlives the late write.
TEST_F(adapter_version_test, VersionOutlivesAllDaemons)
{
    declare(1);
    auto first = startDaemon("n1");
    auto second = startDaemon("n2", "y");
    declare(3);
    awaitVersion(*first, 3);
    awaitVersion(*second, 3);
    runFor(recordTime);
    kill(first);
    kill(second);
    declare(2);
    const auto started = startDaemon("n3");
    EXPECT_EQ(newestAt(*started), 3);
    const auto again = startDaemon("n1");
    EXPECT_EQ(newestAt(*again), 3);
}

/// Guards against a version that running daemons miss because a late write follows it at once.
TEST_F(adapter_version_test, BothChangesInOneWatchResponse)
{
    declare(1);
    auto running = startDaemon("n1");
    declare(3);
    declare(2);
    awaitVersion(*running, 3);
    runFor(recordTime);
    EXPECT_EQ(newestAt(*startDaemon("n2")), 3);
    kill(running);
    EXPECT_EQ(newestAt(*startDaemon("n3")), 3);
}

/// Guards against a full read that takes a version back, at a daemon that runs and at one that starts.
TEST_F(adapter_version_test, CompactionBehindALateWrite)
{
    declare(1);
    auto running = startDaemon("n1");
    declare(3);
    awaitVersion(*running, 3);
    declare(2);
    store.compact();
    putConfig(2);
    ASSERT_TRUE(runUntil([&] {
        return running->version() == 2;
    }));
    EXPECT_EQ(newestAt(*running), 3);
    runFor(recordTime);
    kill(running);
    EXPECT_EQ(newestAt(*startDaemon("n2")), 3);
}

/// Guards against a peer's snapshot that holds the late write alone.
TEST_F(adapter_version_test, SnapshotOfAPeerHoldsTheNewestVersion)
{
    declare(1);
    const auto running = startDaemon("n1");
    declare(3);
    awaitVersion(*running, 3);
    const std::int64_t before = store.revision;
    declare(2);
    ASSERT_TRUE(runUntil([&] {
        return !running->task.updatesAfter(before).items.empty();
    }));
    for (const std::int64_t after : {std::int64_t{-1}, before}) { // a snapshot, and changes
        const store_update update = running->task.updatesAfter(after);
        const auto item = std::find_if(update.items.begin(), update.items.end(), [](const auto &each) {
            return each.key == itemKey;
        });
        ASSERT_NE(item, update.items.end());
        EXPECT_EQ(item->value, declarationOf(3));
    }
}

/// Guards against a version that a follower misses where a reader passes on only the last change of a key.
TEST_F(adapter_version_test, FollowersLearnBothChangesOfOneWatchResponse)
{
    declare(1);
    test_fleet fleet;
    for (int i = 0; i < 5; ++i) {
        fleet.add(store, "n" + std::to_string(i));
    }
    ASSERT_TRUE(runUntil([&] {
        return fleet.members.at("n0")->task.view().daemons.size() == 5;
    }));
    runFor({2'500}); // by then three rely on the readers
    declare(3);
    declare(2);
    EXPECT_TRUE(runUntil([&] {
        return std::all_of(fleet.members.begin(), fleet.members.end(), [](const auto &each) {
            return newestAt(*each.second) == 3;
        });
    }));
}

/// Guards against a daemon that starts while it doesn't reach the store, and takes what it reads first.
TEST_F(adapter_version_test, StoreAwayAtTheStart)
{
    declare(1);
    auto running = startDaemon("n1");
    declare(3);
    awaitVersion(*running, 3);
    runFor(recordTime);
    kill(running);
    test_daemon started(store, "n2", "z", false, store_fault::Unresponsive);
    runFor({1'000});
    declare(2);
    EXPECT_EQ(newestAt(started), 0);
    started.client.fault = store_fault::None;
    awaitVersion(started, 1);
    EXPECT_EQ(newestAt(started), 3);
}

/// Guards against a record that nobody writes, because the daemon whose turn it is can't.
TEST_F(adapter_version_test, AnotherDaemonWritesWhereTheFirstCannot)
{
    declare(1);
    std::vector<std::unique_ptr<test_daemon>> daemons;
    for (const char *node : {"n1", "n2", "n3"}) {
        daemons.push_back(startDaemon(node, node));
    }
    const auto shard = versionShardOf(adapter);
    const std::string first = rendezvousFirst(detail::adapterVersionsPrefix + shard, {"n1", "n2", "n3"});
    for (const auto &daemon : daemons) {
        daemon->client.fault = daemon->node == first ? store_fault::RefusesChanges : store_fault::None;
    }
    declare(3);
    EXPECT_TRUE(runUntil([&] {
        return store.items.count(detail::adapterVersionsPrefix + shard) != 0;
    }));
}

/// Guards against a record of ours that is itself turned back by a late write.
TEST_F(adapter_version_test, LateWriteOfTheRecordDoesNotTurnItBack)
{
    declare(1);
    auto first = startDaemon("n1");
    first->client.fault = store_fault::ExecutesChangesLate;
    declare(2);
    awaitVersion(*first, 2);
    runFor(recordTime); // its write is on its way
    kill(first);
    auto second = startDaemon("n2");
    declare(4);
    awaitVersion(*second, 4);
    runFor({1'500}); // the late write has arrived, before or after the record of 4
    declare(3);
    kill(second);
    EXPECT_EQ(newestAt(*startDaemon("n3")), 4);
}

/// Guards against a record that grows with all adapters that ever had a new version.
TEST_F(adapter_version_test, RecordsAreWrittenOnlyForWhatMayBeLost)
{
    for (int i = 0; i < 500; ++i) {
        store.put("op/version/m.b" + std::to_string(i),
            R"({"model":"m","adapter":"b)" + std::to_string(i) + R"(","version":2})");
    }
    const auto running = startDaemon("n1");
    runFor(recordTime);
    const auto records = [this] {
        return std::count_if(store.items.begin(), store.items.end(), [](const auto &each) {
            return each.first.starts_with(detail::adapterVersionsPrefix);
        });
    };
    EXPECT_EQ(records(), 0);
    const std::uint64_t callsBefore = store.calls;
    declare(3);
    EXPECT_TRUE(runUntil([&] {
        return records() == 1;
    }));
    const std::int64_t revision = store.revision;
    runFor({1'000});
    EXPECT_EQ(store.revision, revision) << "one write";
    EXPECT_LT(store.calls - callsBefore, 12U);
}

/// Guards against a record that loses a version when a daemon writes it that started after the declaration.
TEST_F(adapter_version_test, DaemonThatStartedLaterKeepsWhatTheRecordHolds)
{
    std::string other;
    for (int i = 0; versionShardOf("m/" + other) != versionShardOf(adapter); ++i) {
        other = "b" + std::to_string(i);
    }
    declare(1);
    auto running = startDaemon("n1");
    declare(3);
    awaitVersion(*running, 3);
    const auto started = startDaemon("n2"); // before the version is recorded
    const std::string key = detail::adapterVersionsPrefix + versionShardOf(adapter);
    ASSERT_TRUE(runUntil([&] {
        return store.items.count(key) != 0;
    }));
    runFor({1'000});
    kill(running);
    const std::int64_t recordedAt = store.items.at(key).revision;
    store.put("op/version/m." + other, R"({"model":"m","adapter":")" + other + R"(","version":2})");
    ASSERT_TRUE(runUntil([&] {
        return store.items.at(key).revision > recordedAt;
    }));
    error why;
    const auto record = decodeAdapterVersions(store.items.at(key).value, why);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->versions, (std::vector<adapter_version_entry>{{adapter, 3}, {"m/" + other, 2}}));
}

/// Guards against a version that was acknowledged while no daemon ran, and replaced before one did.
TEST_F(adapter_version_test, VersionThatNoDaemonSawIsFoundInTheHistory)
{
    declare(1);
    auto running = startDaemon("n1");
    kill(running);
    declare(3);
    declare(2);
    const auto started = startDaemon("n2");
    awaitVersion(*started, 3);
}

/// Any order of declarations, late writes, starts, kills, compactions and cuts: a daemon that runs for a
/// while never goes by a version below one that was acknowledged long enough before.
TEST_F(adapter_version_test, NoDaemonGoesBelowAnAcknowledgedVersion)
{
    constexpr int histories = 40;
    constexpr millis length{10'000};
    constexpr millis declarationsEnd{2'500}; // later ones would hide what a late write has replaced
    constexpr millis applyTime{2'500}; // store outages of half a second are part of a history
    constexpr millis knownFor{2'000}; // then it is in the record, whatever becomes of the history
    struct history
    {
        explicit history(loop &events, unsigned seed)
            : store(events)
            , random(seed)
        {
        }
        fake_store store;
        std::mt19937 random;
        std::map<std::string, std::unique_ptr<test_daemon>> daemons;
        std::map<std::string, millis> startedAt;
        struct declaration
        {
            millis at;
            std::int64_t version = 0;
            std::map<std::string, millis> knownSince; ///< by running daemon
            bool inHistory = true;
            bool recorded = false;
        };
        std::vector<declaration> acknowledged;
        std::int64_t last = 0;
        std::vector<std::shared_ptr<void>> timers;
        std::string violation;
        std::vector<std::unique_ptr<test_daemon>> ended;

        void kill(const std::string &node)
        {
            for (declaration &each : acknowledged) {
                each.knownSince.erase(node);
            }
            daemons[node]->client.fault = store_fault::Unresponsive;
            ended.push_back(std::move(daemons[node]));
            daemons.erase(node);
        }
    };
    std::vector<std::unique_ptr<history>> all;
    all.reserve(histories);
    for (int i = 0; i < histories; ++i) {
        all.push_back(std::make_unique<history>(events, static_cast<unsigned>(i + 1)));
    }
    const auto step = [this, lastDeclaration = bootNow() + declarationsEnd](history &h) {
        const std::string node = "n" + std::to_string(h.random() % 3);
        const auto action = h.random() % 12;
        if (bootNow() > lastDeclaration && (action == 5 || action == 6)) {
            return;
        }
        switch (action) {
        case 0:
        case 1:
        case 2:
            if (h.daemons.count(node) == 0) {
                h.daemons[node] = std::make_unique<test_daemon>(h.store, node, node);
                h.startedAt[node] = bootNow();
            }
            break;
        case 3:
            if (h.daemons.count(node) != 0 && h.random() % 2 == 0) {
                h.kill(node);
            }
            break;
        case 4: // all lose power
            while (!h.daemons.empty() && h.random() % 4 == 0) {
                h.kill(h.daemons.begin()->first);
            }
            break;
        case 5: // declared and acknowledged
            h.store.put(itemKey, declarationOf(++h.last));
            h.acknowledged.push_back({bootNow(), h.last, {}, true, false});
            break;
        case 6: { // not answered, and done late
            const store_change late{{}, {{itemKey, declarationOf(++h.last), 0}}, {}};
            h.store.executeLater(late, {static_cast<std::int64_t>(h.random() % 3'000)});
            break;
        }
        case 7:
            if (h.random() % 8 != 0) {
                break;
            }
            h.store.compact();
            for (auto &each : h.acknowledged) {
                each.inHistory = false;
            }
            break;
        case 8:
            if (h.daemons.count(node) != 0) {
                h.daemons[node]->client.fault = store_fault::Unresponsive;
                for (auto &each : h.acknowledged) {
                    each.knownSince.erase(node);
                }
                h.timers.push_back(events.timer({500}, {}, [&h, node] {
                    if (h.daemons.count(node) != 0) {
                        h.daemons[node]->client.fault = store_fault::None;
                    }
                }));
            }
            break;
        default:
            break;
        }
    };
    const auto check = [applyTime, knownFor](history &h) {
        const millis now = bootNow();
        std::int64_t floor = 0;
        for (auto &each : h.acknowledged) {
            for (const auto &[node, daemon] : h.daemons) {
                const bool knows =
                    daemon->client.fault == store_fault::None && newestAt(*daemon) >= each.version;
                if (knows && now - each.knownSince.try_emplace(node, now).first->second > knownFor) {
                    each.recorded = true;
                }
            }
            const bool counts = now - each.at > applyTime && (each.inHistory || each.recorded);
            floor = counts ? std::max(floor, each.version) : floor;
        }
        for (const auto &[node, daemon] : h.daemons) {
            const bool settled = now - h.startedAt[node] > applyTime;
            if (settled && newestAt(*daemon) < floor) {
                h.violation = node + " goes by " + std::to_string(newestAt(*daemon)) + ", not by "
                    + std::to_string(floor);
            }
        }
    };
    const auto steps = events.timer({100}, {100}, [&] {
        for (const auto &each : all) {
            step(*each);
        }
    });
    const auto checks = events.timer({50}, {50}, [&] {
        for (const auto &each : all) {
            check(*each);
        }
    });
    runFor(length);
    for (int i = 0; i < histories; ++i) {
        EXPECT_EQ(all[static_cast<std::size_t>(i)]->violation, "") << "history " << i + 1;
    }
}

}
