#pragma once

#include "state/clock.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhead {

/// How long a daemon that finds a shared record outdated waits before it writes it. The first daemon by
/// rendezvous hash of the record's name writes at once; the next two wait in turn, in case it is dead or cut
/// off from the store. Nothing for all others. Turns only save calls: what keeps writers apart is the
/// condition of each write.
std::optional<millis> writeDelayOf(
    const std::string &record, const std::vector<std::string> &daemons, const std::string &node);

}
