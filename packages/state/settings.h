#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {

/// The settings of one daemon, from its JSON file. Every key is described in state/settings_schema.h,
/// which is checked at start, with its unit, default and range.
struct settings
{
    std::string instance; ///< this instance's name in the live list
    std::string failureDomain;
    std::string region;
    std::string callerAddress = "127.0.0.1"; ///< where callers and operators connect
    std::uint16_t callerPort = 8080;
    std::string peerAddress = "127.0.0.1"; ///< UDP and TCP between daemons, same port for both
    std::uint16_t peerPort = 8081;
    std::vector<std::string> kvUrls;
    std::string liveListUrl;
    std::string peerKey; ///< hex, 32 bytes: authenticates messages between daemons
    std::vector<std::string> operatorKeyHashes; ///< hex BLAKE2b-256 of operators' keys
    std::size_t bodyLimitBytes = 1'048'576;
    std::string logLevel = "info";
    std::string routing = "briarhead"; ///< or a baseline: "random", "least_loaded", "rendezvous_lru"
    millis leaseTtl{10'000}; ///< at small fleets; grows with the fleet, see coordination/ownership.h
    millis probeInterval{500}; ///< membership probe of one peer
    millis liveListInterval{2'000};
    millis drainTimeout{120'000};
    millis kvTimeout{1'000};
};

/// Reads and checks a settings file. `why.where` names the file and the JSON path.
std::optional<settings> readSettings(const std::string &path, error &why);
std::optional<settings> parseSettings(std::string_view json, const std::string &file, error &why);

}
