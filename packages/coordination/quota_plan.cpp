#include "coordination/quota_plan.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr double overageForAge = 0.75;
constexpr double overageForDebt = 0.25;
constexpr double slackForDebt = 0.5;
/// Less is no time to find a server in.
constexpr millis leastLife{100};
constexpr double msPerSecond = 1'000;
constexpr double milliPerUnit = 1'000;
constexpr double ppmOfAll = 1'000'000;
constexpr double mostUnits = 1e12;
/// So that a whole number that went through a fraction stays itself.
constexpr double rounding = 1e-6;

}

std::int64_t toMilli(double units)
{
    return static_cast<std::int64_t>(std::clamp(units, 0.0, mostUnits) * milliPerUnit + rounding);
}

double fromMilli(std::int64_t milli)
{
    return std::clamp(static_cast<double>(milli) / milliPerUnit, 0.0, mostUnits);
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

millis unitsLife(const quota_tolerance &rules)
{
    const double span = overageForAge * rules.overage * static_cast<double>(rules.window.count);
    return std::max(leastLife, millis{static_cast<std::int64_t>(span)});
}

double mostDebt(const quota_limit &limit, const quota_tolerance &rules)
{
    const double inWindow = limit.rate * static_cast<double>(rules.window.count) / msPerSecond + limit.burst;
    return overageForDebt * rules.overage * inWindow + slackForDebt * rules.slack;
}

}
