#include "state/settings.h"

#include "state/config_json.h"
#include "state/settings_schema.h"

#include <nlohmann/json.hpp>
// The headers of valijson trigger these warnings.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wextra"
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#pragma GCC diagnostic pop

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace briarhead {

namespace {

using nlohmann::json;
using valijson::ValidationResults;

const json &schemaText()
{
    static const json text = json::parse(detail::settingsSchema);
    return text;
}

const valijson::Schema &schema()
{
    static const auto parsedSchema = [] {
        auto result = std::make_unique<valijson::Schema>();
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaText()), *result);
        return result;
    }();
    return *parsedSchema;
}

/// The path to a validation error, key by key. valijson writes it as "<root>" and then each key or index in
/// brackets: "[kv_urls]", "[0]".
std::vector<std::string> pathOf(const ValidationResults::Error &violation)
{
    std::vector<std::string> keys;
    for (const auto &part : violation.context) {
        if (part.size() > 2 && part.front() == '[' && part.back() == ']') {
            keys.push_back(part.substr(1, part.size() - 2));
        }
    }
    return keys;
}

/// The path as a JSON pointer, "/" for the root.
std::string pointerOf(const std::vector<std::string> &keys)
{
    std::string path;
    for (const auto &key : keys) {
        path += detail::pointerTo({key});
    }
    return path.empty() ? "/" : path;
}

std::string knownKeys()
{
    std::string list;
    for (const auto &[key, value] : schemaText().at("properties").items()) {
        list += (list.empty() ? "" : ", ") + key;
    }
    return list;
}

/// The first key of the file that is not in the schema.
std::optional<std::string> unknownKey(const json &from)
{
    const auto &known = schemaText().at("properties");
    for (const auto &[key, value] : from.items()) {
        if (!known.contains(key)) {
            return key;
        }
    }
    return std::nullopt;
}

/// The first required key that is absent from the file.
std::optional<std::string> missingKey(const json &from)
{
    for (const auto &key : schemaText().at("required")) {
        if (!from.contains(key.get<std::string>())) {
            return key.get<std::string>();
        }
    }
    return std::nullopt;
}

std::string descriptionOf(const std::string &key)
{
    return schemaText().at("properties").at(key).value("description", "");
}

error settingError(const std::string &file, const std::string &path, std::string detail)
{
    return {error_kind::BadSettings, file + ' ' + path, std::move(detail)};
}

/// The error for a file that failed validation: the path, the value found there and what is allowed.
error explainViolation(const json &from, const std::string &file, const ValidationResults &results)
{
    if (!from.is_object()) {
        return settingError(file, "/", "must be one JSON object");
    }
    if (const auto key = unknownKey(from)) {
        return settingError(file, pointerOf({*key}), "is not a known key; known are " + knownKeys());
    }
    if (const auto key = missingKey(from)) {
        return settingError(file, pointerOf({*key}), "is missing; it must be " + descriptionOf(*key));
    }
    // Report the deepest violation: the enclosing values are invalid only because of it.
    const auto deepest = std::ranges::max_element(results, {}, [](const auto &violation) {
        return violation.context.size();
    });
    const auto keys = deepest != results.end() ? pathOf(*deepest) : std::vector<std::string>();
    if (keys.empty()) {
        return settingError(file, "/", "does not fit the schema");
    }
    const auto path = pointerOf(keys);
    const json::json_pointer pointer(path);
    const auto value = from.contains(pointer) ? from.at(pointer).dump() : std::string("nothing");
    return settingError(file, path, "is " + value + "; it must be " + descriptionOf(keys.front()));
}

bool isIpAddress(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    return inet_pton(AF_INET, text.c_str(), ignored.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), ignored.data()) == 1;
}

/// Checks the rules that the schema cannot express.
bool checkBeyondSchema(const settings &parsed, const std::string &file, error &why)
{
    if (!isIpAddress(parsed.callerAddress)) {
        why = settingError(file, "/caller_address",
            "is \"" + parsed.callerAddress + "\"; it must be " + descriptionOf("caller_address"));
        return false;
    }
    if (!isIpAddress(parsed.peerAddress)) {
        why = settingError(file, "/peer_address",
            "is \"" + parsed.peerAddress + "\"; it must be " + descriptionOf("peer_address"));
        return false;
    }
    if (parsed.peerPort == parsed.callerPort && parsed.peerAddress == parsed.callerAddress) {
        why = settingError(file, "/peer_port",
            "is " + std::to_string(parsed.peerPort) + ", the same as caller_port on the same address");
        return false;
    }
    return true;
}

template <class value>
void readIfPresent(const json &from, const char *key, value &into)
{
    if (const auto found = from.find(key); found != from.end()) {
        into = found->get<value>();
    }
}

void readIfPresent(const json &from, const char *key, millis &into)
{
    readIfPresent(from, key, into.count);
}

/// Converts a file that is valid by the schema; absent keys keep their defaults.
settings convert(const json &from)
{
    settings parsed;
    readIfPresent(from, "instance", parsed.instance);
    readIfPresent(from, "failure_domain", parsed.failureDomain);
    readIfPresent(from, "region", parsed.region);
    readIfPresent(from, "caller_address", parsed.callerAddress);
    readIfPresent(from, "caller_port", parsed.callerPort);
    readIfPresent(from, "peer_address", parsed.peerAddress);
    readIfPresent(from, "peer_port", parsed.peerPort);
    readIfPresent(from, "kv_urls", parsed.kvUrls);
    readIfPresent(from, "live_list_url", parsed.liveListUrl);
    readIfPresent(from, "peer_key", parsed.peerKey);
    readIfPresent(from, "operator_key_hashes", parsed.operatorKeyHashes);
    readIfPresent(from, "body_limit_bytes", parsed.bodyLimitBytes);
    readIfPresent(from, "log_level", parsed.logLevel);
    readIfPresent(from, "routing", parsed.routing);
    readIfPresent(from, "lease_ttl_ms", parsed.leaseTtl);
    readIfPresent(from, "probe_interval_ms", parsed.probeInterval);
    readIfPresent(from, "live_list_interval_ms", parsed.liveListInterval);
    readIfPresent(from, "drain_timeout_ms", parsed.drainTimeout);
    readIfPresent(from, "kv_timeout_ms", parsed.kvTimeout);
    return parsed;
}

}

std::optional<settings> parseSettings(std::string_view text, const std::string &file, error &why)
{
    json from;
    try {
        from = json::parse(text);
    } catch (const json::exception &failure) {
        why = settingError(file, "/", std::string("is not valid JSON: ") + failure.what());
        return std::nullopt;
    }
    ValidationResults results;
    // Strong types: the string "8080" is not accepted as a port number.
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    if (!validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(from), &results)) {
        why = explainViolation(from, file, results);
        return std::nullopt;
    }
    auto parsed = convert(from);
    return checkBeyondSchema(parsed, file, why) ? std::optional(std::move(parsed)) : std::nullopt;
}

std::optional<settings> readSettings(const std::string &path, error &why)
{
    std::ifstream file(path);
    if (!file) {
        why = {error_kind::BadSettings, path, std::string("can't be read: ") + std::strerror(errno)};
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return parseSettings(text, path, why);
}

}
