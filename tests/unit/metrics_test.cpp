#include "daemon/metrics.h"

#include <gtest/gtest.h>

namespace briarhead {
namespace {

constexpr millis startTime{5'000'000};

config configWithTwoCallers()
{
    config configuration;
    configuration.version = 1;
    configuration.callers.mutableEntries()["ana"] = {};
    configuration.callers.mutableEntries()["dispatch \"east\""] = {};
    configuration.targets.mutableEntries()["plans"] = {"*", "plan-*", {500}, {4'000}, 0.99, 50};
    return configuration;
}

request_record completedRequest(const std::string &caller)
{
    return {caller, "plan-fuk", "e1", false, outcome::Done, error_kind::None, priority::High, {300}, {1'300},
        {10}, {5}, 101};
}

bool containsLine(const std::string &text, const std::string &line)
{
    return text.find(line + '\n') != std::string::npos;
}

TEST(Metrics, ExportsCountersAndHistograms)
{
    metrics daemonMetrics;
    const config configuration = configWithTwoCallers();
    observe(daemonMetrics, completedRequest("ana"), configuration, startTime);
    request_record lost = completedRequest("dispatch \"east\"");
    lost.result = outcome::Unknown;
    lost.why = error_kind::ConnectionLost;
    observe(daemonMetrics, lost, configuration, startTime);
    const std::string text = prometheusText(daemonMetrics);
    EXPECT_TRUE(
        containsLine(text, "briarhead_requests_total{kind=\"adapter\",outcome=\"done\",why=\"none\"} 1"));
    EXPECT_TRUE(containsLine(
        text, "briarhead_requests_total{kind=\"adapter\",outcome=\"unknown\",why=\"connection_lost\"} 1"));
    EXPECT_TRUE(containsLine(text, "briarhead_caller_tokens_total{caller=\"dispatch \\\"east\\\"\"} 101"));
    EXPECT_TRUE(containsLine(
        text, "briarhead_first_token_seconds_bucket{kind=\"adapter\",priority=\"high\",le=\"0.256\"} 0"));
    EXPECT_TRUE(containsLine(
        text, "briarhead_first_token_seconds_bucket{kind=\"adapter\",priority=\"high\",le=\"1.024\"} 2"));
    EXPECT_TRUE(containsLine(text, "briarhead_request_seconds_sum{kind=\"adapter\",priority=\"high\"} 1.3"));
    EXPECT_TRUE(
        containsLine(text, "briarhead_target_missed_total{target=\"plans\",cause=\"failed_server\"} 1"));
    EXPECT_TRUE(containsLine(text, "briarhead_server_failures_total{server=\"e1\"} 1"));
    EXPECT_EQ(text.find("plan-fuk"), std::string::npos);
}

TEST(Metrics, LimitsLabelValuesWhenNamesAreUnbounded)
{
    metrics daemonMetrics;
    config configuration = configWithTwoCallers();
    for (std::size_t i = 0; i < 2 * maxMetricCallers; ++i) {
        configuration.callers.mutableEntries()["caller-" + std::to_string(i)] = {};
    }
    for (std::size_t i = 0; i < 2 * maxMetricCallers; ++i) {
        request_record request = completedRequest("caller-" + std::to_string(i));
        request.server = "e" + std::to_string(i);
        request.result = outcome::Unknown;
        request.why = error_kind::Timeout;
        observe(daemonMetrics, request, configuration, startTime);
        observe(daemonMetrics, completedRequest("stranger-" + std::to_string(i)), configuration, startTime);
        setGauge(daemonMetrics, "gauge_" + std::to_string(10 * i), 1);
    }
    EXPECT_LE(daemonMetrics.callers.size(), maxMetricCallers + 1);
    EXPECT_FALSE(daemonMetrics.callers.contains("stranger-0"));
    EXPECT_LE(daemonMetrics.serverFailures.size(), maxMetricServers + 1);
    EXPECT_LE(daemonMetrics.gauges.size(), maxGauges);
}

// Guards against removed targets that reappear in the report for good: a long request is admitted under the
// older configuration and ends after the patch that removed the target.
TEST(Metrics, RequestFromOlderConfigurationRestoresNoRemovedTarget)
{
    metrics daemonMetrics;
    const config oldConfig = configWithTwoCallers();
    observe(daemonMetrics, completedRequest("ana"), oldConfig, startTime);
    config newConfig = oldConfig;
    newConfig.version = 2;
    newConfig.targets.mutableEntries().clear();
    newConfig.callers.mutableEntries().erase("ana");
    followConfig(daemonMetrics, newConfig, startTime);
    observe(daemonMetrics, completedRequest("ana"), oldConfig, startTime);
    EXPECT_TRUE(daemonMetrics.targets.empty());
    EXPECT_FALSE(daemonMetrics.callers.contains("ana"));
}

TEST(Metrics, DroppedServerGaugesAreNotExported)
{
    metrics daemonMetrics;
    setGauge(daemonMetrics, "peers", 8);
    setServerGauge(daemonMetrics, "batch_fill", "e1", 0.75);
    setServerGauge(daemonMetrics, "batch_fill", "e2", 0.5);
    dropServerGauges(daemonMetrics, "e2");
    const std::string text = prometheusText(daemonMetrics);
    EXPECT_TRUE(containsLine(text, "briarhead_peers 8"));
    EXPECT_TRUE(containsLine(text, "briarhead_batch_fill{server=\"e1\"} 0.75"));
    EXPECT_EQ(text.find("e2"), std::string::npos);
}

TEST(Metrics, BurnReportIncludesTargetsWithoutRequests)
{
    metrics daemonMetrics;
    const config configuration = configWithTwoCallers();
    followConfig(daemonMetrics, configuration, startTime);
    error why;
    const auto report = parseBurn(burnJson(daemonMetrics, configuration, startTime + millis{60'000}), why);
    ASSERT_TRUE(report.has_value()) << message(why);
    EXPECT_EQ(report->answered, 1U);
    ASSERT_EQ(report->targets.size(), 1U);
    EXPECT_EQ(report->targets.front().penalty, 50);
    EXPECT_EQ(windowOf(report->targets.front(), burn_span::Hour).covered, millis{60'000});
}

}
}
