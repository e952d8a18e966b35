#pragma once

#include "coordination/events.h"
#include "transport/bus.h"
#include "transport/peer_link.h"

#include <map>
#include <string>

namespace briarhead {

/// The task that owns the peer link: carries send_to messages to daemons by name, and brings frames from
/// peers to the task they concern as received<message>.
class peer_router
{
public:
    peer_router(bus &messages, std::string self, std::uint64_t incarnation);

    /// Handlers for the link, which is opened after this task.
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
