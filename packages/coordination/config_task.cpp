#include "coordination/config_task.h"

#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarhead {

namespace {

constexpr millis tickInterval{50};
constexpr std::size_t recentPatches = 256;
constexpr std::size_t recentBytes = 4 * 1024 * 1024;

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
    const auto shared = static_cast<std::int64_t>(members) * msPerSecond / configPollsPerSecond;
    return std::max(base, millis{shared});
}

config_task::config_task(bus &messages, loop &eventLoop, kv_client &kv, options given)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_store(kv)
    , m_options(std::move(given))
    , m_random(rendezvousScore(m_options.self, std::to_string(wallNow().count)))
    , m_startedAt(bootNow())
    , m_readAt(m_startedAt)
    , m_pause(m_options.retryInterval)
{
    m_bus.on<members_changed>([this](const members_changed &news) {
        onMembers(news);
    });
    m_bus.on<peer_version_seen>([this](const peer_version_seen &news) {
        onVersionHeard(news);
    });
    m_bus.on<received<config_request>>([this](const received<config_request> &question) {
        onAsk(question);
    });
    m_bus.on<received<config_response>>([this](const received<config_response> &answer) {
        onAnswer(answer);
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
    for (const auto &[peer, version] : m_heard) {
        highest = std::max(highest, version);
    }
    return highest;
}

/// Half to one and a half of the mean, so that a fleet doesn't read in step after an outage.
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
    if (m_ask && now >= m_ask->until) {
        // The service is asked once instead; a peer that stays silent must not make every daemon read it.
        if (m_silentPeers.insert(m_ask->peer).second) {
            m_readAt = std::min(m_readAt, now);
        }
        m_ask.reset();
    }
    if (!m_ask) {
        askNext();
    }
    if (m_chunksVersion != 0 && now >= m_chunksUntil) {
        m_chunks.clear();
        m_chunksVersion = 0;
    }
}

void config_task::readHead()
{
    m_reading = true;
    m_store.readHead([this](const std::optional<stored_head> &found, const error &why) {
        if (!found) {
            m_reading = false;
            readFailed(why);
            return;
        }
        if (std::exchange(m_serviceDown, false)) {
            spdlog::info("config: the key-value service answers again");
        }
        catchUp(found->head, [this, found = *found](const error &problem) {
            m_reading = false;
            if (problem.kind != error_kind::None) {
                readFailed(problem);
                return;
            }
            m_pause = m_options.retryInterval;
            m_readAt = bootNow() + jittered(configPollInterval(m_options.pollInterval, m_members.size()));
            onHead(found);
            updateWatch(found.storeRevision);
        });
    });
}

void config_task::readFailed(const error &why)
{
    if (!std::exchange(m_serviceDown, true)) {
        spdlog::warn("config: {}", message(why));
    }
    m_readAt = bootNow() + jittered(m_pause);
    const auto longest = configPollInterval(m_options.pollInterval, m_members.size());
    m_pause = std::min(longest, m_pause + m_pause);
}

/// A head that was read or watched, after its version was taken over where it is higher.
void config_task::onHead(const stored_head &found)
{
    // The service was restored from an older backup, or lost its data. Operators were told that later
    // versions are accepted, and they are in force here, so they are written back and never given up.
    if (m_current && found.head.version < m_current->version) {
        restoreHead(found);
    }
}

/// Takes over the head's version if it is higher; calls back at once where it isn't.
void config_task::catchUp(const config_head &head, const std::function<void(const error &why)> &done)
{
    if (m_current && head.version <= m_current->version) {
        done({});
        return;
    }
    const auto take = [this, patches = head.patches, done](const config_ptr &base, const error &problem) {
        error why = problem;
        const auto next = applyAll(base, patches, why);
        if (next) {
            publish(next, patches);
            why = {};
        }
        done(why);
    };
    const auto have = m_current ? m_current->version : 0;
    const bool diverges = divergesFrom(head);
    if (diverges) {
        m_recent.clear();
        m_recentBytes = 0;
    }
    if (have >= head.snapshotVersion && !diverges) {
        take(m_current ? m_current : emptyConfig(), {});
    } else {
        m_store.readSnapshot(head, take);
    }
}

/// Whether the head holds another patch at a version than the one that was applied here. That can happen
/// only after a restored backup, when a daemon that knew no better accepted a patch on the old version; it
/// shows as two configurations under one version. The head's line then wins once it is the longer one, and
/// is loaded whole, since its patches don't belong on top of ours.
bool config_task::divergesFrom(const config_head &head) const
{
    for (const auto &patch : head.patches) {
        const auto mine = std::ranges::find(m_recent, patch.base, &config_patch::base);
        if (mine != m_recent.end() && mine->id != patch.id) {
            spdlog::error("config: version {} was accepted twice, as patch {} and as patch {}",
                patch.base + 1, mine->id, patch.id);
            return true;
        }
    }
    return false;
}

void config_task::publish(const config_ptr &next, const std::vector<config_patch> &patches)
{
    // Guards against answers that overtake each other (the service, a watch and peers are asked at the same
    // time) and against a service restored from a backup: without it an older configuration would come
    // into force again, and adapters that operators had switched would switch back. All ways to a new
    // configuration end here, on one thread, so the version only rises.
    if (m_current && next->version <= m_current->version) {
        return;
    }
    const auto have = m_current ? m_current->version : 0;
    const bool follows = !patches.empty() && patches.front().base <= have && !m_recent.empty();
    if (!follows) {
        m_recent.clear();
        m_recentBytes = 0;
    }
    for (const auto &patch : patches) {
        if (!follows || patch.base >= have) {
            m_recent.push_back(patch);
            m_recentBytes += bytesOf(patch);
        }
    }
    while (m_recent.size() > recentPatches || m_recentBytes > recentBytes) {
        m_recentBytes -= bytesOf(m_recent.front());
        m_recent.pop_front();
    }
    m_current = next;
    std::erase_if(m_heard, [next](const auto &heard) {
        return heard.second <= next->version;
    });
    spdlog::info("config: version {} is in force", next->version);
    m_bus.post(config_changed{next});
    m_bus.post(announce_version{next->version});
}

void config_task::updateWatch(std::int64_t storeRevision)
{
    if (!watchesConfig(m_options.self, m_options.failureDomain, m_members)) {
        m_watch.reset();
        return;
    }
    if (m_watch) {
        return;
    }
    const auto onChange = [this](const stored_head &found) {
        catchUp(found.head, [this, found](const error &why) {
            if (why.kind != error_kind::None) {
                m_readAt = bootNow() + jittered(m_options.retryInterval);
                return;
            }
            onHead(found);
        });
    };
    m_watch = m_store.watchHead(storeRevision, onChange, [this] {
        // What happened in between is read at the next look at the head, and the watch begins after it.
        m_watch.reset();
        m_readAt = std::min(m_readAt, bootNow() + jittered(m_options.retryInterval));
    });
}

/// Writes this daemon's configuration over an older head. One daemon of the region does it.
void config_task::restoreHead(const stored_head &found)
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
    m_store.fold(found, m_current, historyFor(found.head), [this](fold_status status, const error &why) {
        m_restoring = false;
        if (status == fold_status::Failed) {
            spdlog::warn("config: {}", message(why));
        }
    });
}

/// The patches that a fold must write to the history: the head's, and ours that the head never had.
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
        std::vector<config_patch> remembered;
        std::ranges::copy_if(m_recent, std::back_inserter(remembered), [from](const config_patch &patch) {
            return patch.base + 1 >= from;
        });
        done(remembered, why);
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
