#include "serving/choose_server.h"

#include "serving/server_ledger.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

std::string_view nameOf(residence value)
{
    static constexpr std::string_view names[] = {"absent", "remembered", "coming", "resident"};
    return names[static_cast<std::size_t>(value)];
}

void noteAnswer(answer_mix &mix, std::int64_t outputTokens)
{
    const auto tokens = static_cast<double>(outputTokens);
    mix.seen = std::min(mix.seen + 1, mixRequests);
    mix.meanTokens += (tokens - mix.meanTokens) / mix.seen;
    mix.longShare += ((isLongAnswer(mix, outputTokens) ? 1 : 0) - mix.longShare) / mix.seen;
}

bool isLongAnswer(const answer_mix &mix, std::int64_t outputTokens)
{
    return static_cast<double>(outputTokens) > mix.meanTokens;
}

prompt_shape shapeOf(const answer_mix &mix, std::int64_t promptTokens, std::int64_t outputTokens)
{
    const double many = (mix.longShare - fewLongAnswers) / (manyLongAnswers - fewLongAnswers);
    const double apart = mix.seen < mixKnown ? 0 : 1 - std::clamp(many, 0.0, 1.0);
    return {promptTokens, isLongAnswer(mix, outputTokens), apart};
}

namespace {

/// How much a prompt disturbs the streams of a server, against one of usual length.
double harmOf(const prompt_shape &prompt)
{
    const double share = static_cast<double>(prompt.promptTokens) / usualPromptTokens;
    return std::pow(std::clamp(share, leastPromptShare, mostPromptShare), promptExponent);
}

}

double copyShareOf(const std::vector<model_candidate> &servers)
{
    double uses = 0;
    double copies = 1; // with the further one
    for (const model_candidate &server : servers) {
        uses += server.uses;
        copies += server.adapter == residence::Resident || server.adapter == residence::Coming ? 1 : 0;
    }
    return 1 / std::max(uses / copies / usesOfOne, 1.0);
}

std::optional<double> costOf(const model_candidate &server, const prompt_shape &prompt)
{
    if (server.excluded || !server.held || (!server.heard && server.hashRank >= unheardRanks)) {
        return std::nullopt;
    }
    double cost = server.backlogMs + failureMs * server.failures;
    cost += server.sameDomain ? 0 : otherDomainMs;
    const double others = prompt.apart * longAnswerMs * std::min(server.longAnswers, longAnswersCounted);
    const bool needsPlace = server.adapter == residence::Absent || server.adapter == residence::Remembered;
    const bool noPlace = needsPlace && server.openPlaces == 0;
    // Long answers hold their places for long: where they gather and no place is open, one more is refused.
    cost += prompt.longAnswer ? (noPlace ? 0 : -others) : others * harmOf(prompt);
    switch (server.adapter) {
    case residence::Resident:
        return cost;
    case residence::Coming:
        return cost + comingMs;
    case residence::Remembered:
        return cost + initialCachedLoadMs + (rememberedMs - initialCachedLoadMs) * prompt.copyShare
            + (noPlace ? noPlaceMs : 0);
    case residence::Absent:
        break;
    }
    const double spread = hashRankMs * static_cast<double>(std::min(server.hashRank, hashRanksCounted));
    cost += firstLoadMs + (absentMs - firstLoadMs + spread) * prompt.copyShare;
    return cost + (noPlace ? noPlaceMs : 0);
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

std::optional<std::size_t> choosePlainServer(const std::vector<plain_candidate> &servers)
{
    std::optional<std::size_t> best;
    double bestLoad = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const plain_candidate &one = servers[i];
        if (one.excluded) {
            continue;
        }
        const double load = static_cast<double>(one.mine) / std::max(one.slots, 1)
            + (one.sameDomain ? 0 : otherDomainLoad) + failureLoad * one.failures
            + (one.limited ? limitedLoad + one.turnWait : 0);
        const bool better =
            !best || load < bestLoad || (load == bestLoad && one.tieBreak < servers[*best].tieBreak);
        if (better) {
            best = i;
            bestLoad = load;
        }
    }
    return best;
}

double failuresNow(const server_record &record, millis now)
{
    const double halves =
        static_cast<double>((now - record.at).count) / static_cast<double>(recordHalfLife.count);
    return record.failures * std::exp2(-std::max(halves, 0.0));
}

void recordAnswer(server_record &record, bool failed, millis now)
{
    record.failures = failuresNow(record, now) * (1 - recordWeight) + (failed ? recordWeight : 0);
    record.at = now;
}

}
