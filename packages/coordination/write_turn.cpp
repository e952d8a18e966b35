#include "coordination/write_turn.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::size_t writers = 3;
/// A write and its arrival at the other daemons take some tens of ms, up to half a second where the store is
/// slow; a turn that ends too early costs a call.
constexpr millis turnLength{350};

}

std::optional<millis> writeDelayOf(
    const std::string &record, const std::vector<std::string> &daemons, const std::string &node)
{
    const std::vector<std::string> order = rendezvousOrder(record, daemons, writers);
    const auto own = std::find(order.begin(), order.end(), node);
    return own == order.end() ? std::nullopt
                              : std::optional(millis{(own - order.begin()) * turnLength.count});
}

}
