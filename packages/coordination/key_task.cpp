#include "coordination/key_task.h"

#include "coordination/rendezvous.h"
#include "state/clock.h"

namespace briarhead {

namespace {

constexpr std::int64_t expireEveryMs = 1'000;

}

std::vector<std::string> keyHomeCandidates(const std::vector<member> &members)
{
    std::vector<std::string> candidates;
    for (const member &daemon : members) {
        if (daemon.state == peer_state::Alive || daemon.state == peer_state::Suspect) {
            candidates.push_back(daemon.name);
        }
    }
    return candidates;
}

key_task::key_task(bus &messages, loop &eventLoop, std::string self)
    : m_bus(messages)
    , m_self(std::move(self))
{
    m_bus.on<members_changed>([this](const members_changed &change) {
        m_candidates = keyHomeCandidates(change.members);
    });
    m_bus.on<received<key_begin>>([this](const received<key_begin> &request) {
        key_response response{request.body.id, key_state::NotHome};
        if (rendezvousFirst(request.body.key, m_candidates) == m_self) {
            response = beginKey(m_journal, request.body, bootNow());
        }
        m_bus.post(send_to{request.from, response});
    });
    m_bus.on<received<key_finish>>([this](const received<key_finish> &report) {
        finishKey(m_journal, report.body, bootNow());
    });
    m_timer = eventLoop.timer({expireEveryMs}, {expireEveryMs}, [this] {
        expireKeys(m_journal, bootNow());
    });
}

}
