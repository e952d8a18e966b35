// What the owner task learns from an engine itself: its state, its restarts and the requests it still runs.
#include "coordination/owner_task.h"

#include <spdlog/spdlog.h>

#include <set>

namespace briarhead {

namespace {

constexpr millis stateTimeout{2'000};

}

/// Handles what an engine announces about itself, which any of its responses may contain. Waiting requests
/// are refused at once, so that their entries can try other servers.
void owner_task::onServerNotice(const std::string &name, const response_notice &notice)
{
    owned_server *server = find(name);
    if (server == nullptr) {
        return;
    }
    const std::string incarnation = incarnationOf(*server);
    const millis now = bootNow();
    if (notice.leaving && recordLeaving(m_notices, incarnation, now)) {
        spdlog::info("owner: {} announced that it is leaving; refusing its waiting requests.", incarnation);
        refuseWaiting(*server, nullptr, error_kind::NoServer, "the server is leaving", {});
    }
    if (recordPause(m_notices, incarnation, m_options.self, notice.pause, now)) {
        spdlog::info("owner: {} asked for a pause of {} ms; refusing its waiting requests.", incarnation,
            notice.pause.count);
        refuseWaiting(*server, nullptr, error_kind::Overloaded, "the server wants a pause",
            spreadRetryAfter(remainingPause(*server)));
    }
}

void owner_task::poll(owned_server &server)
{
    server.pollPending = true;
    server.polledAt = bootNow();
    const std::string name = server.instance.name;
    server.client->state(stateTimeout, [this, name](const std::optional<engine_state> &state, const error &) {
        owned_server *found = find(name);
        if (found == nullptr || !found->isOwned) {
            return;
        }
        found->pollPending = false;
        if (state) {
            applyState(*found, *state);
            dispatchWaiting(*found);
        }
    });
    if (!server.pinsCleared) {
        pollReport(server);
    }
}

void owner_task::applyState(owned_server &server, const engine_state &state)
{
    const bool restarted = server.stateKnown && state.incarnation != server.incarnation;
    if (restarted) {
        spdlog::warn("owner: {} restarted and lost its adapters.", server.instance.name);
        // The engine has forgotten its fencing token with everything else, so it would accept an order of an
        // earlier owner again, which could unload an adapter under a new stream. Nothing is run or loaded
        // there until it knows our token again.
        server.claimLost = server.checksFencing;
        m_bus.post(engine_restarted{server.instance.name});
        m_crashes.onServerCrashed(server.instance.name);
        server.baseLoadOrdered = false;
        // Requests that started before the restart can't be running any more.
        std::vector<request_id> ended;
        for (const auto &[id, job] : m_awaitingEngineEnd) {
            if (job.request.server == server.instance.name) {
                ended.push_back(id);
            }
        }
        for (const request_id &id : ended) {
            const adapter_ref ref = m_awaitingEngineEnd.at(id).request.adapter;
            m_awaitingEngineEnd.erase(id);
            --server.adapters[ref].inFlight;
            --server.inFlight;
        }
    }
    server.stateKnown = true;
    server.incarnation = state.incarnation;
    server.baseModel = state.baseModel;
    server.role = state.role;
    server.slots = state.slots;
    server.batchLimit = std::max<std::uint32_t>(1, state.batchLimit);
    if (state.leaving) {
        onServerNotice(server.instance.name, {true, {}});
    }
    const std::set<adapter_ref> resident(state.resident.begin(), state.resident.end());
    const millis now = bootNow();
    for (const adapter_ref &ref : resident) {
        adapter_slot &slot = server.adapters[ref];
        if (!slot.resident && !slot.loading && !slot.unloading) {
            slot.resident = true;
            slot.loadedAt = now;
        }
    }
    for (auto entry = server.adapters.begin(); entry != server.adapters.end();) {
        adapter_slot &slot = entry->second;
        if (slot.resident && !server.orderPending && resident.count(entry->first) == 0) {
            slot.resident = false;
            slot.pinned = false;
        }
        // Adapters that are no longer requested are removed, so that memory use follows demand.
        const bool idle = !slot.resident && !slot.loading && !slot.unloading && slot.inFlight == 0
            && slot.waiting.empty() && decayed(slot.arrivals, now).slow < 0.001 && slot.notBefore <= now;
        entry = idle ? server.adapters.erase(entry) : std::next(entry);
    }
    // An engine that has just started has no base model: order it to load the one that the live list names.
    if (state.baseModel.empty() && state.role != "loading" && !server.baseLoadOrdered && acceptsWork(server)
        && isOrderAllowed(order_kind::Role, server.checksFencing, m_leaseUntil, now)) {
        server.baseLoadOrdered = true;
        spdlog::info(
            "owner: ordering {} to load its base model {}.", server.instance.name, server.instance.service);
        server.guardedClient->role("serving", server.instance.service, server.fencingToken, stateTimeout,
            [this, name = server.instance.name](const engine_order_end &response) {
                if (owned_server *found = find(name); found != nullptr && !response.ok) {
                    found->baseLoadOrdered = false;
                }
            });
    }
}

void owner_task::pollReport(owned_server &server)
{
    const std::string name = server.instance.name;
    server.client->report(
        stateTimeout, [this, name](const std::optional<engine_report> &report, const error &) {
            owned_server *found = find(name);
            if (found == nullptr || !found->isOwned || !report) {
                return;
            }
            // Only a report made after our own claim shows which requests of the previous owner are still
            // running. An earlier one may miss a request that the previous owner sent later.
            if (!found->checksFencing || report->fencingToken < found->fencingToken) {
                return;
            }
            std::set<adapter_ref> running;
            for (const auto &[ref, count] : report->runningByAdapter) {
                if (count > 0) {
                    running.insert(ref);
                }
            }
            found->pinsCleared = true;
            for (auto &[ref, slot] : found->adapters) {
                slot.pinned = slot.pinned && running.count(ref) != 0;
                found->pinsCleared = found->pinsCleared && !slot.pinned;
            }
        });
}

}
