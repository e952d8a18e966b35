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
constexpr std::int64_t maxRetentionMs = 24 * 3'600 * 1'000;
constexpr std::int64_t maxTimeoutMs = 3'600 * 1'000;
constexpr std::uint32_t maxPolicyCount = 64;
constexpr double maxLoadsPerSecond = 1'000;
constexpr double maxPenalty = 1e12;
constexpr std::uint32_t maxRuleLimit = 1'000'000;

/// Path prefixes that the daemon serves itself. A service under one of them would never be reached.
constexpr std::array<std::string_view, 5> reservedPaths{"/v1", "/admin", "/healthz", "/readyz", "/metrics"};

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

/// Reads the fields of one entry. After the first error all further calls do nothing.
class field_reader
{
public:
    field_reader(const json &object, const entry_location &location, error &why)
        : m_object(object)
        , m_location(location)
        , m_why(why)
    {
        if (!object.is_object()) {
            fail({}, "must be an object");
        }
    }

    bool valid() const
    {
        return m_valid;
    }

    void fail(std::string_view key, std::string detail)
    {
        if (m_valid) {
            m_valid = false;
            m_why = {error_kind::BadPatch, m_location.path(key), std::move(detail)};
        }
    }

    /// The field, or nullptr if it is absent, which is an error for a required one.
    const json *field(std::string_view key, bool required = false)
    {
        if (!m_valid) {
            return nullptr;
        }
        m_known.push_back(key);
        const auto found = m_object.find(key);
        if (found != m_object.end()) {
            ++m_readCount;
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
    void integer(std::string_view key, number &into, number minValue, number maxValue, bool required = false)
    {
        const json *value = field(key, required);
        if (value != nullptr && !toInteger(*value, into, minValue, maxValue)) {
            fail(key,
                "must be a whole number from " + std::to_string(minValue) + " to "
                    + std::to_string(maxValue));
        }
    }

    void span(std::string_view key, millis &into, std::int64_t minValue, std::int64_t maxValue)
    {
        integer(key, into.count, minValue, maxValue);
    }

    void real(std::string_view key, double &into, double minValue, double maxValue)
    {
        const json *value = field(key);
        if (value == nullptr) {
            return;
        }
        const double number = value->is_number() ? value->get<double>() : minValue - 1;
        if (!(number >= minValue && number <= maxValue)) {
            fail(key, "must be a number from " + json(minValue).dump() + " to " + json(maxValue).dump());
            return;
        }
        into = number;
    }

    template <std::integral number>
    static bool toInteger(const json &value, number &into, number minValue, number maxValue)
    {
        if (!value.is_number_integer()) {
            return false;
        }
        if (value.is_number_unsigned()
            && value.get<std::uint64_t>()
                > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            return false;
        }
        const auto wideValue = value.get<std::int64_t>();
        if (std::cmp_less(wideValue, minValue) || std::cmp_greater(wideValue, maxValue)) {
            return false;
        }
        into = static_cast<number>(wideValue);
        return true;
    }

    /// Reports an error for any key that was not read: a misspelt key would otherwise be ignored silently.
    /// Returns whether the entry is valid.
    bool refuseUnknownKeys()
    {
        if (!m_valid || m_readCount == m_object.size()) {
            return m_valid;
        }
        for (const auto &[key, value] : m_object.items()) {
            if (std::ranges::find(m_known, key) == m_known.end()) {
                fail(key, "is not a known key; known are " + knownKeys());
            }
        }
        return m_valid;
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
    const entry_location &m_location;
    error &m_why;
    std::vector<std::string_view> m_known; ///< keys passed to field()
    std::size_t m_readCount = 0; ///< keys of the object that were read
    bool m_valid = true;
};

void checkNameField(field_reader &fields, std::string_view key, std::string_view value)
{
    if (fields.valid() && !isName(value)) {
        fields.fail(
            key, "must be a name of 1 to " + std::to_string(maxNameBytes) + " letters, digits and \"._-/\"");
    }
}

void checkSelector(field_reader &fields, std::string_view callers)
{
    constexpr std::string_view groupPrefix = "group:";
    const bool valid = callers == "*" || isName(callers)
        || (callers.starts_with(groupPrefix) && isName(callers.substr(groupPrefix.size())));
    if (fields.valid() && !valid) {
        fields.fail("callers", "must be a caller's name, \"group:NAME\" or \"*\"");
    }
}

void checkPattern(field_reader &fields, std::string_view pattern)
{
    const auto name = pattern.ends_with('*') ? pattern.substr(0, pattern.size() - 1) : pattern;
    const bool valid = pattern == "*" || isName(name);
    if (fields.valid() && !valid) {
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
    const bool wellFormed = path.size() > 1 && path.size() <= maxServicePathBytes && path.front() == '/'
        && path.back() != '/' && std::ranges::all_of(path, isNameByte);
    if (!wellFormed) {
        fields.fail(key, "must be a path such as \"/orders\"");
    }
    for (const auto reserved : reservedPaths) {
        if (path == reserved || path.starts_with(std::string(reserved) + '/')) {
            fields.fail(key, "lies under " + std::string(reserved) + ", which the daemon serves itself");
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

std::string entry_location::path(std::string_view key) const
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

bool readEntry(const json &from, const entry_location &location, adapter_config &into, error &why)
{
    field_reader fields(from, location, why);
    fields.text("base_model", into.baseModel, true);
    checkNameField(fields, "base_model", into.baseModel);
    readVersions(fields, into);
    fields.integer("active", into.active, 1U, std::numeric_limits<std::uint32_t>::max(), true);
    if (fields.valid() && !std::ranges::binary_search(into.versions, into.active)) {
        fields.fail("active", "is version " + std::to_string(into.active) + ", which \"versions\" lacks");
    }
    return fields.refuseUnknownKeys();
}

bool readEntry(const json &from, const entry_location &location, caller_config &into, error &why)
{
    field_reader fields(from, location, why);
    fields.text("key_hash", into.keyHash, true);
    if (into.keyHash.size() != keyHashBytes || !isLowerHex(into.keyHash)) {
        fields.fail(
            "key_hash", "must be 64 hexadecimal digits in lower case, as `briarheadctl hash-key` prints");
    }
    readGroups(fields, into);
    return fields.refuseUnknownKeys();
}

bool readEntry(const json &from, const entry_location &location, rule_config &into, error &why)
{
    field_reader fields(from, location, why);
    fields.text("callers", into.callers, true);
    checkSelector(fields, into.callers);
    fields.text("adapters", into.adapters);
    fields.text("service", into.service);
    if (fields.valid() && into.adapters.empty() == into.service.empty()) {
        fields.fail({}, "must hold either \"adapters\" or \"service\"");
    }
    if (!into.adapters.empty()) {
        checkPattern(fields, into.adapters);
    } else {
        checkNameField(fields, "service", into.service);
    }
    readPriority(fields, "best", into.bestPriority);
    fields.integer("in_flight", into.inFlight, 0U, maxRuleLimit);
    fields.integer("per_second", into.perSecond, 0U, maxRuleLimit);
    return fields.refuseUnknownKeys();
}

bool readEntry(const json &from, const entry_location &location, service_config &into, error &why)
{
    field_reader fields(from, location, why);
    fields.text("path_prefix", into.pathPrefix, true);
    if (fields.valid()) {
        checkServicePath(fields, into.pathPrefix);
    }
    fields.flag("idempotent", into.idempotent);
    fields.span("timeout_ms", into.timeout, 1, maxTimeoutMs);
    return fields.refuseUnknownKeys();
}

bool readEntry(const json &from, const entry_location &location, target_config &into, error &why)
{
    field_reader fields(from, location, why);
    fields.text("callers", into.callers, true);
    checkSelector(fields, into.callers);
    fields.text("adapters", into.adapters);
    if (!into.adapters.empty()) {
        checkPattern(fields, into.adapters);
    }
    fields.span("first_token_ms", into.firstToken, 0, maxTimeoutMs);
    fields.span("whole_ms", into.endToEnd, 0, maxTimeoutMs);
    if (fields.valid() && into.firstToken.count == 0 && into.endToEnd.count == 0) {
        fields.fail({}, "must hold \"first_token_ms\" or \"whole_ms\"");
    }
    fields.real("share", into.share, 0, 1);
    fields.real("penalty", into.penalty, 0, maxPenalty);
    return fields.refuseUnknownKeys();
}

bool readEntry(const json &from, const entry_location &location, policy_config &into, error &why)
{
    constexpr double minLoadsPerSecond = 0.01;
    field_reader fields(from, location, why);
    fields.real("stall_weight", into.stallWeight, 0, 1);
    fields.real("store_loads_per_second", into.storeLoadsPerSecond, minLoadsPerSecond, maxLoadsPerSecond);
    fields.integer("store_concurrency", into.storeConcurrency, 1U, maxPolicyCount);
    fields.integer("max_replicas", into.maxReplicas, 1U, maxPolicyCount);
    fields.span("default_deadline_ms", into.defaultDeadline, 1, maxTimeoutMs);
    fields.span("max_deadline_ms", into.maxDeadline, 1, maxAllowedDeadlineMs);
    fields.span("idempotency_retention_ms", into.idempotencyRetention, 1, maxRetentionMs);
    if (fields.valid() && into.defaultDeadline > into.maxDeadline) {
        fields.fail("default_deadline_ms", "is longer than max_deadline_ms");
    }
    return fields.refuseUnknownKeys();
}

std::string entryToJson(const adapter_config &entry)
{
    // Composed by hand, for speed: a snapshot can have 160,000 of these, and names need no escaping.
    std::string text = "{\"active\":" + std::to_string(entry.active) + ",\"base_model\":\"" + entry.baseModel
        + "\",\"versions\":[";
    for (std::size_t i = 0; i < entry.versions.size(); ++i) {
        text += (i > 0 ? "," : "") + std::to_string(entry.versions[i]);
    }
    return text + "]}";
}

std::string entryToJson(const caller_config &entry)
{
    return json{{"key_hash", entry.keyHash}, {"groups", entry.groups}}.dump();
}

std::string entryToJson(const rule_config &entry)
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

std::string entryToJson(const service_config &entry)
{
    return json{{"path_prefix", entry.pathPrefix}, {"idempotent", entry.idempotent},
        {"timeout_ms", entry.timeout.count}}
        .dump();
}

std::string entryToJson(const target_config &entry)
{
    return json{{"callers", entry.callers}, {"adapters", entry.adapters},
        {"first_token_ms", entry.firstToken.count}, {"whole_ms", entry.endToEnd.count},
        {"share", entry.share}, {"penalty", entry.penalty}}
        .dump();
}

std::string entryToJson(const policy_config &entry)
{
    return json{{"stall_weight", entry.stallWeight}, {"store_loads_per_second", entry.storeLoadsPerSecond},
        {"store_concurrency", entry.storeConcurrency}, {"max_replicas", entry.maxReplicas},
        {"default_deadline_ms", entry.defaultDeadline.count}, {"max_deadline_ms", entry.maxDeadline.count},
        {"idempotency_retention_ms", entry.idempotencyRetention.count}}
        .dump();
}

}
