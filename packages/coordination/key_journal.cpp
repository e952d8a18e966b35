#include "coordination/key_journal.h"

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

/// Estimated memory of a record without its strings, and of an entry of byExpiry without its key.
constexpr std::size_t recordBytes = sizeof(key_record) + 64;
constexpr std::size_t expiryBytes = sizeof(std::pair<millis, std::string>);

std::size_t bytesOf(const std::string &key, const key_record &record)
{
    return recordBytes + key.size() + record.contentType.size() + record.responseBody.size();
}

std::size_t bytesOfExpiry(const std::string &key)
{
    return expiryBytes + key.size();
}

using record_iterator = std::map<std::string, key_record, std::less<>>::iterator;

void eraseRecord(key_journal &journal, record_iterator record)
{
    journal.bytes -= bytesOf(record->first, record->second);
    journal.records.erase(record);
}

/// Whether an attempt may run, judged by its number and the record. Guards against a request that is executed
/// twice because its key had two homes: an entry considers this daemon dead and runs the first attempt
/// through another home, then the repeated request arrives here, where there is no record. Only the caller's
/// attempt number says that there was an earlier attempt; this home's view of the members does not, since the
/// entry's view may have differed. An attempt without a number (0) does not count as the first.
bool mayRun(const key_record *record, std::uint32_t attemptNumber)
{
    return record == nullptr ? attemptNumber == 1
                             : record->notRun && attemptNumber == record->attemptNumber + 1;
}

/// Records the attempt as started; returns false if the journal is full.
bool recordStarted(key_journal &journal, const key_begin &request, millis now)
{
    key_record record;
    record.attemptId = request.id;
    record.attemptNumber = request.attempt;
    record.expiresAt = now + millis{request.retentionMs};
    const std::size_t added = bytesOf(request.key, record) + bytesOfExpiry(request.key);
    if (journal.bytes + added > maxJournalBytes) {
        return false;
    }
    journal.bytes += added;
    journal.byExpiry.emplace_back(record.expiresAt, request.key);
    journal.records.emplace(request.key, std::move(record));
    return true;
}

/// Stores the response if it fits. If it doesn't, the record stays Started, so that a repeated request gets
/// an unknown outcome rather than Finished without the response.
void storeResponse(key_journal &journal, record_iterator found, const key_finish &report)
{
    const std::size_t added = report.answer.size() + report.contentType.size();
    if (report.answer.size() > maxStoredResponseBytes || journal.bytes + added > maxJournalBytes) {
        return;
    }
    journal.bytes += added;
    key_record &record = found->second;
    record.state = key_state::Finished;
    record.status = report.status;
    record.contentType = report.contentType;
    record.responseBody = report.answer;
}

}

key_response beginKey(key_journal &journal, const key_begin &request, millis now)
{
    expireKeys(journal, now);
    auto found = journal.records.find(request.key);
    if (found != journal.records.end() && found->second.expiresAt <= now) {
        eraseRecord(journal, found);
        found = journal.records.end();
    }
    const key_record *record = found == journal.records.end() ? nullptr : &found->second;
    if (record != nullptr && !record->notRun) {
        // Guards against an attempt that runs twice: even the recorded attempt itself doesn't get a second
        // Fresh, since it may have run after its first one.
        return {request.id, record->state, record->status, record->contentType, record->responseBody};
    }
    if (!mayRun(record, request.attempt)) {
        return {request.id, key_state::Undetermined};
    }
    if (record != nullptr) {
        eraseRecord(journal, found);
    }
    // With a full journal a repeated request would not be recognised later, so the attempt must not start.
    return {request.id, recordStarted(journal, request, now) ? key_state::Fresh : key_state::Undetermined};
}

void finishKey(key_journal &journal, const key_finish &report, millis now)
{
    const auto found = journal.records.find(report.key);
    // Guards against a late report on an earlier attempt that releases or finishes the key of a later one.
    if (found == journal.records.end() || found->second.attemptId != report.id
        || found->second.expiresAt <= now || found->second.state != key_state::Started
        || found->second.notRun) {
        return;
    }
    if (report.result == outcome::NotRun) {
        found->second.notRun = true;
    } else if (report.result == outcome::Done) {
        storeResponse(journal, found, report);
    }
}

void expireKeys(key_journal &journal, millis now)
{
    while (!journal.byExpiry.empty() && journal.byExpiry.front().first <= now) {
        const std::string key = std::move(journal.byExpiry.front().second);
        journal.byExpiry.pop_front();
        journal.bytes -= bytesOfExpiry(key);
        // A key that was released and started again has a later expiry of its own.
        const auto found = journal.records.find(key);
        if (found != journal.records.end() && found->second.expiresAt <= now) {
            eraseRecord(journal, found);
        }
    }
}

}
