#pragma once

#include "coordination/membership.h"

#include <optional>
#include <string>

// The gossip of the membership protocol: the queues of facts and introductions, and the datagrams that carry
// them.
namespace briarhead::detail {

/// The fact to gossip about a peer. Leaves out domainHealth: each daemon infers that by itself.
peer_fact factOf(const peer_entry &entry);
/// The suspicion against a peer, to be sent to it so that it can refute; nothing if it is considered alive.
std::optional<peer_fact> suspicionOf(const peer_entry &entry);

/// Queues a fact for gossip; replaces a queued fact about the same peer.
void queueFact(membership &state, const peer_fact &fact);
/// Queues the death of a suspect whose time to refute has expired. It expires on every daemon that received
/// the suspicion, so the fact takes over the suspicion's queue entry and its remaining sends.
void queueDeath(membership &state, const peer_fact &fact);
/// Queues a fact unless one about the same peer is queued already.
void queueFactIfAbsent(membership &state, const peer_fact &fact);
/// Queues an introduction; replaces a queued one of the same peer.
void queueIntroduction(membership &state, const peer_introduction &introduction);
/// Removes a peer's introduction from the queue: the peer is listed now, or dead.
void removeIntroduction(membership &state, const std::string &name);

/// A datagram with `first`, then facts about this daemon itself, then the queued items with the most sends
/// left, as far as gossipBudgetBytes allow.
peer_datagram makeDatagram(membership &state, probe_kind kind, std::uint64_t sequence,
    const std::string &target = {}, const std::optional<peer_fact> &first = {});

/// Notices for a new process that name some of the peers that aren't alive, which its live list may still
/// show as alive.
std::vector<peer_datagram> joinNotices(membership &state);

}
