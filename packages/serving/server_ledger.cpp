#include "serving/server_ledger.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

bool remembers(const server_ledger &ledger, const std::string &key)
{
    return std::find(ledger.cachedAdapters.begin(), ledger.cachedAdapters.end(), key)
        != ledger.cachedAdapters.end();
}

void remember(server_ledger &ledger, const std::string &key)
{
    std::erase(ledger.cachedAdapters, key);
    ledger.cachedAdapters.push_back(key);
    if (ledger.cachedAdapters.size() > maxCachedAdapters) {
        ledger.cachedAdapters.erase(ledger.cachedAdapters.begin());
    }
}

void measureLoad(server_ledger &ledger, const adapter_slot &place, millis now)
{
    const millis took = now - place.stateSince;
    if (place.cached) {
        ledger.cachedLoadMs += loadTimeWeight * (static_cast<double>(took.count) - ledger.cachedLoadMs);
    } else if (place.orderedHere) {
        ledger.measuredLoads.push_back({took, (place.concurrentLoads + ledger.concurrentLoads) / 2});
    }
}

adapter_slot &addPlace(server_ledger &ledger, const server_order &order, millis now)
{
    adapter_slot place;
    place.model = order.model;
    place.adapter = order.adapter;
    place.version = order.version;
    place.stateSince = now;
    place.useScoreAt = now;
    place.cached = remembers(ledger, adapterKey(order.model, order.adapter));
    place.orderedHere = true;
    place.concurrentLoads = ledger.concurrentLoads;
    ledger.adapters.push_back(place);
    return ledger.adapters.back();
}

void removePlace(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    std::erase_if(ledger.adapters, [&](const adapter_slot &place) {
        return place.model == model && place.adapter == adapter;
    });
}

double usedMb(const server_ledger &ledger, const std::vector<model_spec> &models)
{
    double sum = 0;
    for (const model_spec &spec : models) {
        const bool held = holdsModel(ledger, spec.name) || ledger.loadingModel == spec.name;
        sum += held ? spec.weightsMb : 0;
        for (const adapter_slot &place : ledger.adapters) {
            sum += place.model == spec.name ? spec.adapterMb : 0;
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

/// A server that holds no base model serves nothing: the first one that fits goes in.
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

/// Asks whether an adapter on its way is in: the same load again, which then holds already.
std::optional<server_order> confirmOrder(server_ledger &ledger, millis now)
{
    for (adapter_slot &place : ledger.adapters) {
        if (place.state == slot_state::Loading && place.confirmAt <= now) {
            return server_order{
                order_kind::Load, place.model, place.adapter, place.version, ledger.sequence, "", 0};
        }
    }
    return std::nullopt;
}

/// A resident adapter of an older version is replaced in place; the server lets its runs end first.
std::optional<server_order> replaceOrder(const server_ledger &ledger, const order_constraints &limits)
{
    for (const adapter_slot &place : ledger.adapters) {
        const std::int64_t newest =
            limits.newestVersion ? limits.newestVersion(place.model, place.adapter) : 0;
        if (place.state == slot_state::Resident && newest > place.version) {
            return server_order{order_kind::Load, place.model, place.adapter, newest, ledger.sequence, "", 0};
        }
    }
    return std::nullopt;
}

/// The least used of the adapters that nothing uses or waits for.
const adapter_slot *victim(const server_ledger &ledger, const order_constraints &limits, millis now)
{
    const adapter_slot *coldest = nullptr;
    for (const adapter_slot &place : ledger.adapters) {
        const bool idle = place.state == slot_state::Resident && place.users == 0
            && !(limits.isWaitedFor && limits.isWaitedFor(place.model, place.adapter));
        if (idle && (coldest == nullptr || currentUseScore(place, now) < currentUseScore(*coldest, now))) {
            coldest = &place;
        }
    }
    return coldest;
}

std::optional<server_order> wantedOrder(server_ledger &ledger, const std::vector<wanted_adapter> &wants,
    const order_constraints &limits, millis now)
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
        const adapter_slot *out = victim(ledger, limits, now);
        if (out == nullptr) {
            return std::nullopt;
        }
        return server_order{order_kind::Unload, out->model, out->adapter, 0, ledger.sequence, "", 0};
    }
    return std::nullopt;
}

/// Whether the order asks for an adapter that is on its way.
bool repeatsLoad(const server_ledger &ledger, const server_order &order)
{
    const adapter_slot *place = findSlot(ledger, order.model, order.adapter);
    return order.kind == order_kind::Load && place != nullptr && place->state == slot_state::Loading;
}

void onLoadAnswer(server_ledger &ledger, const server_order &order, order_answer answer, millis now)
{
    if (order.adapter.empty()) {
        if (answer == order_answer::Accepted) {
            ledger.loadingModel = order.model;
            ledger.notBefore = now + conflictPause;
        } else if (!holdsModel(ledger, order.model)) {
            ledger.models.push_back(order.model);
        }
        return;
    }
    adapter_slot *place = findSlot(ledger, order.model, order.adapter);
    if (place == nullptr) {
        place = &addPlace(ledger, order, now);
    }
    place->version = order.version != 0 ? order.version : place->version;
    if (answer == order_answer::Holds) {
        if (place->state == slot_state::Loading && place->confirmAt.count != 0) {
            measureLoad(ledger, *place, now);
        }
        place->state = slot_state::Resident;
        remember(ledger, adapterKey(order.model, order.adapter));
        return;
    }
    if (place->state != slot_state::Loading || place->confirmAt.count == 0) {
        place->state = slot_state::Loading;
        place->stateSince = now;
        const double quickest = place->cached ? initialCachedLoadMs : firstLoadMs;
        place->confirmAt = now + millis{std::llround(quickest * confirmAfterFraction)};
    } else {
        const auto elapsed = static_cast<double>((now - place->stateSince).count);
        place->confirmAt =
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
    for (const adapter_slot &place : ledger.adapters) {
        if (place.model == model && place.adapter == adapter) {
            return &place;
        }
    }
    return nullptr;
}

std::string_view nameOf(order_answer value)
{
    static constexpr std::string_view names[] = {
        "holds", "accepted", "conflict", "fenced", "other server", "refused", "unknown"};
    return names[static_cast<std::size_t>(value)];
}

double currentUseScore(const adapter_slot &place, millis now)
{
    const double halves =
        static_cast<double>((now - place.useScoreAt).count) / static_cast<double>(useScoreHalfLife.count);
    return place.useScore * std::exp2(-std::max(halves, 0.0));
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
    int taken = static_cast<int>(ledger.adapters.size());
    for (const auto *pending : {&ledger.openOrder, &ledger.unansweredLoad}) {
        const bool load = *pending && (*pending)->kind == order_kind::Load && !(*pending)->adapter.empty();
        if (load && findSlot(ledger, (*pending)->model, (*pending)->adapter) == nullptr) {
            ++taken;
        }
    }
    return taken;
}

int availableSlots(const server_ledger &ledger)
{
    int count = ledger.slots - occupiedSlots(ledger);
    for (const adapter_slot &place : ledger.adapters) {
        count += place.state == slot_state::Resident && place.users == 0 ? 1 : 0;
    }
    return std::max(count, 0);
}

int loadsInProgress(const server_ledger &ledger)
{
    return static_cast<int>(
        std::count_if(ledger.adapters.begin(), ledger.adapters.end(), [](const adapter_slot &place) {
            return place.state == slot_state::Loading;
        }));
}

millis adapterWait(
    const server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    const adapter_slot *place = findSlot(ledger, model, adapter);
    if (adapter.empty() || (place != nullptr && place->state == slot_state::Resident)) {
        return {};
    }
    const bool known = place != nullptr ? place->cached : remembers(ledger, adapterKey(model, adapter));
    const millis whole{std::llround(known ? ledger.cachedLoadMs : ledger.storeLoadMs)};
    const bool coming = place != nullptr && place->state == slot_state::Loading;
    return coming ? std::max(whole - (now - place->stateSince), millis{}) : whole;
}

void applyReport(server_ledger &ledger, const server_report &report, millis now)
{
    if (report.sequence < ledger.sequence && now - ledger.acceptedAt < maxReportLag) {
        ledger.notBefore = now + conflictPause;
        return;
    }
    ledger.sequence = report.sequence;
    ledger.confirmed = true;
    if (ledger.unansweredLoad && ledger.unansweredLoad->expected < report.sequence) {
        ledger.unansweredLoad.reset();
    }
    std::vector<adapter_slot> places;
    const auto carryOver = [&](const std::string &model, const std::string &adapter, std::int64_t version,
                               slot_state state) {
        const bool twice = std::any_of(places.begin(), places.end(), [&](const adapter_slot &place) {
            return place.model == model && place.adapter == adapter;
        });
        if (twice) {
            return;
        }
        adapter_slot place;
        if (const adapter_slot *old = findSlot(ledger, model, adapter)) {
            place = *old;
        }
        place.model = model;
        place.adapter = adapter;
        place.version = version != 0 ? version : place.version;
        place.state = state;
        place.stateSince = now;
        place.confirmAt = state == slot_state::Loading ? now + minConfirmPause : millis{};
        places.push_back(place);
        remember(ledger, adapterKey(model, adapter));
    };
    ledger.models.clear();
    for (const held_model &model : report.models) {
        ledger.models.push_back(model.name);
        for (const held_adapter &adapter : model.adapters) {
            carryOver(model.name, adapter.name, adapter.version, slot_state::Resident);
        }
    }
    for (const std::string &coming : report.coming) {
        const std::size_t slash = coming.find('/');
        const std::string rest = slash == std::string::npos ? "" : coming.substr(slash + 1);
        const std::string name = rest.substr(0, rest.find('@'));
        if (!name.empty()) {
            carryOver(coming.substr(0, slash), name, 0, slot_state::Loading);
        }
    }
    ledger.adapters = std::move(places);
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
        order = confirmOrder(ledger, now);
    }
    if (!order) {
        order = replaceOrder(ledger, limits);
    }
    if (!order) {
        order = wantedOrder(ledger, wants, limits, now);
    }
    if (order) {
        ledger.openOrder = order;
        if (order->kind == order_kind::Unload) {
            findSlot(ledger, order->model, order->adapter)->state = slot_state::Unloading;
        }
    }
    return order;
}

void onOrderResponse(server_ledger &ledger, const server_order &order, order_answer answer, millis now)
{
    ledger.openOrder.reset();
    switch (answer) {
    case order_answer::Accepted:
    case order_answer::Holds:
        // The server counts the orders that it accepts; a load that holds already, or that is on its way
        // already, is none.
        if (!repeatsLoad(ledger, order)
            && (answer == order_answer::Accepted || order.kind == order_kind::Unload)) {
            ledger.sequence = order.expected + 1;
            ledger.acceptedAt = now;
            if (ledger.unansweredLoad && ledger.unansweredLoad->expected < ledger.sequence) {
                ledger.unansweredLoad.reset();
            }
        }
        if (order.kind == order_kind::Load) {
            onLoadAnswer(ledger, order, answer, now);
        } else if (answer == order_answer::Holds) {
            removePlace(ledger, order.model, order.adapter);
        } else {
            ledger.confirmed = false; // it waits for its runs; a report tells when it is out
            ledger.notBefore = now + conflictPause;
        }
        return;
    case order_answer::Unknown:
        if (order.kind == order_kind::Load) {
            ledger.unansweredLoad = order;
            ledger.unansweredUntil = {};
        }
        ledger.confirmed = false;
        return;
    default:
        if (order.kind == order_kind::Unload) {
            if (adapter_slot *place = findSlot(ledger, order.model, order.adapter)) {
                place->state = slot_state::Resident;
            }
        }
        ledger.confirmed = false;
        ledger.notBefore = now + conflictPause;
        return;
    }
}

void beginUse(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    if (adapter_slot *place = findSlot(ledger, model, adapter)) {
        ++place->users;
        place->useScore = currentUseScore(*place, now) + 1;
        place->useScoreAt = now;
    }
}

void endUse(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    adapter_slot *place = findSlot(ledger, model, adapter);
    if (place != nullptr && place->users > 0) {
        --place->users;
    }
}

void onNotHeld(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    adapter_slot *place = findSlot(ledger, model, adapter);
    if (place != nullptr && place->state == slot_state::Resident) {
        // It may be on its way out or replaced behind our back: only a report tells.
        ledger.confirmed = false;
        ledger.notBefore = now + conflictPause;
    }
}

}
