#include "serving/heard_server.h"

#include "coordination/rendezvous.h"
#include "serving/server_ledger.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// Without a measured speed, the slowest of the first deployments is assumed, tokens a ms.
constexpr double unknownSpeed = 14;
/// Reading that is assumed ahead at a server without beats: about what a prompt waits on a busy day.
constexpr double unheardBacklogMs = 150;
constexpr double msPerSecond = 1'000;
/// The share of the time to the first event that a prompt may wait for its turn. The turn is predicted too
/// dark on average, and who is served a little late fares better than who is sent away: of 0.6, 0.75,
/// 0.9, 1.1 and 1.4, the mean worth of the first deployments' days is best from 0.9 to 1.1.
constexpr double waitShare = 0.95;

}

std::uint32_t adapterHash(std::string_view adapterKey)
{
    return static_cast<std::uint32_t>(rendezvousScore("adapter", adapterKey));
}

void takeBeat(heard_server &heard, const server_beat &beat, const std::string &orderer, millis now)
{
    heard = {beat, orderer, now, std::move(heard.lately), 0, 0};
    for (const beat_adapter &each : heard.beat.adapters) {
        if (!each.loading) {
            std::erase(heard.lately, each.name);
            heard.lately.push_back(each.name);
        }
    }
    if (heard.lately.size() > maxCachedAdapters) {
        heard.lately.erase(
            heard.lately.begin(), heard.lately.end() - static_cast<std::ptrdiff_t>(maxCachedAdapters));
    }
}

bool isFresh(const heard_server &heard, millis now)
{
    return now - heard.at < beatFresh;
}

model_candidate candidateOf(
    const heard_server &heard, const std::string &adapterKey, bool needsAdapter, millis now)
{
    const server_beat &beat = heard.beat;
    const bool fresh = isFresh(heard, now);
    model_candidate candidate;
    candidate.held = beat.held;
    candidate.longAnswers = beat.longAnswers;
    candidate.openPlaces =
        fresh && beat.openPlaces > heard.placesSince ? beat.openPlaces - heard.placesSince : 0;
    candidate.adapter = needsAdapter ? residence::Absent : residence::Resident;
    const std::uint32_t name = adapterHash(adapterKey);
    for (const beat_adapter &each : beat.adapters) {
        if (each.name == name) {
            candidate.adapter = each.loading ? residence::Coming : residence::Resident;
            candidate.uses = each.uses;
        }
    }
    const bool lately = std::find(heard.lately.begin(), heard.lately.end(), name) != heard.lately.end();
    if (candidate.adapter == residence::Absent && lately) {
        candidate.adapter = residence::Remembered;
    }
    const double speed =
        beat.tokensPerSecond > 0 ? static_cast<double>(beat.tokensPerSecond) / msPerSecond : unknownSpeed;
    candidate.backlogMs = static_cast<double>(beat.backlogTokens + heard.askedSince) / speed;
    // Nobody loads there now: only what is known to be resident can be served.
    candidate.excluded = !fresh && candidate.adapter != residence::Resident;
    return candidate;
}

model_candidate unheardCandidate(bool needsAdapter)
{
    model_candidate candidate;
    candidate.heard = false;
    candidate.openPlaces = 1;
    candidate.adapter = needsAdapter ? residence::Absent : residence::Resident;
    candidate.backlogMs = unheardBacklogMs;
    return candidate;
}

void rankByHash(std::vector<model_candidate> &candidates, const std::vector<std::string_view> &servers,
    const std::string &adapterKey)
{
    // Beyond the ranks that count all are alike, and a fleet may have thousands.
    for (model_candidate &each : candidates) {
        each.hashRank = hashRanksCounted;
    }
    const std::vector<std::size_t> order = rendezvousTop(
        adapterKey, servers.size(), hashRanksCounted,
        [&servers](std::size_t i) -> std::string_view {
            return servers[i];
        },
        [](std::size_t) {
            return true;
        });
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        candidates[order[rank]].hashRank = rank;
    }
}

void countAsk(heard_server &heard, std::int64_t promptTokens, residence adapter)
{
    heard.askedSince += promptTokens;
    heard.placesSince += adapter == residence::Absent || adapter == residence::Remembered ? 1 : 0;
}

millis patienceOf(millis target)
{
    return millis{std::llround(static_cast<double>(target.count) * waitShare)};
}

}
