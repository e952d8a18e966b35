#pragma once

#include "protocol/optional_fields.h"

#include <cstdint>
#include <string>
#include <vector>

// Contents of datagrams about load, sent only where a deployment's configuration calls for the decisions that
// use them; see scheduling/service_features.h. Daemons of builds that don't know them drop them.
namespace briarhead {

/// The load of a model server as known to its owner, beyond what server_heartbeat has.
struct server_load
{
    std::string server;
    std::uint64_t fence = 0; ///< fencing token of the owner
    optional_fields fields; ///< see load_field

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, fence, fields);
    }
};

/// Tags of server_load::fields. Numbers are not reused.
enum class load_field : std::uint32_t
{
    TokensPerSecond = 1, ///< prefill speed
    SpeedAgeMs = 2, ///< since the speed was last measured
    LimitedStreams = 3, ///< 1 + number of running streams whose limit on the gap can still be kept
};

/// Requests that the sender has in flight at a plain server.
struct plain_load
{
    std::string server;
    std::uint32_t inFlight = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, inFlight);
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
