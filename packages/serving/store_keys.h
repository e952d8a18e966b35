#pragma once

#include <string>

// Keys of this project's own records in the platform's store.
namespace briarhead::detail {

inline const std::string ownPrefix = "briarhead/";
/// Followed by a daemon's node name; under its lease.
inline const std::string daemonPrefix = ownPrefix + "daemon/";
/// Followed by a server's id: who gives its orders.
inline const std::string ordererPrefix = ownPrefix + "orderer/";
/// Followed by a request's fingerprint: the servers that ended under it. Under no lease, since leases can run
/// out while the store is away.
inline const std::string crashPrefix = ownPrefix + "crash/";

/// Followed by the number of a shard of client accounts: who is its home. Under that daemon's lease.
inline const std::string quotaPrefix = ownPrefix + "quota/";

}
