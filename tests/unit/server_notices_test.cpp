#include "coordination/server_notices.h"
#include "transport/response_notice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr millis now{100'000};

http_result answerWith(int status, const std::map<std::string, std::string> &headers)
{
    http_result out;
    out.status = status;
    out.headers = headers;
    return out;
}

}

TEST(ServerNotices, APauseExpiresAndAppliesToOneIncarnationAndOneDaemon)
{
    server_notices notices;
    EXPECT_TRUE(recordPause(notices, "s@1", "n1", {3'000}, now));
    EXPECT_EQ(pauseLeft(notices, "s@1", "n1", now + millis{1'000}), millis{2'000});
    EXPECT_EQ(pauseLeft(notices, "s@1", "n2", now), millis{}) << "the pause applies to one daemon";
    EXPECT_EQ(pauseLeft(notices, "s@2", "n1", now), millis{})
        << "the next incarnation did not ask for a pause";
    EXPECT_EQ(pauseLeft(notices, "s@1", "n1", now + millis{3'000}), millis{});
}

// Guards against a late or repeated response that asks for a shorter pause and ends the current one.
TEST(ServerNotices, AShorterPauseDoesNotEndALongerOne)
{
    server_notices notices;
    recordPause(notices, "s", "n1", {3'000}, now);
    EXPECT_FALSE(recordPause(notices, "s", "n1", {500}, now + millis{100}));
    EXPECT_EQ(pauseLeft(notices, "s", "n1", now + millis{100}), millis{2'900});
    EXPECT_TRUE(recordPause(notices, "s", "n1", {3'000}, now + millis{100}));
    EXPECT_EQ(pauseLeft(notices, "s", "n1", now + millis{100}), millis{3'000});
}

// Guards against a server that asks for an endless pause and is never used again.
TEST(ServerNotices, AnExcessivePauseIsCutToTheMaximum)
{
    server_notices notices;
    recordPause(notices, "s", "n1", {1'000'000'000'000}, now);
    EXPECT_EQ(pauseLeft(notices, "s", "n1", now), maxServerPause);
    EXPECT_FALSE(recordPause(notices, "t", "n1", {-5}, now));
    EXPECT_FALSE(recordPause(notices, "t", "n1", {0}, now));
    EXPECT_EQ(pauseLeft(notices, "t", "n1", now), millis{});
}

TEST(ServerNotices, LeavingIsFinalForOneIncarnation)
{
    server_notices notices;
    EXPECT_TRUE(recordLeaving(notices, "s@1", now));
    EXPECT_FALSE(recordLeaving(notices, "s@1", now + millis{500}));
    EXPECT_TRUE(isLeaving(notices, "s@1"));
    EXPECT_FALSE(isLeaving(notices, "s@2"));
}

// Guards against memory that grows with every server that ever left or paused.
TEST(ServerNotices, ExpiredNoticesAreRemoved)
{
    server_notices notices;
    for (int i = 0; i < 100; ++i) {
        recordLeaving(notices, "old@" + std::to_string(i), now);
        recordPause(notices, "old@" + std::to_string(i), "n1", {1'000}, now);
    }
    const millis later = now + leavingRetention + millis{1};
    recordLeaving(notices, "s", later);
    recordPause(notices, "s", "n1", {1'000}, later);
    EXPECT_EQ(notices.leaving.size(), 1U);
    EXPECT_EQ(notices.pauses.size(), 1U);
}

RC_GTEST_PROP(ServerNotices, OfSeveralPausesTheOneThatEndsLastApplies, ())
{
    server_notices notices;
    millis last;
    millis at = now;
    for (const int pause : *rc::gen::container<std::vector<int>>(rc::gen::inRange(-100, 20'000))) {
        at = at + millis{*rc::gen::inRange(0, 3'000)};
        recordPause(notices, "s", "n1", {pause}, at);
        last = std::max(last, pause > 0 ? at + millis{pause} : millis{});
        RC_ASSERT(pauseLeft(notices, "s", "n1", at) == std::max(last - at, millis{}));
    }
}

TEST(AnswerWords, SecondsMayBeFractionsAndAreCutToTheMaximum)
{
    EXPECT_EQ(parseSeconds("1.5", {10'000}), millis{1'500});
    EXPECT_EQ(parseSeconds(" 0.0004 ", {10'000}), millis{1}) << "rounded up";
    EXPECT_EQ(parseSeconds("0", {10'000}), millis{0});
    EXPECT_EQ(parseSeconds("99999999999999999999", {10'000}), millis{10'000});
    for (const char *text : {"", "-1", "soon", "3s", "nan", "inf", "1,5", "Wed, 21 Oct 2015 07:28:00 GMT"}) {
        EXPECT_EQ(parseSeconds(text, {10'000}), std::nullopt) << text;
    }
}

TEST(AnswerWords, OnlyA503WithRetryAfterAsksForAPause)
{
    EXPECT_EQ(readResponseNotice(answerWith(503, {{"retry-after", "2.5"}})).pause, millis{2'500});
    EXPECT_EQ(readResponseNotice(answerWith(200, {{"retry-after", "2.5"}})).pause, millis{});
    EXPECT_EQ(readResponseNotice(answerWith(503, {{"retry-after", "later"}})).pause, millis{});
    EXPECT_TRUE(readResponseNotice(answerWith(200, {{"x-leaving", "1"}})).leaving);
    EXPECT_FALSE(readResponseNotice(answerWith(200, {{"x-leaving", "0"}})).leaving);
    EXPECT_FALSE(readResponseNotice(answerWith(200, {{"x-leaving", "yes"}})).leaving);
    EXPECT_FALSE(readResponseNotice(answerWith(200, {})).leaving);
}

}
