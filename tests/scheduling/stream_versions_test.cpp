#include "protocol/codec.h"
#include "scheduling/stream_versions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <set>

namespace briarhead {

namespace {

backend_server serverOf(const std::string &service, const std::string &version)
{
    backend_server server;
    server.service = service;
    server.softwareVersion = version;
    return server;
}

stream_origin_answer answerWith(version_sight sight, const std::string &soleVersion)
{
    stream_origin_answer answer;
    answer.sight = sight;
    answer.soleVersion = soleVersion;
    return answer;
}

}

/// Guards against memory that grows with the number of streams.
TEST(StreamVersions, OriginsAreBoundedInNumberAndTime)
{
    stream_origins origins;
    for (std::size_t i = 0; i < maxOrigins + 100; ++i) {
        recordOrigin(origins, std::to_string(i), {"s", "v1"}, millis{static_cast<std::int64_t>(i)});
    }
    EXPECT_EQ(origins.byId.size(), maxOrigins);
    EXPECT_EQ(findOrigin(origins, "0", millis{100}), nullptr) << "the oldest went first";
    const millis later = millis{static_cast<std::int64_t>(maxOrigins)} + originLifetime + millis{1'000};
    EXPECT_EQ(findOrigin(origins, "200", later), nullptr);
    recordOrigin(origins, "new", {"s", "v2"}, later);
    EXPECT_EQ(origins.byId.size(), 1U);
    EXPECT_LE(origins.byUse.size(), 1U);
}

/// Guards against a record that ends while its stream is taken up again and again.
TEST(StreamVersions, ATakenUpStreamIsRememberedOn)
{
    stream_origins origins;
    millis now{1'000};
    recordOrigin(origins, "a", {"s", "v1"}, now);
    for (int i = 0; i < 5; ++i) {
        now = now + millis{originLifetime.count * 2 / 3};
        ASSERT_NE(findOrigin(origins, "a", now), nullptr);
        recordOrigin(origins, "other" + std::to_string(i), {"s", "v2"}, now);
    }
    EXPECT_EQ(findOrigin(origins, "a", now)->softwareVersion, "v1");
    now = now + originLifetime + millis{1};
    EXPECT_EQ(findOrigin(origins, "a", now), nullptr);
}

/// Guards against a version that is forgotten as soon as its last server has gone.
TEST(StreamVersions, AVersionOutlivesItsServers)
{
    version_sightings sightings;
    recordVersions(sightings, {{"a", serverOf("s", "v1")}, {"b", serverOf("s", "v2")}}, millis{1'000});
    const std::map<std::string, backend_server> left{{"b", serverOf("s", "v2")}};
    recordVersions(sightings, left, millis{2'000});
    EXPECT_EQ(versionsOf(sightings, "s"), (std::vector<std::string>{"v1", "v2"}));
    recordVersions(sightings, left, millis{1'001} + originLifetime);
    EXPECT_EQ(versionsOf(sightings, "s"), std::vector<std::string>{"v2"});
    recordVersions(sightings, "s", {"v1"}, millis{1'002} + originLifetime);
    EXPECT_EQ(versionsOf(sightings, "s").size(), 2U) << "another daemon has seen it";
}

/// Guards against a guess: without a record nothing but the certainty of one version lets a stream go on.
RC_GTEST_PROP(StreamVersions, GoesOnOnlyAtAKnownVersion, ())
{
    origin_evidence evidence;
    evidence.ownSight = *rc::gen::element(version_sight::Unsure, version_sight::Sole, version_sight::Several);
    evidence.ownVersion = evidence.ownSight == version_sight::Sole ? "v1" : "";
    bool recorded = false;
    bool another = false;
    const int answers = *rc::gen::inRange(0, 4);
    for (int i = 0; i < answers; ++i) {
        stream_origin_answer answer = answerWith(
            *rc::gen::element(version_sight::Unsure, version_sight::Sole, version_sight::Several), "");
        answer.soleVersion = *rc::gen::element<std::string>("v1", "v2");
        answer.recorded = *rc::gen::inRange(0, 4) == 0;
        answer.origin = {"s", "v3"};
        recorded = recorded || answer.recorded;
        another = another
            || (!answer.recorded
                && (answer.sight == version_sight::Several
                    || (answer.sight == version_sight::Sole && answer.soleVersion == "v2")));
        applyAnswer(evidence, answer);
    }
    const auto version = versionToGoOnAt(evidence);
    if (recorded) {
        RC_ASSERT(version == "v3");
    } else {
        const bool certain = evidence.ownSight == version_sight::Sole && answers > 0 && !another;
        RC_ASSERT(version.has_value() == certain);
        RC_ASSERT(!version || *version == "v1");
    }
}

/// Guards against control traffic that grows with a stream's events, or with the fleet: a stream takes two
/// datagrams of this size while several versions serve, and none while one does.
TEST(StreamVersions, RecordsAndQuestionsAreSmall)
{
    const std::string id = "9c41d07be2a35f68";
    const auto sizeOf = [](auto body) {
        return encode(fleet_datagram{"edge-zg-dubrava-1", 1'783'482'316'060, std::move(body)}).size();
    };
    stream_origins_report report{{{id, {"lektor-models", "v1.2"}}}};
    const std::size_t one = sizeOf(report);
    report.records.resize(16, report.records.front());
    const std::size_t sixteen = sizeOf(report);
    const std::size_t query = sizeOf(stream_origin_query{id, "lektor-models"});
    const std::size_t answer =
        sizeOf(stream_origin_answer{id, true, {"lektor-models", "v1.2"}, version_sight::Several, ""});
    RecordProperty("record_bytes", static_cast<int>(one));
    RecordProperty("sixteen_records_bytes", static_cast<int>(sixteen));
    RecordProperty("query_bytes", static_cast<int>(query));
    RecordProperty("answer_bytes", static_cast<int>(answer));
    std::printf("bytes: record %zu, 16 records %zu, query %zu, answer %zu\n", one, sixteen, query, answer);
    EXPECT_LE(one, 100U);
    EXPECT_LE(sixteen, 1'000U);
    EXPECT_LE(query, 100U);
    EXPECT_LE(answer, 100U);
}

namespace {

constexpr millis settleTime{9'000};
constexpr millis announceTime{5'000};

/// One service's record as the only writer keeps it.
struct record_history
{
    version_record_state state;
    service_versions_record record;
    staying_servers staying;
    std::vector<std::string> seen;
    millis now{1'000'000};
    millis daemonLostAt = now;

    void step(millis span)
    {
        now = now + span;
        const service_versions_record next{
            seen, baseToRecord(state, record, seen, staying, {settleTime, announceTime, daemonLostAt}, now)};
        if (!(next == record)) {
            record = next;
            learnRecord(state, record, now);
        }
    }
    bool mayBegin(const std::string &version) const
    {
        const auto heldBack = versionsHeldBack(state, record, staying, now);
        return std::find(heldBack.begin(), heldBack.end(), version) == heldBack.end();
    }
    std::optional<std::string> withoutRecords() const
    {
        return versionWithoutRecords(record);
    }
    void release()
    {
        staying = {{"v1", 3}};
        seen = {"v1"};
        step({0});
        step({1'000});
        staying["v2"] = 1;
        seen = {"v1", "v2"};
        daemonLostAt = now;
    }
};

}

/// Guards against a second version that makes all streams of lost daemons unknown.
TEST(StreamVersions, StreamWithoutARecordBeganAtTheBaseUntilTheReleaseHasSettled)
{
    record_history each;
    each.release();
    EXPECT_FALSE(each.mayBegin("v2")) << "not recorded yet";
    EXPECT_EQ(each.withoutRecords(), "v1");
    each.step({1'000});
    EXPECT_EQ(each.record.base, "v1");
    EXPECT_FALSE(each.mayBegin("v2"));
    EXPECT_TRUE(each.mayBegin("v1"));
    EXPECT_EQ(each.withoutRecords(), "v1");
    each.daemonLostAt = each.now;
    each.step(settleTime - millis{1});
    EXPECT_EQ(each.withoutRecords(), "v1") << "streams from before the release may still run";
    each.step({1});
    EXPECT_EQ(each.record.base, "");
    EXPECT_EQ(each.withoutRecords(), std::nullopt);
    EXPECT_FALSE(each.mayBegin("v2")) << "other daemons may still go by the base";
    each.step(maxViewAge + millis{1});
    EXPECT_TRUE(each.mayBegin("v2"));
    EXPECT_TRUE(each.mayBegin("v1"));
}

/// Guards against new servers that stay without streams for longer than anyone could need it.
TEST(StreamVersions, ReleaseSettlesSoonerIfNoDaemonWasLost)
{
    record_history each;
    each.release();
    each.daemonLostAt = each.now - settleTime;
    each.step({1'000});
    each.step(announceTime - millis{1});
    EXPECT_EQ(each.record.base, "v1") << "a lost daemon may not be known yet";
    each.step({1});
    EXPECT_EQ(each.record.base, "");
}

/// Guards against streams that crowd the few servers of a version that a release replaces.
TEST(StreamVersions, ReleaseSettlesOnceTheBaseHasTheSmallerPartOfTheServers)
{
    record_history each;
    each.release();
    each.step({1'000});
    each.staying = {{"v1", 1}, {"v2", 3}};
    each.step({1'000});
    EXPECT_EQ(each.record.base, "");
    EXPECT_FALSE(each.mayBegin("v2"));
    each.staying = {{"v1", 0}, {"v2", 3}};
    EXPECT_TRUE(each.mayBegin("v2")) << "nothing else is left";
}

/// Guards against a base that a daemon has to have seen serve alone: all may have ended before the release.
TEST(StreamVersions, DaemonThatFindsTwoVersionsGoesByTheRecord)
{
    record_history each;
    each.record = {{"v1"}, ""};
    learnRecord(each.state, each.record, each.now);
    each.staying = {{"v1", 3}, {"v2", 1}};
    each.seen = {"v1", "v2"};
    EXPECT_EQ(each.withoutRecords(), "v1");
    EXPECT_FALSE(each.mayBegin("v2"));
    each.step({1'000});
    EXPECT_EQ(each.record.base, "v1");
}

/// Guards against a version without servers that holds the others back.
TEST(StreamVersions, VersionWithoutServersIsNoBase)
{
    record_history each;
    each.release();
    each.staying = {{"v2", 1}};
    EXPECT_FALSE(each.mayBegin("v2")) << "not recorded yet";
    each.step({1'000});
    EXPECT_EQ(each.record.base, "");
    EXPECT_TRUE(each.mayBegin("v2"));
    each.staying["v1"] = 3;
    EXPECT_EQ(each.withoutRecords(), std::nullopt);
}

/// Guards against builds that can't read the records of others.
TEST(StreamVersions, RecordWithoutABaseHasTheEarlierLayout)
{
    const service_versions_record plain{{"v1", "v2"}, ""};
    const service_versions_record based{{"v1", "v2"}, "v1"};
    error why;
    EXPECT_EQ(decodeServiceVersions(encode(plain), why), plain);
    EXPECT_EQ(decodeServiceVersions(encode(based), why), based);
    EXPECT_LT(encode(plain).size(), encode(based).size());
    EXPECT_FALSE(decodeServiceVersions(encode(based).substr(0, encode(plain).size() + 1), why));
}

/// Any releases and returns of versions: while a daemon goes by one version for streams without a record, no
/// stream begins at another one.
RC_GTEST_PROP(StreamVersions, StreamsWithoutARecordHaveOneVersion, ())
{
    record_history each;
    each.staying = {{"v1", 2}};
    each.seen = {"v1"};
    each.step({0});
    std::set<std::string> began{"v1"};
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
        const auto version = "v" + std::to_string(*rc::gen::inRange(1, 4));
        each.staying[version] = static_cast<std::size_t>(*rc::gen::inRange(0, 4));
        if (std::find(each.seen.begin(), each.seen.end(), version) == each.seen.end()) {
            each.seen.push_back(version);
            std::sort(each.seen.begin(), each.seen.end());
        }
        if (*rc::gen::inRange(0, 3) != 0) { // else the record can't be written
            each.step(millis{*rc::gen::inRange(0, 6'000)});
        }
        for (const auto &[served, count] : each.staying) {
            if (count > 0 && each.mayBegin(served)) {
                began.insert(served);
            }
        }
        const auto assumed = each.withoutRecords();
        RC_ASSERT(!assumed || began == std::set<std::string>{*assumed});
    }
}

}
