#include "soak/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <vector>

namespace briarhead::soak {

namespace {

constexpr int eventRead = 1;
constexpr int backlog = 64;
constexpr millis delay{250};
/// A socket that takes no more is tried again after this long.
constexpr millis flushAgain{5};

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
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
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopbackAddress(0);
    socklen_t length = sizeof(address);
    const bool listens = bind(m_listener, reinterpret_cast<const sockaddr *>(&address), length) == 0
        && listen(m_listener, backlog) == 0
        && getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    if (!listens) {
        throw std::runtime_error("a proxy can't listen on the loopback");
    }
    m_port = ntohs(address.sin_port);
    m_watch = m_loop.watch(m_listener, eventRead, [this](int) {
        accept();
    });
}

fault_proxy::~fault_proxy()
{
    const auto pipes = m_pipes;
    for (const auto &one : pipes) {
        close(one, false);
    }
    ::close(m_listener);
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
        if (fault == link_fault::Reset || one->lostBytes) {
            close(one, true);
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
    one->fds = {fd, socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    m_pipes.push_back(one);
    const sockaddr_in address = loopbackAddress(m_target);
    const int connected = connect(one->fds[1], reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (m_fault == link_fault::Reset || (connected != 0 && errno != EINPROGRESS)) {
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
    if (m_fault == link_fault::Silent || (m_fault == link_fault::NoAnswers && !fromCaller)) {
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
