#include "serving/word_task.h"

#include "coordination/rendezvous.h"
#include "serving/crash_store.h"
#include "serving/fleet_send.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

/// Datagrams get lost: news are told several times, so far apart.
constexpr millis tellAgainEvery{400};
constexpr int timesToHomes = 3;
constexpr int timesToAll = 2;

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
    return access == server_access::Open || (access == server_access::ByTurn && granted);
}

word_task::word_task(
    loop &eventLoop, bus &messages, store_task &store, const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_bus(messages)
    , m_store(store)
    , m_settings(settings)
    , m_log(log)
{
    m_bus.on<view_changed>([this](const view_changed &change) {
        for (const std::string &server : change.removedServers) {
            m_words.limits.erase(server);
        }
    });
}

void word_task::setPort(fleet_port &port)
{
    m_port = &port;
}

named_limits &word_task::limits()
{
    return m_words.limits;
}

bool word_task::anyPauses() const
{
    return !m_words.pauses.empty();
}

server_access word_task::accessOf(const backend_server &server) const
{
    return accessOf(server, m_settings.node);
}

server_access word_task::accessOf(const std::string &server) const
{
    const auto listed = m_store.view().servers.find(server);
    return listed == m_store.view().servers.end() ? server_access::Gone : accessOf(listed->second);
}

server_access word_task::accessOf(const backend_server &server, const std::string &daemon) const
{
    if (server.draining || (!m_words.leaving.empty() && isLeaving(m_words, startOf(server)))) {
        return server_access::Leaving;
    }
    if (pauseLeft(server, daemon) > millis{}) {
        return server_access::Paused;
    }
    return m_words.limits.count(server.id) != 0 ? server_access::ByTurn : server_access::Open;
}

millis word_task::pauseLeft(const backend_server &server, const std::string &daemon) const
{
    return m_words.pauses.empty() ? millis{}
                                  : briarhead::pauseLeft(m_words, startOf(server), daemon, bootNow());
}

void word_task::hear(
    const std::string &id, const std::string &server, const std::string &start, const answer_meta &meta)
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
    const bool leaves = meta.leaving && hearLeaving(m_words, start, bootNow());
    const bool pauses = hearPause(m_words, start, m_settings.node, meta.pause, bootNow());
    m_log.important("server.says")
        .add("id", id)
        .add("server", server)
        .add("start", start)
        .add("leaving", meta.leaving ? 1 : 0)
        .add("pause_ms", meta.pause)
        .add("news", leaves || pauses ? 1 : 0);
    if (!leaves && !pauses) {
        return;
    }
    m_bus.post(server_closed{server});
    const auto holder = m_store.view().serverOwners.find(server);
    if (holder != m_store.view().serverOwners.end()) {
        tell({server, start, meta.leaving, meta.pause.count, false}, {holder->second.record.node}, 1);
    }
    if (leaves) {
        const std::vector<std::string> homes = rendezvousOrder(server, peers(), wordHomes);
        tell({server, start, true, 0, true}, homes, timesToHomes);
    }
}

void word_task::hear(const std::string &daemon, const word_news &news)
{
    const bool leaves = news.leaving && hearLeaving(m_words, news.start, bootNow());
    const bool pauses = hearPause(m_words, news.start, daemon, millis{news.pauseMs}, bootNow());
    if (!leaves && !pauses) {
        return;
    }
    m_log.important("server.word_heard")
        .add("server", news.server)
        .add("start", news.start)
        .add("from", daemon)
        .add("leaving", news.leaving ? 1 : 0)
        .add("pause_ms", news.pauseMs);
    m_bus.post(server_closed{news.server});
    if (leaves && news.relay) {
        spread(news);
    }
}

/// A home's part: all are told, so that they need not send there to hear of it.
void word_task::spread(const word_news &news)
{
    tell({news.server, news.start, true, 0, false}, peers(), timesToAll);
}

void word_task::tellLeaving(const std::string &daemon, const backend_server &server)
{
    if (!m_words.leaving.empty() && isLeaving(m_words, startOf(server))) {
        tell({server.id, startOf(server), true, 0, false}, {daemon}, 1);
    }
}

/// All daemons that may be reached, this one among them.
std::vector<std::string> word_task::peers() const
{
    std::vector<std::string> nodes = nodesOf(m_store.view().daemons);
    for (const auto &[node, record] : m_store.view().expiredDaemons) {
        nodes.push_back(node);
    }
    return nodes;
}

void word_task::tell(word_news news, const std::vector<std::string> &to, int times)
{
    for (const std::string &node : to) {
        if (node != m_settings.node) {
            sendToNode(*m_port, m_store, m_settings.node, node, news);
        } else if (news.relay) {
            spread(news);
        }
    }
    if (times <= 1) {
        return;
    }
    std::vector<std::string> others = to;
    std::erase(others, m_settings.node);
    m_tellings.push_back({std::move(news), std::move(others), times - 1});
    if (!m_timer) {
        m_timer = m_loop.timer(tellAgainEvery, tellAgainEvery, [this] {
            tellAgain();
        });
    }
}

void word_task::tellAgain()
{
    for (telling &each : m_tellings) {
        --each.left;
        for (const std::string &node : each.to) {
            sendToNode(*m_port, m_store, m_settings.node, node, each.news);
        }
    }
    std::erase_if(m_tellings, [](const telling &each) {
        return each.left <= 0;
    });
}

}
