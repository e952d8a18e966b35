#pragma once

#include "coordination/crash_book.h"
#include "protocol/fleet_messages.h"
#include "serving/backend_server.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"
#include "transport/bus.h"
#include "transport/connect_probe.h"
#include "transport/loop.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
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

struct crash_counters
{
    std::uint64_t ends = 0; ///< of servers, under requests that this daemon had sent there
    std::uint64_t blocked = 0; ///< requests that became blocked
    std::uint64_t cleared = 0; ///< requests of which a server gave a whole answer after all
};

/// Guards against: a request that crashes each server that runs it, sent again and again by its caller. It
/// shows as servers that end one after the other, each with the answers of all its callers. Holds because the
/// daemon that loses an answer finds out whether the server has ended, tells the daemons that count for that
/// request, and these write what they know into the store, where every daemon reads it, also after a start.
/// Of all that a server ran when it ended, only what ends further servers is counted on.
class crash_task
{
public:
    crash_task(
        loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log);
    void setPort(fleet_port &port);

    /// Whether a request goes to no server any more.
    bool isBlocked(const std::string &fingerprint) const;
    /// The servers that are known here to have ended under it.
    std::vector<std::string> counted(const std::string &fingerprint) const;
    /// Whether it would be blocked if the servers of which it isn't known yet have ended. It isn't sent a
    /// further time then by this daemon itself.
    bool mayBeFatal(const std::string &fingerprint) const;

    /// A server's answer broke off.
    void onBroken(const std::string &fingerprint, const backend_server &server);
    /// A send was given up here while the server was at work on it.
    void onGivenUp(const std::string &fingerprint, const backend_server &server);
    /// A server ran it to an end and is still there.
    void onAnswered(const std::string &fingerprint);
    /// It was refused because it is blocked: whoever asks for it keeps it remembered.
    void onRefused(const std::string &fingerprint);
    void hear(const crash_news &news);
    const crash_counters &counters() const;

private:
    /// A server that may have ended under a request.
    struct suspicion
    {
        std::string fingerprint;
        std::string server; ///< its id
        std::string start; ///< which start of it
        millis at;
        bool probing = false;
    };

    void suspect(const std::string &fingerprint, const backend_server &server, bool probing);
    void probe(const backend_server &server, const std::string &start);
    void onProbed(const std::string &start, reach result);
    void count(const std::vector<suspicion> &ended);
    bool take(const std::string &fingerprint, const std::vector<std::string> &servers, const char *source);
    void followView(const view_changed &change);
    void tick();
    void share(const std::string &fingerprint);
    void keep(const std::string &fingerprint);
    void tellAll(const std::string &fingerprint);
    void send(const std::string &node, const std::string &fingerprint);
    std::vector<std::string> homesOf(const std::string &fingerprint) const;
    bool isHome(const std::string &fingerprint) const;

    loop &m_loop;
    bus &m_bus;
    store_task &m_store;
    node_settings m_settings;
    decision_log &m_log;
    fleet_port *m_port = nullptr;
    crash_book m_book;
    crash_counters m_counters;
    std::deque<suspicion> m_suspicions; ///< oldest first
    std::map<std::string, std::shared_ptr<void>> m_probes; ///< by start of a server
    std::set<std::string> m_shareAgain; ///< fingerprints told once, by datagrams that may be lost
    std::map<std::string, millis> m_keptAlive; ///< when the homes were last told that it is asked for
    std::shared_ptr<void> m_timer;
};

}
