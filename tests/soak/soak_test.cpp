#include "soak/soak.h"
#include "soak/soak_plan.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace briarhead::soak {

namespace {

void expectNoViolation(
    std::uint64_t seed, millis length, std::size_t daemons = soak_options{}.daemons, bool powerLosses = false)
{
    soak_options options;
    options.powerLosses = powerLosses;
    options.daemons = daemons;
    options.seed = seed;
    options.length = length;
    options.program = BRIARHEAD_EDGE;
    std::string name = (std::filesystem::temp_directory_path() / "briarhead-soak-XXXXXX").string();
    ASSERT_NE(mkdtemp(name.data()), nullptr);
    options.folder = name;
    const soak_report report = runSoak(options);
    for (const std::string &each : report.violations) {
        ADD_FAILURE() << "seed " << seed << ": " << each;
    }
    EXPECT_GT(report.served, report.requests / 4) << "too much goes wrong to show anything";
    std::filesystem::remove_all(options.folder);
}

}

TEST(Soak, ASeedGivesTheSameFaults)
{
    const auto one = drawFaults(5, {20'000}, 4, 5);
    const auto two = drawFaults(5, {20'000}, 4, 5);
    ASSERT_EQ(one.size(), two.size());
    ASSERT_GT(one.size(), 10U);
    for (std::size_t i = 0; i < one.size(); ++i) {
        EXPECT_EQ(one[i].at, two[i].at);
        EXPECT_EQ(one[i].kind, two[i].kind);
        EXPECT_EQ(one[i].target, two[i].target);
    }
}

// Real processes under a seed's faults: killed, paused, ended, cut off from the store and from servers, which
// fail in every way they can. Callers and servers see what they are promised all the while.
TEST(Soak, PromisesHoldUnderASeedsFaults)
{
    expectNoViolation(11, {8'000});
}

// The same for long enough that a caller who sends one request again and again, each server that runs it
// ending, meets daemons that had time to hear of it: servers went on ending until the caller stopped.
TEST(Soak, ARequestThatEndsServersIsStoppedUnderASeedsFaults)
{
    expectNoViolation(1, {12'000});
}

/// Guards against requests that are blocked for good where no response is framed: nothing cleared their
/// record of servers that had crashed beside them.
TEST(Soak, UnframedResponsesClearCrashRecordsUnderASeedsFaults)
{
    expectNoViolation(333, {12'000});
}

// One plain server had ended under its callers and the other was full: they got its 503 as it was, without
// when to come back.
TEST(Soak, EachRefusalSaysWhenToComeBackUnderASeedsFaults)
{
    expectNoViolation(82013, {12'000});
}

/// Guards against facts that end with the daemons that know them: origins of streams, versions of adapters.
TEST(Soak, PromisesHoldWhereAllDaemonsAreKilledUnderASeedsFaults)
{
    expectNoViolation(3, {16'000}, 4, true);
}

/// Guards against requests that are refused as not run while the end of their response is being checked.
TEST(Soak, RefusedRequestsHaveNotRunUnderASeedsFaults)
{
    expectNoViolation(9505, {20'000}, 6);
}

}
