#pragma once

#include "state/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
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
/// Guards against: an outage ends three servers at once that all ran what many callers ask for, and these are
/// refused though the servers are back. Holds because a blocked request is tried again after each of these
/// waits, by one daemon of all, and a whole answer clears it. Two tries: a request that does end servers ends
/// two more in ten minutes, and none after that.
using trial_waits = std::array<millis, 2>;
constexpr trial_waits trialWaits{millis{10'000}, millis{600'000}};
/// Requests remembered at most: some 200 bytes each, 2 MB of a daemon's 256.
constexpr std::size_t crashesRemembered = 10'000;

struct crash_entry
{
    std::set<std::string> servers; ///< starts of servers that ended under it, up to endsToBlock
    millis seen; ///< when it was last told of or asked for
    std::uint32_t trials = 0; ///< tries since it is blocked
    millis waitsFrom; ///< when it was blocked, or tried last, as far as known here
};

struct crash_book
{
    std::map<std::string, crash_entry> requests; ///< by fingerprint
    trial_waits waits = trialWaits;
};

/// Adds starts of servers that ended under a request; whether any is new.
bool addEnds(
    crash_book &book, const std::string &fingerprint, const std::vector<std::string> &servers, millis now);
/// The servers that are known to have ended under it.
std::vector<std::string> endsOf(const crash_book &book, const std::string &fingerprint);
bool isBlocked(const crash_book &book, const std::string &fingerprint);
/// A daemon has made its so manieth try.
void noteTrials(crash_book &book, const std::string &fingerprint, std::uint32_t trials, millis now);
std::uint32_t trialsOf(const crash_book &book, const std::string &fingerprint);
/// How long a blocked request is refused for at least; not positive: it is to be tried.
millis untilTrial(const crash_book &book, const std::string &fingerprint, millis now);
/// Remembers it for as long again.
void seeAgain(crash_book &book, const std::string &fingerprint, millis now);
void forget(crash_book &book, const std::string &fingerprint);
/// Fingerprints whose time is over.
std::vector<std::string> outdated(const crash_book &book, millis now);

}
