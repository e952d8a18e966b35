#include "serving/fake_store.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr millis responseTime{1};
constexpr millis callTimeout{300}; ///< shortened for tests
constexpr millis pollInterval{10};

}

std::int64_t fake_store::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    stored_item item{key, value, ++revision, false};
    items[key] = item;
    leases[key] = lease;
    history.push_back(item);
    return revision;
}

store_status fake_store::execute(const store_change &transaction)
{
    const bool refused =
        std::any_of(transaction.puts.begin(), transaction.puts.end(), [this](const store_put &each) {
            return !refusedPrefix.empty() && each.key.starts_with(refusedPrefix);
        });
    if (refused) {
        return store_status::Refused;
    }
    for (const auto &[key, expected] : transaction.expected) {
        const auto found = items.find(key);
        if ((found == items.end() ? 0 : found->second.revision) != expected) {
            return store_status::Conflict;
        }
    }
    for (const store_put &put : transaction.puts) {
        if (put.lease != 0 && !leaseIsOpen[put.lease]) {
            return store_status::LeaseNotFound;
        }
    }
    for (const store_put &each : transaction.puts) {
        put(each.key, each.value, each.lease);
    }
    for (const std::string &key : transaction.removes) {
        remove(key);
    }
    return store_status::Ok;
}

void fake_store::executeLater(const store_change &transaction, millis delay)
{
    lateChanges.push_back(events.timer(delay, {}, [this, transaction] {
        execute(transaction);
    }));
}

void fake_store::remove(const std::string &key)
{
    if (items.erase(key) > 0) {
        history.push_back({key, "", ++revision, true});
    }
}

void fake_store::expire(std::int64_t lease)
{
    leaseIsOpen[lease] = false;
    std::vector<std::string> keys;
    for (const auto &[key, keyLease] : leases) {
        if (keyLease == lease && items.count(key) != 0) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        remove(key);
    }
}

void fake_store::compact()
{
    history.clear();
    oldestRevision = revision;
}

void fake_store_client::respondLater(std::function<void()> call)
{
    ++m_shared.calls;
    m_timers.push_back(m_shared.events.timer(responseTime, {}, std::move(call)));
}

bool fake_store_client::respondWithFault(const std::function<void(store_status)> &done, bool isLeaseCall)
{
    if (fault == store_fault::RefusesCalls) {
        respondLater([done] {
            done(store_status::Refused);
        });
        return true;
    }
    if (fault == store_fault::Unresponsive || (fault == store_fault::LeasesOnly && !isLeaseCall)) {
        m_timers.push_back(m_shared.events.timer(callTimeout, {}, [done] {
            done(store_status::Unknown);
        }));
        return true;
    }
    return false;
}

void fake_store_client::list(const std::string &prefix, std::function<void(const store_read &)> done)
{
    if (respondWithFault([done](store_status status) {
            done({status, {}, 0});
        })) {
        return;
    }
    respondLater([this, prefix, done] {
        ++m_shared.lists;
        store_read read{store_status::Ok, {}, m_shared.revision};
        for (const auto &[key, item] : m_shared.items) {
            if (key.starts_with(prefix)) {
                read.items.push_back(item);
            }
        }
        done(read);
    });
}

void fake_store_client::poll(
    const std::string &prefix, std::int64_t after, millis until, std::function<void(const store_read &)> done)
{
    if (fault != store_fault::None && fault != store_fault::LosesWriteResponses) {
        done({store_status::Unknown, {}, 0});
        return;
    }
    if (after < m_shared.oldestRevision) {
        done({store_status::HistoryGone, {}, m_shared.revision});
        return;
    }
    store_read read{store_status::Ok, {}, m_shared.revision};
    std::copy_if(m_shared.history.begin(), m_shared.history.end(), std::back_inserter(read.items),
        [&](const stored_item &item) {
            return item.revision > after && item.key.starts_with(prefix);
        });
    if (!read.items.empty() || bootNow() >= until) {
        done(read);
        return;
    }
    m_timers.push_back(
        m_shared.events.timer(pollInterval, {}, [this, prefix, after, until, done = std::move(done)] {
            poll(prefix, after, until, done);
        }));
}

void fake_store_client::watch(
    const std::string &prefix, std::int64_t after, millis wait, std::function<void(const store_read &)> done)
{
    ++m_shared.watches;
    if (respondWithFault([done](store_status status) {
            done({status, {}, 0});
        })) {
        return;
    }
    respondLater([this, prefix, after, until = bootNow() + wait, done = std::move(done)] {
        poll(prefix, after, until, done);
    });
}

void fake_store_client::change(
    const store_change &transaction, std::function<void(store_status, std::int64_t)> done)
{
    if (respondWithFault([done](store_status status) {
            done(status, 0);
        })) {
        return;
    }
    if (fault == store_fault::RefusesChanges) {
        respondLater([done] {
            done(store_status::Refused, 0);
        });
        return;
    }
    if (fault == store_fault::ExecutesChangesLate) {
        m_shared.executeLater(transaction, lateBy);
        m_timers.push_back(m_shared.events.timer(callTimeout, {}, [done] {
            done(store_status::Unknown, 0);
        }));
        return;
    }
    respondLater([this, transaction, done] {
        const store_status status = m_shared.execute(transaction);
        const bool lost = fault == store_fault::LosesWriteResponses && status == store_status::Ok;
        done(lost ? store_status::Unknown : status, lost ? 0 : m_shared.revision);
    });
}

void fake_store_client::grantLease(millis ttl, std::function<void(store_status, std::int64_t)> done)
{
    if (respondWithFault(
            [done](store_status status) {
                done(status, 0);
            },
            true)) {
        return;
    }
    respondLater([this, ttl, done] {
        m_shared.leaseIsOpen[++m_shared.lastLease] = true;
        m_shared.ttls[m_shared.lastLease] = ttl;
        m_shared.renewedAt[m_shared.lastLease] = bootNow();
        done(store_status::Ok, m_shared.lastLease);
    });
}

void fake_store_client::renewLease(std::int64_t lease, std::function<void(store_status)> done)
{
    if (respondWithFault(done, true)) {
        return;
    }
    respondLater([this, lease, done] {
        m_shared.renewedAt[lease] = bootNow();
        done(m_shared.leaseIsOpen[lease] ? store_status::Ok : store_status::LeaseNotFound);
    });
}

}
