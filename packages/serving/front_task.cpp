#include "serving/front_work.h"

#include "coordination/request_fingerprint.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace briarhead {

namespace {

constexpr millis comeBackNotReady{1'000};
constexpr double msPerSecond = 1'000;

std::string secondsText(millis span)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f",
        static_cast<double>(std::max<std::int64_t>(span.count, 10)) / msPerSecond);
    return text;
}

}

front_task::front_task(loop &eventLoop, bus &messages, store_task &store, crash_task &crashes,
    quota_task &quota, word_task &words, backend_pool &pool, const request_codec &codec,
    const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_store(store)
    , m_crashes(crashes)
    , m_quota(quota)
    , m_words(words)
    , m_pool(pool)
    , m_codec(codec)
    , m_settings(settings)
    , m_log(log)
    , m_limits(words.limits())
{
    messages.on<server_closed>([this](const server_closed &news) {
        onClosed(news.server);
    });
    messages.on<view_changed>([this](const view_changed &change) {
        followView(change);
    });
    messages.on<request_blocked>([this](const request_blocked &news) {
        onBlocked(news);
    });
}

void front_task::setOrderer(server_owner_task &orderer)
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
    for (const std::string &id : change.removedServers) {
        m_heard.erase(id);
        m_records.erase(id);
        if (const auto again = m_store.view().servers.find(id); again != m_store.view().servers.end()) {
            m_pool.forget(again->second.address); // connections to its earlier start
        }
    }
    const std::size_t cells =
        cellsIn({&m_store.view().daemons, m_store.view().servers.size()}, m_settings.failureDomain);
    if (cells != m_cells) {
        // Beats of the servers that are in another cell now will not come any more. Taken for a dead
        // orderer's, they would be sent requests without a place.
        m_cells = cells;
        std::erase_if(m_heard, [this](const auto &each) {
            return cellOf(each.first, m_cells) != cellOf(m_settings.node, m_cells);
        });
    }
}

void front_task::stopTaking()
{
    m_taking = false;
}

void front_task::setIsolated(bool alone)
{
    m_alone = alone;
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
    if (!admitCaller(one)) {
        return;
    }
    one->fingerprint = fingerprintOf({one->account == nullptr ? std::string_view() : one->account->name,
        one->request.head.method, one->request.host, one->request.head.target, one->request.body});
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
        .add("fingerprint", one->fingerprint)
        .add("route", one->way->name)
        .add("account", one->account == nullptr ? std::string() : one->account->name)
        .add("units", one->cost)
        .add("service", one->service)
        .add("kind", nameOf(one->way->kind))
        .add("config", one->config->version)
        .add("adapter", adapterKey(one->request.model, one->request.adapter))
        .add("left_ms", one->endBy - one->arrived)
        .add("waited_ms", bootNow() - one->arrived);
    countRequest(m_budget, one->service, m_settings.repeats, one->arrived);
    takeQuota(one, [this, weak = std::weak_ptr<work>(one)] {
        if (const auto same = weak.lock()) {
            start(same);
        }
    });
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
    if (isBlocked(*one)) {
        tryBlocked(one);
    } else if (one->model) {
        startModel(one);
    } else {
        startPlain(one);
    }
}

bool front_task::isBlocked(const work &one) const
{
    return !one.trial && m_crashes.isBlocked(one.fingerprint);
}

void front_task::refuseBlocked(const work_ptr &one)
{
    // Its wait is over and another daemon tries it: how that ends is known soon.
    const millis wait = std::max(m_crashes.comeBackAfter(one->fingerprint), comeBackSoon);
    refuse(one, "servers ended under this request", wait);
}

/// Refused, unless its wait is over and this daemon is the one that tries it.
void front_task::tryBlocked(const work_ptr &one)
{
    m_crashes.askTrial(one->fingerprint, [this, weak = std::weak_ptr<work>(one)](bool granted) {
        const auto same = weak.lock();
        if (!same) {
            return;
        }
        same->trial = granted;
        if (granted) {
            start(same);
        } else {
            refuseBlocked(same);
        }
    });
}

/// What waits for a server is refused at once. What a server is at work on is left there: a whole answer
/// would clear it.
void front_task::onBlocked(const request_blocked &news)
{
    std::vector<work_ptr> waiting;
    for (const auto &[number, one] : m_work) {
        if (one->fingerprint == news.fingerprint && !one->sending && !one->trial) {
            waiting.push_back(one);
        }
    }
    for (const work_ptr &one : waiting) {
        note(*one, place_event::Ended);
        refuseBlocked(one);
    }
}

void front_task::waitAndRetry(const work_ptr &one, void (front_task::*step)(const work_ptr &))
{
    one->askTimer = m_loop.timer(retryStep, {}, [this, step, weak = std::weak_ptr<work>(one)] {
        if (const auto same = weak.lock()) {
            (this->*step)(same);
        }
    });
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

void front_task::refuse(const work_ptr &one, const char *why, millis comeBack, int status)
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
        .add("account", one->account == nullptr ? std::string() : one->account->name)
        .add("why", why)
        .add("status", status)
        .add("come_back_ms", comeBack)
        .add("held_ms", bootNow() - one->arrived);
    one->reply->respond(status, {{"Retry-After", secondsText(comeBack)}}, std::string(why) + "\n");
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
        .add("route", one->way == nullptr ? std::string() : one->way->name)
        .add("prompt_tokens", one->request.promptTokens)
        .add("place_ms", one->placeWait)
        .add("first_ms", one->firstWait)
        .add("read_ms", one->readTime)
        .add("pause_ms", one->longestPause)
        .add("ms", bootNow() - one->arrived);
    giveUnitsBack(*one);
    one->deadlineTimer.reset();
    one->askTimer.reset();
    one->quietTimer.reset();
    const auto asked = m_workOfAsk.find(one->request.id);
    if (asked != m_workOfAsk.end() && asked->second == one->number) {
        m_workOfAsk.erase(asked);
    }
    m_work.erase(one->number);
}

bool front_task::hearsOrderers() const
{
    return !m_heard.empty();
}

}
