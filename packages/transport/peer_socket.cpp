#include "transport/peer_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace briarhead {

namespace {

constexpr int listenBacklog = 512;
constexpr int udpReceiveBufferBytes = 1024 * 1024;
constexpr int maxFreePortAttempts = 64;

// A connection ends when sent bytes stay unacknowledged for this long. Without the option, the kernel would
// retry for about 15 minutes, and buffered orders could arrive long after they were sent.
// It also decides when keep-alive probes give up, whatever their count: at the second unanswered one.
constexpr unsigned tcpUserTimeoutMs = 5'000;
// An idle link costs about two bytes per second. Membership detects a dead peer long before keep-alive does.
constexpr int keepAliveIdleSeconds = 60;
constexpr int keepAliveIntervalSeconds = 5;

std::string errnoText(const char *call)
{
    return std::string(call) + ": " + std::strerror(errno);
}

template <class option_type>
void setOption(int fd, int level, int name, option_type value)
{
    // The result is ignored: a connection also works without the option.
    (void)setsockopt(fd, level, name, &value, sizeof(value));
}

std::optional<owned_fd> makeBoundSocket(const socket_address &address, int type, error &why)
{
    owned_fd fd(socket(address.storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd) {
        why.detail = errnoText("socket");
        return std::nullopt;
    }
    if (type == SOCK_STREAM) {
        setOption(fd.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    }
    if (bind(fd.get(), address.raw(), address.size) != 0) {
        why.detail = errnoText("bind");
        return std::nullopt;
    }
    return fd;
}

std::uint16_t boundPort(int fd)
{
    socket_address address;
    if (getsockname(fd, address.raw(), &address.size) != 0) {
        return 0;
    }
    return toPeerAddress(address).port;
}

std::optional<peer_port> bindUdpAndTcp(const peer_address &bind, error &why)
{
    const auto address = toSocketAddress(bind);
    if (!address) {
        why.detail = "not an IP address";
        return std::nullopt;
    }
    auto listener = makeBoundSocket(*address, SOCK_STREAM, why);
    if (!listener) {
        return std::nullopt;
    }
    const std::uint16_t port = boundPort(listener->get());
    auto udp = makeBoundSocket(*toSocketAddress({bind.ip, port}), SOCK_DGRAM, why);
    if (!udp) {
        return std::nullopt;
    }
    if (listen(listener->get(), listenBacklog) != 0) {
        why.detail = errnoText("listen");
        return std::nullopt;
    }
    setOption(udp->get(), SOL_SOCKET, SO_RCVBUF, udpReceiveBufferBytes);
    return peer_port{std::move(*udp), std::move(*listener), port};
}

}

owned_fd::owned_fd(int fd)
    : m_fd(fd)
{
}

owned_fd::~owned_fd()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

owned_fd::owned_fd(owned_fd &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
{
}

owned_fd &owned_fd::operator=(owned_fd &&other) noexcept
{
    std::swap(m_fd, other.m_fd);
    return *this;
}

int owned_fd::get() const
{
    return m_fd;
}

owned_fd::operator bool() const
{
    return m_fd >= 0;
}

sockaddr *socket_address::raw()
{
    return reinterpret_cast<sockaddr *>(&storage);
}

const sockaddr *socket_address::raw() const
{
    return reinterpret_cast<const sockaddr *>(&storage);
}

std::optional<socket_address> toSocketAddress(const peer_address &address)
{
    socket_address result;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        result.size = sizeof(*v4);
        return result;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        result.size = sizeof(*v6);
        return result;
    }
    return std::nullopt;
}

peer_address toPeerAddress(const socket_address &address)
{
    char text[INET6_ADDRSTRLEN] = {};
    if (address.storage.ss_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(&address.storage);
        inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
        return {text, ntohs(v4->sin_port)};
    }
    const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&address.storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
    return {text, ntohs(v6->sin6_port)};
}

std::optional<peer_port> bindPeerPort(const peer_address &bind, error &why)
{
    why = {error_kind::BadSettings, "peer address " + bind.ip + ':' + std::to_string(bind.port), {}};
    // The free port that TCP was assigned may be in use for UDP; then another one is tried.
    const int attempts = bind.port == 0 ? maxFreePortAttempts : 1;
    for (int i = 0; i < attempts; ++i) {
        if (auto port = bindUdpAndTcp(bind, why)) {
            return port;
        }
    }
    return std::nullopt;
}

std::optional<owned_fd> startConnect(const peer_address &to, error &why)
{
    why = {error_kind::ConnectionLost, "peer " + to.ip + ':' + std::to_string(to.port), {}};
    const auto address = toSocketAddress(to);
    if (!address) {
        why.detail = "not an IP address";
        return std::nullopt;
    }
    owned_fd fd(socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd) {
        why.detail = errnoText("socket");
        return std::nullopt;
    }
    tuneConnection(fd.get());
    if (connect(fd.get(), address->raw(), address->size) != 0 && errno != EINPROGRESS) {
        why.detail = errnoText("connect");
        return std::nullopt;
    }
    return fd;
}

void tuneConnection(int fd)
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMs);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
}

bool lacksResources(int acceptError)
{
    return acceptError == EMFILE || acceptError == ENFILE || acceptError == ENOBUFS || acceptError == ENOMEM;
}

int pendingError(int fd)
{
    int code = 0;
    socklen_t size = sizeof(code);
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size) != 0) {
        return errno;
    }
    return code;
}

void setResetOnClose(int fd, bool resets)
{
    setOption(fd, SOL_SOCKET, SO_LINGER, linger{resets ? 1 : 0, 0});
}

std::size_t unacknowledgedBytes(int fd)
{
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void setUnackedTimeout(int fd, millis timeout)
{
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(timeout.count));
}

void resetConnection(int fd)
{
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    (void)connect(fd, &unspecified, sizeof(unspecified));
}

}
