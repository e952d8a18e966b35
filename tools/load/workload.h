#pragma once

#include "state/clock.h"
#include "state/config.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The traffic of the experiments: what each workload asks for, and its arrivals from a seed.
namespace briarhead::load {

/// The workloads run faster than life by this factor: arrivals and the store's rate are higher, requests,
/// deadlines and the base model's load shorter. Engine steps keep their length.
constexpr double timeScale = 4;
constexpr double storeLoadsPerSecond = 3 * timeScale;
constexpr std::uint32_t adapterCount = 3'000;
constexpr std::uint32_t callerCount = 8;

/// One kind of traffic. Rates are shares of the knee, times are already scaled.
struct workload
{
    std::string_view name;
    double stallWeight; ///< of the policy, unless told otherwise
    double startRate; ///< at the ends
    double peakRate; ///< reached in the middle
    double zipfExponent;
    std::uint32_t fewestTokens;
    std::uint32_t mostTokens;
    millis shortestDeadline;
    millis longestDeadline;
    double burstsPerSecond; ///< special-meal lists: many requests for one adapter at once
    std::uint32_t burstRequests;
    bool shifts = false; ///< at half time yesterday's cold adapters are today's hot ones
    std::uint32_t coldEngines = 0; ///< restarted cold at a third of the time
    double storeShare = 1; ///< of the store's rate, from a third of the time on
};

const std::vector<workload> &allWorkloads();
std::optional<workload> workloadOf(std::string_view name);

/// One request and the moment at which it is meant to be sent.
struct arrival
{
    millis at; ///< since the start
    std::uint32_t adapter = 0;
    std::uint32_t caller = 0;
    std::uint32_t tokens = 0;
    priority rank = priority::Normal;
    millis deadline;
};

/// When the arrivals come: the warm-up's come at the start rate and are not measured.
struct schedule
{
    millis warmUp;
    millis measured;
    double rateFactor = 1; ///< on all rates, to look for the knee
    std::uint64_t seed = 1;
};

/// All arrivals in order of time; the same for the same workload and schedule.
std::vector<arrival> arrivalsOf(const workload &of, const schedule &when);

}
