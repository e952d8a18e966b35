#pragma once

#include "state/clock.h"
#include "state/quota_limit.h"

#include <cstdint>
#include <string_view>

// How a client account's limit is shared by all daemons. One daemon, the account's home, has a bucket of
// tokens that fills at the account's rate. Each daemon with demand holds a part of the limit, which leaves
// the home's bucket as much slower and shallower, and has a bucket of its own for it. What the part doesn't
// cover is asked of the home, request by request. All that is held and all that the home gives never exceed
// the limit, whatever messages are lost: a part counts at the home until the daemon is known to hold it no
// more.
namespace briarhead {

struct quota_plan
{
    double held = 0.75; ///< of a limit, at most, as daemons' parts; the home gives the rest
    /// Of a limit, by one daemon. A new home has to leave as much aside for each daemon that it hasn't heard
    /// yet.
    double heldByOne = 0.12;
    double headroom = 3; ///< of a part over the demand it is for, at most: the first who ask don't get all
    /// A part holds for so long from the sending of the ask that renewed it: longer than a home's lease in
    /// the store and a successor's start, so that a home's end is not felt.
    millis partLife{17'000};
    /// A daemon without an answer for so long goes over to an equal part. Parts given later than
    /// `fadingAfter` leave room for it, and those given earlier have run out by then.
    millis aloneAfter{30'000};
    millis fadingAfter{13'000};
    /// A home begins with nothing to give while its predecessor may still be giving: its lease's length.
    millis takeoverWait{6'000};
};

constexpr quota_plan usualQuotaPlan;

/// An ask's answer counts if it comes within this time: the way there and back, across failure domains and
/// with a busy home. So a home knows that an ask whose answer counted was sent no earlier than this before
/// it.
constexpr millis answerLife{150};

/// Accounts are dealt to so many homes. More of them spread the work; each daemon speaks to each home about
/// once a second.
constexpr std::uint32_t quotaShards = 8;

/// Units and fractions as messages carry them, rounded down, and back; negative and absurd numbers of another
/// process are cut to the bounds.
std::int64_t toMilli(double units);
double fromMilli(std::int64_t milli);
std::uint32_t toPpm(double fraction);
double fromPpm(std::uint32_t ppm);

std::uint64_t accountHash(std::string_view name);
std::uint32_t shardOf(std::uint64_t account);

/// How long units may lie between being taken and the send they are for. What is taken in a window may be
/// used in the next; this keeps it under three quarters of the overage.
millis unitsLife(const quota_tolerance &rules);

/// How far a home's bucket may go below zero, so that a request larger than the burst can run at all: a
/// quarter of the overage and half of the slack.
double mostDebt(const quota_limit &limit, const quota_tolerance &rules);

}
