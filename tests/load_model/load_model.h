#pragma once

#include "load_model/engine_model.h"
#include "scheduling/slot_queue.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// A day's load on model servers, played in seconds against the decisions that serve callers: the same
// slot_scheduler, observed_server and choose_server, with engines, weight store, network and callers reduced
// to arithmetic. For comparing policies; what it leaves out stands in docs/MEASUREMENTS.md.
namespace briarhead::load_model {

/// A kind of request, as a deployment's sheet has it. Lengths are log-normal with the given mean.
struct request_kind
{
    std::string name;
    double share = 0; ///< of the arrivals
    double promptMean = 1'800; ///< its own tokens, besides the shared ones
    double promptSpread = 1.3;
    double promptMost = 6'870;
    std::int64_t sharedTokens = 568;
    double eventsMean = 8;
    double eventsSpread = 1.4;
    double eventsMost = 30;
    double worth = 1.8;
    double lateWorth = 0.53;
    int rank = 1;
    std::int64_t deadlineMs = 5'000;
};

struct load_plan
{
    std::string name;
    engine_figures engine;
    std::vector<double> slowness{1, 1, 1.3}; ///< of the servers, in turn
    std::size_t servers = 12;
    std::size_t domains = 4;
    std::size_t entries = 6;
    int places = 5;
    std::size_t adapters = 3'000;
    double zipf = 1.2;
    double withAdapter = 0.95; ///< share of the requests that name one
    double loadMs = 250; ///< from the weight store
    int loadsAtFullSpeed = 8;
    std::size_t remembered = 26; ///< adapters a server holds besides; a tenth of the time
    std::vector<request_kind> kinds;
    double perSecond = 68; ///< arrivals
    double clump = 3; ///< arrivals come in groups of this mean size
    std::int64_t lengthMs = 30'000;
    std::int64_t shiftEveryMs = 9'000; ///< the most popular adapter falls silent and the next ones rise
    /// A burst: so many times the arrivals, from and to.
    double burst = 1;
    std::int64_t burstFromMs = 0;
    std::int64_t burstToMs = 0;
    /// Servers that are lost, from and to; they come back empty.
    double lost = 0;
    std::int64_t lostFromMs = 0;
    std::int64_t lostToMs = 0;
    /// Servers that become slower by this factor, from and to.
    double slowed = 0;
    double slowedBy = 5;
    std::int64_t slowedFromMs = 0;
    std::int64_t slowedToMs = 0;
    std::int64_t targetMs = 1'000; ///< to the first event
    std::int64_t gapMs = 400; ///< the longest pause that is on time
    double retryShare = 1; ///< of refused callers come back once, when told
    bool gapPrediction = false; ///< servers are chosen by predicted gaps, with `gapMs` as the limit
};

enum class route_policy : std::uint8_t
{
    Random,
    LeastInFlight, ///< fewest requests there, as last told
    Rendezvous, ///< the adapter's first server that isn't full
    Briarhead,
};

std::string_view nameOf(route_policy value);

struct kind_result
{
    double owed = 0;
    double earned = 0;
    int requests = 0;
    int onTime = 0;
    int lateFirst = 0; ///< complete; the first event came after the target
    int lateGap = 0; ///< complete; a pause was too long
    int refused = 0; ///< for good
    int cut = 0; ///< unfinished at the deadline, or lost with its server
};

/// What the deployments are charged for an adapter from the weight store, in the unit of a request's worth.
constexpr double loadWorth = 0.5;

/// Complete streams of the servers of one speed.
struct speed_result
{
    int streams = 0;
    int gapOver = 0; ///< had a gap over the limit
};

struct load_result
{
    std::map<std::string, kind_result> kinds;
    int loadsFromStore = 0;
    int loadsRemembered = 0;
    int crossDomain = 0; ///< requests sent to another failure domain
    int places = 0; ///< most places in use on one server, to check the limit
    std::map<int, int> refusals; ///< by reason, each word of refusal counted
    std::map<double, speed_result> speeds; ///< by the slowness of the server
    double worth() const; ///< earned of owed
    double worthLessLoads() const;
};

/// Plays the plan. The same seed gives the same arrivals under every policy.
load_result play(const load_plan &plan, route_policy policy, std::uint64_t seed);

/// The loads of the deployments' sheets: quiet, and at the height of a day.
load_plan smallPlan(bool high);
load_plan grownPlan(bool high);
/// Prompts of several pieces beside streams whose events hold more tokens.
load_plan longPromptPlan(bool high);
/// Demand that is nearly flat, few places and slow loads: the shape that no deployment so far has.
load_plan scarcePlan();
/// A third of the servers reads half as fast as the rest, in chunks that hold a whole prompt.
load_plan unevenPlan(bool gapPrediction);

}
