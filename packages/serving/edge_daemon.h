#pragma once

#include "serving/client_request.h"
#include "serving/decision_log.h"
#include "serving/metadata_store.h"
#include "serving/node_settings.h"
#include "serving/store_records.h"
#include "state/error.h"
#include "transport/loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarhead {

/// What the platform adapter supplies to the daemon.
struct edge_dependencies
{
    metadata_store *store = nullptr;
    record_codec records;
    request_codec requests;
    /// Reads the settings file again. Returns nothing and sets the error if the settings are invalid.
    std::function<std::optional<node_settings>(error &)> reloadSettings;
    /// Lines for the metrics page about calls to the store; may be empty.
    std::function<std::string()> storeMetrics;
};

/// The daemon that runs on every entry machine. It serves callers' requests, owns some of the backend
/// servers, and exchanges state with the other daemons and the store.
class edge_daemon
{
public:
    /// Binds all ports. Returns null and sets `why` if one can't be bound.
    static std::unique_ptr<edge_daemon> start(loop &eventLoop, const node_settings &settings,
        const edge_dependencies &dependencies, decision_log &log, error &why);
    virtual ~edge_daemon() = default;
    /// Runs until a signal has requested shutdown and shutdown is complete. Returns the exit code: 0, or 1 if
    /// requests were cut off.
    virtual int run() = 0;
};

}
