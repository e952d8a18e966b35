#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// The record of a backend server's owner, stored as JSON in the key-value service under
/// "briarhead/owner/SERVER". The epoch never decreases; it is the high part of the fencing token.
struct owner_record
{
    std::string owner; ///< the owner's instance name; empty: released
    std::uint64_t incarnation = 0; ///< of the owner's process
    std::uint64_t epoch = 0;
    std::int64_t drainMs = 0; ///< when released: the last owner's streams end within this time of the release
    std::vector<std::string> pinned; ///< when released: the adapters those streams run on, "adapter:version"
};

/// The key of a server's record: "briarhead/owner/SERVER".
std::string ownerRecordKey(std::string_view server);
std::string toJson(const owner_record &record);
/// Returns nothing, with `why`, if the text is not a complete record.
std::optional<owner_record> parseOwnerRecord(std::string_view json, error &why);

/// The session of a daemon, stored as JSON under "briarhead/session/INSTANCE" and attached to the daemon's
/// lease: the service removes it when the lease expires.
struct session_record
{
    std::uint64_t incarnation = 0; ///< of the daemon's process
    std::int64_t leaseTtlMs = 0;
};

/// The key of a daemon's session: "briarhead/session/INSTANCE".
std::string ownerSessionKey(std::string_view instance);
std::string toJson(const session_record &record);
std::optional<session_record> parseSessionRecord(std::string_view json, error &why);

/// The fencing token for an epoch. A token has 40 bits of epoch and 24 bits that order the claims made
/// without the key-value service and keep them unique (8 bits of round, 16 bits of the claiming instance's
/// hash).
constexpr std::uint64_t fencingTokenOf(std::uint64_t epoch)
{
    return epoch << 24;
}
constexpr std::uint64_t epochOf(std::uint64_t fencingToken)
{
    return fencingToken >> 24;
}
/// The token for a claim on an engine during an outage of the key-value service: above `seen`, of the same
/// epoch, unique to `instance`. Nothing if the rounds of that epoch are used up.
std::optional<std::uint64_t> outageFencingToken(std::uint64_t seen, std::string_view instance);

/// Limit of the whole fleet's calls of one kind (lease renewals, claims) to the key-value service.
constexpr double maxFleetCallsPerSecond = 100;
/// The interval at which each of `members` daemons may make one call so that the fleet stays within
/// maxFleetCallsPerSecond. Also spaces claims and the opening of sessions, which all daemons attempt at once
/// when the service is reachable again.
millis fleetCallInterval(std::size_t members);
/// The interval between lease renewals, and the time to live of the lease, for a fleet of this size.
/// `leaseTtl` is the configured one, which applies to small fleets.
millis renewIntervalFor(millis leaseTtl, std::size_t members);
millis leaseTtlFor(millis leaseTtl, std::size_t members);

/// What a daemon sees of one server when it decides about ownership.
struct ownership_view
{
    std::string self;
    std::string preferredOwner; ///< first by rendezvous hash over live daemons that aren't leaving
    std::string owner; ///< by the record as last read; empty: none
    bool ownedBySelf = false; ///< by this very process
    bool ownerDead = false; ///< by membership: dead, or seen with a newer incarnation
    bool ownerSessionEnded = false; ///< by the service: the owner's session has expired or was replaced
    bool serviceReachable = true; ///< the key-value service
    bool checksFencing = false; ///< the engine refuses orders with an outdated fencing token
    bool selfLeaving = false;
    bool selfHasLease = true; ///< this daemon's session lease is valid; without it it takes over nothing
    std::uint32_t ownedCount = 0; ///< servers that this daemon owns
    std::uint32_t fairShare = 0; ///< servers divided by live daemons, rounded up
    bool predecessorUnloadsDone = true; ///< if ownedBySelf: the earliestRunTime of this ownership has passed
};

/// The step to take.
enum class ownership_step : std::uint8_t
{
    Keep, ///< nothing to do
    TakeOver, ///< compare-and-swap the record to self, with epoch + 1
    ClaimOnEngine, ///< service unreachable, engine checks fencing: claim with outageFencingToken
    Release, ///< graceful handover: stop admitting, write the record with what still runs
    Wait, ///< the server has no live owner, but can't safely be taken over yet
};

std::string_view nameOf(ownership_step value);

/// Decides on the next step for one server, from the view alone.
ownership_step decideOwnership(const ownership_view &view);

/// Classes of orders that an owner sends to an engine.
enum class order_kind : std::uint8_t
{
    Run, ///< run a request
    LoadFree, ///< load into a free slot
    Evict, ///< unload an adapter
    Role, ///< change the engine's role
};

/// Whether an owner may send an order at `now`, given its lease's end. An engine that checks fencing decides
/// by itself, so all orders are allowed. On other engines, runs and loads into free slots, which can't harm a
/// successor, are allowed until leaseExpiryGraceMs after the lease's end, evictions and role changes only
/// until its end.
bool isOrderAllowed(order_kind kind, bool checksFencing, millis leaseUntil, millis now);

/// How long after its lease's end an owner may still send runs to an engine that doesn't check fencing.
constexpr std::int64_t leaseExpiryGraceMs = 1'800'000;

/// Upper bound of the time from sending an order or run to its effect on the engine. The TCP_USER_TIMEOUT of
/// the connections and the engine's order queue must stay within it.
constexpr std::int64_t maxOrderLatencyMs = 5'000;

/// When a new owner that took over at `takeoverAt` may first run requests: on an engine that doesn't check
/// fencing, once the previous owner's last unload can no longer arrive. `predecessorReleased`: it released
/// the server gracefully, that is, it got responses to all its unloads and sends no further orders.
millis earliestRunTime(millis takeoverAt, bool checksFencing, bool predecessorReleased);

/// When a new owner may first evict on an engine that doesn't check fencing, having seen at `takeoverAt` that
/// the previous owner's session has ended: once everything that the previous owner admitted must have ended.
/// `maxDeadline` is the longest request deadline that any configuration in force during the previous
/// ownership allowed. After a graceful release, `releasedDrain`
/// is enough. An owner that takes over its own record again (its session had expired, and nobody else
/// took over) keeps its earlier time.
millis earliestEvictionTime(
    millis takeoverAt, millis maxDeadline, bool predecessorReleased, millis releasedDrain);

/// The drain time to write into a record at its release: until this owner's streams have ended, and until
/// earliestEvictAt, where this owner itself still waits for an earlier owner's streams.
millis drainAtRelease(millis now, millis streamsEnd, millis earliestEvictAt);

}
