#include "failure/fleet.h"
#include "failure/load.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace briarhead::testing;

namespace {

std::vector<std::string> keyed(const std::string &key, int attempt)
{
    std::vector<std::string> headers{"Idempotency-Key: " + key};
    if (attempt > 0) {
        headers.push_back("Idempotency-Attempt: " + std::to_string(attempt));
    }
    return headers;
}

std::size_t runsOf(const fleet &all)
{
    return all.runs().size();
}

}

// A caller repeats a finished request through another entry because its first answer was lost on the way. It
// must get the kept answer; a second run would have two kitchens cook the same order.
TEST(Keys, ARepeatThroughAnotherEntryGetsTheKeptAnswer)
{
    fleet all;
    const answer first = all.complete(0, "a1", "book one list", 4, keyed("order-1", 1));
    ASSERT_EQ(first.status, 200) << first.body;
    const answer second = all.complete(1, "a1", "book one list", 4, keyed("order-1", 2));
    EXPECT_EQ(second.status, 200) << second.body;
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(runsOf(all), 1U);
}

// The first attempt still runs when the caller repeats it elsewhere: it is told that the outcome is unknown
// yet.
TEST(Keys, ARepeatOfARunningRequestIsNotRunAgain)
{
    fleet all;
    ASSERT_EQ(ask(all, 0, "a1", 2).outcome, "done");
    answer first;
    std::thread running([&] {
        first = all.complete(0, "a1", "book one list", 300, keyed("order-2", 1));
    });
    ASSERT_TRUE(eventually([&] {
        std::size_t inFlight = 0;
        for (const json &server : all.servers()) {
            inFlight += server.value("in_flight", std::size_t{0});
        }
        return inFlight == 1;
    }));
    const answer second = all.complete(1, "a1", "book one list", 300, keyed("order-2", 2));
    EXPECT_EQ(second.outcome(), "unknown");
    running.join();
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(runsOf(all), 2U);
}

// The entry that took the first attempt is killed while the request runs; the caller repeats it through the
// others. Whoever is home of the key now, the request runs at most once.
TEST(Keys, ARepeatAfterTheEntryWasKilledRunsAtMostOnce)
{
    for (int trial = 0; trial < 3; ++trial) {
        fleet all;
        ASSERT_EQ(ask(all, 0, "a1", 2).outcome, "done");
        const std::string key = "order-" + std::to_string(trial);
        answer first;
        std::thread running([&] {
            first = all.complete(2, "a1", "book one list", 200, keyed(key, 1), 10'000);
        });
        ASSERT_TRUE(eventually([&] {
            std::size_t inFlight = 0;
            for (const json &server : all.servers()) {
                inFlight += server.value("in_flight", std::size_t{0});
            }
            return inFlight == 1;
        }));
        all.kill(2);
        running.join();
        EXPECT_NE(first.status, 200);
        for (int attempt = 2; attempt < 5; ++attempt) {
            const answer again = all.complete(attempt % 2, "a1", "book one list", 200, keyed(key, attempt));
            EXPECT_NE(again.outcome(), "not_run") << again.body;
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
        std::size_t ran = 0;
        for (const json &run : all.runs()) {
            ran += run.value("non_idempotent", false) ? 1 : 0;
        }
        EXPECT_LE(ran, 1U);
    }
}

// A home that came to be home lately can't know whether an attempt without a number ran before. It must say
// so instead of running it; a first attempt that is called the first runs.
TEST(Keys, ANewHomeDoesNotGuess)
{
    fleet all;
    const answer unsaid = all.complete(0, "a1", "book one list", 4, keyed("order-new", 0));
    EXPECT_EQ(unsaid.outcome(), "unknown") << unsaid.body;
    EXPECT_EQ(runsOf(all), 0U);
    EXPECT_EQ(all.complete(1, "a1", "book one list", 4, keyed("order-new", 1)).status, 200);
    EXPECT_EQ(runsOf(all), 1U);
}

// A caller's connection breaks while its order runs, and it repeats the order through another entry once the
// run has ended. It must get the answer of that run. Were the run cancelled with the connection, the order
// would be half placed and its outcome unknown for good.
TEST(Keys, ACallerThatHangsUpGetsTheAnswerByRepeating)
{
    fleet all;
    ASSERT_EQ(ask(all, 0, "a1", 2).outcome, "done");
    std::thread hangsUp([&] {
        all.complete(0, "a1", "book one list", 400, keyed("order-gone", 1), 1'000);
    });
    ASSERT_TRUE(eventually([&] {
        std::size_t inFlight = 0;
        for (const json &server : all.servers()) {
            inFlight += server.value("in_flight", std::size_t{0});
        }
        return inFlight == 1;
    }));
    hangsUp.join();
    answer again;
    EXPECT_TRUE(eventually([&] {
        again = all.complete(1, "a1", "book one list", 400, keyed("order-gone", 2));
        return again.status == 200;
    })) << again.body;
    EXPECT_EQ(again.headers["x-briarhead-replayed"], "true");
    EXPECT_EQ(runsOf(all), 2U);
}
