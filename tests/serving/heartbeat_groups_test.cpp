#include "protocol/codec.h"
#include "serving/choose_server.h"
#include "serving/heartbeat_groups.h"
#include "serving/observed_server.h"

#include <gtest/gtest.h>

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
    fleet made;
    for (std::size_t i = 0; i < daemons; ++i) {
        const std::string node = "entry-" + std::to_string(i);
        made.daemons[node] = {node, "10.0.0.1", 7'000, "domain-" + std::to_string(i % domains), 1};
    }
    for (std::size_t i = 0; i < servers; ++i) {
        made.servers.push_back("i-" + std::to_string(i * 7'919));
    }
    return made;
}

server_beat beatFor(const std::string &server)
{
    server_beat beat;
    beat.server = server;
    for (int i = 0; i < 5; ++i) {
        beat.adapters.push_back({adapterHash(server + std::to_string(i)), false});
    }
    return beat;
}

/// The beats of one daemon that gives the orders of `servers`.
fleet_beat beatOf(const std::vector<std::string> &servers)
{
    fleet_beat beat;
    for (const std::string &server : servers) {
        beat.servers.push_back(beatFor(server));
    }
    return beat;
}

/// Who hears of a server in one relayed round, directly or passed on; each at most once.
std::multiset<std::string> recipientsOf(
    const fleet &built, const daemon_record &owner, const std::string &server)
{
    std::multiset<std::string> heard;
    for (const heartbeat_delivery &delivery :
        planHeartbeats(built.shape(), owner, beatOf({server}), relayIntervalRounds)) {
        for (const daemon_record *to : delivery.recipients) {
            heard.insert(to->node);
            if (delivery.heartbeat.relay) {
                for (const daemon_record *further : relayTargets(built.shape(), *to, delivery.heartbeat)) {
                    heard.insert(further->node);
                }
            }
        }
    }
    return heard;
}

/// What daemons send for a server in a round, in bytes. `limited`: each server names a limit.
double bytesOf(std::size_t daemons, std::size_t domains, std::size_t servers, bool limited = false)
{
    const fleet built = fleetOf(daemons, domains, servers);
    double bytes = 0;
    std::size_t next = 0;
    for (const auto &[node, record] : built.daemons) {
        for (std::size_t i = 0; i * daemons < servers; ++i) {
            const std::string &server = built.servers[next++ % servers];
            fleet_beat beat = beatOf({server});
            if (limited) {
                beat.limits.push_back({server, 1'700, 580});
            }
            for (int round = 1; round <= relayIntervalRounds; ++round) {
                for (const heartbeat_delivery &delivery :
                    planHeartbeats(built.shape(), record, beat, round)) {
                    bytes += static_cast<double>(encode(fleet_datagram{node, 1, delivery.heartbeat}).size())
                        * static_cast<double>(delivery.recipients.size());
                }
            }
        }
    }
    return bytes / static_cast<double>(next * relayIntervalRounds);
}

}

// On a small deployment everyone hears of every server, once a round.
TEST(BeatCells, ASmallFleetIsOneCell)
{
    const fleet small = fleetOf(80, 4, 94);
    const daemon_record &owner = small.daemons.begin()->second;
    const auto heard = recipientsOf(small, owner, small.servers.front());
    EXPECT_EQ(heard.size(), small.daemons.size() - 1);
    EXPECT_EQ(std::set<std::string>(heard.begin(), heard.end()).size(), heard.size());
    EXPECT_EQ(heartbeatGroupsIn(small.shape(), "domain-1"), 1U);
}

// A fleet grows. Each daemon still hears of about as many servers, in all failure domains, and each server is
// heard of by someone in each.
TEST(BeatCells, ADaemonHearsOfItsCellsServersInEachFailureDomain)
{
    const fleet large = fleetOf(300, 4, 220);
    const std::size_t groups = heartbeatGroupsIn(large.shape(), "domain-0");
    EXPECT_EQ(groups, 3U);
    const daemon_record &owner = large.daemons.begin()->second;
    std::map<std::string, std::size_t> heardBy;
    for (const std::string &server : large.servers) {
        std::set<std::string> domains;
        for (const std::string &node : recipientsOf(large, owner, server)) {
            ++heardBy[node];
            domains.insert(large.daemons.at(node).failureDomain);
            EXPECT_EQ(heartbeatGroupOf(node, groups), heartbeatGroupOf(server, groups));
        }
        EXPECT_EQ(domains.size(), 4U) << server;
    }
    for (const auto &[node, count] : heardBy) {
        EXPECT_LT(count, 2 * large.servers.size() / groups) << node;
    }
}

// What a daemon sends for each server must not grow with the fleet: beats to everyone would be 15 times as
// many at 1,200 daemons as at 80.
TEST(BeatCells, ADaemonsBytesDoNotGrowWithTheFleet)
{
    const double current = bytesOf(80, 4, 94);
    const double larger = bytesOf(300, 4, 300);
    const double largest = bytesOf(1'200, 8, 4'100);
    std::printf(
        "bytes a server and round: 80 daemons %.0f, 300 %.0f, 1,200 %.0f\n", current, larger, largest);
    EXPECT_LT(larger, 1.2 * current);
    EXPECT_LT(largest, 1.2 * current);
}

// What limits of servers add must not grow with the fleet either, though each server names one.
TEST(BeatCells, LimitsAddBytesThatDoNotGrowWithTheFleet)
{
    const auto added = [](std::size_t daemons, std::size_t domains, std::size_t servers) {
        return bytesOf(daemons, domains, servers, true) - bytesOf(daemons, domains, servers);
    };
    const double current = added(80, 4, 94);
    const double larger = added(200, 4, 680);
    const double largest = added(1'200, 8, 4'100);
    std::printf(
        "bytes that a limit adds to a server's beats and round: 80 daemons %.0f, 200 %.0f, 1,200 %.0f\n",
        current, larger, largest);
    EXPECT_LT(larger, 1.2 * current);
    EXPECT_LT(largest, 1.2 * current);
}

// An adapter is nowhere in the own cell. Its first server by rendezvous, in another cell, may have it, so it
// is asked although nothing is known of it; servers of other cells further down the order are not.
TEST(BeatCells, AnAdaptersFirstServersAreAskedUnheard)
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
    EXPECT_EQ(chooseModelServer({near, home}, prompt), 0U) << "a copy in the own cell comes first";
}

}
