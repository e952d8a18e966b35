#pragma once

#include "serving/server_path_task.h"

// Private to the sources of server_path_task: the state of a send, and what several sources use.
namespace briarhead {

/// The HTTP target of relayed requests on the port for peers.
inline const std::string relayTarget = "/relay";
/// The target of questions whether a server is reached, followed by its id.
inline const std::string reachTarget = "/reach?server=";
constexpr int statusReached = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// A reachable server accepts a connection within a few milliseconds. After this time peers are asked whether
/// they reach it, while the attempt goes on.
constexpr millis slowConnect{250};
constexpr millis probeTimeout{350};

inline std::string peerCall(const std::string &method, const std::string &target, const std::string &body,
    const std::string &fields = {})
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: peer\r\n" + fields;
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// A request from start() until its end.
struct server_path_task::active_send
{
    send_id id = 0;
    path_request request;
    send_handlers handlers;
    std::optional<backend_pool::send_id> poolId; ///< of the send in progress on either path
    std::string relay; ///< node of the relaying peer; empty: direct
    std::set<std::string> relaysTried;
    int relayStatus = 0; ///< of the relay's response
    body_framing framing = body_framing::None; ///< of the server's response that is being relayed
    std::string relayBytes; ///< received and not decoded yet
    millis lastByteAt; ///< from the server, or when the send began
    std::shared_ptr<void> slowTimer;
};

}
