#include "soak/fleet_fixture.h"

#include <sys/wait.h>

#include <algorithm>

namespace briarhead::soak {

namespace {

class malformed_name_test : public fleet_fixture
{
protected:
    std::string responseTo(const daemon_process &daemon, const std::string &path, const std::string &model)
    {
        const auto caller = raw_socket::connectTo(daemon.frontPort);
        caller->send("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: b"
            + std::to_string(++m_lastId) + "\r\nX-Briarhead-Deadline-Ms: 4000\r\nX-Briarhead-Model: " + model
            + "\r\nX-Briarhead-Token-Count: 50,50\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        std::string received;
        EXPECT_TRUE(runUntil([&] {
            return !caller->receive(received);
        }));
        return received;
    }
    bool lives(daemon_process &daemon)
    {
        return daemon.pid != 0 && waitpid(daemon.pid, nullptr, WNOHANG) == 0;
    }
};

}

/// Guards against one request that ends each daemon whose orders would name its adapter.
TEST_F(malformed_name_test, NameThatIsNoUtf8IsRejectedAndEndsNoDaemon)
{
    for (const char *name : {"m0/caf\xe9", "caf\xe9/a1", "m0/\xc0\xaf", "m0/\xed\xa0\x80", "m0/a\xf0\x9f"}) {
        for (const daemon_process &daemon : m_daemons) {
            for (const char *path : {"/gen/x", "/resume/x", "/once/x"}) {
                const std::string response = responseTo(daemon, path, name);
                EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << response;
                EXPECT_NE(response.find("X-Briarhead-Model"), std::string::npos) << response;
            }
        }
    }
    EXPECT_TRUE(std::all_of(m_daemons.begin(), m_daemons.end(), [this](daemon_process &daemon) {
        return lives(daemon);
    }));
    for (const daemon_process &daemon : m_daemons) {
        EXPECT_TRUE(responseTo(daemon, "/gen/x", "m0/a1").starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(responseTo(daemon, "/gen/x", "m0/caf\xc3\xa9").starts_with("HTTP/1.1 200"))
            << "a name in UTF-8 is an adapter's like any other";
    }
}

}
