#include "transport/http_server.h"

#include "transport/header_text.h"
#include "transport/http_exchange.h"
#include "transport/peer_socket.h"

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
constexpr unsigned int maxConnections = 16384;
/// A connection without traffic for this long is closed, unless it is suspended.
constexpr unsigned int idleTimeoutSeconds = 75;
constexpr std::size_t streamBlockBytes = 8192;
constexpr int maxHangupsPerBatch = 64;

struct response_deleter
{
    void operator()(MHD_Response *response) const
    {
        MHD_destroy_response(response);
    }
};
using response_ptr = std::unique_ptr<MHD_Response, response_deleter>;

/// An IP address in the form that bind() takes.
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

/// Runs a libmicrohttpd daemon on the loop. User callbacks never run inside libmicrohttpd: its callbacks only
/// queue new requests and lost connections, and the handlers are called after MHD_run() has returned. So a
/// handler may respond, abort or destroy anything, including the server.
class server_impl final : public http_server, private detail::exchange_host
{
public:
    server_impl(loop &eventLoop, std::size_t maxBodyBytes, handler onRequest)
        : m_loop(eventLoop)
        , m_maxBodyBytes(maxBodyBytes)
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
    void setAdmission(std::function<bool()> admit) override
    {
        m_admit = std::move(admit);
    }

private:
    void scheduleRun() override;
    void scheduleClosed(exchange_ptr lost) override;
    void watchDaemon();
    void runDaemon();
    void armTimer();
    void notifyHandlers();
    void collectHangups();
    void onHangup(connection_state &connection);
    MHD_Result onAccess(MHD_Connection *connection, const char *url, const char *method, const char *version,
        const char *upload, std::size_t *uploadSize, void **context);
    MHD_Result onFirstCall(MHD_Connection *connection, const char *url, const char *method, void **context);
    void appendUpload(exchange &httpExchange, const char *upload, std::size_t size) const;
    MHD_Result queueResponse(exchange &httpExchange);
    void onCompleted(exchange &httpExchange, MHD_RequestTerminationCode code);
    void onConnection(
        MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode notification);

    static MHD_Result accessThunk(void *self, MHD_Connection *connection, const char *url, const char *method,
        const char *version, const char *upload, std::size_t *uploadSize, void **context);
    static MHD_Result policyThunk(void *self, const sockaddr *address, socklen_t addressSize);
    static void completedThunk(
        void *self, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code);
    static void connectionThunk(
        void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode notification);
    static void logThunk(void *self, const char *format, va_list arguments);

    loop &m_loop;
    std::size_t m_maxBodyBytes;
    std::shared_ptr<handler> m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::uint16_t m_port = 0;
    std::function<bool()> m_admit;
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
    std::deque<exchange_ptr> m_newExchanges;
    std::deque<exchange_ptr> m_closedExchanges;
    /// User callbacks, to be destroyed outside libmicrohttpd.
    std::vector<std::function<void()>> m_discardedCallbacks;
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
    // libmicrohttpd aborts the process if it is stopped with suspended connections. So they are marked as
    // aborted and resumed, and MHD_run() closes them.
    for (const auto &[raw, openExchange] : m_exchanges) {
        openExchange->phase = reply_phase::Aborted;
        if (openExchange->queued && openExchange->endsWithConnection()) {
            resetConnection(openExchange->peer->fd);
        }
        if (openExchange->suspended) {
            openExchange->suspended = false;
            MHD_resume_connection(openExchange->connection);
        }
    }
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
    ::close(m_hangupFd);
    for (const auto &[raw, openExchange] : m_exchanges) {
        openExchange->connection = nullptr;
    }
}

bool server_impl::start(const std::string &address, std::uint16_t port, error &why)
{
    const std::string listenAddress = address + ':' + std::to_string(port);
    bind_address bindTarget;
    if (!bindTarget.parse(address, port)) {
        why = {error_kind::BadSettings, listenAddress, "the listen address is not an IP address"};
        return false;
    }
    m_hangupFd = epoll_create1(EPOLL_CLOEXEC);
    unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
    if (bindTarget.isV6()) {
        flags |= MHD_USE_IPv6;
    }
    m_daemon = MHD_start_daemon(flags, port, policyThunk, this, accessThunk, this, MHD_OPTION_EXTERNAL_LOGGER,
        logThunk, this, MHD_OPTION_SOCK_ADDR, bindTarget.raw(), MHD_OPTION_NOTIFY_COMPLETED, completedThunk,
        this, MHD_OPTION_NOTIFY_CONNECTION, connectionThunk, this, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        listenBacklog, MHD_OPTION_CONNECTION_LIMIT, maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
        idleTimeoutSeconds, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        ::close(m_hangupFd);
        why = {error_kind::BadSettings, listenAddress,
            m_lastLog.empty() ? "cannot listen on this address" : m_lastLog};
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
    // The kernel has already accepted the connections in the listen queue. Closing the socket would reset
    // them, and their callers would lose requests in a graceful shutdown.
    sockaddr_storage from{};
    socklen_t length = sizeof(from);
    int acceptedFd = -1;
    while (
        (acceptedFd = accept4(fd, reinterpret_cast<sockaddr *>(&from), &length, SOCK_CLOEXEC | SOCK_NONBLOCK))
        >= 0) {
        if (MHD_add_connection(m_daemon, acceptedFd, reinterpret_cast<sockaddr *>(&from), length)
            != MHD_YES) {
            spdlog::debug("http: libmicrohttpd did not accept a connection from the listen queue");
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
    m_closedExchanges.push_back(std::move(lost));
    scheduleRun();
}

void server_impl::runDaemon()
{
    m_runScheduled = false;
    MHD_run(m_daemon);
    armTimer();
    notifyHandlers();
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

void server_impl::notifyHandlers()
{
    const auto alive = m_alive;
    const auto handlerCopy = m_handler;
    m_discardedCallbacks.clear();
    while (*alive && !m_closedExchanges.empty()) {
        const exchange_ptr lost = std::move(m_closedExchanges.front());
        m_closedExchanges.pop_front();
        if (lost->isOpen() && lost->phase == reply_phase::Finished) {
            // The response was completed after the disconnect was detected. Writing it shows whether it can
            // still be delivered.
            continue;
        }
        const auto call = std::exchange(lost->onClosed, nullptr);
        lost->abort();
        if (call) {
            call();
        }
    }
    while (*alive && !m_newExchanges.empty()) {
        const exchange_ptr arrived = std::move(m_newExchanges.front());
        m_newExchanges.pop_front();
        (*handlerCopy)(std::move(arrived->request), std::make_shared<detail::reply_handle>(arrived));
    }
}

void server_impl::collectHangups()
{
    std::array<epoll_event, maxHangupsPerBatch> events{};
    const int count = epoll_wait(m_hangupFd, events.data(), maxHangupsPerBatch, 0);
    for (int i = 0; i < count; ++i) {
        // Looked up by id: the connection may have been closed since the kernel queued the event.
        const auto found = m_connections.find(events[static_cast<std::size_t>(i)].data.u64);
        if (found != m_connections.end()) {
            onHangup(*found->second);
        }
    }
    notifyHandlers();
}

void server_impl::onHangup(connection_state &connection)
{
    connection.hungUp = true;
    exchange *httpExchange = connection.current;
    if (httpExchange == nullptr || !httpExchange->isOpen() || httpExchange->phase == reply_phase::Finished) {
        return;
    }
    // Without onClosed, the handler doesn't need to know whether the caller is still connected. The response
    // is then sent anyway, which also serves a caller that closed only its sending side.
    if (httpExchange->onClosed) {
        m_closedExchanges.push_back(httpExchange->shared_from_this());
    }
}

MHD_Result server_impl::onFirstCall(
    MHD_Connection *connection, const char *url, const char *method, void **context)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto httpExchange = std::make_shared<exchange>();
    httpExchange->host = this;
    httpExchange->connection = connection;
    httpExchange->peer = static_cast<connection_state *>(info->socket_context);
    httpExchange->peer->current = httpExchange.get();
    httpExchange->request.method = method;
    httpExchange->request.path = url;
    const auto addValue = [](void *map, MHD_ValueKind kind, const char *key, std::size_t keySize,
                              const char *value, std::size_t valueSize) {
        std::string name(key, keySize);
        if (kind == MHD_HEADER_KIND) {
            name = detail::lowerCase(name);
        }
        const std::string text(value == nullptr ? "" : value, value == nullptr ? 0 : valueSize);
        auto &values = *static_cast<std::map<std::string, std::string> *>(map);
        const auto [found, inserted] = values.try_emplace(std::move(name), text);
        if (!inserted && kind == MHD_HEADER_KIND) {
            found->second.append(", ").append(text);
        }
        return MHD_YES;
    };
    MHD_get_connection_values_n(connection, MHD_GET_ARGUMENT_KIND, addValue, &httpExchange->request.query);
    MHD_get_connection_values_n(connection, MHD_HEADER_KIND, addValue, &httpExchange->request.headers);
    *context = httpExchange.get();
    m_exchanges.emplace(httpExchange.get(), std::move(httpExchange));
    return MHD_YES;
}

void server_impl::appendUpload(exchange &httpExchange, const char *upload, std::size_t size) const
{
    http_request &request = httpExchange.request;
    if (request.tooLarge || size > m_maxBodyBytes - request.body.size()) {
        // The rest is read and discarded: a caller that is still sending would not see an earlier response.
        request.tooLarge = true;
        std::string().swap(request.body);
        return;
    }
    request.body.append(upload, size);
}

MHD_Result server_impl::onAccess(MHD_Connection *connection, const char *url, const char *method,
    const char *version, const char *upload, std::size_t *uploadSize, void **context)
{
    if (*context == nullptr) {
        const MHD_Result result = onFirstCall(connection, url, method, context);
        static_cast<exchange *>(*context)->isHttp10 = std::string_view(version) == MHD_HTTP_VERSION_1_0;
        return result;
    }
    auto &httpExchange = *static_cast<exchange *>(*context);
    if (*uploadSize > 0) {
        appendUpload(httpExchange, upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    // A request that arrives in the destructor's MHD_run() must not be suspended: stopping libmicrohttpd with
    // a suspended connection aborts the process, which happened at shutdown under load.
    if (m_stopping) {
        return MHD_NO;
    }
    switch (httpExchange.phase) {
    case reply_phase::Reading:
        httpExchange.phase = reply_phase::Waiting;
        m_newExchanges.push_back(httpExchange.shared_from_this());
        httpExchange.suspend();
        return MHD_YES;
    case reply_phase::Waiting:
        httpExchange.suspend();
        return MHD_YES;
    case reply_phase::Streaming:
    case reply_phase::Finished:
        return queueResponse(httpExchange);
    case reply_phase::Aborted:
        break;
    }
    return MHD_NO;
}

MHD_Result server_impl::queueResponse(exchange &httpExchange)
{
    if (httpExchange.queued) {
        return MHD_YES;
    }
    // The response may be destroyed last, so it shares ownership of the exchange that holds its bytes.
    auto owner = std::make_unique<exchange_ptr>(httpExchange.shared_from_this());
    const auto releaseOwner = [](void *ownerPointer) {
        delete static_cast<exchange_ptr *>(ownerPointer);
    };
    response_ptr response;
    if (httpExchange.streamed) {
        const auto reader = [](void *ownerPointer, std::uint64_t, char *buffer, std::size_t size) {
            return (*static_cast<exchange_ptr *>(ownerPointer))->read(buffer, size);
        };
        response.reset(MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, streamBlockBytes, reader, owner.get(), releaseOwner));
    } else {
        response.reset(MHD_create_response_from_buffer_with_free_callback_cls(
            httpExchange.out.size(), httpExchange.out.data(), releaseOwner, owner.get()));
    }
    if (!response) {
        return MHD_NO;
    }
    static_cast<void>(owner.release());
    if (httpExchange.unframed) {
        MHD_set_response_options(response.get(), MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
    }
    for (const auto &[name, value] : httpExchange.headers) {
        const std::string lowerName = detail::lowerCase(name);
        // libmicrohttpd sets the framing headers itself.
        if (lowerName == "content-length" || lowerName == "transfer-encoding") {
            continue;
        }
        if (MHD_add_response_header(response.get(), name.c_str(), value.c_str()) != MHD_YES) {
            spdlog::debug("http: response header {} is invalid and was left out", name);
        }
    }
    if (!m_listening) {
        // Otherwise, the caller would send its next request on this connection to an instance that shuts
        // down.
        MHD_add_response_header(response.get(), MHD_HTTP_HEADER_CONNECTION, "close");
    }
    httpExchange.queued = true;
    if (httpExchange.endsWithConnection()) {
        // Until the end, however this process ends: an orderly close would say that this is all.
        setResetOnClose(httpExchange.peer->fd, true);
    }
    return MHD_queue_response(
        httpExchange.connection, static_cast<unsigned int>(httpExchange.status), response.get());
}

void server_impl::onCompleted(exchange &httpExchange, MHD_RequestTerminationCode code)
{
    const exchange_ptr keepAlive = httpExchange.shared_from_this();
    m_exchanges.erase(&httpExchange);
    httpExchange.peer->current = nullptr;
    httpExchange.peer = nullptr;
    httpExchange.connection = nullptr;
    httpExchange.suspended = false;
    if (!httpExchange.onClosed) {
        return;
    }
    if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK || m_stopping) {
        m_discardedCallbacks.push_back(std::exchange(httpExchange.onClosed, nullptr));
    } else {
        m_closedExchanges.push_back(keepAlive);
    }
}

void server_impl::onConnection(
    MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode notification)
{
    if (notification == MHD_CONNECTION_NOTIFY_CLOSED) {
        auto *state = static_cast<connection_state *>(*context);
        epoll_ctl(m_hangupFd, EPOLL_CTL_DEL, state->fd, nullptr);
        m_connections.erase(state->id);
        return;
    }
    auto state = std::make_unique<connection_state>();
    state->id = ++m_lastConnection;
    state->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    const int enabled = 1;
    setsockopt(state->fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    // libmicrohttpd doesn't watch suspended connections, so it would not detect a caller that disconnects
    // while its response is prepared. A second epoll set reports the end of each connection once and nothing
    // else: the bytes of a pipelined request don't wake it.
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.u64 = state->id;
    epoll_ctl(m_hangupFd, EPOLL_CTL_ADD, state->fd, &event);
    *context = state.get();
    m_connections.emplace(state->id, std::move(state));
}

MHD_Result server_impl::policyThunk(void *self, const sockaddr *, socklen_t)
{
    const auto *server = static_cast<server_impl *>(self);
    return !server->m_admit || server->m_admit() ? MHD_YES : MHD_NO;
}

MHD_Result server_impl::accessThunk(void *self, MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload, std::size_t *uploadSize, void **context)
{
    return static_cast<server_impl *>(self)->onAccess(
        connection, url, method, version, upload, uploadSize, context);
}

void server_impl::completedThunk(
    void *self, MHD_Connection *, void **context, MHD_RequestTerminationCode code)
{
    if (*context != nullptr) {
        static_cast<server_impl *>(self)->onCompleted(*static_cast<exchange *>(*context), code);
        *context = nullptr;
    }
}

void server_impl::connectionThunk(
    void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode notification)
{
    static_cast<server_impl *>(self)->onConnection(connection, context, notification);
}

void server_impl::logThunk(void *self, const char *format, va_list arguments)
{
    std::array<char, 512> line{};
    std::vsnprintf(line.data(), line.size(), format, arguments);
    auto &lastLine = static_cast<server_impl *>(self)->m_lastLog;
    lastLine = line.data();
    while (!lastLine.empty() && (lastLine.back() == '\n' || lastLine.back() == '.')) {
        lastLine.pop_back();
    }
    spdlog::debug("http: {}", lastLine);
}

}

std::unique_ptr<http_server> http_server::listen(loop &eventLoop, const std::string &address,
    std::uint16_t port, std::size_t maxBodyBytes, handler onRequest, error &why)
{
    auto server = std::make_unique<server_impl>(eventLoop, maxBodyBytes, std::move(onRequest));
    if (!server->start(address, port, why)) {
        return nullptr;
    }
    return server;
}

}
