#include "standins/standin_store.h"

#include "transport/kv_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead {

using nlohmann::json;

namespace {

constexpr std::size_t historyLimit = 512;
constexpr double msPerSecond = 1'000.0;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;

std::string wireBytes(const json &object, const char *name)
{
    auto decoded = detail::fromBase64(object.value(name, std::string()));
    if (!decoded) {
        throw standin_refusal{httpBadRequest, grpcInvalidArgument, "illegal base64 data"};
    }
    return std::move(*decoded);
}

standin_refusal noLease()
{
    return {httpNotFound, grpcNotFound, "etcdserver: requested lease not found"};
}

}

bool standin_range::holds(const std::string &key) const
{
    if (end.empty()) {
        return key == first;
    }
    return key >= first && (end == std::string(1, '\0') || key < end);
}

std::int64_t wireNumber(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

standin_range wireRange(const json &object)
{
    return {wireBytes(object, "key"), wireBytes(object, "range_end")};
}

standin_store::standin_store(double leaseScale, std::function<void()> changed)
    : m_leaseScale(leaseScale)
    , m_changed(std::move(changed))
{
}

json standin_store::header() const
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(m_revision)},
        {"raft_term", "2"}};
}

std::int64_t standin_store::revision() const
{
    return m_revision;
}

json standin_store::wireEntry(const std::string &key, const value &stored)
{
    json entry{{"key", detail::toBase64(key)}, {"create_revision", std::to_string(stored.createRevision)},
        {"mod_revision", std::to_string(stored.modRevision)}};
    // The gateway leaves fields out that are empty or zero.
    if (!stored.bytes.empty()) {
        entry["value"] = detail::toBase64(stored.bytes);
    }
    if (stored.lease != 0) {
        entry["lease"] = std::to_string(stored.lease);
    }
    return entry;
}

json standin_store::range(const json &request) const
{
    const auto keys = wireRange(request);
    const auto limit = wireNumber(request, "limit");
    const auto minRevision = wireNumber(request, "min_mod_revision");
    auto entries = json::array();
    std::int64_t count = 0;
    for (auto at = m_values.lower_bound(keys.first); at != m_values.end() && keys.holds(at->first); ++at) {
        ++count;
        const bool filtered = minRevision != 0 && at->second.modRevision < minRevision;
        if (!filtered && (limit == 0 || count <= limit)) {
            entries.push_back(wireEntry(at->first, at->second));
        }
    }
    json result{{"header", header()}};
    if (count > 0) {
        result["kvs"] = std::move(entries);
        result["count"] = std::to_string(count);
    }
    if (limit > 0 && count > limit) {
        result["more"] = true;
    }
    return result;
}

bool standin_store::compare(const json &compares) const
{
    return std::ranges::all_of(compares, [this](const json &one) {
        if (one.value("target", "") != "MOD" || one.value("result", "") != "EQUAL") {
            throw standin_refusal{httpBadRequest, grpcInvalidArgument, "only MOD EQUAL is served"};
        }
        const auto found = m_values.find(wireBytes(one, "key"));
        const auto standing = found == m_values.end() ? 0 : found->second.modRevision;
        return standing == wireNumber(one, "mod_revision");
    });
}

void standin_store::checkLeases(const json &operations) const
{
    for (const auto &operation : operations) {
        const auto id = wireNumber(operation.value("request_put", json::object()), "lease");
        if (id != 0 && !m_leases.contains(id)) {
            throw noLease();
        }
    }
}

json standin_store::txn(const json &request)
{
    const bool holds = compare(request.value("compare", json::array()));
    const auto operations = request.value(holds ? "success" : "failure", json::array());
    checkLeases(operations);
    const bool writes = std::ranges::any_of(operations, [](const json &one) {
        return !one.contains("request_range");
    });
    m_revision += writes ? 1 : 0;
    auto responses = json::array();
    for (const auto &operation : operations) {
        responses.push_back(run(operation));
    }
    json result{{"header", header()}, {"responses", std::move(responses)}};
    if (holds) {
        result["succeeded"] = true;
    }
    if (writes) {
        m_changed();
    }
    return result;
}

json standin_store::run(const json &operation)
{
    if (const auto found = operation.find("request_put"); found != operation.end()) {
        put(*found);
        return {{"response_put", {{"header", header()}}}};
    }
    if (const auto found = operation.find("request_delete_range"); found != operation.end()) {
        const auto deleted = std::to_string(erase(wireRange(*found)));
        return {{"response_delete_range", {{"header", header()}, {"deleted", deleted}}}};
    }
    return {{"response_range", range(operation.at("request_range"))}};
}

void standin_store::put(const json &request)
{
    const auto key = wireBytes(request, "key");
    auto &stored = m_values[key];
    stored.createRevision = stored.createRevision == 0 ? m_revision : stored.createRevision;
    stored.modRevision = m_revision;
    stored.bytes = wireBytes(request, "value");
    stored.lease = wireNumber(request, "lease");
    note(key, {{"kv", wireEntry(key, stored)}});
}

std::int64_t standin_store::erase(const standin_range &keys)
{
    std::int64_t count = 0;
    for (auto at = m_values.lower_bound(keys.first); at != m_values.end() && keys.holds(at->first); ++count) {
        const json gone{{"key", detail::toBase64(at->first)}, {"mod_revision", std::to_string(m_revision)}};
        note(at->first, {{"type", "DELETE"}, {"kv", gone}});
        at = m_values.erase(at);
    }
    return count;
}

void standin_store::note(const std::string &key, json wire)
{
    m_history.push_back({key, m_revision, std::move(wire)});
    if (m_history.size() > historyLimit) {
        m_history.pop_front();
    }
}

json standin_store::events(const standin_range &keys, std::int64_t from) const
{
    auto found = json::array();
    for (const auto &one : m_history) {
        if (one.revision >= from && keys.holds(one.key)) {
            found.push_back(one.wire);
        }
    }
    return found;
}

bool standin_store::isCompacted(std::int64_t from) const
{
    return from != 0 && m_history.size() == historyLimit && from < m_history.front().revision;
}

millis standin_store::leaseEnd(std::int64_t ttlSeconds, millis now) const
{
    return now + millis{std::llround(static_cast<double>(ttlSeconds) * m_leaseScale * msPerSecond)};
}

json standin_store::grant(const json &request)
{
    const auto ttl = std::max<std::int64_t>(1, wireNumber(request, "TTL"));
    m_leases[++m_lastLease] = {ttl, leaseEnd(ttl, bootNow())};
    return {{"header", header()}, {"ID", std::to_string(m_lastLease)}, {"TTL", std::to_string(ttl)}};
}

json standin_store::keepAlive(const json &request)
{
    const auto id = wireNumber(request, "ID");
    json result{{"header", header()}, {"ID", std::to_string(id)}};
    // A lease that is gone is answered without a TTL.
    if (const auto found = m_leases.find(id); found != m_leases.end()) {
        found->second.end = leaseEnd(found->second.ttlSeconds, bootNow());
        result["TTL"] = std::to_string(found->second.ttlSeconds);
    }
    return {{"result", std::move(result)}};
}

json standin_store::revoke(const json &request)
{
    const auto id = wireNumber(request, "ID");
    if (!m_leases.contains(id)) {
        throw noLease();
    }
    dropLease(id);
    return {{"header", header()}};
}

void standin_store::dropLease(std::int64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, stored] : m_values) {
        if (stored.lease == id) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    ++m_revision;
    for (const auto &key : keys) {
        erase({key, {}});
    }
    m_changed();
}

void standin_store::expire(millis now)
{
    std::vector<std::int64_t> over;
    for (const auto &[id, one] : m_leases) {
        if (one.end <= now) {
            over.push_back(id);
        }
    }
    for (const auto id : over) {
        dropLease(id);
    }
}

void standin_store::renewAll(millis now)
{
    for (auto &[id, one] : m_leases) {
        one.end = leaseEnd(one.ttlSeconds, now);
    }
}

}
