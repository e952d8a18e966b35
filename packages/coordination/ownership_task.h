#pragma once

#include "coordination/events.h"
#include "coordination/ownership.h"
#include "state/clock.h"
#include "transport/bus.h"
#include "transport/engine_client.h"
#include "transport/fence.h"
#include "transport/kv_client.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace briarhead {

/// The task that decides which backend servers this daemon owns. It keeps the daemon's session lease, reads
/// and swaps owner records, installs fencing tokens on engines, and notifies the owner task of servers gained
/// and lost. It reads only the records of servers for which this daemon is the preferred owner, so the number
/// of its calls doesn't grow with the fleet.
class ownership_task
{
public:
    struct options
    {
        std::string self;
        std::uint64_t incarnation = 0;
        millis leaseTtl{10'000}; ///< for small fleets; see leaseTtlFor()
    };

    ownership_task(bus &messages, loop &eventLoop, kv_client &kv, http_client &orders, fence &guard,
        options taskOptions);

private:
    /// One backend server (engine) of the region, as this task sees it.
    struct tracked_server
    {
        live_instance instance;
        std::string preferredOwner; ///< first by rendezvous hash over m_candidates
        owner_record record; ///< as last read
        std::int64_t revision = -1; ///< of the record; -1: must be read before the next write
        millis readAt; ///< when the record was last read, plus a random delay that spreads the reads
        bool rereadRequested = false; ///< a peer reported that it has released the server
        bool ownerSessionEnded = false;
        millis sessionReadAt;
        std::optional<engine_state> engine; ///< nothing before the engine has responded
        millis engineReadAt;
        bool callPending = false; ///< a call that ends in a change of this entry is in flight
        bool active = false; ///< handed to the owner task by server_gained
        bool epochRaiseNeeded =
            false; ///< the session was lost: take over again before the lease is confirmed
        bool fencingNeeded = false; ///< the engine was restarted: its fencing token must be installed again
        bool releasing = false;
        std::uint64_t fencingToken = 0; ///< held while active
        bool outageClaim = false; ///< claimed on the engine only, not by a record
        std::uint64_t supersededBy = 0; ///< the higher token for which the engine refused this daemon's
        owner_record predecessor; ///< the record before this daemon took over
        bool predecessorMayRun = false; ///< the predecessor's process may still be running
        millis earliestRunAt;
        millis earliestEvictAt;
    };

    void onMembers(const members_changed &change);
    void onLiveList(const live_list_changed &change);
    void onReleased(const server_released &released);
    void updatePreferredOwners();

    void tick();
    void renew();
    void openSession();
    void onLeaseConfirmed(millis sentAt);
    void onLeaseLost();
    millis retryDelay();
    void onServiceStatus(kv_status status);

    void reconcile(tracked_server &server);
    void readRecord(tracked_server &server);
    void readSession(tracked_server &server);
    void writeSession(std::int64_t lease, millis ttl, millis sentAt);
    millis maxDeadline() const;
    void readEngine(tracked_server &server);
    void takeOver(tracked_server &server);
    void claimOnEngine(tracked_server &server);
    void installFencingToken(tracked_server &server, std::uint64_t fencingToken);
    void onAcquired(tracked_server &server, std::uint64_t fencingToken);
    void dropServer(tracked_server &server);
    void release(tracked_server &server);
    void checkPredecessor(tracked_server &server);

    bool isOwn(const owner_record &record) const;
    ownership_view viewOf(const tracked_server &server) const;
    const member *findMember(const std::string &name) const;
    tracked_server *find(const std::string &name);
    tracked_server *finishCall(const std::string &name);

    bus &m_bus;
    loop &m_loop;
    kv_client &m_kv;
    http_client &m_orders;
    fence &m_fence;
    options m_options;
    std::map<std::string, tracked_server> m_servers; ///< by name
    std::map<std::string, member> m_members; ///< by name
    std::vector<std::string> m_candidates; ///< names of the live daemons that may own servers
    config_ptr m_config;
    std::int64_t m_lease = 0; ///< the session's lease id; 0: none
    std::int64_t m_sessionRevision = 0;
    millis m_leaseUntil; ///< end of the lease as last confirmed
    millis m_renewAt;
    millis m_ttl; ///< of the lease as granted
    millis m_claimAt; ///< earliest time of the next claim, by fleetCallInterval()
    bool m_sessionCallPending = false;
    bool m_hadLease = false;
    bool m_serviceReachable = true;
    int m_serviceFailures = 0; ///< failed calls in a row
    bool m_leaving = false;
    std::uint32_t m_ownedCount = 0;
    std::mt19937_64 m_random;
    std::shared_ptr<void> m_timer;
};

}
