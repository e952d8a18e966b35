#pragma once

#include "serving/fleet_port.h"
#include "serving/store_task.h"
#include "transport/loop.h"

#include <string>

namespace briarhead {

/// Sends a message to another daemon by its node name. The message is dropped if the store knows no such
/// daemon.
inline void sendToNode(
    fleet_port &port, const store_task &store, const std::string &self, const std::string &node, auto message)
{
    if (const daemon_record *peer = findPeer(store.view(), node)) {
        port.send({peer->ip, peer->port}, {self, store.incarnation(), std::move(message)});
    }
}

/// The same, but the recipient may be this daemon: `handle` is then called with the message from the event
/// loop, never before this function returns.
void deliverToNode(loop &eventLoop, fleet_port &port, const store_task &store, const std::string &self,
    const std::string &node, const auto &message, auto handle)
{
    if (node != self) {
        sendToNode(port, store, self, node, message);
        return;
    }
    eventLoop.post([handle, message] {
        handle(message);
    });
}

}
