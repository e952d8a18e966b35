#pragma once

#include "state/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace briarhead {

/// The retry budget of a service over all daemons together: in any window, the number of sends beyond each
/// request's first one is at most `ratio` times the number of requests, plus `slack`.
struct retry_limits
{
    double ratio = 0.2;
    double slack = 50;
    millis window{10'000};
};

/// The fractions of `ratio` and `slack` that daemons use. Each daemon counts its own requests, so their
/// ratios add up, and the slack is divided by the number of daemons. When daemons join or leave, the divisor
/// changes while the window still contains earlier retries; the unused remainder covers that.
constexpr double usableRatioShare = 0.8;
constexpr double usableSlackShare = 0.6;

/// This daemon's share of the retry budgets, by service.
struct service_retry_budget
{
    /// Times of the requests and retries within the window.
    struct counts
    {
        std::deque<millis> requests;
        std::deque<millis> retries;
    };
    std::map<std::string, counts> services;
};

/// Records a caller's request.
void countRequest(
    service_retry_budget &budget, const std::string &service, const retry_limits &limits, millis now);
/// Consumes one retry of the budget. Returns false if none is left. `daemons`: how many share the slack.
bool tryAcquireRetry(service_retry_budget &budget, const std::string &service, const retry_limits &limits,
    std::size_t daemons, millis now);

}
