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
/// A view of the store that was not confirmed for this long may lack a version.
constexpr millis maxViewAge{3'000};
constexpr millis maintainInterval{1'000};
/// Announcements that become due at once are spread, since all daemons see a second version together.
constexpr millis announceInterval{50};
constexpr std::size_t recordsPerDatagram = 16;

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
    messages.on<view_changed>([this](const view_changed &) {
        onViewChanged();
    });
    m_maintainTimer = m_loop.timer(maintainInterval, maintainInterval, [this] {
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
        }
    }
    recordVersions(m_sightings, view.servers, now);
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
    findUnrecordedVersions();
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
        const std::vector<std::string> versions = versionsOf(m_sightings, service);
        const auto stored = view.serviceVersions.find(service);
        if (stored != view.serviceVersions.end() && stored->second.record.versions == versions) {
            m_outdatedSince.erase(service);
            continue;
        }
        const millis since = m_outdatedSince.try_emplace(service, bootNow()).first->second;
        const auto delay = writeDelayOf(service, daemons, m_settings.node);
        if (delay && bootNow() - since >= *delay) {
            m_store.writeServiceVersions(service, {versions});
        }
    }
}

/// A version without a record is avoided only while a recorded one has servers.
void stream_origin_task::findUnrecordedVersions()
{
    m_unrecordedVersions.clear();
    std::set<std::string> withRecordedServers;
    for (const auto &[id, server] : m_store.view().servers) {
        const auto stored = m_store.view().serviceVersions.find(server.service);
        if (stored == m_store.view().serviceVersions.end()) {
            continue; // no version passes for the only one
        }
        const auto &recorded = stored->second.record.versions;
        if (std::find(recorded.begin(), recorded.end(), server.softwareVersion) == recorded.end()) {
            m_unrecordedVersions[server.service].insert(server.softwareVersion);
        } else if (!server.draining) {
            withRecordedServers.insert(server.service);
        }
    }
    std::erase_if(m_unrecordedVersions, [&withRecordedServers](const auto &each) {
        return withRecordedServers.count(each.first) == 0;
    });
}

bool stream_origin_task::isUnrecordedVersion(const std::string &service, const std::string &version) const
{
    const auto found = m_unrecordedVersions.find(service);
    return found != m_unrecordedVersions.end() && found->second.count(version) != 0;
}

version_sight stream_origin_task::sightOf(const std::string &service, std::string &soleVersion) const
{
    const std::vector<std::string> versions = versionsOf(m_sightings, service);
    if (versions.size() > 1) {
        return version_sight::Several;
    }
    const auto confirmed = m_store.configConfirmedAt();
    const bool current = confirmed && bootNow() - *confirmed <= maxViewAge;
    const bool recorded = m_store.view().serviceVersions.count(service) != 0;
    if (versions.empty() || !current || !recorded) {
        return version_sight::Unsure;
    }
    soleVersion = versions.front();
    return version_sight::Sole;
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

void stream_origin_task::onStreamBegan(const std::string &id, const stream_origin &origin)
{
    recordOrigin(m_own, id, origin, bootNow());
    std::string soleVersion;
    if (sightOf(origin.service, soleVersion) != version_sight::Sole) {
        announce(id, origin);
        sendAnnouncements();
    }
}

void stream_origin_task::onStreamComplete(const std::string &id)
{
    m_own.byId.erase(id);
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
        }
    }
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

void stream_origin_task::conclude(const std::string &id)
{
    const auto found = m_lookups.find(id);
    if (found == m_lookups.end()) {
        return;
    }
    const lookup_ptr asked = found->second;
    m_lookups.erase(found);
    const origin_evidence &evidence = asked->evidence;
    std::optional<stream_origin> origin = evidence.record;
    if (const auto version = versionToGoOnAt(evidence); version && !origin) {
        origin = stream_origin{asked->service, *version};
    }
    (origin ? m_counters.found : m_counters.unknown) += asked->callbacks.size();
    m_log.important("stream.taken_up")
        .add("resumes", id)
        .add("software", origin ? origin->softwareVersion : std::string())
        .add("known", origin ? 1 : 0)
        .add("recorded", evidence.record ? 1 : 0)
        .add("silent_homes", static_cast<std::int64_t>(asked->open.size()));
    for (const auto &done : asked->callbacks) {
        done(origin);
    }
}

void stream_origin_task::onReport(const stream_origins_report &report)
{
    for (const stream_origin_record &each : report.records) {
        recordOrigin(m_kept, each.id, each.origin, bootNow());
    }
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
