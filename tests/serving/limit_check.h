#pragma once

#include "state/clock.h"

#include <optional>
#include <string>
#include <vector>

// Holds what a server got against the limit that it named.
namespace briarhead {

/// A limit that a server names for a while.
struct limit_period
{
    millis from;
    millis until; ///< 0: still
    double perSecond = 0;
};

/// A request that reached a server, whatever became of it.
struct received_request
{
    std::string id; ///< of the caller's attempt; empty: a question of a daemon's own
    millis at;
};

/// From the naming of a limit until daemons have to keep to it, the length of the windows that count, and
/// what they may hold.
constexpr millis limitReactionTime{3'000};
constexpr millis limitWindow{4'000};
constexpr double maxLimitOverage = 1.5;
constexpr double limitSlackRequests = 5;

/// The first window with more arrivals than its spell allows, in words; nothing: all is within.
std::optional<std::string> findLimitViolation(
    const std::vector<limit_period> &periods, std::vector<millis> arrivals, millis now);

}
