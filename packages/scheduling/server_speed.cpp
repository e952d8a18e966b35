#include "scheduling/server_speed.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// A shorter prompt says more about the base time than about the speed.
constexpr std::int64_t minSampleTokens = 200;
constexpr double minSampleMs = 1;
constexpr double minTokensPerMs = 0.2;
constexpr double maxTokensPerMs = 200;
/// An adopted speed counts as much as samples of one prompt of this length.
constexpr double adoptedTokens = 2'000;
constexpr int inProgressFactor = 2;

double msPerToken(const speed_sums &sums)
{
    return sums.squareSum <= 0
        ? 0
        : std::clamp(sums.productSum / sums.squareSum, 1 / maxTokensPerMs, 1 / minTokensPerMs);
}

void add(speed_sums &sums, double weight, double tokens, double ms)
{
    sums.productSum = sums.productSum * weight + tokens * ms;
    sums.squareSum = sums.squareSum * weight + tokens * tokens;
}

}

void recordPrefill(server_speed &speed, std::int64_t tokens, millis duration, millis now)
{
    if (tokens < minSampleTokens) {
        return;
    }
    const auto length = static_cast<double>(tokens);
    const double ms = std::max(static_cast<double>(duration.count) - prefillBaseMs, minSampleMs);
    const double predicted = msPerToken(speed.recent) * length;
    const bool changed = predicted > 0 && (ms > predicted * changeFactor || ms * changeFactor < predicted);
    add(speed.recent, changed ? changedWeight : recentWeight, length, ms);
    add(speed.usual, usualWeight, length, ms);
    speed.sampleCount = std::min(speed.sampleCount + 1, minSpeedSamples);
    speed.measuredAt = now;
}

double prefillTokensPerMs(const server_speed &speed, millis now)
{
    if (speed.sampleCount < minSpeedSamples) {
        return 0;
    }
    const double recent = msPerToken(speed.recent);
    const double usual = msPerToken(speed.usual);
    const double age = static_cast<double>(std::max<std::int64_t>((now - speed.measuredAt).count, 0));
    const double kept = std::exp2(-age / static_cast<double>(slownessHalfLife.count));
    return 1 / (recent > usual ? usual + (recent - usual) * kept : recent);
}

double speedWithPrefillInProgress(double learnt, std::int64_t tokens, millis elapsed)
{
    if (learnt <= 0) {
        return learnt;
    }
    const double predicted = static_cast<double>(tokens) / learnt + prefillBaseMs;
    const double ratio = static_cast<double>(elapsed.count) / predicted;
    return ratio < inProgressFactor ? learnt : learnt / std::min(ratio, maxSlowdownInProgress);
}

void adoptSpeed(server_speed &speed, double tokensPerMs, millis age, millis now)
{
    if (tokensPerMs < minTokensPerMs || tokensPerMs > maxTokensPerMs) {
        return;
    }
    speed = {};
    add(speed.recent, 1, adoptedTokens, adoptedTokens / tokensPerMs);
    add(speed.usual, 1, adoptedTokens, adoptedTokens / tokensPerMs);
    speed.sampleCount = minSpeedSamples;
    speed.measuredAt = now - millis{std::max<std::int64_t>(age.count, 0)};
}

}
