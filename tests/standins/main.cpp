#include "standins/engine_standin.h"
#include "standins/kv_standin.h"
#include "standins/live_list_standin.h"
#include "standins/service_standin.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace briarhead;
using nlohmann::json;

/// All stand-ins of one process, made from the configuration:
///   {"kv": {"port": 0, "lease_scale": 1}, "live_list": {"port": 0, "lag_ms": 500},
///    "store": {"port": 0, "loads_per_second": 3},
///    "engines": [{"name": "e1", "port": 0, "count": 12, "failure_domain": "a" or ["a", "b"], "region": "r",
///      "base_model": "base", "slots": 8, "batch_limit": 16, "step_ms": 9, "step_ms_per_sequence": 0,
///      "prefill_steps": 0, "checks_fencing": true, "base_load_ms": 0, "report_lag_ms": 1000,
///      "event_lag_ms": 500}],
///    "services": [{"name": "orders", "service": "orders", "port": 0, "failure_domain": "a", "region": "r"}],
///    "entries": [{"name", "address", "port", "caller_port", "failure_domain", "region"}]}
/// With a count, names get a number from 1, ports count up from a given one, and failure domains take turns.
class standins
{
public:
    standins(loop &eventLoop, const json &config);

    /// Listens everywhere; the ports by name.
    std::optional<json> listen(error &why);

private:
    void addEngines(const json &group);
    void addService(const json &one);
    bool listenAt(standin_server &server, const json &config, json &ports, error &why);
    json lineOf(const standin_server &server, const char *kind, const json &config, std::size_t index) const;

    struct member
    {
        std::unique_ptr<standin_server> server;
        const char *kind;
        const char *group; ///< the key of its ports in the ready line
        json config;
        std::size_t index; ///< in its group, from 0
    };

    loop &m_loop;
    json m_config;
    std::unique_ptr<kv_standin> m_kv;
    weight_store_standin m_store;
    live_list_standin m_liveList;
    std::vector<member> m_members;
};

json section(const json &config, const char *name)
{
    return config.value(name, json::object());
}

standins::standins(loop &eventLoop, const json &config)
    : m_loop(eventLoop)
    , m_config(config)
    , m_store(eventLoop, section(config, "store").value("loads_per_second", 3.0))
    , m_liveList(eventLoop, {section(config, "live_list").value("lag_ms", std::int64_t{500})})
{
    for (const json &group : config.value("engines", json::array())) {
        addEngines(group);
    }
    for (const json &one : config.value("services", json::array())) {
        addService(one);
    }
}

void standins::addEngines(const json &group)
{
    engine_options options;
    options.baseModel = group.value("base_model", options.baseModel);
    options.slots = group.value("slots", options.slots);
    options.batch.limit = group.value("batch_limit", options.batch.limit);
    options.batch.stepMs = group.value("step_ms", options.batch.stepMs);
    options.batch.stepMsPerSequence = group.value("step_ms_per_sequence", options.batch.stepMsPerSequence);
    options.batch.prefillSteps = group.value("prefill_steps", options.batch.prefillSteps);
    options.checksFencing = group.value("checks_fencing", options.checksFencing);
    options.baseLoad = {group.value("base_load_ms", options.baseLoad.count)};
    options.reportLag = {group.value("report_lag_ms", options.reportLag.count)};
    options.eventLag = {group.value("event_lag_ms", options.eventLag.count)};
    const auto count = group.value("count", std::size_t{1});
    for (std::size_t i = 0; i < count; ++i) {
        options.name = group.value("name", "e") + (group.contains("count") ? std::to_string(i + 1) : "");
        auto engine = std::make_unique<engine_standin>(m_loop, options, &m_store);
        m_members.push_back({std::move(engine), "engine", "engines", group, i});
    }
}

void standins::addService(const json &one)
{
    const auto service = one.value("service", one.at("name").get<std::string>());
    m_members.push_back({std::make_unique<service_standin>(m_loop, service), "service", "services", one, 0});
}

bool standins::listenAt(standin_server &server, const json &config, json &ports, error &why)
{
    if (!server.listen(config.value("port", std::uint16_t{0}), why)) {
        return false;
    }
    ports = server.port();
    return true;
}

json standins::lineOf(
    const standin_server &server, const char *kind, const json &config, std::size_t index) const
{
    json failureDomain = config.value("failure_domain", json(""));
    if (failureDomain.is_array() && !failureDomain.empty()) {
        failureDomain = failureDomain[index % failureDomain.size()];
    }
    const bool isEngine = std::string_view(kind) == "engine";
    const std::string service = isEngine ? config.value("base_model", "base") : server.name();
    return {{"name", isEngine ? server.name() : config.value("name", server.name())}, {"kind", kind},
        {"region", config.value("region", "")}, {"failure_domain", failureDomain}, {"address", "127.0.0.1"},
        {"port", server.port()}, {"service", service}, {"leaving", false}};
}

std::optional<json> standins::listen(error &why)
{
    json ports = json::object();
    const json kv = section(m_config, "kv");
    kv_standin_options options;
    options.port = kv.value("port", options.port);
    options.leaseScale = kv.value("lease_scale", options.leaseScale);
    m_kv = kv_standin::start(m_loop, options, why);
    if (!m_kv || !listenAt(m_liveList, section(m_config, "live_list"), ports["live_list"], why)
        || !listenAt(m_store, section(m_config, "store"), ports["store"], why)) {
        return std::nullopt;
    }
    ports["kv"] = m_kv->port();
    std::vector<json> lines;
    for (const member &one : m_members) {
        json at = one.config;
        const auto port = at.value("port", std::size_t{0});
        at["port"] = port == 0 ? 0 : port + one.index;
        json listening;
        if (!listenAt(*one.server, at, listening, why)) {
            return std::nullopt;
        }
        lines.push_back(lineOf(*one.server, one.kind, one.config, one.index));
        ports[one.group][lines.back()["name"].get<std::string>()] = listening;
    }
    for (json entry : m_config.value("entries", json::array())) {
        entry["kind"] = "entry";
        lines.push_back(std::move(entry));
    }
    m_liveList.change(lines, {});
    m_liveList.settle();
    return ports;
}

int run(const json &config)
{
    loop eventLoop;
    standins all(eventLoop, config);
    error why;
    const auto ports = all.listen(why);
    if (!ports) {
        std::cerr << message(why) << '\n';
        return EXIT_FAILURE;
    }
    std::cout << ports->dump() << std::endl;
    const auto stop = [&eventLoop] {
        eventLoop.stop();
    };
    const auto onTerm = eventLoop.onSignal(SIGTERM, stop);
    const auto onInterrupt = eventLoop.onSignal(SIGINT, stop);
    eventLoop.run();
    return EXIT_SUCCESS;
}

}

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: briarhead_standins CONFIG.json\n";
        return EXIT_FAILURE;
    }
    std::ifstream file(argv[1]);
    try {
        return run(json::parse(file));
    } catch (const std::exception &problem) {
        std::cerr << argv[1] << ": " << problem.what() << '\n';
        return EXIT_FAILURE;
    }
}
