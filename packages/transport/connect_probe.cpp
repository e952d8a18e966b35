#include "transport/connect_probe.h"

#include "transport/peer_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace briarhead {

namespace {

constexpr int eventWrite = 2;

/// One connection attempt; it ends when `done` is called or the handle, its only owner, is dropped.
struct connect_probe : std::enable_shared_from_this<connect_probe>
{
    loop &events;
    std::function<void(connect_result)> done;
    owned_fd fd;
    std::shared_ptr<void> watch;
    std::shared_ptr<void> timer;

    connect_probe(loop &eventLoop, std::function<void(connect_result)> onDone)
        : events(eventLoop)
        , done(std::move(onDone))
    {
    }

    void end(connect_result result)
    {
        watch.reset();
        timer.reset();
        fd = owned_fd();
        if (const auto callback = std::exchange(done, nullptr)) {
            callback(result);
        }
    }
    /// Ends the probe in the next round of the loop, so that `done` is not called from inside probeConnect()
    /// or from the callbacks that end() destroys.
    void endLater(connect_result result)
    {
        events.post([weak = weak_from_this(), result] {
            if (const auto probe = weak.lock()) {
                probe->end(result);
            }
        });
    }
    void start(const peer_address &to, millis timeout)
    {
        const auto address = toSocketAddress(to);
        if (address) {
            fd = owned_fd(socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        }
        if (!fd) {
            endLater(connect_result::Unknown);
            return;
        }
        if (connect(fd.get(), address->raw(), address->size) != 0 && errno != EINPROGRESS) {
            endLater(errno == ECONNREFUSED ? connect_result::Refused : connect_result::Unknown);
            return;
        }
        watch = events.watch(fd.get(), eventWrite, [this](int) {
            const int code = pendingError(fd.get());
            endLater(code == 0             ? connect_result::Accepted
                    : code == ECONNREFUSED ? connect_result::Refused
                                           : connect_result::Unknown);
            watch.reset();
        });
        timer = events.timer(timeout, {}, [this] {
            endLater(connect_result::Unknown);
        });
    }
};

}

std::shared_ptr<void> probeConnect(
    loop &eventLoop, const peer_address &to, millis timeout, std::function<void(connect_result)> done)
{
    auto probe = std::make_shared<connect_probe>(eventLoop, std::move(done));
    probe->start(to, timeout);
    return probe;
}

}
