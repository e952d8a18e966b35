#include "failure/fleet.h"
#include "failure/load.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace briarhead::testing;

namespace {

json oneEngine(std::size_t slots, bool checksFencing = true, int stepMs = 5)
{
    return json::array({{{"name", "e"}, {"count", 1}, {"failure_domain", "zg-dubrava"}, {"region", "r"},
        {"base_model", "base"}, {"slots", slots}, {"batch_limit", 4}, {"step_ms", stepMs},
        {"checks_fencing", checksFencing}, {"report_lag_ms", 200}}});
}

}

// A long stream runs on the only slot, and a request for another adapter comes. The slot must not be taken
// from the stream: the newcomer waits or is refused, then gets the slot. Without the in-flight count the
// adapter would be unloaded under the stream, which breaks off.
TEST(Serving, AnAdapterInUseIsNeverUnloaded)
{
    fleet_options options;
    options.daemons = 1;
    options.engines = oneEngine(1);
    fleet all(options);
    told longOne;
    std::thread stream([&] {
        longOne = ask(all, 0, "a0", 200);
    });
    ASSERT_TRUE(eventually([&] {
        const json servers = all.servers();
        return !servers.empty() && servers[0].value("in_flight", 0) == 1;
    }));
    const told newcomer = ask(all, 0, "a1", 4);
    stream.join();
    EXPECT_EQ(longOne.outcome, "done");
    EXPECT_EQ(newcomer.outcome, "done");
    EXPECT_EQ(faultsIn(all, {longOne, newcomer}), std::vector<std::string>{});
}

// The engine breaks a stream off in its middle. A non-idempotent request must not be sent again: its caller
// is told that the outcome is unknown, and the engine's record shows one run. An idempotent one may run again
// elsewhere.
TEST(Serving, ANonIdempotentRequestIsNotSentAgainAfterABrokenStream)
{
    fleet all;
    ASSERT_EQ(ask(all, 0, "a0", 2).outcome, "done");
    for (const std::string &engine : all.engines()) {
        all.faults(engine, {{"drop_after_tokens", 2}});
    }
    const told marked = ask(all, 0, "a0", 8, {"X-Non-Idempotent: true"});
    EXPECT_EQ(marked.outcome, "unknown");
    EXPECT_EQ(faultsIn(all, {marked}), std::vector<std::string>{});
    EXPECT_EQ(all.runs().size(), 2U);
}

// Loads fail on every server. The caller must hear so at once and not at its deadline, with the time after
// which coming back helps. Holding the request until near its deadline would only keep it from asking
// elsewhere.
TEST(Serving, ARequestGivenUpOnGetsItsAnswerAtOnce)
{
    fleet all;
    for (const std::string &engine : all.engines()) {
        all.faults(engine, {{"fail_loads", 1'000}});
    }
    const told given = ask(all, 0, "a3", 4, {"X-Deadline-Ms: 60000"}, 70'000);
    EXPECT_EQ(given.outcome, "not_run");
    EXPECT_EQ(given.code, "load_failed");
    EXPECT_GT(given.retryAfterMs, 0);
    EXPECT_LT(given.tookMs, 30'000) << "far from the deadline of 60 s";
    for (const std::string &engine : all.engines()) {
        all.faults(engine, {{"fail_loads", 0}});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(given.retryAfterMs));
    EXPECT_EQ(ask(all, 0, "a3", 4).outcome, "done");
}

// Many more requests than the only engine can run arrive at once. Each gets one answer; those refused are
// told so with the time after which to come back, and none of them ran.
TEST(Serving, AnOverloadIsRefusedAtOnceAndTruthfully)
{
    fleet_options options;
    options.daemons = 1;
    options.engines = oneEngine(4, true, 10);
    fleet all(options);
    ASSERT_EQ(ask(all, 0, "a0", 8).outcome, "done");
    std::vector<told> answers(60);
    std::vector<std::thread> callers;
    for (told &one : answers) {
        callers.emplace_back([&all, &one] {
            one = ask(all, 0, "a0", 40, {"X-Deadline-Ms: 1500"});
        });
    }
    for (std::thread &one : callers) {
        one.join();
    }
    EXPECT_GT(countOf(answers, "done"), 0U);
    EXPECT_GT(countOf(answers, "not_run"), 0U);
    for (const told &one : answers) {
        EXPECT_TRUE(one.outcome != "not_run" || one.retryAfterMs > 0) << one.code;
    }
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// A backend server is listed as leaving while requests come. Within a few seconds it must get no new work,
// and what runs there ends undisturbed.
TEST(Serving, ALeavingServerGetsNoNewWork)
{
    fleet all;
    background_load load(all, {4, 12, {0, 1, 2}, 6, 4});
    ASSERT_TRUE(load.progress(30));
    const std::string leaving = "e1";
    json line{{"name", leaving}, {"kind", "engine"}, {"region", "r"}, {"failure_domain", "zg-dubrava"},
        {"address", "127.0.0.1"}, {"port", all.ports()["engines"][leaving]}, {"service", "base"},
        {"leaving", true}};
    call("POST",
        "http://127.0.0.1:" + std::to_string(all.ports()["live_list"].get<int>()) + "/standin/instances",
        json{{"changed", json::array({line})}, {"gone", json::array()}}.dump());
    ASSERT_TRUE(eventually([&] {
        for (const json &server : all.servers()) {
            if (server.value("name", "") == leaving) {
                return server.value("leaving", false) && server.value("in_flight", 1) == 0;
            }
        }
        return false;
    }));
    const std::size_t before = all.record(leaving)["entries"].size();
    ASSERT_TRUE(load.progress(60));
    const auto answers = load.stop();
    std::size_t after = 0;
    for (const json &entry : all.record(leaving)["entries"]) {
        after += entry.value("kind", "") == "run" && entry.value("index", std::size_t{0}) >= before ? 1 : 0;
    }
    EXPECT_EQ(after, 0U);
    EXPECT_EQ(countOf(answers, "done"), answers.size());
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// An engine restarts cold under load: its adapters, its fencing number and its streams are gone. Requests
// that ran there are answered truthfully; once it is back it is loaded anew, and no later request meets a
// stale belief.
TEST(Serving, AColdRestartOfAnEngineIsSurvived)
{
    fleet all;
    background_load load(all, {4, 8, {0, 1, 2}, 6, 4});
    ASSERT_TRUE(load.progress(40));
    all.faults("e2", {{"reset", true}});
    all.faults("e3", {{"reset", true}});
    ASSERT_TRUE(load.progress(150));
    const auto answers = load.stop();
    EXPECT_GT(countOf(answers, "done"), answers.size() * 9 / 10);
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// A daemon is asked to shut down while it streams to its own callers and runs streams for others. No stream
// may be cut: each caller gets its whole answer, the process ends by itself with exit code 0.
TEST(Serving, AGracefulShutdownCutsNothing)
{
    fleet all;
    background_load load(all, {6, 8, {0, 1, 2}, 60, 4});
    ASSERT_TRUE(load.progress(30));
    all.signal(2, SIGTERM);
    EXPECT_EQ(all.waitExit(2), 0);
    background_load after(all, {2, 8, {0, 1}, 4, 0});
    ASSERT_TRUE(after.progress(20));
    auto answers = load.stop();
    const auto more = after.stop();
    for (const told &one : answers) {
        // Callers that come once the port is closed get no connection; they are the balancer's to send
        // elsewhere.
        EXPECT_TRUE(one.outcome == "done" || (one.outcome.empty() && one.tookMs < 1'000))
            << one.outcome << one.code;
    }
    EXPECT_EQ(countOf(more, "done"), more.size());
    answers.insert(answers.end(), more.begin(), more.end());
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// The engine breaks an idempotent request off in its middle; it is sent again elsewhere, where the load
// fails, which is certain not to have run. The request as a whole may have run: told not_run, its caller
// would be told an untruth.
TEST(Serving, ARefusalAfterABrokenAttemptIsNotCalledNotRun)
{
    fleet all;
    ASSERT_EQ(ask(all, 0, "a0", 2).outcome, "done");
    for (const std::string &engine : all.engines()) {
        all.faults(engine, {{"drop_after_tokens", 2}, {"fail_loads", 1'000}});
    }
    const told broken = ask(all, 0, "a0", 8);
    EXPECT_EQ(broken.outcome, "unknown") << broken.code;
    EXPECT_EQ(faultsIn(all, {broken}), std::vector<std::string>{});
}
