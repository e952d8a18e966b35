// The session of the ownership task: its one lease, and whether the key-value service can be reached.
#include "coordination/ownership_task.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

constexpr std::int64_t sessionRetryMs = 500;
/// Two failed calls in a row mean an outage; one may be a lost packet.
constexpr int failuresForOutage = 2;

}

void ownership_task::serviceAnswered(kv_status status)
{
    const bool up = status == kv_status::Ok || status == kv_status::Conflict;
    m_serviceFailures = up ? 0 : m_serviceFailures + 1;
    const bool now = m_serviceFailures < failuresForOutage;
    if (now != m_serviceUp) {
        spdlog::warn("ownership: The key-value service is {}.", now ? "back" : "out");
        m_serviceUp = now;
    }
}

void ownership_task::renew()
{
    const millis now = bootNow();
    if (m_sessionBusy || now < m_renewAt) {
        return;
    }
    if (m_leaving && m_owned == 0) {
        // All is handed over. Giving the lease back lets a new process of this instance begin at once.
        if (m_lease != 0) {
            m_kv.revokeLease(std::exchange(m_lease, 0), [](kv_status) {});
            m_fence.disarm();
        }
        return;
    }
    const millis wanted = leaseLength(m_options.leaseTtl, m_members.size());
    m_renewAt = now + renewInterval(m_options.leaseTtl, m_members.size());
    if (m_lease == 0) {
        openSession();
        return;
    }
    // A lease keeps the length it was granted with. The fleet has grown or shrunk: move to a new one in time.
    if (wanted.count > m_ttl.count * 2 || wanted.count * 2 < m_ttl.count) {
        openSession();
        return;
    }
    // A longer interval than the granted length bears would let the lease lapse between two renewals.
    m_renewAt = std::min(m_renewAt, now + millis{m_ttl.count / 3});
    m_sessionBusy = true;
    m_kv.keepAlive(m_lease, [this, now](kv_status status) {
        m_sessionBusy = false;
        serviceAnswered(status);
        if (status == kv_status::Ok) {
            leaseConfirmed(now);
        } else if (status == kv_status::Conflict) {
            leaseLost();
        }
    });
}

void ownership_task::openSession()
{
    const millis sentAt = bootNow();
    const millis ttl = leaseLength(m_options.leaseTtl, m_members.size());
    m_sessionBusy = true;
    m_kv.grantLease(ttl, [this, sentAt, ttl](kv_status status, std::int64_t id) {
        serviceAnswered(status);
        if (status != kv_status::Ok || id == 0) {
            m_sessionBusy = false;
            m_renewAt = bootNow() + retryPause();
            return;
        }
        writeSession(id, ttl, sentAt);
    });
}

void ownership_task::writeSession(std::int64_t lease, millis ttl, millis sentAt)
{
    const std::string value = toJson(session_record{m_options.incarnation, ttl.count});
    const auto written = [this, lease, ttl, sentAt](const kv_write &answer) {
        m_sessionBusy = false;
        serviceAnswered(answer.status);
        if (answer.status == kv_status::Ok) {
            m_sessionRevision = answer.revision;
            m_lease = lease;
            m_ttl = ttl;
            spdlog::info("ownership: Session open, lease of {} ms.", ttl.count);
            leaseConfirmed(sentAt);
            return;
        }
        m_kv.revokeLease(lease, [](kv_status) {});
        m_renewAt = bootNow() + retryPause();
        if (answer.status != kv_status::Conflict) {
            return;
        }
        error why;
        const auto standing = parseSessionRecord(answer.current.value, why);
        if (!standing || standing->incarnation == m_options.incarnation) {
            // Our own write whose answer was lost, or no key at all.
            m_sessionRevision = answer.current.modRevision;
            return;
        }
        // Guards against: an older process of this instance's name is paused with its lease still running,
        // and its key is overwritten. Peers would take that for the end of its session and evict what it
        // serves. Its lease has to run out first; it is waited for here.
        spdlog::info("ownership: Waiting for the session of an older process to end.");
        m_sessionRevision = 0;
    };
    m_kv.compareAndSwap(ownerSessionKey(m_options.self), m_sessionRevision, value, lease, written);
}

/// Guards against: the service comes back from an outage, and all daemons open sessions and claim their
/// servers in the same second. It shows as a second outage. The pause grows with the fleet and is spread by
/// chance.
millis ownership_task::retryPause()
{
    const auto spread = static_cast<std::uint64_t>(pacedPause(m_members.size()).count) + 1;
    return {sessionRetryMs + static_cast<std::int64_t>(m_random() % spread)};
}

void ownership_task::leaseLost()
{
    spdlog::warn("ownership: The lease is gone. Opening a new session.");
    m_lease = 0;
    m_renewAt = bootNow() + millis{retryPause().count - sessionRetryMs};
    // Guards against: a peer saw our session gone and takes a server over while we open a new session and go
    // on. Reading the record back would leave a window between its read and its swap; raising the epoch by
    // compare-and-swap does not, since only one of the two swaps can succeed.
    for (auto &[name, server] : m_servers) {
        if (server.active) {
            server.retake = true;
        }
    }
}

void ownership_task::leaseConfirmed(millis sentAt)
{
    // Counted from before the renewal left: the service can't have counted from any earlier.
    m_leaseUntil = sentAt + m_ttl;
    const bool clean = std::none_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
        const tracked &server = entry.second;
        return server.active && server.retake && !(server.engine && server.engine->checksFencing);
    });
    if (clean) {
        m_fence.rearm(m_leaseUntil);
        m_bus.post(lease_confirmed{m_leaseUntil});
    }
}

}
