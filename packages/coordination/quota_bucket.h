#pragma once

#include "state/clock.h"

#include <algorithm>

namespace briarhead {

/// A token bucket. A negative level is a debt for units that were granted in advance.
struct quota_bucket
{
    double level = 0;
    millis filledAt;
};

/// Adds the units that accrued up to `now`, at `rate` units per second and up to `depth`. If the depth has
/// become smaller than the level, the excess is lost.
inline void fill(quota_bucket &bucket, double rate, double depth, millis now)
{
    constexpr double msPerSecond = 1'000;
    const auto elapsedMs = static_cast<double>(std::max<std::int64_t>((now - bucket.filledAt).count, 0));
    bucket.level = std::min(bucket.level + rate * elapsedMs / msPerSecond, depth);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

}
