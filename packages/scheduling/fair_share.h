#pragma once

#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

// Shares a server's room among client accounts, max-min by tokens and weight: of the accounts that compete,
// the one that has used least of it recently, relative to its weight, goes first. The server's owner sees the
// requests of all entries, so it shares out an account's use over all daemons.
//
// Of two accounts that always have waiting requests, let M be the largest request of either, divided by the
// smaller weight. Their recent uses, divided by weight, differ by at most 1.5 M. What was admitted of them in
// a span of t seconds differs by at most (3 + 0.52 t) M; the second term, from the decay of the difference,
// is the worst case, while on average it is near 0. An account that was idle has no more advantage than what
// the others used in about three seconds, since older use has decayed.
namespace briarhead {

struct account_use
{
    double tokens = 0; ///< admitted, decayed by useHalfLife; as of `updatedAt`
    double meanTokens = 0; ///< per request, recent average
    millis updatedAt;
};

/// Half-life of past use. An account that was idle for some seconds competes as a new one.
constexpr millis useHalfLife{2'000};
/// Accounts remembered for one server: sixteen times as many as it has slots, and 64 kB. An account that is
/// forgotten competes as a new one, and of this many the least recently used has hardly any use left.
constexpr std::size_t maxSharedAccounts = 1'024;

/// Uses of one server, by accountHash(); 0 stands for all callers without an account.
struct fair_shares
{
    std::unordered_map<std::uint64_t, account_use> accounts;
};

/// Records that a request of an account was admitted.
void recordUse(fair_shares &shares, std::uint64_t account, std::int64_t tokens, millis now);
/// The account's recent use relative to its weight. Lower goes first. Half a request is added, so that
/// accounts with large requests and with small ones are alike on average, not just before they are admitted.
double useOverWeight(const fair_shares &shares, std::uint64_t account, double weight, millis now);

}
