#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "state/outcome.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

namespace detail {

struct access_index;

}

/// Limits on the configuration, checked on every patch.
constexpr std::size_t maxNameBytes = 128;
/// No configuration may allow a longer deadline: a new owner of a server waits for requests of the one
/// before.
constexpr std::int64_t maxAllowedDeadlineMs = 600'000;
constexpr std::size_t maxNoteBytes = 1'024;
constexpr std::size_t maxAdapters = 200'000;
constexpr std::size_t maxVersionsPerAdapter = 16;
constexpr std::size_t maxCallers = 20'000;
constexpr std::size_t maxGroupsPerCaller = 16;
constexpr std::size_t maxRules = 20'000;
constexpr std::size_t maxServices = 1'000;
constexpr std::size_t maxTargets = 5'000;
constexpr std::size_t maxPatchBytes = 256 * 1024;
constexpr std::size_t adapterShards = 256;

// Names are 1 to maxNameBytes letters, digits and "._-/"; a ':' would be read as the version's separator.

/// One adapter: the versions that may be loaded, and the one new requests run on.
struct adapter_config
{
    std::string baseModel;
    std::uint32_t active = 0;
    std::vector<std::uint32_t> versions; ///< ascending; holds `active`
};

/// One caller. The key is kept as a hash only (hex BLAKE2b-256, see state/key_hash.h).
struct caller_config
{
    std::string keyHash;
    std::vector<std::string> groups;
};

/// Priorities in the order engines honour them; lower runs first.
enum class priority : std::uint8_t
{
    Urgent,
    High,
    Normal,
    Low,
};

std::string_view nameOf(priority value);
std::optional<priority> priorityOf(std::string_view name);

/// Lets a caller or group reach adapters or services. `adapters` is an exact name, or a prefix and '*'.
struct rule_config
{
    std::string callers; ///< a caller's name, "group:NAME" or "*"
    std::string adapters; ///< adapter pattern; empty for a rule on a service
    std::string service; ///< a service's name; empty for a rule on adapters
    priority bestPriority = priority::Normal; ///< the best priority the caller may ask for, and the default
    std::uint32_t inFlight = 0; ///< requests at a time per caller and entry instance, 0: no limit
    std::uint32_t perSecond = 0; ///< requests a second per caller and entry instance, 0: no limit
};

/// A plain service, reached by a path prefix.
struct service_config
{
    std::string pathPrefix; ///< "/orders"
    bool idempotent = false; ///< whether all of its calls may be repeated
    millis timeout{10'000};
};

/// A service-level target with the penalty of the tender for each miss.
struct target_config
{
    std::string callers; ///< as in rule_config
    std::string adapters; ///< as in rule_config; empty: all
    millis firstToken; ///< 0: not part of this target
    millis endToEnd; ///< time to the whole answer, 0: not part of this target
    double share = 0.95; ///< of requests that must meet it
    double penalty = 0; ///< per missed request, in the tender's currency
};

/// The tunables that operators may change while the system runs.
struct policy_config
{
    double stallWeight = 0.5; ///< 1: avoid load stalls at any cost, 0: fill batches at any cost
    double storeLoadsPerSecond = 3;
    std::uint32_t storeConcurrency = 1;
    std::uint32_t maxReplicas = 4;
    millis defaultDeadline{30'000};
    millis maxDeadline{120'000};
    millis idempotencyRetention{600'000};
};

/// Named entries of one kind, in name order. Copies share the entries until one of them is changed, so
/// that a patch costs memory and time only for the parts it touches.
template <class value>
class config_section
{
public:
    using map_type = std::map<std::string, value, std::less<>>;

    auto begin() const
    {
        return entries().begin();
    }
    auto end() const
    {
        return entries().end();
    }
    auto find(std::string_view name) const
    {
        return entries().find(name);
    }
    bool contains(std::string_view name) const
    {
        return entries().contains(name);
    }
    std::size_t size() const
    {
        return entries().size();
    }
    bool empty() const
    {
        return entries().empty();
    }
    /// Whether both share the same entries; false says nothing about equality.
    bool sharesEntriesWith(const config_section &other) const
    {
        return m_entries == other.m_entries;
    }
    /// The entries for a change; copied first where another configuration holds them too.
    map_type &mutableEntries()
    {
        if (!m_entries) {
            m_entries = std::make_shared<map_type>();
        } else if (m_entries.use_count() > 1) {
            m_entries = std::make_shared<map_type>(*m_entries);
        }
        return *m_entries;
    }

private:
    const map_type &entries() const
    {
        static const map_type none;
        return m_entries ? *m_entries : none;
    }

    std::shared_ptr<map_type> m_entries;
};

using adapter_shard = config_section<adapter_config>;

/// The operators' whole configuration at one version. Immutable once built: a request keeps the
/// version it was admitted under by holding the pointer. Parts that a patch leaves alone are shared.
struct config
{
    std::uint64_t version = 0;
    std::array<adapter_shard, adapterShards> adapters;
    config_section<caller_config> callers;
    config_section<rule_config> rules;
    config_section<service_config> services;
    config_section<target_config> targets;
    policy_config policy;
    std::shared_ptr<const detail::access_index> index; ///< over callers, rules and services
};

using config_ptr = std::shared_ptr<const config>;

/// The shard an adapter's name falls into (xxhash of the name).
std::size_t shardOf(std::string_view adapter);
/// The adapter, or nullptr.
const adapter_config *findAdapter(const config &at, std::string_view name);
std::size_t adapterCount(const config &at);
/// The name of the caller whose key hashes to `keyHash`, or nullptr.
const std::string *findCaller(const config &at, std::string_view keyHash);
/// The most specific rule (exact adapter before longest prefix before "*"; then the caller's own before
/// its groups' before "*"; of its groups' the one with the best priority) that lets a caller reach it.
const rule_config *findAdapterRule(const config &at, std::string_view caller, std::string_view adapter);
const rule_config *findServiceRule(const config &at, std::string_view caller, std::string_view service);
/// The service with the longest prefix of `path` (whole path segments), or nullptr; `name` gets its name.
const service_config *findService(const config &at, std::string_view path, std::string &name);

/// One change as submitted by an operator. Its JSON form:
///   {"base": 41, "id": "...", "by": "...", "note": "...",
///    "set": {"adapters": {"NAME": {"base_model": "...", "active": 2, "versions": [1, 2]}},
///            "callers": {"NAME": {"key_hash": "...", "groups": ["..."]}},
///            "rules": {"NAME": {"callers": "group:G", "adapters": "prefix*", "best": "normal",
///                               "in_flight": 8, "per_second": 4}},   or "service" for "adapters"
///            "services": {"NAME": {"path_prefix": "/orders", "idempotent": false, "timeout_ms": 10000}},
///            "targets": {"NAME": {"callers": "*", "adapters": "", "first_token_ms": 800, "whole_ms": 0,
///                                 "share": 0.95, "penalty": 12.5}},
///            "policy": {"stall_weight": 0.5, "store_loads_per_second": 3, "store_concurrency": 1,
///                       "max_replicas": 4, "default_deadline_ms": 30000, "max_deadline_ms": 120000,
///                       "idempotency_retention_ms": 600000}},
///    "remove": {"adapters": ["NAME"], ...}}
/// A value under "set" replaces the whole entry of that name; "policy" replaces the keys it names.
struct config_patch
{
    std::uint64_t base = 0; ///< the version it was written against
    std::string id; ///< chosen by the operator's command; makes a repeated submission recognisable
    std::string by;
    std::string note;
    std::int64_t atMs = 0; ///< wall clock at acceptance
    std::string set; ///< JSON text
    std::string remove; ///< JSON text
};

/// Reads a patch and checks its frame; the entries are checked by applyPatch.
std::optional<config_patch> parsePatch(std::string_view json, error &why);
/// Reads a patch that was accepted before, whatever its size; applyPatch still checks its entries.
std::optional<config_patch> parseStoredPatch(std::string_view json, error &why);
/// The patch as JSON, as it stands in the head and in the history.
std::string toJson(const config_patch &patch);
/// The configuration after the patch, at version base + 1; checks names, sizes, values and references.
config_ptr applyPatch(const config &at, const config_patch &patch, error &why);
/// The differences the patch makes, one line each ("+ adapters/x ...", "~ ...", "- ..."), for a dry run.
std::vector<std::string> describePatch(const config &at, const config_patch &patch);
/// The empty configuration, version 0.
config_ptr emptyConfig();

/// Snapshot chunks, by name: "policy", and per section one text, or several split by the hash of the names
/// ("adapters.01") so that each stays below maxChunkBytes and a change touches one of them. The same
/// configuration always gives the same texts.
constexpr std::size_t maxChunkBytes = 512 * 1024;
std::map<std::string, std::string> toChunks(const config &at);
config_ptr fromChunks(std::uint64_t version, const std::map<std::string, std::string> &chunks, error &why);
/// The whole configuration as one JSON text, for operators.
std::string toJson(const config &at);

/// The value under the configuration's one key in the key-value service.
struct config_head
{
    std::uint64_t version = 0;
    std::uint64_t snapshotVersion = 0;
    std::map<std::string, std::string> chunks; ///< chunk name -> key suffix, "HASH-VERSION"
    std::vector<std::string> retired; ///< key suffixes that the last snapshot stopped using
    std::vector<config_patch> patches; ///< snapshotVersion + 1 .. version, in order
};

std::string toJson(const config_head &head);
std::optional<config_head> parseHead(std::string_view json, error &why);

}
