#pragma once

#include "protocol/version_messages.h"
#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

// The newest version of each adapter, which never goes back. The operator declares a version by overwriting
// the adapter's item in the store. An unanswered write of an older version may be executed after a newer one
// was acknowledged, and the item then holds the older one for good. Daemons that saw the newer version keep
// it; those that start later learn it from a record of the project's own.
namespace briarhead {

/// How long after a version was declared a late write may still replace it. The platform speaks of seconds.
constexpr millis lateWriteWindow{60'000};
/// Adapters are dealt to this many records, so that a declaration rewrites only a few others.
constexpr std::size_t versionShards = 64;
/// Versions in one record, at about 30 bytes each; those that were declared first go first.
constexpr std::size_t maxRecordedVersions = 4'096;

struct newest_version
{
    std::int64_t version = 0; ///< the highest that was ever seen
    std::int64_t declared = 0; ///< what the operator's item holds; 0: unknown
};

using newest_versions = std::map<std::string, newest_version>; ///< by MODEL/ADAPTER

/// The newest known version of an adapter; 0 if none was declared.
std::int64_t newestVersionOf(const newest_versions &versions, const std::string &adapter);

/// The name of the record that an adapter belongs to.
std::string versionShardOf(const std::string &adapter);

/// Adapters whose newest version has to be in the record, and since when, by MODEL/ADAPTER.
using unsafe_versions = std::map<std::string, millis>;

/// Whether the operator's item holds an older version than the newest.
bool isItemBehind(const newest_version &known);
/// Forgets the adapters whose item holds the newest version and has had it for lateWriteWindow.
void dropSafeVersions(unsafe_versions &unsafe, const newest_versions &versions, millis now);
/// What the records of the shards with unsafe versions have to hold, by shard.
std::map<std::string, adapter_versions_record> requiredRecords(
    const unsafe_versions &unsafe, const newest_versions &versions);
/// Whether a record holds each version that is required, or a newer one.
bool holdsVersions(const adapter_versions_record &record, const adapter_versions_record &required);

}
