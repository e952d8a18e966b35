#include "coordination/key_journal.h"

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

/// What a record takes besides its texts, and an entry of byExpiry besides its key, roughly.
constexpr std::size_t recordBytes = sizeof(key_record) + 64;
constexpr std::size_t expiryBytes = sizeof(std::pair<millis, std::string>);

std::size_t bytesOf(const std::string &key, const key_record &record)
{
    return recordBytes + key.size() + record.contentType.size() + record.answer.size();
}

std::size_t bytesOfExpiry(const std::string &key)
{
    return expiryBytes + key.size();
}

using record_at = std::map<std::string, key_record, std::less<>>::iterator;

void eraseRecord(key_journal &journal, record_at at)
{
    journal.bytes -= bytesOf(at->first, at->second);
    journal.records.erase(at);
}

/// Whether an attempt may run, by its number alone. Guards against a key with two homes: the first attempt
/// runs at a home that an entry reached while it took this one for dead, the repeat comes here, where no
/// record is. It shows as one order placed twice. The number is the caller's own word on what came before; a
/// home's view of the members can't stand in for it, since the entry's view may have been another. An attempt
/// without a number is not the first.
bool mayRun(const key_record *record, std::uint32_t number)
{
    return record == nullptr ? number == 1 : record->notRun && number == record->number + 1;
}

/// Records the attempt as started; false when the journal has no room.
bool recordStarted(key_journal &journal, const key_begin &ask, millis now)
{
    key_record record;
    record.attempt = ask.id;
    record.number = ask.attempt;
    record.expires = now + millis{ask.retentionMs};
    const std::size_t added = bytesOf(ask.key, record) + bytesOfExpiry(ask.key);
    if (journal.bytes + added > maxJournalBytes) {
        return false;
    }
    journal.bytes += added;
    journal.byExpiry.emplace_back(record.expires, ask.key);
    journal.records.emplace(ask.key, std::move(record));
    return true;
}

/// Keeps the answer if it fits. Without it the record stays Started: a repeat is told that the outcome is
/// unknown, rather than done with an answer that can't be given.
void keepAnswer(key_journal &journal, record_at at, const key_finish &end)
{
    const std::size_t added = end.answer.size() + end.contentType.size();
    if (end.answer.size() > maxKeptAnswerBytes || journal.bytes + added > maxJournalBytes) {
        return;
    }
    journal.bytes += added;
    key_record &record = at->second;
    record.state = key_state::Finished;
    record.status = end.status;
    record.contentType = end.contentType;
    record.answer = end.answer;
}

}

key_response beginKey(key_journal &journal, const key_begin &ask, millis now)
{
    expireKeys(journal, now);
    auto at = journal.records.find(ask.key);
    if (at != journal.records.end() && at->second.expires <= now) {
        eraseRecord(journal, at);
        at = journal.records.end();
    }
    const key_record *record = at == journal.records.end() ? nullptr : &at->second;
    if (record != nullptr && !record->notRun) {
        // Guards against an attempt that runs twice, seen as one order placed twice: also the attempt that
        // is recorded itself gets no second Fresh, as its first one may have been acted on.
        return {ask.id, record->state, record->status, record->contentType, record->answer};
    }
    if (!mayRun(record, ask.attempt)) {
        return {ask.id, key_state::Undetermined};
    }
    if (record != nullptr) {
        eraseRecord(journal, at);
    }
    // A full journal can't promise that a later repeat will be known, so the attempt must not start.
    return {ask.id, recordStarted(journal, ask, now) ? key_state::Fresh : key_state::Undetermined};
}

void finishKey(key_journal &journal, const key_finish &end, millis now)
{
    const auto at = journal.records.find(end.key);
    // Guards against a late end of an earlier attempt that frees or finishes the key of a later one.
    if (at == journal.records.end() || at->second.attempt != end.id || at->second.expires <= now
        || at->second.state != key_state::Started || at->second.notRun) {
        return;
    }
    if (end.result == outcome::NotRun) {
        at->second.notRun = true;
    } else if (end.result == outcome::Done) {
        keepAnswer(journal, at, end);
    }
}

void expireKeys(key_journal &journal, millis now)
{
    while (!journal.byExpiry.empty() && journal.byExpiry.front().first <= now) {
        const std::string key = std::move(journal.byExpiry.front().second);
        journal.byExpiry.pop_front();
        journal.bytes -= bytesOfExpiry(key);
        // A key that was freed and begun again has a later end of its own.
        const auto at = journal.records.find(key);
        if (at != journal.records.end() && at->second.expires <= now) {
            eraseRecord(journal, at);
        }
    }
}

}
