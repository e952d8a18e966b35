#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarhead {

/// The newest version of an adapter.
struct adapter_version_entry
{
    std::string adapter; ///< as MODEL/ADAPTER
    std::int64_t version = 0;

    bool operator==(const adapter_version_entry &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter, version);
    }
};

/// A record in the platform's store, by shard of adapters: newest versions that the operator's own items may
/// lose to a late write. Under no lease, since it has to outlive all daemons.
struct adapter_versions_record
{
    std::vector<adapter_version_entry> versions; ///< sorted by adapter

    bool operator==(const adapter_versions_record &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(versions);
    }
};

}
