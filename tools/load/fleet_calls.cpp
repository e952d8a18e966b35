#include "load/fleet_calls.h"

#include "state/key_hash.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace briarhead::load {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
/// Keeps a patch under its limit of 256 KB.
constexpr std::uint32_t adaptersPerPatch = 1'000;
constexpr millis pollPause{100};
constexpr millis startBound{60'000};
/// Tender penalties: a trolley short of special meals weighs more than a late summary.
constexpr double sorakazePenalty = 40;
constexpr double popisnicaPenalty = 5;
constexpr double targetShare = 0.95;

json adaptersFrom(std::uint32_t first)
{
    json set;
    for (std::uint32_t i = first; i < std::min(first + adaptersPerPatch, adapterCount); ++i) {
        set["adapters"][adapterName(i)] = {{"base_model", "base"}, {"active", 1}, {"versions", {1}}};
    }
    return set;
}

json everythingElse(const workload &of, double stallWeight)
{
    json set;
    for (std::uint32_t i = 0; i < callerCount; ++i) {
        set["callers"][callerName(i)] = {{"key_hash", keyHash(callerKey(i))}, {"groups", json::array()}};
    }
    set["rules"]["all"] = {{"callers", "*"}, {"adapters", "*"}, {"best", "urgent"}};
    set["targets"]["in-time"] = {{"callers", "*"}, {"adapters", "*"}, {"whole_ms", of.longestDeadline.count},
        {"share", targetShare}, {"penalty", penaltyPerMiss(of)}};
    set["policy"] = {{"stall_weight", stallWeight}, {"store_loads_per_second", storeLoadsPerSecond}};
    return set;
}

/// Adds what one engine's stand-in says of itself.
void add(engine_counts &into, const json &summary)
{
    const auto steps = summary.value("busy_steps", std::uint64_t{0});
    into.busySteps += steps;
    into.filled += summary.value("batch_fill", 0.0) * static_cast<double>(steps);
    const json record = summary.value("record", json::object());
    into.loads += record.value("load", std::uint64_t{0});
    into.unloads += record.value("unload", std::uint64_t{0});
    into.violations += record.value("violation", std::uint64_t{0});
}

}

std::string callerName(std::uint32_t caller)
{
    return "caller-" + std::to_string(caller + 1);
}

std::string callerKey(std::uint32_t caller)
{
    return "key-of-" + callerName(caller);
}

std::string adapterName(std::uint32_t adapter)
{
    return "adapter-" + std::to_string(adapter);
}

double penaltyPerMiss(const workload &of)
{
    return of.burstsPerSecond > 0 ? sorakazePenalty : popisnicaPenalty;
}

fleet_calls::fleet_calls(loop &eventLoop, http_client &client, fleet_place place)
    : m_loop(eventLoop)
    , m_client(client)
    , m_place(std::move(place))
{
}

http_result fleet_calls::ask(
    const std::string &method, const std::string &url, const std::string &body, bool byOperator)
{
    http_call call;
    call.method = method;
    call.url = url;
    call.body = body;
    if (byOperator) {
        call.headers = {"Authorization: Bearer " + m_place.operatorKey, "Content-Type: application/json"};
    }
    http_result got;
    m_client.start(call, [&](const http_result &result) {
        got = result;
        m_loop.stop();
    });
    m_loop.run();
    return got;
}

void fleet_calls::pause(millis span)
{
    const auto timer = m_loop.timer(span, {}, [this] {
        m_loop.stop();
    });
    m_loop.run();
}

bool fleet_calls::eventually(const std::function<bool()> &holds)
{
    const millis end = bootNow() + startBound;
    while (!holds()) {
        if (bootNow() >= end) {
            return false;
        }
        pause(pollPause);
    }
    return true;
}

bool fleet_calls::submit(json set)
{
    const json patch{{"base", m_version}, {"id", "load-" + std::to_string(m_version + 1)}, {"by", "load"},
        {"note", "Configuration of an experiment"}, {"set", std::move(set)}};
    std::string said;
    const bool accepted = eventually([&] {
        const auto got = ask("POST", m_place.entries.front() + "/admin/patch", patch.dump(), true);
        said = got.body;
        return got.status == statusOk;
    });
    if (!accepted) {
        std::cerr << "load: the configuration was not accepted: " << said << '\n';
    }
    ++m_version;
    return accepted;
}

bool fleet_calls::configure(const workload &of, double stallWeight)
{
    for (std::uint32_t first = 0; first < adapterCount; first += adaptersPerPatch) {
        if (!submit(adaptersFrom(first))) {
            return false;
        }
    }
    return submit(everythingElse(of, stallWeight));
}

bool fleet_calls::waitWhole()
{
    const bool whole = eventually([this] {
        for (const std::string &entry : m_place.entries) {
            if (ask("GET", entry + "/readyz", "", false).status != statusOk) {
                return false;
            }
        }
        const auto got = ask("GET", m_place.entries.front() + "/admin/servers", "", true);
        const json page = json::parse(got.body, nullptr, false);
        const json servers = page.is_object() ? page.value("servers", json::array()) : json::array();
        const auto serving = std::count_if(servers.begin(), servers.end(), [](const json &server) {
            return server.value("role", "") == "serving";
        });
        return static_cast<std::size_t>(serving) == m_place.engines.size();
    });
    if (!whole) {
        std::cerr << "load: the fleet did not come up\n";
    }
    return whole;
}

void fleet_calls::readCounts(const std::function<void(const engine_counts &)> &then)
{
    auto sum = std::make_shared<engine_counts>();
    auto open = std::make_shared<std::size_t>(m_place.engines.size());
    sum->standinsCpuSeconds = standinsCpuSeconds();
    for (const std::string &engine : m_place.engines) {
        http_call call;
        call.url = engine + "/standin/summary";
        m_client.start(call, [sum, open, then](const http_result &got) {
            const json summary = json::parse(got.body, nullptr, false);
            if (summary.is_object()) {
                add(*sum, summary);
            }
            if (--*open == 0) {
                then(*sum);
            }
        });
    }
}

void fleet_calls::coldStart(std::uint32_t engines)
{
    for (std::uint32_t i = 0; i < std::min<std::size_t>(engines, m_place.engines.size()); ++i) {
        m_client.start(
            {.method = "POST", .url = m_place.engines[i] + "/standin/faults", .body = R"({"reset": true})"},
            [](const http_result &) {});
    }
}

void fleet_calls::slowStore(double share)
{
    const json faults{{"loads_per_second", storeLoadsPerSecond * share}};
    m_client.start({.method = "POST", .url = m_place.store + "/standin/faults", .body = faults.dump()},
        [](const http_result &) {});
}

/// User and system time of the stand-ins' process, from the fields after its name in /proc.
double fleet_calls::standinsCpuSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(m_place.standinsPid) + "/stat");
    std::string text;
    std::getline(file, text);
    const auto nameEnd = text.rfind(')');
    if (m_place.standinsPid == 0 || nameEnd == std::string::npos) {
        return 0;
    }
    constexpr int fieldsBeforeUserTime = 11;
    std::istringstream fields(text.substr(nameEnd + 1));
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}
