#include "scheduling/server_ledger.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

bool isCached(const server_ledger &ledger, const std::string &key)
{
    return std::find(ledger.cachedAdapters.begin(), ledger.cachedAdapters.end(), key)
        != ledger.cachedAdapters.end();
}

void markCached(server_ledger &ledger, const std::string &key)
{
    std::erase(ledger.cachedAdapters, key);
    ledger.cachedAdapters.push_back(key);
    if (ledger.cachedAdapters.size() > maxCachedAdapters) {
        ledger.cachedAdapters.erase(ledger.cachedAdapters.begin());
    }
}

void recordLoadTime(server_ledger &ledger, const adapter_slot &slot, millis now)
{
    const millis duration = now - slot.stateSince;
    if (slot.cached) {
        ledger.cachedLoadMs += loadTimeWeight * (static_cast<double>(duration.count) - ledger.cachedLoadMs);
    } else if (slot.orderedHere) {
        ledger.measuredLoads.push_back({duration, (slot.concurrentLoads + ledger.concurrentLoads) / 2});
    }
}

adapter_slot &addSlot(server_ledger &ledger, const server_order &order, millis now)
{
    adapter_slot slot;
    slot.model = order.model;
    slot.adapter = order.adapter;
    slot.version = order.version;
    slot.stateSince = now;
    slot.useScoreAt = now;
    slot.cached = isCached(ledger, adapterKey(order.model, order.adapter));
    slot.orderedHere = true;
    slot.concurrentLoads = ledger.concurrentLoads;
    ledger.adapters.push_back(slot);
    return ledger.adapters.back();
}

void removeSlot(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    std::erase_if(ledger.adapters, [&](const adapter_slot &slot) {
        return slot.model == model && slot.adapter == adapter;
    });
}

double usedMb(const server_ledger &ledger, const std::vector<model_spec> &models)
{
    double sum = 0;
    for (const model_spec &spec : models) {
        const bool held = holdsModel(ledger, spec.name) || ledger.loadingModel == spec.name;
        sum += held ? spec.weightsMb : 0;
        for (const adapter_slot &slot : ledger.adapters) {
            sum += slot.model == spec.name ? spec.adapterMb : 0;
        }
    }
    return sum;
}

const model_spec *specOf(const order_constraints &limits, const std::string &model)
{
    for (const model_spec &spec : *limits.models) {
        if (spec.name == model) {
            return &spec;
        }
    }
    return nullptr;
}

/// A server without a base model serves nothing: loads the model of the most urgent request, else the first
/// one.
std::optional<server_order> modelOrder(
    const server_ledger &ledger, const std::vector<wanted_adapter> &wants, const order_constraints &limits)
{
    if (!ledger.models.empty() || !ledger.loadingModel.empty() || !limits.mayLoadModel
        || limits.models->empty()) {
        return std::nullopt;
    }
    const model_spec *spec = wants.empty() ? nullptr : specOf(limits, wants.front().model);
    spec = spec == nullptr ? &limits.models->front() : spec;
    if (usedMb(ledger, *limits.models) + spec->weightsMb > ledger.weightsMb) {
        return std::nullopt;
    }
    return server_order{order_kind::Load, spec->name, "", 0, ledger.sequence, "", 0};
}

/// Confirms a load in progress by repeating the order: the server answers that the adapter is loaded, or
/// still loading.
std::optional<server_order> confirmLoadOrder(server_ledger &ledger, millis now)
{
    for (adapter_slot &slot : ledger.adapters) {
        if (slot.state == slot_state::Loading && slot.confirmAt <= now) {
            return server_order{
                order_kind::Load, slot.model, slot.adapter, slot.version, ledger.sequence, "", 0};
        }
    }
    return std::nullopt;
}

/// Replaces a resident adapter of an older version in its slot; the server first finishes the requests using
/// it.
std::optional<server_order> replaceVersionOrder(const server_ledger &ledger, const order_constraints &limits)
{
    for (const adapter_slot &slot : ledger.adapters) {
        const std::int64_t newest = limits.newestVersion ? limits.newestVersion(slot.model, slot.adapter) : 0;
        if (slot.state == slot_state::Resident && newest > slot.version) {
            return server_order{order_kind::Load, slot.model, slot.adapter, newest, ledger.sequence, "", 0};
        }
    }
    return std::nullopt;
}

/// The least used adapter that has no users and that nothing waits for; null if there is none.
const adapter_slot *evictionCandidate(
    const server_ledger &ledger, const order_constraints &limits, millis now)
{
    const adapter_slot *leastUsed = nullptr;
    for (const adapter_slot &slot : ledger.adapters) {
        const bool idle = slot.state == slot_state::Resident && slot.users == 0
            && !(limits.isWaitedFor && limits.isWaitedFor(slot.model, slot.adapter));
        if (idle && (leastUsed == nullptr || currentUseScore(slot, now) < currentUseScore(*leastUsed, now))) {
            leastUsed = &slot;
        }
    }
    return leastUsed;
}

std::optional<server_order> wantedAdapterOrder(server_ledger &ledger,
    const std::vector<wanted_adapter> &wants, const order_constraints &limits, millis now)
{
    for (const wanted_adapter &want : wants) {
        const model_spec *spec = specOf(limits, want.model);
        if (spec == nullptr || !holdsModel(ledger, want.model)
            || findSlot(ledger, want.model, want.adapter) != nullptr) {
            continue;
        }
        const bool fits = occupiedSlots(ledger) < ledger.slots
            && usedMb(ledger, *limits.models) + spec->adapterMb <= ledger.weightsMb;
        if (fits && loadsInProgress(ledger) >= maxLoadsPerServer) {
            return std::nullopt;
        }
        if (fits) {
            const std::int64_t newest =
                limits.newestVersion ? limits.newestVersion(want.model, want.adapter) : 0;
            return server_order{order_kind::Load, want.model, want.adapter, newest, ledger.sequence, "", 0};
        }
        const adapter_slot *evicted = evictionCandidate(ledger, limits, now);
        if (evicted == nullptr) {
            return std::nullopt;
        }
        return server_order{order_kind::Unload, evicted->model, evicted->adapter, 0, ledger.sequence, "", 0};
    }
    return std::nullopt;
}

/// Whether the order repeats a load in progress.
bool isLoadInProgress(const server_ledger &ledger, const server_order &order)
{
    const adapter_slot *slot = findSlot(ledger, order.model, order.adapter);
    return order.kind == order_kind::Load && slot != nullptr && slot->state == slot_state::Loading;
}

void onLoadResponse(server_ledger &ledger, const server_order &order, order_result response, millis now)
{
    if (order.adapter.empty()) {
        if (response == order_result::Accepted) {
            ledger.loadingModel = order.model;
            ledger.notBefore = now + conflictPause;
        } else if (!holdsModel(ledger, order.model)) {
            ledger.models.push_back(order.model);
        }
        return;
    }
    adapter_slot *slot = findSlot(ledger, order.model, order.adapter);
    if (slot == nullptr) {
        slot = &addSlot(ledger, order, now);
    }
    slot->version = order.version != 0 ? order.version : slot->version;
    if (response == order_result::AlreadyDone) {
        if (slot->state == slot_state::Loading && slot->confirmAt.count != 0) {
            recordLoadTime(ledger, *slot, now);
        }
        slot->state = slot_state::Resident;
        markCached(ledger, adapterKey(order.model, order.adapter));
        return;
    }
    if (slot->state != slot_state::Loading || slot->confirmAt.count == 0) {
        slot->state = slot_state::Loading;
        slot->stateSince = now;
        const double quickest = slot->cached ? initialCachedLoadMs : initialLoadMs;
        slot->confirmAt = now + millis{std::llround(quickest * confirmAfterFraction)};
    } else {
        const auto elapsed = static_cast<double>((now - slot->stateSince).count);
        slot->confirmAt =
            now + std::max(minConfirmPause, millis{std::llround(elapsed * confirmPauseFraction)});
    }
}

}

std::string_view nameOf(slot_state value)
{
    switch (value) {
    case slot_state::Loading:
        return "loading";
    case slot_state::Resident:
        return "resident";
    case slot_state::Unloading:
        return "unloading";
    }
    return "unknown";
}

const adapter_slot *findSlot(
    const server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    for (const adapter_slot &slot : ledger.adapters) {
        if (slot.model == model && slot.adapter == adapter) {
            return &slot;
        }
    }
    return nullptr;
}

std::string_view nameOf(order_result value)
{
    static constexpr std::string_view names[] = {
        "holds", "accepted", "conflict", "fenced", "other server", "refused", "unknown"};
    return names[static_cast<std::size_t>(value)];
}

double currentUseScore(const adapter_slot &slot, millis now)
{
    const double halves =
        static_cast<double>((now - slot.useScoreAt).count) / static_cast<double>(useScoreHalfLife.count);
    return slot.useScore * std::exp2(-std::max(halves, 0.0));
}

adapter_slot *findSlot(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    return const_cast<adapter_slot *>(findSlot(static_cast<const server_ledger &>(ledger), model, adapter));
}

bool holdsModel(const server_ledger &ledger, const std::string &model)
{
    return std::find(ledger.models.begin(), ledger.models.end(), model) != ledger.models.end();
}

int occupiedSlots(const server_ledger &ledger)
{
    int occupied = static_cast<int>(ledger.adapters.size());
    for (const auto *pending : {&ledger.openOrder, &ledger.unansweredLoad}) {
        const bool load = *pending && (*pending)->kind == order_kind::Load && !(*pending)->adapter.empty();
        if (load && findSlot(ledger, (*pending)->model, (*pending)->adapter) == nullptr) {
            ++occupied;
        }
    }
    return occupied;
}

int availableSlots(const server_ledger &ledger)
{
    int count = ledger.slots - occupiedSlots(ledger);
    for (const adapter_slot &slot : ledger.adapters) {
        count += slot.state == slot_state::Resident && slot.users == 0 ? 1 : 0;
    }
    return std::max(count, 0);
}

int loadsInProgress(const server_ledger &ledger)
{
    return static_cast<int>(
        std::count_if(ledger.adapters.begin(), ledger.adapters.end(), [](const adapter_slot &slot) {
            return slot.state == slot_state::Loading;
        }));
}

millis adapterWait(
    const server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    const adapter_slot *slot = findSlot(ledger, model, adapter);
    if (adapter.empty() || (slot != nullptr && slot->state == slot_state::Resident)) {
        return {};
    }
    const bool cached = slot != nullptr ? slot->cached : isCached(ledger, adapterKey(model, adapter));
    const millis loadTime{std::llround(cached ? ledger.cachedLoadMs : ledger.storeLoadMs)};
    const bool loading = slot != nullptr && slot->state == slot_state::Loading;
    return loading ? std::max(loadTime - (now - slot->stateSince), millis{}) : loadTime;
}

void applyReport(server_ledger &ledger, const server_report &report, millis now)
{
    if (report.sequence < ledger.sequence && now - ledger.acceptedAt < maxReportLag) {
        ledger.notBefore = now + conflictPause;
        return;
    }
    ledger.sequence = report.sequence;
    ledger.confirmed = true;
    if (ledger.unansweredLoad && ledger.unansweredLoad->expectedSequence < report.sequence) {
        ledger.unansweredLoad.reset();
    }
    std::vector<adapter_slot> slots;
    const auto carryOver = [&](const std::string &model, const std::string &adapter, std::int64_t version,
                               slot_state state) {
        const bool duplicate = std::any_of(slots.begin(), slots.end(), [&](const adapter_slot &slot) {
            return slot.model == model && slot.adapter == adapter;
        });
        if (duplicate) {
            return;
        }
        adapter_slot slot;
        if (const adapter_slot *previous = findSlot(ledger, model, adapter)) {
            slot = *previous;
        }
        slot.model = model;
        slot.adapter = adapter;
        slot.version = version != 0 ? version : slot.version;
        slot.state = state;
        slot.stateSince = now;
        slot.confirmAt = state == slot_state::Loading ? now + minConfirmPause : millis{};
        slots.push_back(slot);
        markCached(ledger, adapterKey(model, adapter));
    };
    ledger.models.clear();
    for (const resident_model &model : report.models) {
        ledger.models.push_back(model.name);
        for (const resident_adapter &adapter : model.adapters) {
            carryOver(model.name, adapter.name, adapter.version, slot_state::Resident);
        }
    }
    for (const std::string &key : report.loading) {
        const std::size_t slash = key.find('/');
        const std::string rest = slash == std::string::npos ? "" : key.substr(slash + 1);
        const std::string name = rest.substr(0, rest.find('@'));
        if (!name.empty()) {
            carryOver(key.substr(0, slash), name, 0, slot_state::Loading);
        }
    }
    ledger.adapters = std::move(slots);
    if (!report.busy || holdsModel(ledger, ledger.loadingModel)) {
        ledger.loadingModel.clear();
    }
}

void resetAfterRestart(server_ledger &ledger, millis now)
{
    server_ledger fresh;
    fresh.server = ledger.server;
    fresh.slots = ledger.slots;
    fresh.weightsMb = ledger.weightsMb;
    const auto &unanswered = ledger.openOrder ? ledger.openOrder : ledger.unansweredLoad;
    if (unanswered && unanswered->kind == order_kind::Load) {
        fresh.unansweredLoad = unanswered;
        fresh.unansweredUntil = ledger.unansweredUntil.count != 0 && !ledger.openOrder
            ? ledger.unansweredUntil
            : now + maxOrderDelay;
    }
    ledger = std::move(fresh);
}

std::optional<server_order> nextOrder(server_ledger &ledger, const std::vector<wanted_adapter> &wants,
    const order_constraints &limits, millis now)
{
    if (ledger.unansweredLoad && ledger.unansweredUntil.count != 0 && now >= ledger.unansweredUntil) {
        ledger.unansweredLoad.reset();
    }
    if (!ledger.confirmed || ledger.openOrder || now < ledger.notBefore || now < ledger.ordersPausedUntil) {
        return std::nullopt;
    }
    auto order = modelOrder(ledger, wants, limits);
    if (!order) {
        order = confirmLoadOrder(ledger, now);
    }
    if (!order) {
        order = replaceVersionOrder(ledger, limits);
    }
    if (!order) {
        order = wantedAdapterOrder(ledger, wants, limits, now);
    }
    if (order) {
        ledger.openOrder = order;
        if (order->kind == order_kind::Unload) {
            findSlot(ledger, order->model, order->adapter)->state = slot_state::Unloading;
        }
    }
    return order;
}

void onOrderResponse(server_ledger &ledger, const server_order &order, order_result response, millis now)
{
    ledger.openOrder.reset();
    switch (response) {
    case order_result::Accepted:
    case order_result::AlreadyDone:
        // The server does not count a load of an adapter that it already holds or is already loading.
        if (!isLoadInProgress(ledger, order)
            && (response == order_result::Accepted || order.kind == order_kind::Unload)) {
            ledger.sequence = order.expectedSequence + 1;
            ledger.acceptedAt = now;
            if (ledger.unansweredLoad && ledger.unansweredLoad->expectedSequence < ledger.sequence) {
                ledger.unansweredLoad.reset();
            }
        }
        if (order.kind == order_kind::Load) {
            onLoadResponse(ledger, order, response, now);
        } else if (response == order_result::AlreadyDone) {
            removeSlot(ledger, order.model, order.adapter);
        } else {
            ledger.confirmed = false; // it waits for its requests to end; a report shows when it is unloaded
            ledger.notBefore = now + conflictPause;
        }
        return;
    case order_result::Unknown:
        if (order.kind == order_kind::Load) {
            ledger.unansweredLoad = order;
            ledger.unansweredUntil = {};
        }
        ledger.confirmed = false;
        return;
    default:
        if (order.kind == order_kind::Unload) {
            if (adapter_slot *slot = findSlot(ledger, order.model, order.adapter)) {
                slot->state = slot_state::Resident;
            }
        }
        ledger.confirmed = false;
        ledger.notBefore = now + conflictPause;
        return;
    }
}

void beginUse(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    if (adapter_slot *slot = findSlot(ledger, model, adapter)) {
        ++slot->users;
        slot->useScore = currentUseScore(*slot, now) + 1;
        slot->useScoreAt = now;
    }
}

void endUse(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    adapter_slot *slot = findSlot(ledger, model, adapter);
    if (slot != nullptr && slot->users > 0) {
        --slot->users;
    }
}

void onNotHeld(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    adapter_slot *slot = findSlot(ledger, model, adapter);
    if (slot != nullptr && slot->state == slot_state::Resident) {
        // It may have been evicted or replaced without this daemon's orders; only a report shows it.
        ledger.confirmed = false;
        ledger.notBefore = now + conflictPause;
    }
}

}
