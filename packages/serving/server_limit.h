#pragma once

#include "coordination/quota_bucket.h"
#include "coordination/server_words.h"
#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// The limits that backend servers name in their answers: requests a second, from all daemons together.
namespace briarhead {

enum class limit_change : std::uint8_t
{
    None,
    Announced,
    Changed,
    Withdrawn,
};

std::string_view nameOf(limit_change value);

/// Takes in what an answer says. `limit`: as named; none: the answer names none. Only the answer to a request
/// that was sent after the limit was last heard of ends it: an earlier one may have been written before it.
limit_change applyResponseLimit(
    named_limits &limits, const std::string &server, std::optional<double> limit, millis sentAt, millis now);

/// As messages carry it; negative: none.
std::optional<double> decodeLimit(std::int64_t milli);
/// When another daemon heard of a limit, by the age that its message gives; an absurd one is cut to the
/// bounds.
millis timeFromAge(std::int64_t ageMs, millis now);

/// Takes in what the daemon tells that keeps the limit; none: it is named no more.
void applyOwnerLimit(
    named_limits &limits, const std::string &server, std::optional<double> limit, millis wait, millis now);
/// Takes in what another daemon heard of it, at that time, where nothing newer is known.
void applyPeerLimit(
    named_limits &limits, const std::string &server, double perSecond, millis heard, millis now);
/// A turn was asked for: until more is heard it counts as taken.
void countPermitRequest(named_limit &limit, millis now);

/// The turns within one server's limit, as the daemon keeps them that grants them for all others.
struct limit_permits
{
    std::optional<double> perSecond; ///< none: the server names none
    millis lastSeen; ///< when it was last named
    millis withdrawnAt; ///< when it was last found to be named no more
    quota_bucket bucket;
    double share = 1; ///< of the limit, that this daemon may grant now
};

/// A limit lower than this is kept as this: without any request nobody would learn that it has risen.
constexpr double minPerSecond = 0.1;
/// Turns that may be saved up.
constexpr double maxSavedPermits = 2;
constexpr double maxSavedSeconds = 0.1;
/// Of the limit, for a daemon without proof that no other grants the server's turns by now. With another
/// one at the whole limit both stay below one and a half of it.
constexpr double unconfirmedShare = 0.4;

/// How long daemons are told that a limit is named no more. One that heard it named within `limitWordLife`
/// may know better than the daemon that keeps it.
constexpr millis withdrawalAnnouncedFor{5'000};
constexpr millis recentLimitAge{1'000};

/// Takes in that the limit was named, `at` or a moment before. Nothing is granted ahead under a new one.
void applyLimit(limit_permits &permits, double perSecond, millis seenAt, millis now);
/// An answer names none. `grantedAt`: of the request that it answers.
void withdrawLimit(limit_permits &permits, millis grantedAt, millis now);
/// From now on this daemon may grant so much of the limit.
void setShare(limit_permits &permits, double share, millis now);
/// How many requests may go now.
std::size_t permitsLeft(limit_permits &permits, millis now);
void acquirePermit(limit_permits &permits);
/// Of a request that never reached the server.
void returnPermit(limit_permits &permits);
/// Until a request has its turn that waits behind `ahead` others.
millis permitDelay(const limit_permits &permits, std::size_t ahead, millis now);

}
