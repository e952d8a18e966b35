#include "state/config.h"

#include "state/config_index.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

constexpr std::array<std::string_view, 4> priorityNames{"urgent", "high", "normal", "low"};
static_assert(priorityNames.size() == static_cast<std::size_t>(priority::Low) + 1);

constexpr std::string_view anyCaller = "*";
constexpr std::string_view groupPrefix = "group:";
constexpr unsigned hashBits = 64;
constexpr unsigned shardBits = 8;
static_assert(adapterShards == std::size_t{1} << shardBits);

/// The specificity of a rule for the exact name, higher than that of any prefix.
constexpr std::size_t exactMatch = maxNameBytes + 1;

struct rule_match
{
    const rule_config *rule = nullptr;
    std::size_t specificity = 0; ///< length of the matching prefix, or exactMatch
};

rule_match matchAdapter(const detail::selector_rules &rules, std::string_view adapter)
{
    if (const auto found = rules.exact.find(adapter); found != rules.exact.end()) {
        return {found->second, exactMatch};
    }
    for (const std::size_t bytes : rules.prefixBytes) {
        if (bytes > adapter.size()) {
            continue;
        }
        const auto found = rules.prefixes.find(adapter.substr(0, bytes));
        if (found != rules.prefixes.end()) {
            return {found->second, bytes};
        }
    }
    return {};
}

rule_match matchService(const detail::selector_rules &rules, std::string_view service)
{
    const auto found = rules.services.find(service);
    return found != rules.services.end() ? rule_match{found->second, exactMatch} : rule_match{};
}

/// Replaces `best` by a more specific match. Of equally specific matches the first is kept, so the selectors
/// must be tried in order of precedence.
void keepBetter(rule_match &best, const rule_match &other)
{
    if (other.rule != nullptr && (best.rule == nullptr || other.specificity > best.specificity)) {
        best = other;
    }
}

/// As keepBetter(), but of equally specific matches the one with the higher priority is kept: no group of a
/// caller takes precedence over another.
void keepBetterOfGroups(rule_match &best, const rule_match &other)
{
    const bool tie = best.rule != nullptr && other.rule != nullptr && other.specificity == best.specificity;
    if (tie && other.rule->bestPriority < best.rule->bestPriority) {
        best = other;
    }
    keepBetter(best, other);
}

template <class matcher>
const rule_config *findRule(
    const config &configuration, std::string_view caller, std::string_view target, matcher &&match)
{
    if (!configuration.index) {
        return nullptr;
    }
    const auto matchSelector = [&](std::string_view selector) {
        const auto found = configuration.index->bySelector.find(selector);
        return found != configuration.index->bySelector.end() ? match(found->second, target) : rule_match{};
    };
    rule_match best = matchSelector(caller);
    if (const auto found = configuration.callers.find(caller); found != configuration.callers.end()) {
        rule_match bestOfGroups;
        for (const auto &group : found->second.groups) {
            keepBetterOfGroups(bestOfGroups, matchSelector(std::string(groupPrefix) + group));
        }
        keepBetter(best, bestOfGroups);
    }
    keepBetter(best, matchSelector(anyCaller));
    return best.rule;
}

void addRule(detail::selector_rules &rules, const rule_config &rule)
{
    if (!rule.service.empty()) {
        rules.services.emplace(rule.service, &rule);
    } else if (rule.adapters.ends_with('*')) {
        rules.prefixes.emplace(rule.adapters.substr(0, rule.adapters.size() - 1), &rule);
    } else {
        rules.exact.emplace(rule.adapters, &rule);
    }
}

/// Sets prefixBytes from the keys of `prefixes`.
void listPrefixLengths(detail::selector_rules &rules)
{
    std::set<std::size_t, std::greater<>> lengths;
    for (const auto &[prefix, rule] : rules.prefixes) {
        lengths.insert(prefix.size());
    }
    rules.prefixBytes.assign(lengths.begin(), lengths.end());
}

/// Whether the path starts with the prefix by whole segments: "/orders/7" is under "/orders", "/orders7" is
/// not.
bool isUnder(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

}

namespace detail {

std::shared_ptr<const access_index> buildIndex(const config &configuration)
{
    auto index = std::make_shared<access_index>();
    index->callers = configuration.callers;
    index->rules = configuration.rules;
    index->services = configuration.services;
    for (const auto &[name, caller] : index->callers) {
        index->callerByKey.emplace(caller.keyHash, &name);
        index->groups.insert(caller.groups.begin(), caller.groups.end());
    }
    for (const auto &[name, rule] : index->rules) {
        addRule(index->bySelector[rule.callers], rule);
    }
    for (auto &[selector, rules] : index->bySelector) {
        listPrefixLengths(rules);
    }
    for (const auto &entry : index->services) {
        index->longestPrefixFirst.push_back(&entry);
    }
    std::ranges::stable_sort(index->longestPrefixFirst, std::ranges::greater{}, [](const auto *entry) {
        return entry->second.pathPrefix.size();
    });
    return index;
}

}

std::string_view nameOf(priority value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < priorityNames.size() ? priorityNames[index] : priorityNames.back();
}

std::optional<priority> priorityOf(std::string_view name)
{
    const auto found = std::ranges::find(priorityNames, name);
    if (found == priorityNames.end()) {
        return std::nullopt;
    }
    return static_cast<priority>(found - priorityNames.begin());
}

std::size_t shardOf(std::string_view adapter)
{
    return XXH64(adapter.data(), adapter.size(), 0) >> (hashBits - shardBits);
}

const adapter_config *findAdapter(const config &configuration, std::string_view name)
{
    const auto &shard = configuration.adapters[shardOf(name)];
    const auto found = shard.find(name);
    return found != shard.end() ? &found->second : nullptr;
}

std::size_t adapterCount(const config &configuration)
{
    std::size_t count = 0;
    for (const auto &shard : configuration.adapters) {
        count += shard.size();
    }
    return count;
}

const std::string *findCaller(const config &configuration, std::string_view keyHash)
{
    if (!configuration.index) {
        return nullptr;
    }
    const auto found = configuration.index->callerByKey.find(keyHash);
    return found != configuration.index->callerByKey.end() ? found->second : nullptr;
}

const rule_config *findAdapterRule(
    const config &configuration, std::string_view caller, std::string_view adapter)
{
    return findRule(configuration, caller, adapter, matchAdapter);
}

const rule_config *findServiceRule(
    const config &configuration, std::string_view caller, std::string_view service)
{
    return findRule(configuration, caller, service, matchService);
}

const service_config *findService(const config &configuration, std::string_view path, std::string &name)
{
    if (!configuration.index) {
        return nullptr;
    }
    for (const auto *entry : configuration.index->longestPrefixFirst) {
        if (isUnder(path, entry->second.pathPrefix)) {
            name = entry->first;
            return &entry->second;
        }
    }
    return nullptr;
}

config_ptr emptyConfig()
{
    static const config_ptr empty = [] {
        auto result = std::make_shared<config>();
        result->index = detail::buildIndex(*result);
        return result;
    }();
    return empty;
}

}
