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
        std::optional<connect_result> result;
        const auto handle = probeConnect(m_loop, to, {200}, [&result](connect_result received) {
            result = received;
        });
        EXPECT_FALSE(result) << "done was called from inside probeConnect()";
        EXPECT_TRUE(runUntil([&result] {
            return result.has_value();
        }));
        return result;
    }
};

}

TEST_F(connect_probe_test, ReportsAcceptedForAListenerAndRefusedAfterItClosed)
{
    std::uint16_t port = 0;
    auto server = raw_socket::listening(port);
    EXPECT_EQ(probe({http_testing::loopback, port}), connect_result::Accepted);
    server.reset();
    EXPECT_EQ(probe({http_testing::loopback, port}), connect_result::Refused);
}

TEST_F(connect_probe_test, ReportsUnknownForAnInvalidAddress)
{
    EXPECT_EQ(probe({"no address", 1}), connect_result::Unknown);
}

TEST_F(connect_probe_test, DoesNotCallDoneAfterItsHandleWasDropped)
{
    bool called = false;
    auto handle = probeConnect(
        m_loop, {http_testing::loopback, http_testing::freePort()}, {200}, [&called](connect_result) {
            called = true;
        });
    handle.reset();
    runRounds(20);
    EXPECT_FALSE(called);
}

}
