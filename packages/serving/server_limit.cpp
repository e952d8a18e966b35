#include "serving/server_limit.h"

#include "coordination/quota_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;
constexpr double rounding = 1e-9;
/// No limit makes a request wait for longer; also where nothing is granted at all.
constexpr double longestTurnMs = 60'000;
constexpr std::int64_t oldestHeardMs = 24LL * 3'600 * 1'000;

/// Requests a second that this daemon grants.
double rateOf(const limit_turns &turns)
{
    return turns.share * std::max(turns.perSecond.value_or(0), leastPerSecond);
}

void fillTurns(const limit_turns &turns, quota_bucket &bucket, millis now)
{
    fill(bucket, rateOf(turns), turnsKept + secondsKept * rateOf(turns), now);
}

}

std::string_view nameOf(limit_change value)
{
    static constexpr std::string_view names[] = {"none", "named", "changed", "ended"};
    return names[static_cast<std::size_t>(value)];
}

limit_change hearLimit(announced_limits &limits, const std::string &server, std::optional<double> limit,
    millis sentAt, millis now)
{
    const auto known = limits.find(server);
    if (!limit) {
        if (known == limits.end() || sentAt <= known->second.receivedAt) {
            return limit_change::None;
        }
        limits.erase(known);
        return limit_change::Ended;
    }
    if (known == limits.end()) {
        limits[server] = {*limit, now, now};
        return limit_change::Named;
    }
    const bool same = known->second.perSecond == *limit;
    known->second.perSecond = *limit;
    known->second.receivedAt = now;
    return same ? limit_change::None : limit_change::Changed;
}

std::optional<double> limitFrom(std::int64_t milli)
{
    return milli < 0 ? std::nullopt : std::optional(fromMilli(milli));
}

millis heardBefore(std::int64_t ageMs, millis now)
{
    return std::max(now - millis{std::clamp<std::int64_t>(ageMs, 0, oldestHeardMs)}, millis{});
}

void hearKept(
    announced_limits &limits, const std::string &server, std::optional<double> limit, millis wait, millis now)
{
    const auto known = limits.find(server);
    if (!limit) {
        if (known != limits.end() && now - known->second.receivedAt > limitWordLife) {
            limits.erase(known);
        }
        return;
    }
    const millis heard = known == limits.end() ? now : known->second.receivedAt;
    limits[server] = {*limit, heard, now + wait};
}

void hearTold(announced_limits &limits, const std::string &server, double perSecond, millis heard, millis now)
{
    const auto known = limits.find(server);
    if (known == limits.end()) {
        limits[server] = {perSecond, heard, now};
    } else if (heard > known->second.receivedAt) {
        known->second.perSecond = perSecond;
        known->second.receivedAt = heard;
    }
}

void countTurn(announced_limit &limit, millis now)
{
    const double span = msPerSecond / std::max(limit.perSecond, leastPerSecond);
    limit.nextPermitAt = std::max(limit.nextPermitAt, now) + millis{std::llround(span)};
}

void nameLimit(limit_turns &turns, double perSecond, millis at, millis now)
{
    if (at < turns.heard || (turns.ended.count != 0 && at <= turns.ended)) {
        return;
    }
    if (turns.perSecond) {
        fillTurns(turns, turns.turns, now);
    } else {
        turns.turns = {0, now};
    }
    turns.perSecond = perSecond;
    turns.heard = at;
}

void endLimit(limit_turns &turns, millis grantedAt, millis now)
{
    if (turns.perSecond && grantedAt > turns.heard) {
        turns.perSecond.reset();
        turns.ended = now;
    }
}

void setShare(limit_turns &turns, double share, millis now)
{
    fillTurns(turns, turns.turns, now);
    turns.share = share;
}

std::size_t turnsLeft(limit_turns &turns, millis now)
{
    if (!turns.perSecond) {
        return std::numeric_limits<std::size_t>::max();
    }
    fillTurns(turns, turns.turns, now);
    return static_cast<std::size_t>(std::max(turns.turns.level + rounding, 0.0));
}

void takeTurn(limit_turns &turns)
{
    if (turns.perSecond) {
        turns.turns.level -= 1;
    }
}

void returnTurn(limit_turns &turns)
{
    if (turns.perSecond) {
        turns.turns.level += 1;
    }
}

millis turnAfter(const limit_turns &turns, std::size_t ahead, millis now)
{
    if (!turns.perSecond) {
        return {};
    }
    quota_bucket filled = turns.turns;
    fillTurns(turns, filled, now);
    const double lacks = static_cast<double>(ahead) + 1 - filled.level;
    if (lacks <= rounding) {
        return {};
    }
    const double wait = rateOf(turns) > 0 ? lacks * msPerSecond / rateOf(turns) : longestTurnMs;
    return {std::llround(std::ceil(std::min(wait, longestTurnMs)))};
}

}
