#pragma once

#include "state/error.h"
#include "transport/http_client.h"

#include <optional>
#include <string>

namespace briarhead {

/// Where the operator's command finds a daemon, and with which key.
struct admin_access
{
    std::string url;
    std::string operatorKey;
};

/// One call to a daemon's admin pages, waited for. Nothing with `why` when no whole answer came; an answer of
/// whatever status otherwise.
std::optional<http_result> callAdmin(const admin_access &access, const std::string &method,
    const std::string &path, const std::string &body, error &why);

}
