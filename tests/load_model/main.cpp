// Prints how policies serve the loads of the load model, side by side on the same arrivals.
#include "load_model/load_model.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace briarhead::load_model;

void print(const load_plan &plan, route_policy policy, std::uint64_t seed)
{
    const load_result result = play(plan, policy, seed);
    std::printf("%-24s %-16s worth %.3f, less loads %.3f", plan.name.c_str(),
        std::string(nameOf(policy)).c_str(), result.worth(), result.worthLessLoads());
    for (const auto &[name, kind] : result.kinds) {
        std::printf(" | %s %.2f n %d on time %d, late first %d, gap %d, refused %d, cut %d", name.c_str(),
            kind.earned / kind.owed, kind.requests, kind.onTime, kind.lateFirst, kind.lateGap, kind.refused, kind.cut);
    }
    std::printf(" | loads %d + %d, other domain %d\n", result.loadsFromStore, result.loadsRemembered,
        result.crossDomain);
}

}

int main(int count, char **words)
{
    const std::uint64_t seed = count > 1 ? std::strtoull(words[1], nullptr, 10) : 1;
    const bool all = count <= 2;
    for (const load_plan &plan : {smallPlan(false), smallPlan(true), grownPlan(false), grownPlan(true)}) {
        for (const route_policy policy : {route_policy::Random, route_policy::LeastInFlight,
                 route_policy::Rendezvous, route_policy::Briarhead}) {
            if (all || policy == route_policy::Briarhead) {
                print(plan, policy, seed);
            }
        }
    }
    return 0;
}
