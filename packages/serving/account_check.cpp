#include "serving/account_check.h"

namespace briarhead {

std::string_view nameOf(auth_status value)
{
    static constexpr std::string_view names[] = {"accepted", "no key", "unknown key"};
    return names[static_cast<std::size_t>(value)];
}

bool requiresKeys(const serving_config &config)
{
    return !config.accounts.empty();
}

auth_result authenticate(const serving_config &config, const route &matchedRoute, const std::string &keyHash)
{
    const auto found =
        keyHash.empty() ? config.accountByKeyHash.end() : config.accountByKeyHash.find(keyHash);
    if (found != config.accountByKeyHash.end()) {
        return {auth_status::Accepted, &config.accounts[found->second]};
    }
    if (matchedRoute.anonymousAllowed || !requiresKeys(config)) {
        return {};
    }
    return {keyHash.empty() ? auth_status::Missing : auth_status::Unknown, nullptr};
}

double unitsOf(const client_account &account, const client_request &request)
{
    if (!account.countsTokens) {
        return 1;
    }
    const std::int64_t tokens =
        request.countsTokens ? request.promptTokens + request.outputTokens : account.defaultTokens;
    return static_cast<double>(tokens);
}

void indexAccounts(serving_config &config)
{
    for (std::size_t i = 0; i < config.accounts.size(); ++i) {
        config.accountByNameHash.emplace(accountHash(config.accounts[i].name), i);
    }
}

std::optional<quota_limit> limitOf(const serving_config &config, std::uint64_t account)
{
    const auto found = config.accountByNameHash.find(account);
    return found == config.accountByNameHash.end() ? std::nullopt
                                                   : std::optional(config.accounts[found->second].limit);
}

int mostUrgentRank(const serving_config &config, const std::string &service)
{
    const auto found = config.mostUrgentRanks.find(service);
    return found == config.mostUrgentRanks.end() ? 0 : found->second;
}

int rankOf(const route &matchedRoute, const client_account *account)
{
    return account == nullptr ? matchedRoute.rank : account->rank.value_or(matchedRoute.rank);
}

}
