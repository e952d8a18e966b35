#include "daemon/metrics.h"

#include <gtest/gtest.h>

namespace briarhead {
namespace {

constexpr millis start{5'000'000};

config twoCallers()
{
    config at;
    at.version = 1;
    at.callers.mutableEntries()["ana"] = {};
    at.callers.mutableEntries()["dispatch \"east\""] = {};
    at.targets.mutableEntries()["plans"] = {"*", "plan-*", {500}, {4'000}, 0.99, 50};
    return at;
}

request_record plan(const std::string &caller)
{
    return {caller, "plan-fuk", "e1", false, outcome::Done, error_kind::None, priority::High, {300}, {1'300},
        {10}, {5}, 101};
}

bool holds(const std::string &text, const std::string &line)
{
    return text.find(line + '\n') != std::string::npos;
}

TEST(Metrics, ExportsCountersAndHistograms)
{
    metrics all;
    const config at = twoCallers();
    observe(all, plan("ana"), at, start);
    request_record lost = plan("dispatch \"east\"");
    lost.result = outcome::Unknown;
    lost.why = error_kind::ConnectionLost;
    observe(all, lost, at, start);
    const std::string text = prometheusText(all);
    EXPECT_TRUE(holds(text, "briarhead_requests_total{kind=\"adapter\",outcome=\"done\",why=\"none\"} 1"));
    EXPECT_TRUE(holds(
        text, "briarhead_requests_total{kind=\"adapter\",outcome=\"unknown\",why=\"connection_lost\"} 1"));
    EXPECT_TRUE(holds(text, "briarhead_caller_tokens_total{caller=\"dispatch \\\"east\\\"\"} 101"));
    EXPECT_TRUE(holds(
        text, "briarhead_first_token_seconds_bucket{kind=\"adapter\",priority=\"high\",le=\"0.256\"} 0"));
    EXPECT_TRUE(holds(
        text, "briarhead_first_token_seconds_bucket{kind=\"adapter\",priority=\"high\",le=\"1.024\"} 2"));
    EXPECT_TRUE(holds(text, "briarhead_request_seconds_sum{kind=\"adapter\",priority=\"high\"} 1.3"));
    EXPECT_TRUE(holds(text, "briarhead_target_missed_total{target=\"plans\",cause=\"failed_server\"} 1"));
    EXPECT_TRUE(holds(text, "briarhead_server_failures_total{server=\"e1\"} 1"));
    EXPECT_EQ(text.find("plan-fuk"), std::string::npos);
}

TEST(Metrics, BoundsLabelsByNamesFromOutside)
{
    metrics all;
    config at = twoCallers();
    for (std::size_t i = 0; i < 2 * maxMetricCallers; ++i) {
        at.callers.mutableEntries()["caller-" + std::to_string(i)] = {};
    }
    for (std::size_t i = 0; i < 2 * maxMetricCallers; ++i) {
        request_record request = plan("caller-" + std::to_string(i));
        request.server = "e" + std::to_string(i);
        request.result = outcome::Unknown;
        request.why = error_kind::Timeout;
        observe(all, request, at, start);
        observe(all, plan("stranger-" + std::to_string(i)), at, start);
        setGauge(all, "gauge_" + std::to_string(10 * i), 1);
    }
    EXPECT_LE(all.callers.size(), maxMetricCallers + 1);
    EXPECT_FALSE(all.callers.contains("stranger-0"));
    EXPECT_LE(all.serverFailures.size(), maxMetricServers + 1);
    EXPECT_LE(all.gauges.size(), maxGauges);
}

// A removed target shows up again in the report and never leaves. A long request admitted under the older
// configuration ends after the patch that removed the target, and its configuration still names it.
TEST(Metrics, FollowsTheConfigurationAndNeverAnOlderOne)
{
    metrics all;
    const config before = twoCallers();
    observe(all, plan("ana"), before, start);
    config after = before;
    after.version = 2;
    after.targets.mutableEntries().clear();
    after.callers.mutableEntries().erase("ana");
    followConfig(all, after, start);
    observe(all, plan("ana"), before, start);
    EXPECT_TRUE(all.targets.empty());
    EXPECT_FALSE(all.callers.contains("ana"));
}

TEST(Metrics, GaugesComeAndGo)
{
    metrics all;
    setGauge(all, "peers", 8);
    setServerGauge(all, "batch_fill", "e1", 0.75);
    setServerGauge(all, "batch_fill", "e2", 0.5);
    dropServerGauges(all, "e2");
    const std::string text = prometheusText(all);
    EXPECT_TRUE(holds(text, "briarhead_peers 8"));
    EXPECT_TRUE(holds(text, "briarhead_batch_fill{server=\"e1\"} 0.75"));
    EXPECT_EQ(text.find("e2"), std::string::npos);
}

TEST(Metrics, BurnReportListsIdleTargetsToo)
{
    metrics all;
    const config at = twoCallers();
    followConfig(all, at, start);
    error why;
    const auto report = parseBurn(burnJson(all, at, start + millis{60'000}), why);
    ASSERT_TRUE(report.has_value()) << message(why);
    EXPECT_EQ(report->answered, 1U);
    ASSERT_EQ(report->targets.size(), 1U);
    EXPECT_EQ(report->targets.front().penalty, 50);
    EXPECT_EQ(windowOf(report->targets.front(), burn_span::Hour).covered, millis{60'000});
}

}
}
