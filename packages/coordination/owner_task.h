#pragma once

#include "coordination/admission.h"
#include "coordination/crash_task.h"
#include "coordination/events.h"
#include "coordination/eviction.h"
#include "coordination/load_order.h"
#include "coordination/ownership.h"
#include "coordination/replicas.h"
#include "coordination/responding_time.h"
#include "coordination/server_notices.h"
#include "transport/bus.h"
#include "transport/engine_client.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

/// Polling interval of an engine that is starting, and the retry time that refused callers get meanwhile.
constexpr std::int64_t startingPollMs = 500;

/// The task that operates the backend servers owned by this daemon. It alone admits requests to them and
/// loads and unloads their adapters, so it knows their slots, in-flight counts and batch fill first-hand.
class owner_task
{
public:
    struct options
    {
        std::string self;
        std::string routing; ///< with "rendezvous_lru", the least recently used adapter is evicted
    };

    /// `http` carries requests, and orders that can do no harm. `guardedHttp` carries the orders that must
    /// not be sent after the lease has ended to engines that don't check fencing tokens; the fence
    /// (transport/fence.h) cuts its connections off when the lease ends.
    owner_task(bus &messages, loop &eventLoop, http_client &http, http_client &guardedHttp,
        crash_task &crashes, options given);

    /// The load of each owned server, for metrics.
    std::vector<server_hint> hints() const;

private:
    /// A request, from its arrival here to its end.
    struct request_job
    {
        run_request request;
        std::string entry; ///< the daemon that sent it, which gets the response
        millis arrived;
        millis deadline; ///< point in time
        millis startedAt; ///< when it was sent to the engine; 0 while it waits
        millis stall; ///< time that it waited for a load
        bool waitedForLoad = false;
        http_client::call_id call = 0;
        bool cancelled = false;
        crash_target target; ///< the engine incarnation that it was sent to
        responding_time responding;
    };

    /// An adapter that is loaded on a server or wanted there.
    struct adapter_slot
    {
        std::uint32_t inFlight = 0;
        bool resident = false;
        bool loading = false; ///< a load order has no response yet
        bool unloading = false; ///< an unload order may still take effect, so nothing may run on the adapter
        bool pinned = false; ///< streams of a previous owner may still run on it
        millis loadedAt;
        millis lastUsed;
        std::uint32_t failures = 0; ///< failed loads in a row
        millis notBefore; ///< earliest next load, after a failed one
        arrival_rate arrivals;
        std::uint32_t replicas = 1; ///< as last sent to entries
        std::uint64_t candidatesRevision = 0; ///< the m_candidatesRevision that `primary` was computed for
        bool primary = false; ///< this server is the adapter's first by rendezvous hash
        std::deque<request_id> waiting; ///< requests for this adapter, in order of arrival
    };

    /// A server that this daemon owns, or owned until recently and on which its streams still run.
    struct owned_server
    {
        live_instance instance;
        bool isOwned = false;
        bool releasing = false;
        bool releaseRequested = false; ///< release_server has not been answered yet
        bool draining = false; ///< drained by an operator
        std::uint64_t fencingToken = 0;
        bool checksFencing = false;
        millis earliestRunAt; ///< see server_gained
        millis earliestEvictAt; ///< see server_gained
        bool claimLost = false; ///< the engine restarted and does not know our fencing token yet
        bool pinsCleared = true; ///< no adapter is pinned, or not any more according to an engine report
        std::unique_ptr<engine_client> client; ///< uses m_http
        std::unique_ptr<engine_client> guardedClient; ///< for orders that must not outlive the lease
        bool stateKnown = false; ///< the engine's state has been read since this daemon became the owner
        std::string incarnation;
        std::string baseModel;
        std::string role;
        std::uint32_t slots = 0;
        std::uint32_t batchLimit = 1;
        std::uint32_t inFlight = 0;
        std::uint32_t waiting = 0;
        std::map<adapter_ref, adapter_slot> adapters;
        std::optional<std::uint64_t> ticket; ///< of the current request to the load budget
        adapter_ref ticketAdapter; ///< the adapter that the ticket was last requested for
        bool loadGranted = false; ///< the ticket was granted
        millis ticketRequestedAt;
        bool orderPending = false; ///< a load or unload order has no response yet
        bool pollPending = false;
        millis polledAt;
        millis reportedAt;
        double meanServiceMs = 0; ///< of a request in the batch
        double meanLoadMs = 0; ///< of a load, from its order to the response
        bool baseLoadOrdered = false; ///< the engine was ordered to load its base model
        std::map<std::string, std::uint32_t> callersWaiting; ///< waiting requests by caller
    };

    void onRun(const std::string &from, const run_request &request);
    void onCancel(const run_cancel &cancel);
    void onGained(const server_gained &event);
    void onLost(const std::string &server);
    void onRelease(const std::string &server);
    void completeRelease(owned_server &server);
    void onLiveList(const live_view &view);
    void onStatus(const std::string &from, const status_request &request);

    admission_decision checkAdmission(
        const owned_server &server, const adapter_slot *wanted, const run_request &request) const;
    void refuse(const std::string &from, const run_request &request, error_kind why,
        const std::string &detail, millis retryAfter);
    void finishRun(const request_id &id, const engine_run_end &response);
    void sendRunEnd(const request_job &job, const run_end &runEnd);
    void enqueue(owned_server &server, request_job &job);
    void dequeue(owned_server &server, const request_job &job);
    void refuseWaiting(owned_server &server, const adapter_ref *adapter, error_kind why,
        const std::string &detail, millis retryAfter);
    void dispatchWaiting(owned_server &server);
    request_job *nextJob(owned_server &server);
    void startJob(owned_server &server, request_job &job);
    void refuseBlocked(const request_job &job);
    void refuseWaitingWith(const std::string &attribute);
    void reportToCrashTask(
        const request_job &job, const owned_server &server, const engine_run_end &response);
    void cancelJob(request_job &job);
    void awaitEngineEnd(const request_job &job);
    void onEngineEnded(const request_id &id);

    std::vector<load_demand> loadDemands(const owned_server &server, millis now) const;
    void scheduleLoads(owned_server &server);
    void requestLoadGrant(owned_server &server, const load_demand &demand);
    void releaseTicket(owned_server &server);
    void onGrant(std::uint64_t ticket);
    void startGrantedLoad(owned_server &server);
    millis slotAvailableAt(const owned_server &server, const adapter_slot *wanted, millis now) const;
    std::optional<adapter_ref> chooseVictim(const owned_server &server, const adapter_ref &wanted) const;
    void unload(owned_server &server, const adapter_ref &adapter);
    void releaseUnloadLater(const std::string &name, const adapter_ref &adapter);
    void load(owned_server &server, const adapter_ref &adapter);
    void onLoadEnded(
        owned_server &server, const adapter_ref &adapter, const engine_order_end &response, millis startedAt);

    void poll(owned_server &server);
    void applyState(owned_server &server, const engine_state &state);
    void pollReport(owned_server &server);
    void tick();
    void checkDeadlines(millis now);
    void checkDrained();

    static std::string incarnationOf(const owned_server &server);
    millis spreadRetryAfter(millis wait);
    bool acceptsWork(const owned_server &server) const;
    bool isServerLeaving(const owned_server &server) const;
    millis remainingPause(const owned_server &server) const;
    void onServerNotice(const std::string &name, const response_notice &notice);
    std::uint32_t usedSlots(const owned_server &server) const;
    std::uint32_t waitingForBatch(const owned_server &server) const;
    server_hint hintOf(const owned_server &server) const;
    std::vector<std::string> replicasOf(owned_server &server, const adapter_ref &adapter, adapter_slot &slot);
    owned_server *find(const std::string &name);
    std::string statusServers() const;
    std::string statusAdapters() const;

    bus &m_bus;
    loop &m_loop;
    http_client &m_http;
    http_client &m_guardedHttp;
    crash_task &m_crashes;
    options m_options;
    std::map<std::string, owned_server> m_servers;
    std::map<request_id, request_job> m_jobs;
    std::map<request_id, request_job>
        m_awaitingEngineEnd; ///< ended here, but the engine has not confirmed that it ended them
    server_notices m_notices; ///< announced by engines
    std::set<std::string> m_drained; ///< servers drained by operators
    std::map<std::string, std::string> m_otherOwners; ///< owners of other servers, by server
    std::map<std::string, std::vector<replica_candidate>>
        m_replicaCandidates; ///< by base model, without leaving servers
    std::uint64_t m_candidatesRevision = 1; ///< incremented when m_replicaCandidates changes
    std::vector<std::string> m_brokers; ///< live daemons, any of which may be the load budget's broker
    std::uint32_t m_liveDaemons = 1;
    config_ptr m_config;
    millis m_leaseUntil; ///< when this daemon's lease ends
    std::uint64_t m_nextTicket = 1;
    std::map<std::uint64_t, std::shared_ptr<void>>
        m_uncertainUnloads; ///< timers of unloads that got no response
    std::uint64_t m_lastUncertainUnload = 0;
    millis m_lastLoadWithoutBroker;
    bool m_isDraining = false; ///< this daemon is shutting down gracefully
    bool m_drainedPosted = false;
    std::mt19937_64 m_random;
    std::shared_ptr<void> m_timer;
};

}
