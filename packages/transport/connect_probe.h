#pragma once

#include "state/clock.h"
#include "transport/loop.h"
#include "transport/peer_link.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace briarhead {

/// What a connection attempt tells of the process behind an address.
enum class connect_result : std::uint8_t
{
    Accepted, ///< it lives
    Refused, ///< nobody listens there: it has ended
    Unknown, ///< nothing can be said: its host, or the way there, may be gone
};

/// Opens a connection, sends nothing on it and closes it. `done` is called once, never from inside, and not
/// at all once the returned handle has been dropped.
std::shared_ptr<void> probeConnect(
    loop &eventLoop, const peer_address &to, millis patience, std::function<void(connect_result)> done);

}
