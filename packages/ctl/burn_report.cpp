#include "ctl/burn_report.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace briarhead {

namespace {

/// In the order of burn_cause.
constexpr std::array<std::string_view, burnCauses> causeLabels{
    "load stall", "queueing", "refusal", "failed server", "other"};
/// Callers listed per target.
constexpr std::size_t maxTableCallers = 5;
constexpr double msPerSecond = 1000;
constexpr double msPerMinute = 60'000;
/// Below this coverage of the last day, the report warns that earlier misses are not counted.
constexpr double minFullCoverage = 0.99;

template <class... values>
void append(std::string &out, fmt::format_string<values...> format, values &&...args)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<values>(args)...);
}

void appendWindows(std::string &out, const burn_report &report, const target_burn &target)
{
    append(out, "  {:<6} {:>10} {:>8} {:>8} {:>12} {:>10}\n", "window", "requests", "missed", "burn",
        "budget spent", "remembered");
    for (std::size_t i = 0; i < burnSpans; ++i) {
        const auto span = static_cast<burn_span>(i);
        const burn_window &window = target.windows[i];
        append(out, "  {:<6} {:>10} {:>8} {:>8} {:>12} {:>10}\n", nameOf(span),
            detail::countText(window.counts.total), detail::countText(missedOf(window.counts)),
            detail::rateText(burnRate(target, span)), detail::percentText(budgetSpent(report, target, span)),
            detail::percentText(coverage(report, window, span)));
    }
}

void appendCauses(std::string &out, const target_burn &target)
{
    const burn_counts &day = windowOf(target, burn_span::Day).counts;
    const std::uint64_t missed = missedOf(day);
    if (missed == 0) {
        return;
    }
    std::vector<std::size_t> causesByMisses{0, 1, 2, 3, 4};
    static_assert(burnCauses == 5);
    std::ranges::stable_sort(causesByMisses, [&](auto a, auto b) {
        return day.byCause[a] > day.byCause[b];
    });
    out += "  causes in a day:";
    std::string_view separator = " ";
    for (const std::size_t cause : causesByMisses) {
        if (day.byCause[cause] > 0) {
            const double shareOfMisses =
                static_cast<double>(day.byCause[cause]) / static_cast<double>(missed);
            append(out, "{}{} {} ({})", separator, causeLabels[cause], detail::countText(day.byCause[cause]),
                detail::percentText(shareOfMisses));
            separator = ", ";
        }
    }
    out += '\n';
}

void appendCallers(std::string &out, const target_burn &target)
{
    for (const detail::caller_row &row : detail::worstCallers(target, maxTableCallers)) {
        const burn_counts &day = row.burn->day;
        append(out, "  caller {}: {} of {} missed in a day, mostly {}\n", row.name,
            detail::countText(missedOf(day)), detail::countText(day.total),
            detail::labelOf(detail::worstCause(day)));
    }
}

void appendTimes(std::string &out, std::string_view label, const latency_histogram &times)
{
    if (countOf(times) > 0) {
        append(out, "  {}: half within {}, 95% within {}, 99% within {}\n", label,
            detail::quantileText(times, 0.5), detail::quantileText(times, 0.95),
            detail::quantileText(times, 0.99));
    }
}

void appendTarget(std::string &out, const burn_report &report, const target_burn &target)
{
    append(out, "\n{} [{}]\n  {}\n", target.name, nameOf(levelOf(target)), detail::definitionOf(target));
    appendWindows(out, report, target);
    append(out, "  penalty: {} in the last day; {} a day at the last hour's pace; {} a miss\n",
        detail::moneyText(penaltyIn(target, burn_span::Day)),
        detail::moneyText(projectedPenalty(report, target)), detail::moneyText(target.penalty));
    appendCauses(out, target);
    appendCallers(out, target);
    appendTimes(out, "first token", target.firstTokenTimes);
    appendTimes(out, "whole answer", target.endToEndTimes);
    appendTimes(out, "load stall", target.stallTimes);
}

/// Inserts commas between groups of three digits before the decimal point.
std::string groupThousands(std::string digits)
{
    std::size_t position = std::min(digits.find('.'), digits.size());
    while (position > 3) {
        position -= 3;
        digits.insert(position, 1, ',');
    }
    return digits;
}

/// The lowest coverage of the last day among the targets; 1 if there are none.
double minDayCoverage(const burn_report &report)
{
    double minCoverage = 1;
    for (const target_burn &target : report.targets) {
        minCoverage =
            std::min(minCoverage, coverage(report, windowOf(target, burn_span::Day), burn_span::Day));
    }
    return minCoverage;
}

}

namespace detail {

std::vector<const target_burn *> byUrgency(const burn_report &report)
{
    std::vector<const target_burn *> targets;
    for (const target_burn &target : report.targets) {
        targets.push_back(&target);
    }
    std::ranges::stable_sort(targets, [&](const target_burn *a, const target_burn *b) {
        const burn_level levelA = levelOf(*a);
        const burn_level levelB = levelOf(*b);
        return levelA != levelB ? levelA > levelB
                                : projectedPenalty(report, *a) > projectedPenalty(report, *b);
    });
    return targets;
}

std::string definitionOf(const target_burn &target)
{
    std::string text = fmt::format("{:.6g}% of requests by {} on {}:", 100 * target.share, target.callers,
        target.adapters.empty() ? "everything" : target.adapters);
    if (target.firstToken > millis{0}) {
        append(text, " first token within {}", durationText(static_cast<double>(target.firstToken.count)));
    }
    if (target.endToEnd > millis{0}) {
        append(text, "{} whole answer within {}", target.firstToken > millis{0} ? "," : "",
            durationText(static_cast<double>(target.endToEnd.count)));
    }
    if (target.firstToken <= millis{0} && target.endToEnd <= millis{0}) {
        text += " answered at all";
    }
    return text;
}

std::string_view labelOf(burn_cause cause)
{
    return causeLabels.at(static_cast<std::size_t>(cause));
}

burn_cause worstCause(const burn_counts &counts)
{
    const auto worst = std::ranges::max_element(counts.byCause);
    return static_cast<burn_cause>(worst - counts.byCause.begin());
}

std::string durationText(double ms)
{
    if (ms < msPerSecond) {
        return fmt::format("{:.0f} ms", ms);
    }
    return ms < msPerMinute ? fmt::format("{:.3g} s", ms / msPerSecond)
                            : fmt::format("{:.3g} min", ms / msPerMinute);
}

std::string quantileText(const latency_histogram &times, double quantile)
{
    const double ms = quantileMs(times, quantile);
    return durationText(ms) + (ms < maxLatencyMs ? "" : " or more");
}

std::string percentText(double share)
{
    const double percent = 100 * share;
    return percent > 0 && percent < 0.1 ? "under 0.1%" : fmt::format("{:.1f}%", percent);
}

std::string rateText(double burnRate)
{
    return burnRate < 100 ? fmt::format("{:.2f}", burnRate) : fmt::format("{:.0f}", burnRate);
}

std::string countText(std::uint64_t count)
{
    return groupThousands(fmt::format("{}", count));
}

std::string moneyText(double amount)
{
    return groupThousands(fmt::format("{:.2f}", amount));
}

std::vector<caller_row> worstCallers(const target_burn &target, std::size_t limit)
{
    std::vector<caller_row> rows;
    for (const auto &[name, burn] : target.byCaller) {
        if (missedOf(burn.day) > 0) {
            rows.push_back({name, &burn});
        }
    }
    std::ranges::stable_sort(rows, [](const caller_row &a, const caller_row &b) {
        return missedOf(a.burn->day) > missedOf(b.burn->day);
    });
    rows.resize(std::min(rows.size(), limit));
    return rows;
}

std::string caveatOf(const burn_report &report)
{
    std::string text;
    if (report.answered < report.known) {
        append(text, "{} of {} instances did not answer; their requests are missing here.",
            report.known - report.answered, report.known);
    }
    const double dayCoverage = minDayCoverage(report);
    if (dayCoverage < minFullCoverage) {
        append(text,
            "{}The instances remember {} of the last day: they keep nothing over a restart, so earlier "
            "misses "
            "are not counted.",
            text.empty() ? "" : " ", percentText(dayCoverage));
    }
    return text;
}

}

std::string burnTable(const burn_report &report)
{
    std::string out =
        fmt::format("Service-level burn: {} of {} instances answered, configuration version {}\n",
            report.answered, report.known, report.configVersion);
    if (const std::string caveat = detail::caveatOf(report); !caveat.empty()) {
        out += caveat + '\n';
    }
    if (report.targets.empty()) {
        out += "No targets are configured. Add one with a patch that sets \"targets\".\n";
    }
    for (const target_burn *target : detail::byUrgency(report)) {
        appendTarget(out, report, *target);
    }
    return out;
}

}
