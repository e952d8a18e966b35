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

/// What the platform's adapter puts in.
struct edge_dependencies
{
    metadata_store *store = nullptr;
    record_codec records;
    request_codec requests;
    /// Reads the settings again; nothing with a reason where they are unusable.
    std::function<std::optional<node_settings>(error &)> reloadSettings;
    /// Lines for the metrics page about calls to the store.
    std::function<std::string()> storeMetrics;
};

/// The daemon of every entry machine: takes requests, gives the orders of some model servers, and keeps in
/// touch with the other daemons and the store.
class edge_daemon
{
public:
    static std::unique_ptr<edge_daemon> start(loop &eventLoop, const node_settings &settings,
        const edge_dependencies &dependencies, decision_log &log, error &why);
    virtual ~edge_daemon() = default;
    /// Runs until it has been told to end and has ended; the exit code.
    virtual int run() = 0;
};

}
