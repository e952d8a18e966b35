#pragma once

#include "protocol/fleet_messages.h"
#include "scheduling/choose_server.h"
#include "scheduling/server_ledger.h"
#include "scheduling/server_limit.h"
#include "scheduling/service_features.h"
#include "scheduling/slot_queue.h"
#include "state/clock.h"

#include <functional>
#include <string>
#include <vector>

// Schedules one server's slots on the daemon that owns the server: its adapter slots, the prompts that wait
// for them, and the permits within the rate limit that the server announces, which plain servers may announce
// too. The functions here decide which prompts are refused, queued and admitted. They use neither network nor
// clock, so that the load model of the tests runs the same code as the daemon.
namespace briarhead {

struct slot_scheduler
{
    service_features features; ///< of the server's service
    server_ledger ledger;
    slot_queue queue;
    response_mix outputLengths; ///< of the prompts requested here
    limit_permits limit;
    int serverSlots = 1; ///< requests that the server processes at a time
    bool plain = false; ///< of a service without an engine: only its limit is scheduled
};

/// A response and the entry that it is sent to.
struct addressed_response
{
    std::string entry;
    slot_response response;
};

/// Shortest wait that a refused caller is given.
constexpr millis minRetryAfter{150};
/// Wait given while all slots are in use: the usual rest of a short response.
constexpr millis slotRetryAfter{400};

/// A refusal of request `id`; `retryAfter` is raised to minRetryAfter.
slot_response refusedResponse(
    const std::string &id, const std::string &server, refusal reason, millis retryAfter);

/// Responds to an entry's request: granted if it was granted before, otherwise refused or queued. Queued
/// prompts are admitted by `dueResponses`.
slot_response handleSlotRequest(slot_scheduler &scheduler, const std::string &entry,
    const slot_request &request, millis now, const slot_terms &terms = {});
/// Registers a request that the server's previous owner admitted.
void registerRunning(
    slot_scheduler &scheduler, const std::string &entry, const running_request &run, millis now);
/// An entry reports the first token or the end of a request.
void onRequestEvent(slot_scheduler &scheduler, const slot_report &report, millis now);
/// An entry reports the limit that a server's response named, or that a response named none.
void onLimitReport(slot_scheduler &scheduler, const limit_report &report, millis now);
/// An entry reports that the server rejected a request for want of room. Reports may be repeated.
void onRejection(slot_scheduler &scheduler, const std::string &id, millis now);
/// Reclaims the slots of requests past their deadline whose end was not reported.
void releaseExpired(slot_scheduler &scheduler, millis now);
/// Applies the server's own report. The use counts of adapters are taken from the running prompts.
void applyReport(slot_scheduler &scheduler, const server_report &report, millis now);

/// Admits the prompts that are due. Returns their grants, and refusals of prompts that can't start in time.
std::vector<addressed_response> dueResponses(slot_scheduler &scheduler, millis now);
/// Refuses the waiting prompts of entries that the server has asked to pause; `pauseLeft` is 0 for the
/// others.
std::vector<addressed_response> refusePaused(
    slot_scheduler &scheduler, const std::function<millis(const std::string &entry)> &pauseLeft);
/// Refuses all waiting prompts.
std::vector<addressed_response> refuseWaiting(slot_scheduler &scheduler, refusal reason);

/// Feeds the measured load times into the estimate for the weight store, and the estimate back into the
/// ledger.
void updateLoadTimes(slot_scheduler &scheduler, load_estimate &pace, millis now);

/// The next order that the waiting prompts need, if any; see `nextOrder`.
std::optional<server_order> orderDue(slot_scheduler &scheduler, order_constraints limits, millis now);
/// Number of adapters without a slot that prompts wait for, not counting the given one.
int adaptersWaitingForSlot(
    const slot_scheduler &scheduler, const std::string &model, const std::string &adapter);
/// What heartbeats report of the server's limit; nothing if it has none and withdrew none recently.
std::optional<limit_heartbeat> limitHeartbeat(const slot_scheduler &scheduler, millis now);
/// What heartbeats report of the server. `mayOrder`: its owner may send orders now.
server_heartbeat serverHeartbeat(const slot_scheduler &scheduler, bool mayOrder, millis now);
/// What load heartbeats report of a model server; the fencing token is left for the caller to fill in.
server_load serverLoad(const slot_scheduler &scheduler, millis now);

}
