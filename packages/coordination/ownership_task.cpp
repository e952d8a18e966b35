#include "coordination/ownership_task.h"

#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

constexpr std::int64_t tickMs = 200;
/// A record of a server held by a live peer is read again this seldom; owner_released says when sooner.
constexpr std::int64_t quietRereadMs = 10'000;
/// While an orphan waits for its old owner's lease to end.
constexpr std::int64_t orphanRereadMs = 1'000;
constexpr std::int64_t engineRereadMs = 3'000;
/// Claims that a daemon may make before it keeps to its pace.
constexpr std::int64_t claimBurst = 4;
constexpr millis orderTimeout{2'000};

std::string urlOf(const live_instance &where)
{
    return "http://" + where.address + ":" + std::to_string(where.port);
}

}

ownership_task::ownership_task(
    bus &messages, loop &eventLoop, kv_client &kv, http_client &orders, fence &guard, options given)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_kv(kv)
    , m_orders(orders)
    , m_fence(guard)
    , m_options(std::move(given))
    , m_ttl(m_options.leaseTtl)
    , m_random(std::random_device{}())
{
    m_bus.on<members_changed>([this](const members_changed &news) {
        onMembers(news);
    });
    m_bus.on<live_list_changed>([this](const live_list_changed &news) {
        onLiveList(news);
    });
    m_bus.on<config_changed>([this](const config_changed &news) {
        m_config = news.current;
    });
    m_bus.on<server_released>([this](const server_released &answer) {
        onReleased(answer);
    });
    m_bus.on<fencing_refused>([this](const fencing_refused &news) {
        tracked *server = find(news.server);
        if (server != nullptr && server->active) {
            server->lostTo = std::max(server->lostTo, news.fencing);
            spdlog::warn(
                "ownership: {} refused our fencing number, {} stands there.", news.server, news.fencing);
            lose(*server);
        }
    });
    m_bus.on<engine_restarted>([this](const engine_restarted &news) {
        tracked *server = find(news.server);
        if (server != nullptr && server->active) {
            server->refence = true;
        }
    });
    m_bus.on<received<owner_released>>([this](const received<owner_released> &news) {
        tracked *server = find(news.body.server);
        // Guards against: the news comes while an older read is on its way, is passed over, and the released
        // server stays without an owner until the next quiet reading. The flag outlives that read.
        if (server != nullptr) {
            server->reread = true;
        }
    });
    m_bus.on<drain_began>([this](const drain_began &) {
        m_leaving = true;
    });
    m_timer = m_loop.timer({tickMs}, {tickMs}, [this] {
        tick();
    });
}

bool ownership_task::mine(const owner_record &record) const
{
    return record.owner == m_options.self && record.incarnation == m_options.incarnation;
}

ownership_task::tracked *ownership_task::find(const std::string &name)
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second;
}

/// The entry that a call was made for, no longer busy with it; nullptr if the server has left the list since.
ownership_task::tracked *ownership_task::answered(const std::string &name)
{
    tracked *server = find(name);
    if (server != nullptr) {
        server->busy = false;
    }
    return server;
}

const member *ownership_task::memberNamed(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

void ownership_task::onMembers(const members_changed &news)
{
    m_members.clear();
    std::vector<std::string> candidates;
    for (const member &one : news.members) {
        m_members[one.name] = one;
        if (one.state == peer_state::Alive || one.state == peer_state::Suspect) {
            candidates.push_back(one.name);
        }
    }
    // Most news is about a peer's configuration version. Hashing all servers over all daemons again for that
    // would take the whole share of a core that control may have at full size.
    if (candidates != m_candidates) {
        m_candidates = std::move(candidates);
        propose();
    }
}

void ownership_task::onLiveList(const live_list_changed &news)
{
    for (const auto &[name, instance] : news.view.instances) {
        if (instance.kind == instance_kind::Engine) {
            m_servers[name].where = instance;
        }
    }
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        if (news.view.instances.count(entry->first) != 0 || entry->second.busy) {
            ++entry;
            continue;
        }
        if (entry->second.active) {
            lose(entry->second);
        }
        entry = m_servers.erase(entry);
    }
    propose();
}

void ownership_task::propose()
{
    for (auto &[name, server] : m_servers) {
        server.proposed = rendezvousFirst("server/" + name, m_candidates);
    }
}

void ownership_task::tick()
{
    renew();
    m_owned =
        static_cast<std::uint32_t>(std::count_if(m_servers.begin(), m_servers.end(), [](const auto &entry) {
            return entry.second.active;
        }));
    for (auto &entry : m_servers) {
        if (!entry.second.busy) {
            look(entry.second);
        }
    }
}

// ---- one server

/// The longest that a request of an older tenure may still run. Not the limit now in force: the old owner may
/// have admitted under a configuration that allowed more.
millis ownership_task::longestDeadline() const
{
    return {maxAllowedDeadlineMs};
}

ownership_view ownership_task::viewOf(const tracked &server) const
{
    ownership_view view;
    view.self = m_options.self;
    view.proposed = server.proposed;
    view.holder = server.record.owner;
    view.holderMine = server.active || mine(server.record);
    if (!view.holderMine && !view.holder.empty()) {
        const member *holder = memberNamed(view.holder);
        view.holderDead = holder == nullptr || holder->state == peer_state::Dead
            || (holder->incarnation != 0 && holder->incarnation != server.record.incarnation);
        view.holderSessionGone = server.holderSessionGone;
    }
    view.serviceUp = m_serviceUp;
    view.checksFencing = server.engine && server.engine->checksFencing;
    view.selfLeaving = m_leaving;
    view.selfLeased = m_lease != 0;
    view.settled = bootNow() >= server.mayRunAt;
    view.owned = m_owned;
    const auto daemons = std::max<std::size_t>(1, m_candidates.size());
    view.fairShare = static_cast<std::uint32_t>((m_servers.size() + daemons - 1) / daemons);
    return view;
}

void ownership_task::look(tracked &server)
{
    const millis now = bootNow();
    const bool concerned = server.active || server.proposed == m_options.self || mine(server.record);
    if (!concerned || m_members.empty()) {
        return;
    }
    if (!server.engine || (!server.active && now - server.engineReadAt > millis{engineRereadMs})) {
        readEngine(server);
        if (!server.engine) {
            return;
        }
    }
    if (server.active && server.previousOpen) {
        watchOldTenure(server);
    }
    if (server.refence && server.active) {
        server.refence = false;
        putFence(server, server.fencing);
        return;
    }
    if (server.retake || server.outageClaim) {
        if (m_serviceUp && m_lease != 0) {
            takeOver(server);
        }
        return;
    }
    if (m_leaving && !m_serviceUp && server.active) {
        // A release is a write, and the service is out. Rather than run into the time limit, admission stops
        // here; once this process is gone its peers claim the server on its engine, or wait for the lease.
        spdlog::warn("ownership: Giving {} up without the service.", server.where.name);
        lose(server);
        return;
    }
    const ownership_view view = viewOf(server);
    if (!server.active) {
        const bool orphan = view.holder.empty() || view.holderDead || server.lostTo != 0;
        const std::int64_t pause = orphan ? orphanRereadMs : quietRereadMs;
        const bool due = server.reread || server.revision < 0 || now - server.readAt > millis{pause};
        if (due && m_serviceUp) {
            server.reread = false;
            readRecord(server);
            return;
        }
        if (view.holderDead && !server.holderSessionGone && m_serviceUp
            && now - server.sessionReadAt > millis{orphanRereadMs}) {
            readSession(server);
            return;
        }
    }
    // Ours by the record but not yet on the engine (a lost answer, or the engine did not answer the claim).
    if (!server.active && mine(server.record) && server.revision > 0 && m_lease != 0) {
        if (server.lostTo != 0) {
            takeOver(server);
        } else {
            putFence(server, fencingOf(server.record.epoch));
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
            m_owned -= m_owned > 0 ? 1 : 0;
            release(server);
        }
        break;
    case ownership_step::Keep:
    case ownership_step::Wait:
        break;
    }
}

void ownership_task::readRecord(tracked &server)
{
    server.busy = true;
    m_kv.get(ownerRecordKey(server.where.name), [this, name = server.where.name](const kv_read &answer) {
        tracked *found = answered(name);
        if (found == nullptr) {
            return;
        }
        serviceAnswered(answer.status);
        if (answer.status != kv_status::Ok) {
            return;
        }
        found->readAt = bootNow() + millis{static_cast<std::int64_t>(m_random() % 500)};
        const owner_record before = found->record;
        found->record = {};
        found->revision = 0;
        if (!answer.entries.empty()) {
            error why;
            const auto record = parseOwnerRecord(answer.entries.front().value, why);
            if (!record) {
                spdlog::error("ownership: {}", message(why));
            }
            found->record = record.value_or(owner_record{});
            found->revision = answer.entries.front().modRevision;
        }
        if (found->record.owner != before.owner || found->record.incarnation != before.incarnation) {
            found->holderSessionGone = false;
            m_bus.post(owner_known{name, found->record.owner});
        }
    });
}

void ownership_task::readSession(tracked &server)
{
    server.busy = true;
    server.sessionReadAt = bootNow();
    m_kv.get(ownerSessionKey(server.record.owner), [this, name = server.where.name](const kv_read &answer) {
        tracked *found = answered(name);
        if (found == nullptr) {
            return;
        }
        serviceAnswered(answer.status);
        if (answer.status != kv_status::Ok) {
            return;
        }
        error why;
        const auto session = answer.entries.empty() ? std::optional<session_record>{}
                                                    : parseSessionRecord(answer.entries.front().value, why);
        found->holderSessionGone = !session || session->incarnation != found->record.incarnation;
    });
}

void ownership_task::readEngine(tracked &server)
{
    server.busy = true;
    server.engineReadAt = bootNow();
    auto engine = std::make_shared<engine_client>(m_orders, urlOf(server.where));
    engine->state(orderTimeout,
        [this, engine, name = server.where.name](const std::optional<engine_state> &state, const error &) {
            tracked *found = answered(name);
            if (found == nullptr) {
                return;
            }
            if (state) {
                found->engine = state;
            }
        });
}

void ownership_task::takeOver(tracked &server)
{
    // A few claims at once are free, as after one daemon's death; more are spread over time.
    const millis pause = pacedPause(m_members.size());
    if (m_claimAt > bootNow() + millis{pause.count * claimBurst}) {
        return;
    }
    m_claimAt = std::max(m_claimAt, bootNow()) + pause;
    owner_record next;
    next.owner = m_options.self;
    next.incarnation = m_options.incarnation;
    next.epoch = std::max({server.record.epoch, epochOf(server.lostTo), epochOf(server.fencing)}) + 1;
    server.busy = true;
    m_kv.compareAndSwap(ownerRecordKey(server.where.name), std::max<std::int64_t>(0, server.revision),
        toJson(next), 0, [this, next, name = server.where.name](const kv_write &written) {
            tracked *found = answered(name);
            if (found == nullptr) {
                return;
            }
            serviceAnswered(written.status);
            if (written.status != kv_status::Ok) {
                // Conflict: somebody else moved first. Ambiguous: the swap may stand. Reading again tells,
                // and a record that names this very process is then taken up as ours.
                if (found->active && written.status == kv_status::Conflict) {
                    error why;
                    const auto current = parseOwnerRecord(written.current.value, why);
                    if (!current || !mine(*current)) {
                        lose(*found);
                    } else {
                        found->record = *current;
                        found->revision = written.current.modRevision;
                        return;
                    }
                }
                found->revision = -1;
                return;
            }
            if (!mine(found->record) && !found->active) {
                found->previous = found->record;
            }
            found->record = next;
            found->revision = written.revision;
            found->lostTo = 0;
            spdlog::info("ownership: {} is ours, epoch {}.", name, next.epoch);
            putFence(*found, fencingOf(next.epoch));
        });
}

void ownership_task::claimOnEngine(tracked &server)
{
    const auto number = outageFencing(std::max(server.engine->fencing, server.lostTo), m_options.self);
    if (!number) {
        return;
    }
    spdlog::warn("ownership: The service is out. Claiming the orphan {} on its engine.", server.where.name);
    server.previous = server.record;
    server.outageClaim = true;
    putFence(server, *number);
}

void ownership_task::putFence(tracked &server, std::uint64_t fencing)
{
    if (!server.engine->checksFencing) {
        gained(server, fencing);
        return;
    }
    server.busy = true;
    auto engine = std::make_shared<engine_client>(m_orders, urlOf(server.where));
    engine->claim(fencing, m_options.self, orderTimeout,
        [this, engine, fencing, name = server.where.name](const engine_order_end &end) {
            tracked *found = answered(name);
            if (found == nullptr) {
                return;
            }
            if (end.ok) {
                gained(*found, fencing);
                return;
            }
            if (end.why.kind == error_kind::StaleFencing) {
                found->lostTo = std::max(found->lostTo, end.fencing);
                found->outageClaim = false;
                lose(*found);
            }
            found->engineReadAt = {};
            found->engine.reset();
        });
}

void ownership_task::gained(tracked &server, std::uint64_t fencing)
{
    const millis now = bootNow();
    const bool again = server.active;
    const bool first = server.previous.epoch == 0 && server.engine->fencing == 0;
    const bool inOrder = server.previous.owner.empty();
    server_gained news;
    news.server = server.where;
    news.fencing = fencing;
    news.checksFencing = server.engine->checksFencing;
    if (!again) {
        server.previousOpen = !first && !inOrder;
        server.mayEvictAt =
            first ? now : firstEviction(now, longestDeadline(), inOrder, {server.previous.drainMs});
        if (!inOrder && news.checksFencing) {
            // The engine refuses the old owner from here on; what it admitted ends within its deadline.
            server.mayEvictAt = now + longestDeadline();
        }
        for (const std::string &text : server.previous.pinned) {
            const auto colon = text.rfind(':');
            if (colon != std::string::npos) {
                news.pinned.push_back({text.substr(0, colon),
                    static_cast<std::uint32_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10))});
            }
        }
        if (server.previousOpen) {
            news.pinned = server.engine->resident;
        }
    }
    if (!again) {
        server.mayRunAt = firstRun(now, news.checksFencing, first || inOrder);
    }
    news.mayRunAt = server.mayRunAt;
    news.mayEvictAt = server.mayEvictAt;
    server.active = true;
    server.retake = false;
    server.releasing = false;
    server.fencing = fencing;
    server.outageClaim = server.outageClaim && epochOf(fencing) != server.record.epoch;
    if (fencing == fencingOf(server.record.epoch) && mine(server.record)) {
        server.outageClaim = false;
    }
    m_bus.post(news);
    if (m_leaseUntil > now) {
        leaseConfirmed(m_leaseUntil - m_ttl);
    }
}

void ownership_task::watchOldTenure(tracked &server)
{
    if (server.engine->checksFencing) {
        server.previousOpen = false;
        return;
    }
    const member *old = memberNamed(server.previous.owner);
    const bool gone =
        old == nullptr || (old->incarnation != 0 && old->incarnation != server.previous.incarnation);
    if (!gone) {
        return;
    }
    // The platform replaced or removed the instance, or it runs a newer process: the old process can neither
    // run nor wake up, so only what it had handed to the engine may still run.
    server.previousOpen = false;
    server.mayEvictAt = std::min(server.mayEvictAt, bootNow() + longestDeadline());
    m_bus.post(tenure_ended{server.where.name, server.mayEvictAt});
}

void ownership_task::lose(tracked &server)
{
    if (server.active) {
        spdlog::warn("ownership: {} is no longer ours.", server.where.name);
        m_bus.post(server_lost{server.where.name});
    }
    server.active = false;
    server.retake = false;
    server.releasing = false;
    server.outageClaim = false;
    server.revision = -1;
}

// ---- handing over in order

void ownership_task::release(tracked &server)
{
    spdlog::info("ownership: Releasing {} to {}.", server.where.name, server.proposed);
    server.releasing = true;
    m_bus.post(release_server{server.where.name});
}

void ownership_task::onReleased(const server_released &answer)
{
    tracked *server = find(answer.server);
    if (server == nullptr || !server->releasing) {
        return;
    }
    owner_record next;
    next.epoch = server->record.epoch;
    next.drainMs = answer.drain.count;
    for (const adapter_ref &ref : answer.running) {
        next.pinned.push_back(toString(ref));
    }
    server->busy = true;
    m_kv.compareAndSwap(ownerRecordKey(answer.server), std::max<std::int64_t>(0, server->revision),
        toJson(next), 0, [this, next, name = answer.server](const kv_write &written) {
            tracked *found = answered(name);
            if (found == nullptr) {
                return;
            }
            serviceAnswered(written.status);
            if (written.status != kv_status::Ok) {
                // Released or not: nothing new is admitted until the record was read again;
                // if it still names this process, the server is taken up anew.
                lose(*found);
                return;
            }
            found->active = false;
            found->releasing = false;
            found->record = next;
            found->revision = written.revision;
            found->readAt = bootNow();
            m_bus.post(server_lost{name});
            m_bus.post(owner_known{name, found->proposed});
            m_bus.post(send_to{found->proposed, owner_released{name}});
        });
}

}
