#include "coordination/eviction.h"

#include <algorithm>

namespace briarhead {

namespace {

/// How hot the newcomer is. The length of its queue counts as well as the slow average, which reacts too late
/// to a sudden shift of popularity. A single waiting request says nothing.
double hotnessOf(double newcomerRate, std::uint32_t newcomerWaiting)
{
    if (newcomerWaiting <= 1) {
        return newcomerRate;
    }
    return std::max(newcomerRate, (newcomerWaiting - 1) * 1000.0 / minResidenceMs);
}

/// Whether another request within minResidenceMs is likely enough to keep a young adapter that long. Adapters
/// that are rarely requested can't thrash. Protecting them too would give a server's youngest slots to its
/// coldest adapters and evict hotter ones instead.
bool isProtectedWhileYoung(const slot_view &slot)
{
    constexpr double likelyArrivals = 0.1;
    return slot.rate * minResidenceMs / 1000.0 >= likelyArrivals;
}

/// Whether a slot should be given to the newcomer. Without this check, two adapters that share the last slot
/// evict each other on every request: the load rate approaches the store's limit while nearly all requests
/// stall. A young slot yields only to a much hotter adapter, and a prefetch (no request waits) never evicts
/// an adapter that is about as hot.
bool yieldsTo(const slot_view &slot, double hotness, bool hasWaiters, millis now)
{
    const bool young = now - slot.loadedAt < millis{minResidenceMs} && isProtectedWhileYoung(slot);
    if (hasWaiters && !young) {
        return true;
    }
    return hotness > minHotnessRatio * slot.rate;
}

bool isColder(const slot_view &a, const slot_view &b)
{
    return a.rate != b.rate ? a.rate < b.rate : a.lastUsed < b.lastUsed;
}

}

bool isEvictable(const slot_view &slot)
{
    // Unloading an adapter while a request runs on it would give the caller a broken or wrong response. The
    // counts are complete, because a single task admits requests to a server and evicts from it.
    return slot.inFlight == 0 && slot.waiting == 0 && !slot.pinned && !slot.loading;
}

std::optional<std::size_t> chooseEviction(std::span<const slot_view> slots, double newcomerRate,
    std::uint32_t newcomerWaiting, millis now, bool leastRecentlyUsed)
{
    const double hotness = hotnessOf(newcomerRate, newcomerWaiting);
    std::optional<std::size_t> victim;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        if (!isEvictable(slots[i])) {
            continue;
        }
        if (leastRecentlyUsed) {
            if (!victim || slots[i].lastUsed < slots[*victim].lastUsed) {
                victim = i;
            }
            continue;
        }
        if (yieldsTo(slots[i], hotness, newcomerWaiting > 0, now)
            && (!victim || isColder(slots[i], slots[*victim]))) {
            victim = i;
        }
    }
    return victim;
}

}
