#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace briarhead::http_testing {

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a port that is currently free for both TCP and UDP on loopback. It lies below the kernel's range
/// of ephemeral ports. Otherwise, an outgoing connection could take the port before the process under test
/// listens on it, and that process would fail with "Address already in use".
inline std::uint16_t freePort()
{
    constexpr std::uint32_t firstPort = 10'000;
    constexpr std::uint32_t portCount = 20'000;
    // Distance between the first ports of processes with consecutive ids.
    constexpr std::uint32_t portStride = 37;
    static std::uint32_t nextIndex = static_cast<std::uint32_t>(getpid()) * portStride;
    for (int attempt = 0; attempt < 1'000; ++attempt) {
        const auto port = static_cast<std::uint16_t>(firstPort + nextIndex++ % portCount);
        sockaddr_in address = loopbackAddress(port);
        const int tcpSocket = socket(AF_INET, SOCK_STREAM, 0);
        const int udpSocket = socket(AF_INET, SOCK_DGRAM, 0);
        const bool free = bind(tcpSocket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
            && bind(udpSocket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(tcpSocket);
        close(udpSocket);
        if (free) {
            return port;
        }
    }
    throw std::runtime_error("no free loopback port found in 1000 attempts");
}

}
