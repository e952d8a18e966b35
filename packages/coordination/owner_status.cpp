// The owner task's status for operators, as JSON.
#include "coordination/owner_task.h"

#include <nlohmann/json.hpp>

namespace briarhead {

void owner_task::onStatus(const std::string &from, const status_request &request)
{
    if (request.part == "servers") {
        m_bus.post(send_to{from, status_response{request.id, statusServers()}});
    } else if (request.part == "adapters") {
        m_bus.post(send_to{from, status_response{request.id, statusAdapters()}});
    }
}

std::string owner_task::statusServers() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, server] : m_servers) {
        if (!server.isOwned) {
            continue;
        }
        list.push_back({{"name", name}, {"owner", m_options.self}, {"fencing", server.fencingToken},
            {"role", server.role}, {"failure_domain", server.instance.failureDomain}, {"slots", server.slots},
            {"used", usedSlots(server)}, {"in_flight", server.inFlight}, {"batch_limit", server.batchLimit},
            {"waiting", server.waiting}, {"leaving", isServerLeaving(server)},
            {"pause_ms", remainingPause(server).count}, {"draining", server.draining},
            {"checks_fencing", server.checksFencing}});
    }
    return list.dump();
}

std::string owner_task::statusAdapters() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, server] : m_servers) {
        for (const auto &[ref, slot] : server.adapters) {
            if (!server.isOwned || !(slot.resident || slot.loading)) {
                continue;
            }
            list.push_back({{"adapter", toString(ref)}, {"server", name}, {"owner", m_options.self},
                {"in_flight", slot.inFlight}, {"state", slot.resident ? "resident" : "loading"}});
        }
    }
    return list.dump();
}

}
