#include "scheduling/fair_share.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace briarhead {

namespace {

constexpr double newestSizeWeight = 0.1; ///< weight of the latest request in the mean size
constexpr double meanUseOfRequest = 0.5; ///< an account's use is on average half a request above its minimum
/// Fraction of the accounts that is removed at once when there are too many, so that the scan for the least
/// recently used is rare.
constexpr std::size_t removedFraction = 4;

double currentUse(const account_use &use, millis now)
{
    const auto age = static_cast<double>(std::max((now - use.updatedAt).count, std::int64_t{0}));
    return use.tokens * std::exp2(-age / static_cast<double>(useHalfLife.count));
}

void removeLeastRecentlyUsed(fair_shares &shares)
{
    std::vector<millis> times;
    times.reserve(shares.accounts.size());
    for (const auto &[account, use] : shares.accounts) {
        times.push_back(use.updatedAt);
    }
    const auto count = static_cast<std::ptrdiff_t>(times.size() / removedFraction);
    std::nth_element(times.begin(), times.begin() + count, times.end());
    const millis before = times[static_cast<std::size_t>(count)];
    std::erase_if(shares.accounts, [before](const auto &each) {
        return each.second.updatedAt <= before;
    });
}

}

void recordUse(fair_shares &shares, std::uint64_t account, std::int64_t tokens, millis now)
{
    if (shares.accounts.size() >= maxSharedAccounts && shares.accounts.count(account) == 0) {
        removeLeastRecentlyUsed(shares);
    }
    account_use &use = shares.accounts[account];
    const auto size = static_cast<double>(tokens);
    use.meanTokens = use.meanTokens == 0 ? size : use.meanTokens + newestSizeWeight * (size - use.meanTokens);
    use.tokens = currentUse(use, now) + size;
    use.updatedAt = now;
}

double useOverWeight(const fair_shares &shares, std::uint64_t account, double weight, millis now)
{
    const auto found = shares.accounts.find(account);
    if (found == shares.accounts.end()) {
        return 0;
    }
    return (currentUse(found->second, now) + meanUseOfRequest * found->second.meanTokens) / weight;
}

}
