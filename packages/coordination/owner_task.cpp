#include "coordination/owner_task.h"

#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::int64_t tickMs = 50;
/// Queue places of a server, in batches: what can start within about this many service times.
constexpr std::uint32_t queueBatches = 4;
/// Weight of a new sample in the running means.
constexpr double meanWeight = 0.1;
constexpr millis stateTimeout{2'000};
/// The time to come back after, where no load or request has been seen to its end yet to tell a better one.
constexpr std::int64_t shortestRetryMs = 500;
/// A caller whose adapter finds no slot comes back this soon at the latest: an earlier owner's end shows in
/// about a second, and other servers' slots change as often.
constexpr millis keptSlotRetry{1'000};
/// An engine's whole state is a kilobyte or more with full slots, so it is asked for seldom while all is
/// well, and at once after a run or order that failed.
constexpr std::int64_t pollMs = 3'000;
constexpr std::int64_t startingPollMs = 500;

}

owner_task::owner_task(bus &messages, loop &eventLoop, http_client &runs, http_client &guarded,
    crash_task &crashes, options given)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_runs(runs)
    , m_guarded(guarded)
    , m_crashes(crashes)
    , m_options(std::move(given))
    , m_random(std::random_device{}())
{
    m_bus.on<received<run_request>>([this](const received<run_request> &news) {
        onRun(news.from, news.body);
    });
    m_bus.on<received<run_cancel>>([this](const received<run_cancel> &news) {
        onCancel(news.body);
    });
    m_bus.on<received<load_grant>>([this](const received<load_grant> &news) {
        onGrant(news.body.ticket);
    });
    m_bus.on<received<status_ask>>([this](const received<status_ask> &news) {
        onStatus(news.from, news.body);
    });
    m_bus.on<received<drain_order>>([this](const received<drain_order> &news) {
        // Every daemon remembers it, so that the server stays drained when it changes hands.
        if (news.body.drain) {
            m_drained.insert(news.body.server);
        } else {
            m_drained.erase(news.body.server);
        }
        if (owned *server = find(news.body.server); server != nullptr) {
            server->draining = news.body.drain;
            spdlog::info("owner: {} {} by an operator.", news.body.server,
                news.body.drain ? "is drained" : "takes work again");
        }
    });
    m_bus.on<server_gained>([this](const server_gained &news) {
        onGained(news);
    });
    m_bus.on<server_lost>([this](const server_lost &news) {
        onLost(news.server);
    });
    m_bus.on<release_server>([this](const release_server &news) {
        onRelease(news.server);
    });
    m_bus.on<tenure_ended>([this](const tenure_ended &news) {
        if (owned *server = find(news.server); server != nullptr) {
            server->mayEvictAt = news.mayEvictAt;
        }
    });
    m_bus.on<lease_confirmed>([this](const lease_confirmed &news) {
        m_leaseUntil = news.until;
    });
    m_bus.on<owner_known>([this](const owner_known &news) {
        m_holders[news.server] = news.owner;
    });
    m_bus.on<live_list_changed>([this](const live_list_changed &news) {
        onLiveList(news.view);
    });
    m_bus.on<config_changed>([this](const config_changed &news) {
        m_config = news.current;
    });
    m_bus.on<members_changed>([this](const members_changed &news) {
        m_brokers.clear();
        for (const member &one : news.members) {
            if (one.state == peer_state::Alive) {
                m_brokers.push_back(one.name);
            }
        }
        m_members = static_cast<std::uint32_t>(std::max<std::size_t>(1, m_brokers.size()));
    });
    m_bus.on<link_broken>([this](const link_broken &news) {
        // A broker that can't be reached is passed over at once, not when membership has seen its death.
        m_brokers.erase(std::remove(m_brokers.begin(), m_brokers.end(), news.peer), m_brokers.end());
        for (auto &entry : m_servers) {
            entry.second.ticketAt = {};
        }
        // The entry is gone, and with it the callers of its requests: their places serve others.
        std::vector<request_id> orphans;
        for (const auto &[id, one] : m_jobs) {
            if (one.from == news.peer) {
                orphans.push_back(id);
            }
        }
        for (const request_id &id : orphans) {
            onCancel({id});
        }
    });
    m_bus.on<request_blocked>([this](const request_blocked &news) {
        refuseWaitingLike(news.fingerprint);
    });
    m_bus.on<drain_began>([this](const drain_began &) {
        m_leavingSoon = true;
    });
    m_timer = m_loop.timer({tickMs}, {tickMs}, [this] {
        tick();
    });
}

owner_task::owned *owner_task::find(const std::string &name)
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool owner_task::takesWork(const owned &server) const
{
    return server.held && !server.releasing && !server.draining && !server.leaving;
}

// ---- servers gained and lost

void owner_task::onGained(const server_gained &news)
{
    owned &server = m_servers[news.server.name];
    server.where = news.server;
    server.leaving = server.leaving || news.server.leaving;
    server.releasing = false;
    server.releaseAsked = false;
    server.fencing = news.fencing;
    server.unclaimed = false;
    server.checksFencing = news.checksFencing;
    server.mayRunAt = news.mayRunAt;
    server.mayEvictAt = news.mayEvictAt;
    if (server.held) {
        return; // the same tenure under a higher number
    }
    server.held = true;
    server.known = false;
    server.draining = m_drained.count(news.server.name) != 0;
    server.pinsKnown = news.pinned.empty();
    const std::string url = "http://" + news.server.address + ":" + std::to_string(news.server.port);
    server.runs = std::make_unique<engine_client>(m_runs, url);
    server.guarded = std::make_unique<engine_client>(news.checksFencing ? m_runs : m_guarded, url);
    for (const adapter_ref &ref : news.pinned) {
        server.adapters[ref].pinned = true;
    }
    poll(server);
}

void owner_task::onLost(const std::string &name)
{
    owned *server = find(name);
    if (server == nullptr) {
        return;
    }
    server->held = false;
    server->releaseAsked = false;
    dropTicket(*server);
    refuseWaiting(*server, nullptr, error_kind::NotOwner, "the server changed hands", {});
    if (server->inFlight == 0) {
        m_servers.erase(name);
    }
}

void owner_task::onRelease(const std::string &name)
{
    owned *server = find(name);
    if (server == nullptr) {
        m_bus.post(server_released{name, {}, {}});
        return;
    }
    server->releasing = true;
    server->releaseAsked = true;
    dropTicket(*server);
    refuseWaiting(*server, nullptr, error_kind::NotOwner, "the server changes hands", {});
    answerRelease(*server);
}

void owner_task::answerRelease(owned &server)
{
    const bool unloadOut = std::any_of(server.adapters.begin(), server.adapters.end(), [](const auto &entry) {
        return entry.second.unloading;
    });
    // Guards against: an unload of ours reaches the engine after the next owner, told that the release is in
    // order, has begun to run requests. It shows as a stream that breaks off. Where the engine checks fencing
    // numbers it refuses the order by then, and the release need not wait for its answer.
    if (!server.releaseAsked || (unloadOut && !server.checksFencing)) {
        return;
    }
    server.releaseAsked = false;
    server_released answer{server.where.name, {}, {}};
    const millis now = bootNow();
    millis streamsEnd = now;
    for (const auto *jobs : {&m_jobs, &m_lingering}) {
        for (const auto &[id, one] : *jobs) {
            if (one.request.server == server.where.name) {
                streamsEnd = std::max(streamsEnd, one.deadline);
            }
        }
    }
    // An adapter that an older owner's streams may still run on stays pinned for the next owner too.
    for (const auto &[ref, where] : server.adapters) {
        if (where.inFlight > 0 || where.pinned || where.loading) {
            answer.running.push_back(ref);
        }
    }
    answer.drain = releaseDrain(now, streamsEnd, server.mayEvictAt);
    m_bus.post(answer);
}

void owner_task::onLiveList(const live_view &view)
{
    m_sites.clear();
    ++m_sitesRevision;
    for (const auto &[name, instance] : view.instances) {
        if (instance.kind != instance_kind::Engine) {
            continue;
        }
        if (!instance.leaving) {
            m_sites[instance.service].push_back({name, instance.failureDomain, false});
        }
        if (owned *server = find(name); server != nullptr && instance.leaving && !server->leaving) {
            spdlog::info("owner: {} is leaving. No new work goes there.", name);
            server->leaving = true;
            refuseWaiting(*server, nullptr, error_kind::NoServer, "the server is leaving", {});
        }
    }
}

// ---- requests

admission_answer owner_task::askAdmission(
    const owned &server, const slot *wanted, const run_request &request) const
{
    admission_view queue;
    queue.inFlight = server.inFlight;
    queue.batchLimit = server.batchLimit;
    queue.waitingLimit = server.batchLimit * queueBatches;
    queue.waitingAhead = server.waiting;
    queue.meanServiceMs = server.serviceMs;
    queue.resident = wanted != nullptr && wanted->resident && !wanted->unloading;
    queue.loadMs = server.loadMs;
    const millis now = bootNow();
    queue.roomInMs =
        static_cast<double>(std::max<std::int64_t>((roomFrom(server, wanted, now) - now).count, 0));
    for (const auto &[ref, where] : server.adapters) {
        queue.loadsAhead += !where.resident && !where.waiting.empty() && !(ref == request.adapter) ? 1U : 0U;
    }
    const auto mine = server.callersWaiting.find(request.caller);
    queue.callerWaiting = mine == server.callersWaiting.end() ? 0 : mine->second;
    queue.callersWaiting = static_cast<std::uint32_t>(server.callersWaiting.size())
        + (mine == server.callersWaiting.end() ? 1U : 0U);
    admission_answer answer = admit(queue, request.rank, {request.deadlineMs});
    if (queue.roomInMs > 0) {
        // The earlier owner may be heard to have ended any time, and other servers may have room.
        answer.retryAfter = std::min(answer.retryAfter, keptSlotRetry);
    }
    return answer;
}

void owner_task::onRun(const std::string &from, const run_request &request)
{
    owned *server = find(request.server);
    if (server == nullptr || !server->held || server->releasing) {
        const auto holder = m_holders.find(request.server);
        run_end answer{
            request.id, outcome::NotRun, error_kind::NotOwner, "not the owner of " + request.server};
        answer.owner = holder == m_holders.end() || holder->second == m_options.self ? "" : holder->second;
        m_bus.post(send_to{from, answer});
        return;
    }
    // Guards against: the same frame delivered twice would run twice. A request id is used once.
    if (m_jobs.count(request.id) != 0) {
        return;
    }
    if (!takesWork(*server)) {
        refuse(from, request, error_kind::NoServer, "the server is leaving or drained", {});
        return;
    }
    const millis now = bootNow();
    if (!server->known || server->role != "serving" || server->unclaimed || now < server->mayRunAt) {
        refuse(from, request, error_kind::NoServer, "the server is starting",
            std::max(millis{startingPollMs}, server->mayRunAt - now));
        return;
    }
    if (!mayOrder(order_kind::Run, server->checksFencing, m_leaseUntil, now)) {
        refuse(from, request, error_kind::NotOwner, "the lease has lapsed", {startingPollMs});
        return;
    }
    slot &wanted = server->adapters[request.adapter];
    countArrivals(wanted.arrivals, 1, now);
    if (!wanted.resident && wanted.notBefore > now) {
        refuse(from, request, error_kind::LoadFailed, "loading failed lately", wanted.notBefore - now);
        return;
    }
    const admission_answer answer = askAdmission(*server, &wanted, request);
    if (!answer.admitted) {
        refuse(from, request, answer.why, "queue of " + request.server, answer.retryAfter);
        return;
    }
    job &one = m_jobs[request.id];
    one.request = request;
    one.from = from;
    one.arrived = now;
    one.deadline = now + millis{request.deadlineMs};
    one.waitedForLoad = !wanted.resident;
    enqueue(*server, one);
    pump(*server);
}

void owner_task::refuse(const std::string &from, const run_request &request, error_kind why,
    const std::string &detail, millis retryAfter)
{
    run_end answer{request.id, outcome::NotRun, why, detail, retryAfter.count};
    if (owned *server = find(request.server); server != nullptr) {
        answer.hint = hintOf(*server);
        if (const auto found = server->adapters.find(request.adapter); found != server->adapters.end()) {
            answer.replicas = replicasOf(*server, request.adapter, found->second);
        }
    }
    m_bus.post(send_to{from, answer});
}

void owner_task::enqueue(owned &server, job &one)
{
    server.adapters[one.request.adapter].waiting.push_back(one.request.id);
    ++server.waiting;
    ++server.callersWaiting[one.request.caller];
}

void owner_task::dequeue(owned &server, const job &one)
{
    auto &queue = server.adapters[one.request.adapter].waiting;
    queue.erase(std::remove(queue.begin(), queue.end(), one.request.id), queue.end());
    --server.waiting;
    const auto caller = server.callersWaiting.find(one.request.caller);
    if (caller != server.callersWaiting.end() && --caller->second == 0) {
        server.callersWaiting.erase(caller);
    }
}

/// The waiting request to start next: best priority, then the earliest deadline, of resident adapters.
owner_task::job *owner_task::nextJob(owned &server)
{
    job *best = nullptr;
    for (auto &entry : server.adapters) {
        slot &where = entry.second;
        if (!where.resident || where.unloading) {
            continue;
        }
        for (const request_id &id : where.waiting) {
            job &one = m_jobs.at(id);
            if (best == nullptr || one.request.rank < best->request.rank
                || (one.request.rank == best->request.rank && one.deadline < best->deadline)) {
                best = &one;
            }
        }
    }
    return best;
}

void owner_task::pump(owned &server)
{
    while (server.held && server.known && !server.unclaimed && server.waiting > 0
        && server.inFlight < server.batchLimit) {
        job *one = nextJob(server);
        if (one == nullptr) {
            break;
        }
        start(server, *one);
    }
    wantLoads(server);
}

void owner_task::refuseBlocked(const job &one)
{
    answerEnd(one,
        {one.request.id, outcome::NotRun, error_kind::EndsServers, "servers ended under this request",
            m_crashes.comeBackAfter(one.request.fingerprint).count});
    m_jobs.erase(one.request.id);
}

/// Waiting for an engine that it won't be handed to would only cost its caller time.
void owner_task::refuseWaitingLike(const std::string &fingerprint)
{
    std::vector<request_id> waiting;
    for (const auto &[id, one] : m_jobs) {
        const bool waits = one.startedAt == millis{} && !one.request.trial;
        if (waits && one.request.fingerprint == fingerprint) {
            waiting.push_back(id);
        }
    }
    for (const request_id &id : waiting) {
        const job one = m_jobs.at(id);
        dequeue(m_servers.at(one.request.server), one);
        refuseBlocked(one);
    }
}

void owner_task::start(owned &server, job &one)
{
    const millis now = bootNow();
    dequeue(server, one);
    if (!one.request.trial
        && m_crashes.isBlocked(one.request.fingerprint)) { // since it was admitted, or its entry hadn't heard
        refuseBlocked(one);
        return;
    }
    one.target = {server.where.name, server.where.name + '@' + server.incarnation,
        {server.where.address, server.where.port}};
    slot &where = server.adapters[one.request.adapter];
    one.startedAt = now;
    one.stall =
        one.waitedForLoad ? std::max(millis{}, std::min(now, where.loadedAt) - one.arrived) : millis{};
    ++where.inFlight;
    ++server.inFlight;
    where.lastUsed = now;
    engine_run run;
    run.path = one.request.path;
    run.body = one.request.body;
    run.id = one.request.id;
    run.fencing = server.fencing;
    run.rank = one.request.rank;
    run.idempotent = one.request.idempotent;
    run.deadline = one.deadline - now;
    const request_id id = one.request.id;
    one.call = server.runs->run(
        run,
        [this, id](std::string_view adapter) {
            const auto found = m_jobs.find(id);
            if (found == m_jobs.end()) {
                return;
            }
            job &running = found->second;
            const millis queued = running.startedAt - running.arrived - running.stall;
            // Guards against: an engine that answers from a neighbour's adapter or an older version. It shows
            // as another name in the engine's own header; no byte of that answer has gone out yet.
            if (adapter != toString(running.request.adapter)) {
                spdlog::error("owner: {} ran {} for {}. The answer is dropped.", running.request.server,
                    adapter, toString(running.request.adapter));
                end(id,
                    {outcome::Unknown, {error_kind::Internal, running.request.server, "wrong adapter"}, {}});
                return;
            }
            m_bus.post(send_to{
                running.from, run_started{id, std::string(adapter), running.stall.count, queued.count}});
        },
        [this, id](std::string_view bytes) {
            const auto found = m_jobs.find(id);
            if (found != m_jobs.end()) {
                m_bus.post(send_to{found->second.from, run_bytes{id, std::string(bytes)}});
            }
        },
        [this, id](const engine_run_end &how) {
            end(id, how);
        });
}

/// Whether the engine may have ended under a run: its answer broke off, or the run was given up.
void owner_task::tellCrashes(const job &one, const owned &server, const engine_run_end &how)
{
    const std::string &fingerprint = one.request.fingerprint;
    if (how.result == outcome::Done) {
        m_crashes.onAnswered(fingerprint);
    }
    if (how.result != outcome::Unknown || server.leaving) {
        return;
    }
    if (how.why.kind == error_kind::ConnectionLost) {
        m_crashes.onBroken(fingerprint, one.target);
    } else {
        m_crashes.onGivenUp(fingerprint, one.target);
    }
    const bool restarted = one.target.start != server.where.name + '@' + server.incarnation;
    if (restarted) { // seen by the poll before the connection broke
        m_crashes.onServerEnded(server.where.name);
    }
}

void owner_task::end(const request_id &id, const engine_run_end &how)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    const job one = std::move(found->second);
    m_jobs.erase(found);
    owned *server = find(one.request.server);
    if (server == nullptr) {
        return;
    }
    tellCrashes(one, *server, how);
    slot &where = server->adapters[one.request.adapter];
    if (how.result == outcome::Unknown) {
        linger(one);
    } else {
        --where.inFlight;
        --server->inFlight;
    }
    const millis now = bootNow();
    if (how.result == outcome::Done) {
        const auto took = static_cast<double>((now - one.startedAt).count);
        server->serviceMs += (took - server->serviceMs) * (server->serviceMs == 0 ? 1 : meanWeight);
    }
    if (how.why.kind == error_kind::StaleFencing) {
        m_bus.post(fencing_refused{one.request.server, server->fencing + 1});
    }
    if (how.result != outcome::Done) {
        // The engine may have restarted, be leaving, or no longer have the adapter. Look again.
        server->polledAt = {};
    }
    run_end answer{id, how.result, how.why.kind, how.why.detail, how.retryAfter.count};
    answer.hint = hintOf(*server);
    answer.replicas = replicasOf(*server, one.request.adapter, where);
    answerEnd(one, answer);
    if (!server->held && server->inFlight == 0) {
        m_servers.erase(one.request.server);
        return;
    }
    pump(*server);
}

void owner_task::answerEnd(const job &one, const run_end &answer)
{
    if (!one.cancelled) {
        m_bus.post(send_to{one.from, answer});
    }
}

void owner_task::onCancel(const run_cancel &cancel)
{
    const auto found = m_jobs.find(cancel.id);
    if (found != m_jobs.end()) {
        cancelJob(found->second);
    }
}

void owner_task::cancelJob(job &one)
{
    owned &server = m_servers.at(one.request.server);
    const request_id id = one.request.id;
    if (one.startedAt == millis{}) {
        dequeue(server, one);
        answerEnd(one,
            {id, outcome::NotRun, error_kind::Timeout, "cancelled before it started", 0, "", hintOf(server)});
        m_jobs.erase(id);
        wantLoads(server);
        return;
    }
    end(id, {outcome::Unknown, {error_kind::Timeout, one.request.server, "cancelled while running"}, {}});
}

/// Keeps the place of a run that ended here but perhaps not on the engine. Guards against: a stream breaks
/// off or is cancelled, its slot looks free, and the adapter is unloaded under a request that the engine
/// still runs. The place is given back when the engine confirms the cancel, at the latest at the request's
/// deadline, which the engine was told.
void owner_task::linger(const job &one)
{
    m_lingering[one.request.id] = one;
    const request_id id = one.request.id;
    m_servers.at(one.request.server).runs->cancel(one.call, id, [this, id](const engine_order_end &how) {
        if (how.ok) {
            lingered(id);
        }
    });
}

void owner_task::lingered(const request_id &id)
{
    const auto found = m_lingering.find(id);
    if (found == m_lingering.end()) {
        return;
    }
    const run_request request = std::move(found->second.request);
    m_lingering.erase(found);
    owned *server = find(request.server);
    if (server == nullptr) {
        return;
    }
    --server->adapters[request.adapter].inFlight;
    --server->inFlight;
    if (!server->held && server->inFlight == 0) {
        m_servers.erase(request.server);
        return;
    }
    pump(*server);
}

void owner_task::refuseWaiting(
    owned &server, const adapter_ref *only, error_kind why, const std::string &detail, millis retryAfter)
{
    std::vector<request_id> waiting;
    for (const auto &[ref, where] : server.adapters) {
        if (only == nullptr || ref == *only) {
            waiting.insert(waiting.end(), where.waiting.begin(), where.waiting.end());
        }
    }
    for (const request_id &id : waiting) {
        const job one = m_jobs.at(id);
        dequeue(server, one);
        m_jobs.erase(id);
        run_end answer{id, outcome::NotRun, why, detail, retryAfter.count};
        answer.hint = hintOf(server);
        answerEnd(one, answer);
    }
}

/// Requests whose adapter is loaded and that wait for a place in the batch. Those that wait for a load take
/// no place yet: counted as fill they would send other adapters' requests to servers that have to load them
/// too.
std::uint32_t owner_task::waitingForPlace(const owned &server) const
{
    std::size_t count = 0;
    for (const auto &[ref, where] : server.adapters) {
        count += where.resident ? where.waiting.size() : 0;
    }
    return static_cast<std::uint32_t>(count);
}

server_hint owner_task::hintOf(const owned &server) const
{
    server_hint hint;
    hint.server = server.where.name;
    hint.inFlight = server.inFlight;
    hint.waiting = waitingForPlace(server);
    hint.batchLimit = server.batchLimit;
    hint.closed = !takesWork(server) || !server.known || server.role != "serving" || server.unclaimed;
    hint.freeSlots = server.slots - std::min(server.slots, usedSlots(server));
    return hint;
}

std::vector<server_hint> owner_task::hints() const
{
    std::vector<server_hint> list;
    for (const auto &[name, server] : m_servers) {
        if (server.held) {
            list.push_back(hintOf(server));
        }
    }
    return list;
}

std::vector<std::string> owner_task::replicasOf(owned &server, const adapter_ref &which, slot &where)
{
    const std::vector<replica_site> &sites = m_sites[server.where.service];
    // Only the adapter's first server by rendezvous hash speaks for it, so entries hear one voice. Who that
    // is changes with the list of servers alone; hashing thousands of them for each answer would cost too
    // much.
    if (where.sitesRevision != m_sitesRevision) {
        const auto nameAt = [&sites](std::size_t i) -> std::string_view {
            return sites[i].server;
        };
        const auto top = rendezvousTop(which.adapter, sites.size(), 1, nameAt, [](std::size_t) {
            return true;
        });
        where.primary = !top.empty() && sites[top.front()].server == server.where.name;
        where.sitesRevision = m_sitesRevision;
    }
    if (!where.primary) {
        return {};
    }
    replica_policy policy;
    if (m_config) {
        policy.maxReplicas = m_config->policy.maxReplicas;
        policy.stallWeight = m_config->policy.stallWeight;
    }
    policy.batchLimit = server.batchLimit;
    arrival_rate whole = decayed(where.arrivals, bootNow());
    whole.fast *= std::max<std::uint32_t>(1, where.replicas);
    whole.slow *= std::max<std::uint32_t>(1, where.replicas);
    where.replicas =
        wantedReplicas(whole, server.serviceMs, std::max<std::uint32_t>(1, where.replicas), policy);
    return replicaSites(which.adapter, sites, where.replicas);
}

// ---- time

void owner_task::tick()
{
    const millis now = bootNow();
    checkDeadlines(now);
    for (auto &entry : m_servers) {
        owned &server = entry.second;
        if (!server.held) {
            continue;
        }
        answerRelease(server);
        const bool settled =
            server.known && server.role == "serving" && !server.unclaimed && server.pinsKnown;
        const millis pause{settled ? pollMs : startingPollMs};
        if (!server.polling && now - server.polledAt >= pause) {
            poll(server);
        }
        wantLoads(server);
    }
    drained();
}

void owner_task::checkDeadlines(millis now)
{
    std::vector<request_id> over;
    for (const auto &[id, one] : m_jobs) {
        // A waiting request that can't be answered in time any more gets its final answer now and not at its
        // deadline; a running one is broken off at the deadline.
        const auto server = m_servers.find(one.request.server);
        const double service = server == m_servers.end() ? 0 : server->second.serviceMs;
        const millis need = one.startedAt == millis{} ? millis{static_cast<std::int64_t>(service)} : millis{};
        millis start = now;
        if (one.startedAt == millis{} && server != m_servers.end()) {
            const auto wanted = server->second.adapters.find(one.request.adapter);
            start = std::max(now,
                roomFrom(server->second, wanted == server->second.adapters.end() ? nullptr : &wanted->second,
                    now));
        }
        if (start + need >= one.deadline) {
            over.push_back(id);
        }
    }
    std::vector<request_id> surelyEnded;
    for (const auto &[id, one] : m_lingering) {
        if (now >= one.deadline) {
            surelyEnded.push_back(id);
        }
    }
    for (const request_id &id : surelyEnded) {
        lingered(id);
    }
    for (const request_id &id : over) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        job &one = found->second;
        if (one.startedAt != millis{}) {
            cancelJob(one);
            continue;
        }
        owned &server = m_servers.at(one.request.server);
        const job late = one;
        dequeue(server, late);
        m_jobs.erase(id);
        const bool forLoad = !server.adapters[late.request.adapter].resident;
        run_end answer{id, outcome::NotRun, error_kind::DeadlineTooShort,
            forLoad ? "still waiting for the adapter's load" : "still waiting for a place in the batch"};
        const double queueMs = std::max(server.loadMs, server.serviceMs);
        answer.retryAfterMs = std::max(shortestRetryMs, static_cast<std::int64_t>(queueMs));
        answer.hint = hintOf(server);
        answerEnd(late, answer);
    }
}

void owner_task::drained()
{
    const bool quiet = m_leavingSoon && m_jobs.empty() && m_lingering.empty()
        && std::none_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
               return entry.second.held;
           });
    if (quiet && !m_drainedSaid) {
        m_drainedSaid = true;
        m_bus.post(owner_drained{});
    }
}

// ---- what the engine says

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
    if (state.leaving && !server.leaving) {
        spdlog::info("owner: {} says that it is leaving.", server.where.name);
        server.leaving = true;
        refuseWaiting(server, nullptr, error_kind::NoServer, "the server is leaving", {});
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
        && mayOrder(order_kind::Role, server.checksFencing, m_leaseUntil, now)) {
        server.baseOrdered = true;
        spdlog::info("owner: {} loads its base model {}.", server.where.name, server.where.service);
        server.guarded->role("serving", server.where.service, server.fencing, stateTimeout,
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
            if (!found->checksFencing || report->fencing < found->fencing) {
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
