#include "soak/soak.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <filesystem>
#include <iostream>

namespace {

using namespace briarhead::soak;

constexpr const char *usage = R"(briarhead_soak, real processes under the faults of a seed.

Usage:
  briarhead_soak [--first=SEED] [--seeds=COUNT] [--seconds=SPAN] [--daemons=COUNT] [--program=FILE]
                [--power-losses]
  briarhead_soak (-h | --help)

Options:
  --first=SEED     The first seed [default: 1].
  --seeds=COUNT    How many, one after the other [default: 1].
  --seconds=SPAN   Traffic under faults, for each seed [default: 12].
  --daemons=COUNT  Processes of briarhead-edge [default: 4].
  --power-losses   Also kill all processes at once, behind late writes of adapters' versions.
  --program=FILE   briarhead-edge, where it isn't the one built beside this.
  -h --help        Show this text.

Exit codes: 0 no promise was broken, 1 some were; their lines, the faults and the folder of logs are printed,
2 bad usage.
)";

constexpr int exitViolations = 1;
constexpr int exitUsage = 2;

/// Whether the seed's run broke a promise; then its logs are kept.
bool play(soak_options options)
{
    options.folder =
        std::filesystem::temp_directory_path() / ("briarhead-soak-" + std::to_string(options.seed));
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    const soak_report report = runSoak(options);
    std::printf(
        "seed %llu: %zu requests, %zu served, %zu refused, %zu failed, %zu cut, %zu starts, recovered in "
        "%lld ms, %zu violations\n",
        static_cast<unsigned long long>(options.seed), report.requests, report.served, report.refused,
        report.failed, report.cut, report.starts, static_cast<long long>(report.recovered.count),
        report.violations.size());
    for (const std::string &each : report.violations) {
        std::printf("  %s\n", each.c_str());
    }
    if (!report.violations.empty()) {
        for (const std::string &each : report.faults) {
            std::printf("    %s\n", each.c_str());
        }
        std::printf("    logs: %s\n", options.folder.c_str());
    } else {
        std::filesystem::remove_all(options.folder);
    }
    std::fflush(stdout);
    return !report.violations.empty();
}

}

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments;
    soak_options options;
    std::uint64_t seeds = 0;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc});
        options.seed = static_cast<std::uint64_t>(arguments.at("--first").asLong());
        seeds = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
        options.length = {arguments.at("--seconds").asLong() * 1'000};
        options.daemons = static_cast<std::size_t>(arguments.at("--daemons").asLong());
        options.powerLosses = arguments.at("--power-losses").asBool();
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::exception &) {
        std::cerr << "briarhead_soak: The arguments don't fit. 'briarhead_soak --help' lists them.\n";
        return exitUsage;
    }
    options.program = arguments.at("--program") ? arguments.at("--program").asString() : BRIARHEAD_EDGE;
    std::uint64_t failed = 0;
    for (std::uint64_t i = 0; i < seeds; ++i, ++options.seed) {
        failed += play(options) ? 1 : 0;
    }
    return failed == 0 ? 0 : exitViolations;
}
