// Runs the soak by hand: briarhead_soak FIRST_SEED COUNT [SECONDS] [DAEMONS]
#include "soak/soak.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

int main(int count, char **words)
{
    using namespace briarhead::soak;
    if (count < 3) {
        std::fprintf(
            stderr, "briarhead_soak: Name the first seed and how many: FIRST COUNT [SECONDS] [DAEMONS].\n");
        return 2;
    }
    const std::uint64_t first = std::strtoull(words[1], nullptr, 10);
    const std::uint64_t seeds = std::strtoull(words[2], nullptr, 10);
    int failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        soak_options options;
        options.seed = seed;
        options.program = BRIARHEAD_EDGE;
        options.length = {(count > 3 ? std::strtoll(words[3], nullptr, 10) : 12) * 1'000};
        options.daemons = count > 4 ? std::strtoull(words[4], nullptr, 10) : options.daemons;
        options.folder = std::filesystem::temp_directory_path() / ("briarhead-soak-" + std::to_string(seed));
        std::filesystem::remove_all(options.folder);
        std::filesystem::create_directories(options.folder);
        const soak_report report = runSoak(options);
        std::printf(
            "seed %llu: %zu requests, %zu served, %zu refused, %zu failed, %zu cut, %zu starts, recovered in "
            "%lld ms, %zu violations\n",
            static_cast<unsigned long long>(seed), report.requests, report.served, report.refused,
            report.failed, report.cut, report.starts, static_cast<long long>(report.recovered.count),
            report.violations.size());
        for (const std::string &each : report.violations) {
            std::printf("  %s\n", each.c_str());
        }
        if (report.violations.empty()) {
            std::filesystem::remove_all(options.folder);
            continue;
        }
        ++failed;
        for (const std::string &each : report.faults) {
            std::printf("    %s\n", each.c_str());
        }
        std::printf("    logs: %s\n", options.folder.c_str());
    }
    return failed == 0 ? 0 : 1;
}
