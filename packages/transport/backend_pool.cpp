#include "transport/backend_pool.h"

#include "transport/peer_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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
/// A server answers a connection attempt within a few ms; one that is cut off never does.
constexpr millis connectTime{700};
/// Kept connections end this much before the time that the server named, so that none is used as it closes.
constexpr millis idleMargin{1'000};
/// For servers that name no time.
constexpr millis idleDefault{3'000};
/// Idle connections kept for one server: more than are busy at once in steady state at a quarter core.
constexpr std::size_t keptPerServer = 16;
constexpr millis sweepEvery{250};
/// A connection that went silent shows by bytes not acknowledged, or while waiting for an answer by
/// keep-alive probes: it is given up after about three seconds.
constexpr unsigned unackedTimeoutMs = 2'000;
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;
constexpr int firstFinalStatus = 200;
constexpr int eventRead = 1;
constexpr int eventWrite = 2;

void tune(int fd)
{
    const int yes = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedTimeoutMs, sizeof(unackedTimeoutMs));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeIdleSeconds, sizeof(probeIdleSeconds));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof(probeCount));
}

/// How long the server lets this connection idle, by its "Keep-Alive: timeout=SECONDS".
millis idleTimeOf(const http_head &head)
{
    const std::string *value = findField(head, "keep-alive");
    const std::size_t at = value == nullptr ? std::string::npos : value->find("timeout=");
    if (at == std::string::npos) {
        return idleDefault;
    }
    std::int64_t seconds = 0;
    const char *first = value->data() + at + std::strlen("timeout=");
    std::from_chars(first, value->data() + value->size(), seconds);
    return millis{seconds * 1'000} - idleMargin;
}

}

struct backend_pool::impl
{
    struct connection
    {
        peer_address to;
        owned_fd fd;
        std::shared_ptr<void> watch;
        int watched = 0;
        millis idleUntil; ///< while kept
    };

    struct sending
    {
        std::unique_ptr<connection> on;
        bool connecting = false;
        std::string out;
        std::size_t sent = 0;
        std::string in;
        http_reader reader{http_side::Response, {}};
        bool noBody = false;
        bool headTold = false;
        bool dropping = false; ///< this answer belongs to another request
        bool sawOther = false;
        millis connectUntil;
        send_handlers calls;
    };
    using sending_ptr = std::shared_ptr<sending>;

    loop &events;
    pool_counters counts;
    send_id lastId = 0;
    std::unordered_map<send_id, sending_ptr> sends;
    std::map<peer_address, std::vector<std::unique_ptr<connection>>> kept;
    std::shared_ptr<void> sweeper;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    explicit impl(loop &eventLoop)
        : events(eventLoop)
    {
        sweeper = events.timer(sweepEvery, sweepEvery, [this] {
            sweep();
        });
    }
    ~impl()
    {
        *alive = false;
    }
    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    std::unique_ptr<connection> takeKept(const peer_address &to);
    void keep(std::unique_ptr<connection> one, millis idle);
    void open(send_id id, sending &one);
    void watch(send_id id, connection &one, int mask);
    void onEvents(send_id id, int mask);
    void onWritable(send_id id, sending &one);
    void onReadable(send_id id, sending &one);
    bool parse(send_id id, sending &one);
    void tellHead(sending &one);
    void end(send_id id, send_end how, const char *detail);
    void endLater(send_id id, send_end how, std::string detail);
    void onWhole(send_id id, sending &one);
    void sweep();
};

std::unique_ptr<backend_pool::impl::connection> backend_pool::impl::takeKept(const peer_address &to)
{
    const auto found = kept.find(to);
    if (found == kept.end() || found->second.empty()) {
        return nullptr;
    }
    // The one used last: the others may then grow old and close.
    auto one = std::move(found->second.back());
    found->second.pop_back();
    one->watch.reset();
    char byte = 0;
    const ssize_t got = recv(one->fd.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got >= 0 || errno != EAGAIN || one->idleUntil < bootNow()) {
        counts.stray += got > 0 ? 1 : 0;
        return takeKept(to);
    }
    return one;
}

void backend_pool::impl::keep(std::unique_ptr<connection> one, millis idle)
{
    auto &list = kept[one->to];
    if (idle.count <= 0 || list.size() >= keptPerServer) {
        return;
    }
    one->idleUntil = bootNow() + idle;
    // Whatever comes on an idle connection is its end, or bytes that belong to no request.
    connection *raw = one.get();
    one->watched = eventRead;
    one->watch = events.watch(raw->fd.get(), eventRead, [this, raw](int) {
        auto &siblings = kept[raw->to];
        for (auto it = siblings.begin(); it != siblings.end(); ++it) {
            if (it->get() == raw) {
                const auto dropped = std::move(*it);
                siblings.erase(it);
                return;
            }
        }
    });
    list.push_back(std::move(one));
}

void backend_pool::impl::open(send_id id, sending &one)
{
    connection &link = *one.on;
    const auto address = toSocketAddress(link.to);
    if (!address) {
        endLater(id, send_end::Unsent, "its address is no IP number");
        return;
    }
    link.fd = owned_fd(socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!link.fd) {
        endLater(id, send_end::Unsent, std::string("socket: ") + std::strerror(errno));
        return;
    }
    tune(link.fd.get());
    if (connect(link.fd.get(), address->raw(), address->size) != 0 && errno != EINPROGRESS) {
        endLater(id, send_end::Unsent, std::string("connect: ") + std::strerror(errno));
        return;
    }
    ++counts.opened;
    one.connecting = true;
    one.connectUntil = bootNow() + connectTime;
    watch(id, link, eventWrite);
}

void backend_pool::impl::watch(send_id id, connection &one, int mask)
{
    if (one.watch && one.watched == mask) {
        return;
    }
    one.watched = mask;
    one.watch = events.watch(one.fd.get(), mask, [this, id](int happened) {
        onEvents(id, happened);
    });
}

void backend_pool::impl::onEvents(send_id id, int mask)
{
    const auto found = sends.find(id);
    if (found == sends.end()) {
        return;
    }
    const sending_ptr one = found->second;
    if ((mask & eventWrite) != 0) {
        onWritable(id, *one);
    }
    if ((mask & eventRead) != 0 && sends.count(id) != 0) {
        onReadable(id, *one);
    }
}

void backend_pool::impl::onWritable(send_id id, sending &one)
{
    if (one.connecting) {
        const int code = pendingError(one.on->fd.get());
        if (code != 0) {
            end(id, send_end::Unsent, std::strerror(code));
            return;
        }
        one.connecting = false;
    }
    while (one.sent < one.out.size()) {
        const ssize_t put =
            send(one.on->fd.get(), one.out.data() + one.sent, one.out.size() - one.sent, MSG_NOSIGNAL);
        if (put < 0 && (errno == EAGAIN || errno == EINTR)) {
            watch(id, *one.on, eventRead | eventWrite);
            return;
        }
        if (put < 0) {
            // An answer that came before the body was wholly sent may still be there to read.
            onReadable(id, one);
            if (sends.count(id) != 0) {
                end(id, one.sent == 0 ? send_end::Unsent : send_end::Broken, std::strerror(errno));
            }
            return;
        }
        one.sent += static_cast<std::size_t>(put);
    }
    watch(id, *one.on, eventRead);
}

void backend_pool::impl::onReadable(send_id id, sending &one)
{
    std::array<char, readBlockBytes> block{};
    const ssize_t got = recv(one.on->fd.get(), block.data(), block.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got < 0) {
        end(id, send_end::Broken, std::strerror(errno));
        return;
    }
    if (got == 0) {
        const bool whole = one.headTold && !one.dropping && one.reader.finishAtEof();
        if (whole) {
            onWhole(id, one);
        } else {
            end(id, send_end::Broken, "the server closed the connection before its answer was whole");
        }
        return;
    }
    one.in.append(block.data(), static_cast<std::size_t>(got));
    while (parse(id, one)) {
    }
}

void backend_pool::impl::tellHead(sending &one)
{
    one.headTold = true;
    one.dropping = !one.calls.onHead(one.reader.head());
    one.sawOther = one.sawOther || one.dropping;
}

/// Takes one step through the bytes that are there; true while there may be another step.
bool backend_pool::impl::parse(send_id id, sending &one)
{
    const sending_ptr held = sends.at(id);
    if (one.in.empty()) {
        return false;
    }
    std::size_t used = 0;
    const read_state state = one.reader.feed(one.in, used);
    one.in.erase(0, used);
    if (state == read_state::Invalid) {
        end(id, send_end::Broken, "the server's answer is no HTTP");
        return false;
    }
    if (state == read_state::Head) {
        return false;
    }
    const bool interim = one.reader.head().status < firstFinalStatus;
    if (!interim && !one.headTold) {
        tellHead(one);
        if (sends.count(id) == 0) {
            return false;
        }
    }
    std::string body = one.reader.takeBody();
    if (!interim && !one.dropping && !body.empty()) {
        one.calls.onBody(std::move(body));
        if (sends.count(id) == 0) {
            return false;
        }
    }
    if (state != read_state::Done) {
        return false;
    }
    if (interim || one.dropping) {
        one.reader = http_reader(http_side::Response, {});
        if (one.noBody) {
            one.reader.expectNoBody();
        }
        one.headTold = false;
        one.dropping = false;
        return true;
    }
    onWhole(id, one);
    return false;
}

void backend_pool::impl::onWhole(send_id id, sending &one)
{
    // Kept only if the next answer on it can't be anything but the next request's: a server that answered
    // before it had the whole body still reads, and one that sent more than its answer is out of step.
    const bool clean = one.in.empty() && !one.sawOther && one.sent == one.out.size()
        && one.reader.state() == read_state::Done && one.reader.keepsConnection();
    counts.stray += one.in.empty() ? 0 : 1;
    if (clean) {
        auto link = std::move(one.on);
        link->watch.reset();
        keep(std::move(link), idleTimeOf(one.reader.head()));
    }
    end(id, send_end::Whole, "");
}

void backend_pool::impl::end(send_id id, send_end how, const char *detail)
{
    const auto found = sends.find(id);
    if (found == sends.end()) {
        return;
    }
    const sending_ptr one = found->second;
    sends.erase(found);
    if (one->on) {
        one->on->watch.reset();
    }
    error why;
    if (how != send_end::Whole) {
        why = {error_kind::ConnectionLost, "backend server", detail};
    }
    one->calls.onEnd(how, why);
}

void backend_pool::impl::endLater(send_id id, send_end how, std::string detail)
{
    events.post([this, live = alive, id, how, text = std::move(detail)] {
        if (*live) {
            end(id, how, text.c_str());
        }
    });
}

void backend_pool::impl::sweep()
{
    const millis now = bootNow();
    for (auto it = kept.begin(); it != kept.end();) {
        std::erase_if(it->second, [now](const auto &one) {
            return one->idleUntil < now;
        });
        it = it->second.empty() ? kept.erase(it) : std::next(it);
    }
    std::vector<send_id> late;
    for (const auto &[id, one] : sends) {
        if (one->connecting && one->connectUntil < now) {
            late.push_back(id);
        }
    }
    for (const send_id id : late) {
        end(id, send_end::Unsent, "the server did not take the connection in time");
    }
}

backend_pool::backend_pool(loop &eventLoop)
    : m_impl(std::make_unique<impl>(eventLoop))
{
}

backend_pool::~backend_pool() = default;

backend_pool::send_id backend_pool::start(
    const peer_address &to, std::string bytes, bool noBody, send_handlers calls)
{
    const send_id id = ++m_impl->lastId;
    auto one = std::make_shared<impl::sending>();
    one->out = std::move(bytes);
    one->noBody = noBody;
    one->calls = std::move(calls);
    if (noBody) {
        one->reader.expectNoBody();
    }
    m_impl->sends.emplace(id, one);
    one->on = m_impl->takeKept(to);
    if (one->on) {
        ++m_impl->counts.reused;
        m_impl->watch(id, *one->on, eventRead | eventWrite);
        return id;
    }
    one->on = std::make_unique<impl::connection>();
    one->on->to = to;
    m_impl->open(id, *one);
    return id;
}

void backend_pool::cancel(send_id id)
{
    m_impl->sends.erase(id);
}

void backend_pool::abort(send_id id)
{
    const auto found = m_impl->sends.find(id);
    if (found != m_impl->sends.end() && found->second->on && found->second->on->fd) {
        const linger atOnce{1, 0};
        (void)setsockopt(found->second->on->fd.get(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    }
    cancel(id);
}

void backend_pool::forget(const peer_address &to)
{
    m_impl->kept.erase(to);
}

const pool_counters &backend_pool::counters() const
{
    return m_impl->counts;
}

}
