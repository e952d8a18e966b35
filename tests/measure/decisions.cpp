// What the pure parts cost at the sizes of docs/CAPACITY.md, in processor time of one thread.
#include "coordination/rendezvous.h"
#include "coordination/replicas.h"
#include "coordination/routing.h"
#include "measure/scrape.h"
#include "state/config.h"

#include <ctime>
#include <functional>
#include <stdexcept>

namespace briarhead::testing {

namespace {

// A region holds a third of the fleet: 1,200 daemons, 4,100 servers, 4 base models.
constexpr std::size_t regionDaemons = 400;
constexpr std::size_t regionServers = 1'367;
constexpr std::size_t modelServers = regionServers / 4;
constexpr std::size_t adaptersPerPatch = 2'000;

double threadSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/// Microseconds a call, over as many calls as a tenth of a second takes.
double microsecondsOf(const std::function<void(std::size_t)> &call)
{
    constexpr double enoughSeconds = 0.1;
    const double start = threadSeconds();
    std::size_t calls = 0;
    while (threadSeconds() - start < enoughSeconds) {
        call(calls++);
    }
    return (threadSeconds() - start) * 1e6 / static_cast<double>(calls);
}

std::vector<std::string> namesOf(const std::string &start, std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(start + std::to_string(i));
    }
    return names;
}

void measureRendezvous()
{
    const auto daemons = namesOf("entry-zg-dubrava-", regionDaemons);
    const auto servers = namesOf("server/engine-zg-dubrava-", regionServers);
    const double one = microsecondsOf([&](std::size_t i) {
        static_cast<void>(rendezvousFirst(servers[i % servers.size()], daemons));
    });
    printRow("decision", 1, "the owner of a server among 400 daemons, us", one);
    printRow("decision", 1, "the owners of a region's 1,367 servers, ms",
        one * static_cast<double>(regionServers) / 1e3);
}

void measureRouting()
{
    std::vector<server_view> servers(modelServers);
    std::vector<replica_candidate> sites(modelServers);
    for (std::size_t i = 0; i < modelServers; ++i) {
        servers[i].name = sites[i].server = "engine-zg-dubrava-" + std::to_string(i);
        servers[i].baseModel = "base";
        servers[i].failureDomain = sites[i].failureDomain = "zg-" + std::to_string(i % 3);
        servers[i].batchLimit = 32;
    }
    std::mt19937_64 random(1);
    const auto adapters = namesOf("popisnica/reading-list-", 1'000);
    printRow(
        "decision", 1, "chooseServer among a model's 341 servers, us", microsecondsOf([&](std::size_t i) {
            route_query query;
            query.adapter = {adapters[i % adapters.size()], 1};
            query.baseModel = "base";
            static_cast<void>(chooseServer(query, servers, 0.5, routing_kind::Briarhead, random));
        }));
    printRow("decision", 1, "replicaSites of 4 among a model's 341 servers, us",
        microsecondsOf([&](std::size_t i) {
            static_cast<void>(chooseReplicaServers(adapters[i % adapters.size()], sites, 4));
        }));
}

config_ptr patched(const config_ptr &at, std::size_t first, std::size_t count)
{
    json set;
    for (std::size_t i = first; i < first + count; ++i) {
        set["adapters"]["popisnica/reading-list-" + std::to_string(i)] = {
            {"base_model", "base"}, {"active", 2}, {"versions", {1, 2}}};
    }
    config_patch patch;
    patch.base = at->version;
    patch.id = "p" + std::to_string(at->version);
    patch.set = set.dump();
    error why;
    auto next = applyPatch(*at, patch, why);
    if (!next) {
        throw std::runtime_error(message(why));
    }
    return next;
}

void measureConfiguration(std::size_t adapters)
{
    config_ptr at = emptyConfig();
    for (std::size_t i = 0; i < adapters; i += adaptersPerPatch) {
        at = patched(at, i, std::min(adaptersPerPatch, adapters - i));
    }
    const std::string of = " of " + std::to_string(adapters) + " adapters, ms";
    printRow(
        "decision", 1, "a patch of one adapter to a configuration" + of, microsecondsOf([&](std::size_t i) {
            static_cast<void>(patched(at, i % adapters, 1));
        }) / 1e3);
    std::map<std::string, std::string> chunks;
    printRow("decision", 1, "snapshot texts" + of, microsecondsOf([&](std::size_t) {
        chunks = toChunks(*at);
    }) / 1e3);
    double bytes = 0;
    for (const auto &[name, text] : chunks) {
        bytes += static_cast<double>(text.size());
    }
    printRow("decision", 1, "snapshot texts of " + std::to_string(adapters) + " adapters, bytes", bytes);
    printRow("decision", 1, "snapshot chunks of " + std::to_string(adapters) + " adapters",
        static_cast<double>(chunks.size()));
    printRow("decision", 1, "reading a snapshot" + of, microsecondsOf([&](std::size_t) {
        error why;
        static_cast<void>(fromChunks(at->version, chunks, why));
    }) / 1e3);
}

}

void measureDecisions(bool quick)
{
    measureRendezvous();
    measureRouting();
    measureConfiguration(3'000);
    if (!quick) {
        measureConfiguration(160'000);
    }
}

}
