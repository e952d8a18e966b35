#include "transport/loop.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <vector>

namespace briarhead {
namespace {

/// Long enough for a loaded machine; a test that reaches it has failed.
constexpr millis patience{20'000};

/// Runs the loop until stop() is called by the test, or fails after the bound.
void runOrGiveUp(loop &events)
{
    const auto giveUp = events.timer(patience, {}, [&events] {
        ADD_FAILURE() << "the condition did not come true in time";
        events.stop();
    });
    events.run();
}

struct socket_pair
{
    std::array<int, 2> ends{-1, -1};

    socket_pair()
    {
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
    }
    ~socket_pair()
    {
        close(ends[0]);
        close(ends[1]);
    }
    socket_pair(const socket_pair &) = delete;
    socket_pair &operator=(const socket_pair &) = delete;
};

TEST(loop, runsPostedCallsInOrderAndNeverNested)
{
    loop events;
    std::vector<int> order;
    events.post([&] {
        events.post([&] {
            order.push_back(3);
            events.stop();
        });
        order.push_back(1);
    });
    events.post([&] {
        order.push_back(2);
    });
    runOrGiveUp(events);
    EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

TEST(loop, postedCallWakesNothingButIsNotDelayedByALongTimer)
{
    // A call posted from a callback would hang until the next event if the loop slept with a queue
    // that is not empty. The only other event here is the give-up timer.
    loop events;
    int left = 1000;
    std::function<void()> again = [&] {
        if (--left == 0) {
            events.stop();
        } else {
            events.post(again);
        }
    };
    events.post(again);
    runOrGiveUp(events);
    EXPECT_EQ(left, 0);
}

TEST(loop, postingWithoutEndDoesNotStarveSockets)
{
    // A task that posts to itself for ever would keep every caller waiting if the queue were drained
    // until it is empty.
    loop events;
    socket_pair pair;
    std::function<void()> again = [&] {
        events.post(again);
    };
    events.post(again);
    const auto watch = events.watch(pair.ends[0], 1, [&](int) {
        events.stop();
    });
    ASSERT_EQ(write(pair.ends[1], "x", 1), 1);
    runOrGiveUp(events);
}

TEST(loop, timerFiresOnceOrRepeatsUntilDropped)
{
    loop events;
    int once = 0;
    int repeated = 0;
    const auto single = events.timer({1}, {}, [&] {
        ++once;
    });
    std::shared_ptr<void> ticking = events.timer({1}, {1}, [&] {
        if (++repeated == 5) {
            ticking.reset();
        }
    });
    const auto check = events.timer({2}, {2}, [&] {
        if (repeated == 5 && once == 1) {
            events.stop();
        }
    });
    runOrGiveUp(events);
    EXPECT_EQ(once, 1);
    EXPECT_EQ(repeated, 5);
}

TEST(loop, timerDoesNotFireBeforeItsTime)
{
    // The loop's cached time is old when a timer is set before run() or after long work; a lease timer
    // that fires early would give up a lease that is still good.
    loop events;
    usleep(60'000);
    const millis start = bootNow();
    millis fired;
    const auto timer = events.timer({50}, {}, [&] {
        fired = bootNow();
        events.stop();
    });
    runOrGiveUp(events);
    // One millisecond for the truncation of both readings.
    EXPECT_GE((fired - start).count, 49);
}

TEST(loop, droppingAHandleInsideItsOwnCallbackIsSafe)
{
    // Under the sanitizer this fails if the closure is destroyed while it runs.
    loop events;
    std::shared_ptr<void> handle;
    std::string kept = "still here, and too long for the small string buffer";
    std::string seen;
    handle = events.timer({1}, {1}, [&events, &handle, &seen, kept] {
        handle.reset();
        seen = kept;
        events.stop();
    });
    runOrGiveUp(events);
    EXPECT_EQ(seen, kept);
}

TEST(loop, watchTellsReadableAndWritableAndStopsWithItsHandle)
{
    loop events;
    socket_pair pair;
    int calls = 0;
    std::shared_ptr<void> watch = events.watch(pair.ends[0], 3, [&](int happened) {
        ++calls;
        EXPECT_EQ(happened & 2, 2);
        watch.reset();
        events.post([&] {
            events.post([&] {
                events.stop();
            });
        });
    });
    runOrGiveUp(events);
    EXPECT_EQ(calls, 1);
    int received = 0;
    watch = events.watch(pair.ends[0], 1, [&](int happened) {
        received = happened;
        events.stop();
    });
    ASSERT_EQ(write(pair.ends[1], "x", 1), 1);
    runOrGiveUp(events);
    EXPECT_EQ(received, 1);
}

TEST(loop, signalRunsOnTheLoop)
{
    loop events;
    int signals = 0;
    const auto handle = events.onSignal(SIGUSR1, [&] {
        ++signals;
        events.stop();
    });
    events.post([] {
        std::raise(SIGUSR1);
    });
    runOrGiveUp(events);
    EXPECT_EQ(signals, 1);
}

TEST(loop, handleMayOutliveTheLoop)
{
    std::shared_ptr<void> timer;
    {
        loop events;
        timer = events.timer({1}, {1}, [] {});
    }
    timer.reset();
}

}
}
