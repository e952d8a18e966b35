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

/// The task that faces operators and the platform: health, readiness, metrics, the configuration and the
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

    admin_task(bus &messages, loop &eventLoop, config_task &configuration, metrics &counts, options given);

    /// Whether this task answers the path: /healthz, /readyz, /metrics and all under /admin/.
    static bool concerns(const std::string &path);
    void onRequest(const http_request &request, const std::shared_ptr<http_reply> &reply);

private:
    /// Answers of peers to one question, by instance.
    using answers = std::map<std::string, std::string>;
    /// One question under way.
    struct question
    {
        answers got;
        std::size_t wanted = 0;
        std::function<void(const answers &, std::size_t wanted)> done;
        std::shared_ptr<void> timer;
    };

    void ask(const std::string &part, std::function<void(const answers &, std::size_t wanted)> done);
    void finish(std::uint64_t id);
    void patch(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void showConfig(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void showHistory(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void instances(const std::shared_ptr<http_reply> &reply);
    void collected(
        const std::string &part, const http_request &request, const std::shared_ptr<http_reply> &reply);
    void drain(const http_request &request, const std::shared_ptr<http_reply> &reply);

    bus &m_bus;
    loop &m_loop;
    config_task &m_configuration;
    metrics &m_metrics;
    options m_options;
    config_ptr m_config;
    std::vector<member> m_members;
    std::map<std::uint64_t, question> m_questions;
    std::uint64_t m_nextQuestion = 1;
};

}
