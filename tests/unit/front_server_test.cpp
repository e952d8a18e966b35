#include "transport/front_server.h"

#include "unit/http_fixture.h"

#include <sys/resource.h>

#include <filesystem>

namespace briarhead {

namespace {

using http_testing::raw_socket;

class front_server_test : public http_testing::http_fixture
{
protected:
    std::unique_ptr<front_server> m_front;
    std::size_t m_handled = 0;

    void SetUp() override
    {
        error why;
        m_front = front_server::listen(
            m_loop, http_testing::loopback, 0,
            [this](const front_request &, const std::shared_ptr<front_reply> &reply) {
                ++m_handled;
                reply->respond(200, {}, "ok");
            },
            why);
        ASSERT_TRUE(m_front) << message(why);
    }
    std::unique_ptr<raw_socket> connectAndSend()
    {
        auto caller = raw_socket::connectTo(m_front->port());
        caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        return caller;
    }
    bool isAnswered(const raw_socket &caller)
    {
        std::string seen;
        return runUntil([&] {
            const bool open = caller.receive(seen);
            return !open || seen.ends_with("ok");
        }) && seen.ends_with("ok");
    }
    static double processorSeconds()
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        const auto seconds = [](const timeval &each) {
            return static_cast<double>(each.tv_sec) + static_cast<double>(each.tv_usec) / 1e6;
        };
        return seconds(usage.ru_utime) + seconds(usage.ru_stime);
    }
};

/// Limits the process to the descriptors that are open.
class descriptor_limit
{
public:
    descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        int highest = 0;
        for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            highest = std::max(highest, std::stoi(entry.path().filename()));
        }
        rlimit limited = m_before;
        limited.rlim_cur = static_cast<rlim_t>(highest) + 1;
        setrlimit(RLIMIT_NOFILE, &limited);
        for (int fd = dup(0); fd >= 0; fd = dup(0)) {
            m_fillers.push_back(fd);
        }
    }
    ~descriptor_limit()
    {
        setrlimit(RLIMIT_NOFILE, &m_before);
        for (const int fd : m_fillers) {
            close(fd);
        }
    }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit m_before{};
    std::vector<int> m_fillers;
};

}

// All descriptors are in use while connections wait in the listen queue. The loop must not spin meanwhile,
// and must take them once there are descriptors again.
TEST_F(front_server_test, DoesNotSpinWhileDescriptorsAreExhausted)
{
    std::vector<std::unique_ptr<raw_socket>> callers;
    callers.reserve(3);
    for (int i = 0; i < 3; ++i) {
        callers.push_back(connectAndSend());
    }
    {
        const descriptor_limit limit;
        const double before = processorSeconds();
        const millis began = bootNow();
        runRounds(500);
        const double elapsed = static_cast<double>((bootNow() - began).count) / 1'000;
        EXPECT_LT(processorSeconds() - before, elapsed / 4);
        EXPECT_EQ(m_handled, 0U);
    }
    for (const auto &caller : callers) {
        EXPECT_TRUE(isAnswered(*caller));
    }
}

// Callers open connections and send nothing. At the limit they must give way to callers with requests, while
// connections that have carried requests stay open.
TEST_F(front_server_test, UnusedConnectionsGiveWayAtTheLimit)
{
    m_front->setMaxConnections(4);
    const auto kept = connectAndSend();
    ASSERT_TRUE(isAnswered(*kept));
    std::vector<std::unique_ptr<raw_socket>> silent;
    silent.reserve(3);
    for (int i = 0; i < 3; ++i) {
        silent.push_back(raw_socket::connectTo(m_front->port()));
    }
    const auto tooEarly = connectAndSend();
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !tooEarly->receive(seen);
    })) << "the silent ones are new and may still send";
    EXPECT_EQ(seen, "");
    runRounds(1'100);
    const auto later = connectAndSend();
    EXPECT_TRUE(isAnswered(*later));
    kept->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(isAnswered(*kept));
    EXPECT_EQ(m_front->closedUnread(), 2U);
}

TEST_F(front_server_test, AConnectionThatIsNotAdmittedIsClosedUnread)
{
    bool admits = false;
    m_front->setAdmission([&admits] {
        return admits;
    });
    const auto refused = connectAndSend();
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !refused->receive(seen);
    }));
    EXPECT_EQ(seen, "");
    EXPECT_EQ(m_handled, 0U);
    admits = true;
    EXPECT_TRUE(isAnswered(*connectAndSend()));
}

}
