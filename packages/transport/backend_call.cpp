#include "transport/backend_call.h"

#include <memory>
#include <utility>

namespace briarhead {

namespace {

/// One call. It is held by the pool's callbacks and by its timer, until it has ended.
struct pending_call
{
    call_result result;
    std::function<void(const call_result &)> done;
    std::shared_ptr<void> timer;

    void end(send_result how)
    {
        timer.reset();
        if (const auto call = std::exchange(done, nullptr)) {
            result.how = how;
            call(result);
        }
    }
};

}

void callServer(loop &eventLoop, backend_pool &pool, const peer_address &to, std::string bytes,
    millis timeout, std::function<void(const call_result &)> done)
{
    auto one = std::make_shared<pending_call>();
    one->done = std::move(done);
    send_handlers calls;
    calls.onHead = [one](const http_head &head) {
        one->result.status = head.status;
        one->result.head = head;
        return true;
    };
    calls.onBody = [one](const std::string &part) {
        one->result.body += part;
    };
    calls.onEnd = [one](send_result how, const error &) {
        one->end(how);
    };
    const auto send = pool.start(to, std::move(bytes), false, std::move(calls));
    // The pool holds the call until its end; the timer must not, or a call that has ended would live on in
    // it.
    one->timer = eventLoop.timer(timeout, {}, [&pool, send, weak = std::weak_ptr<pending_call>(one)] {
        if (const auto late = weak.lock()) {
            pool.abort(send);
            late->end(send_result::Broken);
        }
    });
}

}
