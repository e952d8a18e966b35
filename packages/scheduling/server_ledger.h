#pragma once

#include "scheduling/backend_server.h"
#include "scheduling/load_estimate.h"
#include "scheduling/serving_config.h"
#include "state/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

// What one server holds, as known to the daemon that owns it. A load too many crashes the server, which then
// restarts empty, so a slot counts as occupied until it is known to be free.
namespace briarhead {

enum class slot_state : std::uint8_t
{
    Loading, ///< load accepted; requests for the adapter are refused until it is loaded
    Resident,
    Unloading, ///< unload sent; the slot is occupied until the server has confirmed it
};

std::string_view nameOf(slot_state value);

struct adapter_slot
{
    std::string model;
    std::string adapter;
    std::int64_t version = 0; ///< 0: unknown
    slot_state state = slot_state::Loading;
    bool cached = false; ///< Loading: the server still has it in memory, so the load is quick
    bool orderedHere = false; ///< Loading: ordered by this daemon, which therefore knows when it began
    double concurrentLoads = 0; ///< Loading: loads in progress on all servers when it was ordered
    millis stateSince; ///< when `state` was entered
    millis confirmAt; ///< Loading: when to ask whether the load is done; 0: not set
    int users = 0; ///< requests sent to the server for it
    double useScore = 0; ///< uses, decayed by useScoreHalfLife; as of useScoreAt
    millis useScoreAt;
};

/// Half-life of uses: about the time in which demand moves to other adapters at these deployments.
constexpr millis useScoreHalfLife{8'000};
/// A server keeps this many recent adapters in its memory, and loads them again in a tenth of the time.
constexpr std::size_t maxCachedAdapters = 30;
/// Initial estimate of the time from order to use of a cached adapter. Each such load adjusts the ledger's
/// estimate with loadTimeWeight.
constexpr double initialCachedLoadMs = 25;
constexpr double loadTimeWeight = 0.2;
/// A load is first confirmed after this fraction of the quickest load time, then at pauses that grow with the
/// time elapsed: a confirmation is cheap, and a late one delays every prompt that waits for the adapter.
/// Confirming only after the expected time would keep the estimate from falling, since no load would be seen
/// to take less: after one spike of 2 s loads it fell by 1% per load.
constexpr double confirmAfterFraction = 0.95;
constexpr double confirmPauseFraction = 0.1;
/// A report with a lower sequence than the ledger's is outdated until this long after the last accepted
/// order; later it is applied.
constexpr millis maxReportLag{500};
/// Shortest pause between two confirmations of a load.
constexpr millis minConfirmPause{25};
/// Limit on concurrent adapter loads of one server.
constexpr int maxLoadsPerServer = 4;
/// An unanswered order is executed within this time or never: the platform states 2 to 12 s.
constexpr millis maxOrderDelay{15'000};
/// Pause after a conflict, until a new report may be requested; reports lag by some 100 ms.
constexpr millis conflictPause{120};

/// A completed load from the weight store.
struct measured_load
{
    millis duration;
    double concurrentLoads = 0; ///< mean number of loads in progress on all servers meanwhile
};

struct server_ledger
{
    std::string server;
    int slots = 0; ///< adapter slots of the server
    double weightsMb = 0; ///< memory for models and adapters
    bool confirmed = false; ///< a report was applied, and nothing has made the ledger uncertain since
    std::int64_t sequence = 0; ///< orders that the server has accepted
    millis acceptedAt; ///< when it accepted the last one
    std::vector<std::string> models; ///< base models held
    std::string loadingModel; ///< ordered, not yet reported as held
    std::vector<adapter_slot> adapters;
    std::optional<server_order> openOrder; ///< sent, not answered
    /// A load that was never answered and may still be executed. It occupies a slot until a later order is
    /// accepted, since the server then rejects it by its sequence.
    std::optional<server_order> unansweredLoad;
    millis unansweredUntil; ///< if it was sent to an earlier incarnation: when it can't be executed any more;
                            ///< else 0
    millis notBefore; ///< no order or report request until then
    millis ordersPausedUntil; ///< the server has asked this daemon to pause orders until then
    double cachedLoadMs = initialCachedLoadMs;
    double storeLoadMs = initialLoadMs; ///< expected load time from the weight store; set by the owner
    double concurrentLoads = 0; ///< loads in progress on all servers; set by the owner
    std::vector<measured_load> measuredLoads; ///< from the weight store; collected by the owner
    std::vector<std::string> cachedAdapters; ///< oldest first
};

/// The slot of an adapter; null if it has none.
adapter_slot *findSlot(server_ledger &ledger, const std::string &model, const std::string &adapter);
const adapter_slot *findSlot(
    const server_ledger &ledger, const std::string &model, const std::string &adapter);
bool holdsModel(const server_ledger &ledger, const std::string &model);

/// Slots that are, or may be, occupied.
int occupiedSlots(const server_ledger &ledger);
/// Slots that are free or hold an adapter without users.
int availableSlots(const server_ledger &ledger);
/// Adapter loads in progress.
int loadsInProgress(const server_ledger &ledger);

/// How long a request arriving now would wait for its adapter: nothing where it is resident, otherwise the
/// expected rest of its load.
millis adapterWait(
    const server_ledger &ledger, const std::string &model, const std::string &adapter, millis now);

/// Applies the server's own report. An outdated one changes nothing but `notBefore`.
void applyReport(server_ledger &ledger, const server_report &report, millis now);

/// Resets the ledger of a server that has restarted under the same id: it holds nothing and counts its orders
/// anew. An unanswered load may still be executed once its sequence fits again.
void resetAfterRestart(server_ledger &ledger, millis now);

struct wanted_adapter
{
    std::string model;
    std::string adapter;
};

struct order_constraints
{
    const std::vector<model_spec> *models = nullptr;
    bool mayLoadModel = true; ///< the rate limit of base model loads allows one now
    /// The version that the adapter must have; 0: any.
    std::function<std::int64_t(const std::string &model, const std::string &adapter)> newestVersion;
    /// Whether requests wait for the adapter here, so that it must not be evicted.
    std::function<bool(const std::string &model, const std::string &adapter)> isWaitedFor;
};

/// The next order to send, or nothing; `wants` is in order of urgency. The caller fills in holder and fence,
/// sends the order, and reports the response. `expected` is always set, so that the server rejects an order
/// that arrives late, after others.
std::optional<server_order> nextOrder(server_ledger &ledger, const std::vector<wanted_adapter> &wants,
    const order_constraints &limits, millis now);

/// Applies the response to the open order. After a conflict or no response the ledger is unconfirmed: a
/// report is due.
void onOrderResponse(server_ledger &ledger, const server_order &order, order_result response, millis now);

/// How often an adapter was used here recently: its uses, decayed by useScoreHalfLife.
double currentUseScore(const adapter_slot &slot, millis now);

/// A request began to use an adapter, or ended.
void beginUse(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now);
void endUse(server_ledger &ledger, const std::string &model, const std::string &adapter);
/// The server responded that it does not hold an adapter that is resident here.
void onNotHeld(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now);

}
