#include "state/config_json.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <concepts>
#include <limits>
#include <utility>

namespace briarhead::detail {

namespace {

using nlohmann::json;

constexpr std::size_t keyHashBytes = 64;
constexpr std::size_t maxServicePathBytes = 256;
constexpr std::int64_t maxTimeMs = 24 * 3'600 * 1'000;
constexpr std::int64_t maxDeadlineLimitMs = 3'600 * 1'000;
constexpr std::uint32_t maxPolicyCount = 64;
constexpr double maxLoadsPerSecond = 1'000;
constexpr double maxPenalty = 1e12;
constexpr std::uint32_t maxLimit = 1'000'000;

/// Paths that the daemon serves itself; a service there would never be reached.
constexpr std::array<std::string_view, 5> ownPaths{"/v1", "/admin", "/healthz", "/readyz", "/metrics"};

bool isNameByte(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' || c == '/';
}

bool isName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameBytes && std::ranges::all_of(name, isNameByte);
}

bool isLowerHex(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

/// Reads the fields of one entry. After the first failure the rest is passed over.
class field_reader
{
public:
    field_reader(const json &object, const entry_place &place, error &why)
        : m_object(object)
        , m_place(place)
        , m_why(why)
    {
        if (!object.is_object()) {
            fail({}, "must be an object");
        }
    }

    bool good() const
    {
        return m_good;
    }

    void fail(std::string_view key, std::string detail)
    {
        if (m_good) {
            m_good = false;
            m_why = {error_kind::BadPatch, m_place.path(key), std::move(detail)};
        }
    }

    /// The field, or nullptr where it is absent; then a required one fails.
    const json *field(std::string_view key, bool required = false)
    {
        if (!m_good) {
            return nullptr;
        }
        m_known.push_back(key);
        const auto found = m_object.find(key);
        if (found != m_object.end()) {
            ++m_seen;
            return &*found;
        }
        if (required) {
            fail(key, "is missing");
        }
        return nullptr;
    }

    void text(std::string_view key, std::string &into, bool required = false)
    {
        const json *value = field(key, required);
        if (value != nullptr && !value->is_string()) {
            fail(key, "must be a text");
        } else if (value != nullptr) {
            into = value->get_ref<const std::string &>();
        }
    }

    void flag(std::string_view key, bool &into)
    {
        const json *value = field(key);
        if (value != nullptr && !value->is_boolean()) {
            fail(key, "must be true or false");
        } else if (value != nullptr) {
            into = value->get<bool>();
        }
    }

    template <std::integral number>
    void integer(std::string_view key, number &into, number least, number most, bool required = false)
    {
        const json *value = field(key, required);
        if (value != nullptr && !toInteger(*value, into, least, most)) {
            fail(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        }
    }

    void span(std::string_view key, millis &into, std::int64_t least, std::int64_t most)
    {
        integer(key, into.count, least, most);
    }

    void real(std::string_view key, double &into, double least, double most)
    {
        const json *value = field(key);
        if (value == nullptr) {
            return;
        }
        const double number = value->is_number() ? value->get<double>() : least - 1;
        if (!(number >= least && number <= most)) {
            fail(key, "must be a number from " + json(least).dump() + " to " + json(most).dump());
            return;
        }
        into = number;
    }

    template <std::integral number>
    static bool toInteger(const json &value, number &into, number least, number most)
    {
        if (!value.is_number_integer()) {
            return false;
        }
        if (value.is_number_unsigned()
            && value.get<std::uint64_t>()
                > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            return false;
        }
        const auto wide = value.get<std::int64_t>();
        if (std::cmp_less(wide, least) || std::cmp_greater(wide, most)) {
            return false;
        }
        into = static_cast<number>(wide);
        return true;
    }

    /// Refuses keys that no field was read from: a misspelt key would else be lost in silence.
    bool finish()
    {
        if (!m_good || m_seen == m_object.size()) {
            return m_good;
        }
        for (const auto &[key, value] : m_object.items()) {
            if (std::ranges::find(m_known, key) == m_known.end()) {
                fail(key, "is not a known key; known are " + knownKeys());
            }
        }
        return m_good;
    }

private:
    std::string knownKeys() const
    {
        std::string list;
        for (const auto key : m_known) {
            list += (list.empty() ? "" : ", ") + std::string(key);
        }
        return list;
    }

    const json &m_object;
    const entry_place &m_place;
    error &m_why;
    std::vector<std::string_view> m_known;
    std::size_t m_seen = 0;
    bool m_good = true;
};

void checkNameField(field_reader &fields, std::string_view key, std::string_view value)
{
    if (fields.good() && !isName(value)) {
        fields.fail(
            key, "must be a name of 1 to " + std::to_string(maxNameBytes) + " letters, digits and \"._-/\"");
    }
}

void checkSelector(field_reader &fields, std::string_view callers)
{
    constexpr std::string_view groupPrefix = "group:";
    const bool good = callers == "*" || isName(callers)
        || (callers.starts_with(groupPrefix) && isName(callers.substr(groupPrefix.size())));
    if (fields.good() && !good) {
        fields.fail("callers", "must be a caller's name, \"group:NAME\" or \"*\"");
    }
}

void checkPattern(field_reader &fields, std::string_view pattern)
{
    const auto stem = pattern.ends_with('*') ? pattern.substr(0, pattern.size() - 1) : pattern;
    const bool good = pattern == "*" || isName(stem);
    if (fields.good() && !good) {
        fields.fail("adapters", "must be an adapter's name, a prefix and '*', or \"*\"");
    }
}

void readVersions(field_reader &fields, adapter_config &into)
{
    constexpr std::string_view key = "versions";
    const json *list = fields.field(key, true);
    if (list == nullptr) {
        return;
    }
    if (!list->is_array() || list->empty() || list->size() > maxVersionsPerAdapter) {
        fields.fail(key, "must list 1 to " + std::to_string(maxVersionsPerAdapter) + " versions");
        return;
    }
    into.versions.reserve(list->size());
    for (const auto &item : *list) {
        std::uint32_t version = 0;
        if (!field_reader::toInteger(item, version, 1U, std::numeric_limits<std::uint32_t>::max())) {
            fields.fail(key, "must hold whole numbers from 1");
            return;
        }
        into.versions.push_back(version);
    }
    std::ranges::sort(into.versions);
    if (std::ranges::adjacent_find(into.versions) != into.versions.end()) {
        fields.fail(key, "names a version twice");
    }
}

void readGroups(field_reader &fields, caller_config &into)
{
    constexpr std::string_view key = "groups";
    const json *list = fields.field(key);
    if (list == nullptr) {
        return;
    }
    if (!list->is_array() || list->size() > maxGroupsPerCaller) {
        fields.fail(key, "must list at most " + std::to_string(maxGroupsPerCaller) + " groups");
        return;
    }
    for (const auto &item : *list) {
        if (!item.is_string()) {
            fields.fail(key, "must hold names");
            return;
        }
        into.groups.push_back(item.get<std::string>());
        checkNameField(fields, key, into.groups.back());
    }
    std::ranges::sort(into.groups);
    if (std::ranges::adjacent_find(into.groups) != into.groups.end()) {
        fields.fail(key, "names a group twice");
    }
}

void readPriority(field_reader &fields, std::string_view key, priority &into)
{
    std::string name(nameOf(into));
    fields.text(key, name);
    const auto value = priorityOf(name);
    if (!value) {
        fields.fail(key, "must be \"urgent\", \"high\", \"normal\" or \"low\"");
    }
    into = value.value_or(into);
}

void checkServicePath(field_reader &fields, std::string_view path)
{
    constexpr std::string_view key = "path_prefix";
    const bool shape = path.size() > 1 && path.size() <= maxServicePathBytes && path.front() == '/'
        && path.back() != '/' && std::ranges::all_of(path, isNameByte);
    if (!shape) {
        fields.fail(key, "must be a path such as \"/orders\"");
    }
    for (const auto own : ownPaths) {
        if (path == own || path.starts_with(std::string(own) + '/')) {
            fields.fail(key, "lies under " + std::string(own) + ", which the daemon serves itself");
        }
    }
}

}

std::string pointerTo(std::initializer_list<std::string_view> parts)
{
    std::string path;
    for (const auto part : parts) {
        path += '/';
        for (const char c : part) {
            if (c == '~') {
                path += "~0";
            } else if (c == '/') {
                path += "~1";
            } else {
                path += c;
            }
        }
    }
    return path;
}

bool checkName(std::string_view name, const std::string &where, error &why)
{
    if (isName(name)) {
        return true;
    }
    why = {error_kind::BadPatch, where,
        "must be a name of 1 to " + std::to_string(maxNameBytes) + " letters, digits and \"._-/\""};
    return false;
}

std::string entry_place::path(std::string_view key) const
{
    std::string text(root);
    text += pointerTo({section});
    if (!name.empty()) {
        text += pointerTo({name});
    }
    if (!key.empty()) {
        text += pointerTo({key});
    }
    return text;
}

bool readEntry(const json &from, const entry_place &place, adapter_config &into, error &why)
{
    field_reader fields(from, place, why);
    fields.text("base_model", into.baseModel, true);
    checkNameField(fields, "base_model", into.baseModel);
    readVersions(fields, into);
    fields.integer("active", into.active, 1U, std::numeric_limits<std::uint32_t>::max(), true);
    if (fields.good() && !std::ranges::binary_search(into.versions, into.active)) {
        fields.fail("active", "is version " + std::to_string(into.active) + ", which \"versions\" lacks");
    }
    return fields.finish();
}

bool readEntry(const json &from, const entry_place &place, caller_config &into, error &why)
{
    field_reader fields(from, place, why);
    fields.text("key_hash", into.keyHash, true);
    if (into.keyHash.size() != keyHashBytes || !isLowerHex(into.keyHash)) {
        fields.fail(
            "key_hash", "must be 64 hexadecimal digits in lower case, as `briarheadctl hash-key` prints");
    }
    readGroups(fields, into);
    return fields.finish();
}

bool readEntry(const json &from, const entry_place &place, rule_config &into, error &why)
{
    field_reader fields(from, place, why);
    fields.text("callers", into.callers, true);
    checkSelector(fields, into.callers);
    fields.text("adapters", into.adapters);
    fields.text("service", into.service);
    if (fields.good() && into.adapters.empty() == into.service.empty()) {
        fields.fail({}, "must hold either \"adapters\" or \"service\"");
    }
    if (!into.adapters.empty()) {
        checkPattern(fields, into.adapters);
    } else {
        checkNameField(fields, "service", into.service);
    }
    readPriority(fields, "best", into.bestPriority);
    fields.integer("in_flight", into.inFlight, 0U, maxLimit);
    fields.integer("per_second", into.perSecond, 0U, maxLimit);
    return fields.finish();
}

bool readEntry(const json &from, const entry_place &place, service_config &into, error &why)
{
    field_reader fields(from, place, why);
    fields.text("path_prefix", into.pathPrefix, true);
    if (fields.good()) {
        checkServicePath(fields, into.pathPrefix);
    }
    fields.flag("idempotent", into.idempotent);
    fields.span("timeout_ms", into.timeout, 1, maxDeadlineLimitMs);
    return fields.finish();
}

bool readEntry(const json &from, const entry_place &place, target_config &into, error &why)
{
    field_reader fields(from, place, why);
    fields.text("callers", into.callers, true);
    checkSelector(fields, into.callers);
    fields.text("adapters", into.adapters);
    if (!into.adapters.empty()) {
        checkPattern(fields, into.adapters);
    }
    fields.span("first_token_ms", into.firstToken, 0, maxDeadlineLimitMs);
    fields.span("whole_ms", into.endToEnd, 0, maxDeadlineLimitMs);
    if (fields.good() && into.firstToken.count == 0 && into.endToEnd.count == 0) {
        fields.fail({}, "must hold \"first_token_ms\" or \"whole_ms\"");
    }
    fields.real("share", into.share, 0, 1);
    fields.real("penalty", into.penalty, 0, maxPenalty);
    return fields.finish();
}

bool readEntry(const json &from, const entry_place &place, policy_config &into, error &why)
{
    constexpr double leastLoadsPerSecond = 0.01;
    field_reader fields(from, place, why);
    fields.real("stall_weight", into.stallWeight, 0, 1);
    fields.real("store_loads_per_second", into.storeLoadsPerSecond, leastLoadsPerSecond, maxLoadsPerSecond);
    fields.integer("store_concurrency", into.storeConcurrency, 1U, maxPolicyCount);
    fields.integer("max_replicas", into.maxReplicas, 1U, maxPolicyCount);
    fields.span("default_deadline_ms", into.defaultDeadline, 1, maxDeadlineLimitMs);
    fields.span("max_deadline_ms", into.maxDeadline, 1, maxAllowedDeadlineMs);
    fields.span("idempotency_retention_ms", into.idempotencyRetention, 1, maxTimeMs);
    if (fields.good() && into.defaultDeadline > into.maxDeadline) {
        fields.fail("default_deadline_ms", "is longer than max_deadline_ms");
    }
    return fields.finish();
}

std::string entryText(const adapter_config &entry)
{
    // Written by hand: names need no escaping, and 160,000 of these make up a snapshot.
    std::string text = "{\"active\":" + std::to_string(entry.active) + ",\"base_model\":\"" + entry.baseModel
        + "\",\"versions\":[";
    for (std::size_t i = 0; i < entry.versions.size(); ++i) {
        text += (i > 0 ? "," : "") + std::to_string(entry.versions[i]);
    }
    return text + "]}";
}

std::string entryText(const caller_config &entry)
{
    return json{{"key_hash", entry.keyHash}, {"groups", entry.groups}}.dump();
}

std::string entryText(const rule_config &entry)
{
    json text{{"callers", entry.callers}, {"best", nameOf(entry.bestPriority)}, {"in_flight", entry.inFlight},
        {"per_second", entry.perSecond}};
    if (entry.service.empty()) {
        text["adapters"] = entry.adapters;
    } else {
        text["service"] = entry.service;
    }
    return text.dump();
}

std::string entryText(const service_config &entry)
{
    return json{{"path_prefix", entry.pathPrefix}, {"idempotent", entry.idempotent},
        {"timeout_ms", entry.timeout.count}}
        .dump();
}

std::string entryText(const target_config &entry)
{
    return json{{"callers", entry.callers}, {"adapters", entry.adapters},
        {"first_token_ms", entry.firstToken.count}, {"whole_ms", entry.endToEnd.count},
        {"share", entry.share}, {"penalty", entry.penalty}}
        .dump();
}

std::string entryText(const policy_config &entry)
{
    return json{{"stall_weight", entry.stallWeight}, {"store_loads_per_second", entry.storeLoadsPerSecond},
        {"store_concurrency", entry.storeConcurrency}, {"max_replicas", entry.maxReplicas},
        {"default_deadline_ms", entry.defaultDeadline.count}, {"max_deadline_ms", entry.maxDeadline.count},
        {"idempotency_retention_ms", entry.idempotencyRetention.count}}
        .dump();
}

}
