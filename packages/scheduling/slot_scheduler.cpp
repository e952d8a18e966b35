#include "scheduling/slot_scheduler.h"

#include "coordination/quota_plan.h"
#include "scheduling/observed_server.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;

/// Whether the server can run the prompt now: it holds its model and adapter.
bool isReady(const slot_scheduler &scheduler, const waiting_prompt &prompt)
{
    const server_ledger &ledger = scheduler.ledger;
    if (scheduler.plain) {
        return true;
    }
    if (!holdsModel(ledger, prompt.model)) {
        return false;
    }
    if (prompt.adapter.empty()) {
        return true;
    }
    const adapter_slot *slot = findSlot(ledger, prompt.model, prompt.adapter);
    return slot != nullptr && slot->state == slot_state::Resident;
}

/// Whether the prompt's adapter would be loaded too late for it. Such adapters are not loaded.
///
/// When more adapters are requested than the weight store can deliver, as after a restart of all entries,
/// each load takes longer than its callers wait: it serves nobody, and evicts an adapter in use. Loads stay
/// at their limit and callers are refused for seconds although arrivals are as before. Loading only what
/// arrives in time reduces the number of concurrent loads until loads are useful again. In the load
/// contention test, with 300 servers and three times the rate of the weight store, 118 of the 128 callers
/// that can be served are served; without this check none are.
bool loadsTooLate(const server_ledger &ledger, const waiting_prompt &prompt, millis now)
{
    const bool ordered = prompt.adapter.empty() || findSlot(ledger, prompt.model, prompt.adapter) != nullptr;
    const millis from = ordered ? now : std::max(now, ledger.ordersPausedUntil);
    return from + adapterWait(ledger, prompt.model, prompt.adapter, now) > prompt.startBy;
}

/// Removes and returns the prompts whose load has not begun and would end too late, so that they are refused
/// at once rather than at the end of their wait.
std::vector<waiting_prompt> removeUnservable(slot_scheduler &scheduler, millis now)
{
    std::vector<waiting_prompt> unservable;
    std::erase_if(scheduler.queue.waiting, [&](const waiting_prompt &prompt) {
        const bool loadBegun =
            prompt.adapter.empty() || findSlot(scheduler.ledger, prompt.model, prompt.adapter) != nullptr;
        const bool tooLate = !loadBegun && loadsTooLate(scheduler.ledger, prompt, now);
        if (tooLate) {
            unservable.push_back(prompt);
        }
        return tooLate;
    });
    return unservable;
}

std::int64_t limitMilliOf(const limit_permits &limit)
{
    return limit.perSecond ? toMilli(*limit.perSecond) : -1;
}

slot_response grant(const server_ledger &ledger, const waiting_prompt &prompt)
{
    const adapter_slot *slot = findSlot(ledger, prompt.model, prompt.adapter);
    return {prompt.id, ledger.server, slot_decision::Granted, refusal::None,
        slot == nullptr ? 0 : slot->version, 0};
}

}

slot_response refusedResponse(
    const std::string &id, const std::string &server, refusal reason, millis retryAfter)
{
    return {id, server, slot_decision::Refused, reason, 0, std::max(retryAfter, minRetryAfter).count};
}

namespace {

slot_response decideRequest(slot_scheduler &scheduler, const std::string &entry, const slot_request &request,
    const slot_terms &terms, millis now)
{
    server_ledger &ledger = scheduler.ledger;
    recordOutputLength(scheduler.outputLengths, request.outputTokens);
    if (ledger.confirmed && ledger.models.empty() && ledger.loadingModel.empty()) {
        return refusedResponse(request.id, request.server, refusal::ModelNotLoaded, {});
    }
    if (const auto running = scheduler.queue.running.find(request.id);
        running != scheduler.queue.running.end()) {
        return grant(ledger, running->second.prompt); // the first grant was lost
    }
    if (request.limitMilli >= 0) {
        applyLimit(scheduler.limit, fromMilli(request.limitMilli), timeFromAge(request.limitAgeMs, now), now);
    }
    if (scheduler.limit.perSecond && terms.maxRejections >= 0) {
        scheduler.limit.maxRejections = terms.maxRejections;
    }
    const millis permitWait = isWaiting(scheduler.queue, request.id)
        ? millis{}
        : permitDelay(scheduler.limit, scheduler.queue.waiting.size(), now);
    if (permitWait > millis{request.waitMs}) {
        return refusedResponse(
            request.id, request.server, refusal::Limited, permitWait - millis{request.waitMs});
    }
    const bool needsSlot =
        !request.adapter.empty() && findSlot(ledger, request.model, request.adapter) == nullptr;
    if (needsSlot
        && availableSlots(ledger) <= adaptersWaitingForSlot(scheduler, request.model, request.adapter)) {
        return refusedResponse(request.id, request.server, refusal::NoSlot, slotRetryAfter);
    }
    const waiting_prompt prompt{request.id, entry, request.model, request.adapter, request.promptTokens,
        request.outputTokens, combinedRank(request.rank, terms.routeRank), now, now + millis{request.waitMs},
        now + millis{request.deadlineMs}, now + millis{request.targetMs}, terms};
    if (loadsTooLate(ledger, prompt, now)) {
        const millis wait = adapterWait(ledger, request.model, request.adapter, now);
        return refusedResponse(
            request.id, request.server, refusal::LoadTooSlow, wait - millis{request.waitMs});
    }
    const enqueue_result enqueued = enqueue(scheduler.queue, prompt, now);
    if (!enqueued.accepted) {
        return refusedResponse(
            request.id, request.server, refusal::TooBusy, enqueued.expectedWait - millis{request.waitMs});
    }
    return {request.id, request.server, slot_decision::Queued, refusal::None, 0, 0};
}

}

slot_response handleSlotRequest(slot_scheduler &scheduler, const std::string &entry,
    const slot_request &request, millis now, const slot_terms &terms)
{
    slot_response response = decideRequest(scheduler, entry, request, terms, now);
    response.limitMilli = limitMilliOf(scheduler.limit);
    return response;
}

void registerRunning(
    slot_scheduler &scheduler, const std::string &entry, const running_request &run, millis now)
{
    if (scheduler.queue.running.count(run.id) != 0) {
        return;
    }
    const waiting_prompt prompt{run.id, entry, run.model, run.adapter, run.promptTokens, run.outputTokens, 0,
        now, now, now + millis{run.deadlineMs}, now, {}};
    scheduler.queue.running.emplace(run.id, running_prompt{prompt, now, run.inPrefill});
    beginUse(scheduler.ledger, run.model, run.adapter, now);
}

void onRequestEvent(slot_scheduler &scheduler, const slot_report &report, millis now)
{
    if (report.event == slot_event::FirstToken) {
        onFirstToken(scheduler.queue, report.id, now);
        return;
    }
    if (const auto run = removePrompt(scheduler.queue, report.id, now)) {
        endUse(scheduler.ledger, run->prompt.model, run->prompt.adapter);
        if (report.event == slot_event::NotSent) {
            returnPermit(scheduler.limit);
        }
        if (report.event == slot_event::AdapterNotLoaded) {
            onNotHeld(scheduler.ledger, run->prompt.model, run->prompt.adapter, now);
        }
    }
}

void onRejection(slot_scheduler &scheduler, const std::string &id, millis now)
{
    if (const auto run = removePrompt(scheduler.queue, id, now)) {
        endUse(scheduler.ledger, run->prompt.model, run->prompt.adapter);
        recordRejection(scheduler.limit, now);
    }
}

void onLimitReport(slot_scheduler &scheduler, const limit_report &report, millis now)
{
    if (report.limitMilli >= 0) {
        applyLimit(scheduler.limit, fromMilli(report.limitMilli), now, now);
        return;
    }
    const auto run = scheduler.queue.running.find(report.id);
    if (run != scheduler.queue.running.end()) {
        withdrawLimit(scheduler.limit, run->second.granted, now);
    }
}

void releaseExpired(slot_scheduler &scheduler, millis now)
{
    for (const running_prompt &run : removeExpired(scheduler.queue, now)) {
        endUse(scheduler.ledger, run.prompt.model, run.prompt.adapter);
    }
}

void applyReport(slot_scheduler &scheduler, const server_report &report, millis now)
{
    applyReport(scheduler.ledger, report, now);
    for (adapter_slot &slot : scheduler.ledger.adapters) {
        slot.users = 0;
        for (const auto &[id, run] : scheduler.queue.running) {
            slot.users += run.prompt.model == slot.model && run.prompt.adapter == slot.adapter ? 1 : 0;
        }
    }
}

std::vector<addressed_response> dueResponses(slot_scheduler &scheduler, millis now)
{
    std::vector<addressed_response> responses;
    std::vector<waiting_prompt> late = removeUnservable(scheduler, now);
    const auto ready = [&scheduler](const waiting_prompt &prompt) {
        return isReady(scheduler, prompt);
    };
    const std::size_t mayBeSent = std::min(permitsLeft(scheduler.limit, now),
        roomLeft(scheduler.limit, scheduler.queue.running.size(), scheduler.serverSlots, now));
    for (const waiting_prompt &prompt : admitReady(scheduler.queue, ready, late, now, mayBeSent)) {
        acquirePermit(scheduler.limit);
        beginUse(scheduler.ledger, prompt.model, prompt.adapter, now);
        responses.push_back({prompt.entry, grant(scheduler.ledger, prompt)});
    }
    for (const waiting_prompt &prompt : late) {
        responses.push_back({prompt.entry,
            refusedResponse(prompt.id, scheduler.ledger.server, refusal::TooBusy, minRetryAfter)});
    }
    for (addressed_response &each : responses) {
        each.response.limitMilli = limitMilliOf(scheduler.limit);
    }
    return responses;
}

std::vector<addressed_response> refusePaused(
    slot_scheduler &scheduler, const std::function<millis(const std::string &entry)> &pauseLeft)
{
    std::vector<addressed_response> responses;
    std::erase_if(scheduler.queue.waiting, [&](const waiting_prompt &prompt) {
        const millis left = pauseLeft(prompt.entry);
        if (left > millis{}) {
            responses.push_back(
                {prompt.entry, refusedResponse(prompt.id, scheduler.ledger.server, refusal::Paused, left)});
        }
        return left > millis{};
    });
    return responses;
}

std::vector<addressed_response> refuseWaiting(slot_scheduler &scheduler, refusal reason)
{
    std::vector<addressed_response> responses;
    for (const waiting_prompt &prompt : std::exchange(scheduler.queue.waiting, {})) {
        responses.push_back(
            {prompt.entry, refusedResponse(prompt.id, scheduler.ledger.server, reason, minRetryAfter)});
    }
    return responses;
}

void updateLoadTimes(slot_scheduler &scheduler, load_estimate &pace, millis now)
{
    for (const measured_load &load : std::exchange(scheduler.ledger.measuredLoads, {})) {
        recordLoad(pace, load.duration, load.concurrentLoads, now);
    }
    for (const adapter_slot &slot : scheduler.ledger.adapters) {
        if (slot.state == slot_state::Loading && !slot.cached && slot.orderedHere) {
            recordLoadInProgress(
                pace, now - slot.stateSince, (slot.concurrentLoads + pace.concurrentLoads) / 2, now);
        }
    }
    scheduler.ledger.concurrentLoads = pace.concurrentLoads;
    scheduler.ledger.storeLoadMs = expectedLoadMs(pace);
}

std::optional<server_order> orderDue(slot_scheduler &scheduler, order_constraints limits, millis now)
{
    std::vector<wanted_adapter> wants;
    for (const waiting_prompt &prompt : scheduler.queue.waiting) {
        if (!prompt.adapter.empty() && !loadsTooLate(scheduler.ledger, prompt, now)) {
            wants.push_back({prompt.model, prompt.adapter});
        }
    }
    limits.isWaitedFor = [&scheduler](const std::string &model, const std::string &adapter) {
        return std::any_of(scheduler.queue.waiting.begin(), scheduler.queue.waiting.end(),
            [&](const waiting_prompt &prompt) {
                return prompt.model == model && prompt.adapter == adapter;
            });
    };
    return nextOrder(scheduler.ledger, wants, limits, now);
}

int adaptersWaitingForSlot(
    const slot_scheduler &scheduler, const std::string &model, const std::string &adapter)
{
    std::set<std::string> names;
    for (const waiting_prompt &prompt : scheduler.queue.waiting) {
        const bool other = prompt.model != model || prompt.adapter != adapter;
        if (other && !prompt.adapter.empty()
            && findSlot(scheduler.ledger, prompt.model, prompt.adapter) == nullptr) {
            names.insert(adapterKey(prompt.model, prompt.adapter));
        }
    }
    return static_cast<int>(names.size());
}

std::optional<limit_heartbeat> limitHeartbeat(const slot_scheduler &scheduler, millis now)
{
    const bool endedRecently =
        scheduler.limit.withdrawnAt.count != 0 && now - scheduler.limit.withdrawnAt < withdrawalAnnouncedFor;
    if (!scheduler.limit.perSecond && !endedRecently) {
        return std::nullopt;
    }
    return limit_heartbeat{scheduler.ledger.server, limitMilliOf(scheduler.limit),
        permitDelay(scheduler.limit, scheduler.queue.waiting.size(), now).count};
}

server_heartbeat serverHeartbeat(const slot_scheduler &scheduler, bool mayOrder, millis now)
{
    server_heartbeat heartbeat;
    heartbeat.server = scheduler.ledger.server;
    heartbeat.modelLoaded = !scheduler.ledger.models.empty();
    for (const adapter_slot &slot : scheduler.ledger.adapters) {
        if (slot.state != slot_state::Unloading) {
            heartbeat.adapters.push_back(
                {adapterHash(adapterKey(slot.model, slot.adapter)), slot.state == slot_state::Loading,
                    static_cast<std::uint32_t>(std::llround(currentUseScore(slot, now)))});
        }
    }
    // Without the slots that waiting prompts need: entries would keep sending requests that are refused.
    const int available = availableSlots(scheduler.ledger) - adaptersWaitingForSlot(scheduler, "", "");
    heartbeat.availableSlots =
        mayOrder && scheduler.ledger.confirmed ? static_cast<std::uint32_t>(std::max(available, 0)) : 0;
    heartbeat.backlogTokens = backlogTokens(scheduler.queue);
    heartbeat.prefillTokensPerSecond = std::llround(scheduler.queue.tokensPerMs * msPerSecond);
    heartbeat.running = static_cast<std::uint32_t>(scheduler.queue.running.size());
    for (const auto &[id, run] : scheduler.queue.running) {
        heartbeat.longResponses += isLongResponse(scheduler.outputLengths, run.prompt.outputTokens) ? 1 : 0;
    }
    return heartbeat;
}

server_load serverLoad(const slot_scheduler &scheduler, millis now)
{
    server_load load;
    load.server = scheduler.ledger.server;
    if (scheduler.features.gapPrediction) {
        const slot_queue &queue = scheduler.queue;
        const auto add = [&load](load_field field, std::int64_t value) {
            addField(load.fields, static_cast<std::uint32_t>(field), value, 0);
        };
        add(load_field::LimitedStreams, 1 + static_cast<std::int64_t>(streamsWithGapLimit(queue)));
        if (prefillTokensPerMs(queue.speed, now) > 0) {
            add(load_field::TokensPerSecond, std::llround(gapTokensPerMs(queue, now) * msPerSecond));
            add(load_field::SpeedAgeMs, (now - queue.speed.measuredAt).count);
        }
    }
    return load;
}

}
