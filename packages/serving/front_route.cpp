#include "serving/front_work.h"

#include "coordination/quota_plan.h"
#include "coordination/rendezvous.h"

#include <algorithm>

// Where a request goes: the choice of a server, and the question for a place there.
namespace briarhead {

namespace {

/// Of a datagram and its answer, across failure domains and with a busy peer: then it is asked again.
constexpr millis askAgainAfter{120};
constexpr int asksPerServer = 3;

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
        candidate.excluded = isClosed(m_words.accessOf(server)) || one->excluded.count(id) != 0;
        candidate.sameDomain = server.failureDomain == m_settings.failureDomain;
        candidate.slots = server.slots;
        const auto mine = m_inFlight.find(id);
        candidate.mine = mine == m_inFlight.end() ? 0 : mine->second;
        const auto record = m_records.find(id);
        candidate.failures = record == m_records.end() ? 0 : failuresNow(record->second, now);
        candidate.tieBreak = rendezvousScore(one->request.id, id);
        if (const auto wait = turnWait(id)) {
            candidate.limited = true;
            candidate.turnWait = static_cast<double>(wait->count)
                / static_cast<double>(std::max<std::int64_t>(one->way->target.count, 1));
            candidate.excluded =
                candidate.excluded || one->placesTried >= placesAsked || comesTooLate(*one, *wait);
        }
        servers.push_back(&server);
        candidates.push_back(candidate);
    }
    const auto chosen = choosePlainServer(candidates);
    if (!chosen) {
        // The answer there is, a failure, is better than none; but not a server's word that it ran nothing,
        // which doesn't say when coming back helps.
        const bool answered = !one->body.empty() || one->head.status != 0;
        if (answered && !one->meta.notRun) {
            passAnswer(one);
            return;
        }
        refuse(one, whyNoServer(*one), firstBack(*one, comeBackSoon));
        return;
    }
    const backend_server &server = *servers[*chosen];
    if (m_words.accessOf(server) == server_access::ByTurn) {
        askTurn(one, server);
        return;
    }
    one->granted = false;
    one->orderer.clear();
    send(one, server);
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
        candidate.excluded =
            candidate.excluded || isClosed(m_words.accessOf(server)) || one.excluded.count(id) != 0;
        const bool own = heard != m_heard.end() && heard->second.orderer == m_settings.node;
        candidate.excluded = candidate.excluded || (m_alone && !own);
        if (const auto wait = turnWait(id)) {
            // Without its orderer nobody grants its turns.
            const bool stale = heard != m_heard.end() && !isFresh(heard->second, now);
            candidate.excluded = candidate.excluded || stale || comesTooLate(one, *wait);
            candidate.backlogMs += static_cast<double>(wait->count);
        }
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
    answer_mix &answers = m_answers[one->service];
    if (one->placesTried == 0) {
        noteAnswer(answers, one->request.outputTokens);
    }
    prompt_shape prompt = shapeOf(answers, one->request.promptTokens, one->request.outputTokens);
    prompt.copyShare = copyShareOf(candidates);
    const auto chosen = chooseModelServer(candidates, prompt);
    if (!chosen && m_alone) {
        refuse(one, "cut off from the other daemons", comeBackElsewhere);
        return;
    }
    const bool unheard =
        !chosen && one->excluded.empty() && !one->mayHaveRun && !lacksTurn(*one) && !allClosed(*one);
    if (unheard && bootNow() - one->arrived < startPatience) {
        // No server's orderer has spoken yet: after a start, or after the death of those nearby.
        waitAndRetry(one, &front_task::startModel);
        return;
    }
    if (!chosen || one->placesTried >= placesAsked) {
        refuse(one, chosen ? "every server asked is full" : whyNoServer(*one), firstBack(*one, comeBackSoon));
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
    m_log.ordinary("request.routed")
        .add("id", one->request.id)
        .add("server", server.id)
        .add("orderer", orderer)
        .add("of", static_cast<std::int64_t>(candidates.size()))
        .add("prompt_tokens", prompt.promptTokens)
        .add("output_tokens", one->request.outputTokens)
        .add("apart", prompt.apart)
        .add("copy_share", prompt.copyShare)
        .add("cost_ms", *costOf(candidates[*chosen], prompt))
        .add("adapter", nameOf(candidates[*chosen].adapter))
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
    if (const auto limit = m_limits.find(server.id); limit != m_limits.end()) {
        countTurn(limit->second, bootNow());
    }
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
    const auto found = view.serverOwners.find(server);
    const bool lives = found != view.serverOwners.end() && view.daemons.count(found->second.record.node) != 0;
    return lives ? found->second.record.node : "";
}

void front_task::ask(const work_ptr &one)
{
    ++one->asks;
    ++m_counters.asks;
    m_workOfAsk[one->request.id] = one->number;
    const millis waited = bootNow() - one->arrived;
    const std::int64_t wait = patienceLeft(*one).count;
    place_ask message{one->request.id, one->server, one->request.model, one->request.adapter,
        one->request.promptTokens, one->request.outputTokens, rankOf(*one->way, one->account),
        std::max<std::int64_t>(wait, 0), std::max<std::int64_t>(left(*one).count, 0),
        (one->way->target - waited).count, -1, 0};
    if (const auto limit = m_limits.find(one->server); limit != m_limits.end()) {
        message.limitMilli = toMilli(limit->second.perSecond);
        message.limitAgeMs = (bootNow() - limit->second.heard).count;
    }
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
    if (const auto limit = m_limits.find(one->server); limit != m_limits.end()) {
        limit->second.turnAt = bootNow() + silentHolder; // the next callers are not to wait for it too
    }
    start(one);
}

void front_task::onAnswer(const place_answer &answer)
{
    const bool knowsLimit = answer.why != refusal::NotOrderer && answer.why != refusal::ServerLeaving;
    if (knowsLimit) {
        const bool limited = answer.verdict == place_verdict::Refused && answer.why == refusal::Limited;
        const auto known = turnWait(answer.server);
        const millis wait = limited ? millis{answer.comeBackMs} : known.value_or(millis{});
        hearKept(m_limits, answer.server, limitFrom(answer.limitMilli), wait, bootNow());
    }
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
            note(ended, place_event::Unsent);
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
        one->placeWait = bootNow() - one->askedAt;
        record(m_counters.placeWait, static_cast<double>(one->placeWait.count));
        const auto server = m_store.view().servers.find(one->server);
        if (server == m_store.view().servers.end()) {
            leaveClosed(one, place_event::Unsent);
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
            .add("why", nameOf(answer.why))
            .add("come_back_ms", answer.comeBackMs);
        if (one->shortestWait.count < 0 || answer.comeBackMs < one->shortestWait.count) {
            one->shortestWait = {answer.comeBackMs};
        }
        one->excluded.insert(answer.server);
        start(one);
        return;
    }
}

void front_task::note(const work &one, place_event event)
{
    if (one.orderer.empty()) {
        return;
    }
    const place_note message{one.request.id, one.server, event};
    tell(one.orderer, message);
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
        takeBeat(heard, each, node, now);
        if (changed) {
            announce(each.server, node);
        }
    }
    for (const limit_beat &each : beat.limits) {
        const auto heard = m_heard.find(each.server);
        if (heard != m_heard.end() && heard->second.orderer == node) {
            hearKept(m_limits, each.server, limitFrom(each.limitMilli), millis{each.waitMs}, now);
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

}
