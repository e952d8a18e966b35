#pragma once

#include "state/error.h"
#include "transport/peer_link.h"

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace briarhead {

/// Owns a file descriptor and closes it on destruction.
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

/// A socket address in the form that system calls use.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);

    sockaddr *raw();
    const sockaddr *raw() const;
};

/// Parses an IPv4 or IPv6 address; nullopt for any other text, including host names.
std::optional<socket_address> toSocketAddress(const peer_address &address);
peer_address toPeerAddress(const socket_address &address);

/// The two sockets of a daemon's peer port.
struct peer_port
{
    owned_fd udp;
    owned_fd listener;
    std::uint16_t port = 0;
};

/// Binds UDP and TCP to the same port number; port 0 selects one that is free for both. Returns nullopt and
/// sets `why` on failure.
std::optional<peer_port> bindPeerPort(const peer_address &bind, error &why);

/// Starts a non-blocking connect. The connection is established once the socket is writable and
/// pendingError() returns 0. Returns nullopt and sets `why` on failure.
std::optional<owned_fd> startConnect(const peer_address &to, error &why);
/// Sets the TCP options for connections between daemons, on both sides.
void tuneConnection(int fd);
/// Limit on the connections that are accepted in one round of the loop, so that open ones are served in
/// between.
constexpr int maxAcceptsPerEvent = 64;
/// Whether accept() failed for lack of descriptors or memory. The connection then stays in the listen queue
/// and keeps the listener readable, so the loop would spin if it watched the listener: pause for acceptPause.
bool lacksResources(int acceptError);
constexpr millis acceptPause{100};
/// The error that ended a connection attempt, or 0.
int pendingError(int fd);
/// Whether closing the socket, also by the end of the process, resets the connection.
void setResetOnClose(int fd, bool resets);
/// Sent bytes that the peer has not acknowledged yet, an orderly close included; 0 if the system can't tell.
std::size_t unacknowledgedBytes(int fd);
/// Limit on the time for which the peer acknowledges nothing, or keeps its receive window closed.
void setUnackedTimeout(int fd, millis timeout);
/// Resets the connection and leaves the descriptor open. Bytes that were not sent yet are discarded.
void resetConnection(int fd);

}
