#pragma once

#include "transport/http_client.h"
#include "transport/http_server.h"
#include "unit/free_port.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead::http_testing {

/// Long enough for a loaded machine. A test fails when it reaches this timeout.
inline constexpr millis testTimeout{20'000};
inline constexpr std::size_t bodyLimit = 100'000;
inline constexpr auto loopback = "127.0.0.1";

/// A plain TCP socket, for tests that send what an HTTP client would not.
class raw_socket
{
public:
    explicit raw_socket(int fd)
        : m_fd(fd)
    {
    }
    ~raw_socket()
    {
        hangUp();
    }
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    static std::unique_ptr<raw_socket> connectTo(std::uint16_t port)
    {
        auto created = std::make_unique<raw_socket>(socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = loopbackAddress(port);
        EXPECT_EQ(connect(created->m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
        return created;
    }
    /// Returns a listening socket on a free port and sets `port` to its number.
    static std::unique_ptr<raw_socket> listening(std::uint16_t &port)
    {
        auto created = std::make_unique<raw_socket>(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        sockaddr_in address = loopbackAddress(0);
        socklen_t length = sizeof(address);
        EXPECT_EQ(bind(created->m_fd, reinterpret_cast<const sockaddr *>(&address), length), 0);
        EXPECT_EQ(listen(created->m_fd, 16), 0);
        EXPECT_EQ(getsockname(created->m_fd, reinterpret_cast<sockaddr *>(&address), &length), 0);
        port = ntohs(address.sin_port);
        return created;
    }

    int fd() const
    {
        return m_fd;
    }
    void send(std::string_view bytes) const
    {
        EXPECT_EQ(::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    /// Appends the bytes received so far to `output`. Returns false once the peer has closed the connection.
    bool receive(std::string &output) const
    {
        std::array<char, 4096> buffer{};
        for (;;) {
            const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count <= 0) {
                return count < 0 && errno == EAGAIN;
            }
            output.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    void hangUp()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
        m_fd = -1;
    }
    /// Closes the connection with a TCP reset instead of an orderly shutdown.
    void reset()
    {
        const linger lingerOption{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &lingerOption, sizeof(lingerOption));
        hangUp();
    }

private:
    int m_fd;
};

/// A client on its own loop and, after listen(), a server on a free loopback port.
class http_fixture : public testing::Test
{
protected:
    loop m_loop;
    http_client m_client{m_loop};
    std::unique_ptr<http_server> m_server;
    std::vector<std::shared_ptr<http_reply>> m_replies;
    std::vector<http_request> m_requests;

    /// Starts a server that stores each request and its reply for the test.
    void listen()
    {
        listen([this](http_request request, std::shared_ptr<http_reply> reply) {
            m_requests.push_back(std::move(request));
            m_replies.push_back(std::move(reply));
        });
    }
    void listen(http_server::handler onRequest)
    {
        error why;
        m_server = http_server::listen(m_loop, loopback, 0, bodyLimit, std::move(onRequest), why);
        ASSERT_TRUE(m_server) << message(why);
        ASSERT_NE(m_server->port(), 0);
    }

    std::string url(const std::string &path) const
    {
        return "http://127.0.0.1:" + std::to_string(m_server->port()) + path;
    }

    /// Runs the loop until the condition holds. Returns false if it doesn't hold within testTimeout.
    bool runUntil(const std::function<bool()> &condition)
    {
        const millis end = bootNow() + testTimeout;
        bool holds = condition();
        const auto check = m_loop.timer({1}, {1}, [&] {
            holds = condition();
            if (holds || bootNow() > end) {
                m_loop.stop();
            }
        });
        if (!holds) {
            m_loop.run();
        }
        return holds;
    }
    /// Runs the loop for this many timer ticks of 1 ms, for checks that nothing happens.
    void runRounds(int rounds)
    {
        int remaining = rounds;
        const auto ticks = m_loop.timer({1}, {1}, [&] {
            if (--remaining == 0) {
                m_loop.stop();
            }
        });
        m_loop.run();
    }

    http_result get(const std::string &target)
    {
        http_call call;
        call.url = target;
        return fetch(call);
    }
    http_result fetch(const http_call &call)
    {
        std::optional<http_result> result;
        m_client.start(call, [&](const http_result &finished) {
            result = finished;
        });
        EXPECT_FALSE(result) << "callback was called inside start()";
        EXPECT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        return result.value_or(http_result{});
    }
};

}
