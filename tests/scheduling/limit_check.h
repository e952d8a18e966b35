#pragma once

#include "state/clock.h"

#include <optional>
#include <string>
#include <vector>

// Checks the requests that a server received against the rate limits that it had announced.
namespace briarhead {

/// A period during which a server announces a limit.
struct limit_period
{
    millis from;
    millis until; ///< 0 if the period hasn't ended
    double perSecond = 0;
};

/// A request that reached a server, whether it was run or not.
struct received_request
{
    std::string id; ///< of the caller's request; empty for report requests
    millis at;
};

/// Daemons have to keep a limit from `limitReactionTime` after it was first announced. In any window of
/// length `limitWindow` there may be `maxLimitOverage` times the limit, plus `limitSlackRequests` requests.
constexpr millis limitReactionTime{3'000};
constexpr millis limitWindow{4'000};
constexpr double maxLimitOverage = 1.5;
constexpr double limitSlackRequests = 5;

/// Describes the first window with more arrivals than its period allows, or returns nothing.
std::optional<std::string> findLimitViolation(
    const std::vector<limit_period> &periods, std::vector<millis> arrivals, millis now);

}
