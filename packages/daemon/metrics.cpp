#include "daemon/metrics.h"

#include "daemon/target_result.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::string_view sharedEntryName = "other";

template <class value>
void dropRemoved(std::map<std::string, value, std::less<>> &from, const auto &present)
{
    std::erase_if(from, [&present](const auto &entry) {
        return !present.contains(entry.first) && entry.first != sharedEntryName;
    });
}

/// The entry of a name, or the shared entry if the limit is reached.
template <class value>
value &boundedEntry(std::map<std::string, value, std::less<>> &in, const std::string &name, std::size_t limit)
{
    if (const auto found = in.find(name); found != in.end()) {
        return found->second;
    }
    return in[in.size() < limit ? name : std::string(sharedEntryName)];
}

caller_metrics &callerEntry(metrics &daemonMetrics, const std::string &name)
{
    // Names that are not configured come from requests, so their number is unbounded.
    const bool configured = daemonMetrics.knownCallers.contains(name);
    return boundedEntry(
        daemonMetrics.callers, configured ? name : std::string(sharedEntryName), maxMetricCallers);
}

void countOutcome(metrics &daemonMetrics, const request_record &request)
{
    auto &table = request.service ? daemonMetrics.serviceRequests : daemonMetrics.adapterRequests;
    ++table.at(static_cast<std::size_t>(request.result)).at(static_cast<std::size_t>(request.why));
}

void countCaller(metrics &daemonMetrics, const request_record &request)
{
    caller_metrics &caller = callerEntry(daemonMetrics, request.caller);
    ++caller.byOutcome.at(static_cast<std::size_t>(request.result));
    caller.tokens += request.tokens;
    if (request.result == outcome::Done) {
        record(caller.endToEnd, static_cast<double>(request.endToEnd.count));
    }
}

void countServer(metrics &daemonMetrics, const request_record &request)
{
    if (request.result == outcome::Done || request.server.empty()) {
        return;
    }
    if (request.why == error_kind::ConnectionLost || request.why == error_kind::Timeout) {
        ++boundedEntry(daemonMetrics.serverFailures, request.server, maxMetricServers);
    }
}

void recordLatencies(request_latencies &latencies, const request_record &request)
{
    if (request.tokens > 0) {
        record(latencies.firstToken, static_cast<double>(request.firstToken.count));
    }
    if (request.tokens > 1) {
        const auto streaming = static_cast<double>((request.endToEnd - request.firstToken).count);
        record(latencies.tokenGap, streaming / (request.tokens - 1));
    }
    if (request.result == outcome::Done) {
        record(latencies.endToEnd, static_cast<double>(request.endToEnd.count));
    }
    record(latencies.stall, static_cast<double>(request.stall.count));
    record(latencies.queued, static_cast<double>(request.queued.count));
}

void countTargets(
    metrics &daemonMetrics, const request_record &request, const config &configuration, millis now)
{
    for (auto &[name, track] : daemonMetrics.targets) {
        const auto target = configuration.targets.find(name);
        if (target == configuration.targets.end() || !appliesTo(target->second, configuration, request)) {
            continue;
        }
        if (const auto targetResult = evaluate(target->second, request)) {
            add(track, request, *targetResult, now);
        }
    }
}

}

void followConfig(metrics &daemonMetrics, const config &configuration, millis now)
{
    // A request that was admitted under an older version must not restore callers or targets removed since.
    if (daemonMetrics.hasConfig && configuration.version <= daemonMetrics.configVersion) {
        return;
    }
    daemonMetrics.hasConfig = true;
    daemonMetrics.configVersion = configuration.version;
    daemonMetrics.knownCallers = configuration.callers;
    dropRemoved(daemonMetrics.callers, configuration.callers);
    dropRemoved(daemonMetrics.targets, configuration.targets);
    for (const auto &[name, target] : configuration.targets) {
        if (daemonMetrics.targets.size() < maxMetricTargets && !daemonMetrics.targets.contains(name)) {
            daemonMetrics.targets[name].since = now;
        }
    }
}

void observe(metrics &daemonMetrics, const request_record &request, const config &configuration, millis now)
{
    followConfig(daemonMetrics, configuration, now);
    countOutcome(daemonMetrics, request);
    countCaller(daemonMetrics, request);
    countServer(daemonMetrics, request);
    recordLatencies(request.service
            ? daemonMetrics.serviceLatencies
            : daemonMetrics.adapterLatencies.at(static_cast<std::size_t>(request.rank)),
        request);
    countTargets(daemonMetrics, request, configuration, now);
}

void setGauge(metrics &daemonMetrics, std::string_view name, double value)
{
    const auto found = daemonMetrics.gauges.find(name);
    if (found != daemonMetrics.gauges.end()) {
        found->second = value;
    } else if (daemonMetrics.gauges.size() < maxGauges) {
        daemonMetrics.gauges.emplace(name, value);
    }
}

void setServerGauge(metrics &daemonMetrics, std::string_view name, std::string_view server, double value)
{
    auto &servers = daemonMetrics.serverGauges[std::string(name)];
    const auto found = servers.find(server);
    if (found != servers.end()) {
        found->second = value;
    } else if (servers.size() < maxGauges) {
        servers.emplace(server, value);
    }
}

void dropServerGauges(metrics &daemonMetrics, std::string_view server)
{
    for (auto &[name, servers] : daemonMetrics.serverGauges) {
        if (const auto found = servers.find(server); found != servers.end()) {
            servers.erase(found);
        }
    }
}

std::string burnJson(const metrics &daemonMetrics, const config &configuration, millis now)
{
    burn_report report;
    report.configVersion = configuration.version;
    report.answered = 1;
    report.known = 1;
    for (const auto &[name, target] : configuration.targets) {
        const auto track = daemonMetrics.targets.find(name);
        report.targets.push_back(
            describe(name, target, track == daemonMetrics.targets.end() ? nullptr : &track->second, now));
    }
    return toJson(report);
}

}
