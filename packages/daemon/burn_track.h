#pragma once

#include "daemon/judgement.h"
#include "daemon/request_record.h"
#include "state/burn.h"
#include "state/clock.h"
#include "state/config.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarhead {

/// Counts of one span of time, as small as they can be: a bucket lasts an hour at most.
struct burn_bucket
{
    std::uint32_t total = 0;
    std::array<std::uint32_t, burnCauses> byCause{};
};

/// The latest buckets of equal length; older ones are overwritten.
struct burn_ring
{
    burn_ring(millis bucketLength, std::size_t count)
        : length(bucketLength)
        , buckets(count)
    {
    }

    millis length;
    std::vector<burn_bucket> buckets;
    std::int64_t newest = 0; ///< number of the newest bucket, counted from the clock's zero
};

void add(burn_ring &ring, const judgement &verdict, millis now);
/// The sum of the buckets that began within (from, to] before `now`, the running one included.
burn_counts countsBetween(const burn_ring &ring, millis from, millis to, millis now);
burn_counts countsWithin(const burn_ring &ring, millis span, millis now);

/// Callers with counts of their own per target; the others share one ring.
constexpr std::size_t maxBurnCallers = 32;

/// What one instance remembers of one target. Three resolutions keep it near 33 KB where five-minute
/// buckets over a month would take 200 KB; a caller's ring takes 3.5 KB more.
struct burn_track
{
    millis since; ///< when this instance began to count
    burn_ring hour{millis{10'000}, 360};
    burn_ring day{millis{300'000}, 288};
    burn_ring month{millis{3'600'000}, 720};
    burn_counts all; ///< since then
    std::map<std::string, burn_ring, std::less<>> byCaller;
    latency_histogram firstTokenTimes;
    latency_histogram endToEndTimes;
    latency_histogram stallTimes;
};

void add(burn_track &track, const request_record &request, const judgement &verdict, millis now);

/// The report of a target; `track` of nullptr for one that nothing was counted for.
target_burn describe(
    const std::string &name, const target_config &target, const burn_track *track, millis now);

}
