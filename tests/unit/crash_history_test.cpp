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
    const repeated_content one{"ana", "POST", "h", "/a/b", "body"};
    EXPECT_EQ(fingerprintOf(one), fingerprintOf({"ana", "POST", "h", "/a/b", "body"}));
    EXPECT_EQ(fingerprintOf(one).size(), fingerprintDigits);
    for (const repeated_content &other : {repeated_content{"eva", "POST", "h", "/a/b", "body"},
             repeated_content{"ana", "PUT", "h", "/a/b", "body"},
             repeated_content{"ana", "POST", "i", "/a/b", "body"},
             repeated_content{"ana", "POST", "h", "/a/c", "body"},
             repeated_content{"ana", "POST", "h", "/a/b", "bodY"},
             repeated_content{"ana", "POST", "h", "/a/", "bbody"}}) {
        EXPECT_NE(fingerprintOf(one), fingerprintOf(other)) << other.target << other.body;
    }
}

// Daemons hear of ends in any order, in any groups and more than once. A request is blocked exactly when
// three different starts of servers have ended under it.
RC_GTEST_PROP(CrashBook, IsBlockedExactlyFromThreeEndsOn, ())
{
    crash_book book;
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
        const bool isNew = addEnds(book, "f", servers, now);
        RC_ASSERT(!(known && isNew));
        RC_ASSERT(isBlocked(book, "f") == (ended.size() >= endsToBlock));
        RC_ASSERT(endsOf(book, "f").size() == std::min(ended.size(), endsToBlock));
    }
}

TEST(CrashBook, OneServerThatEndsAgainUnderItsNameCountsOnce)
{
    crash_book book;
    for (int i = 0; i < 5; ++i) {
        addEnds(book, "f", {"server-1"}, now);
    }
    EXPECT_FALSE(isBlocked(book, "f"));
}

// Three servers ended at once, and a request that many callers send was running on each. It must be tried
// again soon, and only a request that goes on ending servers is left alone for long.
TEST(CrashBook, ABlockedRequestIsTriedAfterEachWaitAndThenNoMore)
{
    crash_book book;
    addEnds(book, "f", {"server-1", "server-2", "server-3"}, now);
    EXPECT_EQ(untilTrial(book, "f", now), trialWaits[0]);
    EXPECT_EQ(untilTrial(book, "f", now + trialWaits[0]), millis{});
    const millis first = now + trialWaits[0] + millis{5};
    noteTrials(book, "f", 1, first);
    EXPECT_EQ(untilTrial(book, "f", first), trialWaits[1]);
    noteTrials(book, "f", 1, first + millis{50}); // heard again
    EXPECT_EQ(untilTrial(book, "f", first + trialWaits[1]), millis{});
    noteTrials(book, "f", 2, first + trialWaits[1]);
    EXPECT_EQ(untilTrial(book, "f", first + trialWaits[1] + trialWaits[1]), crashMemory);
}

TEST(CrashBook, RemembersAsLongAsItIsAskedFor)
{
    crash_book book;
    addEnds(book, "asked for", {"server-1"}, now);
    addEnds(book, "not asked for", {"server-1"}, now);
    seeAgain(book, "asked for", now + millis{1});
    EXPECT_EQ(outdated(book, now + crashMemory), std::vector<std::string>{"not asked for"});
}

// An outage ends thousands of servers, and all that they ran is remembered for an hour. The blocked one must
// not be pushed out by them.
TEST(CrashBook, StaysBoundedAndKeepsWhatIsBlocked)
{
    crash_book book;
    addEnds(book, "blocked", {"server-1", "server-2", "server-3"}, now);
    for (std::size_t i = 0; i < crashesRemembered + 100; ++i) {
        addEnds(book, std::to_string(i), {"server-1"}, now + millis{1});
    }
    EXPECT_LE(book.requests.size(), crashesRemembered);
    EXPECT_TRUE(isBlocked(book, "blocked"));
}

}
