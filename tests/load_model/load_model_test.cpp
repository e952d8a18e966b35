#include "load_model/load_model.h"

#include <gtest/gtest.h>

namespace briarhead::load_model {

namespace {

constexpr std::uint64_t seeds[] = {1, 2};

/// Mean over the seeds.
double worthOf(const load_plan &plan, route_policy policy)
{
    double sum = 0;
    for (const std::uint64_t seed : seeds) {
        sum += play(plan, policy, seed).worthLessLoads();
    }
    return sum / std::size(seeds);
}

double shareOf(const load_plan &plan, const std::string &kind, int kind_result::*count)
{
    double part = 0;
    double all = 0;
    for (const std::uint64_t seed : seeds) {
        const load_result result = play(plan, route_policy::Briarhead, seed);
        part += result.kinds.at(kind).*count;
        all += result.kinds.at(kind).requests;
    }
    return part / all;
}

}

// The baselines that anyone would try first, on the same arrivals: none serves callers as well, on a quiet
// day and at the height of one.
TEST(LoadModel, ServesBetterThanTheBaselines)
{
    for (const load_plan &plan : {smallPlan(false), smallPlan(true), grownPlan(true)}) {
        const double ours = worthOf(plan, route_policy::Briarhead);
        for (const route_policy policy :
            {route_policy::Random, route_policy::LeastInFlight, route_policy::Rendezvous}) {
            EXPECT_GT(ours, worthOf(plan, policy)) << plan.name << ", " << nameOf(policy);
        }
    }
}

// The height of a day: more adapters in use than places, servers that read without a pause. In order of
// arrival 0.62 of the worth was served, and two fifths of the long answers stuttered.
TEST(LoadModel, AtHighLoadMostAreOnTime)
{
    const load_plan plan = grownPlan(true);
    EXPECT_GT(worthOf(plan, route_policy::Briarhead), 0.68);
    EXPECT_LT(shareOf(plan, "draft", &kind_result::lateGap), 0.10);
    EXPECT_LT(shareOf(plan, "match", &kind_result::lateFirst), 0.15);
    EXPECT_LT(shareOf(plan, "match", &kind_result::refused), 0.12);
}

// No kind is served much worse than another, and the more urgent one least so.
TEST(LoadModel, TheUrgentKindIsNotServedWorse)
{
    for (const load_plan &plan : {smallPlan(true), grownPlan(true)}) {
        const load_result result = play(plan, route_policy::Briarhead, 1);
        const kind_result &draft = result.kinds.at("draft");
        const kind_result &match = result.kinds.at("match");
        EXPECT_GT(draft.earned / draft.owed, match.earned / match.owed - 0.05) << plan.name;
        const kind_result &rare = result.kinds.at("rare match");
        EXPECT_GT(rare.earned / rare.owed, match.earned / match.owed - 0.15) << plan.name;
    }
}

// A load too many crashes a server: whatever the load, no more adapters are on one server or on their way to
// it than it has places.
TEST(LoadModel, NeverMoreAdaptersThanPlaces)
{
    for (load_plan plan : {smallPlan(true), grownPlan(true)}) {
        plan.burst = 3;
        plan.burstFromMs = 5'000;
        plan.burstToMs = 15'000;
        for (const route_policy policy : {route_policy::Random, route_policy::Briarhead}) {
            EXPECT_LE(play(plan, policy, 3).places, plan.places) << plan.name;
        }
    }
}

// A quarter of the servers is lost for two seconds and comes back empty. Callers of the others are hardly
// worse off than without it: what is lost is about what ran there.
TEST(LoadModel, ALostQuarterCostsLittleMoreThanWhatRanThere)
{
    load_plan plan = smallPlan(false);
    const double calm = worthOf(plan, route_policy::Briarhead);
    plan.lost = 0.25;
    plan.lostFromMs = 10'000;
    plan.lostToMs = 12'000;
    EXPECT_GT(worthOf(plan, route_policy::Briarhead), calm - 0.06);
}

// A third of the servers takes twice as long for a prompt. Chosen like servers with short queues, they paused
// 0.3 of their streams for too long.
TEST(LoadModel, StreamsOnSlowServersKeepTheirGaps)
{
    double before = 0;
    double after = 0;
    speed_result slow;
    kind_result digests;
    for (const std::uint64_t seed : seeds) {
        before += play(unevenPlan(false), route_policy::Briarhead, seed).worthLessLoads();
        const load_result result = play(unevenPlan(true), route_policy::Briarhead, seed);
        after += result.worthLessLoads();
        slow.streams += result.speeds.at(2).streams;
        slow.gapOver += result.speeds.at(2).gapOver;
        digests.requests += result.kinds.at("digest").requests;
        digests.lateGap += result.kinds.at("digest").lateGap + result.kinds.at("digest").lateFirst;
    }
    EXPECT_LT(slow.gapOver, 0.10 * slow.streams);
    EXPECT_LT(digests.lateGap, 0.12 * digests.requests);
    EXPECT_GT(after, before);
}

// A tenth of the servers becomes five times slower for six seconds. Requests that are still sent there are
// late, and avoiding them must not cost more than they lose.
TEST(LoadModel, ServersThatTurnSlowAreAvoided)
{
    double worth[2] = {};
    for (const bool gapPrediction : {false, true}) {
        load_plan plan = unevenPlan(gapPrediction);
        plan.slowed = 0.1;
        plan.slowedFromMs = 10'000;
        plan.slowedToMs = 16'000;
        worth[gapPrediction ? 1 : 0] = worthOf(plan, route_policy::Briarhead);
    }
    EXPECT_GT(worth[1], worth[0]);
    std::printf("worth less loads with slowed servers: %.3f, with gap prediction %.3f\n", worth[0], worth[1]);
}

}
