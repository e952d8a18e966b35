#include "serving/server_ledger.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

bool remembers(const server_ledger &ledger, const std::string &key)
{
    return std::find(ledger.remembered.begin(), ledger.remembered.end(), key) != ledger.remembered.end();
}

void remember(server_ledger &ledger, const std::string &key)
{
    std::erase(ledger.remembered, key);
    ledger.remembered.push_back(key);
    if (ledger.remembered.size() > rememberedAdapters) {
        ledger.remembered.erase(ledger.remembered.begin());
    }
}

void measureLoad(server_ledger &ledger, const adapter_place &place, millis now)
{
    const millis took = now - place.since;
    if (place.known) {
        ledger.knownMs += loadTimeWeight * (static_cast<double>(took.count) - ledger.knownMs);
    } else if (place.ordered) {
        ledger.loadsSeen.push_back({took, (place.crowd + ledger.crowd) / 2});
    }
}

adapter_place &addPlace(server_ledger &ledger, const server_order &order, millis now)
{
    adapter_place place;
    place.model = order.model;
    place.adapter = order.adapter;
    place.version = order.version;
    place.since = now;
    place.heatAt = now;
    place.known = remembers(ledger, adapterKey(order.model, order.adapter));
    place.ordered = true;
    place.crowd = ledger.crowd;
    ledger.adapters.push_back(place);
    return ledger.adapters.back();
}

void removePlace(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    std::erase_if(ledger.adapters, [&](const adapter_place &place) {
        return place.model == model && place.adapter == adapter;
    });
}

double usedMb(const server_ledger &ledger, const std::vector<model_spec> &models)
{
    double sum = 0;
    for (const model_spec &spec : models) {
        const bool held = holdsModel(ledger, spec.name) || ledger.modelComing == spec.name;
        sum += held ? spec.weightsMb : 0;
        for (const adapter_place &place : ledger.adapters) {
            sum += place.model == spec.name ? spec.adapterMb : 0;
        }
    }
    return sum;
}

const model_spec *specOf(const order_limits &limits, const std::string &model)
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
    const server_ledger &ledger, const std::vector<adapter_want> &wants, const order_limits &limits)
{
    if (!ledger.models.empty() || !ledger.modelComing.empty() || !limits.mayLoadModel
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
    for (adapter_place &place : ledger.adapters) {
        if (place.state == place_state::Loading && place.askAgain <= now) {
            return server_order{
                order_kind::Load, place.model, place.adapter, place.version, ledger.sequence, "", 0};
        }
    }
    return std::nullopt;
}

/// A resident adapter of an older version is replaced in place; the server lets its runs end first.
std::optional<server_order> replaceOrder(const server_ledger &ledger, const order_limits &limits)
{
    for (const adapter_place &place : ledger.adapters) {
        const std::int64_t newest = limits.newest ? limits.newest(place.model, place.adapter) : 0;
        if (place.state == place_state::Resident && newest > place.version) {
            return server_order{order_kind::Load, place.model, place.adapter, newest, ledger.sequence, "", 0};
        }
    }
    return std::nullopt;
}

/// The least used of the adapters that nothing uses or waits for.
const adapter_place *victim(const server_ledger &ledger, const order_limits &limits, millis now)
{
    const adapter_place *coldest = nullptr;
    for (const adapter_place &place : ledger.adapters) {
        const bool idle = place.state == place_state::Resident && place.users == 0
            && !(limits.waitedFor && limits.waitedFor(place.model, place.adapter));
        if (idle && (coldest == nullptr || usesNow(place, now) < usesNow(*coldest, now))) {
            coldest = &place;
        }
    }
    return coldest;
}

std::optional<server_order> wantedOrder(
    server_ledger &ledger, const std::vector<adapter_want> &wants, const order_limits &limits, millis now)
{
    for (const adapter_want &want : wants) {
        const model_spec *spec = specOf(limits, want.model);
        if (spec == nullptr || !holdsModel(ledger, want.model)
            || findPlace(ledger, want.model, want.adapter) != nullptr) {
            continue;
        }
        const bool fits = takenPlaces(ledger) < ledger.places
            && usedMb(ledger, *limits.models) + spec->adapterMb <= ledger.weightsMb;
        if (fits && loadsUnderWay(ledger) >= loadsPerServer) {
            return std::nullopt;
        }
        if (fits) {
            const std::int64_t newest = limits.newest ? limits.newest(want.model, want.adapter) : 0;
            return server_order{order_kind::Load, want.model, want.adapter, newest, ledger.sequence, "", 0};
        }
        const adapter_place *out = victim(ledger, limits, now);
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
    const adapter_place *place = findPlace(ledger, order.model, order.adapter);
    return order.kind == order_kind::Load && place != nullptr && place->state == place_state::Loading;
}

void onLoadAnswer(server_ledger &ledger, const server_order &order, order_result answer, millis now)
{
    if (order.adapter.empty()) {
        if (answer == order_result::Accepted) {
            ledger.modelComing = order.model;
            ledger.notBefore = now + conflictPause;
        } else if (!holdsModel(ledger, order.model)) {
            ledger.models.push_back(order.model);
        }
        return;
    }
    adapter_place *place = findPlace(ledger, order.model, order.adapter);
    if (place == nullptr) {
        place = &addPlace(ledger, order, now);
    }
    place->version = order.version != 0 ? order.version : place->version;
    if (answer == order_result::AlreadyDone) {
        if (place->state == place_state::Loading && place->askAgain.count != 0) {
            measureLoad(ledger, *place, now);
        }
        place->state = place_state::Resident;
        remember(ledger, adapterKey(order.model, order.adapter));
        return;
    }
    if (place->state != place_state::Loading || place->askAgain.count == 0) {
        place->state = place_state::Loading;
        place->since = now;
        const double quickest = place->known ? knownLoadMs : initialLoadMs;
        place->askAgain = now + millis{std::llround(quickest * askAfterShare)};
    } else {
        const auto elapsed = static_cast<double>((now - place->since).count);
        place->askAgain = now + std::max(askAgainEvery, millis{std::llround(elapsed * askPauseShare)});
    }
}

}

std::string_view nameOf(place_state value)
{
    switch (value) {
    case place_state::Loading:
        return "loading";
    case place_state::Resident:
        return "resident";
    case place_state::Unloading:
        return "unloading";
    }
    return "unknown";
}

const adapter_place *findPlace(
    const server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    for (const adapter_place &place : ledger.adapters) {
        if (place.model == model && place.adapter == adapter) {
            return &place;
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

double usesNow(const adapter_place &place, millis now)
{
    const double halves =
        static_cast<double>((now - place.heatAt).count) / static_cast<double>(heatHalfLife.count);
    return place.heat * std::exp2(-std::max(halves, 0.0));
}

adapter_place *findPlace(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    return const_cast<adapter_place *>(findPlace(static_cast<const server_ledger &>(ledger), model, adapter));
}

bool holdsModel(const server_ledger &ledger, const std::string &model)
{
    return std::find(ledger.models.begin(), ledger.models.end(), model) != ledger.models.end();
}

int takenPlaces(const server_ledger &ledger)
{
    int taken = static_cast<int>(ledger.adapters.size());
    for (const auto *pending : {&ledger.open, &ledger.ghost}) {
        const bool load = *pending && (*pending)->kind == order_kind::Load && !(*pending)->adapter.empty();
        if (load && findPlace(ledger, (*pending)->model, (*pending)->adapter) == nullptr) {
            ++taken;
        }
    }
    return taken;
}

int openPlaces(const server_ledger &ledger)
{
    int count = ledger.places - takenPlaces(ledger);
    for (const adapter_place &place : ledger.adapters) {
        count += place.state == place_state::Resident && place.users == 0 ? 1 : 0;
    }
    return std::max(count, 0);
}

int loadsUnderWay(const server_ledger &ledger)
{
    return static_cast<int>(
        std::count_if(ledger.adapters.begin(), ledger.adapters.end(), [](const adapter_place &place) {
            return place.state == place_state::Loading;
        }));
}

millis adapterWait(
    const server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    const adapter_place *place = findPlace(ledger, model, adapter);
    if (adapter.empty() || (place != nullptr && place->state == place_state::Resident)) {
        return {};
    }
    const bool known = place != nullptr ? place->known : remembers(ledger, adapterKey(model, adapter));
    const millis whole{std::llround(known ? ledger.knownMs : ledger.storeMs)};
    const bool coming = place != nullptr && place->state == place_state::Loading;
    return coming ? std::max(whole - (now - place->since), millis{}) : whole;
}

void takeReport(server_ledger &ledger, const server_report &report, millis now)
{
    if (report.sequence < ledger.sequence && now - ledger.acceptedAt < reportLagMost) {
        ledger.notBefore = now + conflictPause;
        return;
    }
    ledger.sequence = report.sequence;
    ledger.proved = true;
    if (ledger.ghost && ledger.ghost->expectedSequence < report.sequence) {
        ledger.ghost.reset();
    }
    std::vector<adapter_place> places;
    const auto carryOver = [&](const std::string &model, const std::string &adapter, std::int64_t version,
                               place_state state) {
        const bool twice = std::any_of(places.begin(), places.end(), [&](const adapter_place &place) {
            return place.model == model && place.adapter == adapter;
        });
        if (twice) {
            return;
        }
        adapter_place place;
        if (const adapter_place *old = findPlace(ledger, model, adapter)) {
            place = *old;
        }
        place.model = model;
        place.adapter = adapter;
        place.version = version != 0 ? version : place.version;
        place.state = state;
        place.since = now;
        place.askAgain = state == place_state::Loading ? now + askAgainEvery : millis{};
        places.push_back(place);
        remember(ledger, adapterKey(model, adapter));
    };
    ledger.models.clear();
    for (const resident_model &model : report.models) {
        ledger.models.push_back(model.name);
        for (const resident_adapter &adapter : model.adapters) {
            carryOver(model.name, adapter.name, adapter.version, place_state::Resident);
        }
    }
    for (const std::string &coming : report.loading) {
        const std::size_t slash = coming.find('/');
        const std::string rest = slash == std::string::npos ? "" : coming.substr(slash + 1);
        const std::string name = rest.substr(0, rest.find('@'));
        if (!name.empty()) {
            carryOver(coming.substr(0, slash), name, 0, place_state::Loading);
        }
    }
    ledger.adapters = std::move(places);
    if (!report.busy || holdsModel(ledger, ledger.modelComing)) {
        ledger.modelComing.clear();
    }
}

void startAgain(server_ledger &ledger, millis now)
{
    server_ledger fresh;
    fresh.server = ledger.server;
    fresh.places = ledger.places;
    fresh.weightsMb = ledger.weightsMb;
    const auto &unanswered = ledger.open ? ledger.open : ledger.ghost;
    if (unanswered && unanswered->kind == order_kind::Load) {
        fresh.ghost = unanswered;
        fresh.ghostUntil =
            ledger.ghostUntil.count != 0 && !ledger.open ? ledger.ghostUntil : now + lateOrderLife;
    }
    ledger = std::move(fresh);
}

std::optional<server_order> nextOrder(
    server_ledger &ledger, const std::vector<adapter_want> &wants, const order_limits &limits, millis now)
{
    if (ledger.ghost && ledger.ghostUntil.count != 0 && now >= ledger.ghostUntil) {
        ledger.ghost.reset();
    }
    if (!ledger.proved || ledger.open || now < ledger.notBefore || now < ledger.ordersFrom) {
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
        ledger.open = order;
        if (order->kind == order_kind::Unload) {
            findPlace(ledger, order->model, order->adapter)->state = place_state::Unloading;
        }
    }
    return order;
}

void takeAnswer(server_ledger &ledger, const server_order &order, order_result answer, millis now)
{
    ledger.open.reset();
    switch (answer) {
    case order_result::Accepted:
    case order_result::AlreadyDone:
        // The server counts the orders that it accepts; a load that holds already, or that is on its way
        // already, is none.
        if (!repeatsLoad(ledger, order)
            && (answer == order_result::Accepted || order.kind == order_kind::Unload)) {
            ledger.sequence = order.expectedSequence + 1;
            ledger.acceptedAt = now;
            if (ledger.ghost && ledger.ghost->expectedSequence < ledger.sequence) {
                ledger.ghost.reset();
            }
        }
        if (order.kind == order_kind::Load) {
            onLoadAnswer(ledger, order, answer, now);
        } else if (answer == order_result::AlreadyDone) {
            removePlace(ledger, order.model, order.adapter);
        } else {
            ledger.proved = false; // it waits for its runs; a report tells when it is out
            ledger.notBefore = now + conflictPause;
        }
        return;
    case order_result::Unknown:
        if (order.kind == order_kind::Load) {
            ledger.ghost = order;
            ledger.ghostUntil = {};
        }
        ledger.proved = false;
        return;
    default:
        if (order.kind == order_kind::Unload) {
            if (adapter_place *place = findPlace(ledger, order.model, order.adapter)) {
                place->state = place_state::Resident;
            }
        }
        ledger.proved = false;
        ledger.notBefore = now + conflictPause;
        return;
    }
}

void beginUse(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    if (adapter_place *place = findPlace(ledger, model, adapter)) {
        ++place->users;
        place->heat = usesNow(*place, now) + 1;
        place->heatAt = now;
    }
}

void endUse(server_ledger &ledger, const std::string &model, const std::string &adapter)
{
    adapter_place *place = findPlace(ledger, model, adapter);
    if (place != nullptr && place->users > 0) {
        --place->users;
    }
}

void notHeld(server_ledger &ledger, const std::string &model, const std::string &adapter, millis now)
{
    adapter_place *place = findPlace(ledger, model, adapter);
    if (place != nullptr && place->state == place_state::Resident) {
        // It may be on its way out or replaced behind our back: only a report tells.
        ledger.proved = false;
        ledger.notBefore = now + conflictPause;
    }
}

}
