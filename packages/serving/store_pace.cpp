#include "serving/store_pace.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

store_pace paceFor(const node_settings &settings)
{
    const millis bound = std::min(settings.configBound, settings.drain);
    const double stretch =
        std::clamp(static_cast<double>(bound.count) / static_cast<double>(paceBound.count), 1.0, mostStretch);
    const auto stretched = [stretch](millis span) {
        return millis{std::llround(static_cast<double>(span.count) * stretch)};
    };
    return {stretched(paceAtBound.watchWait), stretched(paceAtBound.readerWait),
        stretched(paceAtBound.newsLife), stretched(paceAtBound.watchPause), stretched(paceAtBound.firstNews)};
}

millis readPauseAfter(int failures, bool reader)
{
    constexpr int mostDoublings = 8;
    const std::int64_t doubled = readPause.count << std::clamp(failures, 0, mostDoublings);
    return reader ? readPause : std::min(millis{doubled}, mostReadPause);
}

}
