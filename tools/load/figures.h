#pragma once

#include "load/workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarhead::load {

/// How one measured request ended.
struct sample
{
    std::uint32_t caller = 0;
    int status = 0; ///< 0: no answer
    std::string outcome; ///< of an error body: "not_run" or "unknown"
    bool waitedForLoad = false; ///< given up on while its adapter was not loaded
    double wholeMs = 0; ///< from the intended send time to the end of the answer
    double stallMs = 0; ///< waited for a load, as the answer's header says
    double deadlineMs = 0;
    double lateMs = 0; ///< sent so long after the intended time: the tool's own delay
};

/// What the stand-ins counted up to some moment, summed over engines.
struct engine_counts
{
    std::uint64_t busySteps = 0;
    double filled = 0; ///< shares of batches, summed over busy steps
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t violations = 0;
    double standinsCpuSeconds = 0;
};

struct figures
{
    double requests = 0;
    double stallMeanMs = 0; ///< over requests that were answered or waited for a load in vain
    double stallP50Ms = 0;
    double stallP99Ms = 0;
    double stalledShare = 0;
    double batchEfficiency = 0; ///< mean fill of the batches over steps with work
    double goodput = 0; ///< share answered within the deadline
    double goodPerSecond = 0;
    double refusedAtOnce = 0; ///< share
    double givenUp = 0; ///< share told "not run" after a wait
    double unknown = 0; ///< share
    double wholeP50Ms = 0;
    double wholeP99Ms = 0;
    double loadsPerMinute = 0;
    double evictionsPerMinute = 0;
    double fairness = 0; ///< worst caller's goodput by the best one's
    double penalty = 0;
    double violations = 0; ///< of the invariants that the engines watch
    double standinsCpu = 0; ///< processors that the stand-ins took
    double toolLateP99Ms = 0;
};

/// Whether the answer was a refusal that did not wait for anything.
bool isRefusedAtOnce(const sample &one);

figures figuresOf(const std::vector<sample> &samples, const engine_counts &before, const engine_counts &after,
    millis measured, double penaltyPerMiss);

std::string tableHead();
std::string tableRow(const std::string &label, const figures &of);
std::string jsonLine(const std::string &label, const figures &of);

}
