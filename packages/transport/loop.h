#pragma once

#include "state/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

struct ev_loop;

namespace briarhead {

/// The one event loop of a process, on libev. Everything runs on its thread; callbacks never nest.
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

    /// Queues a call; it runs on the loop after the current callback returned, in order of posting.
    void post(std::function<void()> call);

    /// A timer that lives as long as the returned handle. `repeat` of 0 fires once.
    std::shared_ptr<void> timer(millis after, millis repeat, std::function<void()> call);

    /// Watches a file descriptor; events are a mask of 1 (readable) and 2 (writable).
    std::shared_ptr<void> watch(int fd, int events, std::function<void(int events)> call);

    /// Calls back on a signal, on the loop and not inside the handler.
    std::shared_ptr<void> onSignal(int number, std::function<void()> call);

    struct ev_loop *raw();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
