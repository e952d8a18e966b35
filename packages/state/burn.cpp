#include "state/burn.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace briarhead {

namespace {

struct span_row
{
    std::string_view name;
    millis length;
};

constexpr millis dayLength{86'400'000};
constexpr std::array<span_row, burnSpans> spanTable{{
    {"5m", {300'000}},
    {"30m", {1'800'000}},
    {"1h", {3'600'000}},
    {"6h", {21'600'000}},
    {"1d", dayLength},
    {"30d", {30 * dayLength.count}},
}};
static_assert(spanTable.size() == static_cast<std::size_t>(burn_span::Month) + 1);

constexpr std::array<std::string_view, burnCauses> causeNames{
    "load_stall", "queueing", "refusal", "failed_server", "other"};
static_assert(causeNames.size() == static_cast<std::size_t>(burn_cause::Other) + 1);

constexpr std::array<std::string_view, 3> levelNames{"fine", "slow", "fast"};

/// Stands in for the error budget of a target of 100%, which is zero and cannot be divided by: one request in
/// a million.
constexpr double minBudget = 1e-6;

/// Burn rates that spend 2% of a month's budget in an hour, 5% in six hours, and the whole budget in a month.
constexpr double fastHourRate = 14.4;
constexpr double fastSixHoursRate = 6;
constexpr double slowDayRate = 1;
/// Minimum number of misses in the long window for an alert, so that a single miss among few requests raises
/// none.
constexpr std::uint64_t minMissesForAlert = 3;

/// Whether the burn rate of both windows is at least `rate`.
bool exceedsRate(const target_burn &target, burn_span longSpan, burn_span shortSpan, double rate)
{
    return missedOf(windowOf(target, longSpan).counts) >= minMissesForAlert
        && burnRate(target, longSpan) >= rate && burnRate(target, shortSpan) >= rate;
}

template <std::size_t size>
void mergePoints(std::array<burn_point, size> &into, const std::array<burn_point, size> &from)
{
    for (std::size_t i = 0; i < size; ++i) {
        into[i].total += from[i].total;
        into[i].missed += from[i].missed;
    }
}

void mergeCounts(target_burn &into, const target_burn &from)
{
    for (std::size_t i = 0; i < burnSpans; ++i) {
        merge(into.windows[i].counts, from.windows[i].counts);
        into.windows[i].covered = into.windows[i].covered + from.windows[i].covered;
    }
    mergePoints(into.hour, from.hour);
    mergePoints(into.day, from.day);
    for (const auto &[name, caller] : from.byCaller) {
        merge(into.byCaller[name].hour, caller.hour);
        merge(into.byCaller[name].day, caller.day);
    }
    merge(into.firstTokenTimes, from.firstTokenTimes);
    merge(into.endToEndTimes, from.endToEndTimes);
    merge(into.stallTimes, from.stallTimes);
}

void copyDefinition(target_burn &into, const target_burn &from)
{
    into.callers = from.callers;
    into.adapters = from.adapters;
    into.firstToken = from.firstToken;
    into.endToEnd = from.endToEnd;
    into.share = from.share;
    into.penalty = from.penalty;
}

/// Sums all but the callers with the most misses under `otherCallers`. Each instance limits the callers in
/// its own report, but a thousand instances may each list different ones.
void limitCallers(target_burn &target)
{
    if (target.byCaller.size() <= maxReportCallers) {
        return;
    }
    std::vector<std::pair<std::uint64_t, std::string>> byMisses;
    for (const auto &[name, caller] : target.byCaller) {
        if (name != otherCallers) {
            byMisses.emplace_back(missedOf(caller.day), name);
        }
    }
    std::ranges::sort(byMisses, std::ranges::greater{});
    for (std::size_t i = maxReportCallers - 1; i < byMisses.size(); ++i) {
        const auto node = target.byCaller.extract(byMisses[i].second);
        caller_burn &others = target.byCaller[std::string(otherCallers)];
        merge(others.hour, node.mapped().hour);
        merge(others.day, node.mapped().day);
    }
}

}

std::string_view nameOf(burn_cause cause)
{
    const auto index = static_cast<std::size_t>(cause);
    return index < causeNames.size() ? causeNames[index] : causeNames.back();
}

std::string_view nameOf(burn_span span)
{
    return spanTable.at(static_cast<std::size_t>(span)).name;
}

std::string_view nameOf(burn_level level)
{
    return levelNames.at(static_cast<std::size_t>(level));
}

millis lengthOf(burn_span span)
{
    return spanTable.at(static_cast<std::size_t>(span)).length;
}

std::uint64_t missedOf(const burn_counts &counts)
{
    return std::accumulate(counts.byCause.begin(), counts.byCause.end(), std::uint64_t{0});
}

void merge(burn_counts &into, const burn_counts &from)
{
    into.total += from.total;
    for (std::size_t i = 0; i < burnCauses; ++i) {
        into.byCause[i] += from.byCause[i];
    }
}

const burn_window &windowOf(const target_burn &target, burn_span span)
{
    return target.windows.at(static_cast<std::size_t>(span));
}

double burnRate(std::uint64_t missed, std::uint64_t total, double share)
{
    if (total == 0) {
        return 0;
    }
    return static_cast<double>(missed) / static_cast<double>(total) / std::max(1 - share, minBudget);
}

double burnRate(const target_burn &target, burn_span span)
{
    const burn_counts &counts = windowOf(target, span).counts;
    return burnRate(missedOf(counts), counts.total, target.share);
}

double coverage(const burn_report &report, const burn_window &window, burn_span span)
{
    const double fullMs = static_cast<double>(lengthOf(span).count) * report.known;
    return fullMs > 0 ? std::min(1.0, static_cast<double>(window.covered.count) / fullMs) : 0;
}

double budgetSpent(const burn_report &report, const target_burn &target, burn_span span)
{
    if (report.answered == 0) {
        return 0;
    }
    const double coveredMs = static_cast<double>(windowOf(target, span).covered.count) / report.answered;
    return burnRate(target, span) * coveredMs / static_cast<double>(lengthOf(burn_span::Month).count);
}

double penaltyIn(const target_burn &target, burn_span span)
{
    return target.penalty * static_cast<double>(missedOf(windowOf(target, span).counts));
}

double projectedPenalty(const burn_report &report, const target_burn &target)
{
    const double covered = coverage(report, windowOf(target, burn_span::Hour), burn_span::Hour);
    if (covered <= 0) {
        return 0;
    }
    const auto hoursPerDay =
        static_cast<double>(dayLength.count) / static_cast<double>(lengthOf(burn_span::Hour).count);
    return penaltyIn(target, burn_span::Hour) / covered * hoursPerDay;
}

burn_level levelOf(const target_burn &target)
{
    if (exceedsRate(target, burn_span::Hour, burn_span::FiveMinutes, fastHourRate)
        || exceedsRate(target, burn_span::SixHours, burn_span::HalfHour, fastSixHoursRate)) {
        return burn_level::Fast;
    }
    return exceedsRate(target, burn_span::Day, burn_span::SixHours, slowDayRate) ? burn_level::Slow
                                                                                 : burn_level::Fine;
}

void merge(burn_report &into, const burn_report &from)
{
    const bool newer = from.configVersion > into.configVersion;
    into.configVersion = std::max(into.configVersion, from.configVersion);
    into.answered += from.answered;
    into.known += from.known;
    for (const target_burn &target : from.targets) {
        const auto position = std::lower_bound(into.targets.begin(), into.targets.end(), target.name,
            [](const target_burn &existing, const std::string &name) {
                return existing.name < name;
            });
        if (position == into.targets.end() || position->name != target.name) {
            into.targets.insert(position, target);
            continue;
        }
        mergeCounts(*position, target);
        if (newer) {
            copyDefinition(*position, target);
        }
    }
}

std::string mergeBurn(const std::vector<std::string> &reports, std::uint32_t known)
{
    burn_report sum;
    for (const std::string &text : reports) {
        error why;
        if (const auto report = parseBurn(text, why)) {
            merge(sum, *report);
        }
    }
    sum.known = std::max(known, sum.answered);
    std::ranges::for_each(sum.targets, limitCallers);
    return toJson(sum);
}

}
