#include "scheduling/choose_plain_server.h"
#include "scheduling/choose_server.h"
#include "scheduling/observed_server.h"
#include "scheduling/server_ledger.h"
#include "scheduling/service_retry_budget.h"
#include "scheduling/serving_config.h"
#include "scheduling/slot_queue.h"
#include "transport/event_stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace briarhead {

namespace {

constexpr millis start{50'000};
constexpr prompt_shape shortResponse{2'400, false, 1};
constexpr prompt_shape longResponse{1'500, true, 1};

waiting_prompt prompt(const std::string &id, std::int64_t tokens, millis arrived, int rank = 0)
{
    return {id, "entry", "base", "", tokens, 100, rank, arrived, arrived + millis{750},
        arrived + millis{5'000}, arrived + millis{1'000}};
}

slot_queue queueWith(int slots = 64, std::int64_t memory = 120'000)
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

std::vector<std::string> admittedNow(slot_queue &queue, millis now)
{
    std::vector<waiting_prompt> late;
    std::vector<std::string> ids;
    for (const waiting_prompt &each : admitReady(queue, always, late, now)) {
        ids.push_back(each.id);
    }
    return ids;
}

}

// In a burst, reading all prompts at once would pause every stream on the server. Only as many are admitted
// as keep the server reading; the rest are queued.
TEST(SlotQueue, AdmitsOnlyAsManyPromptsAsKeepTheServerReading)
{
    slot_queue queue = queueWith();
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(enqueue(queue, prompt("p" + std::to_string(i), 2'000, start), start).accepted);
    }
    EXPECT_EQ(admittedNow(queue, start).size(), 1U) << "170 ms at 14 tokens/ms are 2,380 tokens";
    onFirstToken(queue, "p0", start + millis{140});
    EXPECT_EQ(admittedNow(queue, start + millis{140}), std::vector<std::string>{"p1"});
}

// A prompt that is larger than the window by itself would otherwise never be served.
TEST(SlotQueue, PromptLargerThanTheWindowIsAdmittedAlone)
{
    slot_queue queue = queueWith();
    ASSERT_TRUE(enqueue(queue, prompt("large", 7'000, start), start).accepted);
    ASSERT_TRUE(enqueue(queue, prompt("small", 300, start + millis{1}), start).accepted);
    EXPECT_EQ(admittedNow(queue, start), std::vector<std::string>{"large"});
    EXPECT_TRUE(admittedNow(queue, start).empty()) << "the window is exceeded already";
}

// The queue is longer than the caller can wait, so it is refused at once instead of after its wait.
TEST(SlotQueue, RefusesAtOnceAPromptWhoseWaitWouldBeTooLong)
{
    slot_queue queue = queueWith();
    int enqueued = 0;
    for (int i = 0; i < 30; ++i) {
        enqueued += enqueue(queue, prompt("p" + std::to_string(i), 2'000, start), start).accepted ? 1 : 0;
    }
    EXPECT_EQ(enqueued, 6) << "750 ms at 14 tokens/ms, and the prompt that starts right then";
    const enqueue_result refused = enqueue(queue, prompt("q", 2'000, start), start);
    EXPECT_FALSE(refused.accepted);
    EXPECT_GT(refused.expectedWait.count, 750);
}

TEST(SlotQueue, AdmitsByRankAndThenInOrderOfArrival)
{
    slot_queue queue = queueWith();
    ASSERT_TRUE(enqueue(queue, prompt("late", 100, start + millis{2}, 1), start).accepted);
    ASSERT_TRUE(enqueue(queue, prompt("early", 100, start, 1), start).accepted);
    ASSERT_TRUE(enqueue(queue, prompt("urgent", 100, start + millis{3}, 0), start).accepted);
    EXPECT_EQ(admittedNow(queue, start + millis{3}), (std::vector<std::string>{"urgent", "early", "late"}));
}

// For some seconds more prompts arrive than the server can read. In order of arrival, the queue would grow
// until every first event came too late. Prompts that can still meet their target are therefore admitted
// first.
TEST(SlotQueue, OverloadedServerMeetsTheTargetOfMostPrompts)
{
    slot_queue queue = queueWith();
    constexpr std::int64_t tokens = 2'000;
    constexpr millis readTime{140}; // 2,000 tokens at the initial estimate of 14 tokens/ms
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
        if ((now - start).count % 110 == 0) { // 1.27 times the rate at which the server can read
            waiting_prompt next = prompt("p" + std::to_string(now.count), tokens, now);
            next.startBy = now + millis{1'400}; // prefers a late response to a refusal
            (void)enqueue(queue, next, now);
        }
        const auto admitted = admittedNow(queue, now);
        ASSERT_LE(admitted.size(), 1U);
        if (!admitted.empty()) {
            reading = admitted.front();
            readingEnds = now + readTime;
        }
    }
    EXPECT_GT(read, 65);
    EXPECT_GT(onTime, read * 9 / 10) << "of " << read;
}

TEST(SlotQueue, UrgentPromptPastItsTargetIsAdmittedBeforeALessUrgentOne)
{
    slot_queue queue = queueWith();
    waiting_prompt late = prompt("late", 100, start, 0);
    late.targetAt = start;
    ASSERT_TRUE(enqueue(queue, prompt("ordinary", 100, start, 1), start).accepted);
    ASSERT_TRUE(enqueue(queue, late, start).accepted);
    EXPECT_EQ(admittedNow(queue, start), (std::vector<std::string>{"late", "ordinary"}));
}

TEST(SlotQueue, NeverExceedsMemoryOrSlots)
{
    slot_queue queue = queueWith(2, 5'000);
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(enqueue(queue, prompt("p" + std::to_string(i), 100, start), start).accepted);
    }
    EXPECT_EQ(admittedNow(queue, start).size(), 2U);
    slot_queue tight = queueWith(64, 1'000);
    ASSERT_TRUE(enqueue(tight, prompt("a", 700, start), start).accepted);
    ASSERT_TRUE(enqueue(tight, prompt("b", 300, start), start).accepted);
    EXPECT_EQ(admittedNow(tight, start).size(), 1U);
}

// The datagram that reports the end of a request may be lost. Without expiry the slot would stay occupied.
TEST(SlotQueue, GrantExpiresAtItsDeadlineIfItsEndIsNotReported)
{
    slot_queue queue = queueWith();
    ASSERT_TRUE(enqueue(queue, prompt("a", 100, start), start).accepted);
    ASSERT_EQ(admittedNow(queue, start).size(), 1U);
    EXPECT_TRUE(removeExpired(queue, start + millis{5'000}).empty());
    EXPECT_EQ(removeExpired(queue, start + millis{6'000}).size(), 1U);
    EXPECT_TRUE(queue.running.empty());
}

TEST(SlotQueue, LearnsTheReadingSpeedOfAServer)
{
    slot_queue queue = queueWith();
    millis now = start;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "p" + std::to_string(i);
        ASSERT_TRUE(enqueue(queue, prompt(id, 2'000, now), now).accepted);
        ASSERT_EQ(admittedNow(queue, now).size(), 1U);
        now = now + millis{400}; // a slow server: 5 tokens/ms
        onFirstToken(queue, id, now);
        ASSERT_TRUE(removePrompt(queue, id, now));
    }
    EXPECT_NEAR(queue.tokensPerMs, 5, 0.5);
}

RC_GTEST_PROP(SlotQueue, CountsEachPromptOnce, ())
{
    slot_queue queue = queueWith();
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
            for (const waiting_prompt &each : late) {
                open.erase(each.id);
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

// More adapters are in use than there are slots. If popular adapters were copied to save short waits,
// requests for rare ones would be refused.
TEST(ChooseServer, AdapterIsCopiedOnlyIfTheWaitIsLong)
{
    model_candidate home;
    home.adapter = adapter_residency::Resident;
    home.sameDomain = true;
    home.backlogMs = 500;
    model_candidate idle;
    idle.sameDomain = true;
    idle.availableSlots = 2;
    EXPECT_EQ(chooseModelServer({home, idle}, shortResponse), 0U);
    home.backlogMs = 1'500;
    EXPECT_EQ(chooseModelServer({home, idle}, shortResponse), 1U);
}

// The cost of a copy is shared by all requests that use it.
TEST(ChooseServer, PopularAdapterIsCopiedAtAShorterWait)
{
    model_candidate home;
    home.adapter = adapter_residency::Resident;
    home.sameDomain = true;
    home.backlogMs = 700;
    model_candidate idle;
    idle.sameDomain = true;
    idle.availableSlots = 2;
    prompt_shape prompt = shortResponse;
    home.recentUses = 2;
    prompt.copyCostShare = copyCostShareOf({home, idle});
    EXPECT_EQ(chooseModelServer({home, idle}, prompt), 0U) << "two recent uses";
    home.recentUses = 60;
    prompt.copyCostShare = copyCostShareOf({home, idle});
    EXPECT_EQ(chooseModelServer({home, idle}, prompt), 1U) << "sixty recent uses";
    home.backlogMs = 200;
    EXPECT_EQ(chooseModelServer({home, idle}, prompt), 0U) << "loading the copy takes longer than the wait";
}

// A server that loaded the adapter before may still have it in host memory and loads it in a tenth of the
// time.
TEST(ChooseServer, AbsentAdapterIsLoadedByItsFirstServerInRendezvousOrderWithAnOpenSlot)
{
    model_candidate second;
    second.availableSlots = 1;
    second.hashRank = 1;
    model_candidate first;
    first.availableSlots = 1;
    first.hashRank = 0;
    EXPECT_EQ(chooseModelServer({second, first}, shortResponse), 1U);
    first.availableSlots = 0;
    EXPECT_EQ(chooseModelServer({second, first}, shortResponse), 0U);
}

// A long response pauses each time a prompt is read on its server, for longer with longer prompts.
TEST(ChooseServer, ShortResponsesAvoidServersWithLongOnesWhileLongOnesPreferThem)
{
    model_candidate withLong;
    withLong.adapter = adapter_residency::Resident;
    withLong.longResponses = 4;
    model_candidate without;
    without.adapter = adapter_residency::Resident;
    without.backlogMs = 300;
    EXPECT_EQ(chooseModelServer({withLong, without}, longResponse), 0U);
    EXPECT_EQ(chooseModelServer({withLong, without}, shortResponse), 1U);
    EXPECT_EQ(chooseModelServer({withLong, without}, {500, false, 1}), 0U)
        << "a short prompt causes only a short pause";
    EXPECT_GT(*costOf(withLong, {6'000, false, 1}), *costOf(withLong, shortResponse));
}

// Long responses occupy adapter slots for seconds. Another long one would be sent to such servers three times
// in a row and be refused each time.
TEST(ChooseServer, LongResponseIsNotAttractedByAServerWithoutAnOpenSlot)
{
    model_candidate full;
    full.longResponses = 8;
    full.availableSlots = 0;
    model_candidate open;
    open.availableSlots = 1;
    EXPECT_EQ(chooseModelServer({full, open}, longResponse), 1U);
    full.availableSlots = 1;
    EXPECT_EQ(chooseModelServer({full, open}, longResponse), 0U);
}

// The adapter was evicted recently. Loading it elsewhere, from the weight store, would take ten times as long
// and slow down other loads.
TEST(ChooseServer, ServerWithTheAdapterCachedIsPreferredUnlessItsQueueIsLong)
{
    observed_server observed;
    server_heartbeat heartbeat;
    heartbeat.server = "s1";
    heartbeat.modelLoaded = true;
    heartbeat.availableSlots = 1;
    heartbeat.adapters = {{adapterHash("m/a1"), false}, {adapterHash("m/a2"), true}};
    applyHeartbeat(observed, heartbeat, "n1", start);
    heartbeat.adapters = {{adapterHash("m/a3"), false}};
    applyHeartbeat(observed, heartbeat, "n1", start);
    const model_candidate withCopy = candidateOf(observed, "m/a1", true, observed.receivedAt);
    EXPECT_EQ(withCopy.adapter, adapter_residency::Cached);
    EXPECT_EQ(candidateOf(observed, "m/a2", true, observed.receivedAt).adapter, adapter_residency::Absent)
        << "never seen resident";
    model_candidate withoutCopy;
    withoutCopy.availableSlots = 1;
    EXPECT_EQ(chooseModelServer({withoutCopy, withCopy}, shortResponse), 1U);
    model_candidate busy = withCopy;
    busy.backlogMs = 1'000;
    EXPECT_EQ(chooseModelServer({withoutCopy, busy}, shortResponse), 0U);
    for (int i = 0; i < 100; ++i) {
        heartbeat.adapters = {{adapterHash("m/b" + std::to_string(i)), false}};
        applyHeartbeat(observed, heartbeat, "n1", start);
    }
    EXPECT_EQ(candidateOf(observed, "m/a1", true, observed.receivedAt).adapter, adapter_residency::Absent)
        << "no longer cached";
    EXPECT_LE(observed.recentAdapters.size(), maxCachedAdapters);
}

// Regression: with a fixed threshold between the 90 and 522 tokens of one deployment, all responses of
// another one, with 205 and 955 tokens, counted as long. They were put on few servers, which had too few
// slots.
TEST(ChooseServer, ResponseIsLongComparedWithTheCurrentMix)
{
    const auto mixWith = [](std::int64_t shortLength, std::int64_t longLength, int longOfTen) {
        response_mix mix;
        for (int i = 0; i < 400; ++i) {
            recordOutputLength(mix, i * 7 % 10 < longOfTen ? longLength : shortLength);
        }
        return mix;
    };
    const response_mix first = mixWith(90, 522, 2);
    EXPECT_FALSE(isLongResponse(first, 90));
    EXPECT_TRUE(isLongResponse(first, 522));
    EXPECT_EQ(shapeOf(first, 2'400, 522).separation, 1);
    const response_mix second = mixWith(205, 955, 6);
    EXPECT_FALSE(isLongResponse(second, 205));
    EXPECT_TRUE(isLongResponse(second, 955));
    EXPECT_EQ(shapeOf(second, 2'400, 955).separation, 0) << "too many long responses to separate them";
    EXPECT_FALSE(isLongResponse(mixWith(300, 300, 5), 300)) << "all have the same length";
}

TEST(ChooseServer, FailingServerIsAvoidedAndTriedAgainLater)
{
    server_health health;
    for (int i = 0; i < 10; ++i) {
        recordOutcome(health, true, start);
    }
    model_candidate failing;
    failing.adapter = adapter_residency::Resident;
    failing.failureRate = currentFailureRate(health, start);
    model_candidate loaded;
    loaded.adapter = adapter_residency::Resident;
    loaded.backlogMs = 700;
    EXPECT_EQ(chooseModelServer({failing, loaded}, shortResponse), 1U);
    failing.failureRate = currentFailureRate(health, start + millis{15'000});
    EXPECT_EQ(chooseModelServer({failing, loaded}, shortResponse), 0U);
}

TEST(ChooseServer, ServersThatCannotServeAreNeverChosen)
{
    model_candidate leaving;
    leaving.excluded = true;
    model_candidate empty;
    empty.modelLoaded = false;
    EXPECT_FALSE(chooseModelServer({leaving, empty}, shortResponse));
    plain_candidate out;
    out.excluded = true;
    EXPECT_FALSE(choosePlainServer({out}));
}

TEST(ChooseServer, PlainRequestsStayInTheirFailureDomainUntilItsServerIsLoaded)
{
    plain_candidate near;
    near.sameDomain = true;
    near.slots = 6;
    plain_candidate far;
    far.slots = 6;
    near.inFlight = 2;
    EXPECT_EQ(choosePlainServer({far, near}), 1U);
    near.inFlight = 3;
    EXPECT_EQ(choosePlainServer({far, near}), 0U);
}

// Many servers fail at the same time. The retry budget holds for all daemons together, however the requests
// are distributed among them.
RC_GTEST_PROP(ServiceRetryBudget, AllDaemonsTogetherStayWithinTheBudget, ())
{
    const retry_limits limits{0.2, 50, {10'000}};
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 10);
    std::vector<service_retry_budget> budgets(daemons);
    millis now = start;
    std::size_t requests = 0;
    std::size_t retries = 0;
    for (int i = 0; i < 400; ++i) {
        now = now + millis{*rc::gen::inRange(0, 20)};
        service_retry_budget &budget = budgets[*rc::gen::inRange<std::size_t>(0, daemons)];
        countRequest(budget, "service", limits, now);
        ++requests;
        for (int attempt = *rc::gen::inRange(0, 4); attempt > 0; --attempt) {
            retries += tryAcquireRetry(budget, "service", limits, daemons, now) ? 1 : 0;
        }
    }
    RC_ASSERT(static_cast<double>(retries) <= 0.2 * static_cast<double>(requests) + 50);
}

// If a server dies in the middle of an event and another one resumes the stream, the caller must not receive
// a partial event or the same event twice.
TEST(EventStream, ReturnsOnlyCompleteEvents)
{
    event_stream stream;
    EXPECT_EQ(extractEvents(stream, "id: 1\ndata: x\n\nid: 2\nda"), "id: 1\ndata: x\n\n");
    EXPECT_EQ(stream.lastId, "1");
    EXPECT_EQ(extractEvents(stream, "ta: y\n\n"), "id: 2\ndata: y\n\n");
    EXPECT_EQ(stream.lastId, "2");
    EXPECT_TRUE(stream.partial.empty());
}

RC_GTEST_PROP(EventStream, EventsDoNotDependOnHowTheBytesAreSplit, ())
{
    std::string text;
    const int events = *rc::gen::inRange(1, 6);
    for (int i = 1; i <= events; ++i) {
        const std::string end = *rc::gen::arbitrary<bool>() ? "\r\n" : "\n";
        text.append("id:").append(std::to_string(i)).append(end).append("data: z").append(end).append(end);
    }
    event_stream stream;
    std::string received;
    for (std::size_t at = 0; at < text.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        received += extractEvents(stream, std::string_view(text).substr(at, size));
        at += size;
    }
    RC_ASSERT(received == text);
    RC_ASSERT(stream.lastId == std::to_string(events));
}

TEST(Routes, RouteWithTheLongestMatchingPrefixOfTheHostIsChosen)
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

TEST(Routes, TrafficSplitFollowsTheWeightsAndIsStableForARequest)
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
