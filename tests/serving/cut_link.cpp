#include "serving/cut_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

namespace briarhead {

namespace {

constexpr int eventRead = 1;
constexpr int eventWrite = 2;
constexpr int openBacklog = 64;
/// More than a listen queue of length 0 holds.
constexpr int connectionsToFillQueue = 4;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int connectTo(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    (void)connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    return fd;
}

}

cut_link::cut_link(loop &eventLoop, std::uint16_t target)
    : m_loop(eventLoop)
    , m_target(target)
{
    m_reserved = bindPort();
    listenOnPort(openBacklog);
}

cut_link::~cut_link()
{
    closeListener();
    ::close(m_reserved);
    const auto pipes = m_pipes;
    for (const pipe_ptr &link : pipes) {
        close(link, false);
    }
}

std::uint16_t cut_link::port() const
{
    return m_port;
}

/// Returns a socket bound to the port, or to a free one if there is none yet. Several sockets may have it.
int cut_link::bindPort()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
    sockaddr_in address = loopbackAddress(m_port);
    socklen_t length = sizeof(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), length) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        throw std::runtime_error("a link can't bind a port of the loopback interface");
    }
    m_port = ntohs(address.sin_port);
    return fd;
}

void cut_link::listenOnPort(int backlog)
{
    closeListener();
    m_listener = bindPort();
    if (listen(m_listener, backlog) != 0) {
        throw std::runtime_error("a link can't listen on the loopback interface");
    }
    if (backlog > 0) {
        m_watch = m_loop.watch(m_listener, eventRead, [this](int) {
            accept();
        });
    } else {
        fillListenQueue();
    }
}

void cut_link::closeListener()
{
    m_watch.reset();
    for (const int fd : m_queued) {
        ::close(fd);
    }
    m_queued.clear();
    if (m_listener >= 0) {
        ::close(m_listener);
    }
    m_listener = -1;
}

void cut_link::fillListenQueue()
{
    for (int i = 0; i < connectionsToFillQueue; ++i) {
        m_queued.push_back(connectTo(m_port));
    }
}

void cut_link::setCut(link_cut cut)
{
    const bool wasSilent = m_cut == link_cut::Hangs;
    m_cut = cut;
    if (cut == link_cut::Resets || wasSilent) {
        const auto pipes = m_pipes;
        for (const pipe_ptr &link : pipes) {
            close(link, true);
        }
    }
    switch (cut) {
    case link_cut::None:
        listenOnPort(openBacklog);
        return;
    case link_cut::Hangs:
        listenOnPort(0);
        return;
    case link_cut::Resets:
    case link_cut::RefusesNew:
        closeListener();
        return;
    }
}

void cut_link::accept()
{
    const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    const auto link = std::make_shared<pipe>();
    link->fds = {fd, connectTo(m_target)};
    m_pipes.push_back(link);
    watchSide(link, 0);
    watchSide(link, 1);
}

void cut_link::watchSide(const pipe_ptr &link, std::size_t side)
{
    const int events = eventRead | (link->unsent[side].empty() ? 0 : eventWrite);
    link->watches[side] =
        m_loop.watch(link->fds[side], events, [this, weak = std::weak_ptr<pipe>(link), side](int happened) {
            if (const auto locked = weak.lock()) {
                onEvents(locked, side, happened);
            }
        });
}

void cut_link::onEvents(const pipe_ptr &link, std::size_t side, int events)
{
    if (m_cut == link_cut::Hangs) {
        link->watches = {}; // until the cut ends, which resets the connection
        return;
    }
    if ((events & eventWrite) != 0) {
        std::string &bytes = link->unsent[side];
        const ssize_t sent = send(link->fds[side], bytes.data(), bytes.size(), MSG_NOSIGNAL);
        bytes.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    }
    if ((events & eventRead) != 0) {
        receive(link, side);
    }
    if (link->open) {
        watchSide(link, 0);
        watchSide(link, 1);
    }
}

void cut_link::receive(const pipe_ptr &link, std::size_t side)
{
    std::array<char, 16 * 1024> buffer{};
    const ssize_t count = recv(link->fds[side], buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) {
        return;
    }
    if (count <= 0) {
        close(link, count < 0);
        return;
    }
    link->unsent[1 - side].append(buffer.data(), static_cast<std::size_t>(count));
}

void cut_link::close(const pipe_ptr &link, bool reset)
{
    if (!link->open) {
        return;
    }
    link->open = false;
    link->watches = {};
    for (std::size_t side = 0; side < link->fds.size(); ++side) {
        if (reset) {
            const linger resetOnClose{1, 0};
            setsockopt(link->fds[side], SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
        } else {
            const std::string &rest = link->unsent[side];
            (void)send(link->fds[side], rest.data(), rest.size(), MSG_NOSIGNAL);
        }
        ::close(link->fds[side]);
    }
    m_pipes.remove(link);
}

}
