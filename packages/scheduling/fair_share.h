#pragma once

#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

// Shares a server's room among client accounts, max-min by tokens and weight: of the accounts that compete,
// the one that has used least of it recently, relative to its weight, goes first. The server's owner sees the
// requests of all entries, so it shares out an account's use over all daemons.
namespace briarhead {

struct account_use
{
    double tokens = 0; ///< admitted, decayed by useHalfLife; as of `updatedAt`
    millis updatedAt;
};

/// Uses of one server, by accountHash(); 0 stands for all callers without an account.
struct fair_shares
{
    std::unordered_map<std::uint64_t, account_use> accounts;
};

/// Records that a request of an account was admitted.
void recordUse(fair_shares &shares, std::uint64_t account, std::int64_t tokens, millis now);
/// The account's recent use relative to its weight. Lower goes first.
double useOverWeight(const fair_shares &shares, std::uint64_t account, double weight, millis now);

}
