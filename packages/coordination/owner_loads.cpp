// Adapter loads and evictions of the owner task, and its requests to the load budget's broker.
#include "coordination/owner_task.h"
#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr millis loadTimeout{30'000};
constexpr millis unloadTimeout{2'000};
/// A load may start without a grant after the broker has not responded for this long.
constexpr std::int64_t brokerTimeoutMs = 1'500;
constexpr std::int64_t ticketRefreshMs = 1'000;
/// Assumed time of a load until the first one has completed.
constexpr double assumedLoadMs = 500;
constexpr double newestSampleWeight = 0.2;

}

std::uint32_t owner_task::usedSlots(const owned_server &server) const
{
    return static_cast<std::uint32_t>(
        std::count_if(server.adapters.begin(), server.adapters.end(), [](const auto &entry) {
            return entry.second.resident || entry.second.loading || entry.second.unloading;
        }));
}

std::vector<load_demand> owner_task::loadDemands(const owned_server &server, millis now) const
{
    std::vector<load_demand> demands;
    for (const auto &[ref, slot] : server.adapters) {
        if (slot.resident || slot.loading || slot.unloading || slot.waiting.empty() || slot.notBefore > now) {
            continue;
        }
        load_demand demand;
        demand.adapter = ref;
        demand.waiting = static_cast<std::uint32_t>(slot.waiting.size());
        demand.rate = decayed(slot.arrivals, now).slow;
        demand.bestPriority = priority::Low;
        demand.earliestDeadline = now + millis{3'600'000};
        demand.oldestArrival = now;
        for (const request_id &id : slot.waiting) {
            const request_job &job = m_jobs.at(id);
            demand.bestPriority = std::min(demand.bestPriority, job.request.rank);
            demand.earliestDeadline = std::min(demand.earliestDeadline, job.deadline);
            demand.oldestArrival = std::min(demand.oldestArrival, job.arrived);
        }
        demands.push_back(std::move(demand));
    }
    return demands;
}

void owner_task::scheduleLoads(owned_server &server)
{
    if (!server.isOwned || !server.stateKnown || server.releasing || server.orderPending || server.claimLost
        || server.role != "serving" || remainingPause(server) > millis{}) {
        return;
    }
    const millis now = bootNow();
    const auto demands = loadDemands(server, now);
    const auto next = nextLoad(demands, now, server.meanLoadMs);
    if (!next) {
        releaseTicket(server);
        return;
    }
    if (server.loadGranted) {
        startGrantedLoad(server);
        return;
    }
    // An unused grant wastes some of the store's rate for everyone, so it is requested only once there is
    // room.
    if (usedSlots(server) >= server.slots && !chooseVictim(server, demands[*next].adapter)) {
        releaseTicket(server);
        return;
    }
    requestLoadGrant(server, demands[*next]);
}

void owner_task::requestLoadGrant(owned_server &server, const load_demand &demand)
{
    const millis now = bootNow();
    const bool isNewTicket = !server.ticket;
    if (isNewTicket) {
        server.ticket = m_nextTicket++;
    } else if (now - server.ticketRequestedAt < millis{ticketRefreshMs}
        && server.ticketAdapter == demand.adapter) {
        return;
    }
    // No broker has responded: use this daemon's own share of the rate. A failed broker costs some rate but
    // can't stop all loads.
    const adapter_slot &wanted = server.adapters[demand.adapter];
    const double perSecond =
        m_config ? m_config->policy.storeLoadsPerSecond : policy_config{}.storeLoadsPerSecond;
    const bool brokerMayRespond = now - demand.oldestArrival < millis{brokerTimeoutMs};
    if (!isNewTicket && !brokerMayRespond && !wanted.waiting.empty()
        && mayLoadWithoutBroker(perSecond, m_liveDaemons, now - m_lastLoadWithoutBroker)) {
        m_lastLoadWithoutBroker = now;
        server.loadGranted = true;
        startGrantedLoad(server);
        return;
    }
    server.ticketRequestedAt = now;
    server.ticketAdapter = demand.adapter;
    load_request request;
    request.ticket = *server.ticket;
    request.server = server.instance.name;
    request.adapter = demand.adapter;
    request.urgency = loadUrgency(demand, now, server.meanLoadMs == 0 ? assumedLoadMs : server.meanLoadMs);
    m_bus.post(send_to{rendezvousFirst("store-budget", m_brokers), request});
}

void owner_task::releaseTicket(owned_server &server)
{
    if (server.ticket) {
        m_bus.post(send_to{rendezvousFirst("store-budget", m_brokers), load_release{*server.ticket}});
    }
    server.ticket.reset();
    server.loadGranted = false;
}

void owner_task::onGrant(std::uint64_t ticket)
{
    for (auto &entry : m_servers) {
        owned_server &server = entry.second;
        if (server.ticket == ticket && !server.loadGranted) {
            server.loadGranted = true;
            scheduleLoads(server);
            return;
        }
    }
    m_bus.post(send_to{rendezvousFirst("store-budget", m_brokers), load_release{ticket}});
}

void owner_task::startGrantedLoad(owned_server &server)
{
    const millis now = bootNow();
    const auto demands = loadDemands(server, now);
    const auto next = nextLoad(demands, now, server.meanLoadMs);
    if (!next) {
        releaseTicket(server);
        return;
    }
    const adapter_ref adapter = demands[*next].adapter;
    if (!isOrderAllowed(order_kind::LoadFree, server.checksFencing, m_leaseUntil, now)) {
        return;
    }
    if (usedSlots(server) < server.slots) {
        load(server, adapter);
    } else if (const auto victim = chooseVictim(server, adapter)) {
        unload(server, *victim);
    } else {
        // Every slot is in use or awaited by requests. Releases the grant to other servers; the requests wait
        // for a slot.
        releaseTicket(server);
    }
}

/// The earliest time at which a slot for an adapter can become free; a time in the past: one can be freed
/// now.
///
/// On an engine that checks no fencing tokens, nothing is evicted while a previous owner may still have
/// streams there, for up to half an hour after a takeover. If all slots are used, a request for another
/// adapter must not wait for a load that can't happen until its caller times out: six callers in turn got
/// three responses in 30 s that way. It is refused at once as not run, and the entry tries another server.
millis owner_task::slotAvailableAt(const owned_server &server, const adapter_slot *wanted, millis now) const
{
    const bool isPresent = wanted != nullptr && (wanted->resident || wanted->loading);
    const bool mustWait = !isPresent && !server.checksFencing && usedSlots(server) >= server.slots;
    return mustWait ? server.earliestEvictAt : now;
}

/// The adapter to evict for `wanted`, or nothing if every slot is in use, awaited by requests, or hotter.
std::optional<adapter_ref> owner_task::chooseVictim(
    const owned_server &server, const adapter_ref &wanted) const
{
    const millis now = bootNow();
    const bool mayEvict = isOrderAllowed(order_kind::Evict, server.checksFencing, m_leaseUntil, now)
        && (server.checksFencing || now >= server.earliestEvictAt);
    if (!mayEvict) {
        return std::nullopt;
    }
    std::vector<slot_view> slots;
    for (const auto &[ref, slot] : server.adapters) {
        if (!slot.resident) {
            continue;
        }
        slot_view view;
        view.adapter = ref;
        view.inFlight = slot.inFlight;
        view.waiting = static_cast<std::uint32_t>(slot.waiting.size());
        view.pinned = slot.pinned && now < server.earliestEvictAt;
        view.loading = slot.loading || slot.unloading;
        view.rate = decayed(slot.arrivals, now).slow;
        view.loadedAt = slot.loadedAt;
        view.lastUsed = slot.lastUsed;
        slots.push_back(view);
    }
    const adapter_slot &newcomer = server.adapters.at(wanted);
    const auto victim = chooseEviction(slots, decayed(newcomer.arrivals, now).slow,
        static_cast<std::uint32_t>(newcomer.waiting.size()), now, m_options.routing == "rendezvous_lru");
    return victim ? std::optional(slots[*victim].adapter) : std::nullopt;
}

void owner_task::unload(owned_server &server, const adapter_ref &adapter)
{
    adapter_slot &slot = server.adapters[adapter];
    // No request may be sent to the slot while the unload order is on its way. From here until the response,
    // the slot counts as neither resident nor free.
    slot.unloading = true;
    server.orderPending = true;
    const std::string name = server.instance.name;
    server.guardedClient->unload(
        adapter, server.fencingToken, unloadTimeout, [this, name, adapter](const engine_order_end &response) {
            owned_server *found = find(name);
            if (found == nullptr) {
                return;
            }
            adapter_slot &unloaded = found->adapters[adapter];
            found->orderPending = false;
            unloaded.resident = unloaded.resident && !response.ok && response.certain;
            unloaded.unloading = !response.certain;
            if (!response.certain) {
                // The order may still arrive after a run that is sent over another connection, and hit that
                // run. Nothing runs on the adapter until no order can be on its way any more.
                releaseUnloadLater(name, adapter);
            }
            if (!response.ok) {
                spdlog::warn(
                    "owner: {} failed to unload {}: {}", name, toString(adapter), message(response.why));
                found->polledAt = {};
            }
            if (response.why.kind == error_kind::StaleFencing) {
                m_bus.post(fencing_refused{name, std::max(response.fencingToken, found->fencingToken + 1)});
                return;
            }
            dispatchWaiting(*found);
        });
}

void owner_task::releaseUnloadLater(const std::string &name, const adapter_ref &adapter)
{
    const std::uint64_t id = ++m_lastUncertainUnload;
    m_uncertainUnloads[id] = m_loop.timer({maxOrderLatencyMs}, {}, [this, id, name, adapter] {
        m_uncertainUnloads.erase(id);
        if (owned_server *found = find(name); found != nullptr) {
            found->adapters[adapter].unloading = false;
            found->polledAt = {};
        }
    });
}

void owner_task::load(owned_server &server, const adapter_ref &adapter)
{
    server.adapters[adapter].loading = true;
    server.orderPending = true;
    const std::string name = server.instance.name;
    const millis startedAt = bootNow();
    // A load goes into a free slot and takes nothing from any other owner, so it doesn't need the guarded
    // client.
    server.client->load(adapter, server.fencingToken, loadTimeout,
        [this, name, adapter, startedAt](const engine_order_end &response) {
            if (owned_server *found = find(name); found != nullptr) {
                onLoadEnded(*found, adapter, response, startedAt);
            }
        });
}

void owner_task::onLoadEnded(
    owned_server &server, const adapter_ref &adapter, const engine_order_end &response, millis startedAt)
{
    const millis now = bootNow();
    adapter_slot &slot = server.adapters[adapter];
    server.orderPending = false;
    slot.loading = false;
    releaseTicket(server);
    if (response.ok) {
        const auto elapsedMs = static_cast<double>((now - startedAt).count);
        server.meanLoadMs +=
            (elapsedMs - server.meanLoadMs) * (server.meanLoadMs == 0 ? 1 : newestSampleWeight);
        slot.resident = true;
        slot.loadedAt = now;
        slot.lastUsed = now;
        slot.failures = 0;
        dispatchWaiting(server);
        return;
    }
    server.polledAt = {};
    if (response.why.kind == error_kind::StaleFencing) {
        m_bus.post(
            fencing_refused{server.instance.name, std::max(response.fencingToken, server.fencingToken + 1)});
        return;
    }
    ++slot.failures;
    const double random01 = std::uniform_real_distribution<double>(0, 1)(m_random);
    const millis pause{loadBackoffMs(slot.failures, random01)};
    slot.notBefore = now + pause;
    spdlog::warn("owner: {} did not load {}: {} Next attempt in {} ms.", server.instance.name,
        toString(adapter), message(response.why), pause.count);
    // The waiting requests are refused now, so that their entries can try another server before their
    // deadlines.
    refuseWaiting(server, &adapter, error_kind::LoadFailed, "loading failed", pause);
    dispatchWaiting(server);
}

}
