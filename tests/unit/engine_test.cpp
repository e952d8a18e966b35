#include "standins/engine_standin.h"
#include "standins/run_until.h"
#include "transport/engine_client.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {
namespace {

using nlohmann::json;

constexpr millis longTimeout{20'000};
constexpr std::size_t bodyLimitBytes = 65'536;
const adapter_ref syllabus{"syllabus", 3};
const adapter_ref galley{"galley", 1};

/// What the callbacks of one run received.
struct run_view
{
    std::vector<std::string> started;
    std::string text;
    std::vector<engine_run_end> ends;
    http_client::call_id call = 0;
};
using run_view_ptr = std::shared_ptr<run_view>;

class engine_test : public testing::Test
{
protected:
    loop m_loop;
    http_client m_http{m_loop};
    std::unique_ptr<engine_standin> m_engine;
    std::unique_ptr<engine_client> m_client;
    std::uint64_t m_sequence = 0;

    void SetUp() override
    {
        startEngine({});
    }

    void startEngine(engine_options options)
    {
        options.batch.stepMs = 1;
        error why;
        m_engine = std::make_unique<engine_standin>(m_loop, std::move(options));
        ASSERT_TRUE(m_engine->listen(0, why)) << message(why);
        m_client = std::make_unique<engine_client>(m_http, m_engine->url());
    }

    engine_order_end wait(const std::function<void(engine_client::on_order)> &send)
    {
        std::optional<engine_order_end> result;
        send([&](const engine_order_end &end) {
            result = end;
        });
        EXPECT_TRUE(runUntil(m_loop, [&] {
            return result.has_value();
        }));
        return result.value_or(engine_order_end{});
    }
    engine_order_end claim(std::uint64_t fencingToken)
    {
        return wait([&](auto done) {
            m_client->claim(fencingToken, "entry-1", longTimeout, done);
        });
    }
    engine_order_end load(const adapter_ref &adapter, std::uint64_t fencingToken)
    {
        return wait([&](auto done) {
            m_client->load(adapter, fencingToken, longTimeout, done);
        });
    }
    engine_order_end unload(const adapter_ref &adapter, std::uint64_t fencingToken)
    {
        return wait([&](auto done) {
            m_client->unload(adapter, fencingToken, longTimeout, done);
        });
    }

    engine_run makeRun(const adapter_ref &adapter, std::uint64_t fencingToken)
    {
        engine_run run;
        run.path = "/v1/completions";
        run.body = json{{"model", toString(adapter)}, {"stream", true}, {"prompt", "week 1"},
            {"max_tokens",
                5}}.dump();
        run.id = {"entry-1", 7, ++m_sequence};
        run.fencingToken = fencingToken;
        run.deadline = longTimeout;
        return run;
    }
    run_view_ptr start(const engine_run &run)
    {
        auto view = std::make_shared<run_view>();
        view->call = m_client->run(
            run,
            [view](std::string_view adapter) {
                view->started.emplace_back(adapter);
            },
            [view](std::string_view bytes) {
                view->text += bytes;
            },
            [view](const engine_run_end &end) {
                view->ends.push_back(end);
            });
        return view;
    }
    run_view_ptr finish(const engine_run &run)
    {
        run_view_ptr view = start(run);
        EXPECT_TRUE(runUntil(m_loop, [&] {
            return !view->ends.empty();
        }));
        return view;
    }
    engine_run_end endOf(const engine_run &run)
    {
        const run_view_ptr view = finish(run);
        return view->ends.empty() ? engine_run_end{} : view->ends.front();
    }

    /// Makes a call, after which the client keeps an idle connection to the engine.
    void leaveKeptConnection()
    {
        bool answered = false;
        m_client->state(longTimeout, [&](const std::optional<engine_state> &state, const error &) {
            answered = state.has_value();
        });
        ASSERT_TRUE(runUntil(m_loop, [&] {
            return answered;
        }));
    }
    /// Connects the client to a server that responds to every request in the given way.
    std::unique_ptr<http_server> serveAll(const std::function<void(http_reply &)> &respond)
    {
        error why;
        auto server = http_server::listen(
            m_loop, "127.0.0.1", 0, bodyLimitBytes,
            [respond](const http_request &, const std::shared_ptr<http_reply> &reply) {
                respond(*reply);
            },
            why);
        EXPECT_NE(server, nullptr) << message(why);
        m_client =
            std::make_unique<engine_client>(m_http, "http://127.0.0.1:" + std::to_string(server->port()));
        return server;
    }
};

TEST_F(engine_test, StreamsCompletionsAndChatCompletionsToTheEnd)
{
    ASSERT_TRUE(load(syllabus, 1).ok);
    for (const bool chat : {false, true}) {
        engine_run run = makeRun(syllabus, 1);
        const json messages = json::array({{{"role", "user"}, {"content", "week 1"}}});
        if (chat) {
            run.path = "/v1/chat/completions";
            run.body = json{{"model", "syllabus:3"}, {"messages", messages}}.dump();
        }
        const run_view_ptr view = finish(run);
        ASSERT_EQ(view->ends.size(), 1U);
        EXPECT_EQ(view->ends[0].result, outcome::Done) << message(view->ends[0].why);
        EXPECT_EQ(view->started, std::vector<std::string>{"syllabus:3"});
        const std::string mark =
            "[syllabus:3 " + toString(run.id) + ' ' + standinPromptHash(json::parse(run.body)) + ']';
        EXPECT_NE(view->text.find(mark), std::string::npos) << view->text;
        EXPECT_TRUE(view->text.ends_with("data: [DONE]\n\n"));
    }
    EXPECT_EQ(m_engine->recorded("run").size(), 2U);
}

TEST_F(engine_test, SendsNonIdempotencyPriorityAndFencingToken)
{
    ASSERT_TRUE(load(syllabus, 1).ok);
    engine_run run = makeRun(syllabus, 1);
    run.idempotent = false;
    run.rank = priority::Low;
    ASSERT_EQ(endOf(run).result, outcome::Done);
    const json ran = m_engine->recorded("run").at(0);
    EXPECT_TRUE(ran["non_idempotent"].get<bool>());
    EXPECT_EQ(ran["priority"], static_cast<int>(priority::Low));
    EXPECT_EQ(ran["fencing"], 1);
}

TEST_F(engine_test, RefusedRunsAreNotRun)
{
    // A caller may send a request that was not run again. So each of the engine's refusals must end as
    // NotRun, and the engine must not have begun a run.
    ASSERT_TRUE(load(syllabus, 5).ok);
    EXPECT_EQ(endOf(makeRun(galley, 5)).why.kind, error_kind::NoServer);
    EXPECT_EQ(endOf(makeRun(syllabus, 4)).why.kind, error_kind::StaleFencing);
    m_engine->setFaults({{"refuse_runs", true}});
    const engine_run_end busy = endOf(makeRun(syllabus, 5));
    EXPECT_EQ(busy.why.kind, error_kind::Overloaded);
    EXPECT_EQ(busy.retryAfter, millis{500});
    m_engine->setFaults({{"leaving", true}});
    EXPECT_EQ(endOf(makeRun(syllabus, 5)).why.kind, error_kind::NotReady);
    engine_run malformed = makeRun(syllabus, 5);
    malformed.body = "{";
    EXPECT_EQ(endOf(malformed).why.kind, error_kind::BadRequest);

    EXPECT_EQ(m_engine->recorded("refused").size(), 5U);
    EXPECT_TRUE(m_engine->recorded("run").empty());
    for (const adapter_ref &adapter : {syllabus, galley}) {
        EXPECT_EQ(endOf(makeRun(adapter, 5)).result, outcome::NotRun);
    }
}

TEST_F(engine_test, RunsAndOrdersToAnUnreachableEngineAreCertainlyNotExecuted)
{
    m_engine.reset();
    const engine_run_end end = endOf(makeRun(syllabus, 1));
    EXPECT_EQ(end.result, outcome::NotRun);
    EXPECT_EQ(end.why.kind, error_kind::ConnectionLost);
    const engine_order_end order = load(syllabus, 1);
    EXPECT_FALSE(order.ok);
    EXPECT_TRUE(order.certain);
}

TEST_F(engine_test, ABrokenStreamEndsAsUnknown)
{
    // The stream breaks off in the middle or before its first byte. The engine did run the request, so if it
    // were reported as not run, the caller would send it again and it would run twice.
    ASSERT_TRUE(load(syllabus, 1).ok);
    for (const int tokens : {0, 3}) {
        m_engine->setFaults({{"drop_after_tokens", tokens}});
        const run_view_ptr view = finish(makeRun(syllabus, 1));
        ASSERT_EQ(view->ends.size(), 1U);
        EXPECT_EQ(view->ends[0].result, outcome::Unknown) << tokens;
        EXPECT_EQ(view->ends[0].why.kind, error_kind::ConnectionLost) << tokens;
    }
    EXPECT_EQ(m_engine->recorded("run").size(), 2U);
}

TEST_F(engine_test, AStreamWithoutEndMarkOrWithAnErrorEndsAsUnknown)
{
    // The engine fails in the middle of a response and closes the stream normally, or sends its error as
    // another event. To the transport both look complete, and the caller would get a truncated text as a
    // success.
    const std::vector<std::string> streams{"", "data: {\"id\":1}\n\n", "data: [DONE]", "data: [DONE]x\n\n",
        "data: {\"id\":1,\"text\":\"data: [DONE]\"}\n\n",
        "data: {\"error\":{\"code\":500}}\n\ndata: [DONE]\n\n"};
    for (const std::string &stream : streams) {
        const auto server = serveAll([&](http_reply &reply) {
            reply.begin(200, {{"X-Adapter", "syllabus:3"}});
            reply.write(stream);
            reply.end();
        });
        EXPECT_EQ(endOf(makeRun(syllabus, 1)).result, outcome::Unknown) << stream;
    }
    const auto server = serveAll([&](http_reply &reply) {
        reply.respond(200, {}, "data: {\"id\":1}\r\n\r\ndata: [DONE]\r\n\r\n");
    });
    EXPECT_EQ(endOf(makeRun(syllabus, 1)).result, outcome::Done);
}

TEST_F(engine_test, ErrorsWithoutAnEngineCodeEndAsUnknown)
{
    // A gateway in front of the engine responds in its place. Its status does not show whether the run had
    // begun.
    const std::vector<std::pair<int, std::string>> answers{{500, "oops"}, {503, ""}, {502, "<html>"},
        {409, R"({"error":{"code":"other"}})"}, {404, R"({"error":"not_resident"})"},
        {500, R"({"error":{"code":"busy"}})"}, {204, ""}};
    for (const auto &[status, body] : answers) {
        const auto server = serveAll([&, status = status, body = body](http_reply &reply) {
            reply.respond(status, {}, body);
        });
        EXPECT_EQ(endOf(makeRun(syllabus, 1)).result, outcome::Unknown) << status << body;
        const engine_order_end order = load(syllabus, 1);
        EXPECT_FALSE(order.ok) << status;
        EXPECT_FALSE(order.certain) << status;
    }
}

TEST_F(engine_test, ARunOnAHungEngineEndsAsUnknownAtItsDeadline)
{
    // The engine reads the request and hangs; when it resumes, it still runs the request. Until then nobody
    // can know, so the run ends as Unknown at its deadline.
    ASSERT_TRUE(load(syllabus, 1).ok);
    m_engine->setFaults({{"hang", true}});
    engine_run run = makeRun(syllabus, 1);
    run.deadline = millis{50};
    const engine_run_end end = endOf(run);
    EXPECT_EQ(end.result, outcome::Unknown);
    EXPECT_EQ(end.why.kind, error_kind::Timeout);
}

TEST_F(engine_test, TheEngineGetsAnEarlierDeadlineThanTheCall)
{
    // A request waits in the engine's queue until its deadline and is refused there. If that refusal came
    // after the client had abandoned the call, a request that never ran would be reported as unknown.
    std::string deadlineHeader;
    error why;
    const auto server = http_server::listen(
        m_loop, "127.0.0.1", 0, bodyLimitBytes,
        [&](const http_request &received, const std::shared_ptr<http_reply> &reply) {
            deadlineHeader = received.headers.at("x-deadline-ms");
            reply->respond(500, {}, "");
        },
        why);
    ASSERT_NE(server, nullptr) << message(why);
    m_client = std::make_unique<engine_client>(m_http, "http://127.0.0.1:" + std::to_string(server->port()));
    for (const auto &[deadline, expected] : {std::pair{millis{30'000}, "29500"}, {millis{800}, "700"}}) {
        engine_run run = makeRun(syllabus, 1);
        run.deadline = deadline;
        EXPECT_EQ(endOf(run).result, outcome::Unknown);
        EXPECT_EQ(deadlineHeader, expected);
    }
}

TEST_F(engine_test, ARunIsNotResentAfterItsConnectionCloses)
{
    // The engine reads a run on a kept connection and closes it before the first byte of a response. libcurl
    // would silently resend the run on a new connection, and it would run twice.
    ASSERT_TRUE(load(syllabus, 1).ok);
    leaveKeptConnection();
    m_engine->setFaults({{"drop_after_tokens", 0}});
    EXPECT_EQ(endOf(makeRun(syllabus, 1)).result, outcome::Unknown);
    EXPECT_EQ(m_engine->recorded("run").size(), 1U);
    EXPECT_TRUE(m_engine->recorded("violation").empty());
}

TEST_F(engine_test, AnOrderIsNotResentAfterItsConnectionCloses)
{
    // The same for an order: the fence resets its socket at the end of the lease, and if libcurl resent it on
    // a new connection, the old owner's unload would reach the engine after another daemon has taken over the
    // lease.
    ASSERT_TRUE(load(syllabus, 1).ok);
    leaveKeptConnection();
    m_engine->setFaults({{"lose_answers", 1}});
    const engine_order_end end = unload(syllabus, 1);
    EXPECT_FALSE(end.ok);
    EXPECT_FALSE(end.certain);
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return m_engine->recorded("unload").size() == 1;
    }));
    leaveKeptConnection();
    EXPECT_EQ(m_engine->recorded("unload").size(), 1U);
}

TEST_F(engine_test, AStaleOrderIsRefusedByAnEngineThatChecksFencing)
{
    // A daemon resumes from a pause after another one has taken over the engine, and unloads an adapter on
    // which the new owner relies for a caller's request.
    ASSERT_TRUE(load(syllabus, 5).ok);
    ASSERT_TRUE(claim(6).ok);
    const engine_order_end end = unload(syllabus, 5);
    EXPECT_FALSE(end.ok);
    EXPECT_TRUE(end.certain);
    EXPECT_EQ(end.why.kind, error_kind::StaleFencing);
    EXPECT_EQ(end.fencingToken, 6U);
    EXPECT_EQ(m_engine->state()["resident"], json::array({"syllabus:3"}));
}

TEST_F(engine_test, AStaleOrderIsExecutedByAnEngineThatIgnoresFencing)
{
    startEngine({.checksFencing = false});
    ASSERT_TRUE(load(syllabus, 5).ok);
    ASSERT_TRUE(claim(6).ok);
    EXPECT_EQ(endOf(makeRun(syllabus, 5)).result, outcome::Done);
    EXPECT_TRUE(unload(syllabus, 5).ok);
    const auto violations = m_engine->recorded("violation");
    ASSERT_EQ(violations.size(), 2U);
    EXPECT_EQ(violations[0]["what"], "stale_run_taken");
    EXPECT_EQ(violations[1]["what"], "stale_taken");
}

TEST_F(engine_test, RepeatedLoadsAndUnloadsSucceedAndFailuresAreCertain)
{
    startEngine({.slots = 1});
    EXPECT_TRUE(load(syllabus, 1).ok);
    EXPECT_TRUE(load(syllabus, 1).ok);
    EXPECT_EQ(m_engine->recorded("load").size(), 1U);
    const engine_order_end full = load(galley, 1);
    EXPECT_EQ(full.why.kind, error_kind::Overloaded);
    EXPECT_TRUE(full.certain);
    EXPECT_TRUE(unload(syllabus, 1).ok);
    EXPECT_TRUE(unload(syllabus, 1).ok);
    m_engine->setFaults({{"fail_loads", 1}});
    const engine_order_end failed = load(galley, 1);
    EXPECT_EQ(failed.why.kind, error_kind::LoadFailed);
    EXPECT_TRUE(failed.certain);
    EXPECT_TRUE(load(galley, 1).ok);
}

TEST_F(engine_test, CancelWithdrawsAQueuedRunFromTheEngine)
{
    ASSERT_TRUE(load(syllabus, 1).ok);
    m_engine->setFaults({{"paused", true}});
    const engine_run run = makeRun(syllabus, 1);
    const run_view_ptr view = start(run);
    const auto queued = [&] {
        return m_engine->summary()["queued"].get<int>();
    };
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return queued() == 1;
    }));
    m_client->cancel(view->call, run.id);
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return queued() == 0;
    }));
    EXPECT_EQ(m_engine->recorded("withdrawn").at(0)["how"], "cancelled");
    EXPECT_TRUE(view->ends.empty());
}

TEST_F(engine_test, ReadsStateReportAndCacheEvents)
{
    startEngine({.reportLag = {}, .eventLag = {}, .eventGap = 2});
    ASSERT_TRUE(load(syllabus, 9).ok);
    ASSERT_TRUE(load(galley, 9).ok);
    const engine_run run = makeRun(syllabus, 9);
    ASSERT_EQ(endOf(run).result, outcome::Done);
    ASSERT_EQ(endOf(makeRun(galley, 9)).result, outcome::Done);

    std::optional<engine_state> state;
    std::optional<engine_report> report;
    std::optional<engine_cache_events> events;
    m_client->state(longTimeout, [&](const std::optional<engine_state> &result, const error &) {
        state = result;
    });
    m_client->report(longTimeout, [&](const std::optional<engine_report> &result, const error &) {
        report = result;
    });
    m_client->cacheEvents(
        0, longTimeout, [&](const std::optional<engine_cache_events> &result, const error &) {
            events = result;
        });
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return state && report && events;
    }));
    EXPECT_EQ(state->resident, (std::vector{galley, syllabus}));
    EXPECT_EQ(state->role, "serving");
    EXPECT_EQ(state->fencingToken, 9U);
    EXPECT_TRUE(state->checksFencing);
    EXPECT_EQ(report->fencingToken, 9U);
    EXPECT_EQ(report->running, 0U);
    // The stand-in drops the second event; `next` shows the gap.
    EXPECT_EQ(events->next, 3U);
    ASSERT_EQ(events->events.size(), 1U);
    EXPECT_EQ(events->events[0].adapter, syllabus);
    EXPECT_EQ(events->events[0].prefix, standinPrefix(json::parse(run.body)));
    EXPECT_TRUE(events->events[0].stored);
}

TEST_F(engine_test, MalformedStatesAreErrorsOrReadAsEmpty)
{
    for (const std::string body : {"", "[]", "{", R"({"resident":[1,":2","a"],"fencing":-1,"slots":"x"})"}) {
        const auto server = serveAll([&](http_reply &reply) {
            reply.respond(200, {}, body);
        });
        bool answered = false;
        m_client->state(longTimeout, [&](const std::optional<engine_state> &state, const error &why) {
            answered = true;
            EXPECT_EQ(state.has_value(), why.kind == error_kind::None);
            EXPECT_TRUE(!state || state->resident.empty());
        });
        EXPECT_TRUE(runUntil(m_loop, [&] {
            return answered;
        }));
    }
}

TEST(adapter_ref_test, ParsesItsOwnTextAndRejectsMalformedText)
{
    EXPECT_EQ(parseAdapterRef(toString(syllabus)), syllabus);
    EXPECT_EQ(parseAdapterRef("a:b:7"), (adapter_ref{"a:b", 7}));
    for (const std::string_view malformed : {"", ":", "a", "a:", ":1", "a:-1", "a:1x", "a:99999999999"}) {
        EXPECT_EQ(parseAdapterRef(malformed), std::nullopt) << malformed;
    }
}

}
}
