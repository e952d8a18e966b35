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

/// Limits on the number of label values. Adapters are never a label: there are tens of thousands.
constexpr std::size_t maxMetricCallers = 500;
constexpr std::size_t maxMetricServers = 500;
constexpr std::size_t maxMetricTargets = 256;
constexpr std::size_t maxGauges = 4'000;
constexpr std::size_t outcomes = 3;
constexpr std::size_t errorKinds = static_cast<std::size_t>(error_kind::Internal) + 1;
constexpr std::size_t priorities = 4;

/// The latencies of one kind of request: to plain services, or to adapters at one priority.
struct request_latencies
{
    latency_histogram firstToken;
    latency_histogram endToEnd;
    latency_histogram stall;
    latency_histogram queued;
    latency_histogram tokenGap;
};

/// The counters of one caller.
struct caller_metrics
{
    std::array<std::uint64_t, outcomes> byOutcome{};
    std::uint64_t tokens = 0;
    latency_histogram endToEnd;
};

/// All metrics of one instance since its start. Memory is bounded by the constants above.
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
    bool hasConfig = false;
    std::uint64_t configVersion = 0; ///< the version that `callers` and `targets` were last adapted to
    config_section<caller_config> knownCallers; ///< the callers of `configVersion`
};

/// Adapts the callers and targets to a configuration: drops removed ones and starts counting for new targets.
/// A version that is not newer than the last one is ignored. observe() calls this too; calling it when a
/// configuration takes effect starts an idle target's window then and not at its first request.
void followConfig(metrics &daemonMetrics, const config &configuration, millis now);

/// Counts a request that has ended. Must not be called for a request whose caller disconnected before.
void observe(metrics &daemonMetrics, const request_record &request, const config &configuration, millis now);

/// Sets a gauge, which is exported as "briarhead_NAME". A name consists of lower-case letters, digits and
/// '_'. A new gauge is ignored once there are maxGauges.
void setGauge(metrics &daemonMetrics, std::string_view name, double value);
/// The same with the label server="SERVER".
void setServerGauge(metrics &daemonMetrics, std::string_view name, std::string_view server, double value);
/// Removes a server's gauges, once this instance no longer owns it.
void dropServerGauges(metrics &daemonMetrics, std::string_view server);

/// All metrics in the Prometheus text format, times in seconds.
std::string prometheusText(const metrics &daemonMetrics);

/// This instance's burn report, as JSON (see state/burn.h).
std::string burnJson(const metrics &daemonMetrics, const config &configuration, millis now);

}
