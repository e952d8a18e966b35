#pragma once

#include "coordination/admission.h"
#include "coordination/crash_task.h"
#include "coordination/events.h"
#include "coordination/key_journal.h"
#include "coordination/request_progress.h"
#include "coordination/retry.h"
#include "coordination/routing.h"
#include "coordination/server_notices.h"
#include "coordination/shutdown_plan.h"
#include "daemon/metrics.h"
#include "transport/bus.h"
#include "transport/event_stream.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace briarhead {

/// The task that serves callers: it authenticates a request, binds it to a configuration version, routes it
/// to the owner of a backend server or to a plain service, retries where that is safe, and sends each caller
/// exactly one response.
class entry_task
{
public:
    struct options
    {
        std::string self;
        std::uint64_t incarnation = 0;
        std::string failureDomain;
        routing_kind routing = routing_kind::Briarhead;
    };

    entry_task(bus &messages, loop &eventLoop, http_client &serviceClient, crash_task &crashes,
        metrics &daemonMetrics, options taskOptions);

    /// Handles a caller's request. A path that is neither under /v1/ nor under a service's prefix gets 404.
    void onRequest(const http_request &httpRequest, std::shared_ptr<http_reply> reply);
    /// The number of requests that have no response yet.
    std::size_t open() const;
    /// Whether a configuration, the members and the platform's server list are known.
    bool ready() const;
    /// The process was told to end. From now on, requests are sent only if they can end before it does, and
    /// the others are refused.
    void beginShutdown(const shutdown_plan &plan);

private:
    /// A caller's request between its arrival and its response.
    struct pending_request
    {
        request_id id; ///< of the current attempt
        std::shared_ptr<http_reply> reply;
        config_ptr config; ///< the version it was admitted under
        std::string caller;
        request_attributes attributes; ///< the content, the same for every repetition by the caller, first
        std::string path;
        std::string method;
        std::string body;
        std::string contentType; ///< of the request
        std::string responseType = "application/json"; ///< content type of the response
        adapter_ref adapter;
        std::string baseModel;
        std::string service; ///< empty: a request to an adapter
        priority rank = priority::Normal;
        millis receivedAt;
        millis deadline;
        millis firstByteAt; ///< when the first byte of a response arrived; 0: none yet
        millis stall; ///< time spent waiting for the adapter to be loaded
        millis queued; ///< time spent waiting otherwise
        bool stream = false;
        bool chat = false;
        bool idempotent = true;
        std::string key; ///< caller and idempotency key; empty: none
        std::uint32_t declaredAttempt = 0; ///< the caller's attempt number; 0: not given
        std::string keyHome; ///< daemon that is responsible for the key
        request_id keyAttemptId; ///< the ID under which the key's home recorded this attempt
        bool awaitingKeyHome = false;
        bool callerDisconnected =
            false; ///< the caller's connection closed, but the key's home needs the result
        bool keyClaimed = false; ///< the key's home recorded this attempt as started
        bool sentToServer = false; ///< counted in its server's sentHere
        request_progress progress; ///< its stage is changed by setStage() alone
        std::string server;
        std::string owner; ///< daemon that the current attempt was sent to
        std::vector<std::string> tried; ///< servers that earlier attempts were sent to
        std::uint32_t attempts = 0;
        std::uint32_t redirects = 0;
        std::uint64_t prefix = 0; ///< hash of the prompt's beginning; 0: none
        bool serverSurvived = false; ///< its process was there after the end of an unframed response
        bool responseStarted = false; ///< the status line was sent
        bool isProbe = false; ///< sent although it is blocked
        bool engineStarted = false; ///< the engine has started the current attempt
        std::string
            responseEvents; ///< SSE text, collected for non-streaming responses and for the key's home
        event_stream events; ///< of a streamed response
        std::uint32_t tokens = 0;
        std::string limitKey; ///< key in m_callerLimits; empty: not counted there
        http_client::call_id serviceCall = 0; ///< 0: none is open
        std::shared_ptr<void> retryTimer;
        std::shared_ptr<void> processProbe; ///< while the server of an unknown end is probed
        error lastError; ///< of the last attempt
        millis lastRetryAfter;
    };
    using request_ptr = std::shared_ptr<pending_request>;

    /// What this entry knows of a backend server.
    struct server_state
    {
        live_instance instance;
        server_hint hint;
        millis hintReceivedAt; ///< 0: no hint yet
        std::uint32_t sentHere = 0; ///< requests from this entry in flight there
        std::uint32_t sentSinceHint = 0;
        breaker circuitBreaker;
        std::string owner; ///< named by a redirect; empty: the first daemon by rendezvous hash
    };

    /// The servers that hold an adapter, as last reported by an owner.
    struct replica_hint
    {
        std::vector<std::string> servers;
        millis receivedAt;
    };

    // Admission. The functions that return bool respond with an error themselves before they return false.
    void admitModel(const request_ptr &request, const http_request &httpRequest);
    void admitService(const request_ptr &request, const http_request &httpRequest, const std::string &name);
    bool authenticate(pending_request &request, const http_request &httpRequest);
    bool readHeaders(pending_request &request, const http_request &httpRequest);
    /// Checks the rule for `target`, an adapter or a service, and acquires the caller's limit under it.
    bool applyRule(pending_request &request, const rule_config *rule, const std::string &target);
    void onLiveList(const live_view &view);
    void listModels(const http_request &httpRequest, const std::shared_ptr<http_reply> &reply);

    // Idempotency keys.
    void claimKey(const request_ptr &request);
    void onKeyHomeLost(const request_ptr &request);
    void onKeyResponse(const std::string &from, const key_response &response);
    void reportToKeyHome(
        const pending_request &request, outcome result, int status, const std::string &responseBody);

    // Routing and attempts.
    void route(const request_ptr &request);
    void routeService(const request_ptr &request);
    void onServiceResult(const request_id &id, const http_result &result);
    void checkServiceProcess(const request_ptr &request, const http_result &result);
    void probeServiceProcess(
        const request_ptr &request, const peer_address &address, const http_result &result);
    void reportSuspectedCrash(const pending_request &request);
    void concludeServiceCall(const request_ptr &request, const http_result &result);
    void respondFromService(const request_ptr &request, const http_result &result);
    millis serviceRetryAfter(const std::string &service);
    void sendToOwner(const request_ptr &request, const std::string &owner);
    /// Guards the ways that lead to a send. Responds with an error itself if it returns false, unless a
    /// server may still be working on the request.
    bool mayRoute(const request_ptr &request);
    bool canEndInTime(const pending_request &request) const;
    static void setStage(pending_request &request, request_stage next);
    static void beginSend(pending_request &request);
    /// Routes the request again after a pause, or responds with an error after maxRedirects.
    void rerouteAfter(const request_ptr &request, std::int64_t pauseMs);
    std::string ownerOf(const std::string &server) const;
    std::vector<server_view> serverViews(const std::string &baseModel) const;
    void onStarted(const run_started &event);
    void onBytes(const run_bytes &event);
    void cancelOversized(const request_id &id, const char *detail);
    void onEnd(const run_end &event);
    void onAttemptEnd(const request_ptr &request, outcome result, error_kind why, const std::string &detail,
        millis retryAfter);
    void onPeerUnreachable(const std::string &peer);
    void applyHint(const server_hint &hint);
    void releaseServer(pending_request &request);
    /// Removes a request from m_pending and from its server's count; returns nullptr if it is not there.
    request_ptr removePending(const request_id &id);

    bool holdIfBlocked(const request_ptr &request);
    void onProbeDecision(const request_id &id, bool granted);

    // Responses to callers.
    void respondComplete(const request_ptr &request);
    void respondFailure(const request_ptr &request, const request_result &attempt);
    /// Releases the caller's limit and counts the request in the metrics.
    void recordResult(const pending_request &request, outcome result, error_kind why);
    void onCallerDisconnected(const request_ptr &request);
    void onTick();
    void dropExpired(millis now);

    bus &m_bus;
    loop &m_loop;
    http_client &m_serviceClient;
    crash_task &m_crashes;
    metrics &m_metrics;
    options m_options;
    config_ptr m_config;
    std::vector<member> m_members;
    std::vector<std::string> m_daemons; ///< alive or suspect: may own servers and be homes of keys
    std::map<std::string, server_state> m_servers; ///< engines
    std::map<std::string, server_state> m_serviceServers;
    server_notices m_notices; ///< of plain servers, by name, since the platform's list has no start times
    std::map<std::string, replica_hint> m_replicaHints; ///< by adapter
    std::map<request_id, request_ptr> m_pending;
    std::map<std::string, caller_limit> m_callerLimits; ///< by caller and rule
    bool m_listReceived = false; ///< without the platform's list there is no server to route to
    millis m_nextCleanupAt;
    retry_budget m_retryBudget;
    std::uint64_t m_sequence = 0; ///< of the last request ID
    struct running_shutdown
    {
        shutdown_plan plan;
        millis began;
    };
    std::optional<running_shutdown> m_shutdown;
    std::mt19937_64 m_random;
    std::shared_ptr<void> m_timer;
};

}
