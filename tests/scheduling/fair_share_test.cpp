#include "scheduling/fair_share.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

constexpr double tokensPerMs = 22;

struct competitor
{
    double weight = 1;
    int minTokens = 2'000;
    int maxTokens = 2'400;
    double admitted = 0;
};

/// A server that always has a waiting request of each competitor.
struct busy_server
{
    fair_shares shares;
    std::vector<competitor> accounts;
    std::mt19937 random{1};
    double nowMs = 100'000;

    millis now() const
    {
        return {static_cast<std::int64_t>(nowMs)};
    }

    double use(std::size_t account) const
    {
        return useOverWeight(shares, account + 1, accounts[account].weight, now());
    }

    void admitNext()
    {
        std::size_t next = 0;
        for (std::size_t i = 1; i < accounts.size(); ++i) {
            next = use(i) < use(next) ? i : next;
        }
        competitor &from = accounts[next];
        const int tokens = std::uniform_int_distribution<int>(from.minTokens, from.maxTokens)(random);
        recordUse(shares, next + 1, tokens, now());
        from.admitted += tokens;
        nowMs += tokens / tokensPerMs;
    }

    void run(double ms)
    {
        for (const double end = nowMs + ms; nowMs < end;) {
            admitNext();
        }
    }
};

constexpr int accountCount = 16;

struct queued_request
{
    int account = 0;
    double arrivedMs = 0;
};

/// Refusals for want of room of all accounts but the first, in a minute in which the first sends `factor`
/// times what each of the others does. Refused is who has waited too long, and the newest request of the
/// account with the largest use when the queue is full.
int refusedOfOthers(double factor, bool fair)
{
    constexpr double requestTokens = 2'368;
    constexpr double load = 1.05; // of the server, without the excess
    constexpr double maxWaitMs = 760;
    constexpr std::size_t maxQueue = 40;
    constexpr double gapMs = requestTokens / tokensPerMs / load * accountCount;
    std::array<std::mt19937, accountCount> random;
    std::array<double, accountCount> nextArrival{};
    const auto draw = [&](int account) {
        const auto i = static_cast<std::size_t>(account);
        const double gap = account == 0 ? gapMs / factor : gapMs;
        nextArrival[i] += std::exponential_distribution<double>(1 / gap)(random[i]);
    };
    for (int i = 0; i < accountCount; ++i) {
        random[static_cast<std::size_t>(i)].seed(static_cast<unsigned>(i) + 7);
        draw(i);
    }
    fair_shares shares;
    std::deque<queued_request> queue;
    int refused = 0;
    const auto refuse = [&](const std::deque<queued_request>::iterator &which) {
        refused += which->account != 0 ? 1 : 0;
        queue.erase(which);
    };
    for (double nowMs = 0; nowMs < 60'000; nowMs += requestTokens / tokensPerMs) {
        const millis now{static_cast<std::int64_t>(nowMs) + 100'000};
        const auto useOf = [&](const queued_request &each) {
            return fair ? useOverWeight(shares, static_cast<std::uint64_t>(each.account) + 1, 1, now) : 0;
        };
        const auto less = [&](const queued_request &a, const queued_request &b) {
            return useOf(a) < useOf(b);
        };
        for (;;) {
            const auto first = std::min_element(nextArrival.begin(), nextArrival.end());
            if (*first > nowMs) {
                break;
            }
            const int account = static_cast<int>(first - nextArrival.begin());
            queue.push_back({account, *first});
            draw(account);
            if (queue.size() > maxQueue) {
                refuse(std::prev(std::max_element(queue.rbegin(), queue.rend(), less).base()));
            }
        }
        while (!queue.empty() && queue.front().arrivedMs + maxWaitMs < nowMs) {
            refuse(queue.begin());
        }
        if (!queue.empty()) {
            const auto next = std::min_element(queue.begin(), queue.end(), less);
            recordUse(shares, static_cast<std::uint64_t>(next->account) + 1,
                static_cast<std::int64_t>(requestTokens), now);
            queue.erase(next);
        }
    }
    return refused;
}

}

// Accounts of any weight and request size that always have waiting requests. None may be ahead of another by
// more than the bounds that the header states.
RC_GTEST_PROP(FairShares, AdmittedTokensOfCompetitorsDifferByTheStatedBoundAtMost, ())
{
    busy_server server;
    server.random.seed(*rc::gen::inRange(1U, 1'000'000U));
    const int count = *rc::gen::inRange(2, 7);
    for (int i = 0; i < count; ++i) {
        const int minTokens = *rc::gen::inRange(50, 3'000);
        server.accounts.push_back(
            {*rc::gen::element(0.25, 1.0, 1.8, 4.0), minTokens, minTokens + *rc::gen::inRange(0, 2'000), 0});
    }
    const double start = server.nowMs;
    for (int step = 0; step < 800; ++step) {
        server.admitNext();
        const double seconds = (server.nowMs - start) / 1'000;
        for (std::size_t i = 0; i < server.accounts.size(); ++i) {
            for (std::size_t k = 0; k < i; ++k) {
                const competitor &a = server.accounts[i];
                const competitor &b = server.accounts[k];
                const double largest = std::max(a.maxTokens, b.maxTokens) / std::min(a.weight, b.weight);
                const double ahead = std::abs(a.admitted / a.weight - b.admitted / b.weight);
                RC_ASSERT(ahead <= (3 + 0.52 * seconds) * largest);
                // The value that decides contains half a mean request of each.
                RC_ASSERT(std::abs(server.use(i) - server.use(k)) <= 2 * largest);
            }
        }
    }
}

// One account sends large requests, another small ones. By the recent use alone the large ones would stay
// ahead, since their use is above its minimum by half a request on average.
TEST(FairShares, LargeRequestsGetNoMoreTokensThanSmallOnes)
{
    busy_server server;
    server.accounts = {{1, 4'000, 4'400, 0}, {1, 190, 210, 0}, {2, 900, 1'100, 0}};
    server.run(60'000);
    const double mean = 60'000 * tokensPerMs / 4;
    for (const competitor &each : server.accounts) {
        EXPECT_NEAR(each.admitted / each.weight, mean, 0.03 * mean);
    }
}

// An account was idle for a minute while another used the server alone. It must not have saved up a minute's
// share.
TEST(FairShares, AnIdleAccountSavesUpNoMoreThanThreeSecondsOfUse)
{
    busy_server server;
    server.accounts = {{}};
    server.run(60'000);
    server.accounts.push_back({});
    server.accounts[0].admitted = 0;
    server.run(20'000);
    const double ahead = server.accounts[1].admitted - server.accounts[0].admitted;
    EXPECT_GE(ahead, 0);
    EXPECT_LE(ahead, 3'000 * tokensPerMs);
}

// Thousands of small accounts call one server. What is remembered stays bounded, and an account that calls
// often is not forgotten for those that call once.
TEST(FairShares, ThousandsOfAccountsNeedBoundedMemory)
{
    constexpr std::uint64_t frequent = 1;
    fair_shares shares;
    millis now{100'000};
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now = now + millis{1};
        recordUse(shares, 1'000 + i, 2'000, now);
        if (i % 100 == 0) {
            recordUse(shares, frequent, 2'000, now);
        }
        ASSERT_LE(shares.accounts.size(), maxSharedAccounts);
    }
    EXPECT_GT(useOverWeight(shares, frequent, 1, now), 10'000);
}

// One account sends six times its usual. The refusals of all others must stay as they were.
TEST(FairShares, AnAccountThatSendsSixTimesItsUsualTakesNoRoomFromOthers)
{
    const int usual = refusedOfOthers(1, true);
    const int six = refusedOfOthers(6, true);
    const int sixUnfair = refusedOfOthers(6, false);
    std::cout << "refused of the others: " << usual << " at the usual rates, " << six
              << " while one account sends six times its usual, " << sixUnfair << " in order of arrival\n";
    EXPECT_LE(six, 1.1 * usual);
    EXPECT_GT(sixUnfair, 2 * usual);
}

}
