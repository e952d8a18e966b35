#pragma once

#include "protocol/crash_messages.h"
#include "protocol/load_messages.h"
#include "protocol/origin_messages.h"
#include "protocol/quota_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Datagrams between the daemons of a fleet with direct dispatch: an entry sends a request to a backend server
// itself, after it has been granted a slot by the server's owner, the one daemon that schedules the server
// and sends its load and unload orders. Times are remaining durations, since the daemons' clocks differ.
namespace briarhead {

/// Entry -> owner: asks for a slot, the permission to send a request to a server. Repeated until there is a
/// response.
struct slot_request
{
    std::string id; ///< of the attempt at the caller's request
    std::string server;
    std::string model;
    std::string adapter; ///< empty: the base model without an adapter
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int32_t rank = 0; ///< priority; 0 is the most urgent
    std::int64_t waitMs = 0; ///< maximum wait for the slot
    std::int64_t deadlineMs = 0; ///< until the caller's deadline
    std::int64_t targetMs = 0; ///< until the first token is due; negative: overdue
    /// The rate limit that the server announced, in thousandths of a request per second; -1: none known.
    std::int64_t limitMilli = -1;
    std::int64_t limitAgeMs = 0; ///< since the entry received the announcement

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, model, adapter, promptTokens, outputTokens, rank, waitMs, deadlineMs, targetMs,
            limitMilli, limitAgeMs);
    }
};

/// Tags of extended_slot_request::fields. Numbers are not reused.
enum class slot_field : std::uint32_t
{
    MaxGapMs = 1, ///< longest inter-event gap with which the response is on time; default 0: none stated
    RouteRank = 2, ///< priority of the request's route; default: slot_request::rank
    MaxRejections = 3, ///< rejections per second that a brittle server bears; default -1: it isn't brittle
};

/// Entry -> owner: a slot_request with fields that older builds don't know. Sent only to daemons that
/// understand it, see serving/peer_features.h.
struct extended_slot_request
{
    slot_request request;
    optional_fields fields;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(request, fields);
    }
};

/// The owner's decision on a slot_request.
enum class slot_decision : std::uint8_t
{
    Queued, ///< another slot_response, granted or refused, follows
    Granted,
    Refused,
};

/// The last enumerator; the codec rejects larger values. So too for the enums below.
constexpr slot_decision lastOf(slot_decision)
{
    return slot_decision::Refused;
}

/// Why a slot_request was refused.
enum class refusal : std::uint8_t
{
    None,
    TooBusy, ///< its wait would exceed the request's waitMs
    NoSlot, ///< all adapter slots of the server are in use
    NotOwner, ///< the receiver does not own the server
    ServerLeaving, ///< the server announced that it will shut down
    ModelNotLoaded, ///< the server does not have the base model
    LoadTooSlow, ///< its adapter would be loaded too late, behind other loads from the weight store
    Limited, ///< the rate limit that the server announced would delay it beyond waitMs
    Paused, ///< the server asked this entry to pause, see server_notice::pauseMs
};

constexpr refusal lastOf(refusal)
{
    return refusal::Paused;
}

/// The name used in logs.
std::string_view nameOf(refusal value);

/// Owner -> entry.
struct slot_response
{
    std::string id;
    std::string server;
    slot_decision decision = slot_decision::Queued;
    refusal why = refusal::None;
    std::int64_t adapterVersion = 0; ///< the version of the adapter that is loaded; 0: unknown
    std::int64_t retryAfterMs = 0; ///< with a refusal: when another request may be granted
    /// The server's rate limit, as in slot_request. Not set if `why` is NotOwner or ServerLeaving.
    std::int64_t limitMilli = -1;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, decision, why, adapterVersion, retryAfterMs, limitMilli);
    }
};

/// What happened to a request that was granted a slot.
enum class slot_event : std::uint8_t
{
    FirstToken, ///< its prefill is complete
    Ended, ///< the server no longer works on it
    AdapterNotLoaded, ///< the server reported that it does not have the adapter
    Failed, ///< ended without a usable response
    NotSent, ///< it never reached the server
};

constexpr slot_event lastOf(slot_event)
{
    return slot_event::NotSent;
}

/// Entry -> owner: reports an event of a request that was granted a slot. May be lost, so the slot is also
/// released when the request's deadline expires.
struct slot_report
{
    std::string id;
    std::string server;
    slot_event event = slot_event::Ended;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, event);
    }
};

/// Entry -> owner: the rate limit that the server announced with the response to a granted request. Sent only
/// if the response announces a limit, or an earlier one did.
struct limit_report
{
    std::string id;
    std::string server;
    std::int64_t limitMilli = -1; ///< as in slot_request; -1: no longer announced

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, limitMilli);
    }
};

/// Entry -> owner: a brittle server rejected the request for want of room. Replaces the slot_report about its
/// end, and is sent only to daemons that understand it, see serving/peer_features.h.
struct server_rejection
{
    std::string id; ///< of the request
    std::string server;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server);
    }
};

/// What a server announced about itself in a response to the sender. Sent to the server's owner, so that it
/// grants no slot that cannot be used; the notice that a server will shut down also goes to all other
/// daemons.
struct server_notice
{
    std::string server;
    std::string incarnation; ///< of the server; changes with each restart
    bool leaving = false; ///< the server will shut down
    std::int64_t pauseMs = 0; ///< for how long the sender must send it no requests; 0: no pause announced
    bool relay = false; ///< whether the receiver must forward it to all daemons

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, incarnation, leaving, pauseMs, relay);
    }
};

/// Entry -> the new owner of a server: a request that was granted a slot by the previous owner and still runs
/// there.
struct running_request
{
    std::string id;
    std::string server;
    std::string model;
    std::string adapter;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    bool inPrefill = false; ///< there was no token yet
    std::int64_t deadlineMs = 0; ///< until the caller's deadline

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, model, adapter, promptTokens, outputTokens, inPrefill, deadlineMs);
    }
};

/// One adapter that a server has loaded or is loading. It is identified by a hash, which takes a fifth of the
/// bytes of its name; adapters with the same hash are told apart by the owner, which knows the names.
struct heartbeat_adapter
{
    std::uint32_t name = 0; ///< hash of "MODEL/ADAPTER", see adapterHash()
    bool loading = false;
    std::uint32_t recentUses = 0; ///< on this server, decayed by useScoreHalfLife

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, loading, recentUses);
    }
};

/// The state of a server as known to its owner.
struct server_heartbeat
{
    std::string server;
    std::uint64_t fence = 0; ///< fencing token of the owner
    bool modelLoaded = false; ///< whether the server has a base model
    std::vector<heartbeat_adapter> adapters;
    std::uint32_t availableSlots = 0; ///< adapter slots that are free or whose adapter is not in use
    /// Prompt tokens of granted or queued requests whose prefill is not complete.
    std::int64_t backlogTokens = 0;
    std::int64_t prefillTokensPerSecond = 0; ///< measured
    std::uint32_t running = 0; ///< requests
    std::uint32_t longResponses = 0; ///< of those, the ones whose generation takes seconds

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, fence, modelLoaded, adapters, availableSlots, backlogTokens, prefillTokensPerSecond,
            running, longResponses);
    }
};

/// The rate limit of a server, as applied by its owner.
struct limit_heartbeat
{
    std::string server;
    std::int64_t limitMilli = -1; ///< as in slot_request; -1: until recently announced, but no longer
    std::int64_t waitMs = 0; ///< until the limit permits another request

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, limitMilli, waitMs);
    }
};

/// Daemon -> the other daemons of its heartbeat groups, several times per second: the state of the servers
/// that it owns.
struct fleet_heartbeat
{
    bool relay = false; ///< whether the receiver must forward it to all daemons of its failure domain
    std::vector<server_heartbeat> servers;
    /// Until the sender's lease expires unless renewed. It sends no orders to its servers after that.
    std::int64_t ownershipLeftMs = 0;
    /// Concurrent adapter loads that the weight store serves at full speed, as estimated by the sender; 0: it
    /// has no recent estimate.
    std::int64_t maxFullSpeedLoads = 0;
    std::vector<limit_heartbeat> limits; ///< of those servers that announce one, or did until recently

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(relay, servers, ownershipLeftMs, maxFullSpeedLoads, limits);
    }
};

/// A fleet_heartbeat together with the loads that belong to it, in one datagram. Replaces the heartbeat for
/// daemons that understand it, since an additional datagram for each heartbeat costs entries noticeable time.
struct extended_heartbeat
{
    fleet_heartbeat heartbeat;
    load_heartbeat loads;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(heartbeat, loads);
    }
};

/// An item of the platform's store, as reported by a watch.
struct store_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< of the store, at which the item changed
    bool removed = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, value, revision, removed);
    }
};

/// Reader -> the other daemons of its failure domain: the changes in the store between two revisions. Also
/// sent when there are none, to show that the reader is connected to the store.
struct store_update
{
    std::int64_t from = 0; ///< revision
    std::int64_t to = 0; ///< revision
    bool mustFetch = false; ///< too large for a datagram: the receiver must fetch the changes from the reader
    bool isSnapshot = false; ///< in the response to a fetch: `items` has all items, not just changes
    std::vector<store_item> items;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, to, mustFetch, isSnapshot, items);
    }
};

/// A compressed store_update. An operators' configuration is tens of kilobytes of text, which a reader sends
/// to all daemons of its failure domain over a link of 10 Mbit/s.
struct compressed_update
{
    std::string bytes; ///< encode(store_update)

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(bytes);
    }
};

/// Any of the datagrams above, with its sender.
struct fleet_datagram
{
    std::string from; ///< the sender's node name
    std::uint64_t incarnation = 0; ///< of the sender
    std::variant<slot_request, slot_response, slot_report, running_request, fleet_heartbeat, store_update,
        compressed_update, crash_report, quota_request, quota_response, quota_release, limit_report,
        server_notice, extended_slot_request, extended_quota_request, features_notice, extended_heartbeat,
        server_rejection, stream_origins_report, stream_origin_query, stream_origin_answer,
        ranked_crash_report>
        body;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, incarnation, body);
    }
};

/// A record in the platform's store: a live daemon. Removed when the daemon's lease expires.
struct daemon_record
{
    std::string node;
    std::string ip;
    std::uint16_t port = 0; ///< of its datagram socket
    std::string failureDomain;
    std::uint64_t incarnation = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(node, ip, port, failureDomain, incarnation);
    }
};

using daemon_map = std::map<std::string, daemon_record>; ///< by node

/// A record in the platform's store: the owner of a server. The fencing token is the record's revision.
struct ownership_record
{
    std::string node; ///< empty: released, to be claimed by the daemon proposed as the next owner
    std::uint64_t incarnation = 0;
    std::int64_t lease = 0; ///< of the owner; the record is removed when it expires

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(node, incarnation, lease);
    }
};

/// A record in the platform's store: the home of a shard of client accounts. Its term is the record's
/// revision.
struct quota_home_record
{
    ownership_record ownership;
    bool predecessorExpired = false; ///< the previous home's grants have expired

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ownership, predecessorExpired);
    }
};

}
