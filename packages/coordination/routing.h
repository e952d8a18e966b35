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

/// What an entry knows of one backend server when it routes. Load is known from hints that ride on
/// answers; an old hint is discounted by its age.
struct server_view
{
    std::string name;
    std::string failureDomain;
    std::string baseModel;
    bool leaving = false; ///< from any source: takes no new work
    bool unavailable = false; ///< circuit breaker open or owner unreachable
    std::uint32_t sentHere = 0; ///< requests this entry has in flight there, first-hand
    std::uint32_t sentSinceHint = 0; ///< of sentHere, those sent after the last hint came
    std::uint32_t hintedInFlight = 0; ///< running at the last hint
    std::uint32_t hintedWaiting = 0;
    std::uint32_t batchLimit = 1;
    std::uint32_t freeSlots = 0;
    millis hintAge; ///< since the hint
};

/// One request to route.
struct route_query
{
    adapter_ref adapter;
    std::string baseModel;
    std::string failureDomain; ///< of this entry
    std::uint64_t prefix = 0; ///< hash of the prompt's head, 0: none
    std::vector<std::string> replicas; ///< the owner's last word on where the adapter is spread, may be empty
    std::vector<std::string> tried; ///< servers that already refused this request
};

/// How an entry chooses; the baselines are for measurement.
enum class routing_kind : std::uint8_t
{
    Briarhead,
    Random,
    LeastLoaded,
    RendezvousLru,
};

std::string_view nameOf(routing_kind value);
std::optional<routing_kind> routingKindOf(std::string_view name);

/// Expected load of a server from first-hand counts and the aged hint, in parts of its batch limit.
double expectedFill(const server_view &server);

/// The server to send to, or nothing when none is isEligible. Candidates are the adapter's replicas as hinted
/// by its owner, else the first by rendezvous hash on the adapter; candidateIndices replicas the least filled
/// of two chosen by prefix and by load. `stallWeight` of 1 prefers residency, 0 prefers full batches.
/// `random` makes the choice between equals.
std::optional<std::string> chooseServer(const route_query &query, std::span<const server_view> servers,
    double stallWeight, routing_kind kind, std::mt19937_64 &random);

}
