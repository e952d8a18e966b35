#pragma once

// A small blocking HTTP/1.1 for the stand-ins, independent of the project's own parser and transport.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds of the real, steady clock.
inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

/// A request or a response.
struct message
{
    std::string start; ///< its first line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return "";
    }
    bool has(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return true;
            }
        }
        return false;
    }
    int status() const
    {
        const std::size_t space = start.find(' ');
        return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
    }
    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }
    std::string target() const
    {
        const std::size_t first = start.find(' ');
        const std::size_t second = start.find(' ', first + 1);
        return first == std::string::npos ? "" : start.substr(first + 1, second - first - 1);
    }
};

/// How reading a message ended.
enum class read_end
{
    Whole, ///< its length or its last chunk has arrived
    Closed, ///< the connection was closed in order before that
    Reset, ///< or failed otherwise
    Late, ///< the time was over
};

inline const char *nameOf(read_end value)
{
    switch (value) {
    case read_end::Whole:
        return "whole";
    case read_end::Closed:
        return "closed";
    case read_end::Reset:
        return "reset";
    default:
        return "late";
    }
}

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A TCP connection with what was received on it and not used yet.
class connection
{
public:
    explicit connection(int fd = -1)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection()
    {
        close();
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Connects to an address; false if that fails.
    bool open(const std::string &ip, std::uint16_t port)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(ip, port);
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return ::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }
    /// Closes with a reset.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    int fd() const
    {
        return m_fd;
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Whether the other end has closed or reset the connection, or sent something.
    bool hasEvent(int timeoutMs) const
    {
        pollfd entry{m_fd, POLLIN, 0};
        return poll(&entry, 1, timeoutMs) > 0;
    }
    /// Reads a message. A response without length and chunks ends with its connection: read_end::Closed.
    read_end read(message &out, std::int64_t untilMs)
    {
        std::size_t headEnd = m_input.find("\r\n\r\n");
        while (headEnd == std::string::npos) {
            if (const read_end end = receive(untilMs); end != read_end::Whole) {
                return end;
            }
            headEnd = m_input.find("\r\n\r\n");
        }
        parseHead(out, m_input.substr(0, headEnd));
        m_input.erase(0, headEnd + 4);
        const bool isRequest = out.start.rfind("HTTP/", 0) != 0;
        if (strcasecmp(out.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(out, untilMs);
        }
        if (out.has("Content-Length") || isRequest) {
            return readLength(out, std::strtoull(out.field("Content-Length").c_str(), nullptr, 10), untilMs);
        }
        for (;;) {
            out.body += std::exchange(m_input, {});
            if (const read_end end = receive(untilMs); end != read_end::Whole) {
                return end;
            }
        }
    }

private:
    read_end receive(std::int64_t untilMs)
    {
        pollfd entry{m_fd, POLLIN, 0};
        const std::int64_t left = untilMs - nowMs();
        if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return read_end::Late;
        }
        char buffer[65536];
        const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
        if (count > 0) {
            m_input.append(buffer, static_cast<std::size_t>(count));
            return read_end::Whole;
        }
        return count == 0 ? read_end::Closed : read_end::Reset;
    }
    read_end readLength(message &out, std::size_t length, std::int64_t untilMs)
    {
        for (;;) {
            const std::size_t used = std::min(m_input.size(), length - out.body.size());
            out.body.append(m_input, 0, used);
            m_input.erase(0, used);
            if (out.body.size() == length) {
                return read_end::Whole;
            }
            if (const read_end end = receive(untilMs); end != read_end::Whole) {
                return end;
            }
        }
    }
    read_end readChunks(message &out, std::int64_t untilMs)
    {
        for (;;) {
            const std::size_t line = m_input.find("\r\n");
            const std::size_t size =
                line == std::string::npos ? 0 : std::strtoull(m_input.c_str(), nullptr, 16);
            if (line != std::string::npos && m_input.size() >= line + 2 + size + 2) {
                out.body.append(m_input, line + 2, size);
                m_input.erase(0, line + 2 + size + 2);
                if (size == 0) {
                    return read_end::Whole;
                }
                continue;
            }
            if (const read_end end = receive(untilMs); end != read_end::Whole) {
                return end;
            }
        }
    }
    static void parseHead(message &out, const std::string &text)
    {
        out = {};
        std::size_t at = text.find("\r\n");
        out.start = text.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t next = text.find("\r\n", at + 2);
            const std::string line =
                text.substr(at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ') {
                    ++value;
                }
                out.fields.emplace_back(line.substr(0, colon), line.substr(value));
            }
            at = next;
        }
    }

    int m_fd = -1;
    std::string m_input;
};

/// Listens on an IP address; port 0 selects a free one, which is stored there.
inline int listenOn(const std::string &ip, std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(fd, 512) != 0) {
        throw std::runtime_error("cannot listen on " + ip + ": " + std::strerror(errno));
    }
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

}
