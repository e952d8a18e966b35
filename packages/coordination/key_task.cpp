#include "coordination/key_task.h"

#include "coordination/rendezvous.h"
#include "state/clock.h"

namespace briarhead {

namespace {

constexpr std::int64_t expireEveryMs = 1'000;

}

std::vector<std::string> homesOf(const std::vector<member> &members)
{
    std::vector<std::string> homes;
    for (const member &one : members) {
        if (one.state == peer_state::Alive || one.state == peer_state::Suspect) {
            homes.push_back(one.name);
        }
    }
    return homes;
}

key_task::key_task(bus &messages, loop &eventLoop, std::string self)
    : m_bus(messages)
    , m_self(std::move(self))
{
    m_bus.on<members_changed>([this](const members_changed &news) {
        m_homes = homesOf(news.members);
    });
    m_bus.on<received<key_begin>>([this](const received<key_begin> &news) {
        key_response answer{news.body.id, key_state::NotHome};
        if (rendezvousFirst(news.body.key, m_homes) == m_self) {
            answer = beginKey(m_journal, news.body, bootNow());
        }
        m_bus.post(send_to{news.from, answer});
    });
    m_bus.on<received<key_finish>>([this](const received<key_finish> &news) {
        finishKey(m_journal, news.body, bootNow());
    });
    m_timer = eventLoop.timer({expireEveryMs}, {expireEveryMs}, [this] {
        expireKeys(m_journal, bootNow());
    });
}

}
