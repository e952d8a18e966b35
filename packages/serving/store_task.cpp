#include "serving/store_task.h"

#include "coordination/rendezvous.h"
#include "protocol/codec.h"

#include <algorithm>

namespace briarhead {

namespace {

const std::string ownPrefix = "briarhead/";
const std::string daemonPrefix = ownPrefix + "daemon/";
const std::string ordererPrefix = ownPrefix + "orderer/";

/// Daemons of a failure domain that follow the store; the others hear it from them. Each call to the store
/// costs up to a fifth of a request, and every daemon following it itself took a third of the income at 91
/// daemons. Two, so that the death of one leaves no gap.
constexpr std::size_t readersPerDomain = 2;
constexpr millis followCheck{100};
/// When the whole system starts, its daemons start within 300 ms, and each registers within some 100 ms.
constexpr millis allRegistered{500};
/// A store that can't be written to is read all the same after this long.
constexpr millis registerPatience{1'500};
/// A fetch within the failure domain takes some ms; after this another one is tried.
constexpr millis fetchTimeout{500};
/// News that fit into a datagram that links of 10 Mbit/s carry without a queue.
constexpr std::size_t newsBytes = 120'000; // before packing, which leaves about a tenth of a configuration
constexpr std::size_t recentChanges = 2'000;
/// Keys of which it is remembered that a line told of them; those beyond are passed over in silence.
constexpr std::size_t unreadableTold = 100;
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
/// Without an answer for so long the store counts as away.
constexpr millis awayAfter{1'500};
/// Servers whose entries lapsed while the store was away write them again within two seconds of its return.
/// Until shortly before that they are still used; the bound on requests to a server that left is as long.
constexpr millis missingGrace{1'700};

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

/// A little less than the looks, which come late now and then.
millis renewalEvery(const node_settings &settings)
{
    const std::int64_t looks = settings.serversCheckTokens ? longLeaseLooks : 1;
    return millis{looks * keepEvery.count - keepEvery.count / 2};
}

bool isUnder(const std::string &key, const std::string &prefix)
{
    return key.starts_with(prefix);
}

}

const daemon_record *findPeer(const store_view &view, const std::string &node)
{
    for (const daemon_map *known : {&view.daemons, &view.lapsed}) {
        if (const auto found = known->find(node); found != known->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

millis leaseLength(const node_settings &settings)
{
    return std::max(settings.serversCheckTokens ? longLease : leaseTime, settings.leaseMin);
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
    , m_pace(paceFor(settings))
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

millis store_task::provenUntil() const
{
    return m_lease == 0 ? millis{} : briarhead::provenUntil(m_proof);
}

bool store_task::isOwn(const orderer_record &record) const
{
    return record.node == m_settings.node && record.incarnation == m_incarnation;
}

bool store_task::isUnderLease(const orderer_record &record) const
{
    return m_lease != 0 && record.lease == m_lease;
}

bool store_task::holdsRecord(const std::string &server) const
{
    const auto found = m_view.orderers.find(server);
    return found != m_view.orderers.end() && isOwn(found->second.record)
        && isUnderLease(found->second.record);
}

std::string store_task::orderersKey(const std::string &server) const
{
    return ordererPrefix + server;
}

void store_task::heard(bool answered, const char *call)
{
    const millis now = bootNow();
    const bool again = std::exchange(m_lastFailed, !answered);
    if (!answered) {
        doubted(m_proof, now);
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
        m_newsAt = bootNow() - m_pace.newsLife + m_pace.firstNews;
        if (read.revision >= m_revision) { // else news of later changes came while it was on its way
            takeAll(read);
        }
        confirmed(m_proof, asked);
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
        takeItem(item, change);
    }
    dropMissing(present, change);
    m_revision = read.revision;
    if (m_view.firstRead.count == 0) {
        m_view.firstRead = bootNow();
    }
    m_recent.clear();
    m_recentFrom = m_revision;
    sendNews(m_revision, {});
    publish(change);
}

void store_task::keepItem(const stored_item &item, bool news)
{
    if (item.removed) {
        m_items.erase(item.key);
    } else {
        m_items[item.key] = item;
    }
    if (!news) {
        return;
    }
    m_recent.push_back(item);
    while (m_recent.size() > recentChanges) {
        m_recentFrom = m_recent.front().revision;
        m_recent.pop_front();
    }
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
    return m_newsAt.count != 0 && bootNow() - m_newsAt < m_pace.newsLife;
}

void store_task::setFleet(fleet_calls calls)
{
    m_fleet = std::move(calls);
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
    for (const auto &[node, record] : m_view.lapsed) {
        if (record.failureDomain == m_settings.failureDomain) {
            others.push_back(node);
        }
    }
    std::erase(others, m_settings.node);
    if (!others.empty()) {
        m_fleet.send(others, news);
    }
}

store_news store_task::newsAfter(std::int64_t revision) const
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

void store_task::onNews(const std::string &reader, const store_news &news)
{
    if (m_leaving || m_revision == 0 || news.to < m_revision) {
        return; // an outdated reader is no sign that the store was heard
    }
    if (news.to == m_revision) {
        m_newsAt = bootNow();
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
// count as heard, so that such a daemon follows the store itself after newsLife.

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

/// What was known and is not in a whole reading has been removed meanwhile.
void store_task::dropMissing(const std::set<std::string> &present, view_changed &change)
{
    std::vector<std::string> keys;
    for (const auto &[id, server] : m_view.servers) {
        keys.push_back(m_codec.serverPrefix + id);
    }
    for (const auto &[node, record] : m_view.daemons) {
        keys.push_back(daemonPrefix + node);
    }
    for (const auto &[id, entry] : m_view.orderers) {
        keys.push_back(ordererPrefix + id);
    }
    for (const std::string &key : keys) {
        if (present.count(key) == 0) {
            stored_item gone;
            gone.key = key;
            gone.removed = true;
            takeItem(gone, change);
        }
    }
}

void store_task::watchOn()
{
    const std::uint64_t round = ++m_watchRound;
    const bool listenedTo = isReader() && domainPeers().size() > readersPerDomain;
    const millis wait = listenedTo ? m_pace.readerWait : m_pace.watchWait;
    m_store.watch("", m_revision, wait, [this, round](const store_read &read) {
        heard(read.status == store_status::Ok || read.status == store_status::HistoryGone, "watch");
        if (round != m_watchRound || m_leaving) {
            return;
        }
        switch (read.status) {
        case store_status::Ok:
            takeEvents(read);
            m_watchTimer = m_loop.timer(m_pace.watchPause, {}, [this] {
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
    for (const stored_item &item : latestOf(read.items)) {
        if (takeItem(item, change)) {
            items.push_back(item);
        }
    }
    m_revision = std::max(m_revision, read.revision);
    if (!items.empty()) {
        publish(change);
    }
    sendNews(from, items); // without items: a sign that the store is heard
}

void store_task::publish(const view_changed &change)
{
    m_bus.post(change);
}

/// Whether the item tells something new, for this daemon and those it passes news on to.
bool store_task::takeItem(const stored_item &item, view_changed &change)
{
    const auto kept = m_items.find(item.key);
    if (kept != m_items.end() && item.revision != 0 && item.revision <= kept->second.revision) {
        return false; // heard twice, or from a reading that is older than what came by news
    }
    if (isUnder(item.key, m_codec.serverPrefix)) {
        const bool news = takeServer(item, change);
        keepItem(item, news);
        return news;
    }
    keepItem(item, true);
    if (item.key == m_codec.configKey) {
        takeConfig(item, change);
    } else if (isUnder(item.key, m_codec.versionPrefix)) {
        error why;
        const auto version = item.removed ? std::nullopt : m_codec.readVersion(item.value, why);
        if (!version && !item.removed) {
            tellUnreadable(item, why);
        }
        if (version) {
            auto &known = m_view.versions[adapterKey(version->model, version->adapter)];
            if (version->version > known) {
                known = version->version;
                m_log.important("version.named")
                    .add("adapter", adapterKey(version->model, version->adapter))
                    .add("version", version->version)
                    .add("revision", item.revision);
            }
        }
    } else if (isUnder(item.key, ownPrefix)) {
        takeOwn(item);
    }
    return true;
}

void store_task::takeConfig(const stored_item &item, view_changed &change)
{
    if (item.removed || item.revision <= m_configRevision) {
        return;
    }
    error why;
    auto config = m_codec.readConfig(item.value, why);
    if (!config) {
        m_log.important("config.unreadable").add("revision", item.revision).add("why", message(why));
        return;
    }
    // A version in force never goes back within a process: what was served by a newer one would be
    // answered by an older.
    if (m_view.config && config->version <= m_view.config->version) {
        m_log.important("config.older_ignored").add("version", config->version);
        return;
    }
    m_configRevision = item.revision;
    m_view.config = std::make_shared<const serving_config>(std::move(*config));
    change.config = true;
    m_log.important("config.in_force")
        .add("version", m_view.config->version)
        .add("revision", item.revision)
        .add("routes", static_cast<std::int64_t>(m_view.config->routes.size()));
}

/// Whether it says something that daemons go by. Each server writes its entry at every heartbeat, mostly with
/// nothing else in it; passed on, that would be most of what a reader sends in a fleet of thousands.
bool store_task::takeServer(const stored_item &item, view_changed &change)
{
    const std::string id = item.key.substr(m_codec.serverPrefix.size());
    const auto known = m_view.servers.find(id);
    if (item.removed) {
        if (known == m_view.servers.end()) {
            return true; // not known here is no reason that others don't
        }
        const bool lapsed =
            !known->second.draining && m_regained.count != 0 && bootNow() - m_regained < missingGrace;
        if (lapsed) {
            m_missing.insert(id);
            m_missingTimer = m_loop.timer(m_regained + missingGrace - bootNow(), {}, [this] {
                dropLate();
            });
            m_log.important("server.entry_lapsed").add("server", id);
            return true;
        }
        m_view.servers.erase(known);
        m_missing.erase(id);
        change.goneServers.push_back(id);
        m_log.important("server.gone").add("server", id).add("revision", item.revision);
        return true;
    }
    error why;
    auto server = m_codec.readServer(id, item.value, why);
    if (!server) {
        tellUnreadable(item, why);
        if (known != m_view.servers.end()) {
            m_view.servers.erase(known);
            m_missing.erase(id);
            change.goneServers.push_back(id);
        }
        return true;
    }
    m_unreadable.erase(item.key);
    const bool again = known != m_view.servers.end() && server->born != known->second.born;
    if (again && server->born < known->second.born) {
        return false; // of an earlier start: what it says is over
    }
    if (again) {
        change.goneServers.push_back(id);
        m_log.important("server.started_again").add("server", id).add("revision", item.revision);
    }
    const bool wasMissing = m_missing.erase(id) > 0;
    const bool isNew = known == m_view.servers.end();
    const bool news = isNew || wasMissing || !sameForDaemons(known->second, *server);
    if (isNew || known->second.draining != server->draining) {
        m_log.important(server->draining ? "server.draining" : "server.ready")
            .add("server", id)
            .add("service", server->service)
            .add("born", server->born)
            .add("revision", item.revision);
    }
    m_view.servers[id] = std::move(*server);
    return news;
}

/// One line for each key: whoever writes what can't be read may write it at every heartbeat.
void store_task::tellUnreadable(const stored_item &item, const error &why)
{
    if (m_unreadable.size() < unreadableTold && m_unreadable.insert(item.key).second) {
        m_log.important("item.unreadable")
            .add("key", item.key)
            .add("revision", item.revision)
            .add("why", message(why));
    }
}

void store_task::dropLate()
{
    view_changed change;
    for (const std::string &id : m_missing) {
        m_view.servers.erase(id);
        change.goneServers.push_back(id);
        m_log.important("server.gone").add("server", id).add("why", "its entry did not come back");
    }
    m_missing.clear();
    publish(change);
}

void store_task::takeOwn(const stored_item &item)
{
    error why;
    if (isUnder(item.key, daemonPrefix)) {
        const std::string node = item.key.substr(daemonPrefix.size());
        auto record = item.removed ? std::nullopt : decodeDaemon(item.value, why);
        if (!item.removed && (!record || record->node != node)) {
            tellUnreadable(item, why);
            record.reset();
        }
        if (record) {
            const auto known = m_view.daemons.find(node);
            if (known == m_view.daemons.end() || known->second.incarnation != record->incarnation) {
                m_log.important("peer.up").add("peer", node).add("revision", item.revision);
            }
            m_view.daemons[node] = *record;
            m_view.lapsed.erase(node);
        } else if (const auto gone = m_view.daemons.find(node); gone != m_view.daemons.end()) {
            m_view.lapsed[node] = gone->second;
            m_lapsedAt[node] = bootNow();
            m_view.daemons.erase(gone);
            m_log.important("peer.down").add("peer", node).add("revision", item.revision);
        }
    } else if (isUnder(item.key, ordererPrefix)) {
        const std::string server = item.key.substr(ordererPrefix.size());
        auto record = item.removed ? std::nullopt : decodeOrderer(item.value, why);
        if (!item.removed && !record) {
            // Of another writer: to be replaced by whoever is proposed, at the revision it has.
            tellUnreadable(item, why);
            record = orderer_record{};
        }
        if (record) {
            auto &entry = m_view.orderers[server];
            if (item.revision >= entry.revision) {
                entry = {*record, item.revision};
            }
        } else {
            m_view.orderers.erase(server);
        }
    }
}

/// A machine that is gone for good is told of nothing any more.
void store_task::dropLapsed()
{
    std::erase_if(m_lapsedAt, [this](const auto &each) {
        const bool over = bootNow() - each.second > lapsedLife;
        if (over) {
            m_view.lapsed.erase(each.first);
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
    const millis length = leaseLength(m_settings);
    m_store.grantLease(length, [this, asked, length](store_status status, std::int64_t lease) {
        heard(status == store_status::Ok, "lease");
        if (status != store_status::Ok || m_leaving) {
            m_leaseCalling = false;
            return;
        }
        m_lease = lease;
        granted(m_proof, asked, length);
        store_change change;
        const daemon_record record{m_settings.node, m_settings.peers.ip, m_settings.peers.port,
            m_settings.failureDomain, m_incarnation};
        change.puts.push_back({daemonPrefix + m_settings.node, encode(record), lease});
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
            if (m_view.firstRead.count == 0 && !m_reading) {
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
    const bool due = m_lastFailed || asked - m_proof.renewed >= m_renewEvery;
    if (m_leaseCalling || !due) {
        return;
    }
    m_leaseCalling = true;
    m_store.keepLease(m_lease, [this, asked](store_status status) {
        m_leaseCalling = false;
        heard(status == store_status::Ok || status == store_status::Missing, "keep");
        if (status == store_status::Ok) {
            renewed(m_proof, asked);
            // Whether the records still stand; servers that check tokens tell themselves.
            if (m_proof.doubted && !m_reading && !m_settings.serversCheckTokens) {
                readAll();
            }
        } else if (status == store_status::Missing) {
            m_log.important("lease.lost").add("lease", m_lease).add("kept_ms", asked - m_proof.renewed);
            m_lease = 0;
            grantLease();
        }
    });
}

void store_task::claim(const std::string &server, bool replace)
{
    if (m_lease == 0 || m_leaving || m_claiming.count(server) != 0 || bootNow() < m_claimAfter) {
        return;
    }
    const auto known = m_view.orderers.find(server);
    const bool others = known != m_view.orderers.end() && !known->second.record.node.empty()
        && known->second.record.node != m_settings.node;
    if (others && !replace) {
        return;
    }
    const std::int64_t revision = known == m_view.orderers.end() ? 0 : known->second.revision;
    store_change change;
    change.expected.emplace_back(orderersKey(server), revision);
    const orderer_record record{m_settings.node, m_incarnation, m_lease};
    change.puts.push_back({orderersKey(server), encode(record), m_lease});
    m_claiming.insert(server);
    m_store.change(change, [this, server, record](store_status status, std::int64_t changed) {
        m_claiming.erase(server);
        heard(status == store_status::Ok || status == store_status::Conflict, "claim");
        m_log.important("orderer.claim")
            .add("server", server)
            .add("outcome", status == store_status::Ok ? "taken" : "not taken")
            .add("fence", changed);
        if (status == store_status::Missing) {
            m_lease = 0;
        }
        if (status == store_status::Refused || status == store_status::Unknown) {
            m_claimAfter = bootNow() + claimPause;
        }
        if (status != store_status::Ok) {
            return; // without an answer the watch tells how it ended
        }
        auto &entry = m_view.orderers[server];
        if (changed > entry.revision) {
            entry = {record, changed};
        }
        publish({});
    });
}

void store_task::leave()
{
    m_leaving = true;
    store_change change;
    change.removes.push_back(daemonPrefix + m_settings.node);
    constexpr std::size_t maxEntries = 30; // of the store's 32 in one change
    for (const auto &[server, entry] : m_view.orderers) {
        if (isOwn(entry.record) && change.puts.size() + change.expected.size() < maxEntries) {
            change.expected.emplace_back(orderersKey(server), entry.revision);
            change.puts.push_back({orderersKey(server), encode(orderer_record{}), 0});
        }
    }
    m_store.change(change, [this](store_status status, std::int64_t revision) {
        m_log.important("records.given_up")
            .add("outcome", status == store_status::Ok ? "done" : "not done")
            .add("revision", revision);
    });
}

}
