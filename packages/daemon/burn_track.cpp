#include "daemon/burn_track.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr millis callerBucketLength{600'000};
constexpr std::size_t callerBuckets = 144; // one day

std::int64_t bucketNumber(const burn_ring &ring, millis at)
{
    return at.count / ring.length.count;
}

burn_bucket &bucketAt(burn_ring &ring, std::int64_t number)
{
    return ring.buckets[static_cast<std::size_t>(number) % ring.buckets.size()];
}

const burn_bucket &bucketAt(const burn_ring &ring, std::int64_t number)
{
    return ring.buckets[static_cast<std::size_t>(number) % ring.buckets.size()];
}

/// Clears the buckets between the newest one and `number`, which still hold old counts.
void advance(burn_ring &ring, std::int64_t number)
{
    const auto size = static_cast<std::int64_t>(ring.buckets.size());
    for (auto reused = std::max(ring.newest + 1, number - size + 1); reused <= number; ++reused) {
        bucketAt(ring, reused) = {};
    }
    ring.newest = std::max(ring.newest, number);
}

/// The ring with the shortest buckets that covers the entire span.
const burn_ring &ringFor(const burn_track &track, millis span)
{
    if (span <= lengthOf(burn_span::Hour)) {
        return track.hour;
    }
    return span <= lengthOf(burn_span::Day) ? track.day : track.month;
}

/// Drops the callers that had no requests for a day, the length of their rings.
void dropIdleCallers(burn_track &track, millis now)
{
    std::erase_if(track.byCaller, [now](const auto &entry) {
        const burn_ring &ring = entry.second;
        return ring.newest + static_cast<std::int64_t>(ring.buckets.size()) <= bucketNumber(ring, now);
    });
}

burn_ring &callerRing(burn_track &track, const std::string &caller, millis now)
{
    if (const auto found = track.byCaller.find(caller); found != track.byCaller.end()) {
        return found->second;
    }
    if (track.byCaller.size() >= maxBurnCallers) {
        dropIdleCallers(track, now);
    }
    const bool countedSeparately = !caller.empty() && track.byCaller.size() < maxBurnCallers;
    const std::string name = countedSeparately ? caller : std::string(otherCallers);
    return track.byCaller.try_emplace(name, callerBucketLength, callerBuckets).first->second;
}

template <std::size_t size>
void fillPoints(std::array<burn_point, size> &points, const burn_ring &ring, millis step, millis now)
{
    for (std::size_t i = 0; i < size; ++i) {
        const auto stepsAgo = static_cast<std::int64_t>(size - i);
        const burn_counts counts =
            countsBetween(ring, {stepsAgo * step.count}, {(stepsAgo - 1) * step.count}, now);
        points[i] = {counts.total, missedOf(counts)};
    }
}

void fillFromTrack(target_burn &report, const burn_track &track, millis now)
{
    for (std::size_t i = 0; i < burnSpans; ++i) {
        const millis span = lengthOf(static_cast<burn_span>(i));
        report.windows[i].counts = countsWithin(ringFor(track, span), span, now);
        report.windows[i].covered = std::min(span, now - track.since);
    }
    fillPoints(report.hour, track.hour, hourStep, now);
    fillPoints(report.day, track.day, dayStep, now);
    for (const auto &[name, ring] : track.byCaller) {
        report.byCaller[name] = {countsWithin(ring, lengthOf(burn_span::Hour), now),
            countsWithin(ring, lengthOf(burn_span::Day), now)};
    }
    report.firstTokenTimes = track.firstTokenTimes;
    report.endToEndTimes = track.endToEndTimes;
    report.stallTimes = track.stallTimes;
}

}

void add(burn_ring &ring, const target_result &result, millis now)
{
    advance(ring, bucketNumber(ring, now));
    burn_bucket &bucket = bucketAt(ring, ring.newest);
    ++bucket.total;
    if (result.missed) {
        ++bucket.byCause[static_cast<std::size_t>(result.cause)];
    }
}

burn_counts countsBetween(const burn_ring &ring, millis from, millis to, millis now)
{
    const std::int64_t current = bucketNumber(ring, now);
    const auto size = static_cast<std::int64_t>(ring.buckets.size());
    const std::int64_t first =
        std::max({current - from.count / ring.length.count + 1, ring.newest - size + 1, std::int64_t{0}});
    const std::int64_t last = std::min(current - to.count / ring.length.count, ring.newest);
    burn_counts sum;
    for (std::int64_t number = first; number <= last; ++number) {
        const burn_bucket &bucket = bucketAt(ring, number);
        sum.total += bucket.total;
        for (std::size_t i = 0; i < burnCauses; ++i) {
            sum.byCause[i] += bucket.byCause[i];
        }
    }
    return sum;
}

burn_counts countsWithin(const burn_ring &ring, millis span, millis now)
{
    return countsBetween(ring, span, millis{0}, now);
}

void add(burn_track &track, const request_record &request, const target_result &result, millis now)
{
    add(track.hour, result, now);
    add(track.day, result, now);
    add(track.month, result, now);
    add(callerRing(track, request.caller, now), result, now);
    ++track.all.total;
    if (result.missed) {
        ++track.all.byCause[static_cast<std::size_t>(result.cause)];
    }
    if (request.tokens > 0) {
        record(track.firstTokenTimes, static_cast<double>(request.firstToken.count));
    }
    if (request.result == outcome::Done) {
        record(track.endToEndTimes, static_cast<double>(request.endToEnd.count));
    }
    if (!request.service) {
        record(track.stallTimes, static_cast<double>(request.stall.count));
    }
}

target_burn describe(
    const std::string &name, const target_config &target, const burn_track *track, millis now)
{
    target_burn report;
    report.name = name;
    report.callers = target.callers;
    report.adapters = target.adapters;
    report.firstToken = target.firstToken;
    report.endToEnd = target.endToEnd;
    report.share = target.share;
    report.penalty = target.penalty;
    if (track != nullptr) {
        fillFromTrack(report, *track, now);
    }
    return report;
}

}
