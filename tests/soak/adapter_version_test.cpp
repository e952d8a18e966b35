#include "soak/fleet_fixture.h"

namespace briarhead::soak {

namespace {

/// In which a version has to be in force.
constexpr millis versionTime{5'000};

/// An operator declares versions of an adapter that no server holds, some by writes that the store executes
/// late, and daemons start behind them.
class adapter_version_restart_test : public fleet_fixture
{
protected:
    void declare(std::int64_t version)
    {
        m_store.put("op/version/m0.a2",
            nlohmann::json{{"model", "m0"}, {"adapter", "a2"}, {"version", version}}.dump());
    }
    /// Versions of the adapter that requests through each daemon ran on.
    std::set<std::int64_t> versionsThatRan()
    {
        for (const auto &[id, server] : m_servers) {
            server->ran.clear();
        }
        for (const daemon_process &daemon : m_daemons) {
            for (int i = 0; i < 4; ++i) {
                const auto caller = raw_socket::connectTo(daemon.frontPort);
                caller->send("POST /gen/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: v"
                    + std::to_string(++m_lastId)
                    + "\r\nX-Briarhead-Deadline-Ms: 4000\r\nContent-Length: 0\r\nConnection: close\r\n"
                      "X-Briarhead-Model: m0/a2\r\nX-Briarhead-Token-Count: 50,50\r\n\r\n");
                std::string received;
                EXPECT_TRUE(runUntil([&] {
                    return !caller->receive(received);
                }));
            }
        }
        std::set<std::int64_t> versions;
        for (const auto &[id, server] : m_servers) {
            for (const front_request &request : server->ran) {
                const std::string *expected = findField(request.head, "x-briarhead-expect-version");
                versions.insert(expected == nullptr ? 0 : std::stoll(*expected));
            }
        }
        return versions;
    }
    void killAll()
    {
        for (daemon_process &daemon : m_daemons) {
            signal(daemon, SIGKILL);
        }
    }
};

}

/// Guards against an older version that all daemons go by after a loss of power behind a late write.
TEST_F(adapter_version_restart_test, AllDaemonsStartBehindALateWrite)
{
    declare(3);
    runFor({1'500});
    killAll();
    declare(2);
    awaitRestart(2 * m_daemons.size());
    runFor(versionTime);
    EXPECT_EQ(versionsThatRan(), std::set<std::int64_t>{3});
}

/// Guards against an older version that single daemons go by after a rolling restart.
TEST_F(adapter_version_restart_test, DaemonsStartInTurnBehindALateWrite)
{
    declare(3);
    runFor({1'000});
    declare(2);
    runFor({1'000});
    std::size_t starts = m_daemons.size();
    for (daemon_process &daemon : m_daemons) {
        signal(daemon, SIGKILL);
        awaitRestart(++starts);
    }
    runFor(versionTime);
    EXPECT_EQ(versionsThatRan(), std::set<std::int64_t>{3});
}

/// Guards against an older version after a start without the store, which comes back with a late write.
TEST_F(adapter_version_restart_test, DaemonsStartWhileTheStoreIsAway)
{
    declare(3);
    runFor({1'500});
    m_storeServer.client.fault = store_fault::Unresponsive;
    killAll();
    runFor({3'000});
    declare(2);
    m_storeServer.client.fault = store_fault::None;
    awaitRestart(2 * m_daemons.size());
    runFor(versionTime);
    EXPECT_EQ(versionsThatRan(), std::set<std::int64_t>{3});
}

}
