#include "daemon/peer_router.h"

#include <variant>

namespace briarhead {

peer_router::peer_router(bus &messages, std::string self, std::uint64_t incarnation)
    : m_bus(messages)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
    m_bus.on<members_changed>([this](const members_changed &event) {
        std::map<std::string, member> current;
        for (const member &peer : event.members) {
            current[peer.name] = peer;
        }
        // A peer that died or was replaced no longer responds. Tasks that wait for it are notified at once,
        // not only at a timeout.
        for (const auto &[name, previous] : m_members) {
            const auto found = current.find(name);
            if (previous.state == peer_state::Dead || name == m_self) {
                continue;
            }
            const bool dead = found == current.end() || found->second.state == peer_state::Dead;
            const bool replaced =
                !dead && previous.incarnation != 0 && found->second.incarnation != previous.incarnation;
            if (dead) {
                m_link->close(name);
            } else if (replaced) {
                // The new process may be connected already; only requests to the old one are lost.
                m_link->closeOlderIncarnations(name, found->second.incarnation);
            }
            if (dead || replaced) {
                m_bus.post(peer_unreachable{name});
            }
        }
        m_members = std::move(current);
    });
    m_bus.on<send_to>([this](const send_to &message) {
        if (message.to == m_self) {
            deliver(m_self, m_incarnation, message.body);
            return;
        }
        const auto found = m_members.find(message.to);
        if (found == m_members.end() || !m_link->send(message.to, found->second.address, message.body)) {
            m_bus.post(peer_unreachable{message.to});
        }
    });
}

peer_link::handlers peer_router::handlers(
    std::function<void(const peer_address &, const peer_datagram &)> onDatagram)
{
    peer_link::handlers callbacks;
    callbacks.onMessage = [this](const std::string &from, std::uint64_t incarnation, peer_message message) {
        deliver(from, incarnation, std::move(message));
    };
    callbacks.onDatagram = std::move(onDatagram);
    // A request that was never sent to its owner certainly did not run, so it may be retried elsewhere even
    // if it is not idempotent, or is reported as not run. Without this, the outcome of each request to an
    // owner that has just died would be unknown.
    callbacks.onUnsent = [this](const std::string &name, const peer_message &message) {
        if (const auto *request = std::get_if<run_request>(&message)) {
            const run_end end{
                request->id, outcome::NotRun, error_kind::ConnectionLost, name + " was not reached"};
            m_bus.post(received<run_end>{name, 0, end});
        }
    };
    callbacks.onBroken = [this](const std::string &name) {
        m_bus.post(peer_unreachable{name});
    };
    return callbacks;
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
