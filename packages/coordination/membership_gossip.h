#pragma once

#include "coordination/membership.h"

#include <optional>
#include <string>

// What membership says to peers: the queues of facts and introductions, and the datagrams they ride on.
namespace briarhead::detail {

/// What is told of a peer. A conclusion from its domain's silence isn't: each daemon draws its own.
peer_fact factOf(const peer_entry &entry);
/// The suspicion against a peer, for itself to refute; nothing where there is none.
std::optional<peer_fact> suspicionOf(const peer_entry &entry);

/// Queues a fact for gossip in place of an earlier one on the same peer.
void spread(membership &state, const peer_fact &fact);
/// Queues the death of a suspect whose time ran out. It runs out for everybody who heard of the suspicion, so
/// this fact takes the suspicion's place in the queue instead of a new one.
void spreadDeath(membership &state, const peer_fact &fact);
/// Queues it unless the peer has a fact in the queue already.
void spreadAgain(membership &state, const peer_fact &fact);
void spreadIntroduction(membership &state, const peer_introduction &introduction);
/// Ends the gossip of a peer's introduction: it is listed, or dead.
void endIntroduction(membership &state, const std::string &name);

/// A datagram with `first`, this daemon's own news, then the facts sent least so far.
peer_datagram makeDatagram(membership &state, probe_kind kind, std::uint64_t sequence,
    const std::string &target = {}, const std::optional<peer_fact> &first = {});

/// Notices for a new process: a few of the peers that aren't alive, which its list may show as if they were.
std::vector<peer_datagram> joinNotices(membership &state);

}
