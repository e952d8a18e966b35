#include "coordination/membership_gossip.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace briarhead::detail {

namespace {

constexpr std::size_t maxJoinNotices = 4;
constexpr std::size_t bitsPerWireByte = 7;

std::size_t wireBytes(std::uint64_t number)
{
    return (static_cast<std::size_t>(std::bit_width(number | 1)) + bitsPerWireByte - 1) / bitsPerWireByte;
}

std::size_t wireBytes(const std::string &text)
{
    return wireBytes(text.size()) + text.size();
}

std::size_t wireBytes(const peer_fact &fact)
{
    return wireBytes(fact.name) + wireBytes(fact.incarnation) + 1 + wireBytes(fact.refutation);
}

std::size_t wireBytes(const peer_introduction &introduction)
{
    return wireBytes(introduction.name) + wireBytes(introduction.incarnation)
        + wireBytes(introduction.failureDomain) + wireBytes(introduction.ip) + wireBytes(introduction.port)
        + wireBytes(introduction.callerPort);
}

std::uint32_t gossipSendsFor(const membership &state)
{
    const double rounds = std::ceil(std::log2(static_cast<double>(state.peers.size()) + 2));
    return state.tuning.factRepeats * static_cast<std::uint32_t>(rounds);
}

std::vector<membership::queued_fact>::iterator findQueuedFact(membership &state, const std::string &name)
{
    return std::find_if(
        state.facts.begin(), state.facts.end(), [&name](const membership::queued_fact &queued) {
            return queued.fact.name == name;
        });
}

/// Adds facts and introductions to a datagram as long as they fit into gossipBudgetBytes.
struct gossip_writer
{
    peer_datagram &datagram;
    std::size_t bytesLeft = gossipBudgetBytes;

    bool add(const peer_fact &fact)
    {
        const std::size_t size = wireBytes(fact);
        const bool present =
            std::any_of(datagram.facts.begin(), datagram.facts.end(), [&fact](const auto &other) {
                return other.name == fact.name;
            });
        if (present || size > bytesLeft || datagram.facts.size() >= maxFactsPerDatagram) {
            return false;
        }
        bytesLeft -= size;
        datagram.facts.push_back(fact);
        return true;
    }

    bool add(const peer_introduction &introduction)
    {
        const std::size_t size = wireBytes(introduction);
        if (size > bytesLeft || datagram.introductions.size() >= maxIntroductionsPerDatagram) {
            return false;
        }
        bytesLeft -= size;
        datagram.introductions.push_back(introduction);
        return true;
    }
};

/// Adds the items of a queue that have the most sends left, and removes those without any.
template <class queue_type, class item>
void addLeastSent(gossip_writer &writer, queue_type &queue, item content)
{
    std::stable_sort(queue.begin(), queue.end(), [](const auto &a, const auto &b) {
        return a.sendsLeft > b.sendsLeft;
    });
    for (auto &queued : queue) {
        if (writer.add(queued.*content)) {
            --queued.sendsLeft;
        }
    }
    std::erase_if(queue, [](const auto &queued) {
        return queued.sendsLeft == 0;
    });
}

// A new process is unknown to its peers, and the live list lags. So it introduces itself until it is listed,
// and during introducePeriod, since other daemons may still see an older list.
bool introducesItself(const membership &state)
{
    return !state.selfListed || state.lastTick - state.startedAt < state.tuning.introducePeriod;
}

peer_introduction ownIntroduction(const member &self)
{
    return {
        self.name, self.incarnation, self.failureDomain, self.address.ip, self.address.port, self.callerPort};
}

peer_datagram emptyDatagram(const membership &state, probe_kind kind, std::uint64_t sequence)
{
    peer_datagram datagram;
    datagram.kind = kind;
    datagram.from = state.self.name;
    datagram.incarnation = state.self.incarnation;
    datagram.refutation = state.refutation;
    datagram.sequence = sequence;
    datagram.configVersion = state.configVersion;
    return datagram;
}

}

peer_fact factOf(const peer_entry &entry)
{
    peer_fact fact{entry.info.name, entry.info.incarnation, entry.health, entry.refutation};
    if (entry.leaving && entry.health != peer_state::Dead) {
        fact.state = peer_state::Leaving;
    }
    return fact;
}

std::optional<peer_fact> suspicionOf(const peer_entry &entry)
{
    const peer_state worst = std::max(entry.health, entry.domainHealth);
    if (worst == peer_state::Alive) {
        return std::nullopt;
    }
    return peer_fact{entry.info.name, entry.info.incarnation, worst, entry.refutation};
}

void queueFact(membership &state, const peer_fact &fact)
{
    std::erase_if(state.facts, [&fact](const membership::queued_fact &queued) {
        return queued.fact.name == fact.name;
    });
    state.facts.push_back({fact, gossipSendsFor(state)});
}

void queueDeath(membership &state, const peer_fact &fact)
{
    const auto queued = findQueuedFact(state, fact.name);
    if (queued == state.facts.end()) {
        state.facts.push_back({fact, state.tuning.factRepeats});
    } else {
        queued->fact = fact;
    }
}

void queueFactIfAbsent(membership &state, const peer_fact &fact)
{
    if (findQueuedFact(state, fact.name) == state.facts.end()) {
        queueFact(state, fact);
    }
}

void queueIntroduction(membership &state, const peer_introduction &introduction)
{
    removeIntroduction(state, introduction.name);
    state.introductions.push_back({introduction, gossipSendsFor(state)});
}

void removeIntroduction(membership &state, const std::string &name)
{
    std::erase_if(state.introductions, [&name](const membership::queued_introduction &queued) {
        return queued.introduction.name == name;
    });
}

peer_datagram makeDatagram(membership &state, probe_kind kind, std::uint64_t sequence,
    const std::string &target, const std::optional<peer_fact> &first)
{
    peer_datagram datagram = emptyDatagram(state, kind, sequence);
    datagram.target = target;
    gossip_writer writer{datagram};
    if (first) {
        writer.add(*first);
    }
    if (state.selfLeaving) {
        writer.add(peer_fact{state.self.name, state.self.incarnation, peer_state::Leaving, state.refutation});
    }
    if (introducesItself(state)) {
        writer.add(ownIntroduction(state.self));
    }
    addLeastSent(writer, state.introductions, &membership::queued_introduction::introduction);
    addLeastSent(writer, state.facts, &membership::queued_fact::fact);
    return datagram;
}

std::vector<peer_datagram> joinNotices(membership &state)
{
    std::vector<peer_fact> facts;
    for (const auto &[name, entry] : state.peers) {
        const peer_fact fact = factOf(entry);
        if (fact.state != peer_state::Alive) {
            facts.push_back(fact);
        }
    }
    std::shuffle(facts.begin(), facts.end(), state.random);
    std::vector<peer_datagram> notices;
    std::size_t next = 0;
    while (next < facts.size() && notices.size() < maxJoinNotices) {
        notices.push_back(emptyDatagram(state, probe_kind::Notice, 0));
        gossip_writer writer{notices.back()};
        // The first fact always fits: the codec bounds names, and one with a longer name is left out.
        for (writer.add(facts[next++]); next < facts.size() && writer.add(facts[next]); ++next) {
        }
    }
    return notices;
}

}
