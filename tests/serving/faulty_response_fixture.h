#pragma once

#include "transport/backend_pool.h"
#include "unit/http_fixture.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// Which of the two clients reads the response.
enum class client_kind : std::uint8_t
{
    Pool, ///< backend_pool, with Boost.Beast's parser
    Library, ///< http_client, with libcurl
};

inline std::string_view nameOf(client_kind kind)
{
    return kind == client_kind::Pool ? "Pool" : "Library";
}

/// What a client made of a response.
struct seen_response
{
    bool done = false;
    send_result how = send_result::NotSent;
    int status = 0;
    std::string body;
    std::vector<std::string> names; ///< of the head's fields, in lower case
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

/// A server that sends bytes of a test's choice, and both clients.
class faulty_response_fixture : public http_testing::http_fixture
{
protected:
    std::uint16_t m_port = 0;
    std::unique_ptr<http_testing::raw_socket> m_listener = http_testing::raw_socket::listening(m_port);
    std::unique_ptr<http_testing::raw_socket> m_server;
    std::string m_received;
    backend_pool m_pool{m_loop};
    std::shared_ptr<seen_response> m_seen;

    void SetUp() override
    {
        const int bytes = 16'384;
        setsockopt(m_listener->fd(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    void send(client_kind kind, const std::string &body = "")
    {
        m_seen = std::make_shared<seen_response>();
        m_received.clear();
        m_server.reset();
        if (kind == client_kind::Pool) {
            sendByPool(body);
        } else {
            sendByLibrary(body);
        }
    }
    void sendByPool(const std::string &body)
    {
        send_handlers calls;
        calls.onHead = [seen = m_seen](const http_head &head) {
            seen->status = head.status;
            for (const http_field &field : head.fields) {
                seen->names.push_back(lower(field.name));
            }
            return true;
        };
        calls.onBody = [seen = m_seen](const std::string &bytes) {
            seen->body += bytes;
        };
        calls.onEnd = [seen = m_seen](const response_end &end, const error &) {
            seen->done = true;
            seen->how = resultOf(end);
        };
        m_pool.start({http_testing::loopback, m_port},
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body,
            false, std::move(calls));
    }
    void sendByLibrary(const std::string &body)
    {
        http_call call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(m_port) + "/";
        call.body = body;
        call.freshConnection = true;
        m_client.start(call, [seen = m_seen](const http_result &result) {
            seen->done = true;
            seen->how = resultOf(result.end);
            seen->status = result.status;
            seen->body = result.body;
            for (const auto &[name, value] : result.headers) {
                seen->names.push_back(name);
            }
        });
    }
    /// Waits for the request's head; the rest of the request is not read.
    void acceptRequest()
    {
        ASSERT_TRUE(runUntil([&] {
            const int fd = m_server ? -1 : accept4(m_listener->fd(), nullptr, nullptr, SOCK_NONBLOCK);
            m_server = fd < 0 ? std::move(m_server) : std::make_unique<http_testing::raw_socket>(fd);
            char block[256];
            const ssize_t count = m_server ? recv(m_server->fd(), block, sizeof(block), 0) : -1;
            m_received.append(block, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            return m_received.find("\r\n\r\n") != std::string::npos;
        }));
    }
    void awaitEnd()
    {
        ASSERT_TRUE(runUntil([&] {
            return m_seen->done;
        }));
    }
};

/// The head of a response in chunks, and what follows it.
inline std::string chunked(const std::string &rest)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
}

}
