// The loads and evictions of the owner task: adapter adapter, with whose leave, into adapter slot.
#include "coordination/owner_task.h"
#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr millis loadTimeout{30'000};
constexpr millis unloadTimeout{2'000};
/// A load without a broker's leave starts after this long without an answer.
constexpr std::int64_t brokerTimeoutMs = 1'500;
constexpr std::int64_t ticketRefreshMs = 1'000;
/// Assumed time of a load before the first job was seen.
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
        load_demand need;
        need.adapter = ref;
        need.waiting = static_cast<std::uint32_t>(slot.waiting.size());
        need.rate = decayed(slot.arrivals, now).slow;
        need.bestPriority = priority::Low;
        need.earliestDeadline = now + millis{3'600'000};
        need.oldestArrival = now;
        for (const request_id &id : slot.waiting) {
            const request_job &job = m_jobs.at(id);
            need.bestPriority = std::min(need.bestPriority, job.request.rank);
            need.earliestDeadline = std::min(need.earliestDeadline, job.deadline);
            need.oldestArrival = std::min(need.oldestArrival, job.arrived);
        }
        demands.push_back(std::move(need));
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
    // A leave that can't be used is a load of the store's rate lost to all: ask once there is room for it.
    if (usedSlots(server) >= server.slots && !chooseVictim(server, demands[*next].adapter)) {
        releaseTicket(server);
        return;
    }
    requestLoadGrant(server, demands[*next]);
}

void owner_task::requestLoadGrant(owned_server &server, const load_demand &need)
{
    const millis now = bootNow();
    const bool isNewTicket = !server.ticket;
    if (isNewTicket) {
        server.ticket = m_nextTicket++;
    } else if (now - server.ticketRequestedAt < millis{ticketRefreshMs}
        && server.ticketAdapter == need.adapter) {
        return;
    }
    // No broker answered: load by our own share of the rate. A broken broker costs rate and never stops
    // loads.
    const adapter_slot &wanted = server.adapters[need.adapter];
    const double perSecond =
        m_config ? m_config->policy.storeLoadsPerSecond : policy_config{}.storeLoadsPerSecond;
    const bool brokerMayRespond = now - need.oldestArrival < millis{brokerTimeoutMs};
    if (!isNewTicket && !brokerMayRespond && !wanted.waiting.empty()
        && mayLoadWithoutBroker(perSecond, m_liveDaemons, now - m_lastLoadWithoutBroker)) {
        m_lastLoadWithoutBroker = now;
        server.loadGranted = true;
        startGrantedLoad(server);
        return;
    }
    server.ticketRequestedAt = now;
    server.ticketAdapter = need.adapter;
    load_ask ask;
    ask.ticket = *server.ticket;
    ask.server = server.instance.name;
    ask.adapter = need.adapter;
    ask.urgency = loadUrgency(need, now, server.meanLoadMs == 0 ? assumedLoadMs : server.meanLoadMs);
    m_bus.post(send_to{rendezvousFirst("store-budget", m_brokers), ask});
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
    if (!mayOrder(order_kind::LoadFree, server.checksFencing, m_leaseUntil, now)) {
        return;
    }
    if (usedSlots(server) < server.slots) {
        load(server, adapter);
    } else if (const auto victim = chooseVictim(server, adapter)) {
        unload(server, *victim);
    } else {
        // Every slot is in use or promised. The leave goes to another server; the requests wait for a slot.
        releaseTicket(server);
    }
}

/// When a slot for an adapter can come free at the earliest, in the past if job may be had now.
///
/// Guards against: on an engine that ignores fencing nothing is evicted while an earlier owner may have
/// streams there, for up to half an hour after a takeover. With every slot used, a request for another
/// adapter was let wait for a load that could not come, until its caller's time was over; six callers in turn
/// got three answers in 30 s. Told at once that it was not run, the entry asks another server.
millis owner_task::slotAvailableAt(const owned_server &server, const adapter_slot *wanted, millis now) const
{
    const bool there = wanted != nullptr && (wanted->resident || wanted->loading);
    const bool kept = !there && !server.checksFencing && usedSlots(server) >= server.slots;
    return kept ? server.mayEvictAt : now;
}

/// The adapter to unload for `wanted`, or nothing when every slot is in use, promised or hotter.
std::optional<adapter_ref> owner_task::chooseVictim(
    const owned_server &server, const adapter_ref &wanted) const
{
    const millis now = bootNow();
    const bool mayEvict = mayOrder(order_kind::Evict, server.checksFencing, m_leaseUntil, now)
        && (server.checksFencing || now >= server.mayEvictAt);
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
        view.pinned = slot.pinned && now < server.mayEvictAt;
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
    // Guards against: a request admitted to the slot while the unload order is on its way. From here until
    // the order's answer the slot counts as neither resident nor free, so nothing is started on it.
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
                // Guards against: an unload without an answer arrives late, after a run was sent over another
                // connection, and hits it. Until no order can still be on its way, nothing runs on the
                // adapter.
                releaseUnloadLater(name, adapter);
            }
            if (!response.ok) {
                spdlog::warn(
                    "owner: {} did not unload {}: {}", name, toString(adapter), message(response.why));
                found->polledAt = {};
            }
            if (response.why.kind == error_kind::StaleFencing) {
                m_bus.post(fencing_refused{name, std::max(response.fencing, found->fencingToken + 1)});
                return;
            }
            dispatchWaiting(*found);
        });
}

void owner_task::releaseUnloadLater(const std::string &name, const adapter_ref &adapter)
{
    const std::uint64_t id = ++m_lastUncertainUnload;
    m_uncertainUnloads[id] = m_loop.timer({orderLifeMs}, {}, [this, id, name, adapter] {
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
    // A load goes into a free slot and takes nothing from anybody, so it does not go through the guarded
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
            fencing_refused{server.instance.name, std::max(response.fencing, server.fencingToken + 1)});
        return;
    }
    ++slot.failures;
    const double random01 = std::uniform_real_distribution<double>(0, 1)(m_random);
    const millis pause{loadBackoffMs(slot.failures, random01)};
    slot.notBefore = now + pause;
    spdlog::warn("owner: {} did not load {}: {} Next try in {} ms.", server.instance.name, toString(adapter),
        message(response.why), pause.count);
    // Those who wait get their answer now: the entry tries another server while their deadline allows.
    refuseWaiting(server, &adapter, error_kind::LoadFailed, "loading failed", pause);
    dispatchWaiting(server);
}

}
