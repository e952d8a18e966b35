#pragma once

#include "coordination/config_task.h"
#include "coordination/events.h"
#include "daemon/metrics.h"
#include "transport/bus.h"
#include "transport/http_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarhead {

/// The task that serves operators and the platform: health, readiness, metrics, the configuration, and the
/// state of the whole region, which it collects from its peers.
class admin_task
{
public:
    struct options
    {
        std::string self;
        std::vector<std::string> operatorKeyHashes;
        std::function<bool()> ready;
        std::function<std::string()> metricsText;
    };

    admin_task(bus &messages, loop &eventLoop, config_task &configuration, metrics &daemonMetrics,
        options taskOptions);

    /// Whether this task serves the path: /healthz, /readyz, /metrics and everything under /admin/.
    static bool handlesPath(const std::string &path);
    void onRequest(const http_request &request, const std::shared_ptr<http_reply> &reply);

private:
    /// JSON texts by instance.
    using peer_responses = std::map<std::string, std::string>;
    /// A status request to all daemons that awaits their responses.
    struct peer_query
    {
        peer_responses responses;
        std::size_t expected = 0; ///< number of daemons that the request was sent to
        std::function<void(const peer_responses &, std::size_t expected)> onComplete;
        std::shared_ptr<void> timer;
    };

    /// Requests a page from all daemons that are not dead. `onComplete` is called once all have responded or
    /// the timeout has passed, with the responses that arrived.
    void queryPeers(const std::string &page,
        std::function<void(const peer_responses &, std::size_t expected)> onComplete);
    void finishQuery(std::uint64_t id);
    void handlePatch(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void showConfig(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void showHistory(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void showInstances(const std::shared_ptr<http_reply> &reply);
    /// Serves a page that is merged from the responses of all daemons: "servers", "adapters" or "burn".
    void showFromPeers(
        const std::string &page, const http_request &request, const std::shared_ptr<http_reply> &reply);
    void handleDrain(const http_request &request, const std::shared_ptr<http_reply> &reply);

    bus &m_bus;
    loop &m_loop;
    config_task &m_configuration;
    metrics &m_metrics;
    options m_options;
    config_ptr m_config;
    std::vector<member> m_members;
    std::map<std::uint64_t, peer_query> m_queries; ///< open queries by ID
    std::uint64_t m_nextQueryId = 1;
};

}
