#include "coordination/events.h"
#include "coordination/owner_task.h"
#include "coordination/request_attributes.h"
#include "standins/engine_standin.h"
#include "standins/run_until.h"
#include "transport/http_client.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace briarhead {
namespace {

constexpr std::uint64_t ownNumber = 5;
/// What happens while a request or an order is on its way has happened by then. Where it hasn't, a test may
/// miss a fault; it never finds one that isn't there.
constexpr millis settle{300};
constexpr millis settlePastPoll{1'300};
constexpr millis farAhead{3'600'000};
const std::string entry = "entry-2";
const std::string unloadPath = "/v1/unload_lora_adapter";

std::string fingerprintNumber(std::uint64_t sequence)
{
    const std::string number = std::to_string(sequence);
    return std::string(attributeDigits - number.size(), '0') + number;
}

/// Of a daemon without others and without a store.
crash_callbacks aloneLinks()
{
    crash_callbacks links;
    links.self = "entry-1";
    links.daemons = [] {
        return std::vector<std::string>{"entry-1"};
    };
    links.send = [](const std::string &, const ranked_crash_report &) {};
    links.storedRecord = [](const std::string &) {
        return crash_record{};
    };
    links.recordCount = [] {
        return std::size_t{0};
    };
    links.storeRecord = [](const std::string &, const crash_record &, const std::function<void(bool)> &) {};
    links.removeRecord = [](const std::string &) {};
    links.log = [](const crash_log_entry &) {};
    return links;
}

/// The owner task alone, against one engine, with the rest of the daemon played by the test. An engine's
/// faults can so be set between two orders, which is a matter of luck against a real process.
class owner_guard_test : public testing::Test
{
protected:
    loop m_loop;
    bus m_bus{m_loop};
    http_client m_runs{m_loop};
    http_client m_guarded{m_loop};
    crash_task m_crashes{m_loop, m_bus, aloneLinks()};
    std::unique_ptr<engine_standin> m_engine;
    std::unique_ptr<owner_task> m_owner;
    live_instance m_where;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, run_end> m_ends; ///< by the request's sequence number
    std::map<std::uint64_t, std::string> m_started; ///< adapter, by the request's sequence number
    std::vector<engine_restarted> m_restarts;
    std::vector<server_released> m_releases;

    void startEngine(bool checksFencing, std::uint32_t slots = 1)
    {
        engine_options options;
        options.name = "e1";
        options.slots = slots;
        options.batch.stepMs = 5;
        options.checksFencing = checksFencing;
        error why;
        m_engine = std::make_unique<engine_standin>(m_loop, options);
        ASSERT_TRUE(m_engine->listen(0, why)) << message(why);
        m_where = {
            "e1", instance_kind::Engine, "r", "zg-dubrava", "127.0.0.1", m_engine->port(), 0, "base", false};
        m_bus.on<send_to>([this](const send_to &sent) {
            onSent(sent);
        });
        m_bus.on<engine_restarted>([this](const engine_restarted &news) {
            m_restarts.push_back(news);
        });
        m_bus.on<server_released>([this](const server_released &answer) {
            m_releases.push_back(answer);
        });
        m_owner = std::make_unique<owner_task>(
            m_bus, m_loop, m_runs, m_guarded, m_crashes, owner_task::options{"entry-1", "rendezvous_lru"});
        m_bus.post(lease_confirmed{bootNow() + farAhead});
        live_view view;
        view.instances["e1"] = m_where;
        m_bus.post(live_list_changed{view});
    }

    void gain(bool checksFencing, millis earliestRunAt = {}, millis earliestEvictAt = {},
        std::vector<adapter_ref> pinned = {})
    {
        m_bus.post(server_gained{
            m_where, ownNumber, checksFencing, earliestRunAt, earliestEvictAt, std::move(pinned)});
        settleFor(settle);
    }

    void onSent(const send_to &sent)
    {
        if (const auto *ask = std::get_if<load_request>(&sent.body)) {
            m_bus.post(received<load_grant>{"entry-1", 1, load_grant{ask->ticket}});
        } else if (const auto *began = std::get_if<run_started>(&sent.body)) {
            m_started[began->id.sequence] = began->adapter;
        } else if (const auto *ended = std::get_if<run_end>(&sent.body)) {
            m_ends[ended->id.sequence] = *ended;
        }
    }

    std::uint64_t ask(const std::string &adapter, int tokens, std::int64_t deadlineMs = 20'000)
    {
        run_request request;
        request.id = {entry, 1, ++m_sequence};
        request.server = "e1";
        request.adapter = {adapter, 1};
        request.caller = "tester";
        request.deadlineMs = deadlineMs;
        request.attributes = {{fingerprintNumber(m_sequence), contentRank}};
        request.path = "/v1/completions";
        request.body = nlohmann::json{{"model", adapter + ":1"}, {"stream", true}, {"prompt", "x"},
            {"max_tokens",
                tokens}}.dump();
        m_bus.post(received<run_request>{entry, 1, request});
        return m_sequence;
    }

    bool ended(std::uint64_t sequence)
    {
        return runUntil(m_loop, [&] {
            return m_ends.count(sequence) != 0;
        });
    }
    bool started(std::uint64_t sequence)
    {
        return runUntil(m_loop, [&] {
            return m_started.count(sequence) != 0;
        });
    }
    bool held(std::size_t count)
    {
        return runUntil(m_loop, [&] {
            return m_engine->held() == count;
        });
    }
    void settleFor(millis time)
    {
        const auto end = m_loop.timer(time, {}, [this] {
            m_loop.stop();
        });
        m_loop.run();
    }
    std::size_t violations(const std::string &what) const
    {
        std::size_t count = 0;
        for (const auto &seen : m_engine->recorded("violation")) {
            count += seen.value("what", "") == what ? 1 : 0;
        }
        return count;
    }
};

}

// A long stream runs on the only slot, and a request for another adapter comes. Without the in-flight count
// the adapter would be unloaded under the stream, which breaks off; the newcomer has to wait for it.
TEST_F(owner_guard_test, AnAdapterInUseIsNeverUnloaded)
{
    startEngine(true);
    gain(true);
    const auto stream = ask("a0", 300);
    ASSERT_TRUE(started(stream));
    const auto newcomer = ask("a1", 2);
    ASSERT_TRUE(ended(stream));
    ASSERT_TRUE(ended(newcomer));
    EXPECT_EQ(m_ends[stream].result, outcome::Done);
    EXPECT_EQ(m_ends[newcomer].result, outcome::Done);
    EXPECT_EQ(violations("unload_while_serving"), 0U);
}

// A request waits for a place while, on other engines, the third one ends under its like. It is refused at
// once and truthfully, though its entry had not heard of it.
TEST_F(owner_guard_test, AWaitingRequestIsNotHandedOverOnceEnginesAreKnownToHaveEndedUnderIt)
{
    startEngine(true);
    gain(true);
    const auto stream = ask("a0", 300);
    ASSERT_TRUE(started(stream));
    const auto waits = ask("a1", 2);
    settleFor(settle);
    m_crashes.onReport({{fingerprintNumber(waits), {"e2@1", "e3@1", "e4@1"}}, contentRank});
    ASSERT_TRUE(ended(waits));
    EXPECT_EQ(m_ends.count(stream), 0U) << "not held until the place is free";
    EXPECT_EQ(m_ends[waits].result, outcome::NotRun);
    EXPECT_EQ(m_ends[waits].why, error_kind::CrashesServers);
    EXPECT_GT(m_ends[waits].retryAfterMs, 0);
    ASSERT_TRUE(ended(stream));
    EXPECT_EQ(m_engine->recorded("run").size(), 1U);
}

// The live list says that a server is leaving, or the engine says so first. A stream in progress goes on to
// its end; a request that comes now, from an entry that has not heard of it, is not run there.
TEST_F(owner_guard_test, ALeavingServerFinishesItsStreamsAndTakesNoNewWork)
{
    startEngine(true);
    gain(true);
    const auto stream = ask("a0", 300);
    ASSERT_TRUE(started(stream));
    live_view view;
    view.instances["e1"] = m_where;
    view.instances["e1"].leaving = true;
    m_bus.post(live_list_changed{view});
    const auto late = ask("a0", 2);
    ASSERT_TRUE(ended(late));
    EXPECT_EQ(m_ends[late].result, outcome::NotRun);
    EXPECT_EQ(m_ends[late].why, error_kind::NoServer);
    ASSERT_TRUE(ended(stream));
    EXPECT_EQ(m_ends[stream].result, outcome::Done);
    EXPECT_EQ(m_engine->recorded("run").size(), 1U);
}

// An engine says in an answer that it leaves. Its state, read every few seconds, tells that later: until then
// it got new requests.
TEST_F(owner_guard_test, AnEngineThatSaysItLeavesInAnAnswerTakesNoNewWork)
{
    startEngine(true);
    gain(true);
    ASSERT_TRUE(ended(ask("a0", 2)));
    m_engine->setFaults({{"words", {{"X-Leaving", "1"}}}});
    const auto stream = ask("a0", 300);
    ASSERT_TRUE(started(stream));
    const auto late = ask("a0", 2);
    ASSERT_TRUE(ended(late));
    EXPECT_EQ(m_ends[late].result, outcome::NotRun);
    EXPECT_EQ(m_ends[late].why, error_kind::NoServer);
    ASSERT_TRUE(ended(stream));
    EXPECT_EQ(m_ends[stream].result, outcome::Done);
    EXPECT_EQ(m_engine->recorded("run").size(), 2U);
    m_engine->setFaults({{"words", nlohmann::json::object()}, {"reset", true}});
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return !m_restarts.empty();
    }));
    gain(true);
    const auto again = ask("a0", 2);
    ASSERT_TRUE(ended(again));
    EXPECT_EQ(m_ends[again].result, outcome::Done) << "its next start has not said so";
}

// An engine turns a run away and asks for a pause: what waited and what came next was sent there at once, as
// were questions for its state.
TEST_F(owner_guard_test, AnEngineThatAsksForAPauseIsSpared)
{
    startEngine(true);
    gain(true);
    ASSERT_TRUE(ended(ask("a0", 2)));
    m_engine->setFaults({{"refuse_runs", true}, {"pause", "1.5"}});
    const auto turnedAway = ask("a0", 2);
    ASSERT_TRUE(ended(turnedAway));
    const millis paused{m_engine->recorded("refused").back()["at_ms"].get<std::int64_t>()};
    const auto refusals = [this] {
        return m_engine->recorded("refused").size();
    };
    const std::size_t before = refusals();
    while (bootNow() - paused < millis{1'200}) {
        const auto next = ask("a0", 2);
        ASSERT_TRUE(ended(next));
        EXPECT_EQ(m_ends[next].result, outcome::NotRun);
        const std::int64_t left = 1'500 - (bootNow() - paused).count;
        EXPECT_GE(m_ends[next].retryAfterMs, left);
        EXPECT_LE(m_ends[next].retryAfterMs, 1'500 * 3 / 2) << "callers are not to come at the same moment";
        settleFor({20});
    }
    EXPECT_EQ(refusals(), before);
    m_engine->setFaults({{"refuse_runs", false}});
    settleFor({600});
    const auto again = ask("a0", 2);
    ASSERT_TRUE(ended(again));
    EXPECT_EQ(m_ends[again].result, outcome::Done) << "a pause ends by itself";
}

// An unload order is on its way, slow on its path, and a request comes for the very adapter. Started on it,
// the request would reach the engine first and its stream would be broken off by the unload.
TEST_F(owner_guard_test, NothingStartsOnAnAdapterWhoseUnloadIsOnItsWay)
{
    startEngine(true);
    gain(true);
    ASSERT_TRUE(ended(ask("a0", 2)));
    m_engine->setFaults({{"hold", unloadPath}});
    const auto newcomer = ask("a1", 2);
    ASSERT_TRUE(held(1));
    const auto late = ask("a0", 200);
    settleFor(settle);
    m_engine->setFaults({{"hold", ""}});
    ASSERT_TRUE(ended(newcomer));
    ASSERT_TRUE(ended(late));
    EXPECT_EQ(m_ends[late].result, outcome::Done);
    EXPECT_EQ(violations("unload_while_serving"), 0U);
}

// An unload gets no answer in time, while the order lies in a slow network. The engine's state still shows
// the adapter, so a request is run on it; then the order arrives and breaks the stream. The cause would be
// to take the missing answer for an order that is gone.
TEST_F(owner_guard_test, NothingStartsOnAnAdapterWhoseUnloadGotNoAnswer)
{
    startEngine(true);
    gain(true);
    ASSERT_TRUE(ended(ask("a0", 2)));
    m_engine->setFaults({{"hold", unloadPath}});
    const auto newcomer = ask("a1", 2, 3'000);
    ASSERT_TRUE(held(1));
    ASSERT_TRUE(ended(newcomer));
    settleFor(settlePastPoll);
    const auto late = ask("a0", 400);
    settleFor(settle);
    m_engine->setFaults({{"hold", ""}});
    ASSERT_TRUE(ended(late));
    EXPECT_EQ(violations("unload_while_serving"), 0U);
}

// An owner hands a server over while an unload of its own is on its way, on an engine that ignores fencing
// numbers. Its word that the release is in order lets the next owner run requests at once, and the unload
// would break one of them. The release has to wait for the order's answer.
TEST_F(owner_guard_test, AReleaseWaitsForAnUnloadOnItsWay)
{
    startEngine(false);
    gain(false);
    ASSERT_TRUE(ended(ask("a0", 2)));
    m_engine->setFaults({{"hold", unloadPath}});
    ask("a1", 2);
    ASSERT_TRUE(held(1));
    m_bus.post(release_server{"e1"});
    settleFor(settle);
    EXPECT_TRUE(m_releases.empty());
    m_engine->setFaults({{"hold", ""}});
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return m_releases.size() == 1;
    }));
}

// A caller goes away and its run is cancelled, but the engine is slow to take the cancel and goes on. The
// slot looks free; were its place given back at once, the adapter would be unloaded under the run.
TEST_F(owner_guard_test, ACancelledRunKeepsItsPlaceUntilTheEngineConfirms)
{
    startEngine(true);
    gain(true);
    const auto cancelled = ask("a0", 2'000);
    ASSERT_TRUE(started(cancelled));
    m_engine->setFaults({{"hold", "/v1/cancel"}, {"keep_runs", true}});
    m_bus.post(received<run_cancel>{entry, 1, run_cancel{{entry, 1, cancelled}}});
    ASSERT_TRUE(held(1));
    const auto newcomer = ask("a1", 2);
    settleFor(settle);
    EXPECT_TRUE(m_engine->recorded("unload").empty());
    m_engine->setFaults({{"hold", ""}, {"keep_runs", false}});
    ASSERT_TRUE(ended(newcomer));
    EXPECT_EQ(m_ends[newcomer].result, outcome::Done);
    EXPECT_EQ(violations("unload_while_serving"), 0U);
}

// An engine answers from another version than it was asked for. The owner must not say to the entry that the
// run began, nor pass a byte on: it ends the run as unknown, since something did run.
TEST_F(owner_guard_test, AnAnswerFromAnotherVersionIsNotPassedOn)
{
    startEngine(true);
    gain(true);
    m_engine->setFaults({{"run_as", "a0:2"}});
    const auto wrong = ask("a0", 4);
    ASSERT_TRUE(ended(wrong));
    EXPECT_EQ(m_ends[wrong].result, outcome::Unknown);
    EXPECT_EQ(m_started.count(wrong), 0U);
}

// An engine restarts cold and has forgotten its fencing number, so an order of an older owner would count
// again. Until the own number stands there anew, nothing may be loaded or run on it.
TEST_F(owner_guard_test, NothingRunsOnARestartedEngineBeforeItIsClaimedAnew)
{
    startEngine(true);
    gain(true);
    ASSERT_TRUE(ended(ask("a0", 2)));
    m_engine->setFaults({{"reset", true}});
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return m_restarts.size() == 1;
    }));
    const auto early = ask("a0", 2);
    ASSERT_TRUE(ended(early));
    EXPECT_EQ(m_ends[early].result, outcome::NotRun);
    EXPECT_GT(m_ends[early].retryAfterMs, 0);
    gain(true);
    const auto later = ask("a0", 2);
    ASSERT_TRUE(ended(later));
    EXPECT_EQ(m_ends[later].result, outcome::Done);
}

// A server was taken over from an owner that may be paused, on an engine that ignores fencing numbers. Its
// last unload may still arrive, so nothing is run before `earliestRunAt`; the caller hears when to come back.
TEST_F(owner_guard_test, NothingRunsBeforeAnOldOwnersUnloadCanNoLongerArrive)
{
    startEngine(false);
    gain(false, bootNow() + farAhead, bootNow() + farAhead);
    const auto early = ask("a0", 2);
    ASSERT_TRUE(ended(early));
    EXPECT_EQ(m_ends[early].result, outcome::NotRun);
    EXPECT_GT(m_ends[early].retryAfterMs, 1'000);
    EXPECT_TRUE(m_engine->recorded("run").empty());
}

// The same, later: the old owner may still have streams on the engine, whose adapters a new owner can't tell.
// It loads into free slots only until `earliestEvictAt`; a request that finds none free hears so.
TEST_F(owner_guard_test, NothingIsEvictedWhileAnOldTenureMayHaveStreams)
{
    startEngine(false);
    gain(false, {}, bootNow() + farAhead);
    ASSERT_TRUE(ended(ask("a0", 2)));
    const auto newcomer = ask("a1", 2, 2'000);
    ASSERT_TRUE(ended(newcomer));
    EXPECT_EQ(m_ends[newcomer].result, outcome::NotRun);
    EXPECT_TRUE(m_engine->recorded("unload").empty());
    m_bus.post(predecessor_exited{"e1", bootNow()});
    const auto later = ask("a1", 2);
    ASSERT_TRUE(ended(later));
    EXPECT_EQ(m_ends[later].result, outcome::Done);
}

// A server was taken over on an engine that ignores fencing numbers, and its slots are full: nothing can be
// evicted for half an hour. A user of another adapter was kept waiting for 30 s, until his time was over; he
// hears at once that his request was not run, and when to come back.
TEST_F(owner_guard_test, ARequestThatNoSlotCanComeFreeForIsRefusedAtOnce)
{
    startEngine(false);
    gain(false, {}, bootNow() + farAhead);
    ASSERT_TRUE(ended(ask("a0", 2)));
    const millis asked = bootNow();
    constexpr int deadlineMs = 60'000;
    const auto newcomer = ask("a1", 2, deadlineMs);
    ASSERT_TRUE(ended(newcomer));
    EXPECT_LT((bootNow() - asked).count, deadlineMs / 4);
    EXPECT_EQ(m_ends[newcomer].result, outcome::NotRun);
    EXPECT_GT(m_ends[newcomer].retryAfterMs, 0);
    EXPECT_LE(m_ends[newcomer].retryAfterMs, 1'000);
    EXPECT_TRUE(m_engine->recorded("unload").empty());
}

// On an engine that checks fencing numbers the old owner is refused, but its streams go on. The adapters that
// were on the engine stay until a report under the own number shows that nothing runs on them.
TEST_F(owner_guard_test, AnAdapterWithStreamsOfTheOldOwnerStays)
{
    startEngine(true);
    engine_client old(m_runs, m_engine->url());
    bool loaded = false;
    old.load({"a0", 1}, ownNumber - 1, testPatienceMs, [&](const engine_order_end &how) {
        loaded = how.ok;
    });
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return loaded;
    }));
    engine_run run;
    run.path = "/v1/completions";
    run.body = R"({"model":"a0:1","stream":true,"prompt":"x","max_tokens":400})";
    run.id = {"entry-3", 1, 1};
    run.fencingToken = ownNumber - 1;
    run.deadline = testPatienceMs;
    bool began = false;
    std::vector<outcome> oldEnds;
    old.run(
        run,
        [&](std::string_view) {
            began = true;
        },
        [](std::string_view) {},
        [&](const engine_run_end &how) {
            oldEnds.push_back(how.result);
        });
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return began;
    }));
    bool claimed = false;
    old.claim(ownNumber, "entry-1", testPatienceMs, [&](const engine_order_end &how) {
        claimed = how.ok;
    });
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return claimed;
    }));
    gain(true, {}, bootNow() + farAhead, {{"a0", 1}});
    const auto newcomer = ask("a1", 2);
    ASSERT_TRUE(ended(newcomer));
    EXPECT_EQ(m_ends[newcomer].result, outcome::Done);
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return oldEnds.size() == 1;
    }));
    EXPECT_EQ(oldEnds.front(), outcome::Done);
    EXPECT_EQ(violations("unload_while_serving"), 0U);
}

// A load fails while a request with a far deadline waits for it. It hears at once, with the time after which
// the next load is tried, and does not wait for its deadline.
TEST_F(owner_guard_test, AFailedLoadIsToldAtOnce)
{
    startEngine(true);
    gain(true);
    m_engine->setFaults({{"fail_loads", 1}});
    const auto waiting = ask("a0", 2, 600'000);
    ASSERT_TRUE(ended(waiting));
    EXPECT_EQ(m_ends[waiting].why, error_kind::LoadFailed);
    EXPECT_EQ(m_ends[waiting].result, outcome::NotRun);
    EXPECT_GT(m_ends[waiting].retryAfterMs, 0);
}

// A load hangs and a waiting request's deadline comes near. It hears before the deadline that it was not
// run, so that its caller can still do something else.
TEST_F(owner_guard_test, AWaitingRequestHearsBeforeItsDeadline)
{
    startEngine(true);
    gain(true);
    m_engine->setFaults({{"hold", "/v1/load_lora_adapter"}});
    const auto waiting = ask("a0", 2, 1'000);
    ASSERT_TRUE(ended(waiting));
    EXPECT_EQ(m_ends[waiting].result, outcome::NotRun);
    EXPECT_EQ(m_ends[waiting].why, error_kind::DeadlineTooShort);
    EXPECT_GT(m_ends[waiting].retryAfterMs, 0);
}

// The frame of a request is delivered twice. It runs once.
TEST_F(owner_guard_test, ARequestThatIsDeliveredTwiceRunsOnce)
{
    startEngine(true);
    gain(true);
    const auto once = ask("a0", 40);
    ASSERT_TRUE(started(once));
    --m_sequence;
    ASSERT_EQ(ask("a0", 40), once);
    ASSERT_TRUE(ended(once));
    settleFor(settle);
    EXPECT_EQ(m_engine->recorded("run").size(), 1U);
    EXPECT_EQ(violations("same_id_twice"), 0U);
}

}
