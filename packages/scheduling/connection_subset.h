#pragma once

#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

// Chooses which plain servers of a service a daemon keeps connections to. A daemon whose requests are spread
// over all servers reuses a connection only if the next request to the same server comes before the server
// closes it as idle; with few requests and many servers, most requests then need a new connection.
// Every daemon derives its subset from the members that it knows, without messages.
namespace briarhead {

/// A daemon or a plain server.
struct subset_member
{
    std::string_view name;
    std::string_view failureDomain;
};

/// A request of a subset always has a second server, so that one failure doesn't hold it up.
constexpr std::size_t minSubsetSize = 2;
/// Servers beyond these positions are not tried by preference: the order is kept in memory, and a request
/// tries three servers at most.
constexpr std::size_t maxOrderedServers = 8;
/// Daemons per server in each of the first minSubsetSize positions, over the mean. Servers may have 1.3 times
/// the mean number of requests; the rest of that is left for differences between the daemons' rates. Less
/// than 1.1 would move more daemons to other failure domains and at each change of the members.
constexpr double maxAssignmentRatio = 1.2;

/// The servers of `daemon` in the order in which it uses them, as indices into `servers`. In each of the
/// first minSubsetSize positions, no server has more daemons than maxAssignmentRatio times the mean, rounded
/// down, or the mean, rounded up, whichever is more. Prefers servers of the daemon's own failure domain.
/// `daemons` need not contain `daemon`. The cost is that of one hash for each daemon and server.
std::vector<std::size_t> connectionOrder(const subset_member &daemon,
    const std::vector<subset_member> &daemons, const std::vector<subset_member> &servers);

/// Recent requests of this daemon to a service.
struct request_rate
{
    double recent = 0; ///< decaying count, as of `updatedAt`
    std::uint64_t total = 0;
    millis firstAt;
    millis updatedAt;
};

/// The rate is a moving average with this time constant: long enough for 20 requests of a daemon that sends
/// one a second, short enough to follow demand that swings within minutes.
constexpr millis requestRateWindow{20'000};
/// Fewer requests say little about the rate.
constexpr std::uint64_t minRequestsForRate = 8;

void countRequest(request_rate &rate, millis now);
/// Requests per second; negative while too few have been counted.
double requestsPerSecond(const request_rate &rate, millis now);

/// A connection is worth keeping if it is used this often within the time for which it is kept: random
/// requests at that rate leave it unused for the whole time in 5% of the cases.
constexpr double minUsesPerKeepTime = 3;

/// How many servers the daemon has requests enough for, at most `servers`: all of them where its rate or the
/// time for which servers keep idle connections is not known.
std::size_t subsetWidth(double requestsPerSecond, millis keepTime, std::size_t servers);

/// A server of the subset, in the daemon's order.
struct subset_server
{
    bool usable = true; ///< open to requests and not failing
    double waitMs = 0; ///< predicted wait for a slot
};

/// The subset is widened if the predicted wait exceeds this share of the request's latency target. What is
/// left of the target must suffice for the response, and a new connection takes a few milliseconds only.
constexpr double maxSubsetWaitShare = 0.1;

/// How many servers from the start of the order are considered: so many that `width` of them are usable
/// without a wait, or all.
std::size_t widenedSubset(const std::vector<subset_server> &order, std::size_t width, double targetMs);

}
