#pragma once

#include "transport/loop.h"
#include "transport/peer_socket.h"
#include "unit/http_fixture.h"

#include <map>
#include <memory>
#include <string>

namespace briarhead {

/// A server that answers each request with `begin`, then with `repeated` again and again until the other end
/// closes the connection.
class endless_server
{
public:
    endless_server(loop &eventLoop, std::string begin, const std::string &repeated)
        : m_loop(eventLoop)
        , m_begin(std::move(begin))
        , m_listener(http_testing::raw_socket::listening(port))
    {
        while (m_block.size() < blockBytes) {
            m_block += repeated;
        }
        m_watch = m_loop.watch(m_listener->fd(), readable, [this](int) {
            accept();
        });
    }

    std::uint16_t port = 0;
    std::size_t begun = 0; ///< answers
    std::size_t closed = 0; ///< by the other end
    std::size_t sentBytes = 0;

private:
    static constexpr int readable = 1;
    static constexpr int writable = 2;
    static constexpr std::size_t blockBytes = 64 * 1024;

    struct connection
    {
        owned_fd fd;
        std::string input;
        std::string output;
        bool answering = false;
        std::shared_ptr<void> watch;
    };

    void accept()
    {
        const int fd = accept4(m_listener->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        auto &created = m_connections[fd];
        created = std::make_shared<connection>();
        created->fd = owned_fd(fd);
        watch(*created);
    }
    void watch(connection &each)
    {
        const int fd = each.fd.get();
        each.watch = m_loop.watch(fd, readable | (each.answering ? writable : 0), [this, fd](int) {
            onEvents(m_connections.at(fd));
        });
    }
    void onEvents(const std::shared_ptr<connection> &each)
    {
        char bytes[4096];
        const ssize_t received = recv(each->fd.get(), bytes, sizeof(bytes), 0);
        if (received == 0 || (received < 0 && errno != EAGAIN)) {
            close(each);
            return;
        }
        each->input.append(bytes, received > 0 ? static_cast<std::size_t>(received) : 0);
        if (!each->answering && each->input.find("\r\n\r\n") != std::string::npos) {
            each->answering = true;
            each->output = m_begin;
            ++begun;
            watch(*each);
        }
        while (each->answering) {
            each->output += each->output.empty() ? m_block : "";
            const ssize_t sent = send(each->fd.get(), each->output.data(), each->output.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN) {
                close(each);
            }
            if (sent < 0) {
                return;
            }
            sentBytes += static_cast<std::size_t>(sent);
            each->output.erase(0, static_cast<std::size_t>(sent));
            if (!each->output.empty()) {
                return; // the rest when the socket is writable
            }
        }
    }
    void close(const std::shared_ptr<connection> &each)
    {
        closed += each->answering ? 1 : 0;
        m_connections.erase(each->fd.get());
    }

    loop &m_loop;
    std::string m_begin;
    std::string m_block;
    std::unique_ptr<http_testing::raw_socket> m_listener;
    std::shared_ptr<void> m_watch;
    std::map<int, std::shared_ptr<connection>> m_connections; ///< by descriptor
};

}
