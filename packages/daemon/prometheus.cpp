#include "daemon/metrics.h"

#include <array>
#include <initializer_list>
#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1000;
/// Every second bucket boundary of the histograms is exported: 1 ms, 4 ms ... 262 s.
constexpr std::size_t boundaryStep = 2;

struct label
{
    std::string_view name;
    std::string_view value;
};

std::string escapeLabelValue(std::string_view value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string formatLabels(std::initializer_list<label> labels)
{
    std::string out;
    for (const label &entry : labels) {
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", entry.name, escapeLabelValue(entry.value));
    }
    return out;
}

void writeHeader(std::string &out, std::string_view name, std::string_view type, std::string_view help)
{
    fmt::format_to(
        std::back_inserter(out), "# HELP briarhead_{0} {2}\n# TYPE briarhead_{0} {1}\n", name, type, help);
}

template <class value>
void writeSample(std::string &out, std::string_view name, const std::string &labels, value number)
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
    for (std::size_t doublings = 0; doublings <= latencyDoublings; doublings += boundaryStep) {
        const double boundary = minLatencyMs * static_cast<double>(1 << doublings) / msPerSecond;
        writeSample(out, bucket, fmt::format("{}{}le=\"{}\"", labels, separator, boundary),
            countBelow(times, doublings));
    }
    const std::uint64_t count = countOf(times);
    writeSample(out, bucket, fmt::format("{}{}le=\"+Inf\"", labels, separator), count);
    writeSample(out, fmt::format("{}_sum", name), labels, times.sumMs / msPerSecond);
    writeSample(out, fmt::format("{}_count", name), labels, count);
}

void writeOutcomes(std::string &out, std::string_view kind,
    const std::array<std::array<std::uint64_t, errorKinds>, outcomes> &table)
{
    for (std::size_t result = 0; result < outcomes; ++result) {
        for (std::size_t why = 0; why < errorKinds; ++why) {
            if (table[result][why] == 0) {
                continue;
            }
            writeSample(out, "requests_total",
                formatLabels({{"kind", kind}, {"outcome", nameOf(static_cast<outcome>(result))},
                    {"why", textOf(static_cast<error_kind>(why)).code}}),
                table[result][why]);
        }
    }
}

/// Writes one latency for every kind of request. `withServices` is false for latencies that plain services
/// don't have: they have no tokens and no adapter loads.
void writeLatency(std::string &out, const metrics &daemonMetrics, std::string_view name,
    std::string_view help, latency_histogram request_latencies::*member, bool withServices)
{
    writeHeader(out, name, "histogram", help);
    for (std::size_t rank = 0; rank < priorities; ++rank) {
        writeHistogram(out, name,
            formatLabels({{"kind", "adapter"}, {"priority", nameOf(static_cast<priority>(rank))}}),
            daemonMetrics.adapterLatencies[rank].*member);
    }
    if (withServices) {
        writeHistogram(
            out, name, formatLabels({{"kind", "service"}}), daemonMetrics.serviceLatencies.*member);
    }
}

void writeLatencies(std::string &out, const metrics &daemonMetrics)
{
    writeLatency(out, daemonMetrics, "first_token_seconds", "Time to the first token.",
        &request_latencies::firstToken, false);
    writeLatency(out, daemonMetrics, "request_seconds", "Time to the whole answer.",
        &request_latencies::endToEnd, true);
    writeLatency(out, daemonMetrics, "load_stall_seconds", "Time spent waiting for an adapter to be loaded.",
        &request_latencies::stall, false);
    writeLatency(out, daemonMetrics, "queue_seconds", "Time spent waiting in a queue.",
        &request_latencies::queued, true);
    writeLatency(out, daemonMetrics, "token_gap_seconds", "Mean time between two tokens of an answer.",
        &request_latencies::tokenGap, false);
}

void writeCallers(std::string &out, const metrics &daemonMetrics)
{
    writeHeader(out, "caller_requests_total", "counter", "Requests by caller and outcome.");
    for (const auto &[name, caller] : daemonMetrics.callers) {
        for (std::size_t result = 0; result < outcomes; ++result) {
            writeSample(out, "caller_requests_total",
                formatLabels({{"caller", name}, {"outcome", nameOf(static_cast<outcome>(result))}}),
                caller.byOutcome[result]);
        }
    }
    writeHeader(out, "caller_tokens_total", "counter", "Tokens delivered by caller.");
    for (const auto &[name, caller] : daemonMetrics.callers) {
        writeSample(out, "caller_tokens_total", formatLabels({{"caller", name}}), caller.tokens);
    }
    writeHeader(out, "caller_request_seconds", "histogram", "Time to the whole answer, by caller.");
    for (const auto &[name, caller] : daemonMetrics.callers) {
        writeHistogram(out, "caller_request_seconds", formatLabels({{"caller", name}}), caller.endToEnd);
    }
}

void writeTargets(std::string &out, const metrics &daemonMetrics)
{
    writeHeader(out, "target_requests_total", "counter", "Requests that count for a target.");
    for (const auto &[name, track] : daemonMetrics.targets) {
        writeSample(out, "target_requests_total", formatLabels({{"target", name}}), track.all.total);
    }
    writeHeader(out, "target_missed_total", "counter", "Requests that missed a target, by cause.");
    for (const auto &[name, track] : daemonMetrics.targets) {
        for (std::size_t i = 0; i < burnCauses; ++i) {
            writeSample(out, "target_missed_total",
                formatLabels({{"target", name}, {"cause", nameOf(static_cast<burn_cause>(i))}}),
                track.all.byCause[i]);
        }
    }
}

void writeServers(std::string &out, const metrics &daemonMetrics)
{
    writeHeader(
        out, "server_failures_total", "counter", "Requests that a backend server lost or let time out.");
    for (const auto &[name, count] : daemonMetrics.serverFailures) {
        writeSample(out, "server_failures_total", formatLabels({{"server", name}}), count);
    }
}

void writeGauges(std::string &out, const metrics &daemonMetrics)
{
    for (const auto &[name, value] : daemonMetrics.gauges) {
        writeHeader(out, name, "gauge", "Set by the daemon's tasks.");
        writeSample(out, name, {}, value);
    }
    for (const auto &[name, servers] : daemonMetrics.serverGauges) {
        writeHeader(out, name, "gauge", "Set by the daemon's tasks, per backend server.");
        for (const auto &[server, value] : servers) {
            writeSample(out, name, formatLabels({{"server", server}}), value);
        }
    }
}

}

std::string prometheusText(const metrics &daemonMetrics)
{
    std::string out;
    writeHeader(out, "requests_total", "counter", "Requests by kind, outcome and reason.");
    writeOutcomes(out, "adapter", daemonMetrics.adapterRequests);
    writeOutcomes(out, "service", daemonMetrics.serviceRequests);
    writeLatencies(out, daemonMetrics);
    writeCallers(out, daemonMetrics);
    writeTargets(out, daemonMetrics);
    writeServers(out, daemonMetrics);
    writeGauges(out, daemonMetrics);
    return out;
}

}
