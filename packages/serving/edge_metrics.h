#pragma once

#include "coordination/crash_task.h"
#include "serving/fleet_port.h"
#include "serving/front_task.h"
#include "serving/server_owner_task.h"
#include "serving/server_path_task.h"
#include "serving/stream_origin_task.h"
#include "state/latency.h"
#include "transport/backend_pool.h"

#include <cstdint>
#include <optional>
#include <string>

namespace briarhead {

/// Where the metrics page gets its values from, except those about store calls.
struct edge_metric_sources
{
    const front_counters *front = nullptr;
    const crash_counters *crashes = nullptr;
    const server_owner_counters *orders = nullptr;
    const pool_counters *pool = nullptr;
    const fleet_counters *fleet = nullptr;
    const latency_histogram *loopLag = nullptr; ///< delay of the event loop's timers
    std::size_t active = 0; ///< requests in progress
    std::size_t callerConnections = 0;
    std::uint64_t callersClosedUnread = 0; ///< connections
    std::uint64_t linesDropped = 0; ///< by the log
    std::uint64_t configVersion = 0; ///< 0 if there is no configuration yet
    std::optional<millis> configConfirmedAt; ///< when the configuration was last confirmed to be the newest
    const quota_counters *quota = nullptr;
    const path_counters *paths = nullptr;
    bool cutOff = false; ///< from all backend servers
    const origin_counters *origins = nullptr;
    std::uint64_t handlersFailed = 0; ///< callbacks that ended with an exception
};

/// The metrics page in Prometheus text format. Latencies are given as quantiles since process start, with
/// their counts.
std::string metricsText(const edge_metric_sources &sources);

}
