#pragma once

#include "state/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// Which requests have crashed backend servers. A request may crash each server that runs it, and may come
// back under new ids and through any daemon, so it is identified by its fingerprint (request_fingerprint.h).
// This is pure state without I/O.
namespace briarhead {

/// Number of server crashes after which a request is blocked. A server that fails for its own reasons fails
/// all the requests that it runs, so one crash proves little, and two happen to harmless requests in an
/// outage. Three incarnations that crash under the same request, with no complete response in between, are
/// not a coincidence.
constexpr std::size_t crashesToBlock = 3;
/// Number of crashes after which all daemons are notified: the third crash may be seen by any daemon, and any
/// daemon may see the complete response that clears the request.
constexpr std::size_t crashesToShare = 2;
/// A request that nobody has sent for this long is forgotten.
constexpr millis crashRetention{3'600'000};
/// Delays after which a blocked request is sent once more as a probe, by a single daemon. A complete response
/// clears it. Without probes, an outage of three servers at once would block the popular requests that they
/// were running even after the servers are back. There are only two probes, so that a request which does
/// crash servers crashes two more within ten minutes and none after that.
using probe_delays = std::array<millis, 2>;
constexpr probe_delays probeDelays{millis{10'000}, millis{600'000}};
/// Limit on the tracked requests: some 200 bytes each, 2 MB of a daemon's 256 MB.
constexpr std::size_t maxTrackedRequests = 10'000;

/// What is known of one request that was running when a server crashed.
struct tracked_request
{
    std::set<std::string> incarnations; ///< server incarnations that crashed under it, at most crashesToBlock
    millis lastSeen; ///< when it was last reported or requested
    std::uint32_t probes = 0; ///< probes sent since it was blocked
    millis delayFrom; ///< when it was blocked or last probed, as far as is known here
};

/// The requests that were running when servers crashed.
struct crash_history
{
    std::map<std::string, tracked_request> requests; ///< by fingerprint
    probe_delays delays = probeDelays;
};

/// Records server incarnations that crashed under a request. Returns whether any of them is new.
bool recordCrashes(crash_history &history, const std::string &fingerprint,
    const std::vector<std::string> &servers, millis now);
/// The server incarnations that are known to have crashed under the request.
std::vector<std::string> crashesOf(const crash_history &history, const std::string &fingerprint);
bool isBlocked(const crash_history &history, const std::string &fingerprint);
/// Records that a daemon has sent probe number `probes` of a blocked request. Lower numbers are ignored.
void recordProbes(crash_history &history, const std::string &fingerprint, std::uint32_t probes, millis now);
std::uint32_t probesOf(const crash_history &history, const std::string &fingerprint);
/// The time until a blocked request may be probed; zero or negative: a probe is due.
millis timeUntilProbe(const crash_history &history, const std::string &fingerprint, millis now);
/// Restarts the retention time of a request.
void refreshLastSeen(crash_history &history, const std::string &fingerprint, millis now);
void forget(crash_history &history, const std::string &fingerprint);
/// Fingerprints of the requests whose retention time is over.
std::vector<std::string> expiredRequests(const crash_history &history, millis now);

}
