#pragma once

#include "scheduling/gap_forecast.h"
#include "state/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Chooses the backend server for a request. Pure functions of what an entry currently knows about the
// servers.
namespace briarhead {

/// Where an adapter is, as seen from one server.
enum class adapter_residency : std::uint8_t
{
    Absent, ///< would have to be loaded from the weight store
    Cached, ///< evicted recently; the server still has a copy in host memory
    Loading,
    Resident,
};

std::string_view nameOf(adapter_residency value);

/// What an entry knows about a model server when it chooses one for a request.
struct model_candidate
{
    adapter_residency adapter = adapter_residency::Absent;
    bool modelLoaded = true; ///< the base model is loaded
    bool hasHeartbeat = true; ///< if false, only the server's owner is known
    bool sameDomain = false;
    bool excluded = false; ///< must not be chosen: tried already, closed, or nobody grants slots there
    std::uint32_t availableSlots = 0; ///< adapter slots that are free or whose adapter is unused
    std::uint32_t longResponses = 0; ///< long responses being generated there
    double backlogMs = 0; ///< time to read the prompts that are ahead
    double failureRate = 0; ///< moving average over recent responses, 0 to 1
    std::size_t hashRank = 0; ///< position in the adapter's rendezvous order
    double recentUses = 0; ///< decaying count of uses of the adapter on this server
    gap_basis gaps; ///< for the forecast of inter-event gaps
    int capacityStep = 0; ///< of its weight in the rendezvous order, see capacityWeight
    std::uint32_t running = 0; ///< requests running there
};

// Penalties are in ms of waiting that a caller would accept instead; one second of waiting is worth as much
// as the whole request. Scores are those of the load model: the value of all requests served, minus the cost
// of loads, as a fraction of the maximum.

/// Sending a prompt to another failure domain and its response back costs 1 to 2% of a request's value, about
/// as much as this waiting time.
constexpr double crossDomainPenaltyMs = 50;
/// Loading an adapter from the weight store takes 250 ms. The rest is what another copy costs others: at high
/// load more adapters are in use than there are adapter slots, so each copy evicts an adapter whose callers
/// are then refused. Between 350 and 900 ms a day's score rises by a tenth; it does not rise any further.
constexpr double absentPenaltyMs = 900;
constexpr double loadingPenaltyMs = 120;
/// A cached adapter loads in 25 ms without the weight store, but occupies a slot like any other. Values
/// from 250 to 500 ms score one percent higher than treating it as absent, with 6% fewer loads from the
/// weight store.
constexpr double cachedPenaltyMs = 500;
/// No slot was available in the latest heartbeat: a running request has to finish first.
constexpr double noOpenSlotPenaltyMs = 600;
/// Per position in the adapter's rendezvous order. Keeps the copies of an adapter on few servers, so that one
/// of them still has it cached at the next request. At 25 ms there are a third more loads from the weight
/// store.
constexpr double hashRankPenaltyMs = 150;
/// Positions beyond this are penalised no further.
constexpr std::size_t maxHashRank = 6;
/// Servers without heartbeats are candidates only in the first positions of an adapter's rendezvous order.
constexpr std::size_t maxHashRankUnobserved = 2;
/// At a failure rate of 1. Exceeds the value of a request, because a server that always fails isn't worth
/// using however short its queue is.
constexpr double failurePenaltyMs = 2'000;

/// Servers from which one request asks for a slot before it is refused. When slots are scarce, each further
/// server that loads a rare adapter evicts one that is in demand, and the weight store becomes slower for
/// all: at high load, two or three servers serve more requests than four or eight. At low load, where a load
/// is the only cost of another attempt, eight would serve 1.5% more.
constexpr int maxServersTried = 3;

/// While a server reads a prompt, its streams pause, for longer with longer prompts, and a long response has
/// hundreds of steps at which a pause can exceed the limit. Requests for short responses therefore avoid
/// servers with long ones, and long ones are put together. At high load on 60 servers this reduces the share
/// of long responses with an excessive pause from 37% to 5% and raises the score from 0.64 to 0.70.
constexpr double longResponsePenaltyMs = 120; ///< per long response on the server
constexpr std::uint32_t maxLongResponsesCounted = 10;

/// Statistics of the response lengths that recent requests announced.
struct response_mix
{
    double meanTokens = 0;
    double longShare = 0; ///< share of requests that announce more than the mean
    double sampleCount = 0; ///< requests seen, at most `mixWindowRequests`
    prompt_lengths prompts; ///< of the same requests
};

/// The statistics are moving averages over about this many requests, which one entry receives in about 20 s.
constexpr double mixWindowRequests = 100;
/// Long responses can be separated from short ones only while they are few: fully up to the first share, not
/// at all from the second on. At a share of 0.2 separation scores 5% higher. At 0.6 it scores 6% lower: long
/// responses run on every server then, and separation only spreads adapters over more servers.
constexpr double lowLongResponseShare = 0.25;
constexpr double highLongResponseShare = 0.4;

/// No separation before this many requests have been seen, because fewer say little about the mix.
constexpr double minMixRequests = 20;

/// Records the maximum response length that a request announces.
void recordOutputLength(response_mix &mix, std::int64_t outputTokens);
/// Whether a response of this length is longer than the mean.
bool isLongResponse(const response_mix &mix, std::int64_t outputTokens);

/// The properties of a request that matter for choosing a model server.
struct prompt_shape
{
    std::int64_t promptTokens = 0;
    bool longResponse = false;
    double separation = 1; ///< how strictly long and short responses are separated, 0 to 1
    double copyCostShare = 1; ///< fraction of the cost of another adapter copy that this request bears
    gap_terms gaps; ///< set where service_features::gapPrediction applies
};

/// All requests that will use a new copy share its cost. Up to this many recent uses per copy (see
/// useScoreHalfLife), a request bears the full cost of another copy; beyond, proportionally less. Popular
/// adapters are therefore copied before their callers have to wait: without this, a quarter of the requests
/// for the five most popular adapters was refused on 78 servers, although each had eight copies. The score
/// rises by one percent at high load on 60 to 79 servers and stays the same on 9 to 12.
constexpr double usesPerCopy = 4;

/// The copyCostShare of a request, from the uses and copies of its adapter on all servers.
double copyCostShareOf(const std::vector<model_candidate> &servers);

/// Classifies a request by the current mix. Leaves copyCostShare at 1.
prompt_shape shapeOf(const response_mix &mix, std::int64_t promptTokens, std::int64_t outputTokens);

/// A prompt of this length has exactly the penalty longResponsePenaltyMs. The penalty grows faster than
/// linearly with the length, since the pause grows and so does the chance that two prompts together cause an
/// excessive one. Of the exponents from 0 to 3, 1.5 scores best.
constexpr double referencePromptTokens = 2'400;
constexpr double promptPenaltyExponent = 1.5;
constexpr double minPromptRatio = 0.2;
constexpr double maxPromptRatio = 3;

/// The part of the cost that is due to gaps: 0 where no limit on gaps is stated.
double gapLossOf(const model_candidate &server, const prompt_shape &prompt);
/// The expected cost of using a candidate, in ms of waiting, or nothing if it can't serve the request.
std::optional<double> costOf(const model_candidate &server, const prompt_shape &prompt);

/// The index of the cheapest candidate, or nothing if none can serve the request.
std::optional<std::size_t> chooseModelServer(
    const std::vector<model_candidate> &servers, const prompt_shape &prompt);

/// The moving average of a server's failures, from which `failureRate` of the candidates is taken.
struct server_health
{
    double failureRate = 0; ///< as of `updatedAt`
    millis updatedAt; ///< time of the latest response
    millis unreachableAt; ///< when a connection to it last failed; 0: never
};

/// A server that nobody could connect to is not tried again by this daemon for this long. Until its entry is
/// removed from the store, which takes seconds, it would otherwise be found dead by each request anew.
constexpr millis unreachableBackoff{300};
bool isUnreachable(const server_health &health, millis now);

/// Weight of one response in the moving average.
constexpr double healthSampleWeight = 0.2;
/// The failure rate decays with this half-life, so that an avoided server is tried again.
constexpr millis failureRateHalfLife{3'000};

/// Records whether a response was a failure.
void recordOutcome(server_health &health, bool failed, millis now);
/// The failure rate after decay up to `now`.
double currentFailureRate(const server_health &health, millis now);

}
