#pragma once

#include "state/clock.h"
#include "state/outcome.h"

#include <cstdint>
#include <optional>
#include <span>

namespace briarhead {

/// One adapter slot of an engine, as its owner sees it.
struct slot_view
{
    adapter_ref adapter;
    std::uint32_t inFlight = 0; ///< requests that this owner admitted and that have not ended
    std::uint32_t waiting = 0; ///< requests queued here for this adapter
    bool pinned = false; ///< streams of a previous owner may still run on it
    bool loading = false; ///< a load or an unload is in progress
    double rate = 0; ///< arrivals per second, slow average
    millis loadedAt;
    millis lastUsed;
};

/// A slot keeps its adapter for at least this long, unless a much hotter adapter needs it. Without this
/// limit, a working set one adapter larger than the slots makes two adapters evict each other on every
/// request.
constexpr std::int64_t minResidenceMs = 2'000;
/// How many times hotter an adapter must be to replace one that has been loaded for less than minResidenceMs.
constexpr double minHotnessRatio = 2.0;

/// Whether a slot may be unloaded at all: nothing runs on it, waits for it, or may still run on it for a
/// previous owner. An adapter that serves a request is never unloaded.
bool isEvictable(const slot_view &slot);

/// The index of the slot to evict for an adapter with arrival rate `newcomerRate` and `newcomerWaiting`
/// queued requests, or nothing. `leastRecentlyUsed` selects the baseline policy.
std::optional<std::size_t> chooseEviction(std::span<const slot_view> slots, double newcomerRate,
    std::uint32_t newcomerWaiting, millis now, bool leastRecentlyUsed);

}
