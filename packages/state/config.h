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

// Limits on the configuration, checked on every patch.

constexpr std::size_t maxNameBytes = 128;
/// Upper limit of policy_config::maxDeadline. A new owner of a server waits for the requests of the previous
/// owner to end, so the deadline bounds that wait.
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
constexpr std::size_t adapterShards = 256; ///< see config::adapters

// Names consist of 1 to maxNameBytes letters, digits and "._-/". ':' is not allowed, since it separates an
// adapter's name from its version.

/// One adapter.
struct adapter_config
{
    std::string baseModel;
    std::uint32_t active = 0; ///< the version that new requests run on
    std::vector<std::uint32_t> versions; ///< that may be loaded; ascending, includes `active`
};

/// One caller (client account).
struct caller_config
{
    std::string keyHash; ///< of its key, see state/key_hash.h; the key itself is not stored
    std::vector<std::string> groups;
};

/// Request priorities. Engines run requests with the lower value first.
enum class priority : std::uint8_t
{
    Urgent,
    High,
    Normal,
    Low,
};

std::string_view nameOf(priority value);
std::optional<priority> priorityOf(std::string_view name);

/// Allows a caller or group of callers to use adapters or a service.
struct rule_config
{
    std::string callers; ///< a caller's name, "group:NAME" or "*"
    std::string adapters; ///< an adapter's name, or a prefix and '*'; empty in a rule for a service
    std::string service; ///< a service's name; empty in a rule for adapters
    /// The highest priority that the caller may request, and the default.
    priority bestPriority = priority::Normal;
    std::uint32_t inFlight = 0; ///< concurrent requests per caller and entry instance; 0: unlimited
    std::uint32_t perSecond = 0; ///< requests per second per caller and entry instance; 0: unlimited
};

/// A plain HTTP service, selected by a path prefix.
struct service_config
{
    std::string pathPrefix; ///< such as "/orders"
    bool idempotent = false; ///< whether any call to it may be retried
    millis timeout{10'000}; ///< of one call
};

/// A service-level target, with the contractual penalty for each request that misses it.
struct target_config
{
    std::string callers; ///< as in rule_config
    std::string adapters; ///< as in rule_config; empty: all
    millis firstToken; ///< time to the first token; 0: not part of the target
    millis endToEnd; ///< time to the complete response; 0: not part of the target
    double share = 0.95; ///< of requests that must meet the target
    double penalty = 0; ///< per missed request, in the contract's currency
};

/// The parameters that operators can change while the system runs.
struct policy_config
{
    double stallWeight = 0.5; ///< 1: avoid load stalls at any cost; 0: fill batches at any cost
    double storeLoadsPerSecond = 3; ///< adapter loads from the weight store, over all servers
    std::uint32_t storeConcurrency = 1; ///< concurrent adapter loads from the weight store
    std::uint32_t maxReplicas = 4; ///< servers per adapter
    millis defaultDeadline{30'000}; ///< of requests that state none
    millis maxDeadline{120'000}; ///< that a request may state
    millis idempotencyRetention{600'000}; ///< how long results are kept by idempotency key
};

/// The entries of one kind, sorted by name. Copy-on-write: copies share the entries until one copy is
/// changed, so a patch costs memory and time only for the sections that it changes.
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
    /// Whether both refer to the same copy of the entries. If not, the entries may still be equal.
    bool sharesEntriesWith(const config_section &other) const
    {
        return m_entries == other.m_entries;
    }
    /// Returns the entries for modification, after copying them if another section shares them.
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

/// The operators' complete configuration at one version. Immutable once built: a request keeps the version
/// under which it was admitted by holding a config_ptr. Versions share the sections that did not change
/// between them.
struct config
{
    std::uint64_t version = 0;
    std::array<adapter_shard, adapterShards> adapters; ///< an adapter is in the shard shardOf(name)
    config_section<caller_config> callers;
    config_section<rule_config> rules;
    config_section<service_config> services;
    config_section<target_config> targets;
    policy_config policy;
    std::shared_ptr<const detail::access_index> index; ///< over callers, rules and services
};

using config_ptr = std::shared_ptr<const config>;

/// The index of an adapter's shard, from the xxHash of its name.
std::size_t shardOf(std::string_view adapter);
/// The adapter, or nullptr if there is none of that name.
const adapter_config *findAdapter(const config &configuration, std::string_view name);
std::size_t adapterCount(const config &configuration);
/// The name of the caller whose key has this hash, or nullptr.
const std::string *findCaller(const config &configuration, std::string_view keyHash);
/// The most specific rule that allows the caller to use the adapter or service, or nullptr. A rule for the
/// exact adapter takes precedence over the longest prefix, and that over "*". Among equally specific adapter
/// patterns a rule for the caller itself takes precedence over one for a group, and that over "*"; of several
/// groups the rule with the highest priority is used.
const rule_config *findAdapterRule(
    const config &configuration, std::string_view caller, std::string_view adapter);
const rule_config *findServiceRule(
    const config &configuration, std::string_view caller, std::string_view service);
/// The service whose path prefix is the longest match for `path` by whole segments, or nullptr. Stores its
/// name in `name`.
const service_config *findService(const config &configuration, std::string_view path, std::string &name);

/// A change to the configuration, as submitted by an operator. Its JSON form:
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
/// A value under "set" replaces the entry of that name as a whole, except for "policy", where only the given
/// keys are replaced.
struct config_patch
{
    std::uint64_t base = 0; ///< the configuration version that it applies to
    std::string id; ///< chosen by the client; identifies a repeated submission
    std::string by; ///< the operator
    std::string note; ///< free text for the history
    std::int64_t atMs = 0; ///< wall-clock time of acceptance, Unix epoch
    std::string set; ///< JSON text
    std::string remove; ///< JSON text
};

/// Parses a submitted patch and checks its size and its top-level keys; applyPatch() checks the entries.
std::optional<config_patch> parsePatch(std::string_view json, error &why);
/// As parsePatch(), for a patch that was accepted before, without the limit on its size.
std::optional<config_patch> parseStoredPatch(std::string_view json, error &why);
/// The patch in the JSON form that is stored in the head and in the history.
std::string toJson(const config_patch &patch);
/// Returns the configuration with the patch applied, at version base + 1. Returns nullptr if the patch's base
/// is not the version of `configuration`, or a name, size, value or reference is invalid.
config_ptr applyPatch(const config &configuration, const config_patch &patch, error &why);
/// The differences that the patch makes, for a dry run: one line per entry added ("+ adapters/x ..."),
/// changed
/// ("~ ...") or removed ("- ...").
std::vector<std::string> describePatch(const config &configuration, const config_patch &patch);
/// The empty configuration, version 0.
config_ptr emptyConfig();

/// A snapshot of the configuration is stored as chunks, one per section ("policy", "callers"). A large
/// section is split by the hash of its entries' names ("adapters.01"), so that each chunk stays below
/// maxChunkBytes and a changed entry changes one chunk only.
constexpr std::size_t maxChunkBytes = 512 * 1024;
/// The chunks by name. The same configuration always gives the same texts.
std::map<std::string, std::string> toChunks(const config &configuration);
/// Returns nullptr if a chunk is malformed or unknown, or the configuration is invalid.
config_ptr fromChunks(std::uint64_t version, const std::map<std::string, std::string> &chunks, error &why);
/// The complete configuration as one JSON text, for operators.
std::string toJson(const config &configuration);

/// The head of the stored configuration: the value of its key in the key-value service. The configuration is
/// the snapshot with the patches applied.
struct config_head
{
    std::uint64_t version = 0;
    std::uint64_t snapshotVersion = 0;
    std::map<std::string, std::string> chunks; ///< of the snapshot: chunk name -> key suffix "HASH-VERSION"
    std::vector<std::string> retired; ///< key suffixes that the latest snapshot no longer uses
    std::vector<config_patch> patches; ///< to versions snapshotVersion + 1 to version, in order
};

std::string toJson(const config_head &head);
/// Returns nothing if the text is malformed or its patches do not lead from the snapshot to the head's
/// version.
std::optional<config_head> parseHead(std::string_view json, error &why);

}
