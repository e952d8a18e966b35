#include "scheduling/server_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace briarhead {

namespace {

constexpr millis window{1'000};

struct granted_request
{
    millis endsAt;
    bool rejected = false;
    millis reportedAt; ///< when the owner hears of its end
};

}

/// Guards against a brittle server that crashes: however much room it has lost, and however late its
/// rejections are reported, it rejects no more in a second than it bears, or than were under way when it lost
/// its room.
RC_GTEST_PROP(BrittleServer, RejectionsInASecondStayBelowWhatTheServerBears, ())
{
    const int slots = *rc::gen::inRange(1, 20);
    const std::int64_t maxRejections = *rc::gen::inRange(1, 30);
    const millis lag{*rc::gen::inRange(1, 100)};
    limit_permits permits;
    applyLimit(permits, unlimitedPerSecond, millis{1}, millis{1});
    permits.maxRejections = maxRejections;
    std::vector<granted_request> running;
    std::deque<millis> rejections;
    std::size_t most = 0;
    int room = slots;
    for (millis now{1'000}; now < millis{9'000}; now = now + millis{20}) {
        if (*rc::gen::inRange(0, 20) == 0) {
            room = *rc::gen::inRange(0, slots + 1);
        }
        std::erase_if(running, [&](const granted_request &each) {
            if (each.reportedAt > now) {
                return false;
            }
            if (each.rejected) {
                recordRejection(permits, now);
            }
            return true;
        });
        std::size_t grants =
            std::min(permitsLeft(permits, now), roomLeft(permits, running.size(), slots, now));
        for (; grants > 0; --grants) {
            acquirePermit(permits);
            const auto atServer = std::count_if(running.begin(), running.end(), [&](const auto &each) {
                return !each.rejected && each.endsAt > now;
            });
            granted_request request{now + millis{*rc::gen::inRange(10, 400)}, atServer >= room, {}};
            request.endsAt = request.rejected ? now : request.endsAt;
            request.reportedAt = request.endsAt + lag;
            running.push_back(request);
            if (request.rejected) {
                rejections.push_back(now);
            }
        }
        while (!rejections.empty() && now - rejections.front() >= window) {
            rejections.pop_front();
        }
        most = std::max(most, rejections.size());
    }
    RC_ASSERT(most <= static_cast<std::size_t>(std::max<std::int64_t>(maxRejections, slots)));
}

TEST(BrittleServer, SlotsAreUsedInFullWhileNothingIsRejected)
{
    limit_permits permits;
    permits.maxRejections = 2;
    EXPECT_EQ(roomLeft(permits, 0, 6, millis{1'000}), 6U);
    EXPECT_EQ(roomLeft(permits, 6, 6, millis{1'000}), 0U);
    recordRejection(permits, millis{1'000});
    EXPECT_EQ(roomLeft(permits, 0, 6, millis{1'001}), 0U);
    EXPECT_EQ(roomLeft(permits, 0, 6, millis{1'000} + rejectionWindow), 6U);
}

/// Guards against two owners that each send a server as much as it has room for.
TEST(BrittleServer, OwnerWithoutConfirmedLeaseUsesAShareOfTheSlots)
{
    limit_permits permits;
    permits.maxRejections = 5;
    setShare(permits, unconfirmedShare, millis{1'000});
    EXPECT_EQ(roomLeft(permits, 0, 10, millis{1'000}), 4U);
    setShare(permits, 0, millis{1'000});
    EXPECT_EQ(roomLeft(permits, 0, 10, millis{1'000}), 0U);
    setShare(permits, 1, millis{1'000});
    permits.grantsFrom = millis{2'000};
    EXPECT_EQ(roomLeft(permits, 0, 10, millis{1'999}), 0U) << "running requests aren't known yet";
}

}
