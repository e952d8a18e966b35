// The loads and evictions of the owner task: which adapter, with whose leave, into which slot.
#include "coordination/owner_task.h"
#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr millis loadTimeout{30'000};
constexpr millis unloadTimeout{2'000};
/// A load without a broker's leave starts after this long without an answer.
constexpr std::int64_t brokerPatienceMs = 1'500;
constexpr std::int64_t reaskMs = 1'000;
/// Assumed time of a load before the first one was seen.
constexpr double firstLoadMs = 500;
constexpr double meanWeight = 0.2;

}

std::uint32_t owner_task::usedSlots(const owned &server) const
{
    return static_cast<std::uint32_t>(
        std::count_if(server.adapters.begin(), server.adapters.end(), [](const auto &entry) {
            return entry.second.resident || entry.second.loading || entry.second.unloading;
        }));
}

std::vector<load_need> owner_task::needs(const owned &server, millis now) const
{
    std::vector<load_need> list;
    for (const auto &[ref, where] : server.adapters) {
        if (where.resident || where.loading || where.unloading || where.waiting.empty()
            || where.notBefore > now) {
            continue;
        }
        load_need need;
        need.adapter = ref;
        need.waiting = static_cast<std::uint32_t>(where.waiting.size());
        need.rate = decayed(where.arrivals, now).slow;
        need.best = priority::Low;
        need.soonestDeadline = now + millis{3'600'000};
        need.oldestArrival = now;
        for (const request_id &id : where.waiting) {
            const job &one = m_jobs.at(id);
            need.best = std::min(need.best, one.request.rank);
            need.soonestDeadline = std::min(need.soonestDeadline, one.deadline);
            need.oldestArrival = std::min(need.oldestArrival, one.arrived);
        }
        list.push_back(std::move(need));
    }
    return list;
}

void owner_task::wantLoads(owned &server)
{
    if (!server.held || !server.known || server.releasing || server.ordering || server.unclaimed
        || server.role != "serving" || pauseOf(server) > millis{}) {
        return;
    }
    const millis now = bootNow();
    const auto list = needs(server, now);
    const auto next = nextLoad(list, now, server.loadMs);
    if (!next) {
        dropTicket(server);
        return;
    }
    if (server.granted) {
        carryOutLoad(server);
        return;
    }
    // A leave that can't be used is a load of the store's rate lost to all: ask once there is room for it.
    if (usedSlots(server) >= server.slots && !victimFor(server, list[*next].adapter)) {
        dropTicket(server);
        return;
    }
    askBudgetFor(server, list[*next]);
}

void owner_task::askBudgetFor(owned &server, const load_need &need)
{
    const millis now = bootNow();
    const bool fresh = !server.ticket;
    if (fresh) {
        server.ticket = m_nextTicket++;
    } else if (now - server.ticketAt < millis{reaskMs} && server.ticketFor == need.adapter) {
        return;
    }
    // No broker answered: load by our own share of the rate. A broken broker costs rate and never stops
    // loads.
    const slot &wanted = server.adapters[need.adapter];
    const double perSecond =
        m_config ? m_config->policy.storeLoadsPerSecond : policy_config{}.storeLoadsPerSecond;
    const bool patient = now - need.oldestArrival < millis{brokerPatienceMs};
    if (!fresh && !patient && !wanted.waiting.empty()
        && mayLoadUnbrokered(perSecond, m_members, now - m_lastUnbrokered)) {
        m_lastUnbrokered = now;
        server.granted = true;
        carryOutLoad(server);
        return;
    }
    server.ticketAt = now;
    server.ticketFor = need.adapter;
    load_request ask;
    ask.ticket = *server.ticket;
    ask.server = server.where.name;
    ask.adapter = need.adapter;
    ask.urgency = loadUrgency(need, now, server.loadMs == 0 ? firstLoadMs : server.loadMs);
    m_bus.post(send_to{rendezvousFirst("store-budget", m_brokers), ask});
}

void owner_task::dropTicket(owned &server)
{
    if (server.ticket) {
        m_bus.post(send_to{rendezvousFirst("store-budget", m_brokers), load_release{*server.ticket}});
    }
    server.ticket.reset();
    server.granted = false;
}

void owner_task::onGrant(std::uint64_t ticket)
{
    for (auto &entry : m_servers) {
        owned &server = entry.second;
        if (server.ticket == ticket && !server.granted) {
            server.granted = true;
            wantLoads(server);
            return;
        }
    }
    m_bus.post(send_to{rendezvousFirst("store-budget", m_brokers), load_release{ticket}});
}

void owner_task::carryOutLoad(owned &server)
{
    const millis now = bootNow();
    const auto list = needs(server, now);
    const auto next = nextLoad(list, now, server.loadMs);
    if (!next) {
        dropTicket(server);
        return;
    }
    const adapter_ref which = list[*next].adapter;
    if (!mayOrder(order_kind::LoadFree, server.checksFencing, m_leaseUntil, now)) {
        return;
    }
    if (usedSlots(server) < server.slots) {
        load(server, which);
    } else if (const auto victim = victimFor(server, which)) {
        unload(server, *victim);
    } else {
        // Every slot is in use or promised. The leave goes to another server; the requests wait for a slot.
        dropTicket(server);
    }
}

/// When a slot for an adapter can come free at the earliest, in the past if one may be had now.
///
/// Guards against: on an engine that ignores fencing nothing is evicted while an earlier owner may have
/// streams there, for up to half an hour after a takeover. With every slot used, a request for another
/// adapter was let wait for a load that could not come, until its caller's time was over; six callers in turn
/// got three answers in 30 s. Told at once that it was not run, the entry asks another server.
millis owner_task::roomFrom(const owned &server, const slot *wanted, millis now) const
{
    const bool there = wanted != nullptr && (wanted->resident || wanted->loading);
    const bool kept = !there && !server.checksFencing && usedSlots(server) >= server.slots;
    return kept ? server.mayEvictAt : now;
}

/// The adapter to unload for `wanted`, or nothing when every slot is in use, promised or hotter.
std::optional<adapter_ref> owner_task::victimFor(const owned &server, const adapter_ref &wanted) const
{
    const millis now = bootNow();
    const bool mayEvict = mayOrder(order_kind::Evict, server.checksFencing, m_leaseUntil, now)
        && (server.checksFencing || now >= server.mayEvictAt);
    if (!mayEvict) {
        return std::nullopt;
    }
    std::vector<slot_view> slots;
    for (const auto &[ref, where] : server.adapters) {
        if (!where.resident) {
            continue;
        }
        slot_view view;
        view.adapter = ref;
        view.inFlight = where.inFlight;
        view.promised = static_cast<std::uint32_t>(where.waiting.size());
        view.pinned = where.pinned && now < server.mayEvictAt;
        view.loading = where.loading || where.unloading;
        view.rate = decayed(where.arrivals, now).slow;
        view.loadedAt = where.loadedAt;
        view.lastUsed = where.lastUsed;
        slots.push_back(view);
    }
    const slot &newcomer = server.adapters.at(wanted);
    const auto victim = chooseEviction(slots, decayed(newcomer.arrivals, now).slow,
        static_cast<std::uint32_t>(newcomer.waiting.size()), now, m_options.routing == "rendezvous_lru");
    return victim ? std::optional(slots[*victim].adapter) : std::nullopt;
}

void owner_task::unload(owned &server, const adapter_ref &which)
{
    slot &where = server.adapters[which];
    // Guards against: a request admitted to the slot while the unload order is on its way. From here until
    // the order's answer the slot counts as neither resident nor free, so nothing is started on it.
    where.unloading = true;
    server.ordering = true;
    const std::string name = server.where.name;
    server.guarded->unload(
        which, server.fencing, unloadTimeout, [this, name, which](const engine_order_end &how) {
            owned *found = find(name);
            if (found == nullptr) {
                return;
            }
            slot &gone = found->adapters[which];
            found->ordering = false;
            gone.resident = gone.resident && !how.ok && how.certain;
            gone.unloading = !how.certain;
            if (!how.certain) {
                // Guards against: an unload without an answer arrives late, after a run was sent over another
                // connection, and hits it. Until no order can still be on its way, nothing runs on the
                // adapter.
                settleLater(name, which);
            }
            if (!how.ok) {
                spdlog::warn("owner: {} did not unload {}: {}", name, toString(which), message(how.why));
                found->polledAt = {};
            }
            if (how.why.kind == error_kind::StaleFencing) {
                m_bus.post(fencing_refused{name, std::max(how.fencing, found->fencing + 1)});
                return;
            }
            pump(*found);
        });
}

void owner_task::settleLater(const std::string &name, const adapter_ref &which)
{
    const std::uint64_t id = ++m_lastSettle;
    m_settling[id] = m_loop.timer({orderLifeMs}, {}, [this, id, name, which] {
        m_settling.erase(id);
        if (owned *found = find(name); found != nullptr) {
            found->adapters[which].unloading = false;
            found->polledAt = {};
        }
    });
}

void owner_task::load(owned &server, const adapter_ref &which)
{
    server.adapters[which].loading = true;
    server.ordering = true;
    const std::string name = server.where.name;
    const millis began = bootNow();
    // A load goes into a free slot and takes nothing from anybody, so it does not go through the guarded
    // client.
    server.runs->load(
        which, server.fencing, loadTimeout, [this, name, which, began](const engine_order_end &how) {
            if (owned *found = find(name); found != nullptr) {
                loaded(*found, which, how, began);
            }
        });
}

void owner_task::loaded(owned &server, const adapter_ref &which, const engine_order_end &how, millis began)
{
    const millis now = bootNow();
    slot &where = server.adapters[which];
    server.ordering = false;
    where.loading = false;
    dropTicket(server);
    if (how.ok) {
        const auto took = static_cast<double>((now - began).count);
        server.loadMs += (took - server.loadMs) * (server.loadMs == 0 ? 1 : meanWeight);
        where.resident = true;
        where.loadedAt = now;
        where.lastUsed = now;
        where.failures = 0;
        pump(server);
        return;
    }
    server.polledAt = {};
    if (how.why.kind == error_kind::StaleFencing) {
        m_bus.post(fencing_refused{server.where.name, std::max(how.fencing, server.fencing + 1)});
        return;
    }
    ++where.failures;
    const double random01 = std::uniform_real_distribution<double>(0, 1)(m_random);
    const millis pause{loadBackoffMs(where.failures, random01)};
    where.notBefore = now + pause;
    spdlog::warn("owner: {} did not load {}: {} Next try in {} ms.", server.where.name, toString(which),
        message(how.why), pause.count);
    // Those who wait get their answer now: the entry tries another server while their deadline allows.
    refuseWaiting(server, &which, error_kind::LoadFailed, "loading failed", pause);
    pump(server);
}

}
