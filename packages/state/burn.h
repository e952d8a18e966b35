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

// The report on how fast the error budgets of service-level targets are spent. Each instance reports on its
// own requests; the reports of several instances are merged into one.
namespace briarhead {

/// Why a request missed its target.
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

/// The number of requests that a target applies to, and of those that missed it, by cause.
struct burn_counts
{
    std::uint64_t total = 0;
    cause_counts byCause{};
};

/// The number of requests that missed the target, over all causes.
std::uint64_t missedOf(const burn_counts &counts);
void merge(burn_counts &into, const burn_counts &from);

/// The windows of the report, each ending when the report is made. The error budget is defined over the
/// longest one, a month.
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

/// The name used in JSON: "5m", "30m", "1h", "6h", "1d", "30d".
std::string_view nameOf(burn_span span);
millis lengthOf(burn_span span);

/// One window of one target.
struct burn_window
{
    burn_counts counts;
    /// The part of the window for which there are counts, summed over the instances that responded. Instances
    /// lose their counts on restart, so it can be shorter than the window.
    millis covered;
};

/// One point of a time series.
struct burn_point
{
    std::uint64_t total = 0; ///< requests
    std::uint64_t missed = 0; ///< requests that missed the target
};

/// Time series over the last hour and the last day; the oldest point comes first.
constexpr std::size_t hourPoints = 60;
constexpr std::size_t dayPoints = 48;
constexpr millis hourStep{60'000};
constexpr millis dayStep{1'800'000};

/// Maximum number of callers that a report lists per target; the others are summed under `otherCallers`.
constexpr std::size_t maxReportCallers = 100;
constexpr std::string_view otherCallers = "other";

/// One caller's share of a target's requests.
struct caller_burn
{
    burn_counts hour; ///< the last hour
    burn_counts day; ///< the last day
};

/// One target: its definition (see target_config) and how it was met.
struct target_burn
{
    std::string name;
    std::string callers;
    std::string adapters;
    millis firstToken; ///< 0: not part of the target
    millis endToEnd; ///< 0: not part of the target
    double share = 0; ///< of requests that must meet the target
    double penalty = 0; ///< per missed request

    std::array<burn_window, burnSpans> windows;
    std::array<burn_point, hourPoints> hour{};
    std::array<burn_point, dayPoints> day{};
    std::map<std::string, caller_burn> byCaller;
    // All three since the start of each instance.
    latency_histogram firstTokenTimes;
    latency_histogram endToEndTimes;
    latency_histogram stallTimes; ///< waiting for the adapter to be loaded
};

/// The report of one instance or the sum over several.
struct burn_report
{
    std::uint64_t configVersion = 0;
    std::uint32_t answered = 0; ///< instances whose report is included
    std::uint32_t known = 0; ///< instances that exist, as far as known
    std::vector<target_burn> targets; ///< sorted by name
};

const burn_window &windowOf(const target_burn &target, burn_span span);

/// How fast the error budget is spent: at 1, exactly the window's budget is spent within the window. 0 if
/// there were no requests.
double burnRate(std::uint64_t missed, std::uint64_t total, double share);
double burnRate(const target_burn &target, burn_span span);

/// The fraction of the window, 0 to 1, for which there are counts, averaged over the known instances.
/// Instances that did not respond count as 0.
double coverage(const burn_report &report, const burn_window &window, burn_span span);

/// The fraction of the month's error budget that was spent in the window, assuming even traffic over the
/// month.
double budgetSpent(const burn_report &report, const target_burn &target, burn_span span);

/// The penalty for the misses that were counted in the window.
double penaltyIn(const target_burn &target, burn_span span);

/// The penalty for a full day at the rate of the last hour. The part of that hour for which there are no
/// counts is assumed to have had the same rate.
double projectedPenalty(const burn_report &report, const target_burn &target);

/// The alert level of a target. Both a long and a short window must exceed the threshold: the long one so
/// that a short spike raises no alert, the short one so that the alert ends soon after the problem does.
enum class burn_level : std::uint8_t
{
    Fine,
    Slow, ///< the budget will be spent before the end of the month
    Fast, ///< the budget will be spent within days
};

/// "fine", "slow", "fast".
std::string_view nameOf(burn_level level);
burn_level levelOf(const target_burn &target);

std::string toJson(const burn_report &report);
/// Parses the result of toJson(). Returns nothing, with `why` of kind BadFrame, for any other text.
std::optional<burn_report> parseBurn(std::string_view json, error &why);

/// Adds a report to a sum. Where the definitions of a target differ, that of the higher configuration version
/// is kept.
void merge(burn_report &into, const burn_report &from);

/// Merges the reports of several instances, each as JSON, out of `known` instances. A text that cannot be
/// parsed counts as an instance that did not respond. Per target the callers with the most misses in the last
/// day are listed by name, up to maxReportCallers in total.
std::string mergeBurn(const std::vector<std::string> &reports, std::uint32_t known);

}
