#pragma once

#include "coordination/events.h"
#include "coordination/load_order.h"
#include "transport/bus.h"

#include <memory>

namespace briarhead {

/// The task that brokers the weight store's shared rate when this daemon is the first by rendezvous hash for
/// it. Every daemon runs it; a wrong belief about who brokers costs rate (the store is asked twice as fast
/// for a while and slows down), never safety, so no lease is needed.
class budget_task
{
public:
    budget_task(bus &messages, loop &eventLoop);

private:
    void give();

    bus &m_bus;
    load_budget m_budget;
    config_ptr m_config;
    std::shared_ptr<void> m_timer;
};

}
