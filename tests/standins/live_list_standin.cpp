#include "standins/live_list_standin.h"

#include <limits>

namespace briarhead {

live_list_standin::live_list_standin(loop &eventLoop, millis lag)
    : standin_server(eventLoop, "live-list")
    , m_lag(lag)
{
    route("GET", "/instances", [this](const http_request &request, const reply_ptr &reply) {
        serveList(request, reply);
    });
    route("POST", "/standin/instances", [this](const http_request &request, const reply_ptr &reply) {
        const json body = json::parse(request.body, nullptr, false);
        try {
            change(
                body.value("changed", std::vector<json>()), body.value("gone", std::vector<std::string>()));
            answer(reply, 200, json::object());
        } catch (const json::exception &problem) {
            answer(reply, 400, {{"error", {{"code", "bad_request"}, {"message", problem.what()}}}});
        }
    });
}

void live_list_standin::change(const std::vector<json> &changed, const std::vector<std::string> &gone)
{
    const millis visibleAt = bootNow() + m_lag;
    for (const json &instance : changed) {
        static_cast<void>(instance.at("name").get<std::string>());
        m_pending.push_back({visibleAt, instance, false});
    }
    for (const std::string &name : gone) {
        m_pending.push_back({visibleAt, {{"name", name}}, true});
    }
}

void live_list_standin::settle()
{
    showDue({std::numeric_limits<std::int64_t>::max()});
}

void live_list_standin::setFaults(const json &faults)
{
    m_lag = {faults.value("lag_ms", m_lag.count)};
    standin_server::setFaults(faults);
}

void live_list_standin::showDue(millis now)
{
    while (!m_pending.empty() && m_pending.front().visibleAt <= now) {
        const pending_line due = m_pending.front();
        m_pending.pop_front();
        line &shown = m_lines[due.instance.at("name").get<std::string>()];
        shown.gone = due.gone;
        shown.revision = ++m_revision;
        // A line that went keeps its last instance, whose region says who is told.
        if (!due.gone) {
            shown.instance = due.instance;
        }
    }
}

void live_list_standin::serveList(const http_request &request, const reply_ptr &reply)
{
    showDue(bootNow());
    const auto since = request.query.find("since");
    const auto region = request.query.find("region");
    std::uint64_t from = since != request.query.end() ? numberOf(since->second) : 0;
    // A revision from another life of this list is no base for a difference.
    from = from > m_revision ? 0 : from;
    json changed = json::array();
    json gone = json::array();
    for (const auto &[name, shown] : m_lines) {
        const bool asked = region == request.query.end() || region->second.empty()
            || shown.instance.value("region", "") == region->second;
        if (shown.revision <= from || !asked) {
            continue;
        }
        if (!shown.gone) {
            changed.push_back(shown.instance);
        } else if (from > 0) {
            gone.push_back(name);
        }
    }
    answer(reply, 200,
        {{"revision", m_revision}, {"whole", from == 0}, {"changed", std::move(changed)},
            {"gone", std::move(gone)}});
}

}
