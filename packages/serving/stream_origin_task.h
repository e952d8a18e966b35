#pragma once

#include "scheduling/origin_log.h"
#include "scheduling/stream_versions.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"
#include "transport/bus.h"
#include "transport/loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarhead {

/// Counts since the start of the process, for the metrics.
struct origin_counters
{
    std::uint64_t recordsSent = 0; ///< to homes of this daemon's streams
    std::uint64_t queries = 0; ///< streams that callers took up here and that homes were asked about
    std::uint64_t found = 0; ///< streams taken up whose version was known
    std::uint64_t unknown = 0; ///< streams taken up that were refused, because it was never recorded
    std::uint64_t storeAway = 0; ///< the same, where the store's records could not be read
    std::uint64_t logWrites = 0; ///< of this daemon's origin log to the store
    std::uint64_t logReads = 0; ///< of all daemons' origin logs
    std::uint64_t logDropped = 0; ///< streams that could not be written in time
};

/// Remembers at which software version streams began. While a service has one version, nothing is sent. Once
/// it has several, each stream's beginning daemon tells two homes, found by rendezvous hash of the stream's
/// id, so that any daemon can ask them when a caller takes the stream up there. The stream is also recorded
/// in the store, which is read where no home knows it: all daemons may have ended since.
class stream_origin_task
{
public:
    stream_origin_task(
        loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log);

    void setPort(fleet_port &port);

    /// Records that a stream's first event goes to its caller. `id`: of the caller's attempt. `isNew`: no
    /// earlier attempt brought events of the stream.
    void onStreamBegan(const std::string &id, const stream_origin &origin, bool isNew);
    /// The stream is complete, so its caller won't take it up.
    void onStreamComplete(const std::string &id);
    /// Passes on where a stream began, or nothing if that isn't known. `service`: where the stream goes on if
    /// only one version can have begun it. `done` is never called from inside.
    void find(const std::string &id, const std::string &service,
        std::function<void(const std::optional<stream_origin> &)> done);

    void onReport(const std::string &node, const stream_origins_report &report);
    void onQuery(const std::string &node, const stream_origin_query &query);
    void onAnswer(const std::string &node, const stream_origin_answer &answer);
    const origin_counters &counters() const;
    /// Whether a stream that callers may take up should not begin at this software version yet: another
    /// daemon could take it for a stream of another version.
    bool isHeldBack(const std::string &service, const std::string &version) const;

private:
    struct lookup;
    using lookup_ptr = std::shared_ptr<lookup>;

    void onViewChanged();
    void maintainRecords();
    void maintainRecord(const std::string &service, const std::vector<std::string> &daemons);
    void findVersionsHeldBack();
    const staying_servers &stayingServersOf(const std::string &service) const;
    settle_times settleTimesOf(const std::string &service) const;
    void findLostDaemons();
    bool hasSeveralVersions(const std::string &service) const;
    version_sight sightOf(const std::string &service, std::string &soleVersion) const;
    std::vector<std::string> homesOf(const std::string &id, std::size_t count) const;
    void announce(const std::string &id, const stream_origin &origin);
    void announceAll(const std::string &service);
    void sendAnnouncements();
    void askHomes(const std::string &id, const lookup_ptr &asked);
    void conclude(const std::string &id);
    void readLogs();
    void finish(const std::string &id, const char *evidence);
    std::vector<std::string> logWriters() const;
    std::string logWriterOf(const std::string &id, const std::vector<std::string> &writers) const;
    void logOrigin(const std::string &id, const stream_origin &origin);
    void logForEndedDaemons();
    void writeLog();
    stream_origin_answer answerTo(const stream_origin_query &query);

    loop &m_loop;
    store_task &m_store;
    node_settings m_settings;
    decision_log &m_log;
    fleet_port *m_port = nullptr;
    origin_counters m_counters;
    version_sightings m_sightings;
    std::map<std::string, std::int64_t> m_appliedRevisions; ///< of the store's records, by service
    std::map<std::string, bool> m_severalVersions; ///< by service, as of the latest change of the view
    stream_origins m_own; ///< streams that began here and are not complete
    stream_origins m_kept; ///< as a home
    std::deque<std::pair<std::string, stream_origin_record>> m_announcements; ///< home and record, to be sent
    std::map<std::string, lookup_ptr> m_lookups; ///< by stream id
    std::map<std::string, millis> m_outdatedSince; ///< records of versions, by service
    std::map<std::string, staying_servers> m_staying; ///< by service, as of the latest change of the view
    std::map<std::string, std::uint64_t> m_daemons; ///< incarnations by node, when last looked at
    millis m_daemonLostAt; ///< when the end of a daemon was last seen, this one's before its start included
    std::map<std::string, version_record_state> m_records; ///< of the store, by service
    std::map<std::string, std::vector<std::string>> m_heldBack; ///< software versions, by service
    origin_log m_originLog; ///< as a writer
    /// Streams that other daemons have lately reported to this one as a home.
    struct recent_report
    {
        millis at;
        std::string node;
        std::uint64_t incarnation = 0; ///< of the node's daemon then; 0: unknown
        std::string id;
    };
    std::deque<recent_report> m_recentReports; ///< oldest first
    millis m_logWrittenAt;
    std::shared_ptr<void> m_logTimer;
    std::vector<std::string> m_awaitingLogs; ///< keys of lookups that wait for the store
    bool m_readingLogs = false;
    millis m_logsReadAt;
    std::shared_ptr<void> m_readTimer;
    std::shared_ptr<void> m_maintainTimer;
    std::shared_ptr<void> m_announceTimer;
};

}
