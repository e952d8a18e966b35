#pragma once

#include "coordination/quota_bucket.h"
#include "coordination/quota_plan.h"
#include "protocol/quota_messages.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// The home's side of a shard of accounts: its buckets, and what each daemon holds. Nothing of it is kept
// anywhere else; a successor learns it from the daemons.
namespace briarhead {

/// A daemon as the home knows it.
struct quota_member
{
    struct heard_round
    {
        std::uint64_t round = 0;
        millis heard;
    };

    std::uint64_t incarnation = 0;
    std::deque<heard_round> rounds; ///< the latest few, oldest first
    /// It uses no equal part for a part's life from here: an ask sent no earlier was answered.
    std::optional<millis> contact;
    double alone = 0; ///< fraction of each limit that it uses when it has been cut off for long
};

/// What a daemon holds of one account, or may hold if an answer was lost.
struct quota_holding
{
    double part = 0;
    double demand = 0;
    millis until; ///< it has run out by then
};

struct home_account
{
    quota_bucket bucket;
    double share = 0; ///< of the limit, what flows into the bucket since it was last filled
    std::map<std::string, quota_holding> holdings; ///< by daemon
    double learned = 0; ///< parts that daemons said they held when they were first heard here
};

struct quota_home
{
    millis since; ///< when it became the home
    bool handedOver = false; ///< its predecessor said that it gives nothing any more, or is known to be dead
    std::map<std::string, quota_member> members; ///< by daemon
    std::unordered_map<std::uint64_t, home_account> accounts;
    std::vector<std::string> fleet; ///< all daemons that may hold something
    double silent = 0; ///< of each limit, what daemons use that are cut off
    double fading = 0; ///< and what those will use besides that may have been cut off
    std::size_t unheard = 0; ///< daemons not heard since
    millis surveyed; ///< when the last two were worked out
    millis loosened; ///< when daemons last used less than before: since then a bucket not used has filled
};

/// Who asks.
struct quota_asker
{
    std::string node;
    std::uint64_t incarnation = 0;
    bool recorded = false; ///< the daemon's record in the store names this incarnation
};

using limit_lookup = std::function<std::optional<quota_limit>(std::uint64_t account)>;

quota_home beginHome(millis now, bool handedOver);
/// A former home may give until its lease has ended, and two must not give at once.
millis givesFrom(const quota_home &home, const quota_plan &plan);
/// The daemons there are, as the store has them, with those whose record lapsed lately.
void setFleet(quota_home &home, std::vector<std::string> fleet);

/// Answers an ask; nothing for one that is late, doubled, or of a process that has ended.
///
/// Guards against: more than the limit in use at once. It shows as an account that runs more than its limit
/// allows while daemons are cut off, die, start again or lose messages. Holds because a part leaves the
/// home's bucket before the daemon has it, and comes back only when a later ask of that daemon says that it
/// holds less, when it has run out by the daemon's own clock, or when the daemon's process has ended.
std::optional<quota_response> answerAsk(quota_home &home, const quota_plan &plan,
    const quota_tolerance &rules, const limit_lookup &limitOf, const quota_asker &asker,
    const quota_request &ask, millis now);

/// The fraction of an account's limit that flows into the home's own bucket.
double shareOfHome(
    quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, std::uint64_t account, millis now);

/// Drops accounts that no configuration limits any more.
void forgetAccounts(quota_home &home, const limit_lookup &limitOf);

}
