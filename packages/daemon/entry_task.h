#pragma once

#include "coordination/admission.h"
#include "coordination/crash_task.h"
#include "coordination/events.h"
#include "coordination/key_journal.h"
#include "coordination/retry.h"
#include "coordination/routing.h"
#include "coordination/server_notices.h"
#include "daemon/metrics.h"
#include "transport/bus.h"
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

/// The task that faces callers: authenticates, binds a request to the configuration, routes it to the owner
/// of a backend server (or a plain service), retries where that is safe, and gives each request exactly one
/// answer.
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

    entry_task(bus &messages, loop &eventLoop, http_client &services, crash_task &crashes, metrics &counts,
        options given);

    /// A caller's request; anything under a path that is neither /v1/ nor a service's prefix gets 404.
    void onRequest(const http_request &request, std::shared_ptr<http_reply> reply);
    /// Requests that have no answer yet.
    std::size_t open() const;
    bool ready() const;

private:
    /// One caller's request between its arrival and its one answer.
    struct pending
    {
        request_id id; ///< of the attempt under way
        std::shared_ptr<http_reply> reply;
        config_ptr config; ///< the version it was admitted under
        std::string caller;
        std::string fingerprint; ///< of what the caller sends again with each attempt
        std::string path;
        std::string method;
        std::string body;
        std::string contentType; ///< of the request
        std::string answerType = "application/json"; ///< content type of the answer
        adapter_ref adapter;
        std::string baseModel;
        std::string service;
        priority rank = priority::Normal;
        millis arrived;
        millis deadline;
        millis firstByte;
        millis stall;
        millis queued;
        bool stream = false;
        bool chat = false;
        bool idempotent = true;
        std::string key; ///< caller and idempotency key; empty: none
        std::uint32_t attemptSaid = 0;
        std::string home; ///< daemon that answers for the key
        request_id keyId; ///< as the home knows this attempt
        bool askingHome = false;
        bool gone = false; ///< the caller's connection broke while the home was asked
        bool keyHeld = false; ///< the home recorded this attempt as started
        bool placed = false; ///< counted in its server's sentHere
        std::string server;
        std::string owner;
        std::vector<std::string> tried;
        std::uint32_t attempts = 0;
        std::uint32_t redirects = 0;
        std::uint64_t prefix = 0;
        bool begun = false; ///< the status line went out
        bool trial = false; ///< handed over though it is blocked
        bool mayHaveRun = false; ///< an attempt before the one under way ended unknown
        bool running = false; ///< the engine began on the attempt under way
        std::string collected; ///< SSE text of a plain answer, or all of it for the key's home
        std::uint32_t tokens = 0;
        std::string limitKey;
        http_client::call_id call = 0;
        std::shared_ptr<void> retryTimer;
        error lastWhy;
        millis lastRetryAfter;
    };
    using pending_ptr = std::shared_ptr<pending>;

    /// What this entry knows of a backend server.
    struct server_state
    {
        live_instance where;
        server_hint hint;
        millis hintAt;
        std::uint32_t sentHere = 0;
        std::uint32_t sentSinceHint = 0;
        breaker health;
        std::string owner; ///< as a redirect told; empty: the one proposed by rendezvous hash
    };

    /// The owner's word on where an adapter is spread.
    struct replica_hint
    {
        std::vector<std::string> servers;
        millis at;
    };

    void admitModel(const pending_ptr &one, const http_request &request);
    void admitService(const pending_ptr &one, const http_request &request, const std::string &name);
    bool authenticate(pending &one, const http_request &request);
    bool readHeaders(pending &one, const http_request &request);
    bool applyRule(pending &one, const rule_config *rule, const std::string &what);
    void onLiveList(const live_view &view);
    void listModels(const http_request &request, const std::shared_ptr<http_reply> &reply);

    void beginKeyed(const pending_ptr &one);
    void homeLost(const pending_ptr &one);
    void onKeyVerdict(const std::string &from, const key_response &verdict);
    void finishKeyed(const pending &one, outcome result, int status, const std::string &answer);

    void route(const pending_ptr &one);
    void routeService(const pending_ptr &one);
    void onService(const request_id &id, const http_result &result);
    millis firstPauseEnd(const std::string &service);
    void send(const pending_ptr &one, const std::string &owner);
    void retryLater(const pending_ptr &one, std::int64_t pauseMs);
    std::string ownerOf(const std::string &server) const;
    std::vector<server_view> views(const std::string &baseModel) const;
    void onStarted(const run_started &news);
    void onBytes(const run_bytes &news);
    void onEnd(const run_end &news);
    void attemptEnded(
        const pending_ptr &one, outcome result, error_kind why, const std::string &detail, millis retryAfter);
    void onBroken(const std::string &peer);
    void learn(const server_hint &hint);
    void release(pending &one);
    pending_ptr take(const request_id &id);

    bool holdBlocked(const pending_ptr &one);
    void onTrial(const request_id &id, bool granted);
    void answerDone(const pending_ptr &one);
    void answer(const pending_ptr &one, const request_result &end);
    void record(const pending &one, outcome result, error_kind why);
    void closed(const pending_ptr &one);
    void tick();
    void forget(millis now);

    bus &m_bus;
    loop &m_loop;
    http_client &m_services;
    crash_task &m_crashes;
    metrics &m_metrics;
    options m_options;
    config_ptr m_config;
    std::vector<member> m_members;
    std::vector<std::string> m_daemons; ///< alive or suspect: may own servers and be homes of keys
    std::map<std::string, server_state> m_servers; ///< engines
    std::map<std::string, server_state> m_serviceServers;
    server_notices m_words; ///< of plain servers; the list tells no starts of them, so by name
    std::map<std::string, replica_hint> m_replicas; ///< by adapter
    std::map<request_id, pending_ptr> m_pending;
    std::map<std::string, caller_limit> m_limits;
    bool m_listHeard = false; ///< without the platform's list there is no server to route to
    millis m_forgetAt;
    retry_budget m_budget;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random;
    std::shared_ptr<void> m_timer;
};

}
