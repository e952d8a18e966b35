#pragma once

#include "state/burn.h"

#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// The burn report as text for a terminal: one block per target, the most urgent first.
std::string burnTable(const burn_report &report);

namespace detail {

/// Targets by level, then by projected penalty, the worst first.
std::vector<const target_burn *> byUrgency(const burn_report &report);

/// "95% of requests by group:lecturers on summary-*: first token within 500 ms, whole answer within 4 s".
std::string definitionOf(const target_burn &target);

/// "load stall" and the like, as people read them.
std::string_view labelOf(burn_cause cause);

/// The cause with the most misses.
burn_cause worstCause(const burn_counts &counts);

/// A duration in the unit that suits it: "800 ms", "4 s", "2.5 min".
std::string durationText(double ms);
/// A quantile of a histogram, as a duration; "4.37 min or more" past the histogram's end.
std::string quantileText(const latency_histogram &times, double quantile);
std::string percentText(double share);
std::string rateText(double burnRate);
/// "12,345" and "12,345.50".
std::string countText(std::uint64_t count);
std::string moneyText(double amount);

/// One caller's part, for sorting.
struct caller_row
{
    std::string_view name;
    const caller_burn *burn;
};

/// The callers with the most misses in a day, at most `limit`.
std::vector<caller_row> worstCallers(const target_burn &target, std::size_t limit);

/// What keeps the figures from being whole: instances that did not answer, or that forgot. Empty if nothing.
std::string caveatOf(const burn_report &report);

}

}
