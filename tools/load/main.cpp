// Sends a workload to a fleet with open-loop arrivals and prints what it measured; scripts/experiment.sh
// starts the fleet.
#include "load/fleet_calls.h"

#include <docopt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <memory>
#include <sstream>

namespace briarhead::load {

namespace {

using nlohmann::json;

constexpr char usage[] =
    R"(Sends a workload to a running fleet and prints one row of figures and one JSON line.

Usage:
  briarhead_load --workload=NAME --entries=URLS --engines=URLS --store=URL --operator-key=KEY
                 [--label=TEXT] [--seconds=N] [--warm-up=N] [--seed=N] [--rate=FACTOR]
                 [--stall-weight=W] [--standins-pid=PID] [--head]
  briarhead_load --list
  briarhead_load (-h | --help)

Options:
  --workload=NAME     One of those that --list prints.
  --entries=URLS      Entries' URLs, separated by commas; requests go to them in turn.
  --engines=URLS      Stand-in engines' URLs, whose counts are read.
  --store=URL         The stand-in weight store.
  --operator-key=KEY  Submits the workload's configuration.
  --label=TEXT        Names the row [default: run].
  --seconds=N         Measured time [default: 24].
  --warm-up=N         Seconds of load before it [default: 10].
  --seed=N            Same arrivals for the same seed [default: 1].
  --rate=FACTOR       On the workload's rates, to look for the knee [default: 1].
  --stall-weight=W    Of the policy, 0 to 1; the workload's own unless given.
  --standins-pid=PID  Whose processor time is told.
  --head              Prints the table's head first.
  --list              Prints the workloads' names.
  -h --help           Show this text.
)";

constexpr std::uint32_t msPerSecond = 1'000;
/// A caller gives up so long after its deadline.
constexpr millis callerPatience{2'000};
/// Prompts begin with their adapter's own instructions, in a few forms, and those fill the prefix.
constexpr std::size_t promptHeadBytes = 256;
constexpr std::uint32_t promptHeads = 4;

/// What the message of a request says that was given up on with its adapter loaded.
constexpr std::string_view placeWaitText = "place in the batch";

std::vector<std::string> listOf(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream from(text);
    for (std::string part; std::getline(from, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

std::string promptOf(const arrival &request, std::size_t number)
{
    std::string head = adapterName(request.adapter) + " form " + std::to_string(number % promptHeads) + " ";
    head.resize(promptHeadBytes, '.');
    return head + "request " + std::to_string(number);
}

/// Sends the arrivals when they are due, whatever has been answered, and keeps what came of them.
class runner
{
public:
    runner(loop &eventLoop, http_client &client, fleet_calls &fleet, const workload &of, const schedule &when,
        std::vector<std::string> entries);

    /// Runs the loop until the last request has ended.
    figures run();

private:
    void sendDue();
    void send(std::size_t number);
    void onAnswer(std::size_t number, double lateMs, const http_result &result);
    void plan(millis at, std::function<void()> call);
    void stopWhenDone();

    loop &m_loop;
    http_client &m_client;
    fleet_calls &m_fleet;
    const workload &m_of;
    const schedule &m_when;
    std::vector<std::string> m_entries;
    std::vector<arrival> m_arrivals;
    std::vector<sample> m_samples;
    std::vector<std::shared_ptr<void>> m_timers;
    millis m_start;
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    engine_counts m_before;
    std::optional<engine_counts> m_after;
};

runner::runner(loop &eventLoop, http_client &client, fleet_calls &fleet, const workload &of,
    const schedule &when, std::vector<std::string> entries)
    : m_loop(eventLoop)
    , m_client(client)
    , m_fleet(fleet)
    , m_of(of)
    , m_when(when)
    , m_entries(std::move(entries))
    , m_arrivals(arrivalsOf(of, when))
{
}

void runner::plan(millis at, std::function<void()> call)
{
    m_timers.push_back(m_loop.timer(at, {}, std::move(call)));
}

figures runner::run()
{
    m_start = bootNow();
    const millis third{m_when.measured.count / 3};
    plan(m_when.warmUp, [this] {
        m_fleet.readCounts([this](const engine_counts &counts) {
            m_before = counts;
        });
    });
    plan(m_when.warmUp + third, [this] {
        m_fleet.coldStart(m_of.coldEngines);
        if (m_of.storeShare < 1) {
            m_fleet.slowStore(m_of.storeShare);
        }
    });
    plan(m_when.warmUp + m_when.measured, [this] {
        m_fleet.readCounts([this](const engine_counts &counts) {
            m_after = counts;
            stopWhenDone();
        });
    });
    const auto sender = m_loop.timer({1}, {1}, [this] {
        sendDue();
    });
    m_loop.run();
    return figuresOf(m_samples, m_before, *m_after, m_when.measured, penaltyPerMiss(m_of));
}

void runner::sendDue()
{
    const millis now = bootNow() - m_start;
    while (m_next < m_arrivals.size() && m_arrivals[m_next].at <= now) {
        send(m_next++);
    }
}

void runner::send(std::size_t number)
{
    const arrival &request = m_arrivals[number];
    const millis late = bootNow() - m_start - request.at;
    http_call call;
    call.method = "POST";
    call.url = m_entries[number % m_entries.size()] + "/v1/completions";
    call.headers = {"Authorization: Bearer " + callerKey(request.caller), "Content-Type: application/json",
        "X-Priority: " + std::string(nameOf(request.rank)),
        "X-Deadline-Ms: " + std::to_string(std::max<std::int64_t>(1, (request.deadline - late).count))};
    call.body = json{{"model", adapterName(request.adapter)}, {"prompt", promptOf(request, number)},
        {"max_tokens", request.tokens}}
                    .dump();
    call.timeout = request.deadline + callerPatience;
    ++m_open;
    m_client.start(call, [this, number, late](const http_result &result) {
        onAnswer(number, static_cast<double>(late.count), result);
    });
}

void runner::onAnswer(std::size_t number, double lateMs, const http_result &result)
{
    --m_open;
    const arrival &request = m_arrivals[number];
    if (request.at >= m_when.warmUp) {
        sample one;
        one.caller = request.caller;
        one.status = result.complete ? result.status : 0;
        one.wholeMs = static_cast<double>((bootNow() - m_start - request.at).count);
        one.deadlineMs = static_cast<double>(request.deadline.count);
        one.lateMs = lateMs;
        const auto stall = result.headers.find("x-briarhead-stall-ms");
        one.stallMs = stall == result.headers.end() ? 0 : std::atof(stall->second.c_str());
        const json page = json::parse(result.body, nullptr, false);
        if (page.is_object() && page.contains("error")) {
            one.outcome = page["error"].value("outcome", "");
            const std::string message = page["error"].value("message", "");
            one.waitedForLoad = one.outcome == "not_run" && !isRefusedAtOnce(one)
                && message.find(placeWaitText) == std::string::npos;
        }
        m_samples.push_back(std::move(one));
    }
    stopWhenDone();
}

void runner::stopWhenDone()
{
    if (m_next == m_arrivals.size() && m_open == 0 && m_after) {
        m_loop.stop();
    }
}

schedule scheduleIn(std::map<std::string, docopt::value> &arguments)
{
    const auto spanOf = [&](const char *name) {
        return millis{arguments.at(name).asLong() * msPerSecond};
    };
    schedule when;
    when.warmUp = spanOf("--warm-up");
    when.measured = spanOf("--seconds");
    when.rateFactor = std::stod(arguments.at("--rate").asString());
    when.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    return when;
}

fleet_place placeIn(std::map<std::string, docopt::value> &arguments)
{
    fleet_place place;
    place.entries = listOf(arguments.at("--entries").asString());
    place.engines = listOf(arguments.at("--engines").asString());
    place.store = arguments.at("--store").asString();
    place.operatorKey = arguments.at("--operator-key").asString();
    const docopt::value &pid = arguments.at("--standins-pid");
    place.standinsPid = pid ? static_cast<int>(pid.asLong()) : 0;
    return place;
}

int measure(std::map<std::string, docopt::value> &arguments)
{
    const auto of = workloadOf(arguments.at("--workload").asString());
    if (!of) {
        std::cerr << "load: no such workload; --list prints their names\n";
        return EXIT_FAILURE;
    }
    const docopt::value &weight = arguments.at("--stall-weight");
    const schedule when = scheduleIn(arguments);
    const fleet_place place = placeIn(arguments);
    loop eventLoop;
    http_client client(eventLoop);
    fleet_calls fleet(eventLoop, client, place);
    if (!fleet.configure(*of, weight ? std::stod(weight.asString()) : of->stallWeight)
        || !fleet.waitWhole()) {
        return EXIT_FAILURE;
    }
    const figures all = runner(eventLoop, client, fleet, *of, when, place.entries).run();
    const std::string label = std::string(of->name) + ' ' + arguments.at("--label").asString();
    if (arguments.at("--head").asBool()) {
        std::cout << tableHead() << '\n';
    }
    std::cout << tableRow(label, all) << '\n' << jsonLine(label, all) << std::endl;
    return all.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

}

int main(int argc, char **argv)
{
    using namespace briarhead::load;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (arguments.at("--list").asBool()) {
        for (const workload &one : allWorkloads()) {
            std::cout << one.name << '\n';
        }
        return EXIT_SUCCESS;
    }
    return measure(arguments);
}
