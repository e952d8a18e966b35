// The requests of the owner task: admission, the queue of a server, the hand-over to its engine, and their
// end.
#include "coordination/owner_task.h"
#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

/// Queue places of a server, in batches: what can start within about this many service times.
constexpr std::uint32_t queueBatches = 4;
/// Weight of a new sample in the running means.
constexpr double meanWeight = 0.1;
/// A caller whose adapter finds no slot comes back this soon at the latest: an earlier owner's end shows in
/// about a second, and other servers' slots change as often.
constexpr millis keptSlotRetry{1'000};

}

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
    if (const millis pause = pauseOf(*server); pause > millis{}) {
        refuse(from, request, error_kind::Overloaded, "the server wants a pause", comeBackAfter(pause));
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
    while (server.held && server.known && !server.unclaimed && server.waiting > 0 && takesWork(server)
        && pauseOf(server) <= millis{} && server.inFlight < server.batchLimit) {
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
        {one.request.id, outcome::NotRun, error_kind::CrashesServers, "servers ended under this request",
            m_crashes.comeBackAfter(one.request.fingerprint).count});
    m_jobs.erase(one.request.id);
}

/// Waiting for an engine that it won't be handed to would only cost its caller time.
void owner_task::refuseWaitingLike(const std::string &fingerprint)
{
    std::vector<request_id> waiting;
    for (const auto &[id, one] : m_jobs) {
        const bool waits = one.startedAt == millis{} && !one.request.isProbe;
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
    if (!one.request.isProbe
        && m_crashes.isBlocked(one.request.fingerprint)) { // since it was admitted, or its entry hadn't heard
        refuseBlocked(one);
        return;
    }
    one.target = {server.where.name, startOf(server), {server.where.address, server.where.port}};
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
    if (how.result != outcome::Unknown || leaves(server)) {
        return;
    }
    if (how.why.kind == error_kind::ConnectionLost) {
        m_crashes.onBroken(fingerprint, one.target);
    } else {
        m_crashes.onGivenUp(fingerprint, one.target);
    }
    const bool restarted = one.target.start != startOf(server);
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
    hint.closed = !takesWork(server) || pauseOf(server) > millis{} || !server.known
        || server.role != "serving" || server.unclaimed;
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

}
