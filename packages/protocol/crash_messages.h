#pragma once

#include <cstdint>
#include <string>
#include <vector>

// Messages between daemons, and records in the platform's store, about requests that crash backend servers.
namespace briarhead {

/// The incarnations of servers that crashed while they ran a request. Sent by the daemon that observed a
/// crash to the daemons that count the crashes of that request, and by these to all daemons. An empty list
/// means that a server has completed the request, so it is no longer blocked.
struct crash_report
{
    std::string fingerprint; ///< see request_fingerprint.h
    std::vector<std::string> servers; ///< incarnations
    std::uint32_t probeCount = 0; ///< probe requests sent since it was blocked

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, servers, probeCount);
    }
};

/// A record in the platform's store, by fingerprint: the incarnations of servers that crashed while they ran
/// the request.
struct crash_record
{
    std::vector<std::string> servers; ///< incarnations; empty: no longer blocked
    std::uint32_t probeCount = 0; ///< as in crash_report

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(servers, probeCount);
    }
};

}
