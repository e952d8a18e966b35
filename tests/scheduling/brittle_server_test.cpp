#include "scheduling/server_limit.h"
#include "scheduling/slot_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <string>
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

namespace {

struct sent_request
{
    std::string id;
    std::string entry;
    millis endsAt;
    bool rejected = false;
};

/// The most rejections of a brittle plain server within a second, while `daemons` daemons together ask for
/// twice what it bears, and it loses half of its room after a second.
std::size_t mostRejections(std::size_t daemons, std::int64_t maxRejections)
{
    constexpr int slots = 6;
    constexpr millis serviceTime{60};
    constexpr millis reportTime{10};
    constexpr millis step{5};
    slot_scheduler scheduler;
    scheduler.plain = true;
    scheduler.serverSlots = slots;
    scheduler.ledger.server = "p-1";
    scheduler.queue.maxRunning = std::numeric_limits<int>::max();
    applyLimit(scheduler.limit, unlimitedPerSecond, millis{1}, millis{1});
    std::vector<sent_request> atServer;
    std::deque<millis> rejections;
    std::size_t most = 0;
    std::size_t asked = 0;
    for (millis now{1'000}; now < millis{5'000}; now = now + step) {
        const int room = now < millis{2'000} ? slots : slots / 2;
        for (; asked < static_cast<std::size_t>((now.count - 1'000) / step.count); ++asked) {
            slot_request request;
            request.id = "r" + std::to_string(asked);
            request.server = "p-1";
            request.waitMs = 200;
            request.deadlineMs = 1'000;
            request.targetMs = 300;
            slot_terms terms;
            terms.maxRejections = maxRejections;
            handleSlotRequest(scheduler, "n" + std::to_string(asked % daemons), request, now, terms);
        }
        std::erase_if(atServer, [&](const sent_request &each) {
            if (each.endsAt + reportTime > now) {
                return false;
            }
            if (each.rejected) {
                onRejection(scheduler, each.id, now);
                onRejection(scheduler, each.id, now);
            } else {
                onRequestEvent(scheduler, {each.id, "p-1", slot_event::Ended}, now);
            }
            return true;
        });
        for (const addressed_response &each : dueResponses(scheduler, now)) {
            if (each.response.decision != slot_decision::Granted) {
                continue;
            }
            const auto working = std::count_if(atServer.begin(), atServer.end(), [now](const auto &other) {
                return !other.rejected && other.endsAt > now;
            });
            const bool rejected = working >= room;
            atServer.push_back({each.response.id, each.entry, rejected ? now : now + serviceTime, rejected});
            if (rejected) {
                rejections.push_back(now);
            }
        }
        while (!rejections.empty() && now - rejections.front() >= window) {
            rejections.pop_front();
        }
        most = std::max(most, rejections.size());
    }
    return most;
}

}

/// Guards against a bound on rejections that grows with the number of daemons that send to the server.
TEST(BrittleServer, AllDaemonsTogetherStayBelowTheBoundAtEachFleetSize)
{
    constexpr std::int64_t maxRejections = 8;
    for (const std::size_t daemons : {6U, 70U, 1'200U}) {
        const std::size_t most = mostRejections(daemons, maxRejections);
        EXPECT_LT(most, static_cast<std::size_t>(maxRejections)) << daemons << " daemons";
        EXPECT_GT(most, 0U) << "the server has to reject something for the test to show anything";
    }
}

}
