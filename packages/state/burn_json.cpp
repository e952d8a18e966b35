#include "state/burn.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>

// The JSON form of the burn report. Derived values (rates, penalties, quantiles) are written for people and
// other tools, and ignored by parseBurn().
namespace briarhead {

namespace {

using json = nlohmann::json;

constexpr std::array reportedQuantiles{0.5, 0.95, 0.99};
constexpr std::array<std::string_view, 3> quantileNames{"p50_ms", "p95_ms", "p99_ms"};
constexpr std::int64_t msPerSecond = 1000;

std::string toKey(std::string_view name)
{
    return std::string(name);
}

json countsToJson(const burn_counts &counts)
{
    json causes = json::object();
    for (std::size_t i = 0; i < burnCauses; ++i) {
        causes[toKey(nameOf(static_cast<burn_cause>(i)))] = counts.byCause[i];
    }
    return {{"total", counts.total}, {"missed", missedOf(counts)}, {"causes", std::move(causes)}};
}

burn_counts countsFromJson(const json &from)
{
    burn_counts counts;
    counts.total = from.at("total").get<std::uint64_t>();
    const json &causes = from.at("causes");
    for (std::size_t i = 0; i < burnCauses; ++i) {
        counts.byCause[i] = causes.value(toKey(nameOf(static_cast<burn_cause>(i))), std::uint64_t{0});
    }
    return counts;
}

json windowsToJson(const burn_report &report, const target_burn &target)
{
    json windows = json::array();
    for (std::size_t i = 0; i < burnSpans; ++i) {
        const auto span = static_cast<burn_span>(i);
        const burn_window &window = target.windows[i];
        json row = countsToJson(window.counts);
        row["window"] = nameOf(span);
        row["window_s"] = lengthOf(span).count / msPerSecond;
        row["covered_ms"] = window.covered.count;
        row["coverage"] = coverage(report, window, span);
        row["burn_rate"] = burnRate(target, span);
        row["budget_spent"] = budgetSpent(report, target, span);
        windows.push_back(std::move(row));
    }
    return windows;
}

/// Matches windows by name, so that the report of a release with other windows can still be read.
void windowsFromJson(const json &from, target_burn &target)
{
    for (const json &row : from) {
        const auto name = row.at("window").get<std::string>();
        for (std::size_t i = 0; i < burnSpans; ++i) {
            if (name == nameOf(static_cast<burn_span>(i))) {
                target.windows[i].counts = countsFromJson(row);
                target.windows[i].covered = {row.at("covered_ms").get<std::int64_t>()};
            }
        }
    }
}

template <std::size_t size>
json pointsToJson(const std::array<burn_point, size> &points, millis step)
{
    json total = json::array();
    json missed = json::array();
    for (const burn_point &point : points) {
        total.push_back(point.total);
        missed.push_back(point.missed);
    }
    return {{"step_s", step.count / msPerSecond}, {"total", std::move(total)}, {"missed", std::move(missed)}};
}

template <std::size_t size>
void pointsFromJson(const json &from, std::array<burn_point, size> &points)
{
    const json &total = from.at("total");
    const json &missed = from.at("missed");
    for (std::size_t i = 0; i < size; ++i) {
        points[i] = {total.at(i).get<std::uint64_t>(), missed.at(i).get<std::uint64_t>()};
    }
}

json latencyToJson(const latency_histogram &times)
{
    json out = {{"bins", countsOf(times)}, {"sum_ms", times.sumMs}};
    for (std::size_t i = 0; i < reportedQuantiles.size(); ++i) {
        out[toKey(quantileNames[i])] = quantileMs(times, reportedQuantiles[i]);
    }
    return out;
}

void latencyFromJson(const json &from, latency_histogram &times)
{
    if (setCounts(times, from.at("bins").get<std::vector<std::uint64_t>>())) {
        times.sumMs = from.at("sum_ms").get<double>();
    }
}

json targetToJson(const burn_report &report, const target_burn &target)
{
    json callers = json::object();
    for (const auto &[name, caller] : target.byCaller) {
        callers[name] = {{"1h", countsToJson(caller.hour)}, {"1d", countsToJson(caller.day)}};
    }
    return {
        {"name", target.name},
        {"callers", target.callers},
        {"adapters", target.adapters},
        {"first_token_ms", target.firstToken.count},
        {"whole_ms", target.endToEnd.count},
        {"share", target.share},
        {"level", nameOf(levelOf(target))},
        {"windows", windowsToJson(report, target)},
        {"penalty",
            {{"per_miss", target.penalty}, {"last_hour", penaltyIn(target, burn_span::Hour)},
                {"last_day", penaltyIn(target, burn_span::Day)},
                {"projected_day", projectedPenalty(report, target)}}},
        {"series", {{"1h", pointsToJson(target.hour, hourStep)}, {"1d", pointsToJson(target.day, dayStep)}}},
        {"by_caller", std::move(callers)},
        {"latency",
            {{"first_token", latencyToJson(target.firstTokenTimes)},
                {"whole", latencyToJson(target.endToEndTimes)}, {"stall", latencyToJson(target.stallTimes)}}},
    };
}

target_burn targetFromJson(const json &from)
{
    target_burn target;
    target.name = from.at("name").get<std::string>();
    target.callers = from.at("callers").get<std::string>();
    target.adapters = from.at("adapters").get<std::string>();
    target.firstToken = {from.at("first_token_ms").get<std::int64_t>()};
    target.endToEnd = {from.at("whole_ms").get<std::int64_t>()};
    target.share = from.at("share").get<double>();
    target.penalty = from.at("penalty").at("per_miss").get<double>();
    windowsFromJson(from.at("windows"), target);
    pointsFromJson(from.at("series").at("1h"), target.hour);
    pointsFromJson(from.at("series").at("1d"), target.day);
    for (const auto &[name, caller] : from.at("by_caller").items()) {
        target.byCaller[name] = {countsFromJson(caller.at("1h")), countsFromJson(caller.at("1d"))};
    }
    latencyFromJson(from.at("latency").at("first_token"), target.firstTokenTimes);
    latencyFromJson(from.at("latency").at("whole"), target.endToEndTimes);
    latencyFromJson(from.at("latency").at("stall"), target.stallTimes);
    return target;
}

burn_report reportFromJson(const json &from)
{
    burn_report report;
    report.configVersion = from.at("config_version").get<std::uint64_t>();
    report.answered = from.at("instances").at("answered").get<std::uint32_t>();
    report.known = from.at("instances").at("known").get<std::uint32_t>();
    for (const json &target : from.at("targets")) {
        report.targets.push_back(targetFromJson(target));
    }
    std::sort(report.targets.begin(), report.targets.end(), [](const target_burn &a, const target_burn &b) {
        return a.name < b.name;
    });
    return report;
}

}

std::string toJson(const burn_report &report)
{
    json targets = json::array();
    for (const target_burn &target : report.targets) {
        targets.push_back(targetToJson(report, target));
    }
    const json out = {{"config_version", report.configVersion},
        {"instances", {{"answered", report.answered}, {"known", report.known}}},
        {"targets", std::move(targets)}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<burn_report> parseBurn(std::string_view text, error &why)
{
    try {
        return reportFromJson(json::parse(text));
    } catch (const json::exception &failure) {
        why = {error_kind::BadFrame, "burn report", failure.what()};
    }
    return std::nullopt;
}

}
