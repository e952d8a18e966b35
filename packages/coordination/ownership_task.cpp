#include "coordination/ownership_task.h"

#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

constexpr std::int64_t tickMs = 200;
/// Interval between reads of the record of a server that a live peer owns; owner_released requests an earlier
/// read.
constexpr std::int64_t peerOwnedRereadMs = 10'000;
/// The same for a server without a live owner, while its last owner's lease must expire.
constexpr std::int64_t ownerlessRereadMs = 1'000;
constexpr std::int64_t engineRereadMs = 3'000;
/// Claims that a daemon may make at once before they are spaced by fleetCallInterval().
constexpr std::int64_t maxClaimBurst = 4;
constexpr millis orderTimeout{2'000};

std::string urlOf(const live_instance &instance)
{
    return "http://" + instance.address + ":" + std::to_string(instance.port);
}

}

ownership_task::ownership_task(
    bus &messages, loop &eventLoop, kv_client &kv, http_client &orders, fence &guard, options taskOptions)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_kv(kv)
    , m_orders(orders)
    , m_fence(guard)
    , m_options(std::move(taskOptions))
    , m_ttl(m_options.leaseTtl)
    , m_random(std::random_device{}())
{
    m_bus.on<members_changed>([this](const members_changed &change) {
        onMembers(change);
    });
    m_bus.on<live_list_changed>([this](const live_list_changed &change) {
        onLiveList(change);
    });
    m_bus.on<config_changed>([this](const config_changed &change) {
        m_config = change.current;
    });
    m_bus.on<server_released>([this](const server_released &released) {
        onReleased(released);
    });
    m_bus.on<fencing_refused>([this](const fencing_refused &refusal) {
        tracked_server *server = find(refusal.server);
        if (server != nullptr && server->active) {
            server->supersededBy = std::max(server->supersededBy, refusal.fencingToken);
            spdlog::warn("ownership: {} refused our fencing number; it holds token {}. Giving the server up.",
                refusal.server, refusal.fencingToken);
            dropServer(*server);
        }
    });
    m_bus.on<engine_restarted>([this](const engine_restarted &restart) {
        tracked_server *server = find(restart.server);
        if (server != nullptr && server->active) {
            server->fencingNeeded = true;
        }
    });
    m_bus.on<received<owner_released>>([this](const received<owner_released> &notice) {
        tracked_server *server = find(notice.body.server);
        // Guards against a notice that arrives during an older read of the record and is then ignored, so
        // that the released server has no owner until the next periodic read. The flag is still set after
        // that read.
        if (server != nullptr) {
            server->rereadRequested = true;
        }
    });
    m_bus.on<drain_began>([this](const drain_began &) {
        m_leaving = true;
    });
    m_timer = m_loop.timer({tickMs}, {tickMs}, [this] {
        tick();
    });
}

bool ownership_task::isOwn(const owner_record &record) const
{
    return record.owner == m_options.self && record.incarnation == m_options.incarnation;
}

ownership_task::tracked_server *ownership_task::find(const std::string &name)
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second;
}

/// Ends a call on a server: returns its entry with callPending cleared, or nullptr if the server has been
/// removed from the live list since.
ownership_task::tracked_server *ownership_task::finishCall(const std::string &name)
{
    tracked_server *server = find(name);
    if (server != nullptr) {
        server->callPending = false;
    }
    return server;
}

const member *ownership_task::findMember(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

void ownership_task::onMembers(const members_changed &change)
{
    m_members.clear();
    std::vector<std::string> candidates;
    for (const member &daemon : change.members) {
        m_members[daemon.name] = daemon;
        if (daemon.state == peer_state::Alive || daemon.state == peer_state::Suspect) {
            candidates.push_back(daemon.name);
        }
    }
    // Most changes only concern a peer's configuration version. Hashing all servers over all daemons again
    // for each of them would use up the CPU budget of control work in a large fleet.
    if (candidates != m_candidates) {
        m_candidates = std::move(candidates);
        updatePreferredOwners();
    }
}

void ownership_task::onLiveList(const live_list_changed &change)
{
    for (const auto &[name, instance] : change.view.instances) {
        if (instance.kind == instance_kind::Engine) {
            m_servers[name].instance = instance;
        }
    }
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        if (change.view.instances.count(entry->first) != 0 || entry->second.callPending) {
            ++entry;
            continue;
        }
        if (entry->second.active) {
            dropServer(entry->second);
        }
        entry = m_servers.erase(entry);
    }
    updatePreferredOwners();
}

void ownership_task::updatePreferredOwners()
{
    for (auto &[name, server] : m_servers) {
        server.preferredOwner = rendezvousFirst("server/" + name, m_candidates);
    }
}

void ownership_task::tick()
{
    renew();
    m_ownedCount =
        static_cast<std::uint32_t>(std::count_if(m_servers.begin(), m_servers.end(), [](const auto &entry) {
            return entry.second.active;
        }));
    for (auto &entry : m_servers) {
        if (!entry.second.callPending) {
            reconcile(entry.second);
        }
    }
}

// ---- one server

/// The longest that a request admitted by a previous owner may still run. Not the limit now in force, since
/// that owner may have admitted requests under a configuration with a longer one.
millis ownership_task::maxDeadline() const
{
    return {maxAllowedDeadlineMs};
}

ownership_view ownership_task::viewOf(const tracked_server &server) const
{
    ownership_view view;
    view.self = m_options.self;
    view.preferredOwner = server.preferredOwner;
    view.owner = server.record.owner;
    view.ownedBySelf = server.active || isOwn(server.record);
    if (!view.ownedBySelf && !view.owner.empty()) {
        const member *owner = findMember(view.owner);
        view.ownerDead = owner == nullptr || owner->state == peer_state::Dead
            || (owner->incarnation != 0 && owner->incarnation != server.record.incarnation);
        view.ownerSessionEnded = server.ownerSessionEnded;
    }
    view.serviceReachable = m_serviceReachable;
    view.checksFencing = server.engine && server.engine->checksFencing;
    view.selfLeaving = m_leaving;
    view.selfHasLease = m_lease != 0;
    view.predecessorUnloadsDone = bootNow() >= server.earliestRunAt;
    view.ownedCount = m_ownedCount;
    const auto daemons = std::max<std::size_t>(1, m_candidates.size());
    view.fairShare = static_cast<std::uint32_t>((m_servers.size() + daemons - 1) / daemons);
    return view;
}

void ownership_task::reconcile(tracked_server &server)
{
    const millis now = bootNow();
    const bool relevant = server.active || server.preferredOwner == m_options.self || isOwn(server.record);
    if (!relevant || m_members.empty()) {
        return;
    }
    if (!server.engine || (!server.active && now - server.engineReadAt > millis{engineRereadMs})) {
        readEngine(server);
        if (!server.engine) {
            return;
        }
    }
    if (server.active && server.predecessorMayRun) {
        checkPredecessor(server);
    }
    if (server.fencingNeeded && server.active) {
        server.fencingNeeded = false;
        installFencingToken(server, server.fencingToken);
        return;
    }
    if (server.epochRaiseNeeded || server.outageClaim) {
        if (m_serviceReachable && m_lease != 0) {
            takeOver(server);
        }
        return;
    }
    if (m_leaving && !m_serviceReachable && server.active) {
        // A release writes the record, but the service is unreachable. Rather than exceed the drain's time
        // limit, stop admitting here. After this process has exited, peers claim the server on its engine, or
        // take it over once the lease has expired.
        spdlog::warn(
            "ownership: giving up {} while draining without a release: the key-value service is unreachable.",
            server.instance.name);
        dropServer(server);
        return;
    }
    const ownership_view view = viewOf(server);
    if (!server.active) {
        const bool ownerless = view.owner.empty() || view.ownerDead || server.supersededBy != 0;
        const std::int64_t pause = ownerless ? ownerlessRereadMs : peerOwnedRereadMs;
        const bool due = server.rereadRequested || server.revision < 0 || now - server.readAt > millis{pause};
        if (due && m_serviceReachable) {
            server.rereadRequested = false;
            readRecord(server);
            return;
        }
        if (view.ownerDead && !server.ownerSessionEnded && m_serviceReachable
            && now - server.sessionReadAt > millis{ownerlessRereadMs}) {
            readSession(server);
            return;
        }
    }
    // Owned by the record, but not yet claimed on the engine (a lost response, or the engine did not
    // respond).
    if (!server.active && isOwn(server.record) && server.revision > 0 && m_lease != 0) {
        if (server.supersededBy != 0) {
            takeOver(server);
        } else {
            installFencingToken(server, fencingTokenOf(server.record.epoch));
        }
        return;
    }
    switch (decideOwnership(view)) {
    case ownership_step::TakeOver:
        if (server.revision >= 0) {
            takeOver(server);
        }
        break;
    case ownership_step::ClaimOnEngine:
        claimOnEngine(server);
        break;
    case ownership_step::Release:
        if (server.active && !server.releasing) {
            m_ownedCount -= m_ownedCount > 0 ? 1 : 0;
            release(server);
        }
        break;
    case ownership_step::Keep:
    case ownership_step::Wait:
        break;
    }
}

void ownership_task::readRecord(tracked_server &server)
{
    server.callPending = true;
    m_kv.get(ownerRecordKey(server.instance.name), [this, name = server.instance.name](const kv_read &read) {
        tracked_server *found = finishCall(name);
        if (found == nullptr) {
            return;
        }
        onServiceStatus(read.status);
        if (read.status != kv_status::Ok) {
            return;
        }
        found->readAt = bootNow() + millis{static_cast<std::int64_t>(m_random() % 500)};
        const owner_record before = found->record;
        found->record = {};
        found->revision = 0;
        if (!read.entries.empty()) {
            error why;
            const auto record = parseOwnerRecord(read.entries.front().value, why);
            if (!record) {
                spdlog::error("ownership: {}", message(why));
            }
            found->record = record.value_or(owner_record{});
            found->revision = read.entries.front().modRevision;
        }
        if (found->record.owner != before.owner || found->record.incarnation != before.incarnation) {
            found->ownerSessionEnded = false;
            m_bus.post(owner_known{name, found->record.owner});
        }
    });
}

void ownership_task::readSession(tracked_server &server)
{
    server.callPending = true;
    server.sessionReadAt = bootNow();
    m_kv.get(ownerSessionKey(server.record.owner), [this, name = server.instance.name](const kv_read &read) {
        tracked_server *found = finishCall(name);
        if (found == nullptr) {
            return;
        }
        onServiceStatus(read.status);
        if (read.status != kv_status::Ok) {
            return;
        }
        error why;
        const auto session = read.entries.empty() ? std::optional<session_record>{}
                                                  : parseSessionRecord(read.entries.front().value, why);
        found->ownerSessionEnded = !session || session->incarnation != found->record.incarnation;
    });
}

void ownership_task::readEngine(tracked_server &server)
{
    server.callPending = true;
    server.engineReadAt = bootNow();
    auto engine = std::make_shared<engine_client>(m_orders, urlOf(server.instance));
    engine->state(orderTimeout,
        [this, engine, name = server.instance.name](const std::optional<engine_state> &state, const error &) {
            tracked_server *found = finishCall(name);
            if (found == nullptr) {
                return;
            }
            if (state) {
                found->engine = state;
            }
        });
}

void ownership_task::takeOver(tracked_server &server)
{
    // Up to maxClaimBurst claims are made at once, as after the death of one daemon; more are spread over
    // time.
    const millis pause = fleetCallInterval(m_members.size());
    if (m_claimAt > bootNow() + millis{pause.count * maxClaimBurst}) {
        return;
    }
    m_claimAt = std::max(m_claimAt, bootNow()) + pause;
    owner_record next;
    next.owner = m_options.self;
    next.incarnation = m_options.incarnation;
    next.epoch =
        std::max({server.record.epoch, epochOf(server.supersededBy), epochOf(server.fencingToken)}) + 1;
    server.callPending = true;
    m_kv.compareAndSwap(ownerRecordKey(server.instance.name), std::max<std::int64_t>(0, server.revision),
        toJson(next), 0, [this, next, name = server.instance.name](const kv_write &written) {
            tracked_server *found = finishCall(name);
            if (found == nullptr) {
                return;
            }
            onServiceStatus(written.status);
            if (written.status != kv_status::Ok) {
                // Conflict: another write came first. Ambiguous: the swap may have been executed. The record
                // is read again, and if it names this very process, the server is taken as owned.
                if (found->active && written.status == kv_status::Conflict) {
                    error why;
                    const auto current = parseOwnerRecord(written.current.value, why);
                    if (!current || !isOwn(*current)) {
                        dropServer(*found);
                    } else {
                        found->record = *current;
                        found->revision = written.current.modRevision;
                        return;
                    }
                }
                found->revision = -1;
                return;
            }
            if (!isOwn(found->record) && !found->active) {
                found->predecessor = found->record;
            }
            found->record = next;
            found->revision = written.revision;
            found->supersededBy = 0;
            spdlog::info("ownership: {} is ours, epoch {}.", name, next.epoch);
            installFencingToken(*found, fencingTokenOf(next.epoch));
        });
}

void ownership_task::claimOnEngine(tracked_server &server)
{
    const auto token =
        outageFencingToken(std::max(server.engine->fencingToken, server.supersededBy), m_options.self);
    if (!token) {
        return;
    }
    spdlog::warn(
        "ownership: The service is out. Claiming the orphan {} on its engine.", server.instance.name);
    server.predecessor = server.record;
    server.outageClaim = true;
    installFencingToken(server, *token);
}

void ownership_task::installFencingToken(tracked_server &server, std::uint64_t fencingToken)
{
    if (!server.engine->checksFencing) {
        onAcquired(server, fencingToken);
        return;
    }
    server.callPending = true;
    auto engine = std::make_shared<engine_client>(m_orders, urlOf(server.instance));
    engine->claim(fencingToken, m_options.self, orderTimeout,
        [this, engine, fencingToken, name = server.instance.name](const engine_order_end &result) {
            tracked_server *found = finishCall(name);
            if (found == nullptr) {
                return;
            }
            if (result.ok) {
                onAcquired(*found, fencingToken);
                return;
            }
            if (result.why.kind == error_kind::StaleFencing) {
                found->supersededBy = std::max(found->supersededBy, result.fencingToken);
                found->outageClaim = false;
                dropServer(*found);
            }
            found->engineReadAt = {};
            found->engine.reset();
        });
}

void ownership_task::onAcquired(tracked_server &server, std::uint64_t fencingToken)
{
    const millis now = bootNow();
    const bool alreadyActive = server.active;
    const bool neverOwned = server.predecessor.epoch == 0 && server.engine->fencingToken == 0;
    const bool gracefulRelease = server.predecessor.owner.empty();
    server_gained event;
    event.server = server.instance;
    event.fencingToken = fencingToken;
    event.checksFencing = server.engine->checksFencing;
    if (!alreadyActive) {
        server.predecessorMayRun = !neverOwned && !gracefulRelease;
        server.earliestEvictAt = neverOwned
            ? now
            : earliestEvictionTime(now, maxDeadline(), gracefulRelease, {server.predecessor.drainMs});
        if (!gracefulRelease && event.checksFencing) {
            // The engine refuses the previous owner from now on; what it admitted ends within its deadline.
            server.earliestEvictAt = now + maxDeadline();
        }
        for (const std::string &text : server.predecessor.pinned) {
            const auto colon = text.rfind(':');
            if (colon != std::string::npos) {
                event.pinned.push_back({text.substr(0, colon),
                    static_cast<std::uint32_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10))});
            }
        }
        if (server.predecessorMayRun) {
            event.pinned = server.engine->resident;
        }
    }
    if (!alreadyActive) {
        server.earliestRunAt = earliestRunTime(now, event.checksFencing, neverOwned || gracefulRelease);
    }
    event.earliestRunAt = server.earliestRunAt;
    event.earliestEvictAt = server.earliestEvictAt;
    server.active = true;
    server.epochRaiseNeeded = false;
    server.releasing = false;
    server.fencingToken = fencingToken;
    server.outageClaim = server.outageClaim && epochOf(fencingToken) != server.record.epoch;
    if (fencingToken == fencingTokenOf(server.record.epoch) && isOwn(server.record)) {
        server.outageClaim = false;
    }
    m_bus.post(event);
    if (m_leaseUntil > now) {
        onLeaseConfirmed(m_leaseUntil - m_ttl);
    }
}

void ownership_task::checkPredecessor(tracked_server &server)
{
    if (server.engine->checksFencing) {
        server.predecessorMayRun = false;
        return;
    }
    const member *previousOwner = findMember(server.predecessor.owner);
    const bool exited = previousOwner == nullptr
        || (previousOwner->incarnation != 0 && previousOwner->incarnation != server.predecessor.incarnation);
    if (!exited) {
        return;
    }
    // The platform has replaced or removed the instance, or it runs a newer process: the old process can't
    // resume, so only what it had already sent to the engine may still run.
    server.predecessorMayRun = false;
    server.earliestEvictAt = std::min(server.earliestEvictAt, bootNow() + maxDeadline());
    m_bus.post(predecessor_exited{server.instance.name, server.earliestEvictAt});
}

void ownership_task::dropServer(tracked_server &server)
{
    if (server.active) {
        spdlog::warn(
            "ownership: {} is no longer ours; no new requests are admitted to it.", server.instance.name);
        m_bus.post(server_lost{server.instance.name});
    }
    server.active = false;
    server.epochRaiseNeeded = false;
    server.releasing = false;
    server.outageClaim = false;
    server.revision = -1;
}

// ---- graceful handover

void ownership_task::release(tracked_server &server)
{
    spdlog::info("ownership: releasing {} to {}.", server.instance.name, server.preferredOwner);
    server.releasing = true;
    m_bus.post(release_server{server.instance.name});
}

void ownership_task::onReleased(const server_released &released)
{
    tracked_server *server = find(released.server);
    if (server == nullptr || !server->releasing) {
        return;
    }
    owner_record next;
    next.epoch = server->record.epoch;
    next.drainMs = released.drain.count;
    for (const adapter_ref &ref : released.running) {
        next.pinned.push_back(toString(ref));
    }
    server->callPending = true;
    m_kv.compareAndSwap(ownerRecordKey(released.server), std::max<std::int64_t>(0, server->revision),
        toJson(next), 0, [this, next, name = released.server](const kv_write &written) {
            tracked_server *found = finishCall(name);
            if (found == nullptr) {
                return;
            }
            onServiceStatus(written.status);
            if (written.status != kv_status::Ok) {
                // The release may or may not have been written, so nothing is admitted until the record has
                // been read again. If it still names this process, the server is owned again.
                dropServer(*found);
                return;
            }
            found->active = false;
            found->releasing = false;
            found->record = next;
            found->revision = written.revision;
            found->readAt = bootNow();
            m_bus.post(server_lost{name});
            m_bus.post(owner_known{name, found->preferredOwner});
            m_bus.post(send_to{found->preferredOwner, owner_released{name}});
        });
}

}
