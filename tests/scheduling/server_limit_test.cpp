#include "protocol/codec.h"
#include "scheduling/limit_check.h"
#include "scheduling/server_limit.h"
#include "scheduling/slot_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <vector>

namespace briarhead {

namespace {

constexpr millis begin{1'000'000};
constexpr std::int64_t pumpMs = 20; ///< interval at which owners grant permits

/// A daemon that grants a server's permits as long as it considers itself the server's owner.
struct granting_daemon
{
    limit_permits permits;
    std::vector<millis> granted;

    /// Grants all permits that are available.
    void pump(millis now)
    {
        for (std::size_t left = permitsLeft(permits, now); left > 0; --left) {
            acquirePermit(permits);
            granted.push_back(now);
        }
    }
};

slot_request slotRequestFor(const std::string &id, millis maxWait)
{
    slot_request request;
    request.id = id;
    request.server = "s";
    request.waitMs = maxWait.count;
    request.deadlineMs = 10'000;
    request.targetMs = maxWait.count;
    return request;
}

slot_scheduler plainScheduler(double perSecond, millis now)
{
    slot_scheduler scheduler;
    scheduler.plain = true;
    scheduler.ledger.server = "s";
    scheduler.queue.maxRunning = 1'000'000;
    applyLimit(scheduler.limit, perSecond, now, now);
    return scheduler;
}

}

// An owner that has been cut off keeps granting beside its successor, and demand exceeds the limit on both.
RC_GTEST_PROP(ServerLimit, TwoOwnersStayWithinTheAllowanceIfOneIsUnconfirmed, ())
{
    const double perSecond = static_cast<double>(*rc::gen::inRange(0, 4'000))
        / static_cast<double>(*rc::gen::element(1, 20, 1'000));
    const std::int64_t cutAt = *rc::gen::inRange(0, 12'000) / pumpMs * pumpMs;
    const std::int64_t successorAt = cutAt + *rc::gen::inRange(0, 8'000) / pumpMs * pumpMs;
    const std::int64_t frozenFor = *rc::gen::inRange(0, 5'000) / pumpMs * pumpMs;
    granting_daemon first;
    granting_daemon second;
    applyLimit(first.permits, perSecond, begin, begin);
    for (std::int64_t at = 0; at < 24'000; at += pumpMs) {
        const millis now = begin + millis{at};
        if (at == cutAt) {
            setShare(first.permits, unconfirmedShare, now);
        }
        if (at < cutAt || at >= cutAt + frozenFor) {
            first.pump(now);
        }
        if (at == successorAt) {
            applyLimit(second.permits, perSecond, now, now);
        }
        if (at >= successorAt) {
            second.pump(now);
        }
    }
    std::vector<millis> all = first.granted;
    all.insert(all.end(), second.granted.begin(), second.granted.end());
    // Lower limits are treated as minPerSecond.
    const double effectiveLimit = std::max(perSecond, minPerSecond);
    RC_ASSERT(
        findLimitViolation({{begin - limitReactionTime, {}, effectiveLimit}}, all, begin + millis{30'000})
            .value_or("")
        == "");
}

TEST(ServerLimit, SteadyDemandIsGrantedNearlyTheWholeLimit)
{
    for (const double perSecond : {0.3, 1.0, 7.5, 100.0, 900.0}) {
        granting_daemon daemon;
        applyLimit(daemon.permits, perSecond, begin, begin);
        for (std::int64_t at = 0; at <= 60'000; at += pumpMs) {
            daemon.pump(begin + millis{at});
        }
        EXPECT_GE(static_cast<double>(daemon.granted.size()), 0.97 * perSecond * 60 - 1) << perSecond;
        EXPECT_LE(static_cast<double>(daemon.granted.size()), perSecond * 60 + 1) << perSecond;
    }
}

// Regression: after an idle period, one daemon's callers got all accumulated permits at once.
TEST(ServerLimit, OnlyAFewPermitsAccumulateWhileIdle)
{
    granting_daemon daemon;
    applyLimit(daemon.permits, 10, begin, begin);
    daemon.pump(begin + millis{60'000});
    EXPECT_EQ(daemon.granted.size(), 3U);
}

// Applies to a newly announced limit and to a new owner.
TEST(ServerLimit, NewLimitStartsWithoutPermits)
{
    limit_permits permits;
    applyLimit(permits, 2, begin, begin);
    EXPECT_EQ(permitsLeft(permits, begin), 0U);
    EXPECT_EQ(permitDelay(permits, 0, begin), millis{500});
    EXPECT_EQ(permitDelay(permits, 3, begin), millis{2'000});
    EXPECT_EQ(permitsLeft(permits, begin + millis{500}), 1U);
}

// Regression: when a limit rose, permits were added at the new rate for the time before.
TEST(ServerLimit, RaisedLimitAppliesFromWhenItIsSeen)
{
    limit_permits permits;
    applyLimit(permits, 0.1, begin, begin);
    applyLimit(permits, 100, begin + millis{1'000}, begin + millis{1'000});
    EXPECT_EQ(permitsLeft(permits, begin + millis{1'000}), 0U);
    EXPECT_EQ(permitsLeft(permits, begin + millis{1'100}), 10U);
}

// Regression: a response that had been written before the limit was announced arrived after one that
// announced it, and withdrew the limit.
TEST(ServerLimit, OnlyAResponseToALaterGrantWithdrawsTheLimit)
{
    limit_permits permits;
    applyLimit(permits, 1, begin, begin);
    withdrawLimit(permits, begin - millis{1}, begin + millis{50});
    EXPECT_TRUE(permits.perSecond);
    withdrawLimit(permits, begin + millis{10}, begin + millis{60});
    EXPECT_FALSE(permits.perSecond);
    EXPECT_GT(permitsLeft(permits, begin + millis{60}), 1'000U);
    applyLimit(
        permits, 1, begin + millis{5}, begin + millis{70}); // an entry that saw it before its withdrawal
    EXPECT_FALSE(permits.perSecond);
    applyLimit(permits, 1, begin + millis{65}, begin + millis{70});
    EXPECT_TRUE(permits.perSecond);

    announced_limits limits;
    EXPECT_EQ(applyResponseLimit(limits, "s", 1, {}, begin, begin + millis{5}), limit_change::Announced);
    EXPECT_EQ(
        applyResponseLimit(limits, "s", {}, {}, begin + millis{4}, begin + millis{6}), limit_change::None);
    EXPECT_EQ(applyResponseLimit(limits, "s", 2, {}, begin, begin + millis{7}), limit_change::Changed);
    EXPECT_EQ(applyResponseLimit(limits, "s", {}, {}, begin + millis{8}, begin + millis{9}),
        limit_change::Withdrawn);
    EXPECT_TRUE(limits.empty());
}

// Without any requests nobody would learn that the limit has risen.
TEST(ServerLimit, AtALimitOfZeroARequestIsGrantedEveryTenSeconds)
{
    granting_daemon daemon;
    applyLimit(daemon.permits, 0, begin, begin);
    for (std::int64_t at = 0; at <= 60'000; at += pumpMs) {
        daemon.pump(begin + millis{at});
    }
    EXPECT_EQ(daemon.granted.size(), 6U);
}

// Regression: if the limit was lower than the number of daemons, each daemon sent its own requests. Here
// 1,200 daemons share a server that accepts two requests per second.
TEST(ServerLimit, LimitBelowOneRequestPerDaemonIsKeptByAllTogether)
{
    slot_scheduler scheduler = plainScheduler(2, begin);
    std::vector<millis> sent;
    std::size_t refused = 0;
    constexpr int daemons = 1'200;
    for (std::int64_t at = 0; at < 30'000; at += pumpMs) {
        const millis now = begin + millis{at};
        for (int i = 0; i < daemons / 50; ++i) { // one request per daemon and second
            const std::string id = std::to_string(at) + '.' + std::to_string(i);
            const slot_response response =
                handleSlotRequest(scheduler, "n" + std::to_string(i), slotRequestFor(id, {300}), now);
            if (response.decision == slot_decision::Refused) {
                ++refused;
                EXPECT_EQ(response.why, refusal::Limited);
                EXPECT_EQ(response.limitMilli, 2'000);
                EXPECT_GE(response.retryAfterMs, minRetryAfter.count);
                EXPECT_LE(response.retryAfterMs, 1'000) << "the next permit is available in half a second";
            }
        }
        for (const addressed_response &each : dueResponses(scheduler, now)) {
            if (each.response.decision == slot_decision::Granted) {
                sent.push_back(now);
                onRequestEvent(scheduler, {each.response.id, "s", slot_event::Ended}, now);
            }
        }
    }
    EXPECT_EQ(
        findLimitViolation({{begin - limitReactionTime, {}, 2}}, sent, begin + millis{30'000}).value_or(""),
        "");
    EXPECT_GE(sent.size(), 58U);
    EXPECT_GT(refused, 30'000U);
}

// Limits are sent along with heartbeats and slot requests: a few bytes for each server that announces one,
// whatever the number of daemons and other servers.
TEST(ServerLimit, LimitAddsFewBytesToMessages)
{
    fleet_datagram datagram{"edge-zg-dubrava-1", 1, fleet_heartbeat{}};
    const std::size_t without = encode(datagram).size();
    std::get<fleet_heartbeat>(datagram.body).limits.push_back({"i-ef064fa758", 1'700, 580});
    EXPECT_LE(encode(datagram).size() - without, 20U);
    const slot_request request = slotRequestFor("9c41d07be2a35f68", {300});
    slot_request limited = request;
    limited.limitMilli = 1'700;
    limited.limitAgeMs = 120;
    EXPECT_LE(
        encode(fleet_datagram{"n", 1, limited}).size() - encode(fleet_datagram{"n", 1, request}).size(), 4U);
    EXPECT_LE(encode(fleet_datagram{"n", 1, limit_report{request.id, "i-ef064fa758", 1'700}}).size(), 64U);
}

// Regression: the permit of a request that never reached the server was lost, and at a low limit another
// request was refused for it.
TEST(ServerLimit, PermitOfAnUnsentRequestIsReturnedOnce)
{
    slot_scheduler scheduler = plainScheduler(1, begin);
    const millis now = begin + millis{1'000};
    EXPECT_EQ(
        handleSlotRequest(scheduler, "n", slotRequestFor("a", {300}), now).decision, slot_decision::Queued);
    EXPECT_EQ(dueResponses(scheduler, now).size(), 1U);
    EXPECT_EQ(
        handleSlotRequest(scheduler, "n", slotRequestFor("b", {300}), now).decision, slot_decision::Refused);
    onRequestEvent(scheduler, {"a", "s", slot_event::NotSent}, now);
    onRequestEvent(scheduler, {"a", "s", slot_event::NotSent}, now);
    EXPECT_EQ(
        handleSlotRequest(scheduler, "n", slotRequestFor("b", {300}), now).decision, slot_decision::Queued);
    EXPECT_EQ(dueResponses(scheduler, now).size(), 1U);
    EXPECT_EQ(
        handleSlotRequest(scheduler, "n", slotRequestFor("c", {300}), now).decision, slot_decision::Refused);
}

// Regression: a refusal of a queued request didn't contain the limit, so that its recipient considered the
// limit withdrawn.
TEST(ServerLimit, EachResponseOfTheOwnerContainsTheLimit)
{
    slot_scheduler scheduler = plainScheduler(1, begin);
    EXPECT_EQ(
        handleSlotRequest(scheduler, "n", slotRequestFor("a", {1'000}), begin).limitMilli, 1'000); // queued
    EXPECT_EQ(
        handleSlotRequest(scheduler, "n", slotRequestFor("b", {300}), begin).limitMilli, 1'000); // refused
    const auto late = dueResponses(scheduler, begin + millis{5'000});
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].response.why, refusal::TooBusy);
    EXPECT_EQ(late[0].response.limitMilli, 1'000);
    EXPECT_EQ(handleSlotRequest(scheduler, "n", slotRequestFor("c", {300}), begin + millis{5'000}).limitMilli,
        1'000);
    const auto granted = dueResponses(scheduler, begin + millis{5'000});
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted[0].response.decision, slot_decision::Granted);
    EXPECT_EQ(granted[0].response.limitMilli, 1'000);
}

// Regression: an age that places the limit in the future, from a corrupted or foreign message, kept the limit
// from ever being withdrawn.
TEST(ServerLimit, ImplausibleAgeInARequestDoesNotPreventWithdrawal)
{
    slot_scheduler scheduler;
    scheduler.plain = true;
    scheduler.queue.maxRunning = 10;
    for (const std::int64_t age : {std::numeric_limits<std::int64_t>::min(), std::int64_t{-60'000},
             std::numeric_limits<std::int64_t>::max()}) {
        scheduler.limit = {};
        slot_request request = slotRequestFor("a", {300});
        request.limitMilli = 500;
        request.limitAgeMs = age;
        handleSlotRequest(scheduler, "n", request, begin);
        ASSERT_TRUE(scheduler.limit.perSecond) << age;
        withdrawLimit(scheduler.limit, begin + millis{10}, begin + millis{20});
        EXPECT_FALSE(scheduler.limit.perSecond) << age;
    }
}

// A new owner learns limits that other daemons know from their requests.
TEST(ServerLimit, NewOwnerLearnsTheLimitFromARequest)
{
    slot_scheduler scheduler;
    scheduler.plain = true;
    scheduler.queue.maxRunning = 10;
    slot_request request = slotRequestFor("a", {300});
    request.limitMilli = 500;
    request.limitAgeMs = 2'000;
    const slot_response response = handleSlotRequest(scheduler, "n", request, begin);
    EXPECT_EQ(response.why, refusal::Limited);
    EXPECT_EQ(response.limitMilli, 500);
}

}
