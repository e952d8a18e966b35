#pragma once

#include "state/clock.h"

// How often the store is looked at, and how long its readers may be silent. A configuration and a leaving
// server are to be known everywhere two seconds after the store has them, and each call to the store has a
// price. Stretched to twice as long where the bounds are four seconds, a failure domain whose readers had
// died together knew a configuration after 4.2 s in place of 0.8, for a hundredth of a quiet day's worth.
namespace briarhead {

/// A watch waits so long at the store. A store that went silent shows after this and the call's margin.
constexpr millis watchTimeout{2'000};
/// A reader whose failure domain listens to it tells so often at least that it reaches the store.
constexpr millis readerWatchTimeout{700};
/// Without news for so long a daemon follows the store itself: a reader speaks every 1.3 s.
constexpr millis maxUpdateAge{1'600};
/// Pause between two watches, so that changes that come close together cost one call: servers write their
/// entries all the time, and each write would end a watch.
constexpr millis watchPause{500};
/// From a reading of all keys until the readers' first news are due: as good as news for so long.
constexpr millis firstUpdateGrace{900};

/// Until a store that failed so many times one after the other is read again: by the readers soon, so that it
/// is back soon after its return, by the others each time after twice as long.
constexpr millis minReadPause{400};
constexpr millis maxReadPause{3'200};

millis readPauseAfter(int failures, bool reader);

}
