// The configuration's pages of the admin task: patch, show, history.
#include "daemon/admin_task.h"
#include "daemon/answers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace briarhead {

namespace {

using json = nlohmann::json;

constexpr std::uint64_t defaultHistory = 20;

void respondJson(http_reply &reply, int status, const json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}},
        body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

std::uint64_t numberOf(const http_request &request, const char *name, std::uint64_t otherwise)
{
    const auto found = request.query.find(name);
    std::uint64_t value = otherwise;
    if (found != request.query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

int statusOf(const submit_result &answer)
{
    switch (answer.status) {
    case submit_status::Accepted:
        return 200;
    case submit_status::Refused:
        return answer.why.kind == error_kind::StalePatch ? 409 : 400;
    case submit_status::NotRun:
        return 503;
    case submit_status::Unknown:
        break;
    }
    return 504;
}

void respondSubmit(http_reply &reply, const std::string &id, const submit_result &answer)
{
    if (answer.status == submit_status::Accepted) {
        respondJson(reply, 200, {{"version", answer.version}, {"id", id}, {"repeated", answer.repeated}});
        return;
    }
    const outcome result = answer.status == submit_status::Unknown ? outcome::Unknown : outcome::NotRun;
    respondJson(reply, statusOf(answer),
        {{"error",
            {{"code", textOf(answer.why.kind).code}, {"message", message(answer.why)},
                {"outcome", nameOf(result)}, {"current", answer.version}, {"id", id}}}});
}

}

void admin_task::patch(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    error why;
    const auto parsed = parsePatch(request.body, why);
    if (!parsed) {
        respondError(*reply, {outcome::NotRun, {error_kind::BadRequest, why.where, why.detail}, {}});
        return;
    }
    const config_ptr at = m_configuration.current() ? m_configuration.current() : emptyConfig();
    const auto dryRun = request.query.find("dry_run");
    if (dryRun != request.query.end() && dryRun->second != "0") {
        if (parsed->base != at->version) {
            why = {error_kind::StalePatch, "base",
                "version " + std::to_string(at->version) + " is in force, not "
                    + std::to_string(parsed->base)};
            respondSubmit(*reply, parsed->id, {submit_status::Refused, at->version, false, why});
        } else if (!applyPatch(*at, *parsed, why)) {
            respondSubmit(*reply, parsed->id, {submit_status::Refused, at->version, false, why});
        } else {
            respondJson(*reply, 200, {{"dry_run", true}, {"changes", describePatch(*at, *parsed)}});
        }
        return;
    }
    m_configuration.submitPatch(*parsed, [reply, id = parsed->id](const submit_result &answer) {
        respondSubmit(*reply, id, answer);
    });
}

void admin_task::showConfig(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    const std::uint64_t wanted = numberOf(request, "version", 0);
    if (wanted == 0) {
        const config_ptr at = m_configuration.current();
        if (!at) {
            respondError(*reply,
                {outcome::NotRun, {error_kind::NotReady, m_options.self, "no configuration yet"}, {}});
            return;
        }
        reply->respond(200, {{"Content-Type", "application/json"}}, toJson(*at));
        return;
    }
    m_configuration.readVersion(wanted, [reply](const config_ptr &found, const error &why) {
        if (found) {
            reply->respond(200, {{"Content-Type", "application/json"}}, toJson(*found));
        } else {
            respondError(*reply, {outcome::NotRun, why, {}});
        }
    });
}

void admin_task::showHistory(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    const std::uint64_t limit = std::max<std::uint64_t>(1, numberOf(request, "limit", defaultHistory));
    const std::uint64_t head = m_configuration.headVersion();
    const std::uint64_t from = head >= limit ? head - limit + 1 : 1;
    m_configuration.history(from, [reply](const std::vector<config_patch> &patches, const error &why) {
        json list = json::array();
        for (const config_patch &one : patches) {
            json row = json::parse(toJson(one), nullptr, false);
            row["version"] = one.base + 1;
            list.push_back(std::move(row));
        }
        json page{{"patches", std::move(list)}};
        if (why.kind != error_kind::None) {
            page["partial"] = message(why);
        }
        respondJson(*reply, 200, page);
    });
}

}
