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

/// Daemons that count the ends under one request, first by rendezvous hash, so that the death of one loses
/// no count.
constexpr std::size_t crashHomeCount = 2;

/// Posted when a request goes to no server from now on.
struct request_blocked
{
    std::string fingerprint;
};

/// The server that a request was sent to.
struct crash_target
{
    std::string server; ///< its name in the platform's list
    std::string incarnation; ///< which start of it: another one after each restart
    peer_address address;
};

enum class crash_event : std::uint8_t
{
    Counted, ///< a server ended under it
    Blocked, ///< it goes to no server from now on
    Probed, ///< it goes to one server more
    Cleared, ///< a server ran it to an end
};

/// "counted", ...
std::string_view nameOf(crash_event value);

/// What the task tells the log.
struct crash_log_entry
{
    crash_event event = crash_event::Counted;
    std::string fingerprint;
    std::string server; ///< the one that ended last
    std::size_t crashes = 0;
    std::string_view source; ///< how it became known here
};

/// The task's ways to the other daemons, to the store and to the log; each daemon program has its own.
struct crash_callbacks
{
    std::string self;
    /// All that may count for a request, `self` among them.
    std::function<std::vector<std::string>()> daemons;
    std::function<void(const std::string &daemon, const crash_news &news)> send;
    /// The record of a request as last read; without servers: none.
    std::function<crash_record(const std::string &fingerprint)> storedRecord;
    std::function<std::size_t()> recordCount;
    /// Writes a record in place of the one last read; `done`, never from inside, says whether it stands. Of
    /// several daemons that do so at once one succeeds.
    std::function<void(
        const std::string &fingerprint, const crash_record &record, std::function<void(bool)> done)>
        storeRecord;
    std::function<void(const std::string &fingerprint)> removeRecord;
    std::function<void(const crash_log_entry &note)> log;
};

struct crash_counters
{
    std::uint64_t serverCrashes = 0; ///< of servers, under requests that this daemon had sent there
    std::uint64_t blocked = 0; ///< requests that became blocked
    std::uint64_t cleared = 0; ///< requests of which a server gave a whole answer after all
};

/// Guards against: a request that crashes each server that runs it, sent again and again by its caller. It
/// shows as servers that end one after the other, each with the answers of all its callers. Holds because the
/// daemon that loses an answer finds out whether the server has ended, and tells the daemons that count for
/// that request; from two ends on these tell all others, and keep it in the store for those that start later.
/// Of all that a server ran when it ended, only what ends further servers is crashedIncarnations on.
class crash_task
{
public:
    crash_task(
        loop &eventLoop, bus &messages, crash_callbacks callbacks, const probe_delays &delays = probeDelays);

    /// Whether a request goes to no server any more.
    bool isBlocked(const std::string &fingerprint) const;
    /// The servers that are known here to have ended under it.
    std::vector<std::string> crashedIncarnations(const std::string &fingerprint) const;
    /// Whether it would be blocked if the servers of which it isn't known yet have ended. It isn't sent a
    /// further time then by this daemon itself.
    bool mayBecomeBlocked(const std::string &fingerprint) const;

    /// The answer of a server that doesn't leave broke off.
    void onResponseBroken(const std::string &fingerprint, const crash_target &target);
    /// A send was given up here while the server was at work on it.
    void onSendAbandoned(const std::string &fingerprint, const crash_target &target);
    /// A server ran it to an end and is still there.
    void onResponseComplete(const std::string &fingerprint);
    /// A blocked request is asked for, which keeps it remembered. `done`, never from inside, gets whether it
    /// is tried: sent to a server, by the caller of this and no other daemon.
    void requestProbe(const std::string &fingerprint, std::function<void(bool)> done);
    /// When to come back with a blocked request: when it is tried again, or forgotten.
    millis blockedRetryAfter(const std::string &fingerprint) const;
    /// A server has ended, or started again, without having said that it would leave.
    void onServerCrashed(const std::string &server);
    void onReport(const crash_news &news);
    /// What was read in the store; without servers: its record has gone.
    void onStoredRecord(const std::string &fingerprint, const crash_record &record);
    const crash_counters &counters() const;

private:
    /// A server that may have ended under a request.
    struct suspected_crash
    {
        std::string fingerprint;
        crash_target target;
        millis suspectedAt;
        bool checking = false;
    };

    void addSuspicion(const std::string &fingerprint, const crash_target &target, bool checking);
    void checkConnection(const crash_target &target);
    void onConnectResult(const std::string &incarnation, reach result);
    std::vector<suspected_crash> extractSuspicions(const std::function<bool(const suspected_crash &)> &which);
    void countCrashes(const std::vector<suspected_crash> &ended);
    bool applyCrashes(
        const std::string &fingerprint, const std::vector<std::string> &servers, std::string_view source);
    void keepAlive(const std::string &fingerprint);
    crash_news reportOf(const std::string &fingerprint) const;
    void clear(const std::string &fingerprint);
    void removeClearedRecords();
    bool lacksStoredRecord(const std::string &fingerprint) const;
    void tick();
    void notifyHomes(const std::string &fingerprint);
    void notifyAll(const std::string &fingerprint);
    void storeRecord(const std::string &fingerprint);
    void broadcast(const crash_news &news);
    std::vector<std::string> homesOf(const std::string &fingerprint) const;
    bool isHome(const std::string &fingerprint) const;

    loop &m_loop;
    bus &m_bus;
    crash_callbacks m_callbacks;
    crash_history m_history;
    crash_counters m_counters;
    std::deque<suspected_crash> m_suspected; ///< oldest first
    std::map<std::string, std::shared_ptr<void>> m_connectionChecks; ///< by start of a server
    std::set<std::string> m_toResend; ///< fingerprints told once, by messages that may be lost
    std::map<std::string, crash_record> m_recordsToRemove; ///< cleared, and still in the store as it was then
    std::map<std::string, millis> m_keepAliveSentAt; ///< when the homes were last told that it is asked for
    std::shared_ptr<void> m_timer;
};

}
