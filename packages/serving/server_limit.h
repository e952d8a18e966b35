#pragma once

#include "coordination/quota_bucket.h"
#include "coordination/server_notices.h"
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
    Named,
    Changed,
    Ended,
};

std::string_view nameOf(limit_change value);

/// Takes in what an answer says. `limit`: as named; none: the answer names none. Only the answer to a request
/// that was sent after the limit was last heard of ends it: an earlier one may have been written before it.
limit_change hearLimit(announced_limits &limits, const std::string &server, std::optional<double> limit,
    millis sentAt, millis now);

/// As messages carry it; negative: none.
std::optional<double> limitFrom(std::int64_t milli);
/// When another daemon heard of a limit, by the age that its message gives; an absurd one is cut to the
/// bounds.
millis heardBefore(std::int64_t ageMs, millis now);

/// Takes in what the daemon tells that keeps the limit; none: it is named no more.
void hearKept(announced_limits &limits, const std::string &server, std::optional<double> limit, millis wait,
    millis now);
/// Takes in what another daemon heard of it, at that time, where nothing newer is known.
void hearTold(
    announced_limits &limits, const std::string &server, double perSecond, millis heard, millis now);
/// A turn was asked for: until more is heard it counts as taken.
void countTurn(announced_limit &limit, millis now);

/// The turns within one server's limit, as the daemon keeps them that grants them for all others.
struct limit_turns
{
    std::optional<double> perSecond; ///< none: the server names none
    millis heard; ///< when it was last named
    millis ended; ///< when it was last found to be named no more
    quota_bucket turns;
    double share = 1; ///< of the limit, that this daemon may grant now
};

/// A limit lower than this is kept as this: without any request nobody would learn that it has risen.
constexpr double leastPerSecond = 0.1;
/// Turns that may be saved up.
constexpr double turnsKept = 2;
constexpr double secondsKept = 0.1;
/// Of the limit, for a daemon without proof that no other grants the server's turns by now. With another
/// one at the whole limit both stay below one and a half of it.
constexpr double unprovenShare = 0.4;

/// How long daemons are told that a limit is named no more. One that heard it named within `limitWordLife`
/// may know better than the daemon that keeps it.
constexpr millis endTold{5'000};
constexpr millis limitWordLife{1'000};

/// Takes in that the limit was named, `at` or a moment before. Nothing is granted ahead under a new one.
void nameLimit(limit_turns &turns, double perSecond, millis at, millis now);
/// An answer names none. `grantedAt`: of the request that it answers.
void endLimit(limit_turns &turns, millis grantedAt, millis now);
/// From now on this daemon may grant so much of the limit.
void setShare(limit_turns &turns, double share, millis now);
/// How many requests may go now.
std::size_t turnsLeft(limit_turns &turns, millis now);
void takeTurn(limit_turns &turns);
/// Of a request that never reached the server.
void returnTurn(limit_turns &turns);
/// Until a request has its turn that waits behind `ahead` others.
millis turnAfter(const limit_turns &turns, std::size_t ahead, millis now);

}
