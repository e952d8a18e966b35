#include "serving/fault_proxy.h"

#include "unit/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <vector>

namespace briarhead {

namespace {

constexpr int eventRead = 1;
constexpr int openBacklog = 64;
/// More than a listen queue of length 0 holds.
constexpr int connectionsToFillQueue = 4;
constexpr millis delay{250};
/// A socket that takes no more is tried again after this long.
constexpr millis flushAgain{5};

int connectTo(std::uint16_t port, bool &failed)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = http_testing::loopbackAddress(port);
    const int connected = connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    failed = connected != 0 && errno != EINPROGRESS;
    return fd;
}

}

/// One connection: the caller's side and the target's.
struct fault_proxy::pipe
{
    std::array<int, 2> fds{-1, -1}; ///< caller, target
    std::array<std::shared_ptr<void>, 2> watches;
    std::array<std::string, 2> unsent; ///< towards the caller, the target
    std::vector<std::shared_ptr<void>> timers;
    bool lostBytes = false;
    bool open = true;
};

fault_proxy::fault_proxy(loop &eventLoop, std::uint16_t target)
    : m_loop(eventLoop)
    , m_target(target)
{
    m_reserved = bindPort();
    listenOnPort(openBacklog);
}

fault_proxy::~fault_proxy()
{
    const auto pipes = m_pipes;
    for (const auto &one : pipes) {
        close(one, false);
    }
    closeListener();
    ::close(m_reserved);
}

/// Returns a socket bound to the port, or to a free one if there is none yet. Several sockets may have it.
int fault_proxy::bindPort()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
    sockaddr_in address = http_testing::loopbackAddress(m_port);
    socklen_t length = sizeof(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), length) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        throw std::runtime_error("a proxy can't bind a port of the loopback interface");
    }
    m_port = ntohs(address.sin_port);
    return fd;
}

void fault_proxy::listenOnPort(int backlog)
{
    closeListener();
    m_listener = bindPort();
    if (listen(m_listener, backlog) != 0) {
        throw std::runtime_error("a proxy can't listen on the loopback interface");
    }
    if (backlog == 0) {
        fillListenQueue();
        return;
    }
    m_watch = m_loop.watch(m_listener, eventRead, [this](int) {
        accept();
    });
}

void fault_proxy::closeListener()
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

void fault_proxy::fillListenQueue()
{
    for (int i = 0; i < connectionsToFillQueue; ++i) {
        bool failed = false;
        m_queued.push_back(connectTo(m_port, failed));
    }
}

std::uint16_t fault_proxy::port() const
{
    return m_port;
}

void fault_proxy::setFault(link_fault fault)
{
    m_fault = fault;
    const auto pipes = m_pipes;
    for (const auto &one : pipes) {
        if (fault == link_fault::Reset || fault == link_fault::Refused || one->lostBytes) {
            close(one, true);
        }
    }
    switch (fault) {
    case link_fault::Hangs:
    case link_fault::HangsNew:
        listenOnPort(0);
        return;
    case link_fault::Refused:
    case link_fault::RefusesNew:
        closeListener();
        return;
    default:
        if (!m_watch) {
            listenOnPort(openBacklog);
        }
    }
}

void fault_proxy::accept()
{
    const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    const auto one = std::make_shared<pipe>();
    bool failed = false;
    one->fds = {fd, connectTo(m_target, failed)};
    m_pipes.push_back(one);
    if (m_fault == link_fault::Reset || failed) {
        close(one, true);
        return;
    }
    for (const bool fromCaller : {true, false}) {
        one->watches[fromCaller ? 0 : 1] = m_loop.watch(one->fds[fromCaller ? 0 : 1], eventRead,
            [this, weak = std::weak_ptr<pipe>(one), fromCaller](int) {
                if (const auto same = weak.lock()) {
                    pump(same, fromCaller);
                }
            });
    }
}

void fault_proxy::pump(const std::shared_ptr<pipe> &one, bool fromCaller)
{
    std::array<char, 16 * 1024> buffer{};
    const ssize_t got = recv(one->fds[fromCaller ? 0 : 1], buffer.data(), buffer.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
        return;
    }
    if (got <= 0) {
        close(one, got < 0);
        return;
    }
    if (m_fault == link_fault::Silent || m_fault == link_fault::Hangs
        || (m_fault == link_fault::NoAnswers && !fromCaller)) {
        one->lostBytes = true;
        return;
    }
    const auto pass = [this, one, fromCaller,
                          bytes = std::string(buffer.data(), static_cast<std::size_t>(got))] {
        one->unsent[fromCaller ? 1 : 0] += bytes;
        flush(one, fromCaller);
    };
    if (m_fault == link_fault::Delayed) {
        one->timers.push_back(m_loop.timer(delay, {}, pass));
    } else {
        pass();
    }
}

void fault_proxy::flush(const std::shared_ptr<pipe> &one, bool toTarget)
{
    std::string &bytes = one->unsent[toTarget ? 1 : 0];
    if (!one->open || bytes.empty()) {
        return;
    }
    const ssize_t sent = send(one->fds[toTarget ? 1 : 0], bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) {
        close(one, true);
        return;
    }
    bytes.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (!bytes.empty()) {
        one->timers.push_back(m_loop.timer(flushAgain, {}, [this, weak = std::weak_ptr<pipe>(one), toTarget] {
            if (const auto same = weak.lock()) {
                flush(same, toTarget);
            }
        }));
    }
}

/// The caller holds the connection, which leaves the list here.
void fault_proxy::close(const std::shared_ptr<pipe> &one, bool reset)
{
    if (!one->open) {
        return;
    }
    one->open = false;
    one->watches = {};
    for (const int fd : one->fds) {
        const linger hard{1, 0};
        if (reset) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        }
        ::close(fd);
    }
    m_pipes.remove(one);
    one->timers.clear();
}

}
