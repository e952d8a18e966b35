#pragma once

#include "coordination/crash_task.h"
#include "serving/backend_server.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"

#include <memory>

namespace briarhead {

/// The ways of a crash_task on the users' platform: datagrams, the platform's store and its list of servers.
crash_links crashLinks(store_task &store, const std::unique_ptr<fleet_port> &port,
    const node_settings &settings, decision_log &log);
/// Lets the task follow what the store tells.
void subscribeToStore(bus &messages, const store_task &store, crash_task &crashes);

crash_target targetOf(const backend_server &server);
/// Whether the server is on the platform's list and hasn't said that it leaves: what ends otherwise ends as
/// planned, with what it still ran.

}
