#pragma once

#include "daemon/request_record.h"
#include "daemon/target_result.h"
#include "state/burn.h"
#include "state/clock.h"
#include "state/config.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarhead {

/// Request counts of one time interval. 32 bits suffice, since a bucket covers at most an hour.
struct burn_bucket
{
    std::uint32_t total = 0;
    std::array<std::uint32_t, burnCauses> byCause{};
};

/// A ring of the most recent buckets, all of equal length; the oldest is overwritten.
struct burn_ring
{
    burn_ring(millis bucketLength, std::size_t count)
        : length(bucketLength)
        , buckets(count)
    {
    }

    millis length;
    std::vector<burn_bucket> buckets;
    std::int64_t newest = 0; ///< time of the newest bucket divided by `length`
};

void add(burn_ring &ring, const target_result &result, millis now);
/// The sum of the buckets that began between `from` and `to` before `now`, including the current one if `to`
/// is 0.
burn_counts countsBetween(const burn_ring &ring, millis from, millis to, millis now);
/// The same for the `span` up to `now`.
burn_counts countsWithin(const burn_ring &ring, millis span, millis now);

/// Maximum number of callers that are counted separately per target; the others share one ring.
constexpr std::size_t maxBurnCallers = 32;

/// The history of one target at one instance. With three resolutions it takes about 33 KB, where five-minute
/// buckets over a month would take 200 KB. The ring of each caller takes another 3.5 KB.
struct burn_track
{
    millis since; ///< when this instance started counting
    burn_ring hour{millis{10'000}, 360};
    burn_ring day{millis{300'000}, 288};
    burn_ring month{millis{3'600'000}, 720};
    burn_counts all; ///< since `since`
    std::map<std::string, burn_ring, std::less<>> byCaller;
    latency_histogram firstTokenTimes;
    latency_histogram endToEndTimes;
    latency_histogram stallTimes;
};

void add(burn_track &track, const request_record &request, const target_result &result, millis now);

/// The burn report of a target; `track` is nullptr if nothing was counted for it.
target_burn describe(
    const std::string &name, const target_config &target, const burn_track *track, millis now);

}
