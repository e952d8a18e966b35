#include "serving/load_pace.h"

#include <algorithm>

namespace briarhead {

namespace {

double inMs(millis span)
{
    return static_cast<double>(span.count);
}

bool isSlow(const load_pace &pace, millis took)
{
    return inMs(took) > slowShare * pace.quickestMs;
}

/// How many would have come at full speed where so many took so long.
double atOnceOf(const load_pace &pace, millis took, double crowd)
{
    return std::max(crowd * pace.quickestMs / inMs(took), leastAtOnce);
}

}

void noteLoad(load_pace &pace, millis took, double crowd, millis now)
{
    if (inMs(took) < heldShare * pace.quickestMs) {
        return; // the server had it
    }
    pace.quickestMs = std::min(inMs(took), pace.quickestMs);
    if (!isSlow(pace, took)) {
        if (crowd > pace.atOnce) {
            pace.atOnce = crowd;
            pace.learnedAt = now;
        }
        return;
    }
    if (crowd >= leastCrowd) {
        pace.atOnce += seenWeight * (atOnceOf(pace, took, crowd) - pace.atOnce);
        pace.learnedAt = now;
    }
}

void noteUnderWay(load_pace &pace, millis sofar, double crowd, millis now)
{
    if (crowd < leastCrowd || !isSlow(pace, sofar)) {
        return;
    }
    const double most = atOnceOf(pace, sofar, crowd);
    if (most < pace.atOnce) {
        pace.atOnce = most;
        pace.learnedAt = now;
    }
}

void noteHeard(load_pace &pace, double atOnce)
{
    if (atOnce > 0) {
        pace.atOnce += heardWeight * (atOnce - pace.atOnce);
    }
}

double toPassOn(const load_pace &pace, millis now)
{
    const bool lately = pace.learnedAt.count != 0 && now - pace.learnedAt < learnedLife;
    return lately ? pace.atOnce : 0;
}

double loadMsNow(const load_pace &pace)
{
    return pace.quickestMs * std::max((pace.crowd + 1) / pace.atOnce, 1.0);
}

}
