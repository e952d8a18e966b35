#pragma once

#include "coordination/crash_task.h"
#include "scheduling/backend_server.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"

#include <memory>

namespace briarhead {

/// Connects a crash_task to the platform: datagrams to other daemons, and crash records in the store.
/// `checkProcess`: see crash_callbacks.
crash_callbacks crashLinks(store_task &store, const std::unique_ptr<fleet_port> &port,
    const node_settings &settings, decision_log &log,
    std::function<void(const crash_target &, std::function<void(connect_result)>)> checkProcess = {});
/// Notifies the task of crashed servers and changed crash records.
void subscribeToStore(bus &messages, const store_task &store, crash_task &crashes);

crash_target targetOf(const backend_server &server);

}
