#pragma once

#include "coordination/quota_task.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"
#include "transport/bus.h"

#include <memory>

namespace briarhead {

/// The ways of a quota_task on the users' platform: datagrams, records in the platform's store under the
/// daemon's lease, and the limits of the configuration in force. `self` gets what this daemon sends to
/// itself.
quota_links quotaLinks(loop &eventLoop, store_task &store, const std::unique_ptr<fleet_port> &port,
    const node_settings &settings, decision_log &log, const std::unique_ptr<quota_task> &self);
/// Lets the task follow the store's records, daemons and configuration.
void subscribeToStore(bus &messages, const store_task &store, quota_task &quota);

}
