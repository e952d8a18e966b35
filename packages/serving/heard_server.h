#pragma once

#include "protocol/fleet_messages.h"
#include "serving/choose_server.h"
#include "state/clock.h"

#include <cstdint>
#include <string>
#include <vector>

// A model server as an entry knows it, from the beats of the daemon that gives its orders and from what the
// entry itself has asked for since.
namespace briarhead {

struct heard_server
{
    server_heartbeat beat;
    std::string orderer; ///< node
    millis at;
    std::vector<std::uint32_t> lately; ///< adapters that beats named as resident, the latest last
    std::int64_t askedSince = 0; ///< prompt tokens asked for here since that beat
    std::uint32_t placesSince = 0; ///< places for other adapters asked for here since that beat
};

/// A beat older than this says nothing about a server's orderer being alive.
constexpr millis beatFresh{1'500};

/// Stands for "MODEL/ADAPTER" in beats.
std::uint32_t adapterHash(std::string_view adapterKey);

/// Takes in a beat. Its adapters are what the server remembers, and the oldest drop out: a server keeps the
/// adapters that it held lately in its memory. No beat names them: an entry has seen them come and go.
void takeBeat(heard_server &heard, const server_heartbeat &beat, const std::string &orderer, millis now);

bool isFresh(const heard_server &heard, millis now);

/// What the beats say of a server for an adapter ("MODEL/ADAPTER", or the model alone). Domain, failures and
/// the place in the rendezvous order are the caller's to fill in.
model_candidate candidateOf(
    const heard_server &heard, const std::string &adapterKey, bool needsAdapter, millis now);

/// A server that no beats tell of, since it is in another cell. Only an adapter's first servers are asked so:
/// if it is anywhere besides the own cell, it is there.
model_candidate unheardCandidate(bool needsAdapter);

/// Fills in `hashRank` of each, up to `hashRanksCounted`, by the adapter's rendezvous order over the servers'
/// ids.
void rankByHash(std::vector<model_candidate> &candidates, const std::vector<std::string_view> &servers,
    const std::string &adapterKey);

/// A place is asked for: until the next beat tells, what it takes counts as taken.
void countAsk(heard_server &heard, std::int64_t promptTokens, residence adapter);

/// How long a prompt may wait for its turn, from its arrival here.
millis patienceOf(millis target);

}
