#include "coordination/membership_task.h"

#include <spdlog/spdlog.h>

#include <random>
#include <utility>

namespace briarhead {

namespace {

constexpr std::int64_t ticksPerInterval = 5;

}

membership_task::membership_task(bus &messages, loop &eventLoop, peer_link &link, live_list &list,
    membership initial, millis liveListInterval)
    : m_bus(messages)
    , m_link(link)
    , m_list(list)
    , m_state(std::move(initial))
{
    // Daemons that start together with the same seed would all probe the same peer at the same time.
    m_state.random.seed(std::random_device{}());
    m_bus.on<announce_version>([this](const announce_version &news) {
        send(notice(m_state, news.version));
    });
    m_bus.on<drain_began>([this](const drain_began &) {
        spdlog::info("members: this instance is leaving.");
        send(leave(m_state));
        postChanges();
    });
    const millis tickInterval{m_state.tuning.probeInterval.count / ticksPerInterval};
    m_tickTimer = eventLoop.timer({}, tickInterval, [this] {
        onTick();
    });
    m_listTimer = eventLoop.timer({}, liveListInterval, [this] {
        pollList();
    });
}

void membership_task::onDatagram(const peer_address &from, const peer_datagram &datagram)
{
    std::optional<peer_version_seen> heard;
    send(handle(m_state, from, datagram, bootNow(), heard));
    if (heard) {
        m_bus.post(*heard);
    }
}

void membership_task::onTick()
{
    send(tick(m_state, bootNow()));
    postChanges();
}

void membership_task::pollList()
{
    // One poll at a time: two answers out of order would show an old list after a new one.
    if (m_polling) {
        return;
    }
    m_polling = true;
    m_list.poll([this](const live_view &view, bool ok) {
        m_polling = false;
        onList(view, ok);
    });
}

void membership_task::onList(const live_view &view, bool ok)
{
    if (ok == m_listDown) {
        m_listDown = !ok;
        if (ok) {
            spdlog::info("members: the live list answers again.");
        } else {
            spdlog::warn("members: the live list doesn't answer. Peers are followed by probes alone.");
        }
    }
    if (!ok || (m_listHeard && view.revision == m_listRevision)) {
        return;
    }
    m_listHeard = true;
    m_listRevision = view.revision;
    applyLiveList(m_state, view);
    m_bus.post(live_list_changed{view});
    postChanges();
}

void membership_task::send(const std::vector<outgoing> &datagrams)
{
    for (const outgoing &each : datagrams) {
        m_link.datagram(each.to, each.datagram);
    }
}

void membership_task::postChanges()
{
    if (m_everPosted && !m_state.changed) {
        return;
    }
    m_everPosted = true;
    m_state.changed = false;
    std::vector<member> members = membersOf(m_state);
    logChanges(members);
    m_bus.post(members_changed{std::move(members)});
}

void membership_task::logChanges(const std::vector<member> &members)
{
    std::map<std::string, member> now;
    for (const member &each : members) {
        const auto before = m_logged.find(each.name);
        if (before == m_logged.end()) {
            spdlog::info("members: {} is new, {}.", each.name, nameOf(each.state));
        } else if (before->second.state != each.state) {
            spdlog::info("members: {} is {}.", each.name, nameOf(each.state));
        } else if (before->second.incarnation != 0 && before->second.incarnation != each.incarnation) {
            spdlog::info("members: {} has a new process.", each.name);
        }
        now.emplace(each.name, each);
    }
    for (const auto &[name, gone] : m_logged) {
        if (!now.contains(name)) {
            spdlog::info("members: {} is forgotten.", name);
        }
    }
    m_logged = std::move(now);
}

}
