#include "standins/service_standin.h"

namespace briarhead {

service_standin::service_standin(loop &eventLoop, const std::string &service)
    : standin_server(eventLoop, service)
{
    const auto onCall = [this](const http_request &request, const reply_ptr &reply) {
        if (m_refuse && !words().empty()) {
            note("refused", {{"path", request.path}});
            answer(reply, 503, {{"error", {{"code", "busy"}}}});
        } else if (m_refuse) {
            answer(reply, 503, {{"error", {{"code", "busy"}}}}, {{"Retry-After", "1"}});
        } else if (request.method == "POST") {
            onPost(request, reply);
        } else {
            onGet(request, reply);
        }
    };
    for (const std::string method : {"GET", "POST"}) {
        route(method, '/' + service, onCall);
        route(method, '/' + service + "/*", onCall);
    }
}

void service_standin::setFaults(const json &faults)
{
    m_refuse = faults.value("refuse", m_refuse);
    m_unframed = faults.value("unframed", m_unframed);
    m_cutBytes = faults.value("cut_bytes", m_cutBytes);
    m_reset = faults.value("reset", m_reset);
    standin_server::setFaults(faults);
}

void service_standin::onPost(const http_request &request, const reply_ptr &reply)
{
    const std::string id = std::to_string(m_orders.size() + 1);
    m_orders[id] = {{"id", id}, {"status", "accepted"}, {"path", request.path}, {"body", request.body}};
    note("call",
        {{"id", id}, {"path", request.path}, {"body", request.body},
            {"idempotency_key", headerOf(request, "idempotency-key")},
            {"request_id", headerOf(request, "x-request-id")}});
    respond(reply, 201, m_orders[id]);
}

void service_standin::onGet(const http_request &request, const reply_ptr &reply)
{
    const auto found = m_orders.find(request.path.substr(request.path.rfind('/') + 1));
    if (found == m_orders.end()) {
        answer(reply, 404, {{"error", {{"code", "unknown_order"}}}});
    } else {
        respond(reply, 200, found->second);
    }
}

void service_standin::respond(const reply_ptr &reply, int status, const json &body)
{
    if (!m_unframed) {
        answer(reply, status, body);
        return;
    }
    const std::string text = body.dump();
    reply->beginUnframed(status, {{"Content-Type", "application/json"}});
    reply->write(m_cutBytes < 0 ? text : text.substr(0, static_cast<std::size_t>(m_cutBytes)));
    if (m_reset) {
        later(millis{50}, [reply] { // what was written leaves first
            reply->abort();
        });
    } else {
        reply->end();
    }
}

}
