#pragma once

#include "coordination/quota_task.h"
#include "coordination/request_progress.h"
#include "coordination/shutdown_plan.h"
#include "scheduling/choose_plain_server.h"
#include "scheduling/connection_subset.h"
#include "scheduling/heartbeat_groups.h"
#include "scheduling/observed_server.h"
#include "scheduling/server_limit.h"
#include "scheduling/service_features.h"
#include "scheduling/service_retry_budget.h"
#include "serving/account_check.h"
#include "serving/client_request.h"
#include "serving/crash_store.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/peer_features.h"
#include "serving/server_notice_task.h"
#include "serving/server_owner_task.h"
#include "serving/server_path_task.h"
#include "serving/store_task.h"
#include "serving/stream_origin_task.h"
#include "state/latency.h"
#include "transport/backend_pool.h"
#include "transport/event_stream.h"
#include "transport/front_server.h"
#include "transport/response_end.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace briarhead {

/// Counters of one client account, for the metrics page.
struct account_counters
{
    std::uint64_t accepted = 0; ///< requests within the account's limit
    std::uint64_t overLimit = 0; ///< requests refused because of the limit
    double units = 0; ///< units of requests sent to servers
    std::uint64_t urgentAccepted = 0; ///< of `accepted`, those of the configuration's most urgent rank
    std::uint64_t urgentOverLimit = 0; ///< of `overLimit`, likewise
    double limit = 0; ///< units per second, at the latest decision; 0: no limit
    double share = 0; ///< fraction of the limit that this daemon held then
};

/// Number of accounts that have their own counters; all others share one set.
constexpr std::size_t maxAccountsCounted = 64;

/// Counters of front_task, for the metrics page.
struct front_counters
{
    /// By account name; the empty name is for all accounts beyond maxAccountsCounted.
    std::map<std::string, account_counters> accounts;

    std::map<std::pair<std::string, std::string>, std::uint64_t> ended; ///< requests by kind and outcome
    std::map<std::string, std::uint64_t> refused; ///< requests by reason
    std::uint64_t sends = 0; ///< requests sent to servers, including retries
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< because the retry budget was exhausted
    std::uint64_t sendsForbidden = 0; ///< sends that a handler asked for and the request's state forbids
    std::uint64_t bytesWithheld = 0; ///< responses broken off before bytes of another server joined them
    std::uint64_t stageChangesForbidden = 0; ///< changes of a request's stage that are not allowed
    std::uint64_t slotRequests = 0; ///< messages sent, including repetitions
    std::uint64_t oversized = 0; ///< responses cut off for their size
    std::uint64_t unreadableParts = 0; ///< requests whose list of prompt parts is malformed
    latency_histogram firstResponse; ///< from arrival until the response head goes to the caller
    latency_histogram eventGap; ///< between two chunks of a response from a server
    latency_histogram duration; ///< from arrival to the end of the request
    latency_histogram slotWait; ///< from the slot request to the grant
};

/// Accepts callers' requests, chooses a backend server for each, and forwards the response.
class front_task
{
public:
    front_task(loop &eventLoop, bus &messages, store_task &store, crash_task &crashes, quota_task &quota,
        server_notice_task &notices, server_path_task &paths, stream_origin_task &origins,
        const backend_pool &pool, const request_codec &codec, const node_settings &settings,
        decision_log &log);

    void setServerOwner(server_owner_task &serverOwner);
    void setPort(fleet_port &port);
    void setRetryLimits(const retry_limits &limits);

    /// Refuses new requests from now on, because the process would exit before they are complete.
    /// The process was told to end. From now on, requests are sent only if they can end before it does, and
    /// the others are refused.
    void beginShutdown(const shutdown_plan &plan);
    /// Refuses the requests that have waited until they can't end in time.
    void refuseUnsendable();
    /// Gives all open requests their final response.
    void failOpen();
    /// While isolated, slots can't be requested from other daemons: only model servers that this daemon owns
    /// are used.
    void setIsolated(bool isolated);
    void onRequest(front_request raw, std::shared_ptr<front_reply> reply);
    void onSlotResponse(const slot_response &response);
    void onHeartbeat(const std::string &node, const fleet_heartbeat &heartbeat);
    /// Applies the load that another daemon reports about its servers, and about requests to plain servers.
    void onLoadHeartbeat(const std::string &node, const load_heartbeat &heartbeat);
    /// Records that a daemon understands optional datagrams.
    void onPeerFeatures(const std::string &node, std::uint64_t incarnation);
    /// Whether the daemon, in the incarnation that the store has recorded, understands optional datagrams.
    bool peerUnderstandsFeatures(const std::string &node) const;
    /// This entry's requests at plain servers, for load heartbeats; empty if no feature calls for them.
    std::vector<plain_load> plainLoads() const;
    /// Whether a heartbeat about any server has been received.
    bool knowsAnyOwner() const;
    const front_counters &counters() const;
    /// Number of requests in progress.
    std::size_t active() const;

private:
    struct pending_request;
    struct server_attempt;
    struct server_response;
    using request_ptr = std::shared_ptr<pending_request>;
    /// The plain servers of a service, and which of them this daemon keeps connections to.
    struct plain_service
    {
        std::vector<std::string> servers; ///< all
        std::vector<std::string> order; ///< the first ones by connectionOrder(), without draining ones
        std::uint64_t membersHash = 0; ///< of the daemons and servers that the order was computed for
        request_rate rate;
    };

    void onViewChanged(const view_changed &change);
    void updateFeatures();
    void onBlocked(const attribute_blocked &event);
    bool isBlocked(const pending_request &pending) const;
    void refuseBlocked(const request_ptr &pending);
    void probeBlocked(const request_ptr &pending);
    void resolveRoute(const request_ptr &pending);
    bool authenticateCaller(const request_ptr &pending);
    void findStreamOrigin(const request_ptr &pending);
    void onStreamOrigin(const request_ptr &pending, const std::optional<stream_origin> &origin);
    static void useService(pending_request &pending, const std::string &service);
    void startDispatch(const request_ptr &pending);
    bool isOfStreamVersion(const pending_request &pending, const backend_server &server) const;
    bool refuseWithoutVersion(const request_ptr &pending);
    void onFirstEvent(pending_request &pending);
    void confirmServer(const request_ptr &pending);
    void onServerConfirmed(const request_ptr &pending, bool confirmed);
    void beginReply(const request_ptr &pending, caller_content content);
    static bool continuesReply(const pending_request &pending);
    bool writeToCaller(const request_ptr &pending, const std::string &bytes);
    static quota_urgency urgencyOf(const pending_request &pending);
    void acquireUnits(const request_ptr &pending, std::function<void()> proceed);
    void onQuotaDecision(
        const request_ptr &pending, const quota_decision &decision, const std::function<void()> &proceed);
    bool holdsUnits(const pending_request &pending) const;
    void returnUnits(pending_request &pending);
    void acquireUnitsAndSend(const request_ptr &pending);
    account_counters &countersOf(const client_account &account);
    void setStage(pending_request &pending, request_stage next);
    static request_ptr lockAt(
        const std::weak_ptr<pending_request> &weak, std::uint64_t attempt, request_stage stage);
    void waitAndRetry(const request_ptr &pending, void (front_task::*step)(const request_ptr &));
    void dispatch(const request_ptr &pending);
    void dispatchPlain(const request_ptr &pending);
    plain_candidate plainCandidateOf(
        const pending_request &pending, const backend_server &server, millis now) const;
    void updatePlainMembers();
    std::size_t plainWidth(const plain_service &service, millis now) const;
    bool isTimedPlainRequest(const pending_request &pending) const;
    void onPlainSendEnd(const pending_request &pending, bool answered);
    void applyPlainLoads(const std::string &node, const std::vector<plain_load> &loads);
    void dispatchModel(const request_ptr &pending);
    std::vector<model_candidate> candidatesFor(
        const pending_request &pending, std::vector<const backend_server *> &servers) const;
    millis slotWaitLeft(const pending_request &pending) const;
    std::string unobservedOwner(const std::string &server) const;
    std::string limitOwner(const backend_server &server) const;
    std::optional<millis> permitWait(const std::string &server) const;
    bool isPermitTooLate(const pending_request &pending, millis wait) const;
    bool lacksPermit(const pending_request &pending) const;
    bool isUnreachable(const std::string &server) const;
    bool allServersClosed(const pending_request &pending) const;
    millis earliestRetryAfter(const pending_request &pending, millis fallback) const;
    const char *noServerReason(const pending_request &pending) const;
    void onServerClosed(const std::string &server);
    void onServerLinkCut(const std::string &server);
    void dispatchElsewhere(const request_ptr &pending, slot_event event);
    void requestPermit(const request_ptr &pending, const backend_server &server);
    void reportLimit(const pending_request &pending);
    bool isBrittleRejection(const pending_request &pending) const;
    void reportRejection(const pending_request &pending);
    void requestSlot(const request_ptr &pending);
    void sendSlotRequest(const request_ptr &pending);
    void resendSlotRequest(const request_ptr &pending);
    slot_terms termsOf(const pending_request &pending) const;
    service_features featuresFor(const std::string &service) const;
    void onSlotRequestUnanswered(const request_ptr &pending);
    server_attempt &beginAttempt(pending_request &pending, const std::string &server);
    static repeatability repeatabilityOf(const pending_request &pending);
    static send_objection objectionTo(const pending_request &pending);
    bool canEndInTime(const pending_request &pending) const;
    bool needsConfirmedStart(const pending_request &pending) const;
    bool maySendNow(const request_ptr &pending, send_objection objection);
    void send(const request_ptr &pending, const backend_server &server);
    send_handlers sendHandlers(const request_ptr &pending);
    void watchForInactivity(const request_ptr &pending);
    bool onResponseHead(const request_ptr &pending, const http_head &head);
    void onResponseLimit(const pending_request &pending);
    void onResponseBody(const request_ptr &pending, const std::string &bytes);
    void onPlainBody(const request_ptr &pending, const std::string &bytes);
    void onEvents(const request_ptr &pending, const std::string &bytes);
    void passToCaller(const request_ptr &pending, const std::string &bytes);
    void cutResponse(const request_ptr &pending, const char *detail);
    void countHeld(pending_request &pending);
    bool holdsTooMuch(const pending_request &pending) const;
    void releaseHeld(pending_request &pending);
    void onSendEnd(const request_ptr &pending, response_end end, const error &why);
    void checkServerProcess(const request_ptr &pending);
    void concludeSend(const request_ptr &pending);
    void onUnsent(const request_ptr &pending);
    void onResponseEnd(const request_ptr &pending);
    void onResponseBroken(const request_ptr &pending);
    void reportSuspectedCrash(const pending_request &pending);
    void retryBroken(const request_ptr &pending);
    void onServerUnresponsive(const request_ptr &pending);
    void onDeadline(const request_ptr &pending);
    bool retryElsewhere(const request_ptr &pending, const char *reason);
    static server_response responseOf(const server_attempt &attempt);
    void forwardResponse(const request_ptr &pending, const server_response &response);
    void refuse(const request_ptr &pending, const char *reason, millis retryAfter, int status = 503);
    void fail(const request_ptr &pending, int status, const char *reason);
    void finish(const request_ptr &pending, const std::string &outcome);
    static std::string_view framingName(const pending_request &pending);
    static std::string partsText(const pending_request &pending);
    void abandonServer(const request_ptr &pending);
    void announceRunning(const std::string &server, const std::string &orderer);
    void notifyOwner(const pending_request &pending, slot_event event);
    void reportSlot(const std::string &owner, const slot_report &report);
    template <class message_type>
    void sendToOwner(const std::string &owner, const message_type &message);
    millis timeLeft(const pending_request &pending) const;

    loop &m_loop;
    store_task &m_store;
    crash_task &m_crashes;
    quota_task &m_quota;
    server_notice_task &m_notices;
    server_path_task &m_paths;
    stream_origin_task &m_origins;
    const backend_pool &m_pool;
    const request_codec &m_codec;
    node_settings m_settings;
    decision_log &m_log;
    server_owner_task *m_serverOwner = nullptr;
    fleet_port *m_port = nullptr;
    front_counters m_counters;
    service_retry_budget m_retryBudget;
    std::map<std::string, response_mix> m_responseMix; ///< by service
    std::map<std::string, request_ptr> m_requests; ///< by pending_request::number
    std::map<std::string, std::string> m_numberByRequestId; ///< of requests that have asked for a slot
    std::map<std::string, observed_server> m_observed; ///< by server
    std::map<std::string, int> m_inFlight; ///< requests of this entry in flight, by server
    std::map<std::string, server_health> m_serverHealth; ///< by server
    std::map<std::string, service_features> m_features; ///< by service, of the configuration in force
    bool m_limitsByRank = false; ///< see limitsByRank(), of the configuration in force
    peer_features m_peerFeatures;
    std::map<std::string, plain_service> m_plainServices; ///< by service
    std::map<std::string, plain_latency> m_plainLatency; ///< by server
    plain_reports m_plainReports;
    bool m_plainMembersCurrent = false; ///< m_plainServices has the members of the store's view
    announced_limits &m_limits; ///< owned by m_notices
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastAttempt = 0;
    std::size_t m_heldBytes = 0; ///< of all responses that are held back
    std::size_t m_heartbeatGroups = 1; ///< number of heartbeat groups in this daemon's failure domain
    struct running_shutdown
    {
        shutdown_plan plan;
        millis began;
    };
    std::optional<running_shutdown> m_shutdown;
    std::map<std::string, latency_histogram> m_durations; ///< of served requests, by route
    bool m_isolated = false;
};

}
