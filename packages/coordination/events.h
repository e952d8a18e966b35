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
    std::uint16_t callerPort = 0;
    std::uint64_t incarnation = 0; ///< 0: not heard yet
    peer_state state = peer_state::Alive;
    std::uint64_t configVersion = 0; ///< highest heard from it
};

/// Membership -> all: the daemons of this region as seen now, self included.
struct members_changed
{
    std::vector<member> members;
};

/// Membership -> all: the platform's list changed (backend servers; leaving is final for an incarnation).
struct live_list_changed
{
    live_view view;
};

/// Config task -> all: a higher version is in force here.
struct config_changed
{
    config_ptr current;
};

/// Membership -> config task: a peer holds this version.
struct peer_version_seen
{
    std::string peer;
    std::uint64_t version = 0;
};

/// Config task -> membership: tell a few peers now.
struct announce_version
{
    std::uint64_t version = 0;
};

/// Peer link -> the task it concerns: a frame from a peer. `from` may be this instance itself.
template <class message>
struct received
{
    std::string from;
    std::uint64_t incarnation = 0;
    message body;
};

/// Any task -> peer link: send to a daemon by name (this instance's own name delivers locally).
struct send_to
{
    std::string to;
    peer_message body;
};

/// Peer link -> all: the link broke, or a send was impossible.
struct peer_unreachable
{
    std::string peer;
};

/// Ownership task -> owner task: this daemon owns the server from now on, with this fencing number.
struct server_gained
{
    live_instance server;
    std::uint64_t fencingToken = 0;
    bool checksFencing = false;
    millis earliestRunAt; ///< when the old owner's last unload can no longer arrive
    millis
        earliestEvictAt; ///< on an engine that doesn't check fencing: when the old tenure has ended for sure
    std::vector<adapter_ref>
        pinned; ///< still serving the old owner's streams, until earliestEvictAt at the latest
};

/// Ownership task -> owner task: no orders or new requests to it any more.
struct server_lost
{
    std::string server;
};

/// Ownership task -> owner task: the lease stands until `until` (own clock); past it only what
/// `mayOrder` of coordination/ownership.h allows.
struct lease_confirmed
{
    millis until;
};

/// Owner task -> ownership task: the engine refused our number; another owner holds `fencing`.
struct fencing_refused
{
    std::string server;
    std::uint64_t fencingToken = 0;
};

/// Ownership task -> owner task: the old owner's process is known to be gone, so evictions on an engine that
/// does not check fencing may begin at `earliestEvictAt` already.
struct predecessor_exited
{
    std::string server;
    millis earliestEvictAt;
};

/// Ownership task -> owner task: stop admitting to this server and say what still runs.
struct release_server
{
    std::string server;
};

/// Owner task -> ownership task: the answer to release_server; streams in progress go on to their end.
struct server_released
{
    std::string server;
    millis drain; ///< all of them end within this time
    std::vector<adapter_ref> running;
};

/// Ownership task -> owner task: who holds a server that is not ours, to redirect entries.
struct owner_known
{
    std::string server;
    std::string owner;
};

/// Owner task -> ownership task: the engine came up cold. It has forgotten its fencing number, so ours has to
/// be put there again before anything is run on it.
struct engine_restarted
{
    std::string server;
};

/// Owner task -> main: nothing runs or waits here any more, after drain_began.
struct owner_drained
{
};

/// Main -> all: graceful shutdown began.
struct drain_began
{
};

}
