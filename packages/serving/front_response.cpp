#include "coordination/request_attributes.h"
#include "serving/front_pending.h"

#include <algorithm>
#include <utility>

// Receiving a server's response, and forwarding it to the caller.
namespace briarhead {

namespace {

/// Number of servers tried if connections are refused or time out before anything has been sent.
constexpr int maxUnsentAttempts = 3;
constexpr int firstServerError = 500;
/// The kernel closes the sockets of a crashed process one after another, the listening one perhaps last.
constexpr millis processExitTime{10};
constexpr std::string_view eventStreamType = "text/event-stream";
/// A longer response goes to the caller as it arrives.
constexpr std::size_t maxHeldResponseBytes = 256 * 1024;
/// Limit on what is kept of all responses, beyond smallResponseBytes of each.
constexpr std::size_t maxHeldBytes = 8 * 1024 * 1024;
constexpr std::size_t smallResponseBytes = 16 * 1024;
/// Limit on the body of a response that is not forwarded, because no server signed it or it was not run.
constexpr std::size_t maxDiscardedBytes = 64 * 1024;

bool isEventStream(const http_head &head)
{
    const std::string *type = findField(head, "content-type");
    return type == nullptr
        || equalsIgnoreCase(std::string_view(*type).substr(0, eventStreamType.size()), eventStreamType);
}

/// The outcome in logs and metrics. A caller is not told that a response of unknown end is whole.
const char *servedOutcome(send_result result)
{
    return result == send_result::Unknown ? "served_unverified" : "served";
}

}

bool front_task::onResponseHead(const request_ptr &pending, const http_head &head)
{
    const response_meta meta = m_codec.readResponse(head);
    if (!meta.requestId.empty() && meta.requestId != pending->request.id) {
        m_log.important("answer.of_another")
            .add("id", pending->request.id)
            .add("answer_id", meta.requestId)
            .add("server", pending->server);
        return false;
    }
    pending->responseHead = head;
    pending->responseMeta = meta;
    pending->lastEventAt = bootNow();
    m_notices.onResponse(pending->request.id, pending->server, pending->target.incarnation, meta);
    onResponseLimit(*pending);
    pending->streaming = pending->matchedRoute->kind == route_kind::Stream && isSuccess(head.status)
        && meta.signedByServer && isEventStream(head);
    if (pending->streaming && pending->origin && pending->targetStartedAtMs != 0) {
        confirmServer(pending);
    } else if (pending->streaming) {
        beginReply(*pending);
    }
    return true;
}

/// Sends the head of a stream to the caller, unless an earlier server's was sent.
void front_task::beginReply(pending_request &pending)
{
    if (pending.headSent) {
        return;
    }
    pending.headSent = true;
    // The caller is promised an end only if the server has announced one.
    const http_head &head = pending.responseHead;
    const bool framed = framingOf(head, pending.request.head.method == "HEAD") != body_framing::Connection;
    pending.callerFraming = framed ? body_framing::Chunked : body_framing::Connection;
    record(m_counters.firstResponse, static_cast<double>((bootNow() - pending.arrived).count));
    pending.reply->begin(head.status, m_codec.responseFields(head), pending.callerFraming);
}

void front_task::onResponseBody(const request_ptr &pending, const std::string &bytes)
{
    if (pending->held) {
        pending->held->body += bytes;
        countHeld(*pending);
        if (holdsTooMuch(*pending)) {
            cutResponse(pending, "too much arrived before its server confirmed its start");
        }
    } else if (pending->streaming) {
        onEvents(pending, bytes);
    } else {
        pending->lastEventAt = bootNow();
        onPlainBody(pending, bytes);
    }
}

void front_task::onEvents(const request_ptr &pending, const std::string &bytes)
{
    const millis now = bootNow();
    const std::uint64_t before = pending->eventStream.eventCount;
    const std::string complete = extractEvents(pending->eventStream, bytes);
    countHeld(*pending);
    if (pending->eventStream.partial.size() > maxEventBytes || holdsTooMuch(*pending)) {
        cutResponse(pending, "an event of the stream is too large");
        return;
    }
    if (complete.empty()) {
        return;
    }
    // Comments and blank lines are passed on, but show no progress.
    if (pending->eventStream.eventCount > before) {
        if (pending->firstEventReceived) {
            record(m_counters.eventGap, static_cast<double>((now - pending->lastEventAt).count));
            pending->longestEventGap = std::max(pending->longestEventGap, now - pending->lastEventAt);
        } else {
            pending->firstEventReceived = true;
            pending->promptReadTime = now - pending->sentAt;
            pending->firstEventDelay =
                pending->firstEventDelay.count < 0 ? now - pending->arrived : pending->firstEventDelay;
            notifyOwner(*pending, slot_event::FirstToken);
        }
        pending->lastEventAt = now;
        if (!pending->origin) {
            onFirstEvent(*pending);
        }
        if (countBytes(pending->responding, now)) {
            m_crashes.onServerSurvived(pending->attributes);
        }
    }
    pending->reply->write(complete);
}

/// Holds a response back while that is short, so that another server's can replace it if it fails.
void front_task::onPlainBody(const request_ptr &pending, const std::string &bytes)
{
    const response_meta &meta = pending->responseMeta;
    if (pending->passesThrough) {
        passToCaller(pending, bytes);
        return;
    }
    if (!meta.signedByServer || meta.notExecuted || pending->headSent) {
        pending->discardedBytes += bytes.size();
        if (pending->discardedBytes > maxDiscardedBytes) {
            cutResponse(pending, "its body is not for the caller, and too long");
        }
        return;
    }
    pending->responseBody += bytes;
    countHeld(*pending);
    if (holdsTooMuch(*pending)) {
        pending->passesThrough = true;
        const std::string held = std::exchange(pending->responseBody, {});
        releaseHeld(*pending);
        beginReply(*pending);
        pending->reply->onDrained([this, weak = std::weak_ptr<pending_request>(pending)] {
            const auto locked = weak.lock();
            if (locked && locked->activeSend) {
                m_paths.setReceiving(*locked->activeSend, true);
            }
        });
        passToCaller(pending, held);
    }
}

/// Passes bytes of a large response on, no faster than the caller takes them.
void front_task::passToCaller(const request_ptr &pending, const std::string &bytes)
{
    pending->reply->write(bytes);
    if (pending->activeSend && pending->reply->pendingBytes() > maxUnsentResponseBytes) {
        m_paths.setReceiving(*pending->activeSend, false);
    }
}

/// Ends a response that exceeds a limit: its connection is closed, and it counts as broken off.
void front_task::cutResponse(const request_ptr &pending, const char *detail)
{
    ++m_counters.oversized;
    m_paths.cancel(*pending->activeSend);
    pending->held.reset();
    onSendEnd(pending, brokenEnd(connection_end::Open), {error_kind::TooLarge, pending->server, detail});
}

/// Counts what is kept of the response.
void front_task::countHeld(pending_request &pending)
{
    const std::size_t now = pending.responseBody.size() + pending.eventStream.partial.size()
        + (pending.held ? pending.held->body.size() : 0);
    m_heldBytes += now - std::exchange(pending.heldBytes, now);
}

/// Whether the response, or all responses together, take too much memory.
bool front_task::holdsTooMuch(const pending_request &pending) const
{
    const bool small = pending.heldBytes <= smallResponseBytes;
    return (!pending.streaming && pending.heldBytes > maxHeldResponseBytes)
        || (!small && m_heldBytes > maxHeldBytes);
}

void front_task::releaseHeld(pending_request &pending)
{
    m_heldBytes -= std::exchange(pending.heldBytes, 0);
}

void front_task::onSendEnd(const request_ptr &pending, response_end end, const error &why)
{
    if (pending->held) {
        pending->held->end = {end, why};
        return;
    }
    pending->activeSend.reset();
    pending->inactivityTimer.reset();
    pending->restBytes = pending->eventStream.partial.size();
    --m_inFlight[pending->server];
    end.insideEvent = pending->streaming && isInsideEvent(pending->eventStream);
    end.endPromised = pending->headSent && pending->callerFraming != body_framing::Connection;
    const bool executed = pending->responseMeta.signedByServer && !pending->responseMeta.notExecuted;
    if (resultOf(end) == send_result::Unknown && executed) {
        checkServerProcess(pending, end, why);
    } else {
        concludeSend(pending, end, why);
    }
}

/// The kernel closes the connections of a crashed process in order, mostly between two events. So where an
/// orderly close is all that ended a response, a server whose process has ended has cut it off.
void front_task::checkServerProcess(const request_ptr &pending, const response_end &end, const error &why)
{
    const std::weak_ptr<pending_request> weak = pending;
    const auto conclude = [this, weak, end, why](connect_result result) {
        const auto locked = weak.lock();
        if (!locked || m_requests.count(locked->number) == 0) {
            return;
        }
        locked->serverSurvived = result == connect_result::Accepted;
        response_end known = end;
        known.connection = result == connect_result::Refused ? connection_end::Reset : end.connection;
        concludeSend(locked, known, why);
    };
    pending->processTimer = m_loop.timer(processExitTime, {}, [this, weak, conclude] {
        if (const auto locked = weak.lock()) {
            const auto timer =
                std::exchange(locked->processTimer, nullptr); // kept until the end of this call
            m_paths.checkProcess(locked->target, conclude);
        }
    });
}

void front_task::concludeSend(const request_ptr &pending, const response_end &end, const error &why)
{
    const std::string server = pending->server;
    const send_result result = resultOf(end);
    const bool ended = result == send_result::Complete || result == send_result::Unknown;
    const bool answered =
        ended && (pending->responseMeta.signedByServer || pending->responseMeta.notExecuted);
    const bool notExecuted = answered && pending->responseMeta.notExecuted;
    onPlainSendEnd(*pending, answered && !notExecuted);
    const bool failed = !answered || (pending->responseHead.status >= firstServerError && !notExecuted);
    // An overloaded server is avoided like a failing one: on a route that allows only one server, its
    // requests would be refused each time. A missing adapter (421) is not held against the server.
    const bool overloaded = notExecuted && pending->responseHead.status != misdirectedStatus;
    if (overloaded || !notExecuted) {
        recordOutcome(m_serverHealth[server], failed || overloaded, bootNow());
    }
    if (result == send_result::NotSent || notExecuted) {
        pending->unitsHeld = std::exchange(pending->unitsSpent, 0); // the request did not run
    }
    if (result == send_result::NotSent) {
        onUnsent(pending, why);
        return;
    }
    if (!answered) {
        onResponseBroken(pending, end, why);
        return;
    }
    // A failure doesn't show that the server would bear to begin a response.
    const bool responded =
        isSuccess(pending->responseHead.status) && (!pending->streaming || pending->firstEventReceived);
    if (!notExecuted && responded && (result == send_result::Complete || pending->serverSurvived)) {
        m_crashes.onServerSurvived(pending->attributes);
    }
    pending->mayHaveRun = pending->mayHaveRun || !notExecuted;
    const bool adapterMissing = notExecuted && pending->usesModelServer && pending->granted;
    if (isBrittleRejection(*pending) && peerUnderstandsFeatures(pending->owner)) {
        reportRejection(*pending);
    } else {
        notifyOwner(*pending, adapterMissing ? slot_event::AdapterNotLoaded : slot_event::Ended);
    }
    pending->responseResult = result;
    onResponseEnd(pending);
}

void front_task::onUnsent(const request_ptr &pending, const error &why)
{
    ++pending->unsentCount;
    notifyOwner(*pending, slot_event::NotSent);
    m_log.important("request.unsent")
        .add("id", pending->request.id)
        .add("server", pending->server)
        .add("why", why.detail);
    pending->excludedServers.insert(pending->server);
    pending->sentTo.erase(pending->server);
    if (why.kind == error_kind::ConnectionLost) {
        m_serverHealth[pending->server].unreachableAt = bootNow();
    }
    if (pending->unsentCount < maxUnsentAttempts) {
        dispatch(pending);
    } else {
        refuse(pending, "no server could be reached", retryAfterTransient);
    }
}

void front_task::onResponseBroken(const request_ptr &pending, const response_end &end, const error &why)
{
    pending->mayHaveRun = true;
    const auto known = m_store.view().servers.find(pending->server);
    const bool restarted =
        known != m_store.view().servers.end() && known->second.startedAtMs != pending->targetStartedAtMs;
    // The server may have restarted before the request was sent, with the view one update behind.
    pending->versionUncertain = pending->versionUncertain || (restarted && pending->eventStream.anyEvent);
    // Connections that a leaving or removed server closes don't count as crashes.
    const server_access access = m_notices.accessOf(pending->server);
    const bool notLeaving = access != server_access::Leaving && access != server_access::Removed;
    if (resultOf(end) == send_result::Broken && notLeaving && isSuspect(pending->responding)) {
        m_crashes.onResponseBroken(pending->attributes, pending->target);
    }
    notifyOwner(*pending, slot_event::Failed);
    m_log.important("request.broken")
        .add("id", pending->request.id)
        .add("fingerprint", contentKeyOf(pending->attributes))
        .add("server", pending->server)
        .add("route", pending->matchedRoute->name)
        .add("parts", partsText(*pending))
        .add("status", pending->responseHead.status)
        .add("begun", pending->headSent ? 1 : 0)
        .add("last_event", pending->eventStream.lastId)
        .add("framing", framingName(*pending))
        .add("connection", nameOf(end.connection))
        .add("rest_bytes", static_cast<std::int64_t>(pending->restBytes))
        .add("why", why.detail.empty() ? "the response is not signed by the server" : why.detail);
    beginNextResponse(pending->eventStream);
    pending->responseHead = {};
    pending->responseBody.clear();
    releaseHeld(*pending);
    retryBroken(pending);
}

/// Retries a request whose response broke off, once it is known whether that makes it blocked.
void front_task::retryBroken(const request_ptr &pending)
{
    if (mayRetry(*pending) && m_crashes.mayBecomeBlocked(pending->attributes)) {
        waitAndRetry(pending, &front_task::retryBroken);
        return;
    }
    if (retryElsewhere(pending, true, "broken")) {
        return;
    }
    if (pending->headSent) {
        pending->reply->abort();
        finish(pending, "cut_off");
        return;
    }
    fail(pending, 502, "the server's answer is missing or cut off");
}

/// Handles a response that is whole, or whose end is unknown.
void front_task::onResponseEnd(const request_ptr &pending)
{
    if (pending->responseMeta.notExecuted) {
        if (!retryElsewhere(pending, false, "not run")) {
            refuse(pending, "the server did not take it", earliestRetryAfter(*pending, retryAfterTransient));
        }
        return;
    }
    if (pending->streaming) {
        if (pending->responseResult == send_result::Complete) {
            m_origins.onStreamComplete(pending->request.id);
        }
        pending->reply->end();
        finish(pending, servedOutcome(pending->responseResult));
        return;
    }
    if (pending->passesThrough) {
        pending->reply->end();
        finish(pending,
            isSuccess(pending->responseHead.status) ? servedOutcome(pending->responseResult)
                                                    : "server_failed");
        return;
    }
    if (pending->headSent) { // the stream was resumed, and the resumed response is a failure
        pending->reply->abort();
        finish(pending, "cut_off");
        return;
    }
    const bool retryable = pending->responseHead.status >= firstServerError && mayRetry(*pending);
    if (retryable) {
        const http_head head = pending->responseHead;
        const std::string body = pending->responseBody;
        if (retryElsewhere(pending, true, "failed")) {
            return;
        }
        pending->responseHead = head;
        pending->responseBody = body;
    }
    forwardResponse(pending);
}

void front_task::forwardResponse(const request_ptr &pending)
{
    record(m_counters.firstResponse, static_cast<double>((bootNow() - pending->arrived).count));
    const int status = pending->responseHead.status;
    const auto fields = m_codec.responseFields(pending->responseHead);
    if (pending->responseResult == send_result::Unknown) {
        pending->reply->begin(status, fields, body_framing::Connection);
        pending->reply->write(pending->responseBody);
        pending->reply->end();
    } else {
        pending->reply->respond(status, fields, pending->responseBody);
    }
    finish(pending, isSuccess(status) ? servedOutcome(pending->responseResult) : "server_failed");
}

}
