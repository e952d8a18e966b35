#pragma once

#include "coordination/crash_task.h"
#include "serving/fleet_port.h"
#include "serving/front_task.h"
#include "serving/server_owner_task.h"
#include "state/latency.h"
#include "transport/backend_pool.h"

#include <cstdint>
#include <optional>
#include <string>

namespace briarhead {

/// What a daemon tells at its metrics address, besides the store's calls.
struct edge_figures
{
    const front_counters *front = nullptr;
    const crash_counters *crashes = nullptr;
    const server_owner_counters *orders = nullptr;
    const pool_counters *pool = nullptr;
    const fleet_counters *fleet = nullptr;
    const latency_histogram *loopLag = nullptr; ///< by how much a timer of the loop fires late
    std::size_t active = 0; ///< requests
    std::size_t callerConnections = 0;
    std::uint64_t linesDropped = 0;
    std::uint64_t configVersion = 0; ///< 0: none
    std::optional<millis> configConfirmedAt; ///< when it was last known to be the newest
    const quota_counters *quota = nullptr;
};

/// In Prometheus' text format. Latencies as quantiles since the start, and their counts.
std::string metricsText(const edge_figures &figures);

}
