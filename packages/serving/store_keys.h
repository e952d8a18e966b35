#pragma once

#include <string>

// Keys of briarhead's own records in the platform's store.
namespace briarhead::detail {

inline const std::string projectPrefix = "briarhead/";
/// Followed by a daemon's node name: its registration, under its lease.
inline const std::string daemonPrefix = projectPrefix + "daemon/";
/// Followed by a daemon's node name, under its lease: present while the daemon is cut off from all backend
/// servers.
inline const std::string cutOffPrefix = projectPrefix + "cut/";
/// Followed by a server's id: the claim of the server's owner, under the owner's lease.
inline const std::string serverOwnerPrefix = projectPrefix + "orderer/";
/// Followed by the key of an attribute of requests: the servers that crashed under it. Under no lease, since
/// leases can expire during a store outage.
inline const std::string crashPrefix = projectPrefix + "crash/";

/// Followed by a service's name: the software versions that have served it lately. Under no lease, for the
/// same reason.
inline const std::string serviceVersionsPrefix = projectPrefix + "versions/";

/// Followed by the number of a shard of adapters: newest versions that the operator's items may lose. Under
/// no lease.
inline const std::string adapterVersionsPrefix = projectPrefix + "newest/";

/// Followed by a writer's node name, incarnation and a number: origins of streams. Under a lease of their
/// own.
inline const std::string originsPrefix = projectPrefix + "origins/";

/// Followed by the number of a shard of client accounts: the claim of its quota home, under that daemon's
/// lease.
inline const std::string quotaHomePrefix = projectPrefix + "quota/";

}
