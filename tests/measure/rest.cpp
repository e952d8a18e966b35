// The cases of a fleet at rest, of patches and of losses.
#include "measure/cases.h"
#include "transport/kv_client.h"

#include <algorithm>
#include <set>

namespace briarhead::testing {

namespace {

constexpr double ipUdpHeaderBytes = 28;
constexpr double bytesPerMegabyte = 1e6;
constexpr int startBoundMs = 120'000;
constexpr double lossSeconds = 33;
constexpr double firstSeconds = 30;
/// Longer than a lease, so that every session has to be opened anew.
constexpr double outageSeconds = 20;
constexpr double recoverySeconds = 20;
constexpr std::size_t patchCount = 10;
constexpr double patchTailSeconds = 10;
constexpr int patchBoundMs = 20'000;

using names = std::vector<std::string>;

const names kvGauges{"kv_reads", "kv_writes", "kv_lease_calls", "kv_watches"};

spread plus(spread a, spread b, double factor)
{
    return {a.mean + factor * b.mean, a.most + factor * b.most};
}

/// Bytes a second that a daemon sends to, or gets from, other daemons for control.
spread controlBytes(const readings &before, const readings &after, const std::string &direction)
{
    const spread bytes =
        ratesOf(before, after, {"peer_datagram_bytes_" + direction, "peer_control_bytes_" + direction});
    return plus(bytes, ratesOf(before, after, {"peer_datagrams_" + direction}), ipUdpHeaderBytes);
}

spread cpuPercent(const readings &before, const readings &after)
{
    const spread share = ratesOf(before, after, {"process_cpu_seconds"});
    return {share.mean * 100, share.most * 100};
}

spread residentMegabytes(const readings &now)
{
    std::vector<double> sizes;
    for (const auto &[daemon, each] : now) {
        sizes.push_back(each.of("process_resident_bytes") / bytesPerMegabyte);
    }
    return spreadOf(sizes);
}

void printKv(
    const std::string &when, std::size_t daemons, const json &before, const json &after, double seconds)
{
    for (const char *kind : {"range", "txn", "grant", "keepalive", "watch_created"}) {
        const double grown = after.value(kind, 0.0) - before.value(kind, 0.0);
        printRow(when, daemons, std::string("kv stand-in: ") + kind + ", 1/s", grown / seconds);
    }
    printRow(when, daemons, "kv stand-in: watches that wait", after.value("watch_open", 0.0));
}

void printRest(const fleet &of, const readings &before, const readings &after)
{
    const auto show = [&](const std::string &figure, spread value) {
        printRow("rest", of.size(), figure, value);
    };
    show("datagrams out, 1/s", ratesOf(before, after, {"peer_datagrams_out"}));
    show("datagrams in, 1/s", ratesOf(before, after, {"peer_datagrams_in"}));
    show("control out to daemons, B/s", controlBytes(before, after, "out"));
    show("control in from daemons, B/s", controlBytes(before, after, "in"));
    show("of it TCP control frames out, B/s", ratesOf(before, after, {"peer_control_bytes_out"}));
    show("kv calls by the daemon's count, 1/s", ratesOf(before, after, kvGauges));
    show("processor, % of a core", cpuPercent(before, after));
    show("resident, MB", residentMegabytes(after));
}

std::set<std::string> namesOf(const fleet &of, const std::vector<std::size_t> &daemons)
{
    std::set<std::string> all;
    for (const std::size_t daemon : daemons) {
        all.insert(of.name(daemon));
    }
    return all;
}

/// Seconds after `sinceMs` until each running daemon's log says that all of the lost are dead.
spread detectionSeconds(const fleet &of, const std::set<std::string> &lost, std::int64_t sinceMs)
{
    std::vector<double> seconds;
    for (std::size_t i = 0; i < of.size(); ++i) {
        if (of.pid(i) == 0) {
            continue;
        }
        std::map<std::string, std::int64_t> deadAt;
        for (const log_line &line : linesWith(of, i, " is dead.", sinceMs)) {
            const auto from = line.text.find("members: ") + std::string("members: ").size();
            deadAt.emplace(line.text.substr(from, line.text.find(" is dead.") - from), line.wallMs);
        }
        std::int64_t last = 0;
        bool all = true;
        for (const std::string &name : lost) {
            all = all && deadAt.contains(name);
            last = all ? std::max(last, deadAt[name]) : last;
        }
        seconds.push_back(all ? static_cast<double>(last - sinceMs) / 1e3 : lossSeconds);
    }
    return spreadOf(seconds);
}

struct busiest
{
    double calls = 0;
    double writes = 0;
};

double kvWrites(const json &record)
{
    return record.value("txn", 0.0) + record.value("grant", 0.0);
}

/// The busiest seconds of the key-value stand-in from now on.
busiest watchCalls(const fleet &of, json last, double seconds)
{
    busiest most;
    const double began = monotonicSeconds();
    for (double second = 1; second <= seconds; ++second) {
        pauseUntil(began + second);
        const json now = kvRecord(of);
        most.calls = std::max(most.calls, kvCalls(now) - kvCalls(last));
        most.writes = std::max(most.writes, kvWrites(now) - kvWrites(last));
        last = now;
    }
    return most;
}

/// Which servers the lost daemons owned, with whether they check fencing.
std::map<std::string, bool> orphansOf(const json &servers, const std::set<std::string> &lost)
{
    std::map<std::string, bool> orphans;
    for (const json &server : servers) {
        if (lost.contains(server.value("owner", ""))) {
            orphans[server.value("name", "")] = server.value("checks_fencing", false);
        }
    }
    return orphans;
}

void printTakeOver(const fleet &of, const std::string &when, const std::map<std::string, bool> &orphans,
    std::int64_t sinceMs)
{
    std::map<std::string, std::int64_t> takenAt;
    for (std::size_t i = 0; i < of.size(); ++i) {
        for (const log_line &line : linesWith(of, i, " is ours, epoch", sinceMs)) {
            const auto from = line.text.find("ownership: ") + std::string("ownership: ").size();
            takenAt.emplace(line.text.substr(from, line.text.find(" is ours") - from), line.wallMs);
        }
    }
    for (const bool checks : {true, false}) {
        std::vector<double> seconds;
        std::size_t left = 0;
        for (const auto &[server, checksFencing] : orphans) {
            if (checksFencing == checks && takenAt.contains(server)) {
                seconds.push_back(static_cast<double>(takenAt[server] - sinceMs) / 1e3);
            }
            left += checksFencing == checks && !takenAt.contains(server) ? 1 : 0;
        }
        const std::string kind = checks ? "orphans that check fencing" : "orphans that don't check fencing";
        printRow(when, of.size(), kind, static_cast<double>(seconds.size() + left));
        printRow(when, of.size(), kind + ": owned again after, s", spreadOf(seconds));
        printRow(when, of.size(), kind + ": not owned at the end", static_cast<double>(left));
    }
}

}

fleet_options productionFleet(std::size_t daemons, std::size_t servers, std::uint16_t firstPort)
{
    fleet_options options;
    options.daemons = daemons;
    options.firstPort = firstPort;
    options.startBoundMs = startBoundMs;
    options.leaseTtlMs = 10'000;
    options.settings = {{"probe_interval_ms", 500}, {"live_list_interval_ms", 2'000}};
    const json engine{{"failure_domain", options.domains}, {"region", "r"}, {"base_model", "base"},
        {"slots", 32}, {"batch_limit", 64}, {"step_ms", 1}, {"report_lag_ms", 1'000}};
    for (const bool checks : {true, false}) {
        json group = engine;
        group["name"] = checks ? "checking-" : "plain-";
        group["count"] = checks ? (servers + 1) / 2 : servers / 2;
        group["checks_fencing"] = checks;
        options.engines.push_back(group);
    }
    return options;
}

void measureRest(const std::vector<const fleet *> &fleets, double seconds)
{
    std::vector<readings> before;
    std::vector<json> records;
    for (const fleet *one : fleets) {
        before.push_back(readAll(*one));
        records.push_back(kvRecord(*one));
    }
    pauseUntil(monotonicSeconds() + seconds);
    for (std::size_t i = 0; i < fleets.size(); ++i) {
        const readings after = readAll(*fleets[i]);
        const double passed = after.begin()->second.at - before[i].begin()->second.at;
        printRest(*fleets[i], before[i], after);
        printKv("rest", fleets[i]->size(), records[i], kvRecord(*fleets[i]), passed);
    }
}

void measureLoopback(const fleet &of, double seconds)
{
    const readings before = readAll(of);
    const json record = kvRecord(of);
    // Between the scrapes, whose own bytes would else count.
    const loopback_traffic start = loopbackTraffic();
    const double began = monotonicSeconds();
    pauseUntil(began + seconds);
    const loopback_traffic end = loopbackTraffic();
    const double passed = monotonicSeconds() - began;
    const double perDaemon = passed * static_cast<double>(of.size());
    const readings after = readAll(of);
    printRest(of, before, after);
    printKv("rest", of.size(), record, kvRecord(of), passed);
    const double all = (end.bytes - start.bytes) / perDaemon;
    printRow("rest alone", of.size(), "all bytes on the loopback per daemon, B/s", all);
    printRow("rest alone", of.size(), "of it HTTP with stand-ins, both ways, with TCP's own, B/s",
        all - controlBytes(before, after, "out").mean);
    printRow("rest alone", of.size(), "packets on the loopback per daemon, 1/s",
        (end.packets - start.packets) / perDaemon);
}

void measureHead(const fleet &of, const std::string &when)
{
    const json body{{"key", detail::toBase64("briarhead/config/head")}};
    const std::string port = std::to_string(of.ports()["kv"].get<int>());
    const answer got = call("POST", "http://127.0.0.1:" + port + "/v3/kv/range", body.dump());
    printRow(
        when, of.size(), "an answer with the configuration's head, B", static_cast<double>(got.body.size()));
}

void measurePatches(const fleet &of)
{
    measureHead(of, "patch, before");
    const readings idle = readAll(of);
    pauseUntil(monotonicSeconds() + patchTailSeconds);
    const readings before = readAll(of);
    const json record = kvRecord(of);
    std::vector<double> seconds;
    for (std::size_t i = 0; i < patchCount; ++i) {
        const json set{{"adapters", {{"a1", {{"base_model", "base"}, {"active", 1}, {"versions", {1, 2}}}}}}};
        const std::int64_t sent = wallMs();
        const std::uint64_t next = i + 2;
        const answer done = of.patch(set, next - 1, 0, "change-" + std::to_string(i));
        if (done.status != 200) {
            printRow("patch", of.size(), "refused with status", done.status);
            return;
        }
        const std::string line = "version " + std::to_string(next) + " is in force";
        std::size_t daemon = 0;
        std::int64_t last = sent;
        eventually(
            [&] {
                for (; daemon < of.size(); ++daemon) {
                    const auto found = linesWith(of, daemon, line, sent);
                    if (found.empty() && of.pid(daemon) != 0) {
                        return false;
                    }
                    last = found.empty() ? last : std::max(last, found.front().wallMs);
                }
                return true;
            },
            patchBoundMs);
        seconds.push_back(static_cast<double>(last - sent) / 1e3);
    }
    printRow("patch", of.size(), "in force everywhere after, s", spreadOf(seconds));
    measureHead(of, "patch, ten later");
    pauseUntil(monotonicSeconds() + patchTailSeconds);
    const readings after = readAll(of);
    const double took = after.at(0).at - before.at(0).at;
    const double perPatch = took / static_cast<double>(patchCount);
    const auto grown = [&](const auto &of2) {
        const spread rest = of2(idle, before);
        const spread busy = of2(before, after);
        return spread{(busy.mean - rest.mean) * perPatch, (busy.most - rest.mean) * perPatch};
    };
    printRow("patch", of.size(), "processor a patch above rest, ms", grown([](const auto &a, const auto &b) {
        const spread percent = cpuPercent(a, b);
        return spread{percent.mean * 10, percent.most * 10};
    }));
    printRow("patch", of.size(), "control out a patch above rest, B", grown([](const auto &a, const auto &b) {
        return controlBytes(a, b, "out");
    }));
    // Reads are left out: the polls of rest come in bursts that are larger than what a patch adds.
    printRow("patch", of.size(), "kv writes a patch, whole fleet",
        (kvWrites(kvRecord(of)) - kvWrites(record)) / static_cast<double>(patchCount));
}

void measureOutage(const fleet &of)
{
    of.kvFaults({{"down", "refuse"}});
    const double began = monotonicSeconds();
    pauseUntil(began + outageSeconds);
    of.kvFaults({{"down", false}});
    const json record = kvRecord(of);
    const busiest most = watchCalls(of, record, recoverySeconds);
    const std::string when = "kv service out for 20 s";
    printRow(when, of.size(), "kv calls in the busiest second after it", most.calls);
    printRow(when, of.size(), "kv writes (txn and grant) in the busiest second after it", most.writes);
    printKv(when + ", 20 s after", of.size(), record, kvRecord(of), recoverySeconds);
}

void measureLoss(fleet &of, const std::vector<std::size_t> &lost, const std::string &when)
{
    const std::set<std::string> gone = namesOf(of, lost);
    const auto orphans = orphansOf(of.servers(1), gone);
    const readings before = readAll(of);
    const json record = kvRecord(of);
    const std::int64_t since = wallMs();
    for (const std::size_t daemon : lost) {
        of.kill(daemon);
    }
    const busiest first = watchCalls(of, record, firstSeconds);
    const json atFirst = kvRecord(of);
    const busiest rest = watchCalls(of, atFirst, lossSeconds - firstSeconds);
    const readings after = readAll(of);
    printRow(when, of.size(), "daemons lost", static_cast<double>(lost.size()));
    printRow(when, of.size(), "dead to each peer after, s", detectionSeconds(of, gone, since));
    printTakeOver(of, when, orphans, since);
    printKv(when + ", first 30 s", of.size(), record, atFirst, firstSeconds);
    printRow(when, of.size(), "kv calls in the busiest second", std::max(first.calls, rest.calls));
    printRow(when, of.size(), "kv writes in the busiest second", std::max(first.writes, rest.writes));
    printRow(when, of.size(), "control out, B/s over 33 s", controlBytes(before, after, "out"));
    printRow(when, of.size(), "processor over 33 s, % of a core", cpuPercent(before, after));
}

}
