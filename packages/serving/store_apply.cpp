#include "serving/store_task.h"

#include "protocol/codec.h"
#include "serving/store_keys.h"

// How what the store tells is taken into this daemon's view.
namespace briarhead {

namespace {

/// The latest changes that are kept for daemons that fetch the news after a revision.
constexpr std::size_t recentChanges = 2'000;
/// Keys of which it is remembered that a line told of them; those beyond are passed over in silence.
constexpr std::size_t unreadableTold = 100;
/// Servers whose entries lapsed while the store was away write them again within two seconds of its return.
/// Until shortly before that they are still used; the bound on requests to a server that left is as long.
constexpr millis missingGrace{1'700};

bool isUnder(const std::string &key, const std::string &prefix)
{
    return key.starts_with(prefix);
}

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

/// What was known and is not in a whole reading has been removed meanwhile.
void store_task::dropMissing(const std::set<std::string> &present, view_changed &change)
{
    std::vector<std::string> keys;
    for (const auto &[id, server] : m_view.servers) {
        keys.push_back(m_codec.serverPrefix + id);
    }
    for (const auto &[node, record] : m_view.daemons) {
        keys.push_back(detail::daemonPrefix + node);
    }
    for (const auto &[id, entry] : m_view.serverOwners) {
        keys.push_back(detail::ordererPrefix + id);
    }
    for (const auto &[shard, entry] : m_view.quotaHomes) {
        keys.push_back(detail::quotaPrefix + shard);
    }
    for (const auto &[fingerprint, crash] : m_view.crashes) {
        keys.push_back(detail::crashPrefix + fingerprint);
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

/// Callers' keys go no further than this: neither into what is kept, nor into what other daemons are told.
stored_item store_task::withoutKeys(const stored_item &item) const
{
    stored_item out = item;
    if (item.key == m_codec.configKey && !item.removed && m_codec.hashAccountKeys) {
        out.value = m_codec.hashAccountKeys(item.value);
    }
    return out;
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
    } else if (isUnder(item.key, detail::ownPrefix)) {
        takeOwn(item, change);
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
        .add("routes", static_cast<std::int64_t>(m_view.config->routes.size()))
        .add("accounts", static_cast<std::int64_t>(m_view.config->accounts.size()));
    for (const std::string &remark : m_view.config->remarks) {
        m_log.important("config.remark").add("version", m_view.config->version).add("what", remark);
    }
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
        if (!known->second.draining) {
            change.crashedServers.push_back(id);
        }
        m_view.servers.erase(known);
        m_missing.erase(id);
        change.removedServers.push_back(id);
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
            change.removedServers.push_back(id);
        }
        return true;
    }
    m_unreadable.erase(item.key);
    const bool again = known != m_view.servers.end() && server->born != known->second.born;
    if (again && server->born < known->second.born) {
        return false; // of an earlier start: what it says is over
    }
    if (again) {
        change.removedServers.push_back(id);
        if (!known->second.draining) {
            change.crashedServers.push_back(id);
        }
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
        change.removedServers.push_back(id);
        change.crashedServers.push_back(id);
        m_log.important("server.gone").add("server", id).add("why", "its entry did not come back");
    }
    m_missing.clear();
    publish(change);
}

void store_task::takeOwn(const stored_item &item, view_changed &change)
{
    if (isUnder(item.key, detail::daemonPrefix)) {
        takeDaemon(item);
    } else if (isUnder(item.key, detail::ordererPrefix)) {
        takeOrderer(item);
    } else if (isUnder(item.key, detail::quotaPrefix)) {
        takeQuotaHome(item);
    } else if (isUnder(item.key, detail::crashPrefix)) {
        takeCrash(item, change);
    }
}

void store_task::takeDaemon(const stored_item &item)
{
    error why;
    const std::string node = item.key.substr(detail::daemonPrefix.size());
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
        m_view.expiredDaemons.erase(node);
    } else if (const auto gone = m_view.daemons.find(node); gone != m_view.daemons.end()) {
        m_view.expiredDaemons[node] = gone->second;
        m_lapsedAt[node] = bootNow();
        m_view.daemons.erase(gone);
        m_log.important("peer.down").add("peer", node).add("revision", item.revision);
    }
}

void store_task::takeOrderer(const stored_item &item)
{
    error why;
    const std::string server = item.key.substr(detail::ordererPrefix.size());
    auto record = item.removed ? std::nullopt : decodeOrderer(item.value, why);
    if (!item.removed && !record) {
        // Of another writer: to be replaced by whoever is proposed, at the revision it has.
        tellUnreadable(item, why);
        record = orderer_record{};
    }
    if (record) {
        keepRight(m_view.serverOwners, server, {*record, item.revision, false});
    } else {
        m_view.serverOwners.erase(server);
    }
}

void store_task::takeQuotaHome(const stored_item &item)
{
    error why;
    const std::string shard = item.key.substr(detail::quotaPrefix.size());
    auto record = item.removed ? std::nullopt : decodeQuotaHome(item.value, why);
    if (!item.removed && !record) {
        tellUnreadable(item, why); // of another writer, as with orderers
        record = quota_home_record{};
    }
    if (record) {
        keepRight(m_view.quotaHomes, shard, {record->right, item.revision, record->settled});
    } else {
        m_view.quotaHomes.erase(shard);
    }
}

void store_task::keepRight(ownership_map &rights, const std::string &name, const ownership_entry &entry)
{
    ownership_entry &known = rights[name];
    if (entry.revision >= known.revision) {
        known = entry;
    }
}

void store_task::takeCrash(const stored_item &item, view_changed &change)
{
    error why;
    const std::string fingerprint = item.key.substr(detail::crashPrefix.size());
    auto record = item.removed ? std::nullopt : decodeCrash(item.value, why);
    if (!item.removed && !record) {
        // Of another writer: it says nothing, and is replaced at the revision it has.
        tellUnreadable(item, why);
        record = crash_record{};
    }
    if (record) {
        m_view.crashes[fingerprint] = {*record, item.revision};
    } else {
        m_view.crashes.erase(fingerprint);
    }
    change.crashes.push_back(fingerprint);
}

}
