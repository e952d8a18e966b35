#include "scheduling/choose_plain_server.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace briarhead {

namespace {

/// Requests in flight from all daemons, as a fraction of the server's slots.
double totalLoad(const plain_candidate &server)
{
    return (server.inFlight + server.othersInFlight) / std::max(server.slots, 1);
}

/// Whether the request would exceed its latency target behind a stalled server.
bool isHeldUp(const plain_candidate &server, const plain_request &request)
{
    return request.targetLeft && server.stalledMs > 0
        && static_cast<double>(request.targetLeft->count) < stallUncertainty * server.stalledMs;
}

/// Whether the server has a slot for the request at once.
bool isFree(const plain_candidate &server, const plain_request &request)
{
    return !server.excluded && server.inFlight < std::max(server.slots, 1)
        && server.failureRate < maxUsableFailureRate && totalLoad(server) < 1 && !isHeldUp(server, request);
}

/// Whether this request is among those that avoid an overloaded server. The decision is by the hash of
/// request and server, so that a retry decides as the first attempt did.
bool avoidsOverload(const plain_candidate &server)
{
    const double load = totalLoad(server);
    if (load <= highPlainLoad) {
        return false;
    }
    const double share = std::min(1 - highPlainLoad / load, maxAvoidingShare);
    return static_cast<double>(server.tieBreak)
        < share * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}

std::optional<std::size_t> choosePlainServer(
    const std::vector<plain_candidate> &servers, const plain_request &request)
{
    const bool anyFree =
        std::any_of(servers.begin(), servers.end(), [&request](const plain_candidate &server) {
            return isFree(server, request);
        });
    const bool anyLow =
        std::any_of(servers.begin(), servers.end(), [&request](const plain_candidate &server) {
            return isFree(server, request) && totalLoad(server) <= highPlainLoad;
        });
    // A server that holds up the request comes last, then the load decides, then the connection that expires
    // first, so that it remains in use.
    using key = std::tuple<bool, double, std::int64_t, std::uint64_t>;
    std::optional<std::size_t> best;
    key bestKey;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const plain_candidate &server = servers[i];
        if (server.excluded) {
            continue;
        }
        const double load = static_cast<double>(server.inFlight) / std::max(server.slots, 1)
            + ((request.keepsConnections ? i == 0 : server.sameDomain) ? 0 : crossDomainLoad)
            + failureLoad * server.failureRate + (server.limited ? limitedLoad + server.permitWait : 0)
            + (anyLow && avoidsOverload(server) ? overloadLoad : 0)
            + (request.keepsConnections && !server.reusableFor ? newConnectionLoad : 0);
        const key own{anyFree && isHeldUp(server, request), load,
            request.keepsConnections && server.reusableFor ? server.reusableFor->count : 0,
            request.keepsConnections ? i : server.tieBreak};
        if (!best || own < bestKey) {
            best = i;
            bestKey = own;
        }
    }
    return best;
}

std::optional<std::size_t> chooseFromSubset(
    const std::vector<plain_candidate> &order, std::size_t width, const plain_request &request)
{
    std::vector<subset_server> servers;
    servers.reserve(order.size());
    for (const plain_candidate &each : order) {
        servers.push_back({!each.excluded && each.failureRate < maxUsableFailureRate,
            std::max(predictedWaitMs(each), each.stalledMs)});
    }
    const std::size_t count = widenedSubset(servers, width, request.targetMs);
    return choosePlainServer({order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count)}, request);
}

double predictedWaitMs(const plain_candidate &server)
{
    const double slots = std::max(server.slots, 1);
    return std::max(server.inFlight + server.othersInFlight + 1 - slots, 0.0) / slots * server.usualMs;
}

void recordPlainSend(plain_latency &latency, millis now)
{
    latency.outstanding.insert(now.count);
}

void recordPlainEnd(plain_latency &latency, millis sentAt, bool answered, millis now)
{
    if (const auto found = latency.outstanding.find(sentAt.count); found != latency.outstanding.end()) {
        latency.outstanding.erase(found);
    }
    if (!answered) {
        return;
    }
    double sample = static_cast<double>((now - sentAt).count);
    const double limit = stallLimitMs(latency);
    if (limit > 0 && sample > limit) {
        latency.slowMs = sample;
        latency.slowAt = now;
        sample = limit; // a stall must not make itself usual
    } else {
        latency.slowMs = 0;
    }
    ++latency.samples;
    const double weight = std::max(plainLatencySampleWeight, 1 / static_cast<double>(latency.samples));
    const double deviation = std::abs(sample - latency.meanMs);
    latency.meanMs += weight * (sample - latency.meanMs);
    latency.deviationMs += latency.samples == 1 ? 0 : weight * (deviation - latency.deviationMs);
}

double stallLimitMs(const plain_latency &latency)
{
    if (latency.samples < minLatencySamples) {
        return 0;
    }
    return latency.meanMs
        + std::max({minStallExcess * latency.meanMs, stallDeviations * latency.deviationMs, minStallMs});
}

double stalledMs(const plain_latency &latency, millis now)
{
    const double limit = stallLimitMs(latency);
    if (limit <= 0) {
        return 0;
    }
    const double oldest =
        latency.outstanding.empty() ? 0 : static_cast<double>(now.count - *latency.outstanding.begin());
    const double remembered = now - latency.slowAt <= stallMemory ? latency.slowMs : 0;
    // What is outstanding for longer than usual takes the usual time again at least for the next request.
    const double expected = std::max(oldest > limit ? oldest + latency.meanMs : 0, remembered);
    return expected;
}

namespace {

double decayFactor(millis age)
{
    return std::exp2(
        -std::max(static_cast<double>(age.count), 0.0) / static_cast<double>(plainReportHalfLife.count));
}

double decayed(const plain_reports::decaying_sum &sum, millis now)
{
    return sum.value * decayFactor(now - sum.updatedAt);
}

void add(plain_reports::decaying_sum &sum, double value, millis now)
{
    sum.value = decayed(sum, now) + value;
    sum.updatedAt = now;
}

}

void countReport(plain_reports &reports, millis now)
{
    add(reports.reporters, 1, now);
    reports.lastAt = now;
}

void recordReport(plain_reports &reports, std::string_view server, std::uint32_t inFlight, millis now)
{
    auto found = reports.inFlight.find(server);
    if (found == reports.inFlight.end()) {
        found = reports.inFlight.emplace(std::string(server), plain_reports::decaying_sum{}).first;
    }
    add(found->second, inFlight, now);
}

double othersInFlight(const plain_reports &reports, std::string_view server, std::size_t others, millis now)
{
    const auto found = reports.inFlight.find(server);
    const double reporters = decayed(reports.reporters, now);
    if (found == reports.inFlight.end() || reporters <= 0) {
        return 0;
    }
    const double mean = decayed(found->second, now) / std::max(reporters, minPlainReports);
    // The mean of reports keeps its value when no more come in; their age says that it is worth less.
    return mean * static_cast<double>(others) * decayFactor(now - reports.lastAt);
}

}
