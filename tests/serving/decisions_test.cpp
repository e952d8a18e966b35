#include "serving/choose_server.h"
#include "serving/event_stream.h"
#include "serving/heard_server.h"
#include "serving/repeat_budget.h"
#include "serving/server_ledger.h"
#include "serving/serving_config.h"
#include "serving/slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace briarhead {

namespace {

constexpr millis start{50'000};
constexpr prompt_shape shortAnswer{2'400, false, 1};
constexpr prompt_shape longAnswer{1'500, true, 1};

waiting_prompt prompt(const std::string &id, std::int64_t tokens, millis arrived, int rank = 0)
{
    return {id, "entry", "base", "", tokens, 100, rank, arrived, arrived + millis{750},
        arrived + millis{5'000}, arrived + millis{1'000}};
}

slot_queue queueOf(int slots = 64, std::int64_t memory = 120'000)
{
    slot_queue queue;
    queue.maxRunning = slots;
    queue.memoryTokens = memory;
    return queue;
}

bool always(const waiting_prompt &)
{
    return true;
}

std::vector<std::string> letInNow(slot_queue &queue, millis now)
{
    std::vector<waiting_prompt> late;
    std::vector<std::string> ids;
    for (const waiting_prompt &one : admitReady(queue, always, late, now)) {
        ids.push_back(one.id);
    }
    return ids;
}

}

// Many prompts arrive at once (a burst). A user would see every stream on the server stutter while all of
// them are read between its tokens: only as much is let in as keeps the server reading, the rest waits its
// turn.
TEST(PlaceQueue, LetsInOnlyWhatKeepsTheServerReading)
{
    slot_queue queue = queueOf();
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(enqueue(queue, prompt("p" + std::to_string(i), 2'000, start), start).accepted);
    }
    EXPECT_EQ(letInNow(queue, start).size(), 1U) << "170 ms at 14 tokens a ms are 2,380 tokens";
    onFirstToken(queue, "p0", start + millis{140});
    EXPECT_EQ(letInNow(queue, start + millis{140}), std::vector<std::string>{"p1"});
}

// The largest prompts are over the window by themselves. A user with one would never be served.
TEST(PlaceQueue, ThePromptLargerThanTheWindowGoesAloneAndIsNotOvertakenForEver)
{
    slot_queue queue = queueOf();
    ASSERT_TRUE(enqueue(queue, prompt("large", 7'000, start), start).accepted);
    ASSERT_TRUE(enqueue(queue, prompt("small", 300, start + millis{1}), start).accepted);
    EXPECT_EQ(letInNow(queue, start), std::vector<std::string>{"large"});
    EXPECT_TRUE(letInNow(queue, start).empty()) << "what reads stutters under more";
}

// A queue is longer than a caller can wait. It is told so at once, not when its time is over.
TEST(PlaceQueue, RefusesAtOnceWhatWouldComeTooLate)
{
    slot_queue queue = queueOf();
    int taken = 0;
    for (int i = 0; i < 30; ++i) {
        taken += enqueue(queue, prompt("p" + std::to_string(i), 2'000, start), start).accepted ? 1 : 0;
    }
    EXPECT_EQ(taken, 6) << "750 ms at 14 tokens a ms, and the one whose turn comes right then";
    const enqueue_result refused = enqueue(queue, prompt("q", 2'000, start), start);
    EXPECT_FALSE(refused.accepted);
    EXPECT_GT(refused.expectedWait.count, 750);
}

TEST(PlaceQueue, TheMostUrgentGoesFirstThenWhoCameFirst)
{
    slot_queue queue = queueOf();
    ASSERT_TRUE(enqueue(queue, prompt("late", 100, start + millis{2}, 1), start).accepted);
    ASSERT_TRUE(enqueue(queue, prompt("early", 100, start, 1), start).accepted);
    ASSERT_TRUE(enqueue(queue, prompt("urgent", 100, start + millis{3}, 0), start).accepted);
    EXPECT_EQ(letInNow(queue, start + millis{3}), (std::vector<std::string>{"urgent", "early", "late"}));
}

// For some seconds more prompts arrive than a server can read (a burst, or a neighbour's crash). In order of
// arrival the queue grows until everyone's first event comes just too late, and stays like that. Most users
// would wait in vain; so those who can still be on time go before those who can't.
TEST(PlaceQueue, AnOverloadedServerKeepsMostOnTime)
{
    slot_queue queue = queueOf();
    constexpr std::int64_t tokens = 2'000;
    constexpr millis readTime{140}; // 2,000 tokens at the 14 tokens a ms assumed at first
    int onTime = 0;
    int read = 0;
    std::string reading;
    millis readingEnds;
    for (millis now = start; now < start + millis{10'000}; now = now + millis{10}) {
        if (!reading.empty() && now >= readingEnds) {
            const waiting_prompt done = queue.running.at(reading).prompt;
            onTime += now <= done.targetAt ? 1 : 0;
            ++read;
            onFirstToken(queue, reading, now);
            (void)removePrompt(queue, reading, now);
            reading.clear();
        }
        if ((now - start).count % 110 == 0) { // 1.27 times what the server can read
            waiting_prompt next = prompt("p" + std::to_string(now.count), tokens, now);
            next.startBy = now + millis{1'400}; // served late rather than not at all
            (void)enqueue(queue, next, now);
        }
        const auto in = letInNow(queue, now);
        ASSERT_LE(in.size(), 1U);
        if (!in.empty()) {
            reading = in.front();
            readingEnds = now + readTime;
        }
    }
    EXPECT_GT(read, 65);
    EXPECT_GT(onTime, read * 9 / 10) << "of " << read;
}

// A more urgent kind is never behind a less urgent one, also when it is late already.
TEST(PlaceQueue, AnUrgentPromptThatIsLateGoesBeforeALessUrgentOneThatIsNot)
{
    slot_queue queue = queueOf();
    waiting_prompt late = prompt("late", 100, start, 0);
    late.targetAt = start;
    ASSERT_TRUE(enqueue(queue, prompt("ordinary", 100, start, 1), start).accepted);
    ASSERT_TRUE(enqueue(queue, late, start).accepted);
    EXPECT_EQ(letInNow(queue, start), (std::vector<std::string>{"late", "ordinary"}));
}

TEST(PlaceQueue, NeverFillsMemoryOrSlots)
{
    slot_queue queue = queueOf(2, 5'000);
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(enqueue(queue, prompt("p" + std::to_string(i), 100, start), start).accepted);
    }
    EXPECT_EQ(letInNow(queue, start).size(), 2U);
    slot_queue tight = queueOf(64, 1'000);
    ASSERT_TRUE(enqueue(tight, prompt("a", 700, start), start).accepted);
    ASSERT_TRUE(enqueue(tight, prompt("b", 300, start), start).accepted);
    EXPECT_EQ(letInNow(tight, start).size(), 1U);
}

// Word of an end is a datagram and may be lost. A user would see a server that looks full for ever.
TEST(PlaceQueue, AGrantWhoseEndWasLostEndsByItsDeadline)
{
    slot_queue queue = queueOf();
    ASSERT_TRUE(enqueue(queue, prompt("a", 100, start), start).accepted);
    ASSERT_EQ(letInNow(queue, start).size(), 1U);
    EXPECT_TRUE(removeExpired(queue, start + millis{5'000}).empty());
    EXPECT_EQ(removeExpired(queue, start + millis{6'000}).size(), 1U);
    EXPECT_TRUE(queue.running.empty());
}

TEST(PlaceQueue, LearnsHowFastAServerReads)
{
    slot_queue queue = queueOf();
    millis now = start;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "p" + std::to_string(i);
        ASSERT_TRUE(enqueue(queue, prompt(id, 2'000, now), now).accepted);
        ASSERT_EQ(letInNow(queue, now).size(), 1U);
        now = now + millis{400}; // a slow server: 5 tokens a ms
        onFirstToken(queue, id, now);
        ASSERT_TRUE(removePrompt(queue, id, now));
    }
    EXPECT_NEAR(queue.tokensPerMs, 5, 0.5);
}

RC_GTEST_PROP(PlaceQueue, CountsEachPromptOnce, ())
{
    slot_queue queue = queueOf();
    std::set<std::string> open;
    millis now = start;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "p" + std::to_string(*rc::gen::inRange(0, 12));
        now = now + millis{*rc::gen::inRange(0, 40)};
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            if (enqueue(queue, prompt(id, *rc::gen::inRange(1, 3'000), now), now).accepted) {
                open.insert(id);
            }
            break;
        case 1: {
            std::vector<waiting_prompt> late;
            admitReady(queue, always, late, now);
            for (const waiting_prompt &one : late) {
                open.erase(one.id);
            }
            break;
        }
        default:
            removePrompt(queue, id, now);
            open.erase(id);
            break;
        }
        RC_ASSERT(queue.waiting.size() + queue.running.size() == open.size());
        RC_ASSERT(backlogTokens(queue) >= readingTokens(queue));
    }
}

// More adapters are in use at once than there are places (demand moves on, rare adapters are asked for). A
// user of a rare adapter would be sent away when each popular one took a further place to save a short wait.
TEST(ChooseServer, ACopyIsMadeOnlyForALongWait)
{
    model_candidate home;
    home.adapter = residence::Resident;
    home.sameDomain = true;
    home.backlogMs = 500;
    model_candidate idle;
    idle.sameDomain = true;
    idle.openPlaces = 2;
    EXPECT_EQ(chooseModelServer({home, idle}, shortAnswer), 0U);
    home.backlogMs = 1'500;
    EXPECT_EQ(chooseModelServer({home, idle}, shortAnswer), 1U);
}

// Demand for one adapter grows until its server is late. Its users would wait there, while a copy that all of
// them share costs each of them little of what it takes from others.
TEST(ChooseServer, AnAdapterThatIsMuchAskedForIsCopiedSooner)
{
    model_candidate home;
    home.adapter = residence::Resident;
    home.sameDomain = true;
    home.backlogMs = 700;
    model_candidate idle;
    idle.sameDomain = true;
    idle.openPlaces = 2;
    prompt_shape prompt = shortAnswer;
    home.uses = 2;
    prompt.copyShare = copyShareOf({home, idle});
    EXPECT_EQ(chooseModelServer({home, idle}, prompt), 0U) << "two uses of late";
    home.uses = 60;
    prompt.copyShare = copyShareOf({home, idle});
    EXPECT_EQ(chooseModelServer({home, idle}, prompt), 1U) << "sixty";
    home.backlogMs = 200;
    EXPECT_EQ(chooseModelServer({home, idle}, prompt), 0U) << "its own load takes longer than the wait";
}

// Each cold adapter goes to the same server each time, which still has it in memory and loads it in a tenth
// of the time; spread over all servers, each load would come from the weight store.
TEST(ChooseServer, AColdAdapterGoesToItsFirstServerWithAnOpenPlace)
{
    model_candidate second;
    second.openPlaces = 1;
    second.hashRank = 1;
    model_candidate first;
    first.openPlaces = 1;
    first.hashRank = 0;
    EXPECT_EQ(chooseModelServer({second, first}, shortAnswer), 1U);
    first.openPlaces = 0;
    EXPECT_EQ(chooseModelServer({second, first}, shortAnswer), 0U);
}

// Long answers run beside many short ones. A user who waits for a long answer would see it stutter each time
// a prompt is read in between: short ones keep away from it, the longer their prompt the more, and the long
// ones gather.
TEST(ChooseServer, ShortAnswersKeepAwayFromLongOnesWhichGather)
{
    model_candidate withLong;
    withLong.adapter = residence::Resident;
    withLong.longAnswers = 4;
    model_candidate without;
    without.adapter = residence::Resident;
    without.backlogMs = 300;
    EXPECT_EQ(chooseModelServer({withLong, without}, longAnswer), 0U);
    EXPECT_EQ(chooseModelServer({withLong, without}, shortAnswer), 1U);
    EXPECT_EQ(chooseModelServer({withLong, without}, {500, false, 1}), 0U)
        << "a small prompt hardly disturbs";
    EXPECT_GT(*costOf(withLong, {6'000, false, 1}), *costOf(withLong, shortAnswer));
}

// Long answers hold their adapters' places for seconds. A user of a rare adapter who asks for one more would
// be sent to where they gather, three times in a row, and be refused each time for want of a place.
TEST(ChooseServer, ALongAnswerDoesNotGatherWhereNoPlaceIsOpen)
{
    model_candidate full;
    full.longAnswers = 8;
    full.openPlaces = 0;
    model_candidate open;
    open.openPlaces = 1;
    EXPECT_EQ(chooseModelServer({full, open}, longAnswer), 1U);
    full.openPlaces = 1;
    EXPECT_EQ(chooseModelServer({full, open}, longAnswer), 0U);
}

// A rare adapter yielded its place a moment ago and is asked for again. Fetched by another server it would
// take ten times as long and slow the weight store down for all; the server that remembers it is asked,
// unless its queue is long.
TEST(ChooseServer, AServerThatRemembersTheAdapterGoesBeforeOneThatFetchesIt)
{
    heard_server lately;
    server_beat beat;
    beat.server = "s1";
    beat.held = true;
    beat.openPlaces = 1;
    beat.adapters = {{adapterHash("m/a1"), false}, {adapterHash("m/a2"), true}};
    takeBeat(lately, beat, "n1", start);
    beat.adapters = {{adapterHash("m/a3"), false}};
    takeBeat(lately, beat, "n1", start);
    const model_candidate knows = candidateOf(lately, "m/a1", true, lately.at);
    EXPECT_EQ(knows.adapter, residence::Remembered);
    EXPECT_EQ(candidateOf(lately, "m/a2", true, lately.at).adapter, residence::Absent)
        << "never seen resident";
    model_candidate fetches;
    fetches.openPlaces = 1;
    EXPECT_EQ(chooseModelServer({fetches, knows}, shortAnswer), 1U);
    model_candidate busy = knows;
    busy.backlogMs = 1'000;
    EXPECT_EQ(chooseModelServer({fetches, busy}, shortAnswer), 0U);
    for (int i = 0; i < 100; ++i) {
        beat.adapters = {{adapterHash("m/b" + std::to_string(i)), false}};
        takeBeat(lately, beat, "n1", start);
    }
    EXPECT_EQ(candidateOf(lately, "m/a1", true, lately.at).adapter, residence::Absent) << "forgotten by now";
    EXPECT_LE(lately.lately.size(), maxCachedAdapters);
}

// What is long differs by deployment: one announces 90 and 522 tokens, another 205 and 955. With a limit
// between the first two all of the second's were long and gathered on few servers, whose users were refused
// for want of places.
TEST(ChooseServer, WhatIsALongAnswerGoesByWhatIsAskedFor)
{
    const auto mixOf = [](std::int64_t few, std::int64_t many, int manyOfTen) {
        answer_mix mix;
        for (int i = 0; i < 400; ++i) {
            noteAnswer(mix, i * 7 % 10 < manyOfTen ? many : few);
        }
        return mix;
    };
    const answer_mix first = mixOf(90, 522, 2);
    EXPECT_FALSE(isLongAnswer(first, 90));
    EXPECT_TRUE(isLongAnswer(first, 522));
    EXPECT_EQ(shapeOf(first, 2'400, 522).apart, 1);
    const answer_mix second = mixOf(205, 955, 6);
    EXPECT_FALSE(isLongAnswer(second, 205));
    EXPECT_TRUE(isLongAnswer(second, 955));
    EXPECT_EQ(shapeOf(second, 2'400, 955).apart, 0) << "the most are long: they can't keep to themselves";
    EXPECT_FALSE(isLongAnswer(mixOf(300, 300, 5), 300)) << "all alike";
}

TEST(ChooseServer, AServerThatFailsIsLeftAloneAndTriedAgainLater)
{
    server_record record;
    for (int i = 0; i < 10; ++i) {
        recordAnswer(record, true, start);
    }
    model_candidate failing;
    failing.adapter = residence::Resident;
    failing.failures = failuresNow(record, start);
    model_candidate loaded;
    loaded.adapter = residence::Resident;
    loaded.backlogMs = 700;
    EXPECT_EQ(chooseModelServer({failing, loaded}, shortAnswer), 1U);
    failing.failures = failuresNow(record, start + millis{15'000});
    EXPECT_EQ(chooseModelServer({failing, loaded}, shortAnswer), 0U);
}

TEST(ChooseServer, NothingIsChosenThatCannotServe)
{
    model_candidate leaving;
    leaving.excluded = true;
    model_candidate empty;
    empty.held = false;
    EXPECT_FALSE(chooseModelServer({leaving, empty}, shortAnswer));
    plain_candidate out;
    out.excluded = true;
    EXPECT_FALSE(choosePlainServer({out}));
}

TEST(ChooseServer, PlainRequestsStayInTheirFailureDomainUntilItsServerIsBusy)
{
    plain_candidate near;
    near.sameDomain = true;
    near.slots = 6;
    plain_candidate far;
    far.slots = 6;
    near.mine = 2;
    EXPECT_EQ(choosePlainServer({far, near}), 1U);
    near.mine = 3;
    EXPECT_EQ(choosePlainServer({far, near}), 0U);
}

// Servers fail in numbers and clients repeat at once. The bound on repeats is one for all daemons together,
// whatever each of them sees.
RC_GTEST_PROP(RepeatBudget, AllDaemonsTogetherStayUnderTheBound, ())
{
    const repeat_limits limits{0.2, 50, {10'000}};
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 10);
    std::vector<repeat_budget> budgets(daemons);
    millis now = start;
    std::size_t requests = 0;
    std::size_t repeats = 0;
    for (int i = 0; i < 400; ++i) {
        now = now + millis{*rc::gen::inRange(0, 20)};
        repeat_budget &one = budgets[*rc::gen::inRange<std::size_t>(0, daemons)];
        countRequest(one, "service", limits, now);
        ++requests;
        for (int repeat = *rc::gen::inRange(0, 4); repeat > 0; --repeat) {
            repeats += takeRepeat(one, "service", limits, daemons, now) ? 1 : 0;
        }
    }
    RC_ASSERT(static_cast<double>(repeats) <= 0.2 * static_cast<double>(requests) + 50);
}

// A server dies in the middle of an event. A user would see half an event, or the same one twice, when
// another server goes on: only whole events are passed on, and the last whole one is where it goes on.
TEST(EventStream, PassesOnWholeEventsOnly)
{
    event_stream stream;
    EXPECT_EQ(takeEvents(stream, "id: 1\ndata: x\n\nid: 2\nda"), "id: 1\ndata: x\n\n");
    EXPECT_EQ(stream.lastId, "1");
    EXPECT_EQ(takeEvents(stream, "ta: y\n\n"), "id: 2\ndata: y\n\n");
    EXPECT_EQ(stream.lastId, "2");
    EXPECT_TRUE(stream.partial.empty());
}

RC_GTEST_PROP(EventStream, AnyCutGivesTheSameEvents, ())
{
    std::string text;
    const int events = *rc::gen::inRange(1, 6);
    for (int i = 1; i <= events; ++i) {
        const std::string end = *rc::gen::arbitrary<bool>() ? "\r\n" : "\n";
        text.append("id:").append(std::to_string(i)).append(end).append("data: z").append(end).append(end);
    }
    event_stream stream;
    std::string passed;
    for (std::size_t at = 0; at < text.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        passed += takeEvents(stream, std::string_view(text).substr(at, size));
        at += size;
    }
    RC_ASSERT(passed == text);
    RC_ASSERT(stream.lastId == std::to_string(events));
}

TEST(Routes, TheLongestPrefixOfTheHostDecides)
{
    serving_config config;
    config.routes.push_back({.name = "wide", .host = "a.example", .prefix = "/x/", .services = {{"s1", 1}}});
    config.routes.push_back(
        {.name = "narrow", .host = "a.example", .prefix = "/x/y/", .services = {{"s2", 1}}});
    indexRoutes(config);
    EXPECT_EQ(findRoute(config, "A.example:80", "/x/y/z?q=/")->name, "narrow");
    EXPECT_EQ(findRoute(config, "a.example", "/x/yy")->name, "wide");
    EXPECT_EQ(findRoute(config, "a.example", "/x"), nullptr);
    EXPECT_EQ(findRoute(config, "b.example", "/x/"), nullptr);
}

TEST(Routes, ASplitIsKeptByWeightAndStableForARequest)
{
    route split;
    split.name = "r";
    split.services = {{"s1", 90}, {"s2", 10}};
    int second = 0;
    for (int i = 0; i < 2'000; ++i) {
        const std::string id = "request-" + std::to_string(i);
        EXPECT_EQ(pickService(split, id), pickService(split, id));
        second += pickService(split, id) == "s2" ? 1 : 0;
    }
    EXPECT_NEAR(second, 200, 60);
}

}
