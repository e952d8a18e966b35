#include "transport/connect_probe.h"
#include "unit/http_fixture.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

using http_testing::raw_socket;

class connect_probe_test : public http_testing::http_fixture
{
protected:
    std::optional<connect_result> probe(const peer_address &to)
    {
        std::optional<connect_result> told;
        const auto handle = probeConnect(m_loop, to, {200}, [&told](connect_result result) {
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
    EXPECT_EQ(probe({http_testing::loopback, port}), connect_result::Accepted);
    server.reset();
    EXPECT_EQ(probe({http_testing::loopback, port}), connect_result::Refused);
}

TEST_F(connect_probe_test, SaysNothingOfWhatIsNoAddress)
{
    EXPECT_EQ(probe({"no address", 1}), connect_result::Unknown);
}

TEST_F(connect_probe_test, IsNotToldOnceItsHandleIsGone)
{
    bool told = false;
    auto handle =
        probeConnect(m_loop, {http_testing::loopback, http_testing::freePort()}, {200}, [&told](connect_result) {
            told = true;
        });
    handle.reset();
    runRounds(20);
    EXPECT_FALSE(told);
}

}
