#pragma once

#include "transport/loop.h"

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace briarhead {

/// How the link between one daemon and one server is cut.
enum class link_cut : std::uint8_t
{
    None,
    Hangs, ///< connections fall silent, new ones are never established
    Resets, ///< connections are reset, new ones are refused
    RefusesNew, ///< connections live on, new ones are refused
};

/// The link between one daemon and one server: forwards TCP connections to a port of the loopback interface.
class cut_link
{
public:
    cut_link(loop &eventLoop, std::uint16_t target);
    ~cut_link();
    cut_link(const cut_link &) = delete;
    cut_link &operator=(const cut_link &) = delete;

    /// The port that the daemon connects to. Stays the same through cuts.
    std::uint16_t port() const;
    /// Connections that fell silent are reset when the cut ends: what they held is lost.
    void setCut(link_cut cut);

private:
    struct pipe
    {
        std::array<int, 2> fds{-1, -1}; ///< towards the daemon and the server
        std::array<std::shared_ptr<void>, 2> watches;
        std::array<std::string, 2> unsent;
        bool open = true;
    };
    using pipe_ptr = std::shared_ptr<pipe>;

    int bindPort();
    void listenOnPort(int backlog);
    void closeListener();
    /// Fills the listen queue, so that the kernel drops the opening packets of further connections.
    void fillListenQueue();
    void accept();
    void watchSide(const pipe_ptr &link, std::size_t side);
    void onEvents(const pipe_ptr &link, std::size_t side, int events);
    void receive(const pipe_ptr &link, std::size_t side);
    void close(const pipe_ptr &link, bool reset);

    loop &m_loop;
    std::uint16_t m_target;
    std::uint16_t m_port = 0;
    link_cut m_cut = link_cut::None;
    int m_reserved = -1; ///< keeps the port from other processes while nothing listens
    int m_listener = -1;
    std::list<int> m_queued; ///< connections that fill the listen queue
    std::shared_ptr<void> m_watch;
    std::list<pipe_ptr> m_pipes;
};

}
