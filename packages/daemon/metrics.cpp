#include "daemon/metrics.h"

#include "daemon/judgement.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::string_view otherName = "other";

template <class value>
void dropGone(std::map<std::string, value, std::less<>> &from, const auto &present)
{
    std::erase_if(from, [&present](const auto &entry) {
        return !present.contains(entry.first) && entry.first != otherName;
    });
}

/// The entry of a name, or the shared one of all names past the bound.
template <class value>
value &boundedEntry(std::map<std::string, value, std::less<>> &in, const std::string &name, std::size_t limit)
{
    if (const auto found = in.find(name); found != in.end()) {
        return found->second;
    }
    return in[in.size() < limit ? name : std::string(otherName)];
}

caller_metrics &callerEntry(metrics &into, const std::string &name)
{
    // Names that are not configured come from outside and could be without number.
    const bool configured = into.configured.contains(name);
    return boundedEntry(into.callers, configured ? name : std::string(otherName), maxMetricCallers);
}

void countOutcome(metrics &into, const request_record &request)
{
    auto &table = request.service ? into.serviceRequests : into.adapterRequests;
    ++table.at(static_cast<std::size_t>(request.result)).at(static_cast<std::size_t>(request.why));
}

void countCaller(metrics &into, const request_record &request)
{
    caller_metrics &caller = callerEntry(into, request.caller);
    ++caller.byOutcome.at(static_cast<std::size_t>(request.result));
    caller.tokens += request.tokens;
    if (request.result == outcome::Done) {
        record(caller.whole, static_cast<double>(request.whole.count));
    }
}

void countServer(metrics &into, const request_record &request)
{
    if (request.result == outcome::Done || request.server.empty()) {
        return;
    }
    if (request.why == error_kind::ConnectionLost || request.why == error_kind::Timeout) {
        ++boundedEntry(into.serverFailures, request.server, maxMetricServers);
    }
}

void recordLatencies(request_latencies &into, const request_record &request)
{
    if (request.tokens > 0) {
        record(into.firstToken, static_cast<double>(request.firstToken.count));
    }
    if (request.tokens > 1) {
        const auto streaming = static_cast<double>((request.whole - request.firstToken).count);
        record(into.tokenGap, streaming / (request.tokens - 1));
    }
    if (request.result == outcome::Done) {
        record(into.whole, static_cast<double>(request.whole.count));
    }
    record(into.stall, static_cast<double>(request.stall.count));
    record(into.queued, static_cast<double>(request.queued.count));
}

void countTargets(metrics &into, const request_record &request, const config &at, millis now)
{
    for (auto &[name, track] : into.targets) {
        const auto target = at.targets.find(name);
        if (target == at.targets.end() || !concerns(target->second, at, request)) {
            continue;
        }
        if (const auto verdict = judge(target->second, request)) {
            add(track, request, *verdict, now);
        }
    }
}

}

void followConfig(metrics &into, const config &at, millis now)
{
    // A request that was admitted under an older version must not bring back what was removed since.
    if (into.following && at.version <= into.configVersion) {
        return;
    }
    into.following = true;
    into.configVersion = at.version;
    into.configured = at.callers;
    dropGone(into.callers, at.callers);
    dropGone(into.targets, at.targets);
    for (const auto &[name, target] : at.targets) {
        if (into.targets.size() < maxMetricTargets && !into.targets.contains(name)) {
            into.targets[name].since = now;
        }
    }
}

void observe(metrics &into, const request_record &request, const config &at, millis now)
{
    followConfig(into, at, now);
    countOutcome(into, request);
    countCaller(into, request);
    countServer(into, request);
    recordLatencies(request.service ? into.serviceLatencies
                                    : into.adapterLatencies.at(static_cast<std::size_t>(request.rank)),
        request);
    countTargets(into, request, at, now);
}

void setGauge(metrics &into, std::string_view name, double value)
{
    const auto found = into.gauges.find(name);
    if (found != into.gauges.end()) {
        found->second = value;
    } else if (into.gauges.size() < maxGauges) {
        into.gauges.emplace(name, value);
    }
}

void setServerGauge(metrics &into, std::string_view name, std::string_view server, double value)
{
    auto &servers = into.serverGauges[std::string(name)];
    const auto found = servers.find(server);
    if (found != servers.end()) {
        found->second = value;
    } else if (servers.size() < maxGauges) {
        servers.emplace(server, value);
    }
}

void dropServerGauges(metrics &into, std::string_view server)
{
    for (auto &[name, servers] : into.serverGauges) {
        if (const auto found = servers.find(server); found != servers.end()) {
            servers.erase(found);
        }
    }
}

std::string burnJson(const metrics &of, const config &at, millis now)
{
    burn_report report;
    report.configVersion = at.version;
    report.answered = 1;
    report.known = 1;
    for (const auto &[name, target] : at.targets) {
        const auto track = of.targets.find(name);
        report.targets.push_back(
            describe(name, target, track == of.targets.end() ? nullptr : &track->second, now));
    }
    return toJson(report);
}

}
