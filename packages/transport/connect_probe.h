#pragma once

#include "state/clock.h"
#include "transport/loop.h"
#include "transport/peer_link.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace briarhead {

/// What a connection attempt shows about the process behind an address.
enum class connect_result : std::uint8_t
{
    Accepted, ///< a process listens there
    Refused, ///< its host answered that no process listens there: the process has exited
    Unknown, ///< no answer in time or another error: the host or the network may be down
};

/// Opens a TCP connection, sends nothing on it and closes it. `done` is called at most once, never from
/// inside probeConnect(), and not after the returned handle has been dropped. The result is Unknown after
/// `timeout`.
std::shared_ptr<void> probeConnect(
    loop &eventLoop, const peer_address &to, millis timeout, std::function<void(connect_result)> done);

}
