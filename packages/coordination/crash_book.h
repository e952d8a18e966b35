#pragma once

#include "state/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

// Which requests have ended backend servers: a request can crash each server that begins to run it, and comes
// again under new ids and at any daemon. It is known by its fingerprint (request_fingerprint.h). Pure state.
namespace briarhead {

/// After so many ends a request goes to no server any more. A server that fails for a reason of its own ends
/// all that it runs, so one end says little and two happen to honest requests in an outage; three starts of
/// servers that end under the same bytes, with no whole answer in between, are no chance.
constexpr std::size_t endsToBlock = 3;
/// After so many all daemons are to know: the third end may come anywhere, and any daemon's whole answer
/// clears the request.
constexpr std::size_t endsToShare = 2;
/// A request that nobody has sent for so long is forgotten.
constexpr millis crashMemory{3'600'000};
/// Requests remembered at most: some 200 bytes each, 2 MB of a daemon's 256.
constexpr std::size_t crashesRemembered = 10'000;

struct crash_entry
{
    std::set<std::string> servers; ///< starts of servers that ended under it, up to endsToBlock
    millis seen; ///< when it was last told of or asked for
};

struct crash_book
{
    std::map<std::string, crash_entry> requests; ///< by fingerprint
};

/// Adds starts of servers that ended under a request; whether any is new.
bool addEnds(
    crash_book &book, const std::string &fingerprint, const std::vector<std::string> &servers, millis now);
/// The servers that are known to have ended under it.
std::vector<std::string> endsOf(const crash_book &book, const std::string &fingerprint);
bool isBlocked(const crash_book &book, const std::string &fingerprint);
/// Remembers it for as long again.
void seeAgain(crash_book &book, const std::string &fingerprint, millis now);
void forget(crash_book &book, const std::string &fingerprint);
/// Fingerprints whose time is over.
std::vector<std::string> outdated(const crash_book &book, millis now);

}
