#pragma once

#include "transport/backend_pool.h"

#include <functional>
#include <string>

namespace briarhead {

/// The result of a short call; `status`, `head` and `body` are complete only if `how` is Complete.
struct call_result
{
    send_result how = send_result::Broken;
    int status = 0;
    http_head head;
    std::string body;
};

/// Whether the response is whole, or nothing but its status and a JSON body could be cut off, which then
/// doesn't parse.
inline bool endedInOrder(const call_result &result)
{
    return result.how == send_result::Complete || result.how == send_result::Unknown;
}

/// Limit on the responses to calls: reports and answers to orders.
constexpr std::size_t maxCallBodyBytes = 1024 * 1024;

/// Sends a complete request and collects the response. If none arrives within `timeout`, or its body is
/// longer than `maxBodyBytes`, the call ends as Broken and its connection is reset: some bytes may have been
/// delivered, but bytes still delayed by a broken link are never delivered later. `done` is called exactly
/// once, never from inside callServer().
void callServer(loop &eventLoop, backend_pool &pool, const peer_address &to, std::string bytes,
    millis timeout, std::function<void(const call_result &)> done,
    std::size_t maxBodyBytes = maxCallBodyBytes);

}
