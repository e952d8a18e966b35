// The configuration pages of the admin task: /admin/patch, /admin/config and /admin/history.
#include "daemon/admin_task.h"
#include "daemon/responses.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace briarhead {

namespace {

using json = nlohmann::json;

constexpr std::uint64_t defaultHistoryLimit = 20;

void respondJson(http_reply &reply, int status, const json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}},
        body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

std::uint64_t numericParameter(const http_request &request, const char *name, std::uint64_t defaultValue)
{
    const auto found = request.query.find(name);
    std::uint64_t value = defaultValue;
    if (found != request.query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

int statusOf(const submit_result &result)
{
    switch (result.status) {
    case submit_status::Accepted:
        return 200;
    case submit_status::Refused:
        return result.why.kind == error_kind::StalePatch ? 409 : 400;
    case submit_status::NotRun:
        return 503;
    case submit_status::Unknown:
        break;
    }
    return 504;
}

void respondSubmit(http_reply &reply, const std::string &id, const submit_result &result)
{
    if (result.status == submit_status::Accepted) {
        respondJson(reply, 200, {{"version", result.version}, {"id", id}, {"repeated", result.repeated}});
        return;
    }
    const outcome patchOutcome = result.status == submit_status::Unknown ? outcome::Unknown : outcome::NotRun;
    respondJson(reply, statusOf(result),
        {{"error",
            {{"code", textOf(result.why.kind).code}, {"message", message(result.why)},
                {"outcome", nameOf(patchOutcome)}, {"current", result.version}, {"id", id}}}});
}

}

void admin_task::handlePatch(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    error why;
    const auto parsed = parsePatch(request.body, why);
    if (!parsed) {
        respondError(*reply, {outcome::NotRun, {error_kind::BadRequest, why.where, why.detail}, {}});
        return;
    }
    const config_ptr current = m_configuration.current() ? m_configuration.current() : emptyConfig();
    const auto dryRun = request.query.find("dry_run");
    if (dryRun != request.query.end() && dryRun->second != "0") {
        if (parsed->base != current->version) {
            why = {error_kind::StalePatch, "base",
                "version " + std::to_string(current->version) + " is in force, not "
                    + std::to_string(parsed->base)};
            respondSubmit(*reply, parsed->id, {submit_status::Refused, current->version, false, why});
        } else if (!applyPatch(*current, *parsed, why)) {
            respondSubmit(*reply, parsed->id, {submit_status::Refused, current->version, false, why});
        } else {
            respondJson(*reply, 200, {{"dry_run", true}, {"changes", describePatch(*current, *parsed)}});
        }
        return;
    }
    m_configuration.submitPatch(*parsed, [reply, id = parsed->id](const submit_result &result) {
        respondSubmit(*reply, id, result);
    });
}

void admin_task::showConfig(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    const std::uint64_t version = numericParameter(request, "version", 0);
    if (version == 0) {
        const config_ptr current = m_configuration.current();
        if (!current) {
            respondError(*reply,
                {outcome::NotRun, {error_kind::NotReady, m_options.self, "no configuration yet"}, {}});
            return;
        }
        reply->respond(200, {{"Content-Type", "application/json"}}, toJson(*current));
        return;
    }
    m_configuration.readVersion(version, [reply](const config_ptr &found, const error &why) {
        if (found) {
            reply->respond(200, {{"Content-Type", "application/json"}}, toJson(*found));
        } else {
            respondError(*reply, {outcome::NotRun, why, {}});
        }
    });
}

void admin_task::showHistory(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    const std::uint64_t limit =
        std::max<std::uint64_t>(1, numericParameter(request, "limit", defaultHistoryLimit));
    const std::uint64_t head = m_configuration.headVersion();
    const std::uint64_t from = head >= limit ? head - limit + 1 : 1;
    m_configuration.history(from, [reply](const std::vector<config_patch> &patches, const error &why) {
        json list = json::array();
        for (const config_patch &patch : patches) {
            json row = json::parse(toJson(patch), nullptr, false);
            row["version"] = patch.base + 1;
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
