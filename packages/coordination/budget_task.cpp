#include "coordination/budget_task.h"

#include "state/clock.h"

namespace briarhead {

namespace {

constexpr std::int64_t tickMs = 20;

}

budget_task::budget_task(bus &messages, loop &eventLoop)
    : m_bus(messages)
{
    m_bus.on<config_changed>([this](const config_changed &change) {
        m_config = change.current;
    });
    m_bus.on<received<load_request>>([this](const received<load_request> &request) {
        requestLoad(m_budget, {request.from, request.body.ticket, request.body.urgency, bootNow()});
        grantWaiting();
    });
    m_bus.on<received<load_release>>([this](const received<load_release> &release) {
        releaseLoad(m_budget, release.from, release.body.ticket);
        grantWaiting();
    });
    m_timer = eventLoop.timer({tickMs}, {tickMs}, [this] {
        if (!m_budget.waiting.empty() || !m_budget.running.empty()) {
            grantWaiting();
        }
    });
}

void budget_task::grantWaiting()
{
    const policy_config policy = m_config ? m_config->policy : policy_config{};
    for (const auto &grant :
        grantLoads(m_budget, policy.storeLoadsPerSecond, policy.storeConcurrency, bootNow())) {
        m_bus.post(send_to{grant.owner, load_grant{grant.ticket}});
    }
}

}
