#include "serving/crash_task.h"

#include "coordination/rendezvous.h"
#include "coordination/request_fingerprint.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarhead {

namespace {

constexpr millis tickEvery{1'000};
/// A process that has ended refuses connections at once; a host that is gone never answers.
constexpr millis probePatience{700};
/// A server's entry goes after three heartbeats of silence and a little; who vanishes so soon after an answer
/// that broke off has ended under it.
constexpr millis suspicionLife{6'000};
constexpr std::size_t mostSuspicions = 1'000;
/// Records in the store at most, some 150 bytes each, which every daemon reads at its start.
constexpr std::size_t mostRecords = 1'000;
/// A daemon that goes on refusing a request tells its homes so this often, well within crashMemory.
constexpr millis keepAliveEvery{600'000};

/// A restart may keep the server's id.
std::string startOf(const backend_server &server)
{
    return server.born == 0 ? server.id : server.id + '@' + std::to_string(server.born);
}

}

crash_task::crash_task(
    loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_bus(messages)
    , m_store(store)
    , m_settings(settings)
    , m_log(log)
{
    messages.on<view_changed>([this](const view_changed &change) {
        followView(change);
    });
    m_timer = m_loop.timer(tickEvery, tickEvery, [this] {
        tick();
    });
}

void crash_task::setPort(fleet_port &port)
{
    m_port = &port;
}

const crash_counters &crash_task::counters() const
{
    return m_counters;
}

bool crash_task::isBlocked(const std::string &fingerprint) const
{
    return briarhead::isBlocked(m_book, fingerprint);
}

std::vector<std::string> crash_task::counted(const std::string &fingerprint) const
{
    return endsOf(m_book, fingerprint);
}

bool crash_task::mayBeFatal(const std::string &fingerprint) const
{
    const std::vector<std::string> known = endsOf(m_book, fingerprint);
    std::set<std::string> starts(known.begin(), known.end());
    for (const suspicion &each : m_suspicions) {
        if (each.probing && each.fingerprint == fingerprint) {
            starts.insert(each.start);
        }
    }
    return starts.size() >= endsToBlock;
}

// ---- which servers have ended, and under which requests

void crash_task::onBroken(const std::string &fingerprint, const backend_server &server)
{
    const auto listed = m_store.view().servers.find(server.id);
    if (listed == m_store.view().servers.end() || listed->second.draining) {
        return; // it leaves as it had said, with what it still ran
    }
    suspect(fingerprint, server, true);
    probe(server, startOf(server));
}

void crash_task::onGivenUp(const std::string &fingerprint, const backend_server &server)
{
    suspect(fingerprint, server, false);
}

void crash_task::suspect(const std::string &fingerprint, const backend_server &server, bool probing)
{
    if (m_suspicions.size() >= mostSuspicions) {
        m_suspicions.pop_front();
    }
    m_suspicions.push_back({fingerprint, server.id, startOf(server), bootNow(), probing});
}

/// An answer that broke off may have been lost on its way, by a server that lives. A closed port tells an end
/// within a round trip, where the platform's list takes seconds.
void crash_task::probe(const backend_server &server, const std::string &start)
{
    if (m_probes.count(start) != 0) {
        return;
    }
    m_probes[start] = probeConnect(m_loop, server.address, probePatience, [this, start](reach result) {
        onProbed(start, result);
    });
}

void crash_task::onProbed(const std::string &start, reach result)
{
    const auto handle = m_probes.extract(start); // dropped only after this call, which it made
    std::vector<suspicion> ended;
    for (suspicion &each : m_suspicions) {
        if (each.start == start) {
            each.probing = false;
            ended.push_back(each);
        }
    }
    if (result != reach::Refuses) {
        return; // whether its entry goes tells the rest
    }
    std::erase_if(m_suspicions, [&start](const suspicion &each) {
        return each.start == start;
    });
    count(ended);
}

void crash_task::count(const std::vector<suspicion> &ended)
{
    for (const suspicion &each : ended) {
        if (!take(each.fingerprint, {each.start}, "seen here")) {
            continue;
        }
        ++m_counters.ends;
        share(each.fingerprint);
        m_shareAgain.insert(each.fingerprint);
    }
}

/// Whether anything is new.
bool crash_task::take(
    const std::string &fingerprint, const std::vector<std::string> &servers, const char *source)
{
    const bool before = isBlocked(fingerprint);
    const bool isNew = addEnds(m_book, fingerprint, servers, bootNow());
    if (!isNew) {
        return false;
    }
    m_log.important("crash.counted")
        .add("fingerprint", fingerprint)
        .add("server", servers.back())
        .add("ends", static_cast<std::int64_t>(endsOf(m_book, fingerprint).size()))
        .add("source", source);
    if (!before && isBlocked(fingerprint)) {
        ++m_counters.blocked;
        m_log.important("crash.blocked").add("fingerprint", fingerprint).add("source", source);
        m_bus.post(request_blocked{fingerprint});
    }
    return true;
}

void crash_task::onAnswered(const std::string &fingerprint)
{
    if (m_book.requests.count(fingerprint) == 0) {
        return;
    }
    ++m_counters.cleared;
    m_log.important("crash.cleared").add("fingerprint", fingerprint);
    forget(m_book, fingerprint);
    m_shareAgain.erase(fingerprint);
    m_store.dropCrash(fingerprint);
}

void crash_task::onRefused(const std::string &fingerprint)
{
    const millis now = bootNow();
    seeAgain(m_book, fingerprint, now);
    const auto told = m_keptAlive.emplace(fingerprint, now);
    if (!told.second && now - told.first->second >= keepAliveEvery) {
        told.first->second = now;
        share(fingerprint);
    }
}

// ---- what daemons tell each other, and keep in the store

std::vector<std::string> crash_task::homesOf(const std::string &fingerprint) const
{
    std::vector<std::string> nodes;
    for (const auto &[node, record] : m_store.view().daemons) {
        nodes.push_back(node);
    }
    return rendezvousOrder(fingerprint, nodes, crashHomes);
}

bool crash_task::isHome(const std::string &fingerprint) const
{
    const std::vector<std::string> homes = homesOf(fingerprint);
    return std::find(homes.begin(), homes.end(), m_settings.node) != homes.end();
}

void crash_task::send(const std::string &node, const std::string &fingerprint)
{
    const daemon_record *peer = findPeer(m_store.view(), node);
    if (peer != nullptr && node != m_settings.node) {
        m_port->send({peer->ip, peer->port},
            {m_settings.node, m_store.incarnation(), crash_news{fingerprint, endsOf(m_book, fingerprint)}});
    }
}

void crash_task::share(const std::string &fingerprint)
{
    for (const std::string &home : homesOf(fingerprint)) {
        send(home, fingerprint);
    }
    if (isHome(fingerprint)) {
        keep(fingerprint);
    }
}

/// A home's part: what two servers have ended under goes into the store, and what is blocked is told to all
/// at once besides, since the store may be away.
void crash_task::keep(const std::string &fingerprint)
{
    const std::vector<std::string> servers = endsOf(m_book, fingerprint);
    if (servers.size() < endsToShare) {
        return;
    }
    const auto &records = m_store.view().crashes;
    const auto stored = records.find(fingerprint);
    const bool known = stored != records.end() && stored->second.record.servers.size() >= servers.size();
    if (known || (stored == records.end() && records.size() >= mostRecords)) {
        return;
    }
    m_store.keepCrash(fingerprint, {servers});
}

void crash_task::tellAll(const std::string &fingerprint)
{
    for (const auto &[node, record] : m_store.view().daemons) {
        send(node, fingerprint);
    }
}

void crash_task::hear(const crash_news &news)
{
    if (news.fingerprint.size() != fingerprintDigits) {
        return; // it would be no key of the store
    }
    const bool before = isBlocked(news.fingerprint);
    const bool isNew = take(news.fingerprint, news.servers, "told by a daemon");
    seeAgain(m_book, news.fingerprint, bootNow());
    if (!isNew || !isHome(news.fingerprint)) {
        return;
    }
    keep(news.fingerprint);
    if (!before && isBlocked(news.fingerprint)) {
        tellAll(news.fingerprint);
    }
}

void crash_task::followView(const view_changed &change)
{
    std::vector<suspicion> ended;
    for (const std::string &server : change.endedServers) {
        std::copy_if(m_suspicions.begin(), m_suspicions.end(), std::back_inserter(ended),
            [&server](const suspicion &each) {
                return each.server == server;
            });
        std::erase_if(m_suspicions, [&server](const suspicion &each) {
            return each.server == server;
        });
    }
    count(ended);
    for (const std::string &fingerprint : change.crashes) {
        const auto &records = m_store.view().crashes;
        const auto stored = records.find(fingerprint);
        if (stored != records.end()) {
            take(fingerprint, stored->second.record.servers, "read in the store");
        } else {
            forget(m_book, fingerprint);
        }
    }
}

void crash_task::tick()
{
    const millis now = bootNow();
    while (!m_suspicions.empty() && now - m_suspicions.front().at > suspicionLife) {
        m_suspicions.pop_front();
    }
    for (const std::string &fingerprint : std::exchange(m_shareAgain, {})) {
        share(fingerprint);
    }
    for (const auto &[fingerprint, entry] : m_book.requests) {
        if (entry.servers.size() >= endsToShare && isHome(fingerprint)) {
            keep(fingerprint); // an earlier write may have failed
        }
    }
    for (const std::string &fingerprint : outdated(m_book, now)) {
        m_keptAlive.erase(fingerprint);
        if (m_store.view().crashes.count(fingerprint) == 0) {
            forget(m_book, fingerprint);
        } else if (isHome(fingerprint)) {
            m_store.dropCrash(fingerprint);
        }
    }
}

}
