#include "serving/store_task.h"

#include "protocol/codec.h"
#include "serving/store_keys.h"

#include <algorithm>
#include <utility>

// This daemon's own place in the store: its lease, its record, and the servers it claims.
namespace briarhead {

namespace {

/// A store that can't be written to is read all the same after this long.
constexpr millis registerPatience{1'500};
/// After a claim that the store did not take, none is made for so long.
constexpr millis claimPause{800};
/// How often the lease is looked at. A short one is renewed each time, a long one each third time; after a
/// call that failed either is.
constexpr millis keepEvery{800};
constexpr std::int64_t longLeaseLooks = 3;
/// Cuts from the store last up to a quarter of a minute; a daemon whose record is gone for longer is gone.
/// Without this, 68 of 195 daemons that were cut off from the store for 12 s served 0.34 of their requests
/// for models: orderers knew no address to answer to, and sent no beats there.
constexpr millis lapsedLife{30'000};
/// Without an answer for so long, and after two calls that failed, the store counts as away.
constexpr millis awayAfter{1'500};

/// A little less than the looks, which come late now and then.
millis renewalEvery(const node_settings &settings)
{
    const std::int64_t looks = settings.serversCheckTokens ? longLeaseLooks : 1;
    return millis{looks * keepEvery.count - keepEvery.count / 2};
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
    return std::max(settings.serversCheckTokens ? longLeaseTtl : shortLeaseTtl, settings.leaseMin);
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
    , m_renewEvery(renewalEvery(settings))
{
    grantLease();
    if (m_settings.bootstrap) {
        m_watchTimer = m_loop.timer(registerPatience, {}, [this] {
            readAll();
        });
    } else {
        readAll();
    }
    m_leaseTimer = m_loop.timer(keepEvery, keepEvery, [this] {
        keepLease();
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
    return m_lease == 0 ? millis{} : briarhead::validUntil(m_proof);
}

bool store_task::isLeaseValid() const
{
    return m_lease != 0 && !m_lastFailed
        && bootNow() <= m_proof.lastRenewal + m_proof.length - validityMargin;
}

bool store_task::isOwn(const orderer_record &record) const
{
    return record.node == m_settings.node && record.incarnation == m_incarnation;
}

bool store_task::isUnderCurrentLease(const orderer_record &record) const
{
    return m_lease != 0 && record.lease == m_lease;
}

bool store_task::ownsServer(const std::string &server) const
{
    const auto found = m_view.serverOwners.find(server);
    return found != m_view.serverOwners.end() && isOwn(found->second.record)
        && isUnderCurrentLease(found->second.record);
}

bool store_task::holdsQuotaHome() const
{
    return std::any_of(m_view.quotaHomes.begin(), m_view.quotaHomes.end(), [this](const auto &each) {
        return isOwn(each.second.record);
    });
}

millis store_task::quotaHomesValidUntil() const
{
    return m_lease == 0 ? millis{} : briarhead::validUntil(m_quotaProof);
}

std::optional<millis> store_task::configConfirmedAt() const
{
    return m_configKnownAt;
}

void store_task::heard(bool answered, const char *call)
{
    const millis now = bootNow();
    const bool again = std::exchange(m_lastFailed, !answered);
    if (!answered) {
        m_failingSince = again ? m_failingSince : now;
        markUncertain(m_proof, now);
        markUncertain(m_quotaProof, now);
        if (again && m_view.reachable && now - m_view.lastAnswer > awayAfter) {
            m_view.reachable = false;
            m_log.important("store.lost").add("call", call).add("silent_ms", now - m_view.lastAnswer);
        }
        return;
    }
    if (!m_view.reachable) {
        m_log.important("store.reached").add("call", call).add("silent_ms", now - m_view.lastAnswer);
        m_regained = now;
        m_view.reachable = true;
        if (m_revision != 0 && std::string_view(call) != "list") {
            // The watch that was open may hang on a dead connection for seconds more.
            m_loop.post([this] {
                readAll();
            });
        }
    }
    m_view.lastAnswer = now;
}

void store_task::setPeerCalls(peer_calls calls)
{
    m_fleet = std::move(calls);
}

void store_task::publish(const view_changed &change)
{
    m_bus.post(change);
}

/// A machine that is gone for good is told of nothing any more.
void store_task::dropLapsed()
{
    std::erase_if(m_lapsedAt, [this](const auto &each) {
        const bool over = bootNow() - each.second > lapsedLife;
        if (over) {
            m_view.expiredDaemons.erase(each.first);
        }
        return over;
    });
}

void store_task::grantLease()
{
    if (m_leaseCalling || m_leaving) {
        return;
    }
    m_leaseCalling = true;
    const millis asked = bootNow();
    const millis length = leaseTtlFor(m_settings);
    m_store.grantLease(length, [this, asked, length](store_status status, std::int64_t lease) {
        heard(status == store_status::Ok, "lease");
        if (status != store_status::Ok || m_leaving) {
            m_leaseCalling = false;
            return;
        }
        m_lease = lease;
        onLeaseGranted(m_proof, asked, length);
        onLeaseGranted(m_quotaProof, asked, length);
        store_change change;
        const daemon_record record{m_settings.node, m_settings.peers.ip, m_settings.peers.port,
            m_settings.failureDomain, m_incarnation};
        change.puts.push_back({detail::daemonPrefix + m_settings.node, encode(record), lease});
        m_store.change(change, [this, record](store_status put, std::int64_t revision) {
            m_leaseCalling = false;
            heard(put == store_status::Ok, "register");
            if (put != store_status::Ok) {
                m_lease = 0; // tried again with a new lease; the old one runs out
                return;
            }
            m_log.important("lease.granted").add("lease", m_lease).add("revision", revision);
            // Done is done: waiting for the watch to tell it took a slow store's answer more.
            m_view.daemons[m_settings.node] = record;
            m_view.registeredAt = bootNow();
            publish({});
            if (m_view.firstReadAt.count == 0 && !m_reading) {
                readOnceAllRegistered();
            }
        });
    });
}

void store_task::keepLease()
{
    dropLapsed();
    if (m_leaving) {
        return;
    }
    if (m_lease == 0) {
        grantLease();
        return;
    }
    const millis asked = bootNow();
    const bool due = m_lastFailed || asked - m_proof.lastRenewal >= m_renewEvery;
    if (m_leaseCalling || !due) {
        return;
    }
    m_leaseCalling = true;
    m_store.renewLease(m_lease, [this, asked](store_status status) {
        m_leaseCalling = false;
        heard(status == store_status::Ok || status == store_status::LeaseNotFound, "keep");
        if (status == store_status::Ok) {
            onLeaseRenewed(m_proof, asked);
            onLeaseRenewed(m_quotaProof, asked, m_renewEvery + maxRenewalGap);
            if (m_quotaProof.uncertain && holdsQuotaHome()) {
                proveQuotaHomes();
            }
            // Whether the records still stand; servers that check tokens tell themselves.
            if (m_proof.uncertain && !m_reading && !m_settings.serversCheckTokens) {
                readAll();
            }
        } else if (status == store_status::LeaseNotFound) {
            m_log.important("lease.lost").add("lease", m_lease).add("kept_ms", asked - m_proof.lastRenewal);
            m_lease = 0;
            grantLease();
        }
    });
}

void store_task::claimServer(const std::string &server, bool replace)
{
    claimRight(detail::ordererPrefix, m_view.serverOwners, server, replace);
}

void store_task::claimQuotaHome(const std::string &shard, bool replace)
{
    claimRight(detail::quotaPrefix, m_view.quotaHomes, shard, replace);
}

bool store_task::isStoreUnreachableLocallyOnly() const
{
    return m_lastFailed && newsFresh() && m_newsAt > m_failingSince + readerWatchTimeout;
}

void store_task::confirmPredecessorExpired(const std::string &shard)
{
    const auto known = m_view.quotaHomes.find(shard);
    if (known != m_view.quotaHomes.end() && isOwn(known->second.record)) {
        putRight(detail::quotaPrefix, m_view.quotaHomes, shard, true);
    }
}

void store_task::claimRight(
    const std::string &prefix, ownership_map &rights, const std::string &name, bool replace)
{
    const auto known = rights.find(name);
    const bool others = known != rights.end() && !known->second.record.node.empty()
        && known->second.record.node != m_settings.node;
    if (!others || replace) {
        putRight(prefix, rights, name, false);
    }
}

/// Writes this daemon's name in place of the record as it is known here. `rights` is a part of the view, as
/// long as this task.
void store_task::putRight(
    const std::string &prefix, ownership_map &rights, const std::string &name, bool settled)
{
    const std::string key = prefix + name;
    if (m_lease == 0 || m_leaving || m_claiming.count(key) != 0 || bootNow() < m_claimAfter) {
        return;
    }
    const auto known = rights.find(name);
    const std::int64_t revision = known == rights.end() ? 0 : known->second.revision;
    store_change change;
    change.expected.emplace_back(key, revision);
    const orderer_record record{m_settings.node, m_incarnation, m_lease};
    const bool server = &rights == &m_view.serverOwners;
    change.puts.push_back(
        {key, server ? encode(record) : encode(quota_home_record{record, settled}), m_lease});
    m_claiming.insert(key);
    m_store.change(change,
        [this, key, name, record, server, settled, &rights](store_status status, std::int64_t changed) {
            m_claiming.erase(key);
            heard(status == store_status::Ok || status == store_status::Conflict, "claim");
            m_log.important(server ? "orderer.claim" : "quota.claim")
                .add(server ? "server" : "shard", name)
                .add("outcome", status == store_status::Ok ? "taken" : "not taken")
                .add("fence", changed);
            if (status == store_status::LeaseNotFound) {
                m_lease = 0;
            }
            if (status == store_status::Refused || status == store_status::Unknown) {
                m_claimAfter = bootNow() + claimPause;
            }
            if (status != store_status::Ok) {
                return; // without an answer the watch tells how it ended
            }
            keepRight(rights, name, {record, changed, settled});
            publish({});
        });
}

/// Reads the records of quota homes, after a call to the store that failed: they may have been removed.
void store_task::proveQuotaHomes()
{
    if (m_provingQuota) {
        return;
    }
    m_provingQuota = true;
    m_store.list(detail::quotaPrefix, [this, asked = bootNow()](const store_read &read) {
        m_provingQuota = false;
        heard(read.status == store_status::Ok, "quota homes");
        if (read.status != store_status::Ok || m_leaving) {
            return;
        }
        std::map<std::string, std::int64_t> present; // the rest is for the watch to tell, and to pass on
        for (const stored_item &item : read.items) {
            present[item.key] = item.revision;
        }
        std::erase_if(m_view.quotaHomes, [&](const auto &each) {
            const auto found = present.find(detail::quotaPrefix + each.first);
            const bool stands = found != present.end() && found->second == each.second.revision;
            return !stands && isOwn(each.second.record) && each.second.revision <= read.revision;
        });
        onRecordsRead(m_quotaProof, asked);
        publish({});
    });
}

void store_task::writeCrashRecord(
    const std::string &fingerprint, const crash_record &record, std::function<void(bool)> done)
{
    store_change change;
    change.puts.push_back({detail::crashPrefix + fingerprint, encode(record), 0});
    changeCrash(fingerprint, std::move(change), std::move(done));
}

void store_task::removeCrashRecord(const std::string &fingerprint)
{
    if (m_view.crashes.count(fingerprint) == 0) {
        return;
    }
    store_change change;
    change.removes.push_back(detail::crashPrefix + fingerprint);
    changeCrash(fingerprint, std::move(change), [](bool) {});
}

/// One change at a time, made to the record as it is known here: what another daemon added meanwhile isn't
/// overwritten.
void store_task::changeCrash(
    const std::string &fingerprint, store_change change, std::function<void(bool)> done)
{
    if (m_leaving || !m_changingCrash.insert(fingerprint).second) {
        m_loop.post([done = std::move(done)] {
            done(false);
        });
        return;
    }
    const auto known = m_view.crashes.find(fingerprint);
    const std::int64_t revision = known == m_view.crashes.end() ? 0 : known->second.revision;
    change.expected.emplace_back(detail::crashPrefix + fingerprint, revision);
    const bool removes = !change.removes.empty();
    m_store.change(change, [this, fingerprint, removes, done](store_status status, std::int64_t changed) {
        m_changingCrash.erase(fingerprint);
        heard(status == store_status::Ok || status == store_status::Conflict, "crash");
        m_log.important(removes ? "crash.dropped" : "crash.kept")
            .add("fingerprint", fingerprint)
            .add("outcome", status == store_status::Ok ? "done" : "not done")
            .add("revision", changed);
        done(status == store_status::Ok);
    });
}

void store_task::releaseRecords()
{
    m_leaving = true;
    store_change change;
    change.removes.push_back(detail::daemonPrefix + m_settings.node);
    constexpr std::size_t maxEntries = 30; // of the store's 32 in one change
    const auto giveUp = [&](const std::string &prefix, const ownership_map &rights) {
        for (const auto &[name, entry] : rights) {
            if (isOwn(entry.record) && change.puts.size() + change.expected.size() < maxEntries) {
                change.expected.emplace_back(prefix + name, entry.revision);
                change.puts.push_back({prefix + name,
                    &rights == &m_view.serverOwners ? encode(orderer_record{})
                                                    : encode(quota_home_record{{}, entry.settled}),
                    0});
            }
        }
    };
    giveUp(detail::quotaPrefix, m_view.quotaHomes);
    giveUp(detail::ordererPrefix, m_view.serverOwners);
    m_store.change(change, [this](store_status status, std::int64_t revision) {
        m_log.important("records.given_up")
            .add("outcome", status == store_status::Ok ? "done" : "not done")
            .add("revision", revision);
    });
}

}
