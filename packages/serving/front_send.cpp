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

void front_task::send(const request_ptr &pending, const backend_server &server)
{
    // All sends go through here, so that changes since the request was dispatched are taken into account.
    if (isBlocked(*pending)) {
        notifyOwner(*pending, slot_event::Ended);
        refuseBlocked(pending);
        return;
    }
    pending->server = server.id;
    const server_access access = m_notices.accessOf(server);
    const bool fits = isOfStreamVersion(*pending, server);
    if (!fits || !maySend(access, pending->granted)) {
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
    pending->unitsSpent = std::exchange(pending->unitsHeld, 0);
    if (pending->account != nullptr) {
        countersOf(*pending->account).units += pending->unitsSpent;
    }
    pending->target = targetOf(server);
    pending->targetVersion = server.softwareVersion;
    pending->targetStartedAtMs = server.startedAtMs;
    pending->sentTo.insert(server.id);
    pending->responseHead = {};
    pending->responseMeta = {};
    pending->responseBody.clear();
    pending->passesThrough = false;
    pending->discardedBytes = 0;
    pending->held.reset();
    releaseHeld(*pending);
    pending->serverSurvived = false;
    pending->firstEventReceived = false;
    pending->responding = {};
    ++m_inFlight[server.id];
    ++m_counters.sends;
    send_options options;
    options.server = server.id;
    options.account = pending->account == nullptr ? std::string() : pending->account->name;
    const auto announced =
        m_store.view().versions.find(adapterKey(pending->request.model, pending->request.adapter));
    const std::int64_t newest = announced == m_store.view().versions.end() ? 0 : announced->second;
    options.adapterVersion = pending->usesModelServer ? std::max(pending->adapterVersion, newest) : 0;
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
    const std::weak_ptr<pending_request> weak = pending;
    send_handlers handlers;
    handlers.onHead = [this, weak](const http_head &head) {
        const auto locked = weak.lock();
        return locked ? onResponseHead(locked, head) : true;
    };
    handlers.onBody = [this, weak](const std::string &bytes) {
        if (const auto locked = weak.lock()) {
            onResponseBody(locked, bytes);
        }
    };
    handlers.onEnd = [this, weak](const response_end &end, const error &why) {
        if (const auto locked = weak.lock()) {
            onSendEnd(locked, end, why);
        }
    };
    pending->lastEventAt = bootNow();
    pending->sentAt = pending->lastEventAt;
    pending->isTimed = isTimedPlainRequest(*pending);
    if (pending->isTimed) {
        recordPlainSend(m_plainLatency[server.id], pending->sentAt);
    }
    path_request request{pending->request.id, server.id, pending->granted,
        pending->request.head.method == "HEAD", mayRetry(*pending), pending->deadlineAt, {}};
    request.write = [this, weak, options]() -> std::optional<std::string> {
        const auto locked = weak.lock();
        const auto known = m_store.view().servers.find(options.server);
        if (!locked || known == m_store.view().servers.end() || isBlocked(*locked)
            || !maySend(m_notices.accessOf(known->second), locked->granted)
            || !isOfStreamVersion(*locked, known->second)) {
            return std::nullopt;
        }
        send_options current = options;
        if (locked->request.deadline) {
            current.timeLeft = timeLeft(*locked);
        }
        return m_codec.writeRequest(locked->request, current);
    };
    pending->activeSend = m_paths.start(std::move(request), std::move(handlers));
    if (mayRetry(*pending)) {
        const millis timeout = pending->matchedRoute->kind == route_kind::Stream
            ? streamInactivityTimeout
            : std::max(minServerSilence, millis{pending->matchedRoute->target.count * inactivityTargets});
        pending->inactivityTimer = m_loop.timer(timeout, millis{timeout.count / 2}, [this, weak, timeout] {
            const auto locked = weak.lock();
            if (locked && bootNow() - locked->lastEventAt >= timeout) {
                onServerUnresponsive(locked);
            }
        });
    }
}

/// Retries the request on another server if that is allowed. `mayHaveRun`: the last server may have run it.
bool front_task::retryElsewhere(const request_ptr &pending, bool mayHaveRun, const char *reason)
{
    if (mayHaveRun && !mayRetry(*pending)) {
        return false;
    }
    pending->excludedServers.insert(pending->server);
    if (!mayTryAnotherServer(*pending) || timeLeft(*pending).count <= 0) {
        return false;
    }
    if (mayHaveRun && m_crashes.mayBecomeBlocked(pending->attributes)) {
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
        .add("after", pending->server)
        .add("why", reason);
    pending->serversTried = 0;
    dispatch(pending);
    return true;
}

void front_task::onServerUnresponsive(const request_ptr &pending)
{
    if (!pending->activeSend || pending->reply->pendingBytes() != 0) {
        return; // while the caller doesn't take its bytes, no more are received
    }
    if (!mayTryAnotherServer(*pending)) {
        return;
    }
    const std::string server = pending->server;
    m_log.important("server.quiet")
        .add("id", pending->request.id)
        .add("server", server)
        .add("silent_ms", bootNow() - pending->lastEventAt);
    m_paths.cancel(*pending->activeSend);
    pending->held.reset();
    onSendEnd(pending, brokenEnd(connection_end::Timeout),
        {error_kind::Timeout, server, "the server has sent nothing within the inactivity timeout"});
}

/// Cancels the send in progress, if there is one, and notifies the server's owner.
void front_task::abandonServer(const request_ptr &pending, slot_event event)
{
    if (pending->activeSend) {
        m_paths.cancel(*pending->activeSend);
        pending->activeSend.reset();
        --m_inFlight[pending->server];
        onPlainSendEnd(*pending, false);
        if (isSuspect(pending->responding)) {
            m_crashes.onSendAbandoned(pending->attributes, pending->target);
        }
        const bool unresponsive =
            pending->responseHead.status == 0 && bootNow() - pending->lastEventAt > minServerSilence;
        if (unresponsive) {
            recordOutcome(m_serverHealth[pending->server], true, bootNow());
        }
    }
    notifyOwner(*pending, event);
}

}
