#include "coordination/quota_task.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

/// A task whose accounts have all their homes at one other daemon.
struct quota_task_test : testing::Test
{
    quota_task_test()
    {
        quota_callbacks links;
        links.self = "self";
        links.daemons = [] {
            return std::size_t{2};
        };
        links.live = links.fleet = [] {
            return std::vector<std::string>{"home", "self"};
        };
        links.homeOf = [this](std::uint32_t) {
            return std::optional(shard_home{"home", m_term, false, true});
        };
        links.limitOf = [](std::uint64_t) {
            return std::optional(quota_limit{1'000, 1'000});
        };
        links.sendRequest = [this](const std::string &, const quota_request &) {
            ++m_plain;
        };
        links.sendExtendedRequest = [this](const std::string &, const extended_quota_request &request) {
            ++m_extended;
            EXPECT_EQ(request.demandFields.size(), request.request.demands.size());
        };
        links.understandsRanks = [this](const std::string &) {
            return m_understands;
        };
        links.askFeatures = [this](const std::string &) {
            ++m_asked;
        };
        links.log = [](const quota_log_entry &) {};
        m_task = std::make_unique<quota_task>(m_loop, links, defaultQuotaPlan, quota_tolerance{});
    }

    /// Has the requests to all homes sent anew, with a caller that waits.
    void sendAll()
    {
        m_plain = 0;
        m_extended = 0;
        ++m_term;
        m_task->onRecordsChanged();
        (void)m_task->acquire(
            1, {1'000, 1'000}, 100, quota_urgency::MostUrgent, [](const quota_decision &) {});
    }

    loop m_loop;
    std::int64_t m_term = 0;
    bool m_understands = false;
    int m_asked = 0;
    std::uint32_t m_plain = 0;
    std::uint32_t m_extended = 0;
    std::unique_ptr<quota_task> m_task;
};

}

// During a release a home of an older build drops requests that it doesn't know; its accounts would get
// nothing. It must get the old request until it is known to understand the new one, and must not be asked
// each time.
TEST_F(quota_task_test, OnlyHomesThatUnderstandRanksAreSentThem)
{
    m_task->onLimitsChanged(true, true);
    sendAll();
    EXPECT_EQ(m_plain, quotaShards);
    EXPECT_EQ(m_extended, 0U);
    sendAll();
    EXPECT_EQ(m_asked, 1);
    m_understands = true;
    sendAll();
    EXPECT_EQ(m_plain, 0U);
    EXPECT_EQ(m_extended, quotaShards);
    m_understands = false; // it restarted with an older build
    sendAll();
    EXPECT_EQ(m_plain, quotaShards);
    EXPECT_EQ(m_extended, 0U);
}

// An operator asks why an account is refused: its limit, and the demand of each rank, must be found here.
TEST_F(quota_task_test, StatusShowsTheLimitAndTheDemandByRank)
{
    m_task->onLimitsChanged(true, true);
    m_task->onRecordsChanged();
    for (const quota_urgency urgency : {quota_urgency::MostUrgent, quota_urgency::LessUrgent}) {
        (void)m_task->acquire(1, {1'000, 2'000}, 100, urgency, [](const quota_decision &) {});
    }
    const quota_status status = m_task->status(1);
    EXPECT_EQ(status.limit.rate, 1'000);
    EXPECT_EQ(status.limit.burst, 2'000);
    EXPECT_GT(status.urgentDemand, 0);
    EXPECT_GT(status.demand, status.urgentDemand);
    EXPECT_EQ(status.urgentUse, 0); // nothing was granted
    EXPECT_EQ(m_task->status(2).limit.rate, 0);
}

// A new configuration no longer has ranks. Nothing may differ from builds that don't know ranks.
TEST_F(quota_task_test, WithoutRanksNoHomeIsSentThemOrAsked)
{
    m_understands = true;
    m_task->onLimitsChanged(true, true);
    sendAll();
    EXPECT_EQ(m_extended, quotaShards);
    m_task->onLimitsChanged(true, false);
    sendAll();
    EXPECT_EQ(m_plain, quotaShards);
    EXPECT_EQ(m_extended, 0U);
    m_understands = false;
    sendAll();
    EXPECT_EQ(m_asked, 0);
}

}
