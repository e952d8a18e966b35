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

std::optional<instance_kind> kindOf(std::string_view name)
{
    for (std::size_t i = 0; i < kindNames.size(); ++i) {
        if (kindNames[i] == name) {
            return static_cast<instance_kind>(i);
        }
    }
    return std::nullopt;
}

std::string escaped(const std::string &text)
{
    char *raw = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
    std::string out = raw == nullptr ? std::string() : raw;
    curl_free(raw);
    return out;
}

/// One answer, read whole before any of it is applied.
struct list_answer
{
    std::uint64_t revision = 0;
    bool whole = false;
    std::vector<live_instance> changed;
    std::vector<std::string> gone;
};

std::uint16_t readPort(const json &value)
{
    const auto port = value.get<std::uint64_t>();
    if (!std::in_range<std::uint16_t>(port)) {
        throw json::out_of_range::create(0, "a port is out of range", &value);
    }
    return static_cast<std::uint16_t>(port);
}

live_instance readInstance(const json &line, instance_kind kind)
{
    live_instance instance;
    instance.name = line.at("name").get<std::string>();
    instance.kind = kind;
    instance.region = line.value("region", std::string());
    instance.failureDomain = line.value("failure_domain", std::string());
    instance.address = line.at("address").get<std::string>();
    instance.port = readPort(line.at("port"));
    instance.callerPort = readPort(line.value("caller_port", json(0)));
    instance.service = line.value("service", std::string());
    instance.leaving = line.value("leaving", false);
    return instance;
}

std::optional<list_answer> readAnswer(const std::string &body)
{
    try {
        const json parsed = json::parse(body);
        list_answer answer;
        answer.revision = parsed.at("revision").get<std::uint64_t>();
        answer.whole = parsed.value("whole", false);
        for (const json &line : parsed.value("changed", json::array())) {
            // Kinds that a later platform may add are none of ours.
            if (const auto kind = kindOf(line.at("kind").get<std::string>())) {
                answer.changed.push_back(readInstance(line, *kind));
            }
        }
        answer.gone = parsed.value("gone", std::vector<std::string>());
        return answer;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

bool applyAnswer(live_view &view, list_answer answer)
{
    // A difference from a replica that is behind would undo what is known; a whole list may go back,
    // since the service counts from the start again when it is set up anew.
    if (!answer.whole && answer.revision < view.revision) {
        return false;
    }
    if (answer.whole) {
        view.instances.clear();
    }
    view.revision = answer.revision;
    for (const std::string &name : answer.gone) {
        view.instances.erase(name);
    }
    for (live_instance &instance : answer.changed) {
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
    call.url = m_url + "/instances?since=" + std::to_string(m_view.revision) + "&region=" + escaped(m_region);
    call.timeout = pollTimeout;
    m_http.start(call, [this, done = std::move(done)](const http_result &result) {
        auto answer = result.complete && result.status == statusOk ? readAnswer(result.body) : std::nullopt;
        const bool ok = answer && applyAnswer(m_view, std::move(*answer));
        done(m_view, ok);
    });
}

const live_view &live_list::view() const
{
    return m_view;
}

}
