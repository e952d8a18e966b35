#include "serving/adapter_version_task.h"

#include "coordination/write_turn.h"
#include "serving/store_keys.h"

#include <set>

namespace briarhead {

namespace {

/// Versions that are declared in quick succession share a write.
constexpr millis maintainInterval{100};

}

adapter_version_task::adapter_version_task(
    loop &eventLoop, bus &messages, store_task &store, const node_settings &settings)
    : m_loop(eventLoop)
    , m_store(store)
    , m_settings(settings)
{
    messages.on<view_changed>([this](const view_changed &change) {
        onViewChanged(change);
    });
}

void adapter_version_task::onViewChanged(const view_changed &change)
{
    for (const std::string &adapter : change.unsafeVersions) {
        m_unsafe.try_emplace(adapter, bootNow());
    }
    if (!m_unsafe.empty() && !m_maintainTimer) {
        m_maintainTimer = m_loop.timer(maintainInterval, maintainInterval, [this] {
            maintainRecords();
        });
    }
}

void adapter_version_task::maintainRecords()
{
    const store_view &view = m_store.view();
    const millis now = bootNow();
    dropSafeVersions(m_unsafe, view.versions, now);
    const std::vector<std::string> daemons = nodesOf(view.daemons);
    std::set<std::string> outdated;
    for (const auto &[shard, required] : requiredRecords(m_unsafe, view.versions)) {
        const auto stored = view.adapterVersions.find(shard);
        if (stored != view.adapterVersions.end() && holdsVersions(stored->second.record, required)) {
            continue;
        }
        outdated.insert(shard);
        const millis since = m_outdatedSince.try_emplace(shard, now).first->second;
        const auto delay = writeDelayOf(detail::adapterVersionsPrefix + shard, daemons, m_settings.node);
        if (delay && now - since >= *delay) {
            m_store.writeAdapterVersions(shard, required);
        }
    }
    std::erase_if(m_outdatedSince, [&outdated](const auto &each) {
        return outdated.count(each.first) == 0;
    });
    if (m_unsafe.empty()) {
        const auto timer = std::exchange(m_maintainTimer, nullptr); // kept until the end of this call
    }
}

}
