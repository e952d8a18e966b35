#include "state/config_index.h"
#include "state/config_json.h"

#include <map>
#include <utility>

namespace briarhead::detail {

namespace {

constexpr std::string_view groupPrefix = "group:";

bool fail(error &why, std::string where, std::string detail)
{
    why = {error_kind::BadPatch, std::move(where), std::move(detail)};
    return false;
}

bool checkCount(std::string_view section, std::size_t count, std::size_t maxCount, error &why)
{
    if (count <= maxCount) {
        return true;
    }
    return fail(why, pointerTo({section}),
        "would hold " + std::to_string(count) + " entries of at most " + std::to_string(maxCount));
}

bool checkCounts(const config &configuration, error &why)
{
    return checkCount(section::adapters, adapterCount(configuration), maxAdapters, why)
        && checkCount(section::callers, configuration.callers.size(), maxCallers, why)
        && checkCount(section::rules, configuration.rules.size(), maxRules, why)
        && checkCount(section::services, configuration.services.size(), maxServices, why)
        && checkCount(section::targets, configuration.targets.size(), maxTargets, why);
}

/// Checks that the caller or group that a selector names exists.
bool checkSelector(
    const config &configuration, std::string_view selector, const entry_location &location, error &why)
{
    if (selector == "*") {
        return true;
    }
    if (selector.starts_with(groupPrefix)) {
        const auto group = selector.substr(groupPrefix.size());
        return configuration.index->groups.contains(group)
            || fail(why, location.path("callers"),
                "names the group " + std::string(group) + ", which no caller is in");
    }
    return configuration.callers.contains(selector)
        || fail(why, location.path("callers"),
            "names the caller " + std::string(selector) + ", who does not exist");
}

/// Checks that the adapter exists if the pattern is an exact name.
bool checkPattern(
    const config &configuration, std::string_view pattern, const entry_location &location, error &why)
{
    if (pattern.empty() || pattern.ends_with('*') || findAdapter(configuration, pattern) != nullptr) {
        return true;
    }
    return fail(why, location.path("adapters"),
        "names the adapter " + std::string(pattern) + ", which does not exist");
}

/// Checks the references of the rules, and that no two rules are for the same callers and adapters or
/// service.
bool checkRules(const config &configuration, error &why)
{
    std::map<std::string, std::string_view> ruleByTarget;
    for (const auto &[name, rule] : configuration.rules) {
        const entry_location location{{}, section::rules, name};
        if (!checkSelector(configuration, rule.callers, location, why)
            || !checkPattern(configuration, rule.adapters, location, why)) {
            return false;
        }
        if (!rule.service.empty() && !configuration.services.contains(rule.service)) {
            return fail(why, location.path("service"),
                "names the service " + rule.service + ", which does not exist");
        }
        const auto target = rule.callers + '\n' + rule.adapters + '\n' + rule.service;
        const auto [other, isNew] = ruleByTarget.emplace(target, name);
        if (!isNew) {
            return fail(why, location.path(),
                "is for the same callers and target as rule " + std::string(other->second));
        }
    }
    return true;
}

bool checkTargets(const config &configuration, error &why)
{
    for (const auto &[name, target] : configuration.targets) {
        const entry_location location{{}, section::targets, name};
        if (!checkSelector(configuration, target.callers, location, why)
            || !checkPattern(configuration, target.adapters, location, why)) {
            return false;
        }
    }
    return true;
}

/// Checks that no two callers have the same key.
bool checkKeys(const config &configuration, error &why)
{
    for (const auto &[name, caller] : configuration.callers) {
        const auto &owner = *configuration.index->callerByKey.find(caller.keyHash)->second;
        if (owner != name) {
            return fail(why, entry_location{{}, section::callers, name}.path("key_hash"),
                "is the key of caller " + owner + " as well");
        }
    }
    return true;
}

/// Checks that no two services have the same path prefix.
bool checkServices(const config &configuration, error &why)
{
    std::map<std::string_view, std::string_view> serviceByPath;
    for (const auto &[name, service] : configuration.services) {
        const auto [other, isNew] = serviceByPath.emplace(service.pathPrefix, name);
        if (!isNew) {
            return fail(why, entry_location{{}, section::services, name}.path("path_prefix"),
                "is the path of service " + std::string(other->second) + " as well");
        }
    }
    return true;
}

/// Whether no adapter was removed. Adding adapters cannot break a reference.
bool keepsAdapters(const config &configuration, const config &before)
{
    for (std::size_t i = 0; i < adapterShards; ++i) {
        if (configuration.adapters[i].sharesEntriesWith(before.adapters[i])) {
            continue;
        }
        for (const auto &[name, adapter] : before.adapters[i]) {
            if (!configuration.adapters[i].contains(name)) {
                return false;
            }
        }
    }
    return true;
}

}

bool checkConsistency(const config &configuration, const config &before, error &why)
{
    const bool sameCallers = configuration.callers.sharesEntriesWith(before.callers);
    const bool sameServices = configuration.services.sharesEntriesWith(before.services);
    const bool keptAdapters = keepsAdapters(configuration, before);
    const bool sameRules =
        configuration.rules.sharesEntriesWith(before.rules) && sameCallers && sameServices && keptAdapters;
    const bool sameTargets =
        configuration.targets.sharesEntriesWith(before.targets) && sameCallers && keptAdapters;
    return checkCounts(configuration, why) && (sameCallers || checkKeys(configuration, why))
        && (sameServices || checkServices(configuration, why))
        && (sameRules || checkRules(configuration, why)) && (sameTargets || checkTargets(configuration, why));
}

}
