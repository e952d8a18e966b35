#pragma once

#include "protocol/fleet_messages.h"
#include "state/error.h"
#include "transport/loop.h"
#include "transport/peer_socket.h"

#include <functional>
#include <memory>
#include <string>

namespace briarhead {

/// Datagram counts of a fleet_port.
struct fleet_counters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t undecodable = 0; ///< received, but not decodable
};

/// Sends and receives datagrams between daemons. Datagrams may be lost, so a sender that needs a response has
/// to repeat its request.
class fleet_port
{
public:
    using handler = std::function<void(const fleet_datagram &datagram, const peer_address &from)>;

    /// Binds the socket. Returns null and sets `why` if the address is invalid or in use.
    static std::unique_ptr<fleet_port> open(
        loop &eventLoop, const peer_address &bind, handler onDatagram, error &why);
    void send(const peer_address &to, const fleet_datagram &datagram);
    const fleet_counters &counters() const;
    /// Why the latest undecodable datagram could not be decoded.
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
