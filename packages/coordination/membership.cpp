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

constexpr std::size_t constantIntervalMembers = 200;
constexpr double intervalGrowth = 0.4; ///< for each tenfold size above that
constexpr std::uint32_t enoughHeard = 3; ///< members that must speak before their domain is taken back
constexpr std::size_t maxRelays = 16; ///< probes for others at a time
constexpr std::uint32_t leaveFanoutFactor = 2; ///< leaving is told to more peers at once than a version
constexpr std::int64_t ticksPerInterval = 5;

using probe = membership::probe;

std::size_t fleetSize(const membership &state)
{
    return state.peers.size() + 1;
}

millis intervalOf(const membership &state)
{
    return probeIntervalFor(state.tuning, fleetSize(state));
}

millis times(millis span, double factor)
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
    return entry.who.state == peer_state::Dead;
}

/// Takes over what follows from the parts of an entry; `changed` tells whether others see a difference.
void refresh(membership &state, peer_entry &entry)
{
    peer_state seen = std::max(entry.health, entry.domainHealth);
    if (seen != peer_state::Dead && (entry.leaving || entry.listLeaving)) {
        seen = peer_state::Leaving;
    }
    if (seen != entry.who.state) {
        entry.who.state = seen;
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
        endIntroduction(state, entry.who.name);
    }
    refresh(state, entry);
}

// A higher incarnation is a new process: nothing that was known of the old one holds for it. Where none
// was known, its domain's silence still speaks against it until it is heard.
void takeIncarnation(membership &state, peer_entry &entry, std::uint64_t incarnation, millis now)
{
    if (entry.who.incarnation != 0) {
        entry.domainHealth = peer_state::Alive;
    }
    entry.who.incarnation = incarnation;
    entry.who.configVersion = 0;
    entry.refutation = 0;
    entry.leaving = false;
    state.changed = true;
    setHealth(state, entry, peer_state::Alive, now);
}

peer_entry &addPeer(membership &state, const std::string &name)
{
    peer_entry &entry = state.peers[name];
    entry.who.name = name;
    state.changed = true;
    const std::size_t left = state.probeOrder.size() - std::min(state.probeNext, state.probeOrder.size());
    const std::size_t at = state.probeOrder.size() - left + state.random() % (left + 1);
    state.probeOrder.insert(state.probeOrder.begin() + static_cast<std::ptrdiff_t>(at), name);
    return entry;
}

// ---- facts

/// Merges a fact of the entry's own incarnation. True when it was news.
bool mergeFact(membership &state, peer_entry &entry, const peer_fact &fact, millis now)
{
    const bool refuted = fact.refutation > entry.refutation;
    bool news = false;
    switch (fact.state) {
    case peer_state::Alive:
        news = refuted;
        break;
    case peer_state::Leaving:
        news = refuted || !entry.leaving;
        entry.leaving = true;
        break;
    case peer_state::Suspect:
        news = refuted || (fact.refutation == entry.refutation && entry.health == peer_state::Alive);
        break;
    case peer_state::Dead:
        news = refuted || (fact.refutation == entry.refutation && entry.health != peer_state::Dead);
        break;
    }
    if (!news) {
        return false;
    }
    entry.refutation = std::max(entry.refutation, fact.refutation);
    if (fact.state == peer_state::Suspect || fact.state == peer_state::Dead) {
        setHealth(state, entry, fact.state, now);
    } else if (refuted) {
        entry.domainHealth = peer_state::Alive;
        setHealth(state, entry, peer_state::Alive, now);
    }
    refresh(state, entry);
    return true;
}

bool accuses(const peer_fact &fact)
{
    return fact.state == peer_state::Suspect || fact.state == peer_state::Dead;
}

// A process that was paused or cut off finds itself suspected, or dead, in the eyes of others; only a
// higher refutation makes them take it back. Its incarnation stays: it is the same process.
void refute(membership &state, const peer_fact &fact)
{
    if (fact.incarnation != state.self.incarnation || fact.refutation < state.refutation) {
        return;
    }
    state.refutation = fact.refutation + 1;
    const peer_state own = state.selfLeaving ? peer_state::Leaving : peer_state::Alive;
    spread(state, {state.self.name, state.self.incarnation, own, state.refutation});
}

bool isRefuted(const peer_entry &entry, const peer_fact &fact)
{
    return accuses(fact) && fact.incarnation == entry.who.incarnation && fact.refutation < entry.refutation;
}

void applyFact(membership &state, const peer_fact &fact, millis now)
{
    peer_entry *entry = find(state, fact.name);
    if (entry == nullptr) {
        return;
    }
    if (fact.incarnation < entry->who.incarnation || isRefuted(*entry, fact)) {
        // The peer's process, or its refutation, is not known to the sender, and its gossip may have ended.
        spreadAgain(state, factOf(*entry));
        return;
    }
    const bool firstHeard = entry->who.incarnation == 0;
    const bool newer = fact.incarnation > entry->who.incarnation;
    if (newer) {
        takeIncarnation(state, *entry, fact.incarnation, now);
    }
    if (accuses(fact) && entry->domainHealth != peer_state::Alive) {
        return;
    }
    const bool news = mergeFact(state, *entry, fact, now);
    // When a whole fleet starts, everybody hears of everybody; passing that on would crowd out the rest.
    const bool worthTelling = newer ? !firstHeard || fact.state != peer_state::Alive : news;
    if (worthTelling) {
        spread(state, factOf(*entry));
    }
}

/// True when one of them accuses this daemon.
bool takeFacts(membership &state, const std::vector<peer_fact> &facts, millis now)
{
    bool accused = false;
    for (const peer_fact &fact : facts) {
        if (fact.name != state.self.name) {
            applyFact(state, fact, now);
        } else if (accuses(fact)) {
            refute(state, fact);
            accused = true;
        }
    }
    return accused;
}

// ---- signs of life

/// Sets what is concluded of all members of a domain of which `from` was concluded.
void judgeDomain(membership &state, const std::string &domain, peer_state from, peer_state to, millis now)
{
    for (auto &[name, entry] : state.peers) {
        if (entry.who.failureDomain == domain && entry.domainHealth == from) {
            entry.domainHealth = to;
            entry.deadSince = to == peer_state::Dead ? now : entry.deadSince;
            refresh(state, entry);
        }
    }
}

// A member of a domain that was held to be lost speaks. It is taken back, and with it the others if most
// of them prove to be there: the domain was cut off for a while. Where only a few outlived the loss the
// rest stays dead; else each survivor would bring all the dead back.
void reviewLostDomain(membership &state, peer_entry &heard, millis now)
{
    heard.domainHealth = peer_state::Alive;
    refresh(state, heard);
    const std::string domain = heard.who.failureDomain;
    domain_evidence &evidence = state.silentDomains[domain];
    evidence.failed = evidence.heard == 0 ? 0 : evidence.failed;
    ++evidence.heard;
    if (evidence.heard >= enoughHeard && evidence.heard > 2 * evidence.failed) {
        state.silentDomains.erase(domain);
        judgeDomain(state, domain, peer_state::Dead, peer_state::Alive, now);
    }
}

void markHeard(membership &state, peer_entry &entry, millis now)
{
    entry.heardAt = now;
    if (entry.domainHealth == peer_state::Suspect) {
        const std::string domain = entry.who.failureDomain;
        state.silentDomains.erase(domain);
        judgeDomain(state, domain, peer_state::Suspect, peer_state::Alive, now);
    } else if (entry.domainHealth == peer_state::Dead) {
        reviewLostDomain(state, entry, now);
    }
}

/// Takes what a datagram tells of its sender by its mere arrival.
void hear(
    membership &state, peer_entry &entry, const peer_address &from, const peer_datagram &datagram, millis now)
{
    const bool replaced = entry.who.incarnation != 0 && datagram.incarnation > entry.who.incarnation;
    if (!replaced) {
        markHeard(state, entry, now);
    }
    if (datagram.incarnation > entry.who.incarnation) {
        takeIncarnation(state, entry, datagram.incarnation, now);
        entry.refutation = datagram.refutation;
        entry.heardAt = now;
        if (replaced) {
            entry.who.address = from;
            spread(state, factOf(entry));
        }
    }
    if (datagram.refutation > entry.refutation) {
        entry.refutation = datagram.refutation;
        setHealth(state, entry, peer_state::Alive, now);
        spread(state, factOf(entry));
    }
    if (datagram.configVersion > entry.who.configVersion) {
        entry.who.configVersion = datagram.configVersion;
        state.changed = true;
    }
}

/// A daemon becomes usable before the lagging list shows it: by its own introduction, passed on by others.
/// Peers on the list are known, wherever they are; their new processes are told of by facts.
void takeIntroduction(membership &state, const peer_introduction &introduction, millis now)
{
    peer_entry *known = find(state, introduction.name);
    const bool stale =
        known != nullptr && (known->listed || known->who.incarnation >= introduction.incarnation);
    if (introduction.name == state.self.name || stale) {
        return;
    }
    peer_entry &entry = known == nullptr ? addPeer(state, introduction.name) : *known;
    takeIncarnation(state, entry, introduction.incarnation, now);
    entry.who.address = {introduction.ip, introduction.port};
    entry.who.callerPort = introduction.callerPort;
    entry.who.failureDomain = introduction.failureDomain;
    spreadIntroduction(state, introduction);
}

// ---- probing

/// What decides on the failure domains: for each, when any of its members was last heard.
using domain_times = std::map<std::string_view, millis>;

domain_times heardByDomain(const membership &state)
{
    domain_times heard;
    for (const auto &[name, entry] : state.peers) {
        millis &last = heard[entry.who.failureDomain];
        last = std::max(last, entry.heardAt);
    }
    return heard;
}

bool unansweredSince(const peer_entry &entry, millis heard)
{
    return entry.failedSentAt > heard;
}

/// A member of a domain from which nothing was heard since one of its members was suspected: probing it
/// next tells a lost domain from a lost member. Empty where no domain is in doubt.
std::string memberOfDoubtfulDomain(membership &state)
{
    const domain_times heard = heardByDomain(state);
    std::set<std::string_view> doubtful;
    for (const auto &[name, entry] : state.peers) {
        const millis last = heard.at(entry.who.failureDomain);
        const bool suspected = entry.health == peer_state::Suspect && entry.suspectSince > last;
        if (suspected || unansweredSince(entry, last)) {
            doubtful.insert(entry.who.failureDomain);
        }
    }
    std::vector<const std::string *> candidates;
    for (const auto &[name, entry] : state.peers) {
        if (doubtful.contains(entry.who.failureDomain) && entry.health == peer_state::Alive
            && entry.domainHealth == peer_state::Alive
            && !unansweredSince(entry, heard.at(entry.who.failureDomain))) {
            candidates.push_back(&name);
        }
    }
    return candidates.empty() ? std::string() : *candidates[state.random() % candidates.size()];
}

/// A member of a domain that is suspected as a whole: until that is decided, probes go there.
std::string memberOfSuspectDomain(membership &state)
{
    std::vector<const std::string *> candidates;
    for (const auto &[name, entry] : state.peers) {
        if (entry.domainHealth == peer_state::Suspect && entry.health != peer_state::Dead) {
            candidates.push_back(&name);
        }
    }
    return candidates.empty() ? std::string() : *candidates[state.random() % candidates.size()];
}

// Once a domain is judged as a whole, what was told of single members is explained by that. Were it kept
// and passed on, each of them would have to refute it by gossip after a partition has healed, which takes
// minutes at fleet sizes.
void dropSuspicions(membership &state, const std::string &domain, millis now)
{
    for (auto &[name, entry] : state.peers) {
        if (entry.who.failureDomain == domain && entry.health == peer_state::Suspect) {
            setHealth(state, entry, peer_state::Alive, now);
        }
    }
    std::erase_if(state.facts, [&](const membership::fact_out &each) {
        const peer_entry *entry = find(state, each.fact.name);
        return each.fact.state == peer_state::Suspect && entry != nullptr
            && entry->who.failureDomain == domain;
    });
}

// When a whole failure domain goes, telling of each member by gossip takes far too long at fleet sizes
// (hundreds of facts, a few on each datagram). So each daemon concludes it by itself: several of its own
// probes into the domain failed, directly and through others, and nobody of the domain was heard since
// the first of them. The domain is then suspected, and dead after as many further failures as make it
// unlikely that a good part of it is alive: to be held dead cuts the streams of those who aren't.
void suspectDomains(membership &state, millis now)
{
    struct domain_count
    {
        std::uint32_t live = 0;
        std::uint32_t failed = 0;
    };
    std::map<std::string, domain_count> counts;
    for (const domain_times heard = heardByDomain(state); const auto &[name, entry] : state.peers) {
        const std::string &domain = entry.who.failureDomain;
        if (entry.health != peer_state::Dead && entry.domainHealth == peer_state::Alive) {
            ++counts[domain].live;
            counts[domain].failed += unansweredSince(entry, heard.at(domain)) ? 1 : 0;
        }
    }
    for (const auto &[domain, count] : counts) {
        if (!domain.empty() && count.live >= state.tuning.domainMembers
            && count.failed >= state.tuning.domainSuspectFailures) {
            state.silentDomains[domain] = {};
            dropSuspicions(state, domain, now);
            judgeDomain(state, domain, peer_state::Alive, peer_state::Suspect, now);
        }
    }
}

/// Counts a failed probe to a member of a domain that is suspected, or held to be lost.
void addDomainEvidence(membership &state, const peer_entry &entry, millis now)
{
    const std::string domain = entry.who.failureDomain;
    domain_evidence &evidence = state.silentDomains[domain];
    ++evidence.failed;
    if (entry.domainHealth == peer_state::Suspect && evidence.failed >= state.tuning.domainDeadFailures) {
        evidence = {};
        judgeDomain(state, domain, peer_state::Suspect, peer_state::Dead, now);
    }
}

void startRound(membership &state)
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

/// The next peer of the round, or of a new one; empty where all are dead.
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
        startRound(state);
    }
    return {};
}

// After a long partition each side holds the other for dead and would never speak to it again. A probe
// to a dead peer now and then, with the fact of its death, lets it refute.
std::string deadPeer(membership &state)
{
    std::vector<const std::string *> dead;
    for (const auto &[name, entry] : state.peers) {
        if (isDead(entry)) {
            dead.push_back(&name);
        }
    }
    return dead.empty() ? std::string() : *dead[state.random() % dead.size()];
}

std::string probeTarget(membership &state)
{
    std::string target;
    if (state.probesSent % state.tuning.deadProbeEvery == state.tuning.deadProbeEvery - 1) {
        target = deadPeer(state);
    }
    if (target.empty()) {
        target = memberOfSuspectDomain(state);
    }
    if (target.empty()) {
        target = memberOfDoubtfulDomain(state);
    }
    if (target.empty()) {
        target = nextInRound(state);
    }
    return target.empty() ? deadPeer(state) : target;
}

/// A datagram to a peer with the suspicion against it, if there is one, for it to refute.
outgoing datagramTo(membership &state, const peer_entry &entry, probe_kind kind, std::uint64_t sequence)
{
    return {entry.who.address, makeDatagram(state, kind, sequence, {}, suspicionOf(entry))};
}

void sendProbe(membership &state, millis now, std::vector<outgoing> &out)
{
    const std::string target = probeTarget(state);
    if (target.empty()) {
        return;
    }
    const std::uint64_t sequence = ++state.sequence;
    const probe_kind kind =
        state.probesSent++ < state.tuning.joinProbes ? probe_kind::Join : probe_kind::Ping;
    state.probes[sequence] = {target, now, false, {}, 0};
    out.push_back(datagramTo(state, state.peers.at(target), kind, sequence));
}

std::vector<const peer_entry *> somePeers(membership &state, std::size_t count, const std::string &except)
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

/// After the first timeout: once more, since a single datagram may have been lost, and by way of others,
/// since only the path from here may be broken.
void probeAgain(membership &state, std::uint64_t sequence, probe &running, std::vector<outgoing> &out)
{
    running.indirect = true;
    const peer_entry *target = find(state, running.target);
    if (target == nullptr || isDead(*target)) {
        return;
    }
    out.push_back(datagramTo(state, *target, probe_kind::Ping, sequence));
    for (const peer_entry *helper : somePeers(state, state.tuning.indirectProbes, running.target)) {
        out.push_back(
            {helper->who.address, makeDatagram(state, probe_kind::PingRequest, sequence, running.target)});
    }
}

void failProbe(membership &state, const probe &failed, millis now, std::vector<outgoing> &out)
{
    peer_entry *entry = find(state, failed.target);
    if (entry == nullptr || entry->heardAt > failed.sentAt) {
        return;
    }
    if (entry->domainHealth != peer_state::Alive) {
        addDomainEvidence(state, *entry, now);
        return;
    }
    if (entry->health == peer_state::Dead) {
        return;
    }
    entry->failedSentAt = failed.sentAt;
    // Off the list and not answering: two sources agree, so no time is given to refute.
    const bool gone = !entry->listed && entry->listedRevision > 0;
    const peer_state judged = gone ? peer_state::Dead : peer_state::Suspect;
    if (judged > entry->health) {
        setHealth(state, *entry, judged, now);
        spread(state, factOf(*entry));
        // A peer that lives hears of it at once, and its refutation comes back before the suspicion is far.
        out.push_back(datagramTo(state, *entry, probe_kind::Notice, 0));
    }
    suspectDomains(state, now);
}

void expireProbes(membership &state, millis now, std::vector<outgoing> &out)
{
    const millis deadline = intervalOf(state);
    for (auto it = state.probes.begin(); it != state.probes.end();) {
        auto &[sequence, running] = *it;
        const millis age = now - running.sentAt;
        const bool own = running.requester.empty();
        if (age >= deadline) {
            if (own) {
                failProbe(state, running, now, out);
            }
            it = state.probes.erase(it);
            continue;
        }
        if (own && !running.indirect && age >= state.tuning.probeTimeout) {
            probeAgain(state, sequence, running, out);
        }
        ++it;
    }
}

void expireSuspects(membership &state, millis now)
{
    const millis toRefute = suspicionFor(state.tuning, fleetSize(state));
    for (auto &[name, entry] : state.peers) {
        if (entry.health == peer_state::Suspect && now - entry.suspectSince >= toRefute) {
            setHealth(state, entry, peer_state::Dead, now);
            spreadDeath(state, factOf(entry));
        }
    }
}

void forgetDead(membership &state, millis now)
{
    const auto count = std::erase_if(state.peers, [&](const auto &each) {
        const peer_entry &entry = each.second;
        return !entry.listed && isDead(entry) && now - entry.deadSince >= state.tuning.forgetAfter;
    });
    state.changed = state.changed || count > 0;
}

// A process that was paused, or too busy to read its socket, finds all its timers run out at once while
// the answers wait in the socket's buffer; it would declare half the fleet dead. The time it didn't run
// counts for nobody.
void forgiveOwnPause(membership &state, millis now)
{
    const millis gap = now - state.lastTick;
    if (state.lastTick == millis{} || gap <= state.tuning.probeTimeout) {
        return;
    }
    const millis lost = gap - millis{state.tuning.probeInterval.count / ticksPerInterval};
    for (auto &[sequence, running] : state.probes) {
        running.sentAt = running.sentAt + lost;
    }
    for (auto &[name, entry] : state.peers) {
        entry.suspectSince = entry.suspectSince + lost;
    }
}

// ---- answering

void answerPing(
    membership &state, const peer_address &from, const peer_datagram &ping, std::vector<outgoing> &out)
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

void relayPing(membership &state, const peer_datagram &request, millis now, std::vector<outgoing> &out)
{
    const peer_entry *target = find(state, request.target);
    const auto relays = std::count_if(state.probes.begin(), state.probes.end(), [](const auto &each) {
        return !each.second.requester.empty();
    });
    if (target == nullptr || static_cast<std::size_t>(relays) >= maxRelays) {
        return;
    }
    const std::uint64_t sequence = ++state.sequence;
    state.probes[sequence] = {request.target, now, false, request.from, request.sequence};
    out.push_back(datagramTo(state, *target, probe_kind::Ping, sequence));
}

void takeAck(membership &state, const peer_datagram &ack, millis now, std::vector<outgoing> &out)
{
    const auto found = state.probes.find(ack.sequence);
    if (found == state.probes.end()) {
        return;
    }
    const probe running = found->second;
    peer_entry *target = find(state, running.target);
    const bool direct = ack.from == running.target;
    const bool relayed = running.indirect && ack.target == running.target;
    if (target == nullptr || (!direct && !relayed)) {
        return;
    }
    state.probes.erase(found);
    if (relayed) {
        markHeard(state, *target, now);
    }
    if (const peer_entry *requester = find(state, running.requester); requester != nullptr) {
        out.push_back({requester->who.address,
            makeDatagram(
                state, probe_kind::Ack, running.requesterSequence, running.target, factOf(*target))});
    }
}

std::vector<outgoing> noticesTo(membership &state, std::size_t count)
{
    std::vector<outgoing> out;
    for (const peer_entry *peer : somePeers(state, count, {})) {
        out.push_back({peer->who.address, makeDatagram(state, probe_kind::Notice, 0)});
    }
    return out;
}

// ---- the list

void listPeer(membership &state, const live_instance &instance, std::uint64_t revision)
{
    peer_entry *known = find(state, instance.name);
    peer_entry &entry = known == nullptr ? addPeer(state, instance.name) : *known;
    const peer_address address{instance.address, instance.port};
    // The list may show where an earlier process was; a peer that was heard elsewhere since then stays
    // there until the list itself says something new.
    if (address != entry.listedAddress) {
        entry.listedAddress = address;
        entry.who.address = address;
        state.changed = true;
    }
    if (entry.who.failureDomain != instance.failureDomain || entry.who.callerPort != instance.callerPort) {
        entry.who.failureDomain = instance.failureDomain;
        entry.who.callerPort = instance.callerPort;
        state.changed = true;
    }
    entry.listed = true;
    entry.listedRevision = revision;
    entry.listLeaving = instance.leaving;
    endIntroduction(state, instance.name);
    refresh(state, entry);
}

void unlistPeer(membership &state, peer_entry &entry)
{
    entry.listed = false;
    entry.listLeaving = false;
    refresh(state, entry);
    const auto next = std::min(state.probeNext, state.probeOrder.size());
    state.probeOrder.insert(state.probeOrder.begin() + static_cast<std::ptrdiff_t>(next), entry.who.name);
}

}

millis probeIntervalFor(const membership_tuning &tuning, std::size_t members)
{
    if (members <= constantIntervalMembers) {
        return tuning.probeInterval;
    }
    const double tenfolds =
        std::log10(static_cast<double>(members) / static_cast<double>(constantIntervalMembers));
    return times(tuning.probeInterval, 1 + intervalGrowth * tenfolds);
}

millis suspicionFor(const membership_tuning &tuning, std::size_t members)
{
    const double rounds = std::ceil(std::log10(static_cast<double>(members)) + 1);
    return times(probeIntervalFor(tuning, members), tuning.suspectIntervals * rounds);
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
        listPeer(state, instance, view.revision);
    }
    for (auto &[name, entry] : state.peers) {
        const auto listed = view.instances.find(name);
        const bool there = listed != view.instances.end() && listed->second.kind == instance_kind::Entry;
        if (entry.listed && !there) {
            unlistPeer(state, entry);
        }
    }
    const peer_state self = selfLeaving ? peer_state::Leaving : peer_state::Alive;
    state.changed = state.changed || self != state.self.state;
    state.self.state = self;
}

std::vector<outgoing> tick(membership &state, millis now)
{
    std::vector<outgoing> out;
    if (state.startedAt == millis{}) {
        state.startedAt = now;
        state.nextProbe = now;
    }
    forgiveOwnPause(state, now);
    state.lastTick = now;
    expireProbes(state, now, out);
    expireSuspects(state, now);
    forgetDead(state, now);
    if (now >= state.nextProbe) {
        sendProbe(state, now, out);
        state.nextProbe = now + intervalOf(state);
    }
    return out;
}

std::vector<outgoing> handle(membership &state, const peer_address &from, const peer_datagram &datagram,
    millis now, std::optional<peer_version_seen> &heard)
{
    std::vector<outgoing> out;
    if (datagram.from == state.self.name) {
        return out;
    }
    for (const peer_introduction &introduction : datagram.introductions) {
        takeIntroduction(state, introduction, now);
    }
    if (peer_entry *sender = find(state, datagram.from); sender != nullptr) {
        if (datagram.incarnation < sender->who.incarnation) {
            // A late datagram of an earlier process, or that process itself, paused and woken up after
            // its successor began. Neither may speak for the name any more.
            return out;
        }
        hear(state, *sender, from, datagram, now);
    }
    const bool accused = takeFacts(state, datagram.facts, now);
    if (datagram.configVersion > state.configVersion) {
        heard = peer_version_seen{datagram.from, datagram.configVersion};
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
        takeAck(state, datagram, now, out);
        break;
    case probe_kind::Notice:
        // A notice may be a suspicion: what an answer says of its sender's process clears it.
        if (accused) {
            out.push_back({from, makeDatagram(state, probe_kind::Notice, 0)});
        }
        break;
    }
    return out;
}

std::vector<outgoing> notice(membership &state, std::uint64_t version)
{
    state.configVersion = std::max(state.configVersion, version);
    state.self.configVersion = state.configVersion;
    return noticesTo(state, state.tuning.noticeFanout);
}

std::vector<outgoing> leave(membership &state)
{
    state.selfLeaving = true;
    state.self.state = peer_state::Leaving;
    state.changed = true;
    return noticesTo(state, static_cast<std::size_t>(state.tuning.noticeFanout) * leaveFanoutFactor);
}

std::vector<member> membersOf(const membership &state)
{
    std::vector<member> members{state.self};
    for (const auto &[name, entry] : state.peers) {
        members.push_back(entry.who);
    }
    std::sort(members.begin(), members.end(), [](const member &a, const member &b) {
        return a.name < b.name;
    });
    return members;
}

}
