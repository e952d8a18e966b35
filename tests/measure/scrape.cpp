#include "measure/scrape.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <sstream>

namespace briarhead::testing {

namespace {

constexpr std::string_view prefix = "briarhead_";
constexpr double bytesPerKilobyte = 1024;

/// "2026-01-31T12:00:00.123 ..." in the local time of the machine.
std::int64_t wallMsOf(const std::string &line)
{
    std::tm parts{};
    const char *rest = strptime(line.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr || *rest != '.') {
        return 0;
    }
    parts.tm_isdst = -1;
    return static_cast<std::int64_t>(mktime(&parts)) * 1'000 + std::strtol(rest + 1, nullptr, 10);
}

}

double reading::of(const std::string &name) const
{
    const auto found = gauges.find(name);
    return found == gauges.end() ? 0 : found->second;
}

reading readDaemon(const fleet &from, std::size_t daemon)
{
    const answer page = call("GET", from.url(daemon) + "/metrics");
    reading now;
    now.at = monotonicSeconds();
    std::istringstream lines(page.body);
    for (std::string name, value; lines >> name;) {
        std::getline(lines, value);
        if (name.starts_with(prefix) && name.find('{') == std::string::npos) {
            now.gauges[name.substr(prefix.size())] = std::strtod(value.c_str(), nullptr);
        }
    }
    return now;
}

readings readAll(const fleet &from)
{
    readings all;
    for (std::size_t i = 0; i < from.size(); ++i) {
        if (from.pid(i) != 0) {
            all[i] = readDaemon(from, i);
        }
    }
    return all;
}

spread spreadOf(const std::vector<double> &values)
{
    spread all;
    for (const double value : values) {
        all.mean += value / static_cast<double>(values.size());
        all.most = std::max(all.most, value);
    }
    return all;
}

spread ratesOf(const readings &before, const readings &after, const std::vector<std::string> &gauges)
{
    std::vector<double> rates;
    for (const auto &[daemon, now] : after) {
        const auto then = before.find(daemon);
        if (then == before.end()) {
            continue;
        }
        double grown = 0;
        for (const std::string &name : gauges) {
            grown += now.of(name) - then->second.of(name);
        }
        rates.push_back(grown / (now.at - then->second.at));
    }
    return spreadOf(rates);
}

double cpuBetween(const reading &before, const reading &after)
{
    return after.of("process_cpu_seconds") - before.of("process_cpu_seconds");
}

double monotonicSeconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double>(now).count();
}

std::int64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::vector<log_line> linesWith(
    const fleet &from, std::size_t daemon, const std::string &part, std::int64_t sinceMs)
{
    std::vector<log_line> found;
    std::istringstream lines(from.log(daemon));
    for (std::string line; std::getline(lines, line);) {
        if (line.find(part) == std::string::npos) {
            continue;
        }
        if (const std::int64_t at = wallMsOf(line); at >= sinceMs) {
            found.push_back({at, line});
        }
    }
    return found;
}

json kvRecord(const fleet &from)
{
    const std::string port = std::to_string(from.ports()["kv"].get<int>());
    return call("GET", "http://127.0.0.1:" + port + "/standin/record").parsed();
}

double kvCalls(const json &record)
{
    double calls = 0;
    for (const char *kind : {"range", "txn", "grant", "keepalive", "revoke", "watch_created"}) {
        calls += record.value(kind, 0.0);
    }
    return calls;
}

loopback_traffic loopbackTraffic()
{
    std::ifstream file("/proc/net/dev");
    loopback_traffic traffic;
    for (std::string line; std::getline(file, line);) {
        if (const auto at = line.find("lo:"); at != std::string::npos) {
            std::istringstream(line.substr(at + 3)) >> traffic.bytes >> traffic.packets;
        }
    }
    return traffic;
}

double peakResidentBytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::strtod(line.c_str() + 6, nullptr) * bytesPerKilobyte;
        }
    }
    return 0;
}

void printHead()
{
    std::puts("| case | daemons | figure | mean | worst |\n| --- | ---: | --- | ---: | ---: |");
}

void printRow(const std::string &when, std::size_t daemons, const std::string &figure, spread value)
{
    std::printf(
        "| %s | %zu | %s | %.4g | %.4g |\n", when.c_str(), daemons, figure.c_str(), value.mean, value.most);
    std::fflush(stdout);
}

void printRow(const std::string &when, std::size_t daemons, const std::string &figure, double value)
{
    std::printf("| %s | %zu | %s | %.4g | |\n", when.c_str(), daemons, figure.c_str(), value);
    std::fflush(stdout);
}

}
