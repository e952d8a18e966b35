#include "transport/peer_link.h"

#include "protocol/codec.h"
#include "protocol/seal.h"
#include "transport/peer_connection.h"
#include "transport/peer_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace briarhead {

namespace {

constexpr int readableEvent = 1;
constexpr std::size_t maxQueuedBytes = 32 * 1024 * 1024; ///< per peer
constexpr std::size_t datagramBufferBytes =
    2048; ///< peers send far smaller ones; a longer one is truncated and dropped
constexpr int maxDatagramsPerEvent = 64;
constexpr std::size_t maxHandshakes = 256; ///< concurrent, on accepted connections

using connection_ptr = std::shared_ptr<peer_connection>;

/// Connections and queued messages for one peer. If both sides dial at the same time, both connections are
/// kept, and each side sends on the one that became ready first on that side. A side never switches to
/// another connection while the first is open, so its messages arrive in order.
struct peer_channel
{
    std::vector<connection_ptr> ready; ///< messages are sent on the first
    connection_ptr dialling;
    std::deque<queued_message> unsentMessages; ///< messages queued until a connection is ready
    std::size_t unsentBytes = 0;
    bool closeScheduled = false; ///< no messages are accepted until onBroken has been called
};

class peer_link_impl : public peer_link
{
public:
    peer_link_impl(loop &eventLoop, peer_identity self, peer_port port, handlers calls);
    ~peer_link_impl() override;
    peer_link_impl(const peer_link_impl &) = delete;
    peer_link_impl &operator=(const peer_link_impl &) = delete;

    std::uint16_t port() const override;
    void sendDatagram(const peer_address &to, const peer_datagram &datagram) override;
    bool send(const std::string &name, const peer_address &to, const peer_message &message) override;
    std::size_t queuedBytes(const std::string &name) const override;
    void close(const std::string &name) override;
    void closeOlderIncarnations(const std::string &name, std::uint64_t incarnation) override;
    const peer_counters &counters() const override;

private:
    void readDatagrams();
    void handleDatagram(std::string_view bytes, const socket_address &from);
    void acceptConnections();
    void pauseAccepting();
    void watchListener();
    bool dial(peer_channel &channel, const std::string &name, const peer_address &to);
    connection_ptr makeConnection(owned_fd fd, const std::string &expectedName);

    void onReady(const connection_ptr &ready);
    void onEnded(const connection_ptr &endedConnection);
    bool isSupersededBy(const peer_channel &channel, const peer_connection &newer) const;
    void closeConnections(const std::string &name);
    void scheduleClose(const std::string &name);
    void notifyBroken(const std::string &name, const std::vector<queued_message> &unsent);
    void removeIfUnused(const std::string &name);

    loop &m_loop;
    peer_identity m_identity;
    peer_port m_port;
    handlers m_handlers;
    std::map<std::string, peer_channel> m_peers;
    std::set<connection_ptr> m_handshaking; ///< accepted connections that are not ready yet
    std::shared_ptr<void> m_udpWatch;
    std::shared_ptr<void> m_listenWatch;
    std::shared_ptr<void> m_acceptTimer;
    std::shared_ptr<peer_link_impl *> m_alive; ///< expires with this object; checked by posted calls
};

peer_link_impl::peer_link_impl(loop &eventLoop, peer_identity self, peer_port port, handlers calls)
    : m_loop(eventLoop)
    , m_identity(std::move(self))
    , m_port(std::move(port))
    , m_handlers(std::move(calls))
    , m_alive(std::make_shared<peer_link_impl *>(this))
{
    m_udpWatch = m_loop.watch(m_port.udp.get(), readableEvent, [this](int) {
        readDatagrams();
    });
    watchListener();
}

peer_link_impl::~peer_link_impl()
{
    for (const connection_ptr &connection : m_handshaking) {
        connection->close();
    }
    for (const auto &[name, channel] : m_peers) {
        for (const connection_ptr &connection : channel.ready) {
            connection->close();
        }
        if (channel.dialling) {
            channel.dialling->close();
        }
    }
}

std::uint16_t peer_link_impl::port() const
{
    return m_port.port;
}

const peer_counters &peer_link_impl::counters() const
{
    return m_identity.counters;
}

void peer_link_impl::sendDatagram(const peer_address &to, const peer_datagram &datagram)
{
    const auto address = toSocketAddress(to);
    if (!address) {
        return;
    }
    const std::string bytes = sealDatagram(m_identity.keys, encode(datagram));
    // A datagram that cannot be sent now is dropped; the datagram protocol tolerates losses.
    if (sendto(m_port.udp.get(), bytes.data(), bytes.size(), 0, address->raw(), address->size) >= 0) {
        ++m_identity.counters.datagramsOut;
        m_identity.counters.datagramBytesOut += bytes.size();
    }
}

void peer_link_impl::readDatagrams()
{
    std::array<char, datagramBufferBytes> buffer;
    for (int i = 0; i < maxDatagramsPerEvent; ++i) {
        socket_address from;
        const ssize_t count =
            recvfrom(m_port.udp.get(), buffer.data(), buffer.size(), 0, from.raw(), &from.size);
        if (count < 0) {
            return;
        }
        handleDatagram({buffer.data(), static_cast<std::size_t>(count)}, from);
    }
}

void peer_link_impl::handleDatagram(std::string_view bytes, const socket_address &from)
{
    ++m_identity.counters.datagramsIn;
    m_identity.counters.datagramBytesIn += bytes.size();
    error why;
    const auto opened = openDatagram(m_identity.keys, bytes);
    const auto datagram = opened ? decodePeerDatagram(*opened, why) : std::nullopt;
    if (!datagram) {
        ++m_identity.counters.dropped;
        return;
    }
    if (m_handlers.onDatagram) {
        m_handlers.onDatagram(toPeerAddress(from), *datagram);
    }
}

void peer_link_impl::watchListener()
{
    m_listenWatch = m_loop.watch(m_port.listener.get(), readableEvent, [this](int) {
        acceptConnections();
    });
}

void peer_link_impl::acceptConnections()
{
    for (int i = 0; i < maxAcceptsPerEvent; ++i) {
        owned_fd fd(accept4(m_port.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) {
            if (lacksResources(errno)) {
                pauseAccepting();
            }
            return;
        }
        if (m_handshaking.size() >= maxHandshakes) {
            // Otherwise, clients that connect and send nothing could use up all descriptors. Each handshake
            // has a timeout, so peers can connect again within a second.
            ++m_identity.counters.dropped;
            continue;
        }
        tuneConnection(fd.get());
        const connection_ptr accepted = makeConnection(std::move(fd), {});
        m_handshaking.insert(accepted);
        accepted->start();
    }
}

void peer_link_impl::pauseAccepting()
{
    m_listenWatch.reset();
    m_acceptTimer = m_loop.timer(acceptPause, {}, [this] {
        watchListener();
    });
}

connection_ptr peer_link_impl::makeConnection(owned_fd fd, const std::string &expectedName)
{
    peer_connection::handlers calls;
    calls.onReady = [this](const connection_ptr &ready) {
        onReady(ready);
    };
    calls.onMessage = [this](const connection_ptr &from, peer_message message) {
        if (m_handlers.onMessage) {
            m_handlers.onMessage(from->peer().instance, from->peer().incarnation, std::move(message));
        }
    };
    calls.onEnded = [this](const connection_ptr &endedConnection) {
        onEnded(endedConnection);
    };
    return std::make_shared<peer_connection>(
        m_loop, m_identity, std::move(fd), expectedName, std::move(calls));
}

bool peer_link_impl::send(const std::string &name, const peer_address &to, const peer_message &message)
{
    queued_message queued{encode(message), isControl(message)};
    const std::size_t size = queued.bytes.size() + frameHeaderBytes;
    peer_channel &channel = m_peers[name];
    if (channel.closeScheduled || queued.bytes.size() > maxFrameBytes || name == m_identity.name) {
        return false;
    }
    if (queuedBytes(name) + size > maxQueuedBytes) {
        // The peer has stopped reading. Queuing more would exhaust memory, and the queued messages are too
        // old to be useful. Their senders are notified through onUnsent and onBroken.
        scheduleClose(name);
        return false;
    }
    if (!channel.ready.empty()) {
        channel.ready.front()->send(queued);
        return true;
    }
    if (!channel.dialling && !dial(channel, name, to)) {
        return false;
    }
    channel.unsentBytes += size;
    channel.unsentMessages.push_back(std::move(queued));
    return true;
}

bool peer_link_impl::dial(peer_channel &channel, const std::string &name, const peer_address &to)
{
    error why;
    auto fd = startConnect(to, why);
    if (!fd) {
        return false;
    }
    channel.dialling = makeConnection(std::move(*fd), name);
    channel.dialling->start();
    return true;
}

std::size_t peer_link_impl::queuedBytes(const std::string &name) const
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        return 0;
    }
    const peer_channel &channel = found->second;
    return channel.unsentBytes + (channel.ready.empty() ? 0 : channel.ready.front()->queuedBytes());
}

void peer_link_impl::close(const std::string &name)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end() && (!found->second.ready.empty() || !found->second.unsentMessages.empty())) {
        scheduleClose(name);
    }
}

void peer_link_impl::closeOlderIncarnations(const std::string &name, std::uint64_t incarnation)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end() && !found->second.ready.empty()
        && found->second.ready.front()->peer().incarnation < incarnation) {
        scheduleClose(name);
    }
}

bool peer_link_impl::isSupersededBy(const peer_channel &channel, const peer_connection &newer) const
{
    // A restarted peer connects while the connections to its previous incarnation still look alive here. A
    // peer whose connections were lost unnoticed by this side does the same: it dials only when it has no
    // connection, so a second connection dialled by it means that the first one is dead. Messages sent on
    // the old connections may be lost.
    return std::any_of(channel.ready.begin(), channel.ready.end(), [&newer](const connection_ptr &older) {
        const bool restarted = older->peer().incarnation < newer.peer().incarnation;
        return restarted || (!newer.dialled() && !older->dialled());
    });
}

void peer_link_impl::onReady(const connection_ptr &ready)
{
    const std::string name = ready->peer().instance;
    peer_channel &channel = m_peers[name];
    m_handshaking.erase(ready);
    if (channel.dialling == ready) {
        channel.dialling.reset();
    }
    const bool hasNewerIncarnation =
        std::any_of(channel.ready.begin(), channel.ready.end(), [&](const auto &other) {
            return other->peer().incarnation > ready->peer().incarnation;
        });
    if (hasNewerIncarnation) {
        // A previous incarnation that was paused and resumed; a newer one is already connected.
        ready->close();
        return;
    }
    if (isSupersededBy(channel, *ready)) {
        closeConnections(name);
        if (!ready->ready()) {
            return;
        }
    }
    channel.ready.push_back(ready);
    for (const queued_message &message : std::exchange(channel.unsentMessages, {})) {
        channel.ready.front()->send(message);
    }
    channel.unsentBytes = 0;
}

void peer_link_impl::onEnded(const connection_ptr &endedConnection)
{
    if (m_handshaking.erase(endedConnection) != 0) {
        return;
    }
    for (auto &[name, channel] : m_peers) {
        const bool wasReady =
            std::find(channel.ready.begin(), channel.ready.end(), endedConnection) != channel.ready.end();
        const bool wasDialled = channel.dialling == endedConnection;
        if (wasDialled) {
            channel.dialling.reset();
        }
        if (wasReady || (wasDialled && !channel.unsentMessages.empty())) {
            closeConnections(std::string(name));
        }
        if (wasReady || wasDialled) {
            return;
        }
    }
}

void peer_link_impl::closeConnections(const std::string &name)
{
    // With two connections, the response to a request sent on the broken one may be expected on the other.
    // Closing both lets the peer detect the loss too, so that neither side waits for messages that will
    // never arrive.
    peer_channel &channel = m_peers[name];
    std::vector<queued_message> unsent;
    for (const connection_ptr &connection : std::exchange(channel.ready, {})) {
        connection->close();
        const auto rest = connection->takeUnsent();
        unsent.insert(unsent.end(), rest.begin(), rest.end());
    }
    unsent.insert(unsent.end(), channel.unsentMessages.begin(), channel.unsentMessages.end());
    channel.unsentMessages.clear();
    channel.unsentBytes = 0;
    notifyBroken(name, unsent);
}

void peer_link_impl::scheduleClose(const std::string &name)
{
    // Deferred because callers of send() and close() must not be called back before these return. Until then
    // no messages are accepted for the peer, because onBroken would be taken as the loss of those as well.
    if (std::exchange(m_peers[name].closeScheduled, true)) {
        return;
    }
    m_loop.post([weak = std::weak_ptr(m_alive), name] {
        if (const auto alive = weak.lock()) {
            (*alive)->m_peers[name].closeScheduled = false;
            (*alive)->closeConnections(name);
            (*alive)->removeIfUnused(name);
        }
    });
}

void peer_link_impl::notifyBroken(const std::string &name, const std::vector<queued_message> &unsent)
{
    for (const queued_message &queued : unsent) {
        error why;
        const auto message = m_handlers.onUnsent ? decodePeerMessage(queued.bytes, why) : std::nullopt;
        if (message) {
            m_handlers.onUnsent(name, *message);
        }
    }
    if (m_handlers.onBroken) {
        m_handlers.onBroken(name);
    }
}

void peer_link_impl::removeIfUnused(const std::string &name)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end() && found->second.ready.empty() && !found->second.dialling) {
        m_peers.erase(found);
    }
}

}

std::unique_ptr<peer_link> peer_link::open(loop &eventLoop, const std::string &self,
    std::uint64_t incarnation, const peer_address &bind, const std::string &hexKey, handlers calls,
    error &why)
{
    if (self.empty() || self.size() > maxNameBytes) {
        why = {error_kind::BadSettings, "instance", "the instance name is empty or too long"};
        return nullptr;
    }
    const auto keys = parseSealKeys(hexKey, why);
    if (!keys) {
        return nullptr;
    }
    auto port = bindPeerPort(bind, why);
    if (!port) {
        return nullptr;
    }
    return std::make_unique<peer_link_impl>(
        eventLoop, peer_identity{self, incarnation, *keys, {}}, std::move(*port), std::move(calls));
}

}
