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

constexpr int readable = 1;
constexpr std::size_t maxQueuedBytes = 32 * 1024 * 1024; ///< per peer
constexpr std::size_t datagramBufferBytes = 2048; ///< ours are far smaller; a longer one is cut and refused
constexpr int datagramsPerEvent = 64;
constexpr int acceptsPerEvent = 64;
constexpr std::size_t maxHandshakes = 256; ///< inbound, at a time
constexpr millis acceptPause{100};

using connection_ptr = std::shared_ptr<peer_connection>;

/// All that stands between this daemon and one peer. Both sides may dial at once; then both connections
/// are kept, and each side goes on sending on the one that was ready first for it. A side never changes
/// the connection it sends on while that stands, so its messages arrive in order.
struct peer_record
{
    std::vector<connection_ptr> ready; ///< we send on the first
    connection_ptr dialling;
    std::deque<queued_message> waiting; ///< for a connection to be ready
    std::size_t waitingBytes = 0;
    bool breaking = false; ///< onBroken is on its way
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
    void takeDatagram(std::string_view bytes, const socket_address &from);
    void acceptSome();
    void pauseAccepting();
    void watchListener();
    bool dial(peer_record &record, const std::string &name, const peer_address &to);
    connection_ptr connection(owned_fd fd, const std::string &expected);

    void onReady(const connection_ptr &ready);
    void onEnded(const connection_ptr &ended);
    bool supersededBy(const peer_record &record, const peer_connection &newer) const;
    void breakPeer(const std::string &name);
    void breakLater(const std::string &name);
    void reportBroken(const std::string &name, const std::vector<queued_message> &unsent);
    void forgetIdle(const std::string &name);

    loop &m_loop;
    peer_identity m_self;
    peer_port m_port;
    handlers m_calls;
    std::map<std::string, peer_record> m_peers;
    std::set<connection_ptr> m_accepted; ///< not ready yet
    std::shared_ptr<void> m_udpWatch;
    std::shared_ptr<void> m_listenWatch;
    std::shared_ptr<void> m_acceptTimer;
    std::shared_ptr<peer_link_impl *> m_alive; ///< gone with this object, for posted calls
};

peer_link_impl::peer_link_impl(loop &eventLoop, peer_identity self, peer_port port, handlers calls)
    : m_loop(eventLoop)
    , m_self(std::move(self))
    , m_port(std::move(port))
    , m_calls(std::move(calls))
    , m_alive(std::make_shared<peer_link_impl *>(this))
{
    m_udpWatch = m_loop.watch(m_port.udp.get(), readable, [this](int) {
        readDatagrams();
    });
    watchListener();
}

peer_link_impl::~peer_link_impl()
{
    for (const connection_ptr &each : m_accepted) {
        each->close();
    }
    for (const auto &[name, record] : m_peers) {
        for (const connection_ptr &each : record.ready) {
            each->close();
        }
        if (record.dialling) {
            record.dialling->close();
        }
    }
}

std::uint16_t peer_link_impl::port() const
{
    return m_port.port;
}

const peer_counters &peer_link_impl::counters() const
{
    return m_self.counters;
}

void peer_link_impl::sendDatagram(const peer_address &to, const peer_datagram &datagram)
{
    const auto address = toSocketAddress(to);
    if (!address) {
        return;
    }
    const std::string bytes = sealDatagram(m_self.keys, encode(datagram));
    // A datagram that can't be sent now is lost like any other; its protocol expects losses.
    if (sendto(m_port.udp.get(), bytes.data(), bytes.size(), 0, address->raw(), address->size) >= 0) {
        ++m_self.counters.datagramsOut;
        m_self.counters.datagramBytesOut += bytes.size();
    }
}

void peer_link_impl::readDatagrams()
{
    std::array<char, datagramBufferBytes> buffer;
    for (int i = 0; i < datagramsPerEvent; ++i) {
        socket_address from;
        const ssize_t count =
            recvfrom(m_port.udp.get(), buffer.data(), buffer.size(), 0, from.raw(), &from.size);
        if (count < 0) {
            return;
        }
        takeDatagram({buffer.data(), static_cast<std::size_t>(count)}, from);
    }
}

void peer_link_impl::takeDatagram(std::string_view bytes, const socket_address &from)
{
    ++m_self.counters.datagramsIn;
    m_self.counters.datagramBytesIn += bytes.size();
    error why;
    const auto opened = openDatagram(m_self.keys, bytes);
    const auto datagram = opened ? decodePeerDatagram(*opened, why) : std::nullopt;
    if (!datagram) {
        ++m_self.counters.dropped;
        return;
    }
    if (m_calls.onDatagram) {
        m_calls.onDatagram(toPeerAddress(from), *datagram);
    }
}

void peer_link_impl::watchListener()
{
    m_listenWatch = m_loop.watch(m_port.listener.get(), readable, [this](int) {
        acceptSome();
    });
}

void peer_link_impl::acceptSome()
{
    for (int i = 0; i < acceptsPerEvent; ++i) {
        owned_fd fd(accept4(m_port.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                pauseAccepting();
            }
            return;
        }
        if (m_accepted.size() >= maxHandshakes) {
            // Strangers that connect and say nothing would else take all descriptors; each handshake
            // ends by its timer, so that peers get in again within a second.
            ++m_self.counters.dropped;
            continue;
        }
        tuneConnection(fd.get());
        const connection_ptr accepted = connection(std::move(fd), {});
        m_accepted.insert(accepted);
        accepted->start();
    }
}

void peer_link_impl::pauseAccepting()
{
    // Without a free descriptor the waiting connection keeps the listener readable, and the loop would
    // spin on it.
    m_listenWatch.reset();
    m_acceptTimer = m_loop.timer(acceptPause, {}, [this] {
        watchListener();
    });
}

connection_ptr peer_link_impl::connection(owned_fd fd, const std::string &expected)
{
    peer_connection::handlers calls;
    calls.onReady = [this](const connection_ptr &ready) {
        onReady(ready);
    };
    calls.onMessage = [this](const connection_ptr &from, peer_message message) {
        if (m_calls.onMessage) {
            m_calls.onMessage(from->peer().instance, from->peer().incarnation, std::move(message));
        }
    };
    calls.onEnded = [this](const connection_ptr &ended) {
        onEnded(ended);
    };
    return std::make_shared<peer_connection>(m_loop, m_self, std::move(fd), expected, std::move(calls));
}

bool peer_link_impl::send(const std::string &name, const peer_address &to, const peer_message &message)
{
    queued_message queued{encode(message), isControl(message)};
    const std::size_t size = queued.bytes.size() + frameHeaderBytes;
    peer_record &record = m_peers[name];
    if (record.breaking || queued.bytes.size() > maxFrameBytes || name == m_self.name) {
        return false;
    }
    if (queuedBytes(name) + size > maxQueuedBytes) {
        // The peer takes nothing any more. Holding more for it would end in running out of memory, and
        // what is held is too old to be of use; its senders are told by onBroken.
        breakLater(name);
        return false;
    }
    if (!record.ready.empty()) {
        record.ready.front()->send(queued);
        return true;
    }
    if (!record.dialling && !dial(record, name, to)) {
        return false;
    }
    record.waitingBytes += size;
    record.waiting.push_back(std::move(queued));
    return true;
}

bool peer_link_impl::dial(peer_record &record, const std::string &name, const peer_address &to)
{
    error why;
    auto fd = startConnect(to, why);
    if (!fd) {
        return false;
    }
    record.dialling = connection(std::move(*fd), name);
    record.dialling->start();
    return true;
}

std::size_t peer_link_impl::queuedBytes(const std::string &name) const
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        return 0;
    }
    const peer_record &record = found->second;
    return record.waitingBytes + (record.ready.empty() ? 0 : record.ready.front()->queuedBytes());
}

void peer_link_impl::close(const std::string &name)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end() && (!found->second.ready.empty() || !found->second.waiting.empty())) {
        breakLater(name);
    }
}

void peer_link_impl::closeOlderIncarnations(const std::string &name, std::uint64_t incarnation)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end() && !found->second.ready.empty()
        && found->second.ready.front()->peer().incarnation < incarnation) {
        breakLater(name);
    }
}

bool peer_link_impl::supersededBy(const peer_record &record, const peer_connection &newer) const
{
    // A restarted peer connects while the links to its earlier process still look alive here. So does
    // one that lost its links without our noticing: it dials only when it has none, so a second
    // connection that it dialled tells that the first is dead. What was sent on the old ones is lost.
    return std::any_of(record.ready.begin(), record.ready.end(), [&newer](const connection_ptr &older) {
        const bool restarted = older->peer().incarnation < newer.peer().incarnation;
        return restarted || (!newer.dialled() && !older->dialled());
    });
}

void peer_link_impl::onReady(const connection_ptr &ready)
{
    const std::string name = ready->peer().instance;
    peer_record &record = m_peers[name];
    m_accepted.erase(ready);
    if (record.dialling == ready) {
        record.dialling.reset();
    }
    const bool stale = std::any_of(record.ready.begin(), record.ready.end(), [&](const auto &other) {
        return other->peer().incarnation > ready->peer().incarnation;
    });
    if (stale) {
        // An earlier process of this name that was paused and woke up; its successor is already here.
        ready->close();
        return;
    }
    if (supersededBy(record, *ready)) {
        breakPeer(name);
        if (!ready->ready()) {
            return;
        }
    }
    record.ready.push_back(ready);
    for (const queued_message &message : std::exchange(record.waiting, {})) {
        record.ready.front()->send(message);
    }
    record.waitingBytes = 0;
}

void peer_link_impl::onEnded(const connection_ptr &ended)
{
    if (m_accepted.erase(ended) != 0) {
        return;
    }
    for (auto &[name, record] : m_peers) {
        const bool wasReady =
            std::find(record.ready.begin(), record.ready.end(), ended) != record.ready.end();
        const bool wasDialled = record.dialling == ended;
        if (wasDialled) {
            record.dialling.reset();
        }
        if (wasReady || (wasDialled && !record.waiting.empty())) {
            breakPeer(std::string(name));
        }
        if (wasReady || wasDialled) {
            return;
        }
    }
}

void peer_link_impl::breakPeer(const std::string &name)
{
    // With two connections an answer may be due on the one that stands for a request on the one that
    // broke. Ending both has the peer see it too, so that neither side waits for what won't come.
    peer_record &record = m_peers[name];
    std::vector<queued_message> unsent;
    for (const connection_ptr &each : std::exchange(record.ready, {})) {
        each->close();
        const auto rest = each->takeUnsent();
        unsent.insert(unsent.end(), rest.begin(), rest.end());
    }
    unsent.insert(unsent.end(), record.waiting.begin(), record.waiting.end());
    record.waiting.clear();
    record.waitingBytes = 0;
    reportBroken(name, unsent);
}

void peer_link_impl::breakLater(const std::string &name)
{
    // Called from within send() and close(), whose callers must not be called back before they return.
    // Until then nothing is taken for the peer: onBroken would be read as the loss of that as well.
    if (std::exchange(m_peers[name].breaking, true)) {
        return;
    }
    m_loop.post([weak = std::weak_ptr(m_alive), name] {
        if (const auto alive = weak.lock()) {
            (*alive)->m_peers[name].breaking = false;
            (*alive)->breakPeer(name);
            (*alive)->forgetIdle(name);
        }
    });
}

void peer_link_impl::reportBroken(const std::string &name, const std::vector<queued_message> &unsent)
{
    for (const queued_message &each : unsent) {
        error why;
        const auto message = m_calls.onUnsent ? decodePeerMessage(each.bytes, why) : std::nullopt;
        if (message) {
            m_calls.onUnsent(name, *message);
        }
    }
    if (m_calls.onBroken) {
        m_calls.onBroken(name);
    }
}

void peer_link_impl::forgetIdle(const std::string &name)
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
        why = {error_kind::BadSettings, "instance", "the name is empty or too long"};
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
