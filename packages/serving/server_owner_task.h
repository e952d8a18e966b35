#pragma once

#include "scheduling/observed_server.h"
#include "scheduling/slot_scheduler.h"
#include "serving/client_request.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/lease_validity.h"
#include "serving/node_settings.h"
#include "serving/peer_liveness.h"
#include "serving/server_notice_task.h"
#include "serving/store_task.h"
#include "transport/backend_call.h"
#include "transport/backend_pool.h"
#include "transport/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

struct server_owner_counters
{
    std::uint64_t orders = 0;
    std::uint64_t ordersUnknown = 0; ///< sent, outcome unknown
    std::uint64_t reports = 0;
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t granted = 0; ///< slot requests
    std::uint64_t refused = 0; ///< slot requests
};

/// Daemons that may own a server: all nodes, and those of each failure domain.
struct owner_candidates
{
    std::vector<std::string> all;
    std::map<std::string, std::vector<std::string>> byDomain;
};

/// All daemons that reach backend servers.
owner_candidates ownerCandidates(const store_view &view);
/// The daemon that is to claim a server without an owner: the first by rendezvous hash of those in the
/// server's failure domain, or of all if there are none. Empty if there is no daemon.
std::string preferredOwner(const owner_candidates &candidates, const backend_server &server);

/// Sends the orders to the model servers that this daemon owns, and decides which prompts are sent to them
/// when. A server has one owner at a time; the other daemons request slots from it. The owner also grants the
/// permits within a limit that a server announces, including plain servers.
class server_owner_task
{
public:
    /// Delivers a response to an entry: by datagram, or directly if it is in this process.
    using response_callback = std::function<void(const std::string &entry, const slot_response &response)>;

    server_owner_task(loop &eventLoop, bus &messages, store_task &store, server_notice_task &words,
        backend_pool &pool, const request_codec &codec, const node_settings &settings, decision_log &log,
        response_callback onResponse);

    /// Handles an entry's message, received by datagram or from this process.
    void handle(const std::string &entry, const slot_request &request);
    void handle(const std::string &entry, const extended_slot_request &request);
    void handle(const std::string &entry, const slot_report &report);
    void handle(const std::string &entry, const running_request &run);
    void handle(const std::string &entry, const limit_report &report);
    void handle(const std::string &entry, const server_rejection &rejection);
    /// Handles another daemon's heartbeat about the servers that it owns.
    void onHeartbeat(const std::string &node, const fleet_heartbeat &beat);
    /// While this daemon is isolated from the others, they replace it on servers that check fencing tokens.
    /// It sends no orders there, so that the ordering daemon does not change back and forth.
    void setIsolated(bool isolated);
    /// Ends all ownerships and sends no more orders. Called before the records are released.
    void stop();
    /// Applies the load that another daemon reports about the servers that it owns.
    void onLoadHeartbeat(const std::string &node, const load_heartbeat &beat);
    /// What is to be sent along with each heartbeat; no server if no feature applies to any.
    std::vector<server_load> serverLoads() const;
    /// The heartbeat to send now. A long gap since the last one pauses orders, see suspensionPause.
    fleet_heartbeat heartbeat();
    /// Whether heartbeats of other daemons are due here, since they own servers of this daemon's heartbeat
    /// group.
    bool expectsHeartbeats() const;
    const server_owner_counters &counters() const;

private:
    struct server_state
    {
        std::uint64_t fencingToken = 0;
        std::int64_t startedAtMs = 0; ///< the incarnation that this state is about
        millis ordersAllowedFrom; ///< after a handover
        bool fenced = false; ///< a higher fencing token is in use: no orders are sent under this one
        millis otherOwnerUntil; ///< a daemon with a lower fencing token may send orders until then
        millis lastOrderAt;
        bool reportRequested = false;
        slot_scheduler scheduler;
        std::optional<double> loggedLimit; ///< requests per second, as last logged
    };

    /// The speed that another owner has reported, for the case that this daemon takes over.
    struct reported_speed
    {
        observed_load load;
        std::int64_t startedAtMs = 0; ///< the server's incarnation at that time
    };

    /// Adapter loads in progress on a server of another owner.
    struct observed_loads
    {
        int count = 0;
        millis receivedAt;
    };

    void handleSlot(const std::string &entry, const slot_request &request, const slot_terms &terms);
    void onViewChanged(const view_changed &change);
    void updateFeatures();
    void trackOwners();
    std::optional<millis> vacatedUntil(const std::string &id) const;
    millis earliestOrderTime(const std::string &id);
    void claimUnownedServers();
    void replaceUnresponsiveOwners();
    void beginOwnership(const std::string &id, const ownership_entry &entry);
    void endOwnership(const std::string &id, const char *why);
    void onServersReachable(bool reachable);
    void onServerRestarted(const std::string &id, std::int64_t startedAtMs);
    void configureScheduler(slot_scheduler &scheduler, const backend_server &server) const;
    bool needsOwner(const backend_server &server) const;
    void updateLimitShare(const std::string &id, server_state &state);
    void sendResponse(const std::string &entry, const slot_response &response);
    void sendResponses(const std::vector<addressed_response> &responses);
    void processServer(const std::string &id);
    void processAllServers();
    void estimateConcurrentLoads();
    void requestReport(const std::string &id, server_state &state, const backend_server &server);
    void sendOrder(const std::string &id, server_state &state, const backend_server &server);
    void onOrderDone(const std::string &id, std::int64_t startedAtMs, std::uint64_t fencingToken,
        const server_order &order, order_result response);
    bool mayOrder(const std::string &id, const server_state &state) const;
    void recordNotices(const backend_server &server, const call_result &result);
    order_constraints constraintsFor(const engine_spec &engine) const;
    std::int64_t newestVersion(const std::string &model, const std::string &adapter) const;
    bool mayLoadModel(const engine_spec &engine) const;
    const backend_server *findServer(const std::string &id) const;
    const engine_spec *findEngine(const backend_server &server) const;

    loop &m_loop;
    store_task &m_store;
    server_notice_task &m_words;
    backend_pool &m_pool;
    const request_codec &m_codec;
    node_settings m_settings;
    decision_log &m_log;
    response_callback m_onResponse;
    server_owner_counters m_counters;
    bool m_stopped = false;
    bool m_isolated = false;
    bool m_cutOff = false; ///< from all backend servers
    millis m_lastModelLoad;
    load_estimate m_pace;
    std::map<std::string, observed_loads> m_observedLoads; ///< by server
    std::map<std::string, server_state> m_servers;
    announced_limits &m_limits; ///< of m_words
    std::map<std::string, millis> m_releasedAt; ///< when a server was seen released by its owner
    std::map<std::string, std::string> m_owners; ///< peers that own a server, by server
    std::map<std::string, removed_ownership> m_removedOwnerships; ///< by server
    std::set<std::string> m_replacedServers; ///< claimed from an unresponsive owner
    std::set<std::string> m_ownedByPreviousProcess; ///< whose record this instance's previous process left
    std::map<std::string, reported_ownership> m_reportedOwnerships; ///< by daemon
    std::map<std::string, millis> m_lastOrderTimes; ///< to servers that were owned here before
    observed_owners m_observedOwners; ///< by server
    std::map<std::string, service_features> m_features; ///< by service, of the configuration in force
    std::map<std::string, reported_speed> m_reportedSpeeds; ///< by server of another owner
    millis m_lastHeartbeatAt;
    millis m_pausedUntil; ///< no orders are sent until then, after a suspension
    std::shared_ptr<void> m_processTimer;
    std::shared_ptr<void> m_claimTimer;
};

}
