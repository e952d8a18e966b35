#include "state/settings.h"

#include "state/config_json.h"
#include "state/settings_schema.h"

#include <nlohmann/json.hpp>
// valijson asks for no warnings, and gives some.
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
    static const auto parsed = [] {
        auto made = std::make_unique<valijson::Schema>();
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaText()), *made);
        return made;
    }();
    return *parsed;
}

/// valijson writes a place as "<root>" and then each step in brackets: "[kv_urls]", "[0]".
std::vector<std::string> stepsOf(const ValidationResults::Error &found)
{
    std::vector<std::string> steps;
    for (const auto &part : found.context) {
        if (part.size() > 2 && part.front() == '[' && part.back() == ']') {
            steps.push_back(part.substr(1, part.size() - 2));
        }
    }
    return steps;
}

std::string pointerOf(const std::vector<std::string> &steps)
{
    std::string path;
    for (const auto &step : steps) {
        path += detail::pointerTo({step});
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

/// The first key of the file that the schema doesn't know.
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

error badSetting(const std::string &file, const std::string &path, std::string detail)
{
    return {error_kind::BadSettings, file + ' ' + path, std::move(detail)};
}

/// What to say of a value that the schema turned down: what stands there and what is allowed.
error explain(const json &from, const std::string &file, const ValidationResults &results)
{
    if (!from.is_object()) {
        return badSetting(file, "/", "must be one JSON object");
    }
    if (const auto key = unknownKey(from)) {
        return badSetting(file, pointerOf({*key}), "is not a known key; known are " + knownKeys());
    }
    if (const auto key = missingKey(from)) {
        return badSetting(file, pointerOf({*key}), "is missing; it must be " + descriptionOf(*key));
    }
    // The deepest place is the one to correct; its parents fail only because of it.
    const auto deepest = std::ranges::max_element(results, {}, [](const auto &found) {
        return found.context.size();
    });
    const auto steps = deepest != results.end() ? stepsOf(*deepest) : std::vector<std::string>();
    if (steps.empty()) {
        return badSetting(file, "/", "does not fit the schema");
    }
    const auto path = pointerOf(steps);
    const json::json_pointer place(path);
    const auto value = from.contains(place) ? from.at(place).dump() : std::string("nothing");
    return badSetting(file, path, "is " + value + "; it must be " + descriptionOf(steps.front()));
}

bool isIpNumber(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    return inet_pton(AF_INET, text.c_str(), ignored.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), ignored.data()) == 1;
}

/// The rules that the schema can't express.
bool checkBeyondSchema(const settings &all, const std::string &file, error &why)
{
    if (!isIpNumber(all.callerAddress)) {
        why = badSetting(file, "/caller_address",
            "is \"" + all.callerAddress + "\"; it must be " + descriptionOf("caller_address"));
        return false;
    }
    if (!isIpNumber(all.peerAddress)) {
        why = badSetting(file, "/peer_address",
            "is \"" + all.peerAddress + "\"; it must be " + descriptionOf("peer_address"));
        return false;
    }
    if (all.peerPort == all.callerPort && all.peerAddress == all.callerAddress) {
        why = badSetting(file, "/peer_port",
            "is " + std::to_string(all.peerPort) + ", the same as caller_port on the same address");
        return false;
    }
    return true;
}

template <class value>
void take(const json &from, const char *key, value &into)
{
    if (const auto found = from.find(key); found != from.end()) {
        into = found->get<value>();
    }
}

void take(const json &from, const char *key, millis &into)
{
    take(from, key, into.count);
}

settings readChecked(const json &from)
{
    settings all;
    take(from, "instance", all.instance);
    take(from, "failure_domain", all.failureDomain);
    take(from, "region", all.region);
    take(from, "caller_address", all.callerAddress);
    take(from, "caller_port", all.callerPort);
    take(from, "peer_address", all.peerAddress);
    take(from, "peer_port", all.peerPort);
    take(from, "kv_urls", all.kvUrls);
    take(from, "live_list_url", all.liveListUrl);
    take(from, "peer_key", all.peerKey);
    take(from, "operator_key_hashes", all.operatorKeyHashes);
    take(from, "body_limit_bytes", all.bodyLimitBytes);
    take(from, "log_level", all.logLevel);
    take(from, "routing", all.routing);
    take(from, "lease_ttl_ms", all.leaseTtl);
    take(from, "probe_interval_ms", all.probeInterval);
    take(from, "live_list_interval_ms", all.liveListInterval);
    take(from, "drain_timeout_ms", all.drainTimeout);
    take(from, "kv_timeout_ms", all.kvTimeout);
    return all;
}

}

std::optional<settings> parseSettings(std::string_view text, const std::string &file, error &why)
{
    json from;
    try {
        from = json::parse(text);
    } catch (const json::exception &wrong) {
        why = badSetting(file, "/", std::string("is not valid JSON: ") + wrong.what());
        return std::nullopt;
    }
    ValidationResults results;
    // Strong types: the text "8080" is not a port number.
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    if (!validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(from), &results)) {
        why = explain(from, file, results);
        return std::nullopt;
    }
    auto all = readChecked(from);
    return checkBeyondSchema(all, file, why) ? std::optional(std::move(all)) : std::nullopt;
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
