#include "coordination/membership.h"

#include "coordination/membership_gossip.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace briarhead {

using namespace detail;

namespace {

constexpr std::size_t maxConstantIntervalMembers = 200;
constexpr double intervalGrowth = 0.4; ///< for each tenfold size above that
constexpr std::uint32_t minMembersSeen = 3; ///< members that must be seen before a dead domain is alive again
constexpr std::size_t maxRelays = 16; ///< open probes on behalf of other peers
constexpr std::uint32_t leaveFanoutFactor = 2; ///< leaving is announced to more peers at once than a version
constexpr std::int64_t ticksPerProbeInterval = 5;

using probe = membership::probe;

std::size_t fleetSize(const membership &state)
{
    return state.peers.size() + 1;
}

millis intervalOf(const membership &state)
{
    return probeIntervalFor(state.tuning, fleetSize(state));
}

millis scaled(millis span, double factor)
{
    return {std::llround(static_cast<double>(span.count) * factor)};
}

peer_entry *find(membership &state, const std::string &name)
{
    const auto found = state.peers.find(name);
    return found == state.peers.end() ? nullptr : &found->second;
}

bool isDead(const peer_entry &entry)
{
    return entry.info.state == peer_state::Dead;
}

/// Recomputes an entry's state from its parts; sets `changed` where the result differs.
void updateState(membership &state, peer_entry &entry)
{
    peer_state combined = std::max(entry.health, entry.domainHealth);
    if (combined != peer_state::Dead && (entry.leaving || entry.listLeaving)) {
        combined = peer_state::Leaving;
    }
    if (combined != entry.info.state) {
        entry.info.state = combined;
        state.changed = true;
    }
}

void setHealth(membership &state, peer_entry &entry, peer_state health, millis now)
{
    entry.health = health;
    if (health == peer_state::Suspect) {
        entry.suspectSince = now;
    }
    if (health == peer_state::Dead) {
        entry.deadSince = now;
        removeIntroduction(state, entry.info.name);
    }
    updateState(state, entry);
}

// A higher incarnation is a new process, so nothing known about the old one holds for it. A peer whose
// incarnation was unknown keeps its domain's health until a datagram from it arrives.
void applyIncarnation(membership &state, peer_entry &entry, std::uint64_t incarnation, millis now)
{
    if (entry.info.incarnation != 0) {
        entry.domainHealth = peer_state::Alive;
    }
    entry.info.incarnation = incarnation;
    entry.info.configVersion = 0;
    entry.refutation = 0;
    entry.leaving = false;
    state.changed = true;
    setHealth(state, entry, peer_state::Alive, now);
}

peer_entry &addPeer(membership &state, const std::string &name)
{
    peer_entry &entry = state.peers[name];
    entry.info.name = name;
    state.changed = true;
    const std::size_t remaining =
        state.probeOrder.size() - std::min(state.probeNext, state.probeOrder.size());
    const std::size_t position = state.probeOrder.size() - remaining + state.random() % (remaining + 1);
    state.probeOrder.insert(state.probeOrder.begin() + static_cast<std::ptrdiff_t>(position), name);
    return entry;
}

// ---- facts

/// Merges a fact of the entry's own incarnation. Returns whether it changed what is known of the peer.
bool mergeFact(membership &state, peer_entry &entry, const peer_fact &fact, millis now)
{
    const bool refuted = fact.refutation > entry.refutation;
    bool isNew = false;
    switch (fact.state) {
    case peer_state::Alive:
        isNew = refuted;
        break;
    case peer_state::Leaving:
        isNew = refuted || !entry.leaving;
        entry.leaving = true;
        break;
    case peer_state::Suspect:
        isNew = refuted || (fact.refutation == entry.refutation && entry.health == peer_state::Alive);
        break;
    case peer_state::Dead:
        isNew = refuted || (fact.refutation == entry.refutation && entry.health != peer_state::Dead);
        break;
    }
    if (!isNew) {
        return false;
    }
    entry.refutation = std::max(entry.refutation, fact.refutation);
    if (fact.state == peer_state::Suspect || fact.state == peer_state::Dead) {
        setHealth(state, entry, fact.state, now);
    } else if (refuted) {
        entry.domainHealth = peer_state::Alive;
        setHealth(state, entry, peer_state::Alive, now);
    }
    updateState(state, entry);
    return true;
}

bool isAccusation(const peer_fact &fact)
{
    return fact.state == peer_state::Suspect || fact.state == peer_state::Dead;
}

// A process that was paused or disconnected learns that others consider it suspect or dead; only a higher
// refutation makes them consider it alive again. Its incarnation stays: it is the same process.
void refute(membership &state, const peer_fact &fact)
{
    if (fact.incarnation != state.self.incarnation || fact.refutation < state.refutation) {
        return;
    }
    state.refutation = fact.refutation + 1;
    const peer_state own = state.selfLeaving ? peer_state::Leaving : peer_state::Alive;
    queueFact(state, {state.self.name, state.self.incarnation, own, state.refutation});
}

bool isRefuted(const peer_entry &entry, const peer_fact &fact)
{
    return isAccusation(fact) && fact.incarnation == entry.info.incarnation
        && fact.refutation < entry.refutation;
}

void applyFact(membership &state, const peer_fact &fact, millis now)
{
    peer_entry *entry = find(state, fact.name);
    if (entry == nullptr) {
        return;
    }
    if (fact.incarnation < entry->info.incarnation || isRefuted(*entry, fact)) {
        // The sender doesn't know the peer's current process or refutation, and its gossip may have ended.
        queueFactIfAbsent(state, factOf(*entry));
        return;
    }
    const bool wasUnknown = entry->info.incarnation == 0;
    const bool newer = fact.incarnation > entry->info.incarnation;
    if (newer) {
        applyIncarnation(state, *entry, fact.incarnation, now);
    }
    if (isAccusation(fact) && entry->domainHealth != peer_state::Alive) {
        return;
    }
    const bool isNew = mergeFact(state, *entry, fact, now);
    // When a whole fleet starts, each daemon learns of every other one at once; gossiping all of that would
    // crowd out other facts.
    const bool shouldSpread = newer ? !wasUnknown || fact.state != peer_state::Alive : isNew;
    if (shouldSpread) {
        queueFact(state, factOf(*entry));
    }
}

/// Returns whether one of the facts says that this daemon is suspect or dead.
bool applyFacts(membership &state, const std::vector<peer_fact> &facts, millis now)
{
    bool accused = false;
    for (const peer_fact &fact : facts) {
        if (fact.name != state.self.name) {
            applyFact(state, fact, now);
        } else if (isAccusation(fact)) {
            refute(state, fact);
            accused = true;
        }
    }
    return accused;
}

// ---- datagrams as evidence that a peer is alive

/// Changes domainHealth from `oldHealth` to `newHealth` for all members of a domain.
void setDomainHealth(
    membership &state, const std::string &domain, peer_state oldHealth, peer_state newHealth, millis now)
{
    for (auto &[name, entry] : state.peers) {
        if (entry.info.failureDomain == domain && entry.domainHealth == oldHealth) {
            entry.domainHealth = newHealth;
            entry.deadSince = newHealth == peer_state::Dead ? now : entry.deadSince;
            updateState(state, entry);
        }
    }
}

// Handles a datagram from a member of a domain that is considered dead. The member is alive again, and so
// are the others once enough members were seen compared with failed probes: the domain was only disconnected.
// Where only a few survived, the rest stay dead; otherwise each survivor would revive all the dead.
void reviewLostDomain(membership &state, peer_entry &entry, millis now)
{
    entry.domainHealth = peer_state::Alive;
    updateState(state, entry);
    const std::string domain = entry.info.failureDomain;
    domain_evidence &evidence = state.domainEvidence[domain];
    evidence.failedProbes = evidence.membersSeen == 0 ? 0 : evidence.failedProbes;
    ++evidence.membersSeen;
    if (evidence.membersSeen >= minMembersSeen && evidence.membersSeen > 2 * evidence.failedProbes) {
        state.domainEvidence.erase(domain);
        setDomainHealth(state, domain, peer_state::Dead, peer_state::Alive, now);
    }
}

void markSeen(membership &state, peer_entry &entry, millis now)
{
    entry.lastSeenAt = now;
    if (entry.domainHealth == peer_state::Suspect) {
        const std::string domain = entry.info.failureDomain;
        state.domainEvidence.erase(domain);
        setDomainHealth(state, domain, peer_state::Suspect, peer_state::Alive, now);
    } else if (entry.domainHealth == peer_state::Dead) {
        reviewLostDomain(state, entry, now);
    }
}

/// Updates the sender's entry from a datagram's header fields and the fact that it arrived.
void applySender(
    membership &state, peer_entry &entry, const peer_address &from, const peer_datagram &datagram, millis now)
{
    const bool replaced = entry.info.incarnation != 0 && datagram.incarnation > entry.info.incarnation;
    if (!replaced) {
        markSeen(state, entry, now);
    }
    if (datagram.incarnation > entry.info.incarnation) {
        applyIncarnation(state, entry, datagram.incarnation, now);
        entry.refutation = datagram.refutation;
        entry.lastSeenAt = now;
        if (replaced) {
            entry.info.address = from;
            queueFact(state, factOf(entry));
        }
    }
    if (datagram.refutation > entry.refutation) {
        entry.refutation = datagram.refutation;
        setHealth(state, entry, peer_state::Alive, now);
        queueFact(state, factOf(entry));
    }
    if (datagram.configVersion > entry.info.configVersion) {
        entry.info.configVersion = datagram.configVersion;
        state.changed = true;
    }
}

/// A daemon becomes usable before the lagging live list shows it, by its introduction, which peers pass on.
/// Ignored for peers on the list: their addresses come from there, and facts announce their new processes.
void applyIntroduction(membership &state, const peer_introduction &introduction, millis now)
{
    peer_entry *known = find(state, introduction.name);
    const bool stale =
        known != nullptr && (known->listed || known->info.incarnation >= introduction.incarnation);
    if (introduction.name == state.self.name || stale) {
        return;
    }
    peer_entry &entry = known == nullptr ? addPeer(state, introduction.name) : *known;
    applyIncarnation(state, entry, introduction.incarnation, now);
    entry.info.address = {introduction.ip, introduction.port};
    entry.info.callerPort = introduction.callerPort;
    entry.info.failureDomain = introduction.failureDomain;
    queueIntroduction(state, introduction);
}

// ---- probing

/// By failure domain: when any of its members was last seen.
using domain_times = std::map<std::string_view, millis>;

domain_times lastSeenByDomain(const membership &state)
{
    domain_times lastSeen;
    for (const auto &[name, entry] : state.peers) {
        millis &last = lastSeen[entry.info.failureDomain];
        last = std::max(last, entry.lastSeenAt);
    }
    return lastSeen;
}

bool hasFailedProbeSince(const peer_entry &entry, millis since)
{
    return entry.failedProbeSentAt > since;
}

/// A random member of a domain from which nothing was received since one of its members became suspect or
/// left a probe unanswered. Probing it next distinguishes a lost domain from a lost member. Empty where there
/// is no such domain.
std::string pickFromUnresponsiveDomain(membership &state)
{
    const domain_times lastSeen = lastSeenByDomain(state);
    std::set<std::string_view> unresponsiveDomains;
    for (const auto &[name, entry] : state.peers) {
        const millis last = lastSeen.at(entry.info.failureDomain);
        const bool suspected = entry.health == peer_state::Suspect && entry.suspectSince > last;
        if (suspected || hasFailedProbeSince(entry, last)) {
            unresponsiveDomains.insert(entry.info.failureDomain);
        }
    }
    std::vector<const std::string *> candidates;
    for (const auto &[name, entry] : state.peers) {
        if (unresponsiveDomains.contains(entry.info.failureDomain) && entry.health == peer_state::Alive
            && entry.domainHealth == peer_state::Alive
            && !hasFailedProbeSince(entry, lastSeen.at(entry.info.failureDomain))) {
            candidates.push_back(&name);
        }
    }
    return candidates.empty() ? std::string() : *candidates[state.random() % candidates.size()];
}

/// A random member of a domain that is suspect as a whole, which is probed until it is alive or dead; empty
/// where there is none.
std::string pickFromSuspectDomain(membership &state)
{
    std::vector<const std::string *> candidates;
    for (const auto &[name, entry] : state.peers) {
        if (entry.domainHealth == peer_state::Suspect && entry.health != peer_state::Dead) {
            candidates.push_back(&name);
        }
    }
    return candidates.empty() ? std::string() : *candidates[state.random() % candidates.size()];
}

// Once a domain is suspect as a whole, that explains the suspicions against single members. If they were kept
// and gossiped on, each member would have to refute its own after a partition has healed, which takes minutes
// in a large fleet.
void dropMemberSuspicions(membership &state, const std::string &domain, millis now)
{
    for (auto &[name, entry] : state.peers) {
        if (entry.info.failureDomain == domain && entry.health == peer_state::Suspect) {
            setHealth(state, entry, peer_state::Alive, now);
        }
    }
    std::erase_if(state.facts, [&](const membership::queued_fact &queued) {
        const peer_entry *entry = find(state, queued.fact.name);
        return queued.fact.state == peer_state::Suspect && entry != nullptr
            && entry->info.failureDomain == domain;
    });
}

// When a whole failure domain is lost, gossiping the death of each member takes far too long in a large fleet
// (hundreds of facts, a few per datagram). So each daemon infers it by itself: several of its own probes into
// the domain failed, directly and through others, and no datagram came from the domain since the first of
// them. The domain is then suspect, and dead after enough further failures to make it unlikely that many of
// its members are alive: considering a live member dead breaks its streams.
void suspectUnresponsiveDomains(membership &state, millis now)
{
    struct domain_count
    {
        std::uint32_t live = 0;
        std::uint32_t failed = 0;
    };
    std::map<std::string, domain_count> counts;
    for (const domain_times lastSeen = lastSeenByDomain(state); const auto &[name, entry] : state.peers) {
        const std::string &domain = entry.info.failureDomain;
        if (entry.health != peer_state::Dead && entry.domainHealth == peer_state::Alive) {
            ++counts[domain].live;
            counts[domain].failed += hasFailedProbeSince(entry, lastSeen.at(domain)) ? 1 : 0;
        }
    }
    for (const auto &[domain, count] : counts) {
        if (!domain.empty() && count.live >= state.tuning.minDomainMembers
            && count.failed >= state.tuning.domainSuspectFailures) {
            state.domainEvidence[domain] = {};
            dropMemberSuspicions(state, domain, now);
            setDomainHealth(state, domain, peer_state::Alive, peer_state::Suspect, now);
        }
    }
}

/// Counts a failed probe to a member of a domain that is suspect or dead as a whole.
void recordDomainFailure(membership &state, const peer_entry &entry, millis now)
{
    const std::string domain = entry.info.failureDomain;
    domain_evidence &evidence = state.domainEvidence[domain];
    ++evidence.failedProbes;
    if (entry.domainHealth == peer_state::Suspect
        && evidence.failedProbes >= state.tuning.domainDeadFailures) {
        evidence = {};
        setDomainHealth(state, domain, peer_state::Suspect, peer_state::Dead, now);
    }
}

void startProbeRound(membership &state)
{
    state.probeOrder.clear();
    state.probeNext = 0;
    for (const auto &[name, entry] : state.peers) {
        if (!isDead(entry)) {
            state.probeOrder.push_back(name);
        }
    }
    std::shuffle(state.probeOrder.begin(), state.probeOrder.end(), state.random);
}

/// The next peer of the current probe round, or of a new one; empty where all are dead.
std::string nextInRound(membership &state)
{
    for (int round = 0; round < 2; ++round) {
        while (state.probeNext < state.probeOrder.size()) {
            std::string name = state.probeOrder[state.probeNext++];
            const peer_entry *entry = find(state, name);
            if (entry != nullptr && !isDead(*entry)) {
                return name;
            }
        }
        startProbeRound(state);
    }
    return {};
}

// After a long partition each side considers the other dead and would never send to it again. Every
// deadProbeEvery-th probe goes to a dead peer and carries the fact of its death, so that it can refute.
std::string pickDeadPeer(membership &state)
{
    std::vector<const std::string *> dead;
    for (const auto &[name, entry] : state.peers) {
        if (isDead(entry)) {
            dead.push_back(&name);
        }
    }
    return dead.empty() ? std::string() : *dead[state.random() % dead.size()];
}

std::string pickProbeTarget(membership &state)
{
    std::string target;
    if (state.probesSent % state.tuning.deadProbeEvery == state.tuning.deadProbeEvery - 1) {
        target = pickDeadPeer(state);
    }
    if (target.empty()) {
        target = pickFromSuspectDomain(state);
    }
    if (target.empty()) {
        target = pickFromUnresponsiveDomain(state);
    }
    if (target.empty()) {
        target = nextInRound(state);
    }
    return target.empty() ? pickDeadPeer(state) : target;
}

/// A datagram to a peer; carries the suspicion against it, if there is one, so that it can refute.
outgoing_datagram datagramTo(
    membership &state, const peer_entry &entry, probe_kind kind, std::uint64_t sequence)
{
    return {entry.info.address, makeDatagram(state, kind, sequence, {}, suspicionOf(entry))};
}

void sendProbe(membership &state, millis now, std::vector<outgoing_datagram> &out)
{
    const std::string target = pickProbeTarget(state);
    if (target.empty()) {
        return;
    }
    const std::uint64_t sequence = ++state.sequence;
    const probe_kind kind =
        state.probesSent++ < state.tuning.joinProbes ? probe_kind::Join : probe_kind::Ping;
    state.probes[sequence] = {target, now, false, {}, 0};
    out.push_back(datagramTo(state, state.peers.at(target), kind, sequence));
}

std::vector<const peer_entry *> pickAlivePeers(
    membership &state, std::size_t count, const std::string &except)
{
    std::vector<const peer_entry *> chosen;
    for (const auto &[name, entry] : state.peers) {
        const bool answers = entry.health == peer_state::Alive && entry.domainHealth == peer_state::Alive;
        if (answers && name != except) {
            chosen.push_back(&entry);
        }
    }
    std::shuffle(chosen.begin(), chosen.end(), state.random);
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

/// After the first timeout: probes once more, since a single datagram may have been lost, and through other
/// peers, since only the path from here may be broken.
void probeAgain(
    membership &state, std::uint64_t sequence, probe &pending, std::vector<outgoing_datagram> &out)
{
    pending.indirect = true;
    const peer_entry *target = find(state, pending.target);
    if (target == nullptr || isDead(*target)) {
        return;
    }
    out.push_back(datagramTo(state, *target, probe_kind::Ping, sequence));
    for (const peer_entry *helper : pickAlivePeers(state, state.tuning.indirectProbes, pending.target)) {
        out.push_back(
            {helper->info.address, makeDatagram(state, probe_kind::PingRequest, sequence, pending.target)});
    }
}

void onProbeFailed(membership &state, const probe &failed, millis now, std::vector<outgoing_datagram> &out)
{
    peer_entry *entry = find(state, failed.target);
    if (entry == nullptr || entry->lastSeenAt > failed.sentAt) {
        return;
    }
    if (entry->domainHealth != peer_state::Alive) {
        recordDomainFailure(state, *entry, now);
        return;
    }
    if (entry->health == peer_state::Dead) {
        return;
    }
    entry->failedProbeSentAt = failed.sentAt;
    // Off the live list and not answering: two sources agree, so it is dead without time to refute.
    const bool delisted = !entry->listed && entry->listedRevision > 0;
    const peer_state health = delisted ? peer_state::Dead : peer_state::Suspect;
    if (health > entry->health) {
        setHealth(state, *entry, health, now);
        queueFact(state, factOf(*entry));
        // If the peer is alive, it learns of the suspicion at once and refutes before it has spread far.
        out.push_back(datagramTo(state, *entry, probe_kind::Notice, 0));
    }
    suspectUnresponsiveDomains(state, now);
}

void expireProbes(membership &state, millis now, std::vector<outgoing_datagram> &out)
{
    const millis deadline = intervalOf(state);
    for (auto it = state.probes.begin(); it != state.probes.end();) {
        auto &[sequence, pending] = *it;
        const millis age = now - pending.sentAt;
        const bool own = pending.requester.empty();
        if (age >= deadline) {
            if (own) {
                onProbeFailed(state, pending, now, out);
            }
            it = state.probes.erase(it);
            continue;
        }
        if (own && !pending.indirect && age >= state.tuning.probeTimeout) {
            probeAgain(state, sequence, pending, out);
        }
        ++it;
    }
}

void expireSuspects(membership &state, millis now)
{
    const millis toRefute = suspicionTimeoutFor(state.tuning, fleetSize(state));
    for (auto &[name, entry] : state.peers) {
        if (entry.health == peer_state::Suspect && now - entry.suspectSince >= toRefute) {
            setHealth(state, entry, peer_state::Dead, now);
            queueDeath(state, factOf(entry));
        }
    }
}

void removeDeadPeers(membership &state, millis now)
{
    const auto count = std::erase_if(state.peers, [&](const auto &peer) {
        const peer_entry &entry = peer.second;
        return !entry.listed && isDead(entry) && now - entry.deadSince >= state.tuning.deadPeerRetention;
    });
    state.changed = state.changed || count > 0;
}

// When a process was paused, or too busy to read its socket, all its timers expire at once while the answers
// wait in the socket's buffer; it would declare half the fleet dead. So the time in which it did not run is
// added to all open deadlines.
void compensateOwnPause(membership &state, millis now)
{
    const millis gap = now - state.lastTick;
    if (state.lastTick == millis{} || gap <= state.tuning.probeTimeout) {
        return;
    }
    const millis pause = gap - millis{state.tuning.probeInterval.count / ticksPerProbeInterval};
    for (auto &[sequence, pending] : state.probes) {
        pending.sentAt = pending.sentAt + pause;
    }
    for (auto &[name, entry] : state.peers) {
        entry.suspectSince = entry.suspectSince + pause;
    }
}

// ---- answering

void answerPing(membership &state, const peer_address &from, const peer_datagram &ping,
    std::vector<outgoing_datagram> &out)
{
    const peer_entry *sender = find(state, ping.from);
    const auto suspicion = sender == nullptr ? std::nullopt : suspicionOf(*sender);
    out.push_back({from, makeDatagram(state, probe_kind::Ack, ping.sequence, {}, suspicion)});
    if (ping.kind == probe_kind::Join) {
        for (peer_datagram &notice : joinNotices(state)) {
            out.push_back({from, std::move(notice)});
        }
    }
}

void relayPing(
    membership &state, const peer_datagram &request, millis now, std::vector<outgoing_datagram> &out)
{
    const peer_entry *target = find(state, request.target);
    const auto relays = std::count_if(state.probes.begin(), state.probes.end(), [](const auto &open) {
        return !open.second.requester.empty();
    });
    if (target == nullptr || static_cast<std::size_t>(relays) >= maxRelays) {
        return;
    }
    const std::uint64_t sequence = ++state.sequence;
    state.probes[sequence] = {request.target, now, false, request.from, request.sequence};
    out.push_back(datagramTo(state, *target, probe_kind::Ping, sequence));
}

void onAck(membership &state, const peer_datagram &ack, millis now, std::vector<outgoing_datagram> &out)
{
    const auto found = state.probes.find(ack.sequence);
    if (found == state.probes.end()) {
        return;
    }
    const probe pending = found->second;
    peer_entry *target = find(state, pending.target);
    const bool direct = ack.from == pending.target;
    const bool relayed = pending.indirect && ack.target == pending.target;
    if (target == nullptr || (!direct && !relayed)) {
        return;
    }
    state.probes.erase(found);
    if (relayed) {
        markSeen(state, *target, now);
    }
    if (const peer_entry *requester = find(state, pending.requester); requester != nullptr) {
        out.push_back({requester->info.address,
            makeDatagram(
                state, probe_kind::Ack, pending.requesterSequence, pending.target, factOf(*target))});
    }
}

std::vector<outgoing_datagram> noticesToRandomPeers(membership &state, std::size_t count)
{
    std::vector<outgoing_datagram> out;
    for (const peer_entry *peer : pickAlivePeers(state, count, {})) {
        out.push_back({peer->info.address, makeDatagram(state, probe_kind::Notice, 0)});
    }
    return out;
}

// ---- the live list

void applyListEntry(membership &state, const live_instance &instance, std::uint64_t revision)
{
    peer_entry *known = find(state, instance.name);
    peer_entry &entry = known == nullptr ? addPeer(state, instance.name) : *known;
    const peer_address address{instance.address, instance.port};
    // The list may still show an earlier process's address. An address learnt from the peer's own datagrams
    // since then is kept until the list shows another one.
    if (address != entry.listedAddress) {
        entry.listedAddress = address;
        entry.info.address = address;
        state.changed = true;
    }
    if (entry.info.failureDomain != instance.failureDomain || entry.info.callerPort != instance.callerPort) {
        entry.info.failureDomain = instance.failureDomain;
        entry.info.callerPort = instance.callerPort;
        state.changed = true;
    }
    entry.listed = true;
    entry.listedRevision = revision;
    entry.listLeaving = instance.leaving;
    removeIntroduction(state, instance.name);
    updateState(state, entry);
}

void onUnlisted(membership &state, peer_entry &entry)
{
    entry.listed = false;
    entry.listLeaving = false;
    updateState(state, entry);
    const auto next = std::min(state.probeNext, state.probeOrder.size());
    state.probeOrder.insert(state.probeOrder.begin() + static_cast<std::ptrdiff_t>(next), entry.info.name);
}

}

millis probeIntervalFor(const membership_tuning &tuning, std::size_t members)
{
    if (members <= maxConstantIntervalMembers) {
        return tuning.probeInterval;
    }
    const double tenfolds =
        std::log10(static_cast<double>(members) / static_cast<double>(maxConstantIntervalMembers));
    return scaled(tuning.probeInterval, 1 + intervalGrowth * tenfolds);
}

millis suspicionTimeoutFor(const membership_tuning &tuning, std::size_t members)
{
    const double rounds = std::ceil(std::log10(static_cast<double>(members)) + 1);
    return scaled(probeIntervalFor(tuning, members), tuning.suspectIntervals * rounds);
}

void applyLiveList(membership &state, const live_view &view)
{
    state.selfListed = false;
    bool selfLeaving = state.selfLeaving;
    for (const auto &[name, instance] : view.instances) {
        if (instance.kind != instance_kind::Entry) {
            continue;
        }
        if (name == state.self.name) {
            state.selfListed = true;
            selfLeaving = selfLeaving || instance.leaving;
            continue;
        }
        applyListEntry(state, instance, view.revision);
    }
    for (auto &[name, entry] : state.peers) {
        const auto listed = view.instances.find(name);
        const bool inList = listed != view.instances.end() && listed->second.kind == instance_kind::Entry;
        if (entry.listed && !inList) {
            onUnlisted(state, entry);
        }
    }
    const peer_state self = selfLeaving ? peer_state::Leaving : peer_state::Alive;
    state.changed = state.changed || self != state.self.state;
    state.self.state = self;
}

std::vector<outgoing_datagram> tick(membership &state, millis now)
{
    std::vector<outgoing_datagram> out;
    if (state.startedAt == millis{}) {
        state.startedAt = now;
        state.nextProbe = now;
    }
    compensateOwnPause(state, now);
    state.lastTick = now;
    expireProbes(state, now, out);
    expireSuspects(state, now);
    removeDeadPeers(state, now);
    if (now >= state.nextProbe) {
        sendProbe(state, now, out);
        state.nextProbe = now + intervalOf(state);
    }
    return out;
}

std::vector<outgoing_datagram> handleDatagram(membership &state, const peer_address &from,
    const peer_datagram &datagram, millis now, std::optional<peer_version_seen> &newerVersion)
{
    std::vector<outgoing_datagram> out;
    if (datagram.from == state.self.name) {
        return out;
    }
    for (const peer_introduction &introduction : datagram.introductions) {
        applyIntroduction(state, introduction, now);
    }
    if (peer_entry *sender = find(state, datagram.from); sender != nullptr) {
        if (datagram.incarnation < sender->info.incarnation) {
            // A delayed datagram of an earlier process, or one from an earlier process that was paused and
            // has resumed after its successor started. Both are outdated for this name.
            return out;
        }
        applySender(state, *sender, from, datagram, now);
    }
    const bool accused = applyFacts(state, datagram.facts, now);
    if (datagram.configVersion > state.configVersion) {
        newerVersion = peer_version_seen{datagram.from, datagram.configVersion};
    }
    switch (datagram.kind) {
    case probe_kind::Ping:
    case probe_kind::Join:
        answerPing(state, from, datagram, out);
        break;
    case probe_kind::PingRequest:
        relayPing(state, datagram, now, out);
        break;
    case probe_kind::Ack:
        onAck(state, datagram, now, out);
        break;
    case probe_kind::Notice:
        // The notice carried a suspicion against this daemon: the response's refutation clears it.
        if (accused) {
            out.push_back({from, makeDatagram(state, probe_kind::Notice, 0)});
        }
        break;
    }
    return out;
}

std::vector<outgoing_datagram> announceVersion(membership &state, std::uint64_t version)
{
    state.configVersion = std::max(state.configVersion, version);
    state.self.configVersion = state.configVersion;
    return noticesToRandomPeers(state, state.tuning.announceFanout);
}

std::vector<outgoing_datagram> announceLeaving(membership &state)
{
    state.selfLeaving = true;
    state.self.state = peer_state::Leaving;
    state.changed = true;
    return noticesToRandomPeers(
        state, static_cast<std::size_t>(state.tuning.announceFanout) * leaveFanoutFactor);
}

std::vector<member> membersOf(const membership &state)
{
    std::vector<member> members{state.self};
    for (const auto &[name, entry] : state.peers) {
        members.push_back(entry.info);
    }
    std::sort(members.begin(), members.end(), [](const member &a, const member &b) {
        return a.name < b.name;
    });
    return members;
}

}
