#include "scheduling/choose_server.h"

#include "scheduling/server_ledger.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

std::string_view nameOf(adapter_residency value)
{
    static constexpr std::string_view names[] = {"absent", "remembered", "coming", "resident"};
    return names[static_cast<std::size_t>(value)];
}

void recordOutputLength(response_mix &mix, std::int64_t outputTokens)
{
    const auto tokens = static_cast<double>(outputTokens);
    mix.sampleCount = std::min(mix.sampleCount + 1, mixWindowRequests);
    mix.meanTokens += (tokens - mix.meanTokens) / mix.sampleCount;
    mix.longShare += ((isLongResponse(mix, outputTokens) ? 1 : 0) - mix.longShare) / mix.sampleCount;
}

bool isLongResponse(const response_mix &mix, std::int64_t outputTokens)
{
    return static_cast<double>(outputTokens) > mix.meanTokens;
}

prompt_shape shapeOf(const response_mix &mix, std::int64_t promptTokens, std::int64_t outputTokens)
{
    const double excess =
        (mix.longShare - lowLongResponseShare) / (highLongResponseShare - lowLongResponseShare);
    const double separation = mix.sampleCount < minMixRequests ? 0 : 1 - std::clamp(excess, 0.0, 1.0);
    return {promptTokens, isLongResponse(mix, outputTokens), separation, 1, {}};
}

namespace {

/// How much reading a prompt delays the streams of a server, relative to a prompt of reference length.
double disturbanceOf(const prompt_shape &prompt)
{
    const double ratio = static_cast<double>(prompt.promptTokens) / referencePromptTokens;
    return std::pow(std::clamp(ratio, minPromptRatio, maxPromptRatio), promptPenaltyExponent);
}

/// From this share of prompts on that break the limit on gaps there, a server doesn't attract long responses:
/// a long response meets more than four prompts, so that it would hardly ever be on time.
constexpr double maxBreakingShare = 0.25;

/// How strongly a server with long responses attracts another one, 0 to 1.
double attractionOf(const model_candidate &server, const prompt_shape &prompt)
{
    return std::max(0.0, 1 - breakingShare(server.gaps, prompt.gaps) / maxBreakingShare);
}

}

double copyCostShareOf(const std::vector<model_candidate> &servers)
{
    double recentUses = 0;
    double copies = 1; // includes the new one
    for (const model_candidate &server : servers) {
        recentUses += server.recentUses;
        copies +=
            server.adapter == adapter_residency::Resident || server.adapter == adapter_residency::Loading ? 1
                                                                                                          : 0;
    }
    return 1 / std::max(recentUses / copies / usesPerCopy, 1.0);
}

double gapLossOf(const model_candidate &server, const prompt_shape &prompt)
{
    return gapLossMs(server.gaps, server.running, prompt.promptTokens, prompt.gaps);
}

std::optional<double> costOf(const model_candidate &server, const prompt_shape &prompt)
{
    if (server.excluded || !server.modelLoaded
        || (!server.hasHeartbeat && server.hashRank >= maxHashRankUnobserved)) {
        return std::nullopt;
    }
    double cost = server.backlogMs + failurePenaltyMs * server.failureRate;
    cost += server.sameDomain ? 0 : crossDomainPenaltyMs;
    const double disturbance =
        prompt.separation * longResponsePenaltyMs * std::min(server.longResponses, maxLongResponsesCounted);
    const bool needsSlot =
        server.adapter == adapter_residency::Absent || server.adapter == adapter_residency::Cached;
    const bool noOpenSlot = needsSlot && server.availableSlots == 0;
    // Long responses occupy their slots for seconds. Without an open slot, being attracted to a server that
    // has many of them would end in a refusal.
    cost += prompt.longResponse ? (noOpenSlot ? 0 : -disturbance * attractionOf(server, prompt))
                                : disturbance * disturbanceOf(prompt);
    cost += gapLossOf(server, prompt);
    switch (server.adapter) {
    case adapter_residency::Resident:
        return cost;
    case adapter_residency::Loading:
        return cost + loadingPenaltyMs;
    case adapter_residency::Cached:
        return cost + initialCachedLoadMs + (cachedPenaltyMs - initialCachedLoadMs) * prompt.copyCostShare
            + (noOpenSlot ? noOpenSlotPenaltyMs : 0);
    case adapter_residency::Absent:
        break;
    }
    const double rankPenalty =
        hashRankPenaltyMs * static_cast<double>(std::min(server.hashRank, maxHashRank));
    cost += initialLoadMs + (absentPenaltyMs - initialLoadMs + rankPenalty) * prompt.copyCostShare;
    return cost + (noOpenSlot ? noOpenSlotPenaltyMs : 0);
}

std::optional<std::size_t> chooseModelServer(
    const std::vector<model_candidate> &servers, const prompt_shape &prompt)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto cost = costOf(servers[i], prompt);
        if (cost && (!best || *cost < bestCost)) {
            best = i;
            bestCost = *cost;
        }
    }
    return best;
}

bool isUnreachable(const server_health &health, millis now)
{
    return health.unreachableAt.count != 0 && now - health.unreachableAt < unreachableBackoff;
}

double currentFailureRate(const server_health &health, millis now)
{
    const double halves =
        static_cast<double>((now - health.updatedAt).count) / static_cast<double>(failureRateHalfLife.count);
    return health.failureRate * std::exp2(-std::max(halves, 0.0));
}

void recordOutcome(server_health &health, bool failed, millis now)
{
    health.failureRate =
        currentFailureRate(health, now) * (1 - healthSampleWeight) + (failed ? healthSampleWeight : 0);
    health.updatedAt = now;
}

}
