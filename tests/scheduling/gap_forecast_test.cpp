#include "scheduling/choose_server.h"
#include "scheduling/gap_forecast.h"
#include "scheduling/slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr millis start{50'000};
constexpr gap_basis slow{9.3, 4'096};
constexpr gap_basis fast{22, 4'096};

waiting_prompt promptOf(const std::string &id, std::int64_t tokens, millis maxGap)
{
    waiting_prompt prompt{id, "entry", "base", "", tokens, 100, 0, start, start + millis{2'000},
        start + millis{5'000}, start + millis{1'000}};
    prompt.terms.maxGap = maxGap;
    return prompt;
}

/// A server with one stream beyond its first event, whose limit on the gap is given.
slot_queue queueWithStream(double tokensPerMs, millis maxGap)
{
    slot_queue queue;
    queue.maxRunning = 64;
    queue.memoryTokens = 120'000;
    queue.tokensPerMs = tokensPerMs;
    queue.running.emplace("stream", running_prompt{promptOf("stream", 1'000, maxGap), start, false});
    return queue;
}

std::size_t admittedNow(slot_queue &queue, millis now = start)
{
    std::vector<waiting_prompt> late;
    return admitReady(
        queue,
        [](const waiting_prompt &) {
            return true;
        },
        late, now)
        .size();
}

}

TEST(GapForecast, ChunkTakesTwiceAsLongOnAServerOfHalfTheSpeed)
{
    EXPECT_NEAR(forecastGapMs(slow, 4'096), 440 + eventSpanMs, 1);
    EXPECT_NEAR(forecastGapMs(fast, 4'096), 186 + eventSpanMs, 1);
    EXPECT_EQ(forecastGapMs({0, 0}, 4'096), 0) << "nothing is known of the server";
    EXPECT_EQ(forecastGapMs({22, 1'024}, 20'000), forecastGapMs({22, 1'024}, 3'072))
        << "one event spans three steps, in each of which one chunk is read";
}

// Two prompts that each fit into one gap would pause the server's streams for the sum of both. With the
// allowance of 170 ms for all servers, both would be admitted where the limit is short.
TEST(GapForecast, PromptsThatTogetherBreakTheLimitAreAdmittedOneAfterTheOther)
{
    slot_queue queue = queueWithStream(22, millis{150});
    ASSERT_TRUE(enqueue(queue, promptOf("a", 1'200, {}), start).accepted);
    ASSERT_TRUE(enqueue(queue, promptOf("b", 1'200, {}), start).accepted);
    EXPECT_EQ(admittedNow(queue), 1U);
    EXPECT_EQ(admittedNow(queue, start + millis{40}), 0U) << "the first one is still in prefill";
    onFirstToken(queue, "a", start + millis{80});
    EXPECT_EQ(admittedNow(queue, start + millis{80}), 1U);
}

// A limit longer than the read-ahead must not widen it: an event spans several steps, so that prompts
// admitted right after these are read within the same gap.
TEST(GapForecast, LongLimitDoesNotWidenTheReadAhead)
{
    for (const millis limit : {millis{400}, millis{2'000}, millis{}}) {
        slot_queue queue = queueWithStream(14, limit);
        ASSERT_TRUE(enqueue(queue, promptOf("a", 2'000, {}), start).accepted);
        ASSERT_TRUE(enqueue(queue, promptOf("b", 2'000, {}), start).accepted);
        EXPECT_EQ(admittedNow(queue), 1U) << limit.count;
    }
}

// A prompt that breaks the limit by itself is admitted all the same. Sparing the streams that have lost
// their limit to it would only delay later prompts.
TEST(GapForecast, StreamsWhoseLimitIsBrokenAlreadyAreNotSpared)
{
    slot_queue queue = queueWithStream(14, millis{100});
    const std::int64_t before = maxReadingTokens(queue, start);
    EXPECT_LT(static_cast<double>(before), 14 * maxReadAheadMs);
    ASSERT_TRUE(enqueue(queue, promptOf("long", 6'000, {}), start).accepted);
    ASSERT_EQ(admittedNow(queue), 1U);
    EXPECT_TRUE(queue.running.at("stream").gapLost);
    EXPECT_EQ(maxReadingTokens(queue, start), static_cast<std::int64_t>(14 * maxReadAheadMs));
}

// Whatever the speed, the limit and the lengths: prompts read beside others fit into one gap, unless the
// first of them has broken the limit by itself.
RC_GTEST_PROP(GapForecast, PromptsAdmittedTogetherFitIntoOneGap, ())
{
    const millis limit{*rc::gen::inRange(50, 800)};
    slot_queue queue = queueWithStream(*rc::gen::inRange(3, 40), limit);
    for (int i = 0; i < 6; ++i) {
        const auto tokens = *rc::gen::inRange<std::int64_t>(50, 5'000);
        enqueue(queue, promptOf("p" + std::to_string(i), tokens, {}), start);
    }
    const std::size_t admitted = admittedNow(queue);
    const double gapMs = forecastGapMs({queue.tokensPerMs, 0}, readingTokens(queue));
    const bool lost = queue.running.at("stream").gapLost;
    RC_ASSERT(admitted <= 1 || lost || gapMs <= static_cast<double>(limit.count));
}

namespace {

model_candidate candidate(gap_basis gaps, std::uint32_t running, adapter_residency adapter)
{
    model_candidate server;
    server.adapter = adapter;
    server.sameDomain = true;
    server.availableSlots = 1;
    server.gaps = gaps;
    server.running = running;
    return server;
}

prompt_shape shapeOf(std::int64_t promptTokens, std::int64_t outputTokens, double limitMs)
{
    prompt_shape shape{promptTokens, false, 0, 1, {}};
    shape.gaps = {limitMs, limitMs, outputTokens, {}};
    for (int i = 0; i < 60; ++i) {
        recordPromptLength(shape.gaps.lengths, i % 6 == 0 ? 5'000 : 1'800);
    }
    return shape;
}

}

// A third of the servers reads 9.3 tokens/ms. A long prompt there pauses every stream for longer than the
// limit, while a faster server reads it in time; an adapter load is worth that. A short prompt stays.
TEST(GapForecast, LongPromptsAvoidSlowServersWithStreams)
{
    const model_candidate home = candidate(slow, 4, adapter_residency::Resident);
    const model_candidate other = candidate(fast, 4, adapter_residency::Absent);
    EXPECT_EQ(chooseModelServer({home, other}, shapeOf(5'000, 60, 400)), 1U);
    EXPECT_EQ(chooseModelServer({home, other}, shapeOf(1'800, 60, 400)), 0U);
    EXPECT_EQ(chooseModelServer({home, other}, shapeOf(5'000, 60, 0)), 0U) << "no limit is stated";
    const model_candidate idle = candidate(slow, 0, adapter_residency::Resident);
    EXPECT_EQ(chooseModelServer({idle, other}, shapeOf(5'000, 60, 400)), 0U) << "nobody is harmed there";
}

// One stream is not worth a load from the weight store and the eviction that it causes.
TEST(GapForecast, OneStreamIsNotSparedAtTheCostOfALoad)
{
    const model_candidate home = candidate(slow, 1, adapter_residency::Resident);
    const model_candidate other = candidate(fast, 4, adapter_residency::Absent);
    EXPECT_EQ(chooseModelServer({home, other}, shapeOf(5'000, 60, 400)), 0U);
}

// A response of 57 events meets more prompts than one of 8, and on a slow server more of those pause it for
// too long.
TEST(GapForecast, LongResponsesPreferServersWhereGapsStayWithinTheLimit)
{
    const model_candidate onSlow = candidate(slow, 6, adapter_residency::Resident);
    model_candidate onFast = candidate(fast, 6, adapter_residency::Resident);
    onFast.backlogMs = 40;
    EXPECT_EQ(chooseModelServer({onSlow, onFast}, shapeOf(1'400, 522, 400)), 1U);
    EXPECT_EQ(chooseModelServer({onSlow, onFast}, shapeOf(1'400, 24, 400)), 0U);
}

// Where all servers read fast enough for the limit, the forecast changes nothing.
TEST(GapForecast, FastServersHaveNoLossForUsualPrompts)
{
    const model_candidate server = candidate(fast, 8, adapter_residency::Resident);
    EXPECT_LT(gapLossOf(server, shapeOf(1'800, 60, 400)), 1);
    EXPECT_EQ(gapLossOf(server, shapeOf(5'000, 60, 0)), 0);
}

}
