#include "scheduling/observed_server.h"

#include "coordination/rendezvous.h"
#include "scheduling/server_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead {

namespace {

/// Prompt tokens read per ms by a server whose speed has not been measured yet: a slow server's speed.
constexpr double defaultTokensPerMs = 14;
/// Assumed backlog of a server without heartbeats: about the mean wait of a prompt at high load.
constexpr double unobservedBacklogMs = 150;
constexpr double msPerSecond = 1'000;
/// A report outside these bounds (tokens/ms, streams) is of no server and is not believed.
constexpr double minReportedSpeed = 0.2;
constexpr double maxReportedSpeed = 200;
constexpr std::int64_t maxReportedStreams = 10'000;
/// The fraction of the latency target that a request may wait for its slot. It is close to 1 because
/// predicted waits are too long on average, and a response that is slightly late is worth more than a
/// refusal. Of 0.6, 0.75, 0.9, 1.1 and 1.4, the values 0.9 and 1.1 score best.
constexpr double maxWaitShare = 0.95;

}

std::uint32_t adapterHash(std::string_view adapterKey)
{
    return static_cast<std::uint32_t>(rendezvousScore("adapter", adapterKey));
}

void applyHeartbeat(
    observed_server &observed, const server_heartbeat &heartbeat, const std::string &owner, millis now)
{
    observed = {heartbeat, owner, now, std::move(observed.recentAdapters), 0, 0, observed.load};
    for (const heartbeat_adapter &each : observed.heartbeat.adapters) {
        if (!each.loading) {
            std::erase(observed.recentAdapters, each.name);
            observed.recentAdapters.push_back(each.name);
        }
    }
    if (observed.recentAdapters.size() > maxCachedAdapters) {
        observed.recentAdapters.erase(observed.recentAdapters.begin(),
            observed.recentAdapters.end() - static_cast<std::ptrdiff_t>(maxCachedAdapters));
    }
}

std::optional<observed_load> decodeLoad(const server_load &load, millis now)
{
    const auto value = [&load](load_field field) {
        return fieldValue(load.fields, static_cast<std::uint32_t>(field), 0);
    };
    const std::int64_t streams = value(load_field::LimitedStreams);
    if (streams <= 0) {
        return std::nullopt;
    }
    const double speed = static_cast<double>(value(load_field::TokensPerSecond)) / msPerSecond;
    observed_load decoded;
    decoded.fence = load.fence;
    decoded.tokensPerMs = speed >= minReportedSpeed && speed <= maxReportedSpeed ? speed : 0;
    decoded.speedAge = millis{std::max<std::int64_t>(value(load_field::SpeedAgeMs), 0)};
    decoded.limitedStreams = static_cast<std::uint32_t>(std::min(streams - 1, maxReportedStreams));
    decoded.receivedAt = now;
    return decoded;
}

void applyServerLoad(observed_server &observed, const server_load &load, millis now)
{
    const auto decoded = decodeLoad(load, now);
    if (decoded && load.fence >= observed.heartbeat.fence && load.fence >= observed.load.fence) {
        const observed_load previous = std::exchange(observed.load, *decoded);
        const double usual = previous.usualTokensPerMs > 0 ? previous.usualTokensPerMs : decoded->tokensPerMs;
        observed.load.usualTokensPerMs = decoded->tokensPerMs > 0
            ? usual + usualSpeedWeight * (decoded->tokensPerMs - usual)
            : previous.usualTokensPerMs;
        observed.load.capacityStep = capacityStepFor(observed.load.usualTokensPerMs, previous.capacityStep);
    }
}

void applyServerLoads(
    std::map<std::string, observed_server> &observed, const std::vector<server_load> &loads, millis now)
{
    for (const server_load &load : loads) {
        if (const auto found = observed.find(load.server); found != observed.end()) {
            applyServerLoad(found->second, load, now);
        }
    }
}

bool isFresh(const observed_server &observed, millis now)
{
    return now - observed.receivedAt < heartbeatFreshFor;
}

model_candidate candidateOf(
    const observed_server &observed, const std::string &adapterKey, bool needsAdapter, millis now)
{
    const server_heartbeat &heartbeat = observed.heartbeat;
    const bool fresh = isFresh(observed, now);
    model_candidate candidate;
    candidate.modelLoaded = heartbeat.modelLoaded;
    candidate.longResponses = heartbeat.longResponses;
    candidate.availableSlots = fresh && heartbeat.availableSlots > observed.slotsRequestedSince
        ? heartbeat.availableSlots - observed.slotsRequestedSince
        : 0;
    candidate.adapter = needsAdapter ? adapter_residency::Absent : adapter_residency::Resident;
    const std::uint32_t name = adapterHash(adapterKey);
    for (const heartbeat_adapter &each : heartbeat.adapters) {
        if (each.name == name) {
            candidate.adapter = each.loading ? adapter_residency::Loading : adapter_residency::Resident;
            candidate.recentUses = each.recentUses;
        }
    }
    const bool seenRecently = std::find(observed.recentAdapters.begin(), observed.recentAdapters.end(), name)
        != observed.recentAdapters.end();
    if (candidate.adapter == adapter_residency::Absent && seenRecently) {
        candidate.adapter = adapter_residency::Cached;
    }
    const double tokensPerMs = heartbeat.prefillTokensPerSecond > 0
        ? static_cast<double>(heartbeat.prefillTokensPerSecond) / msPerSecond
        : defaultTokensPerMs;
    const bool loadKnown = observed.load.receivedAt.count != 0
        && now - observed.load.receivedAt < heartbeatFreshFor && observed.load.fence == heartbeat.fence;
    candidate.gaps.tokensPerMs =
        loadKnown && observed.load.tokensPerMs > 0 ? observed.load.tokensPerMs : tokensPerMs;
    const bool stepKnown =
        observed.load.receivedAt.count != 0 && now - observed.load.receivedAt < capacityStepKeptFor;
    candidate.capacityStep = stepKnown ? observed.load.capacityStep : 0;
    candidate.running = loadKnown ? observed.load.limitedStreams : heartbeat.running;
    candidate.backlogMs =
        static_cast<double>(heartbeat.backlogTokens + observed.requestedTokensSince) / tokensPerMs;
    // Without an owner nothing can be loaded there, so only resident adapters can be served.
    candidate.excluded = !fresh && candidate.adapter != adapter_residency::Resident;
    return candidate;
}

model_candidate unobservedCandidate(bool needsAdapter)
{
    model_candidate candidate;
    candidate.hasHeartbeat = false;
    candidate.availableSlots = 1;
    candidate.adapter = needsAdapter ? adapter_residency::Absent : adapter_residency::Resident;
    candidate.backlogMs = unobservedBacklogMs;
    return candidate;
}

int capacityStepFor(double tokensPerMs, int present)
{
    if (tokensPerMs <= 0) {
        return present;
    }
    const double exact = stepsPerOctave * std::log2(tokensPerMs / referenceTokensPerMs);
    return std::abs(exact - present) < stepHysteresis
        ? present
        : static_cast<int>(std::lround(std::clamp<double>(exact, -maxCapacityStep, maxCapacityStep)));
}

double capacityWeight(int step)
{
    return std::exp2(step / stepsPerOctave);
}

namespace {

/// The first positions of the weighted rendezvous order: by descending log(u) / weight, with u the hash as a
/// number between 0 and 1. A server whose hash is too low to come first even at the highest weight is passed
/// over by one comparison, so that the cost per server is that of the plain order.
std::vector<std::size_t> weightedTop(const std::vector<model_candidate> &candidates,
    const std::vector<std::string_view> &servers, const std::string &adapterKey, int highestStep)
{
    struct weighted_server
    {
        double score = 0;
        std::size_t index = 0;
    };
    constexpr double hashRange = 18'446'744'073'709'551'616.0;
    const std::uint64_t seed = detail::keySeed(adapterKey);
    const double highestWeight = capacityWeight(highestStep);
    double lowestHash = 0;
    std::vector<weighted_server> top; // in order, at most maxHashRank
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto hash = static_cast<double>(detail::nodeScore(seed, servers[i]));
        if (hash < lowestHash) {
            continue;
        }
        const double u = (hash + 1) / (hashRange + 1);
        const weighted_server server{std::log(u) / capacityWeight(candidates[i].capacityStep), i};
        const auto at = std::upper_bound(
            top.begin(), top.end(), server, [](const weighted_server &a, const weighted_server &b) {
                return a.score > b.score;
            });
        top.insert(at, server);
        if (top.size() > maxHashRank) {
            top.pop_back();
            lowestHash = std::exp(top.back().score * highestWeight) * hashRange * (1 - 1e-12);
        }
    }
    std::vector<std::size_t> order;
    order.reserve(top.size());
    for (const weighted_server &each : top) {
        order.push_back(each.index);
    }
    return order;
}

}

void rankByHash(std::vector<model_candidate> &candidates, const std::vector<std::string_view> &servers,
    const std::string &adapterKey)
{
    // Only the first positions are computed, since a fleet may have thousands of servers.
    for (model_candidate &each : candidates) {
        each.hashRank = maxHashRank;
    }
    const auto [lowest, highest] = std::minmax_element(
        candidates.begin(), candidates.end(), [](const model_candidate &a, const model_candidate &b) {
            return a.capacityStep < b.capacityStep;
        });
    std::vector<std::size_t> order;
    if (!candidates.empty() && lowest->capacityStep != highest->capacityStep) {
        order = weightedTop(candidates, servers, adapterKey, highest->capacityStep);
    } else {
        order = rendezvousTop(
            adapterKey, servers.size(), maxHashRank,
            [&servers](std::size_t i) -> std::string_view {
                return servers[i];
            },
            [](std::size_t) {
                return true;
            });
    }
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        candidates[order[rank]].hashRank = rank;
    }
}

void countSlotRequest(observed_server &observed, std::int64_t promptTokens, adapter_residency adapter)
{
    observed.requestedTokensSince += promptTokens;
    observed.slotsRequestedSince +=
        adapter == adapter_residency::Absent || adapter == adapter_residency::Cached ? 1 : 0;
}

millis maxSlotWait(millis target)
{
    return millis{std::llround(static_cast<double>(target.count) * maxWaitShare)};
}

}
