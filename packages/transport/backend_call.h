#pragma once

#include "transport/backend_pool.h"

#include <functional>
#include <string>

namespace briarhead {

/// The end of a short call: how it went, and the answer if it is whole.
struct call_result
{
    send_result how = send_result::Broken;
    int status = 0;
    http_head head;
    std::string body;
};

/// Sends a whole request and collects the answer. Without one after `timeout` the call is given up as broken,
/// and its connection is reset: bytes left, but none that a cut link still holds up arrives later. `done` is
/// called once, never from inside.
void callServer(loop &eventLoop, backend_pool &pool, const peer_address &to, std::string bytes,
    millis timeout, std::function<void(const call_result &)> done);

}
