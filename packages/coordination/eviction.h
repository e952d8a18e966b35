#pragma once

#include "state/clock.h"
#include "state/outcome.h"

#include <cstdint>
#include <optional>
#include <span>

namespace briarhead {

/// One adapter slot of an engine as its owner sees it.
struct slot_view
{
    adapter_ref adapter;
    std::uint32_t inFlight = 0; ///< requests admitted here and not yet ended, first-hand
    std::uint32_t waiting = 0; ///< requests waiting for it here
    bool pinned = false; ///< an old owner's streams may still run on it
    bool loading = false;
    double rate = 0; ///< arrivals a second, slow average
    millis loadedAt;
    millis lastUsed;
};

/// A slot keeps its adapter at least this long unless something much hotter waits; without it two
/// adapters just above the slots evict each other on every request.
constexpr std::int64_t minResidenceMs = 2'000;
/// How much hotter the newcomer must be than a slot younger than minResidenceMs.
constexpr double minHotnessRatio = 2.0;

/// Whether a slot may be unloaded at all: nothing runs on it, is promised to it or may be left on it
/// from an old owner. An adapter that serves a request is never unloaded.
bool isEvictable(const slot_view &slot);

/// The slot to evict for an adapter with `newcomerRate` and `newcomerWaiting`, or nothing.
/// `leastRecentlyUsed` is the baseline.
std::optional<std::size_t> chooseEviction(std::span<const slot_view> slots, double newcomerRate,
    std::uint32_t newcomerWaiting, millis now, bool leastRecentlyUsed);

}
