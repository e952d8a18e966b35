#pragma once

#include "protocol/fleet_messages.h"
#include "serving/choose_server.h"
#include "serving/place_queue.h"
#include "serving/server_ledger.h"
#include "serving/server_limit.h"
#include "state/clock.h"

#include <functional>
#include <string>
#include <vector>

// One server as the daemon runs it that gives its orders: its places, the prompts that wait for them, and the
// turns within the limit that it names, which a plain server has too. What is refused, who waits and who is
// let in is decided here, without network or clock, so that the same code serves callers and the load model
// of the tests.
namespace briarhead {

struct place_desk
{
    server_ledger ledger;
    place_queue queue;
    response_mix answers; ///< asked for here
    limit_permits limit;
    bool plain = false; ///< of a plain service: all that is kept of it is its limit
};

/// An answer and the entry it goes to.
struct desk_answer
{
    std::string entry;
    slot_response answer;
};

/// The least that a refused caller is asked to wait.
constexpr millis shortestComeBack{150};
/// While every place is used, one is free again after about this long: the rest of a short answer.
constexpr millis placeComeBack{400};

slot_response refuseAsk(const std::string &id, const std::string &server, refusal why, millis comeBack);

/// Answers an entry's question at once: granted before, refused, or queued. What is queued is let in by
/// `answersDue`.
slot_response askDesk(place_desk &desk, const std::string &entry, const slot_request &ask, millis now);
/// A request that the orderer before let in runs here.
void takeRunning(place_desk &desk, const std::string &entry, const running_request &run, millis now);
void takeNote(place_desk &desk, const slot_report &note, millis now);
/// What an answer said of the server's limit.
void takeLimit(place_desk &desk, const limit_report &note, millis now);
/// Gives up the places of requests whose time is long over.
void dropExpired(place_desk &desk, millis now);
/// Takes in what the server tells of itself; uses of adapters survive it by their grants.
void takeReport(place_desk &desk, const server_report &report, millis now);

/// Grants to prompts whose turn it is, and refusals of those whose time is over.
std::vector<desk_answer> answersDue(place_desk &desk, millis now);
/// Refuses what entries ask that the server wants nothing from for a while.
std::vector<desk_answer> refusePaused(
    place_desk &desk, const std::function<millis(const std::string &entry)> &pauseLeft);
/// Refuses all that wait.
std::vector<desk_answer> refuseWaiting(place_desk &desk, refusal why);

/// Takes in what the desk's loads tell of the weight store, and tells the desk what a load takes now.
void followPace(place_desk &desk, load_estimate &pace, millis now);

/// The next order, for what waits; see `nextOrder`.
std::optional<server_order> orderDue(place_desk &desk, order_limits limits, millis now);
/// Adapters that prompts wait for and that have no place yet, other than the given one.
int adaptersWaited(const place_desk &desk, const std::string &model, const std::string &adapter);
/// What entries are told. `mayOrder`: nothing keeps the orderer from giving orders now.
/// What entries are told of its limit, if it names one or lately did.
std::optional<limit_heartbeat> limitBeatOf(const place_desk &desk, millis now);
server_heartbeat beatOf(const place_desk &desk, bool mayOrder, millis now);

}
