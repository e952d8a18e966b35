#pragma once

#include "protocol/optional_fields.h"

#include <cstdint>
#include <vector>

// Messages between daemons about the limits of client accounts. Each account has a home, a daemon that shares
// out its limit among the daemons. Accounts are identified by a hash of their name. Integers take fewer bytes
// than floating point, so units are sent in thousandths (Milli) and shares of a limit in millionths (Ppm).
namespace briarhead {

/// A daemon's need for one account's limit.
struct quota_demand
{
    std::uint64_t account = 0; ///< accountHash()
    std::int64_t demandMilli = 0; ///< units per second requested by the daemon's callers
    std::int64_t costMilli = 0; ///< units of a typical request at the daemon
    std::uint32_t heldSharePpm = 0; ///< share of the limit that the daemon holds
    std::int64_t needMilli = 0; ///< units that waiting callers need beyond what the daemon has
    /// Of needMilli, the units that the first waiting caller needs; a smaller grant would be useless.
    std::int64_t firstNeedMilli = 0;
    std::int64_t unusedMilli = 0; ///< units granted earlier and not used; returned by this message alone

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account, demandMilli, costMilli, heldSharePpm, needMilli, firstNeedMilli, unusedMilli);
    }
};

/// Daemon -> home of a shard of accounts. Sent again, with the next round, until there is a response.
struct quota_request
{
    std::uint32_t shard = 0; ///< of accounts, see shardOf()
    /// Increases with each request for the shard within an incarnation of the daemon.
    std::uint64_t round = 0;
    std::uint64_t lastAnsweredRound = 0; ///< the latest round whose response was received; 0: none
    /// Share of each limit that the daemon uses when it has been without a response for too long.
    std::uint32_t fallbackSharePpm = 0;
    std::vector<quota_demand> demands;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(shard, round, lastAnsweredRound, fallbackSharePpm, demands);
    }
};

/// Tags of extended_quota_request::demandFields. Numbers are not reused.
enum class quota_field : std::uint32_t
{
    UrgentDemandMilli = 1, ///< of demandMilli, units per second requested by the most urgent rank; default 0
    UrgentNeedMilli = 2, ///< of needMilli, units that waiting callers of that rank need; default 0
};

/// Daemon -> home: a quota_request with fields that older builds don't know. Sent only to daemons that
/// understand it, see serving/peer_features.h.
struct extended_quota_request
{
    quota_request request;
    std::vector<optional_fields> demandFields; ///< one for each of the request's demands

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(request, demandFields);
    }
};

/// What the home grants to a daemon for one account.
struct quota_grant
{
    std::uint64_t account = 0;
    std::uint32_t grantedSharePpm = 0; ///< share of the limit that the daemon holds from now on
    std::int64_t unitsMilli = 0; ///< units for the waiting callers
    /// If the limit is used up: when units may be available again; 0: unknown.
    std::int64_t availableInMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account, grantedSharePpm, unitsMilli, availableInMs);
    }
};

/// Home -> its possible successors: it has stopped granting anything for the shard, and will not resume in
/// this term.
struct quota_release
{
    std::uint32_t shard = 0;
    std::int64_t term = 0; ///< of the home, see quota_home_record

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(shard, term);
    }
};

/// Home -> daemon: the response to one quota_request.
struct quota_response
{
    std::uint32_t shard = 0;
    std::uint64_t round = 0; ///< of the request
    std::uint32_t fallbackSharePpm = 0; ///< see quota_request
    std::vector<quota_grant> grants;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(shard, round, fallbackSharePpm, grants);
    }
};

}
