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
            .add("server", pending->attempt.server);
        return false;
    }
    pending->attempt.head = head;
    pending->attempt.meta = meta;
    pending->attempt.lastProgressAt = bootNow();
    m_notices.onResponse(
        pending->request.id, pending->attempt.server, pending->attempt.target.incarnation, meta);
    onResponseLimit(*pending);
    pending->attempt.streaming = pending->matchedRoute->kind == route_kind::Stream && isSuccess(head.status)
        && meta.signedByServer && isEventStream(head);
    if (pending->attempt.streaming && needsConfirmedStart(*pending)) {
        confirmServer(pending);
    } else if (pending->attempt.streaming) {
        beginReply(pending, caller_content::Events);
    }
    return true;
}

/// Sends the head of the current attempt's response to the caller, unless it has one.
void front_task::beginReply(const request_ptr &pending, caller_content content)
{
    const bool hasHead = pending->progress.callerHas != caller_content::Nothing;
    recordForwarded(pending->progress, content);
    if (hasHead) {
        return;
    }
    pending->headAttempt = pending->attempt.number;
    // The caller is promised an end only if the server has announced one.
    const http_head &head = pending->attempt.head;
    const bool framed = framingOf(head, pending->request.head.method == "HEAD") != body_framing::Connection;
    pending->callerFraming = framed ? body_framing::Chunked : body_framing::Connection;
    record(m_counters.firstResponse, static_cast<double>((bootNow() - pending->arrived).count));
    pending->reply->onDrained([this, weak = std::weak_ptr<pending_request>(pending)] {
        const auto locked = weak.lock();
        if (locked && locked->progress.stage == request_stage::Sent) {
            m_paths.setReceiving(locked->attempt.sendId, true);
        }
    });
    pending->reply->begin(head.status, m_codec.responseFields(head), pending->callerFraming);
}

void front_task::onResponseBody(const request_ptr &pending, const std::string &bytes)
{
    if (pending->attempt.held) {
        pending->attempt.held->body += bytes;
        countHeld(*pending);
        if (holdsTooMuch(*pending)) {
            cutResponse(pending, "too much arrived before its server confirmed its start");
        }
    } else if (pending->attempt.streaming) {
        onEvents(pending, bytes);
    } else {
        pending->attempt.lastProgressAt = bootNow();
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
        if (pending->attempt.firstEventReceived) {
            record(m_counters.eventGap, static_cast<double>((now - pending->attempt.lastProgressAt).count));
            pending->longestEventGap =
                std::max(pending->longestEventGap, now - pending->attempt.lastProgressAt);
        } else {
            pending->attempt.firstEventReceived = true;
            pending->attempt.promptReadTime = now - pending->attempt.sentAt;
            pending->firstEventDelay =
                pending->firstEventDelay.count < 0 ? now - pending->arrived : pending->firstEventDelay;
            notifyOwner(*pending, slot_event::FirstToken);
        }
        pending->attempt.lastProgressAt = now;
        if (!pending->origin) {
            onFirstEvent(*pending);
        }
        if (countBytes(pending->attempt.responding, now)) {
            m_crashes.onServerSurvived(pending->attributes);
        }
    }
    passToCaller(pending, complete);
}

/// Holds a response back while that is short, so that another server's can replace it if it fails.
void front_task::onPlainBody(const request_ptr &pending, const std::string &bytes)
{
    const response_meta &meta = pending->attempt.meta;
    if (pending->progress.callerHas == caller_content::OneServersBytes) {
        passToCaller(pending, bytes);
        return;
    }
    if (!meta.signedByServer || meta.notExecuted || pending->progress.callerHas != caller_content::Nothing) {
        pending->attempt.discardedBytes += bytes.size();
        if (pending->attempt.discardedBytes > maxDiscardedBytes) {
            cutResponse(pending, "its body is not for the caller, and too long");
        }
        return;
    }
    pending->attempt.body += bytes;
    countHeld(*pending);
    if (holdsTooMuch(*pending)) {
        const std::string held = std::exchange(pending->attempt.body, {});
        releaseHeld(*pending);
        beginReply(pending, caller_content::OneServersBytes);
        passToCaller(pending, held);
    }
}

/// Whether bytes of the current attempt fit behind what the caller has: they are of the response whose head
/// it has, or events that continue a stream.
bool front_task::continuesReply(const pending_request &pending)
{
    return pending.headAttempt == pending.attempt.number
        || (pending.progress.callerHas == caller_content::Events && pending.attempt.streaming);
}

/// Writes bytes of the current attempt to the caller. Bytes that don't fit behind what it has break the
/// response off. Returns whether they were written.
bool front_task::writeToCaller(const request_ptr &pending, const std::string &bytes)
{
    if (continuesReply(*pending)) {
        pending->reply->write(bytes);
        return true;
    }
    ++m_counters.bytesWithheld;
    m_log.important("reply.mixed")
        .add("id", pending->request.id)
        .add("server", pending->attempt.server)
        .add("stage", nameOf(pending->progress.stage));
    abandonServer(pending);
    pending->reply->abort();
    finish(pending, "cut_off");
    return false;
}

/// Passes bytes of a response on, no faster than the caller takes them.
void front_task::passToCaller(const request_ptr &pending, const std::string &bytes)
{
    if (writeToCaller(pending, bytes) && pending->reply->pendingBytes() > maxUnsentResponseBytes) {
        m_paths.setReceiving(pending->attempt.sendId, false);
    }
}

/// Ends a response that exceeds a limit: its connection is closed, and it counts as broken off.
void front_task::cutResponse(const request_ptr &pending, const char *detail)
{
    ++m_counters.oversized;
    m_paths.cancel(pending->attempt.sendId);
    pending->attempt.held.reset();
    onSendEnd(
        pending, brokenEnd(connection_end::Open), {error_kind::TooLarge, pending->attempt.server, detail});
}

/// Counts what is kept of the response.
void front_task::countHeld(pending_request &pending)
{
    const std::size_t now = pending.attempt.body.size() + pending.eventStream.partial.size()
        + (pending.attempt.held ? pending.attempt.held->body.size() : 0);
    m_heldBytes += now - std::exchange(pending.attempt.heldBytes, now);
}

/// Whether the response, or all responses together, take too much memory.
bool front_task::holdsTooMuch(const pending_request &pending) const
{
    const bool small = pending.attempt.heldBytes <= smallResponseBytes;
    return (!pending.attempt.streaming && pending.attempt.heldBytes > maxHeldResponseBytes)
        || (!small && m_heldBytes > maxHeldBytes);
}

void front_task::releaseHeld(pending_request &pending)
{
    m_heldBytes -= std::exchange(pending.attempt.heldBytes, 0);
}

void front_task::onSendEnd(const request_ptr &pending, response_end end, const error &why)
{
    server_attempt &attempt = pending->attempt;
    if (attempt.held) {
        attempt.held->end = {end, why};
        return;
    }
    attempt.inactivityTimer.reset();
    attempt.restBytes = pending->eventStream.partial.size();
    --m_inFlight[attempt.server];
    end.insideEvent = attempt.streaming && isInsideEvent(pending->eventStream);
    end.endPromised = pending->progress.callerHas != caller_content::Nothing
        && pending->callerFraming != body_framing::Connection;
    attempt.end = end;
    attempt.endReason = why;
    const bool executed = attempt.meta.signedByServer && !attempt.meta.notExecuted;
    if (resultOf(end) == send_result::Unknown && executed) {
        checkServerProcess(pending);
    } else {
        concludeSend(pending);
    }
}

/// The kernel closes the connections of a crashed process in order, mostly between two events. So where an
/// orderly close is all that ended a response, a server whose process has ended has cut it off.
void front_task::checkServerProcess(const request_ptr &pending)
{
    setStage(*pending, request_stage::CheckingEnd);
    const std::weak_ptr<pending_request> weak = pending;
    const auto conclude = [this, weak, number = pending->attempt.number](connect_result result) {
        const auto locked = lockAt(weak, number, request_stage::CheckingEnd);
        if (!locked) {
            return;
        }
        locked->attempt.serverSurvived = result == connect_result::Accepted;
        if (result == connect_result::Refused) {
            locked->attempt.end.connection = connection_end::Reset;
        }
        concludeSend(locked);
    };
    pending->attempt.processTimer = m_loop.timer(processExitTime, {}, [this, weak, conclude] {
        if (const auto locked = weak.lock()) {
            m_paths.checkProcess(locked->attempt.target, conclude);
        }
    });
}

void front_task::concludeSend(const request_ptr &pending)
{
    setStage(*pending, request_stage::Judged);
    server_attempt &attempt = pending->attempt;
    attempt.result = resultOf(attempt.end);
    const bool ended = attempt.result == send_result::Complete || attempt.result == send_result::Unknown;
    const bool answered = ended && (attempt.meta.signedByServer || attempt.meta.notExecuted);
    const bool notExecuted = answered && attempt.meta.notExecuted;
    onPlainSendEnd(*pending, answered && !notExecuted);
    const bool failed = !answered || (attempt.head.status >= firstServerError && !notExecuted);
    // An overloaded server is avoided like a failing one: on a route that allows only one server, its
    // requests would be refused each time. A missing adapter (421) is not held against the server.
    const bool overloaded = notExecuted && attempt.head.status != misdirectedStatus;
    if (overloaded || !notExecuted) {
        recordOutcome(m_serverHealth[attempt.server], failed || overloaded, bootNow());
    }
    if (attempt.result == send_result::NotSent || notExecuted) {
        pending->unitsHeld = std::exchange(attempt.unitsSpent, 0); // the request did not run
    }
    if (attempt.result == send_result::NotSent) {
        recordNotSent(pending->progress, attempt.server);
        onUnsent(pending);
        return;
    }
    if (!answered) {
        onResponseBroken(pending);
        return;
    }
    if (notExecuted) {
        recordNotRun(pending->progress, attempt.server);
    }
    // A failure doesn't show that the server would bear to begin a response.
    const bool responded =
        isSuccess(attempt.head.status) && (!attempt.streaming || attempt.firstEventReceived);
    if (!notExecuted && responded && (attempt.result == send_result::Complete || attempt.serverSurvived)) {
        m_crashes.onServerSurvived(pending->attributes);
    }
    const bool adapterMissing = notExecuted && pending->usesModelServer && attempt.granted;
    if (isBrittleRejection(*pending) && peerUnderstandsFeatures(attempt.owner)) {
        reportRejection(*pending);
    } else {
        notifyOwner(*pending, adapterMissing ? slot_event::AdapterNotLoaded : slot_event::Ended);
    }
    onResponseEnd(pending);
}

void front_task::onUnsent(const request_ptr &pending)
{
    ++pending->unsentCount;
    notifyOwner(*pending, slot_event::NotSent);
    m_log.important("request.unsent")
        .add("id", pending->request.id)
        .add("server", pending->attempt.server)
        .add("why", pending->attempt.endReason.detail);
    pending->excludedServers.insert(pending->attempt.server);
    if (pending->attempt.endReason.kind == error_kind::ConnectionLost) {
        m_serverHealth[pending->attempt.server].unreachableAt = bootNow();
    }
    if (pending->unsentCount < maxUnsentAttempts) {
        dispatch(pending);
    } else {
        refuse(pending, "no server could be reached", retryAfterTransient);
    }
}

void front_task::onResponseBroken(const request_ptr &pending)
{
    const server_attempt &attempt = pending->attempt;
    const auto known = m_store.view().servers.find(attempt.server);
    const bool restarted =
        known != m_store.view().servers.end() && known->second.startedAtMs != attempt.startedAtMs;
    // The server may have restarted before the request was sent, with the view one update behind.
    pending->versionUncertain = pending->versionUncertain || (restarted && pending->eventStream.anyEvent);
    if (attempt.result == send_result::Broken) {
        reportSuspectedCrash(*pending);
    }
    notifyOwner(*pending, slot_event::Failed);
    m_log.important("request.broken")
        .add("id", pending->request.id)
        .add("fingerprint", contentKeyOf(pending->attributes))
        .add("server", pending->attempt.server)
        .add("route", pending->matchedRoute->name)
        .add("parts", partsText(*pending))
        .add("status", pending->attempt.head.status)
        .add("begun", pending->progress.callerHas != caller_content::Nothing ? 1 : 0)
        .add("last_event", pending->eventStream.lastId)
        .add("framing", framingName(*pending))
        .add("connection", nameOf(attempt.end.connection))
        .add("rest_bytes", static_cast<std::int64_t>(pending->attempt.restBytes))
        .add("why",
            attempt.endReason.detail.empty() ? "the response is not signed by the server"
                                             : attempt.endReason.detail);
    beginNextResponse(pending->eventStream);
    pending->attempt.head = {};
    pending->attempt.body.clear();
    releaseHeld(*pending);
    retryBroken(pending);
}

/// Lets the crash task find out whether the server has crashed under the request, if that is likely.
/// Connections that a leaving or removed server closes don't count as crashes.
void front_task::reportSuspectedCrash(const pending_request &pending)
{
    const server_access access = m_notices.accessOf(pending.attempt.server);
    const bool notLeaving = access != server_access::Leaving && access != server_access::Removed;
    if (notLeaving && isSuspect(pending.attempt.responding)) {
        m_crashes.onResponseBroken(pending.attributes, pending.attempt.target);
    }
}

/// Retries a request whose response broke off, once it is known whether that makes it blocked.
void front_task::retryBroken(const request_ptr &pending)
{
    if (mayRepeat(pending->progress, repeatabilityOf(*pending))
        && m_crashes.mayBecomeBlocked(pending->attributes)) {
        waitAndRetry(pending, &front_task::retryBroken);
        return;
    }
    if (retryElsewhere(pending, "broken")) {
        return;
    }
    if (pending->progress.callerHas != caller_content::Nothing) {
        pending->reply->abort();
        finish(pending, "cut_off");
        return;
    }
    fail(pending, 502, "the server's answer is missing or cut off");
}

/// Handles a response that is whole, or whose end is unknown.
void front_task::onResponseEnd(const request_ptr &pending)
{
    if (pending->attempt.meta.notExecuted) {
        if (!retryElsewhere(pending, "not run")) {
            refuse(pending, "the server did not take it", earliestRetryAfter(*pending, retryAfterTransient));
        }
        return;
    }
    if (pending->attempt.streaming) {
        if (pending->attempt.result == send_result::Complete) {
            m_origins.onStreamComplete(pending->request.id);
        }
        pending->reply->end();
        finish(pending, servedOutcome(pending->attempt.result));
        return;
    }
    if (pending->progress.callerHas == caller_content::OneServersBytes) {
        pending->reply->end();
        finish(pending,
            isSuccess(pending->attempt.head.status) ? servedOutcome(pending->attempt.result)
                                                    : "server_failed");
        return;
    }
    if (pending->progress.callerHas != caller_content::Nothing) { // a stream was resumed, by another response
        pending->reply->abort();
        finish(pending, "cut_off");
        return;
    }
    if (pending->attempt.head.status >= firstServerError
        && mayRepeat(pending->progress, repeatabilityOf(*pending))) {
        pending->fallback = responseOf(pending->attempt);
        if (retryElsewhere(pending, "failed")) {
            return;
        }
    }
    forwardResponse(pending, responseOf(pending->attempt));
}

front_task::server_response front_task::responseOf(const server_attempt &attempt)
{
    return {attempt.head, attempt.body, attempt.result};
}

/// Sends a response that has been held back to the caller.
void front_task::forwardResponse(const request_ptr &pending, const server_response &response)
{
    record(m_counters.firstResponse, static_cast<double>((bootNow() - pending->arrived).count));
    const int status = response.head.status;
    const auto fields = m_codec.responseFields(response.head);
    if (response.result == send_result::Unknown) {
        pending->reply->begin(status, fields, body_framing::Connection);
        pending->reply->write(response.body);
        pending->reply->end();
    } else {
        pending->reply->respond(status, fields, response.body);
    }
    finish(pending, isSuccess(status) ? servedOutcome(response.result) : "server_failed");
}

}
