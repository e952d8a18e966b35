#include "state/config_index.h"
#include "state/config_json.h"

#include <xxhash.h>

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace briarhead {

namespace {

using detail::entry_place;
using nlohmann::json;

/// Chunks are split above this size. Half of the limit, so that a chunk has room for the largest entry.
constexpr std::size_t splitChunkBytes = maxChunkBytes / 2;
constexpr unsigned hashBits = 64;

/// One entry as text: "NAME":{...}
struct entry_line
{
    std::uint64_t hash = 0;
    std::string text;
};

std::uint64_t hashOf(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

template <class section>
void addLines(const section &entries, std::vector<entry_line> &lines)
{
    for (const auto &[name, entry] : entries) {
        lines.push_back({hashOf(name), '"' + name + "\":" + detail::entryText(entry)});
    }
}

std::string joinLines(std::span<const entry_line> lines)
{
    std::string text = "{";
    for (const auto &line : lines) {
        text += (text.size() > 1 ? "," : "") + line.text;
    }
    return text + '}';
}

std::size_t bytesOf(std::span<const entry_line> lines)
{
    std::size_t bytes = 2;
    for (const auto &line : lines) {
        bytes += line.text.size() + 1;
    }
    return bytes;
}

/// Splits sorted lines by the next bit of their hash until each part fits one chunk. Splitting by hash
/// keeps the other parts as they are when entries come and go.
void splitInto(std::map<std::string, std::string> &chunks, const std::string &section,
    const std::string &bits, std::span<const entry_line> lines)
{
    if (lines.empty()) {
        return;
    }
    if (bytesOf(lines) <= splitChunkBytes || bits.size() == hashBits) {
        chunks.emplace(bits.empty() ? section : section + '.' + bits, joinLines(lines));
        return;
    }
    const auto mask = std::uint64_t{1} << (hashBits - 1 - bits.size());
    const auto middle = std::ranges::find_if(lines, [mask](const entry_line &line) {
        return (line.hash & mask) != 0;
    });
    const auto low = static_cast<std::size_t>(middle - lines.begin());
    splitInto(chunks, section, bits + '0', lines.first(low));
    splitInto(chunks, section, bits + '1', lines.subspan(low));
}

void addSection(
    std::map<std::string, std::string> &chunks, std::string_view section, std::vector<entry_line> lines)
{
    std::ranges::sort(lines, [](const entry_line &a, const entry_line &b) {
        return std::tie(a.hash, a.text) < std::tie(b.hash, b.text);
    });
    splitInto(chunks, std::string(section), {}, lines);
}

template <class entries>
std::vector<entry_line> linesOf(const entries &section)
{
    std::vector<entry_line> lines;
    lines.reserve(section.size());
    addLines(section, lines);
    return lines;
}

std::vector<entry_line> adapterLines(const config &at)
{
    std::vector<entry_line> lines;
    lines.reserve(adapterCount(at));
    for (const auto &shard : at.adapters) {
        addLines(shard, lines);
    }
    return lines;
}

template <class value, class chooser>
bool readEntries(const json &from, std::string_view section, chooser &&sectionOf, error &why)
{
    for (const auto &[name, item] : from.items()) {
        value entry;
        const entry_place place{{}, section, name};
        if (!detail::checkName(name, place.path(), why) || !detail::readEntry(item, place, entry, why)) {
            return false;
        }
        sectionOf(name).mutableEntries().insert_or_assign(name, std::move(entry));
    }
    return true;
}

/// Reads one chunk into the configuration under construction.
bool readChunk(config &into, std::string_view chunk, const json &from, error &why)
{
    using namespace detail;
    const auto section = chunk.substr(0, chunk.find('.'));
    if (section == section::policy) {
        return readEntry(from, {{}, section, {}}, into.policy, why);
    }
    if (section == section::adapters) {
        const auto shard = [&](const std::string &name) -> auto &
        {
            return into.adapters[shardOf(name)];
        };
        return readEntries<adapter_config>(from, section, shard, why);
    }
    const auto same = [](auto &whole) {
        return [&whole](const std::string &) -> auto &
        {
            return whole;
        };
    };
    if (section == section::callers) {
        return readEntries<caller_config>(from, section, same(into.callers), why);
    }
    if (section == section::rules) {
        return readEntries<rule_config>(from, section, same(into.rules), why);
    }
    if (section == section::services) {
        return readEntries<service_config>(from, section, same(into.services), why);
    }
    if (section == section::targets) {
        return readEntries<target_config>(from, section, same(into.targets), why);
    }
    why = {error_kind::BadPatch, std::string(chunk), "is a chunk of a kind that this release doesn't know"};
    return false;
}

template <class entries>
void appendEntries(std::string &text, const entries &section, bool &first)
{
    for (const auto &[name, entry] : section) {
        text += first ? "\"" : ",\"";
        text += name + "\":" + detail::entryText(entry);
        first = false;
    }
}

template <class entries>
void appendSection(std::string &text, std::string_view name, const entries &section)
{
    bool first = true;
    text += ",\"" + std::string(name) + "\":{";
    appendEntries(text, section, first);
    text += '}';
}

std::vector<config_patch> readPatches(const json &list, error &why)
{
    std::vector<config_patch> patches;
    for (const auto &item : list) {
        auto patch = detail::readPatch(item, why);
        if (!patch) {
            return {};
        }
        patches.push_back(std::move(*patch));
    }
    return patches;
}

/// Whether the patches lead from the snapshot to the head's version without a gap.
bool isWhole(const config_head &head)
{
    std::uint64_t version = head.snapshotVersion;
    for (const auto &patch : head.patches) {
        if (patch.base != version) {
            return false;
        }
        ++version;
    }
    return version == head.version;
}

}

std::map<std::string, std::string> toChunks(const config &at)
{
    using namespace detail;
    std::map<std::string, std::string> chunks;
    chunks.emplace(section::policy, entryText(at.policy));
    addSection(chunks, section::adapters, adapterLines(at));
    addSection(chunks, section::callers, linesOf(at.callers));
    addSection(chunks, section::rules, linesOf(at.rules));
    addSection(chunks, section::services, linesOf(at.services));
    addSection(chunks, section::targets, linesOf(at.targets));
    return chunks;
}

config_ptr fromChunks(std::uint64_t version, const std::map<std::string, std::string> &chunks, error &why)
{
    auto made = std::make_shared<config>();
    made->version = version;
    for (const auto &[name, text] : chunks) {
        const auto from = json::parse(text, nullptr, false);
        if (!from.is_object()) {
            why = {error_kind::BadPatch, name, "is not a JSON object"};
            return nullptr;
        }
        if (!readChunk(*made, name, from, why)) {
            return nullptr;
        }
    }
    made->index = detail::buildIndex(*made);
    return detail::checkWhole(*made, *emptyConfig(), why) ? made : nullptr;
}

std::string toJson(const config &at)
{
    using namespace detail;
    std::string text = "{\"version\":" + std::to_string(at.version) + ",\"policy\":" + entryText(at.policy)
        + ",\"adapters\":{";
    bool first = true;
    for (const auto &shard : at.adapters) {
        appendEntries(text, shard, first);
    }
    text += '}';
    appendSection(text, section::callers, at.callers);
    appendSection(text, section::rules, at.rules);
    appendSection(text, section::services, at.services);
    appendSection(text, section::targets, at.targets);
    return text + '}';
}

std::string toJson(const config_head &head)
{
    const json frame{{"version", head.version}, {"snapshot_version", head.snapshotVersion},
        {"chunks", head.chunks}, {"retired", head.retired}};
    std::string text = frame.dump();
    text.pop_back();
    text += ",\"patches\":[";
    for (const auto &patch : head.patches) {
        text += (&patch == &head.patches.front() ? "" : ",") + toJson(patch);
    }
    return text + "]}";
}

std::optional<config_head> parseHead(std::string_view text, error &why)
{
    config_head head;
    why = {};
    try {
        const auto from = json::parse(text);
        head.version = from.at("version").get<std::uint64_t>();
        head.snapshotVersion = from.at("snapshot_version").get<std::uint64_t>();
        head.chunks = from.at("chunks").get<std::map<std::string, std::string>>();
        head.retired = from.value("retired", std::vector<std::string>());
        head.patches = readPatches(from.at("patches"), why);
    } catch (const json::exception &wrong) {
        why = {error_kind::BadPatch, "head", wrong.what()};
        return std::nullopt;
    }
    if (!isWhole(head)) {
        if (why.kind != error_kind::None) {
            return std::nullopt;
        }
        why = {error_kind::BadPatch, "head",
            "the patches don't lead to version " + std::to_string(head.version)};
        return std::nullopt;
    }
    return head;
}

}
