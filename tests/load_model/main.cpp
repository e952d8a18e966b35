#include "load_model/load_model.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <iostream>

namespace {

using namespace briarhead::load_model;

constexpr const char *usage =
    R"(briarhead_policies, how policies serve the loads of the load model, side by side.

Usage:
  briarhead_policies [--seed=SEED] [--ours]
  briarhead_policies (-h | --help)

Options:
  --seed=SEED  Of the arrivals, the same under every policy [default: 1].
  --ours       Without the baselines.
  -h --help    Show this text.
)";

constexpr int exitUsage = 2;

void print(const load_plan &plan, route_policy policy, std::uint64_t seed)
{
    const load_result result = play(plan, policy, seed);
    std::printf("%-24s %-16s worth %.3f, less loads %.3f", plan.name.c_str(),
        std::string(nameOf(policy)).c_str(), result.worth(), result.worthLessLoads());
    for (const auto &[name, kind] : result.kinds) {
        std::printf(" | %s %.2f n %d on time %d, late first %d, gap %d, refused %d, cut %d", name.c_str(),
            kind.earned / kind.owed, kind.requests, kind.onTime, kind.lateFirst, kind.lateGap, kind.refused,
            kind.cut);
    }
    for (const auto &[slowness, speed] : result.speeds) {
        std::printf(" | slowness %.1f gaps over the limit %.3f of %d", slowness,
            speed.streams == 0 ? 0 : static_cast<double>(speed.gapOver) / speed.streams, speed.streams);
    }
    std::printf(" | loads %d + %d, other domain %d\n", result.loadsFromStore, result.loadsRemembered,
        result.crossDomain);
}

}

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc});
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::exception &) {
        std::cerr << "briarhead_policies: The arguments don't fit. 'briarhead_policies --help' lists them.\n";
        return exitUsage;
    }
    const auto seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    for (const load_plan &plan :
        {smallPlan(false), smallPlan(true), grownPlan(false), grownPlan(true), longPromptPlan(false),
            longPromptPlan(true), scarcePlan(), unevenPlan(false), unevenPlan(true)}) {
        if (!arguments.at("--ours").asBool()) {
            print(plan, route_policy::Random, seed);
            print(plan, route_policy::LeastInFlight, seed);
            print(plan, route_policy::Rendezvous, seed);
        }
        print(plan, route_policy::Briarhead, seed);
    }
    return 0;
}
