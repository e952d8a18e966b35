#include "protocol/codec.h"
#include "serving/beat_cells.h"
#include "serving/choose_server.h"
#include "serving/heard_server.h"

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
fleet_beat serverHeartbeat(const std::vector<std::string> &servers)
{
    fleet_beat beat;
    for (const std::string &server : servers) {
        beat.servers.push_back(beatFor(server));
    }
    return beat;
}

/// Who hears of a server in one relayed round, directly or passed on; each at most once.
std::multiset<std::string> hearers(const fleet &of, const daemon_record &orderer, const std::string &server)
{
    std::multiset<std::string> heard;
    for (const beat_parcel &parcel :
        dealBeats(of.shape(), orderer, serverHeartbeat({server}), relayedRounds)) {
        for (const daemon_record *to : parcel.to) {
            heard.insert(to->node);
            if (parcel.beat.relay) {
                for (const daemon_record *further : passOnTo(of.shape(), *to, parcel.beat)) {
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
    const fleet of = fleetOf(daemons, domains, servers);
    double bytes = 0;
    std::size_t next = 0;
    for (const auto &[node, record] : of.daemons) {
        for (std::size_t i = 0; i * daemons < servers; ++i) {
            const std::string &server = of.servers[next++ % servers];
            fleet_beat beat = serverHeartbeat({server});
            if (limited) {
                beat.limits.push_back({server, 1'700, 580});
            }
            for (int round = 1; round <= relayedRounds; ++round) {
                for (const beat_parcel &parcel : dealBeats(of.shape(), record, beat, round)) {
                    bytes += static_cast<double>(encode(fleet_datagram{node, 1, parcel.beat}).size())
                        * static_cast<double>(parcel.to.size());
                }
            }
        }
    }
    return bytes / static_cast<double>(next * relayedRounds);
}

}

// On a small deployment everyone hears of every server, once a round.
TEST(BeatCells, ASmallFleetIsOneCell)
{
    const fleet small = fleetOf(80, 4, 94);
    const daemon_record &orderer = small.daemons.begin()->second;
    const auto heard = hearers(small, orderer, small.servers.front());
    EXPECT_EQ(heard.size(), small.daemons.size() - 1);
    EXPECT_EQ(std::set<std::string>(heard.begin(), heard.end()).size(), heard.size());
    EXPECT_EQ(cellsIn(small.shape(), "domain-1"), 1U);
}

// A fleet grows. Each daemon still hears of about as many servers, in all failure domains, and each server is
// heard of by someone in each.
TEST(BeatCells, ADaemonHearsOfItsCellsServersInEachFailureDomain)
{
    const fleet large = fleetOf(300, 4, 220);
    const std::size_t cells = cellsIn(large.shape(), "domain-0");
    EXPECT_EQ(cells, 3U);
    const daemon_record &orderer = large.daemons.begin()->second;
    std::map<std::string, std::size_t> heardBy;
    for (const std::string &server : large.servers) {
        std::set<std::string> domains;
        for (const std::string &node : hearers(large, orderer, server)) {
            ++heardBy[node];
            domains.insert(large.daemons.at(node).failureDomain);
            EXPECT_EQ(cellOf(node, cells), cellOf(server, cells));
        }
        EXPECT_EQ(domains.size(), 4U) << server;
    }
    for (const auto &[node, count] : heardBy) {
        EXPECT_LT(count, 2 * large.servers.size() / cells) << node;
    }
}

// What a daemon sends for each server must not grow with the fleet: beats to everyone would be 15 times as
// many at 1,200 daemons as at 80.
TEST(BeatCells, ADaemonsBytesDoNotGrowWithTheFleet)
{
    const double today = bytesOf(80, 4, 94);
    const double larger = bytesOf(300, 4, 300);
    const double whole = bytesOf(1'200, 8, 4'100);
    std::printf("bytes a server and round: 80 daemons %.0f, 300 %.0f, 1,200 %.0f\n", today, larger, whole);
    EXPECT_LT(larger, 1.2 * today);
    EXPECT_LT(whole, 1.2 * today);
}

// What limits of servers add must not grow with the fleet either, though each server names one.
TEST(BeatCells, LimitsAddBytesThatDoNotGrowWithTheFleet)
{
    const auto added = [](std::size_t daemons, std::size_t domains, std::size_t servers) {
        return bytesOf(daemons, domains, servers, true) - bytesOf(daemons, domains, servers);
    };
    const double today = added(80, 4, 94);
    const double larger = added(200, 4, 680);
    const double whole = added(1'200, 8, 4'100);
    std::printf(
        "bytes that a limit adds to a server's beats and round: 80 daemons %.0f, 200 %.0f, 1,200 %.0f\n",
        today, larger, whole);
    EXPECT_LT(larger, 1.2 * today);
    EXPECT_LT(whole, 1.2 * today);
}

// An adapter is nowhere in the own cell. Its first server by rendezvous, in another cell, may have it, so it
// is asked although nothing is known of it; servers of other cells further down the order are not.
TEST(BeatCells, AnAdaptersFirstServersAreAskedUnheard)
{
    model_candidate near;
    near.openPlaces = 2;
    near.hashRank = 4;
    model_candidate home = unheardCandidate(true);
    home.hashRank = 0;
    const prompt_shape prompt{2'000, false, 1};
    EXPECT_EQ(chooseModelServer({near, home}, prompt), 1U);
    home.hashRank = unheardRanks;
    EXPECT_EQ(chooseModelServer({near, home}, prompt), 0U);
    near.adapter = residence::Resident;
    home.hashRank = 0;
    EXPECT_EQ(chooseModelServer({near, home}, prompt), 0U) << "a copy in the own cell comes first";
}

}
