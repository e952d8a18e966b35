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

bool checkCount(std::string_view section, std::size_t count, std::size_t most, error &why)
{
    if (count <= most) {
        return true;
    }
    return fail(why, pointerTo({section}),
        "would hold " + std::to_string(count) + " entries of at most " + std::to_string(most));
}

bool checkCounts(const config &at, error &why)
{
    return checkCount(section::adapters, adapterCount(at), maxAdapters, why)
        && checkCount(section::callers, at.callers.size(), maxCallers, why)
        && checkCount(section::rules, at.rules.size(), maxRules, why)
        && checkCount(section::services, at.services.size(), maxServices, why)
        && checkCount(section::targets, at.targets.size(), maxTargets, why);
}

bool checkSelector(const config &at, std::string_view selector, const entry_place &place, error &why)
{
    if (selector == "*") {
        return true;
    }
    if (selector.starts_with(groupPrefix)) {
        const auto group = selector.substr(groupPrefix.size());
        return at.index->groups.contains(group)
            || fail(why, place.path("callers"),
                "names the group " + std::string(group) + ", which no caller is in");
    }
    return at.callers.contains(selector)
        || fail(
            why, place.path("callers"), "names the caller " + std::string(selector) + ", who does not exist");
}

bool checkPattern(const config &at, std::string_view pattern, const entry_place &place, error &why)
{
    if (pattern.empty() || pattern.ends_with('*') || findAdapter(at, pattern) != nullptr) {
        return true;
    }
    return fail(
        why, place.path("adapters"), "names the adapter " + std::string(pattern) + ", which does not exist");
}

bool checkRules(const config &at, error &why)
{
    std::map<std::string, std::string_view> seen;
    for (const auto &[name, rule] : at.rules) {
        const entry_place place{{}, section::rules, name};
        if (!checkSelector(at, rule.callers, place, why) || !checkPattern(at, rule.adapters, place, why)) {
            return false;
        }
        if (!rule.service.empty() && !at.services.contains(rule.service)) {
            return fail(
                why, place.path("service"), "names the service " + rule.service + ", which does not exist");
        }
        const auto target = rule.callers + '\n' + rule.adapters + '\n' + rule.service;
        const auto [other, fresh] = seen.emplace(target, name);
        if (!fresh) {
            return fail(why, place.path(),
                "is for the same callers and target as rule " + std::string(other->second));
        }
    }
    return true;
}

bool checkTargets(const config &at, error &why)
{
    for (const auto &[name, target] : at.targets) {
        const entry_place place{{}, section::targets, name};
        if (!checkSelector(at, target.callers, place, why)
            || !checkPattern(at, target.adapters, place, why)) {
            return false;
        }
    }
    return true;
}

bool checkKeys(const config &at, error &why)
{
    for (const auto &[name, caller] : at.callers) {
        const auto &holder = *at.index->callerByKey.find(caller.keyHash)->second;
        if (holder != name) {
            return fail(why, entry_place{{}, section::callers, name}.path("key_hash"),
                "is the key of caller " + holder + " as well");
        }
    }
    return true;
}

bool checkServices(const config &at, error &why)
{
    std::map<std::string_view, std::string_view> seen;
    for (const auto &[name, service] : at.services) {
        const auto [other, fresh] = seen.emplace(service.pathPrefix, name);
        if (!fresh) {
            return fail(why, entry_place{{}, section::services, name}.path("path_prefix"),
                "is the path of service " + std::string(other->second) + " as well");
        }
    }
    return true;
}

/// Whether all adapters that were there still are; adding some can't break a reference.
bool keepsAdapters(const config &at, const config &before)
{
    for (std::size_t i = 0; i < adapterShards; ++i) {
        if (at.adapters[i].sharesEntriesWith(before.adapters[i])) {
            continue;
        }
        for (const auto &[name, adapter] : before.adapters[i]) {
            if (!at.adapters[i].contains(name)) {
                return false;
            }
        }
    }
    return true;
}

}

bool checkWhole(const config &at, const config &before, error &why)
{
    const bool sameCallers = at.callers.sharesEntriesWith(before.callers);
    const bool sameServices = at.services.sharesEntriesWith(before.services);
    const bool sameAdapters = keepsAdapters(at, before);
    const bool sameRules =
        at.rules.sharesEntriesWith(before.rules) && sameCallers && sameServices && sameAdapters;
    const bool sameTargets = at.targets.sharesEntriesWith(before.targets) && sameCallers && sameAdapters;
    return checkCounts(at, why) && (sameCallers || checkKeys(at, why))
        && (sameServices || checkServices(at, why)) && (sameRules || checkRules(at, why))
        && (sameTargets || checkTargets(at, why));
}

}
