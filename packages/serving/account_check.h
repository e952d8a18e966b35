#pragma once

#include "coordination/quota_plan.h"
#include "scheduling/serving_config.h"
#include "serving/client_request.h"

#include <cstdint>
#include <optional>
#include <string_view>

// Authentication of callers by API key, and what a request costs its client account.
namespace briarhead {

enum class auth_status : std::uint8_t
{
    Accepted, ///< the key belongs to an account, or no key is required
    Missing, ///< a key is required and the request has none
    Unknown, ///< the key belongs to no account; it may have been revoked
};

/// Reason text used in metrics and logs: "accepted", "no key", "unknown key".
std::string_view nameOf(auth_status value);

/// The outcome of authenticating a caller.
struct auth_result
{
    auth_status status = auth_status::Accepted;
    const client_account *account = nullptr; ///< null where the caller has no account
};

/// Looks up the account of a key by the key's hash, so that the lookup time neither reveals how much of a
/// guessed key is correct nor grows with the number of keys. Routes that allow anonymous callers treat an
/// unknown key like a missing one.
auth_result authenticate(const serving_config &config, const route &matchedRoute, const std::string &keyHash);

/// Whether the configuration has client accounts, so that callers must send a key.
bool requiresKeys(const serving_config &config);

/// Units of the account's limit that a request consumes: 1, or its tokens if the account counts tokens.
double unitsOf(const client_account &account, const client_request &request);

/// Fills `accountByNameHash`. Call once, after `accounts` has been filled.
void indexAccounts(serving_config &config);
/// The limit of the account with this accountHash(), or nothing if there is no such account.
std::optional<quota_limit> limitOf(const serving_config &config, std::uint64_t account);

/// The priority of a request, 0 being the most urgent. The account's rank overrides the route's.
int rankOf(const route &matchedRoute, const client_account *account);
/// The most urgent rank of the routes to a service; 0 if there is none.
int mostUrgentRank(const serving_config &config, const std::string &service);

}
