#include "transport/http_server.h"

#include "transport/header_text.h"
#include "transport/http_exchange.h"

#include <arpa/inet.h>
#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdarg>
#include <cstdio>
#include <deque>
#include <unordered_map>

namespace briarhead {

namespace {

using detail::connection_state;
using detail::exchange;
using detail::exchange_ptr;
using detail::reply_phase;

constexpr unsigned int listenBacklog = 1024;
constexpr unsigned int connectionLimit = 16384;
/// A connection on which nothing moves for so long is closed; suspended ones are not counted.
constexpr unsigned int idleTimeoutSeconds = 75;
constexpr std::size_t streamBlockBytes = 8192;
constexpr int hangupBatch = 64;

struct response_deleter
{
    void operator()(MHD_Response *response) const
    {
        MHD_destroy_response(response);
    }
};
using response_ptr = std::unique_ptr<MHD_Response, response_deleter>;

/// An address by IP number in the form that bind() takes.
struct bind_address
{
    sockaddr_storage storage{};

    bool parse(const std::string &address, std::uint16_t port)
    {
        auto *v4 = reinterpret_cast<sockaddr_in *>(&storage);
        if (inet_pton(AF_INET, address.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(port);
            return true;
        }
        auto *v6 = reinterpret_cast<sockaddr_in6 *>(&storage);
        if (inet_pton(AF_INET6, address.c_str(), &v6->sin6_addr) == 1) {
            v6->sin6_family = AF_INET6;
            v6->sin6_port = htons(port);
            return true;
        }
        return false;
    }
    bool isV6() const
    {
        return storage.ss_family == AF_INET6;
    }
    const sockaddr *raw() const
    {
        return reinterpret_cast<const sockaddr *>(&storage);
    }
};

/// The daemon on the loop. No function of a user ever runs inside libmicrohttpd: requests and lost
/// connections are noted there and told after MHD_run() returned, so that a handler may answer, abort or
/// destroy whatever it likes, the server included.
class server_impl final : public http_server, private detail::exchange_host
{
public:
    server_impl(loop &eventLoop, std::size_t bodyLimit, handler onRequest)
        : m_loop(eventLoop)
        , m_bodyLimit(bodyLimit)
        , m_handler(std::make_shared<handler>(std::move(onRequest)))
    {
    }
    ~server_impl() override;
    server_impl(const server_impl &) = delete;
    server_impl &operator=(const server_impl &) = delete;

    bool start(const std::string &address, std::uint16_t port, error &why);
    std::uint16_t port() const override;
    std::size_t activeRequests() const override;
    void stopListening() override;

private:
    void scheduleRun() override;
    void scheduleClosed(exchange_ptr lost) override;
    void watchDaemon();
    void runDaemon();
    void armTimer();
    void tellHandlers();
    void collectHangups();
    void onHangup(connection_state &peer);
    MHD_Result onAccess(MHD_Connection *connection, const char *url, const char *method, const char *upload,
        std::size_t *uploadSize, void **context);
    MHD_Result onFirstCall(MHD_Connection *connection, const char *url, const char *method, void **context);
    void takeUpload(exchange &one, const char *upload, std::size_t size) const;
    MHD_Result queueAnswer(exchange &one);
    void onCompleted(exchange &one, MHD_RequestTerminationCode how);
    void onConnection(MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what);

    static MHD_Result accessThunk(void *self, MHD_Connection *connection, const char *url, const char *method,
        const char *version, const char *upload, std::size_t *uploadSize, void **context);
    static void completedThunk(
        void *self, MHD_Connection *connection, void **context, MHD_RequestTerminationCode how);
    static void connectionThunk(
        void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what);
    static void logThunk(void *self, const char *format, va_list arguments);

    loop &m_loop;
    std::size_t m_bodyLimit;
    std::shared_ptr<handler> m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::uint16_t m_port = 0;
    bool m_listening = false;
    bool m_stopping = false;
    bool m_runScheduled = false;
    int m_hangupFd = -1;
    ev_timer m_timer{};
    std::shared_ptr<void> m_daemonWatch;
    std::shared_ptr<void> m_hangupWatch;
    std::unordered_map<exchange *, exchange_ptr> m_exchanges;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection_state>> m_connections;
    std::uint64_t m_lastConnection = 0;
    std::deque<exchange_ptr> m_arrived;
    std::deque<exchange_ptr> m_lost;
    std::vector<std::function<void()>> m_unused; ///< functions of users to destroy outside libmicrohttpd
    std::string m_lastLog;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

server_impl::~server_impl()
{
    *m_alive = false;
    m_stopping = true;
    if (m_daemon == nullptr) {
        return;
    }
    ev_timer_stop(m_loop.raw(), &m_timer);
    m_daemonWatch.reset();
    m_hangupWatch.reset();
    // libmicrohttpd ends the process when it is stopped with suspended connections. They are resumed as
    // aborted, and the run closes them.
    for (const auto &[raw, one] : m_exchanges) {
        one->phase = reply_phase::Aborted;
        if (one->suspended) {
            one->suspended = false;
            MHD_resume_connection(one->connection);
        }
    }
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
    ::close(m_hangupFd);
    for (const auto &[raw, one] : m_exchanges) {
        one->connection = nullptr;
    }
}

bool server_impl::start(const std::string &address, std::uint16_t port, error &why)
{
    const std::string where = address + ':' + std::to_string(port);
    bind_address bindTo;
    if (!bindTo.parse(address, port)) {
        why = {error_kind::BadSettings, where, "the address to listen on is no IP number"};
        return false;
    }
    m_hangupFd = epoll_create1(EPOLL_CLOEXEC);
    unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
    if (bindTo.isV6()) {
        flags |= MHD_USE_IPv6;
    }
    m_daemon = MHD_start_daemon(flags, port, nullptr, nullptr, accessThunk, this, MHD_OPTION_EXTERNAL_LOGGER,
        logThunk, this, MHD_OPTION_SOCK_ADDR, bindTo.raw(), MHD_OPTION_NOTIFY_COMPLETED, completedThunk, this,
        MHD_OPTION_NOTIFY_CONNECTION, connectionThunk, this, MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog,
        MHD_OPTION_CONNECTION_LIMIT, connectionLimit, MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds,
        MHD_OPTION_END);
    if (m_daemon == nullptr) {
        ::close(m_hangupFd);
        why = {error_kind::BadSettings, where, m_lastLog.empty() ? "cannot listen there" : m_lastLog};
        return false;
    }
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    m_listening = true;
    watchDaemon();
    return true;
}

void server_impl::watchDaemon()
{
    const int epollFd = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_daemonWatch = m_loop.watch(epollFd, EV_READ, [this](int) {
        runDaemon();
    });
    m_hangupWatch = m_loop.watch(m_hangupFd, EV_READ, [this](int) {
        collectHangups();
    });
    ev_timer_init(
        &m_timer,
        [](struct ev_loop *, ev_timer *self, int) {
            static_cast<server_impl *>(self->data)->runDaemon();
        },
        0.0, 0.0);
    m_timer.data = this;
}

std::uint16_t server_impl::port() const
{
    return m_port;
}

std::size_t server_impl::activeRequests() const
{
    return m_exchanges.size();
}

void server_impl::stopListening()
{
    if (!m_listening) {
        return;
    }
    m_listening = false;
    const int fd = MHD_quiesce_daemon(m_daemon);
    if (fd < 0) {
        return;
    }
    // The kernel has taken connections that wait in the listen queue; closing the socket would reset
    // them, and their callers would see a request lost in a graceful shutdown.
    sockaddr_storage from{};
    socklen_t length = sizeof(from);
    int taken = -1;
    while ((taken = accept4(fd, reinterpret_cast<sockaddr *>(&from), &length, SOCK_CLOEXEC | SOCK_NONBLOCK))
        >= 0) {
        if (MHD_add_connection(m_daemon, taken, reinterpret_cast<sockaddr *>(&from), length) != MHD_YES) {
            spdlog::debug("http: a connection from the listen queue was not taken");
        }
        length = sizeof(from);
    }
    ::close(fd);
    scheduleRun();
}

void server_impl::scheduleRun()
{
    if (m_runScheduled || m_stopping) {
        return;
    }
    m_runScheduled = true;
    m_loop.post([this, alive = m_alive] {
        if (*alive) {
            runDaemon();
        }
    });
}

void server_impl::scheduleClosed(exchange_ptr lost)
{
    m_lost.push_back(std::move(lost));
    scheduleRun();
}

void server_impl::runDaemon()
{
    m_runScheduled = false;
    MHD_run(m_daemon);
    armTimer();
    tellHandlers();
}

void server_impl::armTimer()
{
    ev_timer_stop(m_loop.raw(), &m_timer);
    MHD_UNSIGNED_LONG_LONG waitMs = 0;
    if (MHD_get_timeout(m_daemon, &waitMs) == MHD_YES) {
        ev_timer_set(&m_timer, static_cast<double>(waitMs) / 1000.0, 0.0);
        ev_timer_start(m_loop.raw(), &m_timer);
    }
}

void server_impl::tellHandlers()
{
    const auto alive = m_alive;
    const auto handlerCopy = m_handler;
    m_unused.clear();
    while (*alive && !m_lost.empty()) {
        const exchange_ptr one = std::move(m_lost.front());
        m_lost.pop_front();
        if (one->isOpen() && one->phase == reply_phase::Answered) {
            // Answered since the hangup was seen; whether it can be delivered shows when it is written.
            continue;
        }
        const auto call = std::exchange(one->onClosed, nullptr);
        one->abort();
        if (call) {
            call();
        }
    }
    while (*alive && !m_arrived.empty()) {
        const exchange_ptr one = std::move(m_arrived.front());
        m_arrived.pop_front();
        (*handlerCopy)(std::move(one->request), std::make_shared<detail::reply_handle>(one));
    }
}

void server_impl::collectHangups()
{
    std::array<epoll_event, hangupBatch> events{};
    const int count = epoll_wait(m_hangupFd, events.data(), hangupBatch, 0);
    for (int i = 0; i < count; ++i) {
        // Looked up by number: the connection may have closed since the kernel noted the event.
        const auto found = m_connections.find(events[static_cast<std::size_t>(i)].data.u64);
        if (found != m_connections.end()) {
            onHangup(*found->second);
        }
    }
    tellHandlers();
}

void server_impl::onHangup(connection_state &peer)
{
    peer.hungUp = true;
    exchange *one = peer.current;
    if (one == nullptr || !one->isOpen() || one->phase == reply_phase::Answered) {
        return;
    }
    // Whoever set no onClosed does not care whether the caller is still there. The answer is then tried
    // all the same, which also serves a caller that only closed its sending side.
    if (one->onClosed) {
        m_lost.push_back(one->shared_from_this());
    }
}

MHD_Result server_impl::onFirstCall(
    MHD_Connection *connection, const char *url, const char *method, void **context)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto one = std::make_shared<exchange>();
    one->host = this;
    one->connection = connection;
    one->peer = static_cast<connection_state *>(info->socket_context);
    one->peer->current = one.get();
    one->request.method = method;
    one->request.path = url;
    const auto addTo = [](void *map, MHD_ValueKind kind, const char *key, std::size_t keySize,
                           const char *value, std::size_t valueSize) {
        std::string name(key, keySize);
        if (kind == MHD_HEADER_KIND) {
            name = detail::lowerCase(name);
        }
        const std::string text(value == nullptr ? "" : value, value == nullptr ? 0 : valueSize);
        auto &values = *static_cast<std::map<std::string, std::string> *>(map);
        const auto [found, isNew] = values.try_emplace(std::move(name), text);
        if (!isNew && kind == MHD_HEADER_KIND) {
            found->second.append(", ").append(text);
        }
        return MHD_YES;
    };
    MHD_get_connection_values_n(connection, MHD_GET_ARGUMENT_KIND, addTo, &one->request.query);
    MHD_get_connection_values_n(connection, MHD_HEADER_KIND, addTo, &one->request.headers);
    *context = one.get();
    m_exchanges.emplace(one.get(), std::move(one));
    return MHD_YES;
}

void server_impl::takeUpload(exchange &one, const char *upload, std::size_t size) const
{
    http_request &request = one.request;
    if (request.tooLarge || size > m_bodyLimit - request.body.size()) {
        // Read on and dropped: a caller that is still sending would not see an earlier answer.
        request.tooLarge = true;
        std::string().swap(request.body);
        return;
    }
    request.body.append(upload, size);
}

MHD_Result server_impl::onAccess(MHD_Connection *connection, const char *url, const char *method,
    const char *upload, std::size_t *uploadSize, void **context)
{
    if (*context == nullptr) {
        return onFirstCall(connection, url, method, context);
    }
    auto &one = *static_cast<exchange *>(*context);
    if (*uploadSize > 0) {
        takeUpload(one, upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    // Guards against: a request that arrives in the destructor's last turn is suspended, and stopping the
    // server with a suspended connection ends the process. It shows as an abort at shutdown under load.
    if (m_stopping) {
        return MHD_NO;
    }
    switch (one.phase) {
    case reply_phase::Reading:
        one.phase = reply_phase::Waiting;
        m_arrived.push_back(one.shared_from_this());
        one.suspend();
        return MHD_YES;
    case reply_phase::Waiting:
        one.suspend();
        return MHD_YES;
    case reply_phase::Answering:
    case reply_phase::Answered:
        return queueAnswer(one);
    case reply_phase::Aborted:
        break;
    }
    return MHD_NO;
}

MHD_Result server_impl::queueAnswer(exchange &one)
{
    if (one.queued) {
        return MHD_YES;
    }
    // The response may be the last to go, so it owns a share of the exchange that its bytes live in.
    auto owner = std::make_unique<exchange_ptr>(one.shared_from_this());
    const auto drop = [](void *share) {
        delete static_cast<exchange_ptr *>(share);
    };
    response_ptr response;
    if (one.streamed) {
        const auto reader = [](void *share, std::uint64_t, char *buffer, std::size_t size) {
            return (*static_cast<exchange_ptr *>(share))->read(buffer, size);
        };
        response.reset(
            MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, reader, owner.get(), drop));
    } else {
        response.reset(MHD_create_response_from_buffer_with_free_callback_cls(
            one.out.size(), one.out.data(), drop, owner.get()));
    }
    if (!response) {
        return MHD_NO;
    }
    static_cast<void>(owner.release());
    for (const auto &[name, value] : one.headers) {
        const std::string lower = detail::lowerCase(name);
        // The framing of the answer is libmicrohttpd's own.
        if (lower == "content-length" || lower == "transfer-encoding") {
            continue;
        }
        if (MHD_add_response_header(response.get(), name.c_str(), value.c_str()) != MHD_YES) {
            spdlog::debug("http: header {} cannot be sent", name);
        }
    }
    if (!m_listening) {
        // A caller that kept the connection would send its next request to an instance that is leaving.
        MHD_add_response_header(response.get(), MHD_HTTP_HEADER_CONNECTION, "close");
    }
    one.queued = true;
    return MHD_queue_response(one.connection, static_cast<unsigned int>(one.status), response.get());
}

void server_impl::onCompleted(exchange &one, MHD_RequestTerminationCode how)
{
    const exchange_ptr held = one.shared_from_this();
    m_exchanges.erase(&one);
    one.peer->current = nullptr;
    one.peer = nullptr;
    one.connection = nullptr;
    one.suspended = false;
    if (!one.onClosed) {
        return;
    }
    if (how == MHD_REQUEST_TERMINATED_COMPLETED_OK || m_stopping) {
        m_unused.push_back(std::exchange(one.onClosed, nullptr));
    } else {
        m_lost.push_back(held);
    }
}

void server_impl::onConnection(
    MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what)
{
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        auto *peer = static_cast<connection_state *>(*context);
        epoll_ctl(m_hangupFd, EPOLL_CTL_DEL, peer->fd, nullptr);
        m_connections.erase(peer->id);
        return;
    }
    auto peer = std::make_unique<connection_state>();
    peer->id = ++m_lastConnection;
    peer->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    const int on = 1;
    setsockopt(peer->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    // libmicrohttpd does not look at suspended connections, so a caller that goes away while its answer
    // is being made would be seen by nobody. A second epoll set reports the end of each connection
    // once, and nothing else: bytes of a next request do not wake it.
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.u64 = peer->id;
    epoll_ctl(m_hangupFd, EPOLL_CTL_ADD, peer->fd, &event);
    *context = peer.get();
    m_connections.emplace(peer->id, std::move(peer));
}

MHD_Result server_impl::accessThunk(void *self, MHD_Connection *connection, const char *url,
    const char *method, const char *, const char *upload, std::size_t *uploadSize, void **context)
{
    return static_cast<server_impl *>(self)->onAccess(connection, url, method, upload, uploadSize, context);
}

void server_impl::completedThunk(void *self, MHD_Connection *, void **context, MHD_RequestTerminationCode how)
{
    if (*context != nullptr) {
        static_cast<server_impl *>(self)->onCompleted(*static_cast<exchange *>(*context), how);
        *context = nullptr;
    }
}

void server_impl::connectionThunk(
    void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what)
{
    static_cast<server_impl *>(self)->onConnection(connection, context, what);
}

void server_impl::logThunk(void *self, const char *format, va_list arguments)
{
    std::array<char, 512> line{};
    std::vsnprintf(line.data(), line.size(), format, arguments);
    auto &last = static_cast<server_impl *>(self)->m_lastLog;
    last = line.data();
    while (!last.empty() && (last.back() == '\n' || last.back() == '.')) {
        last.pop_back();
    }
    spdlog::debug("http: {}", last);
}

}

std::unique_ptr<http_server> http_server::listen(loop &eventLoop, const std::string &address,
    std::uint16_t port, std::size_t bodyLimit, handler onRequest, error &why)
{
    auto server = std::make_unique<server_impl>(eventLoop, bodyLimit, std::move(onRequest));
    if (!server->start(address, port, why)) {
        return nullptr;
    }
    return server;
}

}
