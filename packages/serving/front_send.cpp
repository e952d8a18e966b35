#include "serving/front_work.h"

#include <algorithm>
#include <utility>

// What becomes of a request at a server: the send, its answer on the way to the caller, and whether another
// server is tried.
namespace briarhead {

namespace {

/// An idempotent request whose server stays silent this many times its target is tried elsewhere.
constexpr int quietTargets = 4;
/// A resumable stream without an event for so long is resumed elsewhere: five times the longest pause that
/// callers accept at the first deployments.
constexpr millis streamQuiet{2'000};
/// Connections are refused or time out before anything is sent; so many servers are tried then.
constexpr int unsentTries = 3;
constexpr int firstServerError = 500;
constexpr int misdirectedStatus = 421;

}

void front_task::send(const work_ptr &one, const backend_server &server)
{
    // Every way to a server leads through here: what became known while the request waited still counts.
    if (isBlocked(*one)) {
        note(*one, slot_event::Ended);
        refuseBlocked(one);
        return;
    }
    one->server = server.id;
    const server_access access = m_words.accessOf(server);
    if (!maySend(access, one->granted)) {
        m_log.important("send.withheld")
            .add("id", one->request.id)
            .add("server", server.id)
            .add("access", nameOf(access));
        leaveClosed(one, slot_event::NotSent);
        return;
    }
    if (!holdsUnits(*one)) {
        sendOnceCounted(one);
        return;
    }
    one->unitsSpent = std::exchange(one->unitsHeld, 0);
    if (one->account != nullptr) {
        countersOf(*one->account).units += one->unitsSpent;
    }
    one->target = targetOf(server);
    one->sentTo.insert(server.id);
    one->head = {};
    one->meta = {};
    one->body.clear();
    one->firstEvent = false;
    ++m_inFlight[server.id];
    ++m_counters.sends;
    send_terms terms;
    terms.server = server.id;
    terms.account = one->account == nullptr ? std::string() : one->account->name;
    if (one->request.deadline) {
        terms.left = left(*one);
    }
    const auto named = m_store.view().versions.find(adapterKey(one->request.model, one->request.adapter));
    const std::int64_t newest = named == m_store.view().versions.end() ? 0 : named->second;
    terms.adapterVersion = one->model ? std::max(one->adapterVersion, newest) : 0;
    terms.lastEvent = one->events.lastId;
    const auto known = m_limits.find(server.id);
    m_log.ordinary("request.sent")
        .add("id", one->request.id)
        .add("server", server.id)
        .add("service", one->service)
        .add("config", one->config->version)
        .add("adapter_version", terms.adapterVersion)
        .add("access", nameOf(access))
        .add("limit_per_second", known == m_limits.end() ? -1.0 : known->second.perSecond)
        .add("waited_ms", bootNow() - one->arrived);
    const std::weak_ptr<work> weak = one;
    send_handlers calls;
    calls.onHead = [this, weak](const http_head &head) {
        const auto same = weak.lock();
        return same ? onHead(same, head) : true;
    };
    calls.onBody = [this, weak](const std::string &bytes) {
        if (const auto same = weak.lock()) {
            onBody(same, bytes);
        }
    };
    calls.onEnd = [this, weak](send_end how, const error &why) {
        if (const auto same = weak.lock()) {
            onEnd(same, how, why);
        }
    };
    one->lastEvent = bootNow();
    one->sentAt = one->lastEvent;
    one->sending = m_pool.start(server.address, m_codec.writeRequest(one->request, terms),
        one->request.head.method == "HEAD", std::move(calls));
    if (mayRepeat(*one)) {
        const millis quiet = one->way->kind == repeat_kind::Stream
            ? streamQuiet
            : std::max(quietLeast, millis{one->way->target.count * quietTargets});
        one->quietTimer = m_loop.timer(quiet, millis{quiet.count / 2}, [this, weak, quiet] {
            const auto same = weak.lock();
            if (same && bootNow() - same->lastEvent >= quiet) {
                onQuiet(same);
            }
        });
    }
}

bool front_task::onHead(const work_ptr &one, const http_head &head)
{
    const answer_meta meta = m_codec.readAnswer(head);
    if (!meta.requestId.empty() && meta.requestId != one->request.id) {
        m_log.important("answer.of_another")
            .add("id", one->request.id)
            .add("answer_id", meta.requestId)
            .add("server", one->server);
        return false;
    }
    one->head = head;
    one->meta = meta;
    one->lastEvent = bootNow();
    m_words.hear(one->request.id, one->server, one->target.start, meta);
    hearLimit(*one);
    one->streaming = one->way->kind == repeat_kind::Stream && isSuccess(head.status) && meta.signedByServer;
    if (one->streaming && !one->begun) {
        one->begun = true;
        record(m_counters.first, static_cast<double>((bootNow() - one->arrived).count));
        one->reply->begin(head.status, m_codec.passOn(head));
    }
    return true;
}

void front_task::onBody(const work_ptr &one, const std::string &bytes)
{
    const millis now = bootNow();
    if (one->firstEvent) {
        record(m_counters.gap, static_cast<double>((now - one->lastEvent).count));
        one->longestPause = std::max(one->longestPause, now - one->lastEvent);
    }
    one->lastEvent = now;
    if (!one->streaming) {
        one->body += bytes;
        return;
    }
    const std::string whole = takeEvents(one->events, bytes);
    if (whole.empty()) {
        return;
    }
    if (!one->firstEvent) {
        one->firstEvent = true;
        one->readTime = now - one->sentAt;
        one->firstWait = one->firstWait.count < 0 ? now - one->arrived : one->firstWait;
        note(*one, slot_event::FirstToken);
    }
    one->reply->write(whole);
}

void front_task::onEnd(const work_ptr &one, send_end how, const error &why)
{
    const std::string server = one->server;
    one->sending.reset();
    one->quietTimer.reset();
    --m_inFlight[server];
    const bool answered = how == send_end::Whole && (one->meta.signedByServer || one->meta.notRun);
    const bool notRun = answered && one->meta.notRun;
    const bool failed = !answered || (one->head.status >= firstServerError && !notRun);
    // A server that says it is full is left alone like one that fails: a route may allow one server only, and
    // its requests are then refused each time. Not so an adapter that isn't there: that is no fault of it.
    const bool full = notRun && one->head.status != misdirectedStatus;
    if (full || !notRun) {
        recordAnswer(m_records[server], failed || full, bootNow());
    }
    if (how == send_end::Unsent || notRun) {
        one->unitsHeld = std::exchange(one->unitsSpent, 0); // nothing ran for them
    }
    if (how == send_end::Unsent) {
        ++one->unsent;
        note(*one, slot_event::NotSent);
        m_log.important("request.unsent")
            .add("id", one->request.id)
            .add("server", server)
            .add("why", why.detail);
        one->excluded.insert(server);
        one->sentTo.erase(server);
        if (one->unsent < unsentTries) {
            start(one);
        } else {
            refuse(one, "no server could be reached", comeBackSoon);
        }
        return;
    }
    if (answered) {
        if (!notRun) {
            m_crashes.onAnswered(one->fingerprint);
        }
        one->mayHaveRun = one->mayHaveRun || !notRun;
        const bool notHeld = notRun && one->model && one->granted;
        note(*one, notHeld ? slot_event::AdapterNotLoaded : slot_event::Ended);
        onWhole(one);
        return;
    }
    one->mayHaveRun = true;
    const server_access access = m_words.accessOf(server);
    const bool stays = access != server_access::Leaving && access != server_access::Gone;
    if (how == send_end::Broken && stays) {
        m_crashes.onBroken(one->fingerprint, one->target);
    }
    note(*one, slot_event::Failed);
    m_log.important("request.broken")
        .add("id", one->request.id)
        .add("fingerprint", one->fingerprint)
        .add("server", server)
        .add("status", one->head.status)
        .add("begun", one->begun ? 1 : 0)
        .add("last_event", one->events.lastId)
        .add("why", why.detail.empty() ? "the answer is not signed by the server" : why.detail);
    one->events.partial.clear();
    one->head = {};
    if (tryElsewhere(one, true, "broken")) {
        return;
    }
    if (one->begun) {
        one->reply->abort();
        finish(one, "cut_off");
        return;
    }
    fail(one, 502, "the server's answer is missing or cut off");
}

/// Goes on at another server if that is allowed. `ran`: the last one may have run it.
bool front_task::tryElsewhere(const work_ptr &one, bool ran, const char *why)
{
    if (ran && !mayRepeat(*one)) {
        return false;
    }
    one->excluded.insert(one->server);
    if (!serversLeft(*one) || left(*one).count <= 0) {
        return false;
    }
    if (ran && m_crashes.mayBeFatal(one->fingerprint)) {
        m_log.important("repeat.denied").add("id", one->request.id).add("why", "servers ended under it");
        return false;
    }
    const std::size_t daemons = m_store.view().daemons.size();
    if (!takeRepeat(m_budget, one->service, m_settings.repeats, daemons, bootNow())) {
        ++m_counters.repeatsDenied;
        m_log.important("repeat.denied").add("id", one->request.id).add("why", "the budget is used up");
        return false;
    }
    ++m_counters.repeats;
    m_log.important("repeat.taken").add("id", one->request.id).add("after", one->server).add("why", why);
    one->placesTried = 0;
    start(one);
    return true;
}

void front_task::onWhole(const work_ptr &one)
{
    if (one->meta.notRun) {
        if (!tryElsewhere(one, false, "not run")) {
            refuse(one, "the server did not take it", firstBack(*one, comeBackSoon));
        }
        return;
    }
    if (one->streaming) {
        if (!one->events.partial.empty()) {
            one->reply->write(std::exchange(one->events.partial, {}));
        }
        one->reply->end();
        finish(one, "served");
        return;
    }
    if (one->begun) { // resumed, and the answer is a failure
        one->reply->abort();
        finish(one, "cut_off");
        return;
    }
    const bool worthAnother = one->head.status >= firstServerError && mayRepeat(*one);
    if (worthAnother) {
        const http_head head = one->head;
        const std::string body = one->body;
        if (tryElsewhere(one, true, "failed")) {
            return;
        }
        one->head = head;
        one->body = body;
    }
    passAnswer(one);
}

void front_task::passAnswer(const work_ptr &one)
{
    record(m_counters.first, static_cast<double>((bootNow() - one->arrived).count));
    one->reply->respond(one->head.status, m_codec.passOn(one->head), one->body);
    finish(one, isSuccess(one->head.status) ? "served" : "server_failed");
}

void front_task::onQuiet(const work_ptr &one)
{
    if (!one->sending) {
        return;
    }
    if (!serversLeft(*one)) {
        return;
    }
    const std::string server = one->server;
    m_log.important("server.quiet")
        .add("id", one->request.id)
        .add("server", server)
        .add("silent_ms", bootNow() - one->lastEvent);
    m_pool.cancel(*one->sending);
    onEnd(one, send_end::Broken, {error_kind::Timeout, server, "the server stays silent"});
}

void front_task::leaveServer(const work_ptr &one, slot_event event)
{
    if (one->sending) {
        m_pool.cancel(*one->sending);
        one->sending.reset();
        --m_inFlight[one->server];
        m_crashes.onGivenUp(one->fingerprint, one->target);
        const bool silent = one->head.status == 0 && bootNow() - one->lastEvent > quietLeast;
        if (silent) {
            recordAnswer(m_records[one->server], true, bootNow());
        }
    }
    note(*one, event);
}

}
