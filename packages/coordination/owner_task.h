#pragma once

#include "coordination/admission.h"
#include "coordination/crash_task.h"
#include "coordination/events.h"
#include "coordination/eviction.h"
#include "coordination/load_order.h"
#include "coordination/ownership.h"
#include "coordination/replicas.h"
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

/// An engine that starts is looked at this often, and callers are told to come back after as long.
constexpr std::int64_t startingPollMs = 500;

/// The task that runs this daemon's own backend servers: it alone admits requests to them, loads and unloads
/// their adapters, and so knows their slots, in-flight counts and batch fill first-hand.
class owner_task
{
public:
    struct options
    {
        std::string self;
        std::string routing; ///< "rendezvous_lru" evicts by least recent use
    };

    /// `runs` carries requests and harmless orders, `guarded` the orders that must not leave after the
    /// lease's end on engines that don't check fencing; its sockets are under the fence.
    owner_task(bus &messages, loop &eventLoop, http_client &runs, http_client &guarded, crash_task &crashes,
        options given);

    /// The state of each owned server, for metrics.
    std::vector<server_hint> hints() const;

private:
    /// One request between its arrival here and its end.
    struct request_job
    {
        run_request request;
        std::string entry;
        millis arrived;
        millis deadline;
        millis startedAt; ///< handed to the engine; 0 while it waits
        millis stall; ///< waited for a load
        bool waitedForLoad = false;
        http_client::call_id call = 0;
        bool cancelled = false;
        crash_target target; ///< the start of the engine that it was handed to
    };

    /// One adapter slot or an adapter wanted on a server.
    struct adapter_slot
    {
        std::uint32_t inFlight = 0;
        bool resident = false;
        bool loading = false; ///< a load order is out
        bool unloading = false; ///< an unload order is out: not to be run on
        bool pinned = false;
        millis loadedAt;
        millis lastUsed;
        std::uint32_t failures = 0;
        millis notBefore; ///< back-off after a failed load
        arrival_rate arrivals;
        std::uint32_t replicas = 1; ///< as last told to entries
        std::uint64_t candidatesRevision = 0; ///< for adapter `primary` was found
        bool primary = false; ///< this server is the adapter's first by rendezvous hash
        std::deque<request_id> waiting;
    };

    /// One owned server, or job lately owned whose streams still run.
    struct owned_server
    {
        live_instance instance;
        bool isOwned = false;
        bool releasing = false;
        bool releaseRequested = false; ///< release_server has no answer yet
        bool draining = false; ///< by the operators' order
        std::uint64_t fencingToken = 0;
        bool checksFencing = false;
        millis mayRunAt;
        millis mayEvictAt;
        bool claimLost = false; ///< the engine restarted and our number is not there yet
        bool pinsKnown = true; ///< a report with our own number has been seen
        std::unique_ptr<engine_client> client;
        std::unique_ptr<engine_client> guardedClient;
        bool stateKnown = false; ///< the engine's state was read since we hold it
        std::string incarnation;
        std::string baseModel;
        std::string role;
        std::uint32_t slots = 0;
        std::uint32_t batchLimit = 1;
        std::uint32_t inFlight = 0;
        std::uint32_t waiting = 0;
        std::map<adapter_ref, adapter_slot> adapters;
        std::optional<std::uint64_t> ticket; ///< asked of the store's budget
        adapter_ref ticketAdapter;
        bool loadGranted = false;
        millis ticketRequestedAt;
        bool orderPending = false; ///< an unload or load order is out
        bool pollPending = false;
        millis polledAt;
        millis reportedAt;
        double meanServiceMs = 0; ///< mean time of a request in the batch
        double meanLoadMs = 0; ///< mean time of a load, grant included
        bool baseLoadOrdered = false;
        std::map<std::string, std::uint32_t> callersWaiting;
    };

    void onRun(const std::string &from, const run_request &request);
    void onCancel(const run_cancel &cancel);
    void onGained(const server_gained &event);
    void onLost(const std::string &server);
    void onRelease(const std::string &server);
    void completeRelease(owned_server &server);
    void onLiveList(const live_view &view);
    void onStatus(const std::string &from, const status_ask &ask);

    admission_decision checkAdmission(
        const owned_server &server, const adapter_slot *wanted, const run_request &request) const;
    void refuse(const std::string &from, const run_request &request, error_kind why,
        const std::string &detail, millis retryAfter);
    void finishRun(const request_id &id, const engine_run_end &response);
    void sendRunEnd(const request_job &job, const run_end &runEnd);
    void enqueue(owned_server &server, request_job &job);
    void dequeue(owned_server &server, const request_job &job);
    void refuseWaiting(owned_server &server, const adapter_ref *only, error_kind why,
        const std::string &detail, millis retryAfter);
    void dispatchWaiting(owned_server &server);
    request_job *nextJob(owned_server &server);
    void startJob(owned_server &server, request_job &job);
    void refuseBlocked(const request_job &job);
    void refuseWaitingWithFingerprint(const std::string &fingerprint);
    void reportToCrashTask(
        const request_job &job, const owned_server &server, const engine_run_end &response);
    void cancelJob(request_job &job);
    void awaitEngineEnd(const request_job &job);
    void onEngineEnded(const request_id &id);

    std::vector<load_demand> loadDemands(const owned_server &server, millis now) const;
    void scheduleLoads(owned_server &server);
    void requestLoadGrant(owned_server &server, const load_demand &need);
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
    void onServerNotice(const std::string &name, const answer_words &notice);
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
        m_awaitingEngineEnd; ///< ended here without proof that the engine has ended them
    server_notices m_notices; ///< of engines, by what they say
    std::set<std::string> m_drained; ///< by operators
    std::map<std::string, std::string> m_otherOwners; ///< of servers that are not ours
    std::map<std::string, std::vector<replica_candidate>>
        m_replicaCandidates; ///< by base model, without leaving ones
    std::uint64_t m_candidatesRevision = 1;
    std::vector<std::string> m_brokers;
    std::uint32_t m_liveDaemons = 1;
    config_ptr m_config;
    millis m_leaseUntil;
    std::uint64_t m_nextTicket = 1;
    std::map<std::uint64_t, std::shared_ptr<void>>
        m_uncertainUnloads; ///< timers of unloads without an answer
    std::uint64_t m_lastUncertainUnload = 0;
    millis m_lastLoadWithoutBroker;
    bool m_isDraining = false;
    bool m_drainedPosted = false;
    std::mt19937_64 m_random;
    std::shared_ptr<void> m_timer;
};

}
