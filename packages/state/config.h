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

/// Limits on the configuration, checked on every patch.
constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxAdapters = 200'000;
constexpr std::size_t maxVersionsPerAdapter = 16;
constexpr std::size_t maxRules = 20'000;
constexpr std::size_t maxPatchBytes = 256 * 1024;
constexpr std::size_t adapterShards = 256;

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
    priority best = priority::Normal; ///< the best priority the caller may ask for, and the default
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
    millis whole; ///< time to the whole answer, 0: not part of this target
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

using adapter_shard = std::map<std::string, adapter_config, std::less<>>;

/// The operators' whole configuration at one version. Immutable once built: a request keeps the
/// version it was admitted under by holding the pointer. Shards that a patch leaves alone are shared.
struct config
{
    std::uint64_t version = 0;
    std::array<std::shared_ptr<const adapter_shard>, adapterShards> adapters;
    std::map<std::string, caller_config, std::less<>> callers;
    std::map<std::string, rule_config, std::less<>> rules;
    std::map<std::string, service_config, std::less<>> services;
    std::map<std::string, target_config, std::less<>> targets;
    policy_config policy;
};

using config_ptr = std::shared_ptr<const config>;

/// The shard an adapter's name falls into (xxhash of the name).
std::size_t shardOf(std::string_view adapter);
/// The adapter, or nullptr.
const adapter_config *findAdapter(const config &at, std::string_view name);
std::size_t adapterCount(const config &at);
/// The name of the caller whose key hashes to `keyHash`, or nullptr.
const std::string *findCaller(const config &at, std::string_view keyHash);
/// The most specific rule (exact adapter before longest prefix before "*") that lets a caller reach it.
const rule_config *findAdapterRule(const config &at, std::string_view caller, std::string_view adapter);
const rule_config *findServiceRule(const config &at, std::string_view caller, std::string_view service);
/// The service with the longest prefix of `path`, or nullptr; `name` gets its name.
const service_config *findService(const config &at, std::string_view path, std::string &name);

/// One change as submitted by an operator. Its JSON form:
///   {"base": 41, "id": "...", "by": "...", "note": "...",
///    "set": {"adapters": {"NAME": {"base_model": "...", "active": 2, "versions": [1, 2]}},
///            "callers": {...}, "rules": {...}, "services": {...}, "targets": {...}, "policy": {...}},
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

std::optional<config_patch> parsePatch(std::string_view json, error &why);
/// The patch as JSON, as it stands in the head and in the history.
std::string toJson(const config_patch &patch);
/// The configuration after the patch, at version base + 1; checks names, sizes, values and references.
config_ptr applyPatch(const config &at, const config_patch &patch, error &why);
/// The differences the patch makes, one line each ("+ adapters/x ...", "~ ...", "- ..."), for a dry run.
std::vector<std::string> describePatch(const config &at, const config_patch &patch);
/// The empty configuration, version 0.
config_ptr emptyConfig();

/// Snapshot chunks: "meta" (all but adapters) and one text per run of shards, each far under 1 MB.
std::map<std::string, std::string> toChunks(const config &at);
config_ptr fromChunks(std::uint64_t version, const std::map<std::string, std::string> &chunks, error &why);
/// The whole configuration as one JSON text, for operators.
std::string toJson(const config &at);

/// The value under the configuration's one key in the key-value service.
struct config_head
{
    std::uint64_t version = 0;
    std::uint64_t snapshotVersion = 0;
    std::map<std::string, std::string> chunks; ///< chunk name -> key suffix (content hash)
    std::vector<config_patch> patches; ///< snapshotVersion + 1 .. version, in order
};

std::string toJson(const config_head &head);
std::optional<config_head> parseHead(std::string_view json, error &why);

}
