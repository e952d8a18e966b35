#include "transport/loop.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <string>
#include <vector>

namespace briarhead {
namespace {

/// Long enough for a loaded machine. A test fails when it reaches this timeout.
constexpr millis testTimeout{20'000};

/// Runs the loop until the test calls stop(). Fails after testTimeout.
void runUntilStopped(loop &events)
{
    const auto timeout = events.timer(testTimeout, {}, [&events] {
        ADD_FAILURE() << "the loop was not stopped within testTimeout";
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

// Guards against one message whose handler throws and thereby ends the process.
TEST(loop_test, AnExceptionOfACallbackIsReportedAndTheLoopGoesOn)
{
    loop events;
    std::vector<std::string> reported;
    events.onException([&reported](const char *what) {
        reported.emplace_back(what);
    });
    const socket_pair sockets;
    const auto timer = events.timer({1}, {}, [] {
        throw std::runtime_error("timer");
    });
    events.post([] {
        throw std::runtime_error("posted");
    });
    auto watch = events.watch(sockets.ends[0], 1, [&](int) {
        char byte = 0;
        EXPECT_EQ(read(sockets.ends[0], &byte, 1), 1);
        throw std::runtime_error("descriptor");
    });
    EXPECT_EQ(write(sockets.ends[1], "x", 1), 1);
    const auto check = events.timer({1}, {1}, [&] {
        if (reported.size() == 3) {
            events.stop();
        }
    });
    runUntilStopped(events);
    std::sort(reported.begin(), reported.end());
    EXPECT_EQ(reported, (std::vector<std::string>{"descriptor", "posted", "timer"}));
}

TEST(loop, postedCallsRunInOrderAndAreNotNested)
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
    runUntilStopped(events);
    EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

TEST(loop, callPostedFromACallbackRunsWithoutAnyOtherEvent)
{
    // If the loop slept while calls are queued, a call posted from a callback would be delayed until the next
    // event. The only other event here is the test's timeout.
    loop events;
    int remaining = 1000;
    std::function<void()> postAgain = [&] {
        if (--remaining == 0) {
            events.stop();
        } else {
            events.post(postAgain);
        }
    };
    events.post(postAgain);
    runUntilStopped(events);
    EXPECT_EQ(remaining, 0);
}

TEST(loop, continuousPostingDoesNotStarveSockets)
{
    // If the loop ran posted calls until the queue is empty, a call that always posts itself again would
    // block all sockets.
    loop events;
    socket_pair pair;
    std::function<void()> postAgain = [&] {
        events.post(postAgain);
    };
    events.post(postAgain);
    const auto watch = events.watch(pair.ends[0], 1, [&](int) {
        events.stop();
    });
    ASSERT_EQ(write(pair.ends[1], "x", 1), 1);
    runUntilStopped(events);
}

TEST(loop, timerFiresOnceOrRepeatsUntilItsHandleIsDestroyed)
{
    loop events;
    int singleCount = 0;
    int repeatCount = 0;
    const auto singleTimer = events.timer({1}, {}, [&] {
        ++singleCount;
    });
    std::shared_ptr<void> repeatingTimer = events.timer({1}, {1}, [&] {
        if (++repeatCount == 5) {
            repeatingTimer.reset();
        }
    });
    const auto check = events.timer({2}, {2}, [&] {
        if (repeatCount == 5 && singleCount == 1) {
            events.stop();
        }
    });
    runUntilStopped(events);
    EXPECT_EQ(singleCount, 1);
    EXPECT_EQ(repeatCount, 5);
}

TEST(loop, timerDoesNotFireBeforeItsTime)
{
    // The loop's cached time is in the past when a timer is set before run() or after a long callback. A
    // lease timer that fires early would release a lease that is still valid.
    loop events;
    usleep(60'000);
    const millis startedAt = bootNow();
    millis firedAt;
    const auto timer = events.timer({50}, {}, [&] {
        firedAt = bootNow();
        events.stop();
    });
    runUntilStopped(events);
    // Allows 1 ms for the truncation of both readings.
    EXPECT_GE((firedAt - startedAt).count, 49);
}

TEST(loop, callbackCanDestroyItsOwnHandle)
{
    // AddressSanitizer reports an error if the closure is destroyed while it runs.
    loop events;
    std::shared_ptr<void> handle;
    std::string captured = "still here, and too long for the small string buffer";
    std::string copied;
    handle = events.timer({1}, {1}, [&events, &handle, &copied, captured] {
        handle.reset();
        copied = captured;
        events.stop();
    });
    runUntilStopped(events);
    EXPECT_EQ(copied, captured);
}

TEST(loop, watchReportsReadableAndWritableUntilItsHandleIsDestroyed)
{
    loop events;
    socket_pair pair;
    int callCount = 0;
    std::shared_ptr<void> watch = events.watch(pair.ends[0], 3, [&](int received) {
        ++callCount;
        EXPECT_EQ(received & 2, 2);
        watch.reset();
        events.post([&] {
            events.post([&] {
                events.stop();
            });
        });
    });
    runUntilStopped(events);
    EXPECT_EQ(callCount, 1);
    int received = 0;
    watch = events.watch(pair.ends[0], 1, [&](int happened) {
        received = happened;
        events.stop();
    });
    ASSERT_EQ(write(pair.ends[1], "x", 1), 1);
    runUntilStopped(events);
    EXPECT_EQ(received, 1);
}

TEST(loop, signalCallbackRunsOnTheLoop)
{
    loop events;
    int signalCount = 0;
    const auto handle = events.onSignal(SIGUSR1, [&] {
        ++signalCount;
        events.stop();
    });
    events.post([] {
        std::raise(SIGUSR1);
    });
    runUntilStopped(events);
    EXPECT_EQ(signalCount, 1);
}

// Guards against an input that is taken for recent though the process stood still after it had arrived.
TEST(loop, inputsAreAsOldAsTheStandstillBeforeThem)
{
    loop events;
    const socket_pair sockets;
    millis stoodStillAt;
    millis arrivedAfter;
    const auto pause = events.timer({20}, {}, [&] {
        stoodStillAt = bootNow();
        EXPECT_EQ(write(sockets.ends[1], "x", 1), 1);
        usleep(300'000); // as a process that is stopped
    });
    const auto watch = events.watch(sockets.ends[0], 1, [&](int) {
        arrivedAfter = events.inputsSince();
        events.stop();
    });
    const auto ticks = events.timer({5}, {5}, [] {});
    runUntilStopped(events);
    EXPECT_LE(arrivedAfter, stoodStillAt);
    EXPECT_GE(arrivedAfter, stoodStillAt - millis{200}) << "the loop had been running";
}

TEST(loop, handleCanOutliveTheLoop)
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
