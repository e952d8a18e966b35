#pragma once

#include "scheduling/connection_subset.h"
#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Chooses the plain server for a request. Pure functions of what an entry currently knows about the servers:
// its own requests, its connections, and the requests in flight that other daemons report.
namespace briarhead {

/// What an entry knows about a plain server when it chooses one for a request.
struct plain_candidate
{
    bool excluded = false;
    bool sameDomain = false;
    int slots = 1;
    int inFlight = 0; ///< requests that this entry has in flight there
    double failureRate = 0;
    bool limited = false; ///< the server announces a rate limit, so that a request needs a permit
    double permitWait = 0; ///< expected wait for the permit, as a fraction of the request's latency target
    std::uint64_t tieBreak = 0; ///< evenly distributed for each request; the lowest wins
    double othersInFlight = 0; ///< estimate of the requests that other daemons have in flight there
    double usualMs = 0; ///< mean response time at this entry; 0 if unknown
    /// Least response time to expect if the server is stalled, in ms; 0 if it isn't.
    double stalledMs = 0;
    /// How long an open connection that is not in use may still be reused; nothing if there is none.
    std::optional<millis> reusableFor;
};

/// What matters of a request for choosing a plain server.
struct plain_request
{
    double targetMs = 0; ///< latency target
    /// Time that is left of the latency target. Without it, no request is in a hurry.
    std::optional<millis> targetLeft;
    /// The candidates are the daemon's connection subset, in its order, and are to be reached by connections
    /// that are open.
    bool keepsConnections = false;
};

// Weights of choosePlainServer(), as fractions of a server's slots.

/// For a server in another failure domain or, in a connection subset, for all but the first: the order of the
/// subset has the failure domains in it already, and only the first position is balanced by itself. Where a
/// second server of the own failure domain was as good as a first one of another, the domains with few
/// servers had 1.37 times the mean number of requests at them.
constexpr double crossDomainLoad = 0.35;
/// At a failure rate of 1.
constexpr double failureLoad = 2.0;
/// A permit costs a round trip to another daemon, and there may be none left.
constexpr double limitedLoad = 0.5;
/// For a server without an open connection, where connections are to be kept in use. Less than
/// crossDomainLoad, because an open connection expires unused if requests return to another failure domain
/// only now and then.
constexpr double newConnectionLoad = 0.3;
/// Requests of all daemons in flight, as a fraction of a server's slots, from which on requests avoid the
/// server. Below it, a request is unlikely to wait for a slot.
constexpr double highPlainLoad = 0.8;
/// Added for a server above highPlainLoad, for the requests that avoid it. More than crossDomainLoad, so that
/// they leave the failure domain.
constexpr double overloadLoad = 0.5;
/// The share of requests that avoid a server because of others' reports is the excess of its load, and at
/// most this. Reports are old by a heartbeat or more; if all daemons followed them, they would overload the
/// next server before the reports show it.
constexpr double maxAvoidingShare = 0.5;
/// A request is in a hurry if this many times the response time that is expected of a stalled server exceeds
/// what is left of its latency target: nobody knows how much longer the stall lasts.
constexpr double stallUncertainty = 2;
/// A server at this failure rate is no alternative to one that is stalled or overloaded.
constexpr double maxUsableFailureRate = 0.5;

/// The index of the least loaded candidate, or nothing if all are excluded. Others' reports can only keep
/// requests away from an overloaded server; they never attract any to the one with the lowest load.
std::optional<std::size_t> choosePlainServer(
    const std::vector<plain_candidate> &servers, const plain_request &request = {});

/// Chooses among the servers of the daemon's connection subset, which is widened where some of its servers
/// fail, are stalled or have a wait. `order`: the candidates in the order of connectionOrder().
std::optional<std::size_t> chooseFromSubset(
    const std::vector<plain_candidate> &order, std::size_t width, const plain_request &request);

/// The predicted wait for a slot, with the requests of all daemons, in ms; 0 if the response time is unknown.
double predictedWaitMs(const plain_candidate &server);

/// Response times of a plain server at this entry, and its requests that the server hasn't responded to.
struct plain_latency
{
    double meanMs = 0;
    double deviationMs = 0; ///< mean deviation from the mean
    std::uint64_t samples = 0;
    std::multiset<std::int64_t> outstanding; ///< times of the sends, in ms
    double slowMs = 0; ///< response time of the latest slow response
    millis slowAt; ///< time of the latest slow response
};

/// Weight of one response in the mean, and in the mean deviation.
constexpr double plainLatencySampleWeight = 0.1;
/// Fewer responses say little about the usual time.
constexpr std::uint64_t minLatencySamples = 8;
/// A response time beyond the mean by more than half of it, and by more than this many mean deviations, is
/// much longer than usual. Four deviations are what TCP allows before it takes a segment for lost.
constexpr double stallDeviations = 4;
constexpr double minStallExcess = 0.5;
/// Excesses below this come from a busy daemon and not from the server.
constexpr double minStallMs = 20;
/// A server is taken for stalled for this long after a slow response, unless a response in the usual time
/// comes first. Stalls last about half a second; beyond, a request is the way to find out.
constexpr millis stallMemory{500};

void recordPlainSend(plain_latency &latency, millis now);
/// `answered`: the server responded, so that the time since the send is a response time.
void recordPlainEnd(plain_latency &latency, millis sentAt, bool answered, millis now);
/// Response time in ms from which on a request is outstanding for longer than usual; 0 if unknown.
double stallLimitMs(const plain_latency &latency);
/// As plain_candidate::stalledMs.
double stalledMs(const plain_latency &latency, millis now);

/// Requests in flight at plain servers as reported by other daemons. Only sums are kept, so that the size
/// doesn't grow with the number of daemons.
struct plain_reports
{
    struct decaying_sum
    {
        double value = 0;
        millis updatedAt;
    };
    decaying_sum reporters; ///< reports received
    std::map<std::string, decaying_sum, std::less<>> inFlight; ///< reported requests, by server
    millis lastAt; ///< time of the latest report
};

/// A report's weight decays with this half-life. Requests to plain servers take about a tenth of a second,
/// and daemons report several times a second, so that this covers a few reports of each daemon.
constexpr millis plainReportHalfLife{500};
/// The estimate shrinks in proportion below this many recent reports.
constexpr double minPlainReports = 3;

/// Records that a daemon that reports its requests has done so, if only that it has none.
void countReport(plain_reports &reports, millis now);
/// Records the requests of one daemon at a server.
void recordReport(plain_reports &reports, std::string_view server, std::uint32_t inFlight, millis now);
/// Estimate of the requests in flight from `others` daemons, of which only some report.
double othersInFlight(const plain_reports &reports, std::string_view server, std::size_t others, millis now);

}
