#include "serving/store_task.h"

#include "coordination/rendezvous.h"
#include "serving/store_keys.h"

#include <algorithm>

// Reads and watches the store, and exchanges updates between the readers and the other daemons of a failure
// domain.
namespace briarhead {

namespace {

/// Daemons of a failure domain that watch the store; they send updates to the others. A call to the store
/// costs up to a fifth of what a request earns, and with 91 daemons all watching it took a third of the
/// earnings. There are two, so that the loss of one leaves no gap.
constexpr std::size_t readersPerDomain = 2;
constexpr millis followCheckInterval{100};
/// In a cold start of the whole system all daemons start within 300 ms and register within some 100 ms.
constexpr millis registrationTime{500};
/// A fetch within the failure domain takes a few ms; after this time another one is tried.
constexpr millis fetchTimeout{500};
/// Larger updates are fetched instead of sent: this much, once compressed, fits into a datagram that links of
/// 10 Mbit/s carry without queueing.
constexpr std::size_t maxUpdateBytes = 120'000; // uncompressed; a configuration compresses to about a tenth
/// Changes of the store that a starting daemon looks back over: those of its history of 20 s, in which each
/// server writes its entry every 1.2 s.
constexpr std::int64_t historyChangesPerServer = 16;
constexpr std::int64_t minHistoryChanges = 256;
/// Shorter spans are tried where the store has discarded its history sooner.
constexpr int maxHistoryReads = 3;
constexpr millis historyReadWait{1}; ///< there may be no declaration

}

void store_task::readAll()
{
    const std::uint64_t round = ++m_watchRound;
    m_reading = true;
    m_watchTimer.reset(); // a new watch would make this read outdated
    m_store.list("", [this, round, sentAt = bootNow()](const store_read &read) {
        m_reading = false;
        onCallDone(read.status == store_status::Ok, "list");
        if (round != m_watchRound || m_leaving) {
            return;
        }
        if (read.status != store_status::Ok) {
            retryRead();
            return;
        }
        m_failedReads = 0;
        // Counts as an update for a moment, so that the readers can send theirs before this daemon watches.
        m_lastUpdateAt = bootNow() - maxUpdateAge + firstUpdateGrace;
        const bool isFirst = m_view.firstReadAt.count == 0;
        if (read.revision >= m_revision) { // otherwise a reader's update was newer
            applyFullRead(read);
        }
        if (isFirst && !m_settings.bootstrap) {
            const auto servers = static_cast<std::int64_t>(m_view.servers.size());
            readVersionHistory(
                m_revision, std::max(minHistoryChanges, servers * historyChangesPerServer), maxHistoryReads);
        }
        onRecordsRead(m_ownershipValidity, sentAt);
        onRecordsRead(m_quotaHomeValidity, sentAt);
        m_configConfirmedAt = m_loop.inputsSince();
        followStore();
    });
}

/// Reads the latest declarations of adapters' versions. A late write may have replaced a version that was
/// acknowledged while no daemon ran, so that neither its item nor a record holds it.
void store_task::readVersionHistory(std::int64_t revision, std::int64_t changes, int reads)
{
    const std::int64_t after = std::max(revision - changes, std::int64_t{0});
    m_store.watch(m_codec.versionPrefix, after, historyReadWait,
        [this, revision, changes, reads](const store_read &read) {
            if (m_leaving) {
                return;
            }
            if (read.status == store_status::HistoryGone && reads > 1) {
                readVersionHistory(revision, changes / 2, reads - 1);
                return;
            }
            view_changed change;
            for (const stored_item &item : read.items) {
                applyItem(item, change);
            }
            m_log.important("version.history")
                .add("changes", changes)
                .add("read", read.status == store_status::Ok ? 1 : 0)
                .add("declarations", static_cast<std::int64_t>(read.items.size()));
            publish(change);
        });
}

/// Delays the first read in a cold start until the other daemons have registered. A daemon that reads earlier
/// sees itself alone and acts as a reader of its failure domain. With 195 daemons the needless watches were a
/// quarter of a day's calls.
void store_task::scheduleFirstRead()
{
    m_watchTimer = m_loop.timer(registrationTime, {}, [this] {
        readAll();
    });
}

/// Reads again after a failed read or watch. All daemons but the readers double their pause each time and
/// prefer a reader's update once there is one. Without this, a store that refuses all calls is called several
/// times a second by every daemon: thousands of refused calls, each of which is charged, and a load spike
/// when the store recovers.
void store_task::retryRead()
{
    const millis pause = readPauseAfter(m_failedReads++, isReader());
    m_watchTimer = m_loop.timer(pause, {}, [this] {
        if (m_revision != 0 && hasFreshUpdate()) {
            m_failedReads = 0;
            followStore();
        } else {
            readAll();
        }
    });
}

/// The latest change of each key, in order of revision: of several configurations in quick succession, each
/// some tens of kilobytes, only the last one matters. Declared versions of adapters are all kept, since the
/// last one may be a late write of an older version.
std::vector<stored_item> store_task::latestOf(const std::vector<stored_item> &items) const
{
    std::map<std::string, std::int64_t> last;
    for (const stored_item &item : items) {
        last[item.key] = item.revision;
    }
    std::vector<stored_item> out;
    for (const stored_item &item : items) {
        if (last[item.key] == item.revision || item.key.starts_with(m_codec.versionPrefix)) {
            out.push_back(item);
        }
    }
    return out;
}

void store_task::applyFullRead(const store_read &read)
{
    view_changed change;
    std::set<std::string> present;
    for (const stored_item &item : read.items) {
        present.insert(item.key);
        if (item.key == m_codec.configKey) {
            applyItem(withHashedKeys(item), change);
        } else {
            applyItem(item, change);
        }
    }
    removeMissing(present, change);
    m_revision = read.revision;
    if (m_view.firstReadAt.count == 0) {
        m_view.firstReadAt = bootNow();
    }
    m_recentChanges.clear();
    m_recentChangesAfter = m_revision;
    sendUpdate(m_revision, {});
    publish(change);
}

std::vector<std::string> store_task::domainDaemons() const
{
    std::vector<std::string> nodes;
    for (const auto &[node, record] : m_view.daemons) {
        if (record.failureDomain == m_settings.failureDomain) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

bool store_task::isReader() const
{
    const std::vector<std::string> readers =
        rendezvousOrder(m_settings.failureDomain, domainDaemons(), readersPerDomain);
    const bool known = m_view.daemons.count(m_settings.node) != 0;
    return known && std::find(readers.begin(), readers.end(), m_settings.node) != readers.end();
}

bool store_task::hasFreshUpdate() const
{
    return m_lastUpdateAt.count != 0 && bootNow() - m_lastUpdateAt < maxUpdateAge;
}

void store_task::sendUpdate(std::int64_t from, const std::vector<stored_item> &items)
{
    if (!m_peerCalls.send || !isReader()) {
        return;
    }
    store_update update{from, m_revision, false, false, {}};
    std::size_t bytes = 0;
    for (const stored_item &item : items) {
        bytes += item.key.size() + item.value.size();
        update.items.push_back({item.key, item.value, item.revision, item.removed});
    }
    if (bytes > maxUpdateBytes) {
        update.items.clear();
        update.mustFetch = true;
    }
    std::vector<std::string> others = domainDaemons();
    for (const auto &[node, record] : m_view.expiredDaemons) {
        if (record.failureDomain == m_settings.failureDomain) {
            others.push_back(node);
        }
    }
    std::erase(others, m_settings.node);
    if (!others.empty()) {
        m_peerCalls.send(others, update);
    }
}

store_update store_task::updatesAfter(std::int64_t revision) const
{
    store_update update{revision, m_revision, false, revision < m_recentChangesAfter, {}};
    if (update.isSnapshot) {
        for (const auto &[key, item] : m_items) {
            update.items.push_back({item.key, item.value, item.revision, false});
        }
        return update;
    }
    for (const stored_item &item : latestOf({m_recentChanges.begin(), m_recentChanges.end()})) {
        if (item.revision > revision) {
            update.items.push_back({item.key, item.value, item.revision, item.removed});
        }
    }
    return update;
}

void store_task::onStoreUpdate(const std::string &reader, const store_update &update)
{
    if (m_leaving || m_revision == 0 || update.to < m_revision) {
        return; // an outdated update does not show that the reader reaches the store
    }
    if (update.to == m_revision) {
        m_lastUpdateAt = bootNow();
        m_configConfirmedAt = m_loop.inputsSince();
        return;
    }
    if (update.mustFetch || update.from > m_revision) {
        fetchUpdate(reader);
        return;
    }
    store_read read;
    read.revision = update.to;
    for (const store_item &item : update.items) {
        if (item.revision > m_revision) {
            read.items.push_back({item.key, item.value, item.revision, item.removed});
        }
    }
    m_lastUpdateAt = bootNow();
    m_configConfirmedAt = m_loop.inputsSince();
    applyEvents(read);
}

void store_task::fetchUpdate(const std::string &reader)
{
    if (m_fetching || !m_peerCalls.fetch) {
        return;
    }
    m_fetching = true;
    const std::uint64_t round = ++m_fetchRound;
    m_fetchTimer = m_loop.timer(fetchTimeout, {}, [this] {
        m_fetching = false;
    });
    m_peerCalls.fetch(reader, m_revision, [this, round](const std::optional<store_update> &update) {
        m_fetching = m_fetching && round != m_fetchRound;
        if (!update || m_leaving || update->to <= m_revision) {
            return;
        }
        m_lastUpdateAt = bootNow();
        m_configConfirmedAt = m_loop.inputsSince();
        store_read read;
        read.status = store_status::Ok;
        read.revision = update->to;
        for (const store_item &item : update->items) {
            if (update->isSnapshot || item.revision > m_revision) {
                read.items.push_back({item.key, item.value, item.revision, item.removed});
            }
        }
        if (update->isSnapshot) {
            applyFullRead(read);
        } else {
            applyEvents(read);
        }
    });
}

/// Watches the store itself, or relies on the readers of its failure domain while their updates are fresh.
///
/// Only applied updates count as fresh. A reader may announce updates that cannot be fetched from it because
/// the connection hangs; a daemon that kept relying on it served an old configuration for seconds.
void store_task::followStore()
{
    if (m_leaving) {
        return;
    }
    if (isReader() || !hasFreshUpdate()) {
        watchStore();
        return;
    }
    m_watchTimer = m_loop.timer(followCheckInterval, {}, [this] {
        followStore();
    });
}

void store_task::watchStore()
{
    const std::uint64_t round = ++m_watchRound;
    const bool hasListeners = isReader() && domainDaemons().size() > readersPerDomain;
    const millis wait = hasListeners ? readerWatchTimeout : watchTimeout;
    m_store.watch("", m_revision, wait, [this, round](const store_read &read) {
        onCallDone(read.status == store_status::Ok || read.status == store_status::HistoryGone, "watch");
        if (round != m_watchRound || m_leaving) {
            return;
        }
        switch (read.status) {
        case store_status::Ok:
            m_configConfirmedAt = m_loop.inputsSince();
            applyEvents(read);
            m_watchTimer = m_loop.timer(watchPause, {}, [this] {
                followStore();
            });
            return;
        case store_status::HistoryGone:
            m_log.important("store.history_gone").add("after", m_revision);
            readAll();
            return;
        default:
            // A read, unlike another watch, also shows what has expired meanwhile.
            retryRead();
            return;
        }
    });
}

void store_task::applyEvents(const store_read &read)
{
    view_changed change;
    const std::int64_t from = m_revision;
    std::vector<stored_item> items;
    std::vector<stored_item> latest = latestOf(read.items);
    for (stored_item &item : latest) {
        if (item.key == m_codec.configKey) {
            item = withHashedKeys(item);
        }
        if (applyItem(item, change)) {
            items.push_back(std::move(item));
        }
    }
    m_revision = std::max(m_revision, read.revision);
    if (!items.empty()) {
        publish(change);
    }
    sendUpdate(from, items); // sent even when empty, as a sign that the store is reachable
}

}
