#pragma once

#include "coordination/crash_history.h"
#include "protocol/crash_messages.h"
#include "transport/bus.h"
#include "transport/connect_probe.h"
#include "transport/loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// Number of daemons that count the crashes under one attribute: the first by rendezvous hash of its key.
/// With more than one, no count is lost when a daemon dies.
constexpr std::size_t crashHomeCount = 2;

/// Posted when an attribute becomes convicted: no server may receive requests with it any more, unless
/// another attribute explains its crashes.
struct attribute_blocked
{
    std::string attribute; ///< its key
};

/// The server that a request was sent to.
struct crash_target
{
    std::string server; ///< its name in the platform's list
    std::string incarnation; ///< changes with each restart of the server
    peer_address address;
};

/// What happened to an attribute of requests that were running when a server crashed.
enum class crash_event : std::uint8_t
{
    Counted, ///< a server crashed under it
    Blocked, ///< requests with it are not sent to servers any more
    Probed, ///< one request with it is sent to one server as a probe
    Cleared, ///< a server completed a request with it
};

/// The name for logs: "counted", "blocked", "tried" or "cleared".
std::string_view nameOf(crash_event value);

/// An event that the task reports to the log.
struct crash_log_entry
{
    crash_event event = crash_event::Counted;
    std::string attribute; ///< its key
    std::uint8_t rank = contentRank; ///< of the attribute
    std::string server; ///< the incarnation that crashed last
    std::size_t crashes = 0;
    std::string_view source; ///< how this daemon learned of it
};

/// The task's access to the other daemons, the store and the log; each daemon program supplies its own.
struct crash_callbacks
{
    std::string self;
    /// All daemons that may be homes of an attribute, including `self`.
    std::function<std::vector<std::string>()> daemons;
    std::function<void(const std::string &daemon, const ranked_crash_report &report)> send;
    /// The record of an attribute as last read; a record without servers: none is stored.
    std::function<crash_record(const std::string &attribute)> storedRecord;
    std::function<std::size_t()> recordCount;
    /// Replaces the record that was last read. `done` is called later, never from within, with whether the
    /// write succeeded. Of several daemons that write at once, one succeeds.
    std::function<void(
        const std::string &attribute, const crash_record &record, std::function<void(bool)> done)>
        storeRecord;
    std::function<void(const std::string &attribute)> removeRecord;
    std::function<void(const crash_log_entry &entry)> log;
    /// Finds out whether the server's process has ended. Empty: by one connection attempt of this daemon.
    std::function<void(const crash_target &target, std::function<void(connect_result)> done)> checkProcess;
};

/// Events since the start of the process, for metrics.
struct crash_counters
{
    std::uint64_t serverCrashes = 0; ///< under requests that this daemon had sent to the server
    std::uint64_t blocked = 0; ///< attributes that became blocked
    std::uint64_t cleared = 0; ///< attributes of requests that got a complete response after a crash
};

/// Blocks requests that crash every server that runs them, by what they have in common: their content, or a
/// part of their prompts. Without it, a caller that repeats such a request, or callers whose prompts share
/// such a part, take down one server after another, each with the responses of all its callers.
///
/// The daemon that loses a response finds out whether the server crashed, and notifies the homes of each
/// attribute of the request. From crashesToShare crashes on, the homes notify all daemons and store a record
/// for daemons that start later. Of all that a server ran when it crashed, only the attributes under which
/// further servers crash, and none completes a request, reach crashesToBlock.
class crash_task
{
public:
    crash_task(
        loop &eventLoop, bus &messages, crash_callbacks callbacks, const probe_delays &delays = probeDelays);

    /// Whether a request may no longer be sent to a server.
    bool isBlocked(const request_attributes &attributes) const;
    /// The server incarnations that are known here to have crashed under the attribute.
    std::vector<std::string> crashedIncarnations(const std::string &attribute) const;
    /// Whether the request would be blocked if every server that is still being checked has crashed. Until
    /// that is known, this daemon does not send it again.
    bool mayBecomeBlocked(const request_attributes &attributes) const;

    /// The response of a server that is not leaving broke off.
    void onResponseBroken(const request_attributes &attributes, const crash_target &target);
    /// This daemon gave up on a request that the server was processing.
    void onSendAbandoned(const request_attributes &attributes, const crash_target &target);
    /// A server completed the request, or has been responding for far longer than a request that crashes it
    /// would let it, and is still up.
    void onServerSurvived(const request_attributes &attributes);
    /// To be called when a blocked request arrives, which also keeps its attributes remembered. `done` is
    /// called later, never from within, with whether the caller is to send it to a server as a probe; only
    /// one daemon gets true.
    void requestProbe(const request_attributes &attributes, std::function<void(bool)> done);
    /// The time until a blocked request may be probed, or until it is forgotten if no probes are left.
    millis blockedRetryAfter(const request_attributes &attributes) const;
    /// A server has gone or restarted without having announced that it was leaving.
    void onServerCrashed(const std::string &server);
    /// A report from another daemon.
    void onReport(const ranked_crash_report &report);
    /// A record was read from the store; a record without servers: it has been removed.
    void onStoredRecord(const std::string &attribute, const crash_record &record);
    const crash_counters &counters() const;

private:
    /// A server that may have crashed under a request.
    struct suspected_crash
    {
        request_attributes attributes;
        crash_target target;
        millis suspectedAt;
        bool checking = false; ///< a connection attempt to the server is in progress
    };

    void addSuspicion(const request_attributes &attributes, const crash_target &target, bool checking);
    void checkConnection(const crash_target &target);
    void onConnectResult(const std::string &incarnation, connect_result result);
    std::vector<suspected_crash> extractSuspicions(
        const std::function<bool(const suspected_crash &)> &matches);
    void countCrashes(const std::vector<suspected_crash> &crashed);
    bool applyCrashes(
        const request_attribute &attribute, const std::vector<std::string> &servers, std::string_view source);
    void clear(const std::string &attribute, std::string_view source);
    void forgetAttribute(const std::string &attribute);
    std::string probedAttribute(const request_attributes &blocking) const;
    void keepAlive(const std::string &attribute);
    ranked_crash_report reportOf(const std::string &attribute) const;
    crash_record recordOf(const std::string &attribute) const;
    std::uint8_t rankOf(const std::string &attribute) const;
    void removeStoredRecord(const std::string &attribute);
    void removeClearedRecords();
    bool lacksStoredRecord(const std::string &attribute) const;
    void tick();
    void notifyHomes(const std::string &attribute);
    void notifyAll(const std::string &attribute);
    void notifyNewDaemons();
    void storeRecord(const std::string &attribute);
    void broadcast(const ranked_crash_report &report);
    std::vector<std::string> homesOf(const std::string &attribute) const;
    bool isHome(const std::string &attribute) const;

    loop &m_loop;
    bus &m_bus;
    crash_callbacks m_callbacks;
    crash_history m_history;
    crash_counters m_counters;
    std::deque<suspected_crash> m_suspected; ///< oldest first
    std::map<std::string, std::shared_ptr<void>> m_connectionChecks; ///< by incarnation of the server
    std::set<std::string> m_toResend; ///< attributes reported once, by messages that may be lost
    std::set<std::string> m_knownDaemons; ///< at the latest tick
    std::map<std::string, crash_record>
        m_recordsToRemove; ///< of cleared attributes, as they were when cleared
    std::map<std::string, millis>
        m_keepAliveSentAt; ///< when the homes last learned that it is still requested
    std::shared_ptr<void> m_timer;
};

}
