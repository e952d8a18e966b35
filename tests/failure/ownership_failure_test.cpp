#include "failure/fleet.h"
#include "failure/load.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace briarhead::testing;

namespace {

json engines(bool checksFencing, std::size_t count = 6)
{
    return json::array(
        {{{"name", "e"}, {"count", count}, {"failure_domain", {"zg-dubrava", "vz-centar", "ka-banija"}},
            {"region", "r"}, {"base_model", "base"}, {"slots", 2}, {"batch_limit", 8}, {"step_ms", 5},
            {"checks_fencing", checksFencing}, {"report_lag_ms", 200}}});
}

/// Waits until every engine is owned by one of the given daemons.
bool ownedBy(const fleet &all, const std::vector<std::size_t> &daemons)
{
    return eventually([&] {
        std::size_t owned = 0;
        for (const json &server : all.servers(daemons.front())) {
            for (const std::size_t daemon : daemons) {
                owned += server.value("owner", "") == all.name(daemon) ? 1 : 0;
            }
        }
        return owned == all.engines().size();
    });
}

}

// The owner of some engines is killed under load. Requests in progress on it are lost or told unknown, never
// doubled if they are non-idempotent; its engines have a new owner soon and serve again.
TEST(Ownership, AKilledOwnerIsReplaced)
{
    fleet all;
    background_load load(all, {6, 8, {0, 1}, 20, 2});
    ASSERT_TRUE(load.progress(40));
    const stopwatch since;
    all.kill(2);
    EXPECT_TRUE(ownedBy(all, {0, 1}));
    const std::int64_t wholeMs = since.elapsedMs();
    ASSERT_TRUE(load.progress(60));
    const auto answers = load.stop();
    printCost("owner_killed", costOf(all, answers), wholeMs);
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
    EXPECT_GT(countOf(answers, "done"), answers.size() * 8 / 10);
}

// An owner is stopped past its lease, another daemon takes its engines over and evicts adapters, then the old
// owner goes on with its old beliefs. Engines that check fencing refuse what it sends; no stream breaks,
// nothing runs on an adapter that isn't there.
TEST(Ownership, APausedOwnerDoesNoHarmOnCheckingEngines)
{
    fleet_options options;
    options.engines = engines(true);
    fleet all(options);
    background_load load(all, {12, 16, {0, 1}, 10, 4});
    ASSERT_TRUE(load.progress(40));
    std::int64_t wholeMs = 0;
    for (int round = 0; round < 2; ++round) {
        const stopwatch since;
        all.signal(2, SIGSTOP);
        EXPECT_TRUE(ownedBy(all, {0, 1}));
        wholeMs = std::max(wholeMs, since.elapsedMs());
        ASSERT_TRUE(load.progress(40));
        all.signal(2, SIGCONT);
        ASSERT_TRUE(load.progress(40));
    }
    const auto answers = load.stop();
    printCost("owner_paused_twice_checking", costOf(all, answers), wholeMs);
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
    EXPECT_GT(countOf(answers, "done"), answers.size() * 8 / 10);
}

// The same on engines that ignore fencing numbers: the successor waits out the old session before it takes
// over, and evicts nothing while the old tenure may still have something running; the old owner's evictions
// are cut off by the kernel at its lease's end. No unload ever hits an adapter that serves.
TEST(Ownership, APausedOwnerDoesNoHarmOnEnginesThatIgnoreFencing)
{
    fleet_options options;
    options.engines = engines(false);
    fleet all(options);
    background_load load(all, {6, 16, {0, 1}, 10, 4});
    ASSERT_TRUE(load.progress(40));
    const stopwatch since;
    all.signal(2, SIGSTOP);
    EXPECT_TRUE(ownedBy(all, {0, 1}));
    const std::int64_t ownedMs = since.elapsedMs();
    ASSERT_TRUE(load.progress(30));
    all.signal(2, SIGCONT);
    ASSERT_TRUE(load.progress(60));
    const auto answers = load.stop();
    printCost("owner_paused_ignoring", costOf(all, answers), ownedMs);
    std::vector<std::string> harmful;
    for (const std::string &fault : faultsIn(all, answers)) {
        // The engine notes each old number that it takes; that is harm only if it unloads what serves.
        if (fault.find("stale_run_taken") == std::string::npos
            && fault.find("\"order\":\"load\"") == std::string::npos) {
            harmful.push_back(fault);
        }
    }
    EXPECT_EQ(harmful, std::vector<std::string>{});
}

// The key-value service goes out, popularity shifts to adapters that nobody has loaded, and an owner dies.
// Requests for the newly hot adapters are served, the orphaned engines come back before the service does, and
// when it is back the records say who owns them.
TEST(Ownership, AnOutageOfTheKeyValueServiceWithADeathAndAShift)
{
    fleet all;
    background_load before(all, {3, 4, {0, 1}, 6, 4});
    ASSERT_TRUE(before.progress(20));
    auto answers = before.stop();
    all.kvFaults({{"down", "refuse"}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    background_load shifted(all, {4, 24, {0, 1}, 6, 4});
    ASSERT_TRUE(shifted.progress(40));
    const stopwatch since;
    all.kill(2);
    EXPECT_TRUE(ownedBy(all, {0, 1})) << "the orphans are claimed on their engines";
    const std::int64_t wholeMs = since.elapsedMs();
    ASSERT_TRUE(shifted.progress(60));
    all.kvFaults({{"down", false}});
    ASSERT_TRUE(shifted.progress(60));
    EXPECT_TRUE(ownedBy(all, {0, 1}));
    const auto later = shifted.stop();
    answers.insert(answers.end(), later.begin(), later.end());
    printCost("service_down_owner_killed_and_shift", costOf(all, answers), wholeMs);
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
    EXPECT_GT(countOf(later, "done"), later.size() * 7 / 10);
}

// Answers to writes are lost after the write took effect, just while daemons take engines over. The swap that
// stands must be found by reading back: every engine ends up with one owner, and none with two.
TEST(Ownership, LostAnswersOfTheServiceLeaveNoEngineUnowned)
{
    fleet all;
    all.kvFaults({{"lose_answers", 6}});
    all.kill(1);
    EXPECT_TRUE(ownedBy(all, {0, 2}));
    std::vector<told> answers;
    for (int i = 0; i < 8; ++i) {
        answers.push_back(ask(all, 0, "a" + std::to_string(i), 4));
        EXPECT_EQ(answers.back().outcome, "done") << answers.back().code;
    }
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// All of a failure domain is lost: its daemon and its engines at once, under load. The others take the work.
TEST(Ownership, ALostFailureDomain)
{
    fleet all;
    background_load load(all, {4, 8, {0, 1}, 6, 4});
    ASSERT_TRUE(load.progress(30));
    // Engines 3 and 6 and daemon 3 stand in ka-banija.
    all.faults("e3", {{"down", true}});
    all.faults("e6", {{"down", true}});
    const stopwatch since;
    all.kill(2);
    ASSERT_TRUE(load.doneInARow(20));
    const std::int64_t wholeMs = since.elapsedMs();
    ASSERT_TRUE(load.progress(60));
    const auto answers = load.stop();
    printCost("failure_domain_lost", costOf(all, answers), wholeMs);
    const std::vector<told> last(answers.end() - 20, answers.end());
    EXPECT_GE(countOf(last, "done"), 15U);
    all.faults("e3", {{"down", false}});
    all.faults("e6", {{"down", false}});
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}
