#include "transport/peer_connection.h"

#include "protocol/codec.h"

#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace briarhead {

namespace {

constexpr int readable = 1;
constexpr int writable = 2;
constexpr millis handshakeTimeout{1'000}; ///< with connecting
constexpr std::size_t readChunkBytes = 64 * 1024;
constexpr int readsPerEvent = 8; ///< then other sockets have their turn
constexpr std::size_t keptInputBytes = 1024 * 1024; ///< a larger buffer is given back after use
constexpr std::size_t framesPerWrite = 64;

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
    loop &eventLoop, peer_identity &self, owned_fd fd, std::string expected, handlers calls)
    : m_loop(eventLoop)
    , m_self(self)
    , m_fd(std::move(fd))
    , m_expected(std::move(expected))
    , m_calls(std::move(calls))
    , m_stage(m_expected.empty() ? stage::Hello : stage::Connecting)
{
}

peer_connection::~peer_connection()
{
    release();
}

void peer_connection::start()
{
    const auto weak = weak_from_this();
    m_handshakeTimer = m_loop.timer(handshakeTimeout, {}, [weak] {
        if (const auto self = weak.lock(); self && !self->ready()) {
            self->end();
        }
    });
    m_readWatch = m_loop.watch(m_fd.get(), readable, [weak](int events) {
        if (const auto self = weak.lock()) {
            self->onEvents(events);
        }
    });
    m_ownHello = sealHello(m_self.keys, makeHello(m_self.name, m_self.incarnation));
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
    release();
}

std::vector<queued_message> peer_connection::takeUnsent()
{
    // The peer acts on whole frames only, so one that the kernel didn't take to its last byte can't be
    // acted on.
    std::vector<queued_message> unsent;
    for (const queued_frame &frame : m_out) {
        if (frame.message) {
            unsent.push_back({frame.bytes.substr(frameHeaderBytes), frame.control});
        }
    }
    m_out.clear();
    m_outBytes = 0;
    return unsent;
}

bool peer_connection::dialled() const
{
    return !m_expected.empty();
}

bool peer_connection::ready() const
{
    return m_stage == stage::Ready;
}

std::size_t peer_connection::queuedBytes() const
{
    return m_outBytes - m_headWritten;
}

const hello &peer_connection::peer() const
{
    return m_peer;
}

void peer_connection::onEvents(int events)
{
    const auto keepAlive = shared_from_this();
    if (m_stage == stage::Connecting) {
        onConnected();
    }
    if ((events & readable) != 0 && m_stage != stage::Ended) {
        readSome();
    }
    if ((events & writable) != 0 && m_stage != stage::Ended) {
        flush();
    }
}

void peer_connection::onConnected()
{
    if (pendingError(m_fd.get()) != 0) {
        end();
        return;
    }
    m_stage = stage::Hello;
}

void peer_connection::readSome()
{
    std::array<char, readChunkBytes> chunk;
    for (int i = 0; i < readsPerEvent && m_stage != stage::Ended; ++i) {
        const ssize_t count = recv(m_fd.get(), chunk.data(), chunk.size(), 0);
        if (count < 0 && wouldBlock(errno)) {
            return;
        }
        if (count <= 0) {
            end();
            return;
        }
        m_in.append(chunk.data(), static_cast<std::size_t>(count));
        while (m_stage != stage::Ended && parseOne()) {
        }
        m_in.erase(0, m_parsed);
        m_parsed = 0;
        if (m_in.empty() && m_in.capacity() > keptInputBytes) {
            m_in.shrink_to_fit();
        }
        if (static_cast<std::size_t>(count) < chunk.size()) {
            return;
        }
    }
}

bool peer_connection::parseOne()
{
    return m_stage == stage::Hello ? parseHello() : parseFrame();
}

bool peer_connection::parseHello()
{
    std::size_t used = 0;
    const std::string_view buffer = std::string_view(m_in).substr(m_parsed);
    const wire_state state = openHello(m_self.keys, buffer, m_peer, used);
    if (state == wire_state::Incomplete) {
        return false;
    }
    // Another name than the expected one means that the address has passed to another instance: what
    // waits for the old one must not reach it. Our own name means our own hello sent back to us.
    const bool wanted = m_expected.empty() || m_peer.instance == m_expected;
    if (state == wire_state::Bad || !wanted || m_peer.instance == m_self.name) {
        refuseInput();
        return false;
    }
    const std::string_view theirs = buffer.substr(0, used);
    m_sealer.emplace(directionKey(m_self.keys, m_ownHello, theirs));
    m_opener.emplace(directionKey(m_self.keys, theirs, m_ownHello));
    m_parsed += used;
    m_self.counters.frameBytesIn += used;
    m_self.counters.controlBytesIn += used;
    m_stage = stage::Confirming;
    queue({m_sealer->seal({}), true, false});
    return true;
}

bool peer_connection::parseFrame()
{
    std::string_view bytes;
    std::size_t used = 0;
    const wire_state state = m_opener->open(std::string_view(m_in).substr(m_parsed), bytes, used);
    if (state == wire_state::Bad) {
        refuseInput();
    }
    if (state != wire_state::Ready) {
        return false;
    }
    m_parsed += used;
    takeFrame(bytes, used);
    return true;
}

void peer_connection::takeFrame(std::string_view bytes, std::size_t size)
{
    m_self.counters.frameBytesIn += size;
    if (m_stage == stage::Confirming) {
        if (!bytes.empty()) {
            refuseInput();
            return;
        }
        m_self.counters.controlBytesIn += size;
        m_stage = stage::Ready;
        m_handshakeTimer.reset();
        m_calls.onReady(shared_from_this());
        return;
    }
    error why;
    auto message = decodePeerMessage(bytes, why);
    if (!message) {
        refuseInput();
        return;
    }
    ++m_self.counters.framesIn;
    if (isControl(*message)) {
        m_self.counters.controlBytesIn += size;
    }
    m_calls.onMessage(shared_from_this(), std::move(*message));
}

void peer_connection::queue(queued_frame frame)
{
    m_outBytes += frame.bytes.size();
    m_out.push_back(std::move(frame));
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
    // On a socket that is still connecting the first write would block, which sets the write watch; it
    // then fires when the connection is up or has failed.
    while (!m_out.empty() && writeOnce()) {
    }
    if (m_stage == stage::Ended || m_out.empty()) {
        m_writeWatch.reset();
        return;
    }
    if (!m_writeWatch) {
        m_writeWatch = m_loop.watch(m_fd.get(), writable, [weak = weak_from_this()](int events) {
            if (const auto self = weak.lock()) {
                self->onEvents(events);
            }
        });
    }
}

bool peer_connection::writeOnce()
{
    std::array<iovec, framesPerWrite> parts;
    const std::size_t count = std::min(m_out.size(), parts.size());
    for (std::size_t i = 0; i < count; ++i) {
        parts[i] = {m_out[i].bytes.data(), m_out[i].bytes.size()};
    }
    parts[0].iov_base = m_out.front().bytes.data() + m_headWritten;
    parts[0].iov_len -= m_headWritten;
    msghdr header{};
    header.msg_iov = parts.data();
    header.msg_iovlen = count;
    const ssize_t written = sendmsg(m_fd.get(), &header, MSG_NOSIGNAL);
    if (written >= 0) {
        dropWritten(static_cast<std::size_t>(written));
        return true;
    }
    if (!wouldBlock(errno)) {
        end();
    }
    return false;
}

void peer_connection::dropWritten(std::size_t count)
{
    m_headWritten += count;
    while (!m_out.empty() && m_headWritten >= m_out.front().bytes.size()) {
        const queued_frame &frame = m_out.front();
        const std::size_t size = frame.bytes.size();
        m_self.counters.framesOut += frame.message ? 1 : 0;
        m_self.counters.frameBytesOut += size;
        m_self.counters.controlBytesOut += frame.control ? size : 0;
        m_headWritten -= size;
        m_outBytes -= size;
        m_out.pop_front();
    }
}

void peer_connection::refuseInput()
{
    ++m_self.counters.dropped;
    end();
}

void peer_connection::end()
{
    if (m_stage == stage::Ended) {
        return;
    }
    const auto keepAlive = shared_from_this();
    m_stage = stage::Ended;
    release();
    m_calls.onEnded(keepAlive);
}

void peer_connection::release()
{
    // Watchers go before their descriptor: its number may be given out again at once.
    m_readWatch.reset();
    m_writeWatch.reset();
    m_handshakeTimer.reset();
    m_fd = owned_fd();
}

}
