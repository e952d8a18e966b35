#include "transport/fence.h"

#include <pthread.h>
#include <signal.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstring>

#ifndef sigev_notify_thread_id
#define sigev_notify_thread_id _sigev_un._tid
#endif

namespace briarhead {

namespace {

constexpr int noSocket = -1;
constexpr std::int64_t msPerSecond = 1'000;
constexpr std::int64_t nsPerMs = 1'000'000;
/// Offset from SIGRTMIN; debuggers and profilers often use the first real-time signals.
constexpr int signalOffset = 5;

enum class fence_state : int
{
    Idle, ///< not armed: no orders are sent, sockets stay open
    Armed,
    Expired, ///< the lease has ended: sockets are reset
};

/// State that the signal handler reads and writes. A signal handler may access it only because it is static,
/// has a fixed size and consists of lock-free atomics.
struct guard_state
{
    std::array<std::atomic<int>, fence::maxSockets> fds;
    std::atomic<fence_state> state{fence_state::Idle};
    std::atomic<std::int64_t> endMs{0};
    std::atomic<bool> inUse{false};
};

static_assert(std::atomic<int>::is_always_lock_free && std::atomic<std::int64_t>::is_always_lock_free
        && std::atomic<fence_state>::is_always_lock_free,
    "a signal handler may only access lock-free atomics");

constinit guard_state guard{};

int fenceSignal()
{
    return SIGRTMIN + signalOffset;
}

/// Resets the socket's connection and makes the socket unusable. Async-signal-safe.
void resetSocket(int fd)
{
    // Connecting to AF_UNSPEC resets a TCP connection and discards its send buffer. shutdown() alone would
    // still deliver the buffer, even with SO_LINGER 0, and close() would free a descriptor number that
    // libcurl still uses.
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(fd, &unspecified, sizeof(unspecified)));
    // A socket that was not yet connected, or is connected again, could still send. After shutdown() every
    // send fails.
    ::shutdown(fd, SHUT_RDWR);
}

std::int64_t bootClockMs()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * msPerSecond + now.tv_nsec / nsPerMs;
}

void onLeaseEnd(int)
{
    const int savedErrno = errno;
    // The signal may come from a timer that has since been set to a later time.
    if (guard.state == fence_state::Armed && bootClockMs() >= guard.endMs) {
        guard.state = fence_state::Expired;
        for (const auto &fd : guard.fds) {
            if (fd != noSocket) {
                resetSocket(fd);
            }
        }
    }
    errno = savedErrno;
}

error systemCallError(const char *call)
{
    return {error_kind::Internal, "fence", std::string(call) + ": " + std::strerror(errno)};
}

}

fence::fence()
{
    if (guard.inUse.exchange(true)) {
        m_failure = error{error_kind::Internal, "fence", "another fence exists in this process"};
        return;
    }
    m_ownsGuard = true;
    for (auto &slot : guard.fds) {
        slot = noSocket;
    }
    guard.state = fence_state::Idle;

    struct sigaction signalAction
    {
    };
    signalAction.sa_handler = onLeaseEnd;
    signalAction.sa_flags = SA_RESTART;
    sigfillset(&signalAction.sa_mask);
    if (sigaction(fenceSignal(), &signalAction, nullptr) != 0) {
        m_failure = systemCallError("sigaction");
        return;
    }
    sigset_t unblocked;
    sigemptyset(&unblocked);
    sigaddset(&unblocked, fenceSignal());
    pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);

    sigevent event{};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = fenceSignal();
    event.sigev_notify_thread_id = gettid();
    if (timer_create(CLOCK_BOOTTIME, &event, &m_timer) != 0) {
        m_timer = nullptr;
        m_failure = systemCallError("timer_create");
    }
}

fence::~fence()
{
    if (!m_ownsGuard) {
        return;
    }
    if (!m_failure) {
        timer_delete(m_timer);
        // The default action of a signal that is still pending would terminate the process.
        signal(fenceSignal(), SIG_IGN);
    }
    guard.state = fence_state::Idle;
    guard.inUse = false;
}

const std::optional<error> &fence::failure() const
{
    return m_failure;
}

void fence::addSocket(int fd)
{
    const auto unused = std::find_if(guard.fds.begin(), guard.fds.end(), [](const auto &slot) {
        return slot == noSocket;
    });
    if (unused == guard.fds.end()) {
        resetSocket(fd);
        return;
    }
    // Registered before the state is checked, so that a socket is reset also if the lease ends in between.
    *unused = fd;
    if (guard.state == fence_state::Expired) {
        resetSocket(fd);
    }
}

void fence::removeSocket(int fd)
{
    for (auto &slot : guard.fds) {
        if (slot == fd) {
            slot = noSocket;
        }
    }
}

bool fence::arm(millis end)
{
    return guard.state != fence_state::Expired && armUntil(end);
}

bool fence::rearm(millis end)
{
    return armUntil(end);
}

bool fence::armUntil(millis end)
{
    if (m_failure) {
        return false;
    }
    if (guard.state != fence_state::Armed && end.count <= bootClockMs()) {
        return false;
    }
    // The order of these three steps matters. The new end is stored first, so that a signal of the previous
    // timer that arrives now has no effect before the new end. The timer is set last: if the process was
    // paused here until after the end, the timer fires before this function returns.
    guard.endMs = end.count;
    guard.state = fence_state::Armed;
    if (!setTimer(end)) {
        m_failure = systemCallError("timer_settime");
        guard.state = fence_state::Idle;
    }
    return !fenced();
}

bool fence::setTimer(millis end)
{
    itimerspec expiry{};
    expiry.it_value.tv_sec = end.count / msPerSecond;
    expiry.it_value.tv_nsec = end.count % msPerSecond * nsPerMs;
    return timer_settime(m_timer, TIMER_ABSTIME, &expiry, nullptr) == 0;
}

void fence::disarm()
{
    if (m_failure) {
        return;
    }
    guard.state = fence_state::Idle;
    const itimerspec disarmed{};
    timer_settime(m_timer, 0, &disarmed, nullptr);
}

bool fence::fenced() const
{
    return guard.state != fence_state::Armed;
}

}
