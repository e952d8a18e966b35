#pragma once

#include "state/clock.h"

#include <cstddef>

// Whether a daemon takes a further connection from callers. The load balancer may hand most new connections
// of a region to one daemon for a while. A request that is read has to be served, so a connection that can't
// be served is closed before anything is read from it: its caller retries at once, and reaches another
// daemon. This is pure state without I/O.
namespace briarhead {

/// Interval of the measurements: two periods of a processor quota.
constexpr millis admissionInterval{200};
/// Above this share of time in which the event loop did not wait for events, fewer connections are taken. The
/// rest is left for the responses of what is being taken, and for bursts.
constexpr double busyLoopShare = 0.9;
/// Below this share, more connections are taken. Between the two, the rate stays as it is.
constexpr double calmLoopShare = 0.75;
constexpr double admissionDecrease = 0.75; ///< of the rate at which connections were taken, in each interval
constexpr double admissionIncrease = 1.15;
/// Intervals in a row that have to be busy before there is a limit: a start, or a large configuration, keeps
/// the loop busy for one.
constexpr int busyIntervalsToLimit = 2;
/// Always taken: an eighth of a core serves far more. A caller that is turned away has one attempt fewer, so
/// a start or a burst must not lead to that.
constexpr double minAdmittedPerSecond = 20;
/// Once the rate is this many times that of the connections offered, it limits nothing.
constexpr double unlimitedRatio = 4;

struct connection_admission
{
    double perSecond = 0; ///< new connections that are taken; 0: no limit
    double permits = 0; ///< connections that may be taken now, if there is a limit
    millis updatedAt; ///< when permits last flowed in
    millis intervalStart;
    int busyIntervals = 0; ///< in a row, up to the latest one
    std::size_t offered = 0; ///< in the current interval
    std::size_t taken = 0; ///< in the current interval
};

/// How many connections of callers a daemon may hold if it may open so many descriptors; 0: no limit. Each
/// request may need a second one, for its server.
std::size_t maxCallerConnections(std::size_t maxDescriptors);
/// Decides on a new connection, and counts it.
bool admitConnection(connection_admission &admission, millis now);
/// Adapts the rate at the end of an interval. `busyShare`: the part of it, 0 to 1, in which the event loop
/// did not wait for events, because it was working, or its process was not running.
void adaptAdmission(connection_admission &admission, double busyShare, millis now);

}
