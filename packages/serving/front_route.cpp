#include "serving/front_pending.h"

#include "coordination/quota_plan.h"
#include "coordination/rendezvous.h"

#include <algorithm>

// Choice of the server for a request, and slot requests to the server's owner.
namespace briarhead {

namespace {

/// A slot request without a response is repeated after this time, which is long enough for a round trip to
/// another failure domain and a busy peer.
constexpr millis slotRequestTimeout{120};
constexpr int maxSlotRequestsPerServer = 3;

}

std::vector<model_candidate> front_task::candidatesFor(
    const pending_request &pending, std::vector<const backend_server *> &servers) const
{
    const millis now = bootNow();
    const std::string adapter = adapterKey(pending.request.model, pending.request.adapter);
    std::vector<std::string_view> names;
    std::vector<model_candidate> candidates;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service != pending.service) {
            continue;
        }
        model_candidate candidate;
        const auto observed = m_observed.find(id);
        if (observed != m_observed.end()) {
            candidate = candidateOf(observed->second, adapter, !pending.request.adapter.empty(), now);
        } else {
            candidate = unobservedCandidate(!pending.request.adapter.empty());
            candidate.excluded = unobservedOwner(id).empty();
        }
        candidate.excluded = candidate.excluded || isClosed(m_notices.accessOf(server))
            || pending.excludedServers.count(id) != 0 || isUnreachable(id)
            || !isOfStreamVersion(pending, server);
        const bool own = observed != m_observed.end() && observed->second.owner == m_settings.node;
        candidate.excluded = candidate.excluded || (m_isolated && !own);
        if (const auto wait = permitWait(id)) {
            // Without a live owner, nobody grants the server's permits.
            const bool stale = observed != m_observed.end() && !isFresh(observed->second, now);
            candidate.excluded = candidate.excluded || stale || isPermitTooLate(pending, *wait);
            candidate.backlogMs += static_cast<double>(wait->count);
        }
        candidate.sameDomain = server.failureDomain == m_settings.failureDomain;
        const auto health = m_serverHealth.find(id);
        candidate.failureRate = health == m_serverHealth.end() ? 0 : currentFailureRate(health->second, now);
        servers.push_back(&server);
        names.push_back(id);
        candidates.push_back(candidate);
    }
    rankByHash(candidates, names, adapter);
    return candidates;
}

void front_task::dispatchModel(const request_ptr &pending)
{
    std::vector<const backend_server *> servers;
    const auto candidates = candidatesFor(*pending, servers);
    response_mix &mix = m_responseMix[pending->service];
    if (pending->serversTried == 0) {
        recordOutputLength(mix, pending->request.outputTokens);
        recordPromptLength(mix.prompts, pending->request.promptTokens);
    }
    prompt_shape prompt = shapeOf(mix, pending->request.promptTokens, pending->request.outputTokens);
    prompt.copyCostShare = copyCostShareOf(candidates);
    if (const service_features features = featuresFor(pending->service); features.gapPrediction) {
        prompt.gaps = {static_cast<double>(features.shortestGap.count),
            static_cast<double>(pending->matchedRoute->maxGap.count), pending->request.outputTokens,
            mix.prompts};
    }
    const auto chosen = chooseModelServer(candidates, prompt);
    if (!chosen && m_isolated) {
        refuse(pending, "cut off from the other daemons", retryAfterOtherInstance);
        return;
    }
    const bool anyUnreachable = std::any_of(servers.begin(), servers.end(), [this](const auto *each) {
        return isUnreachable(each->id);
    });
    const bool noneUsable = !chosen && pending->excludedServers.empty() && !mayHaveRun(pending->progress)
        && !lacksPermit(*pending) && !allServersClosed(*pending) && !anyUnreachable;
    if (noneUsable && bootNow() - pending->arrived < startupMaxWait) {
        // No heartbeat from any owner yet: this daemon has just started, or the owners have died.
        waitAndRetry(pending, &front_task::dispatchModel);
        return;
    }
    if (!chosen || pending->serversTried >= maxServersTried) {
        refuse(pending, chosen ? "every server asked is full" : noServerReason(*pending),
            earliestRetryAfter(*pending, retryAfterTransient));
        return;
    }
    const backend_server &server = *servers[*chosen];
    const auto observed = m_observed.find(server.id);
    const bool hasHeartbeat = observed != m_observed.end();
    const std::string owner = hasHeartbeat ? observed->second.owner : unobservedOwner(server.id);
    beginAttempt(*pending, server.id);
    m_log.ordinary("request.routed")
        .add("id", pending->request.id)
        .add("server", server.id)
        .add("orderer", owner)
        .add("of", static_cast<std::int64_t>(candidates.size()))
        .add("prompt_tokens", prompt.promptTokens)
        .add("output_tokens", pending->request.outputTokens)
        .add("apart", prompt.separation)
        .add("copy_share", prompt.copyCostShare)
        .add("gap_ms", forecastGapMs(candidates[*chosen].gaps, prompt.promptTokens))
        .add("gap_loss_ms", gapLossOf(candidates[*chosen], prompt))
        .add("cost_ms", *costOf(candidates[*chosen], prompt))
        .add("adapter", nameOf(candidates[*chosen].adapter))
        .add("backlog_ms", candidates[*chosen].backlogMs)
        .add("open_places", static_cast<std::int64_t>(candidates[*chosen].availableSlots))
        .add("failures", candidates[*chosen].failureRate)
        .add("beat_age_ms", hasHeartbeat ? bootNow() - observed->second.receivedAt : millis{-1});
    if (hasHeartbeat) {
        countSlotRequest(observed->second, pending->request.promptTokens, candidates[*chosen].adapter);
    }
    ++pending->serversTried;
    if (hasHeartbeat && !isFresh(observed->second, bootNow())) {
        // The owner is gone and has no successor yet. Resident adapters can be served without a slot.
        send(pending, server);
        return;
    }
    pending->attempt.owner = owner;
    if (const auto limit = m_limits.find(server.id); limit != m_limits.end()) {
        countPermitRequest(limit->second, bootNow());
    }
    requestSlot(pending);
}

/// The owner, according to the store, of a server in another heartbeat group. Empty if it has no live owner,
/// or if the server is in this daemon's own group, where heartbeats are to be expected.
std::string front_task::unobservedOwner(const std::string &server) const
{
    if (heartbeatGroupOf(server, m_heartbeatGroups) == heartbeatGroupOf(m_settings.node, m_heartbeatGroups)) {
        return "";
    }
    const store_view &view = m_store.view();
    const auto found = view.serverOwners.find(server);
    const bool isAlive =
        found != view.serverOwners.end() && view.daemons.count(found->second.record.node) != 0;
    return isAlive ? found->second.record.node : "";
}

/// Requests a slot or permit for the current attempt from its server's owner.
void front_task::requestSlot(const request_ptr &pending)
{
    setStage(*pending, request_stage::AwaitingSlot);
    pending->attempt.slotRequestedAt = bootNow();
    sendSlotRequest(pending);
}

void front_task::sendSlotRequest(const request_ptr &pending)
{
    ++pending->attempt.slotRequestsSent;
    ++m_counters.slotRequests;
    m_numberByRequestId[pending->request.id] = pending->number;
    const millis waited = bootNow() - pending->arrived;
    const std::int64_t wait = slotWaitLeft(*pending).count;
    slot_request message{pending->request.id, pending->attempt.server, pending->request.model,
        pending->request.adapter, pending->request.promptTokens, pending->request.outputTokens,
        rankOf(*pending->matchedRoute, pending->account), std::max<std::int64_t>(wait, 0),
        std::max<std::int64_t>(timeLeft(*pending).count, 0), (pending->matchedRoute->target - waited).count,
        -1, 0};
    if (const auto limit = m_limits.find(pending->attempt.server); limit != m_limits.end()) {
        message.limitMilli = toMilli(limit->second.perSecond);
        message.limitAgeMs = (bootNow() - limit->second.receivedAt).count;
    }
    pending->attempt.slotRequestTimer =
        m_loop.timer(slotRequestTimeout, {}, [this, weak = std::weak_ptr<pending_request>(pending)] {
            if (const auto locked = weak.lock()) {
                resendSlotRequest(locked);
            }
        });
    const slot_terms terms = termsOf(*pending);
    const bool extended = anyFeature(featuresFor(pending->service)) || terms.maxRejections >= 0;
    if (extended && peerUnderstandsFeatures(pending->attempt.owner)) {
        sendToOwner(pending->attempt.owner, extended_slot_request{message, encodeTerms(terms)});
    } else {
        sendToOwner(pending->attempt.owner, message);
    }
}

slot_terms front_task::termsOf(const pending_request &pending) const
{
    const auto limit = m_limits.find(pending.attempt.server);
    return {pending.matchedRoute->maxGap, pending.matchedRoute->rank,
        limit == m_limits.end() ? -1 : limit->second.maxRejections.value_or(-1)};
}

void front_task::resendSlotRequest(const request_ptr &pending)
{
    if (pending->progress.stage != request_stage::AwaitingSlot) {
        return;
    }
    if (pending->attempt.slotRequestsSent < maxSlotRequestsPerServer) {
        sendSlotRequest(pending);
    } else {
        onSlotRequestUnanswered(pending);
    }
}

void front_task::onSlotRequestUnanswered(const request_ptr &pending)
{
    m_log.important("place.no_answer")
        .add("id", pending->request.id)
        .add("server", pending->attempt.server)
        .add("orderer", pending->attempt.owner)
        .add("asks", pending->attempt.slotRequestsSent);
    notifyOwner(*pending, slot_event::Ended);
    pending->excludedServers.insert(pending->attempt.server);
    if (const auto limit = m_limits.find(pending->attempt.server); limit != m_limits.end()) {
        // Keep the next requests from waiting for this owner too.
        limit->second.nextPermitAt = bootNow() + unresponsiveOwnerBackoff;
    }
    dispatch(pending);
}

void front_task::onSlotResponse(const slot_response &response)
{
    const bool conveysLimit = response.why != refusal::NotOwner && response.why != refusal::ServerLeaving;
    if (conveysLimit) {
        const bool limited = response.decision == slot_decision::Refused && response.why == refusal::Limited;
        const auto currentWait = permitWait(response.server);
        const millis wait = limited ? millis{response.retryAfterMs} : currentWait.value_or(millis{});
        applyOwnerLimit(m_limits, response.server, decodeLimit(response.limitMilli), wait, bootNow());
    }
    const auto number = m_numberByRequestId.find(response.id);
    const auto found =
        number == m_numberByRequestId.end() ? m_requests.end() : m_requests.find(number->second);
    const bool concernsAttempt =
        found != m_requests.end() && found->second->attempt.server == response.server;
    if (!concernsAttempt || found->second->progress.stage != request_stage::AwaitingSlot) {
        const bool isInUse = concernsAttempt
            && (found->second->progress.stage == request_stage::AwaitingUnits
                || isAtServer(found->second->progress));
        if (response.decision == slot_decision::Granted && !isInUse) {
            const auto observed = m_observed.find(response.server);
            const std::string owner = observed == m_observed.end() ? "" : observed->second.owner;
            reportSlot(owner, {response.id, response.server, slot_event::NotSent});
        }
        return;
    }
    const request_ptr pending = found->second;
    switch (response.decision) {
    case slot_decision::Queued:
        // The grant may get lost, so keep repeating the request, but less often.
        pending->attempt.slotRequestsSent = 1;
        pending->attempt.slotRequestTimer = m_loop.timer(slotRequestTimeout + slotRequestTimeout, {},
            [this, weak = std::weak_ptr<pending_request>(pending)] {
                if (const auto locked = weak.lock()) {
                    resendSlotRequest(locked);
                }
            });
        return;
    case slot_decision::Granted: {
        pending->attempt.slotRequestTimer.reset();
        pending->attempt.granted = true;
        pending->attempt.adapterVersion = response.adapterVersion;
        pending->attempt.slotWait = bootNow() - pending->attempt.slotRequestedAt;
        record(m_counters.slotWait, static_cast<double>(pending->attempt.slotWait.count));
        const auto server = m_store.view().servers.find(pending->attempt.server);
        if (server == m_store.view().servers.end()) {
            dispatchElsewhere(pending, slot_event::NotSent);
            return;
        }
        send(pending, server->second);
        return;
    }
    case slot_decision::Refused:
        pending->attempt.slotRequestTimer.reset();
        m_log.ordinary("place.refused")
            .add("id", pending->request.id)
            .add("server", response.server)
            .add("why", nameOf(response.why))
            .add("come_back_ms", response.retryAfterMs);
        if (pending->shortestRetryAfter.count < 0
            || response.retryAfterMs < pending->shortestRetryAfter.count) {
            pending->shortestRetryAfter = {response.retryAfterMs};
        }
        pending->excludedServers.insert(response.server);
        dispatch(pending);
        return;
    }
}

void front_task::notifyOwner(const pending_request &pending, slot_event event)
{
    reportSlot(pending.attempt.owner, {pending.request.id, pending.attempt.server, event});
}

void front_task::reportSlot(const std::string &owner, const slot_report &report)
{
    if (!owner.empty()) {
        sendToOwner(owner, report);
    }
}

void front_task::onHeartbeat(const std::string &node, const fleet_heartbeat &heartbeat)
{
    const millis now = bootNow();
    if (node != m_settings.node && peerUnderstandsFeatures(node)) {
        countReport(m_plainReports, now); // with the loads that follow, or without any request
    }
    for (const server_heartbeat &each : heartbeat.servers) {
        auto &observed = m_observed[each.server];
        if (each.fence < observed.heartbeat.fence) {
            continue; // from a previous owner
        }
        const bool changed = observed.owner != node || observed.heartbeat.fence != each.fence;
        applyHeartbeat(observed, each, node, now);
        if (changed) {
            announceRunning(each.server, node);
        }
    }
    for (const limit_heartbeat &each : heartbeat.limits) {
        const auto observed = m_observed.find(each.server);
        if (observed != m_observed.end() && observed->second.owner == node) {
            applyOwnerLimit(m_limits, each.server, decodeLimit(each.limitMilli), millis{each.waitMs}, now);
        }
    }
}

/// Reports this entry's running requests to a server's new owner, so that it doesn't consider their adapters
/// idle and evict them.
void front_task::announceRunning(const std::string &server, const std::string &owner)
{
    for (const auto &[number, pending] : m_requests) {
        const bool counted = pending->usesModelServer || m_limits.count(server) != 0;
        if (!counted || pending->attempt.server != server || !isAtServer(pending->progress)) {
            continue;
        }
        pending->attempt.owner = owner;
        const running_request message{pending->request.id, server, pending->request.model,
            pending->request.adapter, pending->request.promptTokens, pending->request.outputTokens,
            !pending->attempt.firstEventReceived, timeLeft(*pending).count};
        sendToOwner(owner, message);
    }
}

}
