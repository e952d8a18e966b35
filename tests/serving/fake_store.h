#pragma once

#include "serving/metadata_store.h"
#include "transport/loop.h"

#include <map>
#include <string>
#include <vector>

namespace briarhead {

/// A fault injected into the calls of a fake_store_client.
enum class store_fault : std::uint8_t
{
    None,
    RefusesCalls, ///< calls are refused without being executed
    Unresponsive, ///< calls are not executed and time out
    LosesWriteResponses, ///< writes are executed but not answered
    LeasesOnly, ///< lease calls work; all others are unresponsive
    ExecutesChangesLate, ///< changes are not answered, and executed after `lateBy` if their condition holds
                         ///< then
    RefusesChanges, ///< reads and lease calls work; changes of records are refused
};

/// The platform's store in memory, for tests of its clients.
class fake_store
{
public:
    explicit fake_store(loop &eventLoop)
        : events(eventLoop)
    {
    }

    /// Writes as the operator or a server does. Returns the revision of the change.
    std::int64_t put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    store_status execute(const store_change &transaction);
    /// Executes a change after a while, also if the client that sent it is gone by then.
    void executeLater(const store_change &transaction, millis delay);
    void remove(const std::string &key);
    void expire(std::int64_t lease);
    /// Drops the history: watches from an earlier revision fail with HistoryGone.
    void compact();

    loop &events;
    std::map<std::string, stored_item> items;
    std::map<std::string, std::int64_t> leases; ///< lease of each key
    std::vector<stored_item> history;
    std::int64_t oldestRevision = 0;
    std::int64_t revision = 0;
    std::int64_t lastLease = 0;
    std::map<std::int64_t, bool> leaseIsOpen; ///< by lease
    std::map<std::int64_t, millis> renewedAt; ///< when a lease was last granted or renewed
    std::map<std::int64_t, millis> ttls; ///< as requested, by lease
    std::uint64_t calls = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0; ///< calls that were answered
    std::vector<std::shared_ptr<void>> lateChanges;
    std::string refusedPrefix; ///< changes of keys that begin with it are refused; empty: none
};

/// One daemon's client of a fake_store, with its own faults.
class fake_store_client final : public metadata_store
{
public:
    explicit fake_store_client(fake_store &shared, store_fault initialFault = store_fault::None)
        : fault(initialFault)
        , m_shared(shared)
    {
    }
    store_fault fault;
    millis lateBy{1'000};

    void list(const std::string &prefix, std::function<void(const store_read &)> done) override;
    void watch(const std::string &prefix, std::int64_t after, millis wait,
        std::function<void(const store_read &)> done) override;
    void change(const store_change &what, std::function<void(store_status, std::int64_t)> done) override;
    void grantLease(millis ttl, std::function<void(store_status, std::int64_t)> done) override;
    void renewLease(std::int64_t lease, std::function<void(store_status)> done) override;

private:
    void respondLater(std::function<void()> call);
    bool respondWithFault(const std::function<void(store_status)> &done, bool isLeaseCall = false);
    void poll(const std::string &prefix, std::int64_t after, millis until,
        std::function<void(const store_read &)> done);

    fake_store &m_shared;
    std::vector<std::shared_ptr<void>> m_timers;
};

}
