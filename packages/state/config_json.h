#pragma once

#include "state/config.h"
#include "state/error.h"

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace briarhead::detail {

/// The JSON keys of the configuration's sections, as in a patch.
namespace section {
constexpr std::string_view adapters = "adapters";
constexpr std::string_view callers = "callers";
constexpr std::string_view rules = "rules";
constexpr std::string_view services = "services";
constexpr std::string_view targets = "targets";
constexpr std::string_view policy = "policy";
}

/// The JSON pointer (RFC 6901) with these reference tokens, for error messages.
std::string pointerTo(std::initializer_list<std::string_view> parts);

/// Whether a name has only allowed characters and an allowed length. If not, `why` says so, with `where` as
/// the path.
bool checkName(std::string_view name, const std::string &where, error &why);

/// The location of an entry in a JSON text. The path is only composed when an error has to be reported.
struct entry_location
{
    std::string_view root; ///< "/set" in a patch, empty in a chunk
    std::string_view section;
    std::string_view name;

    /// The JSON pointer to the entry, or to one of its keys.
    std::string path(std::string_view key = {}) const;
};

// Each readEntry() reads one entry from JSON and checks its values; checkConsistency() checks its references
// to other entries. On failure it returns false, and `why` has the path and what is allowed there.
bool readEntry(const nlohmann::json &from, const entry_location &location, adapter_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_location &location, caller_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_location &location, rule_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_location &location, service_config &into, error &why);
bool readEntry(const nlohmann::json &from, const entry_location &location, target_config &into, error &why);
/// Replaces only the keys that are present in `from`.
bool readEntry(const nlohmann::json &from, const entry_location &location, policy_config &into, error &why);

// Each entryToJson() writes one entry as JSON text. Equal entries give equal texts.
std::string entryToJson(const adapter_config &entry);
std::string entryToJson(const caller_config &entry);
std::string entryToJson(const rule_config &entry);
std::string entryToJson(const service_config &entry);
std::string entryToJson(const target_config &entry);
std::string entryToJson(const policy_config &entry);

/// Reads a patch from parsed JSON. Has no limit on the size: an accepted patch must stay readable even if it
/// is longer in the form in which toJson() stores it than as it was submitted.
std::optional<config_patch> readPatch(const nlohmann::json &from, error &why);

/// Checks the rules that span entries: the number of entries, that every reference resolves, and that keys,
/// paths and rules are unique. `before` is the valid configuration that this one was derived from; what
/// depends only on sections shared with it is not checked again.
bool checkConsistency(const config &configuration, const config &before, error &why);

}
