#pragma once

#include "state/clock.h"

// How often the store is watched and read, and how old the updates of its readers may be. Every daemon must
// know a new configuration or a leaving server within 2 s of the store, and every call to the store is
// charged. Doubling these times where the bounds allow 4 s saved a hundredth of a low-traffic day's score,
// but a failure domain whose readers had all died knew a configuration after 4.2 s instead of 0.8 s.
namespace briarhead {

/// How long a watch waits at the store. An unresponsive store is detected after this and the call's margin.
constexpr millis watchTimeout{2'000};
/// How long a reader's watch waits while its failure domain depends on it: the reader confirms at least this
/// often that it reaches the store.
constexpr millis readerWatchTimeout{700};
/// A daemon without updates for this long watches the store itself; a reader sends one every 1.3 s at least.
constexpr millis maxUpdateAge{1'600};
/// Pause between two watches, so that changes in quick succession cost one call: servers write their entries
/// all the time, and each write would end a watch.
constexpr millis watchPause{500};
/// How long a read of all keys counts as an update: until the readers' first updates are due.
constexpr millis firstUpdateGrace{900};

/// Pauses between reads of a failing store. Readers always use the shortest, so that they return soon after
/// the store does; other daemons double theirs after each failure.
constexpr millis minReadPause{400};
constexpr millis maxReadPause{3'200};

/// The pause after `failures` earlier consecutive failures.
millis readPauseAfter(int failures, bool reader);

}
