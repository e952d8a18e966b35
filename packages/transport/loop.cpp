#include "transport/loop.h"

#include <ev.h>

#include <algorithm>
#include <deque>
#include <exception>
#include <utility>

namespace briarhead {

namespace {

using callback = std::function<void()>;
using fd_callback = std::function<void(int)>;

constexpr double msPerSecond = 1000.0;

using exception_handler = std::function<void(const char *what)>;

/// Runs a callback. libev's frames, which are C, must not be unwound by an exception.
template <class call_type>
void runGuarded(const exception_handler &handler, const call_type &call)
{
    if (!handler) {
        call();
        return;
    }
    try {
        call();
    } catch (const std::exception &thrown) {
        handler(thrown.what());
    }
}

/// A libev watcher that stops when its handle is destroyed. It shares ownership of the libev loop, so that a
/// handle may outlive the `loop` object. The callback has its own shared pointer: a callback that destroys
/// its handle would otherwise destroy the closure that is running.
template <class watcher_type, class function_type>
struct watcher
{
    std::shared_ptr<struct ev_loop> evLoop;
    std::shared_ptr<function_type> call;
    std::shared_ptr<const exception_handler> onException;
    watcher_type raw{};
    void (*stop)(struct ev_loop *, watcher_type *) = nullptr;

    watcher(std::shared_ptr<struct ev_loop> sharedLoop, function_type function,
        std::shared_ptr<const exception_handler> handler,
        void (*stopFunction)(struct ev_loop *, watcher_type *))
        : evLoop(std::move(sharedLoop))
        , call(std::make_shared<function_type>(std::move(function)))
        , onException(std::move(handler))
        , stop(stopFunction)
    {
    }
    ~watcher()
    {
        stop(evLoop.get(), &raw);
    }
    watcher(const watcher &) = delete;
    watcher &operator=(const watcher &) = delete;
};

using timer_watcher = watcher<ev_timer, callback>;
using fd_watcher = watcher<ev_io, fd_callback>;
using signal_watcher = watcher<ev_signal, callback>;

}

struct loop::impl
{
    std::shared_ptr<struct ev_loop> evLoop;
    ev_prepare prepare{};
    ev_check check{};
    millis waitBegan; ///< of the wait in progress, or the latest one
    millis waitEnded = bootNow(); ///< of the latest wait
    millis waitEndedBefore = waitEnded; ///< of the one before
    millis waited; ///< since `busySince`
    millis busySince = bootNow();
    ev_idle idle{};
    std::deque<callback> postedCalls;
    std::shared_ptr<exception_handler> onException = std::make_shared<exception_handler>();

    void runPostedCalls()
    {
        // Runs only the calls queued at the start; otherwise, calls that post further calls would starve the
        // sockets.
        for (std::size_t remaining = postedCalls.size(); remaining > 0; --remaining) {
            const callback call = std::move(postedCalls.front());
            postedCalls.pop_front();
            runGuarded(*onException, call);
        }
        // An active idle watcher keeps libev from sleeping while calls are queued.
        if (postedCalls.empty()) {
            ev_idle_stop(evLoop.get(), &idle);
        } else {
            ev_idle_start(evLoop.get(), &idle);
        }
    }
};

loop::loop()
    : m_impl(std::make_unique<impl>())
{
    m_impl->evLoop =
        std::shared_ptr<struct ev_loop>(ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV), ev_loop_destroy);
    // The prepare watcher runs after the callbacks of each iteration and before libev sleeps, so a posted
    // call needs no wakeup and no system call.
    ev_prepare_init(&m_impl->prepare, [](struct ev_loop *, ev_prepare *self, int) {
        auto *state = static_cast<impl *>(self->data);
        state->runPostedCalls();
        state->waitBegan = bootNow();
    });
    m_impl->prepare.data = m_impl.get();
    ev_prepare_start(m_impl->evLoop.get(), &m_impl->prepare);
    ev_check_init(&m_impl->check, [](struct ev_loop *, ev_check *self, int) {
        auto *state = static_cast<impl *>(self->data);
        state->waitEndedBefore = std::exchange(state->waitEnded, bootNow());
        state->waited = state->waited + (state->waitEnded - state->waitBegan);
    });
    m_impl->check.data = m_impl.get();
    ev_set_priority(&m_impl->check, EV_MAXPRI); // before the callbacks of the same round
    ev_check_start(m_impl->evLoop.get(), &m_impl->check);
    ev_idle_init(&m_impl->idle, [](struct ev_loop *, ev_idle *, int) {});
}

loop::~loop()
{
    ev_prepare_stop(m_impl->evLoop.get(), &m_impl->prepare);
    ev_check_stop(m_impl->evLoop.get(), &m_impl->check);
    ev_idle_stop(m_impl->evLoop.get(), &m_impl->idle);
    // Closures own handles and objects whose destructors may post further calls; those are discarded too.
    while (!m_impl->postedCalls.empty()) {
        const callback discarded = std::move(m_impl->postedCalls.front());
        m_impl->postedCalls.pop_front();
    }
}

void loop::run()
{
    ev_run(m_impl->evLoop.get(), 0);
}

void loop::stop()
{
    ev_break(m_impl->evLoop.get(), EVBREAK_ALL);
}

void loop::post(std::function<void()> call)
{
    m_impl->postedCalls.push_back(std::move(call));
}

std::shared_ptr<void> loop::timer(millis after, millis repeat, std::function<void()> call)
{
    auto handle =
        std::make_shared<timer_watcher>(m_impl->evLoop, std::move(call), m_impl->onException, ev_timer_stop);
    const auto onTimer = [](struct ev_loop *, ev_timer *self, int) {
        const auto *watcher = static_cast<timer_watcher *>(self->data);
        runGuarded(*std::shared_ptr(watcher->onException), *std::shared_ptr(watcher->call));
    };
    ev_timer_init(&handle->raw, onTimer, static_cast<double>(after.count) / msPerSecond,
        static_cast<double>(repeat.count) / msPerSecond);
    handle->raw.data = handle.get();
    // libev measures from the time it cached at the start of the iteration. After a long callback, or before
    // run(), that time is in the past and the timer would fire early.
    ev_now_update(m_impl->evLoop.get());
    ev_timer_start(m_impl->evLoop.get(), &handle->raw);
    return handle;
}

std::shared_ptr<void> loop::watch(int fd, int events, std::function<void(int events)> call)
{
    static_assert(EV_READ == 1 && EV_WRITE == 2, "the event mask of loop::watch() is that of libev");
    auto handle =
        std::make_shared<fd_watcher>(m_impl->evLoop, std::move(call), m_impl->onException, ev_io_stop);
    const auto onEvents = [](struct ev_loop *, ev_io *self, int received) {
        const auto *watcher = static_cast<fd_watcher *>(self->data);
        runGuarded(*std::shared_ptr(watcher->onException), [received, running = watcher->call] {
            (*running)(received & (EV_READ | EV_WRITE));
        });
    };
    ev_io_init(&handle->raw, onEvents, fd, events & (EV_READ | EV_WRITE));
    handle->raw.data = handle.get();
    ev_io_start(m_impl->evLoop.get(), &handle->raw);
    return handle;
}

std::shared_ptr<void> loop::onSignal(int number, std::function<void()> call)
{
    auto handle = std::make_shared<signal_watcher>(
        m_impl->evLoop, std::move(call), m_impl->onException, ev_signal_stop);
    const auto onEvent = [](struct ev_loop *, ev_signal *self, int) {
        const auto *watcher = static_cast<signal_watcher *>(self->data);
        runGuarded(*std::shared_ptr(watcher->onException), *std::shared_ptr(watcher->call));
    };
    ev_signal_init(&handle->raw, onEvent, number);
    handle->raw.data = handle.get();
    ev_signal_start(m_impl->evLoop.get(), &handle->raw);
    return handle;
}

void loop::onException(std::function<void(const char *what)> call)
{
    *m_impl->onException = std::move(call);
}

double loop::takeBusyShare()
{
    const millis now = bootNow();
    const auto span = static_cast<double>(std::max<std::int64_t>((now - m_impl->busySince).count, 1));
    const double idle = std::min(static_cast<double>(m_impl->waited.count) / span, 1.0);
    m_impl->busySince = now;
    m_impl->waited = {};
    return 1 - idle;
}

millis loop::inputsSince() const
{
    return m_impl->waitEndedBefore;
}

struct ev_loop *loop::raw()
{
    return m_impl->evLoop.get();
}

}
