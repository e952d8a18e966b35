#pragma once

#include "daemon/metrics.h"
#include "transport/kv_client.h"
#include "transport/peer_link.h"

namespace briarhead {

/// Gauges of the daemon's own ports: datagrams, frames, and control bytes apart from requests.
void exportPeerCounters(metrics &into, const peer_counters &counters);

/// Gauges of the calls made to the key-value service, by kind.
void exportKvCounters(metrics &into, const kv_counters &counters);

/// Processor time and resident memory of this process, from the system.
void exportProcess(metrics &into);

}
