#pragma once

#include "protocol/fleet_messages.h"
#include "state/clock.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Who may send a prompt to one server, and when. Prompts are read in pieces between the tokens of the
// streams that run there, so each one that is sent early makes all of them stutter: only as much is let in
// as keeps the server reading, and the rest waits here: the most urgent first, of a rank those that can still
// be on time before those that can't, then by arrival.
namespace briarhead {

struct waiting_prompt
{
    std::string id;
    std::string entry; ///< node that asked
    std::string model;
    std::string adapter;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    int rank = 0;
    millis arrived;
    millis startBy; ///< of no use to its caller later
    millis deadline;
    millis targetAt; ///< its first event is on time until then
};

struct running_prompt
{
    waiting_prompt prompt;
    millis granted;
    bool reading = true; ///< its first token has not come
};

/// Prompt reading tokensPerMs assumed of a server before one was measured, tokens a ms: below the slowest of
/// the first deployments (19.1 / 1.3).
constexpr double initialTokensPerMs = 14.0;
/// How much reading is let in ahead, in ms of the server's tokensPerMs. A stream's next event waits for two
/// or three steps, each with at most this much reading in it, and is late after 400 ms.
constexpr double maxReadAheadMs = 170.0;
/// From the end of a prompt's reading to its first event at the caller: the step it ends in, and the way.
constexpr millis firstEventMargin{30};
/// A share of the server's memory that stays free: output tokens are known only as an upper bound.
constexpr double maxMemoryFraction = 0.9;

struct slot_queue
{
    std::vector<waiting_prompt> waiting;
    std::map<std::string, running_prompt> running;
    int maxRunning = 1;
    std::int64_t memoryTokens = 0;
    double tokensPerMs = initialTokensPerMs; ///< tokens a ms, measured
    millis busySince; ///< since when reading never stopped; 0: idle
    std::int64_t readTokens = 0; ///< since busySince
};

/// Prompt tokens sent and not yet read.
std::int64_t readingTokens(const slot_queue &queue);
/// The same, with what waits.
std::int64_t backlogTokens(const slot_queue &queue);

bool isWaiting(const slot_queue &queue, const std::string &id);

struct enqueue_result
{
    bool accepted = false;
    bool repeated = false; ///< known already
    millis wait; ///< until its turn, predicted
};

/// Whether a prompt that is let in at once can have its first event in time. Under a load that is too high
/// for a while, a queue in order of arrival settles at the length at which everyone is served just too late.
/// With those first whose target can still be met, most are on time, and the rest, who are late either way,
/// get what is left. On the load model's day of high load on 60 servers, 11% are late for that reason in
/// place of 31%, and the worth of all, less loads, is 0.70 of what is owed in place of 0.59.
bool canBeOnTime(const slot_queue &queue, const waiting_prompt &prompt, millis now);

/// Takes a prompt into the queue unless its turn would come after `startBy`.
enqueue_result enqueue(slot_queue &queue, const waiting_prompt &prompt, millis now);

/// Lets in what has its turn, at most `most`; `ready` says whether the server can run it now. Prompts whose
/// time is over are put into `late`.
std::vector<waiting_prompt> admitReady(slot_queue &queue,
    const std::function<bool(const waiting_prompt &)> &ready, std::vector<waiting_prompt> &late, millis now,
    std::size_t most = std::numeric_limits<std::size_t>::max());

void onFirstToken(slot_queue &queue, const std::string &id, millis now);
/// The prompt that ended or was withdrawn, if it was running.
std::optional<running_prompt> removePrompt(slot_queue &queue, const std::string &id, millis now);
/// Ends those whose deadline has passed: the word of their end was lost.
std::vector<running_prompt> removeExpired(slot_queue &queue, millis now);

}
