#include "serving/store_pace.h"

#include <algorithm>

namespace briarhead {

millis readPauseAfter(int failures, bool reader)
{
    constexpr int mostDoublings = 8;
    const std::int64_t doubled = readPause.count << std::clamp(failures, 0, mostDoublings);
    return reader ? readPause : std::min(millis{doubled}, mostReadPause);
}

}
