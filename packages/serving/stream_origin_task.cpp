#include "serving/stream_origin_task.h"

#include "coordination/rendezvous.h"
#include "coordination/write_turn.h"
#include "serving/fleet_send.h"

#include <algorithm>
#include <set>

namespace briarhead {

namespace {

/// Daemons that keep the origin of a stream: one may be lost.
constexpr std::size_t homesOfRecord = 2;
/// Daemons that are asked about a stream, since those that joined lately have taken places among the homes.
constexpr std::size_t homesAsked = 4;
/// An answer takes a few milliseconds.
constexpr millis answerTimeout{120};
constexpr int maxQueryRounds = 3;
constexpr millis maintainInterval{1'000};
/// Announcements that become due at once are spread, since all daemons see a second version together.
constexpr millis announceInterval{50};
constexpr std::size_t recordsPerDatagram = 16;
/// Daemons that write origin logs. Up to this many daemons each writes its own streams; in larger fleets the
/// others send theirs to one of them.
constexpr std::size_t maxLogWriters = 64;
/// The least time between two writes of a daemon, for each writer: 125 writes a second in all, a third of
/// what the store accepts.
constexpr millis logIntervalPerWriter{8};
/// Streams that fail to be written are tried again after this time.
constexpr millis logRetryPause{300};
/// The least time between two reads of the logs by a daemon, and how long a caller waits for one.
constexpr millis logReadInterval{300};
constexpr millis logReadTimeout{500};
/// A daemon's end is known to the others by then, at least once it has started again or its lease has
/// expired.
constexpr millis reportMemory{10'000};
constexpr std::size_t maxRecentReports = 4'096;

}

/// A stream that a caller has taken up, until it is known where it began.
struct stream_origin_task::lookup
{
    std::string service;
    origin_evidence evidence;
    std::set<std::string> open; ///< homes that have not answered
    int rounds = 0;
    std::vector<std::function<void(const std::optional<stream_origin> &)>> callbacks;
    std::shared_ptr<void> timer;
};

stream_origin_task::stream_origin_task(
    loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_store(store)
    , m_settings(settings)
    , m_log(log)
{
    messages.on<view_changed>([this](const view_changed &change) {
        for (const stream_origin_record &each : change.origins) {
            recordOrigin(m_kept, each.id, each.origin, bootNow());
        }
        onViewChanged();
    });
    m_maintainTimer = m_loop.timer(maintainInterval, maintainInterval, [this] {
        findLostDaemons();
        onViewChanged();
    });
}

void stream_origin_task::setPort(fleet_port &port)
{
    m_port = &port;
}

const origin_counters &stream_origin_task::counters() const
{
    return m_counters;
}

void stream_origin_task::onViewChanged()
{
    const store_view &view = m_store.view();
    const millis now = bootNow();
    for (const auto &[service, stored] : view.serviceVersions) {
        // Once, or the record would keep a version that it alone still has.
        if (std::exchange(m_appliedRevisions[service], stored.revision) != stored.revision) {
            recordVersions(m_sightings, service, stored.record.versions, now);
            learnRecord(m_records[service], stored.record, now);
        }
    }
    recordVersions(m_sightings, view.servers, now);
    m_staying.clear();
    for (const auto &[id, server] : view.servers) {
        m_staying[server.service][server.softwareVersion] += server.draining ? 0 : 1;
    }
    for (const auto &[service, versions] : m_sightings) {
        const bool several = versions.size() > 1;
        if (std::exchange(m_severalVersions[service], several) != several) {
            m_log.important("software.versions")
                .add("service", service)
                .add("versions", static_cast<std::int64_t>(versions.size()));
            if (several) {
                announceAll(service);
            }
        }
    }
    maintainRecords();
    findVersionsHeldBack();
    logForEndedDaemons();
}

/// Brings the records of versions in line with what this daemon has seen, if it is its turn to write them; a
/// daemon with another view of the members is stopped by the revision.
void stream_origin_task::maintainRecords()
{
    const store_view &view = m_store.view();
    if (view.firstReadAt.count == 0 || view.daemons.count(m_settings.node) == 0) {
        return;
    }
    const std::vector<std::string> daemons = nodesOf(view.daemons);
    for (const auto &[service, seen] : m_sightings) {
        maintainRecord(service, daemons);
    }
}

void stream_origin_task::maintainRecord(const std::string &service, const std::vector<std::string> &daemons)
{
    const auto stored = m_store.view().serviceVersions.find(service);
    const bool isStored = stored != m_store.view().serviceVersions.end();
    const service_versions_record recorded = isStored ? stored->second.record : service_versions_record{};
    const auto delay = writeDelayOf(service, daemons, m_settings.node);
    service_versions_record wanted{
        versionsToRecord(m_sightings, service, recorded.versions, delay == millis{}), {}};
    wanted.base = baseToRecord(m_records[service], recorded, wanted.versions, stayingServersOf(service),
        settleTimesOf(service), bootNow());
    if (isStored && recorded == wanted) {
        m_outdatedSince.erase(service);
        return;
    }
    const millis since = m_outdatedSince.try_emplace(service, bootNow()).first->second;
    if (delay && bootNow() - since >= *delay) {
        m_store.writeServiceVersions(service, wanted);
    }
}

const staying_servers &stream_origin_task::stayingServersOf(const std::string &service) const
{
    static const staying_servers none;
    const auto found = m_staying.find(service);
    return found == m_staying.end() ? none : found->second;
}

/// A stream that began at a service's only version lasts for the timeout of its route, and a daemon begins
/// such streams without telling others as long as it takes its view for current.
settle_times stream_origin_task::settleTimesOf(const std::string &service) const
{
    settle_times times{{}, leaseTtlFor(m_settings) + maxViewAge, m_daemonLostAt};
    if (!m_store.view().config) {
        return times;
    }
    for (const route &each : m_store.view().config->routes) {
        const bool leadsThere =
            std::any_of(each.services.begin(), each.services.end(), [&service](const auto &share) {
                return share.service == service;
            });
        if (each.resumable && leadsThere) {
            times.ofStreams = std::max(times.ofStreams, each.timeout + maxViewAge);
        }
    }
    return times;
}

void stream_origin_task::findLostDaemons()
{
    const daemon_map &daemons = m_store.view().daemons;
    const bool anyLost = std::any_of(m_daemons.begin(), m_daemons.end(), [&daemons](const auto &each) {
        const auto found = daemons.find(each.first);
        return found == daemons.end() || found->second.incarnation != each.second;
    });
    if (anyLost || m_daemons.empty()) {
        m_daemonLostAt = bootNow();
    }
    m_daemons.clear();
    for (const auto &[node, record] : daemons) {
        m_daemons.emplace(node, record.incarnation);
    }
}

void stream_origin_task::findVersionsHeldBack()
{
    m_heldBack.clear();
    for (const auto &[service, stored] : m_store.view().serviceVersions) {
        m_heldBack[service] =
            versionsHeldBack(m_records[service], stored.record, stayingServersOf(service), bootNow());
    }
}

bool stream_origin_task::isHeldBack(const std::string &service, const std::string &version) const
{
    const auto found = m_heldBack.find(service);
    return found != m_heldBack.end()
        && std::find(found->second.begin(), found->second.end(), version) != found->second.end();
}

bool stream_origin_task::hasSeveralVersions(const std::string &service) const
{
    const auto found = m_sightings.find(service);
    return found != m_sightings.end() && found->second.size() > 1;
}

/// What this daemon knows of the versions at which a stream without a record can have begun.
version_sight stream_origin_task::sightOf(const std::string &service, std::string &soleVersion) const
{
    const auto confirmed = m_store.configConfirmedAt();
    const bool current = confirmed && bootNow() - *confirmed <= maxViewAge;
    const auto stored = m_store.view().serviceVersions.find(service);
    if (current && stored != m_store.view().serviceVersions.end()) {
        const auto version = versionWithoutRecords(stored->second.record);
        soleVersion = version.value_or("");
        return version ? version_sight::Sole : version_sight::Several;
    }
    return hasSeveralVersions(service) ? version_sight::Several : version_sight::Unsure;
}

/// The first daemons by rendezvous hash, of which the second is of another failure domain than the first.
std::vector<std::string> stream_origin_task::homesOf(const std::string &id, std::size_t count) const
{
    const store_view &view = m_store.view();
    const daemon_map &daemons = view.daemons.empty() ? view.expiredDaemons : view.daemons;
    std::vector<std::string> order = rendezvousOrder(id, nodesOf(daemons), 0);
    const auto other = std::find_if(order.begin(), order.end(), [&](const std::string &node) {
        return daemons.at(node).failureDomain != daemons.at(order.front()).failureDomain;
    });
    if (other != order.end()) {
        std::rotate(order.begin() + 1, other, other + 1);
    }
    order.resize(std::min(order.size(), count));
    return order;
}

void stream_origin_task::onStreamBegan(const std::string &id, const stream_origin &origin, bool isNew)
{
    recordOrigin(m_own, id, origin, bootNow());
    std::string soleVersion;
    const bool several = hasSeveralVersions(origin.service);
    if (!several && sightOf(origin.service, soleVersion) == version_sight::Sole) {
        return;
    }
    announce(id, origin);
    sendAnnouncements();
    if (isNew && several) { // callers name the attempt that brought the first event
        logOrigin(id, origin);
        writeLog();
    }
}

void stream_origin_task::onStreamComplete(const std::string &id)
{
    m_own.byId.erase(id);
    dropPending(m_originLog, id);
}

std::vector<std::string> stream_origin_task::logWriters() const
{
    return rendezvousOrder("origin log writers", nodesOf(m_store.view().daemons), maxLogWriters);
}

/// The daemon that writes the stream to the store, apart from the one that began it.
std::string stream_origin_task::logWriterOf(
    const std::string &id, const std::vector<std::string> &writers) const
{
    return m_store.view().daemons.size() > maxLogWriters ? rendezvousFirst(id, writers) : std::string();
}

/// Records a stream that began here in the origin log, or has its writer record it.
void stream_origin_task::logOrigin(const std::string &id, const stream_origin &origin)
{
    const std::string writer = logWriterOf(id, logWriters());
    if (writer.empty() || writer == m_settings.node) {
        appendOrigin(m_originLog, id, origin);
    } else {
        m_announcements.push_back({writer, {id, origin}});
        sendAnnouncements();
    }
}

/// Writes the origin log, at once if the last write is long enough ago.
void stream_origin_task::writeLog()
{
    const millis now = bootNow();
    const auto writers = static_cast<std::int64_t>(std::max<std::size_t>(logWriters().size(), 1));
    const millis due = m_logWrittenAt + millis{writers * logIntervalPerWriter.count};
    if (m_originLog.isWriting || m_originLog.pending.empty() || m_logTimer) {
        return;
    }
    if (now < due) {
        m_logTimer = m_loop.timer(due - now, {}, [this] {
            const auto timer = std::exchange(m_logTimer, nullptr); // kept until the end of this call
            writeLog();
        });
        return;
    }
    const auto write = beginWrite(m_originLog, now);
    m_logWrittenAt = now;
    ++m_counters.logWrites;
    m_store.writeOrigins(write->segment, write->record, [this](bool done) {
        finishWrite(m_originLog, done);
        m_counters.logDropped = m_originLog.dropped;
        if (!done) {
            m_logWrittenAt = bootNow() + logRetryPause;
        }
        writeLog();
    });
}

void stream_origin_task::announce(const std::string &id, const stream_origin &origin)
{
    for (const std::string &home : homesOf(id, homesOfRecord)) {
        if (home == m_settings.node) {
            recordOrigin(m_kept, id, origin, bootNow());
        } else {
            m_announcements.push_back({home, {id, origin}});
        }
    }
}

/// A second version has appeared: streams that began before it may be taken up after this daemon is gone.
void stream_origin_task::announceAll(const std::string &service)
{
    for (const auto &[id, entry] : m_own.byId) {
        if (entry.origin.service == service) {
            announce(id, entry.origin);
            logOrigin(id, entry.origin);
        }
    }
    writeLog();
    std::stable_sort(m_announcements.begin(), m_announcements.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    sendAnnouncements();
}

/// Sends the next records, those to the same home in one datagram.
void stream_origin_task::sendAnnouncements()
{
    if (m_announcements.empty()) {
        m_announceTimer.reset();
        return;
    }
    const std::string home = m_announcements.front().first;
    stream_origins_report report;
    while (!m_announcements.empty() && m_announcements.front().first == home
        && report.records.size() < recordsPerDatagram) {
        report.records.push_back(std::move(m_announcements.front().second));
        m_announcements.pop_front();
    }
    m_counters.recordsSent += report.records.size();
    sendToNode(*m_port, m_store, m_settings.node, home, report);
    if (!m_announcements.empty() && m_announcements.front().first != home) {
        sendAnnouncements();
    } else if (!m_announcements.empty()) {
        m_announceTimer = m_loop.timer(announceInterval, {}, [this] {
            const auto timer = std::exchange(m_announceTimer, nullptr); // kept until the end of this call
            sendAnnouncements();
        });
    }
}

void stream_origin_task::find(const std::string &id, const std::string &service,
    std::function<void(const std::optional<stream_origin> &)> done)
{
    ++m_counters.queries;
    const std::string key = id.empty() ? " " + service : id; // no attempt's id has a space
    lookup_ptr &asked = m_lookups[key];
    if (asked) {
        asked->callbacks.push_back(std::move(done));
        return;
    }
    asked = std::make_shared<lookup>();
    asked->service = service;
    asked->callbacks.push_back(std::move(done));
    asked->evidence.ownSight = sightOf(service, asked->evidence.ownVersion);
    const stream_origin *own = findOrigin(m_own, id, bootNow());
    own = own == nullptr ? findOrigin(m_kept, id, bootNow()) : own;
    if (own != nullptr) {
        asked->evidence.record = *own;
    }
    for (const std::string &home : own == nullptr ? homesOf(key, homesAsked) : std::vector<std::string>{}) {
        if (home != m_settings.node) {
            asked->open.insert(home);
        }
    }
    if (asked->open.empty()) {
        asked->evidence.anyAnswer = true;
        m_loop.post([this, key] {
            conclude(key);
        });
        return;
    }
    askHomes(key, asked);
}

void stream_origin_task::askHomes(const std::string &id, const lookup_ptr &asked)
{
    ++asked->rounds;
    for (const std::string &home : asked->open) {
        sendToNode(*m_port, m_store, m_settings.node, home, stream_origin_query{id, asked->service});
    }
    asked->timer = m_loop.timer(answerTimeout, {}, [this, id] {
        const auto found = m_lookups.find(id);
        if (found == m_lookups.end()) {
            return;
        }
        const lookup_ptr again = found->second;
        const auto timer = std::exchange(again->timer, nullptr); // kept until the end of this call
        if (again->evidence.anyAnswer || again->rounds >= maxQueryRounds) {
            conclude(id);
        } else {
            askHomes(id, again);
        }
    });
}

/// Ends a lookup by what the homes know, or has the store's records read.
void stream_origin_task::conclude(const std::string &id)
{
    const auto found = m_lookups.find(id);
    if (found == m_lookups.end()) {
        return;
    }
    const origin_evidence &evidence = found->second->evidence;
    if (versionToGoOnAt(evidence)) {
        finish(id, evidence.record ? "home" : "sole version");
        return;
    }
    if (!m_store.view().reachable) {
        finish(id, "store away");
        return;
    }
    m_awaitingLogs.push_back(id);
    readLogs();
}

/// Reads the origin logs for all lookups that wait for them.
void stream_origin_task::readLogs()
{
    if (m_readingLogs || m_readTimer) {
        return;
    }
    const millis now = bootNow();
    const millis due = m_logsReadAt + logReadInterval;
    if (now < due) {
        m_readTimer = m_loop.timer(due - now, {}, [this] {
            const auto timer = std::exchange(m_readTimer, nullptr); // kept until the end of this call
            readLogs();
        });
        return;
    }
    m_readingLogs = true;
    m_logsReadAt = now;
    ++m_counters.logReads;
    const auto waiting = std::make_shared<std::vector<std::string>>(std::exchange(m_awaitingLogs, {}));
    m_readTimer = m_loop.timer(logReadTimeout, {}, [this, waiting] {
        const auto timer = std::exchange(m_readTimer, nullptr); // kept until the end of this call
        for (const std::string &id : std::exchange(*waiting, {})) {
            finish(id, "store away");
        }
    });
    m_store.readOrigins([this, waiting](const std::optional<std::vector<stream_origin_record>> &origins) {
        m_readingLogs = false;
        m_readTimer.reset();
        for (const stream_origin_record &each : origins.value_or(std::vector<stream_origin_record>{})) {
            recordOrigin(m_kept, each.id, each.origin, bootNow());
        }
        for (const std::string &id : std::exchange(*waiting, {})) {
            finish(id, origins ? "log" : "store away");
        }
        if (!m_awaitingLogs.empty()) {
            readLogs();
        }
    });
}

/// Passes on what is known of a stream's origin. `evidence`: where it was looked for last.
void stream_origin_task::finish(const std::string &id, const char *evidence)
{
    const auto found = m_lookups.find(id);
    if (found == m_lookups.end()) {
        return;
    }
    const lookup_ptr asked = found->second;
    m_lookups.erase(found);
    std::optional<stream_origin> origin = asked->evidence.record;
    if (const stream_origin *kept = findOrigin(m_kept, id, bootNow()); kept != nullptr && !origin) {
        origin = *kept;
    }
    if (const auto version = versionToGoOnAt(asked->evidence); version && !origin) {
        origin = stream_origin{asked->service, *version};
    }
    const bool storeAway = !origin && evidence == std::string_view("store away");
    std::uint64_t &counter =
        origin ? m_counters.found : (storeAway ? m_counters.storeAway : m_counters.unknown);
    counter += asked->callbacks.size();
    m_log.important("stream.taken_up")
        .add("resumes", id)
        .add("software", origin ? origin->softwareVersion : std::string())
        .add("known", origin ? 1 : 0)
        .add("recorded", asked->evidence.record ? 1 : 0)
        .add("evidence", evidence)
        .add("silent_homes", static_cast<std::int64_t>(asked->open.size()));
    for (const auto &done : asked->callbacks) {
        done(origin);
    }
}

void stream_origin_task::onReport(const std::string &node, const stream_origins_report &report)
{
    const millis now = bootNow();
    const auto &daemons = m_store.view().daemons;
    const auto sender = daemons.find(node);
    const std::uint64_t incarnation = sender == daemons.end() ? 0 : sender->second.incarnation;
    const std::vector<std::string> writers = logWriters();
    for (const stream_origin_record &each : report.records) {
        recordOrigin(m_kept, each.id, each.origin, now);
        if (logWriterOf(each.id, writers) == m_settings.node) {
            appendOrigin(m_originLog, each.id, each.origin);
        } else {
            m_recentReports.push_back({now, node, incarnation, each.id});
        }
    }
    while (m_recentReports.size() > maxRecentReports) {
        m_recentReports.pop_front();
    }
    writeLog();
}

/// Records streams of daemons that have ended, which may not have recorded the last ones.
void stream_origin_task::logForEndedDaemons()
{
    const millis now = bootNow();
    const auto &daemons = m_store.view().daemons;
    std::erase_if(m_recentReports, [&](const recent_report &report) {
        const auto sender = daemons.find(report.node);
        const bool restarted = sender != daemons.end() && report.incarnation != 0
            && sender->second.incarnation != report.incarnation;
        const bool ended = sender == daemons.end() || restarted;
        const stream_origin *origin = ended ? findOrigin(m_kept, report.id, now) : nullptr;
        if (origin != nullptr) {
            appendOrigin(m_originLog, report.id, *origin);
        }
        return ended || now - report.at > reportMemory;
    });
    writeLog();
}

stream_origin_answer stream_origin_task::answerTo(const stream_origin_query &query)
{
    stream_origin_answer answer;
    answer.id = query.id;
    const stream_origin *origin = findOrigin(m_kept, query.id, bootNow());
    origin = origin == nullptr ? findOrigin(m_own, query.id, bootNow()) : origin;
    if (origin != nullptr) {
        answer.recorded = true;
        answer.origin = *origin;
    }
    answer.sight = sightOf(query.service, answer.soleVersion);
    return answer;
}

void stream_origin_task::onQuery(const std::string &node, const stream_origin_query &query)
{
    sendToNode(*m_port, m_store, m_settings.node, node, answerTo(query));
}

void stream_origin_task::onAnswer(const std::string &node, const stream_origin_answer &answer)
{
    const auto found = m_lookups.find(answer.id);
    if (found == m_lookups.end() || found->second->open.erase(node) == 0) {
        return;
    }
    const lookup_ptr asked = found->second;
    applyAnswer(asked->evidence, answer);
    if (asked->evidence.record || asked->open.empty()) {
        asked->timer.reset();
        conclude(answer.id);
    }
}

}
