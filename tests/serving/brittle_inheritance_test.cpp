#include "scheduling/server_limit.h"
#include "serving/server_notice_task.h"
#include "serving/store_fixture.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

/// One daemon that knows what the servers of a service have announced.
class brittle_inheritance_test : public store_fixture
{
protected:
    std::unique_ptr<test_daemon> m_daemon;
    std::unique_ptr<server_notice_task> m_notices;

    void SetUp() override
    {
        putServer("i1");
        putServer("i2");
        m_daemon = std::make_unique<test_daemon>(store, "n1", "z");
        m_notices = std::make_unique<server_notice_task>(events, m_daemon->messages, m_daemon->task,
            test_daemon::settingsOf("n1", "z", false), m_daemon->log);
        ASSERT_TRUE(runUntil([this] {
            return m_daemon->task.view().servers.size() == 2;
        }));
        announce("i1", 7);
        announce("i2", 4);
    }
    void announce(const std::string &server, std::int64_t rejections)
    {
        applyResponseLimit(m_notices->limits(), server, std::nullopt, rejections, bootNow(), bootNow());
    }
    void putServerOf(const std::string &id, const std::string &service, std::int64_t born)
    {
        store.put("servers/" + id,
            R"({"service":")" + service
                + R"(","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready","born":)"
                + std::to_string(born) + '}');
    }
    server_access accessTo(const std::string &server) const
    {
        return m_notices->accessOf(server);
    }
};

}

// Guards against a brittle service whose new or returning server gets the load of all daemons at once.
TEST_F(brittle_inheritance_test, ServerThatIsNewNeedsPermitsUntilItAnswers)
{
    putServerOf("i3", "s", 1'000);
    ASSERT_TRUE(runUntil([this] {
        return accessTo("i3") == server_access::WithPermit;
    }));
    EXPECT_EQ(m_notices->limits().at("i3").maxRejections, 4);
    const millis later = bootNow() + millis{10};
    applyResponseLimit(m_notices->limits(), "i3", std::nullopt, std::nullopt, later, later);
    EXPECT_EQ(accessTo("i3"), server_access::Open) << "its own answer replaces what was assumed";
    putServerOf("i4", "other", 1'000);
    ASSERT_TRUE(runUntil([this] {
        return accessTo("i4") != server_access::Removed;
    }));
    EXPECT_EQ(accessTo("i4"), server_access::Open) << "of another service";
    EXPECT_EQ(accessTo("i3"), server_access::Open);
}

TEST_F(brittle_inheritance_test, ServerThatStartsAgainUnderItsIdNeedsPermits)
{
    putServerOf("i3", "s", 1'000);
    ASSERT_TRUE(runUntil([this] {
        return accessTo("i3") == server_access::WithPermit;
    }));
    const millis later = bootNow() + millis{10};
    applyResponseLimit(m_notices->limits(), "i3", std::nullopt, std::nullopt, later, later);
    ASSERT_EQ(accessTo("i3"), server_access::Open);
    putServerOf("i3", "s", 2'000);
    EXPECT_TRUE(runUntil([this] {
        return accessTo("i3") == server_access::WithPermit;
    }));
}

}
