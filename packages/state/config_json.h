#pragma once

#include "state/config.h"
#include "state/error.h"

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace briarhead::detail {

/// The JSON keys of the configuration's parts, as in a patch.
namespace section {
constexpr std::string_view adapters = "adapters";
constexpr std::string_view callers = "callers";
constexpr std::string_view rules = "rules";
constexpr std::string_view services = "services";
constexpr std::string_view targets = "targets";
constexpr std::string_view policy = "policy";
}

/// A JSON pointer (RFC 6901) to a place in a text, for error messages.
std::string pointerTo(std::initializer_list<std::string_view> parts);

/// Whether a name keeps to the charset and length; where it doesn't, `why` says so.
bool checkName(std::string_view name, const std::string &where, error &why);

/// Where an entry stands. The path is only written out once something is wrong with the entry.
struct entry_place
{
    std::string_view root; ///< "/set" in a patch, empty in a chunk
    std::string_view section;
    std::string_view name;

    std::string path(std::string_view key = {}) const;
};

/// Each reads one entry from JSON and checks its own values; references to other entries are checked by
/// checkReferences. False: `why` names the path and what is allowed there.
bool readEntry(const nlohmann::json &from, const entry_place &place, adapter_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_place &place, caller_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_place &place, rule_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_place &place, service_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_place &place, target_config &into, error &why);
/// Replaces only the keys that stand in `from`.
bool readEntry(const nlohmann::json &from, const entry_place &place, policy_config &into, error &why);

/// Each writes one entry as JSON text, always the same for the same entry.
std::string entryText(const adapter_config &entry);
std::string entryText(const caller_config &entry);
std::string entryText(const rule_config &entry);
std::string entryText(const service_config &entry);
std::string entryText(const target_config &entry);
std::string entryText(const policy_config &entry);

/// Reads a patch from parsed JSON, whatever its size: one that was accepted must stay readable, even if it
/// takes more bytes as written by us than as submitted.
std::optional<config_patch> readPatch(const nlohmann::json &from, error &why);

/// Checks what needs the whole configuration: counts, and that all that is referred to exists.
/// `before` is the valid configuration it came from; parts shared with it are not checked again.
bool checkWhole(const config &at, const config &before, error &why);

}
