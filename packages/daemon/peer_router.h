#pragma once

#include "coordination/events.h"
#include "transport/bus.h"
#include "transport/peer_link.h"

#include <map>
#include <string>

namespace briarhead {

/// The task that connects the bus to the peer link: it sends the body of each send_to message to the named
/// daemon, and posts each message from a peer as received<message>.
class peer_router
{
public:
    peer_router(bus &messages, std::string self, std::uint64_t incarnation);

    /// The handlers for opening the link. The link is opened later than this task and set by attach().
    peer_link::handlers handlers(std::function<void(const peer_address &, const peer_datagram &)> onDatagram);
    void attach(peer_link &link);

private:
    void deliver(const std::string &from, std::uint64_t incarnation, peer_message message);

    bus &m_bus;
    std::string m_self;
    std::uint64_t m_incarnation;
    peer_link *m_link = nullptr;
    std::map<std::string, member> m_members;
};

}
