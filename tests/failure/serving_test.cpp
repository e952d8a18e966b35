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

/// Requests in progress on engines that the given daemons own.
std::size_t inFlightOf(const fleet &all, const std::vector<std::size_t> &daemons)
{
    std::size_t count = 0;
    for (const json &server : all.servers()) {
        for (const std::size_t daemon : daemons) {
            const bool owned = server.value("owner", "") == all.name(daemon);
            count += owned ? server.value("in_flight", std::size_t{0}) : 0;
        }
    }
    return count;
}

/// Streams of several seconds over one entry, one for each adapter. They may not run twice: one that is cut
/// off would else be run again elsewhere, and its caller be none the wiser.
class long_streams
{
public:
    long_streams(const fleet &all, std::size_t daemon, const std::vector<std::string> &adapters)
        : m_answers(adapters.size())
    {
        constexpr int tokens = 800;
        for (std::size_t i = 0; i < adapters.size(); ++i) {
            m_callers.emplace_back([this, &all, daemon, adapter = adapters[i], i] {
                m_answers[i] = ask(all, daemon, adapter, tokens, {"X-Non-Idempotent: true"});
            });
        }
    }
    std::vector<told> wait()
    {
        for (std::thread &one : m_callers) {
            one.join();
        }
        m_callers.clear();
        return m_answers;
    }

private:
    std::vector<told> m_answers;
    std::vector<std::thread> m_callers;
};

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
    callers.reserve(answers.size());
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
    const stopwatch since;
    ASSERT_TRUE(eventually([&] {
        for (const json &server : all.servers()) {
            if (server.value("name", "") == leaving) {
                return server.value("leaving", false) && server.value("in_flight", 1) == 0;
            }
        }
        return false;
    }));
    const std::int64_t freedMs = since.elapsedMs();
    const std::size_t before = all.record(leaving)["entries"].size();
    ASSERT_TRUE(load.progress(60));
    const auto answers = load.stop();
    std::size_t after = 0;
    const json record = all.record(leaving);
    for (const json &entry : record["entries"]) {
        after += entry.value("kind", "") == "run" && entry.value("index", std::size_t{0}) >= before ? 1 : 0;
    }
    printCost("server_leaves", costOf(all, answers), freedMs);
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
    const stopwatch since;
    all.faults("e2", {{"reset", true}});
    all.faults("e3", {{"reset", true}});
    ASSERT_TRUE(load.doneInARow(20));
    const std::int64_t wholeMs = since.elapsedMs();
    ASSERT_TRUE(load.progress(130));
    const auto answers = load.stop();
    printCost("engines_restart_cold", costOf(all, answers), wholeMs);
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
    printCost("graceful_shutdown", costOf(all, answers), -1);
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

// The streams in progress at a shutdown last far longer than the time for the balancer, and run on the
// daemon's engines for other entries' callers. Each must come whole; cut off they would be by a process that
// ends when its own callers are served.
TEST(Serving, AGracefulShutdownWaitsForStreamsOfOtherEntries)
{
    fleet all;
    std::vector<std::string> adapters;
    adapters.reserve(12);
    for (int i = 0; i < 12; ++i) {
        adapters.push_back("a" + std::to_string(i));
    }
    long_streams streams(all, 0, adapters);
    EXPECT_TRUE(eventually([&] {
        return inFlightOf(all, {0, 1, 2}) == adapters.size() && inFlightOf(all, {2}) > 0;
    }));
    all.signal(2, SIGTERM);
    const auto answers = streams.wait();
    EXPECT_EQ(all.waitExit(2), 0);
    printCost("shutdown_under_others_streams", costOf(all, answers), -1);
    EXPECT_EQ(countOf(answers, "done"), answers.size());
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// The same for its own callers' streams on other daemons' engines: a process that ends when its engines are
// quiet would cut them off.
TEST(Serving, AGracefulShutdownWaitsForItsOwnCallers)
{
    fleet all;
    std::vector<std::string> adapters;
    for (int i = 0; i < 12 && adapters.size() < 3; ++i) {
        const std::string adapter = "a" + std::to_string(i);
        const answer first = all.complete(2, adapter);
        ASSERT_EQ(first.status, 200) << first.body;
        if (all.ownerOf(first.headers.at("x-briarhead-server")) != 2) {
            adapters.push_back(adapter);
        }
    }
    long_streams streams(all, 2, adapters);
    EXPECT_TRUE(eventually([&] {
        return inFlightOf(all, {0, 1}) == adapters.size();
    }));
    EXPECT_EQ(inFlightOf(all, {2}), 0U);
    all.signal(2, SIGTERM);
    const auto answers = streams.wait();
    EXPECT_EQ(all.waitExit(2), 0);
    printCost("shutdown_under_own_streams", costOf(all, answers), -1);
    EXPECT_EQ(countOf(answers, "done"), answers.size());
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// A second signal is the only thing that cuts a shutdown short. The callers then see broken connections and
// the process says so by its exit code; it does not crash.
TEST(Serving, ASecondSignalCutsAndTheExitCodeSaysSo)
{
    fleet all;
    std::vector<told> answers(4);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([&all, &answers, i] {
            answers[i] = ask(all, 2, "a" + std::to_string(i), 2'000);
        });
    }
    EXPECT_TRUE(eventually([&] {
        std::size_t inFlight = 0;
        for (const json &server : all.servers()) {
            inFlight += server.value("in_flight", std::size_t{0});
        }
        return inFlight == answers.size();
    }));
    all.signal(2, SIGTERM);
    EXPECT_TRUE(eventually([&] {
        return call("GET", all.url(2) + "/readyz", "", {}, 1'000).status != 200;
    }));
    all.signal(2, SIGTERM);
    EXPECT_EQ(all.waitExit(2), 1);
    for (std::thread &one : callers) {
        one.join();
    }
    EXPECT_EQ(countOf(answers, ""), answers.size());
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}
