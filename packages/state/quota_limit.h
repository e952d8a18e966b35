#pragma once

#include "state/clock.h"

// What a client account may use, over all daemons together. Units are requests or tokens, as the operator's
// configuration says for each account.
namespace briarhead {

struct quota_limit
{
    double rate = 0; ///< units a second; 0: no limit
    double burst = 0; ///< units that may come at once after a quiet time
};

/// How exactly limits have to be kept: in any `window` no more than
/// (rate x window + burst) x (1 + overage) + slack units may run.
struct quota_tolerance
{
    millis window{8'000};
    double overage = 0.1;
    double slack = 0; ///< units
};

inline bool isLimited(const quota_limit &limit)
{
    return limit.rate > 0;
}

}
