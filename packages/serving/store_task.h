#pragma once

#include "protocol/fleet_messages.h"
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

/// A right that one daemon at a time has, under its lease.
struct ownership_entry
{
    orderer_record record;
    std::int64_t revision = 0;
    bool settled = false; ///< of a quota home: see quota_home_record
};

using ownership_map = std::map<std::string, ownership_entry>; ///< by what the right is over

struct stored_crash_record
{
    crash_record record;
    std::int64_t revision = 0;
};

/// What this daemon knows from the store. Read by the other tasks, changed by store_task alone.
struct store_view
{
    std::shared_ptr<const serving_config> config; ///< null before the first
    std::map<std::string, backend_server> servers; ///< by id
    std::map<std::string, std::int64_t> versions; ///< by MODEL/ADAPTER
    daemon_map daemons; ///< this one is among them
    /// Whose record went lately. Most of them are cut off from the store or end, not from the others, and
    /// have callers: they are told and answered all the same.
    daemon_map expiredDaemons;
    ownership_map serverOwners; ///< by server id
    ownership_map quotaHomes; ///< by number of a shard of client accounts, as text
    std::map<std::string, stored_crash_record> crashes; ///< by fingerprint
    millis registeredAt; ///< when this daemon's record was last put there
    millis lastAnswer; ///< of the store
    millis firstReadAt; ///< when all keys were read first
    bool reachable = false;
};

std::vector<std::string> nodesOf(const daemon_map &daemons);
/// A daemon that may be reached; null where nothing is known of it.
const daemon_record *findPeer(const store_view &view, const std::string &node);

/// On servers that check no tokens a dead daemon is replaced after its lease; the shortest that bears a lost
/// renewal or two.
constexpr millis shortLeaseTtl{2'500};
/// On those that check them it is replaced once it is silent (see peer_hearing.h), so its lease only has to
/// end at all. At 195 daemons renewals every 800 ms were half of the price of all store calls, 0.024 of a
/// quiet day's worth.
constexpr millis longLeaseTtl{6'000};
millis leaseTtlFor(const node_settings &settings);

/// Posted after each change of the view.
struct view_changed
{
    bool config = false;
    std::vector<std::string>
        removedServers; ///< also one that has started again under its id: it holds nothing
    std::vector<std::string> crashedServers; ///< of these, those that had not said that they leave
    std::vector<std::string> crashes; ///< fingerprints whose record is new or gone
};

/// Follows the store with one watch over all its keys, and keeps this daemon's lease and record there.
class store_task
{
public:
    store_task(loop &eventLoop, bus &messages, metadata_store &store, const record_codec &codec,
        const node_settings &settings, std::uint64_t incarnation, decision_log &log);

    const store_view &view() const;
    std::uint64_t incarnation() const;
    /// How this daemon speaks to the others of its failure domain: `send` a datagram to a node, `fetch` the
    /// news after a revision from one.
    struct peer_calls
    {
        std::function<void(const std::vector<std::string> &nodes, const store_news &news)> send;
        std::function<void(
            const std::string &node, std::int64_t after, std::function<void(std::optional<store_news>)> done)>
            fetch;
    };
    void setPeerCalls(peer_calls calls);
    void onStoreUpdate(const std::string &reader, const store_news &news);
    /// The news after a revision, for a daemon that fetches them.
    store_news updatesAfter(std::int64_t revision) const;
    /// Until when this daemon can prove that its orderer records stand; see order_right.h.
    millis ownershipValidUntil() const;
    /// Whether this process put the record there, and whether that was under the lease in force, the one that
    /// the proof is about.
    bool isOwn(const orderer_record &record) const;
    bool isUnderCurrentLease(const orderer_record &record) const;
    /// Whether the view has such a record of a server. Asked anew before each order: a lease that has been
    /// lost and granted again proves nothing of records of before.
    bool ownsServer(const std::string &server) const;
    /// Whether the lease lives by this daemon's clock, and the store's latest answer came. Without a reading
    /// this proves no record: another daemon may have replaced it a moment ago.
    bool isLeaseValid() const;
    /// Whether this daemon follows the store itself.
    bool isReader() const;
    /// Claims the right to give a server's orders if nobody else has it, or also from one that has it. The
    /// view tells how it ended.
    void claimServer(const std::string &server, bool replace = false);
    /// The same for the home of a shard of client accounts.
    void claimQuotaHome(const std::string &shard, bool replace = false);
    /// Notes in this daemon's record that whoever was the home before gives nothing any more.
    void confirmPredecessorExpired(const std::string &shard);
    /// Whether the store fails this daemon's calls while others reach it: a reader speaks of it.
    bool isStoreUnreachableLocallyOnly() const;
    /// Until when this daemon can prove that its records of quota homes stand. Unlike orders, what a home
    /// gives is checked by nobody else, so that a doubt ends the proof until a reading has shown the records.
    millis quotaHomesValidUntil() const;
    /// When this daemon last knew that its configuration is the newest; nothing: it never did.
    std::optional<millis> configConfirmedAt() const;
    /// Writes which servers ended under a request, in place of the record that the view has, or of none;
    /// nothing is done if another daemon was faster. `done`, never from inside, says whether it stands.
    void writeCrashRecord(
        const std::string &fingerprint, const crash_record &record, std::function<void(bool)> done);
    void removeCrashRecord(const std::string &fingerprint);
    /// Gives up all of this daemon's records, for a shutdown.
    void releaseRecords();

private:
    void readAll();
    void readOnceAllRegistered();
    void readAgain();
    void takeAll(const store_read &read);
    void follow();
    void sendNews(std::int64_t from, const std::vector<stored_item> &items);
    void fetchNews(const std::string &reader);
    void keepItem(const stored_item &item, bool news);
    std::vector<std::string> domainPeers() const;
    bool newsFresh() const;
    void watchOn();
    void takeEvents(const store_read &read);
    stored_item withoutKeys(const stored_item &item) const;
    bool takeItem(const stored_item &item, view_changed &change);
    void takeConfig(const stored_item &item, view_changed &change);
    bool takeServer(const stored_item &item, view_changed &change);
    void tellUnreadable(const stored_item &item, const error &why);
    void takeOwn(const stored_item &item, view_changed &change);
    void takeDaemon(const stored_item &item);
    void takeOrderer(const stored_item &item);
    void takeQuotaHome(const stored_item &item);
    static void keepRight(ownership_map &rights, const std::string &name, const ownership_entry &entry);
    void claimRight(const std::string &prefix, ownership_map &rights, const std::string &name, bool replace);
    void putRight(const std::string &prefix, ownership_map &rights, const std::string &name, bool settled);
    void proveQuotaHomes();
    void takeCrash(const stored_item &item, view_changed &change);
    void changeCrash(const std::string &fingerprint, store_change change, std::function<void(bool)> done);
    void dropMissing(const std::set<std::string> &present, view_changed &change);
    void dropLate();
    void dropLapsed();
    void heard(bool answered, const char *call);
    void keepLease();
    void grantLease();
    void publish(const view_changed &change);
    bool holdsQuotaHome() const;

    loop &m_loop;
    bus &m_bus;
    metadata_store &m_store;
    record_codec m_codec;
    node_settings m_settings;
    std::uint64_t m_incarnation;
    decision_log &m_log;
    millis m_renewEvery;
    millis m_claimAfter;
    int m_refusals = 0; ///< readings and watches that failed one after the other
    bool m_lastFailed = false; ///< the latest call to the store
    millis m_failingSince; ///< when the first of the latest calls that failed one after the other did
    store_view m_view;
    std::int64_t m_revision = 0; ///< followed up to here
    std::int64_t m_configRevision = 0;
    std::int64_t m_lease = 0;
    bool m_leaseCalling = false;
    bool m_leaving = false;
    peer_calls m_fleet;
    std::map<std::string, stored_item> m_items; ///< all there are, for those that fetch them
    std::deque<stored_item> m_recent; ///< the latest changes, oldest first
    std::int64_t m_recentFrom = 0; ///< `m_recent` holds all changes after this revision
    millis m_newsAt; ///< when a reader was last heard
    bool m_fetching = false;
    std::uint64_t m_fetchRound = 0;
    std::shared_ptr<void> m_fetchTimer;
    std::uint64_t m_watchRound = 0; ///< number of the watch that counts; others are outdated
    lease_validity m_proof;
    lease_validity m_quotaProof; ///< that the records of quota homes stand
    bool m_provingQuota = false;
    std::optional<millis> m_configKnownAt;
    bool m_reading = false; ///< a reading of all keys is on its way
    millis m_regained; ///< when the store answered again after an outage
    std::set<std::string> m_missing; ///< servers whose entries lapsed during an outage
    std::set<std::string> m_claiming;
    std::set<std::string> m_changingCrash; ///< fingerprints whose record is being written
    std::map<std::string, millis> m_lapsedAt; ///< by node
    std::set<std::string> m_unreadable; ///< keys whose item was told of as unreadable
    std::shared_ptr<void> m_watchTimer;
    std::shared_ptr<void> m_leaseTimer;
    std::shared_ptr<void> m_missingTimer;
};

}
