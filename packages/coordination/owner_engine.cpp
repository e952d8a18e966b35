// What the owner task learns from an engine itself: its state, its restarts, what it still runs.
#include "coordination/owner_task.h"

#include <spdlog/spdlog.h>

#include <set>

namespace briarhead {

namespace {

constexpr millis stateTimeout{2'000};

}

/// What an answer of the engine's says of it, also in an answer that is about something else. What waits goes
/// back to its entries at once.
void owner_task::hearWords(const std::string &name, const answer_words &said)
{
    owned *server = find(name);
    if (server == nullptr) {
        return;
    }
    const std::string start = startOf(*server);
    const millis now = bootNow();
    if (said.leaving && hearLeaving(m_words, start, now)) {
        spdlog::info("owner: {} says that it is leaving.", start);
        refuseWaiting(*server, nullptr, error_kind::NoServer, "the server is leaving", {});
    }
    if (hearPause(m_words, start, m_options.self, said.pause, now)) {
        spdlog::info("owner: {} wants nothing for {} ms.", start, said.pause.count);
        refuseWaiting(*server, nullptr, error_kind::Overloaded, "the server wants a pause",
            comeBackAfter(pauseOf(*server)));
    }
}

void owner_task::poll(owned &server)
{
    server.polling = true;
    server.polledAt = bootNow();
    const std::string name = server.where.name;
    server.runs->state(stateTimeout, [this, name](const std::optional<engine_state> &state, const error &) {
        owned *found = find(name);
        if (found == nullptr || !found->held) {
            return;
        }
        found->polling = false;
        if (state) {
            applyState(*found, *state);
            pump(*found);
        }
    });
    if (!server.pinsKnown) {
        pollReport(server);
    }
}

void owner_task::applyState(owned &server, const engine_state &state)
{
    const bool restarted = server.known && state.incarnation != server.incarnation;
    if (restarted) {
        spdlog::warn("owner: {} restarted. Its adapters are gone.", server.where.name);
        // Guards against: the engine forgot its fencing number with everything else, so it would take an
        // order of an older owner again. It shows as an adapter unloaded under a new stream. Nothing is run
        // or loaded there until our number stands on it anew.
        server.unclaimed = server.checksFencing;
        m_bus.post(engine_restarted{server.where.name});
        m_crashes.onServerEnded(server.where.name);
        server.baseOrdered = false;
        // Nothing of before the restart runs there any more.
        std::vector<request_id> ended;
        for (const auto &[id, one] : m_lingering) {
            if (one.request.server == server.where.name) {
                ended.push_back(id);
            }
        }
        for (const request_id &id : ended) {
            const adapter_ref ref = m_lingering.at(id).request.adapter;
            m_lingering.erase(id);
            --server.adapters[ref].inFlight;
            --server.inFlight;
        }
    }
    server.known = true;
    server.incarnation = state.incarnation;
    server.baseModel = state.baseModel;
    server.role = state.role;
    server.slots = state.slots;
    server.batchLimit = std::max<std::uint32_t>(1, state.batchLimit);
    if (state.leaving) {
        hearWords(server.where.name, {true, {}});
    }
    const std::set<adapter_ref> resident(state.resident.begin(), state.resident.end());
    const millis now = bootNow();
    for (const adapter_ref &ref : resident) {
        slot &where = server.adapters[ref];
        if (!where.resident && !where.loading && !where.unloading) {
            where.resident = true;
            where.loadedAt = now;
        }
    }
    for (auto entry = server.adapters.begin(); entry != server.adapters.end();) {
        slot &where = entry->second;
        if (where.resident && !server.ordering && resident.count(entry->first) == 0) {
            where.resident = false;
            where.pinned = false;
        }
        // Arrival rates of adapters that nobody asks for any more are dropped, so that memory follows use.
        const bool idle = !where.resident && !where.loading && !where.unloading && where.inFlight == 0
            && where.waiting.empty() && decayed(where.arrivals, now).slow < 0.001 && where.notBefore <= now;
        entry = idle ? server.adapters.erase(entry) : std::next(entry);
    }
    // A cold engine has no base model: order the one that the live list names for it.
    if (state.baseModel.empty() && state.role != "loading" && !server.baseOrdered && takesWork(server)
        && isOrderAllowed(order_kind::Role, server.checksFencing, m_leaseUntil, now)) {
        server.baseOrdered = true;
        spdlog::info("owner: {} loads its base model {}.", server.where.name, server.where.service);
        server.guarded->role("serving", server.where.service, server.fencingToken, stateTimeout,
            [this, name = server.where.name](const engine_order_end &how) {
                if (owned *found = find(name); found != nullptr && !how.ok) {
                    found->baseOrdered = false;
                }
            });
    }
}

void owner_task::pollReport(owned &server)
{
    const std::string name = server.where.name;
    server.runs->report(
        stateTimeout, [this, name](const std::optional<engine_report> &report, const error &) {
            owned *found = find(name);
            if (found == nullptr || !found->held || !report) {
                return;
            }
            // Only a report made after our own claim tells what the old owner's tenure left running; one made
            // before it may miss a request that the old owner handed over later.
            if (!found->checksFencing || report->fencingToken < found->fencingToken) {
                return;
            }
            std::set<adapter_ref> running;
            for (const auto &[ref, count] : report->runningByAdapter) {
                if (count > 0) {
                    running.insert(ref);
                }
            }
            found->pinsKnown = true;
            for (auto &[ref, where] : found->adapters) {
                where.pinned = where.pinned && running.count(ref) != 0;
                found->pinsKnown = found->pinsKnown && !where.pinned;
            }
        });
}

}
