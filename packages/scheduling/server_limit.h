#pragma once

#include "coordination/quota_bucket.h"
#include "coordination/server_notices.h"
#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// Rate limits that backend servers announce in their responses, in requests/s from all daemons together.
namespace briarhead {

/// What a response changed about a server's known limit.
enum class limit_change : std::uint8_t
{
    None,
    Announced,
    Changed,
    Withdrawn,
};

std::string_view nameOf(limit_change value);

/// Applies the limit that a response announces, or its absence. Only a response to a request that was sent
/// after the limit was last seen withdraws it; an earlier one may have been written before the limit.
/// `maxRejections`: if the server announces that it is brittle.
limit_change applyResponseLimit(announced_limits &limits, const std::string &server,
    std::optional<double> limit, std::optional<std::int64_t> maxRejections, millis sentAt, millis now);
/// The rate that is applied for a server's announcements; nothing if it needs no permits.
std::optional<double> rateOf(std::optional<double> limit, std::optional<std::int64_t> maxRejections);

/// A limit as it is encoded in messages, in thousandths; negative values mean none.
std::optional<double> decodeLimit(std::int64_t milli);
/// The time at which another daemon saw a limit, from the age in its message. Implausible ages are clamped.
millis timeFromAge(std::int64_t ageMs, millis now);

/// Applies the limit, or its withdrawal, as reported by the daemon that grants the server's permits. `wait`:
/// until the next permit is available.
void applyOwnerLimit(announced_limits &limits, const std::string &server, std::optional<double> limit,
    millis wait, millis now);
/// Applies a limit that another daemon saw at `seenAt`, unless a newer one is known.
void applyPeerLimit(
    announced_limits &limits, const std::string &server, double perSecond, millis seenAt, millis now);
/// Records that a permit has been requested. It counts as used until the owner reports otherwise.
void countPermitRequest(announced_limit &limit, millis now);

/// The permits of one server's limit, kept by the server's owner, which grants them to all daemons.
struct limit_permits
{
    std::optional<double> perSecond; ///< empty if the server announces no limit
    millis lastSeen; ///< when the limit was last announced
    millis withdrawnAt; ///< when a response last showed that the limit is gone
    quota_bucket bucket; ///< permits available
    double share = 1; ///< fraction of the limit that this daemon may grant
    std::optional<std::int64_t> maxRejections; ///< per second; empty if the server isn't brittle
    std::deque<millis> rejections; ///< by a brittle server within rejectionWindow; oldest first
    millis grantsFrom; ///< a brittle server's new owner waits for reports of running requests
};

/// A brittle server counts the requests that it rejects within this time. Longer than the second that it
/// announces, since a rejection is reported a little later than it happened.
constexpr millis rejectionWindow{1'200};

/// Lower limits are treated as this one. Without any requests nobody would learn that a limit has risen.
constexpr double minPerSecond = 0.1;
/// Permits that may accumulate: `maxSavedPermits` plus those of `maxSavedSeconds`.
constexpr double maxSavedPermits = 2;
constexpr double maxSavedSeconds = 0.1;
/// The share that an owner grants while it can't confirm that it still owns the server. Together with a
/// successor that grants the whole limit this stays below 1.5 times the limit.
constexpr double unconfirmedShare = 0.4;

/// How long heartbeats announce that a limit has been withdrawn.
constexpr millis withdrawalAnnouncedFor{5'000};
/// A daemon that has seen a limit in a response within this time ignores the owner's report of withdrawal,
/// since its own knowledge may be newer.
constexpr millis recentLimitAge{1'000};

/// Applies a limit that was announced at `seenAt` or shortly before. A new limit starts without permits.
void applyLimit(limit_permits &permits, double perSecond, millis seenAt, millis now);
/// Withdraws the limit after a response without one, if the request was granted after the limit was last
/// seen. `grantedAt`: when the owner granted that request.
void withdrawLimit(limit_permits &permits, millis grantedAt, millis now);
/// Sets the fraction of the limit that this daemon may grant from now on.
void setShare(limit_permits &permits, double share, millis now);
/// The number of requests that may be sent now.
std::size_t permitsLeft(limit_permits &permits, millis now);
/// Records that a brittle server rejected a request for want of room.
void recordRejection(limit_permits &permits, millis now);
/// How many more requests a server with so many slots may be sent while `running` are in progress there. A
/// brittle server gets as many as it has slots. After a rejection it evidently has less room, and all that
/// are in progress may be rejected too: together they have to stay below what it bears.
std::size_t roomLeft(limit_permits &permits, std::size_t running, int slots, millis now);
/// Consumes a permit. Call only if permitsLeft() isn't 0.
void acquirePermit(limit_permits &permits);
/// Returns the permit of a request that never reached the server.
void returnPermit(limit_permits &permits);
/// The time until a permit is available to a request with `ahead` others in front of it.
millis permitDelay(const limit_permits &permits, std::size_t ahead, millis now);

}
