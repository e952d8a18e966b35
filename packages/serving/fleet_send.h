#pragma once

#include "serving/fleet_port.h"
#include "serving/store_task.h"
#include "transport/loop.h"

#include <string>

namespace briarhead {

/// A message to another daemon by its name. It counts as lost where the store tells of no such daemon.
inline void sendToNode(
    fleet_port &port, const store_task &store, const std::string &self, const std::string &node, auto message)
{
    if (const daemon_record *peer = findPeer(store.view(), node)) {
        port.send({peer->ip, peer->port}, {self, store.incarnation(), std::move(message)});
    }
}

/// The same, where the daemon may be this one: `take` then gets the message, never from inside.
void deliverToNode(loop &eventLoop, fleet_port &port, const store_task &store, const std::string &self,
    const std::string &node, const auto &message, auto take)
{
    if (node != self) {
        sendToNode(port, store, self, node, message);
        return;
    }
    eventLoop.post([take, message] {
        take(message);
    });
}

}
