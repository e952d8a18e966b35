#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// The record of a backend server in the key-value service: who owns it. Kept as JSON under
/// "briarhead/owner/SERVER". The epoch only rises; it is the high part of the fencing number.
struct owner_record
{
    std::string owner; ///< empty: released
    std::uint64_t incarnation = 0; ///< of the owner's process
    std::uint64_t epoch = 0;
    std::int64_t drainMs = 0; ///< released: the old owner's streams end within this time of the release
    std::vector<std::string> pinned; ///< released: adapters those streams run on, "adapter:version"
};

/// "briarhead/owner/SERVER".
std::string ownerRecordKey(std::string_view server);
std::string toJson(const owner_record &record);
std::optional<owner_record> parseOwnerRecord(std::string_view json, error &why);

/// The session of a daemon under its lease: "briarhead/session/INSTANCE".
struct session_record
{
    std::uint64_t incarnation = 0;
    std::int64_t leaseTtlMs = 0;
};

/// "briarhead/session/INSTANCE".
std::string ownerSessionKey(std::string_view instance);
std::string toJson(const session_record &record);
std::optional<session_record> parseSessionRecord(std::string_view json, error &why);

/// A fencing number: 40 bits of epoch, 24 bits that order claims made without the key-value service and
/// keep them unique (8 bits round, 16 bits of the claimant's hash).
constexpr std::uint64_t fencingTokenOf(std::uint64_t epoch)
{
    return epoch << 24;
}
constexpr std::uint64_t epochOf(std::uint64_t fencingToken)
{
    return fencingToken >> 24;
}
/// The number for a claim on an engine without the service: above `seen`, same epoch, unique to `instance`.
std::optional<std::uint64_t> outageFencingToken(std::uint64_t seen, std::string_view instance);

/// Time between lease renewals and the lease's length for a fleet of this size: the whole fleet's
/// renewals stay under renewalsPerSecond.
constexpr double renewalsPerSecond = 100;
/// The pause that keeps a fleet's calls of one kind, one a daemon, under renewalsPerSecond: used between
/// claims and before sessions are opened, which all daemons want at once when the service comes back.
millis pacedPause(std::size_t members);
millis renewInterval(millis leaseTtl, std::size_t members);
millis leaseLength(millis leaseTtl, std::size_t members);

/// What a daemon sees of one server when it decides about ownership.
struct ownership_view
{
    std::string self;
    std::string proposed; ///< first by rendezvous hash over live daemons that aren't leaving
    std::string holder; ///< owner by the record as last read, empty: none
    bool holderMine = false; ///< this very process
    bool holderDead = false; ///< by membership: dead, or seen under a newer incarnation
    bool holderSessionGone = false; ///< the service says its lease is gone
    bool serviceUp = true;
    bool checksFencing = false;
    bool selfLeaving = false;
    bool selfLeased = true; ///< this daemon's own session lease stands; without it nothing is taken over
    std::uint32_t owned = 0; ///< servers this daemon owns
    std::uint32_t fairShare = 0; ///< servers over live daemons, rounded up
    bool settled = true; ///< holder is mine: its earliestRunTime has passed
};

/// The step to take.
enum class ownership_step : std::uint8_t
{
    Keep, ///< nothing to do
    TakeOver, ///< compare-and-swap the record to self, epoch + 1
    ClaimOnEngine, ///< the service is out: claim with outageFencingToken on an engine that checks it
    Release, ///< hand over in order: stop admitting, write the record with what still runs
    Wait, ///< an orphan, but it can't safely be taken yet
};

std::string_view nameOf(ownership_step value);

ownership_step decideOwnership(const ownership_view &view);

/// Classes of orders an owner gives.
enum class order_kind : std::uint8_t
{
    Run,
    LoadFree, ///< load into a free slot
    Evict, ///< unload
    Role,
};

/// What an owner may do at `now` given its lease's end. On engines that check fencing the engine is the
/// arbiter and all orders may go on; on the others only orders that can't hurt a successor: runs and loads
/// into free slots until the lease has been over for `leaseExpiryGraceMs`, no evictions after its end.
bool isOrderAllowed(order_kind kind, bool checksFencing, millis leaseUntil, millis now);

/// How long after its lease's end an owner may still run requests on an engine that doesn't check fencing.
constexpr std::int64_t leaseExpiryGraceMs = 1'800'000;

/// How long an order or run may take from its send to its effect on the engine at the latest. The order
/// path's TCP_USER_TIMEOUT and the engine's order queue have to stay within it.
constexpr std::int64_t maxOrderLatencyMs = 5'000;

/// A release in order says that the old owner had an answer to each of its unloads and sends no order after
/// it.
///
/// When a new owner that took over at `takenAt` may first run requests: on an engine that doesn't check
/// fencing, after the old owner's last unload can no longer arrive.
millis earliestRunTime(millis takenAt, bool checksFencing, bool oldReleasedInOrder);

/// When a new owner may first evict on an engine that doesn't check fencing, having seen the old session
/// gone at `takenAt`: after everything the old tenure admitted must have ended. `maxDeadline` is the longest
/// that any configuration in force during that tenure allowed. An owner that retakes its own record (its
/// session had lapsed, nobody came between) keeps the time it had.
millis earliestEvictionTime(
    millis takenAt, millis maxDeadline, bool oldReleasedInOrder, millis releasedDrain);

/// The drain to write into a record that is released: it also covers what is left of this owner's own wait
/// for a tenure before it.
millis drainAtRelease(millis now, millis streamsEnd, millis earliestEvictAt);

}
