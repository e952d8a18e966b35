#include "coordination/quota_plan.h"
#include "coordination/rendezvous.h"
#include "serving/beat_cells.h"
#include "serving/server_owner_task.h"

#include <algorithm>
#include <limits>

// Which servers' records this daemon holds: claimed, taken from a silent holder, given up, and from when on
// it may order there.
namespace briarhead {

namespace {

/// When all daemons start at once the first to register would claim every server before it sees the others.
constexpr millis settleTime{400};
/// A daemon that ends gives orders for 2.3 s more; those it gave before its end began are then this close to
/// the three seconds that two daemons' orders keep apart.
constexpr millis handOverWait{800};
/// Entries tell a new orderer at its first beat what still runs; until they have, adapters in use look idle.
constexpr millis announceWait{250};
/// Beats from another failure domain come every 450 ms: by then a former holder that renewed its lease right
/// before its records went has said so.
constexpr millis beatWait{500};
/// A holder that is cut off stops ordering after `aloneAfter`; with this its last order and the next holder's
/// first keep apart far enough that a third holder's can't come within the time of the two.
constexpr millis replacedWait{1'000};

}

owner_candidates ownerCandidates(const daemon_map &daemons)
{
    owner_candidates choice{nodesOf(daemons), {}};
    for (const auto &[node, record] : daemons) {
        choice.byDomain[record.failureDomain].push_back(node);
    }
    return choice;
}

std::string preferredOwner(const owner_candidates &choice, const backend_server &server)
{
    const auto near = choice.byDomain.find(server.failureDomain);
    return rendezvousFirst(server.id, near == choice.byDomain.end() ? choice.all : near->second);
}

void server_owner_task::followView(const view_changed &change)
{
    for (const std::string &id : change.removedServers) {
        if (const backend_server *server = serverOf(id); server != nullptr) {
            startAgain(id, server->born);
            continue;
        }
        drop(id, "the server is gone");
        m_lastOrders.erase(id);
    }
    noteHolders();
    const store_view &view = m_store.view();
    for (const auto &[id, entry] : view.serverOwners) {
        const bool mine = m_store.isOwn(entry.record);
        const auto held = m_servers.find(id);
        const auto fence = static_cast<std::uint64_t>(entry.revision);
        if (!mine) {
            if (entry.record.node.empty()) {
                m_released.try_emplace(id, bootNow());
            }
            if (held != m_servers.end()) {
                drop(id, "another daemon gives its orders");
            }
        } else if (held == m_servers.end() || held->second.fence < fence) {
            begin(id, entry);
        }
    }
    claimOrphans();
}

/// Who holds which record, and which records went without being given up.
void server_owner_task::noteHolders()
{
    const store_view &view = m_store.view();
    std::erase_if(m_holders, [&](const auto &each) {
        if (view.serverOwners.count(each.first) != 0) {
            return false;
        }
        const auto heard = m_heardRights.find(each.second);
        const bool known = heard != m_heardRights.end();
        m_vacated[each.first] = {bootNow(), known ? std::optional(heard->second) : std::nullopt};
        return true;
    });
    for (const auto &[id, entry] : view.serverOwners) {
        if (entry.record.node.empty() || entry.record.node == m_settings.node) {
            m_holders.erase(id);
        } else {
            m_holders[id] = entry.record.node;
            m_vacated.erase(id);
        }
    }
}

void server_owner_task::onHeartbeat(const std::string &node, const fleet_beat &beat)
{
    const millis now = bootNow();
    const reported_ownership right{now, now + millis{beat.orderingMs}};
    m_heardRights[node] = right;
    if (node != m_settings.node) {
        noteHeard(m_pace, static_cast<double>(beat.loadsAtOnce));
    }
    for (const server_beat &each : beat.servers) {
        if (node != m_settings.node) {
            m_heardHolders[each.server] = {node, now};
        }
        const auto loading =
            std::count_if(each.adapters.begin(), each.adapters.end(), [](const beat_adapter &adapter) {
                return adapter.loading;
            });
        m_heardLoads[each.server] = {static_cast<int>(loading), now};
        const auto held = m_servers.find(each.server);
        if (held == m_servers.end() || node == m_settings.node) {
            continue;
        }
        if (each.fence > held->second.fence) {
            held->second.fenced = true; // the view tells soon
        } else {
            held->second.rivalUntil = std::max(held->second.rivalUntil, right.until);
        }
    }
}

/// Whether somebody has to keep the server's record: of a plain one only while it names a limit.
bool server_owner_task::isKept(const backend_server &server) const
{
    return engineOfServer(server) != nullptr || m_limits.count(server.id) != 0
        || m_servers.count(server.id) != 0;
}

/// A server without a daemon that gives its orders is claimed by the one that rendezvous hashing proposes,
/// out of those in its failure domain where there are any.
void server_owner_task::claimOrphans()
{
    const store_view &view = m_store.view();
    if (m_stopped || !view.config || view.daemons.count(m_settings.node) == 0) {
        return;
    }
    // Once for all servers: after a start each of them is an orphan, and a fleet may have thousands.
    const owner_candidates choice = ownerCandidates(view.daemons);
    const bool settled = bootNow() - view.registeredAt >= settleTime;
    for (const auto &[id, server] : view.servers) {
        const auto entry = view.serverOwners.find(id);
        // Its own record of before a restart, or under a lease that ran out; or one that went with the lease
        // while nobody else took the server.
        const bool formerSelf = entry == view.serverOwners.end()
            ? m_servers.count(id) != 0
            : entry->second.record.node == m_settings.node
                && !(
                    m_store.isOwn(entry->second.record) && m_store.isUnderCurrentLease(entry->second.record));
        const bool orphan =
            entry == view.serverOwners.end() || entry->second.record.node.empty() || formerSelf;
        if (!orphan || m_words.accessOf(server) == server_access::Leaving || !isKept(server)) {
            continue;
        }
        if (formerSelf && entry != view.serverOwners.end()) {
            m_ownBefore.insert(id);
        }
        if (formerSelf || (settled && preferredOwner(choice, server) == m_settings.node)) {
            m_store.claimServer(id);
        }
    }
}

bool server_owner_task::expectsHeartbeats() const
{
    const store_view &view = m_store.view();
    const std::size_t cells = cellsIn({&view.daemons, view.servers.size()}, m_settings.failureDomain);
    const std::size_t own = cellOf(m_settings.node, cells);
    return std::any_of(view.serverOwners.begin(), view.serverOwners.end(), [&](const auto &each) {
        const std::string &holder = each.second.record.node;
        return holder != m_settings.node && view.daemons.count(holder) != 0
            && view.servers.count(each.first) != 0 && cellOf(each.first, cells) == own;
    });
}

/// Guards against: a holder that can't be asked, since it is cut off from the other daemons or stands still,
/// while its lease in the store lives on. It shows as requests that wait for places nobody grants, and as
/// servers that nobody loads. Holds because another daemon takes the record with a higher fencing token,
/// which the server goes by: what the former holder still orders is refused. Servers that check no tokens are
/// left to their holder until its records are gone.
void server_owner_task::replaceSilent()
{
    const store_view &view = m_store.view();
    const millis now = bootNow();
    std::erase_if(m_heardHolders, [&](const auto &each) {
        const auto entry = view.serverOwners.find(each.first);
        return entry == view.serverOwners.end() || entry->second.record.node != each.second.node;
    });
    if (m_stopped || !m_settings.serversCheckTokens || !hearsMost(m_heardHolders, now)) {
        return;
    }
    for (const auto &[id, holder] : m_heardHolders) {
        const backend_server *server = serverOf(id);
        if (now - holder.at < silentAfter || server == nullptr
            || m_words.accessOf(*server) == server_access::Leaving) {
            continue;
        }
        const std::size_t cells = cellsIn({&view.daemons, view.servers.size()}, server->failureDomain);
        std::vector<std::string> all;
        std::vector<std::string> near;
        for (const auto &[node, record] : view.daemons) {
            all.push_back(node);
            if (record.failureDomain == server->failureDomain && cellOf(node, cells) == cellOf(id, cells)) {
                near.push_back(node);
            }
        }
        if (mayReplace(holder, replacersOf(id, holder.node, near, all), m_settings.node, now)) {
            m_log.important("orderer.replaced")
                .add("server", id)
                .add("holder", holder.node)
                .add("silent_ms", now - holder.at);
            m_replaced.insert(id);
            m_store.claimServer(id, true);
        }
    }
}

void server_owner_task::begin(const std::string &id, const ownership_entry &entry)
{
    const backend_server *server = serverOf(id);
    if (server == nullptr || m_stopped || !isKept(*server)) {
        return;
    }
    const auto fence = static_cast<std::uint64_t>(entry.revision);
    if (const auto held = m_servers.find(id); held != m_servers.end()) {
        server_ledger &ledger = held->second.desk.ledger;
        held->second.fence = fence;
        held->second.fenced = false;
        ledger.confirmed = false;
        if (ledger.openOrder) { // its answer is about the token before
            onOrderResponse(ledger, server_order(*ledger.openOrder), order_answer::Unknown, bootNow());
        }
        return;
    }
    server_state one;
    one.fence = fence;
    one.mayOrderFrom = firstOrder(id);
    one.born = server->born;
    openDesk(one.desk, *server);
    if (const auto known = m_limits.find(id); known != m_limits.end()) {
        nameLimit(one.desk.limit, known->second.perSecond, known->second.heard, bootNow());
    }
    m_servers.emplace(id, std::move(one));
    m_log.important("orderer.taken").add("server", id).add("fence", fence);
    pump(id);
}

void server_owner_task::openDesk(slot_scheduler &desk, const backend_server &server) const
{
    const engine_spec *engine = engineOfServer(server);
    desk.ledger.server = server.id;
    desk.plain = engine == nullptr;
    if (desk.plain) {
        desk.queue.maxRunning = std::numeric_limits<int>::max();
        return;
    }
    desk.ledger.slots = engine->adapterPlaces;
    desk.ledger.weightsMb = engine->weightsMb;
    desk.queue.maxRunning = std::min(server.slots, engine->slots);
    desk.queue.memoryTokens = engine->memoryTokens;
}

/// Guards against: a server that starts again under its id is taken for what it was. It would show as
/// requests for adapters that are not there, and as orders that the server refuses for their number. Reports,
/// answers and entries name the start they are about; what is known ends with it, and what an earlier one
/// said is passed over.
void server_owner_task::startAgain(const std::string &id, std::int64_t born)
{
    const auto found = m_servers.find(id);
    const backend_server *server = serverOf(id);
    if (found == m_servers.end() || server == nullptr || found->second.born >= born) {
        return;
    }
    m_log.important("orderer.server_started_again").add("server", id).add("fence", found->second.fence);
    server_state &one = found->second;
    answerAll(refuseWaiting(one.desk, refusal::ServerLeaving));
    server_ledger ledger = std::move(one.desk.ledger);
    briarhead::resetAfterRestart(ledger, bootNow());
    one.desk = {};
    one.desk.ledger = std::move(ledger);
    openDesk(one.desk, *server);
    one.born = born;
    one.reporting = false;
}

/// From when this daemon may order a server that it begins to hold.
millis server_owner_task::firstOrder(const std::string &id)
{
    millis from = bootNow() + announceWait;
    if (const auto released = m_released.find(id); released != m_released.end()) {
        // The daemon before lives and may have ordered right before it gave the server up.
        from = std::max(from, released->second + handOverWait);
        m_released.erase(released);
        m_vacated.erase(id);
    }
    if (const auto before = m_lastOrders.find(id); before != m_lastOrders.end()) {
        // Another daemon held it in between: orders that change hands twice in this span break the rule that
        // one daemon at a time gives them.
        from = std::max(from, before->second + m_settings.orderLease);
    }
    if (m_settings.serversCheckTokens) {
        return from;
    }
    // Of a holder that is gone this is the time that it may have ordered for since it was last heard,
    // whatever its lease: that of servers that check tokens only ends later.
    const millis length = std::max(shortLeaseTtl, m_settings.leaseMin);
    const store_view &view = m_store.view();
    if (const auto left = m_vacated.find(id); left != m_vacated.end()) {
        from = std::max(from, firstOrderAt(left->second, length));
        m_vacated.erase(left);
    } else if (m_ownBefore.count(id) == 0) {
        // No holder was ever seen: one may have been there shortly before this daemon first read the store.
        from = std::max(from, view.firstReadAt + length);
    }
    return std::max(from, bootNow() + (m_replaced.erase(id) != 0 ? replacedWait : beatWait));
}

void server_owner_task::drop(const std::string &id, const char *why)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    m_log.important("orderer.dropped").add("server", id).add("fence", found->second.fence).add("why", why);
    answerAll(refuseWaiting(found->second.desk, refusal::NotOrderer));
    if (found->second.lastOrder.count != 0) {
        m_lastOrders[id] = found->second.lastOrder;
    }
    m_servers.erase(found);
}

void server_owner_task::setIsolated(bool alone)
{
    m_alone = alone;
}

void server_owner_task::stop()
{
    m_stopped = true;
    while (!m_servers.empty()) {
        drop(m_servers.begin()->first, "this instance is ending");
    }
}

}
