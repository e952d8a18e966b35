#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {

/// The settings of one daemon, from its JSON file. state/settings_schema.h describes every key with its unit,
/// default and range; the file is validated against it at startup.
struct settings
{
    std::string instance; ///< name of this instance in the live list
    std::string failureDomain;
    std::string region;
    std::string callerAddress = "127.0.0.1"; ///< IP address on which callers and operators connect
    std::uint16_t callerPort = 8080;
    std::string peerAddress = "127.0.0.1"; ///< IP address for UDP and TCP between daemons
    std::uint16_t peerPort = 8081; ///< of both UDP and TCP
    std::vector<std::string> kvUrls; ///< of the key-value service
    std::string liveListUrl;
    std::string peerKey; ///< 32 bytes in hex; authenticates messages between daemons
    std::vector<std::string> operatorKeyHashes; ///< hex BLAKE2b-256 of operators' keys
    std::size_t bodyLimitBytes = 1'048'576; ///< maximum size of a request body
    std::string logLevel = "info";
    std::string routing = "briarhead"; ///< routing policy, or a baseline for comparison: "random",
                                       ///< "least_loaded", "rendezvous_lru"
    millis leaseTtl{
        10'000}; ///< of ownership in a small fleet; grows with the fleet, see coordination/ownership.h
    millis probeInterval{500}; ///< between membership probes of a peer
    millis liveListInterval{2'000}; ///< between reads of the live list
    millis drainTimeout{120'000}; ///< maximum duration of a graceful shutdown
    millis kvTimeout{1'000}; ///< of one call to the key-value service
};

/// Reads and validates a settings file. On failure `why.where` names the file and the JSON path.
std::optional<settings> readSettings(const std::string &path, error &why);
/// Validates the text of a settings file; `file` is its name for error messages.
std::optional<settings> parseSettings(std::string_view json, const std::string &file, error &why);

}
