#include "soak/versions_fixture.h"

namespace briarhead::soak {

using software_version_test = versions_fixture;

/// Guards against one answer with events of two software versions.
TEST_F(software_version_test, AnswerGoesOnAtTheVersionThatBeganIt)
{
    startSecondVersion();
    const auto cutRequests = std::make_shared<std::set<std::string>>();
    for (backend_standin *server : modelServers()) {
        server->ending = response_ending{body_framing::Chunked, 45, true}; // in the third event
        server->cutRequests = cutRequests;
    }
    std::size_t whole = 0;
    for (std::size_t i = 0; i < 24; ++i) {
        const auto attempt = start(i % m_daemons.size());
        finish(*attempt);
        EXPECT_LE(versionsOf({attempt.get()}).size(), 1U) << attempt->received;
        whole += attempt->servers().size() == streamEvents ? 1 : 0;
    }
    EXPECT_GE(whole, 20U) << "what may be resumed is resumed";
}

/// Guards against streams that a caller takes up at another daemon and gets from another version.
TEST_F(software_version_test, CallerTakesAStreamUpAtItsVersion)
{
    startSecondVersion();
    std::size_t wentOn = 0;
    for (std::size_t i = 0; i < 24; ++i) {
        const auto begun = begin(i % 3);
        const auto resumed = takeUp(*begun, (i + 1) % 3);
        expectOneVersion(*begun, *resumed);
        wentOn += resumed->status() == 200 ? 1 : 0;
    }
    EXPECT_GE(wentOn, 22U) << "all new streams begin, and nine in ten of them must go on";
}

/// Guards against a stream that is taken up twice, when the first daemon and the second no longer run it.
TEST_F(software_version_test, CallerTakesAStreamUpTwice)
{
    startSecondVersion();
    for (const char *version : {"v1", "v2", "v1", "v2", "v1", "v2"}) {
        const auto begun = beginAt(0, version);
        begun->caller->hangUp();
        setBehavior(behavior::HoldsStream);
        const auto second = start(1, resumeFields(begun->id));
        ASSERT_TRUE(runUntil([&second] {
            second->caller->receive(second->received);
            return second->servers().size() == 2;
        })) << second->received;
        setBehavior(behavior::Serves);
        second->caller->hangUp();
        const auto third = start(2, resumeFields(begun->id, 3));
        finish(*third);
        EXPECT_EQ(third->status(), 200) << third->received;
        EXPECT_EQ(versionsOf({begun.get(), second.get(), third.get()}).size(), 1U);
    }
}

/// Guards against a version that is forgotten with the daemon that began the stream.
TEST_F(software_version_test, StreamOfAKilledDaemonGoesOnAtItsVersion)
{
    startSecondVersion();
    std::size_t starts = m_daemons.size();
    for (const char *version : {"v1", "v2"}) {
        const auto begun = beginAt(0, version);
        signal(m_daemons[0], SIGKILL);
        const auto resumed = takeUp(*begun, 1);
        expectGoesOn(*begun, *resumed);
        awaitRestart(++starts);
    }
}

/// Guards against questions to a daemon that stands still.
TEST_F(software_version_test, StreamOfAFrozenDaemonGoesOnAtItsVersion)
{
    startSecondVersion();
    const auto first = beginAt(0, "v2");
    const auto second = beginAt(0, "v1");
    signal(m_daemons[0], SIGSTOP);
    const millis from = bootNow();
    for (stream_attempt *begun : {first.get(), second.get()}) {
        const auto resumed = takeUp(*begun, 1);
        expectGoesOn(*begun, *resumed);
    }
    EXPECT_LT(bootNow() - from, requestTime);
    signal(m_daemons[0], SIGCONT);
}

/// Guards against a stream that began while one version served, and goes on at one that came later.
TEST_F(software_version_test, SecondVersionComesAfterTheStreamBegan)
{
    const auto begun = begin(0);
    const auto lost = begin(0);
    addSecondVersion(6);
    for (int i = 0; i < 6; ++i) {
        const auto resumed = takeUp(i == 0 ? *begun : *lost, 1 + i % 2);
        expectGoesOn(i == 0 ? *begun : *lost, *resumed);
    }
}

/// Guards against the same where the release has settled, and streams begin at both versions.
TEST_F(software_version_test, SecondVersionHasSettledAfterTheStreamBegan)
{
    const auto begun = begin(0);
    startSecondVersion();
    const auto resumed = takeUp(*begun, 1);
    expectGoesOn(*begun, *resumed);
}

/// Guards against a loss of streams whose daemon lost power before a second version appeared: nobody was told
/// where they began.
TEST_F(software_version_test, StreamOfADaemonLostBeforeTheSecondVersionGoesOn)
{
    constexpr std::size_t count = 8;
    std::vector<std::unique_ptr<stream_attempt>> streams;
    streams.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        streams.push_back(begin(0));
    }
    signal(m_daemons[0], SIGSTOP); // it tells nobody, as a machine without power
    addSecondVersion(2);
    signal(m_daemons[0], SIGKILL);
    for (std::size_t i = 0; i < streams.size(); ++i) {
        const auto resumed = takeUp(*streams[i], 1 + i % 2);
        expectGoesOn(*streams[i], *resumed);
    }
}

/// Guards against a stream whose version has no server any more.
TEST_F(software_version_test, StreamIsRefusedAtOnceWhereItsVersionIsGone)
{
    startSecondVersion();
    const auto begun = beginAt(0, "v1");
    removeServers("v1");
    const millis from = bootNow();
    const auto resumed = takeUp(*begun, 1);
    expectRefused(*resumed);
    EXPECT_LT(bootNow() - from, refusalTime);
    const auto anew = start(1);
    finish(*anew);
    EXPECT_EQ(anew->status(), 200);
}

/// Guards against a guess where nobody knows where a stream began.
TEST_F(software_version_test, StreamOfUnknownVersionIsRefusedAtOnce)
{
    startSecondVersion();
    for (const std::string &fields : {resumeFields("nobody"), std::string("Last-Event-Id: 2\r\n")}) {
        const millis from = bootNow();
        const auto attempt = start(0, fields);
        finish(*attempt);
        expectRefused(*attempt);
        EXPECT_LT(bootNow() - from, refusalTime);
    }
}

/// Guards against refusals where only one version serves.
TEST_F(software_version_test, OneVersionNeedsNoRecord)
{
    for (const std::string &fields : {resumeFields("nobody"), std::string("Last-Event-Id: 2\r\n")}) {
        const auto attempt = start(0, fields);
        finish(*attempt);
        EXPECT_EQ(attempt->status(), 200) << attempt->received;
    }
    for (daemon_process &daemon : m_daemons) { // processes that have just started know no earlier version
        signal(daemon, SIGKILL);
    }
    awaitRestart(2 * m_daemons.size());
    runFor({2'000});
    const auto attempt = start(0, resumeFields("nobody"));
    finish(*attempt);
    EXPECT_EQ(attempt->status(), 200) << attempt->received;
}

/// Guards against a view of one version that may be old.
TEST_F(software_version_test, OneVersionIsUncertainWhileTheStoreIsAway)
{
    m_storeServer.client.fault = store_fault::Unresponsive;
    runFor({4'500});
    const auto unknown = start(1, resumeFields("nobody"));
    finish(*unknown);
    expectRefused(*unknown);
    const auto begun = begin(0);
    const auto resumed = takeUp(*begun, 1); // which asks the homes
    expectGoesOn(*begun, *resumed);
}

/// Guards against a stream of a version that has just gone, at daemons that started after it had.
TEST_F(software_version_test, StreamOfAVersionBeforeTheDaemonsStartedIsRefused)
{
    startSecondVersion();
    const auto begun = beginAt(0, "v1");
    removeServers("v1");
    for (daemon_process &daemon : m_daemons) {
        signal(daemon, SIGKILL);
    }
    awaitRestart(2 * m_daemons.size());
    const auto resumed = takeUp(*begun, 1);
    expectRefused(*resumed);
}

/// Guards against a server that came back under its id at another version.
TEST_F(software_version_test, ServerThatReturnsAtAnotherVersionDoesNotGoOn)
{
    startSecondVersion(1);
    for (backend_standin *server : modelServers()) {
        server->startedAtMs = 1'000;
        m_store.put("servers/" + server->id, server->entry());
    }
    runFor({2'500});
    const auto begun = beginAt(0, "v1");
    m_storeServer.client.fault = store_fault::Unresponsive; // daemons don't hear of the restarts
    runFor({500});
    for (backend_standin *server : modelServers()) {
        server->softwareVersion = "v2";
        server->startedAtMs = 2'000;
        m_versions[server->id] = "v2";
    }
    m_versions[begun->servers().front()] = "v1";
    const std::string first = begun->servers().front();
    const auto resumed = takeUp(*begun, 1);
    EXPECT_TRUE(resumed->status() != 200 || resumed->servers().empty()) << first << resumed->received;
}

/// Guards against streams that begin at a server that restarted at another version while the store was
/// silent, and pass for streams of the version before.
TEST_F(software_version_test, NoStreamBeginsAtAServerWhoseRestartTheStoreHasNotNamed)
{
    for (backend_standin *server : modelServers()) {
        server->startedAtMs = 1'000;
        m_store.put("servers/" + server->id, server->entry());
    }
    runFor({2'500});
    m_storeServer.client.fault = store_fault::Unresponsive;
    runFor({2'500});
    backend_standin &restarted = *modelServers().front();
    restarted.softwareVersion = "v2";
    restarted.startedAtMs = 2'000;
    for (std::size_t i = 0; i < 18; ++i) {
        const auto attempt = start(i % m_daemons.size());
        finish(*attempt);
        EXPECT_EQ(attempt->status(), 200) << attempt->received;
        for (const std::string &server : attempt->servers()) {
            EXPECT_NE(server, restarted.id);
        }
    }
}

/// Guards against a version that is taken from a view of the store that may be old.
TEST_F(software_version_test, NoStreamGoesOnAtAnotherVersionWhileTheStoreIsAway)
{
    startSecondVersion();
    const auto begun = beginAt(0, "v2");
    const auto other = beginAt(0, "v1");
    m_storeServer.client.fault = store_fault::Unresponsive;
    runFor({4'000});
    const auto resumed = takeUp(*begun, 1);
    expectOneVersion(*begun, *resumed);
    const auto resumedOther = takeUp(*other, 2);
    expectOneVersion(*other, *resumedOther);
    const auto unknown = start(1, resumeFields("nobody"));
    finish(*unknown);
    expectRefused(*unknown);
}

}
