#pragma once

#include "serving/backend_server.h"
#include "serving/load_pace.h"
#include "serving/serving_config.h"
#include "state/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

// What one server holds, as the daemon that gives its orders knows it. One load too many crashes a server,
// and it comes back empty, so a place counts as taken until it is proved free.
namespace briarhead {

enum class slot_state : std::uint8_t
{
    Loading, ///< accepted; requests for it are refused until it is in
    Resident,
    Unloading, ///< ordered out; the place is taken until the server has answered
};

std::string_view nameOf(slot_state value);

struct adapter_slot
{
    std::string model;
    std::string adapter;
    std::int64_t version = 0; ///< 0: not known
    slot_state state = slot_state::Loading;
    bool cached = false; ///< Loading: the server had it lately, so it is quick
    bool orderedHere = false; ///< Loading: by this daemon, so it is known since when
    double concurrentLoads = 0; ///< Loading: adapters that were on their way when it was ordered
    millis stateSince; ///< of the state
    millis confirmAt; ///< Loading: when to ask whether it is in
    int users = 0; ///< requests sent to the server for it
    double useScore = 0; ///< uses, decayed; see useScoreHalfLife
    millis useScoreAt;
};

/// Uses count half after this long: about the time in which demand at these deployments moves on.
constexpr millis useScoreHalfLife{8'000};
/// Adapters that a server had lately stay in its memory and are back in a tenth of the time.
constexpr std::size_t maxCachedAdapters = 30;
/// From order to use of an adapter that the server remembers, in ms. Where each ledger starts; what such
/// loads take moves it, at the given weight a load.
constexpr double initialCachedLoadMs = 25;
constexpr double loadTimeWeight = 0.2;
/// Whether an adapter is in is first asked after this share of the quickest time, then at a pause that grows
/// with the time it has been on its way: a question is cheap, and a late one makes all that wait for the
/// adapter wait longer. Asking after the expected time instead holds the expectation up, since no load is
/// then seen to take less: after one crowd of 2 s it went down by 1% a load.
constexpr double confirmAfterFraction = 0.95;
constexpr double confirmPauseFraction = 0.1;
/// A report older than the last accepted order is outdated; one this long after it is not, whatever it says.
constexpr millis maxReportLag{500};
/// The least pause between questions whether an adapter is in.
constexpr millis minConfirmPause{25};
/// Adapters that may be on their way to one server at the same time.
constexpr int maxLoadsPerServer = 4;
/// An order without an answer is carried out within this time, or never: by the platform's word two to twelve
/// seconds later.
constexpr millis maxOrderDelay{15'000};
/// A conflict means that another picture of the server is needed; reports lag by some 100 ms.
constexpr millis conflictPause{120};

/// A load from the weight store that is done.
struct measured_load
{
    millis duration;
    double concurrentLoads = 0; ///< mean number of adapters on their way meanwhile
};

struct server_ledger
{
    std::string server;
    int slots = 0;
    double weightsMb = 0;
    bool confirmed = false; ///< a report was taken in since the last doubt
    std::int64_t sequence = 0; ///< orders the server has accepted
    millis acceptedAt; ///< when it accepted the last one
    std::vector<std::string> models; ///< base models held
    std::string loadingModel; ///< ordered, not yet seen in a report
    std::vector<adapter_slot> adapters;
    std::optional<server_order> openOrder; ///< sent, not answered
    /// A load without an answer, that may still be carried out: it holds a place until a later order was
    /// accepted, since the server then refuses it for its sequence.
    std::optional<server_order> unansweredLoad;
    millis unansweredUntil; ///< of one that an earlier start of the server was sent; 0: of this start
    millis notBefore; ///< no order or report until then
    millis ordersPausedUntil; ///< the server takes no orders from this daemon until then
    double cachedLoadMs = initialCachedLoadMs;
    double storeLoadMs =
        firstLoadMs; ///< what a load from the weight store would take now; the task's to fill in
    double concurrentLoads = 0; ///< adapters on their way over all servers; the task's to fill in
    std::vector<measured_load> measuredLoads; ///< from the weight store, for the task to take
    std::vector<std::string> cachedAdapters; ///< adapters the server had lately, the latest last
};

adapter_slot *findSlot(server_ledger &ledger, const std::string &model, const std::string &adapter);
const adapter_slot *findSlot(
    const server_ledger &ledger, const std::string &model, const std::string &adapter);
bool holdsModel(const server_ledger &ledger, const std::string &model);

/// Places that are taken, or may be.
int occupiedSlots(const server_ledger &ledger);
/// Free places and those that nothing uses.
int availableSlots(const server_ledger &ledger);
/// Adapters on their way in.
int loadsInProgress(const server_ledger &ledger);

/// How long a request that comes now would wait for its adapter: nothing where it is resident; else by what
/// a load takes now.
millis adapterWait(
    const server_ledger &ledger, const std::string &model, const std::string &adapter, millis now);

/// Takes in what the server tells of itself. A report older than what is known changes nothing.
void applyReport(server_ledger &ledger, const server_report &report, millis now);

/// The server has started again under its id: it holds nothing, and its count of orders begins anew. A load
/// without an answer may still reach it, once its count fits.
void resetAfterRestart(server_ledger &ledger, millis now);

/// What is wanted of the server, most wanted first.
struct wanted_adapter
{
    std::string model;
    std::string adapter;
};

struct order_constraints
{
    const std::vector<model_spec> *models = nullptr;
    bool mayLoadModel = true; ///< the pace of base model loads allows one
    /// The version an adapter must have now; 0: any.
    std::function<std::int64_t(const std::string &model, const std::string &adapter)> newestVersion;
    /// Requests wait for this adapter here, so it is not to be given up.
    std::function<bool(const std::string &model, const std::string &adapter)> isWaitedFor;
};

/// The next order to send, or nothing. The caller fills in holder and fence, sends it, and reports the
/// answer. `expected` is always set: an order that arrives late, after others, is then refused.
std::optional<server_order> nextOrder(server_ledger &ledger, const std::vector<wanted_adapter> &wants,
    const order_constraints &limits, millis now);

/// Takes in the answer of the open order. After a conflict or no answer `proved` is false: a report is due.
void onOrderResponse(server_ledger &ledger, const server_order &order, order_answer answer, millis now);

/// How often an adapter was used here of late: uses count half after `useScoreHalfLife`.
double currentUseScore(const adapter_slot &place, millis now);

/// A request began to use an adapter, or ended.
void beginUse(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now);
void endUse(server_ledger &ledger, const std::string &model, const std::string &adapter);
/// The server answered that it doesn't hold the adapter.
void onNotHeld(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now);

}
