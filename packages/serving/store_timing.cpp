#include "serving/store_timing.h"

#include <algorithm>

namespace briarhead {

millis readPauseAfter(int failures, bool reader)
{
    constexpr int mostDoublings = 8;
    const std::int64_t doubled = minReadPause.count << std::clamp(failures, 0, mostDoublings);
    return reader ? minReadPause : std::min(millis{doubled}, maxReadPause);
}

}
