#include "state/clock.h"

#include <ctime>

namespace briarhead {

namespace {

millis readClock(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now);
    return {static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000};
}

}

millis bootNow()
{
    return readClock(CLOCK_BOOTTIME);
}

millis wallNow()
{
    return readClock(CLOCK_REALTIME);
}

}
