#include "scheduling/service_retry_budget.h"

#include <algorithm>

namespace briarhead {

namespace {

void dropOld(std::deque<millis> &times, millis window, millis now)
{
    while (!times.empty() && times.front() + window < now) {
        times.pop_front();
    }
}

}

void countRequest(
    service_retry_budget &budget, const std::string &service, const retry_limits &limits, millis now)
{
    auto &counts = budget.services[service];
    counts.requests.push_back(now);
    dropOld(counts.requests, limits.window, now);
}

bool tryAcquireRetry(service_retry_budget &budget, const std::string &service, const retry_limits &limits,
    std::size_t daemons, millis now)
{
    auto &counts = budget.services[service];
    dropOld(counts.requests, limits.window, now);
    dropOld(counts.retries, limits.window, now);
    const double maxRetries = usableRatioShare * limits.ratio * static_cast<double>(counts.requests.size())
        + usableSlackShare * limits.slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (static_cast<double>(counts.retries.size() + 1) > maxRetries) {
        return false;
    }
    counts.retries.push_back(now);
    return true;
}

}
