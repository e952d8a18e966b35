#pragma once

#include "state/clock.h"
#include "state/quota_limit.h"

#include <cstdint>
#include <string_view>

// How all daemons share a client account's limit. One daemon, the account's quota home, has a token bucket
// that fills at the account's rate. Each daemon with demand holds a share of the limit: it has its own bucket
// for the share, and the home's bucket is slower and shallower by as much. Units that the share doesn't cover
// are requested from the home, request by request. The shares held and the units granted by the home together
// never exceed the limit, whichever messages are lost: the home counts a share as held until it is certain
// that the daemon no longer uses it.
namespace briarhead {

/// The parameters of sharing limits.
struct quota_plan
{
    /// Fraction of a limit that all daemons' shares may take together; the home grants the rest on request.
    double maxTotalShares = 0.75;
    /// Fraction of a limit that one daemon's share may take. A new home has to reserve as much for each
    /// daemon that it has not heard from yet.
    double maxDaemonShare = 0.12;
    /// Maximum ratio of a share to the demand that it is for, so that the first daemons to ask don't get
    /// everything.
    double headroom = 3;
    /// Lifetime of a share from the sending of the request that renewed it. Longer than a home's lease in the
    /// store plus its successor's start, so that callers don't notice when a home fails.
    millis shareLifetime{17'000};
    /// A daemon without a response for this long uses its fallback share, which is the same for every daemon.
    /// Shares granted after `fallbackReservedAfter` without contact leave room for it; those granted earlier
    /// have expired by then.
    millis fallbackAfter{30'000};
    millis fallbackReservedAfter{13'000};
    /// A new home grants nothing for this long, the length of a lease, while its predecessor may still grant.
    millis takeoverWait{6'000};
};

constexpr quota_plan defaultQuotaPlan;

/// A response counts only if it arrives within this time of the request: a round trip between failure
/// domains, with a busy home. From a response that counted, a home can conclude that the request was sent at
/// most this long before the response.
constexpr millis quotaResponseTimeout{150};

/// Number of shards that accounts are divided into, each with its own home. More shards distribute the work
/// better, but each daemon contacts each home about once per second.
constexpr std::uint32_t quotaShards = 8;

/// Conversion of units and fractions to the integers used in messages (rounded down) and back. Negative and
/// excessive values, which another process may send, are clamped.
std::int64_t toMilli(double units);
double fromMilli(std::int64_t milli);
std::uint32_t toPpm(double fraction);
double fromPpm(std::uint32_t ppm);

std::uint64_t accountHash(std::string_view name);
std::uint32_t shardOf(std::uint64_t account);

/// The maximum time between acquiring units and sending the request that they are for. Units acquired in one
/// window may be used in the next; this limit keeps their effect under three quarters of the permitted
/// overage.
millis unitsLifetime(const quota_tolerance &rules);

/// How far a home's bucket may go below zero, so that a request larger than the burst can run at all: a
/// quarter of the permitted overage and half of the slack.
double maxDebt(const quota_limit &limit, const quota_tolerance &rules);

}
