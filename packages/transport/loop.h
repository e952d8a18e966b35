#pragma once

#include "state/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

struct ev_loop;

namespace briarhead {

/// The event loop of a process, based on libev. All callbacks run on its thread and never nest. Handles
/// returned by its functions may outlive it.
class loop
{
public:
    loop();
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    /// Runs until stop() is called.
    void run();
    void stop();

    /// Queues a call, to be run on the loop after the current callback returns. Calls run in the order in
    /// which they were posted.
    void post(std::function<void()> call);

    /// Starts a timer, which is cancelled when the returned handle is destroyed. It fires once if `repeat` is
    /// 0.
    std::shared_ptr<void> timer(millis after, millis repeat, std::function<void()> call);

    /// Watches a file descriptor until the returned handle is destroyed. `events` is a mask of 1 (readable)
    /// and 2 (writable).
    std::shared_ptr<void> watch(int fd, int events, std::function<void(int events)> call);

    /// Calls `call` on the loop, not in the signal handler, after each signal `number` until the returned
    /// handle is destroyed.
    std::shared_ptr<void> onSignal(int number, std::function<void()> call);

    /// Sets a function that receives the text of an exception that a callback has thrown. The loop then goes
    /// on; without such a function the exception ends the process. Set before anything is started.
    void onException(std::function<void(const char *what)> call);

    /// The share of time since the last call, 0 to 1, in which the loop did not wait for events.
    double takeBusyShare();

    /// What the loop handles now arrived after this time: when the wait before the latest one ended. It lies
    /// far back where the process stood still in between.
    millis inputsSince() const;

    /// The underlying libev loop, for watchers that this class doesn't offer.
    struct ev_loop *raw();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
