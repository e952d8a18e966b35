#include "coordination/crash_task.h"

#include "coordination/rendezvous.h"
#include "coordination/request_attributes.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

constexpr millis tickInterval{1'000};
/// A crashed process refuses connections at once, but a host that is down never responds.
constexpr millis connectTimeout{700};
/// A server is removed from the platform's list after several missed heartbeats, which takes 3.6 s and a
/// little more. A server that is removed this soon after its response broke off counts as crashed under that
/// request.
constexpr millis suspicionTimeout{6'000};
constexpr std::size_t maxSuspicions = 1'000;
/// Limit on the records in the store; each is some 150 bytes, and every daemon reads them all when it
/// starts.
constexpr std::size_t maxStoredRecords = 1'000;
/// How often a daemon that keeps refusing requests with an attribute notifies its homes, well within
/// crashRetention.
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

bool crash_task::isBlocked(const request_attributes &attributes) const
{
    return !blockingAttributes(m_history, attributes).empty();
}

std::vector<std::string> crash_task::crashedIncarnations(const std::string &attribute) const
{
    return crashesOf(m_history, attribute);
}

bool crash_task::mayBecomeBlocked(const request_attributes &attributes) const
{
    return std::any_of(attributes.begin(), attributes.end(), [this](const request_attribute &attribute) {
        const std::vector<std::string> known = crashedIncarnations(attribute.key);
        std::set<std::string> incarnations(known.begin(), known.end());
        bool checking = false;
        for (const suspected_crash &each : m_suspected) {
            if (each.checking && hasAttribute(each.attributes, attribute.key)) {
                incarnations.insert(each.target.incarnation);
                checking = true;
            }
        }
        return checking && incarnations.size() >= crashesToBlock;
    });
}

// ---- which servers have crashed, and under which requests

void crash_task::onResponseBroken(const request_attributes &attributes, const crash_target &target)
{
    addSuspicion(attributes, target, true);
    checkConnection(target);
}

void crash_task::onSendAbandoned(const request_attributes &attributes, const crash_target &target)
{
    addSuspicion(attributes, target, false);
}

void crash_task::addSuspicion(const request_attributes &attributes, const crash_target &target, bool checking)
{
    if (m_suspected.size() >= maxSuspicions) {
        m_suspected.pop_front();
    }
    m_suspected.push_back({attributes, target, bootNow(), checking});
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
    std::set<std::string> incarnations;
    for (const suspected_crash &each : crashed) {
        for (const request_attribute &attribute : each.attributes) {
            if (applyCrashes(attribute, {each.target.incarnation}, "observed here")) {
                incarnations.insert(each.target.incarnation);
                notifyHomes(attribute.key);
                m_toResend.insert(attribute.key);
            }
        }
    }
    m_counters.serverCrashes += incarnations.size();
}

/// Records crashes under an attribute and logs them. Returns whether any of them is new.
bool crash_task::applyCrashes(
    const request_attribute &attribute, const std::vector<std::string> &servers, std::string_view source)
{
    const bool before = isConvicted(m_history, attribute.key);
    if (!recordCrashes(m_history, attribute, servers, bootNow())) {
        return false;
    }
    m_recordsToRemove.erase(attribute.key);
    const std::size_t crashes = crashedIncarnations(attribute.key).size();
    m_callbacks.log(
        {crash_event::Counted, attribute.key, rankOf(attribute.key), servers.back(), crashes, source});
    if (!before && isConvicted(m_history, attribute.key)) {
        ++m_counters.blocked;
        m_callbacks.log(
            {crash_event::Blocked, attribute.key, rankOf(attribute.key), servers.back(), crashes, source});
        m_bus.post(attribute_blocked{attribute.key});
    }
    return true;
}

/// The crashes under an attribute don't count any more. Its homes tell all daemons if these know of them, and
/// remove the record.
void crash_task::clear(const std::string &attribute, std::string_view source)
{
    const std::size_t crashes = crashedIncarnations(attribute).size();
    const std::uint8_t rank = rankOf(attribute);
    if (!exonerate(m_history, attribute)) {
        return;
    }
    m_callbacks.log({crash_event::Cleared, attribute, rank, {}, crashes, source});
    m_keepAliveSentAt.erase(attribute);
    if (!isHome(attribute)) {
        return;
    }
    if (crashes >= crashesToShare) {
        broadcast({{attribute, {}, 0}, rank});
    }
    removeStoredRecord(attribute);
}

void crash_task::forgetAttribute(const std::string &attribute)
{
    forget(m_history, attribute);
    m_toResend.erase(attribute);
    m_keepAliveSentAt.erase(attribute);
}

void crash_task::onServerSurvived(const request_attributes &attributes)
{
    for (const request_attribute &attribute : attributes) {
        if (crashedIncarnations(attribute.key).empty()) {
            continue;
        }
        ++m_counters.cleared;
        clear(attribute.key, "response of a server that is up");
        notifyHomes(attribute.key);
        m_toResend.insert(attribute.key);
    }
}

/// Of the attributes that block a request, the key of the one that may be probed last; empty if there are
/// none. Each has its own probes, and the request takes one only if none of the others forbids it.
std::string crash_task::probedAttribute(const request_attributes &blocking) const
{
    const millis now = bootNow();
    const auto last = std::max_element(blocking.begin(), blocking.end(),
        [this, now](const request_attribute &a, const request_attribute &b) {
            return timeUntilProbe(m_history, a.key, now) < timeUntilProbe(m_history, b.key, now);
        });
    return last == blocking.end() ? std::string() : last->key;
}

void crash_task::requestProbe(const request_attributes &attributes, std::function<void(bool)> done)
{
    const request_attributes blocking = blockingAttributes(m_history, attributes);
    for (const request_attribute &each : blocking) {
        keepAlive(each.key);
    }
    const std::string attribute = probedAttribute(blocking);
    if (attribute.empty() || timeUntilProbe(m_history, attribute, bootNow()) > millis{}) {
        m_loop.post([done = std::move(done)] {
            done(false);
        });
        return;
    }
    crash_record record = recordOf(attribute);
    ++record.probeCount;
    m_callbacks.storeRecord(
        attribute, record, [this, attribute, record, done = std::move(done)](bool isStored) {
            if (isStored) {
                recordProbes(m_history, attribute, record.probeCount, bootNow());
                m_callbacks.log({crash_event::Probed, attribute, record.rank, {}, record.servers.size(),
                    "probe delay is over"});
                broadcast(reportOf(attribute));
            }
            done(isStored);
        });
}

millis crash_task::blockedRetryAfter(const request_attributes &attributes) const
{
    const std::string attribute = probedAttribute(blockingAttributes(m_history, attributes));
    return attribute.empty() ? millis{} : timeUntilProbe(m_history, attribute, bootNow());
}

void crash_task::keepAlive(const std::string &attribute)
{
    const millis now = bootNow();
    refreshLastSeen(m_history, attribute, now);
    const auto lastSent = m_keepAliveSentAt.emplace(attribute, now);
    if (!lastSent.second && now - lastSent.first->second >= keepAliveInterval) {
        lastSent.first->second = now;
        notifyHomes(attribute);
    }
}

// ---- reports between daemons, and records in the store

std::vector<std::string> crash_task::homesOf(const std::string &attribute) const
{
    return rendezvousOrder(attribute, m_callbacks.daemons(), crashHomeCount);
}

bool crash_task::isHome(const std::string &attribute) const
{
    const std::vector<std::string> homes = homesOf(attribute);
    return std::find(homes.begin(), homes.end(), m_callbacks.self) != homes.end();
}

void crash_task::broadcast(const ranked_crash_report &report)
{
    for (const std::string &daemon : m_callbacks.daemons()) {
        if (daemon != m_callbacks.self) {
            m_callbacks.send(daemon, report);
        }
    }
}

std::uint8_t crash_task::rankOf(const std::string &attribute) const
{
    const auto found = m_history.attributes.find(attribute);
    return found == m_history.attributes.end() ? contentRank : found->second.rank;
}

ranked_crash_report crash_task::reportOf(const std::string &attribute) const
{
    return {{attribute, crashedIncarnations(attribute), probesOf(m_history, attribute)}, rankOf(attribute)};
}

crash_record crash_task::recordOf(const std::string &attribute) const
{
    return {crashedIncarnations(attribute), probesOf(m_history, attribute), rankOf(attribute)};
}

/// Sends what this daemon knows of the attribute to its homes.
void crash_task::notifyHomes(const std::string &attribute)
{
    const ranked_crash_report report = reportOf(attribute);
    for (const std::string &home : homesOf(attribute)) {
        if (home == m_callbacks.self) {
            notifyAll(attribute);
        } else {
            m_callbacks.send(home, report);
        }
    }
}

/// Done by a home: from crashesToShare crashes on, notifies all daemons, and stores the record. Until an
/// attribute is convicted, the record waits for the next tick: of what most requests have in common, a server
/// completes something sooner.
void crash_task::notifyAll(const std::string &attribute)
{
    const ranked_crash_report report = reportOf(attribute);
    if (report.report.servers.size() >= crashesToShare) {
        broadcast(report);
    }
    if (report.report.servers.size() >= crashesToBlock) {
        storeRecord(attribute);
    }
}

/// A daemon that has just started may have read the store before the record was written.
void crash_task::notifyNewDaemons()
{
    std::set<std::string> daemons;
    for (const std::string &daemon : m_callbacks.daemons()) {
        daemons.insert(daemon);
    }
    for (const std::string &daemon : daemons) {
        if (daemon == m_callbacks.self || m_knownDaemons.count(daemon) != 0) {
            continue;
        }
        for (const auto &[attribute, entry] : m_history.attributes) {
            if (entry.incarnations.size() >= crashesToShare && isHome(attribute)) {
                m_callbacks.send(daemon, reportOf(attribute));
            }
        }
    }
    m_knownDaemons = std::move(daemons);
}

/// Whether the store lacks crashes that it should have.
bool crash_task::lacksStoredRecord(const std::string &attribute) const
{
    const std::size_t crashes = crashedIncarnations(attribute).size();
    const std::size_t stored = m_callbacks.storedRecord(attribute).servers.size();
    const bool full = stored == 0 && m_callbacks.recordCount() >= maxStoredRecords;
    return crashes >= crashesToShare && crashes > stored && !full;
}

void crash_task::storeRecord(const std::string &attribute)
{
    if (lacksStoredRecord(attribute)) {
        // tick() checks whether the write succeeded.
        m_callbacks.storeRecord(attribute, recordOf(attribute), [](bool) {});
    }
}

void crash_task::onReport(const ranked_crash_report &report)
{
    const std::string &attribute = report.report.attribute;
    if (attribute.size() != attributeDigits) {
        return; // not a valid key of the store
    }
    if (report.report.servers.empty()) {
        clear(attribute, "reported by a daemon");
        return;
    }
    const bool isNew = applyCrashes({attribute, report.rank}, report.report.servers, "reported by a daemon");
    recordProbes(m_history, attribute, report.report.probeCount, bootNow());
    refreshLastSeen(m_history, attribute, bootNow());
    if (isNew && isHome(attribute)) {
        notifyAll(attribute);
    }
}

void crash_task::onStoredRecord(const std::string &attribute, const crash_record &record)
{
    const auto cleared = m_recordsToRemove.find(attribute);
    const bool isOld = cleared != m_recordsToRemove.end() && cleared->second.servers == record.servers;
    if (record.servers.empty()) {
        m_recordsToRemove.erase(attribute);
        clear(attribute, "removed from the store");
    } else if (!isOld) { // written after it was cleared, so it counts
        m_recordsToRemove.erase(attribute);
        applyCrashes({attribute, record.rank}, record.servers, "read from the store");
        recordProbes(m_history, attribute, record.probeCount, bootNow());
    }
}

void crash_task::removeStoredRecord(const std::string &attribute)
{
    if (const crash_record record = m_callbacks.storedRecord(attribute); !record.servers.empty()) {
        m_recordsToRemove[attribute] = record;
        m_callbacks.removeRecord(attribute);
    }
}

/// Retries the removal of cleared attributes' records, which may have failed. Records that were written since
/// are kept.
void crash_task::removeClearedRecords()
{
    std::erase_if(m_recordsToRemove, [this](const auto &each) {
        return m_callbacks.storedRecord(each.first).servers != each.second.servers;
    });
    for (const auto &[attribute, record] : m_recordsToRemove) {
        m_callbacks.removeRecord(attribute);
    }
}

void crash_task::tick()
{
    const millis now = bootNow();
    while (!m_suspected.empty() && now - m_suspected.front().suspectedAt > suspicionTimeout) {
        m_suspected.pop_front();
    }
    for (const std::string &attribute : std::exchange(m_toResend, {})) {
        notifyHomes(attribute);
    }
    notifyNewDaemons();
    removeClearedRecords();
    for (const auto &[attribute, entry] : m_history.attributes) {
        if (lacksStoredRecord(attribute) && isHome(attribute)) {
            storeRecord(attribute); // an earlier write may have failed
        }
    }
    for (const std::string &attribute : expiredAttributes(m_history, now)) {
        if (m_callbacks.storedRecord(attribute).servers.empty()) {
            forgetAttribute(attribute);
        } else if (isHome(attribute)) {
            m_callbacks.removeRecord(attribute);
        }
    }
}

}
