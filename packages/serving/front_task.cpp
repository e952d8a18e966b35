#include "serving/front_task.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace briarhead {

namespace {

/// Of a datagram and its answer, across failure domains and with a busy peer: then it is asked again.
constexpr millis askAgainAfter{120};
constexpr int asksPerServer = 3;
/// A caller that has come back gets its turn as if it had waited here, for at most so long.
constexpr millis oldestReturn{1'500};
/// An idempotent request whose server stays silent this many times its target is tried elsewhere.
constexpr int quietTargets = 4;
constexpr millis quietLeast{1'000};
/// A resumable stream without an event for so long is resumed elsewhere: five times the longest pause that
/// callers accept at the first deployments.
constexpr millis streamQuiet{2'000};
/// Connections are refused or time out before anything is sent; so many servers are tried then.
constexpr int unsentTries = 3;
constexpr millis comeBackSoon{300};
/// Another instance takes it right away.
constexpr millis comeBackElsewhere{50};
/// How long a request waits for what a start or a takeover brings, and how often it looks.
constexpr millis startPatience{600};
constexpr millis retryStep{40};
constexpr millis comeBackNotReady{1'000};
constexpr double msPerSecond = 1'000;
constexpr int firstServerError = 500;
constexpr int misdirectedStatus = 421;

std::string secondsText(millis span)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f",
        static_cast<double>(std::max<std::int64_t>(span.count, 10)) / msPerSecond);
    return text;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

}

/// One request, from its arrival to the end of its answer.
struct front_task::work
{
    std::string number;
    client_request request;
    std::shared_ptr<front_reply> reply;
    std::shared_ptr<const serving_config> config; ///< in force at arrival
    const route *way = nullptr;
    std::string service;
    bool model = false; ///< goes to a model server, by a place
    millis arrived;
    millis endBy;

    std::set<std::string> excluded; ///< servers not to be tried (again)
    std::set<std::string> sentTo;
    int unsent = 0;
    int placesTried = 0;
    std::string server; ///< asked, or sent to
    std::string orderer; ///< node that was asked; empty: none
    int asks = 0;
    bool granted = false;
    std::int64_t adapterVersion = 0;
    millis askedAt;
    millis shortestWait{-1}; ///< of the refusals so far

    std::optional<backend_pool::send_id> sending;
    bool mayHaveRun = false;
    http_head head; ///< of the answer in progress
    answer_meta meta;
    std::string body;
    bool streaming = false; ///< events go to the caller as they come
    bool begun = false; ///< the caller has the head
    bool firstEvent = false;
    event_stream events;
    millis lastEvent;
    std::shared_ptr<void> deadlineTimer;
    std::shared_ptr<void> askTimer;
    std::shared_ptr<void> quietTimer;
};

front_task::front_task(loop &eventLoop, bus &messages, store_task &store, backend_pool &pool,
    const request_codec &codec, const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_store(store)
    , m_pool(pool)
    , m_codec(codec)
    , m_settings(settings)
    , m_log(log)
{
    messages.on<view_changed>([this](const view_changed &change) {
        followView(change);
    });
}

void front_task::setOrderer(orderer_task &orderer)
{
    m_orderer = &orderer;
}

void front_task::setPort(fleet_port &port)
{
    m_port = &port;
}

void front_task::setRepeatLimits(const repeat_limits &limits)
{
    m_settings.repeats = limits;
}

const front_counters &front_task::counters() const
{
    return m_counters;
}

std::size_t front_task::active() const
{
    return m_work.size();
}

void front_task::followView(const view_changed &change)
{
    for (const std::string &id : change.goneServers) {
        m_heard.erase(id);
        m_records.erase(id);
    }
    m_cells = cellsIn({&m_store.view().daemons, m_store.view().servers.size()}, m_settings.failureDomain);
}

void front_task::stopTaking()
{
    m_taking = false;
}

void front_task::onRequest(front_request raw, std::shared_ptr<front_reply> reply)
{
    error why;
    auto request = m_codec.readRequest(std::move(raw), why);
    if (!request) {
        ++m_counters.ended[{"unreadable", "bad_request"}];
        m_log.important("request.refused").add("why", message(why)).add("status", 400);
        reply->respond(400, {}, message(why) + "\n");
        return;
    }
    auto one = std::make_shared<work>();
    one->number = std::to_string(++m_lastWork);
    one->request = std::move(*request);
    one->reply = std::move(reply);
    one->arrived = bootNow();
    m_work.emplace(one->number, one);
    if (!m_taking) {
        refuse(one, "this instance is ending", comeBackElsewhere);
        return;
    }
    one->reply->onGone([this, weak = std::weak_ptr<work>(one)] {
        if (const auto gone = weak.lock()) {
            leaveServer(gone, place_event::Ended);
            finish(gone, "caller_left");
        }
    });
    findWay(one);
}

/// Finds the request's way. Right after a start the configuration is some ms away, on a slow store some
/// hundred: waiting for it serves callers whom the balancer sends to every daemon when all have been
/// restarted.
void front_task::findWay(const work_ptr &one)
{
    one->config = m_store.view().config;
    if (!one->config) {
        if (bootNow() - one->arrived >= startPatience) {
            refuse(one, "no configuration yet", comeBackNotReady);
        } else {
            waitAndRetry(one, &front_task::findWay);
        }
        return;
    }
    one->way = findRoute(*one->config, one->request.host, one->request.head.target);
    if (one->way == nullptr) {
        fail(one, 404, "no route");
        return;
    }
    one->service = pickService(*one->way, one->request.id);
    one->model = !one->request.model.empty() && engineOf(*one->config, one->service) != nullptr;
    one->endBy =
        one->arrived + std::min(one->way->timeout, one->request.deadline.value_or(one->way->timeout));
    one->deadlineTimer = m_loop.timer(one->endBy - bootNow(), {}, [this, weak = std::weak_ptr<work>(one)] {
        if (const auto late = weak.lock()) {
            onDeadline(late);
        }
    });
    m_log.ordinary("request.accepted")
        .add("id", one->request.id)
        .add("route", one->way->name)
        .add("service", one->service)
        .add("kind", nameOf(one->way->kind))
        .add("config", one->config->version)
        .add("adapter", adapterKey(one->request.model, one->request.adapter))
        .add("left_ms", one->endBy - one->arrived)
        .add("waited_ms", bootNow() - one->arrived);
    countRequest(m_budget, one->service, m_settings.repeats, one->arrived);
    start(one);
}

millis front_task::left(const work &one) const
{
    return one.endBy - bootNow();
}

/// Whether the route allows a further server.
bool front_task::serversLeft(const work &one) const
{
    return static_cast<int>(one.sentTo.size()) < one.way->maxServers;
}

bool front_task::mayRepeat(const work &one) const
{
    return one.way->kind == repeat_kind::Idempotent
        || (one.way->kind == repeat_kind::Stream && one.way->resumable);
}

void front_task::start(const work_ptr &one)
{
    if (one->model) {
        startModel(one);
    } else {
        startPlain(one);
    }
}

void front_task::startPlain(const work_ptr &one)
{
    std::vector<const backend_server *> servers;
    std::vector<plain_candidate> candidates;
    const millis now = bootNow();
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service != one->service) {
            continue;
        }
        plain_candidate candidate;
        candidate.excluded = server.draining || one->excluded.count(id) != 0;
        candidate.sameDomain = server.failureDomain == m_settings.failureDomain;
        candidate.slots = server.slots;
        const auto mine = m_inFlight.find(id);
        candidate.mine = mine == m_inFlight.end() ? 0 : mine->second;
        const auto record = m_records.find(id);
        candidate.failures = record == m_records.end() ? 0 : failuresNow(record->second, now);
        candidate.tieBreak = rendezvousScore(one->request.id, id);
        servers.push_back(&server);
        candidates.push_back(candidate);
    }
    const auto chosen = choosePlainServer(candidates);
    if (!chosen) {
        if (!one->body.empty() || one->head.status != 0) {
            passAnswer(one); // the answer there is, a failure, is better than none
            return;
        }
        refuse(one, "no server", comeBackSoon);
        return;
    }
    send(one, *servers[*chosen]);
}

std::vector<model_candidate> front_task::candidatesFor(
    const work &one, std::vector<const backend_server *> &servers) const
{
    const millis now = bootNow();
    const std::string adapter = adapterKey(one.request.model, one.request.adapter);
    std::vector<std::string_view> names;
    std::vector<model_candidate> candidates;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service != one.service) {
            continue;
        }
        model_candidate candidate;
        const auto heard = m_heard.find(id);
        if (heard != m_heard.end()) {
            candidate = candidateOf(heard->second, adapter, !one.request.adapter.empty(), now);
        } else {
            candidate = unheardCandidate(!one.request.adapter.empty());
            candidate.excluded = unheardOrderer(id).empty();
        }
        candidate.excluded = candidate.excluded || server.draining || one.excluded.count(id) != 0;
        candidate.sameDomain = server.failureDomain == m_settings.failureDomain;
        const auto record = m_records.find(id);
        candidate.failures = record == m_records.end() ? 0 : failuresNow(record->second, now);
        servers.push_back(&server);
        names.push_back(id);
        candidates.push_back(candidate);
    }
    rankByHash(candidates, names, adapter);
    return candidates;
}

void front_task::startModel(const work_ptr &one)
{
    std::vector<const backend_server *> servers;
    const auto candidates = candidatesFor(*one, servers);
    const prompt_shape prompt{one->request.promptTokens, one->request.outputTokens};
    const auto chosen = chooseModelServer(candidates, prompt);
    const bool unheard = !chosen && one->excluded.empty() && !one->mayHaveRun;
    if (unheard && bootNow() - one->arrived < startPatience) {
        // No server's orderer has spoken yet: after a start, or after the death of those nearby.
        waitAndRetry(one, &front_task::startModel);
        return;
    }
    if (!chosen || one->placesTried >= placesAsked) {
        const millis comeBack = one->shortestWait.count >= 0 ? one->shortestWait : comeBackSoon;
        refuse(one, chosen ? "every server asked is full" : "no server", comeBack);
        return;
    }
    const backend_server &server = *servers[*chosen];
    const auto heard = m_heard.find(server.id);
    const bool known = heard != m_heard.end();
    const std::string orderer = known ? heard->second.orderer : unheardOrderer(server.id);
    one->server = server.id;
    one->granted = false;
    one->asks = 0;
    one->askedAt = bootNow();
    static constexpr const char *residences[] = {"absent", "coming", "resident"};
    m_log.ordinary("request.routed")
        .add("id", one->request.id)
        .add("server", server.id)
        .add("orderer", orderer)
        .add("of", static_cast<std::int64_t>(candidates.size()))
        .add("prompt_tokens", prompt.promptTokens)
        .add("output_tokens", prompt.outputTokens)
        .add("cost_ms", *costOf(candidates[*chosen], prompt))
        .add("adapter", residences[static_cast<std::size_t>(candidates[*chosen].adapter)])
        .add("backlog_ms", candidates[*chosen].backlogMs)
        .add("open_places", static_cast<std::int64_t>(candidates[*chosen].openPlaces))
        .add("failures", candidates[*chosen].failures)
        .add("beat_age_ms", known ? bootNow() - heard->second.at : millis{-1});
    if (known) {
        countAsk(heard->second, one->request.promptTokens, candidates[*chosen].adapter);
    }
    ++one->placesTried;
    if (known && !isFresh(heard->second, bootNow())) {
        // Its orderer is gone and the next one not there yet: what is resident there can still serve.
        one->orderer.clear();
        one->adapterVersion = 0;
        send(one, server);
        return;
    }
    one->orderer = orderer;
    ask(one);
}

/// The daemon that gives the orders of a server that this one hears no beats of, as the store has it; empty
/// for a server of the own cell, whose beats are due.
std::string front_task::unheardOrderer(const std::string &server) const
{
    if (cellOf(server, m_cells) == cellOf(m_settings.node, m_cells)) {
        return "";
    }
    const store_view &view = m_store.view();
    const auto found = view.orderers.find(server);
    const bool lives = found != view.orderers.end() && view.daemons.count(found->second.record.node) != 0;
    return lives ? found->second.record.node : "";
}

void front_task::waitAndRetry(const work_ptr &one, void (front_task::*step)(const work_ptr &))
{
    one->askTimer = m_loop.timer(retryStep, {}, [this, step, weak = std::weak_ptr<work>(one)] {
        if (const auto same = weak.lock()) {
            (this->*step)(same);
        }
    });
}

/// To a server's orderer, which may be this daemon; then never from inside, as with a datagram.
template <class message_type>
void front_task::tell(const std::string &orderer, const message_type &message)
{
    if (orderer == m_settings.node) {
        m_loop.post([this, message] {
            m_orderer->take(m_settings.node, message);
        });
        return;
    }
    const auto peer = m_store.view().daemons.find(orderer);
    if (peer != m_store.view().daemons.end()) {
        m_port->send({peer->second.ip, peer->second.port}, {m_settings.node, m_store.incarnation(), message});
    }
}

void front_task::ask(const work_ptr &one)
{
    ++one->asks;
    ++m_counters.asks;
    m_workOfAsk[one->request.id] = one->number;
    const millis age = ageOf(*one);
    const millis waited = bootNow() - one->arrived;
    const std::int64_t wait = (patienceOf(one->way->target, age) - waited).count;
    const place_ask message{one->request.id, one->server, one->request.model, one->request.adapter,
        one->request.promptTokens, one->request.outputTokens, one->way->rank, std::max<std::int64_t>(wait, 0),
        std::max<std::int64_t>(left(*one).count, 0), age.count, (one->way->target - age - waited).count};
    one->askTimer = m_loop.timer(askAgainAfter, {}, [this, weak = std::weak_ptr<work>(one)] {
        if (const auto same = weak.lock()) {
            askAgain(same);
        }
    });
    tell(one->orderer, message);
}

void front_task::askAgain(const work_ptr &one)
{
    if (one->granted || one->sending) {
        return;
    }
    if (one->asks < asksPerServer) {
        ask(one);
    } else {
        onNoAnswer(one);
    }
}

void front_task::onNoAnswer(const work_ptr &one)
{
    m_log.important("place.no_answer")
        .add("id", one->request.id)
        .add("server", one->server)
        .add("orderer", one->orderer)
        .add("asks", one->asks);
    note(*one, place_event::Ended);
    one->excluded.insert(one->server);
    startModel(one);
}

void front_task::onAnswer(const place_answer &answer)
{
    const auto number = m_workOfAsk.find(answer.id);
    const auto found = number == m_workOfAsk.end() ? m_work.end() : m_work.find(number->second);
    const bool waits = found != m_work.end() && found->second->server == answer.server
        && !found->second->granted && !found->second->sending;
    if (!waits) {
        const bool unknown = found == m_work.end() || found->second->server != answer.server;
        if (answer.verdict == place_verdict::Granted && unknown) {
            // A grant for a request that has ended or gone elsewhere holds a place: say so.
            work ended;
            ended.request.id = answer.id;
            ended.server = answer.server;
            const auto heard = m_heard.find(answer.server);
            ended.orderer = heard == m_heard.end() ? "" : heard->second.orderer;
            note(ended, place_event::Ended);
        }
        return;
    }
    const work_ptr one = found->second;
    switch (answer.verdict) {
    case place_verdict::Queued:
        // Asked again only rarely from here on: the grant itself may be lost.
        one->asks = 1;
        one->askTimer =
            m_loop.timer(askAgainAfter + askAgainAfter, {}, [this, weak = std::weak_ptr<work>(one)] {
                if (const auto same = weak.lock()) {
                    askAgain(same);
                }
            });
        return;
    case place_verdict::Granted: {
        one->askTimer.reset();
        one->granted = true;
        one->adapterVersion = answer.adapterVersion;
        record(m_counters.placeWait, static_cast<double>((bootNow() - one->askedAt).count));
        const auto server = m_store.view().servers.find(one->server);
        if (server == m_store.view().servers.end() || server->second.draining) {
            leaveServer(one, place_event::Ended);
            one->excluded.insert(answer.server);
            startModel(one);
            return;
        }
        send(one, server->second);
        return;
    }
    case place_verdict::Refused:
        one->askTimer.reset();
        m_log.ordinary("place.refused")
            .add("id", one->request.id)
            .add("server", answer.server)
            .add("why", static_cast<int>(answer.why))
            .add("come_back_ms", answer.comeBackMs);
        if (one->shortestWait.count < 0 || answer.comeBackMs < one->shortestWait.count) {
            one->shortestWait = {answer.comeBackMs};
        }
        one->excluded.insert(answer.server);
        startModel(one);
        return;
    }
}

void front_task::send(const work_ptr &one, const backend_server &server)
{
    one->server = server.id;
    one->sentTo.insert(server.id);
    one->head = {};
    one->meta = {};
    one->body.clear();
    ++m_inFlight[server.id];
    ++m_counters.sends;
    send_terms terms;
    terms.server = server.id;
    if (one->request.deadline) {
        terms.left = left(*one);
    }
    const auto named = m_store.view().versions.find(adapterKey(one->request.model, one->request.adapter));
    const std::int64_t newest = named == m_store.view().versions.end() ? 0 : named->second;
    terms.adapterVersion = one->model ? std::max(one->adapterVersion, newest) : 0;
    terms.lastEvent = one->events.lastId;
    m_log.ordinary("request.sent")
        .add("id", one->request.id)
        .add("server", server.id)
        .add("service", one->service)
        .add("config", one->config->version)
        .add("adapter_version", terms.adapterVersion)
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
        note(*one, place_event::FirstToken);
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
    if (how == send_end::Unsent) {
        ++one->unsent;
        note(*one, place_event::Failed);
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
        one->mayHaveRun = one->mayHaveRun || !notRun;
        const bool notHeld = notRun && one->model && one->granted;
        note(*one, notHeld ? place_event::NotHeld : place_event::Ended);
        onWhole(one);
        return;
    }
    one->mayHaveRun = true;
    note(*one, place_event::Failed);
    m_log.important("request.broken")
        .add("id", one->request.id)
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
            refuse(one, "the server did not take it", comeBackSoon);
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

void front_task::onDeadline(const work_ptr &one)
{
    const bool sent = one->sending.has_value();
    leaveServer(one, place_event::Ended);
    if (one->begun) {
        one->reply->abort();
        finish(one, "late_stream");
    } else if (sent) {
        fail(one, 504, "no answer in time");
    } else {
        refuse(one, "no place in time", comeBackSoon);
    }
}

void front_task::leaveServer(const work_ptr &one, place_event event)
{
    if (one->sending) {
        m_pool.cancel(*one->sending);
        one->sending.reset();
        --m_inFlight[one->server];
        const bool silent = one->head.status == 0 && bootNow() - one->lastEvent > quietLeast;
        if (silent) {
            recordAnswer(m_records[one->server], true, bootNow());
        }
    }
    note(*one, event);
}

void front_task::note(const work &one, place_event event)
{
    if (one.orderer.empty()) {
        return;
    }
    const place_note message{one.request.id, one.server, event};
    tell(one.orderer, message);
}

void front_task::refuse(const work_ptr &one, const char *why, millis comeBack)
{
    // A refusal promises that nothing ran and nothing will. Where an earlier send may have, only a failure is
    // true; a caller would else repeat what may have been done.
    if (one->begun) {
        one->reply->abort();
        finish(one, "cut_off");
        return;
    }
    if (one->mayHaveRun) {
        fail(one, 502, why);
        return;
    }
    ++m_counters.refused[why];
    m_log.important("request.refused")
        .add("id", one->request.id)
        .add("why", why)
        .add("status", 503)
        .add("come_back_ms", comeBack)
        .add("held_ms", bootNow() - one->arrived);
    one->reply->respond(503, {{"Retry-After", secondsText(comeBack)}}, std::string(why) + "\n");
    finish(one, "refused");
}

void front_task::fail(const work_ptr &one, int status, const char *why)
{
    m_log.important("request.failed")
        .add("id", one->request.id)
        .add("why", why)
        .add("status", status)
        .add("held_ms", bootNow() - one->arrived);
    one->reply->respond(status, {}, std::string(why) + "\n");
    finish(one, "failed");
}

void front_task::finish(const work_ptr &one, const std::string &outcome)
{
    const std::string kind(one->way == nullptr ? "unrouted" : nameOf(one->way->kind));
    ++m_counters.ended[{kind, outcome}];
    record(m_counters.whole, static_cast<double>((bootNow() - one->arrived).count));
    const bool good = outcome == "served";
    (good ? m_log.ordinary("request.ended") : m_log.important("request.ended"))
        .add("id", one->request.id)
        .add("outcome", outcome)
        .add("server", one->server)
        .add("status", one->head.status)
        .add("ms", bootNow() - one->arrived);
    one->deadlineTimer.reset();
    one->askTimer.reset();
    one->quietTimer.reset();
    const auto asked = m_workOfAsk.find(one->request.id);
    if (asked != m_workOfAsk.end() && asked->second == one->number) {
        m_workOfAsk.erase(asked);
    }
    m_work.erase(one->number);
}

void front_task::onBeat(const std::string &node, const fleet_beat &beat)
{
    const millis now = bootNow();
    for (const server_beat &each : beat.servers) {
        auto &heard = m_heard[each.server];
        if (each.fence < heard.beat.fence) {
            continue; // from a daemon that gave the orders before
        }
        const bool changed = heard.orderer != node || heard.beat.fence != each.fence;
        heard = {each, node, now, 0, 0};
        if (changed) {
            announce(each.server, node);
        }
    }
}

/// Tells a server's new orderer what runs there, so that it takes no adapter in use for idle.
void front_task::announce(const std::string &server, const std::string &orderer)
{
    for (const auto &[number, one] : m_work) {
        if (!one->model || one->server != server || !one->sending) {
            continue;
        }
        one->orderer = orderer;
        const place_running message{one->request.id, server, one->request.model, one->request.adapter,
            one->request.promptTokens, one->request.outputTokens, !one->firstEvent, left(*one).count};
        tell(orderer, message);
    }
}

bool front_task::hearsOrderers() const
{
    return !m_heard.empty();
}

/// How long ago its caller first asked. A caller that was refused comes back with less time left than the
/// route gives; one that simply has less time is then served a little sooner, which suits it too.
millis front_task::ageOf(const work &one) const
{
    const millis full = one.way->timeout;
    const millis given = one.request.deadline.value_or(full);
    return std::clamp(full - given, millis{}, oldestReturn);
}

}
