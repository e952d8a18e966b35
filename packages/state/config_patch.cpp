#include "state/config_index.h"
#include "state/config_json.h"

#include <algorithm>
#include <array>
#include <limits>
#include <type_traits>
#include <utility>

namespace briarhead {

namespace {

using detail::entry_location;
using detail::pointerTo;
using nlohmann::json;

constexpr std::string_view setRoot = "/set";
constexpr std::string_view removeRoot = "/remove";

bool fail(error &why, std::string where, std::string detail)
{
    why = {error_kind::BadPatch, std::move(where), std::move(detail)};
    return false;
}

/// The section for entries of type `value`, or for an adapter the shard of its name. The last argument only
/// selects the type.
template <class config_type, class value>
auto &sectionFor(config_type &configuration, std::string_view name, value *)
{
    if constexpr (std::is_same_v<value, adapter_config>) {
        return configuration.adapters[shardOf(name)];
    } else if constexpr (std::is_same_v<value, caller_config>) {
        return configuration.callers;
    } else if constexpr (std::is_same_v<value, rule_config>) {
        return configuration.rules;
    } else if constexpr (std::is_same_v<value, service_config>) {
        return configuration.services;
    } else {
        return configuration.targets;
    }
}

/// The change that a patch makes to one section. Entries are set before others are removed.
struct section_change
{
    std::string_view section;
    const json *set = nullptr; ///< object of entries by name, or nullptr
    const json *remove = nullptr; ///< list of names, or nullptr
};

template <class value>
bool setEntries(config &configuration, const section_change &change, error &why)
{
    if (change.set == nullptr) {
        return true;
    }
    const entry_location sectionLocation{setRoot, change.section, {}};
    if (!change.set->is_object()) {
        return fail(why, sectionLocation.path(), "must be an object of entries by name");
    }
    for (const auto &[name, from] : change.set->items()) {
        const entry_location location{setRoot, change.section, name};
        value entry;
        if (!detail::checkName(name, sectionLocation.path(name), why)
            || !detail::readEntry(from, location, entry, why)) {
            return false;
        }
        sectionFor(configuration, name, static_cast<value *>(nullptr))
            .mutableEntries()
            .insert_or_assign(name, std::move(entry));
    }
    return true;
}

template <class value>
bool removeEntries(config &configuration, const section_change &change, error &why)
{
    if (change.remove == nullptr) {
        return true;
    }
    const entry_location sectionLocation{removeRoot, change.section, {}};
    if (!change.remove->is_array()) {
        return fail(why, sectionLocation.path(), "must be a list of names");
    }
    for (const auto &item : *change.remove) {
        const auto name = item.is_string() ? item.get<std::string>() : std::string();
        const bool alsoSet = change.set != nullptr && change.set->contains(name);
        auto &section = sectionFor(configuration, name, static_cast<value *>(nullptr));
        if (alsoSet || !section.contains(name)) {
            return fail(why, sectionLocation.path(),
                "holds " + item.dump()
                    + (alsoSet ? ", which the patch sets as well" : ", which does not exist"));
        }
        section.mutableEntries().erase(name);
    }
    return true;
}

template <class value>
bool applySection(config &configuration, const section_change &change, error &why)
{
    return setEntries<value>(configuration, change, why) && removeEntries<value>(configuration, change, why);
}

/// The "set" and "remove" texts of a patch, parsed.
struct patch_body
{
    json set = json::object();
    json remove = json::object();

    section_change change(std::string_view section) const
    {
        const auto inSet = set.find(section);
        const auto inRemove = remove.find(section);
        return {
            section, inSet != set.end() ? &*inSet : nullptr, inRemove != remove.end() ? &*inRemove : nullptr};
    }
};

bool checkSections(const json &part, std::string_view root, bool withPolicy, error &why)
{
    using namespace detail;
    constexpr std::array sections{
        section::adapters, section::callers, section::rules, section::services, section::targets};
    if (!part.is_object()) {
        return fail(why, std::string(root), "must be an object");
    }
    for (const auto &[key, value] : part.items()) {
        const bool known =
            std::ranges::find(sections, key) != sections.end() || (withPolicy && key == section::policy);
        if (!known) {
            return fail(why, std::string(root) + pointerTo({key}),
                std::string("is not a known key; known are adapters, callers, rules, services, targets")
                    + (withPolicy ? ", policy" : ""));
        }
    }
    return true;
}

std::optional<patch_body> parseBody(const config_patch &patch, error &why)
{
    patch_body body;
    body.set = patch.set.empty() ? json::object() : json::parse(patch.set, nullptr, false);
    body.remove = patch.remove.empty() ? json::object() : json::parse(patch.remove, nullptr, false);
    if (!checkSections(body.set, setRoot, true, why) || !checkSections(body.remove, removeRoot, false, why)) {
        return std::nullopt;
    }
    if (body.set.empty() && body.remove.empty()) {
        fail(why, std::string(setRoot), "and /remove are both empty, so the patch changes nothing");
        return std::nullopt;
    }
    return body;
}

bool applySections(config &configuration, const patch_body &body, error &why)
{
    using namespace detail;
    const auto policy = body.set.find(section::policy);
    const bool policyValid = policy == body.set.end()
        || readEntry(*policy, {setRoot, section::policy, {}}, configuration.policy, why);
    return policyValid && applySection<adapter_config>(configuration, body.change(section::adapters), why)
        && applySection<caller_config>(configuration, body.change(section::callers), why)
        && applySection<rule_config>(configuration, body.change(section::rules), why)
        && applySection<service_config>(configuration, body.change(section::services), why)
        && applySection<target_config>(configuration, body.change(section::targets), why);
}

/// Whether the sections that the index is built from are unchanged.
bool sharesIndexedSections(const config &configuration, const config &before)
{
    return configuration.callers.sharesEntriesWith(before.callers)
        && configuration.rules.sharesEntriesWith(before.rules)
        && configuration.services.sharesEntriesWith(before.services);
}

// ---- top-level keys of a patch

bool readText(const json &from, const char *key, std::size_t maxBytes, std::string &into, error &why)
{
    const auto found = from.find(key);
    if (found == from.end()) {
        return true;
    }
    if (!found->is_string() || found->get_ref<const std::string &>().size() > maxBytes) {
        return fail(
            why, pointerTo({key}), "must be a text of at most " + std::to_string(maxBytes) + " bytes");
    }
    into = found->get<std::string>();
    return true;
}

template <class number>
bool readNumber(const json &from, const char *key, number &into, error &why)
{
    const auto found = from.find(key);
    if (found == from.end()) {
        return true;
    }
    constexpr auto maxValue = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() >= maxValue) {
        return fail(why, pointerTo({key}), "must be a whole number from 0");
    }
    into = found->get<number>();
    return true;
}

/// Whether brackets are nested deeper than any patch needs. Guards against a text of thousands of '[':
/// parsing it is harmless, but serializing it recurses once per level and would overflow the stack.
bool nestsTooDeep(std::string_view text)
{
    constexpr int maxDepth = 16;
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted && c == '\\') {
            ++i;
        } else if (c == '"') {
            quoted = !quoted;
        } else if (!quoted && (c == '[' || c == '{') && ++depth > maxDepth) {
            return true;
        } else if (!quoted && (c == ']' || c == '}')) {
            --depth;
        }
    }
    return false;
}

/// The text as JSON, or a discarded value if it is not valid.
json parseText(std::string_view text, error &why)
{
    if (nestsTooDeep(text)) {
        fail(why, "/", "nests deeper than any patch needs");
        return json(json::value_t::discarded);
    }
    try {
        return json::parse(text);
    } catch (const json::exception &failure) {
        fail(why, "/", std::string("is not valid JSON: ") + failure.what());
        return json(json::value_t::discarded);
    }
}

bool checkTopLevel(const json &from, error &why)
{
    constexpr std::array<std::string_view, 7> known{"base", "id", "by", "note", "at_ms", "set", "remove"};
    if (!from.is_object()) {
        return fail(why, "/", "must be one JSON object");
    }
    for (const auto &[key, value] : from.items()) {
        if (std::ranges::find(known, key) == known.end()) {
            return fail(why, pointerTo({key}),
                "is not a known key; known are base, id, by, note, at_ms, set, remove");
        }
    }
    if (!from.contains("base")) {
        return fail(
            why, "/base", "is missing; name the configuration version that the patch was written against");
    }
    return true;
}

// ---- dry run

template <class value>
/// The line for one entry that is set, or nothing if it stays the same.
std::string describeEntry(const std::string &path, const value *old, const json &from)
{
    value entry;
    error ignored;
    const bool valid = detail::readEntry(from, {}, entry, ignored);
    const auto text = valid ? detail::entryToJson(entry) : from.dump();
    if (old == nullptr) {
        return "+ " + path + ' ' + text;
    }
    const auto oldText = detail::entryToJson(*old);
    return oldText == text ? std::string() : "~ " + path + ' ' + oldText + " -> " + text;
}

template <class value>
void describeSection(
    const config &configuration, const section_change &change, std::vector<std::string> &lines)
{
    const std::string prefix = std::string(change.section) + '/';
    if (change.set != nullptr && change.set->is_object()) {
        for (const auto &[name, from] : change.set->items()) {
            const auto &section = sectionFor(configuration, name, static_cast<value *>(nullptr));
            const auto old = section.find(name);
            auto line =
                describeEntry<value>(prefix + name, old != section.end() ? &old->second : nullptr, from);
            if (!line.empty()) {
                lines.push_back(std::move(line));
            }
        }
    }
    if (change.remove != nullptr && change.remove->is_array()) {
        for (const auto &name : *change.remove) {
            lines.push_back("- " + prefix + (name.is_string() ? name.get<std::string>() : name.dump()));
        }
    }
}

void describePolicy(const config &configuration, const patch_body &body, std::vector<std::string> &lines)
{
    const auto found = body.set.find(detail::section::policy);
    if (found == body.set.end() || !found->is_object()) {
        return;
    }
    const auto current = json::parse(detail::entryToJson(configuration.policy));
    for (const auto &[key, value] : found->items()) {
        const auto old = current.value(key, json());
        if (old != value) {
            lines.push_back("~ policy/" + key + ' ' + old.dump() + " -> " + value.dump());
        }
    }
}

}

std::optional<config_patch> detail::readPatch(const json &from, error &why)
{
    config_patch patch;
    const bool valid = checkTopLevel(from, why) && readNumber(from, "base", patch.base, why)
        && readText(from, "id", maxNameBytes, patch.id, why)
        && readText(from, "by", maxNameBytes, patch.by, why)
        && readText(from, "note", maxNoteBytes, patch.note, why) && readNumber(from, "at_ms", patch.atMs, why)
        && checkName(patch.id, "/id", why);
    if (!valid) {
        return std::nullopt;
    }
    patch.set = from.value("set", json::object()).dump();
    patch.remove = from.value("remove", json::object()).dump();
    return patch;
}

std::optional<config_patch> parsePatch(std::string_view text, error &why)
{
    if (text.size() > maxPatchBytes) {
        fail(why, "/",
            "is " + std::to_string(text.size()) + " bytes of at most " + std::to_string(maxPatchBytes)
                + "; split it into patches that follow each other");
        return std::nullopt;
    }
    const auto from = parseText(text, why);
    if (from.is_discarded()) {
        return std::nullopt;
    }
    auto patch = detail::readPatch(from, why);
    return patch && parseBody(*patch, why) ? patch : std::nullopt;
}

std::optional<config_patch> parseStoredPatch(std::string_view text, error &why)
{
    const auto from = parseText(text, why);
    return from.is_discarded() ? std::nullopt : detail::readPatch(from, why);
}

std::string toJson(const config_patch &patch)
{
    const json header{{"base", patch.base}, {"id", patch.id}, {"by", patch.by}, {"note", patch.note},
        {"at_ms", patch.atMs}};
    // `set` and `remove` are JSON text already; parsing them just to serialize them again would cost time and
    // memory in proportion to their size.
    std::string text = header.dump();
    text.back() = ',';
    text += "\"set\":";
    text += patch.set.empty() ? "{}" : patch.set;
    text += ",\"remove\":";
    text += patch.remove.empty() ? "{}" : patch.remove;
    text += '}';
    return text;
}

config_ptr applyPatch(const config &configuration, const config_patch &patch, error &why)
{
    if (patch.base != configuration.version) {
        why = {error_kind::StalePatch, "/base",
            "the patch is written against version " + std::to_string(patch.base) + ", the current version is "
                + std::to_string(configuration.version)};
        return nullptr;
    }
    const auto body = parseBody(patch, why);
    if (!body) {
        return nullptr;
    }
    auto next = std::make_shared<config>(configuration);
    next->version = configuration.version + 1;
    if (!applySections(*next, *body, why)) {
        return nullptr;
    }
    if (!next->index || !sharesIndexedSections(*next, configuration)) {
        next->index = detail::buildIndex(*next);
    }
    return detail::checkConsistency(*next, configuration, why) ? next : nullptr;
}

std::vector<std::string> describePatch(const config &configuration, const config_patch &patch)
{
    using namespace detail;
    std::vector<std::string> lines;
    error ignored;
    const auto body = parseBody(patch, ignored);
    if (!body) {
        return lines;
    }
    describeSection<adapter_config>(configuration, body->change(section::adapters), lines);
    describeSection<caller_config>(configuration, body->change(section::callers), lines);
    describeSection<rule_config>(configuration, body->change(section::rules), lines);
    describeSection<service_config>(configuration, body->change(section::services), lines);
    describeSection<target_config>(configuration, body->change(section::targets), lines);
    describePolicy(configuration, *body, lines);
    return lines;
}

}
