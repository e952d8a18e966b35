#pragma once

#include <cstdint>
#include <vector>

// What daemons tell each other of client accounts' limits. Accounts go by a hash of their name. Whole
// numbers, which take few bytes: units are in thousandths, fractions of a limit in millionths.
namespace briarhead {

/// What a daemon wants of one account's limit.
struct quota_demand
{
    std::uint64_t account = 0; ///< accountHash()
    std::int64_t demandMilli = 0; ///< units a second that callers ask for there
    std::int64_t costMilli = 0; ///< units of a usual request there
    std::uint32_t heldSharePpm = 0; ///< of the limit, that it holds
    std::int64_t needMilli = 0; ///< units that callers wait for now, beyond what it has
    std::int64_t firstNeedMilli = 0; ///< of these, what the first one lacks; fewer are of no use
    std::int64_t unusedMilli = 0; ///< units given earlier and not used, returned by this message alone

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account, demandMilli, costMilli, heldSharePpm, needMilli, firstNeedMilli, unusedMilli);
    }
};

/// Daemon -> the home of some accounts. Sent anew, with another round, until answered.
struct quota_request
{
    std::uint32_t shard = 0; ///< of accounts, see shardOf()
    std::uint64_t round = 0; ///< grows with each ask for the shard within one incarnation
    std::uint64_t lastAnsweredRound = 0; ///< the latest round whose answer came; 0: none
    std::uint32_t fallbackSharePpm =
        0; ///< of each limit, that it uses once it has been without an answer for long
    std::vector<quota_demand> demands;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(shard, round, lastAnsweredRound, fallbackSharePpm, demands);
    }
};

struct quota_grant
{
    std::uint64_t account = 0;
    std::uint32_t grantedSharePpm = 0; ///< of the limit, that the daemon holds from now on
    std::int64_t unitsMilli = 0; ///< for the callers that wait
    std::int64_t availableInMs =
        0; ///< where the limit is used up: until there may be some; 0: it isn't known

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account, grantedSharePpm, unitsMilli, availableInMs);
    }
};

/// Home -> those that may succeed it: it gives nothing any more of the shard, and won't again in this term.
struct quota_release
{
    std::uint32_t shard = 0;
    std::int64_t term = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(shard, term);
    }
};

/// Home -> daemon, one for each ask.
struct quota_response
{
    std::uint32_t shard = 0;
    std::uint64_t round = 0; ///< of the ask
    std::uint32_t fallbackSharePpm = 0; ///< see quota_request
    std::vector<quota_grant> grants;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(shard, round, fallbackSharePpm, grants);
    }
};

}
