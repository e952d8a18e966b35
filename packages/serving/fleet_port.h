#pragma once

#include "protocol/fleet_messages.h"
#include "state/error.h"
#include "transport/loop.h"
#include "transport/peer_socket.h"

#include <functional>
#include <memory>
#include <string>

namespace briarhead {

struct fleet_counters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t undecodable = 0; ///< not decodable
};

/// Datagrams between daemons. They may be lost; whoever needs an answer asks again.
class fleet_port
{
public:
    using handler = std::function<void(const fleet_datagram &datagram, const peer_address &from)>;

    static std::unique_ptr<fleet_port> open(
        loop &eventLoop, const peer_address &bind, handler onDatagram, error &why);
    void send(const peer_address &to, const fleet_datagram &datagram);
    const fleet_counters &counters() const;
    /// Why the latest undecodable datagram was one.
    const error &lastDecodeError() const;

private:
    fleet_port(owned_fd fd, handler onDatagram);
    void readAll();

    owned_fd m_fd;
    handler m_handler;
    fleet_counters m_counters;
    error m_lastDecodeError;
    std::shared_ptr<void> m_watch;
};

}
