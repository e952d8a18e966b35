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
constexpr std::size_t crashesToBlock = 3;
/// After so many all daemons are to know: the third end may come anywhere, and any daemon's whole answer
/// clears the request.
constexpr std::size_t crashesToShare = 2;
/// A request that nobody has sent for so long is forgotten.
constexpr millis crashRetention{3'600'000};
/// Guards against: an outage ends three servers at once that all ran what many callers ask for, and these are
/// refused though the servers are back. Holds because a blocked request is tried again after each of these
/// waits, by one daemon of all, and a whole answer clears it. Two tries: a request that does end servers ends
/// two more in ten minutes, and none after that.
using probe_delays = std::array<millis, 2>;
constexpr probe_delays probeDelays{millis{10'000}, millis{600'000}};
/// Requests remembered at most: some 200 bytes each, 2 MB of a daemon's 256.
constexpr std::size_t maxTrackedRequests = 10'000;

struct tracked_request
{
    std::set<std::string> incarnations; ///< starts of servers that ended under it, up to crashesToBlock
    millis lastSeen; ///< when it was last told of or asked for
    std::uint32_t probes = 0; ///< tries since it is blocked
    millis delayFrom; ///< when it was blocked, or tried last, as far as known here
};

struct crash_history
{
    std::map<std::string, tracked_request> requests; ///< by fingerprint
    probe_delays delays = probeDelays;
};

/// Adds starts of servers that ended under a request; whether any is new.
bool recordCrashes(crash_history &history, const std::string &fingerprint,
    const std::vector<std::string> &servers, millis now);
/// The servers that are known to have ended under it.
std::vector<std::string> crashesOf(const crash_history &history, const std::string &fingerprint);
bool isBlocked(const crash_history &history, const std::string &fingerprint);
/// A daemon has made its so manieth try.
void recordProbes(crash_history &history, const std::string &fingerprint, std::uint32_t probes, millis now);
std::uint32_t probesOf(const crash_history &history, const std::string &fingerprint);
/// How long a blocked request is refused for at least; not positive: it is to be tried.
millis timeUntilProbe(const crash_history &history, const std::string &fingerprint, millis now);
/// Remembers it for as long again.
void refreshLastSeen(crash_history &history, const std::string &fingerprint, millis now);
void forget(crash_history &history, const std::string &fingerprint);
/// Fingerprints whose time is over.
std::vector<std::string> expiredRequests(const crash_history &history, millis now);

}
