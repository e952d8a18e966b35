#include "protocol/messages.h"

#include "protocol/fleet_messages.h"

#include <array>
#include <iterator>

namespace briarhead {

namespace {

constexpr std::array<std::string_view, 5> keyStateNames{
    "fresh", "started", "finished", "cant_know", "not_home"};
static_assert(keyStateNames.size() == static_cast<std::size_t>(key_state::NotHome) + 1);

constexpr std::array<std::string_view, 4> peerStateNames{"alive", "suspect", "leaving", "dead"};
static_assert(peerStateNames.size() == static_cast<std::size_t>(peer_state::Dead) + 1);

constexpr std::array<std::string_view, 5> probeKindNames{"ping", "ping_request", "ack", "notice", "join"};
static_assert(probeKindNames.size() == static_cast<std::size_t>(probe_kind::Join) + 1);

/// "invalid" for a value that is not an enumerator.
template <class kind, std::size_t size>
std::string_view nameIn(const std::array<std::string_view, size> &names, kind value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < size ? names[index] : "invalid";
}

}

std::string_view nameOf(refusal value)
{
    static constexpr std::string_view names[] = {"none", "too_busy", "no_place", "not_orderer",
        "server_leaving", "model_not_held", "load_too_slow", "limited", "paused"};
    static_assert(std::size(names) == static_cast<std::size_t>(lastOf(refusal{})) + 1);
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(key_state value)
{
    return nameIn(keyStateNames, value);
}

std::string_view nameOf(peer_state value)
{
    return nameIn(peerStateNames, value);
}

std::string_view nameOf(probe_kind value)
{
    return nameIn(probeKindNames, value);
}

}
