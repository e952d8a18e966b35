#pragma once

#include "state/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace briarhead {

/// The bound on sends beyond each request's first, over all daemons together: in any window, at most
/// `ratio` times the requests of the service and `slack` besides.
struct retry_limits
{
    double ratio = 0.2;
    double slack = 50;
    millis window{10'000};
};

/// This daemon's part of it. Each daemon counts its own requests, so the ratios add up; the slack is divided
/// by the number of daemons. Both are used only to the shares below, since daemons that come or go change
/// the division while a window still counts what was sent before.
constexpr double usableRatioShare = 0.8;
constexpr double usableSlackShare = 0.6;

struct service_retry_budget
{
    struct counts
    {
        std::deque<millis> requests;
        std::deque<millis> retries;
    };
    std::map<std::string, counts> services;
};

void countRequest(
    service_retry_budget &budget, const std::string &service, const retry_limits &limits, millis now);
/// Takes one repeat, or says that none is left.
bool tryAcquireRetry(service_retry_budget &budget, const std::string &service, const retry_limits &limits,
    std::size_t daemons, millis now);

}
