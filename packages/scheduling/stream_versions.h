#pragma once

#include "protocol/origin_messages.h"
#include "scheduling/backend_server.h"
#include "state/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

// At which software version of its service a stream may go on.
namespace briarhead {

/// How long the origin of a stream, and a version that no server has any more, are remembered: callers take a
/// stream up within their deadlines.
constexpr millis originLifetime{120'000};
/// Origins that a daemon remembers, at about 150 bytes each; the least recently used go first.
constexpr std::size_t maxOrigins = 32'768;

/// Origins of streams, by the id of the attempt that brought the first event.
struct stream_origins
{
    struct entry
    {
        stream_origin origin;
        millis usedAt;
        bool ambiguous = false; ///< two origins were recorded under the id
    };
    std::unordered_map<std::string, entry> byId;
    std::deque<std::pair<millis, std::string>> byUse; ///< oldest first; may have outdated entries
};

void recordOrigin(stream_origins &origins, const std::string &id, const stream_origin &origin, millis now);
/// The origin of a stream; null if it is unknown or ambiguous. Extends its lifetime.
const stream_origin *findOrigin(stream_origins &origins, const std::string &id, millis now);

/// When each software version of each service was last seen.
using version_sightings = std::map<std::string, std::map<std::string, millis>>;

/// Records the versions of the listed servers and forgets those that have not been seen for originLifetime.
void recordVersions(
    version_sightings &sightings, const std::map<std::string, backend_server> &servers, millis now);
/// Records versions that another daemon has seen.
void recordVersions(version_sightings &sightings, const std::string &service,
    const std::vector<std::string> &versions, millis now);
/// The versions of a service, sorted.
std::vector<std::string> versionsOf(const version_sightings &sightings, const std::string &service);

/// What the store's record of a service's versions, sorted, should hold. Only the first daemon in turn to
/// write it may remove versions: daemons forget them at different times, and would undo each other's writes.
std::vector<std::string> versionsToRecord(const version_sightings &sightings, const std::string &service,
    const std::vector<std::string> &recorded, bool mayRemove);

/// A view of the store that was not confirmed for this long may lack a version.
constexpr millis maxViewAge{3'000};

/// Servers of a service that stay, that is, don't drain, by software version. A version with draining servers
/// alone counts 0.
using staying_servers = std::map<std::string, std::size_t>;

/// What a daemon has learned of the record of a service's versions, and when.
struct version_record_state
{
    bool known = false; ///< a record has been read
    millis baseSince; ///< when the record's present base was learned
    std::string base;
    /// Since when streams may begin at a version, by this daemon's view. 0: since before its first view.
    std::map<std::string, millis> openSince;
};

/// Applies a record that has been read or written.
void learnRecord(version_record_state &state, const service_versions_record &record, millis now);
/// When a release has settled.
struct settle_times
{
    /// How long a stream that began at the only version can last. 0: streams of the service are never taken
    /// up.
    millis ofStreams;
    /// By when daemons have told where their streams began, and the end of one that has not is known.
    millis ofDaemons;
    millis daemonLostAt; ///< when the end of a daemon was last seen
};

/// The base that the store's record should name. `versions`: those that it should list.
std::string baseToRecord(const version_record_state &state, const service_versions_record &recorded,
    const std::vector<std::string> &versions, const staying_servers &staying, const settle_times &times,
    millis now);

/// Versions at which no stream that callers may take up should begin yet. A daemon whose view lacks them, or
/// that goes by the base, could take it for a stream of another version.
std::vector<std::string> versionsHeldBack(const version_record_state &state,
    const service_versions_record &recorded, const staying_servers &staying, millis now);

/// The version at which a stream without a record began, if the record leaves only one: no stream begins at a
/// version before it is recorded.
std::optional<std::string> versionWithoutRecords(const service_versions_record &recorded);

/// What is known about where a stream began when its caller takes it up.
struct origin_evidence
{
    std::optional<stream_origin> record; ///< of any daemon
    version_sight ownSight = version_sight::Unsure;
    std::string ownVersion; ///< if ownSight is Sole
    bool anyAnswer = false; ///< a home has answered that it has no record, or there is none to ask
    bool contradicted = false; ///< a home has seen another version
};

/// The version that the stream may go on at; nothing if it isn't known. Without a record, a version is known
/// only if no other can have begun the stream.
std::optional<std::string> versionToGoOnAt(const origin_evidence &evidence);
/// Adds a home's answer to the evidence.
void applyAnswer(origin_evidence &evidence, const stream_origin_answer &answer);

}
