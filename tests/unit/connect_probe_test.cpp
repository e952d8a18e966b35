#include "transport/connect_probe.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

using http_testing::raw_socket;

class connect_probe_test : public http_testing::http_fixture
{
protected:
    std::optional<reach> probe(const peer_address &to)
    {
        std::optional<reach> told;
        const auto handle = probeConnect(m_loop, to, {200}, [&told](reach result) {
            told = result;
        });
        EXPECT_FALSE(told) << "told inside the call";
        EXPECT_TRUE(runUntil([&told] {
            return told.has_value();
        }));
        return told;
    }
};

}

TEST_F(connect_probe_test, TellsAProcessThatListensFromOneThatHasEnded)
{
    std::uint16_t port = 0;
    auto server = raw_socket::listening(port);
    EXPECT_EQ(probe({http_testing::loopback, port}), reach::Accepts);
    server.reset();
    EXPECT_EQ(probe({http_testing::loopback, port}), reach::Refuses);
}

TEST_F(connect_probe_test, SaysNothingOfWhatIsNoAddress)
{
    EXPECT_EQ(probe({"no address", 1}), reach::Silent);
}

TEST_F(connect_probe_test, IsNotToldOnceItsHandleIsGone)
{
    bool told = false;
    auto handle =
        probeConnect(m_loop, {http_testing::loopback, http_testing::freePort()}, {200}, [&told](reach) {
            told = true;
        });
    handle.reset();
    runRounds(20);
    EXPECT_FALSE(told);
}

}
