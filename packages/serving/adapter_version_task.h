#pragma once

#include "scheduling/newest_versions.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"
#include "transport/bus.h"
#include "transport/loop.h"

#include <map>
#include <memory>
#include <string>

namespace briarhead {

/// Records newest versions of adapters in the store as long as a late write may take them out of the
/// operator's items, so that daemons that start know them even if all others have ended.
class adapter_version_task
{
public:
    adapter_version_task(loop &eventLoop, bus &messages, store_task &store, const node_settings &settings);

private:
    void onViewChanged(const view_changed &change);
    void maintainRecords();

    loop &m_loop;
    store_task &m_store;
    node_settings m_settings;
    unsafe_versions m_unsafe;
    std::map<std::string, millis> m_outdatedSince; ///< by shard
    std::shared_ptr<void> m_maintainTimer;
};

}
