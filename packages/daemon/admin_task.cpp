#include "daemon/admin_task.h"

#include "daemon/answers.h"
#include "state/burn.h"
#include "state/clock.h"
#include "state/key_hash.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

using json = nlohmann::json;

constexpr millis peerPatience{1'000};

void respondJson(http_reply &reply, int status, const json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}},
        body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

std::string queryOf(const http_request &request, const char *name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

}

admin_task::admin_task(
    bus &messages, loop &eventLoop, config_task &configuration, metrics &counts, options given)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_configuration(configuration)
    , m_metrics(counts)
    , m_options(std::move(given))
{
    m_bus.on<config_changed>([this](const config_changed &news) {
        m_config = news.current;
    });
    m_bus.on<members_changed>([this](const members_changed &news) {
        m_members = news.members;
    });
    m_bus.on<received<status_response>>([this](const received<status_response> &news) {
        const auto found = m_questions.find(news.body.id);
        if (found == m_questions.end()) {
            return;
        }
        found->second.got[news.from] = news.body.json;
        if (found->second.got.size() >= found->second.wanted) {
            finish(news.body.id);
        }
    });
    m_bus.on<received<status_request>>([this](const received<status_request> &news) {
        if (news.body.part == "burn" && m_config) {
            m_bus.post(
                send_to{news.from, status_response{news.body.id, burnJson(m_metrics, *m_config, bootNow())}});
        }
    });
}

bool admin_task::concerns(const std::string &path)
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
    const std::string text = header == request.headers.end() ? "" : header->second;
    const std::string hash = text.rfind("Bearer ", 0) == 0 ? keyHash(text.substr(7)) : "";
    const auto &known = m_options.operatorKeyHashes;
    if (hash.empty() || std::find(known.begin(), known.end(), hash) == known.end()) {
        respondError(*reply,
            {outcome::NotRun, {error_kind::Unauthorised, "Authorization", "no known operator's key"}, {}});
        return;
    }
    if (request.path == "/admin/patch" && request.method == "POST") {
        patch(request, reply);
    } else if (request.path == "/admin/drain" && request.method == "POST") {
        drain(request, reply);
    } else if (request.path == "/admin/config") {
        showConfig(request, reply);
    } else if (request.path == "/admin/history") {
        showHistory(request, reply);
    } else if (request.path == "/admin/instances") {
        instances(reply);
    } else if (request.path == "/admin/servers" || request.path == "/admin/adapters"
        || request.path == "/admin/burn") {
        collected(request.path.substr(std::string("/admin/").size()), request, reply);
    } else {
        respondError(*reply, {outcome::NotRun, {error_kind::BadRequest, request.path, "no such page"}, {}});
    }
}

// ---- questions to all daemons

void admin_task::ask(const std::string &part, std::function<void(const answers &, std::size_t wanted)> done)
{
    const std::uint64_t id = m_nextQuestion++;
    question &one = m_questions[id];
    one.done = std::move(done);
    for (const member &peer : m_members) {
        if (peer.state != peer_state::Dead) {
            ++one.wanted;
            m_bus.post(send_to{peer.name, status_request{id, part}});
        }
    }
    one.timer = m_loop.timer(peerPatience, {}, [this, id] {
        finish(id);
    });
}

void admin_task::finish(std::uint64_t id)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end()) {
        return;
    }
    const question one = std::move(found->second);
    m_questions.erase(found);
    one.done(one.got, one.wanted);
}

void admin_task::collected(
    const std::string &part, const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    ask(part, [part, reply, name = queryOf(request, "name")](const answers &got, std::size_t wanted) {
        if (part == "burn") {
            std::vector<std::string> texts;
            for (const auto &[peer, text] : got) {
                texts.push_back(text);
            }
            texts.resize(wanted); // a silent instance counts as one that did not answer
            reply->respond(200, {{"Content-Type", "application/json"}},
                mergeBurn(texts, static_cast<std::uint32_t>(wanted)));
            return;
        }
        json list = json::array();
        for (const auto &[peer, text] : got) {
            const json page = json::parse(text, nullptr, false);
            for (const json &row : page.is_array() ? page : json::array()) {
                const std::string adapter = row.value("adapter", "");
                if (name.empty() || adapter.substr(0, adapter.rfind(':')) == name) {
                    list.push_back(row);
                }
            }
        }
        respondJson(*reply, 200,
            {{part, std::move(list)}, {"instances_answered", got.size()}, {"instances_known", wanted}});
    });
}

void admin_task::instances(const std::shared_ptr<http_reply> &reply)
{
    ask("servers", [this, reply](const answers &got, std::size_t) {
        json list = json::array();
        for (const member &peer : m_members) {
            json row{{"name", peer.name}, {"failure_domain", peer.failureDomain},
                {"state", nameOf(peer.state)}, {"config_version", peer.configVersion},
                {"incarnation", peer.incarnation}};
            if (peer.name == m_options.self && m_config) {
                row["config_version"] = m_config->version;
            }
            if (const auto found = got.find(peer.name); found != got.end()) {
                const json page = json::parse(found->second, nullptr, false);
                row["owned"] = page.is_array() ? page.size() : 0;
            }
            list.push_back(std::move(row));
        }
        respondJson(
            *reply, 200, {{"instances", std::move(list)}, {"version", m_config ? m_config->version : 0}});
    });
}

void admin_task::drain(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    const json body = json::parse(request.body, nullptr, false);
    const bool server = body.is_object() && body.contains("server") && body["server"].is_string();
    const bool instance = body.is_object() && body.contains("instance") && body["instance"].is_string();
    if (server == instance) {
        respondError(*reply,
            {outcome::NotRun,
                {error_kind::BadRequest, "body", "not an object with either a 'server' or an 'instance'"},
                {}});
        return;
    }
    const bool undo = body.contains("undo") && body["undo"].is_boolean() && body["undo"].get<bool>();
    const std::string name = body[server ? "server" : "instance"];
    if (instance && undo) {
        respondError(*reply,
            {outcome::NotRun,
                {error_kind::BadRequest, "undo",
                    "an instance that shuts down can't be called back; start it anew"},
                {}});
        return;
    }
    std::size_t told = 0;
    for (const member &peer : m_members) {
        if (peer.state != peer_state::Dead && (server || peer.name == name)) {
            ++told;
            m_bus.post(send_to{peer.name, drain_request{server ? name : "", !undo}});
        }
    }
    if (told == 0) {
        respondError(*reply,
            {outcome::NotRun, {error_kind::BadRequest, "instance", "'" + name + "' is not known"}, {}});
        return;
    }
    spdlog::info("admin: Drain of {} {}.", name, undo ? "undone" : "ordered");
    respondJson(*reply, 200, {{"told", told}});
}

}
