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

/// A daemon in the timed run below. Its beliefs count also while it is paused.
struct daemon
{
    std::string name;
    bool paused = false;
    bool leaving = false;
    std::uint64_t session = 0;
    millis leaseUntil = never;
    // The tenure; it belongs to the session under which the record was swapped.
    bool owns = false;
    std::uint64_t tenureSession = 0;
    millis tenureLease = never;
    millis runsFrom = never;
    millis evictsFrom = never;
    // The record as read, on which the next step is decided.
    ownership_view view;
    std::uint64_t seenRevision = 0;
    // What may still be on its way or run at the engine.
    millis runsEnd = never;
    millis unloadsEnd = never;
};

/// Three daemons, the service's record and sessions, and one engine that doesn't check fencing.
struct timed_run
{
    millis now{1'000};
    std::array<daemon, 3> daemons{daemon{"a"}, daemon{"b"}, daemon{"c"}};
    owner_record record;
    std::uint64_t recordSession = 0;
    std::uint64_t revision = 0;
    std::vector<millis> sessionEnds{never};

    /// The time in which `one` may give orders of this kind, up to `until`; each daemon uses all of it.
    std::pair<millis, millis> allowed(const daemon &one, order_kind kind, millis until) const
    {
        const millis from = std::max(now, kind == order_kind::Evict ? one.evictsFrom : one.runsFrom);
        const bool pastLease = isOrderAllowed(kind, false, one.tenureLease, one.tenureLease);
        const millis last = pastLease ? one.tenureLease + millis{leaseExpiryGraceMs} : one.tenureLease;
        return {from, one.owns ? std::min(until, last) : never};
    }

    void advance(millis by)
    {
        const millis until = now + by;
        for (daemon &one : daemons) {
            const auto [runFrom, runTo] = allowed(one, order_kind::Run, until);
            if (runFrom < runTo) {
                one.runsEnd = runTo + millis{maxOrderLatencyMs} + maxDeadline;
            }
            const auto [evictFrom, evictTo] = allowed(one, order_kind::Evict, until);
            if (evictFrom < evictTo) {
                one.unloadsEnd = evictTo + millis{maxOrderLatencyMs};
            }
        }
        for (const daemon &one : daemons) {
            const auto [runFrom, runTo] = allowed(one, order_kind::Run, until);
            const auto [evictFrom, evictTo] = allowed(one, order_kind::Evict, until);
            for (const daemon &other : daemons) {
                RC_ASSERT((&one == &other || runFrom >= runTo || other.unloadsEnd <= runFrom));
                RC_ASSERT((&one == &other || evictFrom >= evictTo || other.runsEnd <= evictFrom));
            }
        }
        now = until;
    }

    void renew(daemon &one, millis delay)
    {
        const millis sentAt = now;
        advance(delay);
        if (sessionEnds[one.session] <= now) {
            one.session = sessionEnds.size();
            sessionEnds.push_back(never);
        }
        sessionEnds[one.session] = now + leaseTtl;
        one.leaseUntil = sentAt + leaseTtl;
        if (one.owns && one.tenureSession == one.session) {
            one.tenureLease = one.leaseUntil;
        }
    }

    /// Reads the record. Membership (`dead`) and the proposal (`proposed`) may be wrong.
    void read(daemon &one, bool dead, bool proposed, bool serviceUp)
    {
        const bool named = record.owner == one.name;
        one.owns = one.owns && named;
        one.seenRevision = revision;
        one.view = {.self = one.name,
            .proposed = proposed ? one.name : "other",
            .holder = record.owner,
            .holderMine = named,
            .holderDead = dead && !named,
            .holderSessionGone = !record.owner.empty() && sessionEnds[recordSession] <= now,
            .serviceUp = serviceUp,
            .checksFencing = false,
            .selfLeaving = one.leaving,
            .selfLeased = now < one.leaseUntil,
            .owned = 2,
            .fairShare = 1,
            .settled = now >= one.runsFrom};
    }

    void act(daemon &one)
    {
        const auto step = decideOwnership(one.view);
        RC_ASSERT(step != ownership_step::ClaimOnEngine);
        if (one.seenRevision != revision) {
            return; // the swap fails
        }
        if (step == ownership_step::Release && one.owns) {
            const millis streamsEnd = now + millis{maxOrderLatencyMs} + maxDeadline;
            record = {
                .epoch = record.epoch, .drainMs = drainAtRelease(now, streamsEnd, one.evictsFrom).count};
            one.owns = false;
            one.unloadsEnd = never; // a release in order waits for the answers to unloads
            ++revision;
        }
        if (step == ownership_step::TakeOver) {
            const bool inOrder = record.owner.empty();
            if (!one.view.holderMine) {
                one.runsFrom = earliestRunTime(now, false, inOrder);
                one.evictsFrom = earliestEvictionTime(now, maxDeadline, inOrder, {record.drainMs});
            }
            record = {.owner = one.name, .epoch = record.epoch + 1};
            recordSession = one.session;
            one.owns = true;
            one.tenureSession = one.session;
            one.tenureLease = one.leaseUntil;
            ++revision;
        }
    }

    void step(int what, daemon &one, millis span, int chance)
    {
        const bool wholeCycle = what > 7;
        if (what < 3) {
            advance(span);
        } else if (what == 3) {
            one.paused = chance % 2 == 0;
        } else if (what == 4) {
            one.leaving = chance % 5 == 0;
        }
        if (!one.paused && (what == 5 || wholeCycle)) {
            renew(one, {span.count % 900});
        }
        if (!one.paused && (what == 6 || wholeCycle)) {
            read(one, chance % 2 == 0, chance % 5 > 0, chance % 7 > 0);
        }
        if (!one.paused && (what == 7 || wholeCycle)) {
            act(one);
        }
    }
};

/// The proposed daemon's view of a server that another one holds.
ownership_view heldByOther()
{
    return {.self = "a", .proposed = "a", .holder = "b", .owned = 1, .fairShare = 2};
}

}

RC_GTEST_PROP(Ownership, NoUnloadCanMeetARequestOnAnEngineThatDoesntCheckFencing, ())
{
    // The user would see a stream broken in its middle: an owner is paused past its lease, another one takes
    // over and unloads, and the first wakes up unaware and runs requests or unloads on its own. Times differ
    // by orders of magnitude, so that steps fall inside and outside of leases, graces and deadlines.
    timed_run run;
    const auto spans = rc::gen::element(50, 700, 4'000, 4'000, 12'000, 130'000, 1'850'000, 1'940'000);
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(500,
        rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, 3), spans, rc::gen::inRange(0, 420)));
    for (const auto &[what, who, span, chance] : steps) {
        run.step(what, run.daemons.at(static_cast<std::size_t>(who)), {span}, chance);
    }
    RC_CLASSIFY(run.record.epoch > 2);
    RC_CLASSIFY(run.daemons[0].unloadsEnd > millis{0} && run.daemons[1].unloadsEnd > millis{0});
}

TEST(Ownership, AnOrphanIsTakenByTheProposedDaemonOnly)
{
    auto view = heldByOther();
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
    view.holderDead = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Wait) << "it may be paused";
    view.checksFencing = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::TakeOver) << "the engine refuses the old owner";
    view.proposed = "c";
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
    view = heldByOther();
    view.holder.clear();
    EXPECT_EQ(decideOwnership(view), ownership_step::TakeOver);
    view.selfLeased = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Wait);
    view.selfLeaving = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
}

TEST(Ownership, AnOwnerThatDiesWhileTheServiceIsOutIsReplacedWhereTheEngineArbitrates)
{
    // The service is out for an hour and an owner dies in it: its servers would be lost for the whole time.
    auto view = heldByOther();
    view.serviceUp = false;
    view.holderDead = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Wait);
    view.checksFencing = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::ClaimOnEngine);
    view.holderDead = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep);
}

TEST(Ownership, TheHolderReleasesInOrderAndRetakesAfterALapse)
{
    auto view = heldByOther();
    view.holderMine = true;
    view.proposed = "b";
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep) << "not above its share";
    view.owned = 3;
    EXPECT_EQ(decideOwnership(view), ownership_step::Release);
    view.settled = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep) << "an older unload may be on its way";
    view.settled = true;
    view.serviceUp = false;
    EXPECT_EQ(decideOwnership(view), ownership_step::Keep) << "served until the record can be written";
    view.serviceUp = true;
    view.holderSessionGone = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::TakeOver) << "no session brings a tenure back";
    view.selfLeaving = true;
    EXPECT_EQ(decideOwnership(view), ownership_step::Release);
}

RC_GTEST_PROP(Ownership, AnOutageClaimIsAboveWhatItSawAndBelowTheNextEpoch,
    (std::uint32_t epoch, std::uint8_t round, const std::string &instance))
{
    const std::uint64_t seen =
        fencingTokenOf(epoch) | (std::uint64_t{round} << 16) | *rc::gen::inRange(0, 0x10000);
    const auto claim = outageFencingToken(seen, instance);
    RC_ASSERT(claim.has_value() == (round < 255));
    if (claim) {
        RC_ASSERT(*claim > seen);
        RC_ASSERT(*claim < fencingTokenOf(std::uint64_t{epoch} + 1));
        RC_ASSERT(outageFencingToken(seen, instance + "x") != claim);
    }
}

RC_GTEST_PROP(Ownership, TheFleetsRenewalsStayUnderTheirRateAndALeaseOutlivesThree, ())
{
    const auto members = *rc::gen::inRange<std::size_t>(1, 5'000);
    const millis interval = renewInterval(leaseTtl, members);
    RC_ASSERT(static_cast<double>(members) * 1000.0 / static_cast<double>(interval.count)
        <= renewalsPerSecond * 1.01);
    RC_ASSERT(leaseLength(leaseTtl, members).count >= 3 * interval.count);
    RC_ASSERT(leaseLength(leaseTtl, members) >= leaseTtl);
}

RC_GTEST_PROP(Ownership, RecordsReadBackAndMalformedOnesAreRefused, (const std::string &rubbish))
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
        {rubbish, toJson(record).substr(1), std::string("{}"), std::string(R"({"owner":1})")}) {
        RC_ASSERT_FALSE(parseOwnerRecord(text, why).has_value());
        RC_ASSERT_FALSE(parseSessionRecord(text, why).has_value());
        RC_ASSERT(why.kind == error_kind::BadFrame);
    }
}

}
