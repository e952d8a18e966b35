#pragma once

#include "state/clock.h"

#include <optional>

namespace briarhead {

/// When a daemon that was told to end stops each kind of work, counted from the signal.
struct shutdown_plan
{
    millis releaseServers; ///< it gives no more orders
    millis stopAccepting; ///< new requests are refused
    millis stopListening; ///< new connections are refused
    millis earliestExit; ///< it ends no sooner, even without work: callers are still sent to it
    millis failOpen; ///< requests that are still open get their final response
    millis exit; ///< it ends, whatever is open
};

/// `grace`: from the signal until the platform kills the process.
shutdown_plan planShutdown(millis grace);

/// Whether a request can end before the process does if it is sent to a server now. `elapsed`: since the
/// signal; `timeLeft`: until the request's deadline; `usual`: how long such requests take, if that is known.
bool canEndInTime(const shutdown_plan &plan, millis elapsed, millis timeLeft, std::optional<millis> usual);

}
