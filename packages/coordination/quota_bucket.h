#pragma once

#include "state/clock.h"

#include <algorithm>

namespace briarhead {

/// A token bucket. Below zero it owes what it gave ahead.
struct quota_bucket
{
    double level = 0;
    millis filledAt;
};

/// Lets the time up to `now` flow in, at `rate` units a second up to `depth`. What lies above a smaller depth
/// is lost.
inline void fill(quota_bucket &bucket, double rate, double depth, millis now)
{
    constexpr double msPerSecond = 1'000;
    const auto elapsedMs = static_cast<double>(std::max<std::int64_t>((now - bucket.filledAt).count, 0));
    bucket.level = std::min(bucket.level + rate * elapsedMs / msPerSecond, depth);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

}
