#pragma once

#include "protocol/optional_fields.h"

#include <cstdint>
#include <string>
#include <vector>

// Datagrams about load, sent only where a deployment's configuration calls for the decisions that use them;
// see scheduling/service_features.h. Daemons of builds that don't know them drop them.
namespace briarhead {

/// How long a slot request of one rank waits now at a server.
struct rank_level
{
    std::int32_t rank = 0;
    std::int64_t waitMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(rank, waitMs);
    }
};

/// The load of a model server as known to its owner, beyond what server_heartbeat has.
struct server_load
{
    std::string server;
    std::uint64_t fence = 0; ///< fencing token of the owner
    std::vector<rank_level> levels; ///< of the ranks that have been requested recently
    optional_fields fields; ///< see load_field

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, fence, levels, fields);
    }
};

/// Tags of server_load::fields. Numbers are not reused.
enum class load_field : std::uint32_t
{
    TokensPerSecond = 1, ///< prefill speed
    StepMicros = 2, ///< duration of a decode step without prefill
    StoreLoadMs = 3, ///< duration of an adapter load from the weight store
    CachedLoadMs = 4, ///< duration of an adapter load from the server's memory
    ChunkTokens = 5, ///< prompt tokens that the server reads in one step at most
    LongestGapMs = 6, ///< longest inter-event gap reported recently
    SpeedAgeMs = 7, ///< since the speeds above were last measured
    LimitedStreams = 8, ///< 1 + number of running streams whose limit on the gap can still be kept
};

/// Requests that the sender has in flight at a plain server.
struct plain_load
{
    std::string server;
    std::uint32_t inFlight = 0;
    std::uint32_t latencyMs = 0; ///< recent response time at the sender; 0: unknown

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, inFlight, latencyMs);
    }
};

/// What a daemon reports about load along with its heartbeat, see extended_heartbeat.
struct load_heartbeat
{
    std::vector<server_load> servers; ///< those that the sender owns
    std::vector<plain_load> plainServers; ///< those that it has requests at

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(servers, plainServers);
    }
};

/// Level 1: features_notice, extended_heartbeat and the extended requests.
constexpr std::uint32_t protocolLevel = 1;

/// Daemon -> daemon: which optional datagram types the sender understands. Sent now and then to daemons that
/// have not sent any such datagram themselves.
struct features_notice
{
    std::uint32_t level = protocolLevel;
    bool wantsReply = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(level, wantsReply);
    }
};

}
