#include "daemon/process_stats.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace briarhead {

void exportPeerCounters(metrics &daemonMetrics, const peer_counters &counters)
{
    const auto set = [&daemonMetrics](const char *name, std::uint64_t value) {
        setGauge(daemonMetrics, name, static_cast<double>(value));
    };
    set("peer_datagrams_out", counters.datagramsOut);
    set("peer_datagrams_in", counters.datagramsIn);
    set("peer_datagram_bytes_out", counters.datagramBytesOut);
    set("peer_datagram_bytes_in", counters.datagramBytesIn);
    set("peer_frames_out", counters.framesOut);
    set("peer_frames_in", counters.framesIn);
    set("peer_frame_bytes_out", counters.frameBytesOut);
    set("peer_frame_bytes_in", counters.frameBytesIn);
    set("peer_control_bytes_out", counters.controlBytesOut);
    set("peer_control_bytes_in", counters.controlBytesIn);
    set("peer_dropped", counters.dropped);
}

void exportKvCounters(metrics &daemonMetrics, const kv_counters &counters)
{
    const auto set = [&daemonMetrics](const char *name, std::uint64_t value) {
        setGauge(daemonMetrics, name, static_cast<double>(value));
    };
    set("kv_reads", counters.reads);
    set("kv_writes", counters.writes);
    set("kv_lease_calls", counters.leaseCalls);
    set("kv_watches", counters.watches);
    set("kv_failed", counters.failed);
}

void exportServers(
    metrics &daemonMetrics, const std::vector<server_hint> &owned, std::set<std::string> &exported)
{
    std::set<std::string> ownedNames;
    for (const server_hint &hint : owned) {
        ownedNames.insert(hint.server);
        setServerGauge(daemonMetrics, "server_in_flight", hint.server, hint.inFlight);
        setServerGauge(daemonMetrics, "server_waiting", hint.server, hint.waiting);
        setServerGauge(daemonMetrics, "server_batch_limit", hint.server, hint.batchLimit);
        setServerGauge(daemonMetrics, "server_free_slots", hint.server, hint.freeSlots);
        setServerGauge(daemonMetrics, "server_closed", hint.server, hint.closed ? 1 : 0);
    }
    for (const std::string &name : exported) {
        if (ownedNames.count(name) == 0) {
            dropServerGauges(daemonMetrics, name);
        }
    }
    setGauge(daemonMetrics, "owned_servers", static_cast<double>(owned.size()));
    exported = std::move(ownedNames);
}

void exportProcess(metrics &daemonMetrics)
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    setGauge(daemonMetrics, "process_cpu_seconds", seconds(usage.ru_utime) + seconds(usage.ru_stime));
    std::ifstream statm("/proc/self/statm");
    std::uint64_t pages = 0;
    std::uint64_t resident = 0;
    if (statm >> pages >> resident) {
        setGauge(daemonMetrics, "process_resident_bytes",
            static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)));
    }
}

}
