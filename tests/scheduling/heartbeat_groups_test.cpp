#include "protocol/codec.h"
#include "protocol/load_messages.h"
#include "scheduling/choose_server.h"
#include "scheduling/heartbeat_groups.h"
#include "scheduling/observed_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

namespace briarhead {

namespace {

struct fleet
{
    daemon_map daemons;
    std::vector<std::string> servers;

    fleet_shape shape() const
    {
        return {&daemons, servers.size()};
    }
};

fleet fleetOf(std::size_t daemons, std::size_t domains, std::size_t servers)
{
    fleet result;
    for (std::size_t i = 0; i < daemons; ++i) {
        const std::string node = "entry-" + std::to_string(i);
        result.daemons[node] = {node, "10.0.0.1", 7'000, "domain-" + std::to_string(i % domains), 1};
    }
    for (std::size_t i = 0; i < servers; ++i) {
        result.servers.push_back("i-" + std::to_string(i * 7'919));
    }
    return result;
}

server_heartbeat serverHeartbeatOf(const std::string &server)
{
    server_heartbeat heartbeat;
    heartbeat.server = server;
    for (int i = 0; i < 5; ++i) {
        heartbeat.adapters.push_back({adapterHash(server + std::to_string(i)), false});
    }
    return heartbeat;
}

/// The heartbeat of a daemon that owns `servers`.
fleet_heartbeat fleetHeartbeatOf(const std::vector<std::string> &servers)
{
    fleet_heartbeat heartbeat;
    for (const std::string &server : servers) {
        heartbeat.servers.push_back(serverHeartbeatOf(server));
    }
    return heartbeat;
}

/// The daemons that receive heartbeats about a server in a round with relays, directly or relayed.
std::multiset<std::string> recipientsOf(
    const fleet &simulated, const daemon_record &owner, const std::string &server)
{
    std::multiset<std::string> recipients;
    for (const heartbeat_delivery &delivery :
        planHeartbeats(simulated.shape(), owner, fleetHeartbeatOf({server}), relayIntervalRounds)) {
        for (const daemon_record *recipient : delivery.recipients) {
            recipients.insert(recipient->node);
            if (delivery.heartbeat.relay) {
                for (const daemon_record *relayed :
                    relayTargets(simulated.shape(), *recipient, delivery.heartbeat)) {
                    recipients.insert(relayed->node);
                }
            }
        }
    }
    return recipients;
}

/// The load heartbeat of an owner, with or without the fields for the forecast of gaps.
load_heartbeat loadHeartbeatOf(const std::string &server, bool forecast)
{
    server_load load;
    load.server = server;
    if (forecast) {
        for (const load_field field :
            {load_field::TokensPerSecond, load_field::SpeedAgeMs, load_field::LimitedStreams}) {
            addField(load.fields, static_cast<std::uint32_t>(field), 9'300, 0);
        }
    }
    return {{load}, {}};
}

/// The mean number of bytes that daemons send per server and round. `limited`: each server announces a limit;
/// `loads`: owners send this about each server with the heartbeat.
double bytesOf(std::size_t daemons, std::size_t domains, std::size_t servers, bool limited = false,
    const std::function<load_heartbeat(const std::string &server)> &loads = {})
{
    const fleet simulated = fleetOf(daemons, domains, servers);
    double bytes = 0;
    std::size_t next = 0;
    for (const auto &[node, record] : simulated.daemons) {
        for (std::size_t i = 0; i * daemons < servers; ++i) {
            const std::string &server = simulated.servers[next++ % servers];
            fleet_heartbeat heartbeat = fleetHeartbeatOf({server});
            if (limited) {
                heartbeat.limits.push_back({server, 1'700, 580});
            }
            for (int round = 1; round <= relayIntervalRounds; ++round) {
                for (const heartbeat_delivery &delivery :
                    planHeartbeats(simulated.shape(), record, heartbeat, round)) {
                    fleet_datagram datagram{node, 1, delivery.heartbeat};
                    if (loads) {
                        datagram.body = extended_heartbeat{delivery.heartbeat, loads(server)};
                    }
                    bytes += static_cast<double>(encode(datagram).size())
                        * static_cast<double>(delivery.recipients.size());
                }
            }
        }
    }
    return bytes / static_cast<double>(next * relayIntervalRounds);
}

}

TEST(HeartbeatGroups, InASmallFleetEveryDaemonReceivesEachHeartbeatOnce)
{
    const fleet small = fleetOf(80, 4, 94);
    const daemon_record &owner = small.daemons.begin()->second;
    const auto received = recipientsOf(small, owner, small.servers.front());
    EXPECT_EQ(received.size(), small.daemons.size() - 1);
    EXPECT_EQ(std::set<std::string>(received.begin(), received.end()).size(), received.size());
    EXPECT_EQ(heartbeatGroupsIn(small.shape(), "domain-1"), 1U);
}

// The number of servers per daemon stays about the same in a larger fleet, and each server is known to
// daemons in all failure domains.
TEST(HeartbeatGroups, InALargeFleetHeartbeatsReachTheServersGroupInEachFailureDomain)
{
    const fleet large = fleetOf(300, 4, 220);
    const std::size_t groups = heartbeatGroupsIn(large.shape(), "domain-0");
    EXPECT_EQ(groups, 3U);
    const daemon_record &owner = large.daemons.begin()->second;
    std::map<std::string, std::size_t> receivedBy;
    for (const std::string &server : large.servers) {
        std::set<std::string> domains;
        for (const std::string &node : recipientsOf(large, owner, server)) {
            ++receivedBy[node];
            domains.insert(large.daemons.at(node).failureDomain);
            EXPECT_EQ(heartbeatGroupOf(node, groups), heartbeatGroupOf(server, groups));
        }
        EXPECT_EQ(domains.size(), 4U) << server;
    }
    for (const auto &[node, count] : receivedBy) {
        EXPECT_LT(count, 2 * large.servers.size() / groups) << node;
    }
}

// Heartbeats to every daemon would be 15 times as many at 1,200 daemons as at 80.
TEST(HeartbeatGroups, HeartbeatBytesPerServerDoNotGrowWithTheFleet)
{
    const double current = bytesOf(80, 4, 94);
    const double larger = bytesOf(300, 4, 300);
    const double largest = bytesOf(1'200, 8, 4'100);
    std::printf(
        "bytes per server and round: 80 daemons %.0f, 300 %.0f, 1,200 %.0f\n", current, larger, largest);
    EXPECT_LT(larger, 1.2 * current);
    EXPECT_LT(largest, 1.2 * current);
}

TEST(HeartbeatGroups, BytesForLimitsDoNotGrowWithTheFleet)
{
    const auto added = [](std::size_t daemons, std::size_t domains, std::size_t servers) {
        return bytesOf(daemons, domains, servers, true) - bytesOf(daemons, domains, servers);
    };
    const double current = added(80, 4, 94);
    const double larger = added(200, 4, 680);
    const double largest = added(1'200, 8, 4'100);
    std::printf("bytes per server and round that a limit adds: 80 daemons %.0f, 200 %.0f, 1,200 %.0f\n",
        current, larger, largest);
    EXPECT_LT(larger, 1.2 * current);
    EXPECT_LT(largest, 1.2 * current);
}

// The speeds of servers are reported with every heartbeat. Reports to all daemons would not scale.
TEST(HeartbeatGroups, BytesForSpeedsDoNotGrowWithTheFleet)
{
    const auto added = [](std::size_t daemons, std::size_t domains, std::size_t servers) {
        const auto with = [](bool forecast) {
            return [forecast](const std::string &server) {
                return loadHeartbeatOf(server, forecast);
            };
        };
        return bytesOf(daemons, domains, servers, false, with(true))
            - bytesOf(daemons, domains, servers, false, with(false));
    };
    const double current = added(80, 4, 94);
    const double larger = added(300, 4, 300);
    const double largest = added(1'200, 8, 4'100);
    std::printf("bytes per server and round that the speeds add: 80 daemons %.0f, 300 %.0f, 1,200 %.0f\n",
        current, larger, largest);
    EXPECT_GT(current, 0);
    EXPECT_LT(larger, 1.2 * current);
    EXPECT_LT(largest, 1.2 * current);
}

// The adapter isn't resident in this entry's heartbeat group. A server of another group is a candidate only
// in the first positions of the adapter's rendezvous order, where the adapter is probably resident.
TEST(HeartbeatGroups, FirstServersInRendezvousOrderAreChosenWithoutHeartbeats)
{
    model_candidate near;
    near.availableSlots = 2;
    near.hashRank = 4;
    model_candidate home = unobservedCandidate(true);
    home.hashRank = 0;
    const prompt_shape prompt{2'000, false, 1};
    EXPECT_EQ(chooseModelServer({near, home}, prompt), 1U);
    home.hashRank = maxHashRankUnobserved;
    EXPECT_EQ(chooseModelServer({near, home}, prompt), 0U);
    near.adapter = adapter_residency::Resident;
    home.hashRank = 0;
    EXPECT_EQ(chooseModelServer({near, home}, prompt), 0U) << "a copy in the entry's own group is preferred";
}

// Guards against all daemons sending at the same moment: each would handle the heartbeats of the whole group
// in one burst and forward nothing meanwhile.
TEST(HeartbeatGroups, DaemonsStartedTogetherSendAtDifferentTimes)
{
    constexpr std::int64_t intervalMs = 150;
    constexpr std::int64_t spanMs = 15;
    constexpr int daemons = 70;
    std::vector<int> perSpan(intervalMs / spanMs);
    for (int i = 0; i < daemons; ++i) {
        const millis phase = heartbeatPhase("edge-zone-a-" + std::to_string(i), millis{intervalMs});
        ASSERT_GE(phase.count, 0);
        ASSERT_LT(phase.count, intervalMs);
        ++perSpan[static_cast<std::size_t>(phase.count / spanMs)];
    }
    // Twice the mean of a span.
    EXPECT_LE(*std::max_element(perSpan.begin(), perSpan.end()), 2 * daemons * spanMs / intervalMs);
}

}
