#include "serving/store_standin.h"

#include "platform/platform_store.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace briarhead {

namespace {

using json = nlohmann::json;

std::string decodeUrl(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string queryOf(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + '=');
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 1;
    return decodeUrl(std::string_view(target).substr(begin, target.find('&', begin) - begin));
}

json itemOf(const stored_item &item)
{
    if (item.removed) {
        return {{"key", item.key}, {"revision", item.revision}, {"removed", true}};
    }
    return {{"key", item.key}, {"value", platform::toBase64(item.value)}, {"revision", item.revision}};
}

int statusOf(store_status status)
{
    switch (status) {
    case store_status::Ok:
        return 200;
    case store_status::Conflict:
        return 412;
    case store_status::LeaseNotFound:
        return 404;
    case store_status::HistoryGone:
        return 410;
    default:
        return 503;
    }
}

void respond(front_reply &reply, store_status status, const json &body)
{
    if (status == store_status::Unknown) {
        reply.abort();
        return;
    }
    reply.respond(statusOf(status), {{"Content-Type", "application/json"}}, body.dump());
}

void respondToRead(front_reply &reply, const store_read &read, const char *listName)
{
    json items = json::array();
    for (const stored_item &item : read.items) {
        items.push_back(itemOf(item));
    }
    respond(reply, read.status, {{listName, items}, {"truncated", false}, {"currentRev", read.revision}});
}

}

store_standin::store_standin(fake_store &shared)
    : client(shared)
{
    error why;
    m_server = front_server::listen(
        shared.events, "127.0.0.1", 0,
        [this](const front_request &request, const std::shared_ptr<front_reply> &reply) {
            onRequest(request, reply);
        },
        why);
    if (!m_server) {
        throw std::runtime_error(message(why));
    }
}

std::uint16_t store_standin::port() const
{
    return m_server->port();
}

void store_standin::onRequest(const front_request &request, const std::shared_ptr<front_reply> &reply)
{
    const std::string &target = request.head.target;
    if (target.starts_with("/v1/kv-range?")) {
        view.list(queryOf(target, "prefix"), [reply](const store_read &read) {
            respondToRead(*reply, read, "items");
        });
    } else if (target.starts_with("/v1/kv-watch?")) {
        view.watch(queryOf(target, "prefix"), std::stoll(queryOf(target, "after")),
            millis{std::stoll(queryOf(target, "waitMs"))}, [reply](const store_read &read) {
                respondToRead(*reply, read, "events");
            });
    } else if (target == "/v1/kv-txn") {
        onChange(request, reply);
    } else if (target == "/v1/kv-lease") {
        const json body = json::parse(request.body, nullptr, false);
        const millis ttl{body.is_object() ? body.value("ttlMs", std::int64_t{0}) : 0};
        client.grantLease(ttl, [reply](store_status status, std::int64_t lease) {
            respond(*reply, status, {{"lease", lease}, {"ttlMs", 3'000}});
        });
    } else if (target.starts_with("/v1/kv-keep/")) {
        client.renewLease(std::stoll(target.substr(target.rfind('/') + 1)), [reply](store_status status) {
            respond(*reply, status, {{"ttlMs", 3'000}});
        });
    } else {
        reply->respond(404, {}, "");
    }
}

void store_standin::onChange(const front_request &request, const std::shared_ptr<front_reply> &reply)
{
    const json body = json::parse(request.body);
    store_change change;
    for (const json &row : body.at("expectedRev")) {
        change.expected.emplace_back(row.at("key"), row.at("revision"));
    }
    for (const json &row : body.at("puts")) {
        const auto value = platform::fromBase64(row.at("value").get<std::string>());
        change.puts.push_back({row.at("key"), value.value_or(""), row.at("lease")});
    }
    change.removes = body.at("remove").get<std::vector<std::string>>();
    client.change(change, [reply](store_status status, std::int64_t revision) {
        respond(*reply, status, {{"revision", revision}});
    });
}

}
