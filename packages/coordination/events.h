#pragma once

#include "protocol/messages.h"
#include "state/config.h"
#include "transport/live_list.h"
#include "transport/peer_link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

// Messages between the tasks of one daemon (see transport/bus.h).
namespace briarhead {

/// One daemon as the membership task sees it.
struct member
{
    std::string name;
    std::string failureDomain;
    peer_address address;
    std::uint16_t callerPort = 0; ///< serves callers
    std::uint64_t incarnation = 0; ///< 0: unknown, nothing received from it yet
    peer_state state = peer_state::Alive;
    std::uint64_t configVersion = 0; ///< highest version received from it
};

/// Membership -> all: the daemons of this region as seen now, self included.
struct members_changed
{
    std::vector<member> members;
};

/// Membership -> all: the platform's live list changed. It also lists the backend servers; a leaving flag is
/// final for an incarnation.
struct live_list_changed
{
    live_view view;
};

/// Config task -> all: a higher configuration version is in force here.
struct config_changed
{
    config_ptr current;
};

/// Membership -> config task: a peer holds this configuration version, which is above this daemon's.
struct peer_version_seen
{
    std::string peer;
    std::uint64_t version = 0;
};

/// Config task -> membership: notify a few peers of this configuration version now.
struct announce_version
{
    std::uint64_t version = 0;
};

/// Peer link -> the subscribed task: a frame from a peer. `from` may be this instance itself.
template <class message>
struct received
{
    std::string from;
    std::uint64_t incarnation = 0; ///< of the sender's process
    message body;
};

/// Any task -> peer link: send to a daemon by name (this instance's own name delivers locally).
struct send_to
{
    std::string to;
    peer_message body;
};

/// Peer link -> all: the link to a peer broke, or a frame to it could not be sent.
struct peer_unreachable
{
    std::string peer;
};

/// Ownership task -> owner task: this daemon owns the server from now on, with this fencing token.
struct server_gained
{
    live_instance server;
    std::uint64_t fencingToken = 0;
    bool checksFencing = false; ///< the engine refuses orders with an outdated fencing token
    /// From then on the previous owner's last unload can no longer arrive.
    millis earliestRunAt;
    /// Where !checksFencing: from then on nothing that the previous owner admitted can still run.
    millis earliestEvictAt;
    /// Adapters that still serve the previous owner's streams, until earliestEvictAt at the latest.
    std::vector<adapter_ref> pinned;
};

/// Ownership task -> owner task: this daemon no longer owns the server; send it no more orders or requests.
struct server_lost
{
    std::string server;
};

/// Ownership task -> owner task: the session lease is valid until `until` (own clock); after that only what
/// isOrderAllowed() of coordination/ownership.h permits.
struct lease_confirmed
{
    millis until;
};

/// Owner task -> ownership task: the engine refused this daemon's fencing token; another owner holds
/// `fencingToken`.
struct fencing_refused
{
    std::string server;
    std::uint64_t fencingToken = 0;
};

/// Ownership task -> owner task: the previous owner's process has certainly ended, so evictions on an engine
/// that does not check fencing may begin earlier, at `earliestEvictAt`.
struct predecessor_exited
{
    std::string server;
    millis earliestEvictAt;
};

/// Ownership task -> owner task: stop admitting requests to this server and report what still runs.
struct release_server
{
    std::string server;
};

/// Owner task -> ownership task: the response to release_server; streams in progress run to their end.
struct server_released
{
    std::string server;
    millis drain; ///< all of them end within this time
    std::vector<adapter_ref> running;
};

/// Ownership task -> owner task: which daemon owns a server that this one does not own, to redirect entries.
struct owner_known
{
    std::string server;
    std::string owner;
};

/// Owner task -> ownership task: the engine was restarted and has lost its fencing token, so this daemon's
/// token must be installed again before anything is run on it.
struct engine_restarted
{
    std::string server;
};

/// Owner task -> main: after drain_began, no request runs or waits here any more.
struct owner_drained
{
};

/// Main -> all: graceful shutdown began.
struct drain_began
{
};

}
