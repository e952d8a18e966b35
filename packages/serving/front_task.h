#pragma once

#include "coordination/quota_task.h"
#include "serving/account_check.h"
#include "serving/client_request.h"
#include "serving/crash_store.h"
#include "serving/decision_log.h"
#include "serving/event_stream.h"
#include "serving/fleet_port.h"
#include "serving/heartbeat_groups.h"
#include "serving/node_settings.h"
#include "serving/observed_server.h"
#include "serving/orderer_task.h"
#include "serving/server_limit.h"
#include "serving/server_notice_task.h"
#include "serving/service_retry_budget.h"
#include "serving/store_task.h"
#include "state/latency.h"
#include "transport/backend_pool.h"
#include "transport/front_server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace briarhead {

/// Of an account's requests, for metrics.
struct account_counters
{
    std::uint64_t accepted = 0; ///< within its limit
    std::uint64_t overLimit = 0;
    double units = 0; ///< sent to servers
};

/// Accounts with counters of their own; the others share one set.
constexpr std::size_t maxAccountsCounted = 64;

struct front_counters
{
    std::map<std::string, account_counters> accounts; ///< by name; empty: all beyond accountsCounted

    std::map<std::pair<std::string, std::string>, std::uint64_t> ended; ///< requests by kind and outcome
    std::map<std::string, std::uint64_t> refused; ///< by reason
    std::uint64_t sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< the budget was used up
    std::uint64_t slotRequests = 0;
    latency_histogram firstResponse; ///< to the answer's head
    latency_histogram eventGap; ///< between two parts of a stream
    latency_histogram duration;
    latency_histogram slotWait;
};

/// Takes callers' requests, chooses a backend server for each, and passes the answer on.
class front_task
{
public:
    front_task(loop &eventLoop, bus &messages, store_task &store, crash_task &crashes, quota_task &quota,
        server_notice_task &notices, backend_pool &pool, const request_codec &codec,
        const node_settings &settings, decision_log &log);

    void setOrderer(orderer_task &orderer);
    void setPort(fleet_port &port);
    void setRetryLimits(const retry_limits &limits);

    /// From now on new requests are refused, since the process ends before they could be answered.
    void stopAccepting();
    /// Other daemons can't be asked for places: only servers that this one gives orders to are used.
    void setIsolated(bool isolated);
    void onRequest(front_request raw, std::shared_ptr<front_reply> reply);
    void onSlotResponse(const place_answer &answer);
    void onHeartbeat(const std::string &node, const fleet_beat &beat);
    /// Whether any server's orderer has been heard of.
    bool knowsAnyOwner() const;
    const front_counters &counters() const;
    std::size_t active() const;

private:
    struct pending_request;
    using request_ptr = std::shared_ptr<pending_request>;

    void onViewChanged(const view_changed &change);
    void onBlocked(const request_blocked &news);
    bool isBlocked(const pending_request &pending) const;
    void refuseBlocked(const request_ptr &pending);
    void probeBlocked(const request_ptr &pending);
    void resolveRoute(const request_ptr &pending);
    bool authenticateCaller(const request_ptr &pending);
    void acquireUnits(const request_ptr &pending, std::function<void()> go);
    void onQuotaDecision(
        const request_ptr &pending, const quota_decision &decision, const std::function<void()> &go);
    bool holdsUnits(const pending_request &pending) const;
    void returnUnits(pending_request &pending);
    void acquireUnitsAndSend(const request_ptr &pending);
    account_counters &countersOf(const client_account &account);
    void waitAndRetry(const request_ptr &pending, void (front_task::*step)(const request_ptr &));
    void dispatch(const request_ptr &pending);
    void dispatchPlain(const request_ptr &pending);
    void dispatchModel(const request_ptr &pending);
    std::vector<model_candidate> candidatesFor(
        const pending_request &pending, std::vector<const backend_server *> &servers) const;
    millis slotWaitLeft(const pending_request &pending) const;
    std::string unobservedOwner(const std::string &server) const;
    std::string limitOwner(const backend_server &server) const;
    std::optional<millis> permitWait(const std::string &server) const;
    bool isPermitTooLate(const pending_request &pending, millis wait) const;
    bool lacksPermit(const pending_request &pending) const;
    bool allServersClosed(const pending_request &pending) const;
    millis earliestRetryAfter(const pending_request &pending, millis fallback) const;
    const char *noServerReason(const pending_request &pending) const;
    void onServerClosed(const std::string &server);
    void dispatchElsewhere(const request_ptr &pending, place_event event);
    void requestPermit(const request_ptr &pending, const backend_server &server);
    void reportLimit(const pending_request &pending);
    void sendSlotRequest(const request_ptr &pending);
    void resendSlotRequest(const request_ptr &pending);
    void onSlotRequestUnanswered(const request_ptr &pending);
    void send(const request_ptr &pending, const backend_server &server);
    bool onResponseHead(const request_ptr &pending, const http_head &head);
    void onResponseLimit(const pending_request &pending);
    void onResponseBody(const request_ptr &pending, const std::string &bytes);
    void onSendEnd(const request_ptr &pending, send_end how, const error &why);
    void onResponseComplete(const request_ptr &pending);
    void onServerUnresponsive(const request_ptr &pending);
    void onDeadline(const request_ptr &pending);
    bool retryElsewhere(const request_ptr &pending, bool ran, const char *why);
    void forwardResponse(const request_ptr &pending);
    void refuse(const request_ptr &pending, const char *why, millis retryAfter, int status = 503);
    void fail(const request_ptr &pending, int status, const char *why);
    void finish(const request_ptr &pending, const std::string &outcome);
    void abandonServer(const request_ptr &pending, place_event event);
    void announceRunning(const std::string &server, const std::string &orderer);
    void notifyOwner(const pending_request &pending, place_event event);
    template <class message_type>
    void sendToOwner(const std::string &orderer, const message_type &message);
    millis timeLeft(const pending_request &pending) const;
    bool mayTryAnotherServer(const pending_request &pending) const;
    bool mayRetry(const pending_request &pending) const;

    loop &m_loop;
    store_task &m_store;
    crash_task &m_crashes;
    quota_task &m_quota;
    server_notice_task &m_notices;
    backend_pool &m_pool;
    const request_codec &m_codec;
    node_settings m_settings;
    decision_log &m_log;
    orderer_task *m_orderer = nullptr;
    fleet_port *m_port = nullptr;
    front_counters m_counters;
    service_retry_budget m_retryBudget;
    std::map<std::string, response_mix> m_responseMix; ///< by service
    std::map<std::string, request_ptr> m_requests; ///< by a number of this process, as text
    std::map<std::string, std::string> m_requestOfSlotRequest; ///< request id to that number
    std::map<std::string, observed_server> m_observed; ///< by server
    std::map<std::string, int> m_inFlight; ///< this entry's, by server
    std::map<std::string, server_health> m_serverHealth; ///< by server
    named_limits &m_limits; ///< of m_words
    std::uint64_t m_lastNumber = 0;
    std::size_t m_heartbeatGroups = 1; ///< of this daemon's failure domain
    bool m_accepting = true;
    bool m_isolated = false;
};

}
