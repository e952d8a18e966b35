#pragma once

#include "protocol/crash_messages.h"
#include "state/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Which attributes of requests have crashed backend servers. A request may crash each server that runs it
// because of its bytes as a whole, or because of one part of its prompt, which requests that are otherwise
// different share. All that ran on a server when it crashed is suspected; what servers complete is
// exonerated. This is pure state without I/O.
namespace briarhead {

/// Number of server crashes after which an attribute is blocked. A server that fails for its own reasons
/// fails all the requests that it runs, so one crash proves little, and two happen to harmless requests in an
/// outage. Three incarnations that crash under the same attribute, with no complete response in between, are
/// not a coincidence.
constexpr std::size_t crashesToBlock = 3;
/// Number of crashes that narrower attributes don't explain after which an attribute is blocked beside them.
/// One may be the first of another culprit.
constexpr std::size_t unexplainedCrashesToBlock = 2;
/// Number of crashes after which all daemons are notified: the third crash may be seen by any daemon, and any
/// daemon may see the complete response that exonerates the attribute.
constexpr std::size_t crashesToShare = 2;
/// Crashes beyond crashesToBlock tell attributes apart that have the first ones in common.
constexpr std::size_t maxCrashesKept = 8;
/// An attribute that no request has had for this long is forgotten.
constexpr millis crashRetention{3'600'000};
/// Delays after which a request with a blocked attribute is sent once more as a probe, by a single daemon. A
/// complete response exonerates its attributes. Without probes, an outage of three servers at once would
/// block what they were running even after the servers are back. There are only two probes, so that an
/// attribute which does crash servers crashes two more within ten minutes and none after that.
using probe_delays = std::array<millis, 2>;
constexpr probe_delays probeDelays{millis{10'000}, millis{600'000}};
/// Limit on the tracked attributes: some 300 bytes each, 3 MB of a daemon's 160 MB.
constexpr std::size_t maxTrackedAttributes = 10'000;

/// What is known of one attribute of requests that were running when servers crashed.
struct tracked_attribute
{
    std::uint8_t rank = contentRank; ///< the lowest one reported
    std::set<std::string> incarnations; ///< servers that crashed under it, at most maxCrashesKept
    /// Servers that crashed under it before another one completed a request with it. They don't count again
    /// when a late report names them. At most maxCrashesKept.
    std::set<std::string> exonerated;
    millis lastSeen; ///< when it was last reported or requested
    std::uint32_t probes = 0; ///< probes sent since it was blocked
    millis delayFrom; ///< when it was blocked or last probed, as far as is known here
};

/// The attributes of requests that were running when servers crashed.
struct crash_history
{
    std::map<std::string, tracked_attribute> attributes; ///< by key
    std::set<std::string> convicted; ///< keys of those with crashesToBlock crashes or more
    probe_delays delays = probeDelays;
};

/// Records server incarnations that crashed under an attribute. Returns whether any of them is new.
bool recordCrashes(crash_history &history, const request_attribute &attribute,
    const std::vector<std::string> &servers, millis now);
/// The server incarnations that are known to have crashed under the attribute and are not exonerated.
std::vector<std::string> crashesOf(const crash_history &history, const std::string &key);
/// Whether crashesToBlock servers have crashed under the attribute.
bool isConvicted(const crash_history &history, const std::string &key);
/// The attributes for which a request must not be sent to a server: the convicted ones, unless narrower ones
/// that the request doesn't have explain all but one of their crashes. So of a first part that all requests
/// share and a second part that only the crashing ones have, the second one is blocked.
request_attributes blockingAttributes(const crash_history &history, const request_attributes &attributes);
/// Records that a server has completed a request with the attribute. The crashes known so far don't count any
/// more. Returns whether there were any.
bool exonerate(crash_history &history, const std::string &key);
/// Records that a daemon has sent probe number `probes` of a blocked attribute. Lower numbers are ignored.
void recordProbes(crash_history &history, const std::string &key, std::uint32_t probes, millis now);
std::uint32_t probesOf(const crash_history &history, const std::string &key);
/// The time until a blocked attribute may be probed; zero or negative: a probe is due.
millis timeUntilProbe(const crash_history &history, const std::string &key, millis now);
/// Restarts the retention time of an attribute.
void refreshLastSeen(crash_history &history, const std::string &key, millis now);
void forget(crash_history &history, const std::string &key);
/// Keys of the attributes whose retention time is over.
std::vector<std::string> expiredAttributes(const crash_history &history, millis now);

}
