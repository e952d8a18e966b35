#include "transport/http_exchange.h"

#include <sys/socket.h>

#include "transport/peer_socket.h"

#include <algorithm>
#include <cstring>

namespace briarhead::detail {

namespace {

/// Consumed bytes at the front of a stream's buffer are erased once there are this many: erasing them after
/// each read would copy the rest of the buffer each time.
constexpr std::size_t compactAfterBytes = 65536;

}

void exchange::wake()
{
    if (suspended) {
        suspended = false;
        MHD_resume_connection(connection);
        host->scheduleRun();
    }
}

void exchange::suspend()
{
    suspended = true;
    MHD_suspend_connection(connection);
}

void exchange::abort()
{
    if (!isOpen()) {
        return;
    }
    phase = reply_phase::Aborted;
    onClosed = nullptr;
    out.clear();
    consumed = 0;
    if (queued && endsWithConnection()) {
        // libmicrohttpd would shut the connection down in order first.
        resetConnection(peer->fd);
    }
    if (suspended) {
        wake();
        return;
    }
    // libmicrohttpd may be waiting for a caller that does not read, and would then not call the content
    // reader again. Shutting the socket down makes it notice at once.
    ::shutdown(peer->fd, SHUT_RDWR);
    host->scheduleRun();
}

ssize_t exchange::read(char *buffer, std::size_t size)
{
    if (phase == reply_phase::Aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t count = std::min(size, out.size() - consumed);
    if (count == 0) {
        if (phase == reply_phase::Finished) {
            if (endsWithConnection()) {
                setResetOnClose(peer->fd, false);
            }
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        suspend();
        return 0;
    }
    std::memcpy(buffer, out.data() + consumed, count);
    consumed += count;
    if (consumed == out.size()) {
        out.clear();
        consumed = 0;
    } else if (consumed >= compactAfterBytes) {
        out.erase(0, consumed);
        consumed = 0;
    }
    return static_cast<ssize_t>(count);
}

reply_handle::~reply_handle()
{
    const bool unfinished =
        m_target->phase == reply_phase::Waiting || m_target->phase == reply_phase::Streaming;
    if (unfinished) {
        m_target->abort();
    }
}

void reply_handle::respond(int status, const header_list &headers, std::string body)
{
    if (!m_target->isOpen() || m_target->phase != reply_phase::Waiting) {
        return;
    }
    m_target->status = status;
    m_target->headers = headers;
    m_target->out = std::move(body);
    m_target->phase = reply_phase::Finished;
    m_target->wake();
}

void reply_handle::begin(int status, const header_list &headers)
{
    if (!m_target->isOpen() || m_target->phase != reply_phase::Waiting) {
        return;
    }
    m_target->status = status;
    m_target->headers = headers;
    m_target->streamed = true;
    m_target->phase = reply_phase::Streaming;
    m_target->wake();
}

void reply_handle::beginUnframed(int status, const header_list &headers)
{
    if (m_target->phase == reply_phase::Waiting) {
        m_target->unframed = true;
        begin(status, headers);
    }
}

void reply_handle::write(std::string_view bytes)
{
    if (!m_target->isOpen() || m_target->phase != reply_phase::Streaming || bytes.empty()) {
        return;
    }
    m_target->out.append(bytes);
    m_target->wake();
}

void reply_handle::end()
{
    if (!m_target->isOpen() || m_target->phase != reply_phase::Streaming) {
        return;
    }
    m_target->phase = reply_phase::Finished;
    m_target->wake();
}

void reply_handle::abort()
{
    m_target->abort();
}

void reply_handle::onClosed(std::function<void()> call)
{
    if (!m_target->isOpen()) {
        return;
    }
    m_target->onClosed = std::move(call);
    if (m_target->onClosed && m_target->peer->hungUp) {
        m_target->host->scheduleClosed(m_target);
    }
}

std::size_t reply_handle::pendingBytes() const
{
    return m_target->out.size() - m_target->consumed;
}

}
