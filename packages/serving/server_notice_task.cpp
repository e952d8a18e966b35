#include "serving/server_notice_task.h"

#include "coordination/rendezvous.h"
#include "serving/crash_store.h"
#include "serving/fleet_send.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

/// Datagrams may be lost, so notices are sent several times at this interval.
constexpr millis resendInterval{400};
constexpr int sendsToRelays = 3;
constexpr int sendsToAll = 2;

}

std::string_view nameOf(server_access value)
{
    static constexpr std::array<std::string_view, 5> names{"open", "by_turn", "paused", "leaving", "gone"};
    return names[static_cast<std::size_t>(value)];
}

bool isClosed(server_access access)
{
    return access >= server_access::Paused;
}

bool maySend(server_access access, bool granted)
{
    return access == server_access::Open || (access == server_access::WithPermit && granted);
}

server_notice_task::server_notice_task(
    loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_bus(messages)
    , m_store(store)
    , m_settings(settings)
    , m_log(log)
{
    m_bus.on<view_changed>([this](const view_changed &change) {
        onViewChanged(change);
    });
}

void server_notice_task::onViewChanged(const view_changed &change)
{
    for (const std::string &server : change.removedServers) {
        m_notices.limits.erase(server);
        m_knownServers.erase(server);
    }
    const auto &servers = m_store.view().servers;
    if (servers.size() == m_knownServers.size()) {
        return;
    }
    for (const auto &[id, server] : servers) {
        if (m_knownServers.insert(id).second) {
            inheritBrittleness(server);
        }
    }
    std::erase_if(m_knownServers, [&servers](const std::string &id) {
        return servers.count(id) == 0;
    });
}

/// A server that is new, or has started again, has answered nobody yet. If others of its service say that
/// they are brittle, so is it: all daemons would send to the only one that needs no permit. Its first
/// response replaces what is assumed here.
void server_notice_task::inheritBrittleness(const backend_server &server)
{
    const auto &servers = m_store.view().servers;
    std::optional<std::int64_t> least;
    for (const auto &[id, limit] : m_notices.limits) {
        const auto known = servers.find(id);
        if (limit.maxRejections && known != servers.end() && known->second.service == server.service) {
            least = std::min(least.value_or(*limit.maxRejections), *limit.maxRejections);
        }
    }
    if (!least) {
        return;
    }
    const millis now = bootNow();
    m_notices.limits.try_emplace(server.id, announced_limit{unlimitedPerSecond, now, now, least});
    m_log.important("server.assumed_brittle").add("server", server.id).add("bears", *least);
}

void server_notice_task::setPort(fleet_port &port)
{
    m_port = &port;
}

announced_limits &server_notice_task::limits()
{
    return m_notices.limits;
}

bool server_notice_task::anyPauses() const
{
    return !m_notices.pauses.empty();
}

server_access server_notice_task::accessOf(const backend_server &server) const
{
    return accessOf(server, m_settings.node);
}

server_access server_notice_task::accessOf(const std::string &server) const
{
    const auto listed = m_store.view().servers.find(server);
    return listed == m_store.view().servers.end() ? server_access::Removed : accessOf(listed->second);
}

server_access server_notice_task::accessOf(const backend_server &server, const std::string &daemon) const
{
    if (server.draining || (!m_notices.leaving.empty() && isLeaving(m_notices, incarnationOf(server)))) {
        return server_access::Leaving;
    }
    if (pauseLeft(server, daemon) > millis{}) {
        return server_access::Paused;
    }
    return m_notices.limits.count(server.id) != 0 ? server_access::WithPermit : server_access::Open;
}

millis server_notice_task::pauseLeft(const backend_server &server, const std::string &daemon) const
{
    return m_notices.pauses.empty()
        ? millis{}
        : briarhead::pauseLeft(m_notices, incarnationOf(server), daemon, bootNow());
}

void server_notice_task::onResponse(const std::string &id, const std::string &server,
    const std::string &incarnation, const response_meta &meta)
{
    if (!meta.unreadable.empty()) {
        m_log.important("server.word_unreadable")
            .add("id", id)
            .add("server", server)
            .add("field", meta.unreadable);
    }
    if (!meta.leaving && meta.pause <= millis{}) {
        return;
    }
    const bool newlyLeaving = meta.leaving && recordLeaving(m_notices, incarnation, bootNow());
    const bool newPause = recordPause(m_notices, incarnation, m_settings.node, meta.pause, bootNow());
    m_log.important("server.says")
        .add("id", id)
        .add("server", server)
        .add("start", incarnation)
        .add("leaving", meta.leaving ? 1 : 0)
        .add("pause_ms", meta.pause)
        .add("news", newlyLeaving || newPause ? 1 : 0);
    if (!newlyLeaving && !newPause) {
        return;
    }
    m_bus.post(server_closed{server});
    const auto owner = m_store.view().serverOwners.find(server);
    if (owner != m_store.view().serverOwners.end()) {
        sendNotice(
            {server, incarnation, meta.leaving, meta.pause.count, false}, {owner->second.record.node}, 1);
    }
    if (newlyLeaving) {
        const std::vector<std::string> relays = rendezvousOrder(server, reachableDaemons(), noticeRelays);
        sendNotice({server, incarnation, true, 0, true}, relays, sendsToRelays);
    }
}

void server_notice_task::onNotice(const std::string &daemon, const server_notice &notice)
{
    const bool newlyLeaving = notice.leaving && recordLeaving(m_notices, notice.incarnation, bootNow());
    const bool newPause =
        recordPause(m_notices, notice.incarnation, daemon, millis{notice.pauseMs}, bootNow());
    if (!newlyLeaving && !newPause) {
        return;
    }
    m_log.important("server.word_heard")
        .add("server", notice.server)
        .add("start", notice.incarnation)
        .add("from", daemon)
        .add("leaving", notice.leaving ? 1 : 0)
        .add("pause_ms", notice.pauseMs);
    m_bus.post(server_closed{notice.server});
    if (newlyLeaving && notice.relay) {
        broadcastLeaving(notice);
    }
}

/// Notifies all daemons on behalf of a relay, so that they don't have to learn it from a response.
void server_notice_task::broadcastLeaving(const server_notice &notice)
{
    sendNotice({notice.server, notice.incarnation, true, 0, false}, reachableDaemons(), sendsToAll);
}

void server_notice_task::notifyLeaving(const std::string &daemon, const backend_server &server)
{
    if (!m_notices.leaving.empty() && isLeaving(m_notices, incarnationOf(server))) {
        sendNotice({server.id, incarnationOf(server), true, 0, false}, {daemon}, 1);
    }
}

/// All daemons that may be reached, including this one and those whose record has expired.
std::vector<std::string> server_notice_task::reachableDaemons() const
{
    std::vector<std::string> nodes = nodesOf(m_store.view().daemons);
    for (const auto &[node, record] : m_store.view().expiredDaemons) {
        nodes.push_back(node);
    }
    return nodes;
}

void server_notice_task::sendNotice(
    server_notice notice, const std::vector<std::string> &recipients, int sends)
{
    for (const std::string &node : recipients) {
        if (node != m_settings.node) {
            sendToNode(*m_port, m_store, m_settings.node, node, notice);
        } else if (notice.relay) {
            broadcastLeaving(notice);
        }
    }
    if (sends <= 1) {
        return;
    }
    std::vector<std::string> remote = recipients;
    std::erase(remote, m_settings.node);
    m_repeatedNotices.push_back({std::move(notice), std::move(remote), sends - 1});
    if (!m_timer) {
        m_timer = m_loop.timer(resendInterval, resendInterval, [this] {
            resendNotices();
        });
    }
}

void server_notice_task::resendNotices()
{
    for (repeated_notice &each : m_repeatedNotices) {
        --each.sendsLeft;
        for (const std::string &node : each.recipients) {
            sendToNode(*m_port, m_store, m_settings.node, node, each.notice);
        }
    }
    std::erase_if(m_repeatedNotices, [](const repeated_notice &each) {
        return each.sendsLeft <= 0;
    });
}

}
