#include "protocol/codec.h"
#include "quota_sim.h"

#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr millis second{1'000};

millis seconds(int count)
{
    return {second.count * count};
}

double shareOf(const quota_sim &sim, const quota_limit &limit, millis from, millis to)
{
    return sim.used(from, to) / (limit.rate * static_cast<double>((to - from).count) / 1'000.0);
}

const std::uint64_t ana = accountHash("ana");

std::optional<quota_limit> limitOfAna(std::uint64_t)
{
    return quota_limit{1'000, 100'000};
}

quota_home homeOf(std::vector<std::string> fleet)
{
    quota_home home = beginHome(millis{100'000}, true);
    setFleet(home, std::move(fleet));
    return home;
}

void setDemands(quota_sim &sim, const quota_sim_options &options, double each)
{
    for (int i = 0; i < options.daemons; ++i) {
        sim.setDemand(i, each);
    }
}

/// Of asks and answers between one daemon with callers of many accounts and its homes, both ways. Limits are
/// as large as a fleet of that size needs, the daemon's part of them its usual one.
double bytesASecond(int accounts, double perSecond, std::size_t daemons)
{
    constexpr int seconds = 30;
    constexpr double cost = 2'400;
    const double rate = std::max(2 * perSecond * static_cast<double>(daemons) / accounts, 2.0) * cost;
    const limit_lookup limits = [rate](std::uint64_t) {
        return std::optional(quota_limit{rate, rate});
    };
    std::mt19937 random(1);
    quota_desk desk;
    std::map<std::uint32_t, quota_home> homes;
    millis now{100'000};
    for (std::uint32_t shard = 0; shard < quotaShards; ++shard) {
        homes[shard] = homeOf({"a"});
        setHome(desk, shard, "home", 1, now);
    }
    std::size_t bytes = 0;
    std::uint64_t id = 0;
    for (int step = 0; step < seconds * 100; ++step) {
        now = now + millis{10};
        if (std::uniform_real_distribution<double>(0, 100)(random) < perSecond) {
            const int account = std::uniform_int_distribution<int>(0, accounts - 1)(random);
            (void)takeUnits(desk, accountHash(std::to_string(account)), *limits(0), ++id, cost, now);
        }
        for (const addressed_ask &each : asksDue(desk, daemons, now)) {
            bytes += encode(fleet_datagram{"edge-zg-1", 1, each.ask}).size();
            const auto answer =
                answerAsk(homes[each.ask.shard], usualQuotaPlan, {}, limits, {"a", 1, true}, each.ask, now);
            bytes += answer ? encode(fleet_datagram{"edge-zg-2", 1, *answer}).size() : 0;
            (void)takeAnswer(desk, *answer, now);
        }
    }
    return static_cast<double>(bytes) / seconds;
}

/// One thing that goes wrong, out of those that are known to.
void disturb(quota_sim &sim, std::mt19937 &random, int daemons)
{
    const auto any = [&random](int below) {
        return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    const int one = any(daemons);
    switch (any(9)) {
    case 0:
        sim.kill(one);
        break;
    case 1:
    case 2:
        sim.restart(one);
        if (sim.home() == one && any(2) == 0) {
            sim.moveHome(one, true); // it takes its former record
        }
        break;
    case 3:
        sim.freeze(one, millis{100 + any(6'000)});
        break;
    case 4:
        sim.setGroup(one, any(2));
        break;
    case 5:
        sim.moveHome(one, false);
        break;
    case 6:
        for (int i = 0; i < daemons; ++i) {
            sim.restart(i);
        }
        sim.moveHome(sim.home(), true);
        break;
    case 7:
        sim.setDemand(one, 40'000.0 * any(3));
        break;
    default:
        for (int i = 0; i < daemons; ++i) {
            sim.setGroup(i, 0);
        }
        break;
    }
}

}

// Callers of one account send several times what it may use, over daemons that die, start again, stand still,
// are cut off from their home, and change it, over a net that loses, doubles and delays messages. Whatever
// happens, daemons and homes never use more than the whole limit at once, and in no window more runs than it
// allows with the stated overage.
RC_GTEST_PROP(Quota, NoWindowHoldsMoreThanTheLimitWhateverFails, ())
{
    quota_sim_options options;
    options.seed = *rc::gen::inRange(1U, 1'000'000U);
    options.limit.rate = *rc::gen::element(4'200.0, 30'000.0, 200'000.0);
    options.limit.burst = options.limit.rate;
    options.loss = *rc::gen::element(0.0, 0.1, 0.4);
    options.doubled = *rc::gen::element(0.0, 0.2);
    options.delayMost = *rc::gen::element(4, 200, 2'000);
    options.placeWaitMost = *rc::gen::element(0, 400, 1'500);
    quota_sim sim(options);
    std::mt19937 random(options.seed);
    setDemands(sim, options, 3 * options.limit.rate / options.daemons);
    for (int i = 0; i < 30; ++i) {
        sim.run(millis{std::uniform_int_distribution<int>(50, 3'000)(random)});
        disturb(sim, random, options.daemons);
    }
    sim.run(seconds(25));
    constexpr double rounding = 1e-3; // parts are told in millionths
    RC_ASSERT(sim.mostShares() <= 1.0 + rounding);
    RC_ASSERT(sim.worstWindow() <= 1.0);
}

// The balancer hashes clients, so nearly all callers of an account come to two daemons of many, and ask for
// more than its limit. What lies within the limit is to be served all the same.
TEST(Quota, UnevenDemandUsesTheWholeLimit)
{
    quota_sim_options options;
    options.limit = {100'000, 100'000};
    quota_sim sim(options);
    sim.setDemand(1, 120'000);
    sim.setDemand(2, 60'000);
    sim.setDemand(3, 5'000);
    sim.run(seconds(10));
    const millis from = sim.now();
    sim.run(seconds(20));
    EXPECT_GE(shareOf(sim, options.limit, from, sim.now()), 0.97);
    EXPECT_LE(sim.worstWindow(), 1.0);
}

// An account's callers move from some daemons to others every few seconds, with more than its limit in all.
TEST(Quota, DemandThatMovesFindsTheLimitWhereItGoes)
{
    quota_sim_options options;
    options.limit = {100'000, 100'000};
    quota_sim sim(options);
    const millis from = sim.now() + seconds(4);
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < options.daemons; ++i) {
            sim.setDemand(i, i % 3 == round % 3 ? 40'000 : 0);
        }
        sim.run(seconds(4));
    }
    EXPECT_GE(shareOf(sim, options.limit, from, sim.now()), 0.85);
    EXPECT_LE(sim.worstWindow(), 1.0);
}

// An account well within its limit loses its home for good. Its callers notice nothing: the daemons hold
// parts that last until the successor gives.
TEST(Quota, AnAccountWithinItsLimitDoesNotFeelTheEndOfItsHome)
{
    quota_sim_options options;
    options.limit = {200'000, 200'000};
    quota_sim sim(options);
    setDemands(sim, options, 9'000);
    sim.run(seconds(8));
    const millis from = sim.now();
    sim.setDemand(0, 0);
    sim.kill(0);
    sim.run(seconds(6));
    sim.moveHome(4, false);
    sim.run(seconds(16));
    setDemands(sim, options, 0);
    sim.run(seconds(1)); // what is on its way to a server arrives
    EXPECT_GE(sim.used(from, sim.now()) / sim.asked(from, sim.now()), 0.95);
}

// A limit is smaller than one request of each daemon in a second. It is usable all the same, by whoever asks.
TEST(Quota, ALimitSmallerThanOneRequestADaemonIsUsable)
{
    quota_sim_options options;
    options.daemons = 70;
    options.limit = {4'200, 4'200};
    quota_sim sim(options);
    setDemands(sim, options, 120);
    sim.run(seconds(10));
    const millis from = sim.now();
    sim.run(seconds(40));
    EXPECT_GE(shareOf(sim, options.limit, from, sim.now()), 0.9);
    EXPECT_LE(sim.worstWindow(), 1.0);
}

// A daemon is cut off from all others for half a minute. It goes on with what it held, and then with an equal
// part; the others get no more than what that leaves, so that the limit holds.
TEST(Quota, ADaemonThatIsCutOffServesItsPartAndNoMore)
{
    quota_sim_options options;
    options.limit = {100'000, 100'000};
    quota_sim sim(options);
    setDemands(sim, options, 30'000);
    sim.run(seconds(8));
    sim.setGroup(5, 1);
    sim.run(seconds(35));
    const millis from = sim.now();
    sim.run(seconds(10));
    const double equal = options.limit.rate / options.daemons * 10;
    EXPECT_GE(sim.usedBy(5, from, sim.now()), 0.7 * equal);
    EXPECT_LE(sim.usedBy(5, from, sim.now()), 1.3 * equal);
    EXPECT_LE(sim.worstWindow(), 1.0);
}

// All daemons are killed at once and start again, home and all. None brings a full bucket with it, and after
// a second or two the account is served as before.
TEST(Quota, AfterAllWereKilledTheLimitIsUsedAgainSoonAndNotExceeded)
{
    quota_sim_options options;
    options.limit = {100'000, 100'000};
    quota_sim sim(options);
    setDemands(sim, options, 15'000);
    sim.run(seconds(8));
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < options.daemons; ++i) {
            sim.restart(i);
        }
        sim.moveHome(0, true);
        sim.run(millis{400});
    }
    sim.run(seconds(2));
    const millis from = sim.now();
    sim.run(seconds(6));
    EXPECT_GE(shareOf(sim, options.limit, from, sim.now()), 0.9);
    EXPECT_LE(sim.worstWindow(), 1.0);
}

// The operator lowers a limit far below what the account sends, and raises it again. The lower one holds one
// window later, the higher one is used within two seconds.
TEST(Quota, ALoweredAndARaisedLimitAreFollowed)
{
    quota_sim_options options;
    options.limit = {100'000, 100'000};
    quota_sim sim(options);
    setDemands(sim, options, 15'000);
    sim.run(seconds(8));
    const quota_limit low{10'000, 10'000};
    sim.setLimit(low);
    sim.run(seconds(8));
    const millis lowered = sim.now();
    sim.run(seconds(8));
    EXPECT_LE(sim.used(lowered, sim.now()), (10'000 * 8 + 10'000) * 1.1 + 17'000);
    EXPECT_GE(sim.used(lowered, sim.now()), 0.9 * 10'000 * 8);
    sim.setLimit(options.limit);
    sim.run(seconds(2));
    const millis raised = sim.now();
    sim.run(seconds(5));
    EXPECT_GE(shareOf(sim, options.limit, raised, sim.now()), 0.9);
}

TEST(Quota, ARequestLargerThanItsAccountMayEverUseIsRefusedForGood)
{
    quota_desk desk;
    const quota_limit limit{100, 100};
    EXPECT_EQ(takeUnits(desk, 1, limit, 1, 1'000'000'000, millis{1'000}).verdict, quota_verdict::TooLarge);
}

// A request took its units and found no place. They are there for the next one, and once only.
TEST(Quota, UnitsOfARequestThatDidNotRunAreUsableAgainOnce)
{
    quota_desk desk;
    desk.plan = usualQuotaPlan;
    const std::uint64_t account = accountHash("ana");
    const quota_limit limit{1'000, 1'000};
    desk_shard &shard = desk.shards[shardOf(account)];
    shard.contact = millis{100'000} - desk.plan.aloneAfter;
    shard.alone = 1;
    millis now{100'500}; // half a second's units are here
    ASSERT_NE(takeUnits(desk, account, limit, 1, 1'000, now).verdict, quota_verdict::Granted);
    now = now + second;
    dropWaiter(desk, account, 1);
    ASSERT_EQ(takeUnits(desk, account, limit, 2, 1'000, now).verdict, quota_verdict::Granted);
    returnUnits(desk, account, 1'000, now);
    EXPECT_EQ(takeUnits(desk, account, limit, 3, 1'000, now).verdict, quota_verdict::Granted);
    EXPECT_NE(takeUnits(desk, account, limit, 4, 1'000, now).verdict, quota_verdict::Granted);
}

// A daemon held a part, lost its home, and hears nothing for longer than the part lasts. What the home has
// given to others meanwhile isn't used a second time here.
TEST(Quota, APartThatHasRunOutFillsNoBucket)
{
    quota_desk desk;
    const quota_limit limit{1'000, 1'000};
    desk_account &account = desk.accounts[ana];
    account.limit = limit;
    account.part = 0.5;
    account.partUntil = millis{101'000};
    account.bucket.filled = millis{100'000};
    EXPECT_EQ(takeUnits(desk, ana, limit, 1, 400, millis{100'900}).verdict, quota_verdict::Granted);
    EXPECT_NE(takeUnits(desk, ana, limit, 2, 400, millis{110'000}).verdict, quota_verdict::Granted);
}

// An answer comes so late that the home may already go by the daemon's being cut off. It gives nothing and
// renews nothing.
TEST(Quota, ALateAnswerGivesNothing)
{
    for (const bool late : {false, true}) {
        quota_desk desk;
        const quota_limit limit{1'000, 1'000};
        const millis asked{100'000};
        setHome(desk, shardOf(ana), "home", 1, asked);
        ASSERT_EQ(takeUnits(desk, ana, limit, 1, 400, asked).verdict, quota_verdict::Waits);
        const auto asks = asksDue(desk, 2, asked);
        const auto ask = std::find_if(asks.begin(), asks.end(), [](const addressed_ask &each) {
            return each.ask.shard == shardOf(ana);
        });
        ASSERT_NE(ask, asks.end());
        const quota_response answer{shardOf(ana), ask->ask.round, 500'000, {{ana, 100'000, toMilli(400), 0}}};
        const auto settled = takeAnswer(desk, answer, asked + answerLife + millis{late ? 1 : 0});
        EXPECT_EQ(settled.size(), late ? 0U : 1U);
        EXPECT_EQ(desk.shards[shardOf(ana)].contact.has_value(), !late);
    }
}

// A daemon was killed and started again, and a message that its former process sent comes only now. It must
// not make the home forget what the new process holds.
TEST(Quota, ALateMessageOfAnEndedProcessIsPassedOver)
{
    quota_home home = homeOf({"a", "b"});
    const auto askOf = [&home](std::uint64_t incarnation, std::uint64_t round, std::uint32_t heldSharePpm) {
        const quota_request ask{shardOf(ana), round, 0, 0, {{ana, 0, 0, heldSharePpm, 0, 0, 0}}};
        return answerAsk(
            home, usualQuotaPlan, {}, limitOfAna, {"a", incarnation, false}, ask, millis{101'000});
    };
    ASSERT_TRUE(askOf(1, 1, 0));
    ASSERT_TRUE(askOf(2, 1, 100'000));
    EXPECT_FALSE(askOf(1, 2, 0));
    EXPECT_GE(home.accounts[ana].holdings["a"].part, 0.1);
}

// A home stands still for ten seconds. A daemon that it had not heard for long takes to its equal part
// meanwhile; the home's bucket must not fill for that time as if nobody had.
TEST(Quota, AHomeThatStoodStillGivesNothingThatOthersUsedMeanwhile)
{
    quota_home home = homeOf({"a", "b"});
    millis now{101'000};
    std::map<std::string, std::uint64_t> rounds;
    const auto hear = [&](const std::string &node, double need) {
        std::uint64_t &round = rounds[node];
        const quota_request ask{
            shardOf(ana), round + 1, round, 500'000, {{ana, 0, 0, 0, toMilli(need), toMilli(need), 0}}};
        ++round;
        return answerAsk(home, usualQuotaPlan, {}, limitOfAna, {node, 1, true}, ask, now).has_value();
    };
    for (int i = 0; i < 3; ++i) {
        now = now + millis{100};
        ASSERT_TRUE(hear("a", 0) && hear("b", 0));
    }
    for (int i = 0; i < 28; ++i) {
        now = now + second;
        ASSERT_TRUE(hear("a", 0));
    }
    const double before = home.accounts[ana].bucket.level;
    now = now + seconds(10); // b has been cut off for long enough
    ASSERT_TRUE(hear("a", 0));
    EXPECT_LE(home.accounts[ana].bucket.level - before, 0.5 * 1'000 * 10 + 1);
}

// What a daemon and its homes tell each other must not grow with the fleet. With few accounts it has to leave
// most of the 2 KB a second that control may take; where accounts are so many that none deserves a part, each
// request is asked for, which nothing but the requests of a daemon drives.
TEST(Quota, WhatADaemonAndItsHomesTellEachOtherDoesNotGrowWithTheFleet)
{
    constexpr double askAndAnswer = 200; // bytes
    constexpr double perSecond = 34; // requests of a daemon at the largest size
    for (const std::size_t daemons : {70U, 300U, 1'200U}) {
        const double few = bytesASecond(16, perSecond, daemons);
        const double many = bytesASecond(10'000, perSecond, daemons);
        std::cout << daemons << " daemons: " << few << " bytes a second with 16 accounts, " << many
                  << " with 10,000\n";
        EXPECT_LE(few, 2'000 * 0.75);
        EXPECT_LE(many, perSecond * askAndAnswer);
    }
}

}
