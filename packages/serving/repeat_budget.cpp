#include "serving/repeat_budget.h"

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

void countRequest(repeat_budget &budget, const std::string &service, const repeat_limits &limits, millis now)
{
    auto &counts = budget.services[service];
    counts.requests.push_back(now);
    dropOld(counts.requests, limits.window, now);
}

bool takeRepeat(repeat_budget &budget, const std::string &service, const repeat_limits &limits,
    std::size_t daemons, millis now)
{
    auto &counts = budget.services[service];
    dropOld(counts.requests, limits.window, now);
    dropOld(counts.repeats, limits.window, now);
    const double share = ratioShare * limits.ratio * static_cast<double>(counts.requests.size())
        + slackShare * limits.slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (static_cast<double>(counts.repeats.size() + 1) > share) {
        return false;
    }
    counts.repeats.push_back(now);
    return true;
}

}
