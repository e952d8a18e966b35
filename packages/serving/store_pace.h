#pragma once

#include "serving/node_settings.h"
#include "state/clock.h"

namespace briarhead {

/// How often the store is looked at, and how long its readers may be silent. A configuration and a leaving
/// server are to be known everywhere within the platform's bounds, and each call to the store has a price:
/// what the bounds leave is used. All spans are given for bounds of `paceBound` and stretch with them.
struct store_pace
{
    /// A watch waits so long at the store. A store that went silent shows after this and the call's margin.
    millis watchWait;
    /// A reader whose failure domain listens to it tells so often at least that it reaches the store.
    millis readerWait;
    /// Without news for so long a daemon follows the store itself.
    millis newsLife;
    /// Pause between two watches, so that changes that come close together cost one call: servers write their
    /// entries all the time, and each write would end a watch.
    millis watchPause;
    /// From a reading of all keys until the readers' first news are due: as good as news for so long.
    millis firstNews;
};

constexpr millis paceBound{2'000};
constexpr store_pace paceAtBound{{2'000}, {700}, {1'600}, {500}, {900}};
/// Longer pauses would keep a server that is new, or gone without notice, unknown for too long.
constexpr double mostStretch = 2;

store_pace paceFor(const node_settings &settings);

/// Until a store that failed so many times one after the other is read again: by the readers soon, so that it
/// is back soon after its return, by the others each time after twice as long.
constexpr millis readPause{400};
constexpr millis mostReadPause{3'200};

millis readPauseAfter(int failures, bool reader);

}
