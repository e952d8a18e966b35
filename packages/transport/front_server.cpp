#include "transport/front_server.h"

#include "transport/peer_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <deque>
#include <unordered_map>
#include <utility>

namespace briarhead {

namespace {

constexpr int listenBacklog = 512;
constexpr std::size_t readBlockBytes = 16 * 1024;
/// What a caller may send ahead while its request is worked on; past it the socket isn't read.
constexpr std::size_t aheadBytes = 64 * 1024;
/// Bytes that a caller hasn't taken; past it the caller counts as gone, since it doesn't read.
constexpr std::size_t unreadBytes = 1024 * 1024;
/// How often time limits are looked at; they are seconds long.
constexpr millis sweepEvery{200};
/// After a refusal that leaves bytes unread, closing at once would reset the connection and the caller
/// might never see the answer. So the sending side is closed first and what comes is read and dropped.
constexpr millis lingerTime{1'000};
/// Bytes that are not acknowledged for so long mean that the caller is gone.
constexpr unsigned callerTimeoutMs = 8'000;
constexpr int eventRead = 1;
constexpr int eventWrite = 2;

std::string_view reasonOf(int status)
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

/// Whether everyone on the way reads the same message in these bytes. A transfer coding that one side takes
/// for "chunked" and the other doesn't, or a second Host, lets a caller hide a request in another's body.
bool framedPlainly(const http_head &head)
{
    std::size_t hosts = 0;
    for (const http_field &field : head.fields) {
        if (equalsIgnoreCase(field.name, "transfer-encoding") && !equalsIgnoreCase(field.value, "chunked")) {
            return false;
        }
        hosts += equalsIgnoreCase(field.name, "host") ? 1 : 0;
    }
    return hosts == 1;
}

enum class phase : std::uint8_t
{
    Reading,
    Working, ///< with the handler
    Streaming, ///< begin() was called
    Lingering, ///< answered; reading and dropping until the caller closes
    Closed,
};

class front_impl;

struct connection : std::enable_shared_from_this<connection>
{
    front_impl *host = nullptr;
    std::uint64_t id = 0;
    owned_fd fd;
    phase at = phase::Reading;
    std::string in;
    std::string out;
    std::size_t sent = 0;
    http_reader reader;
    std::shared_ptr<void> watch;
    int watched = 0;
    millis lastByte;
    millis headBegan; ///< 0 while no byte of a request is there
    bool closeAfter = false;
    bool headOnly = false;
    bool http10 = false;
    bool continued = false; ///< "100 Continue" was sent for the request that is coming in
    std::uint64_t exchange = 0; ///< number of the request in progress
    std::function<void()> gone;

    explicit connection(http_reader first)
        : reader(std::move(first))
    {
    }
};

class front_impl final : public front_server
{
public:
    front_impl(loop &eventLoop, handler onRequest)
        : m_loop(eventLoop)
        , m_handler(std::move(onRequest))
    {
    }
    ~front_impl() override
    {
        *m_alive = false;
    }
    front_impl(const front_impl &) = delete;
    front_impl &operator=(const front_impl &) = delete;

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
        m_closing = true;
        m_limits.idleTimeout = idle;
    }
    void setCloseAfterResponse(bool closing) override
    {
        m_closing = closing;
    }
    void stopListening() override
    {
        // Closing the listener resets what still waits in its queue, so that is taken first.
        acceptAll();
        m_listenWatch.reset();
        m_listener = owned_fd();
    }
    std::size_t activeRequests() const override;
    std::size_t connections() const override
    {
        return m_connections.size();
    }

    void answer(connection &one, std::string_view head, std::string_view body, bool whole);
    void append(connection &one, std::string_view bytes);
    void finish(connection &one);
    void close(connection &one);
    std::string headText(connection &one, int status, const std::vector<http_field> &fields) const;
    std::shared_ptr<bool> alive() const
    {
        return m_alive;
    }

private:
    http_reader newReader() const
    {
        return {http_side::Request, {m_limits.maxHeadBytes, m_limits.maxBodyBytes}};
    }
    void acceptAll();
    void onEvents(connection &one, int events);
    void onReadable(connection &one);
    void parse(connection &one);
    void refuse(connection &one, int status);
    void flush(connection &one);
    void rewatch(connection &one);
    void sweep();
    void lost(connection &one);

    loop &m_loop;
    handler m_handler;
    front_limits m_limits;
    bool m_closing = false;
    owned_fd m_listener;
    std::shared_ptr<void> m_listenWatch;
    std::shared_ptr<void> m_sweep;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<connection>> m_connections;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// What a handler holds. It names one exchange of one connection, so that a late call can't reach the next.
class reply_impl final : public front_reply
{
public:
    reply_impl(front_impl &host, const std::shared_ptr<connection> &one)
        : m_host(&host)
        , m_alive(host.alive())
        , m_connection(one)
        , m_exchange(one->exchange)
    {
    }
    ~reply_impl() override
    {
        if (auto one = open()) {
            m_host->close(*one);
        }
    }
    reply_impl(const reply_impl &) = delete;
    reply_impl &operator=(const reply_impl &) = delete;

    void respond(int status, const std::vector<http_field> &fields, std::string_view body) override
    {
        auto one = open();
        if (!one || one->at != phase::Working) {
            return;
        }
        std::string head = m_host->headText(*one, status, fields);
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        m_host->answer(*one, head, one->headOnly ? std::string_view{} : body, true);
    }
    void begin(int status, const std::vector<http_field> &fields) override
    {
        auto one = open();
        if (!one || one->at != phase::Working) {
            return;
        }
        if (one->http10) {
            one->closeAfter = true;
        }
        std::string head = m_host->headText(*one, status, fields);
        head += one->http10 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        m_host->answer(*one, head, {}, false);
    }
    void write(std::string_view bytes) override
    {
        auto one = open();
        if (!one || one->at != phase::Streaming || bytes.empty() || one->headOnly) {
            return;
        }
        if (one->http10) {
            m_host->append(*one, bytes);
            return;
        }
        std::array<char, 20> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
        std::string chunk(size.data(), end.ptr);
        chunk.append("\r\n").append(bytes).append("\r\n");
        m_host->append(*one, chunk);
    }
    void end() override
    {
        auto one = open();
        if (!one || one->at != phase::Streaming) {
            return;
        }
        if (!one->http10 && !one->headOnly) {
            m_host->append(*one, "0\r\n\r\n");
        }
        m_host->finish(*one);
    }
    void abort() override
    {
        if (auto one = open()) {
            m_host->close(*one);
        }
    }
    void onDisconnect(std::function<void()> call) override
    {
        if (auto one = open()) {
            one->gone = std::move(call);
        }
    }
    std::size_t pendingBytes() const override
    {
        const auto one = open();
        return one ? one->out.size() - one->sent : 0;
    }

private:
    std::shared_ptr<connection> open() const
    {
        auto one = *m_alive ? m_connection.lock() : nullptr;
        const bool current =
            one && one->exchange == m_exchange && (one->at == phase::Working || one->at == phase::Streaming);
        return current ? one : nullptr;
    }

    front_impl *m_host;
    std::shared_ptr<bool> m_alive;
    std::weak_ptr<connection> m_connection;
    std::uint64_t m_exchange;
};

bool front_impl::start(const std::string &ip, std::uint16_t port, error &why)
{
    why = {error_kind::BadSettings, ip + ':' + std::to_string(port), ""};
    auto address = toSocketAddress({ip, port});
    if (!address) {
        why.detail = "the address to listen on is no IP number";
        return false;
    }
    m_listener = owned_fd(socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int yes = 1;
    (void)setsockopt(m_listener.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (bind(m_listener.get(), address->raw(), address->size) != 0
        || ::listen(m_listener.get(), listenBacklog) != 0) {
        why.detail = std::string("cannot listen there: ") + std::strerror(errno);
        return false;
    }
    m_listenWatch = m_loop.watch(m_listener.get(), eventRead, [this](int) {
        acceptAll();
    });
    m_sweep = m_loop.timer(sweepEvery, sweepEvery, [this] {
        sweep();
    });
    return true;
}

std::size_t front_impl::activeRequests() const
{
    std::size_t count = 0;
    for (const auto &[id, one] : m_connections) {
        const bool working = one->at == phase::Working || one->at == phase::Streaming;
        count += working || one->out.size() > one->sent || one->headBegan.count != 0 ? 1 : 0;
    }
    return count;
}

void front_impl::acceptAll()
{
    for (;;) {
        owned_fd fd(accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) {
            return;
        }
        const int yes = 1;
        (void)setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        (void)setsockopt(fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &callerTimeoutMs, sizeof(callerTimeoutMs));
        auto one = std::make_shared<connection>(newReader());
        one->host = this;
        one->id = ++m_lastId;
        one->fd = std::move(fd);
        one->lastByte = bootNow();
        m_connections.emplace(one->id, one);
        rewatch(*one);
    }
}

void front_impl::rewatch(connection &one)
{
    int wanted = one.in.size() < aheadBytes ? eventRead : 0;
    wanted |= one.out.size() > one.sent ? eventWrite : 0;
    if (one.at == phase::Closed || (wanted == one.watched && one.watch)) {
        return;
    }
    one.watched = wanted;
    one.watch = m_loop.watch(one.fd.get(), wanted, [this, id = one.id](int events) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end()) {
            const auto keep = found->second;
            onEvents(*keep, events);
        }
    });
}

void front_impl::onEvents(connection &one, int events)
{
    if ((events & eventRead) != 0) {
        onReadable(one);
    }
    if (one.at != phase::Closed && (events & eventWrite) != 0) {
        flush(one);
    }
    if (one.at != phase::Closed) {
        rewatch(one);
    }
}

void front_impl::onReadable(connection &one)
{
    std::array<char, readBlockBytes> block{};
    const ssize_t got = recv(one.fd.get(), block.data(), block.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got <= 0) {
        lost(one);
        return;
    }
    one.lastByte = bootNow();
    if (one.at == phase::Lingering) {
        return;
    }
    one.in.append(block.data(), static_cast<std::size_t>(got));
    if (one.at == phase::Reading) {
        parse(one);
    }
}

void front_impl::parse(connection &one)
{
    while (one.at == phase::Reading && !one.in.empty()) {
        if (one.headBegan.count == 0) {
            one.headBegan = bootNow();
            one.reader = newReader();
            one.continued = false;
        }
        std::size_t used = 0;
        const read_state state = one.reader.feed(one.in, used);
        one.in.erase(0, used);
        if (state == read_state::Invalid) {
            switch (one.reader.fault()) {
            case read_fault::HeadTooLarge:
                refuse(one, 431);
                return;
            case read_fault::BodyTooLarge:
                refuse(one, 413);
                return;
            default:
                refuse(one, 400);
                return;
            }
        }
        if (state == read_state::Head && one.in.size() > m_limits.maxHeadBytes) {
            refuse(one, 431);
            return;
        }
        if (state == read_state::Body) {
            const std::string *expect = findField(one.reader.head(), "expect");
            if (expect != nullptr && equalsIgnoreCase(*expect, "100-continue") && !one.continued) {
                one.continued = true;
                append(one, "HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (state != read_state::Head && !framedPlainly(one.reader.head())) {
            refuse(one, 400);
            return;
        }
        if (state != read_state::Done) {
            return;
        }
        front_request request{one.reader.head(), one.reader.takeBody()};
        one.closeAfter = !one.reader.keepsConnection();
        one.headOnly = request.head.method == "HEAD";
        one.http10 = one.reader.isHttp10();
        one.headBegan = {};
        one.at = phase::Working;
        ++one.exchange;
        one.gone = nullptr;
        m_handler(std::move(request), std::make_shared<reply_impl>(*this, one.shared_from_this()));
    }
}

/// Answers what is no request, and ends the connection: where its next request begins can't be known.
void front_impl::refuse(connection &one, int status)
{
    one.headBegan = {};
    one.at = phase::Working;
    ++one.exchange;
    one.closeAfter = true;
    std::string head = headText(one, status, {});
    head += "Content-Length: 0\r\n\r\n";
    answer(one, head, {}, true);
}

std::string front_impl::headText(connection &one, int status, const std::vector<http_field> &fields) const
{
    one.closeAfter = one.closeAfter || m_closing;
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reasonOf(status)) + "\r\n";
    for (const http_field &field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (one.closeAfter) {
        text += "Connection: close\r\n";
    }
    return text;
}

void front_impl::answer(connection &one, std::string_view head, std::string_view body, bool whole)
{
    one.at = phase::Streaming;
    one.out.append(head).append(body);
    if (whole) {
        finish(one);
    } else {
        flush(one);
        if (one.at != phase::Closed) {
            rewatch(one);
        }
    }
}

void front_impl::append(connection &one, std::string_view bytes)
{
    one.out.append(bytes);
    flush(one);
    if (one.at == phase::Closed) {
        return;
    }
    if (one.out.size() - one.sent > unreadBytes) {
        lost(one);
        return;
    }
    rewatch(one);
}

void front_impl::finish(connection &one)
{
    one.gone = nullptr;
    one.lastByte = bootNow();
    one.at = one.closeAfter ? phase::Lingering : phase::Reading;
    flush(one);
    if (one.at == phase::Closed) {
        return;
    }
    rewatch(one);
    if (one.at == phase::Reading && !one.in.empty()) {
        // Not from here: the handler of the request that just ended may still be running.
        m_loop.post([this, alive = m_alive, id = one.id] {
            const auto found = *alive ? m_connections.find(id) : m_connections.end();
            if (*alive && found != m_connections.end()) {
                const auto keep = found->second;
                parse(*keep);
                if (keep->at != phase::Closed) {
                    rewatch(*keep);
                }
            }
        });
    }
}

void front_impl::flush(connection &one)
{
    while (one.sent < one.out.size()) {
        const ssize_t put =
            send(one.fd.get(), one.out.data() + one.sent, one.out.size() - one.sent, MSG_NOSIGNAL);
        if (put < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (put < 0) {
            lost(one);
            return;
        }
        one.sent += static_cast<std::size_t>(put);
    }
    one.out.clear();
    one.sent = 0;
    if (one.at == phase::Lingering) {
        shutdown(one.fd.get(), SHUT_WR);
    }
}

void front_impl::lost(connection &one)
{
    const auto keep = one.shared_from_this();
    const auto call = std::exchange(one.gone, nullptr);
    close(one);
    if (call) {
        // Not from here: the handler may be the one that just wrote.
        m_loop.post(call);
    }
}

void front_impl::close(connection &one)
{
    const auto keep = one.shared_from_this();
    one.at = phase::Closed;
    one.gone = nullptr;
    one.watch.reset();
    one.fd = owned_fd();
    m_connections.erase(one.id);
}

void front_impl::sweep()
{
    const millis now = bootNow();
    std::vector<std::shared_ptr<connection>> late;
    for (const auto &[id, one] : m_connections) {
        const millis quiet = now - one->lastByte;
        const bool reading = one->at == phase::Reading;
        const bool inHead = reading && one->headBegan.count != 0 && one->reader.state() == read_state::Head;
        const bool headLate = inHead && now - one->headBegan > m_limits.headTimeout;
        const bool idleLate = reading && one->out.empty() && quiet > m_limits.idleTimeout;
        const bool lingerLate = one->at == phase::Lingering && quiet > lingerTime;
        if (headLate || idleLate || lingerLate) {
            late.push_back(one);
        }
    }
    for (const auto &one : late) {
        if (one->at == phase::Reading && one->headBegan.count != 0) {
            refuse(*one, 408);
        } else {
            close(*one);
        }
    }
}

}

std::unique_ptr<front_server> front_server::listen(
    loop &eventLoop, const std::string &ip, std::uint16_t port, handler onRequest, error &why)
{
    auto server = std::make_unique<front_impl>(eventLoop, std::move(onRequest));
    return server->start(ip, port, why) ? std::move(server) : nullptr;
}

}
