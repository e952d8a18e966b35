#pragma once

#include "transport/loop.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace briarhead {

/// What a fault_proxy does to the connections through it.
enum class link_fault : std::uint8_t
{
    None,
    Delayed, ///< bytes arrive late, both ways
    Silent, ///< bytes vanish, both ways; new connections are taken and stay silent
    NoAnswers, ///< what goes to the target arrives, what it answers vanishes
    Reset, ///< connections are reset, and so is each new one
    // Nothing is reached behind the link, as where it is cut:
    Hangs, ///< bytes vanish, both ways; new connections are never established
    Refused, ///< connections are reset, new ones are refused
    RefusesNew, ///< connections live on, new ones are refused
    HangsNew, ///< connections live on, new ones are never established
};

/// Passes TCP connections on to a port of the loopback, and harms them on demand. Bytes that were held up by
/// silence are lost: the connection that had them is reset when the fault ends.
class fault_proxy
{
public:
    fault_proxy(loop &eventLoop, std::uint16_t target);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    std::uint16_t port() const;
    void setFault(link_fault fault);

private:
    struct pipe;
    int bindPort();
    void listenOnPort(int backlog);
    void closeListener();
    /// Fills the listen queue, so that the kernel drops the opening packets of further connections.
    void fillListenQueue();
    void accept();
    void pump(const std::shared_ptr<pipe> &one, bool fromCaller);
    void flush(const std::shared_ptr<pipe> &one, bool toTarget);
    void close(const std::shared_ptr<pipe> &one, bool reset);

    loop &m_loop;
    int m_reserved = -1; ///< keeps the port from other processes while nothing listens
    int m_listener = -1;
    std::vector<int> m_queued; ///< connections that fill the listen queue
    std::uint16_t m_port = 0;
    std::uint16_t m_target;
    link_fault m_fault = link_fault::None;
    std::shared_ptr<void> m_watch;
    std::list<std::shared_ptr<pipe>> m_pipes;
};

}
