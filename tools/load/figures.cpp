#include "load/figures.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace briarhead::load {

namespace {

constexpr int statusOk = 200;
constexpr double msPerSecond = 1'000;
constexpr double secondsPerMinute = 60;
/// Refused within this time counts as at once: several servers may have been asked.
constexpr double atOnceMs = 100;
/// Shorter stalls are the rounding of two clocks.
constexpr double stalledFromMs = 1;

constexpr double percent = 100;

/// One figure as it is printed.
struct column
{
    const char *title;
    const char *key;
    double figures::*value;
    int decimals = 0;
    double factor = 1;
};

constexpr std::array columns{
    column{"requests", "requests", &figures::requests},
    column{"stall mean ms", "stall_mean_ms", &figures::stallMeanMs, 1},
    column{"p50", "stall_p50_ms", &figures::stallP50Ms},
    column{"p99", "stall_p99_ms", &figures::stallP99Ms},
    column{"stalled", "stalled_share", &figures::stalledShare, 1, percent},
    column{"batch efficiency", "batch_efficiency", &figures::batchEfficiency, 3},
    column{"goodput", "goodput", &figures::goodput, 1, percent},
    column{"good/s", "good_per_second", &figures::goodPerSecond, 1},
    column{"refused at once", "refused_at_once", &figures::refusedAtOnce, 1, percent},
    column{"given up", "given_up", &figures::givenUp, 1, percent},
    column{"unknown", "unknown", &figures::unknown, 2, percent},
    column{"whole p50 ms", "whole_p50_ms", &figures::wholeP50Ms},
    column{"p99", "whole_p99_ms", &figures::wholeP99Ms},
    column{"loads/min", "loads_per_minute", &figures::loadsPerMinute},
    column{"evictions/min", "evictions_per_minute", &figures::evictionsPerMinute},
    column{"fairness", "fairness", &figures::fairness, 2},
    column{"penalty", "penalty", &figures::penalty},
    column{"violations", "violations", &figures::violations},
    column{"stand-ins' CPU", "standins_cpu", &figures::standinsCpu, 2},
    column{"tool late p99 ms", "tool_late_p99_ms", &figures::toolLateP99Ms},
};

bool isGood(const sample &one)
{
    return one.status == statusOk && one.wholeMs <= one.deadlineMs;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

double mean(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

template <class condition>
double shareOf(const std::vector<sample> &samples, const condition &holds)
{
    const auto count = std::count_if(samples.begin(), samples.end(), holds);
    return samples.empty() ? 0 : static_cast<double>(count) / static_cast<double>(samples.size());
}

void addStalls(figures &into, const std::vector<sample> &samples)
{
    std::vector<double> stalls;
    for (const sample &one : samples) {
        // One that was given up on while it waited for a load counts with all of its wait: leaving it out
        // would make the policy look best that lets the longest stalls die.
        if (one.status == statusOk || one.waitedForLoad) {
            stalls.push_back(one.waitedForLoad ? one.wholeMs : one.stallMs);
        }
    }
    into.stallMeanMs = mean(stalls);
    into.stallP50Ms = quantile(stalls, 0.5);
    into.stallP99Ms = quantile(stalls, 0.99);
    const auto stalled = std::count_if(stalls.begin(), stalls.end(), [](double ms) {
        return ms >= stalledFromMs;
    });
    into.stalledShare =
        stalls.empty() ? 0 : static_cast<double>(stalled) / static_cast<double>(stalls.size());
}

void addTimes(figures &into, const std::vector<sample> &samples)
{
    std::vector<double> whole;
    std::vector<double> late;
    for (const sample &one : samples) {
        late.push_back(one.lateMs);
        if (one.status == statusOk) {
            whole.push_back(one.wholeMs);
        }
    }
    into.wholeP50Ms = quantile(whole, 0.5);
    into.wholeP99Ms = quantile(whole, 0.99);
    into.toolLateP99Ms = quantile(late, 0.99);
}

double fairnessOf(const std::vector<sample> &samples)
{
    std::array<double, callerCount> sent{};
    std::array<double, callerCount> good{};
    for (const sample &one : samples) {
        sent[one.caller] += 1;
        good[one.caller] += isGood(one) ? 1 : 0;
    }
    double worst = 1;
    double best = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        if (sent[i] > 0) {
            worst = std::min(worst, good[i] / sent[i]);
            best = std::max(best, good[i] / sent[i]);
        }
    }
    return best > 0 ? worst / best : 0;
}

}

bool isRefusedAtOnce(const sample &one)
{
    return one.outcome == "not_run" && one.wholeMs - one.lateMs <= atOnceMs;
}

figures figuresOf(const std::vector<sample> &samples, const engine_counts &before, const engine_counts &after,
    millis measured, double penaltyPerMiss)
{
    const double seconds = static_cast<double>(measured.count) / msPerSecond;
    const auto count = static_cast<double>(samples.size());
    figures all;
    all.requests = count;
    addStalls(all, samples);
    addTimes(all, samples);
    all.goodput = shareOf(samples, isGood);
    all.goodPerSecond = all.goodput * count / seconds;
    all.refusedAtOnce = shareOf(samples, isRefusedAtOnce);
    all.givenUp = shareOf(samples, [](const sample &one) {
        return one.outcome == "not_run" && !isRefusedAtOnce(one);
    });
    all.unknown = shareOf(samples, [](const sample &one) {
        return one.status != statusOk && one.outcome != "not_run";
    });
    const auto steps = static_cast<double>(after.busySteps - before.busySteps);
    all.batchEfficiency = steps > 0 ? (after.filled - before.filled) / steps : 0;
    all.loadsPerMinute = static_cast<double>(after.loads - before.loads) * secondsPerMinute / seconds;
    all.evictionsPerMinute = static_cast<double>(after.unloads - before.unloads) * secondsPerMinute / seconds;
    all.fairness = fairnessOf(samples);
    all.penalty = (1 - all.goodput) * count * penaltyPerMiss;
    all.violations = static_cast<double>(after.violations);
    all.standinsCpu = (after.standinsCpuSeconds - before.standinsCpuSeconds) / seconds;
    return all;
}

std::string tableHead()
{
    std::string names = "| run |";
    std::string rule = "\n|---|";
    for (const column &one : columns) {
        names += std::string(" ") + one.title + " |";
        rule += "--:|";
    }
    return names + rule;
}

std::string tableRow(const std::string &label, const figures &of)
{
    std::string row = "| " + label + " |";
    for (const column &one : columns) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), " %.*f%s |", one.decimals, of.*one.value * one.factor,
            one.factor == percent ? "%" : "");
        row += text.data();
    }
    return row;
}

std::string jsonLine(const std::string &label, const figures &of)
{
    nlohmann::json line{{"run", label}};
    for (const column &one : columns) {
        line[one.key] = of.*one.value;
    }
    return line.dump();
}

}
