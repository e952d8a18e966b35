#pragma once

#include "coordination/quota_bucket.h"
#include "coordination/quota_demand.h"
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

// A daemon's side of the accounts' limits: the shares it holds, the callers waiting for units, and its
// requests to the quota homes. This is pure state without I/O.
namespace briarhead {

/// The result of a request for units of an account's limit.
enum class quota_result : std::uint8_t
{
    Granted,
    Pending, ///< the home has been asked; resolved shortly
    LimitReached, ///< the account's limit is used up for now
    TooLarge, ///< more than the account may ever use at once
    HomeUnavailable, ///< no home responds, and the units available here are not enough
};

/// The name for logs: "granted", "waits", "over", "too_large" or "home_away".
std::string_view nameOf(quota_result value);

/// A request's rank compared with the others of the configuration.
enum class quota_urgency : std::uint8_t
{
    MostUrgent, ///< of the configuration's most urgent rank
    LessUrgent,
};

/// The decision on a request for units.
struct quota_decision
{
    quota_result result = quota_result::Granted;
    millis retryAfter; ///< when units are expected for it, if it was refused
};

/// The decision for a caller whose request was pending.
struct resolved_waiter
{
    std::uint64_t id = 0;
    quota_decision decision;
};

/// An account, as a daemon with callers of that account knows it.
struct quota_client_account
{
    /// A caller that waits for the home's response.
    struct waiter
    {
        std::uint64_t id = 0;
        double cost = 0;
        millis arrivedAt;
        bool urgent = true; ///< of the most urgent rank, or ranks don't matter
    };

    quota_limit limit;
    quota_bucket bucket; ///< filled by this daemon's share
    double share = 0; ///< fraction of the limit that this daemon holds
    millis shareUntil; ///< when the share expires
    demand_average demand;
    demand_average urgentDemand; ///< of the most urgent rank; only with quota_client::byRank
    /// Units granted here by urgency, recent averages; only with quota_client::byRank.
    demand_average urgentGranted;
    demand_average lessUrgentGranted;
    double reportedDemand = 0; ///< as last sent to the home
    double reportedShare = 0; ///< likewise
    bool needRequested = false; ///< the latest request to the home asked for units
    bool urgentNeedRequested = false; ///< it stated a need of the most urgent rank
    double unusedUnits = 0; ///< to be returned to the home
    millis exhaustedUntil; ///< the home announced that there are no units until then
    millis lessUrgentExhaustedUntil; ///< the same, for less urgent requests alone
    /// Units that less urgent requests may use here without regard to the urgent demand.
    quota_bucket lessUrgentMinimum;
    std::deque<waiter> waiting; ///< the most urgent rank first, then by arrival
};

/// What a daemon knows of a shard's home.
struct quota_client_shard
{
    std::string home; ///< node; empty: none is known
    std::int64_t homeTerm = 0; ///< differs each time that a daemon becomes the home
    bool fullyReported = false; ///< this home has been sent everything that is held here
    std::uint64_t round = 0; ///< of the latest request
    std::uint64_t answeredRound = 0; ///< the latest round that got a response
    bool requestPending = false; ///< the latest request has no response yet
    bool homeKnowsRanks = false; ///< the home understands extended_quota_request
    bool rankedRequest = false; ///< the latest request was one
    millis sentAt; ///< of the latest request
    millis nextRequestAt; ///< when the next request is due, if no caller waits
    int missedResponses = 0; ///< requests without a response in a row
    int handshakesLeft =
        0; ///< requests to send in quick succession, until the home knows its responses arrive
    std::optional<millis> lastContact; ///< sending time of the latest request that got a response
    double fallbackShare = 0; ///< fraction of each limit to use after a long time without contact
};

/// What a daemon knows of all shards and of the accounts that its callers use.
struct quota_client
{
    quota_plan plan;
    quota_tolerance rules;
    bool byRank = false; ///< limits go to the most urgent requests first, see limitsByRank()
    std::array<quota_client_shard, quotaShards> shards;
    std::unordered_map<std::uint64_t, quota_client_account> accounts; ///< by accountHash()
};

/// A request and the daemon to send it to.
struct addressed_request
{
    std::string home;
    quota_request request;
    bool ranked = false; ///< to be sent as extended_quota_request, with the fields
    std::vector<optional_fields> demandFields;
};

/// Acquires units for a request. If the home has to be asked, the caller waits under `id` and the result is
/// Pending. With `byRank`, less urgent requests leave a reserve for the most urgent ones.
quota_decision acquireUnits(quota_client &client, std::uint64_t account, const quota_limit &limit,
    std::uint64_t id, double cost, millis now, quota_urgency urgency = quota_urgency::MostUrgent);
/// Removes a waiting caller.
void cancelWaiter(quota_client &client, std::uint64_t account, std::uint64_t id);
/// Returns units that were acquired for a request that did not run. To be called at most once per
/// acquisition.
void returnUnits(quota_client &client, std::uint64_t account, double cost, millis now);

/// Sets a shard's home according to the store; an empty node: there is none.
void setHome(
    quota_client &client, std::uint32_t shard, const std::string &home, std::int64_t term, millis now);
/// The requests to send now. Requests for which no caller waits are sent less often in a larger fleet.
std::vector<addressed_request> dueRequests(quota_client &client, std::size_t daemons, millis now);
/// Applies a home's response and returns the callers that it decides about.
std::vector<resolved_waiter> applyResponse(quota_client &client, const quota_response &response, millis now);
/// Refuses the callers whose home has not responded for too long. To be called several times per second.
std::vector<resolved_waiter> expireWaiters(quota_client &client, millis now);
/// Sets an account's limit from a new configuration; nothing: it no longer has one.
std::vector<resolved_waiter> setLimit(
    quota_client &client, std::uint64_t account, const std::optional<quota_limit> &limit, millis now);

/// The fraction of an account's limit that this daemon may use now.
double localShare(const quota_client &client, std::uint64_t account, millis now);

}
