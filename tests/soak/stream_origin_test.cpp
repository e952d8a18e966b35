#include "scheduling/origin_log.h"
#include "soak/versions_fixture.h"

namespace briarhead::soak {

namespace {

/// Streams that are in progress when daemons end.
constexpr std::size_t streamCount = 20;
/// Fits into the slots of one version's servers. A stream that has to wait for a slot begins only once an
/// earlier one, whose server is silent, has been completed by another server.
constexpr std::size_t streamsOfOneVersion = 12;
/// Long enough for a record to reach the store.
constexpr millis recordTime{600};

/// Daemons end while two software versions serve streams, and callers take these up after the restart.
class stream_origin_test : public versions_fixture
{
protected:
    std::vector<std::unique_ptr<stream_attempt>> m_streams;

    void beginStreams(std::size_t count = streamCount)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_streams.push_back(begin(i % m_daemons.size()));
        }
    }
    void killAll()
    {
        for (daemon_process &daemon : m_daemons) {
            signal(daemon, SIGKILL);
        }
    }
    void killAndRestartAll()
    {
        const std::size_t starts = totalStarts();
        killAll();
        awaitRestart(starts + m_daemons.size());
    }
    std::size_t totalStarts() const
    {
        std::size_t sum = 0;
        for (const daemon_process &daemon : m_daemons) {
            sum += daemon.starts;
        }
        return sum;
    }
    /// Waits until the store has the origins of all streams: a write that had no answer is given up first.
    void awaitRecords()
    {
        EXPECT_TRUE(runUntil([this] {
            std::set<std::string> recorded;
            for (const auto &[key, item] : m_store.items) {
                error why;
                const auto origins = key.starts_with("briarhead/origins/")
                    ? decodeStoredOrigins(item.value, why)
                    : std::nullopt;
                for (const stream_origin_record &each :
                    origins ? originsOf(*origins) : std::vector<stream_origin_record>{}) {
                    recorded.insert(each.id);
                }
            }
            return std::all_of(m_streams.begin(), m_streams.end(), [&recorded](const auto &stream) {
                return recorded.count(stream->id) != 0;
            });
        }));
    }
    /// Of streams that were recorded, nine in ten go on.
    std::size_t leastGoingOn() const
    {
        return (m_streams.size() * 9 + 9) / 10;
    }
    /// Takes all streams up, each at the next daemon or at the given one. Returns how many went on; each of
    /// these did so at its version.
    std::size_t takeUpAll(std::optional<std::size_t> daemon = std::nullopt)
    {
        std::size_t wentOn = 0;
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            const auto resumed = takeUp(*m_streams[i], daemon.value_or((i + 1) % m_daemons.size()));
            expectOneVersion(*m_streams[i], *resumed);
            wentOn += resumed->status() == 200 ? 1 : 0;
        }
        return wentOn;
    }
};

}

/// Guards against streams that nobody remembers after a loss of power of all daemons.
TEST_F(stream_origin_test, StreamsGoOnAfterAllDaemonsWereKilled)
{
    startSecondVersion();
    beginStreams();
    runFor(recordTime);
    killAndRestartAll();
    EXPECT_GE(takeUpAll(), leastGoingOn());
}

/// Guards against the same for streams that began while one version served.
TEST_F(stream_origin_test, StreamsFromBeforeTheSecondVersionGoOnAfterAllDaemonsWereKilled)
{
    beginStreams(streamsOfOneVersion);
    addSecondVersion();
    killAndRestartAll();
    EXPECT_GE(takeUpAll(), leastGoingOn());
}

/// Guards against streams that go on at the version that is left after a loss of power.
TEST_F(stream_origin_test, OnlyStreamsOfTheVersionThatIsLeftGoOn)
{
    startSecondVersion();
    beginStreams();
    const auto ofSecond = std::count_if(m_streams.begin(), m_streams.end(), [this](const auto &stream) {
        return m_versions[stream->servers().front()] == "v2";
    });
    runFor(recordTime);
    const std::size_t starts = totalStarts();
    killAll();
    removeServers("v1");
    awaitRestart(starts + m_daemons.size());
    EXPECT_GE(takeUpAll() + 1, static_cast<std::size_t>(ofSecond));
}

/// Guards against records that are lost where daemons start while the store is away.
TEST_F(stream_origin_test, StreamsGoOnWhereTheStoreIsAwayAtTheStart)
{
    startSecondVersion();
    beginStreams();
    runFor(recordTime);
    const std::size_t starts = totalStarts();
    m_storeServer.client.fault = store_fault::Unresponsive;
    killAll();
    runFor({2'000});
    m_storeServer.client.fault = store_fault::None;
    awaitRestart(starts + m_daemons.size());
    EXPECT_GE(takeUpAll(), leastGoingOn());
}

/// Guards against records that are forgotten because the store did not answer when they were written.
TEST_F(stream_origin_test, StreamsGoOnWhereTheirRecordsWereNotAnswered)
{
    startSecondVersion();
    m_storeServer.client.fault = store_fault::LosesWriteResponses;
    beginStreams(8);
    m_storeServer.client.fault = store_fault::None;
    beginStreams(streamCount - 8);
    awaitRecords();
    killAndRestartAll();
    EXPECT_GE(takeUpAll(), leastGoingOn());
}

/// Guards against a guess about streams whose records were on their way when power was lost.
TEST_F(stream_origin_test, DaemonsAreKilledWhileRecordsAreWritten)
{
    startSecondVersion();
    for (int round = 0; round < 3; ++round) {
        m_streams.clear();
        m_storeServer.client.fault = store_fault::ExecutesChangesLate;
        beginStreams(6);
        m_storeServer.client.fault = store_fault::None;
        killAndRestartAll();
        takeUpAll();
    }
}

/// Guards against a loss of what only the other half knew, when daemons end in two groups.
TEST_F(stream_origin_test, StreamsGoOnAfterTheDaemonsWereKilledInTwoGroups)
{
    startSecondVersion();
    beginStreams(streamCount / 2);
    const std::size_t starts = totalStarts();
    signal(m_daemons[0], SIGKILL);
    awaitRestart(starts + 1);
    beginStreams(streamCount / 2);
    runFor(recordTime);
    signal(m_daemons[1], SIGKILL);
    signal(m_daemons[2], SIGKILL);
    awaitRestart(starts + 3);
    EXPECT_GE(takeUpAll(), leastGoingOn());
}

/// Guards against a loss of origins while all daemons restart in turn.
TEST_F(stream_origin_test, StreamsGoOnAfterAllDaemonsRestartedInTurn)
{
    startSecondVersion();
    beginStreams();
    std::size_t starts = totalStarts();
    for (daemon_process &daemon : m_daemons) {
        signal(daemon, SIGKILL);
        awaitRestart(++starts);
    }
    EXPECT_GE(takeUpAll(), leastGoingOn());
}

/// Guards against a guess, or a loss, where the only daemon that is back has no other to ask.
TEST_F(stream_origin_test, StreamsGoOnAtADaemonThatStartsAlone)
{
    startSecondVersion();
    beginStreams();
    runFor(recordTime);
    killAll();
    runFor({1'000});
    const std::size_t starts = m_daemons[0].starts;
    const millis end = bootNow() + http_testing::testTimeout;
    while ((m_daemons[0].starts == starts || !isReady(m_daemons[0])) && bootNow() < end) {
        follow(m_daemons[0], BRIARHEAD_EDGE, {14'000});
        runRounds(20);
    }
    EXPECT_GE(takeUpAll(0), leastGoingOn());
}

/// Guards against text of two versions where the record of a service's versions could not be written: the
/// second version came and went, and daemons that start see the first alone.
TEST_F(stream_origin_test, VersionThatWasNeverRecordedIsNotTakenForAnother)
{
    runFor({2'000});
    m_store.refusedPrefix = "briarhead/versions/";
    addSecondVersion();
    beginStreams();
    const std::size_t starts = totalStarts();
    killAll();
    removeServers("v2");
    m_store.refusedPrefix.clear();
    awaitRestart(starts + m_daemons.size());
    runFor({2'000}); // by then the first version is certain to be the only one
    takeUpAll();
}

/// Guards against a take-up that goes on at another version after its stream was taken up before the kill.
TEST_F(stream_origin_test, StreamIsTakenUpBeforeAndAfterAllDaemonsWereKilled)
{
    startSecondVersion();
    const auto begun = beginAt(0, "v1");
    begun->caller->hangUp();
    setBehavior(behavior::HoldsStream);
    const auto second = start(1, resumeFields(begun->id));
    ASSERT_TRUE(runUntil([&second] {
        second->caller->receive(second->received);
        return second->servers().size() == 2;
    })) << second->received;
    setBehavior(behavior::Serves);
    runFor(recordTime);
    killAndRestartAll();
    const auto third = start(2, resumeFields(begun->id, 3));
    finish(*third);
    EXPECT_EQ(third->status(), 200) << third->received;
    EXPECT_EQ(versionsOf({begun.get(), second.get(), third.get()}), std::set<std::string>{"v1"});
}

/// Guards against an origin that is overwritten by another stream under the same id.
TEST_F(stream_origin_test, IdOfTwoStreamsIsRefused)
{
    startSecondVersion();
    const auto begun = beginAt(0, "v1");
    const auto other = beginAt(1, "v2");
    m_lastId = std::stoi(begun->id.substr(1)) - 1; // the next attempts repeat ids
    std::unique_ptr<stream_attempt> repeated;
    for (int i = 0; i < 30 && (!repeated || m_versions[repeated->servers().front()] == "v1"); ++i) {
        m_lastId = std::stoi(begun->id.substr(1)) - 1;
        repeated = begin(2);
    }
    ASSERT_EQ(m_versions[repeated->servers().front()], "v2");
    m_lastId = 1'000;
    runFor(recordTime);
    killAndRestartAll();
    expectRefused(*takeUp(*begun, 1));
    expectGoesOn(*other, *takeUp(*other, 1));
}

/// Guards against store calls, and dependence on them, while a service has one version.
TEST_F(stream_origin_test, NothingIsWrittenWhileOneVersionServes)
{
    beginStreams(4);
    runFor(recordTime);
    EXPECT_EQ(std::count_if(m_store.items.begin(), m_store.items.end(),
                  [](const auto &item) {
                      return item.first.starts_with("briarhead/origins/");
                  }),
        0);
    startSecondVersion();
    beginStreams(4);
    runFor(recordTime);
    EXPECT_GT(std::count_if(m_store.items.begin(), m_store.items.end(),
                  [](const auto &item) {
                      return item.first.starts_with("briarhead/origins/");
                  }),
        0);
}

}
