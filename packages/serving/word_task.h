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
    ByTurn, ///< it names a limit: only what has been granted a turn
    // Closed from here on: see isClosed().
    Paused, ///< it wants nothing from the daemon for a while
    Leaving, ///< by its own word or the store's
    Gone, ///< the store lists no such server
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
constexpr std::size_t wordHomes = 2;

/// Keeps what servers say of themselves, and answers for every send and grant whether it may be made. Tells
/// other daemons what concerns them: all that a server leaves, the holder of its record what a server asks of
/// this daemon.
class word_task
{
public:
    word_task(
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
    void hear(
        const std::string &id, const std::string &server, const std::string &start, const answer_meta &meta);
    /// What another daemon tells.
    void hear(const std::string &daemon, const server_notice &news);
    /// Tells a daemon that doesn't know it that a server leaves, if that is by the server's own word.
    void tellLeaving(const std::string &daemon, const backend_server &server);

    named_limits &limits();

private:
    struct telling
    {
        server_notice news;
        std::vector<std::string> to;
        int left = 0; ///< times that it is still to be told
    };

    void tell(server_notice news, const std::vector<std::string> &to, int times);
    void tellAgain();
    void spread(const server_notice &news);
    std::vector<std::string> peers() const;

    loop &m_loop;
    bus &m_bus;
    store_task &m_store;
    node_settings m_settings;
    decision_log &m_log;
    fleet_port *m_port = nullptr;
    server_words m_words;
    std::vector<telling> m_tellings;
    std::shared_ptr<void> m_timer;
};

}
