#pragma once

#include "coordination/events.h"
#include "coordination/membership.h"
#include "transport/bus.h"
#include "transport/live_list.h"
#include "transport/peer_link.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarhead {

/// The task that owns this daemon's membership and polls the platform's live list. Posts members_changed,
/// live_list_changed and peer_version_seen; subscribes to announce_version and drain_began.
class membership_task
{
public:
    /// `initial` must hold self, with its incarnation, and the tuning.
    membership_task(bus &messages, loop &eventLoop, peer_link &link, live_list &list, membership initial,
        millis liveListInterval);

    /// To be called with each datagram that the peer link receives.
    void onDatagram(const peer_address &from, const peer_datagram &datagram);

private:
    void onTick();
    void pollList();
    void onList(const live_view &view, bool ok);
    void send(const std::vector<outgoing_datagram> &datagrams);
    void postChanges();
    void logChanges(const std::vector<member> &members);

    bus &m_bus;
    peer_link &m_link;
    live_list &m_list;
    membership m_state;
    std::map<std::string, member> m_logged; ///< as last written to the log, by name
    bool m_polling = false;
    bool m_listReceived = false;
    bool m_listDown = false;
    std::uint64_t m_listRevision = 0;
    bool m_hasPosted = false;
    std::shared_ptr<void> m_tickTimer;
    std::shared_ptr<void> m_listTimer;
};

}
