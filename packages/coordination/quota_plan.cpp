#include "coordination/quota_plan.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr double overageShareForAge = 0.75;
constexpr double overageShareForDebt = 0.25;
constexpr double slackShareForDebt = 0.5;
/// A shorter time would not be enough to find a server.
constexpr millis minUnitsLifetime{100};
constexpr double msPerSecond = 1'000;
constexpr double milliPerUnit = 1'000;
constexpr double ppmOfAll = 1'000'000;
constexpr double maxUnits = 1e12;
/// Keeps whole numbers unchanged when they are converted to a fraction and back.
constexpr double rounding = 1e-6;

}

std::int64_t toMilli(double units)
{
    return static_cast<std::int64_t>(std::clamp(units, 0.0, maxUnits) * milliPerUnit + rounding);
}

double fromMilli(std::int64_t milli)
{
    return std::clamp(static_cast<double>(milli) / milliPerUnit, 0.0, maxUnits);
}

std::uint32_t toPpm(double fraction)
{
    return static_cast<std::uint32_t>(std::clamp(fraction, 0.0, 1.0) * ppmOfAll + rounding);
}

double fromPpm(std::uint32_t ppm)
{
    return std::min(static_cast<double>(ppm) / ppmOfAll, 1.0);
}

std::uint64_t accountHash(std::string_view name)
{
    return rendezvousScore("account", name);
}

std::uint32_t shardOf(std::uint64_t account)
{
    return static_cast<std::uint32_t>(account % quotaShards);
}

millis unitsLifetime(const quota_tolerance &rules)
{
    const double lifetimeMs = overageShareForAge * rules.overage * static_cast<double>(rules.window.count);
    return std::max(minUnitsLifetime, millis{static_cast<std::int64_t>(lifetimeMs)});
}

double maxDebt(const quota_limit &limit, const quota_tolerance &rules)
{
    const double inWindow = limit.rate * static_cast<double>(rules.window.count) / msPerSecond + limit.burst;
    return overageShareForDebt * rules.overage * inWindow + slackShareForDebt * rules.slack;
}

}
