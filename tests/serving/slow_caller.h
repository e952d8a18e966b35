#pragma once

#include "state/clock.h"
#include "transport/http_wire.h"
#include "unit/http_fixture.h"

#include <netinet/tcp.h>

#include <charconv>

namespace briarhead {

/// How a caller reads its response.
struct reading_pace
{
    int segmentBytes = 1'448; ///< small, since segments of the loopback make the kernel take megabytes
    int windowBytes = 16'384;
    millis pause; ///< without reading, once the first bytes have arrived
};

/// A caller that reads slowly, with the segments and the receive buffer of an Ethernet path.
class slow_caller
{
public:
    slow_caller(std::uint16_t port, const std::string &request, reading_pace pace)
        : m_pace(pace)
        , m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(m_socket.fd(), IPPROTO_TCP, TCP_MAXSEG, &pace.segmentBytes, sizeof(pace.segmentBytes));
        setsockopt(m_socket.fd(), SOL_SOCKET, SO_RCVBUF, &pace.windowBytes, sizeof(pace.windowBytes));
        const sockaddr_in address = http_testing::loopbackAddress(port);
        EXPECT_EQ(connect(m_socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
        m_socket.send(request);
    }

    /// Reads what has arrived, unless the caller pauses. Returns whether the response has ended.
    bool read()
    {
        if (m_ended || bootNow() < m_pausedUntil) {
            return m_ended;
        }
        std::array<char, 8192> block{};
        for (;;) {
            const ssize_t count = recv(m_socket.fd(), block.data(), block.size(), MSG_DONTWAIT);
            if (count < 0 && errno == EAGAIN) {
                break;
            }
            if (count <= 0) {
                m_ended = true;
                m_wasReset = count < 0;
                break;
            }
            m_text.append(block.data(), static_cast<std::size_t>(count));
            if (m_pausedUntil.count == 0) {
                m_pausedUntil = bootNow() + m_pace.pause;
                return false;
            }
            if (isFramedAsComplete()) {
                m_ended = true;
                break;
            }
        }
        return m_ended;
    }
    /// The body without its framing, if the response was complete; else what happened.
    std::string body() const
    {
        const std::size_t end = m_text.find("\r\n\r\n");
        if (end == std::string::npos) {
            return "no head";
        }
        const std::string rest = m_text.substr(end + 4);
        if (has("Transfer-Encoding: chunked")) {
            return isFramedAsComplete() ? withoutChunks(rest) : cutText(rest);
        }
        if (has("Content-Length: ")) {
            return isFramedAsComplete() ? rest : cutText(rest);
        }
        return m_ended && !m_wasReset ? rest : cutText(rest);
    }
    int fd() const
    {
        return m_socket.fd();
    }
    const std::string &text() const
    {
        return m_text;
    }

private:
    bool has(const std::string &field) const
    {
        const std::size_t at = m_text.find("\r\n" + field);
        return at != std::string::npos && at < m_text.find("\r\n\r\n");
    }
    std::string cutText(const std::string &rest) const
    {
        return std::string(m_wasReset ? "reset after " : "closed after ") + std::to_string(rest.size())
            + " bytes";
    }
    bool isFramedAsComplete() const
    {
        const std::size_t end = m_text.find("\r\n\r\n");
        if (end == std::string::npos) {
            return false;
        }
        if (has("Transfer-Encoding: chunked")) {
            return m_text.ends_with("\r\n0\r\n\r\n");
        }
        const std::size_t at = m_text.find("\r\nContent-Length: ");
        if (at == std::string::npos || at > end) {
            return false;
        }
        return m_text.size() - end - 4 == std::stoull(m_text.substr(at + 18));
    }
    static std::string withoutChunks(std::string_view rest)
    {
        std::string out;
        for (;;) {
            std::size_t size = 0;
            const auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), size, 16);
            if (size == 0) {
                return out;
            }
            rest.remove_prefix(static_cast<std::size_t>(parsed.ptr - rest.data()) + 2);
            out += rest.substr(0, size);
            rest.remove_prefix(size + 2);
        }
    }

    reading_pace m_pace;
    http_testing::raw_socket m_socket;
    std::string m_text;
    millis m_pausedUntil;
    bool m_ended = false;
    bool m_wasReset = false;
};

/// A body whose bytes show a gap or a repetition.
inline std::string numberedBody(std::size_t size)
{
    std::string out;
    for (std::size_t i = 0; out.size() < size; ++i) {
        out += std::to_string(i) + ' ';
    }
    out.resize(size);
    return out;
}

}
