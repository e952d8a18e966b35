#include "failure/fleet.h"
#include "failure/load.h"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <thread>

using namespace briarhead::testing;

namespace {

constexpr std::size_t engines = 6;
constexpr std::size_t adapters = 36;
constexpr std::size_t threads = 4;
constexpr std::size_t requestsEach = 60;
constexpr double loadsPerSecond = 200; ///< fast, so that the test is short; only counts matter

/// What the engines counted under the same closed set of requests.
struct counted
{
    std::size_t loads = 0;
    std::size_t done = 0;
    std::vector<std::string> faults;
};

fleet_options fleetOf(const std::string &routing)
{
    fleet_options options;
    options.daemons = 2;
    options.adapters = adapters;
    options.engines = json::array({{{"name", "e"}, {"count", engines}, {"failure_domain", options.domains},
        {"region", "r"}, {"base_model", "base"}, {"slots", 4}, {"batch_limit", 8}, {"step_ms", 2},
        {"checks_fencing", true}, {"report_lag_ms", 200}}});
    options.store = {{"loads_per_second", loadsPerSecond}};
    options.settings["routing"] = routing;
    return options;
}

/// A few adapters are asked for often and most seldom, as both users have it; the same numbers each time.
std::vector<std::size_t> skewedAdapters(std::size_t thread)
{
    std::mt19937 random(static_cast<std::mt19937::result_type>(thread + 1));
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= adapters; ++rank) {
        weights.push_back(1.0 / static_cast<double>(rank));
    }
    std::discrete_distribution<std::size_t> byRank(weights.begin(), weights.end());
    std::vector<std::size_t> list(requestsEach);
    for (std::size_t &one : list) {
        one = byRank(random);
    }
    return list;
}

counted run(const std::string &routing)
{
    fleet all(fleetOf(routing));
    all.patch({{"policy", {{"store_loads_per_second", loadsPerSecond}}}}, all.version(0));
    std::array<std::vector<told>, threads> answers;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < threads; ++i) {
        callers.emplace_back([&all, &into = answers.at(i), i] {
            for (const std::size_t adapter : skewedAdapters(i)) {
                into.push_back(ask(all, i % all.size(), "a" + std::to_string(adapter), 4));
            }
        });
    }
    counted sum;
    std::vector<told> told;
    for (std::size_t i = 0; i < threads; ++i) {
        callers[i].join();
        told.insert(told.end(), answers.at(i).begin(), answers.at(i).end());
    }
    for (const std::string &engine : all.engines()) {
        const json record = all.record(engine);
        for (const json &entry : record.at("entries")) {
            sum.loads += entry.value("kind", "") == "load" ? 1 : 0;
        }
    }
    sum.done = countOf(told, "done");
    sum.faults = faultsIn(all, told);
    return sum;
}

}

// Callers ask for a few adapters often and for many seldom, more of them than the slots hold. If requests
// went to any server, each server would load the same adapters again, and most requests would wait for a
// load. The same requests must cost at least twice as many loads under random routing as under ours, and ours
// may not load more than a fixed server for each adapter with least-recently-used slots does, but for some
// slack.
TEST(Policy, FewerLoadsThanTheBaselinesForTheSameRequests)
{
    const counted ours = run("briarhead");
    const counted random = run("random");
    const counted fixedServer = run("rendezvous_lru");
    for (const counted &one : {ours, random, fixedServer}) {
        EXPECT_EQ(one.done, threads * requestsEach);
        EXPECT_EQ(one.faults, std::vector<std::string>{});
    }
    EXPECT_GE(ours.loads, adapters / 2) << "each adapter that is asked for is loaded at least once";
    EXPECT_GT(random.loads, 2 * ours.loads);
    EXPECT_LE(ours.loads, fixedServer.loads + fixedServer.loads / 4);
    RecordProperty("loads", static_cast<int>(ours.loads));
    RecordProperty("loads_random", static_cast<int>(random.loads));
    RecordProperty("loads_rendezvous_lru", static_cast<int>(fixedServer.loads));
    std::printf("loads: %zu, random %zu, rendezvous_lru %zu\n", ours.loads, random.loads, fixedServer.loads);
}
