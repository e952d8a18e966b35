#pragma once

#include "state/clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarhead {

/// A request that the store turns down; becomes the gateway's error body.
struct standin_refusal
{
    int status;
    int code;
    std::string message;
};

/// A half-open range of keys as on the wire: no end is one key, "\0" is all that follow.
struct standin_range
{
    std::string first;
    std::string end;

    bool holds(const std::string &key) const;
};

/// Fields as the gateway spells them; absent is zero or empty.
std::int64_t wireNumber(const nlohmann::json &object, const char *name);
standin_range wireRange(const nlohmann::json &object);

/// The store behind kv_standin: keys, revisions, leases and the last changes, in the gateway's JSON.
class standin_store
{
public:
    /// `leaseScale` is the length of a TTL second in seconds; `changed` follows each change.
    standin_store(double leaseScale, std::function<void()> changed);

    nlohmann::json range(const nlohmann::json &request) const;
    nlohmann::json txn(const nlohmann::json &request);
    nlohmann::json grant(const nlohmann::json &request);
    nlohmann::json keepAlive(const nlohmann::json &request);
    nlohmann::json revoke(const nlohmann::json &request);

    /// Changes to keys of a range from a revision on, oldest first.
    nlohmann::json events(const standin_range &keys, std::int64_t from) const;
    /// Whether changes from that revision on are no longer all held.
    bool isCompacted(std::int64_t from) const;
    nlohmann::json header() const;
    std::int64_t revision() const;

    /// Drops a lease and its keys.
    void dropLease(std::int64_t lease);
    /// Drops the leases whose TTL has run out.
    void expire(millis now);
    /// Gives every lease its whole TTL again.
    void renewAll(millis now);

private:
    struct value
    {
        std::string bytes;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t lease = 0;
    };
    struct lease
    {
        std::int64_t ttlSeconds = 0;
        millis end;
    };
    struct event
    {
        std::string key;
        std::int64_t revision = 0;
        nlohmann::json wire;
    };

    static nlohmann::json wireEntry(const std::string &key, const value &stored);
    millis leaseEnd(std::int64_t ttlSeconds, millis now) const;
    bool compare(const nlohmann::json &compares) const;
    void checkLeases(const nlohmann::json &operations) const;
    nlohmann::json run(const nlohmann::json &operation);
    void put(const nlohmann::json &request);
    std::int64_t erase(const standin_range &keys);
    void note(const std::string &key, nlohmann::json wire);

    double m_leaseScale;
    std::function<void()> m_changed;
    std::map<std::string, value> m_values;
    std::map<std::int64_t, lease> m_leases;
    std::deque<event> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 7'000;
};

}
