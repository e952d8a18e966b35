#include "coordination/eviction.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace briarhead {

namespace {

constexpr millis now{100'000};

slot_view slot(double rate, millis loadedAt, millis lastUsed)
{
    return {.rate = rate, .loadedAt = loadedAt, .lastUsed = lastUsed};
}

slot_view randomSlot()
{
    slot_view any = slot(*rc::gen::inRange(0, 50) / 10.0, {*rc::gen::inRange(95'000, 100'000)}, {0});
    any.inFlight = *rc::gen::inRange(0U, 2U);
    any.waiting = *rc::gen::inRange(0U, 2U);
    any.pinned = *rc::gen::arbitrary<bool>();
    any.loading = *rc::gen::arbitrary<bool>();
    return any;
}

}

RC_GTEST_PROP(Eviction, NoSlotInUsePromisedPinnedOrLoadingIsEverChosen, (bool leastRecentlyUsed))
{
    const std::vector<slot_view> slots{randomSlot(), randomSlot(), randomSlot(), randomSlot()};
    const auto waiting = *rc::gen::inRange(0U, 50U);
    const auto chosen = chooseEviction(slots, *rc::gen::inRange(0, 100), waiting, now, leastRecentlyUsed);
    if (chosen) {
        const slot_view &slot = slots.at(*chosen);
        RC_ASSERT((slot.inFlight == 0 && slot.waiting == 0 && !slot.pinned && !slot.loading));
    }
}

TEST(Eviction, TheColdestSlotIsEvictedOrWithTheBaselineTheLeastRecentlyUsed)
{
    const std::vector<slot_view> slots{slot(5, {0}, {1'000}), slot(0.1, {0}, {9'000}), slot(2, {0}, {5'000})};
    EXPECT_EQ(chooseEviction(slots, 1, 1, now, false), 1U);
    EXPECT_EQ(chooseEviction(slots, 1, 1, now, true), 0U);
}

TEST(Eviction, TwoSimilarlyHotAdaptersDontEvictEachOtherOnEveryRequest)
{
    // The working set is one adapter larger than the slots. Without a minimum residence, every request of
    // either adapter would wait for a load, since each load evicts the other one.
    const millis loadedAt = now - millis{minResidenceMs - 1};
    const std::vector<slot_view> slots{slot(1, loadedAt, now)};
    EXPECT_FALSE(chooseEviction(slots, 1.1, 1, now, false));
    EXPECT_EQ(chooseEviction(slots, 1.1, 1, now + millis{1}, false), 0U)
        << "after the minimum residence it may evict";
    EXPECT_EQ(chooseEviction(slots, 2.1, 1, now, false), 0U) << "a much hotter adapter may evict it";
    EXPECT_EQ(chooseEviction(slots, 0, 30, now, false), 0U)
        << "a queue shows hotness before the average does";
}

// Requests for rarely used adapters arrive one after the other. If each evicts a hotter adapter, because the
// previous newcomer's slot is still young, then callers of fairly popular adapters keep waiting for loads. A
// young slot that expects no request within the minimum residence must go first.
TEST(Eviction, AYoungSlotThatIsRarelyUsedIsEvictedBeforeAHotterOlderOne)
{
    const millis loadedAt = now - millis{minResidenceMs / 2};
    const std::vector<slot_view> slots{slot(0.5, {0}, now), slot(0.02, loadedAt, loadedAt)};
    EXPECT_EQ(chooseEviction(slots, 0.02, 1, now, false), 1U);
}

TEST(Eviction, APrefetchEvictsOnlyAMuchColderAdapter)
{
    const std::vector<slot_view> slots{slot(1, {0}, {0})};
    EXPECT_FALSE(chooseEviction(slots, 1.9, 0, now, false));
    EXPECT_TRUE(chooseEviction(slots, 2.1, 0, now, false));
}

}
