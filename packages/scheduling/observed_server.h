#pragma once

#include "protocol/fleet_messages.h"
#include "protocol/load_messages.h"
#include "scheduling/choose_server.h"
#include "state/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// An entry's view of a model server, based on the heartbeats of the server's owner and on the slots that this
// entry has requested since the latest one.
namespace briarhead {

/// What the latest load heartbeat says about gaps at a model server.
struct observed_load
{
    std::uint64_t fence = 0;
    double tokensPerMs = 0; ///< prefill speed of prompts read alone; 0: not known
    millis speedAge; ///< since it was last measured, at `receivedAt`
    std::uint32_t limitedStreams = 0; ///< streams whose limit on the gap can still be kept
    millis receivedAt; ///< 0: never
    double usualTokensPerMs = 0; ///< moving average of the reported speeds; 0: none
    int capacityStep = 0; ///< of the usual speed
};

/// Reports come every 150 ms, so that the usual speed follows within about 30 s: a slowdown of seconds moves
/// no adapters.
constexpr double usualSpeedWeight = 0.005;
/// Weights are powers of the square root of two. A change by one step moves at most 0.3 of a server's
/// adapters, and happens only when the speed is well beyond the middle between two steps.
constexpr double stepsPerOctave = 2;
constexpr double stepHysteresis = 0.75;
constexpr int maxCapacityStep = 4;
/// A step outlasts a change of owner. Without reports for longer, gaps are not forecast any more, and the
/// plain order applies again.
constexpr millis capacityStepKeptFor{30'000};
/// The speed of step 0, which servers of unknown speed have.
constexpr double referenceTokensPerMs = 14;

/// The step for a usual speed, given the present step.
int capacityStepFor(double tokensPerMs, int present);
double capacityWeight(int step);

/// The latest heartbeat about a model server, and what has happened since.
struct observed_server
{
    server_heartbeat heartbeat;
    std::string owner; ///< node that sent the heartbeat
    millis receivedAt;
    /// Hashes of the adapters that heartbeats have listed as resident, most recent last.
    std::vector<std::uint32_t> recentAdapters;
    std::int64_t requestedTokensSince = 0; ///< prompt tokens of this entry's slot requests since `receivedAt`
    std::uint32_t slotsRequestedSince = 0; ///< adapter slots that this entry has requested since then
    observed_load load;
};

/// Without a heartbeat for this long, the server's owner may be dead.
constexpr millis heartbeatFreshFor{1'500};

/// The hash that stands for "MODEL/ADAPTER" in heartbeats.
std::uint32_t adapterHash(std::string_view adapterKey);

/// Applies a new heartbeat. Servers keep recently evicted adapters cached in host memory, but heartbeats list
/// only resident ones, so an entry infers the cached adapters from earlier heartbeats, up to a maximum
/// number.
void applyHeartbeat(
    observed_server &observed, const server_heartbeat &heartbeat, const std::string &owner, millis now);

/// What a load heartbeat says about gaps; nothing if its sender doesn't forecast them. Speeds that no server
/// has are taken as not known.
std::optional<observed_load> decodeLoad(const server_load &load, millis now);
/// Applies what an owner reports about its server in a load heartbeat, unless a later owner has been heard.
void applyServerLoad(observed_server &observed, const server_load &load, millis now);

/// As above, for the servers that heartbeats have been received of.
void applyServerLoads(
    std::map<std::string, observed_server> &observed, const std::vector<server_load> &loads, millis now);

/// Whether the latest heartbeat is recent enough for the server's owner to count as alive.
bool isFresh(const observed_server &observed, millis now);

/// The server as a candidate for an adapter ("MODEL/ADAPTER", or the model alone). `sameDomain`,
/// `failureRate` and `hashRank` are left for the caller to fill in.
model_candidate candidateOf(
    const observed_server &observed, const std::string &adapterKey, bool needsAdapter, millis now);

/// A candidate for a server in another heartbeat group, about which this entry receives no heartbeats. Such
/// servers are chosen only in the first positions of the adapter's rendezvous order: if the adapter is
/// resident outside this entry's group, it is most likely there.
model_candidate unobservedCandidate(bool needsAdapter);

/// Sets `hashRank` of each candidate to its position in the adapter's rendezvous order over the server ids,
/// at most `maxHashRank`. The order is weighted by capacity: a server of twice the weight comes first for
/// twice as many adapters. Where all have the same step it is the plain one.
void rankByHash(std::vector<model_candidate> &candidates, const std::vector<std::string_view> &servers,
    const std::string &adapterKey);

/// Records that this entry has requested a slot: until the next heartbeat, the prompt and the adapter slot
/// count as in use.
void countSlotRequest(observed_server &observed, std::int64_t promptTokens, adapter_residency adapter);

/// How long a request may wait for its slot, counted from its arrival, given its latency target.
millis maxSlotWait(millis target);

}
