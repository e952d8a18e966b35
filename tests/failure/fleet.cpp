#include "failure/fleet.h"

#include "state/key_hash.h"
#include "unit/free_port.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace briarhead::testing {

const std::string fleet::callerKey = "demo";
const std::string fleet::operatorKey = "operator-demo-key";

namespace {

constexpr int pollMs = 20;
constexpr std::size_t logTail = 1'500;
constexpr const char *peerKey = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

std::size_t takeBody(char *data, std::size_t size, std::size_t count, void *into)
{
    static_cast<std::string *>(into)->append(data, size * count);
    return size * count;
}

std::size_t takeHeader(char *data, std::size_t size, std::size_t count, void *into)
{
    const std::string line(data, size * count);
    const auto colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return std::tolower(c);
        });
        const auto end = line.find_last_not_of("\r\n");
        (*static_cast<std::map<std::string, std::string> *>(into))[name] =
            line.substr(colon + 2, end - colon - 1);
    }
    return size * count;
}

pid_t spawn(const std::vector<std::string> &arguments, int output, const std::string &errors)
{
    std::vector<char *> raw;
    raw.reserve(arguments.size() + 1);
    for (const std::string &one : arguments) {
        raw.push_back(const_cast<char *>(one.c_str()));
    }
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (output >= 0) {
        posix_spawn_file_actions_adddup2(&actions, output, 1);
    }
    pid_t pid = 0;
    const int failed = posix_spawn(&pid, raw[0], &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("can't start " + arguments[0]);
    }
    return pid;
}

}

json answer::parsed() const
{
    return json::parse(body, nullptr, false);
}

std::string answer::outcome() const
{
    if (status == 200) {
        return "done";
    }
    const json page = parsed();
    return page.is_object() && page.contains("error") ? page["error"].value("outcome", "") : "";
}

answer call(const std::string &method, const std::string &url, const std::string &body,
    const std::vector<std::string> &headers, long timeoutMs)
{
    answer result;
    CURL *handle = curl_easy_init();
    curl_slist *lines = nullptr;
    for (const std::string &line : headers) {
        lines = curl_slist_append(lines, line.c_str());
    }
    lines = curl_slist_append(lines, "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeoutMs);
    if (method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, takeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &result.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, takeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &result.headers);
    const CURLcode code = curl_easy_perform(handle);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
    result.whole = code == CURLE_OK;
    curl_slist_free_all(lines);
    curl_easy_cleanup(handle);
    return result;
}

bool eventually(const std::function<bool()> &condition, int boundMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(boundMs);
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
    }
    return condition();
}

json firstConfiguration(std::size_t adapters)
{
    json set;
    for (std::size_t i = 0; i < adapters; ++i) {
        set["adapters"]["a" + std::to_string(i)] = {
            {"base_model", "base"}, {"active", 1}, {"versions", {1, 2}}};
    }
    set["callers"]["tester"] = {{"key_hash", keyHash(fleet::callerKey)}, {"groups", json::array()}};
    set["services"]["orders"] = {{"path_prefix", "/orders"}, {"idempotent", false}, {"timeout_ms", 10'000}};
    set["rules"]["all"] = {{"callers", "*"}, {"adapters", "*"}, {"best", "high"}};
    set["rules"]["orders"] = {{"callers", "*"}, {"service", "orders"}, {"best", "high"}};
    return set;
}

fleet::fleet(const fleet_options &options)
    : m_options(options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "briarhead-test-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    for (std::size_t i = 0; i < options.daemons; ++i) {
        process one;
        const auto counted = static_cast<std::uint16_t>(options.firstPort + 2 * i);
        one.callerPort = options.firstPort == 0 ? http_testing::freePort() : counted;
        one.peerPort =
            options.firstPort == 0 ? http_testing::freePort() : static_cast<std::uint16_t>(counted + 1);
        m_daemons.push_back(one);
    }
    try {
        startAll();
    } catch (...) {
        // No destructor runs for an object that was never made, and its processes would live on.
        endAll();
        throw;
    }
}

fleet::~fleet()
{
    endAll();
}

void fleet::startAll()
{
    startStandins();
    if (!m_options.startDaemons) {
        return;
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        start(i);
    }
    if (!m_options.seed) {
        return;
    }
    const auto seeded = [this] {
        return patch(firstConfiguration(m_options.adapters), 0).status == 200;
    };
    if (!eventually(seeded, m_options.startBoundMs) || !whole(m_options.startBoundMs)) {
        throw std::runtime_error("the fleet did not come up");
    }
}

void fleet::endAll()
{
    for (const process &one : m_daemons) {
        if (one.pid != 0) {
            ::kill(one.pid, SIGKILL);
            waitpid(one.pid, nullptr, 0);
        }
    }
    if (m_standins != 0) {
        ::kill(m_standins, SIGKILL);
        waitpid(m_standins, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

/// The end of each daemon's log, for a failure that can't be looked into afterwards.
std::string fleet::logs() const
{
    std::string text;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        std::ifstream file(m_folder + "/" + name(i) + ".log");
        const std::string all((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        text += "\n" + name(i) + ": " + all.substr(all.size() > logTail ? all.size() - logTail : 0);
    }
    return text;
}

void fleet::startStandins()
{
    json config;
    config["kv"] = {{"port", 0}, {"lease_scale", m_options.leaseScale}};
    config["live_list"] = {{"port", 0}, {"lag_ms", 100}};
    config["store"] = m_options.store;
    config["engines"] = m_options.engines;
    if (m_options.engines.empty()) {
        config["engines"] = json::array({{{"name", "e"}, {"count", 6}, {"failure_domain", m_options.domains},
            {"region", "r"}, {"base_model", "base"}, {"slots", 4}, {"batch_limit", 8}, {"step_ms", 5},
            {"checks_fencing", true}, {"report_lag_ms", 200}}});
    }
    config["services"] = json::array({{{"name", "orders-1"}, {"service", "orders"}, {"port", 0},
        {"failure_domain", m_options.domains[0]}, {"region", "r"}}});
    config["entries"] = json::array();
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        config["entries"].push_back({{"name", name(i)}, {"region", "r"},
            {"failure_domain", m_options.domains[i % m_options.domains.size()]}, {"address", "127.0.0.1"},
            {"port", m_daemons[i].peerPort}, {"caller_port", m_daemons[i].callerPort}});
    }
    const std::string path = m_folder + "/standins.json";
    std::ofstream(path) << config.dump();
    int pipes[2];
    if (pipe2(pipes, O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe");
    }
    m_standins = spawn({BRIARHEAD_STANDINS, path}, pipes[1], m_folder + "/standins.log");
    close(pipes[1]);
    std::string line;
    for (char c = 0; read(pipes[0], &c, 1) == 1 && c != '\n';) {
        line += c;
    }
    close(pipes[0]);
    m_ports = json::parse(line);
}

void fleet::start(std::size_t daemon)
{
    process &one = m_daemons.at(daemon);
    const std::string at = "http://127.0.0.1:";
    json settings{{"instance", name(daemon)}, {"region", "r"},
        {"failure_domain", m_options.domains[daemon % m_options.domains.size()]},
        {"caller_port", one.callerPort}, {"peer_port", one.peerPort},
        {"kv_urls", {at + std::to_string(m_ports["kv"].get<int>())}},
        {"live_list_url", at + std::to_string(m_ports["live_list"].get<int>())}, {"peer_key", peerKey},
        {"operator_key_hashes", {keyHash(operatorKey)}}, {"lease_ttl_ms", m_options.leaseTtlMs},
        {"live_list_interval_ms", 200}, {"probe_interval_ms", 200}};
    settings.update(m_options.settings);
    one.settingsPath = m_folder + "/" + name(daemon) + ".json";
    std::ofstream(one.settingsPath) << settings.dump();
    one.pid = spawn(
        {BRIARHEAD_DAEMON, "--settings=" + one.settingsPath}, -1, m_folder + "/" + name(daemon) + ".log");
}

void fleet::signal(std::size_t daemon, int number) const
{
    ::kill(m_daemons.at(daemon).pid, number);
}

void fleet::kill(std::size_t daemon)
{
    signal(daemon, SIGKILL);
    waitpid(m_daemons.at(daemon).pid, nullptr, 0);
    m_daemons.at(daemon).pid = 0;
}

int fleet::waitExit(std::size_t daemon, int boundMs)
{
    int status = -1;
    process &one = m_daemons.at(daemon);
    const bool ended = eventually(
        [&] {
            return waitpid(one.pid, &status, WNOHANG) == one.pid;
        },
        boundMs);
    if (!ended) {
        return -1;
    }
    one.pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::size_t fleet::size() const
{
    return m_daemons.size();
}

std::string fleet::url(std::size_t daemon) const
{
    return "http://127.0.0.1:" + std::to_string(m_daemons.at(daemon).callerPort);
}

std::string fleet::name(std::size_t daemon) const
{
    return "entry-" + std::to_string(daemon + 1);
}

pid_t fleet::pid(std::size_t daemon) const
{
    return m_daemons.at(daemon).pid;
}

std::string fleet::log(std::size_t daemon) const
{
    std::ifstream file(m_folder + "/" + name(daemon) + ".log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string fleet::engineUrl(const std::string &engine) const
{
    return "http://127.0.0.1:" + std::to_string(m_ports["engines"][engine].get<int>());
}

std::vector<std::string> fleet::engines() const
{
    std::vector<std::string> names;
    for (const auto &entry : m_ports["engines"].items()) {
        names.push_back(entry.key());
    }
    return names;
}

const json &fleet::ports() const
{
    return m_ports;
}

bool fleet::whole(int boundMs) const
{
    return eventually(
        [this] {
            std::size_t running = 0;
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                if (m_daemons[i].pid == 0) {
                    continue;
                }
                running = i;
                if (call("GET", url(i) + "/readyz", "", {}, 1'000).status != 200) {
                    return false;
                }
            }
            std::size_t serving = 0;
            for (const json &server : servers(running)) {
                serving += server.value("role", "") == "serving" ? 1 : 0;
            }
            return serving == m_ports["engines"].size();
        },
        boundMs);
}

json fleet::servers(std::size_t askedDaemon) const
{
    const answer page =
        call("GET", url(askedDaemon) + "/admin/servers", "", {"Authorization: Bearer " + operatorKey}, 3'000);
    const json parsed = page.parsed();
    return parsed.is_object() ? parsed.value("servers", json::array()) : json::array();
}

std::size_t fleet::ownerOf(const std::string &engine, std::size_t askedDaemon) const
{
    for (const json &server : servers(askedDaemon)) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (server.value("name", "") == engine && server.value("owner", "") == name(i)) {
                return i;
            }
        }
    }
    return m_daemons.size();
}

answer fleet::complete(std::size_t daemon, const std::string &adapter, const std::string &prompt, int tokens,
    const std::vector<std::string> &headers, long timeoutMs) const
{
    std::vector<std::string> lines{"Authorization: Bearer " + callerKey, "Content-Type: application/json"};
    lines.insert(lines.end(), headers.begin(), headers.end());
    const json body{{"model", adapter}, {"prompt", prompt}, {"max_tokens", tokens}};
    return call("POST", url(daemon) + "/v1/completions", body.dump(), lines, timeoutMs);
}

answer fleet::patch(const json &set, std::uint64_t base, std::size_t daemon, const std::string &id) const
{
    static int sequence = 0;
    const json body{{"base", base}, {"id", id.empty() ? "test-" + std::to_string(++sequence) : id},
        {"by", "test"}, {"set", set}};
    return call("POST", url(daemon) + "/admin/patch", body.dump(), {"Authorization: Bearer " + operatorKey});
}

std::uint64_t fleet::version(std::size_t daemon) const
{
    const answer page =
        call("GET", url(daemon) + "/admin/instances", "", {"Authorization: Bearer " + operatorKey}, 3'000);
    const json parsed = page.parsed();
    return parsed.is_object() ? parsed.value("version", std::uint64_t{0}) : 0;
}

void fleet::faults(const std::string &engine, const json &faults) const
{
    call("POST", engineUrl(engine) + "/standin/faults", faults.dump());
}

void fleet::kvFaults(const json &faults) const
{
    call("POST", "http://127.0.0.1:" + std::to_string(m_ports["kv"].get<int>()) + "/standin/faults",
        faults.dump());
}

json fleet::record(const std::string &engine) const
{
    return call("GET", engineUrl(engine) + "/standin/record").parsed();
}

std::size_t fleet::coldStarts() const
{
    std::size_t count = 0;
    for (const std::string &engine : engines()) {
        for (const json &entry : record(engine).value("entries", json::array())) {
            count += entry.value("kind", "") == "cold_start" ? 1 : 0;
        }
    }
    return count;
}

std::vector<json> fleet::runs() const
{
    std::vector<json> all;
    for (const std::string &engine : engines()) {
        for (const json &entry : record(engine).value("entries", json::array())) {
            if (entry.value("kind", "") == "run") {
                all.push_back(entry);
            }
        }
    }
    return all;
}

std::vector<json> fleet::violations() const
{
    std::vector<json> all;
    for (const std::string &engine : engines()) {
        for (const json &entry : record(engine).value("entries", json::array())) {
            if (entry.value("kind", "") == "violation") {
                all.push_back(entry);
            }
        }
    }
    return all;
}

}
