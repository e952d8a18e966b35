#pragma once

#include "protocol/fleet_messages.h"
#include "protocol/version_messages.h"
#include "scheduling/newest_versions.h"
#include "serving/decision_log.h"
#include "serving/lease_validity.h"
#include "serving/metadata_store.h"
#include "serving/node_settings.h"
#include "serving/store_records.h"
#include "serving/store_timing.h"
#include "transport/bus.h"
#include "transport/loop.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

/// An ownership record in the store: one daemon at a time holds it, under its lease.
struct ownership_entry
{
    ownership_record record;
    std::int64_t revision = 0;
    bool predecessorExpired = false; ///< quota homes only; see quota_home_record
};

using ownership_map = std::map<std::string, ownership_entry>; ///< by the name of what is owned

struct stored_crash_record
{
    crash_record record;
    std::int64_t revision = 0;
};

struct stored_service_versions
{
    service_versions_record record;
    std::int64_t revision = 0;
};

struct stored_adapter_versions
{
    adapter_versions_record record;
    std::int64_t revision = 0;
};

/// This daemon's copy of the store's contents. The other tasks read it; only store_task changes it.
struct store_view
{
    std::shared_ptr<const serving_config> config; ///< null until the first one is read
    std::map<std::string, backend_server> servers; ///< by id
    newest_versions versions; ///< by MODEL/ADAPTER
    daemon_map daemons; ///< registered daemons, including this one
    /// Daemons whose record expired recently. Most of them have lost the store or are shutting down, but
    /// still reach the other daemons and have callers, so messages to them are still sent.
    daemon_map expiredDaemons;
    std::set<std::string> cutOffDaemons; ///< daemons that reach no backend server, by node
    ownership_map serverOwners; ///< by server id
    ownership_map quotaHomes; ///< by the decimal number of a shard of client accounts
    std::map<std::string, stored_crash_record> crashes; ///< by attribute of requests
    std::map<std::string, stored_service_versions> serviceVersions; ///< by service
    std::map<std::string, stored_adapter_versions> adapterVersions; ///< by shard of adapters
    millis registeredAt; ///< when this daemon's record was last written
    millis lastResponseAt; ///< when the store last answered a call
    millis firstReadAt; ///< when all keys were first read; 0: not yet
    bool reachable = false;
};

std::vector<std::string> nodesOf(const daemon_map &daemons);
/// The record of a daemon, registered or recently expired; null if it is unknown.
const daemon_record *findPeer(const store_view &view, const std::string &node);

/// TTL where servers check no fencing tokens: a dead daemon is replaced only when its lease expires, so the
/// TTL is as short as one or two lost renewals allow.
constexpr millis shortLeaseTtl{2'500};
/// TTL where servers check fencing tokens: a daemon is replaced as soon as it is unresponsive (see
/// peer_liveness.h), so its lease only has to expire eventually. With 195 daemons, renewals every 800 ms made
/// up half of the cost of all store calls, 0.024 of a low-traffic day's score.
constexpr millis longLeaseTtl{6'000};
millis leaseTtlFor(const node_settings &settings);

/// Posted on the bus when this daemon is cut off from all backend servers, or no longer is.
struct servers_reachable
{
    bool reachable = true;
};

/// Posted on the bus after each change of the view.
struct view_changed
{
    bool config = false;
    std::vector<std::string> removedServers; ///< also those restarted under the same id: they hold nothing
    /// The removed ones that had not announced leaving. The others stop as planned, with what they still ran.
    std::vector<std::string> crashedServers;
    std::vector<std::string> crashes; ///< keys of attributes whose record was written or removed
    /// Adapters, as MODEL/ADAPTER, whose newest version the store may lose; see newest_versions.h.
    std::vector<std::string> unsafeVersions;
    std::vector<stream_origin_record> origins; ///< that the store held when all keys were first read
};

/// Follows the store with one watch over all keys, or through the store readers of the failure domain, and
/// maintains this daemon's lease and records there.
class store_task
{
public:
    store_task(loop &eventLoop, bus &messages, metadata_store &store, const record_codec &codec,
        const node_settings &settings, std::uint64_t incarnation, decision_log &log);

    const store_view &view() const;
    std::uint64_t incarnation() const;
    /// Calls to the other daemons of the failure domain: `send` sends an update as datagrams; `fetch`
    /// requests the updates after a revision from one node and passes on nothing if it does not answer.
    struct peer_calls
    {
        std::function<void(const std::vector<std::string> &nodes, const store_update &update)> send;
        std::function<void(const std::string &node, std::int64_t after,
            std::function<void(std::optional<store_update>)> done)>
            fetch;
    };
    void setPeerCalls(peer_calls calls);
    /// Applies an update from a reader of this failure domain, or fetches it where the update is not attached
    /// or does not follow this daemon's revision.
    void onStoreUpdate(const std::string &reader, const store_update &update);
    /// The updates after a revision, for a daemon that fetches them; a full snapshot if the revision is too
    /// old.
    store_update updatesAfter(std::int64_t revision) const;
    /// Until when this daemon's ownership of its servers is certain; see lease_validity.h.
    millis ownershipValidUntil() const;
    /// Whether this process wrote the record.
    bool isOwn(const ownership_record &record) const;
    /// Whether the record belongs to the current lease, the one that ownershipValidUntil() is about.
    bool isUnderCurrentLease(const ownership_record &record) const;
    /// Whether the view holds a record of the server that is this process's and under its current lease. To
    /// be checked before each order: after a lease was lost, a new one says nothing about earlier records.
    bool ownsServer(const std::string &server) const;
    /// Whether the lease is unexpired by this daemon's clock and the latest call to the store succeeded. This
    /// does not prove any record: another daemon may just have replaced it.
    bool isLeaseValid() const;
    /// Whether this daemon is one of its failure domain's readers, which watch the store for the others.
    bool isReader() const;
    /// Claims ownership of a server if no other daemon holds it, or with `replace` also from its present
    /// owner. The view shows the outcome.
    void claimServer(const std::string &server, bool replace = false);
    /// The same for the quota home of a shard of client accounts.
    void claimQuotaHome(const std::string &shard, bool replace = false);
    /// Records in this daemon's home record that all grants of the previous home have expired.
    void recordPredecessorExpired(const std::string &shard);
    /// Whether the store fails this daemon's calls while a reader still reports updates from it.
    bool isStoreUnreachableLocallyOnly() const;
    /// Until when this daemon's quota home records are certain. Unlike orders, which servers check, a home's
    /// grants are checked by nobody else, so after a failed call the records count as uncertain until they
    /// have been read again.
    millis quotaHomesValidUntil() const;
    /// When this daemon's configuration was last confirmed as the newest; nothing: never.
    std::optional<millis> configConfirmedAt() const;
    /// Writes the servers that crashed under a request, replacing the record in the view. Nothing is written
    /// if another daemon has changed it since. `done` receives whether it was written, never from inside the
    /// call.
    void writeCrashRecord(
        const std::string &attribute, const crash_record &record, std::function<void(bool)> done);
    void removeCrashRecord(const std::string &attribute);
    /// Writes the software versions of a service, replacing the record in the view. Nothing is written if
    /// another daemon has changed it since.
    void writeServiceVersions(const std::string &service, const service_versions_record &record);
    /// The same for the newest versions of a shard of adapters.
    void writeAdapterVersions(const std::string &shard, const adapter_versions_record &record);
    /// Writes a segment of this daemon's origin log. `done` receives whether it was certainly written, never
    /// from inside the call.
    void writeOrigins(
        std::int64_t segment, const stored_origins_record &record, std::function<void(bool)> done);
    /// Reads the origins of streams that all daemons have written; passes on nothing if the store does not
    /// answer.
    void readOrigins(std::function<void(std::optional<std::vector<stream_origin_record>>)> done);
    /// Publishes whether this daemon is cut off from all backend servers. While it is, the records of the
    /// servers that it owns are released.
    void setCutOff(bool cutOff);
    /// Releases all of this daemon's records at shutdown.
    void releaseRecords();

private:
    void readAll();
    void scheduleFirstRead();
    void readVersionHistory(std::int64_t revision, std::int64_t changes, int reads);
    void retryRead();
    void applyFullRead(const store_read &read);
    void followStore();
    void sendUpdate(std::int64_t from, const std::vector<stored_item> &items);
    void fetchUpdate(const std::string &reader);
    void recordItem(const stored_item &item, bool isUpdate);
    std::vector<std::string> domainDaemons() const;
    bool hasFreshUpdate() const;
    void watchStore();
    void applyEvents(const store_read &read);
    stored_item withHashedKeys(const stored_item &item) const;
    bool applyItem(const stored_item &item, view_changed &change);
    void applyConfig(const stored_item &item, view_changed &change);
    bool applyServer(const stored_item &item, view_changed &change);
    bool applyVersion(const stored_item &item, view_changed &change);
    bool raiseVersion(
        const std::string &adapter, std::int64_t version, const stored_item &source, view_changed &change);
    std::vector<stored_item> latestOf(const std::vector<stored_item> &items) const;
    void logUnreadable(const stored_item &item, const error &why);
    void applyProjectRecord(const stored_item &item, view_changed &change);
    void applyDaemon(const stored_item &item);
    void applyCutOff(const stored_item &item);
    void applyServerOwner(const stored_item &item);
    void applyQuotaHome(const stored_item &item);
    static void recordOwnership(ownership_map &owners, const std::string &name, const ownership_entry &entry);
    void claimOwnership(
        const std::string &prefix, ownership_map &owners, const std::string &name, bool replace);
    void writeOwnership(
        const std::string &prefix, ownership_map &owners, const std::string &name, bool predecessorExpired);
    void confirmQuotaHomes();
    void applyCrash(const stored_item &item, view_changed &change);
    void applyServiceVersions(const stored_item &item);
    void applyAdapterVersions(const stored_item &item, view_changed &change);
    void putOrigins(
        std::int64_t segment, const stored_origins_record &record, std::function<void(bool)> done);
    void appendOrigins(const stored_item &item, std::vector<stream_origin_record> &origins);
    template <class stored>
    void writeVersions(const std::string &key, std::map<std::string, stored> &records,
        const std::string &name, const decltype(stored::record) &record, const char *logged);
    void changeCrashRecord(const std::string &attribute, store_change change, std::function<void(bool)> done);
    void removeMissing(const std::set<std::string> &present, view_changed &change);
    void removeUnreturnedServers();
    void forgetExpiredDaemons();
    void onCallDone(bool answered, const char *call);
    void maintainLease();
    void maintainCutOff();
    void releaseServers();
    void addReleases(store_change &change, const std::string &prefix, const ownership_map &owners) const;
    void grantLease();
    void publish(const view_changed &change);
    bool ownsQuotaHome() const;

    loop &m_loop;
    bus &m_bus;
    metadata_store &m_store;
    record_codec m_codec;
    node_settings m_settings;
    std::uint64_t m_incarnation;
    decision_log &m_log;
    millis m_renewInterval;
    millis m_claimPausedUntil;
    int m_failedReads = 0; ///< consecutive failed reads and watches
    bool m_lastCallFailed = false; ///< of all kinds of calls to the store
    millis m_failingSince; ///< when the first of the latest consecutive failures occurred
    store_view m_view;
    std::int64_t m_revision = 0; ///< the view's revision
    std::int64_t m_configRevision = 0;
    std::int64_t m_lease = 0;
    std::int64_t m_originLease = 0; ///< of the latest segments; 0: none
    millis m_originLeaseAt; ///< when it was requested
    bool m_leaseCallInFlight = false;
    bool m_leaving = false;
    bool m_cutOff = false; ///< to be published
    bool m_publishedCutOff = false;
    bool m_cutOffCallInFlight = false;
    bool m_releaseInFlight = false;
    peer_calls m_peerCalls;
    std::map<std::string, stored_item> m_items; ///< by key, for daemons that fetch a snapshot
    std::deque<stored_item> m_recentChanges; ///< oldest first
    std::int64_t m_recentChangesAfter = 0; ///< m_recentChanges is complete after this revision
    millis m_lastUpdateAt; ///< when a reader's update was last applied
    bool m_fetching = false;
    std::uint64_t m_fetchRound = 0;
    std::shared_ptr<void> m_fetchTimer;
    std::uint64_t m_watchRound = 0; ///< the current read or watch; responses to earlier ones are ignored
    lease_validity m_ownershipValidity;
    lease_validity m_quotaHomeValidity;
    bool m_confirmingQuotaHomes = false;
    std::optional<millis> m_configConfirmedAt;
    bool m_reading = false; ///< a read of all keys is in progress
    millis m_reconnectedAt; ///< when the store first answered after an outage
    std::set<std::string> m_missingServers; ///< expired in an outage, kept for missingGrace
    std::set<std::string> m_claimsInFlight; ///< keys
    std::set<std::string> m_crashChangesInFlight; ///< attributes
    std::set<std::string> m_versionWritesInFlight; ///< keys
    std::map<std::string, millis> m_expiredAt; ///< when a daemon's record expired, by node
    std::set<std::string> m_loggedUnreadable; ///< keys whose item was logged as unreadable
    std::shared_ptr<void> m_watchTimer;
    std::shared_ptr<void> m_leaseTimer;
    std::shared_ptr<void> m_missingServersTimer;
};

}
