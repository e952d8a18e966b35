#include "coordination/events.h"
#include "coordination/ownership_task.h"
#include "standins/engine_standin.h"
#include "standins/kv_standin.h"
#include "standins/run_until.h"
#include "transport/fence.h"
#include "transport/kv_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {
namespace {

constexpr std::uint64_t ownIncarnation = 20;
constexpr millis kvTimeout{2'000};
constexpr millis leaseTtl{3'000};
/// The stand-in counts leases up from here.
constexpr std::int64_t firstLease = 7'001;
const std::string recordKey = "briarhead/owner/e1";
const std::string sessionKey = "briarhead/session/entry-1";

member aliveMember(const std::string &name, std::uint64_t incarnation)
{
    member one;
    one.name = name;
    one.incarnation = incarnation;
    return one;
}

/// The ownership task alone against one engine and the key-value service, with the rest of the daemon played
/// by the test.
class ownership_guard_test : public testing::Test
{
protected:
    loop m_loop;
    bus m_bus{m_loop};
    http_client m_orders{m_loop};
    fence m_fence;
    std::unique_ptr<kv_standin> m_service;
    std::unique_ptr<kv_client> m_kv;
    std::unique_ptr<kv_client> m_other; ///< another daemon's
    std::unique_ptr<engine_standin> m_engine;
    std::unique_ptr<ownership_task> m_task;
    std::vector<server_gained> m_gained;
    std::vector<server_lost> m_lost;

    void start(bool checksFencing)
    {
        error why;
        m_service = kv_standin::start(m_loop, {}, why);
        ASSERT_NE(m_service, nullptr) << message(why);
        m_kv = std::make_unique<kv_client>(m_loop, std::vector{m_service->url()}, kvTimeout);
        m_other = std::make_unique<kv_client>(m_loop, std::vector{m_service->url()}, kvTimeout);
        engine_options options;
        options.name = "e1";
        options.checksFencing = checksFencing;
        m_engine = std::make_unique<engine_standin>(m_loop, options);
        ASSERT_TRUE(m_engine->listen(0, why)) << message(why);
        m_bus.on<server_gained>([this](const server_gained &news) {
            m_gained.push_back(news);
        });
        m_bus.on<server_lost>([this](const server_lost &news) {
            m_lost.push_back(news);
        });
    }

    void startTask()
    {
        m_task = std::make_unique<ownership_task>(m_bus, m_loop, *m_kv, m_orders, m_fence,
            ownership_task::options{"entry-1", ownIncarnation, leaseTtl});
        m_bus.post(members_changed{{aliveMember("entry-1", ownIncarnation)}});
        live_view view;
        view.instances["e1"] = {
            "e1", instance_kind::Engine, "r", "zg-dubrava", "127.0.0.1", m_engine->port(), 0, "base", false};
        m_bus.post(live_list_changed{view});
    }

    void write(const std::string &key, const std::string &value, std::int64_t expected = 0)
    {
        std::optional<kv_write> got;
        m_other->compareAndSwap(key, expected, value, 0, [&](const kv_write &answer) {
            got = answer;
        });
        ASSERT_TRUE(runUntil(m_loop, [&] {
            return got.has_value();
        }));
        ASSERT_EQ(got->status, kv_status::Ok);
    }
    kv_entry read(const std::string &key)
    {
        std::optional<kv_read> got;
        m_other->get(key, [&](const kv_read &answer) {
            got = answer;
        });
        EXPECT_TRUE(runUntil(m_loop, [&] {
            return got.has_value();
        }));
        return got && !got->entries.empty() ? got->entries.front() : kv_entry{};
    }
    owner_record record()
    {
        error why;
        return parseOwnerRecord(read(recordKey).value, why).value_or(owner_record{});
    }
    bool gained(std::size_t times)
    {
        return runUntil(m_loop, [&] {
            return m_gained.size() >= times;
        });
    }
    /// The session is gone without its holder's knowing, as when it was paused past its lease.
    void dropSession()
    {
        // Only the task has leases here, and it has had few.
        for (std::int64_t lease = firstLease; lease < firstLease + 100; ++lease) {
            m_service->expireLease(lease);
        }
    }
};

/// The record of an owner that nobody has heard of lately.
owner_record deadOwner()
{
    owner_record record;
    record.owner = "entry-9";
    record.incarnation = 3;
    record.epoch = 4;
    return record;
}

}

// A daemon dies and its engine is taken over; the old process was only paused, and its unload arrives after
// the new owner has begun to serve. The engine must know the new number before anything is run there, or it
// obeys the old one.
TEST_F(ownership_guard_test, TheNewNumberStandsOnTheEngineBeforeTheServerIsServed)
{
    start(true);
    write(recordKey, toJson(deadOwner()));
    startTask();
    ASSERT_TRUE(gained(1));
    engine_client old(m_orders, m_engine->url());
    std::optional<engine_order_end> got;
    old.unload(
        {"a0", 1}, fencingTokenOf(deadOwner().epoch), testPatienceMs, [&](const engine_order_end &how) {
            got = how;
        });
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return got.has_value();
    }));
    EXPECT_FALSE(got->ok);
    EXPECT_EQ(got->why.kind, error_kind::StaleFencing);
}

// The engine restarts cold under its owner and forgets the number. The owner puts it there again.
TEST_F(ownership_guard_test, ARestartedEngineGetsItsNumberAgain)
{
    start(true);
    startTask();
    ASSERT_TRUE(gained(1));
    m_engine->setFaults({{"reset", true}});
    m_bus.post(engine_restarted{"e1"});
    ASSERT_TRUE(gained(2));
    EXPECT_EQ(m_engine->state()["fencing"].get<std::uint64_t>(), m_gained.front().fencingToken);
}

// An owner's session lapses unseen while it is paused; no peer has come between. Going on under the old epoch
// would leave a window in which a peer's takeover and the old owner both stand, so the epoch must rise.
TEST_F(ownership_guard_test, AfterALapseTheEpochRises)
{
    start(true);
    startTask();
    ASSERT_TRUE(gained(1));
    const std::uint64_t before = record().epoch;
    dropSession();
    ASSERT_TRUE(gained(2));
    EXPECT_GT(record().epoch, before);
    EXPECT_GT(m_gained.back().fencingToken, m_gained.front().fencingToken);
}

// The same, but a peer has taken the server over by the time the owner notices. The old owner must give it
// up; else two daemons give it orders for good.
TEST_F(ownership_guard_test, AfterALapseAServerThatAPeerTookIsGivenUp)
{
    start(false);
    startTask();
    ASSERT_TRUE(gained(1));
    const kv_entry standing = read(recordKey);
    owner_record peer;
    peer.owner = "entry-2";
    peer.incarnation = 7;
    peer.epoch = record().epoch + 1;
    write(recordKey, toJson(peer), standing.modRevision);
    dropSession();
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return m_lost.size() == 1;
    }));
    EXPECT_EQ(record().owner, "entry-2");
}

// A new process of an instance starts while an older one of the same name is paused with its session still
// standing. Were the session overwritten, peers would take the older one for ended and evict what it serves.
TEST_F(ownership_guard_test, TheSessionOfAnOlderProcessIsWaitedFor)
{
    start(false);
    write(sessionKey, toJson(session_record{ownIncarnation - 1, leaseTtl.count}));
    const std::int64_t standing = read(sessionKey).modRevision;
    startTask();
    // Each try begins with a lease of its own.
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return m_service->record().grant >= 4;
    }));
    EXPECT_EQ(read(sessionKey).modRevision, standing);
    EXPECT_TRUE(m_gained.empty());
    bool removed = false;
    m_other->compareAndRemove(sessionKey, standing, [&](const kv_write &answer) {
        removed = answer.status == kv_status::Ok;
    });
    EXPECT_TRUE(gained(1));
    EXPECT_TRUE(removed);
}

// On an engine that ignores fencing numbers an owner that looks dead may be paused. As long as its session
// stands, nobody takes its server.
TEST_F(ownership_guard_test, AServerOfAStandingSessionIsLeftAloneWhereTheEngineDoesNotCheck)
{
    start(false);
    write(recordKey, toJson(deadOwner()));
    write("briarhead/session/entry-9", toJson(session_record{deadOwner().incarnation, leaseTtl.count}));
    startTask();
    const std::uint64_t before = m_service->record().range;
    // Record, session and record again: it has had what it needs to decide.
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return m_service->record().range >= before + 5;
    }));
    EXPECT_TRUE(m_gained.empty());
    EXPECT_EQ(record().owner, "entry-9");
}

// Once that session is gone the server is taken, and what its old owner may still have on the way and running
// there is waited for.
TEST_F(ownership_guard_test, ATakeoverWaitsForWhatTheOldOwnerMayHaveLeft)
{
    start(false);
    write(recordKey, toJson(deadOwner()));
    startTask();
    const millis before = bootNow();
    ASSERT_TRUE(gained(1));
    EXPECT_GE(m_gained.front().earliestRunAt, before + millis{maxOrderLatencyMs});
    EXPECT_GE(m_gained.front().earliestEvictAt, before + millis{leaseExpiryGraceMs});
}

// An owner is cut from the key-value service, and an eviction of its is on its way when its lease ends. The
// socket must be cut off by then, whatever the program is doing: a successor begins from there.
TEST_F(ownership_guard_test, TheSocketsOfEvictionsAreCutOffAtTheLeasesEnd)
{
    start(false);
    http_client guarded(m_loop);
    guarded.onSocket([this](int fd, bool opened) {
        if (opened) {
            m_fence.addSocket(fd);
        } else {
            m_fence.removeSocket(fd);
        }
    });
    startTask();
    ASSERT_TRUE(gained(1));
    EXPECT_FALSE(m_fence.fenced());
    m_service->setFaults({kv_down::Refuse});
    m_engine->setFaults({{"hold", "/v1/unload_lora_adapter"}});
    engine_client engine(guarded, m_engine->url());
    std::optional<engine_order_end> got;
    engine.unload(
        {"a0", 1}, m_gained.front().fencingToken, millis{600'000}, [&](const engine_order_end &how) {
            got = how;
        });
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return got.has_value();
    }));
    EXPECT_TRUE(m_fence.fenced());
    EXPECT_TRUE(got && !got->ok && !got->certain);
    m_engine->setFaults({{"hold", ""}});
    EXPECT_TRUE(runUntil(m_loop, [&] {
        return m_engine->recorded("unload").size() == 1;
    }));
}

// The service goes out and an owner dies. On an engine that checks, the proposed daemon claims the orphan
// with a number of its own above the dead owner's, so that its requests are served during the outage.
TEST_F(ownership_guard_test, AnOrphanIsClaimedOnItsEngineWhileTheServiceIsOut)
{
    start(true);
    write(recordKey, toJson(deadOwner()));
    const std::uint64_t old = fencingTokenOf(deadOwner().epoch);
    engine_client engine(m_orders, m_engine->url());
    std::optional<engine_order_end> claimed;
    engine.claim(old, deadOwner().owner, testPatienceMs, [&](const engine_order_end &how) {
        claimed = how;
    });
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return claimed && claimed->ok;
    }));
    m_service->setFaults({kv_down::Refuse});
    startTask();
    ASSERT_TRUE(gained(1));
    EXPECT_GT(m_gained.front().fencingToken, old);
    EXPECT_EQ(epochOf(m_gained.front().fencingToken), deadOwner().epoch);
    m_service->setFaults({});
    ASSERT_TRUE(gained(2)) << "the record follows";
    EXPECT_GT(record().epoch, deadOwner().epoch);
    EXPECT_EQ(record().owner, "entry-1");
}

}
