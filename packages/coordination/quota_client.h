#pragma once

#include "coordination/quota_bucket.h"
#include "coordination/quota_plan.h"
#include "protocol/quota_messages.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// A daemon's side of the accounts' limits: the parts it holds, the callers that wait for units, and the asks
// to the homes.
namespace briarhead {

enum class quota_result : std::uint8_t
{
    Granted,
    Pending, ///< the home is asked; settled soon
    LimitReached, ///< the account's limit is used up for now
    TooLarge, ///< more than the account may ever use at once
    HomeUnavailable, ///< no home answers, and what is held here doesn't reach
};

/// "granted", ...
std::string_view nameOf(quota_result value);

struct quota_decision
{
    quota_result result = quota_result::Granted;
    millis retryAfter; ///< when there may be room, of those that aren't granted
};

/// What becomes of a caller that waited.
struct resolved_waiter
{
    std::uint64_t id = 0;
    quota_decision decision;
};

struct quota_client_account
{
    struct waiter
    {
        std::uint64_t id = 0;
        double cost = 0;
        millis arrivedAt;
    };

    quota_limit limit;
    quota_bucket bucket; ///< of its part here
    double share = 0; ///< fraction of the limit
    millis shareUntil;
    double demand = 0; ///< units a second, of late
    millis demandUpdatedAt;
    double reportedDemand = 0; ///< to the home
    double reportedShare = 0; ///< the part, likewise
    double meanCost = 0; ///< units of a usual request
    bool needRequested = false; ///< by the latest ask
    double unusedUnits = 0; ///< units to return to the home
    millis exhaustedUntil; ///< the home said so
    std::deque<waiter> waiting;
};

/// What is known of a shard's home.
struct quota_client_shard
{
    std::string home; ///< node; empty: none known
    std::int64_t homeTerm = 0; ///< differs for each daemon that becomes home, each time
    bool fullyReported = false; ///< this home has been told of all that is held here
    std::uint64_t round = 0; ///< of the latest ask
    std::uint64_t answeredRound = 0;
    bool requestPending = false; ///< the latest ask has no answer yet
    millis sentAt; ///< the latest ask
    millis nextRequestAt; ///< the next one, if nobody waits
    int missedResponses = 0; ///< asks without an answer, one after the other
    int handshakesLeft = 0; ///< asks still to follow quickly, until the home knows that its answers arrive
    std::optional<millis> lastContact; ///< sending of the latest ask that was answered
    double fallbackShare = 0; ///< fraction of each limit to use once there has been no contact for long
};

struct quota_client
{
    quota_plan plan;
    quota_rules rules;
    std::array<quota_client_shard, quotaShards> shards;
    std::unordered_map<std::uint64_t, quota_client_account> accounts;
};

/// An ask and whom it goes to.
struct addressed_request
{
    std::string home;
    quota_ask ask;
};

/// Takes units for a request, or queues its caller under `id` until the home has answered.
quota_decision acquireUnits(quota_client &client, std::uint64_t account, const quota_limit &limit,
    std::uint64_t id, double cost, millis now);
/// A caller that waited has gone.
void cancelWaiter(quota_client &client, std::uint64_t account, std::uint64_t id);
/// Units that were taken for a request which did not run. To be called once for each.
void returnUnits(quota_client &client, std::uint64_t account, double cost, millis now);

/// Who is a shard's home as the store has it; an empty node: nobody.
void setHome(
    quota_client &client, std::uint32_t shard, const std::string &home, std::int64_t term, millis now);
/// The asks that are due; how often those come for which nobody waits, depends on the fleet's size.
std::vector<addressed_request> dueRequests(quota_client &client, std::size_t daemons, millis now);
std::vector<resolved_waiter> applyResponse(quota_client &client, const quota_answer &answer, millis now);
/// Callers whose home has been silent for too long. To be called some times a second.
std::vector<resolved_waiter> expireWaiters(quota_client &client, millis now);
/// Sets an account's limit, from a new configuration; none: it has no limit any more.
std::vector<resolved_waiter> setLimit(
    quota_client &client, std::uint64_t account, const std::optional<quota_limit> &limit, millis now);

/// The fraction of an account's limit that this daemon may use now.
double localShare(const quota_client &client, std::uint64_t account, millis now);

}
