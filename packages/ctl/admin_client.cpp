#include "ctl/admin_client.h"

#include "transport/loop.h"

namespace briarhead {

namespace {

/// Longer than a daemon takes to determine whether a patch was accepted.
constexpr millis requestTimeout{20'000};

}

std::optional<http_result> callAdmin(const admin_endpoint &endpoint, const std::string &method,
    const std::string &path, const std::string &body, error &why)
{
    loop eventLoop;
    http_client client(eventLoop);
    http_call call;
    call.method = method;
    call.url = endpoint.url + path;
    call.body = body;
    call.timeout = requestTimeout;
    call.headers = {"Authorization: Bearer " + endpoint.operatorKey, "Content-Type: application/json"};
    // On a reused connection that the peer has closed, the client would silently send a patch again. That is
    // harmless, since a patch is idempotent by its id, but a command that makes a single call gains nothing
    // from reusing connections.
    call.freshConnection = true;
    std::optional<http_result> response;
    client.start(call, [&](const http_result &result) {
        response = result;
        eventLoop.stop();
    });
    eventLoop.run();
    if (response && response->complete) {
        return response;
    }
    const bool sent = response && response->sent;
    why = {sent ? error_kind::Timeout : error_kind::ConnectionLost, endpoint.url,
        response ? response->why.detail : "no response"};
    return std::nullopt;
}

}
