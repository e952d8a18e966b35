#pragma once

#include "transport/loop.h"

#include <functional>

namespace briarhead {

/// Far beyond what any condition in a test takes; only a test that fails waits so long.
constexpr millis testPatienceMs{20'000};

/// Runs the loop until the condition holds; false when patience ran out.
inline bool runUntil(loop &eventLoop, const std::function<bool()> &condition)
{
    if (condition()) {
        return true;
    }
    const auto check = eventLoop.timer(millis{1}, millis{1}, [&] {
        if (condition()) {
            eventLoop.stop();
        }
    });
    const auto giveUp = eventLoop.timer(testPatienceMs, {}, [&] {
        eventLoop.stop();
    });
    eventLoop.run();
    return condition();
}

}
