#pragma once

#include "transport/loop.h"

#include <any>
#include <functional>
#include <typeindex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarhead {

/// Delivers typed messages between the tasks of one process. A task owns its state and sockets, and other
/// tasks interact with it only through messages. Messages are queued on the loop and delivered in order, so
/// handlers never nest.
class bus
{
public:
    explicit bus(loop &eventLoop)
        : m_loop(eventLoop)
    {
    }

    /// Registers a handler for all messages of type `message`. Handlers cannot be removed.
    template <class message>
    void on(std::function<void(const message &)> handler)
    {
        m_handlers[typeid(message)].push_back([typedHandler = std::move(handler)](const std::any &payload) {
            typedHandler(std::any_cast<const message &>(payload));
        });
    }

    /// Queues a message for all handlers of its type.
    template <class message>
    void post(message value)
    {
        m_loop.post([this, payload = std::any(std::move(value))] {
            const auto found = m_handlers.find(payload.type());
            if (found == m_handlers.end()) {
                return;
            }
            for (const auto &handler : found->second) {
                handler(payload);
            }
        });
    }

private:
    loop &m_loop;
    std::unordered_map<std::type_index, std::vector<std::function<void(const std::any &)>>> m_handlers;
};

}
