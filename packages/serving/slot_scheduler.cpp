#include "serving/slot_scheduler.h"

#include "coordination/quota_plan.h"
#include "serving/heard_server.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;

/// Whether the server can run the prompt now: its model and adapter are there.
bool isHeld(const slot_scheduler &desk, const waiting_prompt &prompt)
{
    const server_ledger &ledger = desk.ledger;
    if (desk.plain) {
        return true;
    }
    if (!holdsModel(ledger, prompt.model)) {
        return false;
    }
    if (prompt.adapter.empty()) {
        return true;
    }
    const adapter_slot *place = findSlot(ledger, prompt.model, prompt.adapter);
    return place != nullptr && place->state == slot_state::Resident;
}

/// Guards against: more adapters are asked for than the weight store can deliver, as when all entries begin
/// anew. Each load then takes longer than its callers wait, so it is there for nobody, and evicts what
/// somebody has; it shows as loads at their limit and callers refused for seconds, though arrivals are as
/// before. Holds because nothing is loaded any more than what will be there in time, so the weight store's
/// crowd goes down until loads are useful again. In the test of that load 300 servers are asked for three
/// times what the weight store delivers: 118 callers of 128 that it could serve are, and without the guard
/// none.
bool comesTooLate(const server_ledger &ledger, const waiting_prompt &prompt, millis now)
{
    const bool ordered = prompt.adapter.empty() || findSlot(ledger, prompt.model, prompt.adapter) != nullptr;
    const millis from = ordered ? now : std::max(now, ledger.ordersPausedUntil);
    return from + adapterWait(ledger, prompt.model, prompt.adapter, now) > prompt.startBy;
}

/// Prompts whose load has not begun and would end too late: they are not held until their time is over.
std::vector<waiting_prompt> takeHopeless(slot_scheduler &desk, millis now)
{
    std::vector<waiting_prompt> hopeless;
    std::erase_if(desk.queue.waiting, [&](const waiting_prompt &prompt) {
        const bool begun =
            prompt.adapter.empty() || findSlot(desk.ledger, prompt.model, prompt.adapter) != nullptr;
        const bool over = !begun && comesTooLate(desk.ledger, prompt, now);
        if (over) {
            hopeless.push_back(prompt);
        }
        return over;
    });
    return hopeless;
}

std::int64_t limitMilliOf(const limit_turns &limit)
{
    return limit.perSecond ? toMilli(*limit.perSecond) : -1;
}

place_answer grant(const server_ledger &ledger, const waiting_prompt &prompt)
{
    const adapter_slot *place = findSlot(ledger, prompt.model, prompt.adapter);
    return {prompt.id, ledger.server, place_verdict::Granted, refusal::None,
        place == nullptr ? 0 : place->version, 0};
}

}

place_answer refusedResponse(const std::string &id, const std::string &server, refusal why, millis comeBack)
{
    return {id, server, place_verdict::Refused, why, 0, std::max(comeBack, minRetryAfter).count};
}

namespace {

place_answer answerAsk(slot_scheduler &desk, const std::string &entry, const place_ask &ask, millis now)
{
    server_ledger &ledger = desk.ledger;
    noteAnswer(desk.answers, ask.outputTokens);
    if (ledger.confirmed && ledger.models.empty() && ledger.loadingModel.empty()) {
        return refusedResponse(ask.id, ask.server, refusal::NotHeld, {});
    }
    if (const auto running = desk.queue.running.find(ask.id); running != desk.queue.running.end()) {
        return grant(ledger, running->second.prompt); // the grant was lost
    }
    if (ask.limitMilli >= 0) {
        nameLimit(desk.limit, fromMilli(ask.limitMilli), heardBefore(ask.limitAgeMs, now), now);
    }
    const millis turn =
        isWaiting(desk.queue, ask.id) ? millis{} : turnAfter(desk.limit, desk.queue.waiting.size(), now);
    if (turn > millis{ask.waitMs}) {
        return refusedResponse(ask.id, ask.server, refusal::Limited, turn - millis{ask.waitMs});
    }
    const bool needsPlace = !ask.adapter.empty() && findSlot(ledger, ask.model, ask.adapter) == nullptr;
    if (needsPlace && availableSlots(ledger) <= adaptersWaitingForSlot(desk, ask.model, ask.adapter)) {
        return refusedResponse(ask.id, ask.server, refusal::NoPlace, slotRetryAfter);
    }
    const waiting_prompt prompt{ask.id, entry, ask.model, ask.adapter, ask.promptTokens, ask.outputTokens,
        ask.rank, now, now + millis{ask.waitMs}, now + millis{ask.deadlineMs}, now + millis{ask.targetMs}};
    if (comesTooLate(ledger, prompt, now)) {
        const millis wait = adapterWait(ledger, ask.model, ask.adapter, now);
        return refusedResponse(ask.id, ask.server, refusal::LoadTooSlow, wait - millis{ask.waitMs});
    }
    const enqueue_result admitted = enqueue(desk.queue, prompt, now);
    if (!admitted.accepted) {
        return refusedResponse(ask.id, ask.server, refusal::TooBusy, admitted.wait - millis{ask.waitMs});
    }
    return {ask.id, ask.server, place_verdict::Queued, refusal::None, 0, 0};
}

}

place_answer handleSlotRequest(
    slot_scheduler &desk, const std::string &entry, const place_ask &ask, millis now)
{
    place_answer answer = answerAsk(desk, entry, ask, now);
    answer.limitMilli = limitMilliOf(desk.limit);
    return answer;
}

void registerRunning(slot_scheduler &desk, const std::string &entry, const place_running &run, millis now)
{
    if (desk.queue.running.count(run.id) != 0) {
        return;
    }
    const waiting_prompt prompt{run.id, entry, run.model, run.adapter, run.promptTokens, run.outputTokens, 0,
        now, now, now + millis{run.deadlineMs}, now};
    desk.queue.running.emplace(run.id, running_prompt{prompt, now, run.reading});
    beginUse(desk.ledger, run.model, run.adapter, now);
}

void onRequestEvent(slot_scheduler &desk, const place_note &note, millis now)
{
    if (note.event == place_event::FirstToken) {
        onFirstToken(desk.queue, note.id, now);
        return;
    }
    if (const auto run = removePrompt(desk.queue, note.id, now)) {
        endUse(desk.ledger, run->prompt.model, run->prompt.adapter);
        if (note.event == place_event::Unsent) {
            returnTurn(desk.limit);
        }
        if (note.event == place_event::NotHeld) {
            onNotHeld(desk.ledger, run->prompt.model, run->prompt.adapter, now);
        }
    }
}

void onLimitNotice(slot_scheduler &desk, const limit_note &note, millis now)
{
    if (note.limitMilli >= 0) {
        nameLimit(desk.limit, fromMilli(note.limitMilli), now, now);
        return;
    }
    const auto run = desk.queue.running.find(note.id);
    if (run != desk.queue.running.end()) {
        endLimit(desk.limit, run->second.granted, now);
    }
}

void dropExpired(slot_scheduler &desk, millis now)
{
    for (const running_prompt &run : removeExpired(desk.queue, now)) {
        endUse(desk.ledger, run.prompt.model, run.prompt.adapter);
    }
}

void applyReport(slot_scheduler &desk, const server_report &report, millis now)
{
    applyReport(desk.ledger, report, now);
    for (adapter_slot &place : desk.ledger.adapters) {
        place.users = 0;
        for (const auto &[id, run] : desk.queue.running) {
            place.users += run.prompt.model == place.model && run.prompt.adapter == place.adapter ? 1 : 0;
        }
    }
}

std::vector<addressed_response> dueResponses(slot_scheduler &desk, millis now)
{
    std::vector<addressed_response> answers;
    std::vector<waiting_prompt> late = takeHopeless(desk, now);
    const auto ready = [&desk](const waiting_prompt &prompt) {
        return isHeld(desk, prompt);
    };
    for (const waiting_prompt &prompt :
        admitReady(desk.queue, ready, late, now, turnsLeft(desk.limit, now))) {
        takeTurn(desk.limit);
        beginUse(desk.ledger, prompt.model, prompt.adapter, now);
        answers.push_back({prompt.entry, grant(desk.ledger, prompt)});
    }
    for (const waiting_prompt &prompt : late) {
        answers.push_back(
            {prompt.entry, refusedResponse(prompt.id, desk.ledger.server, refusal::TooBusy, minRetryAfter)});
    }
    for (addressed_response &each : answers) {
        each.answer.limitMilli = limitMilliOf(desk.limit);
    }
    return answers;
}

std::vector<addressed_response> refusePaused(
    slot_scheduler &desk, const std::function<millis(const std::string &entry)> &pauseLeft)
{
    std::vector<addressed_response> answers;
    std::erase_if(desk.queue.waiting, [&](const waiting_prompt &prompt) {
        const millis left = pauseLeft(prompt.entry);
        if (left > millis{}) {
            answers.push_back(
                {prompt.entry, refusedResponse(prompt.id, desk.ledger.server, refusal::Paused, left)});
        }
        return left > millis{};
    });
    return answers;
}

std::vector<addressed_response> refuseWaiting(slot_scheduler &desk, refusal why)
{
    std::vector<addressed_response> answers;
    for (const waiting_prompt &prompt : std::exchange(desk.queue.waiting, {})) {
        answers.push_back({prompt.entry, refusedResponse(prompt.id, desk.ledger.server, why, minRetryAfter)});
    }
    return answers;
}

void updateLoadTimes(slot_scheduler &desk, load_pace &pace, millis now)
{
    for (const measured_load &load : std::exchange(desk.ledger.measuredLoads, {})) {
        noteLoad(pace, load.duration, load.concurrentLoads, now);
    }
    for (const adapter_slot &place : desk.ledger.adapters) {
        if (place.state == slot_state::Loading && !place.cached && place.orderedHere) {
            noteUnderWay(pace, now - place.stateSince, (place.concurrentLoads + pace.crowd) / 2, now);
        }
    }
    desk.ledger.concurrentLoads = pace.crowd;
    desk.ledger.storeLoadMs = loadMsNow(pace);
}

std::optional<server_order> orderDue(slot_scheduler &desk, order_constraints limits, millis now)
{
    std::vector<wanted_adapter> wants;
    for (const waiting_prompt &prompt : desk.queue.waiting) {
        if (!prompt.adapter.empty() && !comesTooLate(desk.ledger, prompt, now)) {
            wants.push_back({prompt.model, prompt.adapter});
        }
    }
    limits.isWaitedFor = [&desk](const std::string &model, const std::string &adapter) {
        return std::any_of(
            desk.queue.waiting.begin(), desk.queue.waiting.end(), [&](const waiting_prompt &prompt) {
                return prompt.model == model && prompt.adapter == adapter;
            });
    };
    return nextOrder(desk.ledger, wants, limits, now);
}

int adaptersWaitingForSlot(const slot_scheduler &desk, const std::string &model, const std::string &adapter)
{
    std::set<std::string> names;
    for (const waiting_prompt &prompt : desk.queue.waiting) {
        const bool other = prompt.model != model || prompt.adapter != adapter;
        if (other && !prompt.adapter.empty()
            && findSlot(desk.ledger, prompt.model, prompt.adapter) == nullptr) {
            names.insert(adapterKey(prompt.model, prompt.adapter));
        }
    }
    return static_cast<int>(names.size());
}

std::optional<limit_beat> limitHeartbeat(const slot_scheduler &desk, millis now)
{
    const bool endedLately = desk.limit.ended.count != 0 && now - desk.limit.ended < endTold;
    if (!desk.limit.perSecond && !endedLately) {
        return std::nullopt;
    }
    return limit_beat{desk.ledger.server, limitMilliOf(desk.limit),
        turnAfter(desk.limit, desk.queue.waiting.size(), now).count};
}

server_beat serverHeartbeat(const slot_scheduler &desk, bool mayOrder, millis now)
{
    server_beat beat;
    beat.server = desk.ledger.server;
    beat.held = !desk.ledger.models.empty();
    for (const adapter_slot &place : desk.ledger.adapters) {
        if (place.state != slot_state::Unloading) {
            beat.adapters.push_back(
                {adapterHash(adapterKey(place.model, place.adapter)), place.state == slot_state::Loading,
                    static_cast<std::uint32_t>(std::llround(currentUseScore(place, now)))});
        }
    }
    // Less those that are spoken for; entries would else go on sending there what is refused.
    const int open = availableSlots(desk.ledger) - adaptersWaitingForSlot(desk, "", "");
    beat.openPlaces = mayOrder && desk.ledger.confirmed ? static_cast<std::uint32_t>(std::max(open, 0)) : 0;
    beat.backlogTokens = backlogTokens(desk.queue);
    beat.tokensPerSecond = std::llround(desk.queue.tokensPerMs * msPerSecond);
    beat.running = static_cast<std::uint32_t>(desk.queue.running.size());
    for (const auto &[id, run] : desk.queue.running) {
        beat.longAnswers += isLongAnswer(desk.answers, run.prompt.outputTokens) ? 1 : 0;
    }
    return beat;
}

}
