#include "transport/connect_probe.h"

#include "transport/peer_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace briarhead {

namespace {

constexpr int eventWrite = 2;

struct connect_probe : std::enable_shared_from_this<connect_probe>
{
    loop &events;
    std::function<void(connect_result)> done;
    owned_fd fd;
    std::shared_ptr<void> watch;
    std::shared_ptr<void> timer;

    connect_probe(loop &eventLoop, std::function<void(connect_result)> call)
        : events(eventLoop)
        , done(std::move(call))
    {
    }

    void end(connect_result result)
    {
        watch.reset();
        timer.reset();
        fd = owned_fd();
        if (const auto call = std::exchange(done, nullptr)) {
            call(result);
        }
    }
    void endLater(connect_result result)
    {
        events.post([weak = weak_from_this(), result] {
            if (const auto same = weak.lock()) {
                same->end(result);
            }
        });
    }
    void start(const peer_address &to, millis patience)
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
        timer = events.timer(patience, {}, [this] {
            endLater(connect_result::Unknown);
        });
    }
};

}

std::shared_ptr<void> probeConnect(
    loop &eventLoop, const peer_address &to, millis patience, std::function<void(connect_result)> done)
{
    auto probe = std::make_shared<connect_probe>(eventLoop, std::move(done));
    probe->start(to, patience);
    return probe;
}

}
