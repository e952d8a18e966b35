#include "coordination/config_task.h"

#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarhead {

namespace {

constexpr millis tickInterval{50};
/// Limits of the patches kept in memory, from which peers that lag are served.
constexpr std::size_t maxRecentPatches = 256;
constexpr std::size_t maxRecentBytes = 4 * 1024 * 1024;

std::size_t bytesOf(const config_patch &patch)
{
    return patch.set.size() + patch.remove.size() + patch.note.size();
}

}

bool watchesConfig(std::string_view self, std::string_view failureDomain, const std::vector<member> &members)
{
    std::vector<std::string> names{std::string(self)};
    for (const auto &peer : members) {
        const bool live = peer.state == peer_state::Alive || peer.state == peer_state::Suspect;
        if (live && peer.failureDomain == failureDomain && peer.name != self) {
            names.push_back(peer.name);
        }
    }
    const auto key = "config-watch/" + std::string(failureDomain);
    const auto watchers = rendezvousOrder(key, names, configWatchersPerDomain);
    return std::ranges::find(watchers, self) != watchers.end();
}

millis configPollInterval(millis base, std::size_t members)
{
    constexpr std::int64_t msPerSecond = 1'000;
    const auto spacedMs = static_cast<std::int64_t>(members) * msPerSecond / maxFleetPollsPerSecond;
    return std::max(base, millis{spacedMs});
}

config_task::config_task(bus &messages, loop &eventLoop, kv_client &kv, options taskOptions)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_store(kv)
    , m_options(std::move(taskOptions))
    , m_random(rendezvousScore(m_options.self, std::to_string(wallNow().count)))
    , m_startedAt(bootNow())
    , m_readAt(m_startedAt)
    , m_retryDelay(m_options.retryInterval)
{
    m_bus.on<members_changed>([this](const members_changed &change) {
        onMembers(change);
    });
    m_bus.on<peer_version_seen>([this](const peer_version_seen &update) {
        onPeerVersionSeen(update);
    });
    m_bus.on<received<config_request>>([this](const received<config_request> &request) {
        onConfigRequest(request);
    });
    m_bus.on<received<config_response>>([this](const received<config_response> &response) {
        onConfigResponse(response);
    });
    m_tickTimer = m_loop.timer(millis{0}, tickInterval, [this] {
        onTick();
    });
}

const config_ptr &config_task::current() const
{
    return m_current;
}

std::uint64_t config_task::headVersion() const
{
    auto highest = m_current ? m_current->version : 0;
    for (const auto &[peer, version] : m_newerVersions) {
        highest = std::max(highest, version);
    }
    return highest;
}

/// A random time from 0.5 to 1.5 of the mean, so that a fleet's reads are not synchronised after an outage.
millis config_task::jittered(millis mean)
{
    return {std::uniform_int_distribution<std::int64_t>(mean.count / 2, mean.count * 3 / 2)(m_random)};
}

void config_task::onTick()
{
    const auto now = bootNow();
    if (!m_reading && now >= m_readAt) {
        readHead();
    }
    if (m_openRequest && now >= m_openRequest->until) {
        // Reads the head once instead. Only the first time-out of a peer triggers a read, so that an
        // unresponsive peer doesn't make every daemon read the service again and again.
        if (m_unresponsivePeers.insert(m_openRequest->peer).second) {
            m_readAt = std::min(m_readAt, now);
        }
        m_openRequest.reset();
    }
    if (!m_openRequest) {
        requestFromBestPeer();
    }
    if (m_chunksVersion != 0 && now >= m_chunksUntil) {
        m_chunks.clear();
        m_chunksVersion = 0;
    }
}

void config_task::readHead()
{
    m_reading = true;
    m_store.readHead([this](const std::optional<head_at_revision> &found, const error &why) {
        if (!found) {
            m_reading = false;
            onReadFailed(why);
            return;
        }
        if (std::exchange(m_serviceDown, false)) {
            spdlog::info("config: the key-value service responds again");
        }
        catchUp(found->head, [this, found = *found](const error &problem) {
            m_reading = false;
            if (problem.kind != error_kind::None) {
                onReadFailed(problem);
                return;
            }
            m_retryDelay = m_options.retryInterval;
            m_readAt = bootNow() + jittered(configPollInterval(m_options.pollInterval, m_members.size()));
            onHead(found);
            updateHeadWatch(found.storeRevision);
        });
    });
}

void config_task::onReadFailed(const error &why)
{
    if (!std::exchange(m_serviceDown, true)) {
        spdlog::warn("config: {}", message(why));
    }
    m_readAt = bootNow() + jittered(m_retryDelay);
    const auto longest = configPollInterval(m_options.pollInterval, m_members.size());
    m_retryDelay = std::min(longest, m_retryDelay + m_retryDelay);
}

/// Handles a head that was read or watched, after catchUp() has applied its version.
void config_task::onHead(const head_at_revision &found)
{
    // The service was restored from an older backup, or lost its data. Later versions have been reported to
    // operators as accepted and are in force here, so they are written back, never dropped.
    if (m_current && found.head.version < m_current->version) {
        restoreHead(found);
    }
}

/// Puts the head's version into force if it is higher; calls `done` immediately if it isn't.
void config_task::catchUp(const config_head &head, const std::function<void(const error &why)> &done)
{
    if (m_current && head.version <= m_current->version) {
        done({});
        return;
    }
    const auto apply = [this, patches = head.patches, done](const config_ptr &base, const error &problem) {
        error why = problem;
        const auto next = applyPatches(base, patches, why);
        if (next) {
            publish(next, patches);
            why = {};
        }
        done(why);
    };
    const auto ownVersion = m_current ? m_current->version : 0;
    const bool diverges = divergesFrom(head);
    if (diverges) {
        m_recent.clear();
        m_recentBytes = 0;
    }
    if (ownVersion >= head.snapshotVersion && !diverges) {
        apply(m_current ? m_current : emptyConfig(), {});
    } else {
        m_store.readSnapshot(head, apply);
    }
}

/// Whether the head holds a different patch at some version than the one applied here. That can happen only
/// after the service was restored from a backup and another daemon accepted a patch on the old version; then
/// there are two configurations with the same version. The head's history wins once it is the longer one, and
/// is loaded completely from its snapshot, since its patches don't apply to this daemon's configuration.
bool config_task::divergesFrom(const config_head &head) const
{
    for (const auto &patch : head.patches) {
        const auto applied = std::ranges::find(m_recent, patch.base, &config_patch::base);
        if (applied != m_recent.end() && applied->id != patch.id) {
            spdlog::error("config: version {} was accepted twice, as patch {} and as patch {}",
                patch.base + 1, applied->id, patch.id);
            return true;
        }
    }
    return false;
}

void config_task::publish(const config_ptr &next, const std::vector<config_patch> &patches)
{
    // Guards against responses out of order (the service, a watch and peers are all sources) and against a
    // service restored from a backup: an older configuration would come into force again and undo operators'
    // changes of adapters. Every new configuration is published here, on one thread, so the version only
    // rises.
    if (m_current && next->version <= m_current->version) {
        return;
    }
    const auto ownVersion = m_current ? m_current->version : 0;
    const bool follows = !patches.empty() && patches.front().base <= ownVersion && !m_recent.empty();
    if (!follows) {
        m_recent.clear();
        m_recentBytes = 0;
    }
    for (const auto &patch : patches) {
        if (!follows || patch.base >= ownVersion) {
            m_recent.push_back(patch);
            m_recentBytes += bytesOf(patch);
        }
    }
    while (m_recent.size() > maxRecentPatches || m_recentBytes > maxRecentBytes) {
        m_recentBytes -= bytesOf(m_recent.front());
        m_recent.pop_front();
    }
    m_current = next;
    std::erase_if(m_newerVersions, [next](const auto &held) {
        return held.second <= next->version;
    });
    spdlog::info("config: version {} is in force", next->version);
    m_bus.post(config_changed{next});
    m_bus.post(announce_version{next->version});
}

void config_task::updateHeadWatch(std::int64_t storeRevision)
{
    if (!watchesConfig(m_options.self, m_options.failureDomain, m_members)) {
        m_watch.reset();
        return;
    }
    if (m_watch) {
        return;
    }
    const auto onChange = [this](const head_at_revision &found) {
        catchUp(found.head, [this, found](const error &why) {
            if (why.kind != error_kind::None) {
                m_readAt = bootNow() + jittered(m_options.retryInterval);
                return;
            }
            onHead(found);
        });
    };
    m_watch = m_store.watchHead(storeRevision, onChange, [this] {
        // The next read of the head sees the changes in between, and a new watch starts after it.
        m_watch.reset();
        m_readAt = std::min(m_readAt, bootNow() + jittered(m_options.retryInterval));
    });
}

/// Overwrites an older head with this daemon's configuration. One daemon of the region, by rendezvous hash,
/// does so.
void config_task::restoreHead(const head_at_revision &found)
{
    std::vector<std::string> names{m_options.self};
    for (const auto &peer : m_members) {
        if (peer.state == peer_state::Alive && peer.name != m_options.self) {
            names.push_back(peer.name);
        }
    }
    if (m_restoring || rendezvousFirst("config-restore", names) != m_options.self) {
        return;
    }
    spdlog::error("config: the key-value service holds version {} but {} is in force; writing it back",
        found.head.version, m_current->version);
    m_restoring = true;
    m_store.compact(
        found, m_current, historyFor(found.head), [this](compaction_status status, const error &why) {
            m_restoring = false;
            if (status == compaction_status::Failed) {
                spdlog::warn("config: {}", message(why));
            }
        });
}

/// The patches that a compaction must write to the history: the head's, and those applied here that the head
/// lacks.
std::vector<config_patch> config_task::historyFor(const config_head &head) const
{
    std::map<std::uint64_t, config_patch> byBase;
    for (const auto &patch : head.patches) {
        byBase[patch.base] = patch;
    }
    for (const auto &patch : m_recent) {
        if (patch.base >= head.snapshotVersion) {
            byBase[patch.base] = patch;
        }
    }
    std::vector<config_patch> patches;
    patches.reserve(byBase.size());
    for (auto &[base, patch] : byBase) {
        patches.push_back(std::move(patch));
    }
    return patches;
}

void config_task::history(
    std::uint64_t from, std::function<void(const std::vector<config_patch> &patches, const error &why)> done)
{
    const auto onRead = [this, from, done = std::move(done)](
                            const std::vector<config_patch> &patches, const error &why) {
        if (why.kind == error_kind::None) {
            done(patches, why);
            return;
        }
        std::vector<config_patch> inMemory;
        std::ranges::copy_if(m_recent, std::back_inserter(inMemory), [from](const config_patch &patch) {
            return patch.base + 1 >= from;
        });
        done(inMemory, why);
    };
    m_store.readHistory(from, historyLimit, onRead);
}

void config_task::readVersion(
    std::uint64_t version, std::function<void(const config_ptr &found, const error &why)> done)
{
    if (m_current && m_current->version == version) {
        done(m_current, {});
        return;
    }
    m_store.readVersion(version, std::move(done));
}

}
