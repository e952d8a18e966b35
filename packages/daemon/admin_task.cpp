#include "daemon/admin_task.h"

#include "daemon/responses.h"
#include "state/burn.h"
#include "state/clock.h"
#include "state/key_hash.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

using json = nlohmann::json;

constexpr millis peerTimeout{1'000};

void respondJson(http_reply &reply, int status, const json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}},
        body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

std::string queryParameter(const http_request &request, const char *name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

}

admin_task::admin_task(
    bus &messages, loop &eventLoop, config_task &configuration, metrics &daemonMetrics, options taskOptions)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_configuration(configuration)
    , m_metrics(daemonMetrics)
    , m_options(std::move(taskOptions))
{
    m_bus.on<config_changed>([this](const config_changed &event) {
        m_config = event.current;
    });
    m_bus.on<members_changed>([this](const members_changed &event) {
        m_members = event.members;
    });
    m_bus.on<received<status_response>>([this](const received<status_response> &event) {
        const auto found = m_queries.find(event.body.id);
        if (found == m_queries.end()) {
            return;
        }
        found->second.responses[event.from] = event.body.json;
        if (found->second.responses.size() >= found->second.expected) {
            finishQuery(event.body.id);
        }
    });
    m_bus.on<received<status_request>>([this](const received<status_request> &event) {
        if (event.body.part == "burn" && m_config) {
            m_bus.post(send_to{
                event.from, status_response{event.body.id, burnJson(m_metrics, *m_config, bootNow())}});
        }
    });
}

bool admin_task::handlesPath(const std::string &path)
{
    return path == "/healthz" || path == "/readyz" || path == "/metrics" || path.rfind("/admin/", 0) == 0;
}

void admin_task::onRequest(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    if (request.path == "/healthz") {
        reply->respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
        return;
    }
    if (request.path == "/readyz") {
        const bool ready = m_options.ready();
        reply->respond(
            ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n");
        return;
    }
    if (request.path == "/metrics") {
        reply->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_options.metricsText());
        return;
    }
    const auto header = request.headers.find("authorization");
    const std::string authorization = header == request.headers.end() ? "" : header->second;
    const std::string hash = authorization.rfind("Bearer ", 0) == 0 ? keyHash(authorization.substr(7)) : "";
    const auto &knownHashes = m_options.operatorKeyHashes;
    if (hash.empty() || std::find(knownHashes.begin(), knownHashes.end(), hash) == knownHashes.end()) {
        respondError(*reply,
            {outcome::NotRun, {error_kind::Unauthorised, "Authorization", "no known operator's key"}, {}});
        return;
    }
    if (request.path == "/admin/patch" && request.method == "POST") {
        handlePatch(request, reply);
    } else if (request.path == "/admin/drain" && request.method == "POST") {
        handleDrain(request, reply);
    } else if (request.path == "/admin/config") {
        showConfig(request, reply);
    } else if (request.path == "/admin/history") {
        showHistory(request, reply);
    } else if (request.path == "/admin/instances") {
        showInstances(reply);
    } else if (request.path == "/admin/servers" || request.path == "/admin/adapters"
        || request.path == "/admin/burn") {
        showFromPeers(request.path.substr(std::string("/admin/").size()), request, reply);
    } else {
        respondError(*reply, {outcome::NotRun, {error_kind::BadRequest, request.path, "no such page"}, {}});
    }
}

// ---- pages collected from all daemons

void admin_task::queryPeers(
    const std::string &page, std::function<void(const peer_responses &, std::size_t expected)> onComplete)
{
    const std::uint64_t id = m_nextQueryId++;
    peer_query &query = m_queries[id];
    query.onComplete = std::move(onComplete);
    for (const member &peer : m_members) {
        if (peer.state != peer_state::Dead) {
            ++query.expected;
            m_bus.post(send_to{peer.name, status_request{id, page}});
        }
    }
    query.timer = m_loop.timer(peerTimeout, {}, [this, id] {
        finishQuery(id);
    });
}

void admin_task::finishQuery(std::uint64_t id)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end()) {
        return;
    }
    const peer_query query = std::move(found->second);
    m_queries.erase(found);
    query.onComplete(query.responses, query.expected);
}

void admin_task::showFromPeers(
    const std::string &page, const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    queryPeers(page,
        [page, reply, name = queryParameter(request, "name")](
            const peer_responses &responses, std::size_t expected) {
            if (page == "burn") {
                std::vector<std::string> reports;
                for (const auto &[peer, text] : responses) {
                    reports.push_back(text);
                }
                reports.resize(expected); // empty reports for the instances that did not respond
                reply->respond(200, {{"Content-Type", "application/json"}},
                    mergeBurn(reports, static_cast<std::uint32_t>(expected)));
                return;
            }
            json list = json::array();
            for (const auto &[peer, text] : responses) {
                const json rows = json::parse(text, nullptr, false);
                for (const json &row : rows.is_array() ? rows : json::array()) {
                    const std::string adapter = row.value("adapter", "");
                    if (name.empty() || adapter.substr(0, adapter.rfind(':')) == name) {
                        list.push_back(row);
                    }
                }
            }
            respondJson(*reply, 200,
                {{page, std::move(list)}, {"instances_answered", responses.size()},
                    {"instances_known", expected}});
        });
}

void admin_task::showInstances(const std::shared_ptr<http_reply> &reply)
{
    queryPeers("servers", [this, reply](const peer_responses &responses, std::size_t) {
        json list = json::array();
        for (const member &peer : m_members) {
            json row{{"name", peer.name}, {"failure_domain", peer.failureDomain},
                {"state", nameOf(peer.state)}, {"config_version", peer.configVersion},
                {"incarnation", peer.incarnation}};
            if (peer.name == m_options.self && m_config) {
                row["config_version"] = m_config->version;
            }
            if (const auto found = responses.find(peer.name); found != responses.end()) {
                const json rows = json::parse(found->second, nullptr, false);
                row["owned"] = rows.is_array() ? rows.size() : 0;
            }
            list.push_back(std::move(row));
        }
        respondJson(
            *reply, 200, {{"instances", std::move(list)}, {"version", m_config ? m_config->version : 0}});
    });
}

void admin_task::handleDrain(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    const json body = json::parse(request.body, nullptr, false);
    const bool isServer = body.is_object() && body.contains("server") && body["server"].is_string();
    const bool isInstance = body.is_object() && body.contains("instance") && body["instance"].is_string();
    if (isServer == isInstance) {
        respondError(*reply,
            {outcome::NotRun,
                {error_kind::BadRequest, "body", "not an object with either a 'server' or an 'instance'"},
                {}});
        return;
    }
    const bool undo = body.contains("undo") && body["undo"].is_boolean() && body["undo"].get<bool>();
    const std::string name = body[isServer ? "server" : "instance"];
    if (isInstance && undo) {
        respondError(*reply,
            {outcome::NotRun,
                {error_kind::BadRequest, "undo",
                    "an instance that shuts down can't be called back; start it anew"},
                {}});
        return;
    }
    std::size_t notified = 0;
    for (const member &peer : m_members) {
        if (peer.state != peer_state::Dead && (isServer || peer.name == name)) {
            ++notified;
            m_bus.post(send_to{peer.name, drain_request{isServer ? name : "", !undo}});
        }
    }
    if (notified == 0) {
        respondError(*reply,
            {outcome::NotRun, {error_kind::BadRequest, "instance", "'" + name + "' is not known"}, {}});
        return;
    }
    spdlog::info("admin: Drain of {} {}.", name, undo ? "undone" : "ordered");
    respondJson(*reply, 200, {{"told", notified}});
}

}
