#pragma once

#include "state/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace briarhead {

struct stored_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< of its latest change
    bool removed = false; ///< only in a watch's events
};

enum class store_status : std::uint8_t
{
    Ok,
    Conflict, ///< an expected revision did not match; nothing was changed
    LeaseNotFound, ///< the lease does not exist, or has expired
    HistoryGone, ///< the watch's revision has been compacted: read again
    Refused, ///< certainly not executed
    Unknown, ///< no response; a write may have been executed, or may be later
};

struct store_read
{
    store_status status = store_status::Unknown;
    std::vector<stored_item> items;
    std::int64_t revision = 0; ///< of the store
};

struct store_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< 0: none
};

/// An atomic change.
struct store_change
{
    std::vector<std::pair<std::string, std::int64_t>>
        expected; ///< key and its revision; 0: the key must not exist
    std::vector<store_put> puts;
    std::vector<std::string> removes;
};

/// Client of the platform's metadata store. Callbacks never run from inside the call.
class metadata_store
{
public:
    virtual ~metadata_store() = default;
    /// Reads all items under a prefix, in as many pages as needed.
    virtual void list(const std::string &prefix, std::function<void(const store_read &)> done) = 0;
    /// Waits for changes under a prefix after a revision. Responds at the first ones, or with none after
    /// `wait`.
    virtual void watch(const std::string &prefix, std::int64_t after, millis wait,
        std::function<void(const store_read &)> done) = 0;
    /// Executes a change; `revision` is the one that it created.
    virtual void change(
        const store_change &transaction, std::function<void(store_status, std::int64_t revision)> done) = 0;
    virtual void grantLease(millis ttl, std::function<void(store_status, std::int64_t lease)> done) = 0;
    virtual void renewLease(std::int64_t lease, std::function<void(store_status)> done) = 0;
};

}
