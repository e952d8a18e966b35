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
    , m_retention(policy_config{}.idempotencyRetention)
{
    m_bus.on<config_changed>([this](const config_changed &news) {
        m_retention = news.current->policy.idempotencyRetention;
    });
    m_bus.on<members_changed>([this](const members_changed &news) {
        std::vector<std::string> homes = homesOf(news.members);
        if (m_lists.empty() || homes != m_lists.back().homes) {
            m_lists.push_back({bootNow(), std::move(homes)});
        }
    });
    m_bus.on<received<key_begin>>([this](const received<key_begin> &news) {
        key_verdict answer;
        answer.id = news.body.id;
        answer.state = key_state::NotHome;
        if (!m_lists.empty() && rendezvousFirst(news.body.key, m_lists.back().homes) == m_self) {
            m_journal.knowsSince = homeSince(news.body.key);
            answer = beginKey(m_journal, news.body, bootNow());
        }
        m_bus.post(send_to{news.from, answer});
    });
    m_bus.on<received<key_finish>>([this](const received<key_finish> &news) {
        finishKey(m_journal, news.body, bootNow());
    });
    m_timer = eventLoop.timer({expireEveryMs}, {expireEveryMs}, [this] {
        expireKeys(m_journal, bootNow());
        // The list in force at the start of the retention time is still needed.
        while (m_lists.size() > 1 && m_lists[1].since + m_retention < bootNow()) {
            m_lists.pop_front();
        }
    });
}

/// Since when this daemon has been home of the key without a break. Guards against: a daemon dies, its keys
/// move here, a caller repeats a request that had run, and this home, knowing nothing of it, lets it run
/// again. It shows as a doubled order. Asking each list in force within the retention time holds, because
/// only a list that names another home can have sent this key's attempts elsewhere.
millis key_task::homeSince(const std::string &key) const
{
    millis since = m_lists.back().since;
    for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
        if (rendezvousFirst(key, list->homes) != m_self) {
            break;
        }
        since = list->since;
    }
    return since;
}

}
