#pragma once

#include "serving/metadata_store.h"
#include "transport/loop.h"

#include <map>
#include <string>
#include <vector>

namespace briarhead {

/// What goes wrong with a fake_store's calls.
enum class store_fault : std::uint8_t
{
    None,
    RefusesCalls, ///< nothing is done, and the caller is told so
    Unresponsive, ///< nothing is done, and no answer comes but a time-out
    LosesWriteResponses, ///< writes are done, and not answered
    LeasesOnly, ///< leases are granted and kept; all else is Unresponsive
};

/// The platform's store in memory, for tests of the tasks around it.
class fake_store
{
public:
    explicit fake_store(loop &eventLoop)
        : events(eventLoop)
    {
    }

    /// Writes as the operator or a server does; the revision of the change.
    std::int64_t put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    void remove(const std::string &key);
    void expire(std::int64_t lease);
    /// Forgets the history: watches from before are told to read anew.
    void compact();

    loop &events;
    std::map<std::string, stored_item> items;
    std::map<std::string, std::int64_t> leases; ///< by key
    std::vector<stored_item> history;
    std::int64_t oldestRevision = 0;
    std::int64_t revision = 0;
    std::int64_t lastLease = 0;
    std::map<std::int64_t, bool> leaseIsOpen; ///< leases
    std::map<std::int64_t, millis> renewedAt; ///< when a lease was granted or kept last
    std::uint64_t calls = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0; ///< answered
};

/// One daemon's way to a fake_store; each has troubles of its own.
class fake_store_client final : public metadata_store
{
public:
    explicit fake_store_client(fake_store &shared)
        : m_shared(shared)
    {
    }
    store_fault fault = store_fault::None;

    void list(const std::string &prefix, std::function<void(const store_read &)> done) override;
    void watch(const std::string &prefix, std::int64_t after, millis wait,
        std::function<void(const store_read &)> done) override;
    void change(const store_change &what, std::function<void(store_status, std::int64_t)> done) override;
    void grantLease(millis ttl, std::function<void(store_status, std::int64_t)> done) override;
    void renewLease(std::int64_t lease, std::function<void(store_status)> done) override;

private:
    void later(std::function<void()> call);
    bool fails(const std::function<void(store_status)> &done, bool ofLease = false);
    void poll(const std::string &prefix, std::int64_t after, millis until,
        std::function<void(const store_read &)> done);

    fake_store &m_shared;
    std::vector<std::shared_ptr<void>> m_timers;
};

}
