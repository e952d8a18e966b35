#pragma once

#include "transport/loop.h"

#include <any>
#include <functional>
#include <typeindex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarhead {

/// Typed messages between the tasks of one process. A task owns its state and its sockets; others
/// reach it only by a message. Delivery is queued on the loop, in order, so handlers never nest.
class bus
{
public:
    explicit bus(loop &eventLoop)
        : m_loop(eventLoop)
    {
    }

    /// Registers a handler for every message of type `message`.
    template <class message>
    void on(std::function<void(const message &)> handler)
    {
        m_handlers[typeid(message)].push_back([call = std::move(handler)](const std::any &any) {
            call(std::any_cast<const message &>(any));
        });
    }

    /// Queues a message for all handlers of its type.
    template <class message>
    void post(message value)
    {
        m_loop.post([this, any = std::any(std::move(value))] {
            const auto found = m_handlers.find(any.type());
            if (found == m_handlers.end()) {
                return;
            }
            for (const auto &handler : found->second) {
                handler(any);
            }
        });
    }

private:
    loop &m_loop;
    std::unordered_map<std::type_index, std::vector<std::function<void(const std::any &)>>> m_handlers;
};

}
