#pragma once

#include "state/clock.h"

#include <algorithm>

namespace briarhead {

/// A request that crashes its server does so soon after the server begins to respond. If the server crashes
/// after it has sent bytes for this long, this request is not suspected.
constexpr millis suspectRespondingTime{500};
/// After this long, the request is proof that a server bears it, however slow that server is.
constexpr millis provenRespondingTime{2'000};
/// A longer gap may be this daemon's own pause, with the bytes from before it still to be read.
constexpr millis maxCountedGap{500};

/// For how long a server has been sending the bytes of one response.
struct responding_time
{
    millis lastBytesAt; ///< 0 before the first bytes
    millis total; ///< gaps count up to maxCountedGap
};

inline bool isSuspect(const responding_time &time)
{
    return time.total < suspectRespondingTime;
}

/// Records that bytes of the response have arrived. Returns whether it has become proof with them.
inline bool countBytes(responding_time &time, millis now)
{
    const millis before = time.total;
    if (time.lastBytesAt.count != 0) {
        time.total = time.total + std::min(now - time.lastBytesAt, maxCountedGap);
    }
    time.lastBytesAt = now;
    return before < provenRespondingTime && time.total >= provenRespondingTime;
}

}
