#pragma once

#include "coordination/crash_book.h"
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
constexpr std::size_t crashHomes = 2;

/// Posted when a request goes to no server from now on.
struct request_blocked
{
    std::string fingerprint;
};

/// The server that a request was sent to.
struct crash_target
{
    std::string server; ///< its name in the platform's list
    std::string start; ///< which start of it: another one after each restart
    peer_address address;
};

enum class crash_event : std::uint8_t
{
    Counted, ///< a server ended under it
    Blocked, ///< it goes to no server from now on
    Tried, ///< it goes to one server more
    Cleared, ///< a server ran it to an end
};

/// "counted", ...
std::string_view nameOf(crash_event value);

/// What the task tells the log.
struct crash_note
{
    crash_event event = crash_event::Counted;
    std::string fingerprint;
    std::string server; ///< the one that ended last
    std::size_t ends = 0;
    std::string_view source; ///< how it became known here
};

/// The task's ways to the other daemons, to the store and to the log; each daemon program has its own.
struct crash_links
{
    std::string self;
    /// All that may count for a request, `self` among them.
    std::function<std::vector<std::string>()> daemons;
    std::function<void(const std::string &daemon, const crash_report &news)> tell;
    /// The record of a request as last read; without servers: none.
    std::function<crash_record(const std::string &fingerprint)> stored;
    std::function<std::size_t()> records;
    /// Writes a record in place of the one last read; `done`, never from inside, says whether it stands. Of
    /// several daemons that do so at once one succeeds.
    std::function<void(
        const std::string &fingerprint, const crash_record &record, std::function<void(bool)> done)>
        keep;
    std::function<void(const std::string &fingerprint)> drop;
    std::function<void(const crash_note &note)> log;
};

struct crash_counters
{
    std::uint64_t ends = 0; ///< of servers, under requests that this daemon had sent there
    std::uint64_t blocked = 0; ///< requests that became blocked
    std::uint64_t cleared = 0; ///< requests of which a server gave a whole answer after all
};

/// Guards against: a request that crashes each server that runs it, sent again and again by its caller. It
/// shows as servers that end one after the other, each with the answers of all its callers. Holds because the
/// daemon that loses an answer finds out whether the server has ended, and tells the daemons that count for
/// that request; from two ends on these tell all others, and keep it in the store for those that start later.
/// Of all that a server ran when it ended, only what ends further servers is counted on.
class crash_task
{
public:
    crash_task(loop &eventLoop, bus &messages, crash_links links, const trial_waits &waits = trialWaits);

    /// Whether a request goes to no server any more.
    bool isBlocked(const std::string &fingerprint) const;
    /// The servers that are known here to have ended under it.
    std::vector<std::string> counted(const std::string &fingerprint) const;
    /// Whether it would be blocked if the servers of which it isn't known yet have ended. It isn't sent a
    /// further time then by this daemon itself.
    bool mayBeFatal(const std::string &fingerprint) const;

    /// The answer of a server that doesn't leave broke off.
    void onBroken(const std::string &fingerprint, const crash_target &target);
    /// A send was given up here while the server was at work on it.
    void onGivenUp(const std::string &fingerprint, const crash_target &target);
    /// A server ran it to an end and is still there.
    void onAnswered(const std::string &fingerprint);
    /// A blocked request is asked for, which keeps it remembered. `done`, never from inside, gets whether it
    /// is tried: sent to a server, by the caller of this and no other daemon.
    void askTrial(const std::string &fingerprint, std::function<void(bool)> done);
    /// When to come back with a blocked request: when it is tried again, or forgotten.
    millis comeBackAfter(const std::string &fingerprint) const;
    /// A server has ended, or started again, without having said that it would leave.
    void onServerEnded(const std::string &server);
    void hear(const crash_report &news);
    /// What was read in the store; without servers: its record has gone.
    void onStored(const std::string &fingerprint, const crash_record &record);
    const crash_counters &counters() const;

private:
    /// A server that may have ended under a request.
    struct suspicion
    {
        std::string fingerprint;
        crash_target target;
        millis at;
        bool probing = false;
    };

    void suspect(const std::string &fingerprint, const crash_target &target, bool probing);
    void probe(const crash_target &target);
    void onProbed(const std::string &start, reach result);
    std::vector<suspicion> takeSuspicions(const std::function<bool(const suspicion &)> &which);
    void count(const std::vector<suspicion> &ended);
    bool take(
        const std::string &fingerprint, const std::vector<std::string> &servers, std::string_view source);
    void remember(const std::string &fingerprint);
    crash_report newsOf(const std::string &fingerprint) const;
    void clear(const std::string &fingerprint);
    void dropCleared();
    bool isMissing(const std::string &fingerprint) const;
    void tick();
    void share(const std::string &fingerprint);
    void spread(const std::string &fingerprint);
    void keep(const std::string &fingerprint);
    void tellAll(const crash_report &news);
    std::vector<std::string> homesOf(const std::string &fingerprint) const;
    bool isHome(const std::string &fingerprint) const;

    loop &m_loop;
    bus &m_bus;
    crash_links m_links;
    crash_book m_book;
    crash_counters m_counters;
    std::deque<suspicion> m_suspicions; ///< oldest first
    std::map<std::string, std::shared_ptr<void>> m_probes; ///< by start of a server
    std::set<std::string> m_shareAgain; ///< fingerprints told once, by messages that may be lost
    std::map<std::string, crash_record> m_toDrop; ///< cleared, and still in the store as it was then
    std::map<std::string, millis> m_keptAlive; ///< when the homes were last told that it is asked for
    std::shared_ptr<void> m_timer;
};

}
