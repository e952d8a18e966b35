#pragma once

#include "coordination/quota_bucket.h"
#include "coordination/quota_demand.h"
#include "coordination/quota_plan.h"
#include "protocol/quota_messages.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// The quota home's side of a shard of accounts: the accounts' buckets and the shares that daemons hold. This
// state exists only in the home's memory; a successor learns it from the daemons.
namespace briarhead {

/// A daemon, as the home knows it.
struct quota_member
{
    struct received_round
    {
        std::uint64_t round = 0;
        millis receivedAt;
    };

    std::uint64_t incarnation = 0;
    std::deque<received_round> recentRounds; ///< oldest first
    /// The daemon was in contact at this time at the latest: a request sent no earlier got a response. It
    /// doesn't use its fallback share until quota_plan::fallbackAfter later.
    std::optional<millis> lastContact;
    double fallbackShare = 0; ///< fraction of each limit that it uses after a long time without contact
};

/// The share of one account that a daemon holds, or may hold if a response was lost.
struct quota_holding
{
    double share = 0;
    double demand = 0; ///< units per second
    /// Of `demand`, that of the most urgent rank; all of it if the daemon doesn't tell ranks apart.
    double urgentDemand = 0;
    millis until; ///< it has expired by then
};

/// An account, as its home knows it.
struct quota_home_account
{
    quota_bucket bucket;
    double fillShare = 0; ///< fraction of the limit that has flowed into the bucket since it was last filled
    demand_average urgentNeeds; ///< needs of the most urgent rank that were granted or denied
    /// Units that less urgent needs may use without regard to the urgent ones.
    quota_bucket lessUrgentMinimum;
    std::map<std::string, quota_holding> holdings; ///< by daemon
    double learnedShares = 0; ///< sum of the shares that daemons reported in their first request to this home
};

/// The state of one shard at its home.
struct quota_home
{
    millis startedAt; ///< when this daemon became the home
    bool handedOver = false; ///< the predecessor grants nothing any more: it said so, or is known to be dead
    std::map<std::string, quota_member> members; ///< by daemon
    std::unordered_map<std::uint64_t, quota_home_account> accounts; ///< by accountHash()
    std::vector<std::string> fleet; ///< all daemons that may hold shares
    double fallbackInUse = 0; ///< fraction of each limit that disconnected daemons use
    double fallbackReserved = 0; ///< the same, including daemons that may be disconnected by now
    std::size_t unknownDaemons = 0; ///< daemons that this home has not heard from
    millis surveyedAt; ///< when the three values above were last computed
    millis usageDecreasedAt; ///< when daemons last began to use less; an unused bucket has been filling since
                             ///< then
};

/// The sender of a request.
struct quota_requester
{
    std::string node;
    std::uint64_t incarnation = 0;
    bool recorded = false; ///< the daemon's record in the store has this incarnation
};

using limit_lookup = std::function<std::optional<quota_limit>(std::uint64_t account)>;

quota_home startHome(millis now, bool handedOver);
/// From when on the home may grant units. A former home may grant until its lease has ended, and two homes
/// must not grant at once.
millis grantsFrom(const quota_home &home, const quota_plan &plan);
/// Sets the daemons that may hold shares: those in the store and those whose records expired recently.
void setFleet(quota_home &home, std::vector<std::string> fleet);

/// Handles a request and returns the response, or nothing if the request is late, a duplicate, or from a
/// process that has ended.
///
/// The total in use must not exceed the limit while daemons are disconnected, crash, restart or lose
/// messages. Therefore a share leaves the home's bucket before the daemon gets it. It returns only when a
/// later request of that daemon says that it holds less, when it has expired by the daemon's own clock, or
/// when the daemon's process has ended.
std::optional<quota_response> handleRequest(quota_home &home, const quota_plan &plan,
    const quota_tolerance &rules, const limit_lookup &limitOf, const quota_requester &requester,
    const quota_request &request, millis now);
/// The same for a request that tells ranks apart. Needs of the most urgent rank are granted first; the others
/// are granted what these are predicted to leave, and at least `minLessUrgentShare` of the limit.
std::optional<quota_response> handleRequest(quota_home &home, const quota_plan &plan,
    const quota_tolerance &rules, const limit_lookup &limitOf, const quota_requester &requester,
    const extended_quota_request &request, millis now);

/// The fraction of an account's limit that flows into the home's own bucket.
double homeFillShare(
    quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, std::uint64_t account, millis now);

/// Removes the accounts that the configuration no longer limits.
void removeUnlimitedAccounts(quota_home &home, const limit_lookup &limitOf);

}
