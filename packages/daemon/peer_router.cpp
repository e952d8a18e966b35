#include "daemon/peer_router.h"

#include <variant>

namespace briarhead {

peer_router::peer_router(bus &messages, std::string self, std::uint64_t incarnation)
    : m_bus(messages)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
    m_bus.on<members_changed>([this](const members_changed &news) {
        std::map<std::string, member> now;
        for (const member &one : news.members) {
            now[one.name] = one;
        }
        // A peer that died or was replaced does not answer any more: whoever waits for it hears so at once
        // instead of at a timeout.
        for (const auto &[name, before] : m_members) {
            const auto found = now.find(name);
            if (before.state == peer_state::Dead || name == m_self) {
                continue;
            }
            const bool gone = found == now.end() || found->second.state == peer_state::Dead;
            const bool replaced =
                !gone && before.incarnation != 0 && found->second.incarnation != before.incarnation;
            if (gone) {
                m_link->close(name);
            } else if (replaced) {
                // The new process may be linked already; only the old one's requests are lost.
                m_link->closeOlderIncarnations(name, found->second.incarnation);
            }
            if (gone || replaced) {
                m_bus.post(peer_unreachable{name});
            }
        }
        m_members = std::move(now);
    });
    m_bus.on<send_to>([this](const send_to &news) {
        if (news.to == m_self) {
            deliver(m_self, m_incarnation, news.body);
            return;
        }
        const auto found = m_members.find(news.to);
        if (found == m_members.end() || !m_link->send(news.to, found->second.address, news.body)) {
            m_bus.post(peer_unreachable{news.to});
        }
    });
}

peer_link::handlers peer_router::handlers(
    std::function<void(const peer_address &, const peer_datagram &)> onDatagram)
{
    peer_link::handlers calls;
    calls.onMessage = [this](const std::string &from, std::uint64_t incarnation, peer_message message) {
        deliver(from, incarnation, std::move(message));
    };
    calls.onDatagram = std::move(onDatagram);
    // A request that never left for its owner certainly did not run there: its caller is told so, or it is
    // sent elsewhere, whatever its kind. Without this each request to an owner that has just died would be
    // unknown.
    calls.onUnsent = [this](const std::string &name, const peer_message &message) {
        if (const auto *request = std::get_if<run_request>(&message)) {
            const run_end end{
                request->id, outcome::NotRun, error_kind::ConnectionLost, name + " was not reached"};
            m_bus.post(received<run_end>{name, 0, end});
        }
    };
    calls.onBroken = [this](const std::string &name) {
        m_bus.post(peer_unreachable{name});
    };
    return calls;
}

void peer_router::attach(peer_link &link)
{
    m_link = &link;
}

void peer_router::deliver(const std::string &from, std::uint64_t incarnation, peer_message message)
{
    std::visit(
        [&](auto &body) {
            using body_type = std::decay_t<decltype(body)>;
            m_bus.post(received<body_type>{from, incarnation, std::move(body)});
        },
        message);
}

}
