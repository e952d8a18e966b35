#include "transport/backend_pool.h"

#include "transport/peer_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarhead {

namespace {

constexpr std::size_t readBlockBytes = 16 * 1024;
/// A reachable server accepts a connection within a few milliseconds; a disconnected one never does.
constexpr millis connectTimeout{700};
/// Idle connections are closed this part of the server's own timeout before it, so that none is reused while
/// the server closes it. Only a close that is on its way when a request is sent goes unnoticed, so the margin
/// has to cover a round trip to another failure domain and a busy server, with an ample reserve. A margin of
/// 1 s for every timeout would halve a timeout of 2 s.
constexpr std::int64_t idleTimeoutMarginDivisor = 5;
constexpr millis minIdleTimeoutMargin{300};
constexpr millis maxIdleTimeoutMargin{1'000};
/// The keep time of a server that hasn't responded for this long is discarded.
constexpr millis keepTimeExpiry{60'000};
/// For servers that announce no timeout.
constexpr millis defaultIdleTimeout{3'000};
constexpr std::int64_t maxKeepSeconds = 24LL * 3'600; ///< of a timeout that a server announces
/// Idle connections kept per server: more than are busy at once under steady load on a quarter of a core.
constexpr std::size_t maxIdlePerServer = 16;
constexpr millis sweepInterval{250};
/// A dead connection is detected by unacknowledged bytes or, while waiting for a response, by keep-alive
/// probes. The user timeout also decides when probes give up, at the first one due after it, whatever their
/// count; so it leaves a server that falls silent right before the first probe a second and a half.
constexpr unsigned unackedTimeoutMs = 2'500;
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;
constexpr int firstFinalStatus = 200;
/// Limit on the interim responses (1xx) before a response.
constexpr int maxInterimResponses = 8;
/// Limit on bytes that can't be parsed yet: a line of a head, a chunk's extension, or trailers.
constexpr std::size_t maxUnparsedBytes = 96 * 1024;
/// Limit on a body, none of which is kept here.
constexpr std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024 * 1024;
constexpr int eventRead = 1;
constexpr int eventWrite = 2;

void setSocketOptions(int fd)
{
    const int yes = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedTimeoutMs, sizeof(unackedTimeoutMs));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeIdleSeconds, sizeof(probeIdleSeconds));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof(probeCount));
}

/// Whether a connection attempt failed because of the link or the other end.
bool isLinkError(int code)
{
    return code == ECONNREFUSED || code == ECONNRESET || code == ETIMEDOUT || code == EHOSTUNREACH
        || code == ENETUNREACH;
}

connection_end endOf(int code)
{
    return code == ETIMEDOUT ? connection_end::Timeout : connection_end::Reset;
}

/// How long to keep this connection idle, by the server's "Keep-Alive: timeout=SECONDS".
millis idleTimeoutOf(const http_head &head)
{
    const std::string *value = findField(head, "keep-alive");
    const std::size_t position = value == nullptr ? std::string::npos : value->find("timeout=");
    if (position == std::string::npos) {
        return defaultIdleTimeout;
    }
    std::int64_t seconds = 0;
    const char *first = value->data() + position + std::strlen("timeout=");
    std::from_chars(first, value->data() + value->size(), seconds);
    const millis timeout{std::clamp<std::int64_t>(seconds, 0, maxKeepSeconds) * 1'000};
    const millis margin = std::clamp(
        millis{timeout.count / idleTimeoutMarginDivisor}, minIdleTimeoutMargin, maxIdleTimeoutMargin);
    return timeout - margin;
}

}

struct backend_pool::impl
{
    static http_reader newReader()
    {
        return {http_side::Response, {http_reader::limits{}.maxHeadBytes, maxBodyBytes}};
    }
    /// A TCP connection to a server, in use by one request or idle.
    struct connection
    {
        peer_address to;
        owned_fd fd;
        std::shared_ptr<void> watch;
        int watchedEvents = 0;
        millis idleUntil; ///< set while the connection is idle
    };

    /// One request, from start() until its response is complete or it fails.
    struct request_state
    {
        std::unique_ptr<connection> link;
        bool connecting = false;
        std::string out; ///< the request
        std::size_t sent = 0; ///< bytes of `out` already sent
        int failure = 0; ///< the error that ended sending; the system reports it only once
        std::string in; ///< bytes received and not parsed yet
        http_reader reader = newReader();
        int interimResponses = 0; ///< before the current response
        bool receivedAny = false; ///< bytes on this connection since the request was started
        bool receiving = true;
        bool noBody = false;
        bool headDelivered = false; ///< onHead was called for the current response
        bool discarding = false; ///< the current response belongs to another request
        bool discardedAny = false; ///< some response on this connection belonged to another request
        millis connectDeadline;
        send_handlers handlers;
    };
    using request_ptr = std::shared_ptr<request_state>;

    loop &events;
    pool_counters counts;
    connect_observer onConnectAttempt;
    send_id lastId = 0;
    std::unordered_map<send_id, request_ptr> requests;
    std::map<peer_address, std::vector<std::unique_ptr<connection>>> idle; ///< the last used at the back
    struct keep_time
    {
        millis value;
        millis updatedAt;
    };
    std::map<peer_address, keep_time> keepTimes;
    std::shared_ptr<void> sweeper;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    explicit impl(loop &eventLoop)
        : events(eventLoop)
    {
        sweeper = events.timer(sweepInterval, sweepInterval, [this] {
            sweep();
        });
    }
    ~impl()
    {
        *alive = false;
    }
    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    /// Returns an idle connection to `to` that is still usable, or null.
    std::unique_ptr<connection> takeIdle(const peer_address &to);
    /// Keeps a connection idle for reuse. Closes it if `idleTimeout` is not positive or its server already
    /// has maxIdlePerServer idle connections.
    void keepIdle(std::unique_ptr<connection> link, millis idleTimeout);
    void open(send_id id, request_state &request);
    void reportConnect(const peer_address &to, bool connected);
    void watch(send_id id, connection &link, int mask);
    /// The events to watch for once the request has been sent.
    static int receiveEvents(const request_state &request)
    {
        return request.receiving ? eventRead : 0;
    }
    void onEvents(send_id id, int mask);
    void onWritable(send_id id, request_state &request);
    void onReadable(send_id id, request_state &request);
    void onReceivedEnd(send_id id, request_state &request);
    bool parse(send_id id, request_state &request);
    /// What is known about the end of the current response.
    static response_end responseEnd(const request_state &request, connection_end connection);
    /// Calls onHead with the head of the current response.
    void deliverHead(request_state &request);
    void end(send_id id, const response_end &how, const char *detail);
    /// Ends a request of which nothing was sent, in the next round of the loop, so that no callback runs
    /// inside start().
    void endUnsentLater(send_id id, std::string detail);
    /// Ends a request whose response is complete and keeps its connection if it is reusable.
    void onComplete(send_id id, request_state &request);
    /// Closes expired idle connections and fails requests whose connection attempt timed out.
    void sweep();
};

std::unique_ptr<backend_pool::impl::connection> backend_pool::impl::takeIdle(const peer_address &to)
{
    const auto found = idle.find(to);
    if (found == idle.end() || found->second.empty()) {
        return nullptr;
    }
    // Reuses the connection used last, so that surplus ones time out and close.
    auto link = std::move(found->second.back());
    found->second.pop_back();
    link->watch.reset();
    char byte = 0;
    const ssize_t count = recv(link->fd.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count >= 0 || errno != EAGAIN || link->idleUntil < bootNow()) {
        counts.stray += count > 0 ? 1 : 0;
        return takeIdle(to);
    }
    return link;
}

void backend_pool::impl::keepIdle(std::unique_ptr<connection> link, millis idleTimeout)
{
    auto &connections = idle[link->to];
    if (idleTimeout.count <= 0 || connections.size() >= maxIdlePerServer) {
        return;
    }
    link->idleUntil = bootNow() + idleTimeout;
    // An idle connection becomes readable when the server closes it or sends bytes that belong to no request.
    // Either way it is closed.
    connection *raw = link.get();
    link->watchedEvents = eventRead;
    link->watch = events.watch(raw->fd.get(), eventRead, [this, raw](int) {
        auto &siblings = idle[raw->to];
        for (auto it = siblings.begin(); it != siblings.end(); ++it) {
            if (it->get() == raw) {
                const auto dropped = std::move(*it);
                siblings.erase(it);
                return;
            }
        }
    });
    connections.push_back(std::move(link));
}

void backend_pool::impl::open(send_id id, request_state &request)
{
    connection &link = *request.link;
    const auto address = toSocketAddress(link.to);
    if (!address) {
        endUnsentLater(id, "the server's address is not a numeric IP address");
        return;
    }
    link.fd = owned_fd(socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!link.fd) {
        endUnsentLater(id, std::string("socket: ") + std::strerror(errno));
        return;
    }
    setSocketOptions(link.fd.get());
    if (connect(link.fd.get(), address->raw(), address->size) != 0 && errno != EINPROGRESS) {
        const int code = errno;
        if (isLinkError(code)) {
            reportConnect(link.to, false);
        }
        endUnsentLater(id, std::string("connect: ") + std::strerror(code));
        return;
    }
    ++counts.opened;
    request.connecting = true;
    request.connectDeadline = bootNow() + connectTimeout;
    watch(id, link, eventWrite);
}

void backend_pool::impl::reportConnect(const peer_address &to, bool connected)
{
    counts.connectFailures += connected ? 0 : 1;
    if (onConnectAttempt) {
        onConnectAttempt(to, connected);
    }
}

void backend_pool::impl::watch(send_id id, connection &link, int mask)
{
    if (link.watch && link.watchedEvents == mask) {
        return;
    }
    link.watchedEvents = mask;
    link.watch = events.watch(link.fd.get(), mask, [this, id](int happened) {
        onEvents(id, happened);
    });
}

void backend_pool::impl::onEvents(send_id id, int mask)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    const request_ptr request = found->second;
    if ((mask & eventWrite) != 0) {
        onWritable(id, *request);
    }
    if ((mask & eventRead) != 0 && requests.count(id) != 0) {
        onReadable(id, *request);
    }
}

void backend_pool::impl::onWritable(send_id id, request_state &request)
{
    if (request.connecting) {
        const int code = pendingError(request.link->fd.get());
        if (code != 0) {
            if (isLinkError(code)) {
                reportConnect(request.link->to, false);
            }
            end(id, unsentEnd(), std::strerror(code));
            return;
        }
        request.connecting = false;
        reportConnect(request.link->to, true);
        if (requests.count(id) == 0) {
            return;
        }
    }
    while (request.sent < request.out.size() && request.failure == 0) {
        const ssize_t count = send(request.link->fd.get(), request.out.data() + request.sent,
            request.out.size() - request.sent, MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            watch(id, *request.link, eventRead | eventWrite);
            return;
        }
        if (count < 0) {
            // The server may have responded before it had received the whole body; that response may still be
            // in the receive buffer, and is read to its end.
            request.failure = errno;
            break;
        }
        request.sent += static_cast<std::size_t>(count);
    }
    watch(id, *request.link, receiveEvents(request));
}

void backend_pool::impl::onReadable(send_id id, request_state &request)
{
    std::array<char, readBlockBytes> block{};
    const ssize_t count = recv(request.link->fd.get(), block.data(), block.size(), 0);
    const int code = count < 0 ? errno : 0;
    if (code == EINTR || (code == EAGAIN && request.failure == 0)) {
        return;
    }
    if (count <= 0) {
        request.failure = request.failure != 0 ? request.failure : code;
        onReceivedEnd(id, request);
        return;
    }
    request.receivedAny = true;
    request.in.append(block.data(), static_cast<std::size_t>(count));
    const request_ptr requestGuard = requests.at(id); // its callbacks may cancel the request
    while (parse(id, request)) {
    }
    if (requests.count(id) != 0 && request.in.size() > maxUnparsedBytes) {
        end(id, brokenEnd(connection_end::Open), "a head, a chunk's size or the trailers are too long");
    }
}

/// Ends a request whose connection brings no more. After a failure it has not ended in order, even if the
/// system now says so.
void backend_pool::impl::onReceivedEnd(send_id id, request_state &request)
{
    if (request.failure != 0) {
        const bool unsent = request.sent == 0 && !request.receivedAny;
        end(id, unsent ? unsentEnd() : responseEnd(request, endOf(request.failure)),
            std::strerror(request.failure));
        return;
    }
    const response_end ended = responseEnd(request, connection_end::Orderly);
    end(id, ended,
        resultOf(ended) == send_result::Unknown
            ? "the response has no length and no chunks, and the server closed the connection"
            : "the server closed the connection before its response was complete");
}

response_end backend_pool::impl::responseEnd(const request_state &request, connection_end connection)
{
    response_end end = brokenEnd(connection);
    if (request.headDelivered && !request.discarding) {
        end.framing = framingOf(request.reader.head(), request.noBody);
        end.framingComplete = request.reader.state() == read_state::Done;
    }
    return end;
}

void backend_pool::impl::deliverHead(request_state &request)
{
    request.headDelivered = true;
    request.discarding = !request.handlers.onHead(request.reader.head());
    request.discardedAny = request.discardedAny || request.discarding;
}

/// Parses one step of the received bytes; true if there may be more to parse.
bool backend_pool::impl::parse(send_id id, request_state &request)
{
    const request_ptr requestGuard = requests.at(id); // its callbacks may cancel the request
    if (request.in.empty()) {
        return false;
    }
    std::size_t used = 0;
    const read_state state = request.reader.feed(request.in, used);
    request.in.erase(0, used);
    if (state == read_state::Invalid) {
        end(id, brokenEnd(connection_end::Open), "the server's response is not valid HTTP");
        return false;
    }
    if (state == read_state::Head) {
        return false;
    }
    const bool interim = request.reader.head().status < firstFinalStatus;
    if (!interim && !request.headDelivered) {
        deliverHead(request);
        if (requests.count(id) == 0) {
            return false;
        }
    }
    std::string body = request.reader.takeBody();
    if (!interim && !request.discarding && !body.empty()) {
        request.handlers.onBody(std::move(body));
        if (requests.count(id) == 0) {
            return false;
        }
    }
    if (state != read_state::Done) {
        return false;
    }
    request.interimResponses += interim ? 1 : 0;
    if (request.interimResponses > maxInterimResponses) {
        end(id, brokenEnd(connection_end::Open), "there are too many interim responses");
        return false;
    }
    if (interim || request.discarding) {
        request.reader = newReader();
        if (request.noBody) {
            request.reader.expectNoBody();
        }
        request.headDelivered = false;
        request.discarding = false;
        return true;
    }
    onComplete(id, request);
    return false;
}

void backend_pool::impl::onComplete(send_id id, request_state &request)
{
    // The connection is kept only if the next response on it must belong to the next request. A server that
    // responded before it had the whole body is still reading that body, and after extra bytes the responses
    // no longer match the requests.
    const bool clean = request.in.empty() && !request.discardedAny && request.sent == request.out.size()
        && request.reader.state() == read_state::Done && request.reader.keepsConnection();
    counts.stray += request.in.empty() ? 0 : 1;
    if (clean) {
        auto link = std::move(request.link);
        link->watch.reset();
        const millis keepTime = idleTimeoutOf(request.reader.head());
        keepTimes[link->to] = {keepTime, bootNow()};
        keepIdle(std::move(link), keepTime);
    }
    end(id, responseEnd(request, connection_end::Open), "");
}

void backend_pool::impl::end(send_id id, const response_end &how, const char *detail)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    const request_ptr request = found->second;
    requests.erase(found);
    if (request->link) {
        request->link->watch.reset();
    }
    error why;
    if (resultOf(how) != send_result::Complete) {
        why = {error_kind::ConnectionLost, "backend server", detail};
    }
    request->handlers.onEnd(how, why);
}

void backend_pool::impl::endUnsentLater(send_id id, std::string detail)
{
    events.post([this, stillAlive = alive, id, text = std::move(detail)] {
        if (*stillAlive) {
            end(id, unsentEnd(), text.c_str());
        }
    });
}

void backend_pool::impl::sweep()
{
    const millis now = bootNow();
    for (auto it = idle.begin(); it != idle.end();) {
        std::erase_if(it->second, [now](const auto &link) {
            return link->idleUntil < now;
        });
        it = it->second.empty() ? idle.erase(it) : std::next(it);
    }
    std::erase_if(keepTimes, [now](const auto &each) {
        return now - each.second.updatedAt > keepTimeExpiry;
    });
    std::vector<send_id> timedOut;
    for (const auto &[id, request] : requests) {
        if (request->connecting && request->connectDeadline < now) {
            timedOut.push_back(id);
        }
    }
    for (const send_id id : timedOut) {
        const auto found = requests.find(id);
        if (found == requests.end()) {
            continue; // cancelled by a callback of another one
        }
        reportConnect(peer_address(found->second->link->to), false);
        end(id, unsentEnd(), "the server did not accept the connection in time");
    }
}

backend_pool::backend_pool(loop &eventLoop)
    : m_impl(std::make_unique<impl>(eventLoop))
{
}

backend_pool::~backend_pool() = default;

backend_pool::send_id backend_pool::start(
    const peer_address &to, std::string bytes, bool noBody, send_handlers handlers)
{
    const send_id id = ++m_impl->lastId;
    auto request = std::make_shared<impl::request_state>();
    request->out = std::move(bytes);
    request->noBody = noBody;
    request->handlers = std::move(handlers);
    if (noBody) {
        request->reader.expectNoBody();
    }
    m_impl->requests.emplace(id, request);
    request->link = m_impl->takeIdle(to);
    if (request->link) {
        ++m_impl->counts.reused;
        m_impl->watch(id, *request->link, eventRead | eventWrite);
        return id;
    }
    request->link = std::make_unique<impl::connection>();
    request->link->to = to;
    m_impl->open(id, *request);
    return id;
}

void backend_pool::cancel(send_id id)
{
    m_impl->requests.erase(id);
}

void backend_pool::abort(send_id id)
{
    const auto found = m_impl->requests.find(id);
    if (found != m_impl->requests.end() && found->second->link && found->second->link->fd) {
        // Lingering for 0 s makes close() reset the connection and discard the bytes not sent yet.
        const linger resetOnClose{1, 0};
        (void)setsockopt(
            found->second->link->fd.get(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    }
    cancel(id);
}

void backend_pool::setReceiving(send_id id, bool receiving)
{
    const auto found = m_impl->requests.find(id);
    if (found == m_impl->requests.end() || found->second->receiving == receiving) {
        return;
    }
    impl::request_state &request = *found->second;
    request.receiving = receiving;
    if (!request.connecting && (request.sent == request.out.size() || request.failure != 0)) {
        m_impl->watch(id, *request.link, impl::receiveEvents(request));
    }
}

void backend_pool::forget(const peer_address &to)
{
    m_impl->idle.erase(to);
    m_impl->keepTimes.erase(to);
}

std::optional<millis> backend_pool::reusableFor(const peer_address &to) const
{
    const auto found = m_impl->idle.find(to);
    if (found == m_impl->idle.end() || found->second.empty()) {
        return std::nullopt;
    }
    const millis left = found->second.back()->idleUntil - bootNow();
    return left.count > 0 ? std::optional(left) : std::nullopt;
}

millis backend_pool::keepTime(const peer_address &to) const
{
    const auto found = m_impl->keepTimes.find(to);
    return found == m_impl->keepTimes.end() ? millis{} : found->second.value;
}

bool backend_pool::isConnecting(send_id id) const
{
    const auto found = m_impl->requests.find(id);
    return found != m_impl->requests.end() && found->second->connecting;
}

void backend_pool::setConnectObserver(connect_observer observer)
{
    m_impl->onConnectAttempt = std::move(observer);
}

const pool_counters &backend_pool::counters() const
{
    return m_impl->counts;
}

}
