#pragma once

#include "state/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Failure detection between daemons. A daemon that is cut off from the others, but not from the store, keeps
// its lease and thereby its ownership of servers, although no other daemon can request slots from it and it
// can request none itself. Both sides detect this by missing heartbeats: the other daemons replace an owner
// that has become unresponsive, and a daemon that receives no heartbeats sends its callers elsewhere.
namespace briarhead {

/// A daemon that should receive heartbeats but got no datagram for this long is isolated. By then about seven
/// heartbeats from its own failure domain or two from another one are missing.
constexpr millis isolatedAfter{1'000};
/// An owner without heartbeats for this long is replaced: ten are missing. Otherwise an owner that is cut off
/// or suspended would block its servers until its lease expires, so leases would have to be short, and each
/// renewal costs a store call.
constexpr millis ownerTimeout{1'500};
/// Added for an owner in another failure domain, whose heartbeats arrive a third as often.
constexpr millis crossDomainExtraTimeout{1'000};
/// Candidates try one after the other at this interval, so that the second receives a heartbeat from the
/// first before it tries itself.
constexpr millis replacementStep{300};
constexpr std::size_t maxReplacers = 6;
/// A daemon that has received heartbeats from less than this share of the owners within `ownerLiveWithin` is
/// probably cut off itself and replaces nobody.
constexpr double minLiveOwnerShare = 0.5;
constexpr millis ownerLiveWithin{700};

/// The owner of a server according to its heartbeats, and when the latest one arrived.
struct observed_owner
{
    std::string node;
    millis heartbeatAt;
};

using observed_owners = std::map<std::string, observed_owner>; ///< by server

/// Whether enough of the owners have sent a heartbeat recently. False if there are none.
bool seesMostOwners(const observed_owners &owners, millis now);

/// The daemons that may replace an unresponsive owner, in the order in which they try.
struct replacement_order
{
    std::vector<std::string> nodes;
    bool crossDomain = false; ///< the server's failure domain has no other daemon
};

/// Orders the candidates by rendezvous hash. `near` are the daemons of the server's failure domain in its
/// heartbeat group; if there are none besides the owner, those of all domains (`all`) are candidates.
replacement_order replacementOrderOf(const std::string &server, const std::string &owner,
    const std::vector<std::string> &near, const std::vector<std::string> &all);

/// Whether it is the turn of `self` to replace the unresponsive owner.
bool mayReplace(
    const observed_owner &owner, const replacement_order &order, const std::string &self, millis now);

}
