#include "serving/place_desk.h"

#include "coordination/quota_plan.h"
#include "serving/observed_server.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;

/// Whether the server can run the prompt now: its model and adapter are there.
bool isHeld(const place_desk &desk, const waiting_prompt &prompt)
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
    const adapter_place *place = findPlace(ledger, prompt.model, prompt.adapter);
    return place != nullptr && place->state == place_state::Resident;
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
    const bool ordered = prompt.adapter.empty() || findPlace(ledger, prompt.model, prompt.adapter) != nullptr;
    const millis from = ordered ? now : std::max(now, ledger.ordersFrom);
    return from + adapterWait(ledger, prompt.model, prompt.adapter, now) > prompt.startBy;
}

/// Prompts whose load has not begun and would end too late: they are not held until their time is over.
std::vector<waiting_prompt> takeHopeless(place_desk &desk, millis now)
{
    std::vector<waiting_prompt> hopeless;
    std::erase_if(desk.queue.waiting, [&](const waiting_prompt &prompt) {
        const bool begun =
            prompt.adapter.empty() || findPlace(desk.ledger, prompt.model, prompt.adapter) != nullptr;
        const bool over = !begun && comesTooLate(desk.ledger, prompt, now);
        if (over) {
            hopeless.push_back(prompt);
        }
        return over;
    });
    return hopeless;
}

std::int64_t limitMilliOf(const limit_permits &limit)
{
    return limit.perSecond ? toMilli(*limit.perSecond) : -1;
}

slot_response grant(const server_ledger &ledger, const waiting_prompt &prompt)
{
    const adapter_place *place = findPlace(ledger, prompt.model, prompt.adapter);
    return {prompt.id, ledger.server, slot_decision::Granted, refusal::None,
        place == nullptr ? 0 : place->version, 0};
}

}

slot_response refuseAsk(const std::string &id, const std::string &server, refusal why, millis comeBack)
{
    return {id, server, slot_decision::Refused, why, 0, std::max(comeBack, shortestComeBack).count};
}

namespace {

slot_response answerAsk(place_desk &desk, const std::string &entry, const slot_request &ask, millis now)
{
    server_ledger &ledger = desk.ledger;
    recordOutputLength(desk.answers, ask.outputTokens);
    if (ledger.proved && ledger.models.empty() && ledger.modelComing.empty()) {
        return refuseAsk(ask.id, ask.server, refusal::ModelNotLoaded, {});
    }
    if (const auto running = desk.queue.running.find(ask.id); running != desk.queue.running.end()) {
        return grant(ledger, running->second.what); // the grant was lost
    }
    if (ask.limitMilli >= 0) {
        applyLimit(desk.limit, fromMilli(ask.limitMilli), timeFromAge(ask.limitAgeMs, now), now);
    }
    const millis turn =
        isWaiting(desk.queue, ask.id) ? millis{} : permitDelay(desk.limit, desk.queue.waiting.size(), now);
    if (turn > millis{ask.waitMs}) {
        return refuseAsk(ask.id, ask.server, refusal::Limited, turn - millis{ask.waitMs});
    }
    const bool needsPlace = !ask.adapter.empty() && findPlace(ledger, ask.model, ask.adapter) == nullptr;
    if (needsPlace && openPlaces(ledger) <= adaptersWaited(desk, ask.model, ask.adapter)) {
        return refuseAsk(ask.id, ask.server, refusal::NoSlot, placeComeBack);
    }
    const waiting_prompt prompt{ask.id, entry, ask.model, ask.adapter, ask.promptTokens, ask.outputTokens,
        ask.rank, now, now + millis{ask.waitMs}, now + millis{ask.deadlineMs}, now + millis{ask.targetMs}};
    if (comesTooLate(ledger, prompt, now)) {
        const millis wait = adapterWait(ledger, ask.model, ask.adapter, now);
        return refuseAsk(ask.id, ask.server, refusal::LoadTooSlow, wait - millis{ask.waitMs});
    }
    const admission admitted = admit(desk.queue, prompt, now);
    if (!admitted.taken) {
        return refuseAsk(ask.id, ask.server, refusal::TooBusy, admitted.wait - millis{ask.waitMs});
    }
    return {ask.id, ask.server, slot_decision::Queued, refusal::None, 0, 0};
}

}

slot_response askDesk(place_desk &desk, const std::string &entry, const slot_request &ask, millis now)
{
    slot_response answer = answerAsk(desk, entry, ask, now);
    answer.limitMilli = limitMilliOf(desk.limit);
    return answer;
}

void takeRunning(place_desk &desk, const std::string &entry, const running_request &run, millis now)
{
    if (desk.queue.running.count(run.id) != 0) {
        return;
    }
    const waiting_prompt prompt{run.id, entry, run.model, run.adapter, run.promptTokens, run.outputTokens, 0,
        now, now, now + millis{run.deadlineMs}, now};
    desk.queue.running.emplace(run.id, running_prompt{prompt, now, run.inPrefill});
    beginUse(desk.ledger, run.model, run.adapter, now);
}

void takeNote(place_desk &desk, const slot_report &note, millis now)
{
    if (note.event == slot_event::FirstToken) {
        firstToken(desk.queue, note.id, now);
        return;
    }
    if (const auto run = ended(desk.queue, note.id, now)) {
        endUse(desk.ledger, run->what.model, run->what.adapter);
        if (note.event == slot_event::NotSent) {
            returnPermit(desk.limit);
        }
        if (note.event == slot_event::AdapterNotLoaded) {
            notHeld(desk.ledger, run->what.model, run->what.adapter, now);
        }
    }
}

void takeLimit(place_desk &desk, const limit_report &note, millis now)
{
    if (note.limitMilli >= 0) {
        applyLimit(desk.limit, fromMilli(note.limitMilli), now, now);
        return;
    }
    const auto run = desk.queue.running.find(note.id);
    if (run != desk.queue.running.end()) {
        withdrawLimit(desk.limit, run->second.granted, now);
    }
}

void dropExpired(place_desk &desk, millis now)
{
    for (const running_prompt &run : expired(desk.queue, now)) {
        endUse(desk.ledger, run.what.model, run.what.adapter);
    }
}

void takeReport(place_desk &desk, const server_report &report, millis now)
{
    takeReport(desk.ledger, report, now);
    for (adapter_place &place : desk.ledger.adapters) {
        place.users = 0;
        for (const auto &[id, run] : desk.queue.running) {
            place.users += run.what.model == place.model && run.what.adapter == place.adapter ? 1 : 0;
        }
    }
}

std::vector<desk_answer> answersDue(place_desk &desk, millis now)
{
    std::vector<desk_answer> answers;
    std::vector<waiting_prompt> late = takeHopeless(desk, now);
    const auto ready = [&desk](const waiting_prompt &prompt) {
        return isHeld(desk, prompt);
    };
    for (const waiting_prompt &prompt : letIn(desk.queue, ready, late, now, permitsLeft(desk.limit, now))) {
        acquirePermit(desk.limit);
        beginUse(desk.ledger, prompt.model, prompt.adapter, now);
        answers.push_back({prompt.entry, grant(desk.ledger, prompt)});
    }
    for (const waiting_prompt &prompt : late) {
        answers.push_back(
            {prompt.entry, refuseAsk(prompt.id, desk.ledger.server, refusal::TooBusy, shortestComeBack)});
    }
    for (desk_answer &each : answers) {
        each.answer.limitMilli = limitMilliOf(desk.limit);
    }
    return answers;
}

std::vector<desk_answer> refusePaused(
    place_desk &desk, const std::function<millis(const std::string &entry)> &pauseLeft)
{
    std::vector<desk_answer> answers;
    std::erase_if(desk.queue.waiting, [&](const waiting_prompt &prompt) {
        const millis left = pauseLeft(prompt.entry);
        if (left > millis{}) {
            answers.push_back(
                {prompt.entry, refuseAsk(prompt.id, desk.ledger.server, refusal::Paused, left)});
        }
        return left > millis{};
    });
    return answers;
}

std::vector<desk_answer> refuseWaiting(place_desk &desk, refusal why)
{
    std::vector<desk_answer> answers;
    for (const waiting_prompt &prompt : std::exchange(desk.queue.waiting, {})) {
        answers.push_back({prompt.entry, refuseAsk(prompt.id, desk.ledger.server, why, shortestComeBack)});
    }
    return answers;
}

void followPace(place_desk &desk, load_estimate &pace, millis now)
{
    for (const load_seen &load : std::exchange(desk.ledger.loadsSeen, {})) {
        recordLoad(pace, load.took, load.crowd, now);
    }
    for (const adapter_place &place : desk.ledger.adapters) {
        if (place.state == place_state::Loading && !place.known && place.ordered) {
            recordLoadInProgress(pace, now - place.since, (place.crowd + pace.concurrentLoads) / 2, now);
        }
    }
    desk.ledger.crowd = pace.concurrentLoads;
    desk.ledger.storeMs = expectedLoadMs(pace);
}

std::optional<server_order> orderDue(place_desk &desk, order_limits limits, millis now)
{
    std::vector<adapter_want> wants;
    for (const waiting_prompt &prompt : desk.queue.waiting) {
        if (!prompt.adapter.empty() && !comesTooLate(desk.ledger, prompt, now)) {
            wants.push_back({prompt.model, prompt.adapter});
        }
    }
    limits.waitedFor = [&desk](const std::string &model, const std::string &adapter) {
        return std::any_of(
            desk.queue.waiting.begin(), desk.queue.waiting.end(), [&](const waiting_prompt &prompt) {
                return prompt.model == model && prompt.adapter == adapter;
            });
    };
    return nextOrder(desk.ledger, wants, limits, now);
}

int adaptersWaited(const place_desk &desk, const std::string &model, const std::string &adapter)
{
    std::set<std::string> names;
    for (const waiting_prompt &prompt : desk.queue.waiting) {
        const bool other = prompt.model != model || prompt.adapter != adapter;
        if (other && !prompt.adapter.empty()
            && findPlace(desk.ledger, prompt.model, prompt.adapter) == nullptr) {
            names.insert(adapterKey(prompt.model, prompt.adapter));
        }
    }
    return static_cast<int>(names.size());
}

std::optional<limit_heartbeat> limitBeatOf(const place_desk &desk, millis now)
{
    const bool endedLately =
        desk.limit.withdrawnAt.count != 0 && now - desk.limit.withdrawnAt < withdrawalAnnouncedFor;
    if (!desk.limit.perSecond && !endedLately) {
        return std::nullopt;
    }
    return limit_heartbeat{desk.ledger.server, limitMilliOf(desk.limit),
        permitDelay(desk.limit, desk.queue.waiting.size(), now).count};
}

server_heartbeat beatOf(const place_desk &desk, bool mayOrder, millis now)
{
    server_heartbeat beat;
    beat.server = desk.ledger.server;
    beat.modelLoaded = !desk.ledger.models.empty();
    for (const adapter_place &place : desk.ledger.adapters) {
        if (place.state != place_state::Unloading) {
            beat.adapters.push_back(
                {adapterHash(adapterKey(place.model, place.adapter)), place.state == place_state::Loading,
                    static_cast<std::uint32_t>(std::llround(usesNow(place, now)))});
        }
    }
    // Less those that are spoken for; entries would else go on sending there what is refused.
    const int open = openPlaces(desk.ledger) - adaptersWaited(desk, "", "");
    beat.availableSlots = mayOrder && desk.ledger.proved ? static_cast<std::uint32_t>(std::max(open, 0)) : 0;
    beat.backlogTokens = backlogTokens(desk.queue);
    beat.prefillTokensPerSecond = std::llround(desk.queue.speed * msPerSecond);
    beat.running = static_cast<std::uint32_t>(desk.queue.running.size());
    for (const auto &[id, run] : desk.queue.running) {
        beat.longResponses += isLongResponse(desk.answers, run.what.outputTokens) ? 1 : 0;
    }
    return beat;
}

}
