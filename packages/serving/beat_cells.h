#pragma once

#include "protocol/fleet_messages.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Which daemons hear of which server. Beats to everyone would grow with servers times daemons; so the daemons
// of each failure domain are dealt into cells, the servers too, and an entry hears only of its cell's
// servers, in all failure domains. A fleet with up to 96 servers and 32 daemons a failure domain is one cell.
// Both sides work the cells out from the store's records; where their views differ for a moment, an entry
// hears of too many servers or too few, and asks the others' orderers unheard.
namespace briarhead {

/// Daemons of a failure domain that share a cell, and servers that one daemon hears of, at most about.
constexpr std::size_t cellDaemons = 32;
constexpr std::size_t cellServers = 96;

/// Cells of a failure domain with so many daemons, in a fleet with so many servers.
std::size_t cellCount(std::size_t daemons, std::size_t servers);
std::size_t cellOf(std::string_view name, std::size_t cells);

/// The daemons as the store lists them, and the number of servers there.
struct fleet_shape
{
    const daemon_map *daemons = nullptr;
    std::size_t servers = 0;
    const daemon_map *lapsed = nullptr; ///< that hear too, but count for nothing; may be null
};

/// Cells of a failure domain. Its daemons hear by beats of the servers in their cell.
std::size_t cellsIn(const fleet_shape &fleet, std::string_view domain);

/// A beat and the daemons that get it.
struct beat_parcel
{
    fleet_heartbeat beat;
    std::vector<const daemon_record *> to;
};

/// Another failure domain's daemons get beats directly up to this number; beyond, one of them, another each
/// time, passes them on, and only each third round is sent there: bytes between failure domains are dear, and
/// its servers are a second choice.
constexpr std::size_t directPeers = 3;
constexpr int relayedRounds = 3;

/// What the daemon `from` sends in a round, of the servers that it gives orders to.
std::vector<beat_parcel> dealBeats(
    const fleet_shape &fleet, const daemon_record &from, const fleet_heartbeat &beat, int round);
/// The daemons of its own failure domain that `relay` passes a beat from another one on to.
std::vector<const daemon_record *> passOnTo(
    const fleet_shape &fleet, const daemon_record &relay, const fleet_heartbeat &beat);

}
