#include "transport/front_server.h"

#include "transport/peer_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <utility>

namespace briarhead {

namespace {

constexpr int listenBacklog = 512;
/// A connection that has sent nothing for this long may be closed to make room for another.
constexpr millis unusedAge{1'000};
constexpr std::size_t readBufferBytes = 16 * 1024;
/// Limit on data received while a request is handled; the socket isn't read beyond it.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
/// Limit on unsent response data. A caller that exceeds it isn't reading and is disconnected.
constexpr std::size_t maxUnsentBytes = 1024 * 1024;
/// Interval between checks of the timeouts, which are seconds long.
constexpr millis timeoutCheckInterval{200};
/// Closing a connection with unread bytes would reset it, and the caller might never receive the response. So
/// only the sending side is closed, and input is read and discarded until the caller closes or, once it has
/// the whole response, nothing is received for this long.
constexpr millis lingerTimeout{1'000};
/// Once a response's deadline has passed, a caller that takes none of it for this long is disconnected.
constexpr millis overdueStallTimeout{1'000};
/// A caller that acknowledges nothing for this long is disconnected, or for as long as its response has time
/// left: the system counts a closed receive window as well.
constexpr millis minUnackedTimeout{8'000};
constexpr int eventRead = 1;
constexpr int eventWrite = 2;

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/// Whether every proxy and server on the route parses the same message from these bytes. A transfer coding
/// that only some of them take for "chunked", or a second Host field, allows request smuggling.
bool hasUnambiguousFraming(const http_head &head)
{
    std::size_t hostFields = 0;
    for (const http_field &field : head.fields) {
        if (equalsIgnoreCase(field.name, "transfer-encoding") && !equalsIgnoreCase(field.value, "chunked")) {
            return false;
        }
        hostFields += equalsIgnoreCase(field.name, "host") ? 1 : 0;
    }
    return hostFields == 1;
}

enum class connection_phase : std::uint8_t
{
    Reading,
    Handling, ///< the handler has the request
    Streaming, ///< the response has begun
    Sending, ///< the response is complete; its last bytes are on their way, then the connection closes
    Lingering, ///< the caller has all bytes; discarding input until it closes
    Closed,
};

class front_server_impl;

struct caller_connection : std::enable_shared_from_this<caller_connection>
{
    front_server_impl *server = nullptr;
    std::uint64_t id = 0;
    owned_fd fd;
    connection_phase phase = connection_phase::Reading;
    std::string input;
    std::string output;
    std::size_t sentBytes = 0; ///< of `output`
    std::uint64_t acceptedBytes = 0; ///< taken by the socket since the connection was opened
    std::uint64_t deliveredBytes = 0; ///< of these, acknowledged by the caller when last looked at
    millis progressAt; ///< when deliveredBytes last grew, or the current response was begun or completed
    millis deadline; ///< of the current response; 0: none
    millis unackedTimeout; ///< as set on the socket
    http_reader reader;
    std::shared_ptr<void> watch;
    int watchedEvents = 0;
    millis lastByteAt;
    millis headStartedAt; ///< when a request's first byte was received; 0 between requests
    bool received = false; ///< any byte
    bool inputEnded = false; ///< the caller closed its sending side
    bool isBlocked = false; ///< the socket has not accepted all output
    bool closeAfterResponse = false;
    bool isHeadRequest = false;
    bool isHttp10Request = false;
    body_framing framing = body_framing::Length; ///< of the response in progress
    bool sentContinue = false; ///< "100 Continue" was sent for the current request
    std::uint64_t requestNumber = 0; ///< number of the current request on this connection
    std::function<void()> onDisconnect;
    std::function<void()> onDrained;

    explicit caller_connection(http_reader initialReader)
        : reader(std::move(initialReader))
    {
    }
};

class front_server_impl final : public front_server
{
public:
    front_server_impl(loop &eventLoop, handler onRequest)
        : m_loop(eventLoop)
        , m_handler(std::move(onRequest))
    {
    }
    ~front_server_impl() override
    {
        *m_alive = false;
    }
    front_server_impl(const front_server_impl &) = delete;
    front_server_impl &operator=(const front_server_impl &) = delete;

    bool start(const std::string &ip, std::uint16_t port, error &why);
    std::uint16_t port() const override
    {
        socket_address address;
        const bool known = getsockname(m_listener.get(), address.raw(), &address.size) == 0;
        return known ? toPeerAddress(address).port : 0;
    }
    void setLimits(const front_limits &limits) override
    {
        m_limits = limits;
    }
    void closeAfterResponses(millis idle) override
    {
        m_closeAfterResponses = true;
        m_idleTimeoutAtShutdown = idle;
    }
    void setCloseAfterResponse(bool closing) override
    {
        m_closeAfterResponses = closing;
    }
    void stopListening() override
    {
        // Closing the listener would reset connections in its queue, so they are accepted first.
        while (acceptSome()) {
        }
        m_acceptTimer.reset();
        m_listenWatch.reset();
        m_listener = owned_fd();
    }
    std::size_t activeRequests() const override;
    std::size_t connections() const override
    {
        return m_connections.size();
    }
    void setAdmission(std::function<bool()> admit) override
    {
        m_admit = std::move(admit);
    }
    void setMaxConnections(std::size_t count) override
    {
        m_maxConnections = count;
    }
    std::uint64_t closedUnread() const override
    {
        return m_closedUnread;
    }

    void startResponse(
        caller_connection &connection, std::string_view head, std::string_view body, bool complete);
    void append(caller_connection &connection, std::string_view bytes);
    void finishResponse(caller_connection &connection);
    void setDeadline(caller_connection &connection, millis at);
    void close(caller_connection &connection);
    std::string headText(
        caller_connection &connection, int status, const std::vector<http_field> &fields) const;
    std::shared_ptr<bool> alive() const
    {
        return m_alive;
    }

private:
    http_reader newReader() const
    {
        return {http_side::Request, {m_limits.maxHeadBytes, m_limits.maxBodyBytes}};
    }
    void watchListener();
    void pauseAccepting();
    bool acceptSome();
    bool makeRoom();
    void open(owned_fd fd);
    void onEvents(caller_connection &connection, int events);
    void onReadable(caller_connection &connection);
    void parse(caller_connection &connection);
    void reject(caller_connection &connection, int status);
    void flush(caller_connection &connection);
    void updateWatch(caller_connection &connection);
    void closeTimedOut();
    bool isTimedOut(caller_connection &connection, millis now) const;
    bool isOverdue(const caller_connection &connection, millis now) const;
    void onConnectionLost(caller_connection &connection);

    loop &m_loop;
    handler m_handler;
    front_limits m_limits;
    std::optional<millis> m_idleTimeoutAtShutdown; ///< whatever later configurations say
    bool m_closeAfterResponses = false;
    owned_fd m_listener;
    std::shared_ptr<void> m_listenWatch;
    std::shared_ptr<void> m_acceptTimer; ///< while accepting is paused
    std::function<bool()> m_admit;
    std::size_t m_maxConnections = 0; ///< 0: no limit
    std::uint64_t m_closedUnread = 0;
    std::shared_ptr<void> m_timeoutTimer;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<caller_connection>> m_connections;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Reply of one request. It holds the request's number, so that a late call has no effect on the next request
/// of the connection.
class front_reply_impl final : public front_reply
{
public:
    front_reply_impl(front_server_impl &server, const std::shared_ptr<caller_connection> &connection)
        : m_server(&server)
        , m_alive(server.alive())
        , m_connection(connection)
        , m_requestNumber(connection->requestNumber)
    {
    }
    ~front_reply_impl() override
    {
        if (auto connection = current()) {
            m_server->close(*connection);
        }
    }
    front_reply_impl(const front_reply_impl &) = delete;
    front_reply_impl &operator=(const front_reply_impl &) = delete;

    void respond(int status, const std::vector<http_field> &fields, std::string_view body) override
    {
        auto connection = current();
        if (!connection || connection->phase != connection_phase::Handling) {
            return;
        }
        std::string head = m_server->headText(*connection, status, fields);
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        m_server->startResponse(
            *connection, head, connection->isHeadRequest ? std::string_view{} : body, true);
    }
    void begin(int status, const std::vector<http_field> &fields, body_framing framing) override
    {
        auto connection = current();
        if (!connection || connection->phase != connection_phase::Handling) {
            return;
        }
        const bool unsupported = connection->isHttp10Request && framing == body_framing::Chunked;
        connection->framing = unsupported ? body_framing::Connection : framing;
        if (connection->framing == body_framing::Connection) {
            connection->closeAfterResponse = true;
            // Until the end, however this process ends: an orderly close would say that this is all.
            setResetOnClose(connection->fd.get(), true);
        }
        std::string head = m_server->headText(*connection, status, fields);
        head += connection->framing == body_framing::Chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
        m_server->startResponse(*connection, head, {}, false);
    }
    void write(std::string_view bytes) override
    {
        auto connection = current();
        if (!connection || connection->phase != connection_phase::Streaming || bytes.empty()
            || connection->isHeadRequest) {
            return;
        }
        if (connection->framing != body_framing::Chunked) {
            m_server->append(*connection, bytes);
            return;
        }
        std::array<char, 20> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
        std::string chunk(size.data(), end.ptr);
        chunk.append("\r\n").append(bytes).append("\r\n");
        m_server->append(*connection, chunk);
    }
    void end() override
    {
        auto connection = current();
        if (!connection || connection->phase != connection_phase::Streaming) {
            return;
        }
        if (connection->framing == body_framing::Chunked && !connection->isHeadRequest) {
            m_server->append(*connection, "0\r\n\r\n");
        }
        m_server->finishResponse(*connection);
    }
    void setDeadline(millis at) override
    {
        if (auto connection = current()) {
            m_server->setDeadline(*connection, at);
        }
    }
    void abort() override
    {
        if (auto connection = current()) {
            m_server->close(*connection);
        }
    }
    void reset() override
    {
        if (auto connection = current()) {
            setResetOnClose(connection->fd.get(), true);
            m_server->close(*connection);
        }
    }
    void onDisconnect(std::function<void()> call) override
    {
        if (auto connection = current()) {
            connection->onDisconnect = std::move(call);
        }
    }
    void onDrained(std::function<void()> call) override
    {
        if (auto connection = current()) {
            connection->onDrained = std::move(call);
        }
    }
    std::size_t pendingBytes() const override
    {
        const auto connection = current();
        return connection ? connection->output.size() - connection->sentBytes : 0;
    }

private:
    std::shared_ptr<caller_connection> current() const
    {
        auto connection = *m_alive ? m_connection.lock() : nullptr;
        const bool isCurrent = connection && connection->requestNumber == m_requestNumber
            && (connection->phase == connection_phase::Handling
                || connection->phase == connection_phase::Streaming);
        return isCurrent ? connection : nullptr;
    }

    front_server_impl *m_server;
    std::shared_ptr<bool> m_alive;
    std::weak_ptr<caller_connection> m_connection;
    std::uint64_t m_requestNumber;
};

bool front_server_impl::start(const std::string &ip, std::uint16_t port, error &why)
{
    why = {error_kind::BadSettings, ip + ':' + std::to_string(port), ""};
    auto address = toSocketAddress({ip, port});
    if (!address) {
        why.detail = "the listen address is not an IP address";
        return false;
    }
    m_listener = owned_fd(socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    (void)setsockopt(m_listener.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (bind(m_listener.get(), address->raw(), address->size) != 0
        || ::listen(m_listener.get(), listenBacklog) != 0) {
        why.detail = std::string("cannot listen on this address: ") + std::strerror(errno);
        return false;
    }
    watchListener();
    m_timeoutTimer = m_loop.timer(timeoutCheckInterval, timeoutCheckInterval, [this] {
        closeTimedOut();
    });
    return true;
}

std::size_t front_server_impl::activeRequests() const
{
    std::size_t count = 0;
    for (const auto &[id, connection] : m_connections) {
        const bool handling = connection->phase == connection_phase::Handling
            || connection->phase == connection_phase::Streaming
            || connection->phase == connection_phase::Sending;
        count += handling || connection->output.size() > connection->sentBytes
                || connection->headStartedAt.count != 0
            ? 1
            : 0;
    }
    return count;
}

void front_server_impl::watchListener()
{
    m_acceptTimer.reset();
    m_listenWatch = m_loop.watch(m_listener.get(), eventRead, [this](int) {
        acceptSome();
    });
}

void front_server_impl::pauseAccepting()
{
    m_listenWatch.reset();
    m_acceptTimer = m_loop.timer(acceptPause, {}, [this] {
        watchListener();
    });
}

/// Accepts connections from the listen queue. Returns whether there may be more.
bool front_server_impl::acceptSome()
{
    for (int i = 0; i < maxAcceptsPerEvent; ++i) {
        owned_fd fd(accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        const int code = fd ? 0 : errno;
        if (code == ECONNABORTED || code == EINTR) {
            continue; // the connection is gone; others may be waiting
        }
        if (lacksResources(code)) {
            makeRoom();
            pauseAccepting();
            return false;
        }
        if (code != 0) {
            return false;
        }
        const bool isFull = m_maxConnections != 0 && m_connections.size() >= m_maxConnections;
        if ((isFull && !makeRoom()) || (m_admit && !m_admit())) {
            ++m_closedUnread;
            continue;
        }
        open(std::move(fd));
    }
    return true;
}

/// Closes the connection that has been open for longest without sending anything, if there is one. Those that
/// have carried requests spread the load of their callers, and stay.
bool front_server_impl::makeRoom()
{
    std::shared_ptr<caller_connection> oldest;
    for (const auto &[id, connection] : m_connections) {
        const bool unused = !connection->received && bootNow() - connection->lastByteAt > unusedAge;
        if (unused && (!oldest || connection->lastByteAt < oldest->lastByteAt)) {
            oldest = connection;
        }
    }
    if (!oldest) {
        return false;
    }
    ++m_closedUnread;
    close(*oldest);
    return true;
}

void front_server_impl::open(owned_fd fd)
{
    const int enabled = 1;
    (void)setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setUnackedTimeout(fd.get(), minUnackedTimeout);
    auto connection = std::make_shared<caller_connection>(newReader());
    connection->unackedTimeout = minUnackedTimeout;
    connection->server = this;
    connection->id = ++m_lastId;
    connection->fd = std::move(fd);
    connection->lastByteAt = bootNow();
    m_connections.emplace(connection->id, connection);
    updateWatch(*connection);
}

void front_server_impl::updateWatch(caller_connection &connection)
{
    const bool reads = !connection.inputEnded && connection.input.size() < maxPipelinedBytes;
    int wantedEvents = reads ? eventRead : 0;
    wantedEvents |= connection.output.size() > connection.sentBytes ? eventWrite : 0;
    if (connection.phase == connection_phase::Closed
        || (wantedEvents == connection.watchedEvents && connection.watch)) {
        return;
    }
    connection.watchedEvents = wantedEvents;
    connection.watch =
        m_loop.watch(connection.fd.get(), wantedEvents, [this, id = connection.id](int events) {
            const auto found = m_connections.find(id);
            if (found != m_connections.end()) {
                const auto keepAlive = found->second;
                onEvents(*keepAlive, events);
            }
        });
}

void front_server_impl::onEvents(caller_connection &connection, int events)
{
    if ((events & eventRead) != 0) {
        onReadable(connection);
    }
    if (connection.phase != connection_phase::Closed && (events & eventWrite) != 0) {
        flush(connection);
    }
    if (connection.phase != connection_phase::Closed) {
        updateWatch(connection);
    }
}

void front_server_impl::onReadable(caller_connection &connection)
{
    std::array<char, readBufferBytes> buffer{};
    const ssize_t received = recv(connection.fd.get(), buffer.data(), buffer.size(), 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    const bool isFinished =
        connection.phase == connection_phase::Sending || connection.phase == connection_phase::Lingering;
    if (received == 0 && isFinished && !connection.output.empty()) {
        // The caller has no more to send, and may well be reading. If it has closed, the next send fails.
        connection.inputEnded = true;
        return;
    }
    if (received <= 0) {
        onConnectionLost(connection);
        return;
    }
    connection.lastByteAt = bootNow();
    connection.received = true;
    if (isFinished) {
        return;
    }
    connection.input.append(buffer.data(), static_cast<std::size_t>(received));
    if (connection.phase == connection_phase::Reading) {
        parse(connection);
    }
}

void front_server_impl::parse(caller_connection &connection)
{
    while (connection.phase == connection_phase::Reading && !connection.input.empty()) {
        if (connection.headStartedAt.count == 0) {
            connection.headStartedAt = bootNow();
            connection.reader = newReader();
            connection.sentContinue = false;
        }
        std::size_t parsedBytes = 0;
        const read_state state = connection.reader.feed(connection.input, parsedBytes);
        connection.input.erase(0, parsedBytes);
        if (state == read_state::Invalid) {
            switch (connection.reader.fault()) {
            case read_fault::HeadTooLarge:
                reject(connection, 431);
                return;
            case read_fault::BodyTooLarge:
                reject(connection, 413);
                return;
            default:
                reject(connection, 400);
                return;
            }
        }
        if (state == read_state::Head && connection.input.size() > m_limits.maxHeadBytes) {
            reject(connection, 431);
            return;
        }
        if (state == read_state::Body) {
            const std::string *expect = findField(connection.reader.head(), "expect");
            if (expect != nullptr && equalsIgnoreCase(*expect, "100-continue") && !connection.sentContinue) {
                connection.sentContinue = true;
                append(connection, "HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (state != read_state::Head && !hasUnambiguousFraming(connection.reader.head())) {
            reject(connection, 400);
            return;
        }
        if (state != read_state::Done) {
            return;
        }
        front_request request{connection.reader.head(), connection.reader.takeBody()};
        connection.closeAfterResponse = !connection.reader.keepsConnection();
        connection.isHeadRequest = request.head.method == "HEAD";
        connection.isHttp10Request = connection.reader.isHttp10();
        connection.headStartedAt = {};
        connection.phase = connection_phase::Handling;
        connection.deadline = {};
        ++connection.requestNumber;
        connection.onDisconnect = nullptr;
        connection.onDrained = nullptr;
        m_handler(
            std::move(request), std::make_shared<front_reply_impl>(*this, connection.shared_from_this()));
    }
}

/// Responds to an invalid or timed-out request and closes the connection, because the start of the next
/// request is unknown.
void front_server_impl::reject(caller_connection &connection, int status)
{
    connection.headStartedAt = {};
    connection.phase = connection_phase::Handling;
    connection.deadline = {};
    ++connection.requestNumber;
    connection.closeAfterResponse = true;
    std::string head = headText(connection, status, {});
    head += "Content-Length: 0\r\n\r\n";
    startResponse(connection, head, {}, true);
}

std::string front_server_impl::headText(
    caller_connection &connection, int status, const std::vector<http_field> &fields) const
{
    connection.closeAfterResponse = connection.closeAfterResponse || m_closeAfterResponses;
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reasonPhrase(status)) + "\r\n";
    for (const http_field &field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (connection.closeAfterResponse) {
        text += "Connection: close\r\n";
    }
    return text;
}

void front_server_impl::startResponse(
    caller_connection &connection, std::string_view head, std::string_view body, bool complete)
{
    connection.phase = connection_phase::Streaming;
    connection.output.append(head).append(body);
    if (complete) {
        finishResponse(connection);
    } else {
        flush(connection);
        if (connection.phase != connection_phase::Closed) {
            updateWatch(connection);
        }
    }
}

void front_server_impl::append(caller_connection &connection, std::string_view bytes)
{
    connection.output.append(bytes);
    flush(connection);
    if (connection.phase == connection_phase::Closed) {
        return;
    }
    if (connection.output.size() - connection.sentBytes > maxUnsentBytes) {
        onConnectionLost(connection);
        return;
    }
    updateWatch(connection);
}

void front_server_impl::finishResponse(caller_connection &connection)
{
    connection.onDisconnect = nullptr;
    connection.onDrained = nullptr;
    connection.lastByteAt = bootNow();
    connection.progressAt = connection.lastByteAt;
    connection.phase = connection.closeAfterResponse ? connection_phase::Sending : connection_phase::Reading;
    if (connection.closeAfterResponse) {
        connection.input
            .clear(); // reading goes on, since a close with unread bytes would reset the connection
    }
    flush(connection);
    if (connection.phase == connection_phase::Closed) {
        return;
    }
    updateWatch(connection);
    if (connection.phase == connection_phase::Reading && !connection.input.empty()) {
        // Deferred: the handler of the request that just ended may still be running.
        m_loop.post([this, alive = m_alive, id = connection.id] {
            const auto found = *alive ? m_connections.find(id) : m_connections.end();
            if (*alive && found != m_connections.end()) {
                const auto keepAlive = found->second;
                parse(*keepAlive);
                if (keepAlive->phase != connection_phase::Closed) {
                    updateWatch(*keepAlive);
                }
            }
        });
    }
}

void front_server_impl::flush(caller_connection &connection)
{
    while (connection.sentBytes < connection.output.size()) {
        const ssize_t written = send(connection.fd.get(), connection.output.data() + connection.sentBytes,
            connection.output.size() - connection.sentBytes, MSG_NOSIGNAL);
        if (written < 0 && (errno == EAGAIN || errno == EINTR)) {
            connection.isBlocked = true;
            return;
        }
        if (written < 0) {
            onConnectionLost(connection);
            return;
        }
        connection.sentBytes += static_cast<std::size_t>(written);
        connection.acceptedBytes += static_cast<std::uint64_t>(written);
    }
    connection.output.clear();
    connection.sentBytes = 0;
    if (std::exchange(connection.isBlocked, false) && connection.onDrained) {
        m_loop.post(connection.onDrained); // not within a write() of the handler that set the function
    }
    if (connection.phase == connection_phase::Sending) {
        // The socket has the whole response, and delivers it even if this process ends.
        setResetOnClose(connection.fd.get(), false);
        shutdown(connection.fd.get(), SHUT_WR);
        if (connection.inputEnded) {
            close(connection);
        }
    }
}

/// Sets the deadline of the response in progress.
void front_server_impl::setDeadline(caller_connection &connection, millis at)
{
    connection.deadline = at;
    const millis needed = at - bootNow() + overdueStallTimeout;
    if (needed > connection.unackedTimeout) {
        connection.unackedTimeout = needed;
        setUnackedTimeout(connection.fd.get(), needed);
    }
}

void front_server_impl::onConnectionLost(caller_connection &connection)
{
    const auto keepAlive = connection.shared_from_this();
    const auto call = std::exchange(connection.onDisconnect, nullptr);
    close(connection);
    if (call) {
        // Deferred: this may run inside a write() of the handler that set the function.
        m_loop.post(call);
    }
}

void front_server_impl::close(caller_connection &connection)
{
    const auto keepAlive = connection.shared_from_this();
    connection.phase = connection_phase::Closed;
    connection.onDisconnect = nullptr;
    connection.watch.reset();
    connection.fd = owned_fd();
    m_connections.erase(connection.id);
}

/// Whether the caller has not taken a complete response in the time that there is for it.
bool front_server_impl::isOverdue(const caller_connection &connection, millis now) const
{
    const millis stalled = now - connection.progressAt;
    if (connection.deadline.count == 0) {
        return stalled > m_limits.idleTimeout;
    }
    const millis late = now - connection.deadline;
    return (late > millis{0} && stalled > overdueStallTimeout) || late > m_limits.idleTimeout;
}

bool front_server_impl::isTimedOut(caller_connection &connection, millis now) const
{
    const millis idle = now - connection.lastByteAt;
    const bool reading = connection.phase == connection_phase::Reading;
    const bool finished = connection.phase == connection_phase::Sending || reading;
    if (finished && (!connection.output.empty() || !reading)) {
        const std::size_t unacknowledged = unacknowledgedBytes(connection.fd.get());
        const std::uint64_t delivered =
            connection.acceptedBytes - std::min<std::uint64_t>(unacknowledged, connection.acceptedBytes);
        if (delivered > connection.deliveredBytes) {
            connection.deliveredBytes = delivered;
            connection.progressAt = now;
        }
        if (connection.output.empty() && unacknowledged == 0) {
            connection.phase = connection_phase::Lingering;
            connection.lastByteAt = now;
            return false;
        }
        return isOverdue(connection, now);
    }
    const bool inHead =
        reading && connection.headStartedAt.count != 0 && connection.reader.state() == read_state::Head;
    const bool headTimedOut = inHead && now - connection.headStartedAt > m_limits.headTimeout;
    const bool idleTimedOut = reading && idle > m_idleTimeoutAtShutdown.value_or(m_limits.idleTimeout);
    const bool lingerTimedOut = connection.phase == connection_phase::Lingering && idle > lingerTimeout;
    return headTimedOut || idleTimedOut || lingerTimedOut;
}

void front_server_impl::closeTimedOut()
{
    const millis now = bootNow();
    std::vector<std::shared_ptr<caller_connection>> timedOut;
    for (const auto &[id, connection] : m_connections) {
        if (isTimedOut(*connection, now)) {
            timedOut.push_back(connection);
        }
    }
    for (const auto &connection : timedOut) {
        const bool isReceiving = connection->phase == connection_phase::Reading
            && connection->headStartedAt.count != 0 && connection->output.empty();
        if (isReceiving) {
            reject(*connection, 408);
        } else {
            close(*connection);
        }
    }
}

}

std::unique_ptr<front_server> front_server::listen(
    loop &eventLoop, const std::string &ip, std::uint16_t port, handler onRequest, error &why)
{
    auto server = std::make_unique<front_server_impl>(eventLoop, std::move(onRequest));
    return server->start(ip, port, why) ? std::move(server) : nullptr;
}

}
