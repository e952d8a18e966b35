#include "serving/fleet_port.h"

#include "protocol/codec.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace briarhead {

namespace {

constexpr std::size_t maxDatagramBytes = 32 * 1024;
/// Datagrams read per iteration of the event loop, so that a flood can't starve the callers' sockets.
constexpr int maxDatagramsPerTurn = 64;
constexpr int eventReadable = 1;

}

fleet_port::fleet_port(owned_fd fd, handler onDatagram)
    : m_fd(std::move(fd))
    , m_handler(std::move(onDatagram))
{
}

std::unique_ptr<fleet_port> fleet_port::open(
    loop &eventLoop, const peer_address &bind, handler onDatagram, error &why)
{
    why = {error_kind::BadSettings, "peer address " + bind.ip + ':' + std::to_string(bind.port), ""};
    auto address = toSocketAddress(bind);
    if (!address) {
        why.detail = "it is not an IP address";
        return nullptr;
    }
    owned_fd fd(socket(address->storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd || ::bind(fd.get(), address->raw(), address->size) != 0) {
        why.detail = std::string("cannot bind a UDP socket: ") + std::strerror(errno);
        return nullptr;
    }
    std::unique_ptr<fleet_port> port(new fleet_port(std::move(fd), std::move(onDatagram)));
    port->m_watch = eventLoop.watch(port->m_fd.get(), eventReadable, [raw = port.get()](int) {
        raw->readAll();
    });
    return port;
}

void fleet_port::send(const peer_address &to, const fleet_datagram &datagram)
{
    auto address = toSocketAddress(to);
    if (!address) {
        return;
    }
    const std::string bytes = encode(datagram);
    ++m_counters.sent;
    m_counters.sentBytes += bytes.size();
    // A datagram that the socket doesn't accept counts as lost, like any other lost datagram.
    (void)sendto(m_fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, address->raw(), address->size);
}

void fleet_port::readAll()
{
    static std::array<char, maxDatagramBytes> buffer;
    for (int i = 0; i < maxDatagramsPerTurn; ++i) {
        socket_address sender;
        const ssize_t size =
            recvfrom(m_fd.get(), buffer.data(), buffer.size(), 0, sender.raw(), &sender.size);
        if (size < 0) {
            return;
        }
        error why;
        const auto datagram = decodeFleetDatagram({buffer.data(), static_cast<std::size_t>(size)}, why);
        if (!datagram) {
            ++m_counters.undecodable;
            m_lastDecodeError = why;
            continue;
        }
        ++m_counters.received;
        m_handler(*datagram, toPeerAddress(sender));
    }
}

const error &fleet_port::lastDecodeError() const
{
    return m_lastDecodeError;
}

const fleet_counters &fleet_port::counters() const
{
    return m_counters;
}

}
