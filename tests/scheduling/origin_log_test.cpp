#include "scheduling/origin_log.h"

#include "protocol/codec.h"
#include "scheduling/stream_versions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace briarhead {

namespace {

const stream_origin firstVersion{"llm", "v1"};
const stream_origin secondVersion{"llm", "v2"};

std::set<std::string> idsIn(const std::map<std::int64_t, stored_origins_record> &segments)
{
    std::set<std::string> ids;
    for (const auto &[segment, record] : segments) {
        for (const stream_origin_record &stream : originsOf(record)) {
            ids.insert(stream.id);
        }
    }
    return ids;
}

}

TEST(OriginLog, WritesEachStreamUnderItsOrigin)
{
    origin_log log;
    appendOrigin(log, "a", firstVersion);
    appendOrigin(log, "b", secondVersion);
    appendOrigin(log, "c", firstVersion);
    const auto write = beginWrite(log, {1'000});
    ASSERT_TRUE(write);
    EXPECT_EQ(write->record.groups.size(), 2U);
    EXPECT_EQ(originsOf(write->record).size(), 3U);
    EXPECT_FALSE(beginWrite(log, {1'000})) << "one write at a time";
    finishWrite(log, true);
    EXPECT_FALSE(beginWrite(log, {1'000})) << "nothing is left";
}

TEST(OriginLog, StreamThatEndsBeforeItIsWrittenIsNotWritten)
{
    origin_log log;
    appendOrigin(log, "a", firstVersion);
    dropPending(log, "a");
    EXPECT_FALSE(beginWrite(log, {1'000}));
}

TEST(OriginLog, IsBoundedWhateverIdsCallersSend)
{
    origin_log log;
    appendOrigin(log, std::string(maxRecordedIdBytes + 1, 'x'), firstVersion);
    appendOrigin(log, "", firstVersion);
    EXPECT_TRUE(log.pending.empty());
    for (std::size_t i = 0; i < maxPendingStreams + 10; ++i) {
        appendOrigin(log, std::to_string(i), firstVersion);
    }
    EXPECT_EQ(log.pending.size(), maxPendingStreams);
    EXPECT_EQ(log.dropped, 10U);
    std::size_t largest = 0;
    for (std::int64_t at = 1; const auto write = beginWrite(log, {at}); ++at) {
        largest = std::max(largest, originsOf(write->record).size());
        finishWrite(log, true);
    }
    EXPECT_LT(largest, 2 * maxSegmentStreams);
}

/// Any order of streams, writes that are answered or not, and late executions of unanswered ones: a stream
/// whose write was answered stays in the store, and none is there under another origin.
RC_GTEST_PROP(OriginLog, LateWritesLoseNothing, ())
{
    origin_log log;
    std::map<std::int64_t, stored_origins_record> store;
    std::vector<origin_write> late;
    std::set<std::string> recorded;
    std::map<std::string, stream_origin> began;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    std::int64_t now = 1;
    for (const int step : steps) {
        now += step * 20;
        if (step < 40) {
            const std::string id = "s" + std::to_string(began.size());
            began[id] = step % 2 == 0 ? firstVersion : secondVersion;
            appendOrigin(log, id, began[id]);
        } else if (step < 85) {
            std::vector<std::string> batch;
            const auto write = beginWrite(log, {now});
            if (!write) {
                continue;
            }
            for (const stream_origin_record &each : log.inFlight) {
                batch.push_back(each.id);
            }
            const bool answered = step < 70;
            if (answered || step < 78) { // executed, whether answered or not
                store[write->segment] = write->record;
            } else {
                late.push_back(*write);
            }
            if (answered) {
                recorded.insert(batch.begin(), batch.end());
            }
            finishWrite(log, answered);
        } else if (!late.empty()) {
            const auto chosen = late.begin() + step % static_cast<int>(late.size());
            store[chosen->segment] = chosen->record;
            late.erase(chosen);
        }
        const std::set<std::string> held = idsIn(store);
        RC_ASSERT(std::includes(held.begin(), held.end(), recorded.begin(), recorded.end()));
    }
    for (const auto &[segment, record] : store) {
        for (const stream_origin_record &stream : originsOf(record)) {
            RC_ASSERT(stream.origin == began[stream.id]);
        }
    }
}

TEST(OriginLog, WritesAreSmall)
{
    origin_log log;
    std::size_t written = 0;
    constexpr int streams = 1'000;
    for (int i = 0; i < streams; ++i) {
        appendOrigin(log, "9c41d07be2a3" + std::to_string(1'000 + i), firstVersion);
        const auto write = beginWrite(log, {1 + 100 * i}); // ten streams a second, each written at once
        ASSERT_TRUE(write);
        written += encode(write->record).size();
        finishWrite(log, true);
    }
    RecordProperty("bytesPerStream", static_cast<int>(written / streams));
    EXPECT_LT(written / streams, 1'000U) << "a segment of five seconds is rewritten with each stream";
}

/// Guards against daemons that undo each other's writes, because they forget versions at different times.
TEST(StreamVersions, OnlyTheFirstInTurnRemovesVersionsFromTheRecord)
{
    version_sightings sightings;
    recordVersions(sightings, "llm", {"v2"}, {1});
    const std::vector<std::string> recorded{"v1", "v2"};
    EXPECT_EQ(versionsToRecord(sightings, "llm", recorded, false), recorded);
    EXPECT_EQ(versionsToRecord(sightings, "llm", recorded, true), std::vector<std::string>{"v2"});
    EXPECT_EQ(versionsToRecord(sightings, "llm", {"v1"}, false), recorded);
}

TEST(StreamVersions, IdOfTwoOriginsIsUnknown)
{
    stream_origins origins;
    recordOrigin(origins, "a", firstVersion, {1});
    EXPECT_NE(findOrigin(origins, "a", {1}), nullptr);
    recordOrigin(origins, "a", secondVersion, {2});
    EXPECT_EQ(findOrigin(origins, "a", {2}), nullptr);
    recordOrigin(origins, "a", firstVersion, {3});
    EXPECT_EQ(findOrigin(origins, "a", {3}), nullptr);
}

}
