#pragma once

#include "daemon/burn_track.h"
#include "daemon/request_record.h"
#include "state/clock.h"
#include "state/config.h"
#include "state/latency.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace briarhead {

/// Bounds on what labels may cost. Adapters are never a label: there are tens of thousands.
constexpr std::size_t maxMetricCallers = 500;
constexpr std::size_t maxMetricServers = 500;
constexpr std::size_t maxMetricTargets = 256;
constexpr std::size_t maxGauges = 4'000;
constexpr std::size_t outcomes = 3;
constexpr std::size_t errorKinds = static_cast<std::size_t>(error_kind::Internal) + 1;
constexpr std::size_t priorities = 4;

/// The latencies of one kind of request: plain services, or adapters at one priority.
struct request_latencies
{
    latency_histogram firstToken;
    latency_histogram whole;
    latency_histogram stall;
    latency_histogram queued;
    latency_histogram tokenGap;
};

/// What is counted per caller.
struct caller_metrics
{
    std::array<std::uint64_t, outcomes> byOutcome{};
    std::uint64_t tokens = 0;
    latency_histogram whole;
};

/// All that one instance counts, since its start. Memory is bounded by the constants above.
struct metrics
{
    std::array<std::array<std::uint64_t, errorKinds>, outcomes> adapterRequests{};
    std::array<std::array<std::uint64_t, errorKinds>, outcomes> serviceRequests{};
    std::array<request_latencies, priorities> adapterLatencies;
    request_latencies serviceLatencies;
    std::map<std::string, caller_metrics, std::less<>> callers;
    std::map<std::string, std::uint64_t, std::less<>> serverFailures;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, std::map<std::string, double, std::less<>>, std::less<>> serverGauges;
    std::map<std::string, burn_track, std::less<>> targets;
    bool following = false;
    std::uint64_t configVersion = 0; ///< the version that `callers` and `targets` were last fitted to
    config_section<caller_config> configured; ///< the callers of that version
};

/// Fits the callers and targets to a configuration: drops those that are gone, and begins to count new
/// targets. observe() does so too; calling it when a configuration comes into force lets an idle target's
/// window begin then, and not with its first request.
void followConfig(metrics &into, const config &at, millis now);

/// Counts a request that has ended. A request whose caller went away before its end is not to be passed.
void observe(metrics &into, const request_record &request, const config &at, millis now);

/// Sets a gauge; it is exported as "briarhead_NAME". Names are of lower-case letters, digits and '_'.
void setGauge(metrics &into, std::string_view name, double value);
/// The same with the label server="SERVER".
void setServerGauge(metrics &into, std::string_view name, std::string_view server, double value);
/// Forgets a server's gauges, once it is no longer this instance's concern.
void dropServerGauges(metrics &into, std::string_view server);

/// All of it in the Prometheus text format, times in seconds.
std::string prometheusText(const metrics &of);

/// This instance's burn report, as JSON (see state/burn.h).
std::string burnJson(const metrics &of, const config &at, millis now);

}
