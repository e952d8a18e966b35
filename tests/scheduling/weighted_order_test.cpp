#include "scheduling/observed_server.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

constexpr millis start{50'000};
constexpr int adapterCount = 1'500;

/// The first server of each adapter, given the steps of the servers.
std::vector<std::size_t> firstServers(const std::vector<int> &steps)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        ids.push_back("i-" + std::to_string(i * 7'919));
    }
    const std::vector<std::string_view> names(ids.begin(), ids.end());
    std::vector<std::size_t> first;
    first.reserve(adapterCount);
    for (int adapter = 0; adapter < adapterCount; ++adapter) {
        std::vector<model_candidate> candidates(steps.size());
        for (std::size_t i = 0; i < steps.size(); ++i) {
            candidates[i].capacityStep = steps[i];
        }
        rankByHash(candidates, names, "base/a" + std::to_string(adapter));
        const auto found =
            std::find_if(candidates.begin(), candidates.end(), [](const model_candidate &each) {
                return each.hashRank == 0;
            });
        first.push_back(static_cast<std::size_t>(found - candidates.begin()));
    }
    return first;
}

void report(observed_server &observed, double tokensPerMs, int times)
{
    for (int i = 0; i < times; ++i) {
        server_load load;
        load.fields = {{static_cast<std::uint32_t>(load_field::TokensPerSecond),
                           static_cast<std::int64_t>(tokensPerMs * 1'000)},
            {static_cast<std::uint32_t>(load_field::LimitedStreams), 1}};
        applyServerLoad(observed, load, start);
    }
}

}

// Servers of half the speed would hold as many adapters as the others, and their callers wait twice as long.
TEST(WeightedOrder, ServersThatReadTwiceAsFastGetTwiceTheFirstPlaces)
{
    std::vector<int> steps;
    steps.reserve(30);
    for (int i = 0; i < 30; ++i) {
        steps.push_back(i % 3 == 1 ? capacityStepFor(9.5, 0) : capacityStepFor(21, 0));
    }
    double slow = 0;
    double fast = 0;
    for (const std::size_t server : firstServers(steps)) {
        (server % 3 == 1 ? slow : fast) += 1;
    }
    EXPECT_NEAR(fast / 20 / (slow / 10), 2, 0.3);
}

// Servers of one step are in the order of before, whichever step that is.
TEST(WeightedOrder, EqualServersKeepThePlainOrder)
{
    EXPECT_EQ(firstServers(std::vector<int>(12, 0)), firstServers(std::vector<int>(12, 3)));
}

// A change of weight that moved adapters between other servers would cost loads everywhere.
RC_GTEST_PROP(WeightedOrder, AChangeOfWeightMovesOnlyAdaptersOfThatServer, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(3, 12);
    auto steps = *rc::gen::container<std::vector<int>>(count, rc::gen::inRange(-2, 3));
    const auto changed = *rc::gen::inRange<std::size_t>(0, count);
    const auto before = firstServers(steps);
    ++steps[changed];
    const auto after = firstServers(steps);
    int moved = 0;
    int held = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
        RC_ASSERT(before[i] == after[i] || after[i] == changed);
        moved += before[i] != after[i] ? 1 : 0;
        held += after[i] == changed ? 1 : 0;
    }
    // A server's share grows by less than its weight: by 0.3 of the larger share, and three deviations.
    RC_ASSERT(moved <= 0.3 * held + 3 * std::sqrt(static_cast<double>(held)) + 1);
}

// Speeds vary between reports. Without hysteresis a server between two steps would move its adapters to and
// fro, and a slowdown of seconds would move them away and back.
TEST(WeightedOrder, AdaptersStayWhileTheSpeedVaries)
{
    observed_server observed;
    report(observed, 16.6, 1); // almost at the middle between two steps
    const int step = observed.load.capacityStep;
    for (int i = 0; i < 100; ++i) {
        report(observed, i % 2 == 0 ? 15 : 18.5, 50);
        ASSERT_EQ(observed.load.capacityStep, step) << i;
    }
    observed_server slowed;
    report(slowed, 21, 10);
    const int usual = slowed.load.capacityStep;
    report(slowed, 4.2, 33); // for five seconds
    EXPECT_EQ(slowed.load.capacityStep, usual);
    report(slowed, 4.2, 1'000);
    EXPECT_LT(slowed.load.capacityStep, usual);
    EXPECT_NE(candidateOf(slowed, "m/a", true, start + heartbeatFreshFor).capacityStep, 0);
    EXPECT_EQ(candidateOf(slowed, "m/a", true, start + capacityStepKeptFor).capacityStep, 0)
        << "the forecast was switched off";
}

}
