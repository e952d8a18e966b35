#include "failure/fleet.h"
#include "failure/load.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <ostream>
#include <thread>

using namespace briarhead::testing;

namespace {

/// Two failures at once, or one twice.
struct fault_pair
{
    std::string name;
    std::function<void(fleet &)> bringAbout;
    /// Whether all is served again by those that are left.
    std::function<bool(const fleet &)> wholeAgain;
    std::function<void(fleet &)> repair;
    std::vector<std::size_t> entries; ///< that callers use; those that die are not among them
    double leastDone = 0.8; ///< part of the answers
};

std::ostream &operator<<(std::ostream &to, const fault_pair &one)
{
    return to << one.name;
}

bool ownedByOnly(const fleet &all, const std::vector<std::size_t> &daemons)
{
    std::size_t owned = 0;
    for (const json &server : all.servers(daemons.front())) {
        for (const std::size_t daemon : daemons) {
            owned += server.value("owner", "") == all.name(daemon) ? 1 : 0;
        }
    }
    return owned == all.engines().size();
}

auto ownedBy(std::vector<std::size_t> daemons)
{
    return [daemons = std::move(daemons)](const fleet &all) {
        return ownedByOnly(all, daemons);
    };
}

json weight(double value)
{
    return {{"policy", {{"stall_weight", value}}}};
}

bool versionEverywhere(const fleet &all, std::uint64_t version)
{
    for (std::size_t daemon = 0; daemon < all.size(); ++daemon) {
        if (all.version(daemon) != version) {
            return false;
        }
    }
    return true;
}

// Two operators patch the same version at once while answers of the service are lost after the write took
// effect. Exactly one may hear that it was accepted.
void raceOperatorsWithLostAnswers(fleet &all)
{
    all.kvFaults({{"lose_answers", 3}});
    answer one;
    answer two;
    std::thread first([&] {
        one = all.patch(weight(0.1), 1, 0, "race-1");
    });
    std::thread second([&] {
        two = all.patch(weight(0.9), 1, 1, "race-2");
    });
    first.join();
    second.join();
    EXPECT_EQ((one.status == 200 ? 1 : 0) + (two.status == 200 ? 1 : 0), 1) << one.body << two.body;
    EXPECT_EQ((one.status == 409 ? 1 : 0) + (two.status == 409 ? 1 : 0), 1) << one.body << two.body;
}

const auto nothing = [](fleet &) {};

std::vector<fault_pair> pairs()
{
    std::vector<fault_pair> all;
    // The owner is stopped while nobody can renew or take over by the service; it wakes with old beliefs
    // after its engines were claimed by others.
    all.push_back({"owner_paused_and_service_down",
        [](fleet &of) {
            of.kvFaults({{"down", "refuse"}});
            of.signal(2, SIGSTOP);
        },
        ownedBy({0, 1}),
        [](fleet &of) {
            of.signal(2, SIGCONT);
            of.kvFaults({{"down", false}});
        },
        {0, 1}});
    // The successor dies as soon as it has taken the engines over.
    all.push_back({"owner_killed_twice",
        [](fleet &of) {
            of.kill(2);
            EXPECT_TRUE(eventually([&] {
                return ownedByOnly(of, {0, 1});
            }));
            of.kill(1);
        },
        ownedBy({0}), nothing, {0}});
    all.push_back({"operators_race_and_answers_lost", raceOperatorsWithLostAnswers,
        [](const fleet &of) {
            return versionEverywhere(of, 2);
        },
        nothing, {0, 1, 2}});
    // Engines lose their fencing numbers just while their owner dies.
    all.push_back({"engines_cold_and_owner_killed",
        [](fleet &of) {
            of.kill(2);
            for (const std::string &engine : of.engines()) {
                of.faults(engine, {{"reset", true}});
            }
        },
        ownedBy({0, 1}), nothing, {0, 1}});
    // Each call to the service takes most of a second, and an owner dies.
    all.push_back({"service_slow_and_owner_killed",
        [](fleet &of) {
            of.kvFaults({{"delay_ms", 700}});
            of.kill(2);
        },
        ownedBy({0, 1}),
        [](fleet &of) {
            of.kvFaults({{"delay_ms", 0}});
        },
        {0, 1}});
    return all;
}

class fault_pair_test : public testing::TestWithParam<fault_pair>
{
};

}

// Two failures come together, or one twice, under load. Callers of the entries that are left hear the truth,
// nothing runs twice that may not, and the fleet is whole again.
TEST_P(fault_pair_test, isSurvived)
{
    const fault_pair &fault = GetParam();
    fleet all;
    background_load load(all, {4, 10, fault.entries, 6, 3});
    ASSERT_TRUE(load.progress(30));
    stopwatch since;
    fault.bringAbout(all);
    ASSERT_TRUE(eventually([&] {
        return fault.wholeAgain(all);
    }));
    const std::int64_t wholeMs = since.elapsedMs();
    ASSERT_TRUE(load.progress(30));
    fault.repair(all);
    ASSERT_TRUE(load.progress(60));
    const auto answers = load.stop();
    printCost(fault.name, costOf(all, answers), wholeMs);
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
    EXPECT_GE(
        static_cast<double>(countOf(answers, "done")), static_cast<double>(answers.size()) * fault.leastDone);
}

INSTANTIATE_TEST_SUITE_P(
    Pairs, fault_pair_test, testing::ValuesIn(pairs()), [](const testing::TestParamInfo<fault_pair> &given) {
        return given.param.name;
    });

// Popularity shifts to adapters that nobody has loaded, and at the same time all of a failure domain is lost:
// its daemon and its engines. The rest loads the newly hot ones and serves.
TEST(FaultPairs, AShiftOfPopularityWhileAFailureDomainIsLost)
{
    fleet all;
    background_load before(all, {3, 4, {0, 1}, 6, 4});
    ASSERT_TRUE(before.progress(20));
    auto answers = before.stop();
    stopwatch since;
    all.faults("e3", {{"down", true}});
    all.faults("e6", {{"down", true}});
    all.kill(2);
    background_load shifted(all, {4, 14, {0, 1}, 6, 4});
    ASSERT_TRUE(shifted.doneInARow(20));
    const std::int64_t wholeMs = since.elapsedMs();
    const auto later = shifted.stop();
    answers.insert(answers.end(), later.begin(), later.end());
    all.faults("e3", {{"down", false}});
    all.faults("e6", {{"down", false}});
    printCost("shift_and_domain_lost", costOf(all, answers), wholeMs);
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}
