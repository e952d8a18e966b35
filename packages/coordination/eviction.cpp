#include "coordination/eviction.h"

#include <algorithm>

namespace briarhead {

namespace {

/// How hot the newcomer is. A queue counts besides the slow average, which a sudden shift of popularity
/// moves too late; a single waiting request is no sign of hotness.
double hotnessOf(double newcomerRate, std::uint32_t newcomerWaiting)
{
    if (newcomerWaiting <= 1) {
        return newcomerRate;
    }
    return std::max(newcomerRate, (newcomerWaiting - 1) * 1000.0 / minResidenceMs);
}

/// Whether an arrival before the end of the least residence is likely enough for a slot to be kept that long.
/// Adapters asked for once in a while have nothing to thrash with. Keeping them too would give the youngest
/// slots of a server to its coldest adapters and unload hotter ones in their place.
bool isProtectedWhileYoung(const slot_view &slot)
{
    constexpr double likelyArrivals = 0.1;
    return slot.rate * minResidenceMs / 1000.0 >= likelyArrivals;
}

/// Whether the newcomer is worth the slot. Guards against thrash: two adapters that share the last slot
/// would unload each other on every request, seen as loads a minute near the store's limit while nearly
/// all requests stall. A young slot yields only to something much hotter, and a prefetch (nobody waits)
/// never displaces what is about as hot.
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
    // Guards against unloading an adapter under a request, which the caller would see as a broken or wrong
    // answer. Counts are first-hand: one task admits to and evicts from a server, so none can be missed.
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
