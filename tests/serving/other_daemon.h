#pragma once

#include "protocol/codec.h"
#include "scheduling/observed_server.h"
#include "serving/edge_fixture.h"
#include "serving/fleet_port.h"

#include <limits>
#include <variant>
#include <vector>

namespace briarhead {

/// Simulates another daemon: it is registered in the store, owns a server, and sends and receives datagrams.
class other_daemon
{
public:
    other_daemon(fake_store &store, loop &eventLoop, const peer_address &to, const std::string &node,
        const std::string &server)
        : m_to(to)
        , m_node(node)
    {
        const peer_address own{http_testing::loopback, http_testing::freePort()};
        store.put("briarhead/daemon/" + node, encode(daemon_record{node, own.ip, own.port, "z", 1}));
        m_heartbeat.server = server;
        m_heartbeat.modelLoaded = true;
        m_heartbeat.fence = static_cast<std::uint64_t>(
            store.put("briarhead/orderer/" + server, encode(ownership_record{node, 1, 1'000})));
        error why;
        m_port = fleet_port::open(
            eventLoop, own,
            [this](const fleet_datagram &datagram, const peer_address &) {
                onDatagram(datagram);
            },
            why);
    }
    void sendHeartbeat()
    {
        fleet_heartbeat heartbeat{false, {m_heartbeat}};
        heartbeat.limits = limits;
        m_port->send(m_to, {m_node, 1, heartbeat});
    }
    /// Sends a heartbeat as the server's newest owner, with the highest fencing token.
    void sendHeartbeatAsSuccessor(const std::string &server)
    {
        server_heartbeat heartbeat = m_heartbeat;
        heartbeat.server = server;
        heartbeat.fence = std::numeric_limits<std::uint32_t>::max();
        m_port->send(m_to, {m_node, 1, fleet_heartbeat{false, {heartbeat}}});
    }
    void setResident(const std::string &adapter)
    {
        m_heartbeat.adapters = {{adapterHash(adapter), false, 0}};
    }
    void sendSlotRequest(const std::string &server)
    {
        sendSlotRequestAs("x", server);
    }
    void sendSlotRequestAs(const std::string &id, const std::string &server)
    {
        slot_request request;
        request.id = id;
        request.server = server;
        request.model = model;
        request.promptTokens = 100;
        request.waitMs = 500;
        request.deadlineMs = 1'000;
        request.targetMs = 1'000;
        m_port->send(m_to, {m_node, 1, request});
    }
    void send(const auto &message)
    {
        m_port->send(m_to, {m_node, 1, message});
    }
    std::string model = "m0"; ///< named in its slot requests
    int heartbeatsReceived = 0; ///< of the type that older builds know
    int extendedHeartbeatsReceived = 0;
    int responsesReceived = 0;
    std::vector<limit_heartbeat> limits; ///< sent in its heartbeats
    std::vector<limit_heartbeat> limitsReceived; ///< from the latest heartbeat that had any
    std::vector<slot_request> slotRequests;
    std::vector<limit_report> limitReports;
    std::vector<slot_report> slotEvents;
    std::vector<running_request> running;
    std::vector<server_notice> notices;
    std::vector<plain_load> plainLoads; ///< from the latest load heartbeat
    slot_response lastResponse;

private:
    void onDatagram(const fleet_datagram &datagram)
    {
        if (const auto *heartbeat = std::get_if<fleet_heartbeat>(&datagram.body)) {
            ++heartbeatsReceived;
            limitsReceived = heartbeat->limits.empty() ? limitsReceived : heartbeat->limits;
        } else if (const auto *response = std::get_if<slot_response>(&datagram.body)) {
            ++responsesReceived;
            lastResponse = *response;
        } else if (const auto *request = std::get_if<slot_request>(&datagram.body)) {
            slotRequests.push_back(*request);
        } else if (const auto *extended = std::get_if<extended_slot_request>(&datagram.body)) {
            slotRequests.push_back(extended->request);
        } else if (const auto *limitReport = std::get_if<limit_report>(&datagram.body)) {
            limitReports.push_back(*limitReport);
        } else if (const auto *slotEvent = std::get_if<slot_report>(&datagram.body)) {
            slotEvents.push_back(*slotEvent);
        } else if (const auto *run = std::get_if<running_request>(&datagram.body)) {
            running.push_back(*run);
        } else if (const auto *notice = std::get_if<server_notice>(&datagram.body)) {
            notices.push_back(*notice);
        } else if (const auto *loads = std::get_if<extended_heartbeat>(&datagram.body)) {
            ++extendedHeartbeatsReceived;
            plainLoads = loads->loads.plainServers;
        }
    }

    peer_address m_to;
    std::string m_node;
    server_heartbeat m_heartbeat;
    std::unique_ptr<fleet_port> m_port;
};

}
