#include "coordination/ownership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <tuple>
#include <utility>

namespace briarhead {

namespace {

constexpr millis leaseTtl{10'000};
constexpr millis maxDeadline{120'000};
constexpr millis never{-1'000'000'000};

/// A daemon in the simulation below. What it believes also applies while it is paused.
struct daemon
{
    std::string name;
    bool paused = false;
    bool leaving = false;
    std::uint64_t session = 0;
    millis leaseUntil = never;
    // Its ownership, which depends on the session under which the record was swapped.
    bool owns = false;
    std::uint64_t ownershipSession = 0;
    millis ownershipLeaseUntil = never;
    millis runsFrom = never;
    millis evictsFrom = never;
    // The record as last read, on which the next step is decided.
    ownership_view view;
    std::uint64_t seenRevision = 0;
    // Until when its runs and unloads may be in flight or have an effect on the engine.
    millis runsEnd = never;
    millis unloadsEnd = never;
};

/// Simulates three daemons, the service's record and sessions, and one engine that doesn't check fencing.
struct ownership_simulation
{
    millis now{1'000};
    std::array<daemon, 3> daemons{daemon{"a"}, daemon{"b"}, daemon{"c"}};
    owner_record record;
    std::uint64_t recordSession = 0;
    std::uint64_t revision = 0;
    std::vector<millis> sessionEnds{never};

    /// The time in which a daemon may send orders of this kind, up to `until`; each daemon uses all of it.
    std::pair<millis, millis> allowed(const daemon &node, order_kind kind, millis until) const
    {
        const millis from = std::max(now, kind == order_kind::Evict ? node.evictsFrom : node.runsFrom);
        const bool pastLease =
            isOrderAllowed(kind, false, node.ownershipLeaseUntil, node.ownershipLeaseUntil);
        const millis last =
            pastLease ? node.ownershipLeaseUntil + millis{leaseExpiryGraceMs} : node.ownershipLeaseUntil;
        return {from, node.owns ? std::min(until, last) : never};
    }

    void advance(millis by)
    {
        const millis until = now + by;
        for (daemon &node : daemons) {
            const auto [runFrom, runTo] = allowed(node, order_kind::Run, until);
            if (runFrom < runTo) {
                node.runsEnd = runTo + millis{maxOrderLatencyMs} + maxDeadline;
            }
            const auto [evictFrom, evictTo] = allowed(node, order_kind::Evict, until);
            if (evictFrom < evictTo) {
                node.unloadsEnd = evictTo + millis{maxOrderLatencyMs};
            }
        }
        for (const daemon &node : daemons) {
            const auto [runFrom, runTo] = allowed(node, order_kind::Run, until);
            const auto [evictFrom, evictTo] = allowed(node, order_kind::Evict, until);
            for (const daemon &other : daemons) {
                RC_ASSERT((&node == &other || runFrom >= runTo || other.unloadsEnd <= runFrom));
                RC_ASSERT((&node == &other || evictFrom >= evictTo || other.runsEnd <= evictFrom));
            }
        }
        now = until;
    }

    void renew(daemon &node, millis delay)
    {
        const millis sentAt = now;
        advance(delay);
        if (sessionEnds[node.session] <= now) {
            node.session = sessionEnds.size();
            sessionEnds.push_back(never);
        }
        sessionEnds[node.session] = now + leaseTtl;
        node.leaseUntil = sentAt + leaseTtl;
        if (node.owns && node.ownershipSession == node.session) {
            node.ownershipLeaseUntil = node.leaseUntil;
        }
    }

    /// Reads the record. What membership says of its owner (`dead`) and of the preferred owner (`preferred`)
    /// may be wrong.
    void read(daemon &node, bool dead, bool preferred, bool serviceReachable)
    {
        const bool isRecordedOwner = record.owner == node.name;
        node.owns = node.owns && isRecordedOwner;
        node.seenRevision = revision;
        node.view = {.self = node.name,
            .preferredOwner = preferred ? node.name : "other",
            .owner = record.owner,
            .ownedBySelf = isRecordedOwner,
            .ownerDead = dead && !isRecordedOwner,
            .ownerSessionEnded = !record.owner.empty() && sessionEnds[recordSession] <= now,
            .serviceReachable = serviceReachable,
            .checksFencing = false,
            .selfLeaving = node.leaving,
            .selfHasLease = now < node.leaseUntil,
            .ownedCount = 2,
            .fairShare = 1,
            .predecessorUnloadsDone = now >= node.runsFrom};
    }

    void act(daemon &node)
    {
        const auto step = decideOwnership(node.view);
        RC_ASSERT(step != ownership_step::ClaimOnEngine);
        if (node.seenRevision != revision) {
            return; // the compare-and-swap fails
        }
        if (step == ownership_step::Release && node.owns) {
            const millis streamsEnd = now + millis{maxOrderLatencyMs} + maxDeadline;
            record = {
                .epoch = record.epoch, .drainMs = drainAtRelease(now, streamsEnd, node.evictsFrom).count};
            node.owns = false;
            node.unloadsEnd = never; // a graceful release waits for the responses to unloads
            ++revision;
        }
        if (step == ownership_step::TakeOver) {
            const bool gracefulRelease = record.owner.empty();
            if (!node.view.ownedBySelf) {
                node.runsFrom = earliestRunTime(now, false, gracefulRelease);
                node.evictsFrom = earliestEvictionTime(now, maxDeadline, gracefulRelease, {record.drainMs});
            }
            record = {.owner = node.name, .epoch = record.epoch + 1};
            recordSession = node.session;
            node.owns = true;
            node.ownershipSession = node.session;
            node.ownershipLeaseUntil = node.leaseUntil;
            ++revision;
        }
    }

    void step(int action, daemon &node, millis span, int chance)
    {
        const bool fullCycle = action > 7;
        if (action < 3) {
            advance(span);
        } else if (action == 3) {
            node.paused = chance % 2 == 0;
        } else if (action == 4) {
            node.leaving = chance % 5 == 0;
        }
        if (!node.paused && (action == 5 || fullCycle)) {
            renew(node, {span.count % 900});
        }
        if (!node.paused && (action == 6 || fullCycle)) {
            read(node, chance % 2 == 0, chance % 5 > 0, chance % 7 > 0);
        }
        if (!node.paused && (action == 7 || fullCycle)) {
            act(node);
        }
    }
};

/// The preferred owner's view of a server that another daemon owns.
ownership_view ownedByOther()
{
    return {.self = "a", .preferredOwner = "a", .owner = "b", .ownedCount = 1, .fairShare = 2};
}

}

RC_GTEST_PROP(Ownership, NoUnloadMeetsARunOfAnotherOwnerOnAnEngineThatIgnoresFencing, ())
{
    // Guards against a broken stream: an owner is paused past its lease, another daemon takes over and
    // unloads an adapter, and the first resumes unaware and runs requests or unloads on its own. Steps differ
    // by orders of magnitude in time, so that they fall inside and outside of leases, grace periods and
    // deadlines.
    ownership_simulation simulation;
    const auto spans = rc::gen::element(50, 700, 4'000, 4'000, 12'000, 130'000, 1'850'000, 1'940'000);
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(500,
        rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, 3), spans, rc::gen::inRange(0, 420)));
    for (const auto &[action, index, span, chance] : steps) {
        simulation.step(action, simulation.daemons.at(static_cast<std::size_t>(index)), {span}, chance);
    }
    RC_CLASSIFY(simulation.record.epoch > 2);
    RC_CLASSIFY(simulation.daemons[0].unloadsEnd > millis{0} && simulation.daemons[1].unloadsEnd > millis{0});
}

TEST(Ownership, OnlyThePreferredOwnerTakesOverAServerWithoutAnOwner)
{
    auto view = ownedByOther();
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
    view.ownerDead = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Wait) << "it may be paused";
    view.checksFencing = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::TakeOver) << "the engine refuses the old owner";
    view.preferredOwner = "c";
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
    view = ownedByOther();
    view.owner.clear();
    EXPECT_EQ(decideOwnership(view), ownership_step::TakeOver);
    view.selfHasLease = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Wait);
    view.selfLeaving = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
}

TEST(Ownership, ADeadOwnerIsReplacedDuringAnOutageIfTheEngineChecksFencing)
{
    // Guards against servers that have no owner for a whole outage of the service, because theirs died in it.
    auto view = ownedByOther();
    view.serviceReachable = false;
    view.ownerDead = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Wait);
    view.checksFencing = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::ClaimOnEngine);
    view.ownerDead = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
}

TEST(Ownership, TheOwnerReleasesAServerAboveItsShareAndTakesOverAgainAfterItsLeaseExpired)
{
    auto view = ownedByOther();
    view.ownedBySelf = true;
    view.preferredOwner = "b";
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep) << "not above its fair share";
    view.ownedCount = 3;
    EXPECT_EQ(decideOwnership(view), ownership_step::Release);
    view.predecessorUnloadsDone = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep) << "an unload of the predecessor may be in flight";
    view.predecessorUnloadsDone = true;
    view.serviceReachable = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep) << "served until the record can be written";
    view.serviceReachable = true;
    view.ownerSessionEnded = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::TakeOver)
        << "a new session does not restore the ownership";
    view.selfLeaving = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Release);
}

RC_GTEST_PROP(Ownership, AnOutageTokenIsAboveTheSeenOneAndBelowTheNextEpoch,
    (std::uint32_t epoch, std::uint8_t round, const std::string &instance))
{
    const std::uint64_t seen =
        fencingTokenOf(epoch) | (std::uint64_t{round} << 16) | *rc::gen::inRange(0, 0x10000);
    const auto token = outageFencingToken(seen, instance);
    RC_ASSERT(token.has_value() == (round < 255));
    if (token) {
        RC_ASSERT(*token > seen);
        RC_ASSERT(*token < fencingTokenOf(std::uint64_t{epoch} + 1));
        RC_ASSERT(outageFencingToken(seen, instance + "x") != token);
    }
}

RC_GTEST_PROP(Ownership, RenewalsStayWithinTheFleetsRateAndALeaseOutlivesThree, ())
{
    const auto members = *rc::gen::inRange<std::size_t>(1, 5'000);
    const millis interval = renewIntervalFor(leaseTtl, members);
    RC_ASSERT(static_cast<double>(members) * 1000.0 / static_cast<double>(interval.count)
        <= maxFleetCallsPerSecond * 1.01);
    RC_ASSERT(leaseTtlFor(leaseTtl, members).count >= 3 * interval.count);
    RC_ASSERT(leaseTtlFor(leaseTtl, members) >= leaseTtl);
}

RC_GTEST_PROP(Ownership, RecordsAreParsedBackAndMalformedOnesRefused, (const std::string &malformed))
{
    error why;
    const auto number = *rc::gen::inRange(0U, 1'000'000U);
    const owner_record record{"a", number, number + 1, number + 2, {"x:1", "y:2"}};
    const auto read = parseOwnerRecord(toJson(record), why);
    RC_ASSERT(read.has_value());
    RC_ASSERT(toJson(*read) == toJson(record));
    const session_record session{number, number + 1};
    RC_ASSERT(toJson(parseSessionRecord(toJson(session), why).value()) == toJson(session));
    for (const std::string &text :
        {malformed, toJson(record).substr(1), std::string("{}"), std::string(R"({"owner":1})")}) {
        RC_ASSERT_FALSE(parseOwnerRecord(text, why).has_value());
        RC_ASSERT_FALSE(parseSessionRecord(text, why).has_value());
        RC_ASSERT(why.kind == error_kind::BadFrame);
    }
}

}
