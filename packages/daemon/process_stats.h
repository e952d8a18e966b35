#pragma once

#include "daemon/metrics.h"
#include "transport/kv_client.h"
#include "transport/peer_link.h"

#include <set>
#include <string>
#include <vector>

namespace briarhead {

/// Gauges of the daemon's own ports: datagrams, frames, and control bytes apart from requests.
void exportPeerCounters(metrics &into, const peer_counters &counters);

/// Gauges of the calls made to the key-value service, by kind.
void exportKvCounters(metrics &into, const kv_counters &counters);

/// Gauges of the servers that this daemon owns; those of servers in `exported` that it no longer owns are
/// dropped.
void exportServers(metrics &into, const std::vector<server_hint> &owned, std::set<std::string> &exported);

/// Processor time and resident memory of this process, from the system.
void exportProcess(metrics &into);

}
