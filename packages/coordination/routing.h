#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/outcome.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace briarhead {

/// What an entry knows of one backend server when it routes a request. Load is known from hints in the
/// owner's responses; the weight of a hint decreases with its age.
struct server_view
{
    std::string name;
    std::string failureDomain;
    std::string baseModel;
    bool leaving = false; ///< from any source: accepts no new requests
    bool unavailable = false; ///< its circuit breaker is open or its owner is unreachable
    std::uint32_t sentHere = 0; ///< requests from this entry in flight there
    std::uint32_t sentSinceHint = 0; ///< those of sentHere that were sent after the last hint arrived
    std::uint32_t hintedInFlight = 0; ///< requests running there at the last hint
    std::uint32_t hintedWaiting = 0; ///< requests queued there at the last hint
    std::uint32_t batchLimit = 1;
    std::uint32_t freeSlots = 0;
    millis hintAge;
};

/// A request to route.
struct route_query
{
    adapter_ref adapter;
    std::string baseModel;
    std::string failureDomain; ///< of this entry
    std::uint64_t prefix = 0; ///< hash of the prompt's beginning; 0: none
    std::vector<std::string>
        replicas; ///< servers that the owner last named as the adapter's replicas; may be empty
    std::vector<std::string> tried; ///< servers that already refused this request
};

/// How an entry chooses a server. All but Briarhead are baselines for comparison.
enum class routing_kind : std::uint8_t
{
    Briarhead,
    Random,
    LeastLoaded,
    RendezvousLru,
};

std::string_view nameOf(routing_kind value);
std::optional<routing_kind> routingKindOf(std::string_view name);

/// The expected load of a server as a fraction of its batch limit, from this entry's own requests and the
/// aged hint.
double expectedFill(const server_view &server);

/// The server to send a request to, or nothing if none is eligible. The candidates are the adapter's
/// replicas, as hinted by its owner, or else its first server by rendezvous hash. Of two candidates, one of
/// them chosen by the prefix if there is one, the better filled one is taken. A `stallWeight` of 1 favours
/// servers that hold the adapter and are empty, 0 favours full batches. `random` breaks ties.
std::optional<std::string> chooseServer(const route_query &query, std::span<const server_view> servers,
    double stallWeight, routing_kind kind, std::mt19937_64 &random);

}
