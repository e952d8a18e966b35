#include "serving/server_owner_task.h"

#include "coordination/quota_plan.h"
#include "state/utf8.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// How often waiting prompts and loads in progress are processed, besides after each event.
constexpr millis processInterval{20};
constexpr millis claimInterval{300};
/// After a longer gap between its own heartbeats this process was suspended, or nearly so. It then sends no
/// orders for suspensionPause, within which the updates of that time reach it.
constexpr millis maxHeartbeatGap{1'000};
constexpr millis suspensionPause{700};

}

server_owner_task::server_owner_task(loop &eventLoop, bus &messages, store_task &store,
    server_notice_task &words, backend_pool &pool, const request_codec &codec, const node_settings &settings,
    decision_log &log, response_callback onResponse)
    : m_loop(eventLoop)
    , m_store(store)
    , m_words(words)
    , m_pool(pool)
    , m_codec(codec)
    , m_settings(settings)
    , m_log(log)
    , m_onResponse(std::move(onResponse))
    , m_limits(words.limits())
{
    messages.on<server_closed>([this](const server_closed &event) {
        processServer(event.server);
    });
    messages.on<view_changed>([this](const view_changed &change) {
        onViewChanged(change);
    });
    messages.on<servers_reachable>([this](const servers_reachable &event) {
        onServersReachable(event.reachable);
    });
    m_processTimer = m_loop.timer(processInterval, processInterval, [this] {
        processAllServers();
    });
    m_claimTimer = m_loop.timer(claimInterval, claimInterval, [this] {
        claimUnownedServers();
        replaceUnresponsiveOwners();
    });
}

const backend_server *server_owner_task::findServer(const std::string &id) const
{
    const auto found = m_store.view().servers.find(id);
    return found == m_store.view().servers.end() ? nullptr : &found->second;
}

const engine_spec *server_owner_task::findEngine(const backend_server &server) const
{
    const auto &config = m_store.view().config;
    return config ? engineOf(*config, server.service) : nullptr;
}

void server_owner_task::sendResponses(const std::vector<addressed_response> &responses)
{
    for (const addressed_response &each : responses) {
        sendResponse(each.entry, each.response);
    }
}

void server_owner_task::sendResponse(const std::string &entry, const slot_response &response)
{
    m_counters.granted += response.decision == slot_decision::Granted ? 1 : 0;
    m_counters.refused += response.decision == slot_decision::Refused ? 1 : 0;
    m_onResponse(entry, response);
}

void server_owner_task::handle(const std::string &entry, const slot_request &request)
{
    handleSlot(entry, request, {});
}

void server_owner_task::handle(const std::string &entry, const extended_slot_request &request)
{
    handleSlot(entry, request.request, decodeTerms(request.fields));
}

void server_owner_task::handleSlot(
    const std::string &entry, const slot_request &request, const slot_terms &terms)
{
    const auto found = m_servers.find(request.server);
    const backend_server *server = findServer(request.server);
    if (found == m_servers.end() || server == nullptr) {
        if (server != nullptr && request.limitMilli >= 0) {
            applyPeerLimit(m_limits, request.server, fromMilli(request.limitMilli),
                timeFromAge(request.limitAgeMs, bootNow()), bootNow());
        }
        sendResponse(entry, refusedResponse(request.id, request.server, refusal::NotOwner, {}));
        return;
    }
    if (!isUtf8(request.model) || !isUtf8(request.adapter)) {
        // From a daemon of a build that doesn't check names. No server can hold it, and no order can name it.
        sendResponse(entry, refusedResponse(request.id, request.server, refusal::ModelNotLoaded, {}));
        return;
    }
    const server_access access = m_words.accessOf(*server, entry);
    if (isClosed(access)) {
        const bool leaving = access == server_access::Leaving;
        const millis retryAfter = leaving ? millis{} : m_words.pauseLeft(*server, entry);
        sendResponse(entry,
            refusedResponse(
                request.id, request.server, leaving ? refusal::ServerLeaving : refusal::Paused, retryAfter));
        m_words.notifyLeaving(entry, *server);
        return;
    }
    updateLimitShare(request.server, found->second);
    const slot_response response =
        handleSlotRequest(found->second.scheduler, entry, request, bootNow(), terms);
    if (response.decision != slot_decision::Queued) {
        sendResponse(entry, response);
        return;
    }
    processServer(request.server);
    const auto current = m_servers.find(request.server);
    if (current != m_servers.end() && current->second.scheduler.queue.running.count(request.id) == 0) {
        sendResponse(entry, response);
    }
}

void server_owner_task::handle(const std::string &entry, const running_request &run)
{
    const auto found = m_servers.find(run.server);
    if (found != m_servers.end() && isUtf8(run.model) && isUtf8(run.adapter)) {
        registerRunning(found->second.scheduler, entry, run, bootNow());
    }
}

void server_owner_task::handle(const std::string &, const limit_report &report)
{
    const auto found = m_servers.find(report.server);
    if (found == m_servers.end()) {
        if (report.limitMilli >= 0 && findServer(report.server) != nullptr) {
            applyPeerLimit(m_limits, report.server, fromMilli(report.limitMilli), bootNow(), bootNow());
        }
        return;
    }
    onLimitReport(found->second.scheduler, report, bootNow());
    processServer(report.server);
}

void server_owner_task::handle(const std::string &, const server_rejection &rejection)
{
    const auto found = m_servers.find(rejection.server);
    if (found == m_servers.end()) {
        return;
    }
    onRejection(found->second.scheduler, rejection.id, bootNow());
    m_log.important("server.rejected")
        .add("id", rejection.id)
        .add("server", rejection.server)
        .add("recent", static_cast<std::int64_t>(found->second.scheduler.limit.rejections.size()))
        .add("running", static_cast<std::int64_t>(found->second.scheduler.queue.running.size()))
        .add("max_rejections", found->second.scheduler.limit.maxRejections.value_or(-1));
    processServer(rejection.server);
}

/// Updates the share of the server's limit that this daemon grants: all of it only while its lease is valid,
/// nothing once it knows of a successor, and unconfirmedShare in between. Otherwise an isolated daemon that
/// does not know that it was replaced would grant permits beside its successor, and the server would get
/// nearly twice its limit.
void server_owner_task::updateLimitShare(const std::string &id, server_state &state)
{
    if (state.scheduler.limit.perSecond != state.loggedLimit) {
        state.loggedLimit = state.scheduler.limit.perSecond;
        m_log.important("limit.kept")
            .add("server", id)
            .add("per_second", state.loggedLimit.value_or(-1))
            .add("fence", state.fencingToken)
            .add("share", state.scheduler.limit.share);
    }
    if (!state.scheduler.limit.perSecond) {
        return;
    }
    if (const auto known = m_limits.find(id); known != m_limits.end() && known->second.maxRejections) {
        state.scheduler.limit.maxRejections = known->second.maxRejections;
    }
    const bool ownershipValid = m_store.ownsServer(id) && m_store.isLeaseValid();
    setShare(state.scheduler.limit, state.fenced ? 0 : ownershipValid ? 1 : unconfirmedShare, bootNow());
}

void server_owner_task::handle(const std::string &, const slot_report &report)
{
    const auto found = m_servers.find(report.server);
    if (found == m_servers.end()) {
        return;
    }
    onRequestEvent(found->second.scheduler, report, bootNow());
    processServer(report.server);
}

void server_owner_task::processAllServers()
{
    estimateConcurrentLoads();
    std::vector<std::string> ids;
    ids.reserve(m_servers.size());
    for (const auto &[id, state] : m_servers) {
        ids.push_back(id);
    }
    for (const std::string &id : ids) {
        processServer(id);
    }
}

void server_owner_task::processServer(const std::string &id)
{
    const auto found = m_servers.find(id);
    const backend_server *server = findServer(id);
    if (found == m_servers.end() || server == nullptr) {
        return;
    }
    server_state &state = found->second;
    const millis now = bootNow();
    updateLimitShare(id, state);
    updateLoadTimes(state.scheduler, m_pace, now);
    releaseExpired(state.scheduler, now);
    const server_access access = m_words.accessOf(*server);
    if (access == server_access::Leaving) {
        sendResponses(refuseWaiting(state.scheduler, refusal::ServerLeaving));
        return;
    }
    if (m_words.anyPauses()) {
        sendResponses(refusePaused(state.scheduler, [this, server](const std::string &entry) {
            return m_words.pauseLeft(*server, entry);
        }));
    }
    state.scheduler.ledger.ordersPausedUntil = now + m_words.pauseLeft(*server, m_settings.node);
    if (state.scheduler.plain) {
        sendResponses(dueResponses(state.scheduler, now));
        return;
    }
    const server_ledger &ledger = state.scheduler.ledger;
    // A load is confirmed by repeating its order; a daemon that may not send orders now needs a report
    // instead.
    const bool cannotConfirm = loadsInProgress(ledger) > 0 && !mayOrder(id, state);
    const bool needsReport = !ledger.confirmed || !ledger.loadingModel.empty() || cannotConfirm;
    if (isClosed(access)) {
        // It accepts no calls of this daemon, but other daemons' requests for what it holds are still
        // admitted.
        sendResponses(dueResponses(state.scheduler, now));
        return;
    }
    if (needsReport && !state.reportRequested && !ledger.openOrder && now >= ledger.notBefore) {
        requestReport(id, state, *server);
    } else if (mayOrder(id, state)) {
        sendOrder(id, state, *server);
    }
    sendResponses(dueResponses(state.scheduler, now));
}

fleet_heartbeat server_owner_task::heartbeat()
{
    const millis now = bootNow();
    if (m_lastHeartbeatAt.count != 0 && now - m_lastHeartbeatAt > maxHeartbeatGap) {
        // Another daemon may have replaced this one meanwhile. The store's updates show it within this pause;
        // an order sent before would be one more change of the ordering daemon.
        m_pausedUntil = now + suspensionPause;
        m_log.important("orderer.stood_still").add("ms", now - m_lastHeartbeatAt);
    }
    m_lastHeartbeatAt = now;
    fleet_heartbeat heartbeat;
    heartbeat.ownershipLeftMs = std::max<std::int64_t>((m_store.ownershipValidUntil() - bootNow()).count, 0);
    heartbeat.maxFullSpeedLoads = std::llround(estimateToShare(m_pace, bootNow()));
    for (const auto &[id, state] : m_servers) {
        const bool sendsOrders = mayOrder(id, state) && !isClosed(m_words.accessOf(id));
        server_heartbeat serverEntry = serverHeartbeat(state.scheduler, sendsOrders, now);
        serverEntry.fence = state.fencingToken;
        heartbeat.servers.push_back(std::move(serverEntry));
        if (auto limit = limitHeartbeat(state.scheduler, now)) {
            heartbeat.limits.push_back(std::move(*limit));
        }
    }
    return heartbeat;
}

/// Applies the features of a new configuration to the servers that are owned already.
void server_owner_task::updateFeatures()
{
    m_features = featuresOf(*m_store.view().config);
    for (auto &[id, state] : m_servers) {
        const backend_server *server = findServer(id);
        const auto features = server == nullptr ? m_features.end() : m_features.find(server->service);
        state.scheduler.features = features == m_features.end() ? service_features{} : features->second;
    }
}

std::vector<server_load> server_owner_task::serverLoads() const
{
    std::vector<server_load> loads;
    for (const auto &[id, state] : m_servers) {
        if (!state.scheduler.plain && anyFeature(state.scheduler.features)) {
            loads.push_back(serverLoad(state.scheduler, bootNow()));
            loads.back().fence = state.fencingToken;
        }
    }
    return loads;
}

void server_owner_task::onLoadHeartbeat(const std::string &, const load_heartbeat &beat)
{
    for (const server_load &load : beat.servers) {
        const backend_server *server = findServer(load.server);
        const auto decoded = decodeLoad(load, bootNow());
        if (server != nullptr && decoded && decoded->tokensPerMs > 0) {
            m_reportedSpeeds[load.server] = {*decoded, server->startedAtMs};
        }
    }
    if (m_reportedSpeeds.size() > m_store.view().servers.size()) {
        std::erase_if(m_reportedSpeeds, [this](const auto &each) {
            return findServer(each.first) == nullptr;
        });
    }
}

const server_owner_counters &server_owner_task::counters() const
{
    return m_counters;
}

}
