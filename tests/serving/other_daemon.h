#pragma once

#include "protocol/codec.h"
#include "serving/edge_fixture.h"
#include "serving/fleet_port.h"
#include "serving/heard_server.h"

#include <limits>
#include <variant>
#include <vector>

namespace briarhead {

/// Another daemon, as far as this one hears of it: it lives by the store, holds the record of a server, and
/// is heard when it beats.
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
        m_beat.server = server;
        m_beat.modelLoaded = true;
        m_beat.fence = static_cast<std::uint64_t>(
            store.put("briarhead/orderer/" + server, encode(ownership_record{node, 1, 1'000})));
        error why;
        m_port = fleet_port::open(
            eventLoop, own,
            [this](const fleet_datagram &datagram, const peer_address &) {
                hear(datagram);
            },
            why);
    }
    void beat()
    {
        fleet_heartbeat beat{false, {m_beat}};
        beat.limits = limits;
        m_port->send(m_to, {m_node, 1, beat});
    }
    /// As the daemon that took a server's record later than any other.
    void beatAsSuccessor(const std::string &server)
    {
        server_heartbeat beat = m_beat;
        beat.server = server;
        beat.fence = std::numeric_limits<std::uint32_t>::max();
        m_port->send(m_to, {m_node, 1, fleet_heartbeat{false, {beat}}});
    }
    void setResident(const std::string &adapter)
    {
        m_beat.adapters = {{adapterHash(adapter), false, 0}};
    }
    void ask(const std::string &server)
    {
        askAs("x", server);
    }
    void askAs(const std::string &id, const std::string &server)
    {
        slot_request ask;
        ask.id = id;
        ask.server = server;
        ask.model = "m0";
        ask.promptTokens = 100;
        ask.waitMs = 500;
        ask.deadlineMs = 1'000;
        ask.targetMs = 1'000;
        m_port->send(m_to, {m_node, 1, ask});
    }
    void tell(const auto &news)
    {
        m_port->send(m_to, {m_node, 1, news});
    }
    int beatsHeard = 0;
    int answersHeard = 0;
    std::vector<limit_heartbeat> limits; ///< that its beats tell of
    std::vector<limit_heartbeat> limitsHeard; ///< in the latest beat that told of any
    std::vector<slot_request> asksHeard;
    std::vector<limit_report> notesHeard;
    std::vector<slot_report> placeNotesHeard;
    std::vector<server_notice> wordsHeard;
    slot_response lastAnswer;

private:
    void hear(const fleet_datagram &datagram)
    {
        if (const auto *beat = std::get_if<fleet_heartbeat>(&datagram.body)) {
            ++beatsHeard;
            limitsHeard = beat->limits.empty() ? limitsHeard : beat->limits;
        } else if (const auto *answer = std::get_if<slot_response>(&datagram.body)) {
            ++answersHeard;
            lastAnswer = *answer;
        } else if (const auto *ask = std::get_if<slot_request>(&datagram.body)) {
            asksHeard.push_back(*ask);
        } else if (const auto *note = std::get_if<limit_report>(&datagram.body)) {
            notesHeard.push_back(*note);
        } else if (const auto *placeNote = std::get_if<slot_report>(&datagram.body)) {
            placeNotesHeard.push_back(*placeNote);
        } else if (const auto *words = std::get_if<server_notice>(&datagram.body)) {
            wordsHeard.push_back(*words);
        }
    }

    peer_address m_to;
    std::string m_node;
    server_heartbeat m_beat;
    std::unique_ptr<fleet_port> m_port;
};

}
