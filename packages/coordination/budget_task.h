#pragma once

#include "coordination/events.h"
#include "coordination/load_order.h"
#include "transport/bus.h"

#include <memory>

namespace briarhead {

/// The task that brokers the weight store's shared load budget while this daemon is the first by rendezvous
/// hash for it: it queues the daemons' load requests and grants them within the configured rate and
/// concurrency. Every daemon runs it. While daemons disagree on who the broker is, the store may be loaded at
/// twice its rate and slows down; safety is not affected, so the broker needs no lease.
class budget_task
{
public:
    budget_task(bus &messages, loop &eventLoop);

private:
    void grantWaiting();

    bus &m_bus;
    load_budget m_budget;
    config_ptr m_config;
    std::shared_ptr<void> m_timer;
};

}
