#include "ctl/burn_page.h"
#include "ctl/burn_report.h"
#include "daemon/burn_track.h"
#include "daemon/target_result.h"
#include "state/burn.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace briarhead {
namespace {

constexpr millis minute{60'000};
constexpr millis hour{3'600'000};
constexpr millis start{1'000'000'000};
const target_config summaries{"group:lecturers", "summary-*", {500}, {4'000}, 0.95, 20};

request_record completed(std::int64_t firstTokenMs, std::int64_t endToEndMs, std::int64_t stallMs = 0)
{
    return {"ana", "summary-biology", "e1", false, outcome::Done, error_kind::None, priority::Normal,
        {firstTokenMs}, {endToEndMs}, {stallMs}, {}, 40};
}

request_record failed(error_kind why)
{
    request_record request = completed(0, 100);
    request.result = outcome::NotRun;
    request.why = why;
    request.tokens = 0;
    return request;
}

/// The cause if the request misses the target `summaries`.
std::optional<burn_cause> causeOf(const request_record &request)
{
    const auto result = evaluate(summaries, request);
    return result && result->missed ? std::optional(result->cause) : std::nullopt;
}

burn_report reportOf(const burn_track &track, millis now)
{
    return {7, 1, 1, {describe("summaries", summaries, &track, now)}};
}

burn_report reparsed(const std::string &text)
{
    error why;
    const auto report = parseBurn(text, why);
    EXPECT_TRUE(report.has_value()) << message(why);
    return report.value_or(burn_report{});
}

TEST(Judgement, AttributesAMissToItsCause)
{
    EXPECT_EQ(causeOf(completed(500, 4'000)), std::nullopt);
    EXPECT_EQ(causeOf(completed(1'200, 3'000, 900)), burn_cause::LoadStall);
    EXPECT_EQ(causeOf(completed(400, 4'001)), burn_cause::Other);
    request_record queued = completed(1'200, 3'000, 100);
    queued.queued = {900};
    EXPECT_EQ(causeOf(queued), burn_cause::Queueing);
    EXPECT_EQ(causeOf(failed(error_kind::Overloaded)), burn_cause::Refusal);
    EXPECT_EQ(causeOf(failed(error_kind::ConnectionLost)), burn_cause::FailedServer);
    EXPECT_EQ(causeOf(failed(error_kind::Timeout)), burn_cause::Queueing);
    request_record timedOut = failed(error_kind::Timeout);
    timedOut.result = outcome::Unknown;
    EXPECT_EQ(causeOf(timedOut), burn_cause::FailedServer);
    timedOut.stall = timedOut.endToEnd;
    EXPECT_EQ(causeOf(timedOut), burn_cause::LoadStall);
    EXPECT_EQ(causeOf(completed(0, 501)), burn_cause::Other);
    EXPECT_FALSE(evaluate(summaries, failed(error_kind::Forbidden)).has_value());
}

TEST(Judgement, TargetConcernsOnlyItsCallersAndAdapters)
{
    config configuration;
    configuration.callers.mutableEntries()["ana"].groups = {"lecturers"};
    request_record request = completed(1, 1);
    EXPECT_TRUE(appliesTo(summaries, configuration, request));
    request.adapter = "lists-biology";
    EXPECT_FALSE(appliesTo(summaries, configuration, request));
    request.caller = "eve";
    EXPECT_FALSE(appliesTo({"group:lecturers"}, configuration, request));
    EXPECT_TRUE(appliesTo({"*"}, configuration, request));
    request.service = true;
    EXPECT_TRUE(appliesTo({"*"}, configuration, request));
    EXPECT_FALSE(appliesTo({"*", "*"}, configuration, request));
}

// The ring must count as many requests as a plain list of times, whatever the pauses between the requests.
RC_GTEST_PROP(BurnRing, CountsAsManyRequestsAsAPlainList, ())
{
    burn_ring ring{{10'000}, 360};
    std::vector<std::int64_t> buckets;
    millis now = start;
    for (const auto pauseMs : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 900'000))) {
        now = now + millis{pauseMs};
        add(ring, {true, burn_cause::Queueing}, now);
        buckets.push_back(now.count / 10'000);
    }
    now = now + millis{*rc::gen::inRange(0, 7'200'000)};
    for (const millis span : {minute, millis{300'000}, hour}) {
        const std::int64_t oldest = now.count / 10'000 - span.count / 10'000;
        const auto expected = std::ranges::count_if(buckets, [&](auto bucket) {
            return bucket > oldest;
        });
        RC_ASSERT(missedOf(countsWithin(ring, span, now)) == static_cast<std::uint64_t>(expected));
    }
}

TEST(BurnTrack, ReportsRatesPenaltiesAndCoverage)
{
    burn_track track{start};
    for (int i = 0; i < 90; ++i) {
        add(track, completed(100, 1'000), {}, start);
    }
    for (int i = 0; i < 10; ++i) {
        add(track, completed(900, 1'000, 800), {true, burn_cause::LoadStall},
            start + millis{20 * minute.count});
    }
    const millis now = start + millis{30 * minute.count};
    const burn_report report = reportOf(track, now);
    const target_burn &target = report.targets.front();
    EXPECT_NEAR(burnRate(target, burn_span::Hour), 2.0, 1e-9);
    EXPECT_EQ(burnRate(target, burn_span::FiveMinutes), 0);
    EXPECT_NEAR(coverage(report, windowOf(target, burn_span::Hour), burn_span::Hour), 0.5, 1e-9);
    EXPECT_NEAR(budgetSpent(report, target, burn_span::Hour), 2.0 / (30 * 48), 1e-9);
    EXPECT_DOUBLE_EQ(penaltyIn(target, burn_span::Day), 200);
    EXPECT_DOUBLE_EQ(projectedPenalty(report, target), 200 * 2 * 24);
    EXPECT_EQ(target.hour[hourPoints - 21].missed, 0U);
    EXPECT_EQ(target.hour[hourPoints - 11].missed, 10U);
    EXPECT_EQ(target.hour[hourPoints - 31].total, 90U);
    EXPECT_EQ(target.byCaller.at("ana").day.total, 100U);
    EXPECT_EQ(levelOf(target), burn_level::Slow);
}

TEST(BurnTrack, ListsALimitedNumberOfCallersAndDropsIdleOnes)
{
    burn_track track{start};
    request_record request = completed(1, 1);
    for (std::size_t i = 0; i < 3 * maxBurnCallers; ++i) {
        request.caller = "caller-" + std::to_string(i);
        add(track, request, {}, start);
    }
    EXPECT_EQ(track.byCaller.size(), maxBurnCallers + 1);
    EXPECT_EQ(countsWithin(track.byCaller.at("other"), hour, start).total, 2 * maxBurnCallers);
    add(track, request, {}, start + millis{30 * hour.count});
    EXPECT_TRUE(track.byCaller.contains(request.caller));
}

TEST(BurnLevel, DropsWhenTheShortWindowRecovers)
{
    burn_track track{start};
    for (int i = 0; i < 20; ++i) {
        add(track, completed(900, 1'000), {true, burn_cause::Other}, start);
    }
    EXPECT_EQ(levelOf(reportOf(track, start + minute).targets.front()), burn_level::Fast);
    const millis after = start + millis{40 * minute.count};
    EXPECT_EQ(levelOf(reportOf(track, after).targets.front()), burn_level::Slow);
}

TEST(MergeBurn, SumsInstancesAndCountsThoseThatResponded)
{
    burn_track track{start};
    add(track, completed(100, 1'000), {}, start);
    add(track, completed(900, 1'000, 800), {true, burn_cause::LoadStall}, start);
    burn_report older = reportOf(track, start + hour);
    older.configVersion = 6;
    older.targets.front().share = 0.5;
    const std::string current = toJson(reportOf(track, start + hour));
    const burn_report sum =
        reparsed(mergeBurn({toJson(older), current, "", "{\"targets\":[{}]}", current}, 6));
    EXPECT_EQ(sum.answered, 3U);
    EXPECT_EQ(sum.known, 6U);
    const target_burn &target = sum.targets.at(0);
    EXPECT_EQ(target.share, 0.95);
    EXPECT_EQ(windowOf(target, burn_span::Day).counts.total, 6U);
    EXPECT_EQ(windowOf(target, burn_span::Day).counts.byCause.front(), 3U);
    EXPECT_EQ(countOf(target.endToEndTimes), 6U);
    EXPECT_EQ(target.byCaller.at("ana").day.total, 6U);
    EXPECT_NEAR(coverage(sum, windowOf(target, burn_span::Day), burn_span::Day), 0.5 / 24, 1e-9);
}

TEST(MergeBurn, ListsTheCallersWithTheMostMisses)
{
    burn_report report{1, 1, 1, {describe("summaries", summaries, nullptr, start)}};
    for (std::uint64_t i = 0; i < 2 * maxReportCallers; ++i) {
        report.targets.front().byCaller[std::to_string(i)].day = {i, {i}};
    }
    const burn_report sum = reparsed(mergeBurn({toJson(report)}, 1));
    const auto &callers = sum.targets.front().byCaller;
    EXPECT_EQ(callers.size(), maxReportCallers);
    EXPECT_TRUE(callers.contains(std::to_string(2 * maxReportCallers - 1)));
    EXPECT_FALSE(callers.contains("3"));
    std::uint64_t total = 0;
    for (const auto &[name, caller] : callers) {
        total += caller.day.total;
    }
    EXPECT_EQ(total, maxReportCallers * (2 * maxReportCallers - 1));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

// After a rolling restart the new instances have no counts of the earlier misses. The report must say what it
// lacks, or an operator takes the low figures to mean that the service is healthy.
TEST(BurnReport, StatesMissingCountsAndInstancesWithoutResponse)
{
    burn_track track{start};
    add(track, completed(900, 1'000, 800), {true, burn_cause::LoadStall}, start);
    burn_report report = reportOf(track, start + millis{12 * hour.count});
    const std::string restarted = burnTable(report);
    EXPECT_TRUE(contains(restarted, "The instances remember 50.0% of the last day")) << restarted;
    report.known = 2;
    EXPECT_TRUE(contains(burnTable(report), "1 of 2 instances did not answer"));
    EXPECT_TRUE(contains(burnPage(report, millis{0}), "1 of 2 instances did not answer"));
    const std::string complete = burnTable(reportOf(track, start + millis{48 * hour.count}));
    EXPECT_FALSE(contains(complete, "remember "));
}

TEST(BurnReport, ListsTheMostUrgentTargetFirst)
{
    burn_track track{start};
    for (int i = 0; i < 20; ++i) {
        add(track, completed(900, 1'000), {true, burn_cause::Refusal}, start);
    }
    burn_report report = reportOf(track, start + minute);
    report.targets.insert(report.targets.begin(), describe("idle", summaries, nullptr, start));
    EXPECT_EQ(detail::byUrgency(report).front()->name, "summaries");
    const std::string text = burnTable(report);
    EXPECT_LT(text.find("summaries [fast]"), text.find("idle [fine]"));
    EXPECT_TRUE(contains(text, "causes in a day: refusal 20 (100.0%)")) << text;
    EXPECT_TRUE(contains(text, "penalty: 400.00 in the last day; 576,000.00 a day")) << text;
}

// Names from a patch can contain markup, which would run in the browser of whoever opens the page or break
// its layout.
TEST(BurnPage, EscapesNamesAndLoadsNoResources)
{
    burn_track track{start};
    request_record request = completed(900, 1'000);
    request.caller = "<script>x</script>";
    add(track, request, {true, burn_cause::Other}, start);
    burn_report report = reportOf(track, start + minute);
    report.targets.front().name = "<img src=\"x\">";
    report.targets.front().callers = "<b>";
    const std::string page = burnPage(report, millis{0});
    EXPECT_TRUE(contains(page, "&lt;script&gt;"));
    EXPECT_TRUE(contains(page, "1970-01-01 00:00 UTC"));
    for (const std::string forbidden : {"<script", "<img", "<b><", "src=\"", "href=", "url(", "http"}) {
        EXPECT_FALSE(contains(page, forbidden)) << forbidden;
    }
}

RC_GTEST_PROP(Latency, QuantileIsAtMostOneBinTooHigh, ())
{
    auto samples = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, static_cast<int>(maxLatencyMs))));
    latency_histogram times;
    for (const int sample : samples) {
        record(times, sample);
    }
    std::ranges::sort(samples);
    const double median = samples[(samples.size() - 1) / 2];
    RC_ASSERT(quantileMs(times, 0.5) >= median);
    RC_ASSERT(quantileMs(times, 0.5) <= median * 1.19 + 1e-6);
    latency_histogram copy;
    RC_ASSERT(setCounts(copy, countsOf(times)));
    RC_ASSERT(countOf(copy) == samples.size());
}

}
}
