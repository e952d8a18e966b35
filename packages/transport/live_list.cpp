#include "transport/live_list.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <array>
#include <optional>
#include <utility>

namespace briarhead {

namespace {

using nlohmann::json;

constexpr millis pollTimeout{2'000};
constexpr int statusOk = 200;

constexpr std::array<std::string_view, 3> kindNames{"entry", "engine", "service"};
static_assert(kindNames.size() == static_cast<std::size_t>(instance_kind::Service) + 1);

std::optional<instance_kind> parseKind(std::string_view name)
{
    for (std::size_t i = 0; i < kindNames.size(); ++i) {
        if (kindNames[i] == name) {
            return static_cast<instance_kind>(i);
        }
    }
    return std::nullopt;
}

std::string urlEscaped(const std::string &text)
{
    char *raw = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
    std::string out = raw == nullptr ? std::string() : raw;
    curl_free(raw);
    return out;
}

/// One response. It is parsed completely before any of it is applied.
struct list_response
{
    std::uint64_t revision = 0;
    bool isFullList = false; ///< false: the changes since the revision that was asked for
    std::vector<live_instance> changed;
    std::vector<std::string> removed;
};

std::uint16_t parsePort(const json &value)
{
    const auto port = value.get<std::uint64_t>();
    if (!std::in_range<std::uint16_t>(port)) {
        throw json::out_of_range::create(0, "the port is not between 0 and 65535", &value);
    }
    return static_cast<std::uint16_t>(port);
}

live_instance parseInstance(const json &item, instance_kind kind)
{
    live_instance instance;
    instance.name = item.at("name").get<std::string>();
    instance.kind = kind;
    instance.region = item.value("region", std::string());
    instance.failureDomain = item.value("failure_domain", std::string());
    instance.address = item.at("address").get<std::string>();
    instance.port = parsePort(item.at("port"));
    instance.callerPort = parsePort(item.value("caller_port", json(0)));
    instance.service = item.value("service", std::string());
    instance.leaving = item.value("leaving", false);
    return instance;
}

std::optional<list_response> parseResponse(const std::string &body)
{
    try {
        const json parsed = json::parse(body);
        list_response response;
        response.revision = parsed.at("revision").get<std::uint64_t>();
        response.isFullList = parsed.value("whole", false);
        for (const json &item : parsed.value("changed", json::array())) {
            // Instances of an unknown kind, which a newer platform may list, are ignored.
            if (const auto kind = parseKind(item.at("kind").get<std::string>())) {
                response.changed.push_back(parseInstance(item, *kind));
            }
        }
        response.removed = parsed.value("gone", std::vector<std::string>());
        return response;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

bool applyResponse(live_view &view, list_response response)
{
    // Changes from a replica that lags behind would undo newer ones. A full list may have a lower revision,
    // because a service that was set up anew counts from the start again.
    if (!response.isFullList && response.revision < view.revision) {
        return false;
    }
    if (response.isFullList) {
        view.instances.clear();
    }
    view.revision = response.revision;
    for (const std::string &name : response.removed) {
        view.instances.erase(name);
    }
    for (live_instance &instance : response.changed) {
        std::string name = instance.name;
        view.instances[std::move(name)] = std::move(instance);
    }
    return true;
}

}

std::string_view nameOf(instance_kind value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < kindNames.size() ? kindNames[index] : kindNames.back();
}

live_list::live_list(loop &eventLoop, http_client &http, std::string url, std::string region)
    : m_loop(eventLoop)
    , m_http(http)
    , m_url(std::move(url))
    , m_region(std::move(region))
{
}

void live_list::poll(std::function<void(const live_view &view, bool ok)> done)
{
    http_call call;
    call.url =
        m_url + "/instances?since=" + std::to_string(m_view.revision) + "&region=" + urlEscaped(m_region);
    call.timeout = pollTimeout;
    m_http.start(call, [this, done = std::move(done)](const http_result &result) {
        auto response =
            endedInOrder(result) && result.status == statusOk ? parseResponse(result.body) : std::nullopt;
        const bool ok = response && applyResponse(m_view, std::move(*response));
        done(m_view, ok);
    });
}

const live_view &live_list::view() const
{
    return m_view;
}

}
