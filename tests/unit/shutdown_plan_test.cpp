#include "coordination/shutdown_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

// Guards against steps that lie behind the exit, or are left out, where the grace is short.
RC_GTEST_PROP(ShutdownPlan, StepsComeInOrderWithAnyGrace, ())
{
    const millis grace{*rc::gen::inRange(0, 120'000)};
    const shutdown_plan plan = planShutdown(grace);
    RC_ASSERT(plan.stopAccepting <= plan.stopListening);
    RC_ASSERT(plan.stopListening <= plan.failOpen);
    RC_ASSERT(plan.earliestExit <= plan.failOpen);
    RC_ASSERT(plan.releaseServers <= plan.exit);
    RC_ASSERT(plan.failOpen <= plan.exit);
    RC_ASSERT(plan.exit <= grace);
    RC_ASSERT(grace.count == 0 || plan.exit < grace || grace.count < 6);
}

// Guards against requests that are sent though the process ends before they can.
RC_GTEST_PROP(ShutdownPlan, WhatIsSentCanEndBeforeTheExit, ())
{
    const shutdown_plan plan = planShutdown({*rc::gen::inRange(0, 30'000)});
    const millis elapsed{*rc::gen::inRange(0, 30'000)};
    const millis timeLeft{*rc::gen::inRange(0, 30'000)};
    const millis usual{*rc::gen::inRange(0, 30'000)};
    if (canEndInTime(plan, elapsed, timeLeft, usual)) {
        RC_ASSERT(elapsed + std::min(timeLeft, usual) <= plan.failOpen);
    }
    if (canEndInTime(plan, elapsed, timeLeft, std::nullopt)) {
        RC_ASSERT(elapsed + timeLeft <= plan.failOpen || elapsed <= plan.stopAccepting);
    }
}

}
