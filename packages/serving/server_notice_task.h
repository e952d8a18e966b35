#pragma once

#include "coordination/server_words.h"
#include "serving/client_request.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/node_settings.h"
#include "serving/store_task.h"
#include "transport/bus.h"
#include "transport/loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// Whether a daemon may send a server something.
enum class server_access : std::uint8_t
{
    Open,
    WithPermit, ///< it names a limit: only what has been granted a turn
    // Closed from here on: see isClosed().
    Paused, ///< it wants nothing from the daemon for a while
    Leaving, ///< by its own word or the store's
    Removed, ///< the store lists no such server
};

std::string_view nameOf(server_access value);

/// Whether nothing is to be sent there, granted or not.
bool isClosed(server_access access);
/// Whether a request may be sent; `granted`: it has its turn.
bool maySend(server_access access, bool granted);

/// Posted when a server has become closed to some daemon by its own word.
struct server_closed
{
    std::string server;
};

/// Daemons that pass the news of a leaving server on to all, first by rendezvous hash.
constexpr std::size_t noticeRelays = 2;

/// Keeps what servers say of themselves, and answers for every send and grant whether it may be made. Tells
/// other daemons what concerns them: all that a server leaves, the holder of its record what a server asks of
/// this daemon.
class server_notice_task
{
public:
    server_notice_task(
        loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log);

    void setPort(fleet_port &port);

    server_access accessOf(const backend_server &server) const; ///< for this daemon
    server_access accessOf(const std::string &server) const;
    server_access accessOf(const backend_server &server, const std::string &daemon) const;
    /// What is left of a pause; 0: there is none.
    millis pauseLeft(const backend_server &server, const std::string &daemon) const;
    /// Whether any server wants a pause from any daemon.
    bool anyPauses() const;

    /// Takes in the head of an answer by a start of a server. `id`: of the request it answers; empty: a call
    /// of this daemon's own.
    void onResponse(const std::string &id, const std::string &server, const std::string &incarnation,
        const response_meta &meta);
    /// What another daemon tells.
    void onNotice(const std::string &daemon, const word_news &notice);
    /// Tells a daemon that doesn't know it that a server leaves, if that is by the server's own word.
    void notifyLeaving(const std::string &daemon, const backend_server &server);

    named_limits &limits();

private:
    struct repeated_notice
    {
        word_news notice;
        std::vector<std::string> recipients;
        int sendsLeft = 0; ///< times that it is still to be told
    };

    void sendNotice(word_news notice, const std::vector<std::string> &recipients, int sends);
    void resendNotices();
    void broadcastLeaving(const word_news &notice);
    std::vector<std::string> reachableDaemons() const;

    loop &m_loop;
    bus &m_bus;
    store_task &m_store;
    node_settings m_settings;
    decision_log &m_log;
    fleet_port *m_port = nullptr;
    server_words m_notices;
    std::vector<repeated_notice> m_repeatedNotices;
    std::shared_ptr<void> m_timer;
};

}
