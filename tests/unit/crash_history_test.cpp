#include "coordination/crash_history.h"
#include "coordination/request_fingerprint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr millis now{1'000};

std::string startNumber(int number)
{
    return "server-" + std::to_string(number);
}

}

TEST(RequestFingerprint, TellsApartWhatACallerRepeatsAndNothingElse)
{
    const request_content one{"ana", "POST", "h", "/a/b", "body"};
    EXPECT_EQ(fingerprintOf(one), fingerprintOf({"ana", "POST", "h", "/a/b", "body"}));
    EXPECT_EQ(fingerprintOf(one).size(), fingerprintDigits);
    for (const request_content &other : {request_content{"eva", "POST", "h", "/a/b", "body"},
             request_content{"ana", "PUT", "h", "/a/b", "body"},
             request_content{"ana", "POST", "i", "/a/b", "body"},
             request_content{"ana", "POST", "h", "/a/c", "body"},
             request_content{"ana", "POST", "h", "/a/b", "bodY"},
             request_content{"ana", "POST", "h", "/a/", "bbody"}}) {
        EXPECT_NE(fingerprintOf(one), fingerprintOf(other)) << other.target << other.body;
    }
}

// Daemons hear of ends in any order, in any groups and more than once. A request is blocked exactly when
// three different starts of servers have ended under it.
RC_GTEST_PROP(CrashBook, IsBlockedExactlyFromThreeEndsOn, ())
{
    crash_history history;
    std::set<std::string> ended;
    const auto groups = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
    for (const std::vector<int> &group : groups) {
        std::vector<std::string> servers;
        servers.reserve(group.size());
        for (const int each : group) {
            servers.push_back(startNumber(each));
        }
        const bool known = std::includes(ended.begin(), ended.end(), servers.begin(), servers.end());
        ended.insert(servers.begin(), servers.end());
        const bool isNew = recordCrashes(history, "f", servers, now);
        RC_ASSERT(!(known && isNew));
        RC_ASSERT(isBlocked(history, "f") == (ended.size() >= crashesToBlock));
        RC_ASSERT(crashesOf(history, "f").size() == std::min(ended.size(), crashesToBlock));
    }
}

TEST(CrashBook, OneServerThatEndsAgainUnderItsNameCountsOnce)
{
    crash_history history;
    for (int i = 0; i < 5; ++i) {
        recordCrashes(history, "f", {"server-1"}, now);
    }
    EXPECT_FALSE(isBlocked(history, "f"));
}

// Three servers ended at once, and a request that many callers send was running on each. It must be tried
// again soon, and only a request that goes on ending servers is left alone for long.
TEST(CrashBook, ABlockedRequestIsTriedAfterEachWaitAndThenNoMore)
{
    crash_history history;
    recordCrashes(history, "f", {"server-1", "server-2", "server-3"}, now);
    EXPECT_EQ(timeUntilProbe(history, "f", now), probeDelays[0]);
    EXPECT_EQ(timeUntilProbe(history, "f", now + probeDelays[0]), millis{});
    const millis first = now + probeDelays[0] + millis{5};
    recordProbes(history, "f", 1, first);
    EXPECT_EQ(timeUntilProbe(history, "f", first), probeDelays[1]);
    recordProbes(history, "f", 1, first + millis{50}); // heard again
    EXPECT_EQ(timeUntilProbe(history, "f", first + probeDelays[1]), millis{});
    recordProbes(history, "f", 2, first + probeDelays[1]);
    EXPECT_EQ(timeUntilProbe(history, "f", first + probeDelays[1] + probeDelays[1]), crashRetention);
}

TEST(CrashBook, RemembersAsLongAsItIsAskedFor)
{
    crash_history history;
    recordCrashes(history, "asked for", {"server-1"}, now);
    recordCrashes(history, "not asked for", {"server-1"}, now);
    refreshLastSeen(history, "asked for", now + millis{1});
    EXPECT_EQ(expiredRequests(history, now + crashRetention), std::vector<std::string>{"not asked for"});
}

// An outage ends thousands of servers, and all that they ran is remembered for an hour. The blocked one must
// not be pushed out by them.
TEST(CrashBook, StaysBoundedAndKeepsWhatIsBlocked)
{
    crash_history history;
    recordCrashes(history, "blocked", {"server-1", "server-2", "server-3"}, now);
    for (std::size_t i = 0; i < maxTrackedRequests + 100; ++i) {
        recordCrashes(history, std::to_string(i), {"server-1"}, now + millis{1});
    }
    EXPECT_LE(history.requests.size(), maxTrackedRequests);
    EXPECT_TRUE(isBlocked(history, "blocked"));
}

}
