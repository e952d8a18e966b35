#include "coordination/shutdown_plan.h"

#include <algorithm>

namespace briarhead {

namespace {

/// The process exits this long before the platform would kill it, or a sixth of the grace if that is less.
constexpr millis maxExitMargin{500};
constexpr std::int64_t exitMarginDivisor = 6;
/// Final responses are on their way for this long before the process ends.
constexpr millis failOpenMargin{150};
/// The load balancer removes a daemon only after two failed checks one second apart, and sends it new
/// connections until then.
constexpr millis balancerTime{2'500};
constexpr millis listenTime{2'800};
/// Releasing servers at once would leave each without orders for three seconds per restart, since a new owner
/// has to wait after the last order of the previous one.
constexpr millis orderTime{2'300};
/// The part of the time until the exit in which requests of unknown length are accepted.
constexpr std::int64_t acceptNumerator = 3;
constexpr std::int64_t acceptDenominator = 8;

}

shutdown_plan planShutdown(millis grace)
{
    const millis whole{std::max<std::int64_t>(grace.count, 0)};
    shutdown_plan plan;
    plan.exit = whole - std::min(maxExitMargin, millis{whole.count / exitMarginDivisor});
    plan.failOpen = std::max(plan.exit - failOpenMargin, millis{0});
    plan.stopListening = std::min(listenTime, plan.failOpen);
    plan.stopAccepting =
        std::min(plan.stopListening, millis{plan.exit.count * acceptNumerator / acceptDenominator});
    plan.earliestExit = std::min(balancerTime, plan.failOpen);
    plan.releaseServers = std::min(orderTime, millis{plan.exit.count / 2});
    return plan;
}

bool canEndInTime(const shutdown_plan &plan, millis elapsed, millis timeLeft, std::optional<millis> usual)
{
    if (elapsed + timeLeft <= plan.failOpen) {
        return true; // by its deadline at the latest
    }
    return usual ? elapsed + *usual <= plan.failOpen : elapsed <= plan.stopAccepting;
}

}
