#include "transport/backend_call.h"

#include <memory>
#include <utility>

namespace briarhead {

namespace {

/// One call. The pool's callbacks own it until it has ended; its timer refers to it weakly.
struct pending_call
{
    call_result result;
    backend_pool::send_id sendId = 0;
    std::function<void(const call_result &)> done;
    std::shared_ptr<void> timer;

    void end(send_result how)
    {
        timer.reset();
        if (const auto callback = std::exchange(done, nullptr)) {
            result.how = how;
            callback(result);
        }
    }
};

}

void callServer(loop &eventLoop, backend_pool &pool, const peer_address &to, std::string bytes,
    millis timeout, std::function<void(const call_result &)> done, std::size_t maxBodyBytes)
{
    auto call = std::make_shared<pending_call>();
    call->done = std::move(done);
    send_handlers handlers;
    handlers.onHead = [call](const http_head &head) {
        call->result.status = head.status;
        call->result.head = head;
        return true;
    };
    handlers.onBody = [call, &pool, maxBodyBytes](const std::string &chunk) {
        call->result.body += chunk;
        if (call->result.body.size() > maxBodyBytes) {
            pool.abort(call->sendId); // which keeps the handlers until this call returns
            call->end(send_result::Broken);
        }
    };
    handlers.onEnd = [call](const response_end &end, const error &) {
        call->end(resultOf(end));
    };
    call->sendId = pool.start(to, std::move(bytes), false, std::move(handlers));
    // The pool's callbacks own the call until it ends. The call owns the timer, so the timer must not own the
    // call: a cycle would keep the call alive forever.
    call->timer = eventLoop.timer(timeout, {}, [&pool, weak = std::weak_ptr<pending_call>(call)] {
        if (const auto timedOut = weak.lock()) {
            pool.abort(timedOut->sendId);
            timedOut->end(send_result::Broken);
        }
    });
}

}
