#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstddef>
#include <optional>

namespace briarhead {

/// Stops an owner from sending orders after its lease: resets its connections to engines when the lease
/// ends, even if the process is paused at that moment and cannot check the clock. "Orders" are the load and
/// unload requests that the owner of a server sends to its engine.
///
/// The failure it guards against: an owner checks its lease, finds it valid, and is paused (SIGSTOP, a
/// debugger, a starved machine) before the order is sent, or while the order is still in a socket buffer
/// because the engine isn't reading. The lease expires, another daemon takes over the server and evicts an
/// adapter. Then the old owner resumes, or the engine resumes reading, and an order from the old tenure
/// takes effect. Engines that check fencing tokens reject it. Others load or unload adapters behind the new
/// owner's back, and a request may run on an adapter that is no longer loaded. Checking the clock before
/// the send doesn't help, because the pause can come after the check.
///
/// How it works: a kernel timer on CLOCK_BOOTTIME is set to the end of the lease and sends a real-time
/// signal to the loop's thread. A signal that becomes pending during the pause is delivered before the
/// thread executes its next instruction. The handler then resets every registered connection and discards
/// the contents of its kernel send buffer. All orders are sent from that one thread, so none can be sent
/// before the handler has run; a signal sent to the process could be handled by another thread while this
/// one goes on sending. The sockets stay unusable afterwards, including one that was about to connect.
///
/// What it doesn't cover; the new owner's wait before its first eviction must cover these:
/// - bytes already received by the engine's kernel, and orders that have already started. They are bounded
///   by the order deadline and the longest request deadline of the old tenure.
/// - a send buffer waiting for the engine's TCP window while this process is paused past the end of the
///   lease: the handler runs only when the process resumes. Until then TCP_USER_TIMEOUT on the sockets
///   bounds it.
/// - a send that the scheduler preempts inside the kernel: the signal is delivered only after the system
///   call returns. A process stopped by a signal cannot be inside a send, but a starved machine can make
///   the send take long.
/// - a virtual machine that is frozen as a whole. If the host advances the guest's clocks by the lost time,
///   CLOCK_BOOTTIME jumps past the end of the lease and the signal precedes the order as described above.
///   If the guest's clocks stood still, as is usual when a hypervisor pauses a guest, both the lease and
///   the timer run too long and nothing in the guest can detect it. For engines that don't check fencing
///   tokens this gap remains.
///
/// One instance per process, created on the loop's thread. Register only sockets to engines that don't
/// check fencing tokens: the others reject a late order themselves, so their connections can be kept.
class fence
{
public:
    /// Exceeds the number of servers of a daemon. Sockets beyond the limit are reset, not left unguarded.
    static constexpr std::size_t maxSockets = 1024;

    fence();
    ~fence();
    fence(const fence &) = delete;
    fence &operator=(const fence &) = delete;

    /// Why the fence can't work (no timer, or a second instance in the process); fenced() then stays true.
    const std::optional<error> &failure() const;

    /// Registers a socket, preferably before it connects. If the lease has already expired, or maxSockets
    /// are registered, the socket is reset at once.
    void addSocket(int fd);
    /// Must be called before the socket is closed, because the kernel reuses its descriptor number.
    void removeSocket(int fd);

    /// Allows orders until `end`, a time on CLOCK_BOOTTIME, measured from before the lease's confirmation
    /// was requested. Extends the time if the fence is armed already. Has no effect once the lease has
    /// expired, so that a confirmation still in flight at that time can't allow orders again; see rearm().
    /// Returns whether orders may be sent.
    bool arm(millis end);
    /// Like arm(), but also after the lease has expired, if `end` is in the future. Call it only after the
    /// lease was confirmed again and the record of each server was read again. Sockets that were reset stay
    /// unusable.
    bool rearm(millis end);
    /// Call when the lease has been released. Forbids orders but leaves the sockets open; all orders in
    /// flight must have ended before.
    void disarm();

    /// Whether orders must not be sent, because the fence is not armed or the lease has expired. Checked
    /// before each order to avoid one that would only be reset; the actual guard is the timer.
    bool fenced() const;

private:
    bool armUntil(millis end);
    bool setTimer(millis end);

    std::optional<error> m_failure;
    void *m_timer = nullptr;
    bool m_ownsGuard = false; ///< false for a second instance, which must not touch the shared state
};

}
