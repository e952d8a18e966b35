#include "ctl/burn_page.h"

#include "ctl/burn_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <iterator>
#include <span>
#include <spdlog/fmt/fmt.h>

namespace briarhead {

namespace {

constexpr std::string_view style = R"css(
body { font: 15px/1.45 system-ui, "DejaVu Sans", sans-serif; color: #1f2933; background: #f4f5f7; margin: 0; }
main { max-width: 1080px; margin: 0 auto; padding: 24px 20px 48px; }
h1 { font-size: 24px; margin: 0 0 4px; }
h2 { font-size: 18px; margin: 0; display: inline; }
h3 { font-size: 13px; margin: 16px 0 4px; color: #52606d; font-weight: 600; }
p { margin: 4px 0; }
.faint { color: #52606d; font-size: 13px; }
.caveat { background: #fff4d6; border-left: 4px solid #c98a00; padding: 8px 12px; margin: 14px 0; }
.tiles { display: flex; flex-wrap: wrap; gap: 12px; margin: 14px 0; }
.tile { background: #fff; border: 1px solid #dde1e6; border-radius: 6px; padding: 10px 16px; min-width: 150px; }
.tile b { display: block; font-size: 22px; }
section { background: #fff; border: 1px solid #dde1e6; border-radius: 6px; padding: 16px 18px; margin: 16px 0; }
section .tile { background: #f8f9fa; }
.level { border-radius: 4px; padding: 2px 9px; margin-left: 8px; font-size: 13px; font-weight: 600; }
.fine { background: #d9f2e3; color: #14532d; }
.slow { background: #ffedc2; color: #6b4700; }
.fast { background: #fbd5d5; color: #7f1d1d; }
.plots { display: flex; flex-wrap: wrap; gap: 18px; }
.tables { display: flex; flex-wrap: wrap; column-gap: 40px; }
svg { display: block; max-width: 100%; }
svg text { font: 11px system-ui, "DejaVu Sans", sans-serif; fill: #52606d; }
table { border-collapse: collapse; font-size: 13px; margin-top: 4px; }
th, td { padding: 3px 14px 3px 0; text-align: right; font-variant-numeric: tabular-nums; }
th { color: #52606d; font-weight: 600; border-bottom: 1px solid #dde1e6; }
th:first-child, td:first-child, th.left, td.left { text-align: left; }
.key { display: inline-block; width: 10px; height: 10px; border-radius: 2px; margin: 0 5px 0 12px; }
.key:first-child { margin-left: 0; }
)css";

/// Colours of the causes, in the order of burn_cause. Uses the Okabe-Ito palette, which is distinguishable
/// with any colour vision.
constexpr std::array<std::string_view, burnCauses> causeColours{
    "#e69f00", "#56b4e9", "#009e73", "#d55e00", "#999999"};

/// Dimensions of a plot and its margins, in SVG pixels.
constexpr double plotWidth = 500;
constexpr double plotHeight = 190;
constexpr double plotLeft = 44;
constexpr double plotRight = 8;
constexpr double plotTop = 10;
constexpr double plotBottom = 24;
constexpr double plotInnerWidth = plotWidth - plotLeft - plotRight;
constexpr double plotInnerHeight = plotHeight - plotTop - plotBottom;
/// Dimensions of the bar of causes, in SVG pixels.
constexpr double barWidth = 1020;
constexpr double barHeight = 18;
/// Intervals between the labels of an axis.
constexpr int ticksX = 4;
constexpr int ticksY = 4;
/// Callers listed per target.
constexpr std::size_t maxPageCallers = 10;
/// The burn rate axis reaches at least this value, so that the budget line at 1 is always visible.
constexpr double minPlotRate = 2;

template <class... values>
void append(std::string &out, fmt::format_string<values...> format, values &&...args)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<values>(args)...);
}

/// Escapes text for HTML. Names come from operators' patches and can contain markup.
std::string escaped(std::string_view text)
{
    std::string out;
    for (const char character : text) {
        switch (character) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += character;
        }
    }
    return out;
}

void appendTile(std::string &out, std::string_view value, std::string_view caption)
{
    append(out, "<div class=\"tile\"><b>{}</b><span class=\"faint\">{}</span></div>\n", value, caption);
}

/// The smallest of 1, 2 or 5 times a power of ten that is not below the value, which must be positive.
double niceCeiling(double value)
{
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double step : {1.0, 2.0, 5.0}) {
        if (value <= step * power * (1 + 1e-9)) {
            return step * power;
        }
    }
    return 10 * power;
}

/// A time series of burn rates with the scale of its plot.
struct plot_series
{
    std::span<const burn_point> points;
    double share = 0; ///< of requests that must meet the target
    double maxRate = minPlotRate; ///< burn rate at the upper edge
    millis step; ///< time between two points
};

plot_series makePlotSeries(std::span<const burn_point> points, double share, millis step)
{
    double maxPointRate = minPlotRate;
    for (const burn_point &point : points) {
        maxPointRate = std::max(maxPointRate, burnRate(point.missed, point.total, share));
    }
    return {points, share, niceCeiling(maxPointRate), step};
}

double xOf(const plot_series &series, std::size_t point)
{
    return plotLeft
        + plotInnerWidth * (static_cast<double>(point) + 0.5) / static_cast<double>(series.points.size());
}

double yOf(const plot_series &series, double rate)
{
    return plotTop + plotInnerHeight * (1 - rate / series.maxRate);
}

void appendAxes(std::string &out, const plot_series &series)
{
    for (int tick = 0; tick <= ticksY; ++tick) {
        const double rate = series.maxRate * tick / ticksY;
        const double y = yOf(series, rate);
        append(out, "<line x1=\"{}\" y1=\"{:.1f}\" x2=\"{}\" y2=\"{:.1f}\" stroke=\"#e4e7eb\"/>", plotLeft, y,
            plotWidth - plotRight, y);
        append(out, "<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{:.3g}</text>\n", plotLeft - 6, y + 4,
            rate);
    }
    const double lengthMs =
        static_cast<double>(series.step.count) * static_cast<double>(series.points.size());
    for (int tick = 0; tick <= ticksX; ++tick) {
        const double x = plotLeft + plotInnerWidth * tick / ticksX;
        const double ageMs = lengthMs * (ticksX - tick) / ticksX;
        const double ageHours = ageMs / 3'600'000;
        const std::string label = tick == ticksX ? "now"
            : lengthMs > 3'600'000               ? fmt::format("-{:.3g} h", ageHours)
                                                 : fmt::format("-{:.3g} min", ageHours * 60);
        const std::string_view anchor = tick == 0 ? "start" : tick == ticksX ? "end" : "middle";
        append(out, "<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"{}\">{}</text>\n", x, plotHeight - 6, anchor,
            label);
    }
}

/// Draws the burn rate as a line with gaps where there were no requests. A point between two gaps is drawn as
/// a dot, as a line of one point is invisible.
void appendRates(std::string &out, const plot_series &series)
{
    std::string path;
    for (std::size_t i = 0; i < series.points.size(); ++i) {
        if (series.points[i].total == 0) {
            continue;
        }
        const bool connectedToPrevious = i > 0 && series.points[i - 1].total > 0;
        const bool isIsolated =
            !connectedToPrevious && (i + 1 == series.points.size() || series.points[i + 1].total == 0);
        const double y = yOf(series, burnRate(series.points[i].missed, series.points[i].total, series.share));
        append(path, "{}{:.1f} {:.1f}", connectedToPrevious ? 'L' : 'M', xOf(series, i), y);
        if (isIsolated) {
            append(out, "<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"2\" fill=\"#1f5fa8\"/>", xOf(series, i), y);
        }
    }
    append(out,
        "<path d=\"{}\" fill=\"none\" stroke=\"#1f5fa8\" stroke-width=\"2\" stroke-linejoin=\"round\"/>\n",
        path);
}

void appendPlot(std::string &out, std::string_view title, const plot_series &series)
{
    append(out, "<div><h3>{}</h3><svg width=\"{}\" height=\"{}\" viewBox=\"0 0 {} {}\" role=\"img\">\n",
        title, plotWidth, plotHeight, plotWidth, plotHeight);
    appendAxes(out, series);
    const double budget = yOf(series, 1);
    append(out,
        "<line x1=\"{}\" y1=\"{:.1f}\" x2=\"{}\" y2=\"{:.1f}\" stroke=\"#b42318\" stroke-dasharray=\"5 "
        "4\"/>\n",
        plotLeft, budget, plotWidth - plotRight, budget);
    appendRates(out, series);
    out += "</svg></div>\n";
}

void appendCauseBar(std::string &out, const burn_counts &counts)
{
    append(out, "<svg width=\"{}\" height=\"{}\" viewBox=\"0 0 {} {}\" role=\"img\">", barWidth, barHeight,
        barWidth, barHeight);
    const auto missed = static_cast<double>(missedOf(counts));
    double x = 0;
    for (std::size_t i = 0; i < burnCauses; ++i) {
        const double width = barWidth * static_cast<double>(counts.byCause[i]) / missed;
        append(out, "<rect x=\"{:.1f}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>", x, width, barHeight,
            causeColours[i]);
        x += width;
    }
    out += "</svg>\n<p class=\"faint\">";
    for (std::size_t i = 0; i < burnCauses; ++i) {
        append(out, "<span class=\"key\" style=\"background:{}\"></span>{} {} ({})", causeColours[i],
            detail::labelOf(static_cast<burn_cause>(i)), detail::countText(counts.byCause[i]),
            detail::percentText(static_cast<double>(counts.byCause[i]) / missed));
    }
    out += "</p>\n";
}

void appendCauses(std::string &out, const target_burn &target)
{
    for (const burn_span span : {burn_span::Hour, burn_span::Day}) {
        const burn_counts &counts = windowOf(target, span).counts;
        if (const std::uint64_t missed = missedOf(counts); missed > 0) {
            append(out, "<h3>Why {} requests missed it in the last {}</h3>\n", detail::countText(missed),
                span == burn_span::Hour ? "hour" : "day");
            appendCauseBar(out, counts);
        }
    }
}

void appendWindows(std::string &out, const burn_report &report, const target_burn &target)
{
    out += "<div><h3>Windows</h3><table><tr><th>Window</th><th>Requests</th><th>Missed</th><th>Burn rate</th>"
           "<th>Budget spent</th><th>Remembered</th></tr>\n";
    for (std::size_t i = 0; i < burnSpans; ++i) {
        const auto span = static_cast<burn_span>(i);
        const burn_window &window = target.windows[i];
        append(out, "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            nameOf(span), detail::countText(window.counts.total), detail::countText(missedOf(window.counts)),
            detail::rateText(burnRate(target, span)), detail::percentText(budgetSpent(report, target, span)),
            detail::percentText(coverage(report, window, span)));
    }
    out += "</table></div>\n";
}

void appendCallers(std::string &out, const target_burn &target)
{
    const auto rows = detail::worstCallers(target, maxPageCallers);
    if (rows.empty()) {
        return;
    }
    out += "<div><h3>Callers with the most misses in the last "
           "day</h3><table><tr><th>Caller</th><th>Requests</th>"
           "<th>Missed</th><th>Burn rate</th><th>Penalty</th><th class=\"left\">Mostly</th></tr>\n";
    for (const detail::caller_row &row : rows) {
        const burn_counts &day = row.burn->day;
        const std::uint64_t missed = missedOf(day);
        append(out,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td class=\"left\">{}</td></tr>\n",
            escaped(row.name), detail::countText(day.total), detail::countText(missed),
            detail::rateText(burnRate(missed, day.total, target.share)),
            detail::moneyText(target.penalty * static_cast<double>(missed)),
            detail::labelOf(detail::worstCause(day)));
    }
    out += "</table></div>\n";
}

void appendTimes(std::string &out, const target_burn &target)
{
    if (countOf(target.endToEndTimes) == 0) {
        return;
    }
    out += "<div><h3>Times since the instances started</h3><table><tr><th></th><th>Half within</th><th>95% "
           "within</th>"
           "<th>99% within</th></tr>\n";
    const auto appendRow = [&out](std::string_view label, const latency_histogram &times) {
        append(out, "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n", label,
            detail::quantileText(times, 0.5), detail::quantileText(times, 0.95),
            detail::quantileText(times, 0.99));
    };
    appendRow("First token", target.firstTokenTimes);
    appendRow("Whole answer", target.endToEndTimes);
    appendRow("Load stall", target.stallTimes);
    out += "</table></div>\n";
}

void appendTarget(std::string &out, const burn_report &report, const target_burn &target)
{
    const std::string_view level = nameOf(levelOf(target));
    append(out, "<section><h2>{}</h2><span class=\"level {}\">{}</span>\n<p class=\"faint\">{}</p>\n",
        escaped(target.name), level, level, escaped(detail::definitionOf(target)));
    out += "<div class=\"tiles\">\n";
    appendTile(out, detail::rateText(burnRate(target, burn_span::Hour)), "burn rate, last hour");
    appendTile(out, detail::percentText(budgetSpent(report, target, burn_span::Month)),
        "of a month's budget known to be spent");
    appendTile(out, detail::moneyText(penaltyIn(target, burn_span::Day)), "penalty, last day");
    appendTile(out, detail::moneyText(projectedPenalty(report, target)), "a day at the last hour's pace");
    out += "</div>\n<div class=\"plots\">\n";
    appendPlot(
        out, "Burn rate, last hour, by the minute", makePlotSeries(target.hour, target.share, hourStep));
    appendPlot(
        out, "Burn rate, last day, by the half hour", makePlotSeries(target.day, target.share, dayStep));
    out += "</div>\n";
    appendCauses(out, target);
    out += "<div class=\"tables\">\n";
    appendWindows(out, report, target);
    appendTimes(out, target);
    appendCallers(out, target);
    out += "</div></section>\n";
}

void appendSummary(std::string &out, const burn_report &report)
{
    double lastDayPenalty = 0;
    double projectedDayPenalty = 0;
    std::array<std::size_t, 3> targetsByLevel{};
    for (const target_burn &target : report.targets) {
        lastDayPenalty += penaltyIn(target, burn_span::Day);
        projectedDayPenalty += projectedPenalty(report, target);
        ++targetsByLevel.at(static_cast<std::size_t>(levelOf(target)));
    }
    out += "<div class=\"tiles\">\n";
    appendTile(out, detail::moneyText(lastDayPenalty), "penalty, last day, all targets");
    appendTile(out, detail::moneyText(projectedDayPenalty), "a day at the last hour's pace");
    appendTile(out, fmt::format("{} / {} / {}", targetsByLevel[2], targetsByLevel[1], targetsByLevel[0]),
        "targets fast / slow / fine");
    appendTile(out, fmt::format("{} of {}", report.answered, report.known), "instances answered");
    out += "</div>\n";
}

/// A time since the Unix epoch as UTC, to the minute.
std::string timeText(millis timestamp)
{
    const auto seconds = static_cast<std::time_t>(timestamp.count / 1000);
    std::tm calendarTime{};
    gmtime_r(&seconds, &calendarTime);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M UTC", &calendarTime);
    return {text.data(), length};
}

}

std::string burnPage(const burn_report &report, millis generatedAt)
{
    std::string out =
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
        "<meta name=\"viewport\" content=\"width=device-width\">\n<title>Service-level burn</title>\n";
    append(out, "<style>{}</style></head><body><main>\n<h1>Service-level burn</h1>\n", style);
    append(out, "<p class=\"faint\">{}, configuration version {}. Penalties in the tender's currency.</p>\n",
        timeText(generatedAt), report.configVersion);
    if (const std::string caveat = detail::caveatOf(report); !caveat.empty()) {
        append(out, "<div class=\"caveat\">{}</div>\n", caveat);
    }
    appendSummary(out, report);
    out += "<p class=\"faint\">A burn rate of 1 (dashed line) spends a target's budget of misses exactly; at "
           "2 a "
           "month's budget lasts half a month. Fast: act now. Slow: the month's budget will not last.</p>\n";
    if (report.targets.empty()) {
        out += "<p>No targets are configured.</p>\n";
    }
    for (const target_burn *target : detail::byUrgency(report)) {
        appendTarget(out, report, *target);
    }
    out += "</main></body></html>\n";
    return out;
}

}
