#include "coordination/connection_admission.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;
/// For files, the listeners, and connections to the store, to other daemons, and from them.
constexpr std::size_t reservedDescriptors = 400;

/// Permits of this long are saved, so that connections that come in bursts are not turned away without need.
constexpr double savedSeconds = 0.2;

double secondsSince(millis then, millis now)
{
    return static_cast<double>(std::max<std::int64_t>((now - then).count, 0)) / msPerSecond;
}

}

std::size_t maxCallerConnections(std::size_t maxDescriptors)
{
    return maxDescriptors == 0
        ? 0
        : (std::max(maxDescriptors, 2 * reservedDescriptors) - reservedDescriptors) / 2;
}

bool admitConnection(connection_admission &admission, millis now)
{
    ++admission.offered;
    if (admission.perSecond > 0) {
        const double inflow = secondsSince(admission.updatedAt, now) * admission.perSecond;
        const double most = std::max(1.0, admission.perSecond * savedSeconds);
        admission.permits = std::min(most, admission.permits + inflow);
        admission.updatedAt = now;
        if (admission.permits < 1) {
            return false;
        }
        admission.permits -= 1;
    }
    ++admission.taken;
    return true;
}

void adaptAdmission(connection_admission &admission, double busyShare, millis now)
{
    const double seconds = secondsSince(admission.intervalStart, now);
    const double taken = seconds == 0 ? 0 : static_cast<double>(admission.taken) / seconds;
    const double offered = seconds == 0 ? 0 : static_cast<double>(admission.offered) / seconds;
    admission.intervalStart = now;
    admission.taken = 0;
    admission.offered = 0;
    admission.busyIntervals = busyShare > busyLoopShare ? admission.busyIntervals + 1 : 0;
    if (admission.busyIntervals >= busyIntervalsToLimit) {
        const bool unlimited = admission.perSecond == 0;
        const double current = unlimited ? taken : std::min(taken, admission.perSecond);
        admission.perSecond = std::max(minAdmittedPerSecond, current * admissionDecrease);
        admission.updatedAt = unlimited ? now : admission.updatedAt;
    } else if (admission.perSecond > 0 && busyShare < calmLoopShare) {
        admission.perSecond *= admissionIncrease;
        if (admission.perSecond > unlimitedRatio * std::max(offered, minAdmittedPerSecond)) {
            admission.perSecond = 0;
        }
    }
}

}
