#pragma once

#include "protocol/fleet_messages.h"
#include "serving/choose_server.h"
#include "serving/server_ledger.h"
#include "serving/server_limit.h"
#include "serving/slot_queue.h"
#include "state/clock.h"

#include <functional>
#include <string>
#include <vector>

// One server as the daemon runs it that gives its orders: its places, the prompts that wait for them, and the
// turns within the limit that it names, which a plain server has too. What is refused, who waits and who is
// let in is decided here, without network or clock, so that the same code serves callers and the load model
// of the tests.
namespace briarhead {

struct slot_scheduler
{
    server_ledger ledger;
    slot_queue queue;
    answer_mix answers; ///< asked for here
    limit_turns limit;
    bool plain = false; ///< of a plain service: all that is kept of it is its limit
};

/// An answer and the entry it goes to.
struct addressed_response
{
    std::string entry;
    place_answer answer;
};

/// The least that a refused caller is asked to wait.
constexpr millis minRetryAfter{150};
/// While every place is used, one is free again after about this long: the rest of a short answer.
constexpr millis slotRetryAfter{400};

place_answer refusedResponse(const std::string &id, const std::string &server, refusal why, millis comeBack);

/// Answers an entry's question at once: granted before, refused, or queued. What is queued is let in by
/// `dueResponses`.
place_answer handleSlotRequest(
    slot_scheduler &desk, const std::string &entry, const place_ask &ask, millis now);
/// A request that the orderer before let in runs here.
void registerRunning(slot_scheduler &desk, const std::string &entry, const place_running &run, millis now);
void onRequestEvent(slot_scheduler &desk, const place_note &note, millis now);
/// What an answer said of the server's limit.
void onLimitNotice(slot_scheduler &desk, const limit_note &note, millis now);
/// Gives up the places of requests whose time is long over.
void dropExpired(slot_scheduler &desk, millis now);
/// Takes in what the server tells of itself; uses of adapters survive it by their grants.
void applyReport(slot_scheduler &desk, const server_report &report, millis now);

/// Grants to prompts whose turn it is, and refusals of those whose time is over.
std::vector<addressed_response> dueResponses(slot_scheduler &desk, millis now);
/// Refuses what entries ask that the server wants nothing from for a while.
std::vector<addressed_response> refusePaused(
    slot_scheduler &desk, const std::function<millis(const std::string &entry)> &pauseLeft);
/// Refuses all that wait.
std::vector<addressed_response> refuseWaiting(slot_scheduler &desk, refusal why);

/// Takes in what the desk's loads tell of the weight store, and tells the desk what a load takes now.
void updateLoadTimes(slot_scheduler &desk, load_pace &pace, millis now);

/// The next order, for what waits; see `nextOrder`.
std::optional<server_order> orderDue(slot_scheduler &desk, order_constraints limits, millis now);
/// Adapters that prompts wait for and that have no place yet, other than the given one.
int adaptersWaitingForSlot(const slot_scheduler &desk, const std::string &model, const std::string &adapter);
/// What entries are told. `mayOrder`: nothing keeps the orderer from giving orders now.
/// What entries are told of its limit, if it names one or lately did.
std::optional<limit_beat> limitHeartbeat(const slot_scheduler &desk, millis now);
server_beat serverHeartbeat(const slot_scheduler &desk, bool mayOrder, millis now);

}
