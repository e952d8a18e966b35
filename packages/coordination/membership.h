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
    std::uint32_t domainMembers = 8; ///< domains with fewer live members are judged member by member
    std::uint32_t domainSuspectFailures = 3; ///< failed probes into a silent failure domain: suspect it whole
    std::uint32_t domainDeadFailures = 9; ///< further ones, with nobody heard from there: it is dead
    std::uint32_t deadProbeEvery = 8; ///< one probe in so many goes to a dead peer, to find healed partitions
    std::uint32_t joinProbes = 3; ///< first probes of a process, which ask who isn't alive
    millis introduceFor{60'000}; ///< a new process introduces itself for this long, and until it is listed
    millis forgetAfter{60'000}; ///< a dead peer that is off the list is forgotten after this
};

/// Bytes of a datagram that facts and introductions may fill together. It bounds what membership costs,
/// whatever the fleet's size and the names' lengths: see the test of its cost.
constexpr std::size_t gossipBudgetBytes = 120;

/// A peer as this daemon sees it.
struct peer_entry
{
    member who;
    millis suspectSince;
    std::uint64_t listedRevision = 0; ///< of the list that last held it, 0: never listed
    bool listed = false;
    bool listLeaving = false; ///< as the list says now
    peer_address listedAddress;
    /// What was probed or told of it: Alive, Suspect or Dead. `who.state` joins this with the next two.
    peer_state health = peer_state::Alive;
    bool leaving = false; ///< the peer said so; final for an incarnation
    peer_state domainHealth = peer_state::Alive; ///< concluded from its domain's silence, told to nobody
    std::uint32_t refutation = 0; ///< orders facts of one incarnation
    millis heardAt; ///< last sign of life, 0: none yet
    millis failedSentAt; ///< when the last probe that it left unanswered was sent
    millis deadSince;
};

/// The evidence on a failure domain that is suspected, or held to be lost, as a whole.
struct domain_evidence
{
    std::uint32_t failed = 0; ///< probes to its members that failed
    std::uint32_t heard = 0; ///< members that spoke after it was held to be lost
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
    struct introduction_out
    {
        peer_introduction introduction;
        std::uint32_t left = 0;
    };
    std::vector<introduction_out> introductions; ///< of peers that no list has shown yet
    std::mt19937_64 random;
    bool changed = false; ///< members differ since last taken
    std::uint32_t refutation = 0; ///< of self
    bool selfListed = false;
    bool selfLeaving = false; ///< by leave(); final
    millis startedAt; ///< first tick, 0: none yet
    millis lastTick;
    millis nextProbe;
    std::uint64_t probesSent = 0;
    std::map<std::string, domain_evidence> silentDomains;
};

/// The probe interval for a fleet of `members`: the tuned one up to a few hundred, then growing with the
/// logarithm, so that the bytes a second stay within the budget while facts are plenty.
millis probeIntervalFor(const membership_tuning &tuning, std::size_t members);
/// How long a suspect has to refute: long enough for the suspicion to reach it by gossip and come back.
millis suspicionFor(const membership_tuning &tuning, std::size_t members);

/// Takes the platform's list: adds new entries, probes vanished ones next and forgets those that don't
/// answer, marks leaving ones.
void applyLiveList(membership &state, const live_view &view);
/// Sends probes, times out old ones; called every probeInterval / 5 or so.
std::vector<outgoing> tick(membership &state, millis now);
/// Handles one datagram. `heard` gets a configuration version above ours, with its holder.
std::vector<outgoing> handle(membership &state, const peer_address &from, const peer_datagram &datagram,
    millis now, std::optional<peer_version_seen> &heard);
/// Datagrams that tell a few random peers of a new version now.
std::vector<outgoing> notice(membership &state, std::uint64_t version);
/// Says to peers that this daemon is leaving.
std::vector<outgoing> leave(membership &state);
/// The members with self, in name order.
std::vector<member> membersOf(const membership &state);

}
