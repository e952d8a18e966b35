#include "serving/store_task.h"

#include "protocol/codec.h"
#include "serving/store_keys.h"

// Applies items of the store to this daemon's view.
namespace briarhead {

namespace {

/// Changes kept for daemons that fetch the updates after a revision.
constexpr std::size_t maxRecentChanges = 2'000;
/// Unreadable items are logged once for each of this many keys; further keys are not logged.
constexpr std::size_t maxLoggedUnreadable = 100;
/// Servers whose entries expired during a store outage write them again within 2 s of its end. They stay in
/// use until shortly before that, which is also the limit on sending requests to a server that has left.
constexpr millis missingGrace{1'700};

bool isUnder(const std::string &key, const std::string &prefix)
{
    return key.starts_with(prefix);
}

}

void store_task::recordItem(const stored_item &item, bool isUpdate)
{
    if (item.removed) {
        m_items.erase(item.key);
    } else {
        m_items[item.key] = item;
    }
    if (!isUpdate) {
        return;
    }
    m_recentChanges.push_back(item);
    while (m_recentChanges.size() > maxRecentChanges) {
        m_recentChangesAfter = m_recentChanges.front().revision;
        m_recentChanges.pop_front();
    }
}

/// Removes what is in the view but not in a full read.
void store_task::removeMissing(const std::set<std::string> &present, view_changed &change)
{
    std::vector<std::string> keys;
    for (const auto &[id, server] : m_view.servers) {
        keys.push_back(m_codec.serverPrefix + id);
    }
    for (const auto &[node, record] : m_view.daemons) {
        keys.push_back(detail::daemonPrefix + node);
    }
    for (const std::string &node : m_view.cutOffDaemons) {
        keys.push_back(detail::cutOffPrefix + node);
    }
    for (const auto &[id, entry] : m_view.serverOwners) {
        keys.push_back(detail::serverOwnerPrefix + id);
    }
    for (const auto &[shard, entry] : m_view.quotaHomes) {
        keys.push_back(detail::quotaHomePrefix + shard);
    }
    for (const auto &[service, versions] : m_view.serviceVersions) {
        keys.push_back(detail::serviceVersionsPrefix + service);
    }
    for (const auto &[shard, versions] : m_view.adapterVersions) {
        keys.push_back(detail::adapterVersionsPrefix + shard);
    }
    for (const auto &[attribute, crash] : m_view.crashes) {
        keys.push_back(detail::crashPrefix + attribute);
    }
    for (const std::string &key : keys) {
        if (present.count(key) == 0) {
            stored_item removedItem;
            removedItem.key = key;
            removedItem.removed = true;
            applyItem(removedItem, change);
        }
    }
}

/// Callers' API keys are hashed here, so that they are neither kept nor sent to other daemons.
stored_item store_task::withHashedKeys(const stored_item &item) const
{
    stored_item out = item;
    if (item.key == m_codec.configKey && !item.removed && m_codec.hashAccountKeys) {
        out.value = m_codec.hashAccountKeys(item.value);
    }
    return out;
}

/// Applies one item. Returns false if it holds nothing new for this daemon or those it sends updates to.
bool store_task::applyItem(const stored_item &item, view_changed &change)
{
    if (isUnder(item.key, m_codec.versionPrefix)) {
        return applyVersion(item, change);
    }
    if (isUnder(item.key, detail::originsPrefix)) {
        if (m_view.firstReadAt.count == 0 && !item.removed) {
            appendOrigins(item, change.origins);
        }
        return false;
    }
    const auto kept = m_items.find(item.key);
    if (kept != m_items.end() && item.revision != 0 && item.revision <= kept->second.revision) {
        return false; // a duplicate, or a read older than a reader's update
    }
    if (isUnder(item.key, m_codec.serverPrefix)) {
        const bool isUpdate = applyServer(item, change);
        recordItem(item, isUpdate);
        return isUpdate;
    }
    recordItem(item, true);
    if (item.key == m_codec.configKey) {
        applyConfig(item, change);
    } else if (isUnder(item.key, detail::projectPrefix)) {
        applyProjectRecord(item, change);
    }
    return true;
}

/// Applies the declaration of an adapter's version. Unlike other items it counts whatever its revision is: a
/// late write may have replaced a newer version under a higher revision. Returns whether it is news.
bool store_task::applyVersion(const stored_item &item, view_changed &change)
{
    const auto kept = m_items.find(item.key);
    const bool isLatest = kept == m_items.end() || item.revision > kept->second.revision;
    error why;
    const auto declared = item.removed ? std::nullopt : m_codec.readVersion(item.value, why);
    if (!declared) {
        if (!item.removed) {
            logUnreadable(item, why);
        }
        if (isLatest) {
            recordItem(item, true);
        }
        return isLatest;
    }
    const std::string adapter = adapterKey(declared->model, declared->adapter);
    const bool raised = raiseVersion(adapter, declared->version, item, change);
    if (isLatest) {
        newest_version &known = m_view.versions[adapter];
        known.declared = declared->version;
        stored_item newest = item;
        if (isItemBehind(known)) {
            change.unsafeVersions.push_back(adapter);
            m_log.important("version.item_behind")
                .add("adapter", adapter)
                .add("version", declared->version)
                .add("newest", known.version)
                .add("revision", item.revision);
            // Daemons that fetch updates here get the newest version that this one has seen.
            newest.value = kept == m_items.end() ? item.value : kept->second.value;
        }
        recordItem(newest, true);
    }
    return isLatest || raised;
}

/// Raises the newest known version of an adapter; an older one changes nothing. Returns whether it was new.
bool store_task::raiseVersion(
    const std::string &adapter, std::int64_t version, const stored_item &source, view_changed &change)
{
    newest_version &known = m_view.versions[adapter];
    if (version <= known.version) {
        return false;
    }
    known.version = version;
    if (m_view.firstReadAt.count != 0) { // earlier ones are no longer endangered by late writes
        change.unsafeVersions.push_back(adapter);
    }
    m_log.important("version.named")
        .add("adapter", adapter)
        .add("version", version)
        .add("key", source.key)
        .add("revision", source.revision);
    return true;
}

void store_task::applyConfig(const stored_item &item, view_changed &change)
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
    // A process never goes back to an older version: it would handle requests by an older configuration than
    // those before them.
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
    for (const std::string &remark : m_view.config->warnings) {
        m_log.important("config.remark").add("version", m_view.config->version).add("what", remark);
    }
}

/// Applies a server's entry. Returns whether it changes anything that daemons use. Servers rewrite their
/// entry at every heartbeat, mostly unchanged; forwarding these writes would be most of a reader's traffic in
/// a fleet of thousands.
bool store_task::applyServer(const stored_item &item, view_changed &change)
{
    const std::string id = item.key.substr(m_codec.serverPrefix.size());
    const auto known = m_view.servers.find(id);
    if (item.removed) {
        if (known == m_view.servers.end()) {
            return true; // other daemons may still know the server
        }
        const bool expiredInOutage = !known->second.draining && m_reconnectedAt.count != 0
            && bootNow() - m_reconnectedAt < missingGrace;
        if (expiredInOutage) {
            m_missingServers.insert(id);
            m_missingServersTimer = m_loop.timer(m_reconnectedAt + missingGrace - bootNow(), {}, [this] {
                removeUnreturnedServers();
            });
            m_log.important("server.entry_lapsed").add("server", id);
            return true;
        }
        if (!known->second.draining) {
            change.crashedServers.push_back(id);
        }
        m_view.servers.erase(known);
        m_missingServers.erase(id);
        change.removedServers.push_back(id);
        m_log.important("server.gone").add("server", id).add("revision", item.revision);
        return true;
    }
    error why;
    auto server = m_codec.readServer(id, item.value, why);
    if (!server) {
        logUnreadable(item, why);
        if (known != m_view.servers.end()) {
            m_view.servers.erase(known);
            m_missingServers.erase(id);
            change.removedServers.push_back(id);
        }
        return true;
    }
    m_loggedUnreadable.erase(item.key);
    const bool restarted = known != m_view.servers.end() && server->startedAtMs != known->second.startedAtMs;
    if (restarted && server->startedAtMs < known->second.startedAtMs) {
        return false; // written by an earlier incarnation
    }
    if (restarted) {
        change.removedServers.push_back(id);
        if (!known->second.draining) {
            change.crashedServers.push_back(id);
        }
        m_log.important("server.started_again").add("server", id).add("revision", item.revision);
    }
    const bool wasMissing = m_missingServers.erase(id) > 0;
    const bool isNew = known == m_view.servers.end();
    const bool isUpdate = isNew || wasMissing || !equalIgnoringModels(known->second, *server);
    if (isNew || known->second.draining != server->draining) {
        m_log.important(server->draining ? "server.draining" : "server.ready")
            .add("server", id)
            .add("service", server->service)
            .add("born", server->startedAtMs)
            .add("software", server->softwareVersion)
            .add("revision", item.revision);
    }
    m_view.servers[id] = std::move(*server);
    return isUpdate;
}

/// Logs each key once: its writer may repeat the unreadable item at every heartbeat.
void store_task::logUnreadable(const stored_item &item, const error &why)
{
    if (m_loggedUnreadable.size() < maxLoggedUnreadable && m_loggedUnreadable.insert(item.key).second) {
        m_log.important("item.unreadable")
            .add("key", item.key)
            .add("revision", item.revision)
            .add("why", message(why));
    }
}

void store_task::removeUnreturnedServers()
{
    view_changed change;
    for (const std::string &id : m_missingServers) {
        m_view.servers.erase(id);
        change.removedServers.push_back(id);
        change.crashedServers.push_back(id);
        m_log.important("server.gone")
            .add("server", id)
            .add("why", "its entry expired during a store outage and was not rewritten");
    }
    m_missingServers.clear();
    publish(change);
}

void store_task::applyProjectRecord(const stored_item &item, view_changed &change)
{
    if (isUnder(item.key, detail::daemonPrefix)) {
        applyDaemon(item);
    } else if (isUnder(item.key, detail::cutOffPrefix)) {
        applyCutOff(item);
    } else if (isUnder(item.key, detail::serverOwnerPrefix)) {
        applyServerOwner(item);
    } else if (isUnder(item.key, detail::quotaHomePrefix)) {
        applyQuotaHome(item);
    } else if (isUnder(item.key, detail::crashPrefix)) {
        applyCrash(item, change);
    } else if (isUnder(item.key, detail::serviceVersionsPrefix)) {
        applyServiceVersions(item);
    } else if (isUnder(item.key, detail::adapterVersionsPrefix)) {
        applyAdapterVersions(item, change);
    }
}

void store_task::applyDaemon(const stored_item &item)
{
    error why;
    const std::string node = item.key.substr(detail::daemonPrefix.size());
    auto record = item.removed ? std::nullopt : decodeDaemonRecord(item.value, why);
    if (!item.removed && (!record || record->node != node)) {
        logUnreadable(item, why);
        record.reset();
    }
    if (record) {
        const auto known = m_view.daemons.find(node);
        if (known == m_view.daemons.end() || known->second.incarnation != record->incarnation) {
            m_log.important("peer.up").add("peer", node).add("revision", item.revision);
        }
        m_view.daemons[node] = *record;
        m_view.expiredDaemons.erase(node);
    } else if (const auto expired = m_view.daemons.find(node); expired != m_view.daemons.end()) {
        m_view.expiredDaemons[node] = expired->second;
        m_expiredAt[node] = bootNow();
        m_view.daemons.erase(expired);
        m_log.important("peer.down").add("peer", node).add("revision", item.revision);
    }
}

void store_task::applyCutOff(const stored_item &item)
{
    const std::string node = item.key.substr(detail::cutOffPrefix.size());
    const bool changed =
        item.removed ? m_view.cutOffDaemons.erase(node) != 0 : m_view.cutOffDaemons.insert(node).second;
    if (changed) {
        m_log.important(item.removed ? "peer.reaches_servers" : "peer.cut_off")
            .add("peer", node)
            .add("revision", item.revision);
    }
}

void store_task::applyServerOwner(const stored_item &item)
{
    error why;
    const std::string server = item.key.substr(detail::serverOwnerPrefix.size());
    auto record = item.removed ? std::nullopt : decodeOwnershipRecord(item.value, why);
    if (!item.removed && !record) {
        // Written by something else: the preferred owner replaces it, conditional on this revision.
        logUnreadable(item, why);
        record = ownership_record{};
    }
    if (record) {
        recordOwnership(m_view.serverOwners, server, {*record, item.revision, false});
    } else {
        m_view.serverOwners.erase(server);
    }
}

void store_task::applyQuotaHome(const stored_item &item)
{
    error why;
    const std::string shard = item.key.substr(detail::quotaHomePrefix.size());
    auto record = item.removed ? std::nullopt : decodeQuotaHomeRecord(item.value, why);
    if (!item.removed && !record) {
        logUnreadable(item, why); // written by something else; replaced as in applyServerOwner
        record = quota_home_record{};
    }
    if (record) {
        recordOwnership(
            m_view.quotaHomes, shard, {record->ownership, item.revision, record->predecessorExpired});
    } else {
        m_view.quotaHomes.erase(shard);
    }
}

void store_task::recordOwnership(ownership_map &owners, const std::string &name, const ownership_entry &entry)
{
    ownership_entry &known = owners[name];
    if (entry.revision >= known.revision) {
        known = entry;
    }
}

void store_task::applyCrash(const stored_item &item, view_changed &change)
{
    error why;
    const std::string attribute = item.key.substr(detail::crashPrefix.size());
    auto record = item.removed ? std::nullopt : decodeCrashRecord(item.value, why);
    if (!item.removed && !record) {
        // Written by something else: treated as empty, and replaced conditional on this revision.
        logUnreadable(item, why);
        record = crash_record{};
    }
    if (record) {
        m_view.crashes[attribute] = {*record, item.revision};
    } else {
        m_view.crashes.erase(attribute);
    }
    change.crashes.push_back(attribute);
}

void store_task::applyServiceVersions(const stored_item &item)
{
    error why;
    const std::string service = item.key.substr(detail::serviceVersionsPrefix.size());
    auto record = item.removed ? std::nullopt : decodeServiceVersions(item.value, why);
    if (!item.removed && !record) {
        logUnreadable(item, why); // written by something else, and replaced
        record = service_versions_record{};
    }
    if (!record) {
        m_view.serviceVersions.erase(service);
        return;
    }
    stored_service_versions &stored = m_view.serviceVersions[service];
    if (item.revision >= stored.revision) {
        stored = {*record, item.revision};
    }
}

void store_task::applyAdapterVersions(const stored_item &item, view_changed &change)
{
    error why;
    const std::string shard = item.key.substr(detail::adapterVersionsPrefix.size());
    auto record = item.removed ? std::nullopt : decodeAdapterVersions(item.value, why);
    if (!item.removed && !record) {
        logUnreadable(item, why); // written by something else, and replaced
        record = adapter_versions_record{};
    }
    if (!record) {
        m_view.adapterVersions.erase(shard);
        return;
    }
    // A daemon that has just started doesn't know how long ago the versions were declared.
    const bool isYoung = m_view.firstReadAt.count == 0 || bootNow() - m_view.firstReadAt < lateWriteWindow;
    for (const adapter_version_entry &entry : record->versions) {
        raiseVersion(entry.adapter, entry.version, item, change);
        if (isYoung) {
            change.unsafeVersions.push_back(entry.adapter);
        }
    }
    stored_adapter_versions &stored = m_view.adapterVersions[shard];
    if (item.revision >= stored.revision) {
        stored = {std::move(*record), item.revision};
    }
}

}
