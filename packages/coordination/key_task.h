#pragma once

#include "coordination/events.h"
#include "coordination/key_journal.h"
#include "transport/bus.h"

#include <memory>
#include <string>
#include <vector>

namespace briarhead {

/// The task that serves the idempotency keys whose home is this daemon, that is, the first by rendezvous hash
/// over the daemons of keyHomeCandidates(). Other daemons' requests for a key get the state NotHome.
class key_task
{
public:
    key_task(bus &messages, loop &eventLoop, std::string self);

private:
    bus &m_bus;
    std::string m_self;
    key_journal m_journal;
    std::vector<std::string> m_candidates;
    std::shared_ptr<void> m_timer;
};

/// The names of the daemons that may be home of a key: alive or suspect, not leaving.
std::vector<std::string> keyHomeCandidates(const std::vector<member> &members);

}
