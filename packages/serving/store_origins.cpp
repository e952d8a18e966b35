#include "serving/store_task.h"

#include "protocol/codec.h"
#include "scheduling/origin_log.h"
#include "scheduling/stream_versions.h"
#include "serving/store_keys.h"

#include <utility>

// Origins of streams in the store. They are read by daemons that start and those that are asked about a
// stream that no daemon knows, and not passed on to others.
namespace briarhead {

namespace {

/// Segments that are begun within this time share a lease, which is never renewed.
constexpr millis originLeaseUse{30'000};
constexpr millis originLeaseTtl = originLifetime + originLeaseUse;

}

void store_task::writeOrigins(
    std::int64_t segment, const stored_origins_record &record, std::function<void(bool)> done)
{
    const millis now = bootNow();
    if (m_leaving || m_lastCallFailed) {
        m_loop.post([done = std::move(done)] {
            done(false);
        });
        return;
    }
    if (m_originLease != 0 && now - m_originLeaseAt < originLeaseUse) {
        putOrigins(segment, record, std::move(done));
        return;
    }
    m_store.grantLease(originLeaseTtl,
        [this, segment, record, now, done = std::move(done)](
            store_status status, std::int64_t lease) mutable {
            onCallDone(status == store_status::Ok, "origin lease");
            if (status != store_status::Ok) {
                done(false);
                return;
            }
            m_originLease = lease;
            m_originLeaseAt = now;
            putOrigins(segment, record, std::move(done));
        });
}

void store_task::putOrigins(
    std::int64_t segment, const stored_origins_record &record, std::function<void(bool)> done)
{
    store_change change;
    change.puts.push_back({detail::originsPrefix + m_settings.node + '.' + std::to_string(m_incarnation) + '.'
            + std::to_string(segment),
        encode(record), m_originLease});
    m_store.change(change, [this, done = std::move(done)](store_status status, std::int64_t) {
        onCallDone(status == store_status::Ok || status == store_status::LeaseNotFound, "origins");
        if (status == store_status::LeaseNotFound) {
            m_originLease = 0;
        }
        done(status == store_status::Ok);
    });
}

void store_task::readOrigins(std::function<void(std::optional<std::vector<stream_origin_record>>)> done)
{
    m_store.list(detail::originsPrefix, [this, done = std::move(done)](const store_read &read) {
        onCallDone(read.status == store_status::Ok, "list origins");
        if (read.status != store_status::Ok) {
            done(std::nullopt);
            return;
        }
        std::vector<stream_origin_record> origins;
        for (const stored_item &item : read.items) {
            appendOrigins(item, origins);
        }
        done(origins);
    });
}

/// Appends the streams of an item; an unreadable one has none.
void store_task::appendOrigins(const stored_item &item, std::vector<stream_origin_record> &origins)
{
    error why;
    const auto record = decodeStoredOrigins(item.value, why);
    if (!record) {
        logUnreadable(item, why);
        return;
    }
    const std::vector<stream_origin_record> streams = originsOf(*record);
    origins.insert(origins.end(), streams.begin(), streams.end());
}

}
