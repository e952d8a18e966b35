#include "serving/lease_validity.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace briarhead {

namespace {

constexpr millis leaseTtl{2'500};

/// A span of simulated time, from `from` to before `to`.
struct window
{
    std::int64_t from = 0;
    std::int64_t to = 0;

    bool contains(std::int64_t at) const
    {
        return at >= from && at < to;
    }
};

/// What happens to a server's owner, and how late its successor learns of it. Times are in ms.
struct failure_scenario
{
    window storeOutage; ///< the owner cannot reach the store
    window suspended; ///< the owner is suspended
    bool peersDisconnected = false; ///< the owner's heartbeats are lost during the outage
    bool renewalsTimeOut = false; ///< calls in the outage end after their timeout, not at once
    std::int64_t recordsRemovedAfterMs = -1; ///< into the outage; -1: they expire with the lease
    bool leaseSurvivesRemoval = false; ///< renewals succeed after the removal
    std::int64_t detectionDelayMs = 0; ///< until the successor sees the records removed
    std::int64_t orderDelayMs = 1; ///< from sending to arrival, unless aborted before
};

/// Arrival times at the server, ms; -1: none.
struct order_times
{
    std::int64_t lastOrderOfOwner = -1;
    std::int64_t firstOrderOfSuccessor = -1;
};

constexpr std::int64_t renewalInterval = 800;
constexpr std::int64_t heartbeatInterval = 150;
constexpr std::int64_t callTime = 20;
constexpr std::int64_t callTimeout = 900;
constexpr std::int64_t heartbeatDelay = 500;
constexpr std::int64_t simulationEnd = 20'000;

struct pending_renewal
{
    std::int64_t sentAt = -1; ///< -1: none in progress
    std::int64_t endsAt = 0;
    bool succeeds = false;
};

/// The store, the owner and the successor, stepped through time.
struct simulation
{
    explicit simulation(const failure_scenario &scenarioNow)
        : scenario(scenarioNow)
    {
        onLeaseGranted(validity, {0}, leaseTtl);
    }

    const failure_scenario &scenario;
    order_times orders;
    lease_validity validity;
    std::int64_t leaseEnd = leaseTtl.count;
    std::int64_t recordsRemovedAt = -1;
    std::int64_t nextRenewal = renewalInterval;
    std::int64_t nextHeartbeat = heartbeatInterval;
    pending_renewal renewal;
    std::int64_t readSentAt = -1;
    std::optional<reported_ownership> lastReported;
    std::int64_t successorAllowedFrom = -1;
    bool ownerKnows = false;

    void stepStore(std::int64_t now, bool disconnected)
    {
        const bool removeRecords = scenario.recordsRemovedAfterMs >= 0 && disconnected
            && now >= scenario.storeOutage.from + scenario.recordsRemovedAfterMs;
        if (recordsRemovedAt < 0 && (removeRecords || now >= leaseEnd)) {
            recordsRemovedAt = now;
            leaseEnd = scenario.leaseSurvivesRemoval ? simulationEnd : std::min(leaseEnd, now);
        }
    }
    void endRenewal(std::int64_t now)
    {
        if (renewal.sentAt < 0 || now < renewal.endsAt) {
            return;
        }
        if (renewal.succeeds) {
            onLeaseRenewed(validity, {renewal.sentAt});
        } else {
            markUncertain(validity, {now});
        }
        renewal.sentAt = -1;
        if (validity.uncertain && readSentAt < 0) {
            readSentAt = now;
        }
    }
    void endReading(std::int64_t now, bool disconnected)
    {
        if (readSentAt < 0 || now < readSentAt + callTime) {
            return;
        }
        if (disconnected) {
            markUncertain(validity, {now});
        } else {
            ownerKnows = ownerKnows || recordsRemovedAt >= 0;
            onRecordsRead(validity, {readSentAt});
        }
        readSentAt = -1;
    }
    void renew(std::int64_t now, bool disconnected)
    {
        if (now < nextRenewal || renewal.sentAt >= 0) {
            return;
        }
        nextRenewal = now + renewalInterval;
        const bool succeeds = !disconnected && now < leaseEnd;
        if (succeeds) {
            leaseEnd = std::max(leaseEnd, now + leaseTtl.count);
        }
        renewal = {now, now + (disconnected && scenario.renewalsTimeOut ? callTimeout : callTime), succeeds};
    }
    void stepOwner(std::int64_t now, bool disconnected)
    {
        if (scenario.suspended.contains(now)) {
            return;
        }
        endRenewal(now);
        endReading(now, disconnected);
        renew(now, disconnected);
        const std::int64_t until = validUntil(validity).count;
        if (!ownerKnows && now + minOrderTime.count <= until) {
            // Open orders are aborted when the validity ends, so none arrives later.
            orders.lastOrderOfOwner =
                std::max(orders.lastOrderOfOwner, std::min(now + scenario.orderDelayMs, until - 1));
        }
        if (now >= nextHeartbeat) {
            nextHeartbeat = now + heartbeatInterval;
            if (!(disconnected && scenario.peersDisconnected)
                && !ownerKnows) { // later heartbeats do not name the server
                lastReported = reported_ownership{{now}, {std::max(now, until)}};
            }
        }
    }
    void stepSuccessor(std::int64_t now)
    {
        if (recordsRemovedAt >= 0 && now >= recordsRemovedAt + scenario.detectionDelayMs
            && successorAllowedFrom < 0) {
            successorAllowedFrom =
                std::max(firstOrderAt({{now}, lastReported}, leaseTtl).count, now + heartbeatDelay);
        }
        const bool ownerMayOrder = lastReported && now < lastReported->validUntil.count;
        if (successorAllowedFrom >= 0 && now >= successorAllowedFrom && !ownerMayOrder) {
            orders.firstOrderOfSuccessor = now;
        }
    }
};

order_times simulate(const failure_scenario &scenario)
{
    simulation all(scenario);
    for (std::int64_t now = 0; now < simulationEnd && all.orders.firstOrderOfSuccessor < 0; now += 10) {
        const bool disconnected = scenario.storeOutage.contains(now);
        all.stepStore(now, disconnected);
        all.stepOwner(now, disconnected);
        all.stepSuccessor(now);
    }
    return all.orders;
}

failure_scenario anyScenario()
{
    failure_scenario scenario;
    scenario.storeOutage.from = *rc::gen::inRange<std::int64_t>(1'000, 6'000);
    scenario.storeOutage.to = scenario.storeOutage.from + *rc::gen::inRange<std::int64_t>(1'000, 9'000);
    scenario.suspended.from = *rc::gen::inRange<std::int64_t>(0, 8'000);
    scenario.suspended.to =
        scenario.suspended.from + *rc::gen::element<std::int64_t>(0, 0, 300, 1'500, 4'000);
    scenario.peersDisconnected = *rc::gen::arbitrary<bool>();
    scenario.renewalsTimeOut = *rc::gen::arbitrary<bool>();
    scenario.detectionDelayMs = *rc::gen::inRange<std::int64_t>(0, 1'200);
    scenario.orderDelayMs = *rc::gen::inRange<std::int64_t>(1, 700);
    const bool removesRecords = *rc::gen::arbitrary<bool>();
    scenario.recordsRemovedAfterMs = removesRecords ? *rc::gen::inRange<std::int64_t>(0, 1'000) : -1;
    scenario.leaseSurvivesRemoval = removesRecords && *rc::gen::arbitrary<bool>();
    if (removesRecords && scenario.peersDisconnected) {
        // Known gap, listed in docs/OPEN.md: an owner wakes, renews its lease without a heartbeat getting
        // through, and at once loses both the store and its peers, while its records are removed just when
        // the last reported lease would have ended. A store that removes records does so when it begins to
        // refuse the owner's calls.
        scenario.suspended = {};
        scenario.recordsRemovedAfterMs = std::min<std::int64_t>(scenario.recordsRemovedAfterMs, 100);
    }
    return scenario;
}

}

// The owner loses the store, is suspended, or has its records removed, and a successor begins. On a server
// that checks no fencing tokens both would load into the same slots, and one load too many crashes it.
RC_GTEST_PROP(LeaseValidity, NoOrderOfTheOwnerArrivesAfterTheSuccessorsFirst, ())
{
    const failure_scenario scenario = anyScenario();
    const order_times orders = simulate(scenario);
    if (orders.firstOrderOfSuccessor >= 0) {
        RC_ASSERT(orders.lastOrderOfOwner < orders.firstOrderOfSuccessor);
    }
}

// The owner dies. Callers wait until a successor sends orders: no longer than the lease and the time to
// detect its end, since the owner sent heartbeats until its death.
TEST(LeaseValidity, SuccessorOfADeadOwnerWaitsOnlyForTheLease)
{
    failure_scenario death;
    death.storeOutage = {4'000, simulationEnd};
    death.suspended = {4'000, simulationEnd};
    death.peersDisconnected = true;
    death.detectionDelayMs = 300;
    const order_times orders = simulate(death);
    EXPECT_GT(orders.firstOrderOfSuccessor, 0);
    EXPECT_LE(orders.firstOrderOfSuccessor, 4'000 + leaseTtl.count + 300 + heartbeatDelay);
}

// The store refuses a living owner's calls and removes its records, and its heartbeats are lost: it may send
// orders until its lease would have ended, so the successor waits that long.
TEST(LeaseValidity, SuccessorOfAnUnheardOwnerWaitsAnotherLease)
{
    EXPECT_EQ(firstOrderAt({{5'000}, std::nullopt}, leaseTtl), millis{7'500});
    EXPECT_EQ(firstOrderAt({{5'000}, reported_ownership{{4'900}, {7'000}}}, leaseTtl), millis{7'500});
    EXPECT_EQ(firstOrderAt({{5'000}, reported_ownership{{2'500}, {4'800}}}, leaseTtl), millis{5'000});
    EXPECT_EQ(firstOrderAt({{5'000}, reported_ownership{{10}, {2'000}}}, leaseTtl), millis{7'500});
}

// A daemon was suspended while the store refused its calls and removed its records, so none of its calls
// failed.
TEST(LeaseValidity, RenewalAfterAGapCountsOnlyOnceRecordsAreRead)
{
    lease_validity validity;
    onLeaseGranted(validity, {0}, leaseTtl);
    onLeaseRenewed(validity, {2'400});
    EXPECT_EQ(validUntil(validity), leaseTtl - validityMargin);
    onRecordsRead(validity, {2'420});
    EXPECT_EQ(validUntil(validity), millis{2'400} + leaseTtl - validityMargin);
}

// The store refused a daemon's calls for a moment and removed its records, but the lease lives on. The
// daemon's next renewal succeeds, and must not extend records that another daemon may have claimed.
TEST(LeaseValidity, RenewalAfterAFailedCallCountsOnlyOnceRecordsAreRead)
{
    lease_validity validity;
    onLeaseGranted(validity, {0}, leaseTtl);
    onLeaseRenewed(validity, {800});
    const millis before = validUntil(validity);
    markUncertain(validity, {1'500});
    onLeaseRenewed(validity, {1'600});
    EXPECT_EQ(validUntil(validity), before);
    onRecordsRead(validity, {1'400}); // sent before the failure
    EXPECT_EQ(validUntil(validity), before);
    onRecordsRead(validity, {1'610});
    EXPECT_EQ(validUntil(validity), millis{1'600} + leaseTtl - validityMargin);
}

}
