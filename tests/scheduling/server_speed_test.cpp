#include "scheduling/observed_server.h"
#include "scheduling/server_speed.h"
#include "scheduling/slot_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace briarhead {

namespace {

constexpr millis start{50'000};

millis durationAt(double tokensPerMs, std::int64_t tokens)
{
    return millis{std::llround(prefillBaseMs + static_cast<double>(tokens) / tokensPerMs)};
}

/// A server that has read `count` prompts of different lengths at this speed, until `now`.
server_speed learnt(double tokensPerMs, int count, millis now = start)
{
    server_speed speed;
    for (int i = 0; i < count; ++i) {
        const std::int64_t tokens = 1'000 + 700 * (i % 5);
        recordPrefill(speed, tokens, durationAt(tokensPerMs, tokens), now);
    }
    return speed;
}

waiting_prompt promptOf(const std::string &id, std::int64_t tokens, millis arrived)
{
    return {id, "entry", "base", "", tokens, 100, 0, arrived, arrived + millis{2'000},
        arrived + millis{9'000}, arrived + millis{1'000}};
}

void admit(slot_queue &queue, const std::string &id, std::int64_t tokens, millis now)
{
    std::vector<waiting_prompt> late;
    enqueue(queue, promptOf(id, tokens, now), now);
    admitReady(
        queue,
        [](const waiting_prompt &) {
            return true;
        },
        late, now);
}

slot_queue queueOf(const server_speed &speed)
{
    slot_queue queue;
    queue.maxRunning = 64;
    queue.memoryTokens = 120'000;
    queue.speed = speed;
    return queue;
}

server_load loadOf(std::uint64_t fence, std::int64_t tokensPerSecond, std::int64_t streams)
{
    server_load load;
    load.server = "s";
    load.fence = fence;
    const auto add = [&load](load_field field, std::int64_t value) {
        addField(load.fields, static_cast<std::uint32_t>(field), value, 0);
    };
    add(load_field::TokensPerSecond, tokensPerSecond);
    add(load_field::LimitedStreams, streams + 1);
    return load;
}

/// Heard of with 20 tokens/ms and 5 running requests, from the owner with fence 3.
observed_server heardServer()
{
    observed_server observed;
    server_heartbeat heartbeat;
    heartbeat.server = "s";
    heartbeat.fence = 3;
    heartbeat.modelLoaded = true;
    heartbeat.prefillTokensPerSecond = 20'000;
    heartbeat.running = 5;
    applyHeartbeat(observed, heartbeat, "owner", start);
    return observed;
}

double speedSeen(const observed_server &observed, millis now)
{
    return candidateOf(observed, "m/a", true, now).gaps.tokensPerMs;
}

}

TEST(ServerSpeed, IsLearntWithinEightRequests)
{
    EXPECT_EQ(prefillTokensPerMs(learnt(9.3, minSpeedSamples - 1), start), 0) << "too few to state a speed";
    for (const double tokensPerMs : {4.4, 9.3, 22.0}) {
        EXPECT_NEAR(prefillTokensPerMs(learnt(tokensPerMs, 8), start), tokensPerMs, 0.03 * tokensPerMs);
    }
}

// A server that becomes five times slower would be chosen for seconds more if its prompts only counted once
// they have ended: each of them takes a second by then.
TEST(ServerSpeed, SlownessIsSeenWithinASecondFromThePromptInProgress)
{
    slot_queue queue = queueOf(learnt(20, 20));
    admit(queue, "a", 2'400, start);
    EXPECT_NEAR(gapTokensPerMs(queue, start + millis{150}), 20, 1) << "takes 160 ms as usual";
    EXPECT_LT(gapTokensPerMs(queue, start + millis{600}), 6);
    onFirstToken(queue, "a", start + millis{640});
    EXPECT_LT(gapTokensPerMs(queue, start + millis{640}), 9) << "one prompt that has ended is enough as well";
}

// An avoided server takes no requests, so nothing measures that it has recovered. It would be avoided
// forever.
TEST(ServerSpeed, ARecoveredServerIsTriedAgain)
{
    server_speed speed = learnt(20, 40);
    for (int i = 0; i < 3; ++i) {
        recordPrefill(speed, 2'400, durationAt(4, 2'400), start);
    }
    EXPECT_LT(prefillTokensPerMs(speed, start), 5.5);
    EXPECT_GT(prefillTokensPerMs(speed, start + millis{3 * slownessHalfLife.count}), 9);
    for (int i = 0; i < 3; ++i) {
        recordPrefill(speed, 2'400, durationAt(20, 2'400), start + millis{6'000});
    }
    EXPECT_GT(prefillTokensPerMs(speed, start + millis{6'000}), 15);
}

// Prompts wait for others: in the queue, or in prefill together. Taking the time since their arrival, or that
// of two prompts for one, as slowness would drive requests from every server with a queue.
TEST(ServerSpeed, ALongQueueIsNotTakenForSlowness)
{
    slot_queue queue = queueOf(learnt(20, 20));
    for (int i = 0; i < 6; ++i) {
        admit(queue, "p" + std::to_string(i), 2'000, start);
    }
    millis now = start;
    for (int i = 0; i < 6; ++i) {
        now = now + durationAt(20, 2'000);
        onFirstToken(queue, "p" + std::to_string(i), now);
        EXPECT_NEAR(gapTokensPerMs(queue, now), 20, 1)
            << i << " has waited and been read for " << (now - start).count << " ms";
        admit(queue, "next" + std::to_string(i), 2'000, now);
    }
    slot_queue shared = queueOf(learnt(20, 20));
    admit(shared, "a", 1'000, start);
    admit(shared, "b", 1'000, start);
    ASSERT_EQ(shared.running.size(), 2U);
    EXPECT_NEAR(gapTokensPerMs(shared, start + millis{400}), 20, 1);
    onFirstToken(shared, "a", start + millis{400});
    onFirstToken(shared, "b", start + millis{400});
    EXPECT_NEAR(gapTokensPerMs(shared, start + millis{400}), 20, 1);
}

// The report of a first event may be lost. The prompt then seems to take until its deadline.
TEST(ServerSpeed, ALostReportOfAFirstEventIsBounded)
{
    EXPECT_GE(speedWithPrefillInProgress(20, 2'000, millis{60'000}), 20 / maxSlowdownInProgress);
    EXPECT_EQ(speedWithPrefillInProgress(20, 2'000, millis{200}), 20);
}

// A new owner would treat a slow server like any other until it has measured it.
TEST(ServerSpeed, ANewOwnerStartsFromTheReportedSpeed)
{
    server_speed speed;
    adoptSpeed(speed, 9.3, millis{500}, start);
    EXPECT_NEAR(prefillTokensPerMs(speed, start), 9.3, 0.1);
    for (int i = 0; i < 3; ++i) {
        recordPrefill(speed, 2'400, durationAt(22, 2'400), start);
    }
    EXPECT_GT(prefillTokensPerMs(speed, start), 19) << "the report was of before the server's restart";
    server_speed nonsense;
    adoptSpeed(nonsense, 1e9, {}, start);
    EXPECT_EQ(prefillTokensPerMs(nonsense, start), 0);
}

// Reports that are false, lag or come from a previous owner must not drive requests to or from a server.
TEST(ServerSpeed, ImpossibleOrOldReportsAreIgnored)
{
    observed_server observed = heardServer();
    applyServerLoad(observed, loadOf(3, 9'300, 2), start);
    EXPECT_NEAR(speedSeen(observed, start), 9.3, 0.01);
    EXPECT_EQ(candidateOf(observed, "m/a", true, start).running, 2U);
    EXPECT_EQ(speedSeen(observed, start + heartbeatFreshFor), 20) << "the report has expired";
    applyServerLoad(observed, loadOf(2, 1'000, 2), start);
    EXPECT_NEAR(speedSeen(observed, start), 9.3, 0.01) << "from a previous owner";
    for (const std::int64_t impossible : {-5'000LL, 0LL, 1LL, 900'000'000LL}) {
        applyServerLoad(observed, loadOf(3, impossible, 2), start);
        EXPECT_EQ(speedSeen(observed, start), 20) << impossible;
    }
}

// A server with a new owner: the previous one's report says nothing about the streams there any more.
TEST(ServerSpeed, ReportsOfThePreviousOwnerEndWithItsOwnership)
{
    observed_server observed = heardServer();
    applyServerLoad(observed, loadOf(3, 9'300, 2), start);
    server_heartbeat next = observed.heartbeat;
    next.fence = 4;
    applyHeartbeat(observed, next, "successor", start);
    EXPECT_EQ(speedSeen(observed, start), 20);
    EXPECT_EQ(candidateOf(observed, "m/a", true, start).running, 5U);
}

// Two entries that have heard different reports choose differently only until the next one, and never spare
// a server whose streams both know to be lost.
TEST(ServerSpeed, EntriesThatDisagreeAgreeAfterTheNextReport)
{
    observed_server one = heardServer();
    observed_server other = heardServer();
    applyServerLoad(one, loadOf(3, 4'000, 3), start);
    EXPECT_NE(speedSeen(one, start), speedSeen(other, start));
    applyServerLoad(one, loadOf(3, 21'000, 3), start);
    applyServerLoad(other, loadOf(3, 21'000, 3), start);
    EXPECT_EQ(speedSeen(one, start), speedSeen(other, start));
}

TEST(ServerSpeed, LoadHeartbeatsCarryTheSpeedOnlyWhereGapsAreForecast)
{
    slot_scheduler scheduler;
    scheduler.ledger.server = "s";
    scheduler.queue = queueOf(learnt(9.3, 20));
    EXPECT_TRUE(serverLoad(scheduler, start).fields.empty());
    scheduler.features.gapPrediction = true;
    const auto decoded = decodeLoad(serverLoad(scheduler, start + millis{70}), start);
    ASSERT_TRUE(decoded);
    EXPECT_NEAR(decoded->tokensPerMs, 9.3, 0.3);
    EXPECT_EQ(decoded->speedAge, millis{70});
}

// Whatever the samples, the speed stays within what servers have.
RC_GTEST_PROP(ServerSpeed, StaysWithinBounds, ())
{
    server_speed speed;
    millis now = start;
    for (int i = 0; i < 40; ++i) {
        now = now + millis{*rc::gen::inRange(0, 5'000)};
        recordPrefill(
            speed, *rc::gen::inRange<std::int64_t>(0, 20'000), millis{*rc::gen::inRange(-100, 60'000)}, now);
        const double tokensPerMs = prefillTokensPerMs(speed, now);
        RC_ASSERT(tokensPerMs == 0 || (tokensPerMs > 0.19 && tokensPerMs < 201));
    }
}

}
