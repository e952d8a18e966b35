#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstddef>
#include <optional>

namespace briarhead {

/// The self-fence of an owner: cuts the sockets of its orders off when its lease ends, also when the
/// process is paused at that time and never gets a chance to look at the clock.
///
/// The failure: an owner checks its lease, finds it good, and is paused (SIGSTOP, a debugger, a starved
/// machine) before the order leaves, or with the order still in a socket's buffer because the engine
/// isn't reading. Its lease lapses, another daemon takes the server over and evicts an adapter; then the
/// owner goes on, or the engine reads on, and an order of the old tenure takes effect. Engines that check
/// fencing tokens refuse it; the others load or unload under the new owner's feet, and a request runs on
/// an adapter that is no longer there. A check of the clock before the send is no guard, since the pause
/// comes after the check.
///
/// Why it holds: a kernel timer on CLOCK_BOOTTIME stands at the lease's end and sends a real-time signal
/// to the loop's thread. A signal that becomes pending during the pause is delivered before the thread
/// executes its next instruction, and the handler then resets every registered connection and drops
/// what its kernel buffer holds. The order path runs on that one thread, so nothing of it can run in
/// between; sent to the process instead, the signal could be taken by another thread while the order
/// path runs on. What was cut stays cut: a socket that was only about to connect can't send either.
///
/// What it doesn't cover, and what the new owner's wait before its first eviction has to:
/// - bytes that the engine's kernel has already taken, and orders already begun; the order deadline and
///   the longest request deadline of the old tenure bound them,
/// - a buffer that is waiting for an engine's window while this process is paused past the lease: the
///   handler runs only when the process goes on. TCP_USER_TIMEOUT on order sockets bounds it meanwhile,
/// - a send that the scheduler interrupts inside the kernel: the signal waits until the system call is
///   over. No pause by a signal falls in there, but a starved machine stretches it,
/// - a virtual machine that is frozen as a whole. If the host gives its clocks the lost time back,
///   CLOCK_BOOTTIME jumps over the end and the signal precedes the order as above; if the guest's clocks
///   stood still, which is usual when a hypervisor pauses a guest, both the lease and the timer run too
///   long and nothing in the guest can tell. For engines that don't check fencing tokens this remains open.
///
/// One instance per process, made on the loop's thread. Register only sockets to engines that don't check
/// fencing tokens: the others refuse a late order themselves, and their connections need not be lost.
class fence
{
public:
    /// More order sockets than a daemon has servers; those beyond are cut off rather than left unguarded.
    static constexpr std::size_t maxSockets = 1024;

    fence();
    ~fence();
    fence(const fence &) = delete;
    fence &operator=(const fence &) = delete;

    /// Why the fence can't work (no timer, a second instance); it then stays closed.
    const std::optional<error> &failure() const;

    /// Puts a socket under the fence, best before it connects. If the fence has fallen, or no place is
    /// left, the socket is cut off at once.
    void addSocket(int fd);
    /// Must come before the socket is closed: its number is given out again.
    void removeSocket(int fd);

    /// The lease is confirmed until `end` on CLOCK_BOOTTIME, counted from before the confirmation was
    /// asked for. Opens a fence that isn't armed and extends one that is. A fallen fence stays closed:
    /// an answer that was on its way when the lease ended must not open it by accident. Returns whether
    /// orders may be sent.
    bool arm(millis end);
    /// The lease was confirmed anew after the fence fell, and each server's record was read again: opens
    /// the fence also if it has fallen, but only for an end in the future. Sockets cut off stay so.
    bool rearm(millis end);
    /// The lease is given back. Closes the fence and leaves the sockets alone; orders still on their way
    /// must be over by now.
    void disarm();

    /// Whether no order may be sent: not armed, or fallen. The order path asks right before each order,
    /// which spares an order that would only be cut off; the guard itself is the timer.
    bool fenced() const;

private:
    bool open(millis end);
    bool setTimer(millis end);

    std::optional<error> m_failure;
    void *m_timer = nullptr;
    bool m_owner = false;
};

}
