#include "scheduling/newest_versions.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhead {

namespace {

bool isBefore(const adapter_version_entry &a, const adapter_version_entry &b)
{
    return a.adapter < b.adapter;
}

}

std::int64_t newestVersionOf(const newest_versions &versions, const std::string &adapter)
{
    const auto found = versions.find(adapter);
    return found == versions.end() ? 0 : found->second.version;
}

std::string versionShardOf(const std::string &adapter)
{
    return std::to_string(XXH3_64bits(adapter.data(), adapter.size()) % versionShards);
}

bool isItemBehind(const newest_version &known)
{
    return known.declared != 0 && known.declared < known.version;
}

void dropSafeVersions(unsafe_versions &unsafe, const newest_versions &versions, millis now)
{
    std::erase_if(unsafe, [&](const auto &each) {
        const auto known = versions.find(each.first);
        return known == versions.end()
            || (now - each.second > lateWriteWindow && !isItemBehind(known->second));
    });
}

std::map<std::string, adapter_versions_record> requiredRecords(
    const unsafe_versions &unsafe, const newest_versions &versions)
{
    std::map<std::string, std::vector<std::pair<millis, adapter_version_entry>>> shards;
    for (const auto &[adapter, since] : unsafe) {
        const std::int64_t newest = newestVersionOf(versions, adapter);
        shards[versionShardOf(adapter)].push_back({since, {adapter, newest}});
    }
    std::map<std::string, adapter_versions_record> records;
    for (auto &[shard, entries] : shards) {
        if (entries.size() > maxRecordedVersions) {
            std::stable_sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) {
                return a.first > b.first;
            });
            entries.resize(maxRecordedVersions);
        }
        auto &versionsOfShard = records[shard].versions;
        for (auto &[since, entry] : entries) {
            versionsOfShard.push_back(std::move(entry));
        }
        std::sort(versionsOfShard.begin(), versionsOfShard.end(), isBefore);
    }
    return records;
}

bool holdsVersions(const adapter_versions_record &record, const adapter_versions_record &required)
{
    std::map<std::string_view, std::int64_t> held;
    for (const adapter_version_entry &entry : record.versions) {
        held[entry.adapter] = std::max(held[entry.adapter], entry.version);
    }
    return std::all_of(required.versions.begin(), required.versions.end(), [&held](const auto &wanted) {
        const auto found = held.find(wanted.adapter);
        return found != held.end() && found->second >= wanted.version;
    });
}

}
