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

enum class quota_verdict : std::uint8_t
{
    Granted,
    Waits, ///< the home is asked; settled soon
    Over, ///< the account's limit is used up for now
    TooLarge, ///< more than the account may ever use at once
    HomeAway, ///< no home answers, and what is held here doesn't reach
};

/// "granted", ...
std::string_view nameOf(quota_verdict value);

struct quota_decision
{
    quota_verdict verdict = quota_verdict::Granted;
    millis comeBack; ///< when there may be room, of those that aren't granted
};

/// What becomes of a caller that waited.
struct quota_settled
{
    std::uint64_t id = 0;
    quota_decision decision;
};

struct desk_account
{
    struct waiter
    {
        std::uint64_t id = 0;
        double cost = 0;
        millis since;
    };

    quota_limit limit;
    quota_bucket bucket; ///< of its part here
    double part = 0; ///< fraction of the limit
    millis partUntil;
    double demand = 0; ///< units a second, of late
    millis demandAt;
    double demandTold = 0; ///< to the home
    double heldTold = 0; ///< the part, likewise
    double cost = 0; ///< units of a usual request
    bool needAsked = false; ///< by the latest ask
    double unused = 0; ///< units to return to the home
    millis noRoomUntil; ///< the home said so
    std::deque<waiter> waiting;
};

/// What is known of a shard's home.
struct desk_shard
{
    std::string home; ///< node; empty: none known
    std::int64_t homeTerm = 0; ///< differs for each daemon that becomes home, each time
    bool heardAll = false; ///< this home has been told of all that is held here
    std::uint64_t round = 0; ///< of the latest ask
    std::uint64_t answered = 0;
    bool open = false; ///< the latest ask has no answer yet
    millis sentAt; ///< the latest ask
    millis askAt; ///< the next one, if nobody waits
    int missed = 0; ///< asks without an answer, one after the other
    int greetings = 0; ///< asks still to follow quickly, until the home knows that its answers arrive
    std::optional<millis> contact; ///< sending of the latest ask that was answered
    double alone = 0; ///< fraction of each limit to use once there has been no contact for long
};

struct quota_desk
{
    quota_plan plan;
    quota_tolerance rules;
    std::array<desk_shard, quotaShards> shards;
    std::unordered_map<std::uint64_t, desk_account> accounts;
};

/// An ask and whom it goes to.
struct addressed_ask
{
    std::string home;
    quota_request ask;
};

/// Takes units for a request, or queues its caller under `id` until the home has answered.
quota_decision takeUnits(quota_desk &desk, std::uint64_t account, const quota_limit &limit, std::uint64_t id,
    double cost, millis now);
/// A caller that waited has gone.
void dropWaiter(quota_desk &desk, std::uint64_t account, std::uint64_t id);
/// Units that were taken for a request which did not run. To be called once for each.
void returnUnits(quota_desk &desk, std::uint64_t account, double cost, millis now);

/// Who is a shard's home as the store has it; an empty node: nobody.
void setHome(quota_desk &desk, std::uint32_t shard, const std::string &home, std::int64_t term, millis now);
/// The asks that are due; how often those come for which nobody waits, depends on the fleet's size.
std::vector<addressed_ask> asksDue(quota_desk &desk, std::size_t daemons, millis now);
std::vector<quota_settled> takeAnswer(quota_desk &desk, const quota_response &answer, millis now);
/// Callers whose home has been silent for too long. To be called some times a second.
std::vector<quota_settled> overdue(quota_desk &desk, millis now);
/// Sets an account's limit, from a new configuration; none: it has no limit any more.
std::vector<quota_settled> setLimit(
    quota_desk &desk, std::uint64_t account, const std::optional<quota_limit> &limit, millis now);

/// The fraction of an account's limit that this daemon may use now.
double shareHere(const quota_desk &desk, std::uint64_t account, millis now);

}
