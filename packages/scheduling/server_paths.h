#pragma once

#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Which way a daemon sends requests to backend servers: over connections of its own, or through a peer while
// it is cut off from them. A failed connection alone shows nothing about the server, and nothing about the
// link either: the server may be down. Only a peer that reaches the server at the same time proves a cut.
namespace briarhead {

/// What peers found when they were asked to connect to a server that this daemon can't connect to.
enum class peer_reach : std::uint8_t
{
    Unknown, ///< not asked yet
    Reached, ///< a peer connected: the link of this daemon is cut
    Unreached, ///< no peer connected: the server itself is down
};

/// A server that this daemon's connection attempts fail to reach.
struct failing_path
{
    millis since; ///< first failure since the latest successful attempt
    peer_reach reach = peer_reach::Unknown;
    millis checkedAt; ///< when `reach` was last found out
};

struct server_paths
{
    std::map<std::string, failing_path> failing; ///< by server
    millis lastConnectedAt; ///< when an attempt to connect to any server last succeeded
    bool cutOff = false; ///< from all servers
};

enum class send_route : std::uint8_t
{
    Direct,
    Relayed, ///< through a peer
};

/// The number of servers that have to be cut before all are taken to be.
constexpr std::size_t cutsToBeCutOff = 2;
/// A server that no peer reached is not asked about again for this long.
constexpr millis unreachedFor{2'000};

/// Records a successful connection attempt. Returns whether the server's path was failing until then, or the
/// daemon was cut off.
bool recordConnected(server_paths &paths, const std::string &server, millis now);
/// Records a failed connection attempt.
void recordConnectFailed(server_paths &paths, const std::string &server, millis now);
/// Records what peers found. `servers`: the number of servers that the daemon knows. Does nothing if the
/// server's path isn't failing any more. Returns whether the daemon is newly cut off from all servers.
bool recordReach(
    server_paths &paths, const std::string &server, bool reached, std::size_t servers, millis now);
/// Drops a server that was removed or restarted.
void forgetPath(server_paths &paths, const std::string &server);

/// How a request is sent to the server now. After a first cut all requests are relayed until a connection to
/// some server succeeds: a request on a kept connection that is cut as well would be lost.
send_route routeTo(const server_paths &paths, const std::string &server);
/// Whether peers should be asked if they reach the server.
bool needsReachCheck(const server_paths &paths, const std::string &server, millis now);
/// Whether the link to the server is known to be cut, so that it has to be tried again now and then.
bool isCut(const server_paths &paths, const std::string &server);

/// Requests of peers that a daemon relays at once, so that one whose neighbours are cut off can still serve
/// its own callers.
constexpr std::size_t maxRelayed = 128;

/// A peer that may relay a request.
struct relay_candidate
{
    bool sameDomain = false; ///< in this daemon's failure domain
    bool excluded = false; ///< cut off itself, tried already for this request, or unresponsive
    int inFlight = 0; ///< requests that this daemon sends through it now
    std::uint64_t tieBreak = 0; ///< differs from request to request
};

/// The peer with the fewest requests in flight, or nothing if all are excluded. Peers of the own failure
/// domain are preferred, because bytes between domains are costly, unless more than half of them are
/// excluded: a domain that is mostly cut off would overload the few that are left.
std::optional<std::size_t> chooseRelay(const std::vector<relay_candidate> &candidates);

}
