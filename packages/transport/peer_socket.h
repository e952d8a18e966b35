#pragma once

#include "state/error.h"
#include "transport/peer_link.h"

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace briarhead {

/// A file descriptor that is closed with its owner.
class owned_fd
{
public:
    explicit owned_fd(int fd = -1);
    ~owned_fd();
    owned_fd(owned_fd &&other) noexcept;
    owned_fd &operator=(owned_fd &&other) noexcept;

    int get() const;
    explicit operator bool() const;

private:
    int m_fd;
};

/// A socket address as the system calls take it.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);

    sockaddr *raw();
    const sockaddr *raw() const;
};

/// From an IP number, version 4 or 6; nothing for any other text.
std::optional<socket_address> toSocketAddress(const peer_address &address);
peer_address toPeerAddress(const socket_address &address);

/// The two sockets of a daemon's own port.
struct peer_port
{
    owned_fd udp;
    owned_fd listener;
    std::uint16_t port = 0;
};

/// Binds UDP and TCP on one port number; port 0 takes one that is free for both.
std::optional<peer_port> bindPeerPort(const peer_address &bind, error &why);

/// A connection on its way; it is up once the socket is writable without an error.
std::optional<owned_fd> startConnect(const peer_address &to, error &why);
/// Sets what each connection between daemons needs, on either side.
void tuneConnection(int fd);
/// The error that ended a connection attempt, or 0.
int pendingError(int fd);

}
