#pragma once

#include "state/burn.h"

#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// Renders the burn report as text for a terminal: one block per target, the most urgent target first.
std::string burnTable(const burn_report &report);

namespace detail {

/// The targets sorted by level, then by projected penalty, the worst first. The pointers refer to `report`.
std::vector<const target_burn *> byUrgency(const burn_report &report);

/// A sentence that states the target, for example
/// "95% of requests by group:lecturers on summary-*: first token within 500 ms, whole answer within 4 s".
std::string definitionOf(const target_burn &target);

/// The cause as shown in reports, for example "load stall".
std::string_view labelOf(burn_cause cause);

/// The cause with the most misses; the first in the order of burn_cause if several have as many.
burn_cause worstCause(const burn_counts &counts);

/// A duration in ms, s or min, depending on its length: "800 ms", "4 s", "2.5 min".
std::string durationText(double ms);
/// A quantile of a histogram as a duration; "4.37 min or more" if it lies in the open-ended last bin.
std::string quantileText(const latency_histogram &times, double quantile);
/// A share of 1 as a percentage: "12.5%", or "under 0.1%" if it is smaller and not 0.
std::string percentText(double share);
/// Two decimals below 100, none from there on.
std::string rateText(double burnRate);
/// Digits in groups of three: "12,345".
std::string countText(std::uint64_t count);
/// An amount with two decimals and digits in groups of three: "12,345.50".
std::string moneyText(double amount);

/// One caller's counts for a target, as a row of a report. Refers to the target it was made from.
struct caller_row
{
    std::string_view name;
    const caller_burn *burn;
};

/// The callers that missed the target in the last day, the most misses first, at most `limit` of them.
std::vector<caller_row> worstCallers(const target_burn &target, std::size_t limit);

/// States why the figures are incomplete: instances that did not respond, or that lost their counts on a
/// restart. Empty if the figures are complete.
std::string caveatOf(const burn_report &report);

}

}
