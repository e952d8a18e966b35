#include "serving/front_pending.h"

#include "coordination/request_attributes.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead {

namespace {

constexpr millis retryAfterNotReady{1'000};
constexpr double msPerSecond = 1'000;
constexpr const char *endingReason = "this instance is ending";
/// How long a route's requests usually take is known from this many, and is this quantile of them.
constexpr std::uint64_t minDurations = 20;
constexpr double usualQuantile = 0.95;

std::string secondsText(millis span)
{
    return fmt::format("{:.2f}", static_cast<double>(std::max<std::int64_t>(span.count, 10)) / msPerSecond);
}

}

front_task::front_task(loop &eventLoop, bus &messages, store_task &store, crash_task &crashes,
    quota_task &quota, server_notice_task &notices, server_path_task &paths, stream_origin_task &origins,
    const backend_pool &pool, const request_codec &codec, const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_store(store)
    , m_crashes(crashes)
    , m_quota(quota)
    , m_notices(notices)
    , m_paths(paths)
    , m_origins(origins)
    , m_pool(pool)
    , m_codec(codec)
    , m_settings(settings)
    , m_log(log)
    , m_limits(notices.limits())
{
    messages.on<server_closed>([this](const server_closed &event) {
        onServerClosed(event.server);
    });
    messages.on<server_link_cut>([this](const server_link_cut &event) {
        onServerLinkCut(event.server);
    });
    messages.on<view_changed>([this](const view_changed &change) {
        onViewChanged(change);
    });
    messages.on<attribute_blocked>([this](const attribute_blocked &event) {
        onBlocked(event);
    });
}

void front_task::setServerOwner(server_owner_task &serverOwner)
{
    m_serverOwner = &serverOwner;
}

void front_task::setPort(fleet_port &port)
{
    m_port = &port;
}

void front_task::setRetryLimits(const retry_limits &limits)
{
    m_settings.retries = limits;
}

const front_counters &front_task::counters() const
{
    return m_counters;
}

std::size_t front_task::active() const
{
    return m_requests.size();
}

void front_task::onViewChanged(const view_changed &change)
{
    m_plainMembersCurrent = false;
    if (change.config) {
        updateFeatures();
    }
    for (const std::string &id : change.removedServers) {
        m_observed.erase(id);
        m_serverHealth.erase(id);
        m_plainLatency.erase(id);
        m_plainReports.inFlight.erase(id);
    }
    const std::size_t groups =
        heartbeatGroupsIn({&m_store.view().daemons, m_store.view().servers.size()}, m_settings.failureDomain);
    if (groups != m_heartbeatGroups) {
        // Heartbeats about servers that are now in another group will stop. If their entries were kept, the
        // owners would look dead, and requests would be sent to the servers without a slot.
        m_heartbeatGroups = groups;
        std::erase_if(m_observed, [this](const auto &each) {
            return heartbeatGroupOf(each.first, m_heartbeatGroups)
                != heartbeatGroupOf(m_settings.node, m_heartbeatGroups);
        });
    }
}

/// Derives the features from a new configuration. They are logged when they change, since operators switch
/// them by editing routes and accounts.
void front_task::updateFeatures()
{
    auto features = featuresOf(*m_store.view().config);
    for (const auto &[service, each] : features) {
        const auto before = m_features.find(service);
        if (before == m_features.end() || !(before->second == each)) {
            m_log.important("features.changed")
                .add("service", service)
                .add("features", namesOf(each))
                .add("config", m_store.view().config->version);
        }
    }
    m_features = std::move(features);
    std::erase_if(m_durations, [&routes = m_store.view().config->routes](const auto &each) {
        return std::none_of(routes.begin(), routes.end(), [&each](const route &known) {
            return known.name == each.first;
        });
    });
    m_limitsByRank = limitsByRank(*m_store.view().config);
}

service_features front_task::featuresFor(const std::string &service) const
{
    const auto found = m_features.find(service);
    return found == m_features.end() ? service_features{} : found->second;
}

void front_task::onPeerFeatures(const std::string &node, std::uint64_t incarnation)
{
    recordFeatures(m_peerFeatures, node, incarnation);
}

bool front_task::peerUnderstandsFeatures(const std::string &node) const
{
    const daemon_record *peer = findPeer(m_store.view(), node);
    return node == m_settings.node
        || (peer != nullptr && understandsFeatures(m_peerFeatures, node, peer->incarnation));
}

void front_task::onLoadHeartbeat(const std::string &node, const load_heartbeat &heartbeat)
{
    applyServerLoads(m_observed, heartbeat.servers, bootNow());
    applyPlainLoads(node, heartbeat.plainServers);
}

void front_task::beginShutdown(const shutdown_plan &plan)
{
    m_shutdown = running_shutdown{plan, bootNow()};
}

/// Whether the request can end before this process does if it is sent now.
bool front_task::canEndInTime(const pending_request &pending) const
{
    if (!m_shutdown) {
        return true;
    }
    std::optional<millis> usual;
    const auto found = m_durations.find(pending.matchedRoute->name);
    if (found != m_durations.end() && countOf(found->second) >= minDurations) {
        usual = millis{static_cast<std::int64_t>(quantileMs(found->second, usualQuantile))};
    }
    return briarhead::canEndInTime(m_shutdown->plan, bootNow() - m_shutdown->began, timeLeft(pending), usual);
}

void front_task::refuseUnsendable()
{
    std::vector<request_ptr> late;
    for (const auto &[number, pending] : m_requests) {
        if (pending->matchedRoute != nullptr && isBeforeSend(pending->progress) && !canEndInTime(*pending)) {
            late.push_back(pending);
        }
    }
    for (const request_ptr &pending : late) {
        abandonServer(pending);
        refuse(pending, endingReason, retryAfterOtherInstance);
    }
}

void front_task::failOpen()
{
    const auto open = m_requests;
    for (const auto &[number, pending] : open) {
        abandonServer(pending);
        refuse(pending, endingReason, retryAfterOtherInstance);
    }
}

void front_task::setIsolated(bool isolated)
{
    m_isolated = isolated;
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
    auto pending = std::make_shared<pending_request>();
    pending->number = std::to_string(++m_lastNumber);
    pending->request = std::move(*request);
    pending->reply = std::move(reply);
    pending->arrived = bootNow();
    m_requests.emplace(pending->number, pending);
    if (m_shutdown && pending->arrived - m_shutdown->began > m_shutdown->plan.stopAccepting) {
        refuse(pending, endingReason, retryAfterOtherInstance);
        return;
    }
    pending->reply->onDisconnect([this, weak = std::weak_ptr<pending_request>(pending)] {
        if (const auto locked = weak.lock()) {
            abandonServer(locked);
            finish(locked, "caller_left");
        }
    });
    resolveRoute(pending);
}

/// Authenticates the caller and finds the request's route and service. After a start, the configuration
/// arrives within milliseconds, or several hundred with a slow store. The request waits for it, because the
/// load balancer sends callers to every daemon when all have just been restarted.
void front_task::resolveRoute(const request_ptr &pending)
{
    pending->config = m_store.view().config;
    if (!pending->config) {
        if (bootNow() - pending->arrived >= startupMaxWait) {
            refuse(pending, "no configuration yet", retryAfterNotReady);
        } else {
            waitAndRetry(pending, &front_task::resolveRoute);
        }
        return;
    }
    pending->matchedRoute = findRoute(*pending->config, pending->request.host, pending->request.head.target);
    if (pending->matchedRoute == nullptr) {
        fail(pending, 404, "no route");
        return;
    }
    if (!authenticateCaller(pending)) {
        return;
    }
    useService(*pending, pickService(*pending->matchedRoute, pending->request.id));
    pending->deadlineAt = pending->arrived
        + std::min(pending->matchedRoute->timeout,
            pending->request.deadline.value_or(pending->matchedRoute->timeout));
    pending->reply->setDeadline(pending->deadlineAt);
    pending->deadlineTimer = m_loop.timer(
        pending->deadlineAt - bootNow(), {}, [this, weak = std::weak_ptr<pending_request>(pending)] {
            if (const auto locked = weak.lock()) {
                onDeadline(locked);
            }
        });
    m_log.ordinary("request.accepted")
        .add("id", pending->request.id)
        .add("fingerprint", contentKeyOf(pending->attributes))
        .add("route", pending->matchedRoute->name)
        .add("account", pending->account == nullptr ? std::string() : pending->account->name)
        .add("units", pending->cost)
        .add("service", pending->service)
        .add("kind", nameOf(pending->matchedRoute->kind))
        .add("config", pending->config->version)
        .add("adapter", adapterKey(pending->request.model, pending->request.adapter))
        .add("parts", partsText(*pending))
        .add("resumes", pending->request.resumes)
        .add("last_event", pending->request.lastEventId)
        .add("left_ms", pending->deadlineAt - pending->arrived)
        .add("waited_ms", bootNow() - pending->arrived);
    if (pending->request.unreadableParts) {
        ++m_counters.unreadableParts;
        m_log.important("request.parts_unreadable").add("id", pending->request.id);
    }
    countRequest(m_retryBudget, pending->service, m_settings.retries, pending->arrived);
    const bool takenUp =
        pending->matchedRoute->kind == route_kind::Stream && !pending->request.lastEventId.empty();
    if (takenUp) {
        findStreamOrigin(pending);
    } else {
        startDispatch(pending);
    }
}

/// The shared parts of the request's prompt, for the log.
std::string front_task::partsText(const pending_request &pending)
{
    std::string text;
    for (const std::string &part : pending.request.promptParts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

void front_task::useService(pending_request &pending, const std::string &service)
{
    if (service == pending.service && !pending.attributes.empty()) {
        return;
    }
    const client_request &request = pending.request;
    pending.service = service;
    pending.usesModelServer = !request.model.empty() && engineOf(*pending.config, service) != nullptr;
    pending.attributes =
        attributesOf({pending.account == nullptr ? std::string_view() : pending.account->name,
                         request.head.method, request.host, request.head.target, request.body},
            service, request.promptParts);
}

void front_task::startDispatch(const request_ptr &pending)
{
    acquireUnits(pending, [this, weak = std::weak_ptr<pending_request>(pending)] {
        const auto locked = weak.lock();
        if (locked && locked->progress.stage == request_stage::Choosing) {
            dispatch(locked);
        }
    });
}

millis front_task::timeLeft(const pending_request &pending) const
{
    return pending.deadlineAt - bootNow();
}

/// The only place that changes a request's stage. A change that is not allowed is not made.
void front_task::setStage(pending_request &pending, request_stage next)
{
    const request_stage before = pending.progress.stage;
    if (changeStage(pending.progress, next)) {
        return;
    }
    ++m_counters.stageChangesForbidden;
    m_log.important("stage.forbidden")
        .add("id", pending.request.id)
        .add("stage", nameOf(before))
        .add("next", nameOf(next));
}

/// The request, if it still stands at this stage of this attempt.
front_task::request_ptr front_task::lockAt(
    const std::weak_ptr<pending_request> &weak, std::uint64_t attempt, request_stage stage)
{
    const auto locked = weak.lock();
    return locked && locked->attempt.number == attempt && locked->progress.stage == stage ? locked : nullptr;
}

void front_task::dispatch(const request_ptr &pending)
{
    if (!maySendNow(pending, objectionTo(*pending))) {
        return;
    }
    setStage(*pending, request_stage::Choosing);
    if (!canEndInTime(*pending)) {
        refuse(pending, endingReason, retryAfterOtherInstance);
        return;
    }
    if (refuseWithoutVersion(pending)) {
        return;
    }
    if (isBlocked(*pending)) {
        probeBlocked(pending);
    } else if (pending->usesModelServer) {
        dispatchModel(pending);
    } else {
        dispatchPlain(pending);
    }
}

bool front_task::isBlocked(const pending_request &pending) const
{
    return !pending.isProbe && m_crashes.isBlocked(pending.attributes);
}

void front_task::refuseBlocked(const request_ptr &pending)
{
    // If the block has expired, another daemon is probing the request, and the result will be known soon.
    const millis wait = std::max(m_crashes.blockedRetryAfter(pending->attributes), retryAfterTransient);
    refuse(pending, "servers ended under this request", wait);
}

/// Refuses a blocked request unless its block has expired and this daemon is granted the probe.
void front_task::probeBlocked(const request_ptr &pending)
{
    m_crashes.requestProbe(
        pending->attributes, [this, weak = std::weak_ptr<pending_request>(pending)](bool granted) {
            const auto locked = weak.lock();
            if (!locked || locked->progress.stage != request_stage::Choosing) {
                return;
            }
            locked->isProbe = granted;
            if (!isBlocked(*locked)) { // granted, or cleared in the meantime
                dispatch(locked);
            } else {
                refuseBlocked(locked);
            }
        });
}

/// Refuses the matching requests that are still waiting for a server. Those that a server is working on
/// continue, because a complete response would clear the block.
void front_task::onBlocked(const attribute_blocked &event)
{
    std::vector<request_ptr> waiting;
    for (const auto &[number, pending] : m_requests) {
        const bool matches = hasAttribute(pending->attributes, event.attribute) && isBlocked(*pending);
        if (matches && isBeforeSend(pending->progress)) {
            waiting.push_back(pending);
        }
    }
    for (const request_ptr &pending : waiting) {
        notifyOwner(*pending, slot_event::Ended);
        refuseBlocked(pending);
    }
}

void front_task::waitAndRetry(const request_ptr &pending, void (front_task::*step)(const request_ptr &))
{
    pending->retryTimer = m_loop.timer(startupPollInterval, {},
        [this, step, weak = std::weak_ptr<pending_request>(pending), stage = pending->progress.stage] {
            const auto locked = weak.lock();
            if (locked && locked->progress.stage == stage) {
                (this->*step)(locked);
            }
        });
}

void front_task::onDeadline(const request_ptr &pending)
{
    abandonServer(pending);
    if (pending->progress.callerHas != caller_content::Nothing) {
        pending->reply->abort();
        finish(pending, "late_stream");
    } else if (mayHaveRun(pending->progress)) {
        fail(pending, 504, "no answer in time");
    } else {
        refuse(pending, "no place in time", retryAfterTransient);
    }
}

void front_task::refuse(const request_ptr &pending, const char *reason, millis retryAfter, int status)
{
    // A refusal promises that the request did not and will not run. If an earlier send may have run, it has
    // to be reported as a failure, or the caller might repeat a request that has been executed.
    if (pending->progress.callerHas != caller_content::Nothing) {
        pending->reply->abort();
        finish(pending, "cut_off");
        return;
    }
    if (mayHaveRun(pending->progress)) {
        fail(pending, 502, reason);
        return;
    }
    ++m_counters.refused[reason];
    m_log.important("request.refused")
        .add("id", pending->request.id)
        .add("account", pending->account == nullptr ? std::string() : pending->account->name)
        .add("why", reason)
        .add("status", status)
        .add("come_back_ms", retryAfter)
        .add("held_ms", bootNow() - pending->arrived);
    pending->reply->respond(status, {{"Retry-After", secondsText(retryAfter)}}, std::string(reason) + "\n");
    finish(pending, "refused");
}

void front_task::fail(const request_ptr &pending, int status, const char *reason)
{
    m_log.important("request.failed")
        .add("id", pending->request.id)
        .add("why", reason)
        .add("status", status)
        .add("held_ms", bootNow() - pending->arrived);
    pending->reply->respond(status, {}, std::string(reason) + "\n");
    finish(pending, "failed");
}

void front_task::finish(const request_ptr &pending, const std::string &outcome)
{
    const request_stage stage = pending->progress.stage;
    setStage(*pending, request_stage::Finished);
    releaseHeld(*pending);
    const std::string kind(
        pending->matchedRoute == nullptr ? "unrouted" : nameOf(pending->matchedRoute->kind));
    ++m_counters.ended[{kind, outcome}];
    record(m_counters.duration, static_cast<double>((bootNow() - pending->arrived).count));
    const bool served = outcome == "served";
    if (served && pending->matchedRoute != nullptr) {
        record(m_durations[pending->matchedRoute->name],
            static_cast<double>((bootNow() - pending->arrived).count));
    }
    (served ? m_log.ordinary("request.ended") : m_log.important("request.ended"))
        .add("id", pending->request.id)
        .add("outcome", outcome)
        .add("stage", nameOf(stage))
        .add("server", pending->attempt.server)
        .add("status", pending->attempt.head.status)
        .add("framing", framingName(*pending))
        .add("rest_bytes", static_cast<std::int64_t>(pending->attempt.restBytes))
        .add("route", pending->matchedRoute == nullptr ? std::string() : pending->matchedRoute->name)
        .add("prompt_tokens", pending->request.promptTokens)
        .add("place_ms", pending->attempt.slotWait)
        .add("first_ms", pending->firstEventDelay)
        .add("read_ms", pending->attempt.promptReadTime)
        .add("pause_ms", pending->longestEventGap)
        .add("ms", bootNow() - pending->arrived);
    returnUnits(*pending);
    pending->deadlineTimer.reset();
    pending->retryTimer.reset();
    pending->attempt.confirmTimer.reset();
    pending->attempt.slotRequestTimer.reset();
    pending->attempt.inactivityTimer.reset();
    pending->attempt.processTimer.reset();
    const auto number = m_numberByRequestId.find(pending->request.id);
    if (number != m_numberByRequestId.end() && number->second == pending->number) {
        m_numberByRequestId.erase(number);
    }
    m_requests.erase(pending->number);
}

/// How the server framed its latest response, for the log; empty without one.
std::string_view front_task::framingName(const pending_request &pending)
{
    return pending.attempt.head.status == 0
        ? std::string_view()
        : nameOf(framingOf(pending.attempt.head, pending.request.head.method == "HEAD"));
}

bool front_task::knowsAnyOwner() const
{
    return !m_observed.empty();
}

}
