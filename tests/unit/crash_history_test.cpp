#include "coordination/crash_history.h"
#include "coordination/request_fingerprint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr millis now{1'000};

std::string incarnationName(int number)
{
    return "server-" + std::to_string(number);
}

}

TEST(RequestFingerprint, DiffersIfAndOnlyIfARepeatedPartDiffers)
{
    const request_content content{"ana", "POST", "h", "/a/b", "body"};
    EXPECT_EQ(fingerprintOf(content), fingerprintOf({"ana", "POST", "h", "/a/b", "body"}));
    EXPECT_EQ(fingerprintOf(content).size(), fingerprintDigits);
    for (const request_content &other : {request_content{"eva", "POST", "h", "/a/b", "body"},
             request_content{"ana", "PUT", "h", "/a/b", "body"},
             request_content{"ana", "POST", "i", "/a/b", "body"},
             request_content{"ana", "POST", "h", "/a/c", "body"},
             request_content{"ana", "POST", "h", "/a/b", "bodY"},
             request_content{"ana", "POST", "h", "/a/", "bbody"}}) {
        EXPECT_NE(fingerprintOf(content), fingerprintOf(other)) << other.target << other.body;
    }
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
        const bool isNew = recordCrashes(history, "f", servers, now);
        RC_ASSERT(!(known && isNew));
        RC_ASSERT(isBlocked(history, "f") == (crashed.size() >= crashesToBlock));
        RC_ASSERT(crashesOf(history, "f").size() == std::min(crashed.size(), crashesToBlock));
    }
}

TEST(CrashHistory, RepeatedReportsOfOneIncarnationCountOnce)
{
    crash_history history;
    for (int i = 0; i < 5; ++i) {
        recordCrashes(history, "f", {"server-1"}, now);
    }
    EXPECT_FALSE(isBlocked(history, "f"));
}

// Three servers crash at once in an outage, and a request that many callers send was running on each of them.
// It must be probed soon; only a request that keeps crashing servers may stay blocked for long.
TEST(CrashHistory, ABlockedRequestIsProbedAfterEachDelayAndThenNoMore)
{
    crash_history history;
    recordCrashes(history, "f", {"server-1", "server-2", "server-3"}, now);
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
    recordCrashes(history, "asked for", {"server-1"}, now);
    recordCrashes(history, "not asked for", {"server-1"}, now);
    refreshLastSeen(history, "asked for", now + millis{1});
    EXPECT_EQ(expiredRequests(history, now + crashRetention), std::vector<std::string>{"not asked for"});
}

// An outage crashes thousands of servers, and all the requests that they were running are remembered for an
// hour. They must not displace a blocked request.
TEST(CrashHistory, TheNumberOfRequestsIsLimitedAndBlockedOnesAreKept)
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
