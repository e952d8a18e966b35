#include "coordination/crash_task.h"

#include "coordination/rendezvous.h"
#include "coordination/request_fingerprint.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

constexpr millis tickInterval{1'000};
/// A crashed process refuses connections at once, but a host that is down never responds.
constexpr millis connectTimeout{700};
/// A server is removed from the platform's list after several missed heartbeats, which takes 3.6 s and a
/// little more. A server that is removed this soon after its response broke off counts as crashed under the
/// request.
constexpr millis suspicionTimeout{6'000};
constexpr std::size_t maxSuspicions = 1'000;
/// Limit on the records in the store; each is some 150 bytes, and every daemon reads them all when it
/// starts.
constexpr std::size_t maxStoredRecords = 1'000;
/// How often a daemon that keeps refusing a request notifies its homes, well within crashRetention.
constexpr millis keepAliveInterval{600'000};

}

std::string_view nameOf(crash_event value)
{
    static constexpr std::array<std::string_view, 4> names{"counted", "blocked", "tried", "cleared"};
    return names[static_cast<std::size_t>(value)];
}

crash_task::crash_task(loop &eventLoop, bus &messages, crash_callbacks callbacks, const probe_delays &delays)
    : m_loop(eventLoop)
    , m_bus(messages)
    , m_callbacks(std::move(callbacks))
{
    m_history.delays = delays;
    m_timer = m_loop.timer(tickInterval, tickInterval, [this] {
        tick();
    });
}

const crash_counters &crash_task::counters() const
{
    return m_counters;
}

bool crash_task::isBlocked(const std::string &fingerprint) const
{
    return briarhead::isBlocked(m_history, fingerprint);
}

std::vector<std::string> crash_task::crashedIncarnations(const std::string &fingerprint) const
{
    return crashesOf(m_history, fingerprint);
}

bool crash_task::mayBecomeBlocked(const std::string &fingerprint) const
{
    const std::vector<std::string> known = crashedIncarnations(fingerprint);
    std::set<std::string> incarnations(known.begin(), known.end());
    for (const suspected_crash &each : m_suspected) {
        if (each.checking && each.fingerprint == fingerprint) {
            incarnations.insert(each.target.incarnation);
        }
    }
    return incarnations.size() >= crashesToBlock;
}

// ---- which servers have crashed, and under which requests

void crash_task::onResponseBroken(const std::string &fingerprint, const crash_target &target)
{
    addSuspicion(fingerprint, target, true);
    checkConnection(target);
}

void crash_task::onSendAbandoned(const std::string &fingerprint, const crash_target &target)
{
    addSuspicion(fingerprint, target, false);
}

void crash_task::addSuspicion(const std::string &fingerprint, const crash_target &target, bool checking)
{
    if (m_suspected.size() >= maxSuspicions) {
        m_suspected.pop_front();
    }
    m_suspected.push_back({fingerprint, target, bootNow(), checking});
}

/// The connection may have failed although the server is up. A closed port shows a crash within one round
/// trip, whereas the platform's list takes seconds.
void crash_task::checkConnection(const crash_target &target)
{
    if (m_connectionChecks.count(target.incarnation) != 0) {
        return;
    }
    if (m_callbacks.checkProcess) {
        m_connectionChecks[target.incarnation] = nullptr;
        m_callbacks.checkProcess(target, [this, incarnation = target.incarnation](connect_result result) {
            onConnectResult(incarnation, result);
        });
        return;
    }
    m_connectionChecks[target.incarnation] = probeConnect(m_loop, target.address, connectTimeout,
        [this, incarnation = target.incarnation](connect_result result) {
            onConnectResult(incarnation, result);
        });
}

void crash_task::onConnectResult(const std::string &incarnation, connect_result result)
{
    const auto handle =
        m_connectionChecks.extract(incarnation); // kept alive until the end of this call, which it made
    if (result == connect_result::Refused) {
        countCrashes(extractSuspicions([&incarnation](const suspected_crash &each) {
            return each.target.incarnation == incarnation;
        }));
        return;
    }
    for (suspected_crash &each : m_suspected) { // the platform's list shows later whether they crashed
        each.checking = each.checking && each.target.incarnation != incarnation;
    }
}

void crash_task::onServerCrashed(const std::string &server)
{
    countCrashes(extractSuspicions([&server](const suspected_crash &each) {
        return each.target.server == server;
    }));
}

std::vector<crash_task::suspected_crash> crash_task::extractSuspicions(
    const std::function<bool(const suspected_crash &)> &matches)
{
    std::vector<suspected_crash> extracted;
    std::copy_if(m_suspected.begin(), m_suspected.end(), std::back_inserter(extracted), matches);
    std::erase_if(m_suspected, matches);
    return extracted;
}

void crash_task::countCrashes(const std::vector<suspected_crash> &crashed)
{
    for (const suspected_crash &each : crashed) {
        if (!applyCrashes(each.fingerprint, {each.target.incarnation}, "observed here")) {
            continue;
        }
        ++m_counters.serverCrashes;
        notifyHomes(each.fingerprint);
        m_toResend.insert(each.fingerprint);
    }
}

/// Records crashes under a request and logs them. Returns whether any of them is new.
bool crash_task::applyCrashes(
    const std::string &fingerprint, const std::vector<std::string> &servers, std::string_view source)
{
    const bool before = isBlocked(fingerprint);
    if (!recordCrashes(m_history, fingerprint, servers, bootNow())) {
        return false;
    }
    m_recordsToRemove.erase(fingerprint);
    const std::size_t crashes = crashedIncarnations(fingerprint).size();
    m_callbacks.log({crash_event::Counted, fingerprint, servers.back(), crashes, source});
    if (!before && isBlocked(fingerprint)) {
        ++m_counters.blocked;
        m_callbacks.log({crash_event::Blocked, fingerprint, servers.back(), crashes, source});
        m_bus.post(request_blocked{fingerprint});
    }
    return true;
}

void crash_task::clear(const std::string &fingerprint)
{
    forget(m_history, fingerprint);
    m_toResend.erase(fingerprint);
    m_keepAliveSentAt.erase(fingerprint);
}

void crash_task::onResponseComplete(const std::string &fingerprint)
{
    if (m_history.requests.count(fingerprint) == 0) {
        return;
    }
    ++m_counters.cleared;
    m_callbacks.log({crash_event::Cleared, fingerprint, {}, crashedIncarnations(fingerprint).size(),
        "complete response"});
    clear(fingerprint);
    if (const crash_record record = m_callbacks.storedRecord(fingerprint); !record.servers.empty()) {
        m_recordsToRemove[fingerprint] = record;
        m_callbacks.removeRecord(fingerprint);
    }
    broadcast({fingerprint, {}, 0});
}

void crash_task::requestProbe(const std::string &fingerprint, std::function<void(bool)> done)
{
    keepAlive(fingerprint);
    if (blockedRetryAfter(fingerprint) > millis{}) {
        m_loop.post([done = std::move(done)] {
            done(false);
        });
        return;
    }
    const std::uint32_t probes = probesOf(m_history, fingerprint) + 1;
    m_callbacks.storeRecord(fingerprint, {crashedIncarnations(fingerprint), probes},
        [this, fingerprint, probes, done = std::move(done)](bool isStored) {
            if (isStored) {
                recordProbes(m_history, fingerprint, probes, bootNow());
                m_callbacks.log({crash_event::Probed, fingerprint, {},
                    crashedIncarnations(fingerprint).size(), "probe delay is over"});
                broadcast(reportOf(fingerprint));
            }
            done(isStored);
        });
}

millis crash_task::blockedRetryAfter(const std::string &fingerprint) const
{
    return timeUntilProbe(m_history, fingerprint, bootNow());
}

void crash_task::keepAlive(const std::string &fingerprint)
{
    const millis now = bootNow();
    refreshLastSeen(m_history, fingerprint, now);
    const auto lastSent = m_keepAliveSentAt.emplace(fingerprint, now);
    if (!lastSent.second && now - lastSent.first->second >= keepAliveInterval) {
        lastSent.first->second = now;
        notifyHomes(fingerprint);
    }
}

// ---- reports between daemons, and records in the store

std::vector<std::string> crash_task::homesOf(const std::string &fingerprint) const
{
    return rendezvousOrder(fingerprint, m_callbacks.daemons(), crashHomeCount);
}

bool crash_task::isHome(const std::string &fingerprint) const
{
    const std::vector<std::string> homes = homesOf(fingerprint);
    return std::find(homes.begin(), homes.end(), m_callbacks.self) != homes.end();
}

void crash_task::broadcast(const crash_report &report)
{
    for (const std::string &daemon : m_callbacks.daemons()) {
        if (daemon != m_callbacks.self) {
            m_callbacks.send(daemon, report);
        }
    }
}

crash_report crash_task::reportOf(const std::string &fingerprint) const
{
    return {fingerprint, crashedIncarnations(fingerprint), probesOf(m_history, fingerprint)};
}

/// Sends what this daemon knows of the request to its homes.
void crash_task::notifyHomes(const std::string &fingerprint)
{
    const crash_report report = reportOf(fingerprint);
    for (const std::string &home : homesOf(fingerprint)) {
        if (home == m_callbacks.self) {
            notifyAll(fingerprint);
        } else {
            m_callbacks.send(home, report);
        }
    }
}

/// Done by a home: from crashesToShare crashes on, notifies all daemons and stores the record.
void crash_task::notifyAll(const std::string &fingerprint)
{
    const crash_report report = reportOf(fingerprint);
    if (report.servers.size() >= crashesToShare) {
        broadcast(report);
        storeRecord(fingerprint);
    }
}

/// Whether the store lacks crashes that it should have.
bool crash_task::lacksStoredRecord(const std::string &fingerprint) const
{
    const std::size_t crashes = crashedIncarnations(fingerprint).size();
    const std::size_t stored = m_callbacks.storedRecord(fingerprint).servers.size();
    const bool full = stored == 0 && m_callbacks.recordCount() >= maxStoredRecords;
    return crashes >= crashesToShare && crashes > stored && !full;
}

void crash_task::storeRecord(const std::string &fingerprint)
{
    if (lacksStoredRecord(fingerprint)) {
        // tick() checks whether the write succeeded.
        m_callbacks.storeRecord(
            fingerprint, {crashedIncarnations(fingerprint), probesOf(m_history, fingerprint)}, [](bool) {});
    }
}

void crash_task::onReport(const crash_report &report)
{
    if (report.fingerprint.size() != fingerprintDigits) {
        return; // not a valid key of the store
    }
    if (report.servers.empty()) {
        clear(report.fingerprint);
        return;
    }
    const bool isNew = applyCrashes(report.fingerprint, report.servers, "reported by a daemon");
    recordProbes(m_history, report.fingerprint, report.probeCount, bootNow());
    refreshLastSeen(m_history, report.fingerprint, bootNow());
    if (isNew && isHome(report.fingerprint)) {
        notifyAll(report.fingerprint);
    }
}

void crash_task::onStoredRecord(const std::string &fingerprint, const crash_record &record)
{
    const auto cleared = m_recordsToRemove.find(fingerprint);
    const bool isOld = cleared != m_recordsToRemove.end() && cleared->second.servers == record.servers;
    if (record.servers.empty()) {
        m_recordsToRemove.erase(fingerprint);
        clear(fingerprint);
    } else if (!isOld) { // written after it was cleared, so it counts
        m_recordsToRemove.erase(fingerprint);
        applyCrashes(fingerprint, record.servers, "read from the store");
        recordProbes(m_history, fingerprint, record.probeCount, bootNow());
    }
}

/// Retries the removal of cleared requests' records, which may have failed. Records that were written since
/// are kept.
void crash_task::removeClearedRecords()
{
    std::erase_if(m_recordsToRemove, [this](const auto &each) {
        return m_callbacks.storedRecord(each.first).servers != each.second.servers;
    });
    for (const auto &[fingerprint, record] : m_recordsToRemove) {
        m_callbacks.removeRecord(fingerprint);
    }
}

void crash_task::tick()
{
    const millis now = bootNow();
    while (!m_suspected.empty() && now - m_suspected.front().suspectedAt > suspicionTimeout) {
        m_suspected.pop_front();
    }
    for (const std::string &fingerprint : std::exchange(m_toResend, {})) {
        notifyHomes(fingerprint);
    }
    removeClearedRecords();
    for (const auto &[fingerprint, entry] : m_history.requests) {
        if (lacksStoredRecord(fingerprint) && isHome(fingerprint)) {
            storeRecord(fingerprint); // an earlier write may have failed
        }
    }
    for (const std::string &fingerprint : expiredRequests(m_history, now)) {
        if (m_callbacks.storedRecord(fingerprint).servers.empty()) {
            clear(fingerprint);
        } else if (isHome(fingerprint)) {
            m_callbacks.removeRecord(fingerprint);
        }
    }
}

}
