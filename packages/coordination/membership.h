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

/// Parameters of failure detection. Each daemon sends one probe per interval, whatever the fleet's size.
struct membership_tuning
{
    millis probeInterval{500};
    millis probeTimeout{200}; ///< after this, other peers are asked to probe the target
    std::uint32_t indirectProbes = 2; ///< how many peers are asked
    /// A suspect that has not refuted within this many intervals (times log10 of the size) is dead.
    std::uint32_t suspectIntervals = 3;
    std::uint32_t announceFanout = 4; ///< peers notified at once of a new configuration version
    std::uint32_t factRepeats = 4; ///< each fact is sent in this many datagrams (times log2 of the size)
    std::uint32_t minDomainMembers = 8; ///< domains with fewer live members are only judged member by member
    /// This many failed probes, with no datagram from the domain since, make the whole domain suspect.
    std::uint32_t domainSuspectFailures = 3;
    std::uint32_t domainDeadFailures = 9; ///< further failed probes that make a suspect domain dead
    std::uint32_t deadProbeEvery = 8; ///< every n-th probe goes to a dead peer, to detect healed partitions
    std::uint32_t joinProbes = 3; ///< the first probes of a process also request the peers that aren't alive
    millis introducePeriod{60'000}; ///< a new process introduces itself for this long, and until it is listed
    millis deadPeerRetention{60'000}; ///< a dead peer that is off the list is removed after this time
};

/// Bytes of a datagram that facts and introductions may fill together. Bounds the network cost of membership
/// whatever the fleet's size and the names' lengths; tested by membership.staysWithinItsByteBudget.
constexpr std::size_t gossipBudgetBytes = 120;

/// A peer as this daemon sees it.
struct peer_entry
{
    member info;
    millis suspectSince;
    std::uint64_t listedRevision = 0; ///< of the last live list that contained the peer; 0: never listed
    bool listed = false;
    bool listLeaving = false; ///< the current live list shows it as leaving
    peer_address listedAddress;
    /// Result of probes and gossip: Alive, Suspect or Dead. `info.state` combines it with the next two
    /// members.
    peer_state health = peer_state::Alive;
    bool leaving = false; ///< the peer announced that it is leaving; final for an incarnation
    peer_state domainHealth = peer_state::Alive; ///< inferred for the whole failure domain; never gossiped
    std::uint32_t refutation = 0; ///< orders facts of one incarnation
    millis lastSeenAt; ///< last datagram or relayed ack from it; 0: none yet
    millis failedProbeSentAt; ///< send time of the last probe that it left unanswered
    millis deadSince;
};

/// The evidence on a failure domain that is suspect or dead as a whole.
struct domain_evidence
{
    /// Failed probes to its members since it became suspect, dead, or a member was seen again.
    std::uint32_t failedProbes = 0;
    std::uint32_t membersSeen = 0; ///< members that sent a datagram since it was considered dead
};

/// A datagram to send.
struct outgoing_datagram
{
    peer_address to;
    peer_datagram datagram;
};

/// The membership view of one daemon, in the manner of SWIM: pure state, driven by ticks and datagrams. The
/// platform's live list says which daemons may exist and where, probes say which of them respond, and a
/// higher incarnation replaces an earlier process of the same name.
struct membership
{
    member self;
    membership_tuning tuning;
    std::uint64_t configVersion = 0; ///< highest version in force here
    std::map<std::string, peer_entry> peers; ///< by name, without self
    std::vector<std::string> probeOrder; ///< shuffled; each peer once per round
    std::size_t probeNext = 0; ///< index into probeOrder
    std::uint64_t sequence = 0; ///< of the last probe sent
    struct probe
    {
        std::string target;
        millis sentAt;
        bool indirect = false; ///< other peers were asked to probe the target too
        std::string
            requester; ///< the peer on whose behalf the probe was sent; empty: this daemon's own probe
        std::uint64_t requesterSequence = 0;
    };
    std::map<std::uint64_t, probe> probes; ///< open probes by sequence
    struct queued_fact
    {
        peer_fact fact;
        std::uint32_t sendsLeft = 0;
    };
    std::vector<queued_fact> facts;
    struct queued_introduction
    {
        peer_introduction introduction;
        std::uint32_t sendsLeft = 0;
    };
    std::vector<queued_introduction> introductions; ///< of peers that have not been on a live list yet
    std::mt19937_64 random;
    bool changed = false; ///< members differ from those last posted; cleared by the caller
    std::uint32_t refutation = 0; ///< of self
    bool selfListed = false;
    bool selfLeaving = false; ///< set by announceLeaving(); final
    millis startedAt; ///< first tick; 0: none yet
    millis lastTick;
    millis nextProbe;
    std::uint64_t probesSent = 0;
    std::map<std::string, domain_evidence> domainEvidence; ///< by failure domain, where suspect or dead
};

/// The probe interval for a fleet of `members`: the configured one up to a few hundred, then growing with the
/// logarithm of the size, so that the bytes per second stay within the budget even when many facts are
/// queued.
millis probeIntervalFor(const membership_tuning &tuning, std::size_t members);
/// How long a suspect has to refute: long enough for the suspicion to reach it by gossip and for its
/// refutation to come back.
millis suspicionTimeoutFor(const membership_tuning &tuning, std::size_t members);

/// Applies the platform's live list: adds new peers, marks leaving ones, and schedules peers that have
/// disappeared from it for the next probes (those that don't answer are then removed).
void applyLiveList(membership &state, const live_view &view);
/// Sends due probes and expires open ones; to be called about every probeInterval / 5.
std::vector<outgoing_datagram> tick(membership &state, millis now);
/// Handles one datagram and returns the responses. `newerVersion` is set where the sender holds a
/// configuration version above this daemon's.
std::vector<outgoing_datagram> handleDatagram(membership &state, const peer_address &from,
    const peer_datagram &datagram, millis now, std::optional<peer_version_seen> &newerVersion);
/// Records that this version is in force here and returns datagrams that notify a few random peers of it.
std::vector<outgoing_datagram> announceVersion(membership &state, std::uint64_t version);
/// Marks this daemon as leaving and returns datagrams that notify some peers of it.
std::vector<outgoing_datagram> announceLeaving(membership &state);
/// All members including self, sorted by name.
std::vector<member> membersOf(const membership &state);

}
