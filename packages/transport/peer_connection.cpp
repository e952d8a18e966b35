#include "transport/peer_connection.h"

#include "protocol/codec.h"

#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace briarhead {

namespace {

constexpr int readableEvent = 1;
constexpr int writableEvent = 2;
constexpr millis handshakeTimeout{1'000}; ///< includes connecting
constexpr std::size_t readChunkBytes = 64 * 1024;
constexpr int maxReadsPerEvent = 8; ///< limited so that other sockets are not starved
constexpr std::size_t maxIdleInputBytes = 1024 * 1024; ///< a larger empty buffer is freed
constexpr std::size_t maxFramesPerWrite = 64;

bool wouldBlock(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

}

bool isControl(const peer_message &message)
{
    return !std::holds_alternative<run_request>(message) && !std::holds_alternative<run_started>(message)
        && !std::holds_alternative<run_bytes>(message) && !std::holds_alternative<run_end>(message)
        && !std::holds_alternative<run_cancel>(message);
}

peer_connection::peer_connection(
    loop &eventLoop, peer_identity &identity, owned_fd fd, std::string expectedName, handlers calls)
    : m_loop(eventLoop)
    , m_identity(identity)
    , m_fd(std::move(fd))
    , m_expectedName(std::move(expectedName))
    , m_handlers(std::move(calls))
    , m_stage(m_expectedName.empty() ? stage::AwaitingHello : stage::Connecting)
{
}

peer_connection::~peer_connection()
{
    releaseSocket();
}

void peer_connection::start()
{
    const auto weak = weak_from_this();
    m_handshakeTimer = m_loop.timer(handshakeTimeout, {}, [weak] {
        if (const auto self = weak.lock(); self && !self->ready()) {
            self->endConnection();
        }
    });
    m_readWatch = m_loop.watch(m_fd.get(), readableEvent, [weak](int events) {
        if (const auto self = weak.lock()) {
            self->onEvents(events);
        }
    });
    m_ownHello = sealHello(m_identity.keys, makeHello(m_identity.name, m_identity.incarnation));
    queue({m_ownHello, true, false});
}

void peer_connection::send(const queued_message &message)
{
    if (m_stage == stage::Ready) {
        queue({m_sealer->seal(message.bytes), message.control, true});
    }
}

void peer_connection::close()
{
    m_stage = stage::Ended;
    releaseSocket();
}

std::vector<queued_message> peer_connection::takeUnsent()
{
    // The peer handles only complete frames, so it cannot have handled a frame whose last byte the kernel has
    // not accepted.
    std::vector<queued_message> unsent;
    for (const queued_frame &frame : m_outgoing) {
        if (frame.message) {
            unsent.push_back({frame.bytes.substr(frameHeaderBytes), frame.control});
        }
    }
    m_outgoing.clear();
    m_outgoingBytes = 0;
    return unsent;
}

bool peer_connection::dialled() const
{
    return !m_expectedName.empty();
}

bool peer_connection::ready() const
{
    return m_stage == stage::Ready;
}

std::size_t peer_connection::queuedBytes() const
{
    return m_outgoingBytes - m_firstFrameWrittenBytes;
}

const hello &peer_connection::peer() const
{
    return m_peerHello;
}

void peer_connection::onEvents(int events)
{
    const auto keepAlive = shared_from_this();
    if (m_stage == stage::Connecting) {
        onConnected();
    }
    if ((events & readableEvent) != 0 && m_stage != stage::Ended) {
        readAvailable();
    }
    if ((events & writableEvent) != 0 && m_stage != stage::Ended) {
        flush();
    }
}

void peer_connection::onConnected()
{
    if (pendingError(m_fd.get()) != 0) {
        endConnection();
        return;
    }
    m_stage = stage::AwaitingHello;
}

void peer_connection::readAvailable()
{
    std::array<char, readChunkBytes> chunk;
    for (int i = 0; i < maxReadsPerEvent && m_stage != stage::Ended; ++i) {
        const ssize_t count = recv(m_fd.get(), chunk.data(), chunk.size(), 0);
        if (count < 0 && wouldBlock(errno)) {
            return;
        }
        if (count <= 0) {
            endConnection();
            return;
        }
        m_input.append(chunk.data(), static_cast<std::size_t>(count));
        while (m_stage != stage::Ended && parseNext()) {
        }
        m_input.erase(0, m_parsedBytes);
        m_parsedBytes = 0;
        if (m_input.empty() && m_input.capacity() > maxIdleInputBytes) {
            m_input.shrink_to_fit();
        }
        if (static_cast<std::size_t>(count) < chunk.size()) {
            return;
        }
    }
}

bool peer_connection::parseNext()
{
    return m_stage == stage::AwaitingHello ? parseHello() : parseFrame();
}

bool peer_connection::parseHello()
{
    std::size_t used = 0;
    const std::string_view buffer = std::string_view(m_input).substr(m_parsedBytes);
    const wire_state state = openHello(m_identity.keys, buffer, m_peerHello, used);
    if (state == wire_state::Incomplete) {
        return false;
    }
    // An unexpected name means that the address now belongs to another instance, which must not receive the
    // messages queued for the old one. This daemon's own name means that its hello was reflected.
    const bool nameAccepted = m_expectedName.empty() || m_peerHello.instance == m_expectedName;
    if (state == wire_state::Bad || !nameAccepted || m_peerHello.instance == m_identity.name) {
        rejectInput();
        return false;
    }
    const std::string_view peerHello = buffer.substr(0, used);
    m_sealer.emplace(directionKey(m_identity.keys, m_ownHello, peerHello));
    m_opener.emplace(directionKey(m_identity.keys, peerHello, m_ownHello));
    m_parsedBytes += used;
    m_identity.counters.frameBytesIn += used;
    m_identity.counters.controlBytesIn += used;
    m_stage = stage::AwaitingConfirmation;
    queue({m_sealer->seal({}), true, false});
    return true;
}

bool peer_connection::parseFrame()
{
    std::string_view bytes;
    std::size_t used = 0;
    const wire_state state = m_opener->open(std::string_view(m_input).substr(m_parsedBytes), bytes, used);
    if (state == wire_state::Bad) {
        rejectInput();
    }
    if (state != wire_state::Ready) {
        return false;
    }
    m_parsedBytes += used;
    onFrame(bytes, used);
    return true;
}

void peer_connection::onFrame(std::string_view bytes, std::size_t size)
{
    m_identity.counters.frameBytesIn += size;
    if (m_stage == stage::AwaitingConfirmation) {
        if (!bytes.empty()) {
            rejectInput();
            return;
        }
        m_identity.counters.controlBytesIn += size;
        m_stage = stage::Ready;
        m_handshakeTimer.reset();
        m_handlers.onReady(shared_from_this());
        return;
    }
    error why;
    auto message = decodePeerMessage(bytes, why);
    if (!message) {
        rejectInput();
        return;
    }
    ++m_identity.counters.framesIn;
    if (isControl(*message)) {
        m_identity.counters.controlBytesIn += size;
    }
    m_handlers.onMessage(shared_from_this(), std::move(*message));
}

void peer_connection::queue(queued_frame frame)
{
    m_outgoingBytes += frame.bytes.size();
    m_outgoing.push_back(std::move(frame));
    if (m_flushPosted || m_writeWatch) {
        return;
    }
    m_flushPosted = true;
    m_loop.post([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_stage != stage::Ended) {
            self->m_flushPosted = false;
            self->flush();
        }
    });
}

void peer_connection::flush()
{
    // On a socket that is still connecting, the first write would block, which starts the write watch. The
    // watch then fires when the connection is established or has failed.
    while (!m_outgoing.empty() && writeBatch()) {
    }
    if (m_stage == stage::Ended || m_outgoing.empty()) {
        m_writeWatch.reset();
        return;
    }
    if (!m_writeWatch) {
        m_writeWatch = m_loop.watch(m_fd.get(), writableEvent, [weak = weak_from_this()](int events) {
            if (const auto self = weak.lock()) {
                self->onEvents(events);
            }
        });
    }
}

bool peer_connection::writeBatch()
{
    std::array<iovec, maxFramesPerWrite> buffers;
    const std::size_t count = std::min(m_outgoing.size(), buffers.size());
    for (std::size_t i = 0; i < count; ++i) {
        buffers[i] = {m_outgoing[i].bytes.data(), m_outgoing[i].bytes.size()};
    }
    buffers[0].iov_base = m_outgoing.front().bytes.data() + m_firstFrameWrittenBytes;
    buffers[0].iov_len -= m_firstFrameWrittenBytes;
    msghdr messageHeader{};
    messageHeader.msg_iov = buffers.data();
    messageHeader.msg_iovlen = count;
    const ssize_t written = sendmsg(m_fd.get(), &messageHeader, MSG_NOSIGNAL);
    if (written >= 0) {
        removeWritten(static_cast<std::size_t>(written));
        return true;
    }
    if (!wouldBlock(errno)) {
        endConnection();
    }
    return false;
}

void peer_connection::removeWritten(std::size_t count)
{
    m_firstFrameWrittenBytes += count;
    while (!m_outgoing.empty() && m_firstFrameWrittenBytes >= m_outgoing.front().bytes.size()) {
        const queued_frame &frame = m_outgoing.front();
        const std::size_t size = frame.bytes.size();
        m_identity.counters.framesOut += frame.message ? 1 : 0;
        m_identity.counters.frameBytesOut += size;
        m_identity.counters.controlBytesOut += frame.control ? size : 0;
        m_firstFrameWrittenBytes -= size;
        m_outgoingBytes -= size;
        m_outgoing.pop_front();
    }
}

void peer_connection::rejectInput()
{
    ++m_identity.counters.dropped;
    endConnection();
}

void peer_connection::endConnection()
{
    if (m_stage == stage::Ended) {
        return;
    }
    const auto keepAlive = shared_from_this();
    m_stage = stage::Ended;
    releaseSocket();
    m_handlers.onEnded(keepAlive);
}

void peer_connection::releaseSocket()
{
    // Watchers are destroyed before the descriptor is closed, because its number may be reused at once.
    m_readWatch.reset();
    m_writeWatch.reset();
    m_handshakeTimer.reset();
    m_fd = owned_fd();
}

}
