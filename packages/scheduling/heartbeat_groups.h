#pragma once

#include "protocol/fleet_messages.h"
#include "state/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Decides which daemons receive heartbeats about which servers. If every daemon received them all, traffic
// would grow with servers times daemons. Instead, the daemons of each failure domain and all servers are
// hashed into heartbeat groups, and an entry receives heartbeats only about its own group's servers, in all
// failure domains. A fleet of up to 96 servers and 32 daemons per failure domain has a single group.
// Senders and receivers derive the groups from the store's records. While their views differ, an entry
// receives heartbeats about too many or too few servers; it can still request a slot from the owner of a
// server that it has no heartbeats about.
namespace briarhead {

/// Approximate upper bounds, since names are hashed into groups: daemons of one failure domain that share a
/// group, and servers of a group.
constexpr std::size_t maxDaemonsPerGroup = 32;
constexpr std::size_t maxServersPerGroup = 96;

/// Number of heartbeat groups of a failure domain with `daemons` daemons in a fleet with `servers` servers.
std::size_t heartbeatGroupCount(std::size_t daemons, std::size_t servers);
/// The group, out of `groups`, of a daemon or server by its name.
std::size_t heartbeatGroupOf(std::string_view name, std::size_t groups);

/// The size of the fleet according to the store.
struct fleet_shape
{
    const daemon_map *daemons = nullptr;
    std::size_t servers = 0;
    /// Daemons whose record has expired: they still receive heartbeats but don't count towards the number of
    /// groups. May be null.
    const daemon_map *expired = nullptr;
};

/// Number of heartbeat groups in a failure domain.
std::size_t heartbeatGroupsIn(const fleet_shape &fleet, std::string_view domain);

/// A heartbeat and the daemons to send it to.
struct heartbeat_delivery
{
    fleet_heartbeat heartbeat;
    std::vector<const daemon_record *> recipients;
};

/// A group of at most this many daemons in another failure domain receives heartbeats directly. For a larger
/// one a single daemon, a different one each time, relays them, and only every `relayIntervalRounds`-th round
/// is sent: traffic between failure domains is expensive, and entries there use the servers as a second
/// choice.
constexpr std::size_t maxDirectPeers = 3;
constexpr int relayIntervalRounds = 3;

/// When within the interval a daemon sends its heartbeats. Daemons that are started together would otherwise
/// send at the same moments, and each would receive the heartbeats of its whole group in one burst, during
/// which it forwards nothing.
millis heartbeatPhase(std::string_view node, millis interval);

/// The heartbeats that daemon `from` sends in a round about the servers that it owns.
std::vector<heartbeat_delivery> planHeartbeats(
    const fleet_shape &fleet, const daemon_record &from, const fleet_heartbeat &heartbeat, int round);
/// The daemons of `relay`'s own failure domain that it forwards a heartbeat from another domain to.
std::vector<const daemon_record *> relayTargets(
    const fleet_shape &fleet, const daemon_record &relay, const fleet_heartbeat &heartbeat);
/// The loads that are sent along with a heartbeat: those of its servers, and all of the plain servers.
load_heartbeat loadsFor(const fleet_heartbeat &heartbeat, const load_heartbeat &loads);

}
