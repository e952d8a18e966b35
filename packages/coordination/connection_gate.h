#pragma once

#include "coordination/connection_admission.h"
#include "transport/loop.h"

namespace briarhead {

/// What a process decided on a new connection.
struct gate_decision
{
    bool admitted = true;
    bool limitChanged = false; ///< a limit has begun or ended
    double busyShare = 0; ///< set if limitChanged
};

/// Decides on a new connection of this process. The share of busy time is looked at when connections come, so
/// that a process without callers is not woken for it.
inline gate_decision decideOnConnection(connection_admission &admission, loop &eventLoop)
{
    const millis now = bootNow();
    gate_decision decision;
    if (now - admission.intervalStart >= admissionInterval) {
        const bool wasLimited = admission.perSecond > 0;
        decision.busyShare = eventLoop.takeBusyShare();
        adaptAdmission(admission, decision.busyShare, now);
        decision.limitChanged = wasLimited != (admission.perSecond > 0);
    }
    decision.admitted = admitConnection(admission, now);
    return decision;
}

}
