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

/// The task that decides which backend servers this daemon owns. It holds the daemon's one session lease,
/// reads and swaps owner records, puts fencing numbers on engines, and tells the owner task what it gained
/// or lost. It reads only records of servers that it is proposed for, so its calls don't grow with the fleet.
class ownership_task
{
public:
    struct options
    {
        std::string self;
        std::uint64_t incarnation = 0;
        millis leaseTtl{10'000};
    };

    ownership_task(
        bus &messages, loop &eventLoop, kv_client &kv, http_client &orders, fence &guard, options given);

private:
    /// One engine of the region, as this task knows it.
    struct tracked
    {
        live_instance where;
        std::string proposed;
        owner_record record;
        std::int64_t revision = -1; ///< -1: the record was not read yet
        millis readAt;
        bool reread = false; ///< the old owner has released it
        bool holderSessionGone = false;
        millis sessionReadAt;
        std::optional<engine_state> engine;
        millis engineReadAt;
        bool busy = false; ///< a call that ends in a change of this entry is under way
        bool active = false; ///< the owner task has it
        bool retake = false; ///< ours, but the epoch must rise before orders go on
        bool refence = false; ///< the engine restarted: our number has to be put there again
        bool releasing = false;
        std::uint64_t fencingToken = 0; ///< the number we hold while active
        bool outageClaim = false; ///< held by the engine's word only
        std::uint64_t lostTo = 0; ///< a higher number that the engine refused ours for
        owner_record previous; ///< whose tenure ours followed
        bool previousOpen = false; ///< it may still have something running
        millis earliestRunAt;
        millis earliestEvictAt;
    };

    void onMembers(const members_changed &news);
    void onLiveList(const live_list_changed &news);
    void onReleased(const server_released &answer);
    void propose();

    void tick();
    void renew();
    void openSession();
    void leaseConfirmed(millis sentAt);
    void leaseLost();
    millis retryPause();
    void serviceAnswered(kv_status status);

    void look(tracked &server);
    void readRecord(tracked &server);
    void readSession(tracked &server);
    void writeSession(std::int64_t lease, millis ttl, millis sentAt);
    millis longestDeadline() const;
    void readEngine(tracked &server);
    void takeOver(tracked &server);
    void claimOnEngine(tracked &server);
    void putFence(tracked &server, std::uint64_t fencingToken);
    void gained(tracked &server, std::uint64_t fencingToken);
    void lose(tracked &server);
    void release(tracked &server);
    void watchOldTenure(tracked &server);

    bool mine(const owner_record &record) const;
    ownership_view viewOf(const tracked &server) const;
    const member *memberNamed(const std::string &name) const;
    tracked *find(const std::string &name);
    tracked *answered(const std::string &name);

    bus &m_bus;
    loop &m_loop;
    kv_client &m_kv;
    http_client &m_orders;
    fence &m_fence;
    options m_options;
    std::map<std::string, tracked> m_servers;
    std::map<std::string, member> m_members;
    std::vector<std::string> m_candidates; ///< live daemons that may own
    config_ptr m_config;
    std::int64_t m_lease = 0;
    std::int64_t m_sessionRevision = 0;
    millis m_leaseUntil;
    millis m_renewAt;
    millis m_ttl; ///< of the lease as granted
    millis m_claimAt; ///< not before: claims of a whole fleet are spread over time
    bool m_sessionBusy = false;
    bool m_hadLease = false;
    bool m_serviceUp = true;
    int m_serviceFailures = 0;
    bool m_leaving = false;
    std::uint32_t m_owned = 0;
    std::mt19937_64 m_random;
    std::shared_ptr<void> m_timer;
};

}
