#include "coordination/connection_admission.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace briarhead {

namespace {

struct crowd_counts
{
    double served = 0; ///< of the connections that were taken, the share that the processor kept up with
    double taken = 0; ///< per second
    double longestQueueMs = 0; ///< of work, from one second on
};

/// Plays connections at a steady rate to a daemon that can serve `capacity` a second, one after the other.
crowd_counts play(connection_admission &admission, double offered, double capacity, int seconds)
{
    crowd_counts counts;
    double queued = 0; // connections whose work is not done
    double due = 0;
    double busyMs = 0;
    double taken = 0;
    double done = 0;
    for (int ms = 0; ms < seconds * 1'000; ++ms) {
        const millis now{1'000'000 + ms};
        for (due += offered / 1'000; due >= 1; due -= 1) {
            const bool isTaken = admitConnection(admission, now);
            queued += isTaken ? 1 : 0;
            taken += isTaken ? 1 : 0;
        }
        const double work = std::min(queued, capacity / 1'000);
        queued -= work;
        done += work;
        busyMs += work / (capacity / 1'000);
        if (ms > 1'000) {
            counts.longestQueueMs = std::max(counts.longestQueueMs, queued / capacity * 1'000);
        }
        if ((ms + 1) % admissionInterval.count == 0) {
            adaptAdmission(admission, busyMs / static_cast<double>(admissionInterval.count), now);
            busyMs = 0;
        }
    }
    counts.taken = taken / seconds;
    counts.served = done / std::max(taken, 1.0);
    return counts;
}

}

TEST(ConnectionAdmission, TakesAllConnectionsThatTheDaemonCanServe)
{
    for (const double offered : {1.0, 10.0, 60.0}) {
        connection_admission admission;
        EXPECT_NEAR(play(admission, offered, 100, 10).taken, offered, 0.2);
        EXPECT_EQ(admission.perSecond, 0);
    }
}

// Most new connections of a region come to one daemon. It must go on with about as many as it can serve, and
// what it has taken must not wait.
TEST(ConnectionAdmission, UnderACrowdTakesWhatItCanServeAndKeepsItsQueueShort)
{
    for (const double offered : {200.0, 1'000.0, 10'000.0}) {
        connection_admission admission;
        const crowd_counts first = play(admission, offered, 100, 3);
        const crowd_counts then = play(admission, offered, 100, 10);
        EXPECT_GT(then.taken, 60) << offered;
        EXPECT_LT(then.taken, 101) << offered;
        EXPECT_GT(then.served, 0.98) << offered;
        EXPECT_LT(then.longestQueueMs, 300) << offered << ", first " << first.longestQueueMs;
    }
}

TEST(ConnectionAdmission, LimitEndsAfterTheCrowdHasGone)
{
    connection_admission admission;
    play(admission, 1'000, 100, 5);
    ASSERT_GT(admission.perSecond, 0);
    EXPECT_NEAR(play(admission, 20, 100, 10).taken, 20, 1);
    EXPECT_EQ(admission.perSecond, 0);
}

// The loop is busy with other work for long, and no connection is taken for that. There must be some again.
TEST(ConnectionAdmission, SomeConnectionsAreAlwaysTaken)
{
    connection_admission admission;
    for (int i = 0; i < 50; ++i) {
        adaptAdmission(admission, 1, millis{1'000'000 + i * admissionInterval.count});
    }
    EXPECT_GE(play(admission, 100, 100, 1).taken, 1);
}

}
