#include "transport/http_client.h"

#include "transport/header_text.h"

#include <curl/curl.h>
#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace briarhead {

namespace {

constexpr long maxIdleConnections = 1024;
constexpr std::size_t maxIdleHandles = 256;
constexpr long keepAliveIdleSeconds = 10;
constexpr long keepAliveIntervalSeconds = 5;
constexpr int firstFinalStatus = 200;

struct easy_deleter
{
    void operator()(CURL *easy) const
    {
        curl_easy_cleanup(easy);
    }
};
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;

struct list_deleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};
using list_ptr = std::unique_ptr<curl_slist, list_deleter>;

error_kind kindOf(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return error_kind::None;
    case CURLE_OPERATION_TIMEDOUT:
        return error_kind::Timeout;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return error_kind::BadRequest;
    case CURLE_OUT_OF_MEMORY:
    case CURLE_FAILED_INIT:
        return error_kind::Internal;
    default:
        return error_kind::ConnectionLost;
    }
}

/// libcurl takes an orderly close for the end of a response that has neither a length nor chunks.
response_end endOf(const http_result &result, CURLcode code, bool noBody)
{
    if (!result.sent) {
        return unsentEnd();
    }
    http_head head;
    head.status = result.status;
    for (const auto &[name, value] : result.headers) {
        head.fields.push_back({name, value});
    }
    const bool ended = code == CURLE_OK && result.status != 0;
    response_end end = brokenEnd(connection_end::Open);
    end.framing = result.status == 0 ? body_framing::None : framingOf(head, noBody);
    end.framingComplete = ended && end.framing != body_framing::Connection;
    if (code == CURLE_OPERATION_TIMEDOUT) {
        end.connection = connection_end::Timeout;
    } else if (!ended) {
        end.connection = connection_end::Reset;
    } else if (!end.framingComplete) {
        end.connection = connection_end::Orderly;
    }
    return end;
}

/// Returns why a call must not be made, if so. A line break in a header, the method or the URL would allow
/// whoever chose that text to smuggle a second request onto the connection.
std::optional<error> findFault(const http_call &call)
{
    if (detail::hasControlBytes(call.method) || call.method.empty()) {
        return error{error_kind::BadRequest, call.url, "the method is empty or has control characters"};
    }
    if (detail::hasControlBytes(call.url)) {
        return error{error_kind::BadRequest, "url", "the URL has control characters"};
    }
    if (std::any_of(call.headers.begin(), call.headers.end(), detail::hasControlBytes)) {
        return error{error_kind::BadRequest, call.url, "a header has control characters"};
    }
    return std::nullopt;
}

}

struct http_client::impl
{
    /// One call, from start() until its onDone has returned.
    struct transfer_state
    {
        impl *owner = nullptr;
        call_id id = 0;
        http_call call;
        on_done onDone;
        on_data onData;
        easy_ptr easy;
        list_ptr headers;
        http_result result;
        std::string undelivered; ///< body bytes not yet passed to onData
        std::size_t headBytes = 0; ///< of all heads so far
        detail::head_check headCheck;
        std::size_t collected = 0; ///< as counted in collectedBytes
        const char *fault = nullptr; ///< why the response is not taken; null: it is
        std::array<char, CURL_ERROR_SIZE> errorText{};
        bool queued = false; ///< its id is in `ready`
        bool finished = false;
        bool cancelled = false;

        explicit transfer_state(std::shared_ptr<std::size_t> total)
            : collectedBytes(std::move(total))
        {
        }
        ~transfer_state()
        {
            *collectedBytes -= collected;
        }
        transfer_state(const transfer_state &) = delete;
        transfer_state &operator=(const transfer_state &) = delete;

        std::shared_ptr<std::size_t> collectedBytes; ///< of the client
    };
    using transfer_ptr = std::shared_ptr<transfer_state>;

    /// The libev watcher of one of libcurl's sockets.
    struct socket_watch
    {
        impl *owner = nullptr;
        ev_io io{};
    };

    loop &eventLoop;
    struct ev_loop *base;
    CURLM *multi = nullptr;
    ev_timer timer{};
    std::unordered_map<curl_socket_t, std::unique_ptr<socket_watch>> sockets;
    std::unordered_map<call_id, transfer_ptr> calls;
    std::deque<call_id> ready; ///< calls with body bytes or a result to deliver, in order
    std::vector<easy_ptr> idleHandles;
    std::function<void(int, bool)> socketListener;
    call_id lastId = 0;
    std::shared_ptr<std::size_t> collectedBytes =
        std::make_shared<std::size_t>(0); ///< of the bodies that are being collected
    bool keepConnections = true;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    explicit impl(loop &useLoop);
    ~impl();
    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    void configure(transfer_state &transfer);
    void configureBody(transfer_state &transfer);
    void configureHeaders(transfer_state &transfer);
    void enqueue(transfer_state &transfer);
    void failLater(transfer_state &transfer, error why);
    /// Lets libcurl handle a socket's events or its timer, then delivers what has arrived.
    void runTransfers(curl_socket_t fd, int events);
    /// Finishes the transfers that libcurl reports as done.
    void collectDone();
    void finish(transfer_state &transfer, CURLcode code);
    /// Calls the callbacks of the calls in `ready`.
    void dispatch();
    /// Keeps a handle for reuse, up to maxIdleHandles.
    void release(easy_ptr easy);

    static int onSocketState(CURL *easy, curl_socket_t fd, int interest, void *self, void *);
    static int onTimeout(CURLM *multi, long timeoutMs, void *self);
    static curl_socket_t openSocket(void *self, curlsocktype purpose, curl_sockaddr *address);
    static int closeSocket(void *self, curl_socket_t fd);
    static int onBeforeRequest(void *self, char *, char *, int, int);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
};

http_client::impl::impl(loop &useLoop)
    : eventLoop(useLoop)
    , base(useLoop.raw())
{
    static const CURLcode globalState = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(globalState);
    multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, onSocketState);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, onTimeout);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
    ev_timer_init(
        &timer,
        [](struct ev_loop *, ev_timer *self, int) {
            static_cast<impl *>(self->data)->runTransfers(CURL_SOCKET_TIMEOUT, 0);
        },
        0.0, 0.0);
    timer.data = this;
}

http_client::impl::~impl()
{
    *alive = false;
    for (const auto &[id, transfer] : calls) {
        if (transfer->easy && !transfer->finished) {
            curl_multi_remove_handle(multi, transfer->easy.get());
        }
    }
    calls.clear();
    idleHandles.clear();
    curl_multi_cleanup(multi);
    for (const auto &[fd, watch] : sockets) {
        ev_io_stop(base, &watch->io);
    }
    ev_timer_stop(base, &timer);
}

int http_client::impl::onSocketState(CURL *, curl_socket_t fd, int interest, void *self, void *)
{
    auto *owner = static_cast<impl *>(self);
    if (interest == CURL_POLL_REMOVE) {
        const auto found = owner->sockets.find(fd);
        if (found != owner->sockets.end()) {
            ev_io_stop(owner->base, &found->second->io);
            owner->sockets.erase(found);
        }
        return 0;
    }
    auto &watch = owner->sockets[fd];
    if (!watch) {
        watch = std::make_unique<socket_watch>();
        watch->owner = owner;
        ev_init(&watch->io, [](struct ev_loop *, ev_io *io, int events) {
            const int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0)
                | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
            static_cast<socket_watch *>(io->data)->owner->runTransfers(io->fd, mask);
        });
        watch->io.data = watch.get();
    }
    ev_io_stop(owner->base, &watch->io);
    const int events =
        ((interest & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((interest & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
    ev_io_set(&watch->io, fd, events);
    ev_io_start(owner->base, &watch->io);
    return 0;
}

int http_client::impl::onTimeout(CURLM *, long timeoutMs, void *self)
{
    auto *owner = static_cast<impl *>(self);
    ev_timer_stop(owner->base, &owner->timer);
    if (timeoutMs >= 0) {
        ev_now_update(owner->base);
        ev_timer_set(&owner->timer, static_cast<double>(timeoutMs) / 1000.0, 0.0);
        ev_timer_start(owner->base, &owner->timer);
    }
    return 0;
}

curl_socket_t http_client::impl::openSocket(void *self, curlsocktype, curl_sockaddr *address)
{
    const auto *transfer = static_cast<transfer_state *>(self);
    const int fd =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    if (transfer->call.userTimeout.count > 0) {
        const auto timeoutMs = static_cast<unsigned int>(transfer->call.userTimeout.count);
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
    }
    if (transfer->owner->socketListener) {
        transfer->owner->socketListener(fd, true);
    }
    return fd;
}

int http_client::impl::closeSocket(void *self, curl_socket_t fd)
{
    auto *owner = static_cast<impl *>(self);
    // The kernel may reuse a closed descriptor's number at once, so the watcher and the listener must drop it
    // before it is closed.
    onSocketState(nullptr, fd, CURL_POLL_REMOVE, owner, nullptr);
    if (owner->socketListener) {
        owner->socketListener(fd, false);
    }
    return ::close(fd);
}

int http_client::impl::onBeforeRequest(void *self, char *, char *, int, int)
{
    // libcurl calls this after connecting and directly before it sends the first byte of the request, also on
    // a kept connection. Before this call, it is certain that no byte was sent; after it, some may have been.
    // So `sent` stays set even if libcurl repeats the request on another connection.
    static_cast<transfer_state *>(self)->result.sent = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t http_client::impl::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<transfer_state *>(self);
    auto &result = transfer.result;
    const std::string_view line(data, size * count);
    transfer.headBytes += line.size();
    if (transfer.headBytes > maxHeadBytesPerCall) {
        transfer.fault = "the response's head is too long";
        return 0;
    }
    const bool isTrailer = transfer.headCheck.inTrailers;
    const bool isFirstLine = !isTrailer && transfer.headCheck.status == 0;
    transfer.fault = detail::findFault(transfer.headCheck, line);
    if (transfer.fault != nullptr) {
        return 0;
    }
    if (isFirstLine) {
        // Interim responses (1xx) and their headers are dropped.
        const int status = transfer.headCheck.status;
        result.status = status >= firstFinalStatus ? status : 0;
        result.headers.clear();
    } else if (!isTrailer) {
        detail::addHeader(result.headers, line);
    }
    return size * count;
}

std::size_t http_client::impl::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<transfer_state *>(self);
    if (transfer.onData) {
        // onData may start and cancel calls, which libcurl forbids inside its callbacks. So the bytes are
        // delivered as soon as libcurl has returned.
        transfer.undelivered.append(data, size * count);
        transfer.owner->enqueue(transfer);
    } else {
        transfer.result.body.append(data, size * count);
        transfer.collected += size * count;
        *transfer.collectedBytes += size * count;
        if (transfer.collected > transfer.call.maxBodyBytes || *transfer.collectedBytes > maxCollectedBytes) {
            transfer.fault = "the response's body is too long";
            return 0;
        }
    }
    return size * count;
}

void http_client::impl::configure(transfer_state &transfer)
{
    CURL *easy = transfer.easy.get();
    curl_easy_setopt(easy, CURLOPT_URL, transfer.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    // An empty proxy also disables one set by environment variables.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    // A watch may be idle for a long time. Without keep-alive probes it would not notice that its peer is
    // gone.
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, keepAliveIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, keepAliveIntervalSeconds);
    curl_easy_setopt(
        easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(transfer.call.timeout.count, 0)));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(std::max<std::int64_t>(transfer.call.connectTimeout.count, 0)));
    // libcurl silently repeats a request when a kept connection turns out to be dead. A request that may run
    // only once therefore uses a new connection, on which libcurl never repeats it.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, transfer.call.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, transfer.call.freshConnection || !keepConnections ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.errorText.data());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, openSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
    // A connection outlives the call that opened it, so the data pointer here is the client, not the call.
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    configureBody(transfer);
    configureHeaders(transfer);
}

void http_client::impl::configureBody(transfer_state &transfer)
{
    CURL *easy = transfer.easy.get();
    const std::string &method = transfer.call.method;
    const bool hasBody =
        !transfer.call.body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
    if (hasBody) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(
            easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.call.body.c_str());
    } else if (method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void http_client::impl::configureHeaders(transfer_state &transfer)
{
    // "Name:" without a value removes a header that libcurl would add: Expect, which costs a round trip to
    // wait for "100 Continue", and the content type of a form.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    bool hasType = false;
    for (const std::string &line : transfer.call.headers) {
        hasType = hasType || detail::lowerCase(line).starts_with("content-type:");
        list = curl_slist_append(list, line.c_str());
    }
    if (!hasType) {
        list = curl_slist_append(list, "Content-Type:");
    }
    transfer.headers.reset(list);
    curl_easy_setopt(transfer.easy.get(), CURLOPT_HTTPHEADER, list);
}

void http_client::impl::enqueue(transfer_state &transfer)
{
    if (!transfer.queued) {
        transfer.queued = true;
        ready.push_back(transfer.id);
    }
}

void http_client::impl::failLater(transfer_state &transfer, error why)
{
    transfer.result.why = std::move(why);
    transfer.finished = true;
    enqueue(transfer);
    eventLoop.post([this, stillAlive = std::weak_ptr<bool>(alive)] {
        if (!stillAlive.expired()) {
            dispatch();
        }
    });
}

void http_client::impl::runTransfers(curl_socket_t fd, int events)
{
    int running = 0;
    curl_multi_socket_action(multi, fd, events, &running);
    collectDone();
    dispatch();
}

void http_client::impl::collectDone()
{
    int messagesLeft = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &messagesLeft)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        CURL *easy = message->easy_handle;
        transfer_state *transfer = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
        curl_multi_remove_handle(multi, easy);
        finish(*transfer, code);
    }
}

void http_client::impl::finish(transfer_state &transfer, CURLcode code)
{
    transfer.result.end = endOf(transfer.result, code, transfer.call.method == "HEAD");
    transfer.result.complete = resultOf(transfer.result.end) == send_result::Complete;
    transfer.result.why.kind = kindOf(code);
    if (code != CURLE_OK) {
        transfer.result.why.where = transfer.call.url;
        transfer.result.why.detail =
            transfer.errorText[0] != '\0' ? transfer.errorText.data() : curl_easy_strerror(code);
    }
    if (transfer.fault != nullptr) {
        transfer.result.why = {error_kind::ConnectionLost, transfer.call.url, transfer.fault};
        transfer.result.body.clear();
    }
    transfer.finished = true;
    release(std::move(transfer.easy));
    enqueue(transfer);
}

void http_client::impl::dispatch()
{
    // A callback may destroy the client; after that, no member may be used.
    const auto stillAlive = alive;
    while (!ready.empty()) {
        const call_id id = ready.front();
        ready.pop_front();
        const auto found = calls.find(id);
        if (found == calls.end()) {
            continue;
        }
        // Keeps the transfer alive: its own callback may cancel the call, which erases it from `calls`.
        const transfer_ptr transfer = found->second;
        transfer->queued = false;
        if (!transfer->undelivered.empty()) {
            const std::string bytes = std::exchange(transfer->undelivered, {});
            transfer->onData(transfer->result, bytes);
        }
        if (!*stillAlive) {
            return;
        }
        if (!transfer->finished || transfer->cancelled) {
            continue;
        }
        calls.erase(id);
        transfer->onDone(transfer->result);
        if (!*stillAlive) {
            return;
        }
    }
}

void http_client::impl::release(easy_ptr easy)
{
    if (idleHandles.size() < maxIdleHandles) {
        curl_easy_reset(easy.get());
        idleHandles.push_back(std::move(easy));
    }
}

http_client::http_client(loop &eventLoop)
    : m_impl(std::make_unique<impl>(eventLoop))
{
}

http_client::~http_client() = default;

http_client::call_id http_client::start(const http_call &call, on_done onDone, on_data onData)
{
    auto transfer = std::make_shared<impl::transfer_state>(m_impl->collectedBytes);
    transfer->owner = m_impl.get();
    transfer->id = ++m_impl->lastId;
    transfer->call = call;
    transfer->onDone = std::move(onDone);
    transfer->onData = std::move(onData);
    m_impl->calls.emplace(transfer->id, transfer);
    if (auto fault = findFault(call)) {
        m_impl->failLater(*transfer, std::move(*fault));
        return transfer->id;
    }
    if (m_impl->idleHandles.empty()) {
        transfer->easy.reset(curl_easy_init());
    } else {
        transfer->easy = std::move(m_impl->idleHandles.back());
        m_impl->idleHandles.pop_back();
    }
    m_impl->configure(*transfer);
    // This only makes libcurl's timer due at once; the transfer starts in the event loop.
    if (curl_multi_add_handle(m_impl->multi, transfer->easy.get()) != CURLM_OK) {
        m_impl->failLater(*transfer, {error_kind::Internal, call.url, "libcurl refused to start the call"});
    }
    return transfer->id;
}

void http_client::cancel(call_id id)
{
    const auto found = m_impl->calls.find(id);
    if (found == m_impl->calls.end()) {
        return;
    }
    const auto transfer = found->second;
    m_impl->calls.erase(found);
    transfer->cancelled = true;
    if (transfer->easy && !transfer->finished) {
        curl_multi_remove_handle(m_impl->multi, transfer->easy.get());
        m_impl->release(std::move(transfer->easy));
    }
}

void http_client::onSocket(std::function<void(int fd, bool open)> call)
{
    m_impl->socketListener = std::move(call);
}

void http_client::keepAlive(bool keep)
{
    m_impl->keepConnections = keep;
}

}
