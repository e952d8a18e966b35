#include "coordination/membership_task.h"

#include <spdlog/spdlog.h>

#include <random>
#include <utility>

namespace briarhead {

namespace {

constexpr std::int64_t ticksPerProbeInterval = 5;

}

membership_task::membership_task(bus &messages, loop &eventLoop, peer_link &link, live_list &list,
    membership initial, millis liveListInterval)
    : m_bus(messages)
    , m_link(link)
    , m_list(list)
    , m_state(std::move(initial))
{
    // With equal seeds, daemons that start together would all probe the same peer at the same time.
    m_state.random.seed(std::random_device{}());
    m_bus.on<announce_version>([this](const announce_version &update) {
        send(announceVersion(m_state, update.version));
    });
    m_bus.on<drain_began>([this](const drain_began &) {
        spdlog::info("members: this instance is leaving; notifying peers.");
        send(announceLeaving(m_state));
        postChanges();
    });
    const millis tickInterval{m_state.tuning.probeInterval.count / ticksPerProbeInterval};
    m_tickTimer = eventLoop.timer({}, tickInterval, [this] {
        onTick();
    });
    m_listTimer = eventLoop.timer({}, liveListInterval, [this] {
        pollList();
    });
}

void membership_task::onDatagram(const peer_address &from, const peer_datagram &datagram)
{
    std::optional<peer_version_seen> newerVersion;
    send(handleDatagram(m_state, from, datagram, bootNow(), newerVersion));
    if (newerVersion) {
        m_bus.post(*newerVersion);
    }
}

void membership_task::onTick()
{
    send(tick(m_state, bootNow()));
    postChanges();
}

void membership_task::pollList()
{
    // One poll at a time: two responses out of order would replace a newer list by an older one.
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
            spdlog::info("members: the live list responds again.");
        } else {
            spdlog::warn("members: the live list does not respond; tracking peers by probes alone.");
        }
    }
    if (!ok || (m_listReceived && view.revision == m_listRevision)) {
        return;
    }
    m_listReceived = true;
    m_listRevision = view.revision;
    applyLiveList(m_state, view);
    m_bus.post(live_list_changed{view});
    postChanges();
}

void membership_task::send(const std::vector<outgoing_datagram> &datagrams)
{
    for (const outgoing_datagram &outgoing : datagrams) {
        m_link.sendDatagram(outgoing.to, outgoing.datagram);
    }
}

void membership_task::postChanges()
{
    if (m_hasPosted && !m_state.changed) {
        return;
    }
    m_hasPosted = true;
    m_state.changed = false;
    std::vector<member> members = membersOf(m_state);
    logChanges(members);
    m_bus.post(members_changed{std::move(members)});
}

void membership_task::logChanges(const std::vector<member> &members)
{
    std::map<std::string, member> current;
    for (const member &peer : members) {
        const auto previous = m_logged.find(peer.name);
        if (previous == m_logged.end()) {
            spdlog::info("members: {} is new; state {}.", peer.name, nameOf(peer.state));
        } else if (previous->second.state != peer.state) {
            spdlog::info("members: {} is {}.", peer.name, nameOf(peer.state));
        } else if (previous->second.incarnation != 0 && previous->second.incarnation != peer.incarnation) {
            spdlog::info("members: {} has a new process.", peer.name);
        }
        current.emplace(peer.name, peer);
    }
    for (const auto &[name, loggedPeer] : m_logged) {
        if (!current.contains(name)) {
            spdlog::info("members: {} is forgotten: dead and off the live list.", name);
        }
    }
    m_logged = std::move(current);
}

}
