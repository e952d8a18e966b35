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
constexpr millis aloneAfter{1'000};
/// A holder that was silent for so long is replaced: ten beats are missing. Without this a holder that is cut
/// off or stands still keeps its servers from all others until its lease ends, so leases would have to be
/// short, and each renewal is a call to the store.
constexpr millis silentAfter{1'500};
/// Further for a holder in another failure domain, whose beats come a third as often.
constexpr millis silentFarther{1'000};
/// Those that may replace it try one after the other, so that the first is heard before the second tries.
constexpr millis silentStep{300};
constexpr std::size_t replacersMost = 6;
/// Who heard less than this share of the holders lately is cut off itself, and replaces nobody.
constexpr double leastHeard = 0.5;
constexpr millis heardLately{700};

/// The daemon whose beats told of a server, and when the last one did.
struct heard_holder
{
    std::string node;
    millis at;
};

using heard_holders = std::map<std::string, heard_holder>; ///< by server

/// Whether most of the holders were heard lately.
bool hearsMost(const heard_holders &heard, millis now);

/// The daemons that may replace a silent holder, in the order in which they try. `near` are those of the
/// server's failure domain that hear of it, `all` those of all.
struct replacers
{
    std::vector<std::string> nodes;
    bool farther = false; ///< they are of other failure domains
};

replacers replacersOf(const std::string &server, const std::string &holder,
    const std::vector<std::string> &near, const std::vector<std::string> &all);

/// Whether `self` replaces the silent holder now.
bool mayReplace(const heard_holder &holder, const replacers &order, const std::string &self, millis now);

}
