#pragma once

#include "state/error.h"
#include "transport/http_client.h"

#include <optional>
#include <string>

namespace briarhead {

/// Address of a daemon's admin API and the key to authenticate with.
struct admin_endpoint
{
    std::string url; ///< scheme, host and port, to which the path is appended
    std::string operatorKey; ///< sent as a bearer token
};

/// Sends one request to a daemon's admin API and blocks until it ends. Returns the response, whatever its
/// status; nullopt if no complete response arrived, with the reason in `why`: Timeout if the request may have
/// reached the daemon, ConnectionLost if it was not sent.
std::optional<http_result> callAdmin(const admin_endpoint &endpoint, const std::string &method,
    const std::string &path, const std::string &body, error &why);

}
