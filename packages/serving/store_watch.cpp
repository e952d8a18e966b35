#include "serving/store_task.h"

#include "coordination/rendezvous.h"
#include "serving/store_keys.h"

#include <algorithm>

// How the store is read and followed, and how its readers pass news of it on to their failure domain.
namespace briarhead {

namespace {

/// Daemons of a failure domain that follow the store; the others hear it from them. Each call to the store
/// costs up to a fifth of a request, and every daemon following it itself took a third of the income at 91
/// daemons. Two, so that the death of one leaves no gap.
constexpr std::size_t readersPerDomain = 2;
constexpr millis followCheck{100};
/// When the whole system starts, its daemons start within 300 ms, and each registers within some 100 ms.
constexpr millis allRegistered{500};
/// A fetch within the failure domain takes some ms; after this another one is tried.
constexpr millis fetchTimeout{500};
/// News that fit into a datagram that links of 10 Mbit/s carry without a queue.
constexpr std::size_t newsBytes = 120'000; // before packing, which leaves about a tenth of a configuration

/// The last change of each key, in order of time. Configurations in quick succession are some tens of
/// kilobytes each, and only the last one counts.
std::vector<stored_item> latestOf(const std::vector<stored_item> &items)
{
    std::map<std::string, std::int64_t> last;
    for (const stored_item &item : items) {
        last[item.key] = item.revision;
    }
    std::vector<stored_item> out;
    for (const stored_item &item : items) {
        if (last[item.key] == item.revision) {
            out.push_back(item);
        }
    }
    return out;
}

}

void store_task::readAll()
{
    const std::uint64_t round = ++m_watchRound;
    m_reading = true;
    m_watchTimer.reset(); // its watch would outdate this reading
    m_store.list("", [this, round, asked = bootNow()](const store_read &read) {
        m_reading = false;
        heard(read.status == store_status::Ok, "list");
        if (round != m_watchRound || m_leaving) {
            return;
        }
        if (read.status != store_status::Ok) {
            readAgain();
            return;
        }
        m_refusals = 0;
        // A reading is as good as news for a moment: readers get their turn before a watch is paid for.
        m_newsAt = bootNow() - maxUpdateAge + firstUpdateGrace;
        if (read.revision >= m_revision) { // else news of later changes came while it was on its way
            takeAll(read);
        }
        onRecordsRead(m_proof, asked);
        onRecordsRead(m_quotaProof, asked);
        m_configKnownAt = bootNow();
        follow();
    });
}

/// At the system's first start: who reads before the others have registered takes itself for a reader of its
/// failure domain, and so would each. At 195 daemons these needless watches were a quarter of a day's calls.
void store_task::readOnceAllRegistered()
{
    m_watchTimer = m_loop.timer(allRegistered, {}, [this] {
        readAll();
    });
}

/// After a reading or a watch that failed. Guards against: a store that turns all away is asked by each
/// daemon of the fleet several times a second, since the readers have no news to pass on. It shows as
/// thousands of refused calls, each of which has its price, and as a crowd on the store's return. Holds
/// because all but the readers wait twice as long each time, and take the readers' news once these have some.
void store_task::readAgain()
{
    const millis pause = readPauseAfter(m_refusals++, isReader());
    m_watchTimer = m_loop.timer(pause, {}, [this] {
        if (m_revision != 0 && newsFresh()) {
            m_refusals = 0;
            follow();
        } else {
            readAll();
        }
    });
}

void store_task::takeAll(const store_read &read)
{
    view_changed change;
    std::set<std::string> present;
    for (const stored_item &item : read.items) {
        present.insert(item.key);
        if (item.key == m_codec.configKey) {
            takeItem(withoutKeys(item), change);
        } else {
            takeItem(item, change);
        }
    }
    dropMissing(present, change);
    m_revision = read.revision;
    if (m_view.firstReadAt.count == 0) {
        m_view.firstReadAt = bootNow();
    }
    m_recent.clear();
    m_recentFrom = m_revision;
    sendNews(m_revision, {});
    publish(change);
}

std::vector<std::string> store_task::domainPeers() const
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
        rendezvousOrder(m_settings.failureDomain, domainPeers(), readersPerDomain);
    const bool known = m_view.daemons.count(m_settings.node) != 0;
    return known && std::find(readers.begin(), readers.end(), m_settings.node) != readers.end();
}

bool store_task::newsFresh() const
{
    return m_newsAt.count != 0 && bootNow() - m_newsAt < maxUpdateAge;
}

void store_task::sendNews(std::int64_t from, const std::vector<stored_item> &items)
{
    if (!m_fleet.send || !isReader()) {
        return;
    }
    store_news news{from, m_revision, false, false, {}};
    std::size_t bytes = 0;
    for (const stored_item &item : items) {
        bytes += item.key.size() + item.value.size();
        news.items.push_back({item.key, item.value, item.revision, item.removed});
    }
    if (bytes > newsBytes) {
        news.items.clear();
        news.fetch = true;
    }
    std::vector<std::string> others = domainPeers();
    for (const auto &[node, record] : m_view.expiredDaemons) {
        if (record.failureDomain == m_settings.failureDomain) {
            others.push_back(node);
        }
    }
    std::erase(others, m_settings.node);
    if (!others.empty()) {
        m_fleet.send(others, news);
    }
}

store_news store_task::updatesAfter(std::int64_t revision) const
{
    store_news news{revision, m_revision, false, revision < m_recentFrom, {}};
    if (news.whole) {
        for (const auto &[key, item] : m_items) {
            news.items.push_back({item.key, item.value, item.revision, false});
        }
        return news;
    }
    for (const stored_item &item : latestOf({m_recent.begin(), m_recent.end()})) {
        if (item.revision > revision) {
            news.items.push_back({item.key, item.value, item.revision, item.removed});
        }
    }
    return news;
}

void store_task::onStoreUpdate(const std::string &reader, const store_news &news)
{
    if (m_leaving || m_revision == 0 || news.to < m_revision) {
        return; // an outdated reader is no sign that the store was heard
    }
    if (news.to == m_revision) {
        m_newsAt = bootNow();
        m_configKnownAt = m_newsAt;
        return;
    }
    if (news.fetch || news.from > m_revision) {
        fetchNews(reader);
        return;
    }
    store_read read;
    read.revision = news.to;
    for (const news_item &item : news.items) {
        if (item.revision > m_revision) {
            read.items.push_back({item.key, item.value, item.revision, item.removed});
        }
    }
    m_newsAt = bootNow();
    m_configKnownAt = m_newsAt;
    takeEvents(read);
}

void store_task::fetchNews(const std::string &reader)
{
    if (m_fetching || !m_fleet.fetch) {
        return;
    }
    m_fetching = true;
    const std::uint64_t round = ++m_fetchRound;
    m_fetchTimer = m_loop.timer(fetchTimeout, {}, [this] {
        m_fetching = false;
    });
    m_fleet.fetch(reader, m_revision, [this, round](const std::optional<store_news> &news) {
        m_fetching = m_fetching && round != m_fetchRound;
        if (!news || m_leaving || news->to <= m_revision) {
            return;
        }
        m_newsAt = bootNow();
        m_configKnownAt = m_newsAt;
        store_read read;
        read.status = store_status::Ok;
        read.revision = news->to;
        for (const news_item &item : news->items) {
            if (news->whole || item.revision > m_revision) {
                read.items.push_back({item.key, item.value, item.revision, item.removed});
            }
        }
        if (news->whole) {
            takeAll(read);
        } else {
            takeEvents(read);
        }
    });
}

// Guards against: a reader that speaks while what it has can't be fetched, over a connection that went
// silent. It showed as a daemon that served an old configuration for seconds. Only news that were taken in
// count as heard, so that such a daemon follows the store itself after maxUpdateAge.

/// Follows the store itself, or listens to the readers of its failure domain while they speak.
void store_task::follow()
{
    if (m_leaving) {
        return;
    }
    if (isReader() || !newsFresh()) {
        watchOn();
        return;
    }
    m_watchTimer = m_loop.timer(followCheck, {}, [this] {
        follow();
    });
}

void store_task::watchOn()
{
    const std::uint64_t round = ++m_watchRound;
    const bool listenedTo = isReader() && domainPeers().size() > readersPerDomain;
    const millis wait = listenedTo ? readerWatchTimeout : watchTimeout;
    m_store.watch("", m_revision, wait, [this, round](const store_read &read) {
        heard(read.status == store_status::Ok || read.status == store_status::HistoryGone, "watch");
        if (round != m_watchRound || m_leaving) {
            return;
        }
        switch (read.status) {
        case store_status::Ok:
            m_configKnownAt = bootNow();
            takeEvents(read);
            m_watchTimer = m_loop.timer(watchPause, {}, [this] {
                follow();
            });
            return;
        case store_status::HistoryGone:
            m_log.important("store.history_gone").add("after", m_revision);
            readAll();
            return;
        default:
            // The watch may have missed nothing, but a reading also tells what lapsed meanwhile.
            readAgain();
            return;
        }
    });
}

void store_task::takeEvents(const store_read &read)
{
    view_changed change;
    const std::int64_t from = m_revision;
    std::vector<stored_item> items;
    std::vector<stored_item> latest = latestOf(read.items);
    for (stored_item &item : latest) {
        if (item.key == m_codec.configKey) {
            item = withoutKeys(item);
        }
        if (takeItem(item, change)) {
            items.push_back(std::move(item));
        }
    }
    m_revision = std::max(m_revision, read.revision);
    if (!items.empty()) {
        publish(change);
    }
    sendNews(from, items); // without items: a sign that the store is heard
}

}
