#include "serving/orderer_task.h"

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

orderer_task::orderer_task(loop &eventLoop, bus &messages, store_task &store, server_notice_task &words,
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

const backend_server *orderer_task::serverOf(const std::string &id) const
{
    const auto found = m_store.view().servers.find(id);
    return found == m_store.view().servers.end() ? nullptr : &found->second;
}

const engine_spec *orderer_task::engineOfServer(const backend_server &server) const
{
    const auto &config = m_store.view().config;
    return config ? engineOf(*config, server.service) : nullptr;
}

void orderer_task::answerAll(const std::vector<desk_answer> &answers)
{
    for (const desk_answer &each : answers) {
        answer(each.entry, each.answer);
    }
}

void orderer_task::answer(const std::string &entry, const slot_response &answer)
{
    m_counters.granted += answer.decision == slot_decision::Granted ? 1 : 0;
    m_counters.refused += answer.decision == slot_decision::Refused ? 1 : 0;
    m_answer(entry, answer);
}

void orderer_task::take(const std::string &entry, const slot_request &ask)
{
    const auto found = m_servers.find(ask.server);
    const backend_server *server = serverOf(ask.server);
    if (found == m_servers.end() || server == nullptr) {
        if (server != nullptr && ask.limitMilli >= 0) {
            applyPeerLimit(m_limits, ask.server, fromMilli(ask.limitMilli),
                timeFromAge(ask.limitAgeMs, bootNow()), bootNow());
        }
        answer(entry, refuseAsk(ask.id, ask.server, refusal::NotOwner, {}));
        return;
    }
    const server_access access = m_words.accessOf(*server, entry);
    if (isClosed(access)) {
        const bool leaves = access == server_access::Leaving;
        const millis back = leaves ? millis{} : m_words.pauseLeft(*server, entry);
        answer(entry, refuseAsk(ask.id, ask.server, leaves ? refusal::ServerLeaving : refusal::Paused, back));
        m_words.notifyLeaving(entry, *server);
        return;
    }
    followLimit(ask.server, found->second);
    const slot_response first = askDesk(found->second.desk, entry, ask, bootNow());
    if (first.decision != slot_decision::Queued) {
        answer(entry, first);
        return;
    }
    pump(ask.server);
    const auto still = m_servers.find(ask.server);
    if (still != m_servers.end() && still->second.desk.queue.running.count(ask.id) == 0) {
        answer(entry, first);
    }
}

void orderer_task::take(const std::string &entry, const running_request &run)
{
    const auto found = m_servers.find(run.server);
    if (found != m_servers.end()) {
        takeRunning(found->second.desk, entry, run, bootNow());
    }
}

void orderer_task::take(const std::string &, const limit_report &note)
{
    const auto found = m_servers.find(note.server);
    if (found == m_servers.end()) {
        if (note.limitMilli >= 0 && serverOf(note.server) != nullptr) {
            applyPeerLimit(m_limits, note.server, fromMilli(note.limitMilli), bootNow(), bootNow());
        }
        return;
    }
    takeLimit(found->second.desk, note, bootNow());
    pump(note.server);
}

/// Guards against: two daemons grant the turns of one server, since one of them is cut off and doesn't know
/// that it was replaced. It shows as a server that gets nearly twice its limit. Holds because only whose
/// lease stands grants the whole limit, and who knows of a successor none of it.
void orderer_task::followLimit(const std::string &id, server_state &one)
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
    const bool stands = m_store.holdsRecord(id) && m_store.leaseStands();
    setShare(one.desk.limit, one.fenced ? 0 : stands ? 1 : unconfirmedShare, bootNow());
}

void orderer_task::take(const std::string &, const slot_report &note)
{
    const auto found = m_servers.find(note.server);
    if (found == m_servers.end()) {
        return;
    }
    takeNote(found->second.desk, note, bootNow());
    pump(note.server);
}

void orderer_task::pumpAll()
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

void orderer_task::pump(const std::string &id)
{
    const auto found = m_servers.find(id);
    const backend_server *server = serverOf(id);
    if (found == m_servers.end() || server == nullptr) {
        return;
    }
    server_state &one = found->second;
    const millis now = bootNow();
    followLimit(id, one);
    followPace(one.desk, m_pace, now);
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
    one.desk.ledger.ordersFrom = now + m_words.pauseLeft(*server, m_settings.node);
    if (one.desk.plain) {
        answerAll(answersDue(one.desk, now));
        return;
    }
    const server_ledger &ledger = one.desk.ledger;
    // Whether a load is done is asked by the order again; who may not order now learns it from a report.
    const bool cantAsk = loadsUnderWay(ledger) > 0 && !mayOrder(id, one);
    const bool unsure = !ledger.proved || !ledger.modelComing.empty() || cantAsk;
    if (isClosed(access)) {
        // It wants nothing from this daemon; others' requests for what it holds are let in all the same.
        answerAll(answersDue(one.desk, now));
        return;
    }
    if (unsure && !one.reporting && !ledger.open && now >= ledger.notBefore) {
        askReport(id, one, *server);
    } else if (mayOrder(id, one)) {
        sendOrder(id, one, *server);
    }
    answerAll(answersDue(one.desk, now));
}

fleet_heartbeat orderer_task::beat()
{
    const millis now = bootNow();
    if (m_lastBeat.count != 0 && now - m_lastBeat > stillMost) {
        // Others may have replaced it meanwhile. The store's news say so within this time; an order before
        // would be one more change of hands.
        m_pausedUntil = now + stillPause;
        m_log.important("orderer.stood_still").add("ms", now - m_lastBeat);
    }
    m_lastBeat = now;
    fleet_heartbeat out;
    out.ownershipLeftMs = std::max<std::int64_t>((m_store.provenUntil() - bootNow()).count, 0);
    out.maxFullSpeedLoads = std::llround(estimateToShare(m_pace, bootNow()));
    for (const auto &[id, one] : m_servers) {
        const bool orders = mayOrder(id, one) && !isClosed(m_words.accessOf(id));
        server_heartbeat server = beatOf(one.desk, orders, now);
        server.fence = one.fence;
        out.servers.push_back(std::move(server));
        if (auto limit = limitBeatOf(one.desk, now)) {
            out.limits.push_back(std::move(*limit));
        }
    }
    return out;
}

const orderer_counters &orderer_task::counters() const
{
    return m_counters;
}

}
