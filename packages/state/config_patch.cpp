#include "state/config_index.h"
#include "state/config_json.h"

#include <algorithm>
#include <array>
#include <limits>
#include <type_traits>
#include <utility>

namespace briarhead {

namespace {

using detail::entry_place;
using detail::pointerTo;
using nlohmann::json;

constexpr std::string_view setRoot = "/set";
constexpr std::string_view removeRoot = "/remove";

bool fail(error &why, std::string where, std::string detail)
{
    why = {error_kind::BadPatch, std::move(where), std::move(detail)};
    return false;
}

/// The section that holds an entry of this name and kind, to read or to change; an adapter's is its shard.
template <class configuration, class value>
auto &sectionFor(configuration &at, std::string_view name, value *)
{
    if constexpr (std::is_same_v<value, adapter_config>) {
        return at.adapters[shardOf(name)];
    } else if constexpr (std::is_same_v<value, caller_config>) {
        return at.callers;
    } else if constexpr (std::is_same_v<value, rule_config>) {
        return at.rules;
    } else if constexpr (std::is_same_v<value, service_config>) {
        return at.services;
    } else {
        return at.targets;
    }
}

/// The change of one section: all entries to set, then the names to remove.
struct section_change
{
    std::string_view section;
    const json *set = nullptr; ///< object by name
    const json *remove = nullptr; ///< list of names
};

template <class value>
bool setEntries(config &at, const section_change &change, error &why)
{
    if (change.set == nullptr) {
        return true;
    }
    const entry_place whole{setRoot, change.section, {}};
    if (!change.set->is_object()) {
        return fail(why, whole.path(), "must be an object of entries by name");
    }
    for (const auto &[name, from] : change.set->items()) {
        const entry_place place{setRoot, change.section, name};
        value entry;
        if (!detail::checkName(name, whole.path(name), why) || !detail::readEntry(from, place, entry, why)) {
            return false;
        }
        sectionFor(at, name, static_cast<value *>(nullptr))
            .mutableEntries()
            .insert_or_assign(name, std::move(entry));
    }
    return true;
}

template <class value>
bool removeEntries(config &at, const section_change &change, error &why)
{
    if (change.remove == nullptr) {
        return true;
    }
    const entry_place whole{removeRoot, change.section, {}};
    if (!change.remove->is_array()) {
        return fail(why, whole.path(), "must be a list of names");
    }
    for (const auto &item : *change.remove) {
        const auto name = item.is_string() ? item.get<std::string>() : std::string();
        const bool alsoSet = change.set != nullptr && change.set->contains(name);
        auto &section = sectionFor(at, name, static_cast<value *>(nullptr));
        if (alsoSet || !section.contains(name)) {
            return fail(why, whole.path(),
                "holds " + item.dump()
                    + (alsoSet ? ", which the patch sets as well" : ", which does not exist"));
        }
        section.mutableEntries().erase(name);
    }
    return true;
}

template <class value>
bool changeSection(config &at, const section_change &change, error &why)
{
    return setEntries<value>(at, change, why) && removeEntries<value>(at, change, why);
}

/// The two texts of a patch, parsed.
struct patch_body
{
    json set = json::object();
    json remove = json::object();

    section_change change(std::string_view section) const
    {
        const auto ofSet = set.find(section);
        const auto ofRemove = remove.find(section);
        return {
            section, ofSet != set.end() ? &*ofSet : nullptr, ofRemove != remove.end() ? &*ofRemove : nullptr};
    }
};

bool checkSections(const json &part, std::string_view root, bool withPolicy, error &why)
{
    using namespace detail;
    constexpr std::array named{
        section::adapters, section::callers, section::rules, section::services, section::targets};
    if (!part.is_object()) {
        return fail(why, std::string(root), "must be an object");
    }
    for (const auto &[key, value] : part.items()) {
        const bool known =
            std::ranges::find(named, key) != named.end() || (withPolicy && key == section::policy);
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

bool changeAll(config &at, const patch_body &body, error &why)
{
    using namespace detail;
    const auto policy = body.set.find(section::policy);
    const bool policyGood =
        policy == body.set.end() || readEntry(*policy, {setRoot, section::policy, {}}, at.policy, why);
    return policyGood && changeSection<adapter_config>(at, body.change(section::adapters), why)
        && changeSection<caller_config>(at, body.change(section::callers), why)
        && changeSection<rule_config>(at, body.change(section::rules), why)
        && changeSection<service_config>(at, body.change(section::services), why)
        && changeSection<target_config>(at, body.change(section::targets), why);
}

bool sharesIndexed(const config &at, const config &before)
{
    return at.callers.sharesEntriesWith(before.callers) && at.rules.sharesEntriesWith(before.rules)
        && at.services.sharesEntriesWith(before.services);
}

// ---- the frame of a patch

bool readText(const json &from, const char *key, std::size_t most, std::string &into, error &why)
{
    const auto found = from.find(key);
    if (found == from.end()) {
        return true;
    }
    if (!found->is_string() || found->get_ref<const std::string &>().size() > most) {
        return fail(why, pointerTo({key}), "must be a text of at most " + std::to_string(most) + " bytes");
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
    constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() >= most) {
        return fail(why, pointerTo({key}), "must be a whole number from 0");
    }
    into = found->get<number>();
    return true;
}

/// Whether brackets nest deeper than any patch needs. Guards against a text of thousands of '[': parsing
/// it is harmless, but writing it out again recurses once per level and would end the process.
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

/// The text as JSON, or a discarded value.
json parseText(std::string_view text, error &why)
{
    if (nestsTooDeep(text)) {
        fail(why, "/", "nests deeper than any patch needs");
        return json(json::value_t::discarded);
    }
    try {
        return json::parse(text);
    } catch (const json::exception &wrong) {
        fail(why, "/", std::string("is not valid JSON: ") + wrong.what());
        return json(json::value_t::discarded);
    }
}

bool checkFrame(const json &from, error &why)
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

// ---- the difference a patch makes

template <class value>
std::string describeEntry(const std::string &place, const value *old, const json &from)
{
    value entry;
    error ignored;
    const bool good = detail::readEntry(from, {}, entry, ignored);
    const auto text = good ? detail::entryText(entry) : from.dump();
    if (old == nullptr) {
        return "+ " + place + ' ' + text;
    }
    const auto oldText = detail::entryText(*old);
    return oldText == text ? std::string() : "~ " + place + ' ' + oldText + " -> " + text;
}

template <class value>
void describeSection(const config &at, const section_change &change, std::vector<std::string> &lines)
{
    const std::string start = std::string(change.section) + '/';
    if (change.set != nullptr && change.set->is_object()) {
        for (const auto &[name, from] : change.set->items()) {
            const auto &section = sectionFor(at, name, static_cast<value *>(nullptr));
            const auto old = section.find(name);
            auto line =
                describeEntry<value>(start + name, old != section.end() ? &old->second : nullptr, from);
            if (!line.empty()) {
                lines.push_back(std::move(line));
            }
        }
    }
    if (change.remove != nullptr && change.remove->is_array()) {
        for (const auto &name : *change.remove) {
            lines.push_back("- " + start + (name.is_string() ? name.get<std::string>() : name.dump()));
        }
    }
}

void describePolicy(const config &at, const patch_body &body, std::vector<std::string> &lines)
{
    const auto found = body.set.find(detail::section::policy);
    if (found == body.set.end() || !found->is_object()) {
        return;
    }
    const auto now = json::parse(detail::entryText(at.policy));
    for (const auto &[key, value] : found->items()) {
        const auto old = now.value(key, json());
        if (old != value) {
            lines.push_back("~ policy/" + key + ' ' + old.dump() + " -> " + value.dump());
        }
    }
}

}

std::optional<config_patch> detail::readPatch(const json &from, error &why)
{
    config_patch patch;
    const bool good = checkFrame(from, why) && readNumber(from, "base", patch.base, why)
        && readText(from, "id", maxNameBytes, patch.id, why)
        && readText(from, "by", maxNameBytes, patch.by, why)
        && readText(from, "note", maxNoteBytes, patch.note, why) && readNumber(from, "at_ms", patch.atMs, why)
        && checkName(patch.id, "/id", why);
    if (!good) {
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
    const json frame{{"base", patch.base}, {"id", patch.id}, {"by", patch.by}, {"note", patch.note},
        {"at_ms", patch.atMs}};
    // The two bodies are JSON already; parsing them only to write them again would cost their size.
    std::string text = frame.dump();
    text.back() = ',';
    text += "\"set\":";
    text += patch.set.empty() ? "{}" : patch.set;
    text += ",\"remove\":";
    text += patch.remove.empty() ? "{}" : patch.remove;
    text += '}';
    return text;
}

config_ptr applyPatch(const config &at, const config_patch &patch, error &why)
{
    if (patch.base != at.version) {
        why = {error_kind::StalePatch, "/base",
            "the patch is written against version " + std::to_string(patch.base) + ", the current version is "
                + std::to_string(at.version)};
        return nullptr;
    }
    const auto body = parseBody(patch, why);
    if (!body) {
        return nullptr;
    }
    auto next = std::make_shared<config>(at);
    next->version = at.version + 1;
    if (!changeAll(*next, *body, why)) {
        return nullptr;
    }
    if (!next->index || !sharesIndexed(*next, at)) {
        next->index = detail::buildIndex(*next);
    }
    return detail::checkWhole(*next, at, why) ? next : nullptr;
}

std::vector<std::string> describePatch(const config &at, const config_patch &patch)
{
    using namespace detail;
    std::vector<std::string> lines;
    error ignored;
    const auto body = parseBody(patch, ignored);
    if (!body) {
        return lines;
    }
    describeSection<adapter_config>(at, body->change(section::adapters), lines);
    describeSection<caller_config>(at, body->change(section::callers), lines);
    describeSection<rule_config>(at, body->change(section::rules), lines);
    describeSection<service_config>(at, body->change(section::services), lines);
    describeSection<target_config>(at, body->change(section::targets), lines);
    describePolicy(at, *body, lines);
    return lines;
}

}
