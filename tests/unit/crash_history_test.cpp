#include "coordination/crash_history.h"

#include "coordination/request_attributes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace briarhead {

namespace {

constexpr millis now{1'000};
const request_attribute content{"f", contentRank};

std::string incarnationName(int number)
{
    return "server-" + std::to_string(number);
}

void recordCrash(crash_history &history, const request_attributes &attributes, const std::string &server)
{
    for (const request_attribute &each : attributes) {
        recordCrashes(history, each, {server}, now);
    }
}

bool isBlocked(const crash_history &history, const request_attributes &attributes)
{
    return !blockingAttributes(history, attributes).empty();
}

/// A sound request with a first part, a second one, and content of its own.
request_attributes drawRequest(int &number)
{
    const auto first = "a" + std::to_string(*rc::gen::inRange(0, 4));
    const auto second = "b" + std::to_string(*rc::gen::inRange(0, 200));
    return {{"content" + std::to_string(++number), contentRank}, {first, 0}, {second, 1}};
}

}

TEST(RequestAttributes, ContentDiffersIfAndOnlyIfARepeatedPartDiffers)
{
    const request_content same{"ana", "POST", "h", "/a/b", "body"};
    EXPECT_EQ(fingerprintOf(same), fingerprintOf({"ana", "POST", "h", "/a/b", "body"}));
    EXPECT_EQ(fingerprintOf(same).size(), attributeDigits);
    for (const request_content &other : {request_content{"eva", "POST", "h", "/a/b", "body"},
             request_content{"ana", "PUT", "h", "/a/b", "body"},
             request_content{"ana", "POST", "i", "/a/b", "body"},
             request_content{"ana", "POST", "h", "/a/c", "body"},
             request_content{"ana", "POST", "h", "/a/b", "bodY"},
             request_content{"ana", "POST", "h", "/a/", "bbody"}}) {
        EXPECT_NE(fingerprintOf(same), fingerprintOf(other)) << other.target << other.body;
    }
}

TEST(RequestAttributes, PromptPartsAreTheSameForAllCallersAndRoutesOfAService)
{
    const auto ana = attributesOf({"ana", "POST", "h", "/a/", "x"}, "s", {"p1", "p2", "p1"});
    const auto eva = attributesOf({"eva", "POST", "h", "/b/", "y"}, "s", {"p3", "p1"});
    ASSERT_EQ(ana.size(), 3U) << "a part that occurs twice is one attribute";
    EXPECT_EQ(ana[1].key, eva[2].key);
    EXPECT_EQ(ana[1].rank, 0);
    EXPECT_EQ(eva[2].rank, 1);
    EXPECT_NE(contentKeyOf(ana), contentKeyOf(eva));
    EXPECT_NE(promptPartKey("s", "p1"), promptPartKey("t", "p1"));
    EXPECT_EQ(promptPartKey("s", "p1").size(), attributeDigits);
    EXPECT_EQ(attributesOf({}, "s", std::vector<std::string>(100, "p")).size(), 2U);
}

// Daemons learn of crashes in any order, in any combination and more than once. A request must be blocked
// exactly when three different server incarnations have crashed under it.
RC_GTEST_PROP(CrashHistory, ARequestIsBlockedExactlyFromThreeCrashesOn, ())
{
    crash_history history;
    std::set<std::string> crashed;
    const auto reports = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
    for (const std::vector<int> &report : reports) {
        std::vector<std::string> servers;
        servers.reserve(report.size());
        for (const int each : report) {
            servers.push_back(incarnationName(each));
        }
        const bool known = std::includes(crashed.begin(), crashed.end(), servers.begin(), servers.end());
        crashed.insert(servers.begin(), servers.end());
        const bool isNew = recordCrashes(history, content, servers, now);
        RC_ASSERT(!(known && isNew));
        RC_ASSERT(isBlocked(history, {content}) == (crashed.size() >= crashesToBlock));
        RC_ASSERT(crashesOf(history, "f").size() == std::min(crashed.size(), maxCrashesKept));
    }
}

TEST(CrashHistory, RepeatedReportsOfOneIncarnationCountOnce)
{
    crash_history history;
    for (int i = 0; i < 5; ++i) {
        recordCrashes(history, content, {"server-1"}, now);
    }
    EXPECT_FALSE(isBlocked(history, {content}));
}

// All requests share their first part, and those that crash servers their second part too. Before any sound
// request has completed, both have the same record: sound requests with the first part must go on.
TEST(CrashHistory, OfTwoPartsWithTheSameRecordTheNarrowerOneIsBlocked)
{
    crash_history history;
    for (const char *server : {"s1", "s2", "s3"}) {
        recordCrash(history, {{"first", 0}, {"second", 1}}, server);
    }
    EXPECT_TRUE(isBlocked(history, {{"c1", contentRank}, {"first", 0}, {"second", 1}}));
    EXPECT_FALSE(isBlocked(history, {{"c2", contentRank}, {"first", 0}, {"other", 1}}));
    EXPECT_TRUE(isBlocked(history, {{"c3", contentRank}, {"another", 0}, {"second", 1}}));
}

// The first part crashes servers, and three times it stood before the same second part. Requests with other
// second parts crash two more servers, which only the first part explains.
TEST(CrashHistory, AFirstPartIsBlockedOnceItCrashesServersWithoutTheSecond)
{
    crash_history history;
    for (const char *server : {"s1", "s2", "s3"}) {
        recordCrash(history, {{"first", 0}, {"second", 1}}, server);
    }
    recordCrash(history, {{"first", 0}, {"third", 1}}, "s4");
    EXPECT_FALSE(isBlocked(history, {{"first", 0}, {"fourth", 1}})) << "may be another culprit's";
    recordCrash(history, {{"first", 0}, {"fourth", 1}}, "s5");
    EXPECT_TRUE(isBlocked(history, {{"first", 0}, {"fifth", 1}}));
}

// Two parts crash servers by turns, one of them not known yet. Their common first part is at all of these
// crashes: sound requests with it must go on.
TEST(CrashHistory, ACommonFirstPartOfTwoCulpritsIsNotBlocked)
{
    crash_history history;
    for (const char *server : {"s1", "s2", "s3"}) {
        recordCrash(history, {{"first", 0}, {"second", 1}}, server);
    }
    recordCrash(history, {{"first", 0}, {"other culprit", 1}}, "s4");
    EXPECT_FALSE(isBlocked(history, {{"c", contentRank}, {"first", 0}, {"third", 1}}));
    for (const char *server : {"s5", "s6"}) {
        recordCrash(history, {{"first", 0}, {"other culprit", 1}}, server);
    }
    EXPECT_FALSE(isBlocked(history, {{"c", contentRank}, {"first", 0}, {"third", 1}}));
    EXPECT_TRUE(isBlocked(history, {{"c", contentRank}, {"first", 0}, {"other culprit", 1}}));
}

// Each of the requests crashes three servers by its own repetitions, so that its content explains these. The
// next one with the part must not be let through for that.
TEST(CrashHistory, ThePartOfSeveralRepeatedRequestsIsBlocked)
{
    crash_history history;
    for (int i = 0; i < 2; ++i) {
        for (int server = 0; server < 3; ++server) {
            recordCrash(history, {{"c" + std::to_string(i), contentRank}, {"part", 1}},
                incarnationName(3 * i + server));
        }
    }
    EXPECT_TRUE(isBlocked(history, {{"c2", contentRank}, {"part", 1}}));
}

// A server completes a request with the attribute, and reports of crashes from before arrive late.
TEST(CrashHistory, CrashesFromBeforeACompleteResponseDontCountAgain)
{
    crash_history history;
    recordCrashes(history, content, {"s1", "s2"}, now);
    EXPECT_TRUE(exonerate(history, "f"));
    EXPECT_FALSE(exonerate(history, "f"));
    recordCrashes(history, content, {"s1", "s2", "s3"}, now);
    EXPECT_EQ(crashesOf(history, "f"), std::vector<std::string>{"s3"});
    recordCrashes(history, content, {"s4", "s5"}, now);
    EXPECT_TRUE(isBlocked(history, {content})) << "new crashes count";
}

// One part crashes each server that runs it, under any first part, beside sound requests that complete now
// and then. It must be convicted by its third crash, and requests with it blocked unless another attribute
// was at each of the crashes too; from the fifth on they must be blocked in any case but that.
RC_GTEST_PROP(CrashHistory, AHiddenCulpritIsConvictedByTheThirdCrash, ())
{
    const int running = *rc::gen::inRange(0, 40); // on the server that crashes
    const int completions = *rc::gen::inRange(0, 40); // between two crashes
    crash_history history;
    int number = 0;
    for (std::size_t crash = 1; crash <= maxCrashesKept; ++crash) {
        const std::string server = incarnationName(static_cast<int>(crash));
        const request_attributes fatal{{"content" + std::to_string(++number), contentRank},
            {"a" + std::to_string(*rc::gen::inRange(0, 2)), 0}, {"culprit", 1}};
        recordCrash(history, fatal, server);
        for (int i = 0; i < running; ++i) {
            recordCrash(history, drawRequest(number), server);
        }
        for (int i = 0; i < completions; ++i) {
            for (const request_attribute &each : drawRequest(number)) {
                exonerate(history, each.key);
            }
        }
        RC_ASSERT(isConvicted(history, "culprit") == (crash >= crashesToBlock));
        // Nothing is narrower than a second part but the content, and each content is at one crash.
        RC_ASSERT(isBlocked(history, {{"new", contentRank}, {"a3", 0}, {"culprit", 1}})
            == (crash >= crashesToBlock));
    }
}

// Servers crash for reasons of their own, five within about a minute, with 10, 40 or 200 requests on each.
// The parts of what they ran must be blocked in fewer than 1 of 1,000 such histories, however many requests
// share a part: a popular one is soon completed elsewhere, and a rare one is hardly on three of the servers.
TEST(CrashHistory, WithoutACulpritHardlyAPartIsBlocked)
{
    constexpr int histories = 4'000;
    constexpr int fleetServers = 12;
    constexpr double responseSeconds = 4;
    constexpr double suspectSeconds = 0.65; // reading the prompt, and suspectRespondingTime
    constexpr double crashIntervalSeconds = 15;
    std::mt19937_64 random(1);
    for (const int running : {10, 40, 200}) {
        const double suspects = running * suspectSeconds / responseSeconds;
        const double completions = fleetServers * running * crashIntervalSeconds / responseSeconds;
        for (const int parts : {10, 100, 1'000, 10'000, 100'000}) {
            int blocked = 0;
            for (int i = 0; i < histories; ++i) {
                crash_history history;
                bool any = false;
                for (int crash = 0; crash < 5; ++crash) {
                    const int count = std::poisson_distribution<int>(suspects)(random);
                    for (int each = 0; each < count; ++each) {
                        const request_attributes request{
                            {"p" + std::to_string(random() % static_cast<unsigned>(parts)), 1}};
                        recordCrash(history, request, incarnationName(crash));
                        any = any || isBlocked(history, request);
                    }
                    const double isCompleted = 1 - std::exp(-completions / parts);
                    for (auto &[key, entry] : history.attributes) {
                        if (std::bernoulli_distribution(isCompleted)(random)) {
                            exonerate(history, key);
                        }
                    }
                }
                blocked += any ? 1 : 0;
            }
            RecordProperty("blocked_" + std::to_string(running) + "_of_" + std::to_string(parts), blocked);
            EXPECT_LT(blocked, histories / 1'000) << running << " requests a server, " << parts << " parts";
        }
    }
}

// Three servers crash at once in an outage, and a request that many callers send was running on each of them.
// It must be probed soon; only a request that keeps crashing servers may stay blocked for long.
TEST(CrashHistory, ABlockedRequestIsProbedAfterEachDelayAndThenNoMore)
{
    crash_history history;
    recordCrashes(history, content, {"server-1", "server-2", "server-3"}, now);
    EXPECT_EQ(timeUntilProbe(history, "f", now), probeDelays[0]);
    EXPECT_EQ(timeUntilProbe(history, "f", now + probeDelays[0]), millis{});
    const millis first = now + probeDelays[0] + millis{5};
    recordProbes(history, "f", 1, first);
    EXPECT_EQ(timeUntilProbe(history, "f", first), probeDelays[1]);
    recordProbes(history, "f", 1, first + millis{50}); // reported again
    EXPECT_EQ(timeUntilProbe(history, "f", first + probeDelays[1]), millis{});
    recordProbes(history, "f", 2, first + probeDelays[1]);
    EXPECT_EQ(timeUntilProbe(history, "f", first + probeDelays[1] + probeDelays[1]), crashRetention);
}

TEST(CrashHistory, ARequestIsForgottenUnlessItIsStillRequested)
{
    crash_history history;
    recordCrashes(history, {"asked for", contentRank}, {"server-1"}, now);
    recordCrashes(history, {"not asked for", contentRank}, {"server-1"}, now);
    refreshLastSeen(history, "asked for", now + millis{1});
    EXPECT_EQ(expiredAttributes(history, now + crashRetention), std::vector<std::string>{"not asked for"});
}

// An outage crashes thousands of servers, and all that they were running is remembered for an hour. It must
// not displace what is blocked.
TEST(CrashHistory, TheNumberOfAttributesIsLimitedAndBlockedOnesAreKept)
{
    crash_history history;
    recordCrashes(history, {"blocked", contentRank}, {"server-1", "server-2", "server-3"}, now);
    for (std::size_t i = 0; i < maxTrackedAttributes + 100; ++i) {
        recordCrashes(history, {std::to_string(i), contentRank}, {"server-1"}, now + millis{1});
    }
    EXPECT_LE(history.attributes.size(), maxTrackedAttributes);
    EXPECT_TRUE(isBlocked(history, {{"blocked", contentRank}}));
}

}
