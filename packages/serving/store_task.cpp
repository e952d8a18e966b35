#include "serving/store_task.h"

#include "protocol/codec.h"
#include "serving/store_keys.h"

#include <algorithm>
#include <utility>

// What this daemon writes to the store: its lease, its record, its claims and crash records.
namespace briarhead {

namespace {

/// At bootstrap the first read waits this long for registration, then happens without it.
constexpr millis registerTimeout{1'500};
/// Pause after a claim that the store refused or did not answer.
constexpr millis claimPause{800};
/// A short lease is renewed at each check, a long one at every third; after a failed call both are renewed at
/// the next check.
constexpr millis leaseCheckInterval{800};
constexpr std::int64_t longLeaseChecks = 3;
/// Store outages last up to 15 s; a daemon whose record has been missing for longer is gone. Without this
/// time, 68 of 195 daemons that had lost the store for 12 s served 0.34 of their model requests: server
/// owners had no address for their responses, and sent no heartbeats there.
constexpr millis expiredDaemonLifetime{30'000};
/// The store counts as unreachable after two failed calls in a row and this long without a response.
constexpr millis unreachableAfter{1'500};
constexpr std::size_t maxEntriesPerChange = 30; ///< the store accepts 32

/// Half a check less than a whole number of checks, since timers fire late now and then.
millis renewalInterval(const node_settings &settings)
{
    const std::int64_t checks = settings.serversCheckFencingTokens ? longLeaseChecks : 1;
    return millis{checks * leaseCheckInterval.count - leaseCheckInterval.count / 2};
}

}

std::vector<std::string> nodesOf(const daemon_map &daemons)
{
    std::vector<std::string> nodes;
    nodes.reserve(daemons.size());
    for (const auto &[node, record] : daemons) {
        nodes.push_back(node);
    }
    return nodes;
}

const daemon_record *findPeer(const store_view &view, const std::string &node)
{
    for (const daemon_map *known : {&view.daemons, &view.expiredDaemons}) {
        if (const auto found = known->find(node); found != known->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

millis leaseTtlFor(const node_settings &settings)
{
    return std::max(settings.serversCheckFencingTokens ? longLeaseTtl : shortLeaseTtl, settings.minLease);
}

store_task::store_task(loop &eventLoop, bus &messages, metadata_store &store, const record_codec &codec,
    const node_settings &settings, std::uint64_t incarnation, decision_log &log)
    : m_loop(eventLoop)
    , m_bus(messages)
    , m_store(store)
    , m_codec(codec)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_log(log)
    , m_renewInterval(renewalInterval(settings))
{
    grantLease();
    if (m_settings.bootstrap) {
        m_watchTimer = m_loop.timer(registerTimeout, {}, [this] {
            readAll();
        });
    } else {
        readAll();
    }
    m_leaseTimer = m_loop.timer(leaseCheckInterval, leaseCheckInterval, [this] {
        maintainLease();
    });
}

const store_view &store_task::view() const
{
    return m_view;
}

std::uint64_t store_task::incarnation() const
{
    return m_incarnation;
}

millis store_task::ownershipValidUntil() const
{
    return m_lease == 0 ? millis{} : briarhead::validUntil(m_ownershipValidity);
}

bool store_task::isLeaseValid() const
{
    return m_lease != 0 && !m_lastCallFailed
        && bootNow() <= m_ownershipValidity.lastRenewal + m_ownershipValidity.ttl - validityMargin;
}

bool store_task::isOwn(const ownership_record &record) const
{
    return record.node == m_settings.node && record.incarnation == m_incarnation;
}

bool store_task::isUnderCurrentLease(const ownership_record &record) const
{
    return m_lease != 0 && record.lease == m_lease;
}

bool store_task::ownsServer(const std::string &server) const
{
    const auto found = m_view.serverOwners.find(server);
    return found != m_view.serverOwners.end() && isOwn(found->second.record)
        && isUnderCurrentLease(found->second.record);
}

bool store_task::ownsQuotaHome() const
{
    return std::any_of(m_view.quotaHomes.begin(), m_view.quotaHomes.end(), [this](const auto &each) {
        return isOwn(each.second.record);
    });
}

millis store_task::quotaHomesValidUntil() const
{
    return m_lease == 0 ? millis{} : briarhead::validUntil(m_quotaHomeValidity);
}

std::optional<millis> store_task::configConfirmedAt() const
{
    return m_configConfirmedAt;
}

void store_task::onCallDone(bool answered, const char *call)
{
    const millis now = bootNow();
    const bool failedBefore = std::exchange(m_lastCallFailed, !answered);
    if (!answered) {
        m_failingSince = failedBefore ? m_failingSince : now;
        markUncertain(m_ownershipValidity, now);
        markUncertain(m_quotaHomeValidity, now);
        if (failedBefore && m_view.reachable && now - m_view.lastResponseAt > unreachableAfter) {
            m_view.reachable = false;
            m_log.important("store.lost").add("call", call).add("silent_ms", now - m_view.lastResponseAt);
        }
        return;
    }
    if (!m_view.reachable) {
        m_log.important("store.reached").add("call", call).add("silent_ms", now - m_view.lastResponseAt);
        m_reconnectedAt = now;
        m_view.reachable = true;
        if (m_revision != 0 && std::string_view(call) != "list") {
            // The open watch may stay stuck on a dead connection for seconds.
            m_loop.post([this] {
                readAll();
            });
        }
    }
    m_view.lastResponseAt = now;
}

void store_task::setPeerCalls(peer_calls calls)
{
    m_peerCalls = std::move(calls);
}

void store_task::publish(const view_changed &change)
{
    m_bus.post(change);
}

/// Stops sending messages to machines that have not come back.
void store_task::forgetExpiredDaemons()
{
    std::erase_if(m_expiredAt, [this](const auto &each) {
        const bool expired = bootNow() - each.second > expiredDaemonLifetime;
        if (expired) {
            m_view.expiredDaemons.erase(each.first);
        }
        return expired;
    });
}

void store_task::grantLease()
{
    if (m_leaseCallInFlight || m_leaving) {
        return;
    }
    m_leaseCallInFlight = true;
    const millis sentAt = bootNow();
    const millis ttl = leaseTtlFor(m_settings);
    m_store.grantLease(ttl, [this, sentAt, ttl](store_status status, std::int64_t lease) {
        onCallDone(status == store_status::Ok, "lease");
        if (status != store_status::Ok || m_leaving) {
            m_leaseCallInFlight = false;
            return;
        }
        m_lease = lease;
        m_publishedCutOff = false; // its record went with the previous lease
        onLeaseGranted(m_ownershipValidity, sentAt, ttl);
        onLeaseGranted(m_quotaHomeValidity, sentAt, ttl);
        store_change change;
        const daemon_record record{m_settings.node, m_settings.peers.ip, m_settings.peers.port,
            m_settings.failureDomain, m_incarnation};
        change.puts.push_back({detail::daemonPrefix + m_settings.node, encode(record), lease});
        m_store.change(change, [this, record](store_status put, std::int64_t revision) {
            m_leaseCallInFlight = false;
            onCallDone(put == store_status::Ok, "register");
            if (put != store_status::Ok) {
                m_lease = 0; // retried with a new lease; this one expires
                return;
            }
            m_log.important("lease.granted").add("lease", m_lease).add("revision", revision);
            // Applied here at once: waiting for the watch would take another response of a slow store.
            m_view.daemons[m_settings.node] = record;
            m_view.registeredAt = bootNow();
            publish({});
            if (m_view.firstReadAt.count == 0 && !m_reading) {
                scheduleFirstRead();
            }
        });
    });
}

void store_task::maintainLease()
{
    forgetExpiredDaemons();
    if (m_leaving) {
        return;
    }
    if (m_lease == 0) {
        grantLease();
        return;
    }
    maintainCutOff();
    const millis sentAt = bootNow();
    const bool due = m_lastCallFailed || sentAt - m_ownershipValidity.lastRenewal >= m_renewInterval;
    if (m_leaseCallInFlight || !due) {
        return;
    }
    m_leaseCallInFlight = true;
    m_store.renewLease(m_lease, [this, sentAt](store_status status) {
        m_leaseCallInFlight = false;
        onCallDone(status == store_status::Ok || status == store_status::LeaseNotFound, "keep");
        if (status == store_status::Ok) {
            onLeaseRenewed(m_ownershipValidity, sentAt);
            onLeaseRenewed(m_quotaHomeValidity, sentAt, m_renewInterval + maxRenewalGap);
            if (m_quotaHomeValidity.uncertain && ownsQuotaHome()) {
                confirmQuotaHomes();
            }
            // Checks that the records still exist. Servers that check fencing tokens detect a lost record
            // themselves.
            if (m_ownershipValidity.uncertain && !m_reading && !m_settings.serversCheckFencingTokens) {
                readAll();
            }
        } else if (status == store_status::LeaseNotFound) {
            m_log.important("lease.lost")
                .add("lease", m_lease)
                .add("kept_ms", sentAt - m_ownershipValidity.lastRenewal);
            m_lease = 0;
            grantLease();
        }
    });
}

void store_task::claimServer(const std::string &server, bool replace)
{
    claimOwnership(detail::serverOwnerPrefix, m_view.serverOwners, server, replace);
}

void store_task::claimQuotaHome(const std::string &shard, bool replace)
{
    claimOwnership(detail::quotaHomePrefix, m_view.quotaHomes, shard, replace);
}

bool store_task::isStoreUnreachableLocallyOnly() const
{
    return m_lastCallFailed && hasFreshUpdate() && m_lastUpdateAt > m_failingSince + readerWatchTimeout;
}

void store_task::recordPredecessorExpired(const std::string &shard)
{
    const auto known = m_view.quotaHomes.find(shard);
    if (known != m_view.quotaHomes.end() && isOwn(known->second.record)) {
        writeOwnership(detail::quotaHomePrefix, m_view.quotaHomes, shard, true);
    }
}

void store_task::claimOwnership(
    const std::string &prefix, ownership_map &owners, const std::string &name, bool replace)
{
    const auto known = owners.find(name);
    const bool ownedByPeer = known != owners.end() && !known->second.record.node.empty()
        && known->second.record.node != m_settings.node;
    if (!ownedByPeer || replace) {
        writeOwnership(prefix, owners, name, false);
    }
}

/// Writes this daemon's name in place of the record in the view. `owners` is a map of m_view, so it outlives
/// the call.
void store_task::writeOwnership(
    const std::string &prefix, ownership_map &owners, const std::string &name, bool predecessorExpired)
{
    const std::string key = prefix + name;
    if (m_lease == 0 || m_leaving || m_claimsInFlight.count(key) != 0 || bootNow() < m_claimPausedUntil) {
        return;
    }
    const auto known = owners.find(name);
    const std::int64_t revision = known == owners.end() ? 0 : known->second.revision;
    store_change change;
    change.expected.emplace_back(key, revision);
    const ownership_record record{m_settings.node, m_incarnation, m_lease};
    const bool isServerOwner = &owners == &m_view.serverOwners;
    change.puts.push_back({key,
        isServerOwner ? encode(record) : encode(quota_home_record{record, predecessorExpired}), m_lease});
    m_claimsInFlight.insert(key);
    m_store.change(change,
        [this, key, name, record, isServerOwner, predecessorExpired, &owners](
            store_status status, std::int64_t changed) {
            m_claimsInFlight.erase(key);
            onCallDone(status == store_status::Ok || status == store_status::Conflict, "claim");
            m_log.important(isServerOwner ? "orderer.claim" : "quota.claim")
                .add(isServerOwner ? "server" : "shard", name)
                .add("outcome", status == store_status::Ok ? "taken" : "not taken")
                .add("fence", changed);
            if (status == store_status::LeaseNotFound) {
                m_lease = 0;
            }
            if (status == store_status::Refused || status == store_status::Unknown) {
                m_claimPausedUntil = bootNow() + claimPause;
            }
            if (status != store_status::Ok) {
                return; // the watch shows the outcome of an unanswered claim
            }
            recordOwnership(owners, name, {record, changed, predecessorExpired});
            publish({});
        });
}

/// Reads the quota home records after a failed call to the store, since they may have been removed.
void store_task::confirmQuotaHomes()
{
    if (m_confirmingQuotaHomes) {
        return;
    }
    m_confirmingQuotaHomes = true;
    m_store.list(detail::quotaHomePrefix, [this, sentAt = bootNow()](const store_read &read) {
        m_confirmingQuotaHomes = false;
        onCallDone(read.status == store_status::Ok, "quota homes");
        if (read.status != store_status::Ok || m_leaving) {
            return;
        }
        std::map<std::string, std::int64_t> present; // records of other daemons come by the watch
        for (const stored_item &item : read.items) {
            present[item.key] = item.revision;
        }
        std::erase_if(m_view.quotaHomes, [&](const auto &each) {
            const auto found = present.find(detail::quotaHomePrefix + each.first);
            const bool unchanged = found != present.end() && found->second == each.second.revision;
            return !unchanged && isOwn(each.second.record) && each.second.revision <= read.revision;
        });
        onRecordsRead(m_quotaHomeValidity, sentAt);
        publish({});
    });
}

void store_task::writeCrashRecord(
    const std::string &attribute, const crash_record &record, std::function<void(bool)> done)
{
    store_change change;
    change.puts.push_back({detail::crashPrefix + attribute, encode(record), 0});
    changeCrashRecord(attribute, std::move(change), std::move(done));
}

void store_task::removeCrashRecord(const std::string &attribute)
{
    if (m_view.crashes.count(attribute) == 0) {
        return;
    }
    store_change change;
    change.removes.push_back(detail::crashPrefix + attribute);
    changeCrashRecord(attribute, std::move(change), [](bool) {});
}

/// One change at a time, conditional on the revision in the view, so that another daemon's change is not
/// overwritten.
void store_task::changeCrashRecord(
    const std::string &attribute, store_change change, std::function<void(bool)> done)
{
    if (m_leaving || !m_crashChangesInFlight.insert(attribute).second) {
        m_loop.post([done = std::move(done)] {
            done(false);
        });
        return;
    }
    const auto known = m_view.crashes.find(attribute);
    const std::int64_t revision = known == m_view.crashes.end() ? 0 : known->second.revision;
    change.expected.emplace_back(detail::crashPrefix + attribute, revision);
    const bool removes = !change.removes.empty();
    m_store.change(change, [this, attribute, removes, done](store_status status, std::int64_t changed) {
        m_crashChangesInFlight.erase(attribute);
        onCallDone(status == store_status::Ok || status == store_status::Conflict, "crash");
        m_log.important(removes ? "crash.dropped" : "crash.kept")
            .add("fingerprint", attribute)
            .add("outcome", status == store_status::Ok ? "done" : "not done")
            .add("revision", changed);
        done(status == store_status::Ok);
    });
}

void store_task::writeServiceVersions(const std::string &service, const service_versions_record &record)
{
    writeVersions(detail::serviceVersionsPrefix + service, m_view.serviceVersions, service, record,
        "software.recorded");
}

void store_task::writeAdapterVersions(const std::string &shard, const adapter_versions_record &record)
{
    writeVersions(
        detail::adapterVersionsPrefix + shard, m_view.adapterVersions, shard, record, "version.recorded");
}

/// Replaces a record of versions, conditional on the revision in the view: a write that is executed late
/// either finds the record that it was derived from, or does nothing. `records` is a map of m_view, so it
/// outlives the call.
template <class stored>
void store_task::writeVersions(const std::string &key, std::map<std::string, stored> &records,
    const std::string &name, const decltype(stored::record) &record, const char *logged)
{
    if (m_leaving || m_lastCallFailed || !m_versionWritesInFlight.insert(key).second) {
        return;
    }
    const auto known = records.find(name);
    store_change change;
    change.expected.emplace_back(key, known == records.end() ? 0 : known->second.revision);
    change.puts.push_back({key, encode(record), 0});
    m_store.change(
        change, [this, key, name, record, logged, &records](store_status status, std::int64_t revision) {
            m_versionWritesInFlight.erase(key);
            onCallDone(status == store_status::Ok || status == store_status::Conflict, "versions");
            m_log.important(logged)
                .add("name", name)
                .add("versions", static_cast<std::int64_t>(record.versions.size()))
                .add("outcome", status == store_status::Ok ? "done" : "not done")
                .add("revision", revision);
            if (status != store_status::Ok) {
                return; // the watch shows what stands there, and the writer tries again
            }
            stored &written = records[name];
            if (revision > written.revision) {
                written = {record, revision};
            }
        });
}

void store_task::setCutOff(bool cutOff)
{
    m_cutOff = cutOff;
    maintainCutOff();
}

/// Brings the record of this daemon's cut and its ownership of servers in line with m_cutOff. Failed calls
/// are repeated with the lease's maintenance.
void store_task::maintainCutOff()
{
    if (m_leaving || m_lease == 0) {
        return;
    }
    if (m_cutOff) {
        releaseServers();
    }
    if (m_cutOff == m_publishedCutOff || m_cutOffCallInFlight) {
        return;
    }
    m_cutOffCallInFlight = true;
    store_change change;
    const std::string key = detail::cutOffPrefix + m_settings.node;
    if (m_cutOff) {
        change.puts.push_back({key, "1", m_lease});
    } else {
        change.removes.push_back(key);
    }
    m_store.change(change, [this, cutOff = m_cutOff, lease = m_lease](store_status status, std::int64_t) {
        m_cutOffCallInFlight = false;
        onCallDone(status == store_status::Ok, "cut off");
        if (status == store_status::Ok && lease == m_lease) {
            m_publishedCutOff = cutOff;
        }
    });
}

/// Releases the ownership of servers to the daemons that reach them.
void store_task::releaseServers()
{
    if (m_releaseInFlight) {
        return;
    }
    store_change change;
    addReleases(change, detail::serverOwnerPrefix, m_view.serverOwners);
    if (change.puts.empty()) {
        return;
    }
    m_releaseInFlight = true;
    m_store.change(change, [this, released = change.puts](store_status status, std::int64_t revision) {
        m_releaseInFlight = false;
        onCallDone(status == store_status::Ok || status == store_status::Conflict, "release");
        m_log.important("servers.given_up")
            .add("servers", static_cast<std::int64_t>(released.size()))
            .add("outcome", status == store_status::Ok ? "done" : "not done")
            .add("revision", revision);
        if (status != store_status::Ok) {
            return;
        }
        for (const store_put &put : released) {
            recordOwnership(
                m_view.serverOwners, put.key.substr(detail::serverOwnerPrefix.size()), {{}, revision});
        }
        publish({});
        maintainCutOff(); // there may be more than one change takes
    });
}

/// Adds the release of this daemon's ownership records to a change, as far as there is room in it.
void store_task::addReleases(
    store_change &change, const std::string &prefix, const ownership_map &owners) const
{
    for (const auto &[name, entry] : owners) {
        if (isOwn(entry.record) && change.puts.size() + change.expected.size() < maxEntriesPerChange) {
            change.expected.emplace_back(prefix + name, entry.revision);
            change.puts.push_back({prefix + name,
                &owners == &m_view.serverOwners ? encode(ownership_record{})
                                                : encode(quota_home_record{{}, entry.predecessorExpired}),
                0});
        }
    }
}

void store_task::releaseRecords()
{
    m_leaving = true;
    store_change change;
    change.removes.push_back(detail::daemonPrefix + m_settings.node);
    addReleases(change, detail::quotaHomePrefix, m_view.quotaHomes);
    addReleases(change, detail::serverOwnerPrefix, m_view.serverOwners);
    m_store.change(change, [this](store_status status, std::int64_t revision) {
        m_log.important("records.given_up")
            .add("outcome", status == store_status::Ok ? "done" : "not done")
            .add("revision", revision);
    });
}

}
