#pragma once

#include "protocol/codec.h"
#include "serving/edge_fixture.h"
#include "serving/fault_proxy.h"
#include "serving/remapped_store.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarhead {

/// Another daemon of the process, which reaches the servers by links of its own.
struct peer_daemon
{
    peer_daemon(fake_store &store, const std::string &name)
        : client(store)
        , log(-1, name)
    {
        settings.node = name;
    }
    fake_store_client client;
    remapped_store view{client};
    decision_log log;
    node_settings settings;
    edge_dependencies dependencies;
    std::map<std::string, std::unique_ptr<fault_proxy>> links; ///< by server
    std::unique_ptr<edge_daemon> daemon;
};

inline void setCut(const std::map<std::string, std::unique_ptr<fault_proxy>> &links, link_fault cut)
{
    for (const auto &[id, link] : links) {
        link->setFault(cut);
    }
}

/// The daemons reach the servers by links that can be cut. n1, which callers use, is the first to start.
class edge_fleet_test : public edge_test
{
protected:
    remapped_store m_remapped{m_client};
    std::map<std::string, std::unique_ptr<fault_proxy>> m_links; ///< of n1, by server
    std::vector<std::unique_ptr<peer_daemon>> m_peers;

    edge_fleet_test()
    {
        m_ownStore = &m_remapped;
        m_initialAdapters = {{"m-1", {"a1"}}, {"m-2", {"a1"}}};
        m_beforeDaemon = [this] {
            openLinks(m_links, m_remapped);
        };
    }
    void openLinks(std::map<std::string, std::unique_ptr<fault_proxy>> &links, remapped_store &view)
    {
        for (const auto *servers : {&m_models, &m_plain}) {
            for (const auto &server : *servers) {
                links[server->id] = std::make_unique<fault_proxy>(m_loop, server->port);
                view.ports[server->port] = links[server->id]->port();
            }
        }
    }
    void startPeer(const std::string &name, const std::string &failureDomain)
    {
        m_peers.push_back(std::make_unique<peer_daemon>(m_store, name));
        peer_daemon &peer = *m_peers.back();
        openLinks(peer.links, peer.view);
        peer.settings = m_settings;
        peer.settings.node = name;
        peer.settings.failureDomain = failureDomain;
        for (peer_address *address :
            {&peer.settings.front, &peer.settings.ready, &peer.settings.peers, &peer.settings.metrics}) {
            *address = {http_testing::loopback, http_testing::freePort()};
        }
        peer.dependencies = {&peer.view, platform::recordCodec(), platform::requestCodec(),
            [&peer](error &) {
                return std::optional<node_settings>(peer.settings);
            },
            {}};
        error why;
        peer.daemon = edge_daemon::start(m_loop, peer.settings, peer.dependencies, peer.log, why);
        ASSERT_TRUE(peer.daemon) << message(why);
        ASSERT_TRUE(runUntil([this, name] {
            return m_store.items.count("briarhead/daemon/" + name) == 1;
        }));
        runRounds(1'000);
    }
    void setServerTime(millis span)
    {
        for (auto *servers : {&m_models, &m_plain}) {
            setBehavior(*servers, backend_standin::behavior::Slow);
            for (const auto &server : *servers) {
                server->responseDelay = span;
            }
        }
    }
    bool isOwnedByPeers(const std::string &server) const
    {
        const auto record = m_store.items.find("briarhead/orderer/" + server);
        error why;
        const auto owner =
            record == m_store.items.end() ? std::nullopt : decodeOwnershipRecord(record->second.value, why);
        return owner && !owner->node.empty() && owner->node != m_settings.node;
    }
    /// The value of a metric of the daemon, or -1.
    double metric(const node_settings &settings, const std::string &name)
    {
        const auto scraper = http_testing::raw_socket::connectTo(settings.metrics.port);
        scraper->send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        std::string text;
        EXPECT_TRUE(runUntil([&] {
            return !scraper->receive(text);
        }));
        const std::size_t at = text.find("\nbriarhead_" + name + ' ');
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 12));
    }
    /// Requests that all servers ran, by id.
    std::map<std::string, int> runsById() const
    {
        std::map<std::string, int> runs;
        for (const auto *servers : {&m_models, &m_plain}) {
            for (const auto &server : *servers) {
                for (const front_request &request : server->ran) {
                    const std::string *id = findField(request.head, "X-Briarhead-Request-Id");
                    ++runs[id == nullptr ? "" : *id];
                }
            }
        }
        return runs;
    }
    int mostRunsOfOneRequest() const
    {
        int most = 0;
        for (const auto &[id, count] : runsById()) {
            most = std::max(most, count);
        }
        return most;
    }
};

}
