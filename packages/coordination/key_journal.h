#pragma once

#include "protocol/messages.h"
#include "state/clock.h"
#include "state/outcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace briarhead {

/// What the home of an idempotency key stores about it.
struct key_record
{
    key_state state = key_state::Started;
    std::uint32_t attemptNumber = 1; ///< as counted by the caller, from 1
    bool notRun = false; ///< the attempt certainly did not run, so the next number may
    request_id attemptId;
    millis expiresAt;
    int status = 0; ///< HTTP status of the response, once Finished
    std::string contentType;
    std::string responseBody;
};

/// A larger response isn't stored: the key's outcome stays unknown to repeated requests.
constexpr std::size_t maxStoredResponseBytes = 64 * 1024;
/// A full journal lets no new attempt start.
constexpr std::size_t maxJournalBytes = 64 * 1024 * 1024;

/// The records of all keys whose home is this daemon.
struct key_journal
{
    std::map<std::string, key_record, std::less<>> records; ///< by key
    std::deque<std::pair<millis, std::string>> byExpiry; ///< expiry time and key, oldest first
    std::size_t bytes = 0; ///< estimated memory of both
};

/// Requests to run an attempt. Returns Fresh, and records the attempt as started, only for attempt 1 of a key
/// without a record, or for the attempt after one that is recorded as not run. A missing record alone isn't
/// enough: another daemon may have been home before, or an entry with another view of the members may have
/// considered another daemon the home.
key_response beginKey(key_journal &journal, const key_begin &request, millis now);
/// Ends an attempt: Done stores the response, NotRun lets the next attempt run, Unknown leaves it started.
void finishKey(key_journal &journal, const key_finish &report, millis now);
/// Removes expired records.
void expireKeys(key_journal &journal, millis now);

}
