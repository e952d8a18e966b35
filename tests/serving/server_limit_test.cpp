#include "protocol/codec.h"
#include "serving/limit_watch.h"
#include "serving/server_limit.h"
#include "serving/slot_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <vector>

namespace briarhead {

namespace {

constexpr millis begin{1'000'000};
constexpr std::int64_t pumpMs = 20; ///< how often holders look at what waits

/// A daemon that grants the turns of a server for as long as it believes that it may.
struct holder
{
    limit_turns turns;
    std::vector<millis> granted;

    /// Grants all it can.
    void pump(millis now)
    {
        for (std::size_t left = turnsLeft(turns, now); left > 0; --left) {
            takeTurn(turns);
            granted.push_back(now);
        }
    }
};

place_ask askOf(const std::string &id, millis patience)
{
    place_ask ask;
    ask.id = id;
    ask.server = "s";
    ask.waitMs = patience.count;
    ask.deadlineMs = 10'000;
    ask.targetMs = patience.count;
    return ask;
}

slot_scheduler plainDesk(double perSecond, millis now)
{
    slot_scheduler desk;
    desk.plain = true;
    desk.ledger.server = "s";
    desk.queue.maxRunning = 1'000'000;
    nameLimit(desk.limit, perSecond, now, now);
    return desk;
}

}

// A holder that was cut off goes on granting beside its successor, and both are asked for more than they
// have.
RC_GTEST_PROP(ServerLimit, TwoHoldersStayWithinTheRuleWhereOneCantProveItsRecord, ())
{
    const double perSecond = static_cast<double>(*rc::gen::inRange(0, 4'000))
        / static_cast<double>(*rc::gen::element(1, 20, 1'000));
    const std::int64_t cutAt = *rc::gen::inRange(0, 12'000) / pumpMs * pumpMs;
    const std::int64_t successorAt = cutAt + *rc::gen::inRange(0, 8'000) / pumpMs * pumpMs;
    const std::int64_t frozenFor = *rc::gen::inRange(0, 5'000) / pumpMs * pumpMs;
    holder first;
    holder second;
    nameLimit(first.turns, perSecond, begin, begin);
    for (std::int64_t at = 0; at < 24'000; at += pumpMs) {
        const millis now = begin + millis{at};
        if (at == cutAt) {
            setShare(first.turns, unprovenShare, now);
        }
        if (at < cutAt || at >= cutAt + frozenFor) {
            first.pump(now);
        }
        if (at == successorAt) {
            nameLimit(second.turns, perSecond, now, now);
        }
        if (at >= successorAt) {
            second.pump(now);
        }
    }
    std::vector<millis> all = first.granted;
    all.insert(all.end(), second.granted.begin(), second.granted.end());
    // A limit below the least that is kept is not judged: the slack bears it.
    const double judged = std::max(perSecond, leastPerSecond);
    RC_ASSERT(
        overLimit({{begin - limitContact, {}, judged}}, all, begin + millis{30'000}).value_or("") == "");
}

// What lies within the limit is used, whatever its size.
TEST(ServerLimit, ASteadyDemandGetsNearlyAllOfIt)
{
    for (const double perSecond : {0.3, 1.0, 7.5, 100.0, 900.0}) {
        holder one;
        nameLimit(one.turns, perSecond, begin, begin);
        for (std::int64_t at = 0; at <= 60'000; at += pumpMs) {
            one.pump(begin + millis{at});
        }
        EXPECT_GE(static_cast<double>(one.granted.size()), 0.97 * perSecond * 60 - 1) << perSecond;
        EXPECT_LE(static_cast<double>(one.granted.size()), perSecond * 60 + 1) << perSecond;
    }
}

// One daemon's callers got all turns at once after a quiet time.
TEST(ServerLimit, NothingMuchIsSavedUp)
{
    holder one;
    nameLimit(one.turns, 10, begin, begin);
    one.pump(begin + millis{60'000});
    EXPECT_EQ(one.granted.size(), 3U);
}

// Nothing is granted ahead when a limit is first named, or named by a server whose holder has just begun.
TEST(ServerLimit, ANewLimitBeginsWithoutTurns)
{
    limit_turns turns;
    nameLimit(turns, 2, begin, begin);
    EXPECT_EQ(turnsLeft(turns, begin), 0U);
    EXPECT_EQ(turnAfter(turns, 0, begin), millis{500});
    EXPECT_EQ(turnAfter(turns, 3, begin), millis{2'000});
    EXPECT_EQ(turnsLeft(turns, begin + millis{500}), 1U);
}

// A limit that rose was taken for risen before: turns flowed in at the new rate for the time before.
TEST(ServerLimit, ARiseCountsFromWhenItIsHeard)
{
    limit_turns turns;
    nameLimit(turns, 0.1, begin, begin);
    nameLimit(turns, 100, begin + millis{1'000}, begin + millis{1'000});
    EXPECT_EQ(turnsLeft(turns, begin + millis{1'000}), 0U);
    EXPECT_EQ(turnsLeft(turns, begin + millis{1'100}), 10U);
}

// An answer that was written before the limit was named came after one that names it, and ended it.
TEST(ServerLimit, OnlyAnAnswerToALaterGrantEndsIt)
{
    limit_turns turns;
    nameLimit(turns, 1, begin, begin);
    endLimit(turns, begin - millis{1}, begin + millis{50});
    EXPECT_TRUE(turns.perSecond);
    endLimit(turns, begin + millis{10}, begin + millis{60});
    EXPECT_FALSE(turns.perSecond);
    EXPECT_GT(turnsLeft(turns, begin + millis{60}), 1'000U);
    nameLimit(
        turns, 1, begin + millis{5}, begin + millis{70}); // an entry that heard of it last before its end
    EXPECT_FALSE(turns.perSecond);
    nameLimit(turns, 1, begin + millis{65}, begin + millis{70});
    EXPECT_TRUE(turns.perSecond);

    named_limits known;
    EXPECT_EQ(hearLimit(known, "s", 1, begin, begin + millis{5}), limit_change::Named);
    EXPECT_EQ(hearLimit(known, "s", {}, begin + millis{4}, begin + millis{6}), limit_change::None);
    EXPECT_EQ(hearLimit(known, "s", 2, begin, begin + millis{7}), limit_change::Changed);
    EXPECT_EQ(hearLimit(known, "s", {}, begin + millis{8}, begin + millis{9}), limit_change::Ended);
    EXPECT_TRUE(known.empty());
}

// A server with a limit of nothing would never be asked again whether it still names it.
TEST(ServerLimit, AtALimitOfNothingOneRequestGoesNowAndThen)
{
    holder one;
    nameLimit(one.turns, 0, begin, begin);
    for (std::int64_t at = 0; at <= 60'000; at += pumpMs) {
        one.pump(begin + millis{at});
    }
    EXPECT_EQ(one.granted.size(), 6U);
}

// 1,200 daemons with a caller each asked for a server that takes two requests a second: each sent its own.
TEST(ServerLimit, SmallerThanOneRequestADaemonItIsSharedAllTheSame)
{
    slot_scheduler desk = plainDesk(2, begin);
    std::vector<millis> sent;
    std::size_t refused = 0;
    constexpr int daemons = 1'200;
    for (std::int64_t at = 0; at < 30'000; at += pumpMs) {
        const millis now = begin + millis{at};
        for (int i = 0; i < daemons / 50; ++i) { // each daemon once a second
            const std::string id = std::to_string(at) + '.' + std::to_string(i);
            const place_answer answer =
                handleSlotRequest(desk, "n" + std::to_string(i), askOf(id, {300}), now);
            if (answer.verdict == place_verdict::Refused) {
                ++refused;
                EXPECT_EQ(answer.why, refusal::Limited);
                EXPECT_EQ(answer.limitMilli, 2'000);
                EXPECT_GE(answer.comeBackMs, minRetryAfter.count);
                EXPECT_LE(answer.comeBackMs, 1'000) << "a further turn is half a second away";
            }
        }
        for (const addressed_response &each : dueResponses(desk, now)) {
            if (each.response.verdict == place_verdict::Granted) {
                sent.push_back(now);
                onRequestEvent(desk, {each.response.id, "s", place_event::Ended}, now);
            }
        }
    }
    EXPECT_EQ(overLimit({{begin - limitContact, {}, 2}}, sent, begin + millis{30'000}).value_or(""), "");
    EXPECT_GE(sent.size(), 58U);
    EXPECT_GT(refused, 30'000U);
}

// Limits are told to those who hear of a server anyway: a few bytes more for each server that names one,
// whatever the number of daemons and of other servers.
TEST(ServerLimit, CostsBytesOnlyForServersThatNameOne)
{
    fleet_datagram beat{"edge-zg-dubrava-1", 1, fleet_beat{}};
    const std::size_t without = encode(beat).size();
    std::get<fleet_beat>(beat.body).limits.push_back({"i-ef064fa758", 1'700, 580});
    EXPECT_LE(encode(beat).size() - without, 20U);
    const place_ask ask = askOf("9c41d07be2a35f68", {300});
    place_ask limited = ask;
    limited.limitMilli = 1'700;
    limited.limitAgeMs = 120;
    EXPECT_LE(
        encode(fleet_datagram{"n", 1, limited}).size() - encode(fleet_datagram{"n", 1, ask}).size(), 4U);
    EXPECT_LE(encode(fleet_datagram{"n", 1, limit_note{ask.id, "i-ef064fa758", 1'700}}).size(), 64U);
}

// A turn of a request that never reached the server was lost, and at a low limit a caller with it.
TEST(ServerLimit, ATurnOfWhatWasNotSentIsUsableAgainOnce)
{
    slot_scheduler desk = plainDesk(1, begin);
    const millis now = begin + millis{1'000};
    EXPECT_EQ(handleSlotRequest(desk, "n", askOf("a", {300}), now).verdict, place_verdict::Queued);
    EXPECT_EQ(dueResponses(desk, now).size(), 1U);
    EXPECT_EQ(handleSlotRequest(desk, "n", askOf("b", {300}), now).verdict, place_verdict::Refused);
    onRequestEvent(desk, {"a", "s", place_event::Unsent}, now);
    onRequestEvent(desk, {"a", "s", place_event::Unsent}, now);
    EXPECT_EQ(handleSlotRequest(desk, "n", askOf("b", {300}), now).verdict, place_verdict::Queued);
    EXPECT_EQ(dueResponses(desk, now).size(), 1U);
    EXPECT_EQ(handleSlotRequest(desk, "n", askOf("c", {300}), now).verdict, place_verdict::Refused);
}

// A refusal that came from the queue didn't name the limit, and the daemon that got it took it for ended.
TEST(ServerLimit, EachAnswerOfItsHolderNamesIt)
{
    slot_scheduler desk = plainDesk(1, begin);
    EXPECT_EQ(handleSlotRequest(desk, "n", askOf("a", {1'000}), begin).limitMilli, 1'000); // queued
    EXPECT_EQ(handleSlotRequest(desk, "n", askOf("b", {300}), begin).limitMilli, 1'000); // refused
    const auto late = dueResponses(desk, begin + millis{5'000});
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].response.why, refusal::TooBusy);
    EXPECT_EQ(late[0].response.limitMilli, 1'000);
    EXPECT_EQ(handleSlotRequest(desk, "n", askOf("c", {300}), begin + millis{5'000}).limitMilli, 1'000);
    const auto granted = dueResponses(desk, begin + millis{5'000});
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted[0].response.verdict, place_verdict::Granted);
    EXPECT_EQ(granted[0].response.limitMilli, 1'000);
}

// An age from the future, as a corrupted or foreign message may give it, kept a limit from ever ending.
TEST(ServerLimit, AnAbsurdAgeInAnAskDoesNotKeepItForEver)
{
    slot_scheduler desk;
    desk.plain = true;
    desk.queue.maxRunning = 10;
    for (const std::int64_t age : {std::numeric_limits<std::int64_t>::min(), std::int64_t{-60'000},
             std::numeric_limits<std::int64_t>::max()}) {
        desk.limit = {};
        place_ask ask = askOf("a", {300});
        ask.limitMilli = 500;
        ask.limitAgeMs = age;
        handleSlotRequest(desk, "n", ask, begin);
        ASSERT_TRUE(desk.limit.perSecond) << age;
        endLimit(desk.limit, begin + millis{10}, begin + millis{20});
        EXPECT_FALSE(desk.limit.perSecond) << age;
    }
}

// A holder that begins doesn't know of limits that daemons were told of; what they know comes with their
// asks.
TEST(ServerLimit, AnAskTellsANewHolder)
{
    slot_scheduler desk;
    desk.plain = true;
    desk.queue.maxRunning = 10;
    place_ask ask = askOf("a", {300});
    ask.limitMilli = 500;
    ask.limitAgeMs = 2'000;
    const place_answer answer = handleSlotRequest(desk, "n", ask, begin);
    EXPECT_EQ(answer.why, refusal::Limited);
    EXPECT_EQ(answer.limitMilli, 500);
}

}
