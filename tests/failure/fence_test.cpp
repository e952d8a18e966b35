#include "transport/fence.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace briarhead {
namespace {

/// Far beyond what any condition below takes; only a test that fails waits so long.
constexpr millis patienceMs{20'000};
constexpr millis farMs{600'000};
constexpr millis soonMs{50};

void sleepMs(std::int64_t count)
{
    ::poll(nullptr, 0, static_cast<int>(count));
}

template <class condition_type>
bool eventually(condition_type &&condition)
{
    const auto end = bootNow() + patienceMs;
    while (!condition()) {
        if (bootNow() >= end) {
            return false;
        }
        sleepMs(1);
    }
    return true;
}

/// A socket that closes itself.
class owned_fd
{
public:
    owned_fd() = default;
    explicit owned_fd(int fd)
        : m_fd(fd)
    {
    }
    owned_fd(owned_fd &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    owned_fd &operator=(owned_fd &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~owned_fd()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }
    int get() const
    {
        return m_fd;
    }

private:
    int m_fd = -1;
};

/// A listening socket on loopback that stands for a backend server.
struct listener
{
    owned_fd socket{::socket(AF_INET, SOCK_STREAM, 0)};
    sockaddr_in address{};

    listener()
    {
        constexpr int smallBufferBytes = 8'192;
        constexpr int backlog = 16;
        ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &smallBufferBytes, sizeof(smallBufferBytes));
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        EXPECT_EQ(::bind(socket.get(), reinterpret_cast<sockaddr *>(&address), length), 0);
        EXPECT_EQ(::listen(socket.get(), backlog), 0);
        ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&address), &length);
    }

    bool connectFrom(int fd) const
    {
        return ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }

    owned_fd accept() const
    {
        pollfd ready{socket.get(), POLLIN, 0};
        ::poll(&ready, 1, static_cast<int>(patienceMs.count));
        return owned_fd(::accept4(socket.get(), nullptr, nullptr, SOCK_NONBLOCK));
    }
};

/// Both ends of one connection from an owner to a backend server.
struct connection
{
    listener server;
    owned_fd client{::socket(AF_INET, SOCK_STREAM, 0)};
    owned_fd accepted;

    connection()
    {
        EXPECT_TRUE(server.connectFrom(client.get()));
        accepted = server.accept();
        EXPECT_GE(accepted.get(), 0);
    }
};

/// How many bytes of a small order the kernel takes; 0 when it takes none.
std::size_t trySend(int fd)
{
    constexpr std::array<char, 512> bytes{};
    return static_cast<std::size_t>(
        std::max<ssize_t>(0, ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT)));
}

bool canSend(int fd)
{
    return trySend(fd) > 0;
}

/// Arms the fence and lets its end pass.
void letFall(fence &guard)
{
    ASSERT_TRUE(guard.arm(bootNow() + farMs));
    guard.arm(bootNow() + soonMs);
    ASSERT_TRUE(eventually([&] {
        return guard.fenced();
    }));
}

// ---- the paused owner

constexpr millis leaseTtlMs{60};
constexpr int pausedRounds = 40;
constexpr int roundsTried = 200;

/// What the owner sends, again and again: the end of the lease it holds.
struct order
{
    std::int64_t leaseEndMs = 0;
    std::int64_t sequence = 0;
};

enum class guard_kind
{
    CheckBeforeSend,
    Fence,
};

/// Stands for the work between the check and the send: the order is written and goes through libraries.
std::int64_t writeOrder()
{
    constexpr int steps = 50'000;
    volatile std::int64_t sum = 0;
    for (int i = 0; i < steps; ++i) {
        sum = sum + i;
    }
    return sum;
}

/// One tenure: sends orders until the guard says that the lease is over.
void sendOrders(int fd, fence *guard)
{
    const auto end = bootNow() + leaseTtlMs;
    if (guard != nullptr) {
        guard->addSocket(fd);
        guard->rearm(end);
    }
    for (std::int64_t sequence = 0;; ++sequence) {
        if (guard != nullptr ? guard->fenced() : bootNow() >= end) {
            break;
        }
        writeOrder();
        const order next{end.count, sequence};
        if (::send(fd, &next, sizeof(next), MSG_NOSIGNAL) < 0) {
            break;
        }
    }
    if (guard != nullptr) {
        guard->removeSocket(fd);
    }
}

/// The owner's process. Ends when nobody listens any more, and with its parent.
[[noreturn]] void runOwner(const listener &server, guard_kind kind, int busyThreads)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::optional<fence> guard;
    if (kind == guard_kind::Fence) {
        guard.emplace();
    }
    for (int i = 0; i < busyThreads; ++i) {
        std::thread([] {
            for (;;) {
                writeOrder();
            }
        }).detach();
    }
    for (;;) {
        const owned_fd fd(::socket(AF_INET, SOCK_STREAM, 0));
        if (!server.connectFrom(fd.get())) {
            ::_exit(0);
        }
        sendOrders(fd.get(), guard ? &*guard : nullptr);
    }
}

/// Takes orders apart as they arrive at the backend server.
class order_reader
{
public:
    explicit order_reader(owned_fd fd)
        : m_fd(std::move(fd))
    {
    }

    /// Waits so long for bytes; false when there were none.
    bool read(int waitMs)
    {
        pollfd ready{m_fd.get(), POLLIN, 0};
        if (m_ended || ::poll(&ready, 1, waitMs) <= 0) {
            return false;
        }
        std::array<char, 4'096> bytes{};
        const auto count = ::recv(m_fd.get(), bytes.data(), bytes.size(), 0);
        m_ended = count == 0 || (count < 0 && errno != EAGAIN);
        if (count > 0) {
            m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.begin() + count);
        }
        return count > 0;
    }

    bool ended() const
    {
        return m_ended;
    }

    /// Bytes that arrived and were not taken.
    std::size_t size() const
    {
        return m_bytes.size();
    }

    /// Whole orders that arrived since the last call.
    std::vector<order> take()
    {
        std::vector<order> orders(m_bytes.size() / sizeof(order));
        const auto size = orders.size() * sizeof(order);
        std::copy_n(m_bytes.data(), size, reinterpret_cast<char *>(orders.data()));
        m_bytes.erase(m_bytes.begin(), m_bytes.begin() + static_cast<std::ptrdiff_t>(size));
        return orders;
    }

private:
    owned_fd m_fd;
    std::vector<char> m_bytes;
    bool m_ended = false;
};

struct pause_tally
{
    int pausedInTenure = 0;
    int lateOrders = 0;
    std::int64_t worstMs = 0;
};

/// Pauses the owner in the middle of one tenure until its lease is over, and counts the orders that arrive
/// once it goes on and still carry that lease.
void pauseOnce(pid_t owner, order_reader &reader, int pauseAfterMs, pause_tally &tally)
{
    constexpr int quietMs = 20;
    while (reader.size() < sizeof(order) && reader.read(static_cast<int>(patienceMs.count))) {
    }
    const auto first = reader.take();
    if (first.empty()) {
        return;
    }
    const millis leaseEnd{first.front().leaseEndMs};
    sleepMs(pauseAfterMs);
    ::kill(owner, SIGSTOP);
    ::waitpid(owner, nullptr, WUNTRACED);
    // What was sent before the pause has arrived once nothing comes for a while.
    while (reader.read(quietMs) || (!reader.ended() && bootNow() <= leaseEnd + millis{quietMs})) {
    }
    reader.take();
    const bool inTenure = !reader.ended();
    ::kill(owner, SIGCONT);
    while (reader.read(static_cast<int>(patienceMs.count))) {
    }
    tally.pausedInTenure += inTenure ? 1 : 0;
    for (const auto &late : reader.take()) {
        ++tally.lateOrders;
        tally.worstMs = std::max(tally.worstMs, bootNow().count - late.leaseEndMs);
    }
}

pause_tally pauseOwnerAgainAndAgain(guard_kind kind, int busyThreads)
{
    pause_tally tally;
    std::optional<listener> server(std::in_place);
    const auto owner = ::fork();
    if (owner == 0) {
        runOwner(*server, kind, busyThreads);
    }
    for (int round = 0; round < roundsTried && tally.pausedInTenure < pausedRounds; ++round) {
        constexpr int firstPauseMs = 5;
        constexpr int pauseSpreadMs = 30;
        order_reader reader(server->accept());
        pauseOnce(owner, reader, firstPauseMs + round * 7 % pauseSpreadMs, tally);
    }
    ::kill(owner, SIGKILL);
    ::waitpid(owner, nullptr, 0);
    return tally;
}

void print(const char *guard, int busyThreads, const pause_tally &tally)
{
    std::printf("%-34s busy threads %d: paused in tenure %d, late orders %d, worst %lld ms\n", guard,
        busyThreads, tally.pausedInTenure, tally.lateOrders, static_cast<long long>(tally.worstMs));
}

// A student's request runs on an adapter that its server has just dropped. The old owner checked its
// lease, was paused before the order left, and went on after a new owner had taken the server over; its
// "unload" reached an engine that doesn't check fencing tokens. Orders are sent over TCP in short tenures
// and the sender is paused past the end of each; none may arrive afterwards. With the clock checked right
// before the send they do (printed, since how many is a matter of timing).
class paused_owner_test : public testing::TestWithParam<int>
{
};

TEST_P(paused_owner_test, sendsNoOrderAfterItsLease)
{
    const int busyThreads = GetParam();
    print("clock checked before the send,", busyThreads,
        pauseOwnerAgainAndAgain(guard_kind::CheckBeforeSend, busyThreads));
    const auto fenced = pauseOwnerAgainAndAgain(guard_kind::Fence, busyThreads);
    print("fence,", busyThreads, fenced);
    EXPECT_GT(fenced.pausedInTenure, 0) << "no pause fell into a tenure, so nothing was tested";
    EXPECT_EQ(fenced.lateOrders, 0);
}

INSTANTIATE_TEST_SUITE_P(besideBusyThreads, paused_owner_test, testing::Values(0, 3));

// ---- one thread at a time

// An engine stops reading for a while, and orders pile up in the owner's kernel. The lease ends, the new
// owner evicts, and then the engine reads on: with a mere shutdown it would get all that was piled up.
// After the fence has fallen, only what the engine's own kernel held already may still be read.
TEST(fence_test, dropsOrdersThatTheEngineHasNotTakenYet)
{
    connection link;
    fence guard;
    ASSERT_FALSE(guard.failure());
    guard.addSocket(link.client.get());
    std::size_t sent = 0;
    while (const auto taken = trySend(link.client.get())) {
        sent += taken;
    }
    letFall(guard);

    int taken = 0;
    ASSERT_EQ(::ioctl(link.accepted.get(), FIONREAD, &taken), 0);
    EXPECT_LT(static_cast<std::size_t>(taken), sent) << "nothing was waiting, so nothing was tested";
    order_reader reader(std::move(link.accepted));
    ASSERT_TRUE(eventually([&] {
        reader.read(0);
        return reader.ended();
    }));
    EXPECT_EQ(reader.size(), static_cast<std::size_t>(taken));
}

// The owner is paused between opening a connection for an order and connecting it. A socket that is only
// reset could be connected afterwards like a new one, and the order would go out past the lease's end.
TEST(fence_test, socketOpenedBeforeTheFallCannotSendAfterIt)
{
    const listener server;
    const owned_fd early(::socket(AF_INET, SOCK_STREAM, 0));
    fence guard;
    guard.addSocket(early.get());
    letFall(guard);
    const owned_fd late(::socket(AF_INET, SOCK_STREAM, 0));
    guard.addSocket(late.get());
    for (const int fd : {early.get(), late.get()}) {
        server.connectFrom(fd);
        EXPECT_FALSE(canSend(fd));
    }
}

// A confirmation that was asked for in time arrives after the lease has ended and was granted to another
// daemon meanwhile. Opening the fence for it would send orders under the other's feet.
TEST(fence_test, fallenFenceOpensOnlyForALeaseConfirmedAnew)
{
    fence guard;
    EXPECT_TRUE(guard.fenced());
    letFall(guard);
    EXPECT_FALSE(guard.arm(bootNow() + farMs));
    EXPECT_TRUE(guard.fenced());
    EXPECT_FALSE(guard.rearm(bootNow()));
    EXPECT_TRUE(guard.fenced());
    EXPECT_TRUE(guard.rearm(bootNow() + farMs));
    EXPECT_FALSE(guard.fenced());

    const connection link;
    guard.addSocket(link.client.get());
    EXPECT_TRUE(canSend(link.client.get()));
}

TEST(fence_test, confirmedLeaseMovesTheEnd)
{
    const connection link;
    fence guard;
    millis first;
    // On a starved machine the first end may pass before it is moved, which is a fall as it should be.
    ASSERT_TRUE(eventually([&] {
        first = bootNow() + soonMs;
        return guard.rearm(first) && guard.arm(bootNow() + farMs);
    }));
    guard.addSocket(link.client.get());
    ASSERT_TRUE(eventually([&] {
        return bootNow() > first + soonMs;
    }));
    EXPECT_FALSE(guard.fenced());
    EXPECT_TRUE(canSend(link.client.get()));
}

TEST(fence_test, endThatHasPassedFallsAtOnce)
{
    const connection link;
    fence guard;
    guard.addSocket(link.client.get());
    ASSERT_TRUE(guard.arm(bootNow() + farMs));
    EXPECT_FALSE(guard.arm(bootNow()));
    EXPECT_FALSE(canSend(link.client.get()));
}

TEST(fence_test, disarmClosesAndLeavesSocketsAlone)
{
    const connection link;
    fence guard;
    guard.addSocket(link.client.get());
    ASSERT_TRUE(guard.arm(bootNow() + farMs));
    guard.disarm();
    EXPECT_TRUE(guard.fenced());
    EXPECT_TRUE(canSend(link.client.get()));
}

TEST(fence_test, disarmedFenceDoesNotFall)
{
    const connection link;
    fence guard;
    millis end;
    // On a starved machine the end may pass before the fence is disarmed, and the fence falls first.
    ASSERT_TRUE(eventually([&] {
        end = bootNow() + soonMs;
        const bool armed = guard.rearm(end);
        guard.disarm();
        return armed && bootNow() < end;
    }));
    guard.addSocket(link.client.get());
    ASSERT_TRUE(eventually([&] {
        return bootNow() > end + soonMs;
    }));
    EXPECT_TRUE(canSend(link.client.get()));
}

TEST(fence_test, removedSocketIsLeftAlone)
{
    const connection link;
    fence guard;
    guard.addSocket(link.client.get());
    guard.removeSocket(link.client.get());
    letFall(guard);
    EXPECT_TRUE(canSend(link.client.get()));
}

// A daemon opens more order sockets than the fence has places for. The one too many must not be usable:
// unguarded, it would be the one whose late order gets through.
TEST(fence_test, socketWithoutAPlaceIsCutOff)
{
    const connection guardedLink;
    const connection oneTooMany;
    fence guard;
    ASSERT_TRUE(guard.arm(bootNow() + farMs));
    for (std::size_t i = 0; i < fence::maxSockets; ++i) {
        guard.addSocket(guardedLink.client.get());
    }
    guard.addSocket(oneTooMany.client.get());
    EXPECT_TRUE(canSend(guardedLink.client.get()));
    EXPECT_FALSE(canSend(oneTooMany.client.get()));
}

TEST(fence_test, secondInstanceStaysClosed)
{
    const fence guard;
    fence second;
    EXPECT_FALSE(guard.failure());
    ASSERT_TRUE(second.failure());
    EXPECT_FALSE(second.arm(bootNow() + farMs));
}

// An order waits for the engine's answer when the lease ends. The caller behind it must get its outcome
// from the cut connection; a call that went unnoticed would hang until its own timeout.
TEST(fence_test, orderOnItsWayEndsWithALostConnection)
{
    loop eventLoop;
    fence guard;
    http_client orders(eventLoop);
    orders.onSocket([&](int fd, bool open) {
        open ? guard.addSocket(fd) : guard.removeSocket(fd);
    });
    std::vector<std::shared_ptr<http_reply>> held;
    error why;
    const auto engine = http_server::listen(
        eventLoop, "127.0.0.1", 0, 1'000,
        [&](const http_request &, const std::shared_ptr<http_reply> &reply) {
            held.push_back(reply);
            guard.arm(bootNow() + soonMs);
        },
        why);
    ASSERT_NE(engine, nullptr) << message(why);
    ASSERT_TRUE(guard.arm(bootNow() + farMs));

    std::optional<http_result> result;
    http_call call{.method = "POST", .url = "http://127.0.0.1:" + std::to_string(engine->port()) + "/load"};
    call.timeout = patienceMs;
    orders.start(call, [&](const http_result &end) {
        result = end;
        eventLoop.stop();
    });
    eventLoop.run();
    ASSERT_TRUE(result);
    EXPECT_EQ(held.size(), 1U);
    EXPECT_FALSE(result->complete);
    EXPECT_TRUE(result->sent);
    EXPECT_EQ(result->why.kind, error_kind::ConnectionLost) << message(result->why);
}

}
}
