#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace briarhead::http_testing {

/// A port that is free now, for both TCP and UDP on loopback. It lies below the range that the kernel gives
/// to outgoing connections: one of those may else take it before the process that it is for listens there,
/// which then ends with "Address already in use".
inline std::uint16_t freePort()
{
    constexpr std::uint32_t firstPort = 10'000;
    constexpr std::uint32_t portCount = 20'000;
    constexpr std::uint32_t portStride = 37; // processes with neighbouring ids begin this far apart
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * portStride;
    for (int tries = 0; tries < 1'000; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int tcp = socket(AF_INET, SOCK_STREAM, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM, 0);
        const bool free = bind(tcp, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0
            && bind(udp, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0;
        close(tcp);
        close(udp);
        if (free) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

}
