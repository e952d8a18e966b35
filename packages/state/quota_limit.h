#pragma once

#include "state/clock.h"

// Limits on the use of client accounts, over all daemons together. The units are requests or tokens, as the
// operators' configuration says for each account.
namespace briarhead {

/// The limit of one account: a token bucket.
struct quota_limit
{
    double rate = 0; ///< units per second; 0: unlimited
    double burst = 0; ///< units that may be used at once after an idle period; the depth of the bucket
};

/// How far limits may be exceeded: within any `window`, at most
/// (rate x window + burst) x (1 + overage) + slack units may be used.
struct quota_tolerance
{
    millis window{8'000};
    double overage = 0.1; ///< fraction of the limit
    double slack = 0; ///< units
};

inline bool isLimited(const quota_limit &limit)
{
    return limit.rate > 0;
}

}
