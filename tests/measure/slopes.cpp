// Measures the slopes behind docs/CAPACITY.md on real daemons and stand-ins; see scripts/slopes.sh.
#include "measure/cases.h"

#include <docopt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <thread>

namespace briarhead::testing {

namespace {

constexpr char usage[] = R"(Measures what control and requests cost, and prints one table.

Usage:
  briarhead_slopes [--sizes=LIST] [--large=N] [--quick]
  briarhead_slopes (-h | --help)

Options:
  --sizes=LIST  Fleets that run at the same time, in daemons [default: 3,9,30,100].
  --large=N     A fleet that runs alone afterwards, for all bytes on the loopback; 0: none [default: 150].
  --quick       Small fleets, little settling: to see that it works, not for the page.
  -h --help     Show this text.
)";

/// Daemons tell where they are for a minute after their start, so rest begins after that.
constexpr double settleSeconds = 62;
constexpr double quickSettleSeconds = 5;
constexpr double restSeconds = 12;
constexpr double quickRestSeconds = 4;
/// Below the ports that outgoing connections take.
constexpr std::uint16_t firstPort = 20'000;
constexpr std::size_t portsPerDaemon = 2;
/// 4,100 servers before 1,200 daemons.
constexpr double serversPerDaemon = 4'100.0 / 1'200.0;
constexpr std::size_t fewestServers = 6;
/// Many for three daemons.
constexpr std::size_t manyServers = 150;
constexpr std::size_t quickManyServers = 60;

struct pace
{
    double settle;
    double rest;
};

class bench
{
public:
    explicit bench(bool quick)
        : m_quick(quick)
        , m_pace(quick ? pace{quickSettleSeconds, quickRestSeconds} : pace{settleSeconds, restSeconds})
    {
    }

    void side(const std::vector<std::size_t> &sizes);
    void polls();
    void alone(std::size_t size);

private:
    std::unique_ptr<fleet> start(std::size_t daemons, std::size_t servers);

    bool m_quick;
    pace m_pace;
    std::uint16_t m_port = firstPort;
};

std::size_t serversOf(std::size_t daemons)
{
    return std::max(fewestServers, static_cast<std::size_t>(serversPerDaemon * static_cast<double>(daemons)));
}

std::unique_ptr<fleet> bench::start(std::size_t daemons, std::size_t servers)
{
    const double began = monotonicSeconds();
    auto made = std::make_unique<fleet>(productionFleet(daemons, servers, m_port));
    m_port = static_cast<std::uint16_t>(m_port + portsPerDaemon * daemons);
    printRow("start", daemons, "all ready and " + std::to_string(servers) + " servers owned, s",
        monotonicSeconds() - began);
    return made;
}

/// The fleets rest together; then each other case runs on the fleet that suits it.
void bench::side(const std::vector<std::size_t> &sizes)
{
    std::vector<std::unique_ptr<fleet>> fleets;
    fleets.reserve(sizes.size());
    for (const std::size_t size : sizes) {
        fleets.push_back(start(size, serversOf(size)));
    }
    const double settled = monotonicSeconds() + m_pace.settle;
    const std::size_t many = m_quick ? quickManyServers : manyServers;
    const auto narrow = start(3, 12);
    const auto wide = start(3, many);
    {
        const auto memory = start(3, fewestServers);
        measureMemory(*memory, m_quick ? 3'000 : 160'000);
    }
    pauseUntil(settled);
    std::vector<const fleet *> all;
    all.reserve(fleets.size());
    for (const auto &one : fleets) {
        all.push_back(one.get());
    }
    measureRest(all, m_pace.rest);
    measureRest({wide.get()}, m_pace.rest / 4);
    measureRequests(*narrow, "12 servers", m_quick);
    measureRequests(*wide, std::to_string(many) + " servers", true);
    fleet &largest = *fleets.back();
    measurePatches(largest);
    measureOutage(largest);
    measureLoss(largest, {largest.size() / 2}, "one daemon killed");
    std::vector<std::size_t> domain;
    for (std::size_t i = 0; i < largest.size(); ++i) {
        if (i % productionDomains == 0 && largest.pid(i) != 0) {
            domain.push_back(i);
        }
    }
    measureLoss(largest, domain, "a failure domain killed");
}

/// Many engines a daemon, so that the bytes of asking them for their state stand out.
void bench::polls()
{
    const auto one = start(3, m_quick ? quickManyServers : manyServers);
    pauseUntil(monotonicSeconds() + quickSettleSeconds);
    measureLoopback(*one, quickSettleSeconds);
}

/// Alone on the loopback, so that its counters hold this fleet's traffic only, also HTTP and TCP's own.
void bench::alone(std::size_t size)
{
    const double settled = monotonicSeconds() + m_pace.settle;
    const auto one = start(size, serversOf(size));
    pauseUntil(settled);
    measureLoopback(*one, m_pace.rest);
}

std::vector<std::size_t> numbersIn(const std::string &list)
{
    std::vector<std::size_t> numbers;
    std::istringstream from(list);
    for (std::string each; std::getline(from, each, ',');) {
        numbers.push_back(std::strtoul(each.c_str(), nullptr, 10));
    }
    return numbers;
}

}

void pauseUntil(double at)
{
    const double left = at - monotonicSeconds();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
}

}

int main(int argc, char **argv)
{
    using namespace briarhead::testing;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const bool quick = arguments.at("--quick").asBool();
    try {
        printHead();
        measureDecisions(quick);
        bench all(quick);
        all.side(quick ? std::vector<std::size_t>{3, 9} : numbersIn(arguments.at("--sizes").asString()));
        all.polls();
        const long large = arguments.at("--large").asLong();
        if (large > 0 && !quick) {
            all.alone(static_cast<std::size_t>(large));
        }
    } catch (const std::exception &problem) {
        std::fprintf(stderr, "slopes: %s\n", problem.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
