#include "serving/front_pending.h"

#include <algorithm>
#include <utility>

// Sending a request to a server, and retrying it on another one.
namespace briarhead {

namespace {

/// An idempotent request is retried elsewhere after its server has been silent for this many times the
/// route's latency target.
constexpr int inactivityTargets = 4;
/// A resumable stream without events for this long is resumed elsewhere: five times the longest pause that
/// callers accept.
constexpr millis streamInactivityTimeout{2'000};

}

/// Begins another attempt, in which the request is meant for `server`.
front_task::server_attempt &front_task::beginAttempt(pending_request &pending, const std::string &server)
{
    releaseHeld(pending);
    pending.attempt = {};
    pending.attempt.number = ++m_lastAttempt;
    pending.attempt.server = server;
    return pending.attempt;
}

/// How the request may be repeated if its latest send has an unknown outcome.
repeatability front_task::repeatabilityOf(const pending_request &pending)
{
    switch (pending.matchedRoute->kind) {
    case route_kind::Idempotent:
        return repeatability::Always;
    case route_kind::Stream: {
        const bool canContinue =
            pending.matchedRoute->resumable && canResume(pending.eventStream) && !pending.versionUncertain;
        return canContinue ? repeatability::AfterLastEvent : repeatability::Never;
    }
    case route_kind::Once:
        break;
    }
    return repeatability::Never;
}

/// What speaks against sending the request to another server.
send_objection front_task::objectionTo(const pending_request &pending)
{
    return objectionToSend(pending.progress, repeatabilityOf(pending), pending.matchedRoute->maxServers);
}

/// Guards the ways that lead to a send. No handler takes one that the facts forbid; if one does, the request
/// is not sent, and ends unless a server is still working on it.
bool front_task::maySendNow(const request_ptr &pending, send_objection objection)
{
    if (objection == send_objection::None) {
        return true;
    }
    ++m_counters.sendsForbidden;
    m_log.important("send.forbidden")
        .add("id", pending->request.id)
        .add("why", nameOf(objection))
        .add("stage", nameOf(pending->progress.stage))
        .add("server", pending->attempt.server);
    if (objection != send_objection::InProgress) {
        refuse(pending, "it can't be sent to another server", retryAfterTransient);
    }
    return false;
}

void front_task::send(const request_ptr &pending, const backend_server &server)
{
    // All sends go through here, so that changes since the request was dispatched are taken into account.
    if (!maySendNow(pending,
            objectionToSend(pending->progress, repeatabilityOf(*pending), pending->matchedRoute->maxServers,
                server.id))) {
        return;
    }
    if (isBlocked(*pending)) {
        notifyOwner(*pending, slot_event::Ended);
        refuseBlocked(pending);
        return;
    }
    if (!canEndInTime(*pending)) {
        notifyOwner(*pending, slot_event::Ended);
        refuse(pending, "this instance is ending", retryAfterOtherInstance);
        return;
    }
    const server_access access = m_notices.accessOf(server);
    const bool fits = isOfStreamVersion(*pending, server);
    if (!fits || !maySend(access, pending->attempt.granted)) {
        m_log.important("send.withheld")
            .add("id", pending->request.id)
            .add("server", server.id)
            .add("software", server.softwareVersion)
            .add("access", fits ? nameOf(access) : "other_version");
        dispatchElsewhere(pending, slot_event::NotSent);
        return;
    }
    if (!holdsUnits(*pending)) {
        acquireUnitsAndSend(pending);
        return;
    }
    server_attempt &attempt = pending->attempt;
    attempt.unitsSpent = std::exchange(pending->unitsHeld, 0);
    if (pending->account != nullptr) {
        countersOf(*pending->account).units += attempt.unitsSpent;
    }
    attempt.target = targetOf(server);
    attempt.softwareVersion = server.softwareVersion;
    attempt.startedAtMs = server.startedAtMs;
    pending->fallback.reset();
    ++m_inFlight[server.id];
    ++m_counters.sends;
    send_options options;
    options.server = server.id;
    options.account = pending->account == nullptr ? std::string() : pending->account->name;
    const std::int64_t newest = newestVersionOf(
        m_store.view().versions, adapterKey(pending->request.model, pending->request.adapter));
    options.adapterVersion = pending->usesModelServer ? std::max(pending->attempt.adapterVersion, newest) : 0;
    options.lastEventId = pending->eventStream.lastId;
    const auto limit = m_limits.find(server.id);
    m_log.ordinary("request.sent")
        .add("id", pending->request.id)
        .add("server", server.id)
        .add("software", server.softwareVersion)
        .add("last_event", options.lastEventId)
        .add("service", pending->service)
        .add("config", pending->config->version)
        .add("adapter_version", options.adapterVersion)
        .add("access", nameOf(access))
        .add("limit_per_second", limit == m_limits.end() ? -1.0 : limit->second.perSecond)
        .add("waited_ms", bootNow() - pending->arrived);
    attempt.lastProgressAt = bootNow();
    attempt.sentAt = attempt.lastProgressAt;
    attempt.isTimed = isTimedPlainRequest(*pending);
    if (attempt.isTimed) {
        recordPlainSend(m_plainLatency[server.id], attempt.sentAt);
    }
    setStage(*pending, request_stage::Sent);
    recordSend(pending->progress, server.id);
    const std::weak_ptr<pending_request> weak = pending;
    path_request request{pending->request.id, server.id, attempt.granted,
        pending->request.head.method == "HEAD", {}, pending->deadlineAt, {}};
    request.repeatable = [weak, number = attempt.number] {
        const auto locked = lockAt(weak, number, request_stage::Sent);
        return locked && mayRepeat(locked->progress, repeatabilityOf(*locked));
    };
    request.write = [this, weak, options, number = attempt.number]() -> std::optional<std::string> {
        const auto locked = lockAt(weak, number, request_stage::Sent);
        const auto known = m_store.view().servers.find(options.server);
        if (!locked || known == m_store.view().servers.end() || isBlocked(*locked)
            || !maySend(m_notices.accessOf(known->second), locked->attempt.granted)
            || !isOfStreamVersion(*locked, known->second)) {
            return std::nullopt;
        }
        send_options current = options;
        if (locked->request.deadline) {
            current.timeLeft = timeLeft(*locked);
        }
        return m_codec.writeRequest(locked->request, current);
    };
    attempt.sendId = m_paths.start(std::move(request), sendHandlers(pending));
    watchForInactivity(pending);
}

/// The handlers of the current attempt's response.
send_handlers front_task::sendHandlers(const request_ptr &pending)
{
    const auto current = [weak = std::weak_ptr<pending_request>(pending), number = pending->attempt.number] {
        return lockAt(weak, number, request_stage::Sent);
    };
    send_handlers handlers;
    handlers.onHead = [this, current](const http_head &head) {
        const auto locked = current();
        return locked ? onResponseHead(locked, head) : true;
    };
    handlers.onBody = [this, current](const std::string &bytes) {
        if (const auto locked = current()) {
            onResponseBody(locked, bytes);
        }
    };
    handlers.onEnd = [this, current](const response_end &end, const error &why) {
        if (const auto locked = current()) {
            onSendEnd(locked, end, why);
        }
    };
    return handlers;
}

void front_task::watchForInactivity(const request_ptr &pending)
{
    if (!mayRepeat(pending->progress, repeatabilityOf(*pending))) {
        return;
    }
    const millis timeout = pending->matchedRoute->kind == route_kind::Stream
        ? streamInactivityTimeout
        : std::max(minServerSilence, millis{pending->matchedRoute->target.count * inactivityTargets});
    pending->attempt.inactivityTimer = m_loop.timer(
        timeout, millis{timeout.count / 2}, [this, timeout, weak = std::weak_ptr<pending_request>(pending)] {
            const auto locked = weak.lock();
            if (locked && bootNow() - locked->attempt.lastProgressAt >= timeout) {
                onServerUnresponsive(locked);
            }
        });
}

/// Retries the request on another server if that is allowed. Returns whether it has been dispatched again.
bool front_task::retryElsewhere(const request_ptr &pending, const char *reason)
{
    pending->excludedServers.insert(pending->attempt.server);
    if (objectionTo(*pending) != send_objection::None || timeLeft(*pending).count <= 0
        || !canEndInTime(*pending)) {
        return false;
    }
    if (mayHaveRun(pending->progress) && m_crashes.mayBecomeBlocked(pending->attributes)) {
        m_log.important("repeat.denied")
            .add("id", pending->request.id)
            .add("why", "servers crashed while running this request");
        return false;
    }
    const std::size_t daemons = m_store.view().daemons.size();
    if (!tryAcquireRetry(m_retryBudget, pending->service, m_settings.retries, daemons, bootNow())) {
        ++m_counters.retriesDenied;
        m_log.important("repeat.denied")
            .add("id", pending->request.id)
            .add("why", "the retry budget is exhausted");
        return false;
    }
    ++m_counters.retries;
    m_log.important("repeat.taken")
        .add("id", pending->request.id)
        .add("after", pending->attempt.server)
        .add("why", reason);
    pending->serversTried = 0;
    dispatch(pending);
    return true;
}

void front_task::onServerUnresponsive(const request_ptr &pending)
{
    if (pending->progress.stage != request_stage::Sent || pending->reply->pendingBytes() != 0) {
        return; // while the caller doesn't take its bytes, no more are received
    }
    if (!mayTryAnotherServer(pending->progress, pending->matchedRoute->maxServers)
        || !mayRepeat(pending->progress, repeatabilityOf(*pending))) {
        return;
    }
    const std::string server = pending->attempt.server;
    m_log.important("server.quiet")
        .add("id", pending->request.id)
        .add("server", server)
        .add("silent_ms", bootNow() - pending->attempt.lastProgressAt);
    m_paths.cancel(pending->attempt.sendId);
    pending->attempt.held.reset();
    onSendEnd(pending, brokenEnd(connection_end::Timeout),
        {error_kind::Timeout, server, "the server has sent nothing within the inactivity timeout"});
}

/// Cancels the send in progress, if there is one, and notifies the server's owner.
void front_task::abandonServer(const request_ptr &pending)
{
    const server_attempt &attempt = pending->attempt;
    switch (pending->progress.stage) {
    case request_stage::Sent: {
        m_paths.cancel(attempt.sendId);
        --m_inFlight[attempt.server];
        onPlainSendEnd(*pending, false);
        if (isSuspect(attempt.responding)) {
            m_crashes.onSendAbandoned(pending->attributes, attempt.target);
        }
        const bool unresponsive =
            attempt.head.status == 0 && bootNow() - attempt.lastProgressAt > minServerSilence;
        if (unresponsive) {
            recordOutcome(m_serverHealth[attempt.server], true, bootNow());
        }
        break;
    }
    case request_stage::CheckingEnd:
        // The request's own check ends with it; the crash task makes another.
        onPlainSendEnd(*pending, true);
        reportSuspectedCrash(*pending);
        break;
    case request_stage::AwaitingSlot:
    case request_stage::AwaitingUnits:
        break;
    default:
        return; // no owner counts the request
    }
    notifyOwner(*pending, slot_event::Ended);
}

}
