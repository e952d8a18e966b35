#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "state/latency.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The report on service-level burn: what each daemon says of its own requests, and the sum over daemons.
namespace briarhead {

/// What made a request miss its target.
enum class burn_cause : std::uint8_t
{
    LoadStall,
    Queueing,
    Refusal,
    FailedServer,
    Other,
};

constexpr std::size_t burnCauses = 5;

/// The name used in JSON and metrics: "load_stall", "queueing", "refusal", "failed_server", "other".
std::string_view nameOf(burn_cause cause);

using cause_counts = std::array<std::uint64_t, burnCauses>;

/// Requests that count for a target, and those of them that missed it, by cause.
struct burn_counts
{
    std::uint64_t total = 0;
    cause_counts byCause{};
};

std::uint64_t missedOf(const burn_counts &counts);
void merge(burn_counts &into, const burn_counts &from);

/// The windows of the report. The error budget is that of the longest.
enum class burn_span : std::uint8_t
{
    FiveMinutes,
    HalfHour,
    Hour,
    SixHours,
    Day,
    Month,
};

constexpr std::size_t burnSpans = 6;

/// "5m", "30m", "1h", "6h", "1d", "30d".
std::string_view nameOf(burn_span span);
millis lengthOf(burn_span span);

/// One window of one target. Instances keep nothing over a restart, so `covered` says how much of the
/// window they remember: instance-milliseconds, summed over the instances that answered.
struct burn_window
{
    burn_counts counts;
    millis covered;
};

/// One step of a time series.
struct burn_point
{
    std::uint64_t total = 0;
    std::uint64_t missed = 0;
};

/// Series end at the time of the report, oldest point first.
constexpr std::size_t hourPoints = 60;
constexpr std::size_t dayPoints = 48;
constexpr millis hourStep{60'000};
constexpr millis dayStep{1'800'000};

/// Callers a report names per target; the rest are summed under one name.
constexpr std::size_t maxReportCallers = 100;
constexpr std::string_view otherCallers = "other";

/// One caller's part in a target.
struct caller_burn
{
    burn_counts hour;
    burn_counts day;
};

/// One target: its definition, and how it was met.
struct target_burn
{
    std::string name;
    std::string callers;
    std::string adapters;
    millis firstToken;
    millis endToEnd;
    double share = 0;
    double penalty = 0;

    std::array<burn_window, burnSpans> windows;
    std::array<burn_point, hourPoints> hour{};
    std::array<burn_point, dayPoints> day{};
    std::map<std::string, caller_burn> byCaller;
    latency_histogram firstTokenTimes; ///< since each instance's start, as are the next two
    latency_histogram endToEndTimes;
    latency_histogram stallTimes;
};

/// The report of one instance (answered 1 of 1) or the sum over several.
struct burn_report
{
    std::uint64_t configVersion = 0;
    std::uint32_t answered = 0;
    std::uint32_t known = 0;
    std::vector<target_burn> targets; ///< by name
};

const burn_window &windowOf(const target_burn &target, burn_span span);

/// The rate at which the error budget goes: 1 spends exactly the budget of any window. 0 if nothing came.
double burnRate(std::uint64_t missed, std::uint64_t total, double share);
double burnRate(const target_burn &target, burn_span span);

/// The part of the window that the living instances remember, 0 to 1; instances that did not answer count
/// as remembering nothing.
double coverage(const burn_report &report, const burn_window &window, burn_span span);

/// The share of the month's error budget that the window spent, if the month's traffic is even.
double budgetSpent(const burn_report &report, const target_burn &target, burn_span span);

/// The penalty for the misses that are known of in the window.
double penaltyIn(const target_burn &target, burn_span span);

/// The penalty of a whole day at the last hour's pace. What the instances don't remember of that hour is
/// taken to have gone as the rest did.
double projectedPenalty(const burn_report &report, const target_burn &target);

/// How urgent a target's burn is. A long and a short window must agree: the long one so that a blip wakes
/// nobody, the short one so that the alarm ends soon after the trouble.
enum class burn_level : std::uint8_t
{
    Fine,
    Slow, ///< the month's budget will not last
    Fast, ///< the month's budget goes within days
};

/// "fine", "slow", "fast".
std::string_view nameOf(burn_level level);
burn_level levelOf(const target_burn &target);

std::string toJson(const burn_report &report);
std::optional<burn_report> parseBurn(std::string_view json, error &why);

/// Adds a report to a sum. A target's definition is that of the higher configuration version.
void merge(burn_report &into, const burn_report &from);

/// The sum of several instances' reports, each as JSON, out of `known` instances. A text that is no
/// report counts as an instance that did not answer. The callers with the most misses keep their names.
std::string mergeBurn(const std::vector<std::string> &reports, std::uint32_t known);

}
