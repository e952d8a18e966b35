#include "daemon/metrics.h"

#include <array>
#include <initializer_list>
#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1000;
/// Prometheus gets every second edge of the histograms' doublings: 1 ms, 4 ms ... 262 s.
constexpr std::size_t edgeStep = 2;

struct label
{
    std::string_view name;
    std::string_view value;
};

std::string escaped(std::string_view value)
{
    std::string out;
    for (const char each : value) {
        if (each == '\n') {
            out += "\\n";
            continue;
        }
        if (each == '\\' || each == '"') {
            out += '\\';
        }
        out += each;
    }
    return out;
}

std::string joined(std::initializer_list<label> labels)
{
    std::string out;
    for (const label &each : labels) {
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", each.name, escaped(each.value));
    }
    return out;
}

void writeHead(std::string &out, std::string_view name, std::string_view type, std::string_view help)
{
    fmt::format_to(
        std::back_inserter(out), "# HELP briarhead_{0} {2}\n# TYPE briarhead_{0} {1}\n", name, type, help);
}

template <class value>
void writeLine(std::string &out, std::string_view name, const std::string &labels, value number)
{
    if (labels.empty()) {
        fmt::format_to(std::back_inserter(out), "briarhead_{} {}\n", name, number);
    } else {
        fmt::format_to(std::back_inserter(out), "briarhead_{}{{{}}} {}\n", name, labels, number);
    }
}

void writeHistogram(
    std::string &out, std::string_view name, const std::string &labels, const latency_histogram &times)
{
    const std::string bucket = fmt::format("{}_bucket", name);
    const std::string separator = labels.empty() ? "" : ",";
    for (std::size_t doublings = 0; doublings <= latencyDoublings; doublings += edgeStep) {
        const double edge = minLatencyMs * static_cast<double>(1 << doublings) / msPerSecond;
        writeLine(
            out, bucket, fmt::format("{}{}le=\"{}\"", labels, separator, edge), countBelow(times, doublings));
    }
    const std::uint64_t count = countOf(times);
    writeLine(out, bucket, fmt::format("{}{}le=\"+Inf\"", labels, separator), count);
    writeLine(out, fmt::format("{}_sum", name), labels, times.sumMs / msPerSecond);
    writeLine(out, fmt::format("{}_count", name), labels, count);
}

void writeOutcomes(std::string &out, std::string_view kind,
    const std::array<std::array<std::uint64_t, errorKinds>, outcomes> &table)
{
    for (std::size_t result = 0; result < outcomes; ++result) {
        for (std::size_t why = 0; why < errorKinds; ++why) {
            if (table[result][why] == 0) {
                continue;
            }
            writeLine(out, "requests_total",
                joined({{"kind", kind}, {"outcome", nameOf(static_cast<outcome>(result))},
                    {"why", textOf(static_cast<error_kind>(why)).code}}),
                table[result][why]);
        }
    }
}

/// One latency of every kind of request; plain services have no tokens and no loads.
void writeLatency(std::string &out, const metrics &of, std::string_view name, std::string_view help,
    latency_histogram request_latencies::*member, bool services)
{
    writeHead(out, name, "histogram", help);
    for (std::size_t rank = 0; rank < priorities; ++rank) {
        writeHistogram(out, name,
            joined({{"kind", "adapter"}, {"priority", nameOf(static_cast<priority>(rank))}}),
            of.adapterLatencies[rank].*member);
    }
    if (services) {
        writeHistogram(out, name, joined({{"kind", "service"}}), of.serviceLatencies.*member);
    }
}

void writeLatencies(std::string &out, const metrics &of)
{
    writeLatency(
        out, of, "first_token_seconds", "Time to the first token.", &request_latencies::firstToken, false);
    writeLatency(out, of, "request_seconds", "Time to the whole answer.", &request_latencies::whole, true);
    writeLatency(out, of, "load_stall_seconds", "Time spent waiting for an adapter to be loaded.",
        &request_latencies::stall, false);
    writeLatency(
        out, of, "queue_seconds", "Time spent waiting in a queue.", &request_latencies::queued, true);
    writeLatency(out, of, "token_gap_seconds", "Mean time between two tokens of an answer.",
        &request_latencies::tokenGap, false);
}

void writeCallers(std::string &out, const metrics &of)
{
    writeHead(out, "caller_requests_total", "counter", "Requests by caller and outcome.");
    for (const auto &[name, caller] : of.callers) {
        for (std::size_t result = 0; result < outcomes; ++result) {
            writeLine(out, "caller_requests_total",
                joined({{"caller", name}, {"outcome", nameOf(static_cast<outcome>(result))}}),
                caller.byOutcome[result]);
        }
    }
    writeHead(out, "caller_tokens_total", "counter", "Tokens delivered by caller.");
    for (const auto &[name, caller] : of.callers) {
        writeLine(out, "caller_tokens_total", joined({{"caller", name}}), caller.tokens);
    }
    writeHead(out, "caller_request_seconds", "histogram", "Time to the whole answer, by caller.");
    for (const auto &[name, caller] : of.callers) {
        writeHistogram(out, "caller_request_seconds", joined({{"caller", name}}), caller.whole);
    }
}

void writeTargets(std::string &out, const metrics &of)
{
    writeHead(out, "target_requests_total", "counter", "Requests that count for a target.");
    for (const auto &[name, track] : of.targets) {
        writeLine(out, "target_requests_total", joined({{"target", name}}), track.all.total);
    }
    writeHead(out, "target_missed_total", "counter", "Requests that missed a target, by cause.");
    for (const auto &[name, track] : of.targets) {
        for (std::size_t i = 0; i < burnCauses; ++i) {
            writeLine(out, "target_missed_total",
                joined({{"target", name}, {"cause", nameOf(static_cast<burn_cause>(i))}}),
                track.all.byCause[i]);
        }
    }
}

void writeServers(std::string &out, const metrics &of)
{
    writeHead(
        out, "server_failures_total", "counter", "Requests that a backend server lost or let time out.");
    for (const auto &[name, count] : of.serverFailures) {
        writeLine(out, "server_failures_total", joined({{"server", name}}), count);
    }
}

void writeGauges(std::string &out, const metrics &of)
{
    for (const auto &[name, value] : of.gauges) {
        writeHead(out, name, "gauge", "Set by the daemon's tasks.");
        writeLine(out, name, {}, value);
    }
    for (const auto &[name, servers] : of.serverGauges) {
        writeHead(out, name, "gauge", "Set by the daemon's tasks, per backend server.");
        for (const auto &[server, value] : servers) {
            writeLine(out, name, joined({{"server", server}}), value);
        }
    }
}

}

std::string prometheusText(const metrics &of)
{
    std::string out;
    writeHead(out, "requests_total", "counter", "Requests by kind, outcome and reason.");
    writeOutcomes(out, "adapter", of.adapterRequests);
    writeOutcomes(out, "service", of.serviceRequests);
    writeLatencies(out, of);
    writeCallers(out, of);
    writeTargets(out, of);
    writeServers(out, of);
    writeGauges(out, of);
    return out;
}

}
