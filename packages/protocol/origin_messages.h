#pragma once

#include <cstdint>
#include <string>
#include <vector>

// Messages between daemons, and records in the platform's store, about the software versions of servers that
// streams began on. Two versions' events don't fit together, so a stream goes on only at the one it began on.
namespace briarhead {

/// Where a stream began.
struct stream_origin
{
    std::string service;
    std::string softwareVersion; ///< of the server that brought its first event

    bool operator==(const stream_origin &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, softwareVersion);
    }
};

struct stream_origin_record
{
    std::string id; ///< of the caller's attempt that brought the stream's first event
    stream_origin origin;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, origin);
    }
};

/// Beginning daemon -> the homes of its streams, found by rendezvous hash of their ids.
struct stream_origins_report
{
    std::vector<stream_origin_record> records;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(records);
    }
};

/// Daemon whose caller takes a stream up -> the stream's homes. Repeated until there is an answer.
struct stream_origin_query
{
    std::string id;
    std::string service; ///< that the stream would go on at without a record

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, service);
    }
};

/// How many software versions of a service a daemon has seen lately.
enum class version_sight : std::uint8_t
{
    Unsure, ///< its view of the store may be outdated
    Sole,
    Several,
};

constexpr version_sight lastOf(version_sight)
{
    return version_sight::Several;
}

struct stream_origin_answer
{
    std::string id;
    bool recorded = false;
    stream_origin origin; ///< if recorded
    version_sight sight = version_sight::Unsure; ///< of the query's service
    std::string soleVersion; ///< if the sight is Sole

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, recorded, origin, sight, soleVersion);
    }
};

/// A record in the platform's store, by service: the software versions that have served it lately. Under no
/// lease. Daemons that have just started learn from it of versions whose servers are gone.
struct service_versions_record
{
    std::vector<std::string> versions; ///< sorted
    /// The version that was the only one until another was recorded, while streams may go on that began then:
    /// no daemon has told another one where. Meanwhile streams begin at this version alone, so that one
    /// without a record began there. Empty: none.
    std::string base;

    bool operator==(const service_versions_record &) const = default;

    /// Without a base, the record has the layout of builds that know none.
    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(versions);
        if (!base.empty()) {
            archive(base);
        }
    }
};

/// Streams with the same origin.
struct stream_origins_group
{
    stream_origin origin;
    std::vector<std::string> ids;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(origin, ids);
    }
};

/// A record in the platform's store, one of several of each daemon that writes such: where streams began.
/// Under a lease that outlives the daemon.
struct stored_origins_record
{
    std::vector<stream_origins_group> groups;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(groups);
    }
};

}
