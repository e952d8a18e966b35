#include "coordination/owner_task.h"

#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::int64_t tickIntervalMs = 50;
/// Retry time as long as no load or request has completed that could give a better estimate.
constexpr std::int64_t minRetryAfterMs = 500;
/// Polling interval of an engine that works normally: its state is a kilobyte or more if all slots are used.
/// After a failed run or order it is polled at the next tick.
constexpr std::int64_t pollIntervalMs = 3'000;

}

owner_task::owner_task(bus &messages, loop &eventLoop, http_client &http, http_client &guardedHttp,
    crash_task &crashes, options given)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_http(http)
    , m_guardedHttp(guardedHttp)
    , m_crashes(crashes)
    , m_options(std::move(given))
    , m_random(std::random_device{}())
{
    m_bus.on<received<run_request>>([this](const received<run_request> &event) {
        onRun(event.from, event.body);
    });
    m_bus.on<received<run_cancel>>([this](const received<run_cancel> &event) {
        onCancel(event.body);
    });
    m_bus.on<received<load_grant>>([this](const received<load_grant> &event) {
        onGrant(event.body.ticket);
    });
    m_bus.on<received<status_request>>([this](const received<status_request> &event) {
        onStatus(event.from, event.body);
    });
    m_bus.on<received<drain_request>>([this](const received<drain_request> &event) {
        // Every daemon records it, so that the server stays drained when its owner changes.
        if (event.body.drain) {
            m_drained.insert(event.body.server);
        } else {
            m_drained.erase(event.body.server);
        }
        if (owned_server *server = find(event.body.server); server != nullptr) {
            server->draining = event.body.drain;
            spdlog::info("owner: {} {} by an operator.", event.body.server,
                event.body.drain ? "was drained" : "was returned to service");
        }
    });
    m_bus.on<server_gained>([this](const server_gained &event) {
        onGained(event);
    });
    m_bus.on<server_lost>([this](const server_lost &event) {
        onLost(event.server);
    });
    m_bus.on<release_server>([this](const release_server &event) {
        onRelease(event.server);
    });
    m_bus.on<predecessor_exited>([this](const predecessor_exited &event) {
        if (owned_server *server = find(event.server); server != nullptr) {
            server->earliestEvictAt = event.earliestEvictAt;
        }
    });
    m_bus.on<lease_confirmed>([this](const lease_confirmed &event) {
        m_leaseUntil = event.until;
    });
    m_bus.on<owner_known>([this](const owner_known &event) {
        m_otherOwners[event.server] = event.owner;
    });
    m_bus.on<live_list_changed>([this](const live_list_changed &event) {
        onLiveList(event.view);
    });
    m_bus.on<config_changed>([this](const config_changed &event) {
        m_config = event.current;
    });
    m_bus.on<members_changed>([this](const members_changed &event) {
        m_brokers.clear();
        for (const member &peer : event.members) {
            if (peer.state == peer_state::Alive) {
                m_brokers.push_back(peer.name);
            }
        }
        m_liveDaemons = static_cast<std::uint32_t>(std::max<std::size_t>(1, m_brokers.size()));
    });
    m_bus.on<peer_unreachable>([this](const peer_unreachable &event) {
        // An unreachable broker is skipped at once, before membership notices its death.
        m_brokers.erase(std::remove(m_brokers.begin(), m_brokers.end(), event.peer), m_brokers.end());
        for (auto &entry : m_servers) {
            entry.second.ticketRequestedAt = {};
        }
        // The entry is unreachable, and with it the callers of its requests: cancel them to free their
        // places.
        std::vector<request_id> orphanedRequests;
        for (const auto &[id, job] : m_jobs) {
            if (job.entry == event.peer) {
                orphanedRequests.push_back(id);
            }
        }
        for (const request_id &id : orphanedRequests) {
            onCancel({id});
        }
    });
    m_bus.on<attribute_blocked>([this](const attribute_blocked &event) {
        refuseWaitingWith(event.attribute);
    });
    m_bus.on<drain_began>([this](const drain_began &) {
        m_isDraining = true;
    });
    m_timer = m_loop.timer({tickIntervalMs}, {tickIntervalMs}, [this] {
        tick();
    });
}

owner_task::owned_server *owner_task::find(const std::string &name)
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool owner_task::acceptsWork(const owned_server &server) const
{
    return server.isOwned && !server.releasing && !server.draining && !isServerLeaving(server);
}

/// Identifies the incarnation of the engine that was last seen.
std::string owner_task::incarnationOf(const owned_server &server)
{
    return server.instance.name + '@' + server.incarnation;
}

/// Lengthens the retry time by a random amount, so that callers that are refused together don't return
/// together.
millis owner_task::spreadRetryAfter(millis wait)
{
    const double factor = std::uniform_real_distribution<double>(1, 1 + retryAfterSpread)(m_random);
    return {static_cast<std::int64_t>(static_cast<double>(wait.count) * factor)};
}

bool owner_task::isServerLeaving(const owned_server &server) const
{
    return server.instance.leaving || isLeaving(m_notices, incarnationOf(server));
}

/// The remaining time for which the engine accepts no requests from this daemon; 0: it accepts them.
millis owner_task::remainingPause(const owned_server &server) const
{
    return pauseLeft(m_notices, incarnationOf(server), m_options.self, bootNow());
}

// ---- change of ownership

void owner_task::onGained(const server_gained &event)
{
    owned_server &server = m_servers[event.server.name];
    server.instance = event.server;
    server.releasing = false;
    server.releaseRequested = false;
    server.fencingToken = event.fencingToken;
    server.claimLost = false;
    server.checksFencing = event.checksFencing;
    server.earliestRunAt = event.earliestRunAt;
    server.earliestEvictAt = event.earliestEvictAt;
    if (server.isOwned) {
        return; // the same tenure under a higher fencing token
    }
    server.isOwned = true;
    server.stateKnown = false;
    server.draining = m_drained.count(event.server.name) != 0;
    server.pinsCleared = event.pinned.empty();
    const std::string url = "http://" + event.server.address + ":" + std::to_string(event.server.port);
    server.client = std::make_unique<engine_client>(m_http, url);
    server.guardedClient = std::make_unique<engine_client>(event.checksFencing ? m_http : m_guardedHttp, url);
    for (engine_client *client : {server.client.get(), server.guardedClient.get()}) {
        client->onResponseNotice([this, name = event.server.name](const response_notice &notice) {
            onServerNotice(name, notice);
        });
    }
    for (const adapter_ref &ref : event.pinned) {
        server.adapters[ref].pinned = true;
    }
    poll(server);
}

void owner_task::onLost(const std::string &name)
{
    owned_server *server = find(name);
    if (server == nullptr) {
        return;
    }
    server->isOwned = false;
    server->releaseRequested = false;
    releaseTicket(*server);
    refuseWaiting(*server, nullptr, error_kind::NotOwner, "the server changed hands", {});
    if (server->inFlight == 0) {
        m_servers.erase(name);
    }
}

void owner_task::onRelease(const std::string &name)
{
    owned_server *server = find(name);
    if (server == nullptr) {
        m_bus.post(server_released{name, {}, {}});
        return;
    }
    server->releasing = true;
    server->releaseRequested = true;
    releaseTicket(*server);
    refuseWaiting(*server, nullptr, error_kind::NotOwner, "the server changes hands", {});
    completeRelease(*server);
}

void owner_task::completeRelease(owned_server &server)
{
    const bool unloadPending =
        std::any_of(server.adapters.begin(), server.adapters.end(), [](const auto &entry) {
            return entry.second.unloading;
        });
    // An unload order of ours must not reach the engine after the next owner has begun to run requests, which
    // would break off a stream. If the engine checks fencing tokens, it refuses the order by then, and the
    // release need not wait for its response.
    if (!server.releaseRequested || (unloadPending && !server.checksFencing)) {
        return;
    }
    server.releaseRequested = false;
    server_released released{server.instance.name, {}, {}};
    const millis now = bootNow();
    millis streamsEndAt = now;
    for (const auto *jobs : {&m_jobs, &m_awaitingEngineEnd}) {
        for (const auto &[id, job] : *jobs) {
            if (job.request.server == server.instance.name) {
                streamsEndAt = std::max(streamsEndAt, job.deadline);
            }
        }
    }
    // An adapter on which an earlier owner's streams may still run stays pinned for the next owner.
    for (const auto &[ref, slot] : server.adapters) {
        if (slot.inFlight > 0 || slot.pinned || slot.loading) {
            released.running.push_back(ref);
        }
    }
    released.drain = drainAtRelease(now, streamsEndAt, server.earliestEvictAt);
    m_bus.post(released);
}

void owner_task::onLiveList(const live_view &view)
{
    m_replicaCandidates.clear();
    ++m_candidatesRevision;
    for (const auto &[name, instance] : view.instances) {
        if (instance.kind != instance_kind::Engine) {
            continue;
        }
        if (!instance.leaving) {
            m_replicaCandidates[instance.service].push_back({name, instance.failureDomain, false});
        }
        owned_server *server = find(name);
        if (server == nullptr) {
            continue;
        }
        const bool leavingNow = instance.leaving && !server->instance.leaving;
        server->instance.leaving = instance.leaving;
        if (leavingNow) {
            spdlog::info(
                "owner: {} is leaving according to the live list; sending it no new requests.", name);
            refuseWaiting(*server, nullptr, error_kind::NoServer, "the server is leaving", {});
        }
    }
}

// ---- timers

void owner_task::tick()
{
    const millis now = bootNow();
    checkDeadlines(now);
    for (auto &entry : m_servers) {
        owned_server &server = entry.second;
        if (!server.isOwned) {
            continue;
        }
        completeRelease(server);
        const bool operational =
            server.stateKnown && server.role == "serving" && !server.claimLost && server.pinsCleared;
        const millis interval{operational ? pollIntervalMs : startingPollMs};
        if (!server.pollPending && remainingPause(server) <= millis{} && now - server.polledAt >= interval) {
            poll(server);
        }
        scheduleLoads(server);
    }
    checkDrained();
}

void owner_task::checkDeadlines(millis now)
{
    std::vector<request_id> expired;
    for (const auto &[id, job] : m_jobs) {
        // A waiting request that can no longer be completed in time is refused now rather than at its
        // deadline; a running one is cancelled at its deadline.
        const auto server = m_servers.find(job.request.server);
        const double serviceMs = server == m_servers.end() ? 0 : server->second.meanServiceMs;
        const millis need =
            job.startedAt == millis{} ? millis{static_cast<std::int64_t>(serviceMs)} : millis{};
        millis start = now;
        if (job.startedAt == millis{} && server != m_servers.end()) {
            const auto wanted = server->second.adapters.find(job.request.adapter);
            start = std::max(now,
                slotAvailableAt(server->second,
                    wanted == server->second.adapters.end() ? nullptr : &wanted->second, now));
        }
        if (start + need >= job.deadline) {
            expired.push_back(id);
        }
    }
    std::vector<request_id> pastDeadline;
    for (const auto &[id, job] : m_awaitingEngineEnd) {
        if (now >= job.deadline) {
            pastDeadline.push_back(id);
        }
    }
    for (const request_id &id : pastDeadline) {
        onEngineEnded(id);
    }
    for (const request_id &id : expired) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        request_job &job = found->second;
        if (job.startedAt != millis{}) {
            cancelJob(job);
            continue;
        }
        owned_server &server = m_servers.at(job.request.server);
        const request_job expiredJob = job;
        dequeue(server, expiredJob);
        m_jobs.erase(id);
        const bool forLoad = !server.adapters[expiredJob.request.adapter].resident;
        run_end runEnd{id, outcome::NotRun, error_kind::DeadlineTooShort,
            forLoad ? "still waiting for the adapter's load" : "still waiting for a place in the batch"};
        const double queueMs = std::max(server.meanLoadMs, server.meanServiceMs);
        runEnd.retryAfterMs = std::max(minRetryAfterMs, static_cast<std::int64_t>(queueMs));
        runEnd.hint = hintOf(server);
        sendRunEnd(expiredJob, runEnd);
    }
}

void owner_task::checkDrained()
{
    const bool isIdle = m_isDraining && m_jobs.empty() && m_awaitingEngineEnd.empty()
        && std::none_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
               return entry.second.isOwned;
           });
    if (isIdle && !m_drainedPosted) {
        m_drainedPosted = true;
        m_bus.post(owner_drained{});
    }
}

}
