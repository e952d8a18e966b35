#include "daemon/entry_task.h"

#include "coordination/key_task.h"
#include "coordination/rendezvous.h"
#include "daemon/responses.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

/// By then the load balancer sends callers elsewhere.
constexpr millis retryAfterEnding{1'000};

constexpr std::int64_t tickIntervalMs = 100;
/// The owner enforces the deadline. The entry responds itself this long after it, in case the owner cannot be
/// reached.
constexpr std::int64_t ownerResponseGraceMs = 250;
constexpr std::int64_t replicaHintRetentionMs = 10'000;
/// A server whose hint says that it accepts no requests is considered again after this.
constexpr std::int64_t closedHintRetentionMs = 2'000;
/// An unused caller limit is dropped after this, when its token bucket is full again whatever its rate.
constexpr std::int64_t idleLimitRetentionMs = 60'000;
constexpr std::int64_t defaultRetryAfterMs = 500;
/// Pause before a request is rerouted while a server changes its owner.
constexpr std::int64_t redirectPauseMs = 50;
constexpr std::uint32_t maxRedirects = 40;
/// Limit on a response that is collected, for a caller that wants it whole or for the home of its key.
constexpr std::size_t maxCollectedResponse = 4 * 1024 * 1024;

}

entry_task::entry_task(bus &messages, loop &eventLoop, http_client &serviceClient, crash_task &crashes,
    metrics &daemonMetrics, options taskOptions)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_serviceClient(serviceClient)
    , m_crashes(crashes)
    , m_metrics(daemonMetrics)
    , m_options(std::move(taskOptions))
    , m_random(std::random_device{}())
{
    m_bus.on<config_changed>([this](const config_changed &event) {
        m_config = event.current;
        followConfig(m_metrics, *m_config, bootNow());
    });
    m_bus.on<members_changed>([this](const members_changed &event) {
        m_members = event.members;
        m_daemons = keyHomeCandidates(event.members);
    });
    m_bus.on<live_list_changed>([this](const live_list_changed &event) {
        onLiveList(event.view);
    });
    m_bus.on<received<run_started>>([this](const received<run_started> &event) {
        onStarted(event.body);
    });
    m_bus.on<received<run_bytes>>([this](const received<run_bytes> &event) {
        onBytes(event.body);
    });
    m_bus.on<received<run_end>>([this](const received<run_end> &event) {
        onEnd(event.body);
    });
    m_bus.on<received<key_response>>([this](const received<key_response> &event) {
        onKeyResponse(event.from, event.body);
    });
    m_bus.on<peer_unreachable>([this](const peer_unreachable &event) {
        onPeerUnreachable(event.peer);
    });
    m_timer = m_loop.timer({tickIntervalMs}, {tickIntervalMs}, [this] {
        onTick();
    });
}

std::size_t entry_task::open() const
{
    return m_pending.size();
}

bool entry_task::ready() const
{
    return m_config != nullptr && m_config->version > 0 && !m_members.empty() && m_listReceived;
}

void entry_task::onLiveList(const live_view &view)
{
    m_listReceived = true;
    const auto updateServers = [this, &view](
                                   std::map<std::string, server_state> &servers, instance_kind kind) {
        for (const auto &[name, instance] : view.instances) {
            if (instance.kind == kind) {
                servers[name].instance = instance;
            }
        }
        for (auto entry = servers.begin(); entry != servers.end();) {
            const bool removed = view.instances.count(entry->first) == 0;
            if (removed && !entry->second.instance.leaving) {
                m_crashes.onServerCrashed(entry->first);
            }
            entry = removed ? servers.erase(entry) : std::next(entry);
        }
    };
    updateServers(m_servers, instance_kind::Engine);
    updateServers(m_serviceServers, instance_kind::Service);
}

// ---- routing to the owner of an engine

std::string entry_task::ownerOf(const std::string &server) const
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && !found->second.owner.empty()) {
        return found->second.owner;
    }
    return rendezvousFirst("server/" + server, m_daemons);
}

std::vector<server_view> entry_task::serverViews(const std::string &baseModel) const
{
    const millis now = bootNow();
    std::vector<server_view> list;
    for (const auto &[name, server] : m_servers) {
        if (server.instance.service != baseModel) {
            continue;
        }
        server_view view;
        view.name = name;
        view.failureDomain = server.instance.failureDomain;
        view.baseModel = server.instance.service;
        const bool closed = server.hint.closed && now - server.hintReceivedAt < millis{closedHintRetentionMs};
        view.leaving = server.instance.leaving || closed;
        view.unavailable = breakerOpen(server.circuitBreaker, now);
        view.sentHere = server.sentHere;
        view.sentSinceHint = server.sentSinceHint;
        view.hintedInFlight = server.hint.inFlight;
        view.hintedWaiting = server.hint.waiting;
        view.batchLimit = std::max<std::uint32_t>(1, server.hint.batchLimit);
        view.freeSlots = server.hint.freeSlots;
        view.hintAge = server.hintReceivedAt == millis{} ? millis{1'000'000} : now - server.hintReceivedAt;
        list.push_back(std::move(view));
    }
    return list;
}

/// Called before each attempt. A request under which servers crashed is not sent to another one, unless it is
/// due for a probe and this daemon is chosen to send it. Returns true if the request is blocked; it is then
/// held until that is decided, and routed or refused.
bool entry_task::holdIfBlocked(const request_ptr &request)
{
    if (request->isProbe || !m_crashes.isBlocked(request->attributes)) {
        return false;
    }
    // Keeps the request in m_pending, so that a deadline or a closed connection is handled meanwhile.
    request->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[request->id] = request;
    m_crashes.requestProbe(request->attributes, [this, id = request->id](bool granted) {
        onProbeDecision(id, granted);
    });
    return true;
}

void entry_task::onProbeDecision(const request_id &id, bool granted)
{
    const request_ptr request = removePending(id);
    if (!request) {
        return;
    }
    request->isProbe = granted;
    if (!granted && m_crashes.isBlocked(request->attributes)) {
        respondFailure(request,
            {outcome::NotRun, {error_kind::CrashesServers, request->path, "servers ended under this request"},
                m_crashes.blockedRetryAfter(request->attributes)});
    } else if (request->service.empty()) {
        route(request);
    } else {
        routeService(request);
    }
}

/// The only place that changes a request's stage. A change that is not allowed is not made.
void entry_task::setStage(pending_request &request, request_stage next)
{
    const request_stage before = request.progress.stage;
    if (!changeStage(request.progress, next)) {
        spdlog::error("entry: {} stays in stage {}, from which it can't go to {}.", toString(request.id),
            nameOf(before), nameOf(next));
    }
}

void entry_task::beginShutdown(const shutdown_plan &plan)
{
    m_shutdown = running_shutdown{plan, bootNow()};
}

/// Whether the request can end before this process does if it is sent now.
bool entry_task::canEndInTime(const pending_request &request) const
{
    const millis now = bootNow();
    return !m_shutdown
        || briarhead::canEndInTime(
            m_shutdown->plan, now - m_shutdown->began, request.deadline - now, std::nullopt);
}

bool entry_task::mayRoute(const request_ptr &request)
{
    const repeatability repeats =
        request->idempotent && !request->responseStarted ? repeatability::Always : repeatability::Never;
    const send_objection objection = objectionToSend(request->progress, repeats, maxAttempts);
    if (objection == send_objection::None && !canEndInTime(*request)) {
        respondFailure(request,
            {outcome::NotRun, {error_kind::NotReady, m_options.self, "this instance is ending"},
                retryAfterEnding});
        return false;
    }
    if (objection == send_objection::None) {
        setStage(*request, request_stage::Choosing);
        return true;
    }
    spdlog::error("entry: {} is not sent to a server: {} in stage {}.", toString(request->id),
        nameOf(objection), nameOf(request->progress.stage));
    if (objection != send_objection::InProgress) {
        respondFailure(request,
            {outcome::NotRun, {error_kind::Internal, request->server, "it can't be sent to another server"},
                {}});
    }
    return false;
}

/// Records that bytes of the request may leave for its server from now on.
void entry_task::beginSend(pending_request &request)
{
    setStage(request, request_stage::Sent);
    recordSend(request.progress, request.server);
    request.sentToServer = true;
    ++request.attempts;
}

void entry_task::route(const request_ptr &request)
{
    if (!mayRoute(request) || holdIfBlocked(request)) {
        return;
    }
    const millis now = bootNow();
    route_query query;
    query.adapter = request->adapter;
    query.baseModel = request->baseModel;
    query.failureDomain = m_options.failureDomain;
    query.prefix = request->prefix;
    query.tried = request->tried;
    const auto hint = m_replicaHints.find(request->adapter.adapter);
    if (hint != m_replicaHints.end() && now - hint->second.receivedAt < millis{replicaHintRetentionMs}) {
        query.replicas = hint->second.servers;
    }
    const auto servers = serverViews(request->baseModel);
    const auto server =
        chooseServer(query, servers, request->config->policy.stallWeight, m_options.routing, m_random);
    if (!server) {
        request_result end{outcome::NotRun, request->lastError, request->lastRetryAfter};
        if (end.why.kind == error_kind::None) {
            end.why = {error_kind::NoServer, request->baseModel, "no backend server can take the request"};
        }
        if (end.retryAfter.count == 0) {
            end.retryAfter = {1'000};
        }
        respondFailure(request, end);
        return;
    }
    request->server = *server;
    sendToOwner(request, ownerOf(*server));
}

void entry_task::sendToOwner(const request_ptr &request, const std::string &owner)
{
    const bool reachable = std::find(m_daemons.begin(), m_daemons.end(), owner) != m_daemons.end();
    if (!reachable) {
        m_servers[request->server].owner.clear();
        rerouteAfter(request, redirectPauseMs);
        return;
    }
    server_state &server = m_servers[request->server];
    breakerAllows(server.circuitBreaker, bootNow());
    request->id = {m_options.self, m_options.incarnation, ++m_sequence};
    request->owner = owner;
    request->engineStarted = false;
    beginSend(*request);
    ++server.sentHere;
    ++server.sentSinceHint;
    m_pending[request->id] = request;
    run_request message;
    message.id = request->id;
    message.server = request->server;
    message.adapter = request->adapter;
    message.configVersion = request->config->version;
    message.caller = request->caller;
    message.rank = request->rank;
    message.deadlineMs = std::max<std::int64_t>(1, (request->deadline - bootNow()).count);
    message.idempotent = request->idempotent;
    message.prefix = request->prefix;
    message.path = request->path;
    message.body = request->body;
    message.attributes = request->attributes;
    message.isProbe = request->isProbe;
    m_bus.post(send_to{owner, std::move(message)});
}

void entry_task::rerouteAfter(const request_ptr &request, std::int64_t pauseMs)
{
    if (++request->redirects > maxRedirects || bootNow() + millis{pauseMs} >= request->deadline) {
        respondFailure(request,
            {outcome::NotRun, {error_kind::NoServer, request->server, "its owner can't be reached"},
                {1'000}});
        return;
    }
    // Keeps the request in m_pending, so that a deadline or a closed connection is handled during the pause.
    request->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[request->id] = request;
    request->retryTimer = m_loop.timer({pauseMs}, {}, [this, id = request->id] {
        if (const request_ptr rerouted = removePending(id)) {
            route(rerouted);
        }
    });
}

entry_task::request_ptr entry_task::removePending(const request_id &id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return {};
    }
    request_ptr request = found->second;
    m_pending.erase(found);
    releaseServer(*request);
    return request;
}

void entry_task::releaseServer(pending_request &request)
{
    if (!request.sentToServer) {
        return;
    }
    request.sentToServer = false;
    auto &servers = request.service.empty() ? m_servers : m_serviceServers;
    const auto server = servers.find(request.server);
    if (server != servers.end() && server->second.sentHere > 0) {
        --server->second.sentHere;
    }
}

void entry_task::applyHint(const server_hint &hint)
{
    const auto found = m_servers.find(hint.server);
    if (found != m_servers.end()) {
        found->second.hint = hint;
        found->second.hintReceivedAt = bootNow();
        found->second.sentSinceHint = 0;
    }
}

// ---- responses from owners

void entry_task::onStarted(const run_started &event)
{
    const auto found = m_pending.find(event.id);
    // A late or stray response matches no current attempt and is dropped.
    if (found == m_pending.end()) {
        return;
    }
    pending_request &request = *found->second;
    request.engineStarted = true;
    request.stall = {event.stallMs};
    request.queued = {event.queuedMs};
    // Guards against a response from another adapter or version. The owner has checked what the engine
    // reported; this checks the owner's report against the version that the request was bound to at
    // admission, before the first byte is sent to the caller.
    if (event.adapter != toString(request.adapter)) {
        spdlog::error("entry: {} answered with {} for {}; attempt canceled.", request.owner, event.adapter,
            toString(request.adapter));
        const request_ptr mismatched = removePending(event.id);
        m_bus.post(send_to{mismatched->owner, run_cancel{event.id}});
        onAttemptEnd(mismatched, outcome::Unknown, error_kind::Internal, "wrong adapter", {});
    }
}

void entry_task::onBytes(const run_bytes &event)
{
    const auto found = m_pending.find(event.id);
    if (found == m_pending.end()) {
        return;
    }
    pending_request &request = *found->second;
    if (request.firstByteAt == millis{}) {
        request.firstByteAt = bootNow();
    }
    request.tokens += countTokens(event.bytes);
    if (!request.stream || !request.key.empty()) {
        request.responseEvents += event.bytes;
    }
    if (request.responseEvents.size() > maxCollectedResponse) {
        cancelOversized(event.id, "the response is too large to be collected");
        return;
    }
    if (!request.stream) {
        return;
    }
    const std::string complete = extractEvents(request.events, event.bytes);
    if (request.events.partial.size() > maxEventBytes) {
        cancelOversized(event.id, "an event of the response is too large");
        return;
    }
    if (complete.empty()) {
        return;
    }
    if (!request.responseStarted) {
        request.responseStarted = true;
        request.reply->begin(200,
            {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"},
                {"X-Briarhead-Adapter", toString(request.adapter)}, {"X-Briarhead-Server", request.server},
                {"X-Request-Id", toString(request.id)}});
    }
    request.reply->write(complete);
}

/// Cancels a run whose response exceeds a limit; it counts as broken off.
void entry_task::cancelOversized(const request_id &id, const char *detail)
{
    spdlog::error("entry: The response of {} is canceled: {}.", m_pending.at(id)->server, detail);
    const request_ptr request = removePending(id);
    m_bus.post(send_to{request->owner, run_cancel{id}});
    onAttemptEnd(request, outcome::Unknown, error_kind::ConnectionLost, detail, {});
}

void entry_task::onEnd(const run_end &event)
{
    applyHint(event.hint);
    const request_ptr request = removePending(event.id);
    if (!request) {
        return;
    }
    if (!event.replicas.empty()) {
        m_replicaHints[request->adapter.adapter] = {event.replicas, bootNow()};
    }
    if (event.why == error_kind::NotOwner) {
        m_servers[request->server].owner = event.owner == request->owner ? "" : event.owner;
    }
    onAttemptEnd(request, event.result, event.why, event.detail, {event.retryAfterMs});
}

void entry_task::onAttemptEnd(
    const request_ptr &request, outcome result, error_kind why, const std::string &detail, millis retryAfter)
{
    const millis now = bootNow();
    setStage(*request, request_stage::Judged);
    if (why == error_kind::NotOwner) {
        recordNotSent(request->progress, request->server);
    } else if (result == outcome::NotRun) {
        recordNotRun(request->progress, request->server);
    }
    server_state *server = m_servers.count(request->server) != 0 ? &m_servers[request->server] : nullptr;
    if (result == outcome::Done) {
        if (server != nullptr) {
            breakerSuccess(server->circuitBreaker);
        }
        countSuccess(m_retryBudget);
        respondComplete(request);
        return;
    }
    const bool serverFailed = result == outcome::Unknown || why == error_kind::ConnectionLost;
    if (server != nullptr && serverFailed) {
        breakerFailure(server->circuitBreaker, now);
    }
    request->lastError = {why, request->server, detail};
    request->lastRetryAfter = retryAfter;
    attempt_result end;
    end.result = result;
    end.why = why;
    end.idempotent = request->idempotent;
    end.responseStarted = request->responseStarted;
    end.attempts = request->attempts;
    end.deadlineLeft = request->deadline - now;
    switch (decideRetry(end, m_retryBudget)) {
    case retry_decision::RetryNamedOwner:
        --request->attempts;
        rerouteAfter(request, m_servers[request->server].owner.empty() ? redirectPauseMs : 0);
        return;
    case retry_decision::RetryOtherServer:
        request->tried.push_back(request->server);
        request->responseEvents.clear();
        beginNextResponse(request->events);
        request->tokens = 0;
        route(request);
        return;
    case retry_decision::Stop:
        break;
    }
    respondFailure(request, {result, request->lastError, retryAfter});
}

void entry_task::onPeerUnreachable(const std::string &peer)
{
    std::vector<request_id> sentToPeer;
    std::vector<request_id> awaitingPeer;
    for (const auto &[id, request] : m_pending) {
        if (request->sentToServer && request->owner == peer) {
            sentToPeer.push_back(id);
        } else if (request->awaitingKeyHome && request->keyHome == peer) {
            awaitingPeer.push_back(id);
        }
    }
    for (const request_id &id : sentToPeer) {
        const request_ptr request = removePending(id);
        for (auto &entry : m_servers) {
            if (entry.second.owner == peer) {
                entry.second.owner.clear();
            }
        }
        request->redirects = 0;
        onAttemptEnd(
            request, outcome::Unknown, error_kind::ConnectionLost, "the owner " + peer + " was lost", {});
    }
    for (const request_id &id : awaitingPeer) {
        if (const request_ptr request = removePending(id)) {
            onKeyHomeLost(request);
        }
    }
}

// ---- responses to callers

void entry_task::respondComplete(const request_ptr &request)
{
    if (request->stream) {
        reportToKeyHome(*request, outcome::Done, 200, request->responseEvents);
        if (!request->responseStarted) {
            request->reply->begin(200, {{"Content-Type", "text/event-stream"}});
        }
        // The end mark has come, so this is a last event without its empty line.
        request->reply->write(request->events.partial);
        request->reply->end();
    } else {
        const std::string body =
            assembleCompletion(request->responseEvents, request->chat, toString(request->adapter));
        if (body.empty()) {
            respondFailure(request,
                {outcome::Unknown,
                    {error_kind::Internal, request->server, "the engine's answer can't be read"}, {}});
            return;
        }
        reportToKeyHome(*request, outcome::Done, 200, body);
        request->reply->respond(200,
            {{"Content-Type", "application/json"}, {"X-Briarhead-Adapter", toString(request->adapter)},
                {"X-Briarhead-Server", request->server}, {"X-Request-Id", toString(request->id)},
                {"X-Briarhead-Stall-Ms", std::to_string(request->stall.count)}},
            body);
    }
    setStage(*request, request_stage::Finished);
    recordResult(*request, outcome::Done, error_kind::None);
}

void entry_task::respondFailure(const request_ptr &request, const request_result &attempt)
{
    // An idempotent request may run on a server that is then lost, be retried and be refused. Its outcome
    // must not be reported as "not run": the last attempt's outcome is that of the request only if no earlier
    // attempt may have run.
    request_result end = attempt;
    if (mayHaveRun(request->progress) && end.result == outcome::NotRun) {
        end.result = outcome::Unknown;
    }
    // A lost server announces no retry time, and without one callers retry at once.
    if (end.result == outcome::NotRun && end.retryAfter.count <= 0) {
        end.retryAfter = {defaultRetryAfterMs};
    }
    setStage(*request, request_stage::Finished);
    reportToKeyHome(*request, end.result, 0, "");
    recordResult(*request, end.result, end.why.kind);
    if (!request->responseStarted) {
        respondError(*request->reply, end);
        return;
    }
    // Part of the stream has been sent: the error is appended as an event, and the connection is closed
    // without the final chunk, so that no client takes the partial response for a complete one.
    request->reply->write("data: " + errorBody(end) + "\n\n");
    request->reply->abort();
}

void entry_task::recordResult(const pending_request &request, outcome result, error_kind why)
{
    const millis now = bootNow();
    const auto limit = m_callerLimits.find(request.limitKey);
    if (!request.limitKey.empty() && limit != m_callerLimits.end()) {
        releaseCallerLimit(limit->second, now - request.receivedAt);
    }
    request_record completed;
    completed.caller = request.caller;
    completed.adapter = request.adapter.adapter;
    completed.server = request.server;
    completed.service = !request.service.empty();
    completed.result = result;
    completed.why = why;
    completed.rank = request.rank;
    completed.firstToken =
        request.firstByteAt == millis{} ? millis{} : request.firstByteAt - request.receivedAt;
    completed.endToEnd = now - request.receivedAt;
    completed.stall = request.stall;
    completed.queued = request.queued;
    completed.tokens = request.tokens;
    observe(m_metrics, completed, *request.config, now);
}

void entry_task::onCallerDisconnected(const request_ptr &request)
{
    const auto found = m_pending.find(request->id);
    if (found == m_pending.end() || found->second != request) {
        return;
    }
    // A caller whose connection broke may repeat a request that must not run twice. The run continues, and
    // its response is stored at the key's home for the repetition; canceling it would lose the response for
    // good.
    if (request->keyClaimed || request->awaitingKeyHome) {
        request->callerDisconnected = true;
        return;
    }
    // Nobody will read the response, so the attempt is canceled to free the engine for other requests.
    const bool sentToServer = request->sentToServer;
    if (request->progress.stage == request_stage::CheckingEnd) {
        reportSuspectedCrash(*request);
    }
    setStage(*request, request_stage::Finished);
    removePending(request->id);
    if (request->serviceCall != 0) {
        m_serviceClient.cancel(request->serviceCall);
    } else if (sentToServer) {
        m_bus.post(send_to{request->owner, run_cancel{request->id}});
    }
    const auto limit = m_callerLimits.find(request->limitKey);
    if (!request->limitKey.empty() && limit != m_callerLimits.end()) {
        releaseCallerLimit(limit->second, bootNow() - request->receivedAt);
    }
}

/// Drops expired replica hints and idle caller limits, so that memory depends on current use and not on the
/// number of adapters and callers ever seen.
void entry_task::dropExpired(millis now)
{
    m_nextCleanupAt = now + millis{replicaHintRetentionMs};
    std::erase_if(m_replicaHints, [now](const auto &entry) {
        return now - entry.second.receivedAt >= millis{replicaHintRetentionMs};
    });
    std::erase_if(m_callerLimits, [now](const auto &entry) {
        return entry.second.inFlight == 0 && now - entry.second.filledAt >= millis{idleLimitRetentionMs};
    });
}

void entry_task::onTick()
{
    const millis now = bootNow();
    if (now >= m_nextCleanupAt) {
        dropExpired(now);
    }
    std::vector<request_id> overdue;
    for (const auto &[id, request] : m_pending) {
        if (now > request->deadline + millis{ownerResponseGraceMs}) {
            overdue.push_back(id);
        }
    }
    for (const request_id &id : overdue) {
        const bool sentToServer = m_pending.at(id)->sentToServer;
        const request_ptr request = removePending(id);
        if (sentToServer && request->service.empty()) {
            m_bus.post(send_to{request->owner, run_cancel{id}});
        }
        if (request->serviceCall != 0) {
            m_serviceClient.cancel(request->serviceCall);
        }
        if (request->progress.stage == request_stage::CheckingEnd) {
            reportSuspectedCrash(*request);
        }
        respondFailure(request,
            {mayHaveRun(request->progress) ? outcome::Unknown : outcome::NotRun,
                {error_kind::Timeout, request->server, "no answer by the deadline"}, {}});
    }
}

}
