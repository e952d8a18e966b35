#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/outcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarhead {

/// What waits for one load.
struct load_demand
{
    adapter_ref adapter;
    std::uint32_t waiting = 0;
    priority bestPriority = priority::Normal; ///< best among the waiting
    millis earliestDeadline; ///< point in time; of the waiting
    millis oldestArrival;
    double penalty = 0; ///< summed penalties of the targets the waiting would miss
    double rate = 0; ///< arrivals a second, for prefetch
};

/// The urgency of a load: higher goes first. Waiting requests before prefetch, then priority, slack
/// until the deadline after `loadMs`, penalty and count.
double loadUrgency(const load_demand &need, millis now, double loadMs);

/// The load to start next, or nothing.
std::optional<std::size_t> nextLoad(std::span<const load_demand> needs, millis now, double loadMs);

/// The store budget as its broker keeps it: most urgent first, at most `concurrency` at a time and
/// `perSecond` starts a second. A grant not released is taken back after grantTimeoutMs, so a dead
/// owner costs rate and never stops loads.
struct load_budget
{
    struct request
    {
        std::string owner;
        std::uint64_t ticket = 0;
        double urgency = 0;
        millis requestedAt; ///< last asked; forgotten after requestTimeoutMs
    };
    struct grant
    {
        std::string owner;
        std::uint64_t ticket = 0;
        millis confirmedAt; ///< granted, or last asked for repeated
        bool resend = false; ///< the owner may not have got it: granted once more, at no cost
    };
    std::vector<request> waiting;
    std::vector<grant> running;
    double tokens = 1; ///< starts available, filled at perSecond, at most burst
    millis filledAt;
};

constexpr std::int64_t grantTimeoutMs = 10'000;
constexpr std::int64_t requestTimeoutMs = 3'000;

/// Notes an ask. One for a ticket that was granted already confirms it: an owner that asks on while it
/// loads keeps its grant past grantTimeoutMs and may get the same grant repeated, which it then ignores.
void requestLoad(load_budget &budget, const load_budget::request &request);
void releaseLoad(load_budget &budget, const std::string &owner, std::uint64_t ticket);
/// The grants to give now; they are moved to `running`.
std::vector<load_budget::grant> grantLoads(
    load_budget &budget, double perSecond, std::uint32_t concurrency, millis now);

/// What an owner may do while it has no answer from a broker: its share of the rate by live owners.
/// True when a load may start `sinceLast` after its last unbrokered one.
bool mayLoadWithoutBroker(double perSecond, std::uint32_t liveOwners, millis sinceLast);

/// Back-off after `failures` failed loads in a row, with jitter from `random01`, in milliseconds.
std::int64_t loadBackoffMs(std::uint32_t failures, double random01);

}
