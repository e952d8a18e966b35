#pragma once

#include "coordination/quota_client.h"
#include "coordination/quota_home.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// A shard's quota home, as recorded in a store where only one daemon at a time can hold the record.
struct shard_home
{
    std::string node; ///< empty: the last home has released it
    std::int64_t term = 0; ///< differs each time that a daemon claims the shard
    bool own = false; ///< claimed by this process, whose lease is valid
    bool predecessorExpired = false; ///< no earlier home can grant units any more
};

/// A change of a shard's home, as seen by this daemon.
enum class quota_event : std::uint8_t
{
    HomeAcquired, ///< this daemon became a shard's home
    HomeLost, ///< this daemon is no longer the home
    HomeFound, ///< another daemon is the home
    HomeReleased, ///< this daemon stopped being the home, so that a successor can take over
};

std::string_view nameOf(quota_event value);

/// An event that the task reports to the log.
struct quota_log_entry
{
    quota_event event = quota_event::HomeAcquired;
    std::uint32_t shard = 0;
    std::string home;
    std::int64_t term = 0;
    bool handedOver = false;
};

/// The task's access to the other daemons, the records and the log; each daemon program supplies its own.
struct quota_callbacks
{
    std::string self;
    std::uint64_t incarnation = 0;
    std::function<std::size_t()> daemons; ///< number of daemons
    std::function<std::vector<std::string>()> live; ///< the daemons that may become a home
    std::function<std::vector<std::string>()> fleet; ///< live daemons and others that may still hold shares
    std::function<void(const std::string &daemon, const quota_request &request)> sendRequest;
    std::function<void(const std::string &daemon, const extended_quota_request &request)> sendExtendedRequest;
    /// Whether a daemon understands extended_quota_request; missing: none does.
    std::function<bool(const std::string &daemon)> understandsRanks;
    /// Asks a daemon whether it does; its reply changes the result of understandsRanks().
    std::function<void(const std::string &daemon)> askFeatures;
    std::function<void(const std::string &daemon, const quota_response &response)> sendResponse;
    /// The record of a shard's home; nothing: there is no record.
    std::function<std::optional<shard_home>(std::uint32_t shard)> homeOf;
    std::function<void(const std::string &daemon, const quota_release &release)> sendRelease;
    /// Claims a shard that has no home; with `released`, also one that its home has released.
    std::function<void(std::uint32_t shard, bool released)> claim;
    /// Records that no earlier home can grant units any more, which changes the term.
    std::function<void(std::uint32_t shard)> recordPredecessorExpired;
    /// Whether this daemon can't renew its records while others may be able to write them.
    std::function<bool()> isDisconnectedFromRecords;
    /// Until when this daemon's records are certain to be valid.
    std::function<millis()> confirmedUntil;
    limit_lookup limitOf;
    std::function<void(const quota_log_entry &entry)> log;
};

/// Messages sent since the start of the process, for metrics.
struct quota_counters
{
    std::uint64_t requests = 0; ///< sent to homes
    std::uint64_t responses = 0; ///< sent as a home
};

/// What a daemon holds of an account's limit, for log lines and metrics. Rates are units per second at this
/// daemon, as recent averages; those by rank only where limits go by rank.
struct quota_status
{
    quota_limit limit; ///< as this daemon's latest request had it
    double share = 0; ///< fraction of the limit
    double demand = 0;
    double urgentDemand = 0; ///< of the most urgent rank
    double urgentUse = 0; ///< granted to the most urgent rank
    double lessUrgentUse = 0;
    double level = 0; ///< units in the local bucket
    std::string home;
    millis contactAge{-1}; ///< since the latest request that got a response was sent; negative: none was
};

/// Keeps client accounts within their limits, over all daemons together; see quota_plan.h.
class quota_task
{
public:
    using on_decision = std::function<void(const quota_decision &)>;

    quota_task(
        loop &eventLoop, quota_callbacks callbacks, const quota_plan &plan, const quota_tolerance &rules);

    /// Acquires units for a request. `done` may be called before this returns. Returns the id to pass to
    /// cancelAcquire() while the request waits for the home, or 0 if it doesn't wait.
    std::uint64_t acquire(std::uint64_t account, const quota_limit &limit, double cost, quota_urgency urgency,
        on_decision done);
    void cancelAcquire(std::uint64_t account, std::uint64_t waiter);
    /// Returns units that were acquired for a request that did not run. At most once per acquisition.
    void releaseUnits(std::uint64_t account, double cost);
    /// How long acquired units are valid; after that they have to be acquired again.
    millis unitsLifetime() const;

    void onRequest(const quota_requester &requester, const quota_request &request);
    void onRequest(const quota_requester &requester, const extended_quota_request &request);
    void onMessage(const quota_response &response);
    void onMessage(const quota_release &release);
    /// To be called after a change of the configuration; `any`: at least one account has a limit; `byRank`:
    /// limits go to the most urgent requests first.
    void onLimitsChanged(bool any, bool byRank);
    /// To be called after a change of the records or of the fleet.
    void onRecordsChanged();
    /// Stops granting units as a home, before this daemon's records are released.
    void stop();

    quota_status status(std::uint64_t account) const;
    const quota_counters &counters() const;

private:
    /// A shard of which this daemon is the home.
    struct own_home
    {
        std::int64_t term = 0;
        quota_home state;
    };

    template <class request_type>
    void respond(const quota_requester &requester, std::uint32_t shard, const request_type &request);
    void tick();
    void updateRankedHomes();
    void sendRequests();
    void notifyWaiters(const std::vector<resolved_waiter> &resolved);
    bool mayClaim(std::uint32_t shard, millis vacantFor) const;
    void claimVacant();
    void releaseHomes();
    void recordPredecessorsExpired();

    loop &m_loop;
    quota_callbacks m_callbacks;
    quota_client m_client;
    std::map<std::uint32_t, own_home> m_homes; ///< by shard
    std::map<std::uint32_t, millis> m_vacantSince; ///< by shard
    std::map<std::uint32_t, bool>
        m_handedOver; ///< whether the predecessor handed over, for claims in progress
    std::map<std::uint32_t, std::int64_t>
        m_releasedTerms; ///< by shard, the term in which this daemon grants nothing any more
    std::map<std::uint64_t, on_decision> m_waiting; ///< by waiter id
    std::map<std::string, millis> m_featuresAskedAt; ///< by home
    std::uint64_t m_lastWaiterId = 0;
    quota_counters m_counters;
    millis m_lastClaimAt;
    bool m_active = false; ///< at least one account has a limit
    bool m_stopped = false;
    std::shared_ptr<void> m_timer;
};

}
