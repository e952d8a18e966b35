#include "scheduling/server_limit.h"

#include "coordination/quota_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;
constexpr double rounding = 1e-9;
/// Upper bound of permitDelay(), also while nothing may be granted.
constexpr double maxPermitDelayMs = 60'000;
constexpr std::int64_t maxLimitAgeMs = 24LL * 3'600 * 1'000;

/// Permits per second that this daemon may grant.
double grantRate(const limit_permits &permits)
{
    return permits.share * std::max(permits.perSecond.value_or(0), minPerSecond);
}

void refill(const limit_permits &permits, quota_bucket &bucket, millis now)
{
    fill(bucket, grantRate(permits), maxSavedPermits + maxSavedSeconds * grantRate(permits), now);
}

}

std::string_view nameOf(limit_change value)
{
    static constexpr std::string_view names[] = {"none", "named", "changed", "ended"};
    return names[static_cast<std::size_t>(value)];
}

limit_change applyResponseLimit(announced_limits &limits, const std::string &server,
    std::optional<double> limit, std::optional<std::int64_t> maxRejections, millis sentAt, millis now)
{
    limit = rateOf(limit, maxRejections);
    const auto known = limits.find(server);
    if (!limit) {
        if (known == limits.end() || sentAt <= known->second.receivedAt) {
            return limit_change::None;
        }
        limits.erase(known);
        return limit_change::Withdrawn;
    }
    if (known == limits.end()) {
        limits[server] = {*limit, now, now, maxRejections};
        return limit_change::Announced;
    }
    const bool same = known->second.perSecond == *limit && known->second.maxRejections == maxRejections;
    known->second.perSecond = *limit;
    known->second.maxRejections = maxRejections;
    known->second.receivedAt = now;
    return same ? limit_change::None : limit_change::Changed;
}

std::optional<double> rateOf(std::optional<double> limit, std::optional<std::int64_t> maxRejections)
{
    return limit || !maxRejections ? limit : std::optional(unlimitedPerSecond);
}

std::optional<double> decodeLimit(std::int64_t milli)
{
    return milli < 0 ? std::nullopt : std::optional(fromMilli(milli));
}

millis timeFromAge(std::int64_t ageMs, millis now)
{
    return std::max(now - millis{std::clamp<std::int64_t>(ageMs, 0, maxLimitAgeMs)}, millis{});
}

void applyOwnerLimit(
    announced_limits &limits, const std::string &server, std::optional<double> limit, millis wait, millis now)
{
    const auto known = limits.find(server);
    if (!limit) {
        if (known != limits.end() && now - known->second.receivedAt > recentLimitAge) {
            limits.erase(known);
        }
        return;
    }
    announced_limit &announced = limits.try_emplace(server, announced_limit{*limit, now, now}).first->second;
    announced.perSecond = *limit;
    announced.nextPermitAt = now + wait;
}

void applyPeerLimit(
    announced_limits &limits, const std::string &server, double perSecond, millis seenAt, millis now)
{
    const auto known = limits.find(server);
    if (known == limits.end()) {
        limits[server] = {perSecond, seenAt, now};
    } else if (seenAt > known->second.receivedAt) {
        known->second.perSecond = perSecond;
        known->second.receivedAt = seenAt;
    }
}

void countPermitRequest(announced_limit &limit, millis now)
{
    const double span = msPerSecond / std::max(limit.perSecond, minPerSecond);
    limit.nextPermitAt = std::max(limit.nextPermitAt, now) + millis{std::llround(span)};
}

void applyLimit(limit_permits &permits, double perSecond, millis seenAt, millis now)
{
    if (seenAt < permits.lastSeen || (permits.withdrawnAt.count != 0 && seenAt <= permits.withdrawnAt)) {
        return;
    }
    if (permits.perSecond) {
        refill(permits, permits.bucket, now);
    } else {
        permits.bucket = {0, now};
    }
    permits.perSecond = perSecond;
    permits.lastSeen = seenAt;
}

void withdrawLimit(limit_permits &permits, millis grantedAt, millis now)
{
    if (permits.perSecond && grantedAt > permits.lastSeen) {
        permits.perSecond.reset();
        permits.maxRejections.reset();
        permits.withdrawnAt = now;
    }
}

void setShare(limit_permits &permits, double share, millis now)
{
    refill(permits, permits.bucket, now);
    permits.share = share;
}

std::size_t permitsLeft(limit_permits &permits, millis now)
{
    if (!permits.perSecond) {
        return std::numeric_limits<std::size_t>::max();
    }
    refill(permits, permits.bucket, now);
    return static_cast<std::size_t>(std::max(permits.bucket.level + rounding, 0.0));
}

void recordRejection(limit_permits &permits, millis now)
{
    permits.rejections.push_back(now);
}

std::size_t roomLeft(limit_permits &permits, std::size_t running, int slots, millis now)
{
    while (!permits.rejections.empty() && now - permits.rejections.front() >= rejectionWindow) {
        permits.rejections.pop_front();
    }
    if (!permits.maxRejections) {
        return std::numeric_limits<std::size_t>::max();
    }
    if (now < permits.grantsFrom) {
        return 0;
    }
    const auto rejected = static_cast<std::int64_t>(permits.rejections.size());
    const auto trusted = static_cast<std::int64_t>(std::floor(std::max(slots, 1) * permits.share));
    const std::int64_t bound =
        rejected == 0 ? trusted : std::min(trusted, *permits.maxRejections - 1 - rejected);
    return static_cast<std::size_t>(std::max<std::int64_t>(bound - static_cast<std::int64_t>(running), 0));
}

void acquirePermit(limit_permits &permits)
{
    if (permits.perSecond) {
        permits.bucket.level -= 1;
    }
}

void returnPermit(limit_permits &permits)
{
    if (permits.perSecond) {
        permits.bucket.level += 1;
    }
}

millis permitDelay(const limit_permits &permits, std::size_t ahead, millis now)
{
    if (!permits.perSecond) {
        return {};
    }
    quota_bucket filled = permits.bucket;
    refill(permits, filled, now);
    const double missing = static_cast<double>(ahead) + 1 - filled.level;
    if (missing <= rounding) {
        return {};
    }
    const double wait =
        grantRate(permits) > 0 ? missing * msPerSecond / grantRate(permits) : maxPermitDelayMs;
    return {std::llround(std::ceil(std::min(wait, maxPermitDelayMs)))};
}

}
