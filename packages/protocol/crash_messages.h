#pragma once

#include <cstdint>
#include <string>
#include <vector>

// What daemons tell each other, and keep in the platform's store, of requests that end backend servers.
namespace briarhead {

/// Starts of servers that ended under one request: from whoever saw it to the daemons that count for that
/// request, and from these to all. Without any: a server has run it to an end after all.
struct crash_report
{
    std::string fingerprint; ///< see request_fingerprint.h
    std::vector<std::string> servers;
    std::uint32_t probeCount = 0; ///< tries of it since it goes to no server

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, servers, probeCount);
    }
};

/// Kept in the platform's store, by fingerprint: the starts of servers that ended under a request.
struct crash_record
{
    std::vector<std::string> servers;
    std::uint32_t probeCount = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(servers, probeCount);
    }
};

}
