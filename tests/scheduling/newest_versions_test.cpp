#include "scheduling/newest_versions.h"

#include "coordination/write_turn.h"
#include "protocol/codec.h"

#include <gtest/gtest.h>

#include <set>

namespace briarhead {

TEST(NewestVersions, AreUnsafeWhileALateWriteIsPossibleOrTheItemIsBehind)
{
    const newest_versions versions{{"m/new", {3, 3}}, {"m/old", {3, 3}}, {"m/behind", {3, 2}}};
    const millis now = lateWriteWindow + millis{1'000};
    unsafe_versions unsafe{{"m/new", now}, {"m/old", {1}}, {"m/behind", {1}}, {"m/unknown", now}};
    dropSafeVersions(unsafe, versions, now);
    EXPECT_EQ(unsafe, (unsafe_versions{{"m/new", now}, {"m/behind", {1}}}));
}

TEST(NewestVersions, RecordWithAnOlderVersionIsReplaced)
{
    const adapter_versions_record required{{{"m/a", 3}, {"m/b", 2}}};
    EXPECT_TRUE(holdsVersions({{{"m/a", 4}, {"m/b", 2}, {"m/c", 1}}}, required));
    EXPECT_FALSE(holdsVersions({{{"m/a", 2}, {"m/b", 2}}}, required));
    EXPECT_FALSE(holdsVersions({{{"m/a", 3}}}, required));
}

TEST(NewestVersions, RecordsAreBoundedAndDropTheEarliestDeclarations)
{
    newest_versions versions;
    unsafe_versions unsafe;
    for (std::size_t i = 0; unsafe.size() <= maxRecordedVersions; ++i) {
        const std::string adapter = "m/a" + std::to_string(i);
        if (versionShardOf(adapter) == "7") {
            versions[adapter] = {2, 2};
            unsafe[adapter] = {static_cast<std::int64_t>(i)};
        }
    }
    const std::string earliest = std::min_element(unsafe.begin(), unsafe.end(), [](auto &a, auto &b) {
        return a.second < b.second;
    })->first;
    const auto records = requiredRecords(unsafe, versions);
    ASSERT_EQ(records.size(), 1U);
    const auto &recorded = records.at("7").versions;
    EXPECT_EQ(recorded.size(), maxRecordedVersions);
    EXPECT_TRUE(std::none_of(recorded.begin(), recorded.end(), [&earliest](const auto &each) {
        return each.adapter == earliest;
    }));
}

TEST(NewestVersions, RecordsOfABusyMinuteAreSmall)
{
    constexpr int declared = 5'000;
    newest_versions versions;
    unsafe_versions unsafe;
    for (int i = 0; i < declared; ++i) {
        const std::string adapter = "daka510000/a" + std::to_string(i);
        versions[adapter] = {3, 3};
        unsafe[adapter] = {1};
    }
    std::size_t bytes = 0;
    for (const auto &[shard, record] : requiredRecords(unsafe, versions)) {
        bytes += encode(record).size();
    }
    RecordProperty("bytes", static_cast<int>(bytes));
    EXPECT_LT(bytes, declared * 32U);
}

TEST(WriteTurn, ThreeDaemonsTakeTurns)
{
    constexpr std::size_t count = 20;
    std::vector<std::string> daemons(count);
    for (std::size_t i = 0; i < count; ++i) {
        daemons[i] = "n" + std::to_string(i);
    }
    std::multiset<std::int64_t> delays;
    for (const std::string &node : daemons) {
        if (const auto delay = writeDelayOf("record", daemons, node)) {
            delays.insert(delay->count);
        }
    }
    ASSERT_EQ(delays.size(), 3U);
    EXPECT_EQ(*delays.begin(), 0);
    EXPECT_LT(*std::next(delays.begin()), *delays.rbegin());
}

}
