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

std::size_t wireBytes(const peer_introduction &of)
{
    return wireBytes(of.name) + wireBytes(of.incarnation) + wireBytes(of.failureDomain) + wireBytes(of.ip)
        + wireBytes(of.port) + wireBytes(of.callerPort);
}

std::uint32_t repeatsOf(const membership &state)
{
    const double rounds = std::ceil(std::log2(static_cast<double>(state.peers.size()) + 2));
    return state.tuning.factRepeats * static_cast<std::uint32_t>(rounds);
}

std::vector<membership::fact_out>::iterator queuedFact(membership &state, const std::string &name)
{
    return std::find_if(state.facts.begin(), state.facts.end(), [&name](const membership::fact_out &each) {
        return each.fact.name == name;
    });
}

/// Fills a datagram within the budget.
struct gossip_room
{
    peer_datagram &datagram;
    std::size_t left = gossipBudgetBytes;

    bool add(const peer_fact &fact)
    {
        const std::size_t size = wireBytes(fact);
        const bool named =
            std::any_of(datagram.facts.begin(), datagram.facts.end(), [&fact](const auto &has) {
                return has.name == fact.name;
            });
        if (named || size > left || datagram.facts.size() >= maxFactsPerDatagram) {
            return false;
        }
        left -= size;
        datagram.facts.push_back(fact);
        return true;
    }

    bool add(const peer_introduction &introduction)
    {
        const std::size_t size = wireBytes(introduction);
        if (size > left || datagram.introductions.size() >= maxIntroductionsPerDatagram) {
            return false;
        }
        left -= size;
        datagram.introductions.push_back(introduction);
        return true;
    }
};

/// Adds from a queue what has been sent least, and drops what has been sent often enough.
template <class queue_type, class item>
void addLeastSent(gossip_room &room, queue_type &queue, item content)
{
    std::stable_sort(queue.begin(), queue.end(), [](const auto &a, const auto &b) {
        return a.left > b.left;
    });
    for (auto &each : queue) {
        if (room.add(each.*content)) {
            --each.left;
        }
    }
    std::erase_if(queue, [](const auto &each) {
        return each.left == 0;
    });
}

// A new process is known to nobody, and the list lags: until it is listed, and for a while after, since
// other daemons may see an older list, it tells where it is.
bool introducesItself(const membership &state)
{
    return !state.selfListed || state.lastTick - state.startedAt < state.tuning.introduceFor;
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
    peer_fact fact{entry.who.name, entry.who.incarnation, entry.health, entry.refutation};
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
    return peer_fact{entry.who.name, entry.who.incarnation, worst, entry.refutation};
}

void spread(membership &state, const peer_fact &fact)
{
    std::erase_if(state.facts, [&fact](const membership::fact_out &each) {
        return each.fact.name == fact.name;
    });
    state.facts.push_back({fact, repeatsOf(state)});
}

void spreadDeath(membership &state, const peer_fact &fact)
{
    const auto queued = queuedFact(state, fact.name);
    if (queued == state.facts.end()) {
        state.facts.push_back({fact, state.tuning.factRepeats});
    } else {
        queued->fact = fact;
    }
}

void spreadAgain(membership &state, const peer_fact &fact)
{
    if (queuedFact(state, fact.name) == state.facts.end()) {
        spread(state, fact);
    }
}

void spreadIntroduction(membership &state, const peer_introduction &introduction)
{
    endIntroduction(state, introduction.name);
    state.introductions.push_back({introduction, repeatsOf(state)});
}

void endIntroduction(membership &state, const std::string &name)
{
    std::erase_if(state.introductions, [&name](const membership::introduction_out &each) {
        return each.introduction.name == name;
    });
}

peer_datagram makeDatagram(membership &state, probe_kind kind, std::uint64_t sequence,
    const std::string &target, const std::optional<peer_fact> &first)
{
    peer_datagram datagram = emptyDatagram(state, kind, sequence);
    datagram.target = target;
    gossip_room room{datagram};
    if (first) {
        room.add(*first);
    }
    if (state.selfLeaving) {
        room.add(peer_fact{state.self.name, state.self.incarnation, peer_state::Leaving, state.refutation});
    }
    if (introducesItself(state)) {
        room.add(ownIntroduction(state.self));
    }
    addLeastSent(room, state.introductions, &membership::introduction_out::introduction);
    addLeastSent(room, state.facts, &membership::fact_out::fact);
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
        gossip_room room{notices.back()};
        // The first always fits: names are bounded by the codec, and a longer one is just left out.
        for (room.add(facts[next++]); next < facts.size() && room.add(facts[next]); ++next) {
        }
    }
    return notices;
}

}
