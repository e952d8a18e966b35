#pragma once

#include "serving/backend_server.h"
#include "serving/serving_config.h"
#include "state/error.h"

#include <functional>
#include <optional>
#include <string>

namespace briarhead {

/// A version that an adapter has from now on.
struct adapter_version
{
    std::string model;
    std::string adapter;
    std::int64_t version = 0;
};

/// The keys that others write in the store, and how their values are read. Filled by the platform's adapter.
struct record_codec
{
    std::string configKey;
    std::string serverPrefix; ///< followed by a server's id
    std::string versionPrefix;
    std::function<std::optional<serving_config>(const std::string &, error &)> readConfig;
    std::function<std::optional<backend_server>(const std::string &id, const std::string &, error &)>
        readServer;
    std::function<std::optional<adapter_version>(const std::string &, error &)> readVersion;
    /// A configuration's text with hashes in place of its keys, which readConfig reads alike: what daemons
    /// keep and pass on.
    std::function<std::string(const std::string &)> hashAccountKeys;
};

}
