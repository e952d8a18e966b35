// What the owner task tells operators, as JSON.
#include "coordination/owner_task.h"

#include <nlohmann/json.hpp>

namespace briarhead {

void owner_task::onStatus(const std::string &from, const status_request &ask)
{
    if (ask.part == "servers") {
        m_bus.post(send_to{from, status_response{ask.id, statusServers()}});
    } else if (ask.part == "adapters") {
        m_bus.post(send_to{from, status_response{ask.id, statusAdapters()}});
    }
}

std::string owner_task::statusServers() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, server] : m_servers) {
        if (!server.held) {
            continue;
        }
        list.push_back({{"name", name}, {"owner", m_options.self}, {"fencing", server.fencing},
            {"role", server.role}, {"failure_domain", server.where.failureDomain}, {"slots", server.slots},
            {"used", usedSlots(server)}, {"in_flight", server.inFlight}, {"batch_limit", server.batchLimit},
            {"waiting", server.waiting}, {"leaving", leaves(server)}, {"pause_ms", pauseOf(server).count},
            {"draining", server.draining}, {"checks_fencing", server.checksFencing}});
    }
    return list.dump();
}

std::string owner_task::statusAdapters() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, server] : m_servers) {
        for (const auto &[ref, where] : server.adapters) {
            if (!server.held || !(where.resident || where.loading)) {
                continue;
            }
            list.push_back({{"adapter", toString(ref)}, {"server", name}, {"owner", m_options.self},
                {"in_flight", where.inFlight}, {"state", where.resident ? "resident" : "loading"}});
        }
    }
    return list.dump();
}

}
