#pragma once

#include "coordination/admission.h"
#include "coordination/crash_task.h"
#include "coordination/events.h"
#include "coordination/eviction.h"
#include "coordination/load_order.h"
#include "coordination/ownership.h"
#include "coordination/replicas.h"
#include "coordination/server_words.h"
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
    struct job
    {
        run_request request;
        std::string from;
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
    struct slot
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
        std::uint64_t sitesRevision = 0; ///< for which `primary` was found
        bool primary = false; ///< this server is the adapter's first by rendezvous hash
        std::deque<request_id> waiting;
    };

    /// One owned server, or one lately owned whose streams still run.
    struct owned
    {
        live_instance where;
        bool held = false;
        bool releasing = false;
        bool releaseAsked = false; ///< release_server has no answer yet
        bool draining = false; ///< by the operators' order
        std::uint64_t fencing = 0;
        bool checksFencing = false;
        millis mayRunAt;
        millis mayEvictAt;
        bool unclaimed = false; ///< the engine restarted and our number is not there yet
        bool pinsKnown = true; ///< a report with our own number has been seen
        std::unique_ptr<engine_client> runs;
        std::unique_ptr<engine_client> guarded;
        bool known = false; ///< the engine's state was read since we hold it
        std::string incarnation;
        std::string baseModel;
        std::string role;
        std::uint32_t slots = 0;
        std::uint32_t batchLimit = 1;
        std::uint32_t inFlight = 0;
        std::uint32_t waiting = 0;
        std::map<adapter_ref, slot> adapters;
        std::optional<std::uint64_t> ticket; ///< asked of the store's budget
        adapter_ref ticketFor;
        bool granted = false;
        millis ticketAt;
        bool ordering = false; ///< an unload or load order is out
        bool polling = false;
        millis polledAt;
        millis reportedAt;
        double serviceMs = 0; ///< mean time of a request in the batch
        double loadMs = 0; ///< mean time of a load, grant included
        bool baseOrdered = false;
        std::map<std::string, std::uint32_t> callersWaiting;
    };

    void onRun(const std::string &from, const run_request &request);
    void onCancel(const run_cancel &cancel);
    void onGained(const server_gained &news);
    void onLost(const std::string &server);
    void onRelease(const std::string &server);
    void answerRelease(owned &server);
    void onLiveList(const live_view &view);
    void onStatus(const std::string &from, const status_request &ask);

    admission_answer askAdmission(const owned &server, const slot *wanted, const run_request &request) const;
    void refuse(const std::string &from, const run_request &request, error_kind why,
        const std::string &detail, millis retryAfter);
    void end(const request_id &id, const engine_run_end &how);
    void answerEnd(const job &one, const run_end &answer);
    void enqueue(owned &server, job &one);
    void dequeue(owned &server, const job &one);
    void refuseWaiting(
        owned &server, const adapter_ref *only, error_kind why, const std::string &detail, millis retryAfter);
    void pump(owned &server);
    job *nextJob(owned &server);
    void start(owned &server, job &one);
    void refuseBlocked(const job &one);
    void refuseWaitingLike(const std::string &fingerprint);
    void tellCrashes(const job &one, const owned &server, const engine_run_end &how);
    void cancelJob(job &one);
    void linger(const job &one);
    void lingered(const request_id &id);

    std::vector<load_need> needs(const owned &server, millis now) const;
    void wantLoads(owned &server);
    void askBudgetFor(owned &server, const load_need &need);
    void dropTicket(owned &server);
    void onGrant(std::uint64_t ticket);
    void carryOutLoad(owned &server);
    millis roomFrom(const owned &server, const slot *wanted, millis now) const;
    std::optional<adapter_ref> victimFor(const owned &server, const adapter_ref &wanted) const;
    void unload(owned &server, const adapter_ref &which);
    void settleLater(const std::string &name, const adapter_ref &which);
    void load(owned &server, const adapter_ref &which);
    void loaded(owned &server, const adapter_ref &which, const engine_order_end &how, millis began);

    void poll(owned &server);
    void applyState(owned &server, const engine_state &state);
    void pollReport(owned &server);
    void tick();
    void checkDeadlines(millis now);
    void drained();

    static std::string startOf(const owned &server);
    millis comeBackAfter(millis wait);
    bool takesWork(const owned &server) const;
    bool leaves(const owned &server) const;
    millis pauseOf(const owned &server) const;
    void hearWords(const std::string &name, const answer_words &said);
    std::uint32_t usedSlots(const owned &server) const;
    std::uint32_t waitingForPlace(const owned &server) const;
    server_hint hintOf(const owned &server) const;
    std::vector<std::string> replicasOf(owned &server, const adapter_ref &which, slot &where);
    owned *find(const std::string &name);
    std::string statusServers() const;
    std::string statusAdapters() const;

    bus &m_bus;
    loop &m_loop;
    http_client &m_runs;
    http_client &m_guarded;
    crash_task &m_crashes;
    options m_options;
    std::map<std::string, owned> m_servers;
    std::map<request_id, job> m_jobs;
    std::map<request_id, job> m_lingering; ///< ended here without proof that the engine has ended them
    server_words m_words; ///< of engines, by what they say
    std::set<std::string> m_drained; ///< by operators
    std::map<std::string, std::string> m_holders; ///< of servers that are not ours
    std::map<std::string, std::vector<replica_site>> m_sites; ///< by base model, without leaving ones
    std::uint64_t m_sitesRevision = 1;
    std::vector<std::string> m_brokers;
    std::uint32_t m_members = 1;
    config_ptr m_config;
    millis m_leaseUntil;
    std::uint64_t m_nextTicket = 1;
    std::map<std::uint64_t, std::shared_ptr<void>> m_settling; ///< timers of unloads without an answer
    std::uint64_t m_lastSettle = 0;
    millis m_lastUnbrokered;
    bool m_leavingSoon = false;
    bool m_drainedSaid = false;
    std::mt19937_64 m_random;
    std::shared_ptr<void> m_timer;
};

}
