#pragma once

#include "protocol/fleet_messages.h"
#include "scheduling/server_speed.h"
#include "state/clock.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Decides which prompt is sent to one server next, and when. A server prefills prompts in chunks between the
// decode steps of its running streams, so every prompt sent too early delays the tokens of all of them. Only
// as many prompts are admitted as keep the server prefilling; the rest wait here, in order of rank, then
// those that can still meet their target before those that cannot, then by arrival.
namespace briarhead {

/// Stands for a request of an older build, which states one rank only.
constexpr int noRouteRank = -1;

/// The fields of an extended_slot_request, decoded. The defaults apply to requests of older builds.
struct slot_terms
{
    millis maxGap; ///< longest inter-event gap with which the response is on time; 0: none stated
    int routeRank = noRouteRank; ///< priority of the request's route
    /// What a brittle server bears to reject per second, as known to the entry; negative: it isn't brittle.
    std::int64_t maxRejections = -1;
};

optional_fields encodeTerms(const slot_terms &terms);
/// Values that make no sense are replaced by the default.
slot_terms decodeTerms(const optional_fields &fields);

/// The rank that waiting prompts are ordered by: `rank` first, which is the account's where the account has
/// one. Among equal ones the route's decides; otherwise all requests of an account with a rank of its own
/// would count as equally urgent.
int combinedRank(int rank, int routeRank);

struct waiting_prompt
{
    std::string id;
    std::string entry; ///< node that requested the slot
    std::string model;
    std::string adapter;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< upper bound
    int rank = 0; ///< combinedRank(); lower ranks go first
    millis arrived;
    millis startBy; ///< latest start that still serves the caller
    millis deadline;
    millis targetAt; ///< latest time of the first event that meets the latency target
    slot_terms terms;
};

struct running_prompt
{
    waiting_prompt prompt;
    millis granted;
    bool reading = true; ///< in prefill: its first token has not been reported
    bool alone = false; ///< no other prompt has been in prefill since its admission
    bool gapLost = false; ///< a prompt was admitted that alone breaks this stream's limit on the gap
};

/// Prefill speed assumed before any was measured; below that of the slowest servers of the first deployments
/// (19.1 / 1.3).
constexpr double initialTokensPerMs = 14.0;
/// Limit on admitted prompts still in prefill, as prefill time. A stream's next event takes two or three
/// steps, each with at most this much prefill in it, and is late after 400 ms.
constexpr double maxReadAheadMs = 170.0;
/// From the end of prefill to the first event at the caller: the rest of the step, and the network.
constexpr millis firstEventMargin{30};
/// Fraction of the server's KV memory that prompts may reserve.
constexpr double maxMemoryFraction = 0.9;

struct slot_queue
{
    std::vector<waiting_prompt> waiting; ///< by rank, then arrival
    std::map<std::string, running_prompt> running; ///< admitted, by request id
    int maxRunning = 1;
    std::int64_t memoryTokens = 0; ///< size of the server's KV memory
    double tokensPerMs = initialTokensPerMs; ///< measured prefill speed
    millis busySince; ///< start of uninterrupted prefill; 0: idle
    std::int64_t readTokens = 0; ///< prefilled since busySince
    server_speed speed; ///< of prompts read alone; for the forecast of gaps
};

/// The prefill speed for the forecast of gaps: the learnt one, in view of a prompt in prefill that takes
/// longer than predicted; `tokensPerMs`, which includes decode steps and idle times, until enough is learnt.
double gapTokensPerMs(const slot_queue &queue, millis now);
/// The running streams that state a limit on the gap which can still be kept.
std::uint32_t streamsWithGapLimit(const slot_queue &queue);
/// Prompt tokens admitted and still in prefill.
std::int64_t readingTokens(const slot_queue &queue);
/// Prompt tokens that may be in prefill at a time beside others: where running streams state a limit on the
/// inter-event gap that can still be kept, what fits into one gap; else what is read in maxReadAheadMs. A
/// prompt counts until its first event is reported, which is a whole event's time after its prefill, so that
/// prompts admitted one after another don't fall into the same gap either.
std::int64_t maxReadingTokens(const slot_queue &queue, millis now);
/// Prompt tokens in prefill and waiting.
std::int64_t backlogTokens(const slot_queue &queue);

bool isWaiting(const slot_queue &queue, const std::string &id);

struct enqueue_result
{
    bool accepted = false;
    bool known = false; ///< already waiting or running
    millis expectedWait; ///< until its admission
};

/// Whether a prompt admitted now can meet its latency target. Under overload a queue in order of arrival
/// settles at the length at which every prompt is served just too late. With those first that can still meet
/// their target, most do, and the rest, which are late either way, use the remaining capacity. On the load
/// model's high-load day on 60 servers this lowers the late share from 31% to 11%, and raises the score net
/// of loads from 0.59 to 0.70 of the maximum.
bool canBeOnTime(const slot_queue &queue, const waiting_prompt &prompt, millis now);

/// Adds a prompt to the queue unless its expected admission is after its `startBy`.
enqueue_result enqueue(slot_queue &queue, const waiting_prompt &prompt, millis now);

/// Admits the prompts that are due and returns them, at most `maxCount`; `ready` tells whether the server can
/// run a prompt now. Waiting prompts past their `startBy` are moved to `late`.
std::vector<waiting_prompt> admitReady(slot_queue &queue,
    const std::function<bool(const waiting_prompt &)> &ready, std::vector<waiting_prompt> &late, millis now,
    std::size_t maxCount = std::numeric_limits<std::size_t>::max());

/// Ends a prompt's prefill; does nothing if it is not running.
void onFirstToken(slot_queue &queue, const std::string &id, millis now);
/// Removes a prompt that ended or was withdrawn. Returns it if it was running.
std::optional<running_prompt> removePrompt(slot_queue &queue, const std::string &id, millis now);
/// Removes and returns running prompts past their deadline, whose end was not reported: the message was lost.
std::vector<running_prompt> removeExpired(slot_queue &queue, millis now);

}
