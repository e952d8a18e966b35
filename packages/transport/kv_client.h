#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// A value in the key-value service with the revision of its last change (0: absent).
struct kv_entry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

/// How a call to the key-value service ended. Ambiguous: the answer was lost, and the write may have
/// taken effect; the caller resolves it by reading back.
enum class kv_status : std::uint8_t
{
    Ok,
    Conflict, ///< compare failed; certain that nothing was written
    Unavailable, ///< certain that nothing was written (refused, no connection)
    Ambiguous,
};

std::string_view nameOf(kv_status value);

/// Answer to a read, in key order.
struct kv_read
{
    kv_status status = kv_status::Unavailable;
    std::vector<kv_entry> entries;
    std::int64_t revision = 0;
};

/// Answer to a write or compare-and-swap. `current` is what stands there after a conflict.
struct kv_write
{
    kv_status status = kv_status::Unavailable;
    std::int64_t revision = 0;
    kv_entry current;
};

/// Counts every call made, by kind, for the capacity page; a waiting watch counts as one.
struct kv_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t watches = 0;
    std::uint64_t failed = 0;
};

namespace detail {

/// Standard base64 with padding, as the gateway writes keys and values.
std::string toBase64(std::string_view bytes);
std::optional<std::string> fromBase64(std::string_view text);

/// The end of the range of all keys that begin with `prefix`, as etcd counts it ("\0": no end).
std::string prefixEnd(std::string prefix);

}

/// The platform's key-value service, by the etcd v3 HTTP/JSON gateway's subset: range, txn, lease
/// grant / keepalive / revoke, watch. A call is made once; retries are the caller's decision.
class kv_client
{
public:
    /// `urls` are tried in turn, the next one after a failure.
    kv_client(loop &eventLoop, std::vector<std::string> urls, millis timeout);
    ~kv_client();
    kv_client(const kv_client &) = delete;
    kv_client &operator=(const kv_client &) = delete;

    void get(const std::string &key, std::function<void(const kv_read &)> done);
    /// The same, but without the entry where it has not changed since before `minRevision`.
    void getIfChanged(
        const std::string &key, std::int64_t minRevision, std::function<void(const kv_read &)> done);
    /// All keys that begin with `prefix`, at most `limit` (0: all).
    void list(const std::string &prefix, std::int64_t limit, std::function<void(const kv_read &)> done);
    /// Writes `value` if the key's modRevision is still `expected` (0: the key must be absent).
    /// `lease` of 0 attaches none.
    void compareAndSwap(const std::string &key, std::int64_t expected, const std::string &value,
        std::int64_t lease, std::function<void(const kv_write &)> done);
    /// Removes the key if its modRevision is still `expected`.
    void compareAndRemove(
        const std::string &key, std::int64_t expected, std::function<void(const kv_write &)> done);

    /// `id` of 0 on failure.
    void grantLease(millis ttl, std::function<void(kv_status, std::int64_t id)> done);
    /// Conflict: the lease is gone.
    void keepAlive(std::int64_t lease, std::function<void(kv_status)> done);
    void revokeLease(std::int64_t lease, std::function<void(kv_status)> done);

    /// Watches a key from a revision; `changed` is called for each change, `ended` once when it breaks.
    /// A `fromRevision` of 0 starts at the present; a removed key is delivered with modRevision 0.
    /// Dropping the handle ends the watch silently. A watch that the service doesn't confirm within the
    /// client's timeout ends; afterwards silence says nothing, so the caller also reads now and then.
    std::shared_ptr<void> watch(const std::string &key, std::int64_t fromRevision,
        std::function<void(const kv_entry &)> changed, std::function<void()> ended);

    const kv_counters &counters() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
