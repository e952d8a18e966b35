#include "protocol/codec.h"
#include "quota_sim.h"

#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr millis second{1'000};
constexpr double statedMinimum = 0.05; ///< of a limit, for less urgent requests

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
    quota_home home = startHome(millis{100'000}, true);
    setFleet(home, std::move(fleet));
    return home;
}

void setDemandOfEach(quota_sim &sim, const quota_sim_options &options, double each, double urgentFraction = 0)
{
    for (int i = 0; i < options.daemons; ++i) {
        sim.setDemand(i, each, urgentFraction * each);
    }
}

/// Bytes per second of the requests and responses between one daemon, with callers of many accounts, and its
/// homes. The limits grow with the fleet, so that the daemon's share of them stays typical.
double bytesPerSecond(int accounts, double perSecond, std::size_t daemons, bool byRank)
{
    constexpr int seconds = 30;
    constexpr double cost = 2'400;
    const double rate = std::max(2 * perSecond * static_cast<double>(daemons) / accounts, 2.0) * cost;
    const limit_lookup limits = [rate](std::uint64_t) {
        return std::optional(quota_limit{rate, rate});
    };
    std::mt19937 random(1);
    quota_client client;
    client.byRank = byRank;
    std::map<std::uint32_t, quota_home> homes;
    millis now{100'000};
    for (std::uint32_t shard = 0; shard < quotaShards; ++shard) {
        homes[shard] = homeOf({"a"});
        setHome(client, shard, "home", 1, now);
        client.shards[shard].homeKnowsRanks = byRank;
    }
    std::size_t bytes = 0;
    std::uint64_t id = 0;
    for (int step = 0; step < seconds * 100; ++step) {
        now = now + millis{10};
        if (std::uniform_real_distribution<double>(0, 100)(random) < perSecond) {
            const int account = std::uniform_int_distribution<int>(0, accounts - 1)(random);
            const quota_urgency urgency = id % 2 == 0 ? quota_urgency::MostUrgent : quota_urgency::LessUrgent;
            const std::uint64_t hash = accountHash(std::to_string(account));
            (void)acquireUnits(client, hash, *limits(0), ++id, cost, now, urgency);
        }
        for (const addressed_request &each : dueRequests(client, daemons, now)) {
            const extended_quota_request extended{each.request, each.demandFields};
            bytes += each.ranked ? encode(fleet_datagram{"edge-zg-1", 1, extended}).size()
                                 : encode(fleet_datagram{"edge-zg-1", 1, each.request}).size();
            const auto response = handleRequest(
                homes[each.request.shard], defaultQuotaPlan, {}, limits, {"a", 1, true}, extended, now);
            bytes += response ? encode(fleet_datagram{"edge-zg-2", 1, *response}).size() : 0;
            (void)applyResponse(client, *response, now);
        }
    }
    return static_cast<double>(bytes) / seconds;
}

/// Injects one random fault or change.
void injectFault(quota_sim &sim, std::mt19937 &random, int daemons)
{
    const auto randomBelow = [&random](int below) {
        return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    const int daemon = randomBelow(daemons);
    switch (randomBelow(9)) {
    case 0:
        sim.kill(daemon);
        break;
    case 1:
    case 2:
        sim.restart(daemon);
        if (sim.home() == daemon && randomBelow(2) == 0) {
            sim.moveHome(daemon, true); // it claims its former record
        }
        break;
    case 3:
        sim.freeze(daemon, millis{100 + randomBelow(6'000)});
        break;
    case 4:
        sim.setGroup(daemon, randomBelow(2));
        break;
    case 5:
        sim.moveHome(daemon, false);
        break;
    case 6:
        for (int i = 0; i < daemons; ++i) {
            sim.restart(i);
        }
        sim.moveHome(sim.home(), true);
        break;
    case 7:
        sim.setDemand(daemon, 40'000.0 * randomBelow(3));
        break;
    default:
        for (int i = 0; i < daemons; ++i) {
            sim.setGroup(i, 0);
        }
        break;
    }
}

quota_sim_options randomOptions()
{
    quota_sim_options options;
    options.seed = *rc::gen::inRange(1U, 1'000'000U);
    options.limit.rate = *rc::gen::element(4'200.0, 30'000.0, 200'000.0);
    options.limit.burst = options.limit.rate;
    options.loss = *rc::gen::element(0.0, 0.1, 0.4);
    options.duplication = *rc::gen::element(0.0, 0.2);
    options.maxDelayMs = *rc::gen::element(4, 200, 2'000);
    options.maxSlotWaitMs = *rc::gen::element(0, 400, 1'500);
    return options;
}

/// Demands three times the limit, of which a fraction is urgent, while faults happen.
void checkUnderFaults(const quota_sim_options &options, double urgentFraction)
{
    quota_sim sim(options);
    std::mt19937 random(options.seed);
    const double each = 3 * options.limit.rate / options.daemons;
    for (int i = 0; i < options.daemons; ++i) {
        sim.setDemand(i, each, urgentFraction * each);
    }
    for (int i = 0; i < 30; ++i) {
        sim.run(millis{std::uniform_int_distribution<int>(50, 3'000)(random)});
        injectFault(sim, random, options.daemons);
        if (urgentFraction > 0) {
            sim.setByRank(std::uniform_int_distribution<int>(0, 9)(random) > 0);
        }
    }
    sim.run(seconds(25));
    constexpr double rounding = 1e-3; // messages carry shares in millionths
    RC_ASSERT(sim.maxSharesInUse() <= 1.0 + rounding);
    RC_ASSERT(sim.maxWindowUsage() <= 1.0);
}

struct six_times_result
{
    double use = 0; ///< of the limit
    double urgentRefused = 0; ///< fraction of the urgent units demanded
    double othersUse = 0; ///< of the limit
};

/// An account sends six times its usual rate for a minute; its limit is 1.8 times that rate.
six_times_result sendSixTimes(
    int daemons, double rate, double urgentFraction, bool byRank, bool homeKnowsRanks)
{
    constexpr int length = 60;
    quota_sim_options options;
    options.daemons = daemons;
    options.limit = {rate, rate};
    options.byRank = byRank;
    options.homeKnowsRanks = homeKnowsRanks;
    quota_sim sim(options);
    const double each = 6 / 1.8 * rate / daemons;
    for (int i = 0; i < daemons; ++i) {
        sim.setDemand(i, each, urgentFraction * each);
    }
    sim.run(seconds(4));
    const millis from = sim.now();
    sim.run(seconds(length));
    EXPECT_LE(sim.maxWindowUsage(), 1.0);
    const double used = sim.used(from, sim.now());
    const double urgent = sim.urgentUsed(from, sim.now());
    return {used / (rate * length), 1 - urgent / sim.urgentDemanded(from, sim.now()),
        (used - urgent) / (rate * length)};
}

}

// Callers of one account demand several times its limit. Daemons crash, restart, pause, are disconnected from
// their home and change it, and the network loses, duplicates and delays messages. Daemons and homes together
// must never use more than the limit at once, and no window may exceed what the limit and the permitted
// overage allow.
RC_GTEST_PROP(Quota, NoWindowHoldsMoreThanTheLimitWhateverFails, ())
{
    checkUnderFaults(randomOptions(), 0);
}

// The same with urgent and less urgent requests, at homes that tell them apart and at homes that don't, while
// new configurations change whether ranks count. The
// reserve, the minimum of the less urgent and the grants by rank must not add to what is granted.
RC_GTEST_PROP(Quota, NoWindowHoldsMoreThanTheLimitByRankWhateverFails, ())
{
    quota_sim_options options = randomOptions();
    options.byRank = true;
    options.homeKnowsRanks = *rc::gen::element(true, true, false);
    checkUnderFaults(options, *rc::gen::element(0.1, 0.5, 0.9));
}

// The balancer hashes clients, so nearly all callers of an account may reach two of many daemons and demand
// more than its limit. The whole limit must be usable there.
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
    EXPECT_LE(sim.maxWindowUsage(), 1.0);
}

// An account's callers move between daemons every few seconds and demand more than its limit in total.
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
    EXPECT_LE(sim.maxWindowUsage(), 1.0);
}

// The home of an account that stays within its limit crashes. The callers don't notice it, because the
// daemons' shares last until the successor grants units.
TEST(Quota, AnAccountWithinItsLimitIsServedWhileItsHomeIsReplaced)
{
    for (const bool byRank : {false, true}) {
        quota_sim_options options;
        options.byRank = byRank;
        options.limit = {200'000, 200'000};
        quota_sim sim(options);
        setDemandOfEach(sim, options, 9'000, 0.5);
        sim.run(seconds(8));
        const millis from = sim.now();
        sim.setDemand(0, 0);
        sim.kill(0);
        sim.run(seconds(6));
        sim.moveHome(4, false);
        sim.run(seconds(16));
        setDemandOfEach(sim, options, 0);
        sim.run(seconds(1)); // requests on their way to a server arrive
        EXPECT_GE(sim.used(from, sim.now()) / sim.demanded(from, sim.now()), 0.95);
    }
}

// The limit is smaller than one request of each daemon per second. Any daemon must be able to use it.
TEST(Quota, ALimitSmallerThanOneRequestPerDaemonIsUsable)
{
    quota_sim_options options;
    options.daemons = 70;
    options.limit = {4'200, 4'200};
    quota_sim sim(options);
    setDemandOfEach(sim, options, 120);
    sim.run(seconds(10));
    const millis from = sim.now();
    sim.run(seconds(40));
    EXPECT_GE(shareOf(sim, options.limit, from, sim.now()), 0.9);
    EXPECT_LE(sim.maxWindowUsage(), 1.0);
}

// A daemon is disconnected from all others for half a minute. It continues with its share and then with its
// fallback share. The others get only what that leaves, so the limit is kept.
TEST(Quota, ADisconnectedDaemonUsesItsFallbackShareAndNoMore)
{
    for (const bool byRank : {false, true}) {
        quota_sim_options options;
        options.byRank = byRank;
        options.limit = {100'000, 100'000};
        quota_sim sim(options);
        setDemandOfEach(sim, options, 30'000, 0.5);
        sim.run(seconds(8));
        sim.setGroup(5, 1);
        sim.run(seconds(35));
        const millis from = sim.now();
        sim.run(seconds(10));
        const double equal = options.limit.rate / options.daemons * 10;
        EXPECT_GE(sim.usedBy(5, from, sim.now()), 0.7 * equal);
        EXPECT_LE(sim.usedBy(5, from, sim.now()), 1.3 * equal);
        EXPECT_LE(sim.maxWindowUsage(), 1.0);
    }
}

// All daemons, including the home, are killed and restarted at once, several times. None may start with a
// full bucket, and the account must be served as before within two seconds.
TEST(Quota, AfterAllDaemonsRestartTheLimitIsSoonUsedAndNotExceeded)
{
    for (const bool byRank : {false, true}) {
        quota_sim_options options;
        options.byRank = byRank;
        options.limit = {100'000, 100'000};
        quota_sim sim(options);
        setDemandOfEach(sim, options, 15'000, 0.5);
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
        EXPECT_LE(sim.maxWindowUsage(), 1.0);
    }
}

// The operator lowers the limit far below the account's demand and raises it again. The lower limit is kept
// after one window, and the higher one is used within two seconds.
TEST(Quota, LoweredAndRaisedLimitsTakeEffect)
{
    for (const bool byRank : {false, true}) {
        quota_sim_options options;
        options.byRank = byRank;
        options.limit = {100'000, 100'000};
        quota_sim sim(options);
        setDemandOfEach(sim, options, 15'000, 0.5);
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
}

TEST(Quota, ARequestLargerThanItsAccountMayEverUseIsRefusedAsTooLarge)
{
    quota_client client;
    const quota_limit limit{100, 100};
    EXPECT_EQ(acquireUnits(client, 1, limit, 1, 1'000'000'000, millis{1'000}).result, quota_result::TooLarge);
}

// A request acquired units but did not run. The next request may use them, but only one.
TEST(Quota, UnitsOfARequestThatDidNotRunCanBeUsedOnce)
{
    quota_client client;
    client.plan = defaultQuotaPlan;
    const std::uint64_t account = accountHash("ana");
    const quota_limit limit{1'000, 1'000};
    quota_client_shard &shard = client.shards[shardOf(account)];
    shard.lastContact = millis{100'000} - client.plan.fallbackAfter;
    shard.fallbackShare = 1;
    millis now{100'500}; // the bucket has filled for half a second
    ASSERT_NE(acquireUnits(client, account, limit, 1, 1'000, now).result, quota_result::Granted);
    now = now + second;
    cancelWaiter(client, account, 1);
    ASSERT_EQ(acquireUnits(client, account, limit, 2, 1'000, now).result, quota_result::Granted);
    returnUnits(client, account, 1'000, now);
    EXPECT_EQ(acquireUnits(client, account, limit, 3, 1'000, now).result, quota_result::Granted);
    EXPECT_NE(acquireUnits(client, account, limit, 4, 1'000, now).result, quota_result::Granted);
}

// A daemon that held a share has no contact to its home for longer than the share lasts. It must not use what
// the home may have granted to others since.
TEST(Quota, AnExpiredShareFillsNoBucket)
{
    quota_client client;
    const quota_limit limit{1'000, 1'000};
    quota_client_account &account = client.accounts[ana];
    account.limit = limit;
    account.share = 0.5;
    account.shareUntil = millis{101'000};
    account.bucket.filledAt = millis{100'000};
    EXPECT_EQ(acquireUnits(client, ana, limit, 1, 400, millis{100'900}).result, quota_result::Granted);
    EXPECT_NE(acquireUnits(client, ana, limit, 2, 400, millis{110'000}).result, quota_result::Granted);
}

// The home may already count the daemon as disconnected when a late response arrives, so the response must
// have no effect.
TEST(Quota, ALateResponseGrantsAndRenewsNothing)
{
    for (const bool late : {false, true}) {
        quota_client client;
        const quota_limit limit{1'000, 1'000};
        const millis requestedAt{100'000};
        setHome(client, shardOf(ana), "home", 1, requestedAt);
        ASSERT_EQ(acquireUnits(client, ana, limit, 1, 400, requestedAt).result, quota_result::Pending);
        const auto requests = dueRequests(client, 2, requestedAt);
        const auto request =
            std::find_if(requests.begin(), requests.end(), [](const addressed_request &each) {
                return each.request.shard == shardOf(ana);
            });
        ASSERT_NE(request, requests.end());
        const quota_response response{
            shardOf(ana), request->request.round, 500'000, {{ana, 100'000, toMilli(400), 0}}};
        const auto resolved =
            applyResponse(client, response, requestedAt + quotaResponseTimeout + millis{late ? 1 : 0});
        EXPECT_EQ(resolved.size(), late ? 0U : 1U);
        EXPECT_EQ(client.shards[shardOf(ana)].lastContact.has_value(), !late);
    }
}

// After a daemon has restarted, a delayed message of its former process arrives. The home must still count
// what the new process holds.
TEST(Quota, ADelayedMessageOfAnEndedProcessIsIgnored)
{
    quota_home home = homeOf({"a", "b"});
    const auto sendRequest = [&home](
                                 std::uint64_t incarnation, std::uint64_t round, std::uint32_t heldSharePpm) {
        const quota_request request{shardOf(ana), round, 0, 0, {{ana, 0, 0, heldSharePpm, 0, 0, 0}}};
        return handleRequest(
            home, defaultQuotaPlan, {}, limitOfAna, {"a", incarnation, false}, request, millis{101'000});
    };
    ASSERT_TRUE(sendRequest(1, 1, 0));
    ASSERT_TRUE(sendRequest(2, 1, 100'000));
    EXPECT_FALSE(sendRequest(1, 2, 0));
    EXPECT_GE(home.accounts[ana].holdings["a"].share, 0.1);
}

// A home is paused for ten seconds. Meanwhile a daemon that it had not heard from for long uses its fallback
// share, so the home's bucket must fill more slowly for that time.
TEST(Quota, APausedHomeGrantsNothingThatDisconnectedDaemonsUsedMeanwhile)
{
    quota_home home = homeOf({"a", "b"});
    millis now{101'000};
    std::map<std::string, std::uint64_t> rounds;
    const auto request = [&](const std::string &node, double need) {
        std::uint64_t &round = rounds[node];
        const quota_request message{
            shardOf(ana), round + 1, round, 500'000, {{ana, 0, 0, 0, toMilli(need), toMilli(need), 0}}};
        ++round;
        return handleRequest(home, defaultQuotaPlan, {}, limitOfAna, {node, 1, true}, message, now)
            .has_value();
    };
    for (int i = 0; i < 3; ++i) {
        now = now + millis{100};
        ASSERT_TRUE(request("a", 0) && request("b", 0));
    }
    for (int i = 0; i < 28; ++i) {
        now = now + second;
        ASSERT_TRUE(request("a", 0));
    }
    const double before = home.accounts[ana].bucket.level;
    now = now + seconds(10); // daemon b has been disconnected for long enough
    ASSERT_TRUE(request("a", 0));
    EXPECT_LE(home.accounts[ana].bucket.level - before, 0.5 * 1'000 * 10 + 1);
}

// An account sends six times its usual rate, 3.3 times its limit, and part of that is urgent. First come,
// first served, as many urgent requests as others are refused. By rank the urgent ones go first, the others
// get the rest and never less than their minimum, and the limit is used as before. A home of an older build
// gets requests without ranks; only the daemons' own shares go by rank then.
TEST(Quota, UrgentRequestsGoFirstWhileAnAccountSendsSixTimesItsUsual)
{
    for (const int daemons : {12, 70}) {
        for (const double rate : {50'000.0, 200'000.0}) {
            for (const double urgentFraction : {0.1, 0.2, 0.69}) {
                const six_times_result before = sendSixTimes(daemons, rate, urgentFraction, false, false);
                const six_times_result old = sendSixTimes(daemons, rate, urgentFraction, true, false);
                const six_times_result after = sendSixTimes(daemons, rate, urgentFraction, true, true);
                std::cout << daemons << " daemons, limit " << rate << ", " << urgentFraction
                          << " urgent, without ranks, at an old home, at a new one: urgent refused "
                          << before.urgentRefused << ", " << old.urgentRefused << ", " << after.urgentRefused
                          << "; use " << before.use << ", " << old.use << ", " << after.use
                          << "; others' use " << before.othersUse << ", " << old.othersUse << ", "
                          << after.othersUse << '\n';
                EXPECT_GE(after.use, before.use - 0.02);
                EXPECT_GE(old.use, before.use - 0.06);
                EXPECT_GE(after.othersUse, 0.9 * statedMinimum);
                if (urgentFraction * 6 / 1.8 < 1) {
                    EXPECT_LE(after.urgentRefused, 0.5 * before.urgentRefused);
                } else { // the urgent ones alone exceed the limit
                    EXPECT_GE(after.use - after.othersUse, 0.85 * (1 - minLessUrgentShare) * after.use);
                }
            }
        }
    }
}

// Urgent demand of more than the limit ends. The others must get the whole limit within a second, and not
// wait until a prediction has decayed.
TEST(Quota, OthersGetTheLimitASecondAfterUrgentDemandEnds)
{
    for (const int daemons : {12, 70}) {
        quota_sim_options options;
        options.daemons = daemons;
        options.limit = {daemons * 4'000.0, daemons * 12'000.0};
        options.byRank = true;
        quota_sim sim(options);
        const double each = 2 * options.limit.rate / daemons;
        for (int i = 0; i < daemons; ++i) {
            sim.setDemand(i, 2 * each, each);
        }
        sim.run(seconds(10));
        const double othersBefore = shareOf(sim, options.limit, sim.now() - seconds(5), sim.now())
            - sim.urgentUsed(sim.now() - seconds(5), sim.now()) / (5 * options.limit.rate);
        EXPECT_LE(othersBefore, 0.2);
        setDemandOfEach(sim, options, each);
        sim.run(seconds(1) + millis{options.maxSlotWaitMs});
        const millis from = sim.now();
        sim.run(seconds(3));
        EXPECT_GE(shareOf(sim, options.limit, from, sim.now()), 0.93) << daemons;
    }
}

// All callers of one daemon are urgent and ask for ten times the limit; a few others reach the same daemon.
// These must not be shut out, neither at the home nor while the daemon is cut off from it: they get at least
// half of their minimum, though each of them finds hundreds of urgent ones beside it.
TEST(Quota, LessUrgentRequestsKeepTheirMinimumUnderAnyUrgentDemand)
{
    constexpr double minimum = 0.5 * statedMinimum;
    quota_sim_options options;
    options.limit = {100'000, 100'000};
    options.byRank = true;
    quota_sim sim(options);
    sim.setDemand(1, 10 * options.limit.rate, 9.5 * options.limit.rate);
    const auto othersUse = [&](int count) {
        const millis from = sim.now();
        sim.run(seconds(count));
        return (sim.used(from, sim.now()) - sim.urgentUsed(from, sim.now())) / (count * options.limit.rate);
    };
    sim.run(seconds(5));
    EXPECT_GE(othersUse(20), minimum);
    sim.setGroup(1, 1);
    sim.run(seconds(35));
    EXPECT_GE(othersUse(20), minimum / options.daemons);
    EXPECT_LE(sim.maxWindowUsage(), 1.0);
}

// Urgent needs have used up a home's bucket and its debt. The minimum of the less urgent must not add to
// that, or more is granted in a window than the limit and its tolerance allow.
TEST(Quota, TheMinimumOfLessUrgentNeedsStaysWithinTheDebt)
{
    const quota_tolerance rules{millis{8'000}, 0.1, 0};
    const quota_limit limit{1'000, 100'000};
    quota_home home = homeOf({"a"});
    std::uint64_t round = 0;
    millis now{130'000};
    const auto granted = [&](double need, bool urgent) {
        const extended_quota_request request{
            {shardOf(ana), ++round, round - 1, 0, {{ana, 0, 0, 0, toMilli(need), toMilli(need), 0}}},
            {{{static_cast<std::uint32_t>(quota_field::UrgentNeedMilli), urgent ? toMilli(need) : 0}}}};
        const auto response =
            handleRequest(home, defaultQuotaPlan, rules, limitOfAna, {"a", 1, true}, request, now);
        return response ? fromMilli(response->grants[0].unitsMilli) : 0;
    };
    for (int i = 0; i < 3; ++i) {
        (void)granted(1, false); // from the second acknowledged response on, the home grants
        now = now + second;
    }
    ASSERT_EQ(granted(1, false), 1);
    home.accounts[ana].lessUrgentMinimum.level = 50;
    home.accounts[ana].bucket.level = 0;
    EXPECT_DOUBLE_EQ(granted(maxDebt(limit, rules), true), maxDebt(limit, rules));
    EXPECT_EQ(granted(10, false), 0);
    EXPECT_GE(home.accounts[ana].bucket.level, -maxDebt(limit, rules));
}

// A daemon asks for a less urgent request; before the home denies it, an urgent one arrives. The denial must
// not refuse the urgent one, and later urgent ones may still ask.
TEST(Quota, ADenialOfLessUrgentNeedsDoesNotRefuseUrgentRequests)
{
    quota_client client;
    client.byRank = true;
    const quota_limit limit{1'000, 1'000};
    const millis now{100'000};
    setHome(client, shardOf(ana), "home", 1, now);
    client.shards[shardOf(ana)].homeKnowsRanks = true;
    ASSERT_EQ(acquireUnits(client, ana, limit, 1, 400, now, quota_urgency::LessUrgent).result,
        quota_result::Pending);
    (void)dueRequests(client, 2, now);
    ASSERT_EQ(acquireUnits(client, ana, limit, 2, 400, now).result, quota_result::Pending);
    const std::uint64_t round = client.shards[shardOf(ana)].round;
    const auto resolved = applyResponse(client, {shardOf(ana), round, 0, {{ana, 0, 0, 500}}}, now);
    ASSERT_EQ(resolved.size(), 1U);
    EXPECT_EQ(resolved[0].id, 1U);
    EXPECT_EQ(resolved[0].decision.result, quota_result::LimitReached);
    EXPECT_EQ(acquireUnits(client, ana, limit, 3, 400, now).result, quota_result::Pending);
    EXPECT_EQ(acquireUnits(client, ana, limit, 4, 400, now, quota_urgency::LessUrgent).result,
        quota_result::LimitReached);
}

// Units arrive for one of two waiting callers. The urgent one, which came last, must be served.
TEST(Quota, WaitingUrgentRequestsAreServedFirst)
{
    quota_client client;
    client.byRank = true;
    const quota_limit limit{1'000, 1'000};
    const millis now{100'000};
    setHome(client, shardOf(ana), "home", 1, now);
    (void)acquireUnits(client, ana, limit, 1, 400, now, quota_urgency::LessUrgent);
    (void)acquireUnits(client, ana, limit, 2, 400, now, quota_urgency::MostUrgent);
    const auto requests = dueRequests(client, 2, now);
    EXPECT_TRUE(std::none_of(requests.begin(), requests.end(), [](const addressed_request &each) {
        return each.ranked; // the home has not been heard to understand ranks
    }));
    const std::uint64_t round = client.shards[shardOf(ana)].round;
    const auto resolved = applyResponse(client, {shardOf(ana), round, 0, {{ana, 0, toMilli(400), 0}}}, now);
    ASSERT_EQ(resolved.size(), 1U);
    EXPECT_EQ(resolved[0].id, 2U);
    EXPECT_EQ(resolved[0].decision.result, quota_result::Granted);
}

// The traffic between a daemon and its homes must not grow with the fleet. With few accounts, it must leave
// most of the 2 KB per second that control traffic may take. With so many accounts that none gets a share,
// each caller's request needs one request to a home, so the traffic depends only on the daemon's own
// requests.
TEST(Quota, TrafficBetweenADaemonAndItsHomesDoesNotGrowWithTheFleet)
{
    constexpr double maxRequestAndResponseBytes = 200;
    constexpr double perSecond = 34; // requests per daemon in the largest fleet
    for (const std::size_t daemons : {70U, 80U, 300U, 1'200U}) {
        for (const bool byRank : {false, true}) {
            const double withFewAccounts = bytesPerSecond(16, perSecond, daemons, byRank);
            const double withManyAccounts = bytesPerSecond(10'000, perSecond, daemons, byRank);
            std::cout << daemons << " daemons" << (byRank ? ", by rank: " : ": ") << withFewAccounts
                      << " bytes a second with 16 accounts, " << withManyAccounts << " with 10,000\n";
            EXPECT_LE(withFewAccounts, 2'000 * 0.75);
            EXPECT_LE(withManyAccounts, perSecond * maxRequestAndResponseBytes);
        }
    }
}

}
