#pragma once

#include "coordination/quota_plan.h"
#include "serving/client_request.h"
#include "serving/serving_config.h"

#include <cstdint>
#include <optional>
#include <string_view>

// Which client account a request is of, and what it counts against that account's limit.
namespace briarhead {

enum class auth_status : std::uint8_t
{
    Accepted, ///< of an account, or nobody asks for a key
    Missing,
    Unknown, ///< no account holds the key, or holds it any more
};

/// "accepted", ...
std::string_view nameOf(auth_status value);

struct auth_result
{
    auth_status status = auth_status::Accepted;
    const client_account *account = nullptr; ///< null: none
};

/// A key is looked up by its hash, so that the time it takes says nothing of how much of a key is right, and
/// doesn't grow with the keys there are. On open routes a key that nobody holds counts as none.
auth_result authenticate(const serving_config &config, const route &matchedRoute, const std::string &keyHash);

/// Whether a configuration asks callers for keys at all.
bool requiresKeys(const serving_config &config);

/// Units that a request counts.
double unitsOf(const client_account &account, const client_request &request);

/// Fills `accountOfHash`. To be called once, after the accounts are there.
void indexAccounts(serving_config &config);
/// The limit of an account by accountHash(); nothing: there is no such account.
std::optional<quota_limit> limitOf(const serving_config &config, std::uint64_t account);

/// How urgent a request is: its account goes before its route.
int rankOf(const route &matchedRoute, const client_account *account);

}
