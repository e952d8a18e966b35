#include "serving/server_owner_task.h"

#include "coordination/quota_plan.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// How often waiting prompts and loads on their way are looked at, besides after each event.
constexpr millis pumpEvery{20};
constexpr millis claimEvery{300};
/// Without a beat for so long the daemon stood still, or nearly; the news of the time reach it within the
/// pause after it.
constexpr millis stillMost{1'000};
constexpr millis stillPause{700};

}

server_owner_task::server_owner_task(loop &eventLoop, bus &messages, store_task &store, word_task &words,
    backend_pool &pool, const request_codec &codec, const node_settings &settings, decision_log &log,
    answer_call onAnswer)
    : m_loop(eventLoop)
    , m_store(store)
    , m_words(words)
    , m_pool(pool)
    , m_codec(codec)
    , m_settings(settings)
    , m_log(log)
    , m_answer(std::move(onAnswer))
    , m_limits(words.limits())
{
    messages.on<server_closed>([this](const server_closed &news) {
        pump(news.server);
    });
    messages.on<view_changed>([this](const view_changed &change) {
        followView(change);
    });
    m_timer = m_loop.timer(pumpEvery, pumpEvery, [this] {
        pumpAll();
    });
    m_claimTimer = m_loop.timer(claimEvery, claimEvery, [this] {
        claimOrphans();
        replaceSilent();
    });
}

const backend_server *server_owner_task::serverOf(const std::string &id) const
{
    const auto found = m_store.view().servers.find(id);
    return found == m_store.view().servers.end() ? nullptr : &found->second;
}

const engine_spec *server_owner_task::engineOfServer(const backend_server &server) const
{
    const auto &config = m_store.view().config;
    return config ? engineOf(*config, server.service) : nullptr;
}

void server_owner_task::answerAll(const std::vector<addressed_response> &answers)
{
    for (const addressed_response &each : answers) {
        answer(each.entry, each.answer);
    }
}

void server_owner_task::answer(const std::string &entry, const place_answer &answer)
{
    m_counters.granted += answer.verdict == place_verdict::Granted ? 1 : 0;
    m_counters.refused += answer.verdict == place_verdict::Refused ? 1 : 0;
    m_answer(entry, answer);
}

void server_owner_task::handle(const std::string &entry, const place_ask &ask)
{
    const auto found = m_servers.find(ask.server);
    const backend_server *server = serverOf(ask.server);
    if (found == m_servers.end() || server == nullptr) {
        if (server != nullptr && ask.limitMilli >= 0) {
            hearTold(m_limits, ask.server, fromMilli(ask.limitMilli), heardBefore(ask.limitAgeMs, bootNow()),
                bootNow());
        }
        answer(entry, refusedResponse(ask.id, ask.server, refusal::NotOrderer, {}));
        return;
    }
    const server_access access = m_words.accessOf(*server, entry);
    if (isClosed(access)) {
        const bool leaves = access == server_access::Leaving;
        const millis back = leaves ? millis{} : m_words.pauseLeft(*server, entry);
        answer(entry,
            refusedResponse(ask.id, ask.server, leaves ? refusal::ServerLeaving : refusal::Paused, back));
        m_words.tellLeaving(entry, *server);
        return;
    }
    followLimit(ask.server, found->second);
    const place_answer first = handleSlotRequest(found->second.desk, entry, ask, bootNow());
    if (first.verdict != place_verdict::Queued) {
        answer(entry, first);
        return;
    }
    pump(ask.server);
    const auto still = m_servers.find(ask.server);
    if (still != m_servers.end() && still->second.desk.queue.running.count(ask.id) == 0) {
        answer(entry, first);
    }
}

void server_owner_task::handle(const std::string &entry, const place_running &run)
{
    const auto found = m_servers.find(run.server);
    if (found != m_servers.end()) {
        registerRunning(found->second.desk, entry, run, bootNow());
    }
}

void server_owner_task::handle(const std::string &, const limit_note &note)
{
    const auto found = m_servers.find(note.server);
    if (found == m_servers.end()) {
        if (note.limitMilli >= 0 && serverOf(note.server) != nullptr) {
            hearTold(m_limits, note.server, fromMilli(note.limitMilli), bootNow(), bootNow());
        }
        return;
    }
    onLimitNotice(found->second.desk, note, bootNow());
    pump(note.server);
}

/// Guards against: two daemons grant the turns of one server, since one of them is cut off and doesn't know
/// that it was replaced. It shows as a server that gets nearly twice its limit. Holds because only whose
/// lease stands grants the whole limit, and who knows of a successor none of it.
void server_owner_task::followLimit(const std::string &id, server_state &one)
{
    if (one.desk.limit.perSecond != one.limitTold) {
        one.limitTold = one.desk.limit.perSecond;
        m_log.important("limit.kept")
            .add("server", id)
            .add("per_second", one.limitTold.value_or(-1))
            .add("fence", one.fence)
            .add("share", one.desk.limit.share);
    }
    if (!one.desk.limit.perSecond) {
        return;
    }
    const bool stands = m_store.ownsServer(id) && m_store.isLeaseValid();
    setShare(one.desk.limit, one.fenced ? 0 : stands ? 1 : unprovenShare, bootNow());
}

void server_owner_task::handle(const std::string &, const place_note &note)
{
    const auto found = m_servers.find(note.server);
    if (found == m_servers.end()) {
        return;
    }
    onRequestEvent(found->second.desk, note, bootNow());
    pump(note.server);
}

void server_owner_task::pumpAll()
{
    countLoads();
    std::vector<std::string> ids;
    ids.reserve(m_servers.size());
    for (const auto &[id, one] : m_servers) {
        ids.push_back(id);
    }
    for (const std::string &id : ids) {
        pump(id);
    }
}

void server_owner_task::pump(const std::string &id)
{
    const auto found = m_servers.find(id);
    const backend_server *server = serverOf(id);
    if (found == m_servers.end() || server == nullptr) {
        return;
    }
    server_state &one = found->second;
    const millis now = bootNow();
    followLimit(id, one);
    updateLoadTimes(one.desk, m_pace, now);
    dropExpired(one.desk, now);
    const server_access access = m_words.accessOf(*server);
    if (access == server_access::Leaving) {
        answerAll(refuseWaiting(one.desk, refusal::ServerLeaving));
        return;
    }
    if (m_words.anyPauses()) {
        answerAll(refusePaused(one.desk, [this, server](const std::string &entry) {
            return m_words.pauseLeft(*server, entry);
        }));
    }
    one.desk.ledger.ordersPausedUntil = now + m_words.pauseLeft(*server, m_settings.node);
    if (one.desk.plain) {
        answerAll(dueResponses(one.desk, now));
        return;
    }
    const server_ledger &ledger = one.desk.ledger;
    // Whether a load is done is asked by the order again; who may not order now learns it from a report.
    const bool cantAsk = loadsInProgress(ledger) > 0 && !mayOrder(id, one);
    const bool unsure = !ledger.confirmed || !ledger.loadingModel.empty() || cantAsk;
    if (isClosed(access)) {
        // It wants nothing from this daemon; others' requests for what it holds are let in all the same.
        answerAll(dueResponses(one.desk, now));
        return;
    }
    if (unsure && !one.reporting && !ledger.openOrder && now >= ledger.notBefore) {
        askReport(id, one, *server);
    } else if (mayOrder(id, one)) {
        sendOrder(id, one, *server);
    }
    answerAll(dueResponses(one.desk, now));
}

fleet_beat server_owner_task::heartbeat()
{
    const millis now = bootNow();
    if (m_lastBeat.count != 0 && now - m_lastBeat > stillMost) {
        // Others may have replaced it meanwhile. The store's news say so within this time; an order before
        // would be one more change of hands.
        m_pausedUntil = now + stillPause;
        m_log.important("orderer.stood_still").add("ms", now - m_lastBeat);
    }
    m_lastBeat = now;
    fleet_beat out;
    out.orderingMs = std::max<std::int64_t>((m_store.ownershipValidUntil() - bootNow()).count, 0);
    out.loadsAtOnce = std::llround(toPassOn(m_pace, bootNow()));
    for (const auto &[id, one] : m_servers) {
        const bool orders = mayOrder(id, one) && !isClosed(m_words.accessOf(id));
        server_beat server = serverHeartbeat(one.desk, orders, now);
        server.fence = one.fence;
        out.servers.push_back(std::move(server));
        if (auto limit = limitHeartbeat(one.desk, now)) {
            out.limits.push_back(std::move(*limit));
        }
    }
    return out;
}

const server_owner_counters &server_owner_task::counters() const
{
    return m_counters;
}

}
