#include "coordination/membership.h"

#include "protocol/codec.h"
#include "protocol/seal.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <iostream>

namespace briarhead {
namespace {

constexpr millis tickInterval{100};
constexpr std::uint64_t firstIncarnation = 1'790'000'000'000;

/// Simulated daemons that exchange datagrams within this process, on a simulated clock.
struct test_fleet
{
    struct node
    {
        membership state;
        bool runs = true;
        bool partitioned = false; ///< partitioned nodes exchange datagrams only with each other
    };
    struct in_flight
    {
        std::uint16_t from;
        outgoing_datagram datagram;
    };

    std::vector<node> nodes;
    live_view list;
    millis now{1'000'000};
    double loss = 0;
    std::mt19937_64 random{7};
    std::deque<in_flight> wire;

    test_fleet(std::size_t count, std::size_t domains)
    {
        for (std::size_t i = 0; i < count; ++i) {
            add("domain-" + std::to_string(i % domains));
        }
        applyListToAll();
    }

    static std::string nameAt(std::size_t index)
    {
        return "entry-" + std::to_string(1000 + index);
    }

    node &add(const std::string &domain, bool listed = true)
    {
        const std::size_t index = nodes.size();
        const auto port = static_cast<std::uint16_t>(index + 1);
        node added;
        added.state.self = {nameAt(index), domain, {"127.0.0.1", port}, 80, firstIncarnation};
        added.state.random.seed(index);
        nodes.push_back(added);
        if (listed) {
            list.instances[nameAt(index)] = {
                nameAt(index), instance_kind::Entry, "", domain, "127.0.0.1", port, 80, "", false};
        }
        return nodes.back();
    }

    void applyListToAll()
    {
        ++list.revision;
        for (node &receiver : nodes) {
            applyLiveList(receiver.state, list);
        }
    }

    void restart(std::size_t index)
    {
        membership fresh;
        fresh.self = nodes[index].state.self;
        fresh.self.state = peer_state::Alive;
        ++fresh.self.incarnation;
        applyLiveList(fresh, list);
        nodes[index].state = fresh;
        nodes[index].runs = true;
    }

    void post(std::size_t from, const std::vector<outgoing_datagram> &datagrams)
    {
        for (const outgoing_datagram &datagram : datagrams) {
            if (std::uniform_real_distribution<>(0, 1)(random) >= loss) {
                wire.push_back({static_cast<std::uint16_t>(from), datagram});
            }
        }
    }

    void deliver()
    {
        while (!wire.empty()) {
            const auto [from, sent] = wire.front();
            wire.pop_front();
            const std::size_t to = sent.to.port - 1U;
            if (to >= nodes.size()) {
                continue;
            }
            node &receiver = nodes[to];
            if (!receiver.runs || receiver.partitioned != nodes[from].partitioned) {
                continue;
            }
            std::optional<peer_version_seen> newerVersion;
            const peer_address source = nodes[from].state.self.address;
            post(to, handleDatagram(receiver.state, source, sent.datagram, now, newerVersion));
            if (newerVersion) {
                post(to, announceVersion(receiver.state, newerVersion->version));
            }
        }
    }

    void step()
    {
        now = now + tickInterval;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i].runs) {
                post(i, tick(nodes[i].state, now));
                deliver();
            }
        }
    }

    void run(millis span)
    {
        for (const millis end = now + span; now < end;) {
            step();
        }
    }

    /// Runs until the condition holds; returns the time it took, or nothing if it took longer than `bound`.
    std::optional<millis> runUntil(millis bound, const std::function<bool()> &condition)
    {
        const millis start = now;
        while (!condition()) {
            if (now - start > bound) {
                return std::nullopt;
            }
            step();
        }
        return now - start;
    }

    const member &seen(std::size_t by, std::size_t whom) const
    {
        return nodes[by].state.peers.at(nameAt(whom)).info;
    }

    /// Whether all other running nodes see a node in this state.
    bool allSee(std::size_t whom, peer_state state) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (i != whom && nodes[i].runs && seen(i, whom).state != state) {
                return false;
            }
        }
        return true;
    }

    bool allSeeAll(peer_state state) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!allSee(i, state)) {
                return false;
            }
        }
        return true;
    }
};

constexpr millis maxWait{60'000};

// Guards against requests that are still forwarded to a dead daemon: all others must see it dead within
// seconds, also while datagrams get lost and the live list still shows it. No other daemon may be seen dead.
TEST(membership, deadDaemonIsSeenDeadByAllOthers)
{
    test_fleet fleet(30, 3);
    fleet.loss = 0.05;
    fleet.run({10'000});
    // Lost datagrams occasionally make a live daemon suspect, until it refutes.
    EXPECT_TRUE(fleet.runUntil(maxWait, [&] {
        return fleet.allSeeAll(peer_state::Alive);
    }));
    fleet.nodes[7].runs = false;
    const auto took = fleet.runUntil(maxWait, [&] {
        return fleet.allSee(7, peer_state::Dead);
    });
    ASSERT_TRUE(took);
    std::cout << "a death among 30 daemons is seen by all after " << took->count << " ms\n";
    // Only the dead one is seen dead.
    for (std::size_t i = 0; i < 30; ++i) {
        for (std::size_t by = 0; by < 30; ++by) {
            const bool mustBeAlive = i != 7 && by != 7 && by != i;
            EXPECT_FALSE(mustBeAlive && fleet.seen(by, i).state == peer_state::Dead) << by << " of " << i;
        }
    }
    // Another poll of a lagging list still shows it: it must stay dead.
    fleet.applyListToAll();
    fleet.run({20'000});
    EXPECT_TRUE(fleet.allSee(7, peer_state::Dead));
    // Once it is off the list, it is removed.
    fleet.list.instances.erase(test_fleet::nameAt(7));
    fleet.applyListToAll();
    EXPECT_TRUE(fleet.runUntil({120'000}, [&] {
        return !fleet.nodes[0].state.peers.contains(test_fleet::nameAt(7));
    }));
}

// A process is paused, becomes suspect or dead, and resumes. It is the same process, so all others must see
// it alive again; and it must not declare peers dead whose answers arrived during its pause.
TEST(membership, resumedPeerIsAliveAgainWithItsIncarnation)
{
    for (const millis pause : {millis{3'000}, millis{30'000}}) {
        test_fleet fleet(12, 3);
        fleet.run({5'000});
        // Node 4 is paused while it suspects node 9, which resumes meanwhile.
        fleet.nodes[9].runs = false;
        ASSERT_TRUE(fleet.runUntil(maxWait, [&] {
            return fleet.seen(4, 9).state == peer_state::Suspect;
        }));
        fleet.nodes[4].runs = false;
        fleet.nodes[9].runs = true;
        fleet.run(pause);
        EXPECT_NE(fleet.seen(0, 4).state, peer_state::Alive);
        fleet.nodes[4].runs = true;
        fleet.post(4, tick(fleet.nodes[4].state, fleet.now));
        for (std::size_t i = 0; i < 12; ++i) {
            EXPECT_TRUE(i == 4 || fleet.seen(4, i).state != peer_state::Dead);
        }
        EXPECT_TRUE(fleet.runUntil(maxWait, [&] {
            return fleet.allSeeAll(peer_state::Alive);
        }));
        EXPECT_EQ(fleet.seen(0, 4).incarnation, firstIncarnation);
        EXPECT_GT(fleet.nodes[4].state.refutation, 0U);
    }
}

// An instance is restarted while its old process is only paused. The new process must replace the old one
// everywhere, and datagrams that the old one sends after it resumes must be ignored.
TEST(membership, restartedProcessReplacesTheOldIncarnation)
{
    test_fleet fleet(12, 3);
    fleet.run({5'000});
    const membership oldProcess = fleet.nodes[4].state;
    fleet.restart(4);
    const auto replaced = [&] {
        bool all = true;
        for (std::size_t i = 0; i < 12; ++i) {
            all = all && (i == 4 || fleet.seen(i, 4).incarnation == firstIncarnation + 1);
        }
        return all && fleet.allSee(4, peer_state::Alive);
    };
    EXPECT_TRUE(fleet.runUntil(maxWait, replaced));
    membership resumed = oldProcess;
    const std::vector<outgoing_datagram> late = tick(resumed, fleet.now);
    ASSERT_FALSE(late.empty());
    std::optional<peer_version_seen> newerVersion;
    EXPECT_TRUE(
        handleDatagram(fleet.nodes[0].state, {"127.0.0.1", 5}, late.front().datagram, fleet.now, newerVersion)
            .empty());
    fleet.post(4, announceLeaving(resumed));
    fleet.deliver();
    fleet.run({5'000});
    EXPECT_TRUE(replaced());
}

// A draining daemon still answers probes and refutes suspicions, but must be seen as leaving, and as dead
// once it has exited. The same holds when only the live list shows it as leaving.
TEST(membership, leavingDaemonStaysLeavingUntilItExits)
{
    test_fleet fleet(12, 3);
    fleet.run({5'000});
    fleet.post(4, announceLeaving(fleet.nodes[4].state));
    fleet.list.instances[test_fleet::nameAt(5)].leaving = true;
    fleet.applyListToAll();
    EXPECT_TRUE(fleet.runUntil({5'000}, [&] {
        return fleet.allSee(4, peer_state::Leaving) && fleet.allSee(5, peer_state::Leaving);
    }));
    for (const std::size_t leaver : {4, 5}) {
        fleet.nodes[leaver].runs = false;
    }
    fleet.run({2'000});
    for (const std::size_t leaver : {4, 5}) {
        fleet.nodes[leaver].runs = true;
    }
    fleet.run({20'000});
    EXPECT_TRUE(fleet.allSee(4, peer_state::Leaving) && fleet.allSee(5, peer_state::Leaving));
    fleet.nodes[4].runs = false;
    EXPECT_TRUE(fleet.runUntil(maxWait, [&] {
        return fleet.allSee(4, peer_state::Dead);
    }));
    // The next process of that name starts as alive.
    fleet.restart(4);
    EXPECT_TRUE(fleet.runUntil(maxWait, [&] {
        return fleet.allSee(4, peer_state::Alive);
    }));
}

// Guards against an operator's patch that stays in force on only some daemons: a version must reach the whole
// fleet within seconds, though each daemon notifies only a few peers and datagrams get lost.
TEST(membership, announcedVersionReachesAllOfFiftyDaemons)
{
    test_fleet fleet(50, 4);
    fleet.loss = 0.1;
    fleet.run({5'000});
    fleet.post(0, announceVersion(fleet.nodes[0].state, 42));
    EXPECT_TRUE(fleet.runUntil({5'000}, [&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [](const test_fleet::node &node) {
            return node.state.configVersion == 42;
        });
    }));
    EXPECT_TRUE(fleet.runUntil(maxWait, [&] {
        return fleet.seen(1, 0).configVersion == 42;
    }));
}

// A new daemon takes over a server before the lagging live list shows it. The others must learn its address,
// and it must learn which listed daemons are dead. It stays a member as long as it answers.
TEST(membership, newDaemonIsAMemberBeforeTheListShowsIt)
{
    test_fleet fleet(20, 4);
    fleet.nodes[3].runs = false;
    fleet.run({20'000});
    test_fleet::node &added = fleet.add("domain-new", false);
    applyLiveList(added.state, fleet.list);
    const auto known = [&] {
        for (std::size_t i = 0; i < 20; ++i) {
            const auto &peers = fleet.nodes[i].state.peers;
            if (fleet.nodes[i].runs && !peers.contains(test_fleet::nameAt(20))) {
                return false;
            }
        }
        return fleet.seen(20, 3).state == peer_state::Dead;
    };
    EXPECT_TRUE(fleet.runUntil({10'000}, known));
    const member &seen = fleet.seen(0, 20);
    EXPECT_EQ(seen.failureDomain, "domain-new");
    EXPECT_EQ(seen.address, fleet.nodes[20].state.self.address);
    EXPECT_EQ(seen.callerPort, 80);
    fleet.run({120'000});
    EXPECT_TRUE(fleet.allSee(20, peer_state::Alive));
    // The next new daemon must learn of it as well, though the gossip of its introduction has ended long ago.
    applyLiveList(fleet.add("domain-new", false).state, fleet.list);
    EXPECT_TRUE(fleet.runUntil(maxWait, [&] {
        return fleet.nodes[21].state.peers.contains(test_fleet::nameAt(20));
    }));
    fleet.nodes[20].runs = false;
    EXPECT_TRUE(fleet.runUntil({200'000}, [&] {
        return !fleet.nodes[0].state.peers.contains(test_fleet::nameAt(20));
    }));
}

// A failure domain loses power. Gossiping the death of each of its daemons would take minutes in a large
// fleet; the others must see all of them dead about as fast as a single one, and no other daemon.
TEST(membership, lostFailureDomainIsSeenDeadWithinSeconds)
{
    test_fleet fleet(120, 4);
    fleet.run({20'000});
    const auto lost = [](std::size_t index) {
        return index % 4 == 1;
    };
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        fleet.nodes[i].runs = !lost(i);
    }
    const auto took = fleet.runUntil(maxWait, [&] {
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            if (lost(i) && !fleet.allSee(i, peer_state::Dead)) {
                return false;
            }
        }
        return true;
    });
    ASSERT_TRUE(took);
    EXPECT_LE(took->count, 15'000);
    std::cout << "the loss of 30 among 120 daemons is seen by all after " << took->count << " ms\n";
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        EXPECT_TRUE(lost(i) || fleet.allSee(i, peer_state::Alive)) << i;
    }
    // One of them restarts: the others must stay dead.
    fleet.restart(1);
    EXPECT_TRUE(fleet.runUntil(maxWait, [&] {
        return fleet.allSee(1, peer_state::Alive);
    }));
    fleet.run({10'000});
    EXPECT_TRUE(fleet.allSee(5, peer_state::Dead));
}

// One failure domain is partitioned from the rest for a minute, and each side considers the other dead. After
// the partition has healed, both must see each other alive again without a restart.
TEST(membership, bothSidesOfAHealedPartitionAreAliveAgain)
{
    test_fleet fleet(24, 4);
    fleet.run({10'000});
    for (std::size_t i = 1; i < fleet.nodes.size(); i += 4) {
        fleet.nodes[i].partitioned = true;
    }
    fleet.run({60'000});
    EXPECT_EQ(fleet.seen(0, 1).state, peer_state::Dead);
    EXPECT_EQ(fleet.seen(1, 0).state, peer_state::Dead);
    for (test_fleet::node &node : fleet.nodes) {
        node.partitioned = false;
    }
    const auto took = fleet.runUntil({120'000}, [&] {
        return fleet.allSeeAll(peer_state::Alive);
    });
    ASSERT_TRUE(took);
    std::cout << "a healed partition of 24 is one fleet again after " << took->count << " ms\n";
}

// Control traffic may use 2 KB/s per daemon. Measures the part used by membership among 1,200 daemons, sent
// and received, with no facts to gossip and with every datagram filled to the gossip budget.
TEST(membership, staysWithinItsByteBudget)
{
    constexpr std::size_t size = 1'200;
    constexpr std::size_t ipUdpHeaderBytes = 28;
    constexpr double datagramsPerInterval = 4; // a ping and its ack, out and in
    test_fleet fleet(1, 1);
    membership &state = fleet.nodes[0].state;
    for (std::size_t i = 1; i < size; ++i) {
        const std::string name = test_fleet::nameAt(i);
        fleet.list.instances[name] = {
            name, instance_kind::Entry, "", "domain-0", "127.0.0.1", 9, 80, "", false};
    }
    fleet.applyListToAll();
    // Past introducePeriod, so that the daemon no longer introduces itself.
    tick(state, fleet.now);
    fleet.now = fleet.now + millis{61'000};
    tick(state, fleet.now);
    const seal_keys keys{};
    const auto bytesOf = [&](std::uint64_t sequence) {
        std::optional<peer_version_seen> newerVersion;
        peer_datagram ping{probe_kind::Ping, test_fleet::nameAt(1), firstIncarnation, sequence};
        const auto acks = handleDatagram(state, {"127.0.0.1", 9}, ping, fleet.now, newerVersion);
        return sealDatagram(keys, encode(acks.front().datagram)).size() + ipUdpHeaderBytes;
    };
    state.facts.clear();
    const std::size_t idle = bytesOf(1'000'000);
    std::size_t full = 0;
    for (std::uint64_t i = 2; i < 500; ++i) {
        const peer_datagram notice{probe_kind::Notice, test_fleet::nameAt(1), firstIncarnation, 0, "", 0,
            {{test_fleet::nameAt(i), firstIncarnation + i, peer_state::Suspect, 3}}};
        std::optional<peer_version_seen> newerVersion;
        handleDatagram(state, {"127.0.0.1", 9}, notice, fleet.now, newerVersion);
        full = std::max(full, bytesOf(1'000'000 + i));
    }
    const double perSecond =
        datagramsPerInterval * 1000 / static_cast<double>(probeIntervalFor(state.tuning, size).count);
    std::cout << "membership among " << size << ": " << idle << " to " << full << " bytes a datagram, "
              << static_cast<double>(idle) * perSecond << " to " << static_cast<double>(full) * perSecond
              << " bytes a second\n";
    EXPECT_GT(full, idle + gossipBudgetBytes - 30);
    EXPECT_LT(static_cast<double>(full) * perSecond, 1'200);
}

}
}
