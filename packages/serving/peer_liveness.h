#pragma once

#include "state/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Whom of the other daemons this one hears. A daemon that is cut off from the others, but not from the store,
// keeps its lease there, and with it the records of the servers that it gives orders to: nobody else can ask
// it for a place, and it can ask nobody. Both sides go by the beats, which come several times a second: the
// others replace the holder that they don't hear, and who hears nobody sends its callers elsewhere.
namespace briarhead {

/// A daemon that beats are due from and that heard none for so long is alone: seven are missing from its own
/// failure domain, two from another.
constexpr millis isolatedAfter{1'000};
/// A holder that was silent for so long is replaced: ten beats are missing. Without this a holder that is cut
/// off or stands still keeps its servers from all others until its lease ends, so leases would have to be
/// short, and each renewal is a call to the store.
constexpr millis ownerTimeout{1'500};
/// Further for a holder in another failure domain, whose beats come a third as often.
constexpr millis crossDomainExtraTimeout{1'000};
/// Those that may replace it try one after the other, so that the first is heard before the second tries.
constexpr millis replacementStep{300};
constexpr std::size_t maxReplacers = 6;
/// Who heard less than this share of the holders lately is cut off itself, and replaces nobody.
constexpr double minLiveOwnerShare = 0.5;
constexpr millis ownerLiveWithin{700};

/// The daemon whose beats told of a server, and when the last one did.
struct observed_owner
{
    std::string node;
    millis heartbeatAt;
};

using observed_owners = std::map<std::string, observed_owner>; ///< by server

/// Whether most of the holders were heard lately.
bool seesMostOwners(const observed_owners &owners, millis now);

/// The daemons that may replace a silent holder, in the order in which they try. `near` are those of the
/// server's failure domain that hear of it, `all` those of all.
struct replacement_order
{
    std::vector<std::string> nodes;
    bool crossDomain = false; ///< they are of other failure domains
};

replacement_order replacementOrderOf(const std::string &server, const std::string &owner,
    const std::vector<std::string> &near, const std::vector<std::string> &all);

/// Whether `self` replaces the silent holder now.
bool mayReplace(
    const observed_owner &owner, const replacement_order &order, const std::string &self, millis now);

}
