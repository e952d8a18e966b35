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
/// Above the first real-time signals, which debuggers and profilers like to take.
constexpr int signalOffset = 5;

enum class fence_state : int
{
    Idle, ///< not armed; orders aren't sent, sockets are left alone
    Armed,
    Fallen, ///< the end passed; sockets are cut off
};

/// What the signal handler reads and writes. It is reached from a handler, so it is static, of fixed size
/// and made of lock-free atomics only.
struct guarded_sockets
{
    std::array<std::atomic<int>, fence::maxSockets> fds;
    std::atomic<fence_state> state{fence_state::Idle};
    std::atomic<std::int64_t> endMs{0};
    std::atomic<bool> inUse{false};
};

static_assert(std::atomic<int>::is_always_lock_free && std::atomic<std::int64_t>::is_always_lock_free
        && std::atomic<fence_state>::is_always_lock_free,
    "the signal handler may only touch lock-free atomics");

constinit guarded_sockets guarded{};

int fenceSignal()
{
    return SIGRTMIN + signalOffset;
}

/// Cuts one socket off for good. Async-signal-safe.
void cutOff(int fd)
{
    // Connecting to "no address" resets a TCP connection and drops its send buffer. shutdown() alone would
    // still deliver the buffer, with SO_LINGER 0 too, and close() would free a number that libcurl uses.
    sockaddr nowhere{};
    nowhere.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(fd, &nowhere, sizeof(nowhere)));
    // A socket that had not connected yet, or that is connected once more, could still send; after this
    // every send fails.
    ::shutdown(fd, SHUT_RDWR);
}

std::int64_t bootMs()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * msPerSecond + now.tv_nsec / nsPerMs;
}

void onDeadline(int)
{
    const int savedErrno = errno;
    // The end is compared again: the signal may stem from a timer that has been set further since.
    if (guarded.state == fence_state::Armed && bootMs() >= guarded.endMs) {
        guarded.state = fence_state::Fallen;
        for (const auto &fd : guarded.fds) {
            if (fd != noSocket) {
                cutOff(fd);
            }
        }
    }
    errno = savedErrno;
}

error systemFailure(const char *call)
{
    return {error_kind::Internal, "fence", std::string(call) + ": " + std::strerror(errno)};
}

}

fence::fence()
{
    if (guarded.inUse.exchange(true)) {
        m_failure = error{error_kind::Internal, "fence", "there is one already in this process"};
        return;
    }
    m_owner = true;
    for (auto &slot : guarded.fds) {
        slot = noSocket;
    }
    guarded.state = fence_state::Idle;

    struct sigaction action
    {
    };
    action.sa_handler = onDeadline;
    action.sa_flags = SA_RESTART;
    sigfillset(&action.sa_mask);
    if (sigaction(fenceSignal(), &action, nullptr) != 0) {
        m_failure = systemFailure("sigaction");
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
        m_failure = systemFailure("timer_create");
    }
}

fence::~fence()
{
    if (!m_owner) {
        return;
    }
    if (!m_failure) {
        timer_delete(m_timer);
        // A signal that is still pending must not meet the default action, which ends the process.
        signal(fenceSignal(), SIG_IGN);
    }
    guarded.state = fence_state::Idle;
    guarded.inUse = false;
}

const std::optional<error> &fence::failure() const
{
    return m_failure;
}

void fence::addSocket(int fd)
{
    const auto free = std::find_if(guarded.fds.begin(), guarded.fds.end(), [](const auto &slot) {
        return slot == noSocket;
    });
    if (free == guarded.fds.end()) {
        cutOff(fd);
        return;
    }
    // Registered first and looked at second, so that a fall in between finds it one way or the other.
    *free = fd;
    if (guarded.state == fence_state::Fallen) {
        cutOff(fd);
    }
}

void fence::removeSocket(int fd)
{
    for (auto &slot : guarded.fds) {
        if (slot == fd) {
            slot = noSocket;
        }
    }
}

bool fence::arm(millis end)
{
    return guarded.state != fence_state::Fallen && open(end);
}

bool fence::rearm(millis end)
{
    return open(end);
}

bool fence::open(millis end)
{
    if (m_failure) {
        return false;
    }
    if (guarded.state != fence_state::Armed && end.count <= bootMs()) {
        return false;
    }
    // The order of these three matters. The new end comes first, so that a signal of the old one that
    // arrives here changes nothing before the new end. The timer comes last: a timer set to a time that
    // has passed, because the process was paused on the way here, fires before this call returns.
    guarded.endMs = end.count;
    guarded.state = fence_state::Armed;
    if (!setTimer(end)) {
        m_failure = systemFailure("timer_settime");
        guarded.state = fence_state::Idle;
    }
    return !fenced();
}

bool fence::setTimer(millis end)
{
    itimerspec when{};
    when.it_value.tv_sec = end.count / msPerSecond;
    when.it_value.tv_nsec = end.count % msPerSecond * nsPerMs;
    return timer_settime(m_timer, TIMER_ABSTIME, &when, nullptr) == 0;
}

void fence::disarm()
{
    if (m_failure) {
        return;
    }
    guarded.state = fence_state::Idle;
    const itimerspec never{};
    timer_settime(m_timer, 0, &never, nullptr);
}

bool fence::fenced() const
{
    return guarded.state != fence_state::Armed;
}

}
