#include "failure/fleet.h"
#include "failure/load.h"

#include <gtest/gtest.h>

#include <thread>

using namespace briarhead::testing;

namespace {

json weight(double value)
{
    return {{"policy", {{"stall_weight", value}}}};
}

}

// Two operators patch the same version through different entries at the same time. Exactly one is accepted;
// the other is told the version that stands now, and its change is nowhere in force.
TEST(Configuration, OfTwoRacingOperatorsOneIsAccepted)
{
    fleet all;
    for (std::uint64_t version = 1; version < 6; ++version) {
        answer one;
        answer two;
        std::thread first([&] {
            one = all.patch(weight(0.1), version, 0);
        });
        std::thread second([&] {
            two = all.patch(weight(0.9), version, 1);
        });
        first.join();
        second.join();
        EXPECT_EQ((one.status == 200 ? 1 : 0) + (two.status == 200 ? 1 : 0), 1) << one.body << two.body;
        const answer &refused = one.status == 200 ? two : one;
        EXPECT_EQ(refused.status, 409);
        EXPECT_EQ(refused.parsed()["error"].value("current", std::uint64_t{0}), version + 1);
        for (std::size_t daemon = 0; daemon < all.size(); ++daemon) {
            EXPECT_TRUE(eventually([&] {
                return all.version(daemon) == version + 1;
            }));
        }
    }
}

// The answer to an operator's compare-and-swap is lost after the write took effect. The operator is told that
// it was accepted, once; the same patch sent again is answered with the same version and applied no second
// time.
TEST(Configuration, ALostAnswerIsResolvedAndARepeatIsNotAppliedTwice)
{
    fleet all;
    all.kvFaults({{"lose_answers", 1}});
    const answer first = all.patch(weight(0.3), 1, 0, "op-7");
    EXPECT_EQ(first.status, 200) << first.body;
    const answer again = all.patch(weight(0.3), 1, 1, "op-7");
    EXPECT_EQ(again.status, 200) << again.body;
    EXPECT_EQ(again.parsed().value("version", 0), 2);
    EXPECT_TRUE(again.parsed().value("repeated", false));
    EXPECT_EQ(all.version(0), 2U);
}

// A daemon starts while the key-value service is out. It must not serve an old or empty configuration: it
// learns the version that its peers hold, and is ready with that one.
TEST(Configuration, ADaemonThatStartsDuringAnOutageTakesItsPeersVersion)
{
    fleet all;
    ASSERT_EQ(all.patch(weight(0.4), 1).status, 200);
    for (std::size_t daemon = 0; daemon < all.size(); ++daemon) {
        ASSERT_TRUE(eventually([&] {
            return all.version(daemon) == 2;
        }));
    }
    all.kill(1);
    all.kvFaults({{"down", "refuse"}});
    all.start(1);
    EXPECT_TRUE(eventually([&] {
        return call("GET", all.url(1) + "/readyz").status == 200;
    }));
    EXPECT_EQ(all.version(1), 2U);
    EXPECT_EQ(ask(all, 1, "a1", 2).outcome, "done");
}

// All daemons restart while the service is out. Nobody knows a version, so nobody is ready: a caller is told
// at once, and that nothing was run. When the service is back the last accepted version is in force again.
TEST(Configuration, AllRestartDuringAnOutage)
{
    fleet_options options;
    options.daemons = 2;
    fleet all(options);
    ASSERT_EQ(all.patch(weight(0.4), 1).status, 200);
    all.kvFaults({{"down", "refuse"}});
    for (std::size_t daemon = 0; daemon < all.size(); ++daemon) {
        all.kill(daemon);
        all.start(daemon);
    }
    ASSERT_TRUE(eventually([&] {
        return call("GET", all.url(0) + "/healthz").status == 200;
    }));
    const told refused = ask(all, 0, "a1", 2);
    EXPECT_EQ(refused.outcome, "not_run");
    EXPECT_EQ(refused.code, "not_ready");
    EXPECT_EQ(call("GET", all.url(0) + "/readyz").status, 503);
    all.kvFaults({{"down", false}});
    for (std::size_t daemon = 0; daemon < all.size(); ++daemon) {
        EXPECT_TRUE(eventually([&] {
            return all.version(daemon) == 2;
        }));
    }
}
