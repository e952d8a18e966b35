#pragma once

#include "coordination/server_notices.h"
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
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// Whether a daemon may send requests or orders to a server.
enum class server_access : std::uint8_t
{
    Open,
    WithPermit, ///< the server announces a rate limit: only requests with a permit
    // The following are closed, see isClosed().
    Paused, ///< the server has asked this daemon for a pause
    Leaving, ///< announced by the server itself or listed in the store
    Removed, ///< the store doesn't list the server
};

std::string_view nameOf(server_access value);

/// Whether nothing may be sent to the server, with or without a permit.
bool isClosed(server_access access);
/// Whether a request may be sent to the server. `granted`: it has a permit.
bool maySend(server_access access, bool granted);

/// Posted to the bus when a server's notice has closed it to this or another daemon.
struct server_closed
{
    std::string server;
};

/// Number of daemons, first in rendezvous order, that relay the notice of a leaving server to all others.
constexpr std::size_t noticeRelays = 2;

/// Keeps the notices that servers give in their responses (leaving, pause, rate limit) and decides whether a
/// daemon may send to a server. Notifies the server's owner of leaving and pauses, and all daemons of
/// leaving.
class server_notice_task
{
public:
    server_notice_task(
        loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log);

    void setPort(fleet_port &port);

    /// The access that this daemon, or the given one, has to a server.
    server_access accessOf(const backend_server &server) const;
    server_access accessOf(const std::string &server) const;
    server_access accessOf(const backend_server &server, const std::string &daemon) const;
    /// The remaining pause that the server has asked the daemon for, or 0.
    millis pauseLeft(const backend_server &server, const std::string &daemon) const;
    /// Whether any server has asked any daemon for a pause that may still be in effect.
    bool anyPauses() const;

    /// Applies the notices in a response from an incarnation of a server. `id` is the id of the caller's
    /// request, or empty for orders and report requests.
    void onResponse(const std::string &id, const std::string &server, const std::string &incarnation,
        const response_meta &meta);
    /// Applies a notice from another daemon.
    void onNotice(const std::string &daemon, const server_notice &notice);
    /// Notifies a daemon that a server is leaving, if the server has announced it itself.
    void notifyLeaving(const std::string &daemon, const backend_server &server);

    /// The rate limits that servers have announced.
    announced_limits &limits();

private:
    /// A notice that is sent several times, since datagrams may be lost.
    struct repeated_notice
    {
        server_notice notice;
        std::vector<std::string> recipients;
        int sendsLeft = 0;
    };

    void onViewChanged(const view_changed &change);
    void inheritBrittleness(const backend_server &server);
    void sendNotice(server_notice notice, const std::vector<std::string> &recipients, int sends);
    void resendNotices();
    void broadcastLeaving(const server_notice &notice);
    std::vector<std::string> reachableDaemons() const;

    loop &m_loop;
    bus &m_bus;
    store_task &m_store;
    node_settings m_settings;
    decision_log &m_log;
    fleet_port *m_port = nullptr;
    server_notices m_notices;
    std::set<std::string> m_knownServers; ///< those in the view, as of its latest change
    std::vector<repeated_notice> m_repeatedNotices;
    std::shared_ptr<void> m_timer;
};

}
