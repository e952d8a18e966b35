#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Messages between daemons, and records in the platform's store, about attributes of requests that crash
// backend servers.
namespace briarhead {

/// The rank of a request's content as a whole, above that of every part of its prompt.
constexpr std::uint8_t contentRank = 255;
/// Length of an attribute's key.
constexpr std::size_t attributeDigits = 32;

/// Something that a request has in common with others and that may crash the servers that run it, see
/// coordination/request_attributes.h.
struct request_attribute
{
    std::string key; ///< a hash, attributeDigits hexadecimal digits
    /// contentRank, or the position of a part in its prompt. The higher the rank, the fewer requests share
    /// the attribute.
    std::uint8_t rank = contentRank;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, rank);
    }
};

using request_attributes = std::vector<request_attribute>;

/// The incarnations of servers that crashed while they ran requests with an attribute. Sent by the daemon
/// that observed a crash to the daemons that count the crashes of that attribute, and by these to all
/// daemons. An empty list means that a server has completed such a request, so it is no longer blocked.
struct crash_report
{
    std::string attribute; ///< its key; the rank is contentRank
    std::vector<std::string> servers; ///< incarnations
    std::uint32_t probeCount = 0; ///< probe requests sent since it was blocked

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(attribute, servers, probeCount);
    }
};

/// A crash_report about an attribute of any rank. Daemons of builds without it know attributes of contentRank
/// alone, and are sent a crash_report about those.
struct ranked_crash_report
{
    crash_report report;
    std::uint8_t rank = contentRank;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(report, rank);
    }
};

/// A record in the platform's store, by attribute: the incarnations of servers that crashed while they ran
/// requests with it. Written without its rank if that is contentRank, as builds that know no other rank do.
struct crash_record
{
    std::vector<std::string> servers; ///< incarnations; empty: no longer blocked
    std::uint32_t probeCount = 0; ///< as in crash_report
    std::uint8_t rank = contentRank;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(servers, probeCount);
        if (rank != contentRank) {
            archive(rank);
        }
    }
};

}
