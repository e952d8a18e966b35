#include "coordination/events.h"
#include "daemon/entry_task.h"
#include "serving/fault_proxy.h"
#include "standins/run_until.h"
#include "state/key_hash.h"
#include "transport/front_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

// Requests to plain services whose response has ended without framing, while the daemon checks whether a
// crash of the server cut it off.
namespace briarhead {
namespace {

constexpr const char *callerKey = "key";

crash_callbacks crashesOfOneDaemon()
{
    crash_callbacks callbacks;
    callbacks.self = "entry-1";
    callbacks.daemons = [] {
        return std::vector<std::string>{"entry-1"};
    };
    callbacks.send = [](const std::string &, const ranked_crash_report &) {};
    callbacks.storedRecord = [](const std::string &) {
        return crash_record{};
    };
    callbacks.recordCount = [] {
        return std::size_t{0};
    };
    callbacks.storeRecord = [](const std::string &, const crash_record &, const std::function<void(bool)> &) {
    };
    callbacks.removeRecord = [](const std::string &) {};
    callbacks.log = [](const crash_log_entry &) {};
    return callbacks;
}

/// What a caller has been told.
struct recorded_reply final : http_reply
{
    int status = 0;
    std::string body;
    bool framed = false;
    bool ended = false;
    std::function<void()> closed;

    void respond(int code, const header_list &, std::string text) override
    {
        status = code;
        body = std::move(text);
        framed = true;
        ended = true;
    }
    void begin(int code, const header_list &) override
    {
        status = code;
        framed = true;
    }
    void beginUnframed(int code, const header_list &) override
    {
        status = code;
    }
    void write(std::string_view bytes) override
    {
        body += bytes;
    }
    void end() override
    {
        ended = true;
    }
    void abort() override
    {
        ended = true;
    }
    void onClosed(std::function<void()> call) override
    {
        closed = std::move(call);
    }
    std::size_t pendingBytes() const override
    {
        return 0;
    }
};

/// The entry task alone, with one plain server behind a link that can be harmed.
class service_end_check_test : public testing::Test
{
protected:
    loop m_loop;
    bus m_bus{m_loop};
    http_client m_services{m_loop};
    crash_task m_crashes{m_loop, m_bus, crashesOfOneDaemon()};
    metrics m_metrics;
    entry_task m_entry{
        m_bus, m_loop, m_services, m_crashes, m_metrics, {"entry-1", 1, "z", routing_kind::Briarhead}};
    std::unique_ptr<front_server> m_server;
    std::vector<std::shared_ptr<front_reply>> m_received;
    std::unique_ptr<fault_proxy> m_link;

    void SetUp() override
    {
        error why;
        m_server = front_server::listen(
            m_loop, "127.0.0.1", 0,
            [this](const front_request &, std::shared_ptr<front_reply> reply) {
                m_received.push_back(std::move(reply));
            },
            why);
        ASSERT_TRUE(m_server) << message(why);
        m_link = std::make_unique<fault_proxy>(m_loop, m_server->port());
        const auto patch = parsePatch(R"({"base":0,"id":"p","set":{"callers":{"ana":{"key_hash":")"
                + keyHash(callerKey) + R"("}},"services":{"orders":{"path_prefix":"/orders"}},)"
                + R"("rules":{"all":{"callers":"*","service":"orders"}}}})",
            why);
        ASSERT_TRUE(patch) << message(why);
        const config_ptr configuration = applyPatch(*emptyConfig(), *patch, why);
        ASSERT_TRUE(configuration) << message(why);
        m_bus.post(config_changed{configuration});
        member self;
        self.name = "entry-1";
        m_bus.post(members_changed{{self}});
        live_view view;
        live_instance &server = view.instances["s1"];
        server.name = "s1";
        server.kind = instance_kind::Service;
        server.address = "127.0.0.1";
        server.port = m_link->port();
        server.service = "orders";
        m_bus.post(live_list_changed{view});
        ASSERT_TRUE(runUntil(m_loop, [this] {
            return m_entry.ready();
        }));
    }
    std::shared_ptr<recorded_reply> send(std::int64_t deadlineMs)
    {
        auto reply = std::make_shared<recorded_reply>();
        http_request request;
        request.method = "POST";
        request.path = "/orders/1";
        request.headers = {{"authorization", std::string("Bearer ") + callerKey},
            {"x-deadline-ms", std::to_string(deadlineMs)}};
        request.body = "{}";
        const std::size_t before = m_received.size();
        m_entry.onRequest(request, reply);
        EXPECT_TRUE(runUntil(m_loop, [&] {
            return m_received.size() > before || reply->ended;
        }));
        return reply;
    }
    void runFor(millis span)
    {
        const millis end = bootNow() + span;
        runUntil(m_loop, [end] {
            return bootNow() >= end;
        });
    }
    /// The server responds without framing; its process can't be reached any more.
    void respondUnframed(link_fault fault)
    {
        m_link->setFault(fault);
        m_received.back()->begin(200, {{"Content-Type", "text/plain"}}, body_framing::Connection);
        m_received.back()->write("done");
        m_received.back()->end();
    }
};

}

// Guards against "not run" at the deadline for a request that has run and whose response is being checked.
TEST_F(service_end_check_test, DeadlineDuringTheCheckIsNotReportedAsNotRun)
{
    for (const std::int64_t early : {10, 20, 30, 40}) {
        m_link->setFault(link_fault::None);
        constexpr std::int64_t deadlineMs = 600;
        const millis sent = bootNow();
        const auto reply = send(deadlineMs);
        runFor(sent + millis{deadlineMs - early} - bootNow());
        respondUnframed(link_fault::HangsNew);
        ASSERT_TRUE(runUntil(m_loop, [&] {
            return reply->ended;
        }));
        EXPECT_EQ(reply->body.find("not_run"), std::string::npos) << reply->body;
        EXPECT_FALSE(reply->status == 200 && reply->framed) << reply->body;
        runFor({200});
    }
    EXPECT_EQ(m_received.size(), 4U);
}

// Guards against a crash that goes uncounted because the caller left before its server was checked.
TEST_F(service_end_check_test, CrashIsCountedThoughTheCallerLeavesDuringTheCheck)
{
    constexpr int tries = 20; // the caller may leave a moment too early, before the response has ended
    for (int i = 0; i < tries && m_crashes.counters().serverCrashes == 0; ++i) {
        m_link->setFault(link_fault::None);
        const auto reply = send(5'000);
        respondUnframed(link_fault::RefusesNew);
        runFor({3});
        reply->closed();
        EXPECT_EQ(m_entry.open(), 0U);
        runFor({100});
    }
    EXPECT_EQ(m_crashes.counters().serverCrashes, 1U);
}

}
