// The cases of memory and of requests.
#include "measure/cases.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace briarhead::testing {

namespace {

constexpr double bytesPerMegabyte = 1e6;
constexpr std::size_t adaptersPerPatch = 2'000;
constexpr std::size_t fewAdapters = 3'000;
constexpr std::size_t seededAdapters = 50;
constexpr std::size_t threads = 8;
constexpr double idleSeconds = 3;
constexpr std::size_t latencySamples = 200;
constexpr int statusOk = 200;

/// Adapters whose server one daemon owns, and that daemon.
struct target
{
    std::size_t owner = 0;
    std::string server;
    std::vector<std::string> adapters;
};

json patchBody(std::size_t from, std::size_t to)
{
    json set;
    for (std::size_t i = from; i < to; ++i) {
        set["adapters"]["popisnica/reading-list-" + std::to_string(i)] = {
            {"base_model", "base"}, {"active", 2}, {"versions", {1, 2}}};
    }
    return set;
}

void printMemory(const fleet &of, std::size_t adapters, const std::string &how)
{
    std::vector<double> resident;
    std::vector<double> peak;
    for (const auto &[daemon, now] : readAll(of)) {
        resident.push_back(now.of("process_resident_bytes") / bytesPerMegabyte);
        peak.push_back(peakResidentBytes(of.pid(daemon)) / bytesPerMegabyte);
    }
    const std::string with = " with " + std::to_string(adapters) + " adapters" + how + ", MB";
    printRow("memory", of.size(), "resident" + with, spreadOf(resident));
    printRow("memory", of.size(), "peak" + with, spreadOf(peak));
}

/// A target and an entry that is not its owner.
target findTarget(const fleet &of)
{
    std::map<std::string, target> byServer;
    for (std::size_t i = 0; i < seededAdapters; ++i) {
        const std::string adapter = "a" + std::to_string(i);
        const answer got = of.complete(0, adapter, "warm", 1);
        const auto server = got.headers.find("x-briarhead-server");
        if (got.status == statusOk && server != got.headers.end()) {
            byServer[server->second].adapters.push_back(adapter);
        }
    }
    target best;
    for (auto &[server, each] : byServer) {
        if (each.adapters.size() > best.adapters.size()) {
            best = each;
            best.server = server;
        }
    }
    best.owner = of.ownerOf(best.server);
    if (best.owner == of.size()) {
        throw std::runtime_error("no adapter was served");
    }
    return best;
}

std::size_t drive(const fleet &of, std::size_t entry, const target &to, std::size_t requests, int tokens)
{
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> done{0};
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::size_t at = next++; at < requests; at = next++) {
                const json body{{"model", to.adapters[at % to.adapters.size()]},
                    {"prompt", "request " + std::to_string(at)}, {"max_tokens", tokens}, {"stream", true}};
                const answer got = call("POST", of.url(entry) + "/v1/completions", body.dump(),
                    {"Authorization: Bearer " + fleet::callerKey, "Content-Type: application/json"});
                done += got.status == statusOk && got.whole ? 1 : 0;
            }
        });
    }
    for (std::thread &each : workers) {
        each.join();
    }
    return done;
}

/// Processor time of a request at its entry and at its owner.
struct request_cost
{
    double entryUs = 0;
    double ownerUs = 0;
};

request_cost costOf(const fleet &of, std::size_t entry, const target &to, std::size_t requests, int tokens)
{
    const readings idle = readAll(of);
    pauseUntil(monotonicSeconds() + idleSeconds);
    const readings before = readAll(of);
    const auto done = static_cast<double>(drive(of, entry, to, requests, tokens));
    const readings after = readAll(of);
    const auto each = [&](std::size_t daemon) {
        const double rest =
            cpuBetween(idle.at(daemon), before.at(daemon)) / (before.at(daemon).at - idle.at(daemon).at);
        const double busy = cpuBetween(before.at(daemon), after.at(daemon));
        return (busy - rest * (after.at(daemon).at - before.at(daemon).at)) * 1e6 / done;
    };
    if (done < static_cast<double>(requests)) {
        printRow("requests", of.size(), "not done, of " + std::to_string(requests),
            static_cast<double>(requests) - done);
    }
    return {each(entry), entry == to.owner ? 0 : each(to.owner)};
}

void printCosts(const fleet &of, const std::string &when, std::size_t entry, const target &to, bool brief)
{
    constexpr int fewTokens = 4;
    constexpr int manyTokens = 204;
    const std::string path = entry == to.owner ? "entry is owner" : "entry and owner differ";
    const request_cost few = costOf(of, entry, to, brief ? 500 : 1'500, fewTokens);
    const auto show = [&](const std::string &figure, double value) {
        printRow("requests, " + when, of.size(), path + ": " + figure, value);
    };
    show("request of 4 tokens, entry, us", few.entryUs);
    show("request of 4 tokens, owner, us", few.ownerUs);
    if (brief) {
        return;
    }
    const request_cost many = costOf(of, entry, to, 300, manyTokens);
    show("token, entry, us", (many.entryUs - few.entryUs) / (manyTokens - fewTokens));
    show("token, owner, us", (many.ownerUs - few.ownerUs) / (manyTokens - fewTokens));
}

double quantile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0
                          : values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/// One request after the other, the three ways in turn, so that the machine's load meets them alike.
void printLatencies(const fleet &of, const std::string &when, std::size_t other, const target &to)
{
    const json state = call("GET", of.engineUrl(to.server) + "/v1/state").parsed();
    const std::vector<std::string> direct{"Content-Type: application/json",
        "X-Fencing-Token: " + std::to_string(state.value("fencing", std::uint64_t{0}))};
    const json body{{"model", to.adapters[0] + ":1"}, {"prompt", "direct"}, {"max_tokens", 1}};
    std::map<std::string, std::vector<double>> took;
    const auto timed = [&took](const std::string &way, const auto &send) {
        const double began = monotonicSeconds();
        if (send().status == statusOk) {
            took[way].push_back((monotonicSeconds() - began) * 1e3);
        }
    };
    for (std::size_t i = 0; i < latencySamples; ++i) {
        timed("engine alone", [&] {
            return call("POST", of.engineUrl(to.server) + "/v1/completions", body.dump(), direct);
        });
        timed("entry is owner", [&] {
            return of.complete(to.owner, to.adapters[0], "direct", 1);
        });
        timed("entry and owner differ", [&] {
            return of.complete(other, to.adapters[0], "direct", 1);
        });
    }
    for (const auto &[way, values] : took) {
        printRow("requests, " + when, of.size(), way + ": median and 99th of 100, ms",
            {quantile(values, 0.5), quantile(values, 0.99)});
    }
}

}

void measureMemory(fleet &of, std::size_t adapters)
{
    printMemory(of, 0, "");
    const double began = monotonicSeconds();
    const readings before = readAll(of);
    std::vector<double> seconds;
    std::uint64_t version = 1;
    for (std::size_t from = 0; from < adapters;) {
        // Small first, so that the sizes of today and of the future are both met exactly.
        const std::size_t to = std::min(from < fewAdapters ? fewAdapters : adapters, from + adaptersPerPatch);
        const double sent = monotonicSeconds();
        const answer done = of.patch(patchBody(from, to), version, 0, "memory-" + std::to_string(version));
        if (done.status != statusOk) {
            throw std::runtime_error("a patch was refused: " + done.body);
        }
        seconds.push_back(monotonicSeconds() - sent);
        ++version;
        from = to;
        if (from == fewAdapters) {
            printMemory(of, from, "");
        }
    }
    printRow("memory", of.size(), "a patch of 2,000 adapters is accepted after, s", spreadOf(seconds));
    printRow("memory", of.size(), "all patches took, s", monotonicSeconds() - began);
    const readings after = readAll(of);
    printRow("memory", of.size(), "processor for all patches at the submitting daemon, s",
        cpuBetween(before.at(0), after.at(0)));
    printRow("memory", of.size(), "processor for all patches at another daemon, s",
        cpuBetween(before.at(1), after.at(1)));
    printMemory(of, adapters, "");
    measureHead(of, "memory");
    of.kill(1);
    const double killed = monotonicSeconds();
    of.start(1);
    eventually([&of] {
        return call("GET", of.url(1) + "/readyz", "", {}, 1'000).status == statusOk;
    });
    printRow("memory", of.size(), "a new process is ready after, s", monotonicSeconds() - killed);
    printRow("memory", of.size(), "resident of a new process, MB",
        readDaemon(of, 1).of("process_resident_bytes") / bytesPerMegabyte);
    printRow(
        "memory", of.size(), "peak of a new process, MB", peakResidentBytes(of.pid(1)) / bytesPerMegabyte);
}

void measureRequests(const fleet &of, const std::string &when, bool brief)
{
    // One replica, so that an adapter's requests all go through one owner.
    of.patch({{"policy", {{"max_replicas", 1}, {"store_loads_per_second", 100}}}}, 1, 0, "one-replica");
    const target to = findTarget(of);
    const std::size_t other = (to.owner + 1) % of.size();
    printCosts(of, when, to.owner, to, brief);
    printCosts(of, when, other, to, brief);
    printLatencies(of, when, other, to);
}

}
