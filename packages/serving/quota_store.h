#pragma once

#include "coordination/quota_task.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"
#include "transport/bus.h"

#include <functional>
#include <memory>
#include <string>

namespace briarhead {

/// Connects a quota_task to the platform: datagrams to other daemons, records in the store under this
/// daemon's lease, and the limits of the current configuration. `self` receives what this daemon sends to
/// itself. `understandsFeatures`: whether a daemon understands the datagrams of load_messages.h.
quota_callbacks quotaLinks(loop &eventLoop, store_task &store, const std::unique_ptr<fleet_port> &port,
    const node_settings &settings, decision_log &log, const std::unique_ptr<quota_task> &self,
    std::function<bool(const std::string &node)> understandsFeatures);
/// Notifies the task of changes to the store's records, daemons and configuration.
void subscribeToStore(bus &messages, const store_task &store, quota_task &quota);

}
