#include "coordination/load_order.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// The urgency is a sum of terms of different magnitude, so that owners can compare it as a single number:
/// waiting requests come before prefetching, then the priority; within a priority, slack, penalty and count
/// matter.
constexpr double waitingUrgency = 10'000;
constexpr double priorityUrgency = 1'500;
constexpr double slackUrgency = 500;
constexpr double penaltyUrgency = 300;
constexpr double countUrgency = 400;
constexpr double prefetchUrgency = 1'000;

/// The slack at which half of the slack term is left.
constexpr double halfSlackMs = 2'000;
/// The penalty and count at which half of their terms is reached.
constexpr double halfPenalty = 10;
constexpr double halfCount = 4;

/// Loads that may be saved up: one, so that an idle store doesn't start with a burst of slow loads.
constexpr double maxSavedLoads = 1;

constexpr std::int64_t minBackoffMs = 500;
constexpr std::int64_t maxBackoffMs = 30'000;

double saturating(double value, double half)
{
    return value <= 0 ? 0 : value / (value + half);
}

/// Less slack is more urgent. Negative slack is not: that request is lost in any case, and its load should
/// not take the store from one that still helps.
double slackTerm(const load_demand &demand, millis now, double loadMs)
{
    const double slackMs = static_cast<double>((demand.earliestDeadline - now).count) - loadMs;
    return slackMs < 0 ? 0 : slackUrgency * (1 - saturating(slackMs, halfSlackMs));
}

bool sameTicket(const load_budget::request &request, const std::string &owner, std::uint64_t ticket)
{
    return request.ticket == ticket && request.owner == owner;
}

bool sameTicket(const load_budget::grant &grant, const std::string &owner, std::uint64_t ticket)
{
    return grant.ticket == ticket && grant.owner == owner;
}

template <class entries>
auto findTicket(entries &list, const std::string &owner, std::uint64_t ticket)
{
    return std::find_if(list.begin(), list.end(), [&](const auto &entry) {
        return sameTicket(entry, owner, ticket);
    });
}

void fillTokens(load_budget &budget, double perSecond, millis now)
{
    if (now > budget.filledAt) {
        const double seconds = static_cast<double>((now - budget.filledAt).count) / 1000.0;
        budget.tokens = std::min(budget.tokens + seconds * perSecond, maxSavedLoads);
        budget.filledAt = now;
    }
}

/// Removes requests and grants that their owner has not repeated in time. Otherwise a dead owner would hold
/// the store's budget forever, and loads would stop on all servers.
void removeExpired(load_budget &budget, millis now)
{
    std::erase_if(budget.waiting, [now](const load_budget::request &request) {
        return now - request.requestedAt > millis{requestTimeoutMs};
    });
    std::erase_if(budget.running, [now](const load_budget::grant &grant) {
        return now - grant.confirmedAt > millis{grantTimeoutMs};
    });
}

/// Grants whose owner requested them again, because the response may have been lost. They cost no further
/// tokens.
std::vector<load_budget::grant> extractResends(load_budget &budget)
{
    std::vector<load_budget::grant> repeated;
    for (auto &grant : budget.running) {
        if (grant.resend) {
            grant.resend = false;
            repeated.push_back(grant);
        }
    }
    return repeated;
}

}

double loadUrgency(const load_demand &demand, millis now, double loadMs)
{
    if (demand.waiting == 0) {
        return prefetchUrgency * saturating(demand.rate, 1);
    }
    const double ranksAbove = static_cast<double>(priority::Low) - static_cast<double>(demand.bestPriority);
    return waitingUrgency + ranksAbove * priorityUrgency + slackTerm(demand, now, loadMs)
        + penaltyUrgency * saturating(demand.penalty, halfPenalty)
        + countUrgency * saturating(demand.waiting, halfCount);
}

std::optional<std::size_t> nextLoad(std::span<const load_demand> demands, millis now, double loadMs)
{
    std::optional<std::size_t> next;
    double nextUrgency = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double urgency = loadUrgency(demands[i], now, loadMs);
        const bool wanted = demands[i].waiting > 0 || demands[i].rate > 0;
        const bool older =
            next && urgency == nextUrgency && demands[i].oldestArrival < demands[*next].oldestArrival;
        if (wanted && (!next || urgency > nextUrgency || older)) {
            next = i;
            nextUrgency = urgency;
        }
    }
    return next;
}

void requestLoad(load_budget &budget, const load_budget::request &request)
{
    const auto running = findTicket(budget.running, request.owner, request.ticket);
    if (running != budget.running.end()) {
        running->confirmedAt = request.requestedAt;
        running->resend = true;
        return;
    }
    const auto waiting = findTicket(budget.waiting, request.owner, request.ticket);
    if (waiting != budget.waiting.end()) {
        *waiting = request;
    } else {
        budget.waiting.push_back(request);
    }
}

void releaseLoad(load_budget &budget, const std::string &owner, std::uint64_t ticket)
{
    const auto matches = [&](const auto &entry) {
        return sameTicket(entry, owner, ticket);
    };
    std::erase_if(budget.running, matches);
    std::erase_if(budget.waiting, matches);
}

std::vector<load_budget::grant> grantLoads(
    load_budget &budget, double perSecond, std::uint32_t concurrency, millis now)
{
    fillTokens(budget, perSecond, now);
    removeExpired(budget, now);
    auto grants = extractResends(budget);
    while (budget.tokens >= 1 && budget.running.size() < concurrency && !budget.waiting.empty()) {
        const auto next =
            std::max_element(budget.waiting.begin(), budget.waiting.end(), [](const auto &a, const auto &b) {
                return a.urgency < b.urgency;
            });
        const load_budget::grant grant{next->owner, next->ticket, now};
        budget.waiting.erase(next);
        budget.running.push_back(grant);
        budget.tokens -= 1;
        grants.push_back(grant);
    }
    return grants;
}

bool mayLoadWithoutBroker(double perSecond, std::uint32_t liveOwners, millis sinceLast)
{
    if (perSecond <= 0) {
        return false;
    }
    return static_cast<double>(sinceLast.count) >= 1000.0 * std::max(liveOwners, 1U) / perSecond;
}

std::int64_t loadBackoffMs(std::uint32_t failures, double random01)
{
    if (failures == 0) {
        return 0;
    }
    const double longest =
        std::min(minBackoffMs * std::exp2(failures - 1.0), static_cast<double>(maxBackoffMs));
    // Half of it is random, so that owners whose loads failed together don't retry together.
    return static_cast<std::int64_t>(longest * (0.5 + 0.5 * std::clamp(random01, 0.0, 1.0)));
}

}
