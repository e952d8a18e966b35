#pragma once

#include "transport/backend_pool.h"

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace briarhead::http_testing {

/// Gives a process a share of a processor as a quota does: it runs for `running` of each period, and stands
/// still for the rest.
class processor_quota
{
public:
    processor_quota(pid_t pid, std::chrono::microseconds running, std::chrono::microseconds period)
        : m_thread([this, pid, running, period] {
            while (!m_over) {
                kill(pid, SIGCONT);
                std::this_thread::sleep_for(running);
                kill(pid, SIGSTOP);
                std::this_thread::sleep_for(period - running);
            }
            kill(pid, SIGCONT);
        })
    {
    }
    ~processor_quota()
    {
        m_over = true;
        m_thread.join();
    }
    processor_quota(const processor_quota &) = delete;
    processor_quota &operator=(const processor_quota &) = delete;

private:
    std::atomic<bool> m_over = false;
    std::thread m_thread;
};

/// What became of the requests that were sent to one daemon.
struct attempt_counts
{
    std::size_t served = 0;
    std::size_t refused = 0; ///< answered with a failure, or cut off
    std::size_t unread = 0; ///< the connection was refused, or closed without an answer
    std::size_t late = 0; ///< not answered while the caller waited

    std::size_t read() const
    {
        return served + refused + late;
    }
};

/// Sends a request on a new connection and counts what becomes of it. If its connection is closed unread,
/// `retry` is called.
inline void sendOnNewConnection(loop &eventLoop, backend_pool &pool, std::uint16_t port, std::string request,
    millis patience, attempt_counts &counts, std::function<void()> retry)
{
    struct attempt_state
    {
        backend_pool::send_id id = 0;
        int status = 0;
        bool over = false;
        std::shared_ptr<void> timer;
    };
    const auto state = std::make_shared<attempt_state>();
    send_handlers calls;
    calls.onHead = [state](const http_head &head) {
        state->status = head.status;
        return true;
    };
    calls.onBody = [](const std::string &) {};
    calls.onEnd = [state, &counts, retry = std::move(retry)](const response_end &end, const error &) {
        state->over = true;
        state->timer.reset();
        if (state->status == 0) {
            ++counts.unread;
            if (retry) {
                retry();
            }
        } else {
            const bool whole = resultOf(end) == send_result::Complete && state->status == 200;
            (whole ? counts.served : counts.refused) += 1;
        }
    };
    state->id = pool.start({"127.0.0.1", port}, std::move(request), false, std::move(calls));
    state->timer = eventLoop.timer(patience, {}, [state, &pool, &counts] {
        if (!state->over) {
            state->over = true;
            ++counts.late;
            pool.cancel(state->id);
        }
    });
}

}
