#include "soak/fleet_fixture.h"

#include <algorithm>

namespace briarhead::soak {

namespace {

using behavior = backend_standin::behavior;

constexpr std::size_t streamEvents = 4; ///< of a stand-in's stream
constexpr millis requestTime{4'000};
constexpr millis refusalTime{1'000}; ///< in which a caller must hear that a stream can't go on

/// A caller's attempt at a stream.
struct stream_attempt
{
    std::string id;
    std::unique_ptr<raw_socket> caller;
    std::string received;

    int status() const
    {
        return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3));
    }
    /// The servers that brought its events, in order.
    std::vector<std::string> servers() const
    {
        std::vector<std::string> out;
        for (std::size_t at = received.find("data: "); at != std::string::npos;
             at = received.find("data: ", at + 1)) {
            out.push_back(received.substr(at + 6, received.find('\n', at) - at - 6));
        }
        return out;
    }
};

/// Model servers of two software versions serve side by side, v1 at first and v2 once startSecondVersion()
/// was called.
class software_version_test : public fleet_fixture
{
protected:
    std::map<std::string, std::string> m_versions; ///< by server, as it began
    std::string m_startVersion = "v1";

    void prepareServer(backend_standin &server, const std::string &) override
    {
        server.softwareVersion = m_startVersion;
        m_versions[server.id] = m_startVersion;
    }
    void startSecondVersion(int count = 3)
    {
        m_startVersion = "v2";
        for (int i = 0; i < count; ++i) {
            startServer("llm");
        }
        runFor({2'500}); // until all daemons use them
    }
    std::vector<backend_standin *> modelServers()
    {
        std::vector<backend_standin *> out;
        for (const auto &[id, server] : m_servers) {
            if (id.starts_with("llm")) {
                out.push_back(server.get());
            }
        }
        return out;
    }
    void setBehavior(behavior value)
    {
        for (backend_standin *server : modelServers()) {
            server->currentBehavior = value;
        }
    }
    std::unique_ptr<stream_attempt> start(std::size_t daemon, const std::string &fields = "")
    {
        auto attempt = std::make_unique<stream_attempt>();
        attempt->id = "s" + std::to_string(++m_lastId);
        attempt->caller = raw_socket::connectTo(m_daemons[daemon].frontPort);
        attempt->caller->send("POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + attempt->id
            + "\r\nX-Briarhead-Deadline-Ms: " + std::to_string(requestTime.count)
            + "\r\nContent-Length: 0\r\nConnection: close\r\nX-Briarhead-Model: m0/a1\r\n"
              "X-Briarhead-Token-Count: 50,50\r\n"
            + fields + "\r\n");
        return attempt;
    }
    void finish(stream_attempt &attempt)
    {
        EXPECT_TRUE(runUntil([&attempt] {
            return !attempt.caller->receive(attempt.received);
        }));
    }
    /// Starts a stream that its server holds after two events.
    std::unique_ptr<stream_attempt> begin(std::size_t daemon)
    {
        setBehavior(behavior::HoldsStream);
        auto attempt = start(daemon);
        EXPECT_TRUE(runUntil([&attempt] {
            attempt->caller->receive(attempt->received);
            return attempt->servers().size() == 2;
        })) << attempt->received;
        setBehavior(behavior::Serves);
        return attempt;
    }
    /// Begins a stream on a server of the version, and leaves streams on others.
    std::unique_ptr<stream_attempt> beginAt(std::size_t daemon, const std::string &version)
    {
        for (int i = 0; i < 30; ++i) {
            auto attempt = begin(daemon);
            if (m_versions[attempt->servers().front()] == version) {
                return attempt;
            }
        }
        ADD_FAILURE() << "no stream began at " << version;
        return begin(daemon);
    }
    static std::string resumeFields(const std::string &id, int lastEvent = 2)
    {
        return "Last-Event-Id: " + std::to_string(lastEvent) + "\r\nResumes: " + id + "\r\n";
    }
    /// The caller hangs up and takes the stream up again at another daemon.
    std::unique_ptr<stream_attempt> takeUp(stream_attempt &begun, std::size_t daemon)
    {
        begun.caller->hangUp();
        auto attempt = start(daemon, resumeFields(begun.id));
        finish(*attempt);
        return attempt;
    }
    std::set<std::string> versionsOf(const std::vector<const stream_attempt *> &attempts)
    {
        std::set<std::string> out;
        for (const stream_attempt *attempt : attempts) {
            for (const std::string &server : attempt->servers()) {
                out.insert(m_versions.at(server));
            }
        }
        return out;
    }
    void expectGoesOn(stream_attempt &begun, const stream_attempt &resumed)
    {
        EXPECT_EQ(resumed.status(), 200) << resumed.received;
        EXPECT_EQ(begun.servers().size() + resumed.servers().size(), streamEvents) << resumed.received;
        EXPECT_EQ(versionsOf({&begun, &resumed}).size(), 1U) << begun.received << resumed.received;
    }
    void expectRefused(const stream_attempt &resumed)
    {
        EXPECT_EQ(resumed.status(), 503) << resumed.received;
        EXPECT_NE(resumed.received.find("Retry-After"), std::string::npos) << resumed.received;
    }
    /// It goes on at its version or is refused.
    void expectOneVersion(stream_attempt &begun, const stream_attempt &resumed)
    {
        if (resumed.status() == 200) {
            EXPECT_EQ(versionsOf({&begun, &resumed}).size(), 1U) << begun.received << resumed.received;
        } else {
            expectRefused(resumed);
        }
    }
    void removeServers(const std::string &version)
    {
        for (backend_standin *server : modelServers()) {
            if (server->softwareVersion == version) {
                const std::string id = server->id;
                m_store.remove("servers/" + id);
                m_servers.erase(id);
            }
        }
        runFor({2'500});
    }
};

}

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
    startSecondVersion(6);
    for (int i = 0; i < 6; ++i) {
        const auto resumed = takeUp(i == 0 ? *begun : *lost, 1 + i % 2);
        expectGoesOn(i == 0 ? *begun : *lost, *resumed);
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
