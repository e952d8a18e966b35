#pragma once

#include "measure/scrape.h"

#include <cstddef>
#include <string>
#include <vector>

namespace briarhead::testing {

/// Failure domains of a fleet: about those of one region.
constexpr std::size_t productionDomains = 3;

/// A fleet with the timing of production; half of its engines check fencing.
fleet_options productionFleet(std::size_t daemons, std::size_t servers, std::uint16_t firstPort);

void pauseUntil(double monotonicSeconds);

/// What fleets cost that do nothing but be there.
void measureRest(const std::vector<const fleet *> &fleets, double seconds);
/// All bytes on the loopback for a fleet at rest that has it for itself.
void measureLoopback(const fleet &of, double seconds);
/// Resident memory, and the time of a patch, while the configuration grows to `adapters`.
void measureMemory(fleet &of, std::size_t adapters);
/// Processor time of a request and of a token, and the latency added to the engine's.
void measureRequests(const fleet &of, const std::string &when, bool brief);
/// Patches one after the other: until in force everywhere, and what that costs.
void measurePatches(const fleet &of);
/// The size of the key-value service's answer to a poll of the configuration.
void measureHead(const fleet &of, const std::string &when);
/// The service refuses all for longer than a lease, then all daemons come back to it.
void measureOutage(const fleet &of);
/// Kills daemons at once and watches the others get to know it and take over.
void measureLoss(fleet &of, const std::vector<std::size_t> &lost, const std::string &when);

}
