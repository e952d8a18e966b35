#include "scheduling/fair_share.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// Half-life of past use. An account that was idle for some seconds competes as a new one.
constexpr millis useHalfLife{2'000};

double currentUse(const account_use &use, millis now)
{
    const auto age = static_cast<double>(std::max((now - use.updatedAt).count, std::int64_t{0}));
    return use.tokens * std::exp2(-age / static_cast<double>(useHalfLife.count));
}

}

void recordUse(fair_shares &shares, std::uint64_t account, std::int64_t tokens, millis now)
{
    account_use &use = shares.accounts[account];
    use.tokens = currentUse(use, now) + static_cast<double>(tokens);
    use.updatedAt = now;
}

double useOverWeight(const fair_shares &shares, std::uint64_t account, double weight, millis now)
{
    const auto found = shares.accounts.find(account);
    return found == shares.accounts.end() ? 0 : currentUse(found->second, now) / weight;
}

}
