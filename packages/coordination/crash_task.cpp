#include "coordination/crash_task.h"

#include "coordination/rendezvous.h"
#include "coordination/request_fingerprint.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

constexpr millis tickEvery{1'000};
/// A process that has ended refuses connections at once; a host that is gone never answers.
constexpr millis probePatience{700};
/// A server is off the platform's list after some heartbeats of silence, 3.6 s and a little: who vanishes so
/// soon after an answer that broke off has ended under it.
constexpr millis suspicionLife{6'000};
constexpr std::size_t mostSuspicions = 1'000;
/// Records in the store at most, some 150 bytes each, which every daemon reads at its start.
constexpr std::size_t mostRecords = 1'000;
/// A daemon that goes on refusing a request tells its homes so this often, well within crashMemory.
constexpr millis keepAliveEvery{600'000};

}

std::string_view nameOf(crash_event value)
{
    static constexpr std::array<std::string_view, 4> names{"counted", "blocked", "tried", "cleared"};
    return names[static_cast<std::size_t>(value)];
}

crash_task::crash_task(loop &eventLoop, bus &messages, crash_links links, const trial_waits &waits)
    : m_loop(eventLoop)
    , m_bus(messages)
    , m_links(std::move(links))
{
    m_book.waits = waits;
    m_timer = m_loop.timer(tickEvery, tickEvery, [this] {
        tick();
    });
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
    const std::vector<std::string> known = counted(fingerprint);
    std::set<std::string> starts(known.begin(), known.end());
    for (const suspicion &each : m_suspicions) {
        if (each.probing && each.fingerprint == fingerprint) {
            starts.insert(each.target.start);
        }
    }
    return starts.size() >= endsToBlock;
}

// ---- which servers have ended, and under which requests

void crash_task::onBroken(const std::string &fingerprint, const crash_target &target)
{
    suspect(fingerprint, target, true);
    probe(target);
}

void crash_task::onGivenUp(const std::string &fingerprint, const crash_target &target)
{
    suspect(fingerprint, target, false);
}

void crash_task::suspect(const std::string &fingerprint, const crash_target &target, bool probing)
{
    if (m_suspicions.size() >= mostSuspicions) {
        m_suspicions.pop_front();
    }
    m_suspicions.push_back({fingerprint, target, bootNow(), probing});
}

/// An answer that broke off may have been lost on its way, by a server that lives. A closed port tells an end
/// within a round trip, where the platform's list takes seconds.
void crash_task::probe(const crash_target &target)
{
    if (m_probes.count(target.start) != 0) {
        return;
    }
    m_probes[target.start] =
        probeConnect(m_loop, target.address, probePatience, [this, start = target.start](reach result) {
            onProbed(start, result);
        });
}

void crash_task::onProbed(const std::string &start, reach result)
{
    const auto handle = m_probes.extract(start); // dropped only after this call, which it made
    if (result == reach::Refuses) {
        count(takeSuspicions([&start](const suspicion &each) {
            return each.target.start == start;
        }));
        return;
    }
    for (suspicion &each : m_suspicions) { // whether the list drops it tells the rest
        each.probing = each.probing && each.target.start != start;
    }
}

void crash_task::onServerEnded(const std::string &server)
{
    count(takeSuspicions([&server](const suspicion &each) {
        return each.target.server == server;
    }));
}

std::vector<crash_task::suspicion> crash_task::takeSuspicions(
    const std::function<bool(const suspicion &)> &which)
{
    std::vector<suspicion> taken;
    std::copy_if(m_suspicions.begin(), m_suspicions.end(), std::back_inserter(taken), which);
    std::erase_if(m_suspicions, which);
    return taken;
}

void crash_task::count(const std::vector<suspicion> &ended)
{
    for (const suspicion &each : ended) {
        if (!take(each.fingerprint, {each.target.start}, "seen here")) {
            continue;
        }
        ++m_counters.ends;
        share(each.fingerprint);
        m_shareAgain.insert(each.fingerprint);
    }
}

/// Whether anything is new.
bool crash_task::take(
    const std::string &fingerprint, const std::vector<std::string> &servers, std::string_view source)
{
    const bool before = isBlocked(fingerprint);
    if (!addEnds(m_book, fingerprint, servers, bootNow())) {
        return false;
    }
    m_toDrop.erase(fingerprint);
    const std::size_t ends = counted(fingerprint).size();
    m_links.log({crash_event::Counted, fingerprint, servers.back(), ends, source});
    if (!before && isBlocked(fingerprint)) {
        ++m_counters.blocked;
        m_links.log({crash_event::Blocked, fingerprint, servers.back(), ends, source});
        m_bus.post(request_blocked{fingerprint});
    }
    return true;
}

void crash_task::clear(const std::string &fingerprint)
{
    forget(m_book, fingerprint);
    m_shareAgain.erase(fingerprint);
    m_keptAlive.erase(fingerprint);
}

void crash_task::onAnswered(const std::string &fingerprint)
{
    if (m_book.requests.count(fingerprint) == 0) {
        return;
    }
    ++m_counters.cleared;
    m_links.log({crash_event::Cleared, fingerprint, {}, counted(fingerprint).size(), "answered whole"});
    clear(fingerprint);
    if (const crash_record record = m_links.stored(fingerprint); !record.servers.empty()) {
        m_toDrop[fingerprint] = record;
        m_links.drop(fingerprint);
    }
    tellAll({fingerprint, {}, 0});
}

void crash_task::askTrial(const std::string &fingerprint, std::function<void(bool)> done)
{
    remember(fingerprint);
    if (comeBackAfter(fingerprint) > millis{}) {
        m_loop.post([done = std::move(done)] {
            done(false);
        });
        return;
    }
    const std::uint32_t trials = trialsOf(m_book, fingerprint) + 1;
    m_links.keep(fingerprint, {counted(fingerprint), trials},
        [this, fingerprint, trials, done = std::move(done)](bool stands) {
            if (stands) {
                noteTrials(m_book, fingerprint, trials, bootNow());
                m_links.log(
                    {crash_event::Tried, fingerprint, {}, counted(fingerprint).size(), "its wait is over"});
                tellAll(newsOf(fingerprint));
            }
            done(stands);
        });
}

millis crash_task::comeBackAfter(const std::string &fingerprint) const
{
    return untilTrial(m_book, fingerprint, bootNow());
}

void crash_task::remember(const std::string &fingerprint)
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
    return rendezvousOrder(fingerprint, m_links.daemons(), crashHomes);
}

bool crash_task::isHome(const std::string &fingerprint) const
{
    const std::vector<std::string> homes = homesOf(fingerprint);
    return std::find(homes.begin(), homes.end(), m_links.self) != homes.end();
}

void crash_task::tellAll(const crash_report &news)
{
    for (const std::string &daemon : m_links.daemons()) {
        if (daemon != m_links.self) {
            m_links.tell(daemon, news);
        }
    }
}

crash_report crash_task::newsOf(const std::string &fingerprint) const
{
    return {fingerprint, counted(fingerprint), trialsOf(m_book, fingerprint)};
}

/// What this daemon saw goes to the homes.
void crash_task::share(const std::string &fingerprint)
{
    const crash_report news = newsOf(fingerprint);
    for (const std::string &home : homesOf(fingerprint)) {
        if (home == m_links.self) {
            spread(fingerprint);
        } else {
            m_links.tell(home, news);
        }
    }
}

/// A home's part: from two ends on all daemons are told, and the store keeps it.
void crash_task::spread(const std::string &fingerprint)
{
    const crash_report news = newsOf(fingerprint);
    if (news.servers.size() >= endsToShare) {
        tellAll(news);
        keep(fingerprint);
    }
}

/// Whether the store lacks ends that it is to keep.
bool crash_task::isMissing(const std::string &fingerprint) const
{
    const std::size_t ends = counted(fingerprint).size();
    const std::size_t stored = m_links.stored(fingerprint).servers.size();
    const bool full = stored == 0 && m_links.records() >= mostRecords;
    return ends >= endsToShare && ends > stored && !full;
}

void crash_task::keep(const std::string &fingerprint)
{
    if (isMissing(fingerprint)) {
        // Whether it stands shows at the next look.
        m_links.keep(fingerprint, {counted(fingerprint), trialsOf(m_book, fingerprint)}, [](bool) {});
    }
}

void crash_task::hear(const crash_report &news)
{
    if (news.fingerprint.size() != fingerprintDigits) {
        return; // it would be no key of the store
    }
    if (news.servers.empty()) {
        clear(news.fingerprint);
        return;
    }
    const bool isNew = take(news.fingerprint, news.servers, "told by a daemon");
    noteTrials(m_book, news.fingerprint, news.probeCount, bootNow());
    seeAgain(m_book, news.fingerprint, bootNow());
    if (isNew && isHome(news.fingerprint)) {
        spread(news.fingerprint);
    }
}

void crash_task::onStored(const std::string &fingerprint, const crash_record &record)
{
    const auto cleared = m_toDrop.find(fingerprint);
    const bool isOld = cleared != m_toDrop.end() && cleared->second.servers == record.servers;
    if (record.servers.empty()) {
        m_toDrop.erase(fingerprint);
        clear(fingerprint);
    } else if (!isOld) { // written since it was cleared: counted anew
        m_toDrop.erase(fingerprint);
        take(fingerprint, record.servers, "read in the store");
        noteTrials(m_book, fingerprint, record.probeCount, bootNow());
    }
}

/// An earlier try may have failed. What was written since then is another matter.
void crash_task::dropCleared()
{
    std::erase_if(m_toDrop, [this](const auto &each) {
        return m_links.stored(each.first).servers != each.second.servers;
    });
    for (const auto &[fingerprint, record] : m_toDrop) {
        m_links.drop(fingerprint);
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
    dropCleared();
    for (const auto &[fingerprint, entry] : m_book.requests) {
        if (isMissing(fingerprint) && isHome(fingerprint)) {
            keep(fingerprint); // an earlier write may have failed
        }
    }
    for (const std::string &fingerprint : outdated(m_book, now)) {
        if (m_links.stored(fingerprint).servers.empty()) {
            clear(fingerprint);
        } else if (isHome(fingerprint)) {
            m_links.drop(fingerprint);
        }
    }
}

}
