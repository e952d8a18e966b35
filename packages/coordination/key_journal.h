#pragma once

#include "protocol/messages.h"
#include "state/clock.h"
#include "state/outcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace briarhead {

/// What the home daemon of an idempotency key remembers.
struct key_record
{
    key_state state = key_state::Started;
    std::uint32_t number = 1; ///< of the attempt, as the caller counts
    bool notRun = false; ///< the attempt certainly did not run; the next number may
    request_id attempt;
    millis expires;
    int status = 0;
    std::string contentType;
    std::string answer;
};

constexpr std::size_t maxKeptAnswerBytes = 64 * 1024;
constexpr std::size_t maxJournalBytes = 64 * 1024 * 1024;

/// The journal of one home.
struct key_journal
{
    std::map<std::string, key_record, std::less<>> records;
    std::deque<std::pair<millis, std::string>> byExpiry;
    std::size_t bytes = 0;
};

/// Asks to run an attempt. Fresh records it as started, and is given only to attempt 1 of a key without a
/// record, or to the attempt after one that is recorded as not run. That no record is here proves nothing:
/// another daemon may have been home, or have been taken for it by an entry with another view of the members.
key_response beginKey(key_journal &journal, const key_begin &ask, millis now);
/// Ends an attempt: Done keeps the answer, NotRun lets the next attempt run, Unknown keeps it started.
void finishKey(key_journal &journal, const key_finish &end, millis now);
/// Forgets what has expired.
void expireKeys(key_journal &journal, millis now);

}
