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
    request_id attempt;
    millis expires;
    int status = 0;
    std::string contentType;
    std::string answer;
};

constexpr std::size_t maxKeptAnswerBytes = 64 * 1024;
constexpr std::size_t maxJournalBytes = 64 * 1024 * 1024;

/// The journal of one home. `knowsSince` is when this daemon's view of the members last changed in a way
/// that may have made it home of keys it did not hold before.
struct key_journal
{
    std::map<std::string, key_record, std::less<>> records;
    std::deque<std::pair<millis, std::string>> byExpiry;
    std::size_t bytes = 0;
    millis knowsSince;
};

/// Asks to run an attempt. Fresh records it as started. A key this home can't know (it became home later
/// than the retention time before now) is Fresh only if the caller says that this is attempt 1.
key_verdict beginKey(key_journal &journal, const key_begin &ask, millis now);
/// Ends an attempt: Done keeps the answer, NotRun frees the key, Unknown keeps it started.
void finishKey(key_journal &journal, const key_finish &end, millis now);
/// Forgets what has expired.
void expireKeys(key_journal &journal, millis now);

}
