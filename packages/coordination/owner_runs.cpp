// Requests in the owner task: admission, queueing, sending to the engine, and completion.
#include "coordination/owner_task.h"
#include "coordination/rendezvous.h"
#include "coordination/request_attributes.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

/// Capacity of a server's queue, in batches: what can start within about this many service times.
constexpr std::uint32_t maxQueuedBatches = 4;
/// Weight of a new sample in the running means.
constexpr double newestSampleWeight = 0.1;
/// Maximum retry time for a caller whose adapter finds no slot. The end of a previous owner is noticed within
/// about a second, and the slots of other servers change as often.
constexpr millis maxPinnedSlotRetryAfter{1'000};

}

admission_decision owner_task::checkAdmission(
    const owned_server &server, const adapter_slot *wanted, const run_request &request) const
{
    admission_view queue;
    queue.inFlight = server.inFlight;
    queue.batchLimit = server.batchLimit;
    queue.waitingLimit = server.batchLimit * maxQueuedBatches;
    queue.waitingAhead = server.waiting;
    queue.meanServiceMs = server.meanServiceMs;
    queue.resident = wanted != nullptr && wanted->resident && !wanted->unloading;
    queue.loadMs = server.meanLoadMs;
    const millis now = bootNow();
    queue.slotFreeInMs =
        static_cast<double>(std::max<std::int64_t>((slotAvailableAt(server, wanted, now) - now).count, 0));
    for (const auto &[ref, slot] : server.adapters) {
        queue.loadsAhead += !slot.resident && !slot.waiting.empty() && !(ref == request.adapter) ? 1U : 0U;
    }
    const auto ownWaiting = server.callersWaiting.find(request.caller);
    queue.callerWaiting = ownWaiting == server.callersWaiting.end() ? 0 : ownWaiting->second;
    queue.callersWaiting = static_cast<std::uint32_t>(server.callersWaiting.size())
        + (ownWaiting == server.callersWaiting.end() ? 1U : 0U);
    admission_decision decision = admit(queue, request.rank, {request.deadlineMs});
    if (queue.slotFreeInMs > 0) {
        // The previous owner may turn out to have ended at any time, and other servers may have free slots.
        decision.retryAfter = std::min(decision.retryAfter, maxPinnedSlotRetryAfter);
    }
    return decision;
}

void owner_task::onRun(const std::string &from, const run_request &request)
{
    owned_server *server = find(request.server);
    if (server == nullptr || !server->isOwned || server->releasing) {
        const auto otherOwner = m_otherOwners.find(request.server);
        run_end runEnd{
            request.id, outcome::NotRun, error_kind::NotOwner, "not the owner of " + request.server};
        runEnd.owner = otherOwner == m_otherOwners.end() || otherOwner->second == m_options.self
            ? ""
            : otherOwner->second;
        m_bus.post(send_to{from, runEnd});
        return;
    }
    // A request id is used once, so this frame is a duplicate and must not run again.
    if (m_jobs.count(request.id) != 0) {
        return;
    }
    if (!acceptsWork(*server)) {
        refuse(from, request, error_kind::NoServer, "the server is leaving or drained", {});
        return;
    }
    if (const millis pause = remainingPause(*server); pause > millis{}) {
        refuse(from, request, error_kind::Overloaded, "the server wants a pause", spreadRetryAfter(pause));
        return;
    }
    const millis now = bootNow();
    if (!server->stateKnown || server->role != "serving" || server->claimLost
        || now < server->earliestRunAt) {
        refuse(from, request, error_kind::NoServer, "the server is starting",
            std::max(millis{startingPollMs}, server->earliestRunAt - now));
        return;
    }
    if (!isOrderAllowed(order_kind::Run, server->checksFencing, m_leaseUntil, now)) {
        refuse(from, request, error_kind::NotOwner, "the lease has lapsed", {startingPollMs});
        return;
    }
    adapter_slot &wanted = server->adapters[request.adapter];
    countArrivals(wanted.arrivals, 1, now);
    if (!wanted.resident && wanted.notBefore > now) {
        refuse(from, request, error_kind::LoadFailed, "loading failed lately", wanted.notBefore - now);
        return;
    }
    const admission_decision decision = checkAdmission(*server, &wanted, request);
    if (!decision.admitted) {
        refuse(from, request, decision.why, "queue of " + request.server, decision.retryAfter);
        return;
    }
    request_job &job = m_jobs[request.id];
    job.request = request;
    job.entry = from;
    job.arrived = now;
    job.deadline = now + millis{request.deadlineMs};
    job.waitedForLoad = !wanted.resident;
    enqueue(*server, job);
    dispatchWaiting(*server);
}

void owner_task::refuse(const std::string &from, const run_request &request, error_kind why,
    const std::string &detail, millis retryAfter)
{
    run_end runEnd{request.id, outcome::NotRun, why, detail, retryAfter.count};
    if (owned_server *server = find(request.server); server != nullptr) {
        runEnd.hint = hintOf(*server);
        if (const auto found = server->adapters.find(request.adapter); found != server->adapters.end()) {
            runEnd.replicas = replicasOf(*server, request.adapter, found->second);
        }
    }
    m_bus.post(send_to{from, runEnd});
}

void owner_task::enqueue(owned_server &server, request_job &job)
{
    server.adapters[job.request.adapter].waiting.push_back(job.request.id);
    ++server.waiting;
    ++server.callersWaiting[job.request.caller];
}

void owner_task::dequeue(owned_server &server, const request_job &job)
{
    auto &queue = server.adapters[job.request.adapter].waiting;
    queue.erase(std::remove(queue.begin(), queue.end(), job.request.id), queue.end());
    --server.waiting;
    const auto caller = server.callersWaiting.find(job.request.caller);
    if (caller != server.callersWaiting.end() && --caller->second == 0) {
        server.callersWaiting.erase(caller);
    }
}

/// The waiting request to start next, among those whose adapter is loaded: the highest priority first, then
/// the earliest deadline.
owner_task::request_job *owner_task::nextJob(owned_server &server)
{
    request_job *best = nullptr;
    for (auto &entry : server.adapters) {
        adapter_slot &slot = entry.second;
        if (!slot.resident || slot.unloading) {
            continue;
        }
        for (const request_id &id : slot.waiting) {
            request_job &job = m_jobs.at(id);
            if (best == nullptr || job.request.rank < best->request.rank
                || (job.request.rank == best->request.rank && job.deadline < best->deadline)) {
                best = &job;
            }
        }
    }
    return best;
}

void owner_task::dispatchWaiting(owned_server &server)
{
    while (server.isOwned && server.stateKnown && !server.claimLost && server.waiting > 0
        && acceptsWork(server) && remainingPause(server) <= millis{} && server.inFlight < server.batchLimit) {
        request_job *job = nextJob(server);
        if (job == nullptr) {
            break;
        }
        startJob(server, *job);
    }
    scheduleLoads(server);
}

void owner_task::refuseBlocked(const request_job &job)
{
    sendRunEnd(job,
        {job.request.id, outcome::NotRun, error_kind::CrashesServers, "servers ended under this request",
            m_crashes.blockedRetryAfter(job.request.attributes).count});
    m_jobs.erase(job.request.id);
}

/// Refuses the waiting requests with this attribute, which has become blocked. They would not be sent to
/// the engine anyway, and waiting would only cost their callers time.
void owner_task::refuseWaitingWith(const std::string &attribute)
{
    std::vector<request_id> waiting;
    for (const auto &[id, job] : m_jobs) {
        const bool waits = job.startedAt == millis{} && !job.request.isProbe;
        if (waits && hasAttribute(job.request.attributes, attribute)
            && m_crashes.isBlocked(job.request.attributes)) {
            waiting.push_back(id);
        }
    }
    for (const request_id &id : waiting) {
        const request_job job = m_jobs.at(id);
        dequeue(m_servers.at(job.request.server), job);
        refuseBlocked(job);
    }
}

void owner_task::startJob(owned_server &server, request_job &job)
{
    const millis now = bootNow();
    dequeue(server, job);
    if (!job.request.isProbe && m_crashes.isBlocked(job.request.attributes)) {
        // It was blocked after its admission, or its entry did not know that it is blocked.
        refuseBlocked(job);
        return;
    }
    job.target = {
        server.instance.name, incarnationOf(server), {server.instance.address, server.instance.port}};
    adapter_slot &slot = server.adapters[job.request.adapter];
    job.startedAt = now;
    job.stall = job.waitedForLoad ? std::max(millis{}, std::min(now, slot.loadedAt) - job.arrived) : millis{};
    ++slot.inFlight;
    ++server.inFlight;
    slot.lastUsed = now;
    engine_run run;
    run.path = job.request.path;
    run.body = job.request.body;
    run.id = job.request.id;
    run.fencingToken = server.fencingToken;
    run.rank = job.request.rank;
    run.idempotent = job.request.idempotent;
    run.deadline = job.deadline - now;
    const request_id id = job.request.id;
    job.call = server.client->run(
        run,
        [this, id](std::string_view adapter) {
            const auto found = m_jobs.find(id);
            if (found == m_jobs.end()) {
                return;
            }
            request_job &running = found->second;
            const millis queued = running.startedAt - running.arrived - running.stall;
            // The engine may have used another adapter or an older version, which shows in its own header. No
            // byte of the response has been sent to the caller yet.
            if (adapter != toString(running.request.adapter)) {
                spdlog::error("owner: {} ran {} for {}; dropping its response.", running.request.server,
                    adapter, toString(running.request.adapter));
                finishRun(id,
                    {outcome::Unknown, {error_kind::Internal, running.request.server, "wrong adapter"}, {}});
                return;
            }
            m_bus.post(send_to{
                running.entry, run_started{id, std::string(adapter), running.stall.count, queued.count}});
        },
        [this, id](std::string_view bytes) {
            const auto found = m_jobs.find(id);
            if (found != m_jobs.end()) {
                request_job &running = found->second;
                if (countBytes(running.responding, bootNow())) {
                    m_crashes.onServerSurvived(running.request.attributes);
                }
                m_bus.post(send_to{running.entry, run_bytes{id, std::string(bytes)}});
            }
        },
        [this, id](const engine_run_end &response) {
            finishRun(id, response);
        });
}

/// Tells the crash task whether the engine completed the request or may have crashed under it: its response
/// broke off, or this daemon gave up on the run.
void owner_task::reportToCrashTask(
    const request_job &job, const owned_server &server, const engine_run_end &response)
{
    const request_attributes &attributes = job.request.attributes;
    if (response.result == outcome::Done) {
        m_crashes.onServerSurvived(attributes);
    }
    if (response.result != outcome::Unknown || isServerLeaving(server) || !isSuspect(job.responding)) {
        return;
    }
    if (response.why.kind == error_kind::ConnectionLost) {
        m_crashes.onResponseBroken(attributes, job.target);
    } else {
        m_crashes.onSendAbandoned(attributes, job.target);
    }
    const bool restarted = job.target.incarnation != incarnationOf(server);
    if (restarted) { // the poll noticed it before the connection broke
        m_crashes.onServerCrashed(server.instance.name);
    }
}

void owner_task::finishRun(const request_id &id, const engine_run_end &response)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    const request_job job = std::move(found->second);
    m_jobs.erase(found);
    owned_server *server = find(job.request.server);
    if (server == nullptr) {
        return;
    }
    reportToCrashTask(job, *server, response);
    adapter_slot &slot = server->adapters[job.request.adapter];
    if (response.result == outcome::Unknown) {
        awaitEngineEnd(job);
    } else {
        --slot.inFlight;
        --server->inFlight;
    }
    const millis now = bootNow();
    if (response.result == outcome::Done) {
        const auto elapsedMs = static_cast<double>((now - job.startedAt).count);
        server->meanServiceMs +=
            (elapsedMs - server->meanServiceMs) * (server->meanServiceMs == 0 ? 1 : newestSampleWeight);
    }
    if (response.why.kind == error_kind::StaleFencing) {
        m_bus.post(fencing_refused{job.request.server, server->fencingToken + 1});
    }
    if (response.result != outcome::Done) {
        // The engine may have restarted, be leaving, or have lost the adapter: poll it at the next tick.
        server->polledAt = {};
    }
    run_end runEnd{id, response.result, response.why.kind, response.why.detail, response.retryAfter.count};
    runEnd.hint = hintOf(*server);
    runEnd.replicas = replicasOf(*server, job.request.adapter, slot);
    sendRunEnd(job, runEnd);
    if (!server->isOwned && server->inFlight == 0) {
        m_servers.erase(job.request.server);
        return;
    }
    dispatchWaiting(*server);
}

void owner_task::sendRunEnd(const request_job &job, const run_end &runEnd)
{
    if (!job.cancelled) {
        m_bus.post(send_to{job.entry, runEnd});
    }
}

void owner_task::onCancel(const run_cancel &cancel)
{
    const auto found = m_jobs.find(cancel.id);
    if (found != m_jobs.end()) {
        cancelJob(found->second);
    }
}

void owner_task::cancelJob(request_job &job)
{
    owned_server &server = m_servers.at(job.request.server);
    const request_id id = job.request.id;
    if (job.startedAt == millis{}) {
        dequeue(server, job);
        sendRunEnd(job,
            {id, outcome::NotRun, error_kind::Timeout, "cancelled before it started", 0, "", hintOf(server)});
        m_jobs.erase(id);
        scheduleLoads(server);
        return;
    }
    finishRun(
        id, {outcome::Unknown, {error_kind::Timeout, job.request.server, "cancelled while running"}, {}});
}

/// Keeps the place of a run that ended here but may still run on the engine. Otherwise, after a stream breaks
/// off or is cancelled, its slot would look free, and the adapter could be unloaded under a request that the
/// engine still runs. The place is released when the engine confirms the cancellation, at the latest at the
/// request's deadline, which the engine knows.
void owner_task::awaitEngineEnd(const request_job &job)
{
    m_awaitingEngineEnd[job.request.id] = job;
    const request_id id = job.request.id;
    m_servers.at(job.request.server)
        .client->cancel(job.call, id, [this, id](const engine_order_end &response) {
            if (response.ok) {
                onEngineEnded(id);
            }
        });
}

void owner_task::onEngineEnded(const request_id &id)
{
    const auto found = m_awaitingEngineEnd.find(id);
    if (found == m_awaitingEngineEnd.end()) {
        return;
    }
    const run_request request = std::move(found->second.request);
    m_awaitingEngineEnd.erase(found);
    owned_server *server = find(request.server);
    if (server == nullptr) {
        return;
    }
    --server->adapters[request.adapter].inFlight;
    --server->inFlight;
    if (!server->isOwned && server->inFlight == 0) {
        m_servers.erase(request.server);
        return;
    }
    dispatchWaiting(*server);
}

void owner_task::refuseWaiting(owned_server &server, const adapter_ref *adapter, error_kind why,
    const std::string &detail, millis retryAfter)
{
    std::vector<request_id> waiting;
    for (const auto &[ref, slot] : server.adapters) {
        if (adapter == nullptr || ref == *adapter) {
            waiting.insert(waiting.end(), slot.waiting.begin(), slot.waiting.end());
        }
    }
    for (const request_id &id : waiting) {
        const request_job job = m_jobs.at(id);
        dequeue(server, job);
        m_jobs.erase(id);
        run_end runEnd{id, outcome::NotRun, why, detail, retryAfter.count};
        runEnd.hint = hintOf(server);
        sendRunEnd(job, runEnd);
    }
}

/// The number of requests that wait for a place in the batch and whose adapter is loaded. Requests that wait
/// for a load take no place yet: if they counted as fill, other adapters' requests would go to servers that
/// have to load those adapters first.
std::uint32_t owner_task::waitingForBatch(const owned_server &server) const
{
    std::size_t count = 0;
    for (const auto &[ref, slot] : server.adapters) {
        count += slot.resident ? slot.waiting.size() : 0;
    }
    return static_cast<std::uint32_t>(count);
}

server_hint owner_task::hintOf(const owned_server &server) const
{
    server_hint hint;
    hint.server = server.instance.name;
    hint.inFlight = server.inFlight;
    hint.waiting = waitingForBatch(server);
    hint.batchLimit = server.batchLimit;
    hint.closed = !acceptsWork(server) || remainingPause(server) > millis{} || !server.stateKnown
        || server.role != "serving" || server.claimLost;
    hint.freeSlots = server.slots - std::min(server.slots, usedSlots(server));
    return hint;
}

std::vector<server_hint> owner_task::hints() const
{
    std::vector<server_hint> hints;
    for (const auto &[name, server] : m_servers) {
        if (server.isOwned) {
            hints.push_back(hintOf(server));
        }
    }
    return hints;
}

std::vector<std::string> owner_task::replicasOf(
    owned_server &server, const adapter_ref &adapter, adapter_slot &slot)
{
    const std::vector<replica_candidate> &candidates = m_replicaCandidates[server.instance.service];
    // Only the adapter's first server by rendezvous hash announces its replicas, so that entries get
    // consistent lists. That server changes only with the list of servers, and hashing thousands of them for
    // each response would be too expensive, so the result is cached.
    if (slot.candidatesRevision != m_candidatesRevision) {
        const auto nameAt = [&candidates](std::size_t i) -> std::string_view {
            return candidates[i].server;
        };
        const auto top = rendezvousTop(adapter.adapter, candidates.size(), 1, nameAt, [](std::size_t) {
            return true;
        });
        slot.primary = !top.empty() && candidates[top.front()].server == server.instance.name;
        slot.candidatesRevision = m_candidatesRevision;
    }
    if (!slot.primary) {
        return {};
    }
    replica_policy policy;
    if (m_config) {
        policy.maxReplicas = m_config->policy.maxReplicas;
        policy.stallWeight = m_config->policy.stallWeight;
    }
    policy.batchLimit = server.batchLimit;
    arrival_rate total = decayed(slot.arrivals, bootNow());
    total.fast *= std::max<std::uint32_t>(1, slot.replicas);
    total.slow *= std::max<std::uint32_t>(1, slot.replicas);
    slot.replicas =
        wantedReplicas(total, server.meanServiceMs, std::max<std::uint32_t>(1, slot.replicas), policy);
    return chooseReplicaServers(adapter.adapter, candidates, slot.replicas);
}

}
