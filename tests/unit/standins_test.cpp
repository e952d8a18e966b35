#include "standins/engine_standin.h"
#include "standins/live_list_standin.h"
#include "standins/run_until.h"
#include "standins/service_standin.h"
#include "transport/http_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {
namespace {

using nlohmann::json;
using answer_ptr = std::shared_ptr<std::optional<http_result>>;

class standins_test : public testing::Test
{
protected:
    loop m_loop;
    http_client m_http{m_loop};

    void listen(standin_server &server)
    {
        error why;
        ASSERT_TRUE(server.listen(0, why)) << message(why);
    }
    answer_ptr send(const standin_server &to, const std::string &path, const std::string &body,
        std::vector<std::string> headers = {})
    {
        http_call call;
        call.method = body.empty() ? "GET" : "POST";
        call.url = to.url() + path;
        call.body = body;
        call.headers = std::move(headers);
        call.timeout = testPatienceMs;
        // On a kept connection libcurl would silently resend what a stand-in broke off.
        call.freshConnection = true;
        auto answer = std::make_shared<std::optional<http_result>>();
        m_http.start(call, [answer](const http_result &result) {
            *answer = result;
        });
        return answer;
    }
    http_result get(const standin_server &from, const std::string &path, const std::string &body = "",
        std::vector<std::string> headers = {})
    {
        const answer_ptr answer = send(from, path, body, std::move(headers));
        EXPECT_TRUE(runUntil(m_loop, [&] {
            return answer->has_value();
        }));
        return answer->value_or(http_result{});
    }
    json getJson(const standin_server &from, const std::string &path, const std::string &body = "")
    {
        return json::parse(get(from, path, body).body, nullptr, false);
    }
    void load(const engine_standin &engine, const std::string &adapter)
    {
        ASSERT_EQ(get(engine, "/v1/load_lora_adapter", json{{"lora_name", adapter}}.dump()).status, 200);
    }
    answer_ptr run(const engine_standin &engine, const std::string &id, int rank = 2)
    {
        const json body{{"model", "a:1"}, {"prompt", id}, {"max_tokens", 4}};
        return send(engine, "/v1/completions", body.dump(),
            {"X-Request-Id: " + id, "X-Priority: " + std::to_string(rank)});
    }
    bool waitForRuns(const engine_standin &engine, std::size_t count)
    {
        return runUntil(m_loop, [&] {
            return engine.recorded("run").size() == count;
        });
    }
    bool waitForQueue(const engine_standin &engine, std::size_t count)
    {
        return runUntil(m_loop, [&] {
            return engine.summary()["queued"] == count;
        });
    }

    static engine_options quick()
    {
        engine_options options;
        options.batch.stepMs = 1;
        return options;
    }
};

TEST_F(standins_test, ABatchFillsToItsLimitInOrderOfPriority)
{
    engine_options options = quick();
    options.batch.limit = 2;
    engine_standin engine(m_loop, options);
    listen(engine);
    load(engine, "a:1");
    engine.setFaults({{"paused", true}});
    std::vector<answer_ptr> answers;
    for (const int rank : {3, 2, 1, 0}) {
        answers.push_back(run(engine, "r" + std::to_string(rank), rank));
        ASSERT_TRUE(waitForQueue(engine, answers.size()));
    }
    engine.setFaults({{"paused", false}});
    ASSERT_TRUE(waitForRuns(engine, 4));
    std::vector<std::string> order;
    for (const json &ran : engine.recorded("run")) {
        order.push_back(ran["request_id"]);
        EXPECT_EQ(ran["how"], "finished");
    }
    EXPECT_EQ(order, (std::vector<std::string>{"r0", "r1", "r2", "r3"}));
    EXPECT_EQ(engine.summary()["batch_fill"], 1.0);
    EXPECT_EQ(engine.summary()["tokens"], 16);
}

TEST_F(standins_test, ARunWhoseDeadlinePassesInTheQueueIsRefused)
{
    engine_options options = quick();
    options.batch.limit = 1;
    engine_standin engine(m_loop, options);
    listen(engine);
    load(engine, "a:1");
    const auto filler = send(engine, "/v1/completions", R"({"model":"a:1","max_tokens":100000})");
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return engine.summary()["running"].size() == 1;
    }));
    const http_result refused =
        get(engine, "/v1/completions", R"({"model":"a:1"})", {"X-Deadline-Ms: 20", "X-Request-Id: r2"});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(json::parse(refused.body)["error"]["code"], "busy");
    EXPECT_EQ(engine.recorded("withdrawn").at(0)["request_id"], "r2");
}

TEST_F(standins_test, AnUnloadWhileServingIsObeyedAndRecorded)
{
    engine_standin engine(m_loop, quick());
    listen(engine);
    load(engine, "a:1");
    engine.setFaults({{"paused", true}});
    const answer_ptr answer = run(engine, "r1");
    ASSERT_TRUE(waitForQueue(engine, 1));
    EXPECT_EQ(get(engine, "/v1/unload_lora_adapter", R"({"lora_name":"a:1"})").status, 200);
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return answer->has_value();
    }));
    EXPECT_FALSE((*answer)->complete) << (*answer)->status << (*answer)->body;
    EXPECT_EQ(engine.summary()["violations"]["unload_while_serving"], 1);
}

TEST_F(standins_test, AColdStartForgetsEverything)
{
    engine_options options = quick();
    options.baseLoad = millis{1};
    engine_standin engine(m_loop, options);
    listen(engine);
    const auto role = [&] {
        return engine.state()["role"] == "serving";
    };
    ASSERT_TRUE(runUntil(m_loop, role));
    load(engine, "a:1");
    ASSERT_EQ(get(engine, "/v1/fence", "{}", {"X-Fencing-Token: 9"}).status, 200);
    const json before = engine.state();
    EXPECT_EQ(get(engine, "/standin/faults", R"({"reset":true})").status, 200);
    const json after = engine.state();
    EXPECT_NE(after["incarnation"], before["incarnation"]);
    EXPECT_TRUE(after["resident"].empty());
    EXPECT_EQ(after["fencing"], 0);
    EXPECT_TRUE(runUntil(m_loop, role));
}

TEST_F(standins_test, ReportsLag)
{
    engine_options options = quick();
    options.reportLag = millis{300};
    engine_standin engine(m_loop, options);
    listen(engine);
    const auto reported = [&] {
        return getJson(engine, "/v1/report")["fencing"] == 9;
    };
    ASSERT_FALSE(reported());
    const auto claimedAt = bootNow().count;
    ASSERT_EQ(get(engine, "/v1/fence", "{}", {"X-Fencing-Token: 9"}).status, 200);
    while (!reported() && bootNow().count < claimedAt + testPatienceMs.count) {
    }
    // The report that first tells of the claim was made after it and is given out later than that.
    const json report = getJson(engine, "/v1/report");
    EXPECT_EQ(report["fencing"], 9);
    EXPECT_GE(report["as_of_ms"].get<std::int64_t>(), claimedAt);
    EXPECT_GE(bootNow().count, report["as_of_ms"].get<std::int64_t>() + options.reportLag.count);
}

TEST_F(standins_test, AHungEngineStillServesWhatItTook)
{
    engine_standin engine(m_loop, quick());
    listen(engine);
    engine.setFaults({{"hang", true}});
    const answer_ptr late = send(engine, "/v1/load_lora_adapter", R"({"lora_name":"a:1"})");
    // Control requests are answered all the same, and prove that the load has had time to arrive.
    EXPECT_EQ(get(engine, "/standin/summary").status, 200);
    EXPECT_TRUE(engine.recorded("load").empty());
    engine.setFaults({{"hang", false}});
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return late->has_value();
    }));
    EXPECT_EQ(engine.recorded("load").size(), 1U);
}

TEST_F(standins_test, LoadsShareTheStoresRate)
{
    weight_store_standin store(m_loop, 50);
    engine_standin engine(m_loop, quick(), &store);
    listen(engine);
    const answer_ptr first = send(engine, "/v1/load_lora_adapter", R"({"lora_name":"a:1"})");
    const answer_ptr second = send(engine, "/v1/load_lora_adapter", R"({"lora_name":"b:1"})");
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return first->has_value() && second->has_value();
    }));
    const auto loads = store.recorded("store_load");
    ASSERT_EQ(loads.size(), 2U);
    // Two loads at 50 a second take 40 ms together, however they overlap.
    const auto took = loads[1]["at_ms"].get<std::int64_t>() - loads[0]["begun_ms"].get<std::int64_t>();
    EXPECT_GE(took, 40);
    store.setFaults({{"refuse", true}});
    EXPECT_EQ(get(engine, "/v1/load_lora_adapter", R"({"lora_name":"c:1"})").status, 502);
}

TEST_F(standins_test, TheLiveListShowsChangesLate)
{
    live_list_standin list(m_loop, millis{60'000});
    listen(list);
    list.change({{{"name", "e1"}, {"region", "x"}}, {{"name", "e2"}, {"region", "y"}}}, {});
    list.settle();
    const json whole = getJson(list, "/instances?since=0&region=x");
    EXPECT_EQ(whole["whole"], true);
    ASSERT_EQ(whole["changed"].size(), 1U);
    EXPECT_EQ(whole["changed"][0]["name"], "e1");

    const std::string since = "/instances?region=x&since=" + whole["revision"].dump();
    EXPECT_EQ(get(list, "/standin/instances", R"({"gone":["e1"]})").status, 200);
    EXPECT_EQ(getJson(list, since)["gone"], json::array());
    list.settle();
    const json later = getJson(list, since);
    EXPECT_EQ(later["gone"], json::array({"e1"}));
    EXPECT_EQ(later["whole"], false);
    EXPECT_EQ(get(list, "/standin/instances", "[]").status, 400);
    EXPECT_EQ(get(list, "/standin/instances", R"({"changed":[{}]})").status, 400);
}

TEST_F(standins_test, AServiceCarriesOutEachCall)
{
    service_standin orders(m_loop, "orders");
    listen(orders);
    for (int i = 0; i < 2; ++i) {
        EXPECT_EQ(get(orders, "/orders/jl307", "two trolleys", {"Idempotency-Key: k1"}).status, 201);
    }
    EXPECT_EQ(getJson(orders, "/orders/2")["body"], "two trolleys");
    EXPECT_EQ(get(orders, "/orders/3").status, 404);
    const json record = getJson(orders, "/standin/record?since=1");
    EXPECT_EQ(record["next"], 2);
    EXPECT_EQ(record["entries"].at(0)["idempotency_key"], "k1");
    orders.setFaults({{"refuse", true}});
    EXPECT_EQ(get(orders, "/orders", "one").status, 503);
    EXPECT_EQ(get(orders, "/standin/faults", R"({"stall_ms":"x"})").status, 400);
}

}
}
