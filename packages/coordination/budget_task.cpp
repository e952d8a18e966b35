#include "coordination/budget_task.h"

#include "state/clock.h"

namespace briarhead {

namespace {

constexpr std::int64_t tickMs = 20;

}

budget_task::budget_task(bus &messages, loop &eventLoop)
    : m_bus(messages)
{
    m_bus.on<config_changed>([this](const config_changed &news) {
        m_config = news.current;
    });
    m_bus.on<received<load_request>>([this](const received<load_request> &news) {
        askBudget(m_budget, {news.from, news.body.ticket, news.body.urgency, bootNow()});
        give();
    });
    m_bus.on<received<load_release>>([this](const received<load_release> &news) {
        releaseBudget(m_budget, news.from, news.body.ticket);
        give();
    });
    m_timer = eventLoop.timer({tickMs}, {tickMs}, [this] {
        if (!m_budget.waiting.empty() || !m_budget.running.empty()) {
            give();
        }
    });
}

void budget_task::give()
{
    const policy_config policy = m_config ? m_config->policy : policy_config{};
    for (const auto &grant :
        grantBudget(m_budget, policy.storeLoadsPerSecond, policy.storeConcurrency, bootNow())) {
        m_bus.post(send_to{grant.owner, load_grant{grant.ticket}});
    }
}

}
