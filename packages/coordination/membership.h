#pragma once

#include "coordination/events.h"
#include "protocol/messages.h"
#include "state/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace briarhead {

/// Tunables of failure detection. One probe per interval and daemon, whatever the fleet's size.
struct membership_tuning
{
    millis probeInterval{500};
    millis probeTimeout{200}; ///< then two peers are asked to probe for us
    std::uint32_t indirectProbes = 2;
    std::uint32_t suspectIntervals =
        3; ///< a suspect not heard of for this many intervals (times log10 of the size) is dead
    std::uint32_t noticeFanout = 4; ///< peers told at once of a new configuration version
    std::uint32_t factRepeats = 4; ///< each fact rides on this many datagrams (times log2 of the size)
};

/// A peer as this daemon sees it.
struct peer_entry
{
    member who;
    millis suspectSince;
    std::uint64_t listedRevision = 0;
    bool listed = false;
};

/// A datagram to send.
struct outgoing
{
    peer_address to;
    peer_datagram datagram;
};

/// The membership of one daemon: pure state, driven by ticks and datagrams, SWIM-like. The live list is the
/// base (who may exist and where), probes correct it (who answers), incarnations end a process's old
/// identity.
struct membership
{
    member self;
    membership_tuning tuning;
    std::uint64_t configVersion = 0;
    std::map<std::string, peer_entry> peers; ///< without self
    std::vector<std::string> probeOrder; ///< shuffled; each peer once per round
    std::size_t probeNext = 0;
    std::uint64_t sequence = 0;
    struct probe
    {
        std::string target;
        millis sentAt;
        bool indirect = false;
        std::string requester; ///< set when probing for another
        std::uint64_t requesterSequence = 0;
    };
    std::map<std::uint64_t, probe> probes; ///< by sequence
    struct fact_out
    {
        peer_fact fact;
        std::uint32_t left = 0;
    };
    std::vector<fact_out> facts;
    std::mt19937_64 random;
    bool changed = false; ///< members differ since last taken
};

/// Takes the platform's list: adds new entries, removes vanished ones, marks leaving ones.
void applyLiveList(membership &state, const live_view &view);
/// Sends probes, times out old ones; called every probeInterval / 5 or so.
std::vector<outgoing> tick(membership &state, millis now);
/// Handles one datagram. `heard` gets a configuration version above ours, with its holder.
std::vector<outgoing> handle(membership &state, const peer_address &from, const peer_datagram &datagram,
    millis now, std::optional<version_heard> &heard);
/// Datagrams that tell a few random peers of a new version now.
std::vector<outgoing> notice(membership &state, std::uint64_t version);
/// Says to peers that this daemon is leaving.
std::vector<outgoing> leave(membership &state);
/// The members with self, in name order.
std::vector<member> membersOf(const membership &state);

}
