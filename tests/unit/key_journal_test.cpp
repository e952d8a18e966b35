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
    std::uint64_t sequence, outcome result, const std::string &body = "text", const std::string &key = "k")
{
    return {{"i", 1, sequence}, key, result, 200, "text/plain", body};
}

}

// Random sequences of attempts, reports and expiries, including late reports and reports on other attempts: a
// key gets Fresh once, and again only for the next number after an attempt that certainly did not run.
RC_GTEST_PROP(KeyJournal, AtMostOneFreshPerKeyWithinTheRetentionUnlessItDidNotRun, ())
{
    key_journal journal;
    std::optional<millis> startedAt;
    std::uint64_t startedSequence = 0;
    std::uint32_t startedNumber = 0;
    bool released = false;
    std::uint64_t sequence = 0;
    millis now{5'000};
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500))) {
        now = now + millis{step % 250};
        const std::uint64_t attempt = ++sequence;
        const bool retained = startedAt && now - *startedAt < millis{retentionMs};
        if (step % 5 < 3) {
            const auto number = static_cast<std::uint32_t>(step % 4);
            const auto verdict = beginKey(journal, begin(attempt, number), now);
            if (verdict.state == key_state::Fresh) {
                RC_ASSERT((retained ? released && number == startedNumber + 1 : number == 1U));
                startedAt = now;
                startedSequence = attempt;
                startedNumber = number;
                released = false;
            }
        } else if (step % 5 == 3) {
            const auto reported =
                *rc::gen::inRange<std::uint64_t>(1, attempt + 1); // may be another or an earlier attempt
            const auto result = *rc::gen::element(outcome::Done, outcome::NotRun, outcome::Unknown);
            released = released
                || (retained && reported == startedSequence && result == outcome::NotRun
                    && journal.records["k"].state == key_state::Started);
            finishKey(journal, finish(reported, result), now);
        } else {
            expireKeys(journal, now);
        }
    }
    expireKeys(journal, now + millis{retentionMs});
    RC_ASSERT(journal.records.empty());
    RC_ASSERT(journal.byExpiry.empty());
    RC_ASSERT(journal.bytes == 0U);
}

TEST(KeyJournal, ARepeatedRequestGetsTheStoredResponse)
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

// The first attempt ran through another home, because an entry considered this one dead. The caller repeats
// it here, where the key has no record. Treating that as "never ran" would execute the request twice.
TEST(KeyJournal, WithoutARecordOnlyAttemptOneIsFresh)
{
    key_journal journal;
    EXPECT_EQ(beginKey(journal, begin(1, 2, "repeat"), {5'999}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(2, 0, "unnumbered"), {5'999}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(3, 1, "first"), {5'999}).state, key_state::Fresh);
}

TEST(KeyJournal, AfterAnAttemptThatDidNotRunOnlyTheNextNumberIsFresh)
{
    key_journal journal;
    beginKey(journal, begin(1), {5'000});
    finishKey(journal, finish(1, outcome::NotRun), {5'001});
    EXPECT_EQ(beginKey(journal, begin(2, 1), {5'002}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(3, 3), {5'003}).state, key_state::Undetermined);
    EXPECT_EQ(beginKey(journal, begin(4, 2), {5'004}).state, key_state::Fresh);
}

TEST(KeyJournal, AResponseTooLargeToStoreLeavesTheOutcomeUnknown)
{
    key_journal journal;
    beginKey(journal, begin(1), {5'000});
    finishKey(journal, finish(1, outcome::Done, std::string(maxStoredResponseBytes + 1, 'x')), {5'001});
    EXPECT_EQ(beginKey(journal, begin(2, 2), {5'002}).state, key_state::Started);
}

TEST(KeyJournal, AFullJournalStartsNoAttempt)
{
    key_journal journal;
    journal.bytes = maxJournalBytes;
    EXPECT_EQ(beginKey(journal, begin(1), {5'000}).state, key_state::Undetermined);
    EXPECT_TRUE(journal.records.empty());
}

}
