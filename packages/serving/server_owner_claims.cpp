#include "coordination/quota_plan.h"
#include "coordination/rendezvous.h"
#include "scheduling/heartbeat_groups.h"
#include "serving/server_owner_task.h"

#include <algorithm>
#include <limits>

// Which servers this daemon owns: claiming them, replacing unresponsive owners, ending ownership, and from
// when on orders may be sent after a change of owner.
namespace briarhead {

namespace {

/// When all daemons start at once, the first to register would claim every server before it sees the others;
/// no claims are made for this long after registration.
constexpr millis claimDelay{400};
/// From seeing that an owner released a server at its shutdown to this daemon's first order. The owner sends
/// orders for another 2.3 s before it releases its records; with this delay, those it sent before its
/// shutdown began are older than the 3 s by which the orders of two daemons are kept apart.
constexpr millis handoverDelay{800};
/// Entries report their running requests to a new owner at its first heartbeat; until they have, adapters in
/// use look idle.
constexpr millis runningReportDelay{250};
/// Heartbeats from other failure domains come every 450 ms: within this time a previous owner that renewed
/// its lease right before its records went has reported it.
constexpr millis heartbeatDelay{500};
/// An isolated owner stops ordering after `isolatedAfter`. With this delay its last order and its successor's
/// first are so far apart that no third owner's order can fall within the same lease time.
constexpr millis replacementDelay{1'000};

}

owner_candidates ownerCandidates(const store_view &view)
{
    owner_candidates candidates;
    for (const auto &[node, record] : view.daemons) {
        if (view.cutOffDaemons.count(node) != 0) {
            continue;
        }
        candidates.all.push_back(node);
        candidates.byDomain[record.failureDomain].push_back(node);
    }
    return candidates;
}

std::string preferredOwner(const owner_candidates &candidates, const backend_server &server)
{
    const auto local = candidates.byDomain.find(server.failureDomain);
    return rendezvousFirst(server.id, local == candidates.byDomain.end() ? candidates.all : local->second);
}

void server_owner_task::onViewChanged(const view_changed &change)
{
    if (change.config) {
        updateFeatures();
    }
    for (const std::string &id : change.removedServers) {
        if (const backend_server *server = findServer(id); server != nullptr) {
            onServerRestarted(id, server->startedAtMs);
            continue;
        }
        endOwnership(id, "the server was removed from the store");
        m_lastOrderTimes.erase(id);
    }
    trackOwners();
    const store_view &view = m_store.view();
    for (const auto &[id, entry] : view.serverOwners) {
        const bool own = m_store.isOwn(entry.record);
        const auto owned = m_servers.find(id);
        const auto fencingToken = static_cast<std::uint64_t>(entry.revision);
        if (!own) {
            if (entry.record.node.empty()) {
                m_releasedAt.try_emplace(id, bootNow());
            }
            if (owned != m_servers.end()) {
                endOwnership(id, "another daemon owns the server");
            }
        } else if (owned == m_servers.end() || owned->second.fencingToken < fencingToken) {
            beginOwnership(id, entry);
        }
    }
    claimUnownedServers();
}

/// Tracks which peer owns which server, and which ownership records went without being released.
void server_owner_task::trackOwners()
{
    const store_view &view = m_store.view();
    std::erase_if(m_owners, [&](const auto &each) {
        if (view.serverOwners.count(each.first) != 0) {
            return false;
        }
        const auto reported = m_reportedOwnerships.find(each.second);
        const bool known = reported != m_reportedOwnerships.end();
        m_removedOwnerships[each.first] = {bootNow(), known ? std::optional(reported->second) : std::nullopt};
        return true;
    });
    for (const auto &[id, entry] : view.serverOwners) {
        if (entry.record.node.empty() || entry.record.node == m_settings.node) {
            m_owners.erase(id);
        } else {
            m_owners[id] = entry.record.node;
            m_removedOwnerships.erase(id);
        }
    }
}

void server_owner_task::onHeartbeat(const std::string &node, const fleet_heartbeat &beat)
{
    const millis now = bootNow();
    const reported_ownership ownership{now, now + millis{beat.ownershipLeftMs}};
    m_reportedOwnerships[node] = ownership;
    if (node != m_settings.node) {
        applyPeerEstimate(m_pace, static_cast<double>(beat.maxFullSpeedLoads));
    }
    for (const server_heartbeat &each : beat.servers) {
        if (node != m_settings.node) {
            m_observedOwners[each.server] = {node, now};
        }
        const auto loading =
            std::count_if(each.adapters.begin(), each.adapters.end(), [](const heartbeat_adapter &adapter) {
                return adapter.loading;
            });
        m_observedLoads[each.server] = {static_cast<int>(loading), now};
        const auto owned = m_servers.find(each.server);
        if (owned == m_servers.end() || node == m_settings.node) {
            continue;
        }
        if (each.fence > owned->second.fencingToken) {
            owned->second.fenced = true; // the view will show the new owner
        } else {
            owned->second.otherOwnerUntil = std::max(owned->second.otherOwnerUntil, ownership.validUntil);
        }
    }
}

/// Whether the server needs an owner. A plain server needs one only while it announces a limit.
bool server_owner_task::needsOwner(const backend_server &server) const
{
    return findEngine(server) != nullptr || m_limits.count(server.id) != 0 || m_servers.count(server.id) != 0;
}

/// Claims the servers without an owner that rendezvous hashing assigns to this daemon, and those that it
/// owned before.
void server_owner_task::claimUnownedServers()
{
    const store_view &view = m_store.view();
    if (m_stopped || m_cutOff || !view.config || view.daemons.count(m_settings.node) == 0) {
        return;
    }
    // Computed once for all servers: after a cold start none of possibly thousands has an owner.
    const owner_candidates candidates = ownerCandidates(view);
    const bool othersRegistered = bootNow() - view.registeredAt >= claimDelay;
    for (const auto &[id, server] : view.servers) {
        const auto entry = view.serverOwners.find(id);
        // Its own record from before a restart or under an expired lease; or a record that went with the
        // lease while no other daemon claimed the server.
        const bool ownedBefore = entry == view.serverOwners.end()
            ? m_servers.count(id) != 0
            : entry->second.record.node == m_settings.node
                && !(
                    m_store.isOwn(entry->second.record) && m_store.isUnderCurrentLease(entry->second.record));
        const bool unowned =
            entry == view.serverOwners.end() || entry->second.record.node.empty() || ownedBefore;
        if (!unowned || m_words.accessOf(server) == server_access::Leaving || !needsOwner(server)) {
            continue;
        }
        if (ownedBefore && entry != view.serverOwners.end()) {
            m_ownedByPreviousProcess.insert(id);
        }
        if (ownedBefore || (othersRegistered && preferredOwner(candidates, server) == m_settings.node)) {
            m_store.claimServer(id);
        }
    }
}

bool server_owner_task::expectsHeartbeats() const
{
    const store_view &view = m_store.view();
    const std::size_t cells =
        heartbeatGroupsIn({&view.daemons, view.servers.size()}, m_settings.failureDomain);
    const std::size_t own = heartbeatGroupOf(m_settings.node, cells);
    return std::any_of(view.serverOwners.begin(), view.serverOwners.end(), [&](const auto &each) {
        const std::string &holder = each.second.record.node;
        return holder != m_settings.node && view.daemons.count(holder) != 0
            && view.servers.count(each.first) != 0 && heartbeatGroupOf(each.first, cells) == own;
    });
}

/// Claims servers from owners that no longer send heartbeats, because they are isolated from the other
/// daemons or suspended, while their lease in the store lives on. Otherwise requests would wait for slots
/// that nobody grants, and nobody would load adapters there. The new owner gets a higher fencing token, so
/// the server refuses further orders of the previous one. Servers that check no fencing tokens stay with
/// their owner until its record is gone.
void server_owner_task::replaceUnresponsiveOwners()
{
    const store_view &view = m_store.view();
    const millis now = bootNow();
    std::erase_if(m_observedOwners, [&](const auto &each) {
        const auto entry = view.serverOwners.find(each.first);
        return entry == view.serverOwners.end() || entry->second.record.node != each.second.node;
    });
    if (m_stopped || m_cutOff || !m_settings.serversCheckFencingTokens
        || !seesMostOwners(m_observedOwners, now)) {
        return;
    }
    for (const auto &[id, holder] : m_observedOwners) {
        const backend_server *server = findServer(id);
        if (now - holder.heartbeatAt < ownerTimeout || server == nullptr
            || m_words.accessOf(*server) == server_access::Leaving) {
            continue;
        }
        const std::size_t cells =
            heartbeatGroupsIn({&view.daemons, view.servers.size()}, server->failureDomain);
        std::vector<std::string> all;
        std::vector<std::string> local;
        for (const auto &[node, record] : view.daemons) {
            if (view.cutOffDaemons.count(node) != 0) {
                continue;
            }
            all.push_back(node);
            if (record.failureDomain == server->failureDomain
                && heartbeatGroupOf(node, cells) == heartbeatGroupOf(id, cells)) {
                local.push_back(node);
            }
        }
        if (mayReplace(holder, replacementOrderOf(id, holder.node, local, all), m_settings.node, now)) {
            m_log.important("orderer.replaced")
                .add("server", id)
                .add("holder", holder.node)
                .add("silent_ms", now - holder.heartbeatAt);
            m_replacedServers.insert(id);
            m_store.claimServer(id, true);
        }
    }
}

void server_owner_task::beginOwnership(const std::string &id, const ownership_entry &entry)
{
    const backend_server *server = findServer(id);
    if (server == nullptr || m_stopped || m_cutOff || !needsOwner(*server)) {
        return;
    }
    const auto fencingToken = static_cast<std::uint64_t>(entry.revision);
    if (const auto owned = m_servers.find(id); owned != m_servers.end()) {
        server_ledger &ledger = owned->second.scheduler.ledger;
        owned->second.fencingToken = fencingToken;
        owned->second.fenced = false;
        ledger.confirmed = false;
        if (ledger.openOrder) { // its response will be about the previous fencing token
            onOrderResponse(ledger, server_order(*ledger.openOrder), order_result::Unknown, bootNow());
        }
        return;
    }
    server_state state;
    state.fencingToken = fencingToken;
    const bool hadOwner =
        m_replacedServers.count(id) != 0 || m_releasedAt.count(id) != 0 || m_removedOwnerships.count(id) != 0;
    state.ordersAllowedFrom = earliestOrderTime(id);
    if (hadOwner) {
        state.scheduler.limit.grantsFrom = bootNow() + runningReportDelay + heartbeatDelay;
    }
    state.startedAtMs = server->startedAtMs;
    configureScheduler(state.scheduler, *server);
    if (const auto known = m_limits.find(id); known != m_limits.end()) {
        applyLimit(state.scheduler.limit, known->second.perSecond, known->second.receivedAt, bootNow());
        state.scheduler.limit.maxRejections = known->second.maxRejections;
    }
    if (const auto known = m_reportedSpeeds.find(id);
        known != m_reportedSpeeds.end() && known->second.startedAtMs == server->startedAtMs) {
        const observed_load &load = known->second.load;
        const millis age = load.speedAge + (bootNow() - load.receivedAt);
        adoptSpeed(state.scheduler.queue.speed, load.tokensPerMs, age, bootNow());
    }
    m_servers.emplace(id, std::move(state));
    m_log.important("orderer.taken").add("server", id).add("fence", fencingToken);
    processServer(id);
}

void server_owner_task::configureScheduler(slot_scheduler &scheduler, const backend_server &server) const
{
    const engine_spec *engine = findEngine(server);
    scheduler.ledger.server = server.id;
    scheduler.plain = engine == nullptr;
    scheduler.serverSlots = server.slots;
    if (const auto features = m_features.find(server.service); features != m_features.end()) {
        scheduler.features = features->second;
    }
    if (scheduler.plain) {
        scheduler.queue.maxRunning = std::numeric_limits<int>::max();
        return;
    }
    scheduler.ledger.slots = engine->adapterSlotCount;
    scheduler.ledger.weightsMb = engine->weightsMb;
    scheduler.queue.maxRunning = std::min(server.slots, engine->slots);
    scheduler.queue.memoryTokens = engine->memoryTokens;
}

/// Resets the state of a server that restarted under the same id. Otherwise requests would be sent for
/// adapters that are no longer loaded, and the server would refuse orders for their sequence. Reports,
/// responses and store entries name their incarnation, and those of an earlier one are ignored.
void server_owner_task::onServerRestarted(const std::string &id, std::int64_t startedAtMs)
{
    const auto found = m_servers.find(id);
    const backend_server *server = findServer(id);
    if (found == m_servers.end() || server == nullptr || found->second.startedAtMs >= startedAtMs) {
        return;
    }
    m_log.important("orderer.server_started_again")
        .add("server", id)
        .add("fence", found->second.fencingToken);
    server_state &state = found->second;
    sendResponses(refuseWaiting(state.scheduler, refusal::ServerLeaving));
    server_ledger ledger = std::move(state.scheduler.ledger);
    briarhead::resetAfterRestart(ledger, bootNow());
    state.scheduler = {};
    state.scheduler.ledger = std::move(ledger);
    configureScheduler(state.scheduler, *server);
    state.startedAtMs = startedAtMs;
    state.reportRequested = false;
}

/// From when this daemon may send orders to a server that it has just come to own.
millis server_owner_task::earliestOrderTime(const std::string &id)
{
    millis from = bootNow() + runningReportDelay;
    if (const auto released = m_releasedAt.find(id); released != m_releasedAt.end()) {
        // The previous owner is alive and may have sent an order right before it released the server.
        from = std::max(from, released->second + handoverDelay);
        m_releasedAt.erase(released);
        m_removedOwnerships.erase(id);
    }
    if (const auto previous = m_lastOrderTimes.find(id); previous != m_lastOrderTimes.end()) {
        // Another daemon owned it in between. Two changes of the ordering daemon within this time would break
        // the rule that one daemon at a time sends orders.
        from = std::max(from, previous->second + m_settings.orderLease);
    }
    if (m_settings.serversCheckFencingTokens) {
        return from;
    }
    // How long a lost owner may have sent orders after its last heartbeat. The longer TTL is used only where
    // servers check fencing tokens, so it does not matter here.
    const millis ttl = std::max(shortLeaseTtl, m_settings.minLease);
    const store_view &view = m_store.view();
    if (const auto removed = m_removedOwnerships.find(id); removed != m_removedOwnerships.end()) {
        from = std::max(from, firstOrderAt(removed->second, ttl));
        m_removedOwnerships.erase(removed);
    } else if (m_ownedByPreviousProcess.count(id) == 0) {
        // No owner was seen, but there may have been one shortly before this daemon first read the store.
        from = std::max(from, view.firstReadAt + ttl);
    }
    return std::max(from, bootNow() + (m_replacedServers.erase(id) != 0 ? replacementDelay : heartbeatDelay));
}

void server_owner_task::endOwnership(const std::string &id, const char *why)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    m_log.important("orderer.dropped")
        .add("server", id)
        .add("fence", found->second.fencingToken)
        .add("why", why);
    sendResponses(refuseWaiting(found->second.scheduler, refusal::NotOwner));
    if (found->second.lastOrderAt.count != 0) {
        m_lastOrderTimes[id] = found->second.lastOrderAt;
    }
    m_servers.erase(found);
}

/// A daemon that can send no orders hands its servers over: store_task releases their records. Orders can't
/// go through a peer, because a server takes them from one daemon at a time and tells daemons apart by their
/// address.
void server_owner_task::onServersReachable(bool reachable)
{
    m_cutOff = !reachable;
    if (!m_cutOff) {
        onViewChanged({});
        return;
    }
    while (!m_servers.empty()) {
        endOwnership(m_servers.begin()->first, "this daemon is cut off from the servers");
    }
}

void server_owner_task::setIsolated(bool isolated)
{
    m_isolated = isolated;
}

void server_owner_task::stop()
{
    m_stopped = true;
    while (!m_servers.empty()) {
        endOwnership(m_servers.begin()->first, "this instance is shutting down");
    }
}

}
