#include "coordination/key_journal.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace briarhead {

namespace {

constexpr std::int64_t retentionMs = 1'000;

key_begin begin(std::uint64_t sequence, std::uint32_t attempt = 1, const std::string &key = "k")
{
    return {{"i", 1, sequence}, key, attempt, retentionMs};
}

key_finish finish(
    std::uint64_t sequence, outcome result, const std::string &answer = "text", const std::string &key = "k")
{
    return {{"i", 1, sequence}, key, result, 200, "text/plain", answer};
}

}

// Any order of attempts, ends and expiries, with late and stray ends among them: a key is let run once, and
// again only by the next number after an attempt that certainly did not run.
RC_GTEST_PROP(KeyJournal, AtMostOneFreshPerKeyWithinTheRetentionUnlessItDidNotRun, ())
{
    key_journal journal;
    std::optional<millis> startedAt;
    std::uint64_t starter = 0;
    std::uint32_t startedNumber = 0;
    bool freed = false;
    std::uint64_t sequence = 0;
    millis now{5'000};
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500))) {
        now = now + millis{step % 250};
        const std::uint64_t asked = ++sequence;
        const bool held = startedAt && now - *startedAt < millis{retentionMs};
        if (step % 5 < 3) {
            const auto number = static_cast<std::uint32_t>(step % 4);
            const auto verdict = beginKey(journal, begin(asked, number), now);
            if (verdict.state == key_state::Fresh) {
                RC_ASSERT((held ? freed && number == startedNumber + 1 : number == 1U));
                startedAt = now;
                starter = asked;
                startedNumber = number;
                freed = false;
            }
        } else if (step % 5 == 3) {
            const auto ending =
                *rc::gen::inRange<std::uint64_t>(1, asked + 1); // now and then a stranger's or a late one
            const auto result = *rc::gen::element(outcome::Done, outcome::NotRun, outcome::Unknown);
            freed = freed
                || (held && ending == starter && result == outcome::NotRun
                    && journal.records["k"].state == key_state::Started);
            finishKey(journal, finish(ending, result), now);
        } else {
            expireKeys(journal, now);
        }
    }
    expireKeys(journal, now + millis{retentionMs});
    RC_ASSERT(journal.records.empty());
    RC_ASSERT(journal.byExpiry.empty());
    RC_ASSERT(journal.bytes == 0U);
}

TEST(KeyJournal, ARepeatGetsTheKeptAnswer)
{
    key_journal journal;
    EXPECT_EQ(beginKey(journal, begin(1), {5'000}).state, key_state::Fresh);
    EXPECT_EQ(beginKey(journal, begin(2, 2), {5'001}).state, key_state::Started);
    finishKey(journal, finish(1, outcome::Done), {5'002});
    const auto repeat = beginKey(journal, begin(3, 3), {5'003});
    EXPECT_EQ(repeat.state, key_state::Finished);
    EXPECT_EQ(repeat.answer, "text");
    EXPECT_EQ(repeat.status, 200);
    EXPECT_EQ(beginKey(journal, begin(4), {5'000 + retentionMs}).state, key_state::Fresh);
}

// The first attempt ran at another home: an entry took this one for dead. The caller repeats it, and this
// home has never heard of the key. Taking that for "never ran" would place the order twice.
TEST(KeyJournal, AHomeRunsOnlyWhatTheCallerCallsItsFirstAttempt)
{
    key_journal journal;
    EXPECT_EQ(beginKey(journal, begin(1, 2, "repeat"), {5'999}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(2, 0, "unsaid"), {5'999}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(3, 1, "first"), {5'999}).state, key_state::Fresh);
}

TEST(KeyJournal, AfterAnAttemptThatDidNotRunTheNextNumberMay)
{
    key_journal journal;
    beginKey(journal, begin(1), {5'000});
    finishKey(journal, finish(1, outcome::NotRun), {5'001});
    EXPECT_EQ(beginKey(journal, begin(2, 1), {5'002}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(3, 3), {5'003}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(4, 2), {5'004}).state, key_state::Fresh);
}

TEST(KeyJournal, AnAnswerTooLargeToKeepLeavesTheOutcomeUnknown)
{
    key_journal journal;
    beginKey(journal, begin(1), {5'000});
    finishKey(journal, finish(1, outcome::Done, std::string(maxKeptAnswerBytes + 1, 'x')), {5'001});
    EXPECT_EQ(beginKey(journal, begin(2, 2), {5'002}).state, key_state::Started);
}

TEST(KeyJournal, AFullJournalStartsNothingItCouldNotRemember)
{
    key_journal journal;
    journal.bytes = maxJournalBytes;
    EXPECT_EQ(beginKey(journal, begin(1), {5'000}).state, key_state::Undetermined);
    EXPECT_TRUE(journal.records.empty());
}

}
