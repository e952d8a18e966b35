#pragma once

#include "scheduling/backend_server.h"
#include "scheduling/serving_config.h"
#include "state/error.h"

#include <functional>
#include <optional>
#include <string>

namespace briarhead {

/// The declaration of an adapter's new version.
struct adapter_version
{
    std::string model;
    std::string adapter;
    std::int64_t version = 0;
};

/// The store keys that the platform's other writers use, and how their values are read. Provided by the
/// platform adapter.
struct record_codec
{
    std::string configKey;
    std::string serverPrefix; ///< followed by a server's id
    std::string versionPrefix;
    std::function<std::optional<serving_config>(const std::string &, error &)> readConfig;
    std::function<std::optional<backend_server>(const std::string &id, const std::string &, error &)>
        readServer;
    std::function<std::optional<adapter_version>(const std::string &, error &)> readVersion;
    /// The configuration's text with hashes in place of the API keys. Daemons keep and send only this form;
    /// readConfig reads both.
    std::function<std::string(const std::string &)> hashAccountKeys;
};

}
