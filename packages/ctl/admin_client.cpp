#include "ctl/admin_client.h"

#include "transport/loop.h"

namespace briarhead {

namespace {

/// Longer than a daemon takes to find out whether a patch was accepted.
constexpr millis callTimeout{20'000};

}

std::optional<http_result> callAdmin(const admin_access &access, const std::string &method,
    const std::string &path, const std::string &body, error &why)
{
    loop eventLoop;
    http_client client(eventLoop);
    http_call call;
    call.method = method;
    call.url = access.url + path;
    call.body = body;
    call.timeout = callTimeout;
    call.headers = {"Authorization: Bearer " + access.operatorKey, "Content-Type: application/json"};
    // A patch on a kept connection that died would be sent again unseen; it is harmless by its id, but the
    // command makes one call only, so no connection is worth keeping.
    call.freshConnection = true;
    std::optional<http_result> answer;
    client.start(call, [&](const http_result &result) {
        answer = result;
        eventLoop.stop();
    });
    eventLoop.run();
    if (answer && answer->complete) {
        return answer;
    }
    const bool sent = answer && answer->sent;
    why = {sent ? error_kind::Timeout : error_kind::ConnectionLost, access.url,
        answer ? answer->why.detail : "no answer"};
    return std::nullopt;
}

}
