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
    std::int64_t revision = 0; ///< of its last change
    bool removed = false; ///< in a watch's events
};

enum class store_status : std::uint8_t
{
    Ok,
    Conflict, ///< a condition did not hold; nothing was done
    LeaseNotFound, ///< no such lease
    HistoryGone, ///< a watch's revision is too old: read anew
    Refused, ///< certain that nothing was done
    Unknown, ///< no answer; a write may have been done, or may be done later
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
    std::int64_t lease = 0;
};

/// One all-or-nothing change.
struct store_change
{
    std::vector<std::pair<std::string, std::int64_t>> expected; ///< key and revision; 0: absent
    std::vector<store_put> puts;
    std::vector<std::string> removes;
};

/// The platform's store of what must last. Callbacks never run from inside the call.
class metadata_store
{
public:
    virtual ~metadata_store() = default;
    /// All items under a prefix, over as many pages as it takes.
    virtual void list(const std::string &prefix, std::function<void(const store_read &)> done) = 0;
    /// Changes under a prefix after a revision; answered at the first, or with none after `wait`.
    virtual void watch(const std::string &prefix, std::int64_t after, millis wait,
        std::function<void(const store_read &)> done) = 0;
    /// `revision` is that of the change.
    virtual void change(
        const store_change &what, std::function<void(store_status, std::int64_t revision)> done) = 0;
    virtual void grantLease(millis ttl, std::function<void(store_status, std::int64_t lease)> done) = 0;
    virtual void renewLease(std::int64_t lease, std::function<void(store_status)> done) = 0;
};

}
