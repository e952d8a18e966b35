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
    std::function<void(reach)> done;
    owned_fd fd;
    std::shared_ptr<void> watch;
    std::shared_ptr<void> timer;

    connect_probe(loop &eventLoop, std::function<void(reach)> call)
        : events(eventLoop)
        , done(std::move(call))
    {
    }

    void end(reach result)
    {
        watch.reset();
        timer.reset();
        fd = owned_fd();
        if (const auto call = std::exchange(done, nullptr)) {
            call(result);
        }
    }
    void endLater(reach result)
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
            endLater(reach::Silent);
            return;
        }
        if (connect(fd.get(), address->raw(), address->size) != 0 && errno != EINPROGRESS) {
            endLater(errno == ECONNREFUSED ? reach::Refuses : reach::Silent);
            return;
        }
        watch = events.watch(fd.get(), eventWrite, [this](int) {
            const int code = pendingError(fd.get());
            endLater(code == 0 ? reach::Accepts : code == ECONNREFUSED ? reach::Refuses : reach::Silent);
            watch.reset();
        });
        timer = events.timer(patience, {}, [this] {
            endLater(reach::Silent);
        });
    }
};

}

std::shared_ptr<void> probeConnect(
    loop &eventLoop, const peer_address &to, millis patience, std::function<void(reach)> done)
{
    auto probe = std::make_shared<connect_probe>(eventLoop, std::move(done));
    probe->start(to, patience);
    return probe;
}

}
