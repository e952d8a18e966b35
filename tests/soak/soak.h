#pragma once

#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

// Runs briarhead-edge as several processes against a store and servers of this process, harms them from
// outside by a seed's schedule, and checks what callers and servers see.
namespace briarhead::soak {

struct soak_options
{
    std::uint64_t seed = 1;
    millis length{12'000}; ///< of traffic under faults
    std::size_t daemons = 4;
    std::size_t modelServers = 3;
    std::size_t plainServers = 2;
    double perSecond = 60; ///< requests
    bool powerLosses = false; ///< all daemons are killed at once, behind late writes of adapters' versions
    std::string program; ///< briarhead-edge
    std::filesystem::path folder; ///< settings and logs
};

struct soak_report
{
    std::vector<std::string> violations; ///< of what callers and servers are promised
    std::vector<std::string> faults; ///< what was done, with the time
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0; ///< not run, says the answer
    std::size_t failed = 0;
    std::size_t cut = 0; ///< without a whole answer
    std::size_t starts = 0; ///< of processes
    millis recovered; ///< from the last fault's end until all are ready
};

soak_report runSoak(const soak_options &options);

}
