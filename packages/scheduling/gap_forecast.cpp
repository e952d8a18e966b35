#include "scheduling/gap_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace briarhead {

namespace {

/// Streams counted at most: where more would be harmed, the server is out of the question already.
constexpr std::uint32_t maxStreamsCounted = 8;
/// Prompts that break the limit of a server's streams are mostly sent elsewhere, so that a stream meets fewer
/// of them than the lengths of all prompts suggest. Counted in full, long responses crowd onto few servers.
constexpr double breakingPromptShare = 0.15;
/// Responses are on average about a third as long as the maximum that their requests announce (8 of 30, 57 of
/// 174 events).
constexpr double usedShareOfAnnounced = 1.0 / 3;
/// Duration of a token of a response on a server that also reads prompts half of the time.
constexpr double msPerOutputToken = 20;
/// From this many running streams on, a server is taken to read prompts all the time.
constexpr double streamsWhenFull = 8;

}

double forecastGapMs(const gap_basis &server, std::int64_t readTokens)
{
    if (server.tokensPerMs <= 0) {
        return 0;
    }
    const std::int64_t most = server.chunkTokens > 0 ? server.chunkTokens * stepsPerEvent
                                                     : std::numeric_limits<std::int64_t>::max();
    return static_cast<double>(std::min(readTokens, most)) / server.tokensPerMs + eventSpanMs;
}

std::int64_t maxTokensWithinGap(const gap_basis &server, double limitMs)
{
    return std::llround(std::max(limitMs - eventSpanMs, 0.0) * server.tokensPerMs);
}

double gapExcessProbability(double forecastMs, double limitMs)
{
    const double from = limitMs * (1 - gapForecastError);
    const double to = limitMs * (1 + gapForecastError);
    return limitMs <= 0 ? 0 : std::clamp((forecastMs - from) / (to - from), 0.0, 1.0);
}

void recordPromptLength(prompt_lengths &lengths, std::int64_t promptTokens)
{
    const double value = std::log(static_cast<double>(std::max<std::int64_t>(promptTokens, 1)));
    lengths.sampleCount = std::min(lengths.sampleCount + 1, lengthWindowRequests);
    const double weight = 1 / lengths.sampleCount;
    const double difference = value - lengths.meanLog;
    lengths.meanLog += weight * difference;
    lengths.varianceLog = (1 - weight) * (lengths.varianceLog + weight * difference * difference);
}

double shareLongerThan(const prompt_lengths &lengths, std::int64_t promptTokens)
{
    if (lengths.sampleCount < minLengthRequests) {
        return 0;
    }
    const double value = std::log(static_cast<double>(std::max<std::int64_t>(promptTokens, 1)));
    const double deviation = std::sqrt(std::max(lengths.varianceLog, 1e-6));
    return std::erfc((value - lengths.meanLog) / (deviation * std::numbers::sqrt2)) / 2;
}

double breakingShare(const gap_basis &server, const gap_terms &terms)
{
    return terms.ownLimitMs <= 0 || server.tokensPerMs <= 0
        ? 0
        : shareLongerThan(terms.lengths, maxTokensWithinGap(server, terms.ownLimitMs));
}

double gapLossMs(
    const gap_basis &server, std::uint32_t streams, std::int64_t promptTokens, const gap_terms &terms)
{
    if (terms.limitMs <= 0 || server.tokensPerMs <= 0) {
        return 0;
    }
    const double counted = std::min(streams, maxStreamsCounted);
    const double others = counted * gapExcessProbability(forecastGapMs(server, promptTokens), terms.limitMs);
    // Prompts that break the limit, arriving at a rate that grows with how full the server is.
    const double breaking = breakingShare(server, terms);
    const double promptMs = std::exp(terms.lengths.meanLog) / server.tokensPerMs;
    const double responseMs =
        static_cast<double>(terms.outputTokens) * usedShareOfAnnounced * msPerOutputToken;
    const double promptsBeside =
        responseMs / std::max(promptMs, 1.0) * std::min(counted / streamsWhenFull, 1.0);
    const double own = 1 - std::exp(-promptsBeside * breaking * breakingPromptShare);
    return lateLossMs * (others + own);
}

}
