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

/// A key of the key-value service with its value and the revision of its last change (0: absent).
struct kv_entry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

/// The result of a call to the key-value service.
enum class kv_status : std::uint8_t
{
    Ok,
    Conflict, ///< the compare failed; certain that nothing was written
    Unavailable, ///< certain that nothing was written (refused, no connection)
    Ambiguous, ///< the response was lost, and a write may have taken effect; read back to find out
};

std::string_view nameOf(kv_status value);

/// Response to a read, in key order.
struct kv_read
{
    kv_status status = kv_status::Unavailable;
    std::vector<kv_entry> entries;
    std::int64_t revision = 0; ///< of the store at the time of the read
};

/// Response to a write or compare-and-swap.
struct kv_write
{
    kv_status status = kv_status::Unavailable;
    std::int64_t revision = 0; ///< of the store after the call
    kv_entry current; ///< the stored entry after a conflict
};

/// Number of calls made, by kind; an open watch counts as one call.
struct kv_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t watches = 0;
    std::uint64_t failed = 0; ///< unavailable, ambiguous, or a watch that ended
};

namespace detail {

/// Standard base64 with padding, as the gateway encodes keys and values.
std::string toBase64(std::string_view bytes);
std::optional<std::string> fromBase64(std::string_view text);

/// The end of the range of all keys that begin with `prefix`, as etcd defines it ("\0": no upper bound).
std::string prefixEnd(std::string prefix);

}

/// Client of the platform's key-value service. It uses a subset of etcd's v3 HTTP/JSON gateway: range, txn,
/// lease grant / keepalive / revoke, and watch. Each call is made once; retrying is up to the user of this
/// class.
class kv_client
{
public:
    /// Calls use the first of `urls`; a failure switches to the next one, and after the last to the first.
    kv_client(loop &eventLoop, std::vector<std::string> urls, millis timeout);
    ~kv_client();
    kv_client(const kv_client &) = delete;
    kv_client &operator=(const kv_client &) = delete;

    void get(const std::string &key, std::function<void(const kv_read &)> done);
    /// Like get(), but returns no entry if its modRevision is below `minRevision`.
    void getIfChanged(
        const std::string &key, std::int64_t minRevision, std::function<void(const kv_read &)> done);
    /// Reads the keys that begin with `prefix`, at most `limit` of them (0: all).
    void list(const std::string &prefix, std::int64_t limit, std::function<void(const kv_read &)> done);
    /// Writes `value` if the key's modRevision is still `expected` (0: the key must be absent).
    /// A `lease` of 0 attaches none.
    void compareAndSwap(const std::string &key, std::int64_t expected, const std::string &value,
        std::int64_t lease, std::function<void(const kv_write &)> done);
    /// Removes the key if its modRevision is still `expected`.
    void compareAndRemove(
        const std::string &key, std::int64_t expected, std::function<void(const kv_write &)> done);

    /// `id` is 0 on failure.
    void grantLease(millis ttl, std::function<void(kv_status, std::int64_t id)> done);
    /// Conflict means that the lease has expired or was revoked.
    void keepAlive(std::int64_t lease, std::function<void(kv_status)> done);
    /// Ok also if the lease no longer exists.
    void revokeLease(std::int64_t lease, std::function<void(kv_status)> done);

    /// Watches a key from a revision on (0: from now on). `changed` is called for each change, with
    /// modRevision 0 for a removal, and `ended` once when the watch breaks. Dropping the returned handle ends
    /// the watch without a callback. A watch that the service doesn't confirm within the client's timeout
    /// ends. After the confirmation, an idle watch does not prove that the service still works, so its user
    /// must also read the key at intervals.
    std::shared_ptr<void> watch(const std::string &key, std::int64_t fromRevision,
        std::function<void(const kv_entry &)> changed, std::function<void()> ended);

    const kv_counters &counters() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
