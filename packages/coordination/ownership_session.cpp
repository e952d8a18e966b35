// The session part of the ownership task: its lease, and whether the key-value service is reachable.
#include "coordination/ownership_task.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

constexpr std::int64_t sessionRetryMs = 500;
/// Failed calls in a row that count as an outage; a single one may be a lost packet.
constexpr int minOutageFailures = 2;

}

void ownership_task::onServiceStatus(kv_status status)
{
    const bool responded = status == kv_status::Ok || status == kv_status::Conflict;
    m_serviceFailures = responded ? 0 : m_serviceFailures + 1;
    const bool reachable = m_serviceFailures < minOutageFailures;
    if (reachable != m_serviceReachable) {
        spdlog::warn("ownership: The key-value service is {}.", reachable ? "back" : "out");
        m_serviceReachable = reachable;
    }
}

void ownership_task::renew()
{
    const millis now = bootNow();
    if (m_sessionCallPending || now < m_renewAt) {
        return;
    }
    if (m_leaving && m_ownedCount == 0) {
        // All servers are handed over. With the lease revoked, a new process of this instance can start at
        // once.
        if (m_lease != 0) {
            m_kv.revokeLease(std::exchange(m_lease, 0), [](kv_status) {});
            m_fence.disarm();
        }
        return;
    }
    const millis targetTtl = leaseTtlFor(m_options.leaseTtl, m_members.size());
    m_renewAt = now + renewIntervalFor(m_options.leaseTtl, m_members.size());
    if (m_lease == 0) {
        openSession();
        return;
    }
    // A lease keeps the time to live it was granted with. The fleet has grown or shrunk a lot: open a new
    // one.
    if (targetTtl.count > m_ttl.count * 2 || targetTtl.count * 2 < m_ttl.count) {
        openSession();
        return;
    }
    // With an interval that is too long for the granted time to live, the lease would expire between
    // renewals.
    m_renewAt = std::min(m_renewAt, now + millis{m_ttl.count / 3});
    m_sessionCallPending = true;
    m_kv.keepAlive(m_lease, [this, now](kv_status status) {
        m_sessionCallPending = false;
        onServiceStatus(status);
        if (status == kv_status::Ok) {
            onLeaseConfirmed(now);
        } else if (status == kv_status::Conflict) {
            onLeaseLost();
        }
    });
}

void ownership_task::openSession()
{
    const millis sentAt = bootNow();
    const millis ttl = leaseTtlFor(m_options.leaseTtl, m_members.size());
    m_sessionCallPending = true;
    m_kv.grantLease(ttl, [this, sentAt, ttl](kv_status status, std::int64_t id) {
        onServiceStatus(status);
        if (status != kv_status::Ok || id == 0) {
            m_sessionCallPending = false;
            m_renewAt = bootNow() + retryDelay();
            return;
        }
        writeSession(id, ttl, sentAt);
    });
}

void ownership_task::writeSession(std::int64_t lease, millis ttl, millis sentAt)
{
    const std::string value = toJson(session_record{m_options.incarnation, ttl.count});
    const auto onWritten = [this, lease, ttl, sentAt](const kv_write &write) {
        m_sessionCallPending = false;
        onServiceStatus(write.status);
        if (write.status == kv_status::Ok) {
            m_sessionRevision = write.revision;
            m_lease = lease;
            m_ttl = ttl;
            spdlog::info("ownership: session opened with a lease of {} ms.", ttl.count);
            onLeaseConfirmed(sentAt);
            return;
        }
        m_kv.revokeLease(lease, [](kv_status) {});
        m_renewAt = bootNow() + retryDelay();
        if (write.status != kv_status::Conflict) {
            return;
        }
        error why;
        const auto stored = parseSessionRecord(write.current.value, why);
        if (!stored || stored->incarnation == m_options.incarnation) {
            // This daemon's own write, whose response was lost, or no key at all.
            m_sessionRevision = write.current.modRevision;
            return;
        }
        // Guards against overwriting the key of an older process of this instance's name that is paused while
        // its lease is still valid. Peers would consider its session ended and evict adapters that it serves.
        // So its lease must expire first.
        spdlog::info("ownership: Waiting for the session of an older process of this instance to expire.");
        m_sessionRevision = 0;
    };
    m_kv.compareAndSwap(ownerSessionKey(m_options.self), m_sessionRevision, value, lease, onWritten);
}

/// The delay before the next attempt to open a session. Guards against a second outage when the service is
/// reachable again and all daemons open sessions and claim their servers in the same second: the delay is
/// random and grows with the fleet.
millis ownership_task::retryDelay()
{
    const auto spread = static_cast<std::uint64_t>(fleetCallInterval(m_members.size()).count) + 1;
    return {sessionRetryMs + static_cast<std::int64_t>(m_random() % spread)};
}

void ownership_task::onLeaseLost()
{
    spdlog::warn("ownership: The lease is gone; opening a new session.");
    m_lease = 0;
    m_renewAt = bootNow() + millis{retryDelay().count - sessionRetryMs};
    // Guards against a peer that saw this daemon's session end and takes over a server while this daemon
    // opens a new session and goes on. Reading the record again would leave a window between the read and the
    // peer's swap; raising the epoch by compare-and-swap does not, since only one of the two swaps can
    // succeed.
    for (auto &[name, server] : m_servers) {
        if (server.active) {
            server.epochRaiseNeeded = true;
        }
    }
}

void ownership_task::onLeaseConfirmed(millis sentAt)
{
    // Counted from before the renewal was sent, since the service can't have started counting earlier.
    m_leaseUntil = sentAt + m_ttl;
    const bool confirmed = std::none_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
        const tracked_server &server = entry.second;
        return server.active && server.epochRaiseNeeded && !(server.engine && server.engine->checksFencing);
    });
    if (confirmed) {
        m_fence.rearm(m_leaseUntil);
        m_bus.post(lease_confirmed{m_leaseUntil});
    }
}

}
