#include "state/config_index.h"
#include "state/config_json.h"

#include <xxhash.h>

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace briarhead {

namespace {

using detail::entry_location;
using nlohmann::json;

/// A chunk is split when it exceeds this size: half of the limit, so that even the largest entry fits in
/// addition.
constexpr std::size_t splitChunkBytes = maxChunkBytes / 2;
constexpr unsigned hashBits = 64;

/// One entry as JSON text: "NAME":{...}
struct serialized_entry
{
    std::uint64_t hash = 0; ///< of the name
    std::string text;
};

std::uint64_t hashOf(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

template <class section>
void appendSerialized(const section &entries, std::vector<serialized_entry> &serialized)
{
    for (const auto &[name, entry] : entries) {
        serialized.push_back({hashOf(name), '"' + name + "\":" + detail::entryToJson(entry)});
    }
}

std::string joinEntries(std::span<const serialized_entry> serialized)
{
    std::string text = "{";
    for (const auto &entry : serialized) {
        text += (text.size() > 1 ? "," : "") + entry.text;
    }
    return text + '}';
}

/// The size of the entries as one JSON object.
std::size_t bytesOf(std::span<const serialized_entry> serialized)
{
    std::size_t bytes = 2;
    for (const auto &entry : serialized) {
        bytes += entry.text.size() + 1;
    }
    return bytes;
}

/// Splits the entries, which are sorted by hash, by the next bit of the hash until each part fits one chunk.
/// `bits` are the bits that all these entries have in common, as text. Since the parts depend on the hash,
/// adding or removing an entry changes its own chunk only.
void splitInto(std::map<std::string, std::string> &chunks, const std::string &section,
    const std::string &bits, std::span<const serialized_entry> serialized)
{
    if (serialized.empty()) {
        return;
    }
    if (bytesOf(serialized) <= splitChunkBytes || bits.size() == hashBits) {
        chunks.emplace(bits.empty() ? section : section + '.' + bits, joinEntries(serialized));
        return;
    }
    const auto mask = std::uint64_t{1} << (hashBits - 1 - bits.size());
    const auto firstWithBit = std::ranges::find_if(serialized, [mask](const serialized_entry &entry) {
        return (entry.hash & mask) != 0;
    });
    const auto zeroBitCount = static_cast<std::size_t>(firstWithBit - serialized.begin());
    splitInto(chunks, section, bits + '0', serialized.first(zeroBitCount));
    splitInto(chunks, section, bits + '1', serialized.subspan(zeroBitCount));
}

void addSection(std::map<std::string, std::string> &chunks, std::string_view section,
    std::vector<serialized_entry> serialized)
{
    std::ranges::sort(serialized, [](const serialized_entry &a, const serialized_entry &b) {
        return std::tie(a.hash, a.text) < std::tie(b.hash, b.text);
    });
    splitInto(chunks, std::string(section), {}, serialized);
}

template <class entries>
std::vector<serialized_entry> serializeEntries(const entries &section)
{
    std::vector<serialized_entry> serialized;
    serialized.reserve(section.size());
    appendSerialized(section, serialized);
    return serialized;
}

std::vector<serialized_entry> serializeAdapters(const config &configuration)
{
    std::vector<serialized_entry> serialized;
    serialized.reserve(adapterCount(configuration));
    for (const auto &shard : configuration.adapters) {
        appendSerialized(shard, serialized);
    }
    return serialized;
}

template <class value, class chooser>
bool readEntries(const json &from, std::string_view section, chooser &&sectionOf, error &why)
{
    for (const auto &[name, item] : from.items()) {
        value entry;
        const entry_location location{{}, section, name};
        if (!detail::checkName(name, location.path(), why)
            || !detail::readEntry(item, location, entry, why)) {
            return false;
        }
        sectionOf(name).mutableEntries().insert_or_assign(name, std::move(entry));
    }
    return true;
}

/// Reads one chunk into a configuration under construction.
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
    const auto unsharded = [](auto &entries) {
        return [&entries](const std::string &) -> auto &
        {
            return entries;
        };
    };
    if (section == section::callers) {
        return readEntries<caller_config>(from, section, unsharded(into.callers), why);
    }
    if (section == section::rules) {
        return readEntries<rule_config>(from, section, unsharded(into.rules), why);
    }
    if (section == section::services) {
        return readEntries<service_config>(from, section, unsharded(into.services), why);
    }
    if (section == section::targets) {
        return readEntries<target_config>(from, section, unsharded(into.targets), why);
    }
    why = {error_kind::BadPatch, std::string(chunk), "is a chunk of a kind that this release doesn't know"};
    return false;
}

template <class entries>
void appendEntries(std::string &text, const entries &section, bool &first)
{
    for (const auto &[name, entry] : section) {
        text += first ? "\"" : ",\"";
        text += name + "\":" + detail::entryToJson(entry);
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
bool isContiguous(const config_head &head)
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

std::map<std::string, std::string> toChunks(const config &configuration)
{
    using namespace detail;
    std::map<std::string, std::string> chunks;
    chunks.emplace(section::policy, entryToJson(configuration.policy));
    addSection(chunks, section::adapters, serializeAdapters(configuration));
    addSection(chunks, section::callers, serializeEntries(configuration.callers));
    addSection(chunks, section::rules, serializeEntries(configuration.rules));
    addSection(chunks, section::services, serializeEntries(configuration.services));
    addSection(chunks, section::targets, serializeEntries(configuration.targets));
    return chunks;
}

config_ptr fromChunks(std::uint64_t version, const std::map<std::string, std::string> &chunks, error &why)
{
    auto result = std::make_shared<config>();
    result->version = version;
    for (const auto &[name, text] : chunks) {
        const auto from = json::parse(text, nullptr, false);
        if (!from.is_object()) {
            why = {error_kind::BadPatch, name, "is not a JSON object"};
            return nullptr;
        }
        if (!readChunk(*result, name, from, why)) {
            return nullptr;
        }
    }
    result->index = detail::buildIndex(*result);
    return detail::checkConsistency(*result, *emptyConfig(), why) ? result : nullptr;
}

std::string toJson(const config &configuration)
{
    using namespace detail;
    std::string text = "{\"version\":" + std::to_string(configuration.version)
        + ",\"policy\":" + entryToJson(configuration.policy) + ",\"adapters\":{";
    bool first = true;
    for (const auto &shard : configuration.adapters) {
        appendEntries(text, shard, first);
    }
    text += '}';
    appendSection(text, section::callers, configuration.callers);
    appendSection(text, section::rules, configuration.rules);
    appendSection(text, section::services, configuration.services);
    appendSection(text, section::targets, configuration.targets);
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
    } catch (const json::exception &failure) {
        why = {error_kind::BadPatch, "head", failure.what()};
        return std::nullopt;
    }
    if (!isContiguous(head)) {
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
