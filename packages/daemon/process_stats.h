#pragma once

#include "daemon/metrics.h"
#include "transport/kv_client.h"
#include "transport/peer_link.h"

#include <set>
#include <string>
#include <vector>

namespace briarhead {

/// Sets the gauges of traffic with peers: datagrams, frames, and control bytes, which exclude requests.
void exportPeerCounters(metrics &daemonMetrics, const peer_counters &counters);

/// Sets the gauges of calls to the key-value store, by kind.
void exportKvCounters(metrics &daemonMetrics, const kv_counters &counters);

/// Sets the gauges of the servers that this daemon owns, and removes those of servers in `exported` that it
/// no longer owns. `exported` is then set to the owned servers.
void exportServers(
    metrics &daemonMetrics, const std::vector<server_hint> &owned, std::set<std::string> &exported);

/// Sets the gauges of CPU time and resident memory of this process.
void exportProcess(metrics &daemonMetrics);

}
